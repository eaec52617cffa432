//! `cypressfork limits`: shows the rate limits that replicas announce.

use cypressfork_core::fleet::limit::DisplayLimit;
use cypressfork_core::fleet::limit::rate_limits::LimitReport;
use cypressfork_core::query::{Query, Reply};
use serde_json::json;

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;
use crate::table::table;

/// `limits`: shows the replicas that announce a rate limit.
pub const COMMAND: Subcommand = Subcommand {
    name: "limits",
    args: "",
    about: "show the replicas that take only so many requests a second, by their own word",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    let Reply::Limits(all) = cx.query(&Query::Limits)? else { return Err(Error::Unexpected) };
    let shown: Vec<_> = all.iter().map(as_json).collect();
    let rows: Vec<_> = all.iter().map(row).collect();
    Ok(cx.render(&shown, || table(["REPLICA", "REQUESTS A SECOND", "HEARD"], &rows)))
}

fn as_json(report: &LimitReport) -> serde_json::Value {
    let per_second = report.rate.map(|r| r.0 as f64 / 1_000.0);
    json!({ "replica": report.replica, "per_second": per_second, "heard_ms": report.age.0 })
}

fn row(report: &LimitReport) -> [String; 3] {
    [
        report.replica.clone(),
        DisplayLimit(report.rate).to_string(),
        format!("{} ms ago", report.age.0),
    ]
}
