//! A whole configuration in one document: routes, services, limits and client accounts.
//!
//! Beside templates, an operator may submit such a document as a whole. The one with the highest
//! version is in force; a document is kept as it was submitted and read anew wherever it is used.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::unit::{Millis, Tokens, Version};

/// Whether a request may run more than once, and what its answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// It may run more than once.
    Safe,
    /// It runs at most once.
    Unsafe,
    /// Its answer is a stream of events; it runs at most once unless the route is resumable.
    Stream,
}

/// A service that a route sends to, and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its share, relative to the other targets of the route.
    pub weight: u32,
}

/// A route: which requests go to which services, and under what bounds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// What their path begins with.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest that a request is held.
    pub timeout: Millis,
    /// The time within which an answer, or its first event, is in time.
    pub objective: Millis,
    /// The longest pause between events with which a stream is in time.
    #[serde(default)]
    pub gap: Option<Millis>,
    /// Its rank; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// The most replicas that one request is sent to.
    pub attempts: u32,
    /// Requests need no key.
    #[serde(default)]
    pub open: bool,
    /// A stream may be continued at another replica.
    #[serde(default)]
    pub resumable: bool,
    /// The regions that requests may be served in; empty: any.
    #[serde(default)]
    pub regions: BTreeSet<String>,
}

/// What is known of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Requests that a replica runs side by side.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory: Tokens,
    /// Tokens that one event of a stream stands for, at most.
    pub stride: Tokens,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Connections that one replica accepts from all callers together.
    pub connections: u32,
    /// What is known of its engines, for a service that runs a model.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// Requests a minute, of all routers together, that a replica bears while it is cold; `None`: any
    /// number.
    #[serde(default)]
    pub cold_per_minute: Option<u32>,
}

/// What a caller may send, and how long it may take or rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time for a head to arrive.
    pub head_within: Millis,
    /// Time that a kept connection may rest.
    pub idle: Millis,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its bearer keys.
    pub keys: Vec<String>,
    /// Its rank, in place of its routes'.
    #[serde(default)]
    pub priority: Option<u8>,
    /// All the tokens that it may get; `None`: no budget bounds it.
    #[serde(default)]
    pub prepaid: Option<Tokens>,
    /// The regions that its requests may be served in, of those of their route; empty: any.
    #[serde(default)]
    pub regions: BTreeSet<String>,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Its version; the highest is in force.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Backend>,
    /// Bounds on callers.
    pub limits: Limits,
    /// The client accounts; `None`: requests need no key.
    #[serde(default)]
    pub accounts: Option<Vec<Tenant>>,
}

/// Why a document cannot be in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// The numbered code.
    pub code: Code,
    /// Which part, and what is wrong with it.
    pub why: String,
}

impl Invalid {
    /// A document with a fault.
    pub fn new(why: impl Into<String>) -> Invalid {
        Invalid { code: Code::DocumentBad, why: why.into() }
    }
}

impl Document {
    /// Whether it can be in force.
    pub fn check(&self) -> Result<(), Invalid> {
        let services: BTreeSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut places = BTreeSet::new();
        for r in &self.routes {
            check_route(r, &services)?;
            if !places.insert((r.host.as_str(), r.prefix.as_str())) {
                let why = format!("two routes share host {} and prefix {}", r.host, r.prefix);
                return Err(Invalid::new(why));
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), Invalid> {
        let mut keys = BTreeSet::new();
        for t in self.accounts.iter().flatten() {
            let own: BTreeSet<&str> = t.keys.iter().map(String::as_str).collect();
            if own.iter().any(|k| !keys.insert(*k)) {
                let why = format!("a key of account {} is another's too", t.name);
                return Err(Invalid::new(why));
            }
        }
        Ok(())
    }

    /// What each account has prepaid, by the name of its budget.
    pub fn budgets(&self) -> impl Iterator<Item = (String, Tokens)> {
        let all = self.accounts.iter().flatten();
        all.filter_map(|t| t.prepaid.map(|tokens| (budget_name(&t.name), tokens)))
    }
}

fn check_route(r: &Route, services: &BTreeSet<&str>) -> Result<(), Invalid> {
    if let Some(t) = r.targets.iter().find(|t| !services.contains(t.service.as_str())) {
        return Err(Invalid::new(format!(
            "route {} names no known service: {}",
            r.name, t.service
        )));
    }
    if r.targets.iter().all(|t| t.weight == 0) {
        return Err(Invalid::new(format!("the weights of route {} sum to 0", r.name)));
    }
    if r.timeout == Millis(0) {
        return Err(Invalid::new(format!("the time limit of route {} is 0", r.name)));
    }
    Ok(())
}

/// The name of the budget of an account of a document. No budget of a template has a `/`.
pub fn budget_name(account: &str) -> String {
    format!("account/{account}")
}
