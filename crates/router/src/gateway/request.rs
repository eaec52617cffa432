//! Serves one request: resolves its route, reserves its tokens and tries replicas until one answers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::header::{self, HeaderName};
use bytes::Bytes;
use cypressfork_core::budget::TokenUsage;
use cypressfork_core::code::{Code, Ran};
use cypressfork_core::fleet::admission;
use cypressfork_core::fleet::document::{ClientAccount, Route, RouteKind};
use cypressfork_core::fleet::fingerprint::Fingerprint;
use cypressfork_core::fleet::routes::{Routes, request_hash};
use cypressfork_core::fleet::software::RESUME_WINDOW;
use cypressfork_core::route::lateness::LatencyObjective;
use cypressfork_core::route::{BlockReason, Blocked, RequestProfile};
use cypressfork_core::unit::{Millis, Tokens};
use cypressfork_http::server::client::Client;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use metrics::{counter, histogram};
use tokio::time::{Instant, timeout_at};

use super::activity::End;
use super::attempt::{self, Answer, AttemptOutcome};
use super::budget::{TokenReservation, reserve_tokens};
use super::dialect::{CallerRequest, Dialect};
use super::events::EventSplitter;
use super::notices::SendKind;
use super::origins::{ForwardedStream, OriginGround};
use super::receive::{overloaded_refusal, unreceived_refusal, unroutable_refusal};
use super::rollouts::AttemptObservation;
use super::routed_request::RoutedRequest;
use super::state::{Gateway, PickedReplica};
use super::timing::StreamTiming;
use crate::reply::Refusal;

/// `Retry-After` when no replica accepts the request.
const NO_CAPACITY_RETRY_AFTER: Millis = Millis(400);

/// Attempts that reach no replica before the request fails.
const MAX_UNREACHED: usize = 4;

/// Refused connections before the request fails. Each takes a round trip, and several replicas may have ended since
/// they were last used.
const MAX_REFUSED: usize = 32;

/// Attempts that replicas reject without running the request before it fails.
const MAX_REJECTED: usize = 3;

/// Denied permits before a request avoids rate-limited replicas. Each costs a round trip between gateways.
const MAX_PERMIT_DENIALS: u32 = 3;

/// Interval at which a request that waits for its spending limit checks whether its caller is still connected.
const BEGIN_STEP: Duration = Duration::from_millis(200);

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

fn to_duration(m: Millis) -> Duration {
    Duration::from_millis(m.0)
}

/// What was forwarded of the response to a request, over all of its attempts.
pub struct ResponseProgress {
    /// The position in its stream of events.
    pub events: EventSplitter,
    /// The time spent in each phase.
    pub timing: StreamTiming,
    /// The tokens reserved for the request.
    pub tokens: Option<TokenReservation>,
    /// The stream whose events were forwarded.
    pub stream: Option<ForwardedStream>,
}

impl ResponseProgress {
    /// Begins to spend the request's tokens, before the first part of a response is forwarded. Returns the outcome
    /// of the attempt if the caller closes its connection or the deadline passes first.
    pub async fn begin(
        &mut self,
        request: &RoutedRequest,
        client: &mut Client,
    ) -> Result<(), AttemptOutcome> {
        let (Some(tokens), Some(account)) = (&mut self.tokens, &request.account) else {
            return Ok(());
        };
        // Not cancelled on close: a loan that is under way would count as used.
        while !tokens
            .begin(&request.gw, account, request.deadline.min(Instant::now() + BEGIN_STEP))
            .await
        {
            if client.is_closed().await {
                return Err(AttemptOutcome::Left);
            }
            if request.time_left() == Duration::ZERO {
                return Err(AttemptOutcome::Late);
            }
        }
        Ok(())
    }
}

/// The outcome of a request.
pub enum Outcome {
    /// The complete response was forwarded.
    Answered,
    /// The request was refused, or failed before any of a response was sent.
    Refused(Refusal),
    /// The request failed after a part of the response was sent; the text is the reason.
    Interrupted(String),
    /// The caller closed its connection.
    CallerClosed,
}

