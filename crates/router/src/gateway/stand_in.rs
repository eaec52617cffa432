//! Looks at the first gateways of replicas that name a limit: while one of them is dead or stands back, the
//! second hands out all of the limit in its place.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::fleet::limit::homes::PROBE_VALIDITY;
use cypressfork_http::client::{Connection, Presence};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::state::Gateway;

/// The time between two rounds of looks.
const PAUSE: Duration = Duration::from_millis(100);

/// The first gateway of a replica.
struct First {
    gateway: SocketAddr,
    /// The replica's data centre.
    data_centre: String,
}

/// The replicas whose first gateways are to be looked at.
#[derive(Default)]
pub struct Looks {
    wanted: RefCell<BTreeMap<String, First>>,
    wake: Notify,
}

impl Looks {
    /// Has the first gateway of a replica looked at.
    pub fn wish(&self, gateway: SocketAddr, replica: &str, data_centre: &str) {
        let first = First { gateway, data_centre: data_centre.to_owned() };
        self.wanted.borrow_mut().insert(replica.to_owned(), first);
        self.wake.notify_one();
    }
}

/// Looks at gateways as that is wished, for as long as the process runs.
pub async fn look_forever(gw: Rc<Gateway>) {
    let looks = &gw.limits.looks;
    loop {
        let wanted = std::mem::take(&mut *looks.wanted.borrow_mut());
        if wanted.is_empty() {
            looks.wake.notified().await;
            continue;
        }
        let all = wanted.iter().map(|(replica, first)| look(&gw, replica, first));
        futures_util::future::join_all(all).await;
        sleep(PAUSE).await;
    }
}

/// Looks at one gateway: it is dead if nobody listens at its address, and it may say that it stands back.
async fn look(gw: &Gateway, replica: &str, First { gateway, data_centre }: &First) {
    let begun = gw.now();
    let until = match gw.peers.reduced_until(gw, *gateway, replica, data_centre).await {
        Some(settles) => settles.map(|span| begun.after(span)),
        None => is_dead(*gateway).await.then(|| begun.after(PROBE_VALIDITY)),
    };
    if let Some(until) = until {
        gw.limits.stands_back(begun, replica, *gateway, until);
    }
    let stands_in_ms = until.unwrap_or(begun).since(begun).0;
    emit!(Event::FirstLookedAt, address = gateway, replica = replica, stands_in_ms = stands_in_ms);
}

async fn is_dead(gateway: SocketAddr) -> bool {
    matches!(Connection::probe(gateway).await, Presence::Nobody)
}
