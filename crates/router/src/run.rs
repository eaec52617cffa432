//! Starts the router process from its settings.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use actix_http::Request;
use cypressfork_core::code::Code;
use cypressfork_core::fleet::client_table::max_held_bytes;
use cypressfork_http::server::clients::Clients;
use cypressfork_http::{BodyLimit, operators, serve_until_stopped, serve_within};
use cypressfork_node::event::Event;
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_node::process::{Failure, listen};
use cypressfork_node::settings::load;
use cypressfork_node::signals::{Reload, StopSignals};
use cypressfork_node::time::Clock;
use cypressfork_node::{emit, logging};

use crate::app::App;
use crate::drain::drain;
use crate::follow::register_and_watch;
use crate::ops::serve_operator;
use crate::platform::poll_vms;
use crate::serve::{body_limit, serve};
use crate::settings::{File, Settings};
use crate::trace::Exporter;

/// Share of the files for connections of callers. The rest is for upstreams, links and operators.
const CALLER_FILES_DIVISOR: usize = 2;

/// Share of the files for connections of operators.
const OPERATOR_FILES_DIVISOR: usize = 32;

/// Reads and checks the settings file at `path`.
pub fn load_settings(path: &Path) -> Result<Settings, Failure> {
    load::<File>(path).map_err(|e| (e.code(), e.to_string()))
}

fn open_exporter(s: &Settings) -> Result<Option<Exporter>, Failure> {
    let Some(path) = &s.trace_file else { return Ok(None) };
    Exporter::open(path, &s.base.vm).map(Some).map_err(|e| {
        let shown = path.display();
        (Code::SettingsValue, format!("CF3003: setting trace_file cannot be '{shown}': {e}"))
    })
}

/// Serves until a stop signal, then drains. `file` is the settings file, whose control addresses can be reloaded.
pub async fn run(s: Settings, file: PathBuf) -> Result<(), Failure> {
    let (mut stop, reload) = (StopSignals::new(), Reload::new());
    logging::start(s.base.log_level, s.base.log_form);
    let metrics = operators::start_metrics()
        .map_err(|e| (Code::SettingsValue, format!("could not start metrics: {e}")))?;
    let bounds = s.clients;
    let caller_listener = listen(s.listen).await?;
    let operator_listener = listen(s.operators).await?;
    let base = s.base.clone();
    let credentials = Credentials { key: base.key, cluster: base.cluster, name: base.vm };
    let reserve = s.reserve.map(|a| GroupClient::new(credentials.clone(), vec![a]));
    let group = GroupClient::new(credentials, base.control);
    let exporter = open_exporter(&s)?;
    emit!(Event::Started, listen = s.listen, operators = s.operators);
    let app = Rc::new(App::new(s, Clock::start(), group, reserve, exporter));
    let clients = Clients::new(app.clock, max_held_bytes(bounds.memory));
    let callers = clients.add_listener(bounds.connections(CALLER_FILES_DIVISOR));
    let (exchanges, stopping) = (callers.exchanges(), app.stop.clone());
    let (a, l) = (app.clone(), app.clone());
    let limit = move |req: &Request| body_limit(&l, req);
    actix_rt::spawn(serve_until_stopped(caller_listener, callers, stopping, limit, move |req| {
        let app = a.clone();
        async move { serve(app, req).await }
    }));
    let operators = clients.add_listener(bounds.connections(OPERATOR_FILES_DIVISOR));
    let a = app.clone();
    let no_body = |_: &Request| BodyLimit::NONE;
    actix_rt::spawn(serve_within(operator_listener, operators, no_body, move |req| {
        let response = serve_operator(&a, &metrics, &req.head);
        async move { response }
    }));
    if let Some(url) = app.settings.platform.clone() {
        actix_rt::spawn(poll_vms(app.clone(), url));
    }
    actix_rt::spawn(register_and_watch(app.clone()));
    let group = app.group.clone();
    actix_rt::spawn(
        reload.run(move || load_settings(&file), move |s| group.set_addresses(s.base.control)),
    );
    let signal = stop.requested().await;
    stop.run_stop(signal, drain(app, exchanges)).await;
    Ok(())
}
