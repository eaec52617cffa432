//! The platform's list of VMs: the content of a file, read anew for each request.

use std::fs;

use actix_http::{Request, Response, StatusCode};
use cypressfork_http::Body;
use serde_json::{Value, json};

use crate::json as answer;

/// Serves one request.
pub async fn handle(file: String, req: Request) -> Response<Body> {
    if req.path() != "/v1/vms" {
        return answer(StatusCode::NOT_FOUND, &json!({ "error": "no such path" }));
    }
    let list = fs::read_to_string(&file).ok().and_then(|t| serde_json::from_str::<Value>(&t).ok());
    match list {
        Some(v) => answer(StatusCode::OK, &v),
        None => answer(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "no list" })),
    }
}
