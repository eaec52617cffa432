//! A request whose route and account are known, as every step of its way needs it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use cypressfork_core::fleet::document::Kind;
use cypressfork_core::fleet::fingerprint::Identity;
use cypressfork_core::route::RequestProfile;
use cypressfork_core::route::lateness::LatencyObjective;
use cypressfork_core::unit::Tokens;
use tokio::time::Instant;

use super::dialect::{Inbound, Prompt};
use super::state::Gateway;

/// A request whose route and account are known.
pub struct Job {
    /// The gateway.
    pub gw: Rc<Gateway>,
    /// What its head says.
    pub inbound: Inbound,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether it may be repeated.
    pub kind: Kind,
    /// It is a stream that may go on elsewhere.
    pub resumable: bool,
    /// How urgent it is.
    pub priority: u8,
    /// The most replicas that may run it.
    pub attempts: u32,
    /// The name of its route.
    pub route: String,
    /// The service that it goes to.
    pub service: String,
    /// Requests a minute that a cold replica of it bears.
    pub cold_bound: Option<u32>,
    /// The regions that it may be served in; empty: any.
    pub regions: BTreeSet<String>,
    /// The client account.
    pub account: Option<String>,
    /// Tokens of one event, at most.
    pub stride: Tokens,
    /// When it is in time.
    pub aim: LatencyObjective,
    /// When it is given up.
    pub deadline: Instant,
}

impl Job {
    /// Whether it may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.kind == Kind::Safe || self.resumable
    }

    /// The work that it asks for.
    pub fn prompt(&self) -> Prompt {
        self.inbound.prompt.clone().unwrap_or_default()
    }

    /// What it asks of a replica.
    pub fn work(&self) -> RequestProfile {
        let prompt = self.inbound.prompt.as_ref();
        let (prefixes, regions) = (self.prompt().trail, self.regions.clone());
        let objective = prompt.map(|_| self.aim);
        RequestProfile {
            prefixes,
            objective,
            regions,
            priority: self.priority,
            ..RequestProfile::default()
        }
    }

    /// What is left of its time.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The parts in which its copies agree with it.
    pub fn identity(&self) -> Identity<'_> {
        Identity {
            account: self.account.as_deref(),
            method: self.method.as_str(),
            host: &self.inbound.host,
            path: self.uri.path_and_query().map_or("", |p| p.as_str()),
            body: &self.body,
        }
    }
}
