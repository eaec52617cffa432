//! The objects of a configuration: client accounts, budgets and services.

use std::fmt;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

use super::template::is_name;
use crate::budget::{HolderTerms, Policy};
use crate::code::Code;
use crate::unit::{Millis, Tokens};

/// An error in a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The kind of error.
    pub code: Code,
    /// The template, application, parameter or object with the error.
    pub place: String,
    /// What is wrong and what is allowed.
    pub why: String,
}

impl ConfigError {
    pub(super) fn new(code: Code, place: &str, why: impl Into<String>) -> ConfigError {
        ConfigError { code, place: place.to_owned(), why: why.into() }
    }
}

/// The kind of a configuration object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ObjectKind {
    Account,
    Budget,
    Service,
}

/// The kind and name of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectName {
    sort: ObjectKind,
    /// The name within its kind.
    pub name: String,
}

impl ObjectName {
    /// Parses a kind as written in a template. Fails if the kind is unknown or the name invalid.
    pub fn new(kind: &str, name: &str) -> Result<ObjectName, ConfigError> {
        let sort = match kind {
            "client_accounts" => ObjectKind::Account,
            "budgets" => ObjectKind::Budget,
            "services" => ObjectKind::Service,
            _ => {
                let why = "a template's objects are client_accounts, budgets and services";
                return Err(ConfigError::new(Code::ObjectBad, kind, why));
            }
        };
        if !is_name(name) {
            let why = format!("'{name}' is not a name of letters, digits, '-', '_' and '.'");
            return Err(ConfigError::new(Code::ObjectBad, kind, why));
        }
        Ok(ObjectName { sort, name: name.to_owned() })
    }

    /// Returns the object name of client account `name`.
    pub fn account(name: &str) -> ObjectName {
        ObjectName { sort: ObjectKind::Account, name: name.to_owned() }
    }

    /// Returns the object name of budget `name`.
    pub fn budget(name: &str) -> ObjectName {
        ObjectName { sort: ObjectKind::Budget, name: name.to_owned() }
    }

    /// Returns the object name of service `name`.
    pub fn service(name: &str) -> ObjectName {
        ObjectName { sort: ObjectKind::Service, name: name.to_owned() }
    }
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let kind = match self.sort {
            ObjectKind::Account => "client_accounts",
            ObjectKind::Budget => "budgets",
            ObjectKind::Service => "services",
        };
        write!(f, "{kind}/{}", self.name)
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// SHA-256 digests of its bearer keys, in lower-case hexadecimal.
    pub keys: Vec<String>,
    /// The services it may use.
    pub services: Vec<String>,
    /// Whether new requests and leases are rejected.
    #[serde(default)]
    pub closed: bool,
    /// Maximum number of concurrent requests of the account at one router.
    #[serde(default = "concurrency_default")]
    pub concurrency: u32,
}

fn concurrency_default() -> u32 {
    64
}

/// A prepaid budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The client account that pays.
    pub client_account: String,
    /// The services that it pays for.
    pub services: Vec<String>,
    /// Prepaid tokens, without top-ups.
    pub tokens: Tokens,
    /// Time that a slice should last at the current rate of spending, in seconds.
    #[serde(default = "horizon_default")]
    pub horizon_s: u64,
    /// Minimum slice that a router requests, in tokens.
    #[serde(default = "floor_default")]
    pub floor: Tokens,
    /// Divisor that limits a grant to `free / (share * holders)` beyond the tokens that are needed.
    #[serde(default = "share_default")]
    pub share: u64,
    /// Percentage of the free tokens that each data centre holds in reserve for a partition, at most
    /// 30.
    #[serde(default = "reserve_default")]
    pub reserve_percent: u64,
    /// Time for which a router spends its slices without contact to the control group, in seconds.
    #[serde(default = "offline_default")]
    pub offline_s: u64,
}

fn horizon_default() -> u64 {
    Policy::default().horizon.0 / 1000
}

fn floor_default() -> Tokens {
    Policy::default().floor
}

fn share_default() -> u64 {
    Policy::default().share
}

fn reserve_default() -> u64 {
    Policy::default().reserve
}

fn offline_default() -> u64 {
    Policy::default().offline.0 / 1000
}

impl Budget {
    /// Returns its slice policy.
    pub fn policy(&self) -> Policy {
        Policy {
            horizon: Millis::seconds(self.horizon_s),
            floor: self.floor,
            share: self.share,
            reserve: self.reserve_percent,
            offline: Millis::seconds(self.offline_s),
            bounded: false,
            terms: HolderTerms::default(),
        }
    }
}

/// The `Vm` that an upstream runs on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Its name in the platform's list.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
}

/// A replica of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The `Vm` that it runs on.
    pub vm: Vm,
    /// Its IP address and port.
    pub address: SocketAddr,
    /// Whether it rejects orders with the fencing token of a former leader.
    #[serde(default)]
    pub checks_orders: bool,
}

