//! The operator: sends documents and reads them back.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use serde_json::Value;
use tokio::time::sleep;

use crate::document::document;
use crate::history::{At, Change, Held, Read, Unread};
use crate::http::call;
use crate::world::World;

/// How long one call may take.
const CALL_WITHIN: Duration = Duration::from_secs(3);

/// How long to wait after a call that was not answered.
const PAUSE: Duration = Duration::from_millis(100);

/// How often a document that was not acknowledged is sent again.
const TRIES: usize = 100;

/// How often the document in force is read back, and gateways are asked for theirs.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// How long a gateway may take to tell its version.
const TELL_WITHIN: Duration = Duration::from_millis(500);

/// Sends the next document until it is acknowledged. Returns whether it was.
pub async fn publish(w: &Rc<World>, more: usize) -> bool {
    let version = w.sent.get() + 1;
    w.sent.set(version);
    send(w, version, more).await
}

/// Sends a document of `version` until it is acknowledged.
pub async fn send(w: &Rc<World>, version: u64, more: usize) -> bool {
    let body = Bytes::from(document(version, more));
    for _ in 0..TRIES {
        let answer = call(w.any_api(), Method::PUT, "/v1/document", body.clone(), CALL_WITHIN);
        if let Some((200, _)) = answer.await {
            note(w, version, Some(w.at()));
            return true;
        }
        sleep(PAUSE).await;
    }
    note(w, version, None);
    false
}

fn note(w: &World, version: u64, acked: Option<At>) {
    if acked.is_some() {
        w.acked.set(w.acked.get().max(version));
    }
    w.history.borrow_mut().changes.push(Change { version, acked });
}

/// The version in force, as a control process reads it.
pub async fn read(w: &World) -> Option<u64> {
    let sent = w.at();
    let answer = call(w.any_api(), Method::GET, "/v1/document", Bytes::new(), CALL_WITHIN).await;
    let Some((200, body)) = answer else {
        w.history.borrow_mut().unread.push(Unread { sent, ended: w.at() });
        return None;
    };
    let version = serde_json::from_slice::<Value>(&body).ok()?["version"].as_u64()?;
    w.history.borrow_mut().reads.push(Read { sent, version });
    Some(version)
}

/// Reads the document back again and again.
pub async fn read_forever(w: Rc<World>) {
    loop {
        sleep(LOOK_EVERY).await;
        read(&w).await;
    }
}

/// Asks a gateway for its version again and again.
pub async fn watch_gateway(w: Rc<World>, gateway: usize) {
    loop {
        sleep(LOOK_EVERY).await;
        let incarnation = w.incarnations[gateway].get();
        let to = w.operators[gateway];
        let answer = call(to, Method::GET, "/readyz", Bytes::new(), TELL_WITHIN).await;
        let Some((_, body)) = answer else { continue };
        let Ok(v) = serde_json::from_slice::<Value>(&body) else { continue };
        // One that was started again meanwhile may have given the answer.
        if let (Some(version), true) =
            (v["document"].as_u64(), w.incarnations[gateway].get() == incarnation)
        {
            let held = Held { gateway, incarnation, at: w.at(), version };
            w.history.borrow_mut().held.push(held);
        }
    }
}
