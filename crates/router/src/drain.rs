//! Graceful shutdown of a router.

use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::command::Command;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use tokio::time::{Instant, sleep};

use crate::app::App;
use crate::token_store::TokenStore;

/// Timeout of one command to the control group.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// How often to check whether the shutdown can continue.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How often to log what the shutdown waits for.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Shuts the router down: removes it from responses of `/v1/entry`, serves until the cached ones
/// have expired, waits for active requests, returns all slices, and ends the registration. Waits at most
/// the configured drain time for requests and slices.
pub async fn drain(app: Rc<App>) {
    app.draining.set(true);
    let Some(token_store) = app.token_store() else { return };
    announce_leaving(&app, &token_store).await;
    emit!(Event::DrainWaiting, why = "cached entry answers have not expired");
    sleep(app.settings.entry_max_age).await;
    let until = Instant::now() + app.settings.drain_timeout;
    wait_for_requests(&app, until).await;
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

async fn wait_for_requests(app: &App, until: Instant) {
    let mut next_log = Instant::now();
    while app.active.get() > 0 && Instant::now() < until {
        if Instant::now() >= next_log {
            emit!(Event::DrainWaiting, why = "requests are active", active = app.active.get());
            next_log += LOG_INTERVAL;
        }
        sleep(POLL_INTERVAL).await;
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
