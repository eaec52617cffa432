//! A request whose route and account have been resolved.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use cypressfork_core::budget::prompt_charge;
use cypressfork_core::fleet::document::{Backend, RouteKind};
use cypressfork_core::fleet::fingerprint::{PartScope, RequestIdentity};
use cypressfork_core::fleet::origin::StreamId;
use cypressfork_core::route::RequestProfile;
use cypressfork_core::route::lateness::LatencyObjective;
use cypressfork_core::unit::Tokens;
use cypressfork_http::server::stop::StopStage;
use tokio::time::{Instant, sleep_until};

use super::dialect::{CallerRequest, PromptSize};
use super::origins::OriginGround;
use super::state::Gateway;

/// A request whose route and account have been resolved, with everything that its attempts need.
pub struct RoutedRequest {
    /// The gateway.
    pub gw: Rc<Gateway>,
    /// The fields parsed from its head.
    pub inbound: CallerRequest,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// The caller's headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The route's kind: whether the request may be repeated, and whether the response is a stream.
    pub kind: RouteKind,
    /// Whether the response is a stream that another replica can continue.
    pub resumable: bool,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of replicas that may run it.
    pub max_attempts: u32,
    /// The name of its route.
    pub route: String,
    /// The name of the service that it is sent to.
    pub service: String,
    /// Maximum number of requests per minute to a cold replica of the service.
    pub cold_per_minute: Option<u32>,
    /// The regions in which it may be served; empty: any.
    pub regions: BTreeSet<String>,
    /// The name of its client account.
    pub account: Option<String>,
    /// Maximum number of tokens per event.
    pub tokens_per_event: Tokens,
    /// The latency objective of its route.
    pub latency_objective: LatencyObjective,
    /// Whether the only version of its service shows where its stream began: its route has a single service, and no
    /// stream runs for longer than its version is remembered.
    pub infers_origin: bool,
    /// The software version that began the stream that it resumes, if that is known.
    pub version: Option<String>,
    /// What shows where the stream that it resumes began.
    pub origin_ground: Option<OriginGround>,
    /// Its deadline.
    pub deadline: Instant,
}

impl RoutedRequest {
    /// Returns whether it may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.kind == RouteKind::Safe || self.resumable
    }

    /// Returns whether it resumes a stream after an event that its caller has received.
    pub fn is_resumed(&self) -> bool {
        self.kind == RouteKind::Stream && self.inbound.last_event.is_some_and(|n| n > 0)
    }

    /// Returns the id of its stream: that of the attempt that brought the first event. `None` if it resumes a
    /// stream and its caller does not name that.
    pub fn stream_id(&self) -> Option<StreamId> {
        let attempt = match self.is_resumed() {
            true => self.inbound.resumes.clone()?,
            false => self.inbound.id.clone(),
        };
        Some(StreamId { account: self.account.clone(), attempt })
    }

    /// Sets the service that it is sent to.
    pub fn set_backend(&mut self, backend: &Backend) {
        self.service.clone_from(&backend.name);
        self.cold_per_minute = backend.cold_per_minute;
        self.tokens_per_event = backend.engine.map_or(1, |e| e.stride.max(1));
    }

    /// Returns its prompt; an empty one if its head has none.
    pub fn prompt(&self) -> PromptSize {
        self.inbound.prompt.clone().unwrap_or_default()
    }

    /// Returns the ids of the parts that its prompt may share with other requests.
    pub fn shared_parts(&self) -> &[u64] {
        self.inbound.prompt.as_ref().map_or(&[], |p| &p.shared_parts)
    }

    /// Returns where the parts of its prompt are compared with those of other requests.
    pub fn part_scope(&self) -> PartScope<'_> {
        PartScope { account: self.account.as_deref(), service: &self.service }
    }

    /// Returns the tokens of its prompt that are charged to it.
    pub fn prompt_charge(&self) -> Tokens {
        let tokens = self.inbound.prompt.as_ref().map_or(0, |p| p.tokens);
        let last_event = self.inbound.last_event.filter(|_| self.resumable);
        prompt_charge(tokens, last_event)
    }

    /// Returns what the choice of a replica depends on.
    pub fn profile(&self) -> RequestProfile {
        let prompt = self.inbound.prompt.as_ref();
        let (prefixes, regions) = (self.prompt().prefixes, self.regions.clone());
        let objective = prompt.map(|_| self.latency_objective);
        RequestProfile {
            prefixes,
            objective,
            regions,
            priority: self.priority,
            ..RequestProfile::default()
        }
    }

    /// Returns the time until its deadline; zero if that has passed, or if a planned stop ends it.
    pub fn time_left(&self) -> Duration {
        match self.is_stopped() {
            true => Duration::ZERO,
            false => self.deadline.saturating_duration_since(Instant::now()),
        }
    }

    /// Returns whether a planned stop ends the request.
    pub fn is_stopped(&self) -> bool {
        self.gw.stop.has_reached(StopStage::Ended)
    }

    /// Returns the output of `f`; none if the deadline passes, or a planned stop ends the request, before.
    pub async fn in_time<T>(&self, f: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = f => Some(output),
            () = sleep_until(self.deadline) => None,
            () = self.gw.stop.reached(StopStage::Ended) => None,
        }
    }

    /// Returns the parts that are the same in all copies of the request.
    pub fn identity(&self) -> RequestIdentity<'_> {
        RequestIdentity {
            account: self.account.as_deref(),
            method: self.method.as_str(),
            host: &self.inbound.host,
            path: self.uri.path_and_query().map_or("", |p| p.as_str()),
            body: &self.body,
        }
    }
}
