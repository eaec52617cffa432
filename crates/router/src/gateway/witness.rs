//! Which requests were under way at replicas that have ended.
//!
//! A connection that ends tells little: it may have been reset on its way, or the replica may have
//! closed it without an answer. That the replica itself has ended is shown by its address, where
//! nobody listens any more, and by all connections that rest there having ended too.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::fleet::fingerprint::Fingerprint;
use cypressfork_core::unit::Millis;
use cypressfork_http::client::{Connection, Presence};
use cypressfork_node::digest::fingerprint;
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::counter;
use tokio::time::{Instant, sleep};

use super::job::Job;
use super::state::Gateway;

/// How long the connections of a replica that has ended take to be noticed, all of them: they end in
/// one instant, and the tasks that wait on them run one after the other.
const GATHER: Duration = Duration::from_millis(20);

/// A request whose connection to a replica ended.
pub struct Victim {
    /// Its id.
    pub id: String,
    /// What its copies have in common with it.
    pub fingerprint: Fingerprint,
    /// The client account.
    pub account: Option<String>,
    /// How long before that it had been sent.
    pub age: Millis,
    /// A copy of it was answered whole here lately: it has not ended the replica.
    pub sound: bool,
}

/// The replicas whose connections ended, until it is known whether they have ended themselves.
#[derive(Default)]
pub struct Witness {
    open: RefCell<HashMap<(SocketAddr, String), Vec<Victim>>>,
}

/// Notes that a connection to `replica`, on which a request was sent at `sent`, has ended.
pub fn note_lost(job: &Job, address: SocketAddr, replica: &str, sent: Instant) {
    let victim = Victim {
        id: job.inbound.id.clone(),
        fingerprint: fingerprint(&job.identity()),
        account: job.account.clone(),
        age: Millis(sent.elapsed().as_millis() as u64),
        sound: job.gw.quarantines.is_sound(job),
    };
    let key = (address, replica.to_owned());
    let mut open = job.gw.witness.open.borrow_mut();
    if let Some(victims) = open.get_mut(&key) {
        return victims.push(victim);
    }
    open.insert(key, vec![victim]);
    actix_rt::spawn(look(job.gw.clone(), address, replica.to_owned()));
}

/// Looks whether a replica has ended.
async fn look(gw: Rc<Gateway>, address: SocketAddr, replica: String) {
    let found = Connection::probe(address).await;
    sleep(GATHER).await;
    let victims = gw.witness.open.borrow_mut().remove(&(address, replica.clone()));
    let victims = victims.unwrap_or_default();
    let ended = match found {
        Presence::There(c) => {
            // It takes the place of the one that was lost.
            gw.connections.put(Instant::now(), address, c);
            false
        }
        Presence::Nobody => !gw.connections.any_open(Instant::now(), address),
        Presence::Unknown(_) => false,
    };
    let shown = if ended { "ended" } else { "lives" };
    counter!(metric::LOST_CONNECTIONS, "replica" => shown).increment(victims.len() as u64);
    if ended {
        victims.iter().for_each(|v| tell(&replica, address, v));
        gw.quarantines.ended(&gw, &replica, victims);
    }
}

fn tell(replica: &str, address: SocketAddr, v: &Victim) {
    emit!(
        Event::ReplicaEnded,
        id = v.id,
        fingerprint = v.fingerprint,
        account = v.account.as_deref().unwrap_or_default(),
        replica = replica,
        address = address,
        age_ms = v.age.0,
        sound = v.sound,
        shown = "nobody listens at its address",
    );
}
