//! Health, readiness and metrics endpoints for operators.

use std::rc::Rc;

use actix_http::{Method, Request, Response, StatusCode};
use cypressfork_http::operators::Metrics;
use cypressfork_http::{Body, operators};
use cypressfork_node::metric;
use metrics::gauge;
use serde_json::json;
use tokio::time::Instant;

use crate::app::App;
use crate::reply::json_response;

/// Serves one request on the operators' address.
pub fn serve_operator(app: &Rc<App>, metrics: &Metrics, req: &Request) -> Response<Body> {
    match (req.method(), req.path()) {
        (&Method::GET, "/healthz") => json_response(StatusCode::OK, &json!({ "alive": true })),
        (&Method::GET, "/readyz") => readiness(app),
        (&Method::GET, "/metrics") => {
            update_gauges(app);
            operators::text_response(StatusCode::OK, metrics.render(Instant::now()))
        }
        _ => json_response(
            StatusCode::NOT_FOUND,
            &json!({ "paths": ["/healthz", "/readyz", "/metrics"] }),
        ),
    }
}

/// Updates the gauges that are computed on demand.
fn update_gauges(app: &App) {
    gauge!(metric::ACTIVE).set(app.active.get() as f64);
    gauge!(metric::VERSION).set(app.config.borrow().version() as f64);
    let now = app.clock.now();
    for (service, pool) in app.pools.borrow().iter() {
        gauge!(metric::USABLE, "service" => service.clone()).set(pool.usable_count(now) as f64);
        let (running, waiting) = app.queue(service).map_or((0, 0), |q| q.load());
        gauge!(metric::RUNNING, "service" => service.clone()).set(f64::from(running));
        gauge!(metric::WAITING, "service" => service.clone()).set(waiting as f64);
    }
}

fn readiness(app: &App) -> Response<Body> {
    let ready = app.ready.get() && !app.stop.is_requested();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let v = json!({
        "ready": ready,
        "draining": app.stop.is_requested(),
        "configuration": app.config.borrow().version(),
        "active": app.active.get(),
    });
    json_response(status, &v)
}
