//! Simulated operator: publishes documents and reads back the version in force.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use serde_json::Value;
use tokio::time::sleep;

use crate::document::document;
use crate::history::{Change, FailedRead, Read, Timestamp, VersionReport};
use crate::http::call;
use crate::world::World;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before an unacknowledged document is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of attempts to publish a document.
const MAX_ATTEMPTS: usize = 100;

/// Interval between reads of the document, and between polls of each gateway.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout for reading the version of a gateway.
const READYZ_TIMEOUT: Duration = Duration::from_millis(500);

/// Publishes a document of the next version with `extra_routes` additional routes, retrying until it is
/// acknowledged. Returns whether it was.
pub async fn publish(w: &Rc<World>, extra_routes: usize) -> bool {
    let version = w.sent.get() + 1;
    w.sent.set(version);
    send_document(w, version, extra_routes).await
}

/// Sends a document of `version` with `extra_routes` additional routes, retrying until it is acknowledged.
/// Returns whether it was.
pub async fn send_document(w: &Rc<World>, version: u64, extra_routes: usize) -> bool {
    let body = Bytes::from(document(version, extra_routes));
    for _ in 0..MAX_ATTEMPTS {
        let answer = call(w.random_api(), Method::PUT, "/v1/document", body.clone(), CALL_TIMEOUT);
        if let Some((200, _)) = answer.await {
            record_change(w, version, Some(w.now()));
            return true;
        }
        sleep(RETRY_DELAY).await;
    }
    record_change(w, version, None);
    false
}

fn record_change(w: &World, version: u64, acked: Option<Timestamp>) {
    if acked.is_some() {
        w.acked.set(w.acked.get().max(version));
    }
    w.history.borrow_mut().changes.push(Change { version, acked });
}

/// Reads the document version in force from a random control process and records the result.
/// Returns `None` if the call fails.
pub async fn read_version(w: &World) -> Option<u64> {
    let sent = w.now();
    let answer =
        call(w.random_api(), Method::GET, "/v1/document", Bytes::new(), CALL_TIMEOUT).await;
    let Some((200, body)) = answer else {
        w.history.borrow_mut().failed_reads.push(FailedRead { sent, ended: w.now() });
        return None;
    };
    let version = serde_json::from_slice::<Value>(&body).ok()?["version"].as_u64()?;
    w.history.borrow_mut().reads.push(Read { sent, version });
    Some(version)
}

/// Reads the document version in force at intervals.
pub async fn read_version_forever(w: Rc<World>) {
    loop {
        sleep(POLL_INTERVAL).await;
        read_version(&w).await;
    }
}

/// Polls the document version of a gateway at intervals and records it.
pub async fn watch_gateway(w: Rc<World>, gateway: usize) {
    loop {
        sleep(POLL_INTERVAL).await;
        let incarnation = w.incarnations[gateway].get();
        let to = w.operator_addresses[gateway];
        let answer = call(to, Method::GET, "/readyz", Bytes::new(), READYZ_TIMEOUT).await;
        let Some((_, body)) = answer else { continue };
        let Ok(v) = serde_json::from_slice::<Value>(&body) else { continue };
        // If the gateway restarted meanwhile, the incarnation of the response is unknown.
        if let (Some(version), true) =
            (v["document"].as_u64(), w.incarnations[gateway].get() == incarnation)
        {
            let report = VersionReport { gateway, incarnation, at: w.now(), version };
            w.history.borrow_mut().version_reports.push(report);
        }
    }
}
