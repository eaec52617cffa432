//! Startup and shutdown of the gateway process.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, Request, Response, StatusCode};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::client_table::max_held_bytes;
use cypressfork_http::operators::{HEALTH_PATH, METRICS_PATH, Metrics};
use cypressfork_http::server::clients::Clients;
use cypressfork_http::{Body, BodyLimit, operators, serve_within};
use cypressfork_node::event::Event;
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_node::process::{Failure, listen};
use cypressfork_node::settings::load;
use cypressfork_node::signals::{Reload, StopSignals};
use cypressfork_node::time::Clock;
use cypressfork_node::{emit, logging, metric};
use metrics::gauge;
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::activity;
use super::dialect::Dialect;
use super::drain::drain;
use super::follow::{register_forever, watch_all};
use super::native::Native;
use super::quarantine::{report_survivals_forever, report_terminations_forever};
use super::server::accept;
use super::settings::{File, Settings};
use super::share::{expire_loans_forever, serve_peers};
use super::stand_in::probe_issuers_forever;
use super::state::Gateway;
use crate::reply::json_response;

/// Share of the files for connections of callers. The rest is for replicas, links and operators.
const CALLER_FILES_DIVISOR: usize = 2;

/// Share of the files for connections of operators and of the readiness check.
const OPERATOR_FILES_DIVISOR: usize = 8;

/// Share of the files for connections that only read metrics.
const METRICS_FILES_DIVISOR: usize = 32;

/// Operators' path that lists the backoffs in effect.
const BACKOFFS_PATH: &str = "/rests";

/// Operators' path that lists the replicas without a direct path.
const PATHS_PATH: &str = "/paths";

/// The paths at the operators' address, besides that of the readiness check.
pub const OPERATOR_PATHS: [&str; 4] = [HEALTH_PATH, BACKOFFS_PATH, PATHS_PATH, METRICS_PATH];

/// Interval at which idle connections and expired state are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Reads and validates the settings file.
pub fn load_settings(path: &Path) -> Result<Settings, Failure> {
    load::<File>(path).map_err(|e| (e.code(), e.to_string()))
}

/// Runs a gateway with the [`Native`] dialect until the process is asked to stop.
pub async fn run(s: Settings, file: PathBuf) -> Result<(), Failure> {
    serve::<Native>(s, file, load_settings).await
}

/// Runs a gateway with the dialect `D` until the process is asked to stop. `file` is read again with `load`
/// to reload the settings.
pub async fn serve<D: Dialect>(
    s: Settings,
    file: PathBuf,
    load: impl Fn(&Path) -> Result<Settings, Failure> + 'static,
) -> Result<(), Failure> {
    let (mut stop, reload) = (StopSignals::new(), Reload::new());
    logging::start(s.base.log_level, s.base.log_form);
    let metrics = operators::start_metrics()
        .map_err(|e| (Code::SettingsValue, format!("could not start metrics: {e}")))?;
    let caller_listener = listen(s.listen).await?;
    let peer_listener = listen(s.link_listen).await?;
    let operator_listener = listen(s.operators).await?;
    let base = s.base.clone();
    let credentials = Credentials { key: base.key, cluster: base.cluster, name: base.vm };
    let group = GroupClient::new(credentials.clone(), base.control.clone());
    emit!(Event::Started, listen = s.listen, operators = s.operators);
    let gw = Rc::new(Gateway::new(s, Clock::start(), credentials, group));
    let bounds = gw.settings.clients;
    let clients = Clients::new(gw.clock, max_held_bytes(bounds.memory));
    let callers = clients.add_listener(bounds.connections(CALLER_FILES_DIVISOR));
    let exchanges = callers.exchanges();
    actix_rt::spawn(accept::<D>(gw.clone(), caller_listener, callers));
    let g = gw.clone();
    if let Some(address) = gw.settings.metrics {
        let listener = listen(address).await?;
        let clients = clients.add_listener(bounds.connections(METRICS_FILES_DIVISOR));
        actix_rt::spawn(operators::serve_metrics(listener, clients, metrics.clone()));
    }
    let operators = clients.add_listener(bounds.connections(OPERATOR_FILES_DIVISOR));
    let no_body = |_: &Request| BodyLimit::NONE;
    actix_rt::spawn(serve_within(operator_listener, operators, no_body, move |req| {
        let response = respond(&g, &metrics, &req.head);
        async move { response }
    }));
    watch_all::<D>(&gw, base.control);
    actix_rt::spawn(serve_peers(gw.clone(), peer_listener));
    actix_rt::spawn(expire_loans_forever(gw.clone()));
    actix_rt::spawn(register_forever(gw.clone()));
    actix_rt::spawn(clean_up_forever(gw.clone()));
    actix_rt::spawn(log_activity_forever(gw.clone()));
    actix_rt::spawn(report_terminations_forever(gw.clone()));
    actix_rt::spawn(report_survivals_forever(gw.clone()));
    actix_rt::spawn(probe_issuers_forever(gw.clone()));
    let g = gw.clone();
    actix_rt::spawn(reload.run(move || load(&file), move |s| apply_reload::<D>(&g, s)));
    let signal = stop.requested().await;
    stop.run_stop(signal, drain(gw, exchanges)).await;
    Ok(())
}

