//! What operators read from a router: health, readiness, metrics.

use std::rc::Rc;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use cypressfork_http::Body;
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::json;

use crate::app::App;
use crate::reply::json_response;

/// Serves one operators' request.
pub fn ops(app: &Rc<App>, metrics: &PrometheusHandle, req: &Request) -> Response<Body> {
    match (req.method(), req.path()) {
        (&Method::GET, "/healthz") => json_response(StatusCode::OK, &json!({ "alive": true })),
        (&Method::GET, "/readyz") => ready(app),
        (&Method::GET, "/metrics") => text(metrics.render()),
        _ => json_response(
            StatusCode::NOT_FOUND,
            &json!({ "paths": ["/healthz", "/readyz", "/metrics"] }),
        ),
    }
}

fn ready(app: &App) -> Response<Body> {
    let ready = app.ready.get() && !app.draining.get();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let v = json!({
        "ready": ready,
        "draining": app.draining.get(),
        "configuration": app.view.borrow().version(),
        "active": app.active.get(),
    });
    json_response(status, &v)
}

fn text(s: String) -> Response<Body> {
    let mut r = Response::with_body(StatusCode::OK, Body::Whole(Bytes::from(s)));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    r.headers_mut().insert(CONTENT_TYPE, kind);
    r
}