impl Outcome {
    /// Returns how it counts among ended requests.
    pub fn end(&self) -> End {
        match self {
            Outcome::Answered => End::Answered,
            Outcome::Refused(_) => End::Refused,
            Outcome::Interrupted(_) => End::Interrupted,
            Outcome::CallerClosed => End::Left,
        }
    }
}

/// Why a request failed that outlasted a planned stop.
const STOPPED: &str = "the gateway stops";

/// Returns the outcome of a request that outlasts a planned stop; `ran` tells whether a replica may have run it.
pub fn stopped_outcome(client: &Client, ran: Ran) -> Outcome {
    match ran {
        _ if client.has_started() => Outcome::Interrupted(STOPPED.to_owned()),
        Ran::No => Outcome::Refused(unreceived_refusal(Code::Stopping)),
        ran => Outcome::Refused(Refusal::from(Code::UpstreamFailed).ran(ran).detail(STOPPED)),
    }
}

/// Resolves the route of a request, reserves its tokens, runs it and settles the reservation.
pub async fn run<D: Dialect>(
    gw: &Rc<Gateway>,
    client: &mut Client,
    req: Request,
    inbound: CallerRequest,
    body: Bytes,
    routes: &Routes,
) -> Outcome {
    let arrived = Instant::now();
    let (mut request, prepaid) = match resolve(gw, routes, req, inbound, body) {
        Ok(resolved) => resolved,
        Err(code) => return Outcome::Refused(unroutable_refusal(gw, code)),
    };
    if let Some(f) = gw.quarantines.find(&request) {
        return Outcome::Refused(quarantine_refusal(f));
    }
    if let Ok(route) = routes.route(&request.inbound.host, request.uri.path())
        && let Err(refusal) = gw.origins.restrict(&mut request, routes, route).await
    {
        return Outcome::Refused(refusal);
    }
    gw.count_request(&request.service);
    if !admission::admits(
        gw.active_connections.get() as u64,
        gw.settings.max_active_requests,
        request.priority,
    ) {
        return Outcome::Refused(overloaded_refusal());
    }
    let started = Instant::now();
    let reservation = reserve(&request, prepaid).await;
    histogram!(metric::TOKENS_WAIT).record(started.elapsed());
    let reservation = match reservation {
        Ok(reservation) => reservation,
        Err(r) => return Outcome::Refused(r),
    };
    let mut attempts = RequestAttempts::new(&request, arrived, reservation);
    let outcome = attempts.run::<D>(client).await;
    if let Some(tokens) = attempts.progress.tokens.take() {
        tokens.settle(&attempts.usage());
    }
    deliver_held(client, request.deadline, outcome).await
}

/// Sends what is held of the response, until the deadline, and returns the outcome of the request. The
/// replica and the tokens are free by now, because they do not depend on how fast the caller reads.
async fn deliver_held(client: &mut Client, until: Instant, outcome: Outcome) -> Outcome {
    if matches!(outcome, Outcome::CallerClosed) {
        return outcome;
    }
    let delivered = matches!(timeout_at(until, client.flush()).await, Ok(Ok(())));
    match outcome {
        Outcome::Answered if !delivered => Outcome::CallerClosed,
        outcome => outcome,
    }
}

/// Returns the refusal of a quarantined request, without `Retry-After` because copies of it are refused too.
fn quarantine_refusal(f: Fingerprint) -> Refusal {
    Refusal::from(Code::Quarantined).detail(format!("fingerprint {f}"))
}

