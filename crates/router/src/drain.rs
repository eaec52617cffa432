//! Graceful shutdown of a router.

use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::command::Command;
use cypressfork_http::server::exchanges::Exchanges;
use cypressfork_http::server::stop::StopStage;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::app::App;
use crate::token_store::TokenStore;

/// Timeout of one command to the control group.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// How often to check whether the shutdown can continue.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How often to log what the shutdown waits for.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Percentage of the drain time after which requests in flight are cut.
const CUT_PERCENT: u32 = 90;

/// Percentage of the drain time after which callers have to have accepted what they are told.
const END_PERCENT: u32 = 95;

/// Time in which requests have to arrive whole after the last connection was accepted.
const RECEIVE_TIME: Duration = Duration::from_secs(1);

/// Shuts the router down: removes it from responses of `/v1/entry`, serves until the cached ones
/// have expired, waits for the exchanges with callers, returns all slices, and ends the registration. Waits at most
/// the configured drain time for exchanges and slices.
pub async fn drain(app: Rc<App>, exchanges: Rc<Exchanges>) {
    app.stop.advance(StopStage::Leaving);
    if let Some(token_store) = app.token_store() {
        announce_leaving(&app, &token_store).await;
    }
    emit!(Event::DrainWaiting, why = "cached entry answers have not expired");
    sleep(app.settings.entry_max_age).await;
    let until = Instant::now() + app.settings.drain_timeout;
    end_exchanges(&app, &exchanges).await;
    let Some(token_store) = app.token_store() else { return };
    return_slices(&token_store, until).await;
    let gone = Command::Gone(token_store.holder());
    // If this fails, the registration expires on its own.
    let _ = app.group.command(&gone, COMMAND_TIMEOUT).await;
}

async fn announce_leaving(app: &App, token_store: &TokenStore) {
    let leave = Command::Leave(token_store.holder());
    // If this fails, the router is soon suspected and no longer listed anyway.
    let _ = app.group.command(&leave, COMMAND_TIMEOUT).await;
}

/// Accepts no further connection and waits for the exchanges under way. Those that last too long are cut.
async fn end_exchanges(app: &App, exchanges: &Exchanges) {
    let (start, within) = (Instant::now(), app.settings.drain_timeout);
    app.stop.advance(StopStage::Closed);
    // Connections that are accepted last begin their exchanges.
    sleep(POLL_INTERVAL).await;
    tokio::select! {
        biased;
        () = wait_idle(app, exchanges) => {}
        () = end_receiving(app) => {}
        () = log_waiting(app, exchanges) => {}
        () = sleep_until(start + within * CUT_PERCENT / 100) => {
            app.stop.advance(StopStage::Ended);
            // Fails if callers do not accept what they are told.
            let _ = timeout_at(start + within * END_PERCENT / 100, exchanges.none_left()).await;
        }
    }
    let after = start.elapsed().as_millis();
    emit!(Event::DrainEnded, under_way = exchanges.count(), after_ms = after);
}

/// Waits for the exchanges under way, and for calls whose caller has gone: their outcomes are recorded, too.
async fn wait_idle(app: &App, exchanges: &Exchanges) {
    loop {
        exchanges.none_left().await;
        if app.active.get() == 0 {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Ends the time for requests to arrive. Never returns.
async fn end_receiving(app: &App) {
    sleep(RECEIVE_TIME).await;
    app.stop.advance(StopStage::Received);
    std::future::pending().await
}

/// Logs what the shutdown waits for. Never returns.
async fn log_waiting(app: &App, exchanges: &Exchanges) {
    loop {
        let why = "requests are active";
        let (active, under_way) = (app.active.get(), exchanges.count());
        emit!(Event::DrainWaiting, why = why, active = active, exchanges = under_way);
        sleep(LOG_INTERVAL).await;
    }
}

async fn return_slices(token_store: &TokenStore, until: Instant) {
    while Instant::now() < until {
        token_store.return_all_idle();
        token_store.send_reports().await;
        token_store.send_reserve_reports().await;
        if token_store.is_settled() {
            return emit!(Event::SlicesReturned);
        }
        sleep(POLL_INTERVAL).await;
    }
}
