//! Budgets: `budgets`, `leases`, `top-up` and `release`.

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::query::{BudgetStatus, LeaseStatus, Query, Reply};
use cypressfork_core::unit::LeaseId;
use serde_json::json;

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;
use crate::table::table;

/// Shows budgets.
pub const SHOW: Subcommand = Subcommand {
    name: "budgets",
    takes: "[BUDGET]",
    about: "show what is prepaid, spent, held and free",
    run: show,
};

/// Shows the leases of a budget.
pub const LEASES: Subcommand = Subcommand {
    name: "leases",
    takes: "BUDGET",
    about: "show who holds how much of a budget",
    run: leases,
};

/// Adds tokens to a budget.
pub const TOP_UP: Subcommand = Subcommand {
    name: "top-up",
    takes: "BUDGET TOKENS",
    about: "add prepaid tokens to a budget",
    run: top_up,
};

/// Frees a lost router's lease.
pub const RELEASE: Subcommand = Subcommand {
    name: "release",
    takes: "LEASE",
    about: "free what a router that is lost for good had not reported",
    run: release,
};

fn show(cx: &Context) -> Result<String, Error> {
    let only = cx.words.first().cloned();
    let Reply::Budgets(all) = cx.query(&Query::Budgets(only.clone()))? else {
        return Err(Error::Unexpected);
    };
    if only.is_some() && all.is_empty() {
        return Err(cypressfork_core::code::Code::BudgetUnknown.into());
    }
    Ok(cx.show(&all, || budgets(&all)))
}

fn budgets(all: &[BudgetStatus]) -> String {
    let row = |b: &BudgetStatus| {
        let n = [b.funded, b.spent, b.held, b.stranded, b.free, b.total.billed, b.total.requests];
        let [funded, spent, held, stranded, free, billed, requests] = n.map(|n| n.to_string());
        let (name, account) = (b.name.clone(), b.client_account.clone());
        [name, account, funded, spent, held, stranded, free, billed, requests]
    };
    let head = [
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
    table(head, &all.iter().map(row).collect::<Vec<_>>())
}

fn leases(cx: &Context) -> Result<String, Error> {
    let budget = cx.word(0, "the budget")?.to_owned();
    let Reply::Leases(all) = cx.query(&Query::Leases(budget))? else {
        return Err(Error::Unexpected);
    };
    let row = |l: &LeaseStatus| {
        let vm = l.vm.clone().unwrap_or_else(|| "(replaced)".into());
        let (used, open) = (l.lease.used.to_string(), l.lease.open().to_string());
        [l.id.to_string(), vm, used, open, format!("{} s", l.left_ms / 1000)]
    };
    let rows: Vec<_> = all.iter().map(row).collect();
    Ok(cx.show(&all, || table(["LEASE", "ROUTER", "USED", "UNREPORTED", "ENDS IN"], &rows)))
}

fn top_up(cx: &Context) -> Result<String, Error> {
    let budget = cx.word(0, "the budget")?.to_owned();
    let tokens = cx.number(1, "the number of tokens")?;
    let op = cx.op();
    match cx.command(&Command::TopUp { op: op.clone(), budget, tokens })? {
        Answer::Funded(all) => {
            let text = || format!("{all} tokens are prepaid now (operation {op})\n");
            Ok(cx.show(&json!({ "funded": all, "op": op }), text))
        }
        _ => Err(Error::Unexpected),
    }
}

fn release(cx: &Context) -> Result<String, Error> {
    let word = cx.word(0, "the lease")?;
    let lease = lease(word).ok_or_else(|| {
        Error::Usage(format!("a lease cannot be '{word}': take it from 'cypressfork leases'"))
    })?;
    let op = cx.op();
    match cx.command(&Command::Release { op: op.clone(), lease })? {
        Answer::Released(n) => {
            let text = || format!("{n} tokens are free again (operation {op})\n");
            Ok(cx.show(&json!({ "released": n, "op": op }), text))
        }
        _ => Err(Error::Unexpected),
    }
}

fn lease(word: &str) -> Option<LeaseId> {
    let (term, index) = word.split_once('.')?;
    Some(LeaseId { term: term.parse().ok()?, index: index.parse().ok()? })
}
