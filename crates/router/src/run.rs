//! From settings to a serving process.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use cypressfork_core::code::Code;
use cypressfork_http::operators;
use cypressfork_node::event::Event;
use cypressfork_node::group::Group;
use cypressfork_node::link::Credentials;
use cypressfork_node::process::{Failure, listen, reload_forever, stop_signal};
use cypressfork_node::settings::load;
use cypressfork_node::time::Clock;
use cypressfork_node::{emit, logging};

use crate::app::App;
use crate::drain::drain;
use crate::follow::follow;
use crate::ops::ops;
use crate::platform::watch;
use crate::serve::serve;
use crate::settings::{File, Settings};
use crate::trace::Exporter;

/// Reads and checks the settings.
pub fn settings(path: &Path) -> Result<Settings, Failure> {
    load::<File>(path).map_err(|e| (e.code(), e.to_string()))
}

fn exporter(s: &Settings) -> Result<Option<Exporter>, Failure> {
    let Some(path) = &s.trace_file else { return Ok(None) };
    Exporter::open(path, &s.base.vm).map(Some).map_err(|e| {
        let shown = path.display();
        (Code::SettingsValue, format!("CF3003: setting trace_file cannot be '{shown}': {e}"))
    })
}

/// Serves until asked to stop.
pub async fn run(s: Settings, file: PathBuf) -> Result<(), Failure> {
    logging::start(s.base.log_level, s.base.log_form);
    let metrics = operators::start_metrics()
        .map_err(|e| (Code::SettingsValue, format!("could not start metrics: {e}")))?;
    let callers = listen(s.listen).await?;
    let for_operators = listen(s.operators).await?;
    let base = s.base.clone();
    let me = Credentials { key: base.key, cluster: base.cluster, name: base.vm };
    let reserve = s.reserve.map(|a| Group::new(me.clone(), vec![a]));
    let group = Group::new(me, base.control);
    let exporter = exporter(&s)?;
    emit!(Event::Started, listen = s.listen, operators = s.operators);
    let app = Rc::new(App::new(s, Clock::start(), group, reserve, exporter));
    let a = app.clone();
    actix_rt::spawn(cypressfork_http::serve(callers, move |req| {
        let app = a.clone();
        async move { serve(app, req).await }
    }));
    let a = app.clone();
    actix_rt::spawn(cypressfork_http::serve(for_operators, move |req| {
        let response = ops(&a, &metrics, &req);
        async move { response }
    }));
    if let Some(url) = app.settings.platform.clone() {
        actix_rt::spawn(watch(app.clone(), url));
    }
    actix_rt::spawn(follow(app.clone()));
    let group = app.group.clone();
    actix_rt::spawn(reload_forever(
        move || settings(&file),
        move |s| group.set_addresses(s.base.control),
    ));
    stop_signal().await;
    tokio::select! {
        () = drain(app) => {}
        () = stop_signal() => emit!(Event::StopForced),
    }
    emit!(Event::Stopped);
    Ok(())
}
