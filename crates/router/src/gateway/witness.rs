//! Which requests were under way at replicas that have ended.
//!
//! A connection that ends tells little: it may have been reset on its way, or the replica may have
//! closed it without an answer. `core::fleet::ends` decides what it was, by looks at the replica's
//! address and by what is heard of the replica.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::fleet::ends::{ConnectionLosses, EndEvidence, Loss, ReplicaEvent};
use cypressfork_core::fleet::fingerprint::Fingerprint;
use cypressfork_core::unit::Millis;
use cypressfork_http::client::{Connection, Presence};
use cypressfork_node::digest::fingerprint;
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::counter;
use tokio::time::{Instant, sleep, timeout};

use super::job::Job;
use super::state::Gateway;

/// How long the connections of a replica that has ended take to be noticed, all of them: they end in
/// one instant, and the tasks that wait on them run one after the other.
const GATHER: Duration = Duration::from_millis(20);

/// How long a connection that was accepted after a loss is watched. A process that exits closes its
/// listening socket some tens of milliseconds after its connections, on a busy machine some hundred.
const WATCHED: Duration = Duration::from_millis(500);

/// Looks at one address, at most: a replica with too many connections accepts and ends each new one.
const LOOKS: u32 = 5;

/// Pause before the second look, doubled before each further one.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// A request whose connection to a replica ended.
pub struct Victim {
    /// Its id.
    pub id: String,
    /// What its copies have in common with it.
    pub fingerprint: Fingerprint,
    /// What this process knows it by among those that it answered whole.
    pub hash: u64,
    /// The client account.
    pub account: Option<String>,
    /// How long before that it had been sent.
    pub age: Millis,
}

/// The replicas whose connections ended, until it is known whether they have ended themselves.
#[derive(Default)]
pub struct Witness {
    ends: RefCell<ConnectionLosses<Victim>>,
}

/// Notes that a connection to `replica`, on which a request was sent at `sent`, has ended.
pub fn note_lost(job: &Job, address: SocketAddr, replica: &str, sent: Instant) {
    let gw = &job.gw;
    let victim = Victim {
        id: job.inbound.id.clone(),
        fingerprint: fingerprint(&job.identity()),
        hash: gw.quarantines.hash(job),
        account: job.account.clone(),
        age: Millis(sent.elapsed().as_millis() as u64),
    };
    let mut ends = gw.witness.ends.borrow_mut();
    note_lives(ends.expire(gw.now()));
    if ends.record_loss(gw.now(), address, replica, victim) {
        actix_rt::spawn(look(gw.clone(), address, replica.to_owned()));
    }
}

/// Looks whether a replica has ended.
async fn look(gw: Rc<Gateway>, address: SocketAddr, replica: String) {
    let ends = &gw.witness.ends;
    let mut found = Connection::probe(address).await;
    sleep(GATHER).await;
    if gw.connections.any_open(Instant::now(), address) {
        let lives = ends.borrow_mut().confirm_alive(address, &replica);
        return note_lives(lives.iter().map(|l| l.requests.len()).sum());
    }
    for n in 0..LOOKS {
        match found {
            Presence::Nobody => {
                let closed = ends.borrow_mut().confirm_ended(address, &replica);
                return note_ended(&gw, EndEvidence::Refused, closed);
            }
            Presence::There(mut c) => {
                if timeout(WATCHED, c.ended_unused()).await.is_err() {
                    break;
                }
            }
            Presence::Unknown(_) => {}
        }
        sleep(LOOK_PAUSE * 2u32.pow(n)).await;
        if !ends.borrow().is_open(address, &replica) {
            return;
        }
        found = Connection::probe(address).await;
    }
    ends.borrow_mut().end_probe(address, &replica);
}

/// Takes news of a replica: they may show that one whose connections were lost has ended.
pub fn take_replica_event(gw: &Gateway, event: ReplicaEvent<'_>) {
    let shown = gw.witness.ends.borrow_mut().apply(event);
    if let Some((shown, losses)) = shown {
        note_ended(gw, shown, losses);
    }
}

fn note_lives(requests: usize) {
    counter!(metric::LOST_CONNECTIONS, "replica" => "lives").increment(requests as u64);
}

fn note_ended(gw: &Gateway, shown: EndEvidence, losses: Vec<Loss<Victim>>) {
    for l in losses {
        counter!(metric::LOST_CONNECTIONS, "replica" => "ended").increment(l.requests.len() as u64);
        l.requests.iter().for_each(|v| tell(gw, shown, &l, v));
        gw.quarantines.ended(gw, &l.replica, l.since, l.requests);
    }
}

fn tell(gw: &Gateway, shown: EndEvidence, l: &Loss<Victim>, v: &Victim) {
    emit!(
        Event::ReplicaEnded,
        id = v.id,
        fingerprint = v.fingerprint,
        account = v.account.as_deref().unwrap_or_default(),
        replica = l.replica,
        address = l.address,
        age_ms = v.age.0,
        ago_ms = gw.now().since(l.since).0,
        sound = gw.quarantines.is_sound(v.hash),
        shown = shown.as_str(),
    );
}
