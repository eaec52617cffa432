//! Graceful shutdown within a configured time.

use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::command::Command;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::state::Gateway;

/// Percentage of the shutdown time after which requests in flight are no longer waited for.
const DRAIN_PERCENT: u32 = 94;

/// How long bodies of requests are waited for after the last connection was accepted.
const RECEIVE_TIME: Duration = Duration::from_secs(1);

/// Interval between checks for remaining requests and tokens.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Drains the gateway: leaves the list of gateway addresses, continues to serve callers that still have
/// this address, stops accepting connections through `closed`, waits for requests in flight and returns
/// unused tokens.
pub async fn drain(gw: Rc<Gateway>, closed: watch::Sender<bool>) {
    let start = Instant::now();
    let within = gw.settings.stop_within;
    gw.stopping.set(true);
    gw.origins.send_all(&gw);
    actix_rt::spawn(announce_leave(gw.clone()));
    sleep(gw.settings.stop_serve).await;
    emit!(Event::DrainWaiting, active = gw.active_connections.get());
    // Fails only if no receiver is left.
    let _ = closed.send(true);
    let end = start + within * DRAIN_PERCENT / 100;
    let received = Instant::now() + RECEIVE_TIME;
    let is_busy = || {
        let receives = gw.receiving.get() > 0 && Instant::now() < received;
        receives || gw.active_connections.get() > 0 || gw.relayed.get() > 0
    };
    while (is_busy() || !gw.peers.is_settled()) && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
    return_tokens(&gw, end).await;
}

/// Reports to the control group that this gateway is leaving.
async fn announce_leave(gw: Rc<Gateway>) {
    let Some(token_store) = gw.token_store() else { return };
    // Not retried: the next watch request also reports this gateway as closed to callers.
    let _ = gw.group.command(&Command::Leave(token_store.holder()), gw.settings.stop_within).await;
}

/// Returns unused tokens until none are left or `end` has passed.
async fn return_tokens(gw: &Gateway, end: Instant) {
    let Some(token_store) = gw.token_store() else { return };
    while Instant::now() < end {
        token_store.return_all_idle();
        // A failed report is sent again in the next iteration.
        let _ = timeout_at(end, token_store.send_reports()).await;
        if token_store.is_settled() {
            return emit!(Event::SlicesReturned);
        }
        sleep(POLL_INTERVAL).await;
    }
}
