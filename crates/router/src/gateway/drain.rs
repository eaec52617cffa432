//! Graceful shutdown within a configured time.

use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::command::Command;
use cypressfork_http::server::exchanges::Exchanges;
use cypressfork_http::server::stop::StopStage;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::state::Gateway;

/// Percentage of the shutdown time after which requests in flight are ended.
const CUT_PERCENT: u32 = 94;

/// Percentage of the shutdown time after which connections are closed, whatever is left of their responses.
const ABANDON_PERCENT: u32 = 96;

/// Percentage of the shutdown time after which the process ends, whatever is left.
const END_PERCENT: u32 = 97;

/// Time in which requests have to arrive whole after the last connection was accepted.
const RECEIVE_TIME: Duration = Duration::from_millis(500);

/// Interval between checks for relayed connections and tokens.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Drains the gateway: leaves the list of gateway addresses, continues to serve callers that still have this address,
/// stops accepting connections, waits for the exchanges with callers and returns unused tokens.
pub async fn drain(gw: Rc<Gateway>, exchanges: Rc<Exchanges>) {
    let start = Instant::now();
    let within = gw.settings.stop_within;
    let after = |percent: u32| start + within * percent / 100;
    let (cut, end) = (after(CUT_PERCENT), after(END_PERCENT));
    gw.stop.advance(StopStage::Leaving);
    exchanges.close_after_responses();
    gw.origins.send_all(&gw);
    actix_rt::spawn(announce_leave(gw.clone()));
    sleep(gw.settings.stop_serve).await;
    emit!(
        Event::DrainWaiting,
        exchanges = exchanges.count(),
        active = gw.active_connections.get(),
        relayed = gw.relayed.get()
    );
    gw.stop.advance(StopStage::Closed);
    // Connections find out first whether a request has arrived.
    sleep(POLL_INTERVAL).await;
    tokio::select! {
        () = wait_idle(&gw, &exchanges, cut) => {}
        () = end_receiving(&gw) => {}
    }
    let cut_off = async {
        if exchanges.count() > 0 {
            end_requests(&gw, &exchanges, after(ABANDON_PERCENT), end).await;
        }
        let (left, relayed) = (exchanges.count(), gw.relayed.get());
        let took = start.elapsed().as_millis();
        emit!(Event::DrainEnded, under_way = left, relayed = relayed, after_ms = took);
    };
    tokio::join!(cut_off, return_tokens(&gw, end));
}

/// Ends the requests in flight, and closes their connections at `abandon`. Waits for both until `end` at most.
async fn end_requests(gw: &Gateway, exchanges: &Exchanges, abandon: Instant, end: Instant) {
    gw.stop.advance(StopStage::Ended);
    // Callers may not accept what they are told.
    let _ = timeout_at(abandon, exchanges.none_left()).await;
    gw.stop.advance(StopStage::Abandoned);
    let _ = timeout_at(end, exchanges.none_left()).await;
}

/// Ends the time for requests to arrive. Never returns.
async fn end_receiving(gw: &Gateway) {
    sleep(RECEIVE_TIME).await;
    gw.stop.advance(StopStage::Received);
    std::future::pending().await
}

/// Waits until no caller, gateway or loan of tokens needs this gateway, until `end` at most.
async fn wait_idle(gw: &Gateway, exchanges: &Exchanges, end: Instant) {
    let idle = async {
        loop {
            exchanges.none_left().await;
            if gw.relayed.get() == 0 && gw.peers.is_settled() {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = idle => {}
        () = sleep_until(end) => {}
    }
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
        if token_store.is_settled() && gw.peers.is_settled() {
            return emit!(Event::SlicesReturned);
        }
        sleep(POLL_INTERVAL).await;
    }
}
