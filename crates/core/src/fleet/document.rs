//! A complete configuration in one document: routes, services, limits and client accounts.
//!
//! An operator may submit such a document instead of templates. The document with the highest version
//! is in force. It is stored as submitted and parsed wherever it is used.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::unit::{Millis, Tokens, Version};

/// Whether requests of a route are safe to repeat, and whether their responses are streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// The response is a stream of events; a request runs at most once unless the route is resumable.
    Stream,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// A route: maps requests by host and path to services, with limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host to match.
    pub host: String,
    /// Path prefix to match.
    pub prefix: String,
    /// Whether requests are safe to repeat, and whether their responses are streams.
    pub kind: RouteKind,
    /// Maximum time to complete a request.
    pub timeout: Millis,
    /// Target latency of a response or, for a stream, of its first event.
    pub objective: Millis,
    /// Target for the longest pause between two events of a stream.
    #[serde(default)]
    pub gap: Option<Millis>,
    /// Priority; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Services that receive the requests.
    pub targets: Vec<Target>,
    /// Maximum number of replicas to which one request is sent.
    pub attempts: u32,
    /// Whether requests are accepted without an API key.
    #[serde(default)]
    pub open: bool,
    /// Whether a stream may be resumed at another replica.
    #[serde(default)]
    pub resumable: bool,
    /// Regions in which requests may be served; empty for any.
    #[serde(default)]
    pub regions: BTreeSet<String>,
}

/// Properties of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Requests that a replica runs concurrently.
    pub slots: u32,
    /// KV cache capacity of a replica, in tokens.
    pub memory: Tokens,
    /// Maximum number of tokens in one stream event.
    pub stride: Tokens,
}

/// A service and the capacity of its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections to one replica from all routers together.
    pub connections: u32,
    /// Engine properties, for a service that runs a model.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// Requests per minute that a cold replica accepts from all routers together; `None` for no limit.
    #[serde(default)]
    pub cold_per_minute: Option<u32>,
}

/// Size and time limits for callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum time to receive a request head.
    pub head_within: Millis,
    /// Idle timeout of a keep-alive connection.
    pub idle: Millis,
}

/// A client account with its keys and restrictions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name of the account.
    pub name: String,
    /// API keys, sent as bearer tokens.
    pub keys: Vec<String>,
    /// Priority that overrides the route's.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Total prepaid tokens; `None` for no budget limit.
    #[serde(default)]
    pub prepaid: Option<Tokens>,
    /// Restricts the route's regions for requests of this account; empty for no restriction.
    #[serde(default)]
    pub regions: BTreeSet<String>,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version; the document with the highest one is in force.
    pub version: Version,
    /// Routes, matched by host and path prefix.
    pub routes: Vec<Route>,
    /// Services to which the routes send requests.
    pub services: Vec<Backend>,
    /// Limits for callers' connections.
    pub limits: Limits,
    /// Client accounts; `None` if requests need no API key.
    #[serde(default)]
    pub accounts: Option<Vec<ClientAccount>>,
}

/// The reason a document was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidDocument {
    /// Result code.
    pub code: Code,
    /// The invalid part and what is wrong with it.
    pub reason: String,
}

impl InvalidDocument {
    /// Returns an error with code [`Code::DocumentBad`].
    pub fn new(reason: impl Into<String>) -> InvalidDocument {
        InvalidDocument { code: Code::DocumentBad, reason: reason.into() }
    }
}

impl Document {
    /// Checks the document for consistency.
    ///
    /// Returns an error if a route has an unknown service, only zero weights, a zero timeout, or the host
    /// and prefix of another route, or if two accounts share a key.
    pub fn validate(&self) -> Result<(), InvalidDocument> {
        let services: BTreeSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut matched = BTreeSet::new();
        for r in &self.routes {
            check_route(r, &services)?;
            if !matched.insert((r.host.as_str(), r.prefix.as_str())) {
                let reason = format!("two routes share host {} and prefix {}", r.host, r.prefix);
                return Err(InvalidDocument::new(reason));
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), InvalidDocument> {
        let mut keys = BTreeSet::new();
        for a in self.accounts.iter().flatten() {
            let own: BTreeSet<&str> = a.keys.iter().map(String::as_str).collect();
            if own.iter().any(|k| !keys.insert(*k)) {
                let reason = format!("a key of account {} is another's too", a.name);
                return Err(InvalidDocument::new(reason));
            }
        }
        Ok(())
    }

    /// Returns the budget name and prepaid tokens of each account that has a budget.
    pub fn budgets(&self) -> impl Iterator<Item = (String, Tokens)> {
        let all = self.accounts.iter().flatten();
        all.filter_map(|a| a.prepaid.map(|tokens| (budget_name(&a.name), tokens)))
    }
}

fn check_route(r: &Route, services: &BTreeSet<&str>) -> Result<(), InvalidDocument> {
    if let Some(t) = r.targets.iter().find(|t| !services.contains(t.service.as_str())) {
        return Err(InvalidDocument::new(format!(
            "route {} names no known service: {}",
            r.name, t.service
        )));
    }
    if r.targets.iter().all(|t| t.weight == 0) {
        return Err(InvalidDocument::new(format!("the weights of route {} sum to 0", r.name)));
    }
    if r.timeout == Millis(0) {
        return Err(InvalidDocument::new(format!("the time limit of route {} is 0", r.name)));
    }
    Ok(())
}

/// Returns the name of the budget of a document's account. Names of template budgets never contain a
/// `/`, so they cannot collide.
pub fn budget_name(account: &str) -> String {
    format!("account/{account}")
}
