//! A planned stop within a stated time that cuts off no request.

use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::command::Command;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::state::Gateway;

/// The part of the stop's time, in hundredths, after which it ends whatever is under way.
const END: u32 = 94;

/// How often the stop looks whether it may go on.
const LOOK: Duration = Duration::from_millis(50);

/// Leaves the entry answers, serves on while callers may have them, closes the door, waits for
/// requests under way and hands the tokens back.
pub async fn drain(gw: Rc<Gateway>, door: watch::Sender<bool>) {
    let begun = Instant::now();
    let within = gw.settings.stop_within;
    emit!(Event::Stopping);
    gw.stopping.set(true);
    actix_rt::spawn(leave(gw.clone()));
    sleep(gw.settings.stop_serve).await;
    emit!(Event::DrainWaits, active = gw.active_connections.get());
    // Connections that have ended by now need no word.
    let _ = door.send(true);
    let end = begun + within * END / 100;
    while (gw.active_connections.get() > 0 || !gw.peers.is_settled()) && Instant::now() < end {
        sleep(LOOK).await;
    }
    hand_back(&gw, end).await;
}

async fn leave(gw: Rc<Gateway>) {
    let Some(token_store) = gw.token_store() else { return };
    // Out of reach, the other processes hear of it from this one's next question anyway.
    let _ = gw.group.command(&Command::Leave(token_store.holder()), gw.settings.stop_within).await;
}

async fn hand_back(gw: &Gateway, end: Instant) {
    let Some(token_store) = gw.token_store() else { return };
    while Instant::now() < end {
        token_store.recall_all();
        // One that does not come through is sent again.
        let _ = timeout_at(end, token_store.tally()).await;
        if token_store.is_settled() {
            return emit!(Event::SlicesReturned);
        }
        sleep(LOOK).await;
    }
}
