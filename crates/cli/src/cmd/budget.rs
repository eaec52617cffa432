//! `cypressfork budgets`, `leases`, `top-up` and `release`: operations on prepaid budgets.

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::query::{BudgetStatus, LeaseStatus, Query, Reply};
use cypressfork_core::unit::LeaseId;
use serde_json::json;

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;
use crate::table::table;

/// `budgets`: shows all budgets, or one.
pub const BUDGETS: Subcommand = Subcommand {
    name: "budgets",
    args: "[BUDGET]",
    about: "show what is prepaid, spent, held and free",
    run: budgets,
};

/// `leases`: shows the leases of a budget.
pub const LEASES: Subcommand = Subcommand {
    name: "leases",
    args: "BUDGET",
    about: "show who holds how much of a budget",
    run: leases,
};

/// `top-up`: adds prepaid tokens to a budget.
pub const TOP_UP: Subcommand = Subcommand {
    name: "top-up",
    args: "BUDGET TOKENS",
    about: "add prepaid tokens to a budget",
    run: top_up,
};

/// `release`: returns the unreported tokens of a lost router's lease to the budget.
pub const RELEASE: Subcommand = Subcommand {
    name: "release",
    args: "LEASE",
    about: "free what a router that is lost for good had not reported",
    run: release,
};

fn budgets(cx: &Context) -> Result<String, Error> {
    let name = cx.args.first().cloned();
    let Reply::Budgets(all) = cx.query(&Query::Budgets(name.clone()))? else {
        return Err(Error::Unexpected);
    };
    if name.is_some() && all.is_empty() {
        return Err(cypressfork_core::code::Code::BudgetUnknown.into());
    }
    Ok(cx.render(&all, || budget_table(&all)))
}

fn budget_table(all: &[BudgetStatus]) -> String {
    let row = |b: &BudgetStatus| {
        let n = [b.funded, b.spent, b.held, b.stranded, b.free, b.total.billed, b.total.requests];
        let [funded, spent, held, stranded, free, billed, requests] = n.map(|n| n.to_string());
        let (name, account) = (b.name.clone(), b.client_account.clone());
        [name, account, funded, spent, held, stranded, free, billed, requests]
    };
    let header = [
        "BUDGET",
        "CLIENT ACCOUNT",
        "PREPAID",
        "SPENT",
        "HELD",
        "STRANDED",
        "FREE",
        "BILLED",
        "REQUESTS",
    ];
    table(header, &all.iter().map(row).collect::<Vec<_>>())
}

fn leases(cx: &Context) -> Result<String, Error> {
    let budget = cx.arg(0, "the budget")?.to_owned();
    let Reply::Leases(all) = cx.query(&Query::Leases(budget))? else {
        return Err(Error::Unexpected);
    };
    let row = |l: &LeaseStatus| {
        let vm = l.vm.clone().unwrap_or_else(|| "(replaced)".into());
        let (used, open) = (l.lease.used.to_string(), l.lease.open_tokens().to_string());
        [l.id.to_string(), vm, used, open, format!("{} s", l.left_ms / 1000)]
    };
    let rows: Vec<_> = all.iter().map(row).collect();
    Ok(cx.render(&all, || table(["LEASE", "ROUTER", "USED", "UNREPORTED", "ENDS IN"], &rows)))
}

fn top_up(cx: &Context) -> Result<String, Error> {
    let budget = cx.arg(0, "the budget")?.to_owned();
    let tokens = cx.number_arg(1, "the number of tokens")?;
    let op = cx.operation_id();
    match cx.command(&Command::TopUp { op: op.clone(), budget, tokens })? {
        Answer::Funded(all) => {
            let text = || format!("{all} tokens are prepaid now (operation {op})\n");
            Ok(cx.render(&json!({ "funded": all, "op": op }), text))
        }
        _ => Err(Error::Unexpected),
    }
}

fn release(cx: &Context) -> Result<String, Error> {
    let arg = cx.arg(0, "the lease")?;
    let lease = parse_lease_id(arg).ok_or_else(|| {
        Error::Usage(format!("a lease cannot be '{arg}': take it from 'cypressfork leases'"))
    })?;
    let op = cx.operation_id();
    match cx.command(&Command::Release { op: op.clone(), lease })? {
        Answer::Released(n) => {
            let text = || format!("{n} tokens are free again (operation {op})\n");
            Ok(cx.render(&json!({ "released": n, "op": op }), text))
        }
        _ => Err(Error::Unexpected),
    }
}

fn parse_lease_id(arg: &str) -> Option<LeaseId> {
    let (term, index) = arg.split_once('.')?;
    Some(LeaseId { term: term.parse().ok()?, index: index.parse().ok()? })
}
