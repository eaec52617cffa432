//! The configuration documents that the operator sends.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::http::CALLERS_HOST;

/// A client account in the documents.
pub struct Account {
    /// The account name.
    pub name: &'static str,
    /// The key that callers send as a bearer token.
    pub key: &'static str,
    /// The number of prepaid tokens.
    pub prepaid: u64,
}

/// The client accounts: one with more tokens than a run uses, and one whose tokens run out.
pub const ACCOUNTS: [Account; 2] = [
    Account { name: "club", key: "club-key", prepaid: 5_000_000 },
    Account { name: "mill", key: "mill-key", prepaid: 3_000 },
];

/// The request timeout of all routes, in milliseconds.
pub const TIMEOUT_MS: u64 = 3_000;

/// Maximum number of replicas that a request is sent to.
const ATTEMPTS: u32 = 2;

fn route(prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": prefix, "host": CALLERS_HOST, "prefix": prefix, "kind": kind,
        "timeout": TIMEOUT_MS, "objective": 300, "attempts": ATTEMPTS,
        "resumable": kind == "stream", "targets": [{ "service": service, "weight": 1 }],
    })
}

/// Returns the path of the route that the document of `version` adds. A gateway that serves it has at least
/// this version in force.
pub fn probe_path(version: u64) -> String {
    format!("/v{version}/")
}

/// Returns the document of `version` as JSON. It contains the probe routes of all versions up to this one and
/// `extra_routes` unused routes with names derived from `version`.
pub fn document(version: u64, extra_routes: usize) -> String {
    let mut rng = SmallRng::seed_from_u64(version);
    let mut routes = vec![
        route("/board/", "safe", "board"),
        route("/moves/", "unsafe", "board"),
        route("/talk/", "stream", "talk"),
    ];
    routes.extend((1..=version).map(|v| route(&probe_path(v), "safe", "board")));
    let mut random_prefix = || format!("/{:032x}/", rng.random::<u128>());
    routes.extend((0..extra_routes).map(|_| route(&random_prefix(), "safe", "board")));
    let account_json =
        |a: &Account| json!({ "name": a.name, "keys": [a.key], "prepaid": a.prepaid });
    let accounts: Vec<_> = ACCOUNTS.iter().map(account_json).collect();
    json!({
        "version": version, "routes": routes, "accounts": accounts,
        "services": [
            { "name": "board", "connections": 100 },
            { "name": "talk", "connections": 100,
              "engine": { "slots": 16, "memory": 100_000, "stride": 1 } },
        ],
        "limits": { "head": 8_192, "body": 4_194_304, "head_within": 2_000, "idle": 10_000 },
    })
    .to_string()
}
