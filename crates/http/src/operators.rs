//! What every process tells operators over HTTP: that it lives, and its metrics.

use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::Body;

/// The upper ends of the histograms' buckets, in seconds.
const BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// How often samples are put into their buckets, whether anybody reads them or not: until then
/// each takes memory.
const UPKEEP_EVERY: Duration = Duration::from_secs(5);

/// Starts the process's metrics. Call it once, on the thread that serves.
pub fn start_metrics() -> Result<PrometheusHandle, BuildError> {
    let handle = PrometheusBuilder::new().set_buckets(&BUCKETS)?.install_recorder()?;
    let kept = handle.clone();
    actix_rt::spawn(async move {
        loop {
            sleep(UPKEEP_EVERY).await;
            kept.run_upkeep();
        }
    });
    Ok(handle)
}

/// Serves `/healthz` and `/metrics` until the process ends.
pub async fn serve_metrics(listener: TcpListener, metrics: PrometheusHandle) {
    let handle = move |req: Request| {
        let response = answer(&metrics, &req);
        async move { response }
    };
    crate::serve(listener, handle).await;
}

fn answer(metrics: &PrometheusHandle, req: &Request) -> Response<Body> {
    match (req.method(), req.path()) {
        (&Method::GET, "/healthz") => text(StatusCode::OK, "alive\n".to_owned()),
        (&Method::GET, "/metrics") => text(StatusCode::OK, metrics.render()),
        _ => text(StatusCode::NOT_FOUND, "there are /healthz and /metrics\n".to_owned()),
    }
}

/// An answer in plain text.
pub fn text(status: StatusCode, s: String) -> Response<Body> {
    let mut r = Response::with_body(status, Body::Whole(Bytes::from(s)));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    r.headers_mut().insert(CONTENT_TYPE, kind);
    r
}
