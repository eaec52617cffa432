//! `cypressfork quarantine`: shows quarantined requests and parts of prompts, or lifts the quarantine of one.

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::fleet::fingerprint::Fingerprint;
use cypressfork_core::query::{QuarantineStatus, Query, Reply};
use serde_json::json;

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;
use crate::table::table;

/// `quarantine`: lists the quarantined requests and parts of prompts, or lifts the quarantine of one.
pub const COMMAND: Subcommand = Subcommand {
    name: "quarantine",
    args: "list | lift FINGERPRINT",
    about: "show the requests that are sent to no replica, or let one be sent again",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    match cx.arg(0, "list or lift")? {
        "list" => list(cx),
        "lift" => lift(cx),
        other => Err(Error::Usage(format!("'{other}' is not list or lift"))),
    }
}

fn list(cx: &Context) -> Result<String, Error> {
    let Reply::Quarantined(all) = cx.query(&Query::Quarantined)? else {
        return Err(Error::Unexpected);
    };
    let header =
        ["FINGERPRINT", "SUBJECT", "CLIENT ACCOUNT", "REPLICAS ENDED", "SINCE", "LEFT", "TERM"];
    let rows: Vec<_> = all.iter().map(row).collect();
    Ok(cx.render(&all, || table(header, &rows)))
}

fn row(q: &QuarantineStatus) -> [String; 7] {
    let seconds = |ms: u64| format!("{} s", ms / 1_000);
    let account = if q.account.is_empty() { "-" } else { &q.account };
    [
        q.fingerprint.to_string(),
        q.subject.to_string(),
        account.to_owned(),
        q.replicas.to_string(),
        seconds(q.since_ms),
        seconds(q.left_ms),
        q.terms.to_string(),
    ]
}

fn lift(cx: &Context) -> Result<String, Error> {
    let arg = cx.arg(1, "the fingerprint")?;
    let bad = || Error::Usage(format!("'{arg}' is no fingerprint: take 32 hexadecimal digits"));
    let fingerprint: Fingerprint = arg.parse().map_err(|_| bad())?;
    match cx.command(&Command::LiftQuarantine(fingerprint))? {
        Answer::Done => {}
        _ => return Err(Error::Unexpected),
    }
    let shown = json!({ "fingerprint": fingerprint.to_string(), "quarantined": false });
    Ok(cx.render(&shown, || format!("{fingerprint} may be sent to replicas again\n")))
}
