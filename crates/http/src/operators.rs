//! HTTP endpoints for operators in every process: liveness and metrics.

use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::Body;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Interval at which histogram samples are aggregated into buckets. Until then each sample takes
/// memory, even if no client reads the metrics.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the metrics recorder of the process and starts its upkeep task. Returns the handle that
/// renders the metrics. Call it once, on the thread that serves requests. Fails if a recorder is
/// already installed.
pub fn start_metrics() -> Result<PrometheusHandle, BuildError> {
    let handle = PrometheusBuilder::new().set_buckets(&BUCKETS)?.install_recorder()?;
    let upkeep = handle.clone();
    actix_rt::spawn(async move {
        loop {
            sleep(UPKEEP_INTERVAL).await;
            upkeep.run_upkeep();
        }
    });
    Ok(handle)
}

/// Serves `/healthz` and `/metrics` until the process ends.
pub async fn serve_metrics(listener: TcpListener, metrics: PrometheusHandle) {
    let handle = move |req: Request| {
        let response = respond(&metrics, &req);
        async move { response }
    };
    crate::serve(listener, handle).await;
}

fn respond(metrics: &PrometheusHandle, req: &Request) -> Response<Body> {
    match (req.method(), req.path()) {
        (&Method::GET, "/healthz") => text_response(StatusCode::OK, "alive\n".to_owned()),
        (&Method::GET, "/metrics") => text_response(StatusCode::OK, metrics.render()),
        _ => text_response(StatusCode::NOT_FOUND, "there are /healthz and /metrics\n".to_owned()),
    }
}

/// Returns a plain-text response, with the content type of the Prometheus text format.
pub fn text_response(status: StatusCode, s: String) -> Response<Body> {
    let mut r = Response::with_body(status, Body::Full(Bytes::from(s)));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    r.headers_mut().insert(CONTENT_TYPE, content_type);
    r
}
