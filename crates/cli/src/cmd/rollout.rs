//! `cypressfork rollout`: moves the requests of a service to replicas of another version.

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::fleet::rollout::Rollout;
use cypressfork_core::query::{Query, Reply};
use cypressfork_core::unit::Millis;
use serde_json::json;

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;
use crate::table::table;

/// `rollout`: starts, shows or aborts the rollout of a service's version.
pub const COMMAND: Subcommand = Subcommand {
    name: "rollout",
    args: "start SERVICE VERSION SECONDS | status SERVICE | list | abort SERVICE",
    about: "move a service's requests to replicas of another version, unless it turns out bad",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    match cx.arg(0, "start, status, list or abort")? {
        "start" => start(cx),
        "status" => show(cx, Some(cx.arg(1, "the service")?.to_owned())),
        "list" => show(cx, None),
        "abort" => abort(cx),
        other => Err(Error::Usage(format!("'{other}' is not start, status, list or abort"))),
    }
}

fn start(cx: &Context) -> Result<String, Error> {
    let service = cx.arg(1, "the service")?.to_owned();
    let version = cx.arg(2, "the version")?.to_owned();
    let arg = cx.arg(3, "the seconds that it may take")?;
    let seconds: Option<u64> = arg.parse().ok().filter(|s| *s > 0);
    let bad = || Error::Usage(format!("'{arg}' is no number of seconds"));
    let within = Millis::seconds(seconds.ok_or_else(bad)?);
    let command = Command::StartRollout { service: service.clone(), version, within };
    expect_done(cx.command(&command)?)?;
    show(cx, Some(service))
}

fn abort(cx: &Context) -> Result<String, Error> {
    let service = cx.arg(1, "the service")?.to_owned();
    expect_done(cx.command(&Command::AbortRollout(service.clone()))?)?;
    show(cx, Some(service))
}

fn expect_done(a: Answer) -> Result<(), Error> {
    match a {
        Answer::Done => Ok(()),
        Answer::Refused(code) => Err(code.into()),
        _ => Err(Error::Unexpected),
    }
}

fn show(cx: &Context, service: Option<String>) -> Result<String, Error> {
    let one = service.is_some();
    let Reply::Rollouts(all) = cx.query(&Query::Rollouts(service))? else {
        return Err(Error::Unexpected);
    };
    if one && all.is_empty() {
        return Err(cypressfork_core::code::Code::RolloutUnknown.into());
    }
    let header = ["SERVICE", "VERSION", "STAGE", "ON TRIAL", "WITHIN", "WHY"];
    let rows: Vec<_> = all.iter().map(row).collect();
    let shown: Vec<_> = all.iter().map(|(s, r)| json!({ "service": s, "rollout": r })).collect();
    Ok(cx.render(&shown, || table(header, &rows)))
}

fn row((service, r): &(String, Rollout)) -> [String; 6] {
    [
        service.clone(),
        r.version.clone(),
        r.stage.as_str().to_owned(),
        format!("{}.{} %", r.trial / 10, r.trial % 10),
        format!("{} s", r.within.0 / 1_000),
        r.why.clone(),
    ]
}
