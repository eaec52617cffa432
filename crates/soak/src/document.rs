//! The documents that the operator sends.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::http::CALLERS_HOST;

/// A client account: its name, key and prepaid tokens.
pub struct Account {
    /// The name.
    pub name: &'static str,
    /// The bearer key.
    pub key: &'static str,
    /// The prepaid tokens.
    pub prepaid: u64,
}

/// The accounts: one with plenty, and one that comes to its end in a run.
pub const ACCOUNTS: [Account; 2] = [
    Account { name: "club", key: "club-key", prepaid: 5_000_000 },
    Account { name: "mill", key: "mill-key", prepaid: 3_000 },
];

/// The longest that a request is held, in milliseconds.
pub const TIMEOUT_MS: u64 = 3_000;

/// Replicas that one request is sent to at most.
const ATTEMPTS: u32 = 2;

fn route(prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": prefix, "host": CALLERS_HOST, "prefix": prefix, "kind": kind,
        "timeout": TIMEOUT_MS, "objective": 300, "attempts": ATTEMPTS,
        "resumable": kind == "stream", "targets": [{ "service": service, "weight": 1 }],
    })
}

/// The route by which it shows that a version is in force.
pub fn probe_path(version: u64) -> String {
    format!("/v{version}/")
}

/// A document of `version` with `more` routes that nobody uses. It has the routes of all versions
/// before.
pub fn document(version: u64, more: usize) -> String {
    let mut rng = SmallRng::seed_from_u64(version);
    let mut routes = vec![
        route("/board/", "safe", "board"),
        route("/moves/", "unsafe", "board"),
        route("/talk/", "stream", "talk"),
    ];
    routes.extend((1..=version).map(|v| route(&probe_path(v), "safe", "board")));
    let mut name = || format!("/{:032x}/", rng.random::<u128>());
    routes.extend((0..more).map(|_| route(&name(), "safe", "board")));
    let account = |a: &Account| json!({ "name": a.name, "keys": [a.key], "prepaid": a.prepaid });
    let accounts: Vec<_> = ACCOUNTS.iter().map(account).collect();
    json!({
        "version": version, "routes": routes, "accounts": accounts,
        "services": [
            { "name": "board", "connections": 100 },
            { "name": "talk", "connections": 100,
              "engine": { "slots": 16, "memory": 100_000, "stride": 1 } },
        ],
        "limits": { "head": 8_192, "body": 65_536, "head_within": 2_000, "idle": 10_000 },
    })
    .to_string()
}
