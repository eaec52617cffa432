//! Probes of the primary permit issuers of replicas with a rate limit. While a primary is dead or issues
//! at the reduced rate, the secondary issues at the full rate.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::fleet::limit::issuers::PROBE_VALIDITY;
use cypressfork_http::client::{Connection, OpenError};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::state::Gateway;

/// Pause between two rounds of probes.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// The primary issuer of a replica.
struct Primary {
    gateway: SocketAddr,
    /// The replica's data centre.
    data_centre: String,
}

/// The requested probes, by replica.
#[derive(Default)]
pub struct IssuerProbes {
    requested: RefCell<BTreeMap<String, Primary>>,
    wake: Notify,
}

impl IssuerProbes {
    /// Requests a probe of `gateway`, the primary issuer of a replica.
    pub fn request(&self, gateway: SocketAddr, replica: &str, data_centre: &str) {
        let primary = Primary { gateway, data_centre: data_centre.to_owned() };
        self.requested.borrow_mut().insert(replica.to_owned(), primary);
        self.wake.notify_one();
    }
}

/// Runs the requested probes until the process ends.
pub async fn probe_issuers_forever(gw: Rc<Gateway>) {
    let probes = &gw.limits.probes;
    loop {
        let requested = std::mem::take(&mut *probes.requested.borrow_mut());
        if requested.is_empty() {
            probes.wake.notified().await;
            continue;
        }
        let all = requested.iter().map(|(replica, primary)| probe(&gw, replica, primary));
        futures_util::future::join_all(all).await;
        sleep(ROUND_PAUSE).await;
    }
}

/// Asks a primary issuer for how long it issues at the reduced rate, and records the result. If it does
/// not answer, checks whether any process listens at its address.
async fn probe(gw: &Gateway, replica: &str, Primary { gateway, data_centre }: &Primary) {
    let start = gw.now();
    let until = match gw.peers.query_reduced_rate(gw, *gateway, replica, data_centre).await {
        Some(reduced_for) => reduced_for.map(|span| start.after(span)),
        None => is_dead(*gateway).await.then(|| start.after(PROBE_VALIDITY)),
    };
    if let Some(until) = until {
        gw.limits.record_reduced(start, replica, *gateway, until);
    }
    let stands_in_ms = until.unwrap_or(start).since(start).0;
    emit!(Event::IssuerProbed, address = gateway, replica = replica, stands_in_ms = stands_in_ms);
}

/// Returns whether no process listens at a gateway's address.
async fn is_dead(gateway: SocketAddr) -> bool {
    matches!(Connection::open(gateway).await, Err(OpenError::Refused))
}
