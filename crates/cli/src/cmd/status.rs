//! `cypressfork status`: shows the state of the control group and of the routers.

use cypressfork_core::query::{NodeStatus, Query, Reply, RouterStatus, Status};

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;
use crate::table::table;

/// `status`: shows the control group and the routers.
pub const COMMAND: Subcommand = Subcommand {
    name: "status",
    args: "",
    about: "show the control group, the routers, and who lags",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    let Reply::Status(s) = cx.query(&Query::Status)? else { return Err(Error::Unexpected) };
    Ok(cx.render(&s, || render(&s)))
}

fn render(s: &Status) -> String {
    let safe = if s.safe { "safe" } else { "not safe" };
    let summary = format!(
        "region {}: version {}, term {}, position {}\n{} more control VMs may be lost; replacing one now is {safe}\n\n",
        s.region, s.version, s.term, s.committed, s.spare
    );
    let evacuated = match s.evacuated.is_empty() {
        true => String::new(),
        false => format!("evacuated, no new work: {}\n\n", s.evacuated.join(", ")),
    };
    let nodes: Vec<_> = s.nodes.iter().map(node_row).collect();
    let routers: Vec<_> = s.routers.iter().map(|r| router_row(r, s.version)).collect();
    summary
        + &evacuated
        + &table(["CONTROL", "ADDRESS", "ROLE", "STATE", "BEHIND"], &nodes)
        + "\n"
        + &table(["ROUTER", "DATA CENTRE", "ADDRESS", "STATE", "VERSION", "SILENT"], &routers)
}

fn node_row(n: &NodeStatus) -> [String; 5] {
    let role = match (n.leader, n.voter) {
        (true, _) => "leader",
        (false, true) => "voter",
        (false, false) => "learner",
    };
    let state = if n.heard { "heard" } else { "silent" };
    let behind = n.behind.to_string();
    [format!("{:016x}", n.id), n.address.clone(), role.into(), state.into(), behind]
}

fn router_row(r: &RouterStatus, newest: u64) -> [String; 6] {
    let state = match (r.leaving, r.site.usable) {
        (true, _) => "leaving",
        (false, true) => "serving",
        (false, false) => "silent",
    };
    let version = match r.version {
        Some(v) if v == newest => v.to_string(),
        Some(v) => format!("{v} (lags)"),
        None => "unknown".to_owned(),
    };
    let s = &r.site;
    let silent = format!("{} ms", r.silent_ms);
    [s.vm.clone(), s.data_centre.clone(), s.address.clone(), state.into(), version, silent]
}