/// Priority of a request under load, the most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// For requests such as moves in a live game or writes of an order.
    Live,
    /// For requests such as hints or stock queries.
    Prompt,
    /// For requests such as coaching or drafts.
    #[default]
    Normal,
    /// For requests such as the annotation of finished games.
    Bulk,
}

impl Priority {
    /// All priorities, the most urgent first.
    pub const ALL: [Priority; 4] =
        [Priority::Live, Priority::Prompt, Priority::Normal, Priority::Bulk];

    /// Parses the value of the priority header or of a template.
    pub fn parse(s: &str) -> Option<Priority> {
        match s {
            "live" => Some(Priority::Live),
            "prompt" => Some(Priority::Prompt),
            "normal" => Some(Priority::Normal),
            "bulk" => Some(Priority::Bulk),
            _ => None,
        }
    }
}

/// A service of language-model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelService {
    /// Names of its models in requests.
    pub models: Vec<String>,
    /// Maximum number of tokens that one request may generate.
    pub max_output: Tokens,
    /// Its engines.
    pub upstreams: Vec<Upstream>,
    /// Priority of a request that has none.
    #[serde(default)]
    pub priority: Priority,
    /// Maximum number of concurrent requests at one engine.
    #[serde(default = "slots_default")]
    pub slots: u32,
    /// Maximum number of requests queued at one router, all priorities together.
    #[serde(default = "queue_default")]
    pub queue: u32,
}

fn slots_default() -> u32 {
    16
}

fn queue_default() -> u32 {
    64
}

/// An HTTP service without a model, selected by path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// Prefix of the paths that it serves; starts with `/` and is not under `/v1/`.
    pub prefix: String,
    /// Its replicas.
    pub upstreams: Vec<Upstream>,
    /// Whether requests other than GET and HEAD are never repeated, whatever their headers declare.
    #[serde(default)]
    pub writes_once: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Service {
    /// A service of language-model engines.
    Model(ModelService),
    /// An HTTP service without a model.
    Plain(PlainService),
}

impl Service {
    /// Returns its replicas.
    pub fn upstreams(&self) -> &[Upstream] {
        match self {
            Service::Model(s) => &s.upstreams,
            Service::Plain(s) => &s.upstreams,
        }
    }
}

/// A rendered object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Object {
    /// A client account.
    Account(Account),
    /// A budget.
    Budget(Budget),
    /// A service.
    Service(Service),
}

fn parse_content<T: DeserializeOwned>(name: &ObjectName, content: Json) -> Result<T, ConfigError> {
    serde_json::from_value(content)
        .map_err(|e| ConfigError::new(Code::ObjectBad, &name.to_string(), e.to_string()))
}

impl Object {
    /// Parses the content of an object of the kind that `name` has.
    pub(super) fn parse(name: &ObjectName, content: Json) -> Result<Object, ConfigError> {
        match name.sort {
            ObjectKind::Account => parse_content(name, content).map(Object::Account),
            ObjectKind::Budget => parse_content(name, content).map(Object::Budget),
            ObjectKind::Service => parse_content(name, content).map(Object::Service),
        }
    }

    /// Checks the fields, and with `exists` the references to other objects.
    pub(super) fn check(
        &self,
        name: &ObjectName,
        exists: &impl Fn(&ObjectName) -> bool,
    ) -> Result<(), ConfigError> {
        let bad = |why: String| Err(ConfigError::new(Code::ObjectBad, &name.to_string(), why));
        let first_missing =
            |names: &[String]| names.iter().find(|s| !exists(&ObjectName::service(s))).cloned();
        match self {
            Object::Account(a) => {
                if let Some(s) = first_missing(&a.services) {
                    return bad(format!("there is no service {s}"));
                }
                if let Some(k) = a.keys.iter().find(|k| !is_digest(k)) {
                    return bad(format!("'{k}' is not a SHA-256 digest in 64 hexadecimal digits"));
                }
            }
            Object::Budget(b) => {
                if !exists(&ObjectName::account(&b.client_account)) {
                    return bad(format!("there is no client account {}", b.client_account));
                }
                if let Some(s) = first_missing(&b.services) {
                    return bad(format!("there is no service {s}"));
                }
                if b.reserve_percent > 30 {
                    return bad("reserve_percent must be from 0 to 30".into());
                }
            }
            Object::Service(s) => return check_service(name, s),
        }
        Ok(())
    }
}

fn is_digest(s: &str) -> bool {
    s.len() == 64 && s.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

fn check_service(name: &ObjectName, s: &Service) -> Result<(), ConfigError> {
    let bad = |why: &str| Err(ConfigError::new(Code::ObjectBad, &name.to_string(), why));
    if s.upstreams().is_empty() {
        return bad("a service needs at least one upstream");
    }
    match s {
        Service::Model(m) if m.models.is_empty() => bad("models must name at least one model"),
        Service::Model(m) if m.max_output == 0 => bad("max_output must be at least 1"),
        Service::Plain(p) if !p.prefix.starts_with('/') || p.prefix.starts_with("/v1/") => {
            bad("prefix must start with '/' and must not lie under /v1/")
        }
        _ => Ok(()),
    }
}