/// Resolves the route, account and service of a request. Returns the request with the account's prepaid
/// tokens.
fn resolve(
    gw: &Rc<Gateway>,
    routes: &Routes,
    mut req: Request,
    inbound: CallerRequest,
    body: Bytes,
) -> Result<(RoutedRequest, Option<Tokens>), Code> {
    let route: &Route = routes.route(&inbound.host, req.path())?;
    let account = routes.account(route, inbound.key.as_deref())?;
    let backend =
        routes.choose_service(route, request_hash(&inbound.id)).ok_or(Code::NoUpstream)?;
    let timeout = inbound.timeout.map_or(route.timeout, |d| d.min(route.timeout));
    let mut headers = std::mem::take(&mut req.head_mut().headers);
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    let mut request = RoutedRequest {
        gw: gw.clone(),
        method: req.method().clone(),
        uri: req.uri().clone(),
        headers,
        body,
        kind: route.kind,
        resumable: route.kind == RouteKind::Stream && route.resumable,
        priority: account.and_then(|a| a.priority).unwrap_or(route.priority),
        max_attempts: route.attempts.max(1),
        route: route.name.clone(),
        service: String::new(),
        cold_per_minute: None,
        regions: allowed_regions(route, account)?,
        account: account.map(|a| a.name.clone()),
        tokens_per_event: 1,
        infers_origin: route.targets.iter().filter(|t| t.weight > 0).count() == 1
            && route.timeout <= RESUME_WINDOW,
        version: None,
        origin_ground: None,
        latency_objective: LatencyObjective {
            first_event: to_duration(route.objective),
            max_pause: route.gap.map(to_duration),
        },
        deadline: Instant::now() + to_duration(timeout),
        inbound,
    };
    request.set_backend(backend);
    Ok((request, account.and_then(|a| a.prepaid)))
}

/// Returns the regions allowed by both the route and the account; empty: any. Fails if they have none in
/// common.
fn allowed_regions(
    route: &Route,
    account: Option<&ClientAccount>,
) -> Result<BTreeSet<String>, Code> {
    let route_regions = &route.regions;
    let Some(account_regions) = account.map(|a| &a.regions).filter(|r| !r.is_empty()) else {
        return Ok(route_regions.clone());
    };
    if route_regions.is_empty() {
        return Ok(account_regions.clone());
    }
    let both: BTreeSet<_> = route_regions.intersection(account_regions).cloned().collect();
    if both.is_empty() { Err(Code::NoRegion) } else { Ok(both) }
}

/// Reserves the request's tokens. Returns none if it has no prompt, or its account no budget.
async fn reserve(
    request: &RoutedRequest,
    prepaid: Option<Tokens>,
) -> Result<Option<TokenReservation>, Refusal> {
    let (Some(prompt), Some(prepaid), Some(account)) =
        (&request.inbound.prompt, prepaid, &request.account)
    else {
        return Ok(None);
    };
    let max_tokens = request.prompt_charge().saturating_add(prompt.max_output);
    reserve_tokens(&request.gw, account, prepaid, max_tokens, request.deadline).await.map(Some)
}

/// The attempts of one request.
struct RequestAttempts<'a> {
    request: &'a RoutedRequest,
    progress: ResponseProgress,
    tried: Vec<SocketAddr>,
    /// Attempts in which a replica may have run it.
    ran: u32,
    /// Whether a replica's complete response was received and forwarded.
    is_complete: bool,
    unreached: usize,
    /// Attempts whose connection was refused.
    refused: usize,
    /// Attempts that a replica rejected without running it.
    rejected: usize,
    /// Rejected attempts whose replica requested a backoff.
    backed_off: usize,
    /// Why the remaining replicas cannot be used.
    blocked: Option<Blocked>,
    /// The last server error that a replica returned.
    failure: Option<Box<Answer>>,
}

