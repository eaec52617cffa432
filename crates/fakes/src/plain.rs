//! Fake plain service that counts the requests it runs by request id.
//!
//! The fault `mute` runs requests and never answers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use actix_http::{HttpMessage, Response, StatusCode};
use cypressfork_http::{Body, Received};
use getopts::Matches;
use serde_json::json;

use crate::json_response;

/// Fault and run counts of a plain service.
pub struct Plain {
    fault: String,
    runs: RefCell<BTreeMap<String, u64>>,
}

impl Plain {
    /// Returns a service with the command-line options.
    pub fn new(m: &Matches) -> Plain {
        Plain { fault: m.opt_str("fault").unwrap_or_default(), runs: RefCell::default() }
    }
}

/// Counts a request and describes it in the response; `/stats` returns the counts.
pub async fn handle(plain: Rc<Plain>, req: Received) -> Response<Body> {
    let Received { head: req, body } = req;
    if req.path() == "/stats" {
        return json_response(StatusCode::OK, &json!({ "runs": *plain.runs.borrow() }));
    }
    let id = req.headers().get("x-request-id").and_then(|v| v.to_str().ok()).unwrap_or("none");
    let (id, path, method) = (id.to_owned(), req.path().to_owned(), req.method().to_string());
    let bytes = body.map_or(0, |b| b.len());
    let run = {
        let mut runs = plain.runs.borrow_mut();
        let n = runs.entry(id.clone()).or_default();
        *n += 1;
        *n
    };
    if plain.fault == "mute" {
        std::future::pending::<()>().await;
    }
    json_response(
        StatusCode::OK,
        &json!({ "id": id, "path": path, "method": method, "bytes": bytes, "run": run }),
    )
}
