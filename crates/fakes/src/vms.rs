//! Fake platform endpoint for the list of VMs, which it reads from a file for each request.

use std::fs;

use actix_http::{Response, StatusCode};
use cypressfork_http::{Body, Received};
use serde_json::{Value, json};

use crate::json_response;

/// Answers `/v1/vms` with the contents of `file`, or 503 if the file is not readable as JSON.
pub async fn handle(file: String, req: Received) -> Response<Body> {
    if req.head.path() != "/v1/vms" {
        return json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such path" }));
    }
    let list = fs::read_to_string(&file).ok().and_then(|t| serde_json::from_str::<Value>(&t).ok());
    match list {
        Some(v) => json_response(StatusCode::OK, &v),
        None => json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "no list" })),
    }
}