impl<'a> RequestAttempts<'a> {
    fn new(
        request: &'a RoutedRequest,
        arrived: Instant,
        tokens: Option<TokenReservation>,
    ) -> RequestAttempts<'a> {
        let events = EventSplitter::resume_after(request.inbound.last_event);
        let progress =
            ResponseProgress { events, timing: StreamTiming::new(arrived), tokens, stream: None };
        RequestAttempts {
            request,
            progress,
            tried: Vec::new(),
            ran: 0,
            is_complete: false,
            unreached: 0,
            refused: 0,
            rejected: 0,
            backed_off: 0,
            blocked: None,
            failure: None,
        }
    }

    /// Returns the token usage after the last attempt, to settle the reservation.
    fn usage(&self) -> TokenUsage {
        let is_complete = self.is_complete;
        TokenUsage {
            prompt: self.request.prompt_charge(),
            events: self.progress.events.count(),
            tokens_per_event: self.request.tokens_per_event,
            unread: if is_complete { 0 } else { self.progress.timing.unread().max_unread() },
            is_complete,
        }
    }

    /// Runs the request. If it fails after a replica returned a server error, forwards that.
    async fn run<D: Dialect>(&mut self, client: &mut Client) -> Outcome {
        let outcome = self.try_replicas::<D>(client).await;
        if !matches!(outcome, Outcome::Refused(_)) {
            return outcome;
        }
        let Some(answer) = self.failure.take() else { return outcome };
        let sending = client.send_response(answer.status, answer.headers, answer.body);
        let sent = timeout_at(self.request.deadline, sending).await;
        if matches!(sent, Ok(Ok(()))) { Outcome::Answered } else { Outcome::CallerClosed }
    }

    /// Sends the request to one replica after the other until a response is forwarded or the request fails.
    async fn try_replicas<D: Dialect>(&mut self, client: &mut Client) -> Outcome {
        loop {
            if self.request.time_left() == Duration::ZERO {
                return self.deadline_passed(client);
            }
            // The caller may have left before its request was read, or while it waited for tokens.
            if client.is_closed().await {
                return Outcome::CallerClosed;
            }
            if let Some(f) = self.request.gw.quarantines.find(self.request) {
                return self.fail_quarantined(f, client);
            }
            let request = self.request;
            let Some(chosen) = self.pick_replica().await else {
                return self.give_up("no replica is left", client);
            };
            self.log_continuation(&chosen);
            self.tried.push(chosen.choice.address);
            let observation = AttemptObservation::start(&request.gw, &request.service, chosen.side);
            let kind = if self.is_sent() { SendKind::Retry } else { SendKind::First };
            let (ended, time_to_first) =
                attempt::run::<D>(request, client, &mut self.progress, &chosen, kind).await;
            let PickedReplica { choice, replica, version, .. } = chosen;
            observation.finish(&request.route, &ended, time_to_first, choice.expected_us);
            counter!(metric::ATTEMPTS, "end" => ended.label()).increment(1);
            let failed = ended.is_failure();
            self.request.gw.finish(&self.request.service, &choice, failed);
            emit!(
                Event::AttemptEnded,
                id = self.request.inbound.id,
                replica = replica,
                version = version,
                ended = format_args!("{ended:?}"),
                expected_us = choice.expected_us,
            );
            if matches!(ended, AttemptOutcome::Answered) && self.request.kind == RouteKind::Stream {
                self.progress.timing.report(
                    &self.request.inbound.id,
                    &replica,
                    &self.request.latency_objective,
                );
            }
            if let Some(outcome) = self.handle_attempt(client, ended).await {
                return outcome;
            }
        }
    }

    /// Returns the only version at which the response may continue, once an event of it has reached the caller.
    fn required_version(&self) -> Option<String> {
        let forwarded = self.progress.stream.as_ref().map(|s| s.version.clone());
        forwarded.or_else(|| self.request.version.clone())
    }

    /// Logs the replica at which a stream continues after an event that its caller has received.
    fn log_continuation(&self, at: &PickedReplica) {
        let inbound = &self.request.inbound;
        let Some(after) = self.progress.events.last().filter(|n| *n > 0) else { return };
        emit!(
            Event::StreamContinued,
            id = inbound.id,
            resumes = inbound.resumes.as_deref().unwrap_or_default(),
            after = after,
            replica = at.replica,
            version = at.version,
            ground = self.request.origin_ground.map_or("forwarded", OriginGround::label),
        );
    }

    /// Picks a replica and acquires a permit if it is rate-limited. Returns none if no replica is available.
    async fn pick_replica(&mut self) -> Option<PickedReplica> {
        let request = self.request;
        let gw = &request.gw;
        let version_preference = gw.rollouts.version_preference(
            gw.now(),
            &request.service,
            &request.inbound.id,
            !self.tried.is_empty(),
        );
        let version = self.required_version();
        let mut profile = RequestProfile { version_preference, version, ..request.profile() };
        let mut denials = 0;
        loop {
            let picked =
                gw.pick(&request.service, request.cold_per_minute, &mut profile, &self.tried);
            let Some(mut chosen) = picked else {
                self.blocked = gw.blocked(&request.service, &profile);
                return None;
            };
            let (replica, dc) = (&chosen.replica, &chosen.data_centre);
            let Err(denied) = gw.limits.acquire_permit(gw, replica, dc, request.priority).await
            else {
                gw.commit(&request.service, &profile, &mut chosen);
                return Some(chosen);
            };
            gw.block(&request.service, &chosen, denied.after, request.priority);
            profile.version_preference = version_preference;
            denials += 1;
            profile.avoid_rate_limited = denied.unanswered || denials >= MAX_PERMIT_DENIALS;
        }
    }

    /// Returns the outcome of the request after an attempt; none if another replica is to be tried.
    async fn handle_attempt(
        &mut self,
        client: &mut Client,
        ended: AttemptOutcome,
    ) -> Option<Outcome> {
        match ended {
            AttemptOutcome::Answered => {
                self.ran += 1;
                self.is_complete = true;
                Some(Outcome::Answered)
            }
            AttemptOutcome::Left => {
                self.ran += 1;
                Some(Outcome::CallerClosed)
            }
            AttemptOutcome::Refused(why) => {
                self.refused += 1;
                let try_next = self.refused < MAX_REFUSED;
                (!try_next).then(|| self.give_up(&why, client))
            }
            AttemptOutcome::NotSent(why) => {
                self.unreached += 1;
                let try_next = self.unreached < MAX_UNREACHED;
                (!try_next).then(|| self.give_up(&why, client))
            }
            // The next pick excludes this replica.
            AttemptOutcome::Withheld => None,
            AttemptOutcome::OverBudget => Some(self.give_up("no retry is left", client)),
            AttemptOutcome::NotRun => {
                self.rejected += 1;
                self.backed_off += usize::from(self.last_is_backing_off());
                let try_next = self.may_retry_rejected();
                (!try_next).then(|| self.give_up("replicas have no room", client))
            }
            AttemptOutcome::Failed(answer) => {
                self.ran += 1;
                let try_next = self.may_run_again(client);
                self.failure = Some(answer);
                (!try_next).then(|| self.fail(client, "the replica failed".to_owned()))
            }
            AttemptOutcome::Lost(why) => {
                self.ran += 1;
                self.progress.events.discard_partial();
                let try_next = self.may_run_again(client) && !self.may_crash_replicas();
                (!try_next).then(|| self.fail(client, why))
            }
            AttemptOutcome::Silent(why) | AttemptOutcome::Broken(why) => {
                self.ran += 1;
                self.progress.events.discard_partial();
                let try_next = self.may_run_again(client);
                (!try_next).then(|| self.fail(client, why))
            }
            AttemptOutcome::Late => {
                self.ran += 1;
                Some(if self.request.is_stopped() {
                    stopped_outcome(client, Ran::Unknown)
                } else if client.has_started() {
                    Outcome::Interrupted("the deadline has passed".to_owned())
                } else {
                    Outcome::Refused(Refusal::from(Code::UpstreamLate).ran(Ran::Unknown))
                })
            }
        }
    }

    /// Returns whether another replica may be tried after one has rejected the request. Rejections with a
    /// backoff do not count towards the limit, because each stops further requests to the replica. If most
    /// replicas are backing off, the others are likely to reject it too.
    fn may_retry_rejected(&mut self) -> bool {
        let (gw, service) = (&self.request.gw, &self.request.service);
        if self.backed_off > 0 && gw.is_mostly_backing_off(service) {
            self.blocked = gw.blocked(service, &self.request.profile());
            return false;
        }
        self.rejected - self.backed_off < MAX_REJECTED && gw.has_retry(service)
    }

    /// Returns whether the last replica tried is backing off.
    fn last_is_backing_off(&self) -> bool {
        let (gw, service) = (&self.request.gw, &self.request.service);
        self.tried.last().is_some_and(|a| gw.is_backing_off(service, *a))
    }

    /// Returns whether the request may run once more.
    fn may_run_again(&self, client: &Client) -> bool {
        let can_continue = !client.has_started() || self.request.resumable;
        self.request.is_repeatable()
            && can_continue
            && self.ran < self.request.max_attempts
            && self.request.gw.has_retry(&self.request.service)
    }

    /// Returns whether a part of the prompt is suspected of crashing replicas, so that the request could cost
    /// another one.
    fn may_crash_replicas(&self) -> bool {
        self.request.gw.quarantines.is_suspect(self.request)
    }

    /// Returns whether a replica may have received the request.
    fn is_sent(&self) -> bool {
        self.ran > 0 || self.rejected > 0
    }

    /// Returns the outcome of a request that a replica may have run, but that was not answered completely.
    fn fail(&self, client: &Client, why: String) -> Outcome {
        if client.has_started() {
            return Outcome::Interrupted(why);
        }
        let failure = Refusal::from(Code::UpstreamFailed).ran(Ran::Unknown);
        Outcome::Refused(failure.detail(why))
    }

    /// Returns the outcome of a request that was found quarantined before its next attempt.
    fn fail_quarantined(&self, f: Fingerprint, client: &Client) -> Outcome {
        let refusal = quarantine_refusal(f);
        if self.ran > 0 {
            return self.fail(client, refusal.code.text().to_owned());
        }
        Outcome::Refused(refusal)
    }

    /// Returns the outcome when no further attempt is made.
    fn give_up(&self, why: &str, client: &Client) -> Outcome {
        if self.ran > 0 {
            return self.fail(client, why.to_owned());
        }
        if let Some(blocked) = &self.blocked
            && (blocked.reason == BlockReason::Backoff || self.rejected == 0)
        {
            return Outcome::Refused(self.refuse_blocked(blocked));
        }
        let code = match (self.rejected, self.request.regions.is_empty()) {
            (0, true) => Code::NoUpstream,
            (0, false) => Code::NoRegion,
            _ => Code::RetriesSpent,
        };
        Outcome::Refused(Refusal::from(code).retry_after(NO_CAPACITY_RETRY_AFTER).detail(why))
    }

    /// Returns the refusal when replicas are available but rate-limited or backing off.
    fn refuse_blocked(&self, blocked: &Blocked) -> Refusal {
        let (gw, service) = (&self.request.gw, &self.request.service);
        let (code, after, why) = match blocked.reason {
            BlockReason::RateLimit => {
                let why = gw.limits.describe(gw.now(), &blocked.replica);
                (Code::LimitReached, gw.limits.retry_delay(gw, service, blocked.retry_after), why)
            }
            BlockReason::Backoff => {
                let why = format!(
                    "replica {} takes requests again in {} ms",
                    blocked.replica, blocked.retry_after.0
                );
                (Code::UpstreamsResting, gw.retry_delay(service, blocked.retry_after), why)
            }
        };
        Refusal::from(code).retry_after(after).detail(why)
    }

    /// Returns the outcome when the deadline passes, or a planned stop ends the request, before the next attempt.
    fn deadline_passed(&self, client: &Client) -> Outcome {
        let ran = if self.ran > 0 { Ran::Unknown } else { Ran::No };
        if self.request.is_stopped() {
            return stopped_outcome(client, ran);
        }
        if client.has_started() {
            return Outcome::Interrupted("the deadline has passed".to_owned());
        }
        Outcome::Refused(Refusal::from(Code::DeadlinePassed).ran(ran))
    }
}
