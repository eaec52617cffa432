//! A plain service: counts what it runs, by request id.
//!
//! Faults: `mute` runs and never answers, `reset` runs and closes without an answer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use actix_http::{HttpMessage, Request, Response, StatusCode};
use cypressfork_http::Body;
use getopts::Matches;
use serde_json::json;

use crate::{body, json as answer};

/// What a plain service has run.
pub struct Plain {
    fault: String,
    runs: RefCell<BTreeMap<String, u64>>,
}

impl Plain {
    /// A service with the options of the command line.
    pub fn new(m: &Matches) -> Plain {
        Plain { fault: m.opt_str("fault").unwrap_or_default(), runs: RefCell::default() }
    }
}

/// Serves one request.
pub async fn handle(plain: Rc<Plain>, req: Request) -> Response<Body> {
    if req.path() == "/stats" {
        return answer(StatusCode::OK, &json!({ "runs": *plain.runs.borrow() }));
    }
    let id = req.headers().get("x-request-id").and_then(|v| v.to_str().ok()).unwrap_or("none");
    let (id, path, method) = (id.to_owned(), req.path().to_owned(), req.method().to_string());
    let bytes = body(req).await.len();
    let run = {
        let mut runs = plain.runs.borrow_mut();
        let n = runs.entry(id.clone()).or_default();
        *n += 1;
        *n
    };
    if plain.fault == "mute" {
        std::future::pending::<()>().await;
    }
    answer(
        StatusCode::OK,
        &json!({ "id": id, "path": path, "method": method, "bytes": bytes, "run": run }),
    )
}