/// Applies the settings that may change while the process runs: the addresses of the control processes.
fn apply_reload<D: Dialect>(gw: &Rc<Gateway>, s: Settings) {
    gw.group.set_addresses(s.base.control.clone());
    watch_all::<D>(gw, s.base.control);
}

async fn clean_up_forever(gw: Rc<Gateway>) {
    loop {
        sleep(CLEANUP_INTERVAL).await;
        gw.connections.remove_expired(Instant::now());
        gw.dialer.remove_expired();
        gauge!(metric::LOST_PATHS).set(gw.dialer.lost().len() as f64);
        gw.limits.remove_expired(&gw);
        gw.signals.remove_expired(&gw);
        gw.origins.remove_expired(&gw);
        gauge!(metric::BACKING_OFF).set(gw.backing_off().len() as f64);
    }
}

async fn log_activity_forever(gw: Rc<Gateway>) {
    loop {
        sleep(activity::LOG_INTERVAL).await;
        gw.activity.log();
    }
}

/// Responds to a request on the operators' address.
fn respond(gw: &Gateway, metrics: &Metrics, req: &Request) -> Response<Body> {
    let path = req.path();
    if req.method() == Method::GET && path == gw.settings.ready_path {
        return readiness(gw);
    }
    match (req.method(), path) {
        (&Method::GET, HEALTH_PATH) => json_response(StatusCode::OK, &json!({ "alive": true })),
        (&Method::GET, BACKOFFS_PATH) => list_backoffs(gw),
        (&Method::GET, PATHS_PATH) => list_lost_paths(gw),
        (&Method::GET, METRICS_PATH) => {
            operators::text_response(StatusCode::OK, metrics.render(Instant::now()))
        }
        _ => {
            let paths = [&[gw.settings.ready_path.as_str()], &OPERATOR_PATHS[..]].concat();
            json_response(StatusCode::NOT_FOUND, &json!({ "paths": paths }))
        }
    }
}

/// Lists the replicas with a backoff in effect at this gateway, and the remaining time of each.
fn list_backoffs(gw: &Gateway) -> Response<Body> {
    let all = gw.backing_off().into_iter();
    let backoffs: Vec<_> =
        all.map(|(replica, left)| json!({ "replica": replica, "left_ms": left.0 })).collect();
    json_response(StatusCode::OK, &json!({ "rests": backoffs }))
}

/// Lists the replicas that this gateway reaches only through others, how long it has, and the number of connections
/// that it relays itself.
fn list_lost_paths(gw: &Gateway) -> Response<Body> {
    let all = gw.dialer.lost().into_iter();
    let lost: Vec<_> =
        all.map(|(address, span)| json!({ "address": address, "lost_ms": span.0 })).collect();
    json_response(StatusCode::OK, &json!({ "lost": lost, "relayed": gw.relayed.get() }))
}

/// Reports whether this gateway accepts requests.
fn readiness(gw: &Gateway) -> Response<Body> {
    let open = gw.is_open();
    let status = if open { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let version = gw.documents.version();
    let v = json!({ "ready": open, "stopping": gw.stop.is_requested(), "document": version });
    json_response(status, &v)
}
