//! HTTP endpoints for operators in every process: liveness and metrics.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::server::clients::ClientListener;
use crate::{Body, BodyLimit, Received, serve_within};

/// The path of liveness.
pub const HEALTH_PATH: &str = "/healthz";

/// The path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// The paths at the address for metrics.
pub const METRICS_LISTENER_PATHS: [&str; 2] = [HEALTH_PATH, METRICS_PATH];

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Interval at which histogram samples are aggregated into buckets. Until then each sample takes
/// memory, even if no client reads the metrics.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Rendering the metrics takes one part in this of the process's time at most.
const RENDER_TIME_DIVISOR: u32 = 10;

/// The metrics of the process as text.
#[derive(Clone)]
pub struct Metrics {
    handle: PrometheusHandle,
    last: Rc<RefCell<Option<Rendered>>>,
}

/// The text that was rendered last.
struct Rendered {
    text: Bytes,
    took: Duration,
    at: Instant,
}

impl Metrics {
    /// Returns the metrics. Clients that ask for them without a pause get the last text again.
    pub fn render(&self, now: Instant) -> Bytes {
        let mut last = self.last.borrow_mut();
        if let Some(r) = &*last
            && now.duration_since(r.at) < r.took * RENDER_TIME_DIVISOR
        {
            return r.text.clone();
        }
        let text = Bytes::from(self.handle.render());
        *last = Some(Rendered { text: text.clone(), took: now.elapsed(), at: Instant::now() });
        text
    }
}

/// Installs the metrics recorder of the process and starts its upkeep task. Returns the handle that
/// renders the metrics. Call it once, on the thread that serves requests. Fails if a recorder is
/// already installed.
pub fn start_metrics() -> Result<Metrics, BuildError> {
    let handle = PrometheusBuilder::new().set_buckets(&BUCKETS)?.install_recorder()?;
    let upkeep = handle.clone();
    actix_rt::spawn(async move {
        loop {
            sleep(UPKEEP_INTERVAL).await;
            upkeep.run_upkeep();
        }
    });
    Ok(Metrics { handle, last: Rc::default() })
}

/// Serves [`METRICS_LISTENER_PATHS`] within the bounds of `clients`, until the process ends.
pub async fn serve_metrics(listener: TcpListener, clients: ClientListener, metrics: Metrics) {
    let handle = move |r: Received| {
        let response = respond(&metrics, &r.head);
        async move { response }
    };
    serve_within(listener, clients, |_| BodyLimit::NONE, handle).await;
}

fn respond(metrics: &Metrics, req: &Request) -> Response<Body> {
    match (req.method(), req.path()) {
        (&Method::GET, HEALTH_PATH) => text_response(StatusCode::OK, "alive\n"),
        (&Method::GET, METRICS_PATH) => {
            text_response(StatusCode::OK, metrics.render(Instant::now()))
        }
        _ => text_response(StatusCode::NOT_FOUND, "there are /healthz and /metrics\n"),
    }
}

/// Returns a plain-text response, with the content type of the Prometheus text format.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut r = Response::with_body(status, Body::Full(text.into()));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    r.headers_mut().insert(CONTENT_TYPE, content_type);
    r
}
