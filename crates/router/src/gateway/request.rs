//! One request, from its head to its end.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::header::{self, HeaderName};
use bytes::Bytes;
use cypressfork_core::code::{Code, Ran};
use cypressfork_core::fleet::admission;
use cypressfork_core::fleet::document::{ClientAccount, Kind, Route};
use cypressfork_core::fleet::fingerprint::Fingerprint;
use cypressfork_core::fleet::patience;
use cypressfork_core::fleet::routes::{Routes, request_hash};
use cypressfork_core::route::lateness::LatencyObjective;
use cypressfork_core::route::{BlockReason, Blocked, RequestProfile};
use cypressfork_core::unit::{Millis, Tokens};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use metrics::{counter, histogram};
use tokio::time::Instant;

use super::answer::refuse;
use super::attempt::{self, Ended};
use super::budget::{Held, Spent, hold};
use super::client::Client;
use super::dialect::{Dialect, Inbound};
use super::documents::depends_on_document;
use super::events::Events;
use super::job::Job;
use super::notices::Try;
use super::rollouts::Observation;
use super::state::{Chosen, Gateway};
use super::timing::Timing;
use crate::reply::Refusal;

/// When to come back to a gateway that knows no document yet.
const NOT_READY_AFTER: Millis = Millis::seconds(1);

/// When to come back to a gateway that has too many requests under way.
const OVERLOADED_AFTER: Millis = Millis::seconds(1);

/// When to come back after replicas had no room.
const FULL_AFTER: Millis = Millis(400);

/// Tries that reach no replica, before the request is given up.
const UNREACHED: usize = 4;

/// Tries that replicas reject as not run, before the request is given up.
const REJECTED: usize = 3;

/// Permits that a request is denied before it goes to replicas without a limit or is refused: each takes
/// a round trip between gateways.
const DENIALS: u32 = 3;

/// Headers that concern one connection only.
const OF_CONNECTION: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

fn millis(m: Millis) -> Duration {
    Duration::from_millis(m.0)
}

/// What has been passed on of the answer to a request, whichever replicas it came from.
pub struct Progress {
    /// The events.
    pub events: Events,
    /// Where its time went.
    pub timing: Timing,
}

/// How a request ended.
enum Outcome {
    /// Its answer was passed on whole.
    Answered,
    /// It is refused, or has failed before anything was passed on.
    Refused(Refusal),
    /// Its answer broke off after a part was passed on.
    Broken(String),
    /// Its caller has gone.
    Left,
}

/// Serves one request whose body has arrived.
pub async fn serve<D: Dialect>(gw: &Rc<Gateway>, client: &mut Client, req: &Request, body: Bytes) {
    let (id, outcome) = match D::inbound(req.head()) {
        Ok(inbound) => {
            let id = inbound.id.clone();
            (id, find_and_run::<D>(gw, client, req, inbound, body).await)
        }
        Err(code) => (String::new(), Outcome::Refused(Refusal::from(code))),
    };
    finish::<D>(client, &id, outcome).await;
}

async fn finish<D: Dialect>(client: &mut Client, id: &str, outcome: Outcome) {
    match outcome {
        Outcome::Answered => counter!(metric::REQUESTS, "code" => "0").increment(1),
        Outcome::Refused(r) => {
            let code = r.code.number();
            counter!(metric::REQUESTS, "code" => code.to_string()).increment(1);
            let why = r.detail.as_deref().unwrap_or_default();
            emit!(Event::RequestFailed, id = id, code = code, ran = r.ran.as_str(), why = why);
            if refuse::<D>(client, id, &r).await.is_err() {
                client.close_after();
            }
        }
        Outcome::Broken(why) => {
            emit!(Event::RequestFailed, id = id, code = 0, ran = "yes", why = why);
            client.close_after();
        }
        Outcome::Left => {
            emit!(Event::RequestFailed, id = id, code = 0, why = "the caller has gone");
            client.close_after();
        }
    }
}

async fn find_and_run<D: Dialect>(
    gw: &Rc<Gateway>,
    client: &mut Client,
    req: &Request,
    inbound: Inbound,
    body: Bytes,
) -> Outcome {
    let arrived = Instant::now();
    if gw.is_overloaded().await {
        return Outcome::Refused(Refusal::from(Code::Overloaded).after(OVERLOADED_AFTER));
    }
    let wait = patience::first_document_wait(gw.now(), inbound.deadline);
    let until = Instant::now() + Duration::from_millis(wait.0);
    let Some(routes) = gw.wait_for_routes(until).await else {
        return Outcome::Refused(Refusal::from(Code::NotReady).after(NOT_READY_AFTER));
    };
    let routes = match may_route(&routes, req, &inbound) {
        Err(code) if depends_on_document(code) => match newest_routes(gw, &inbound).await {
            Some(routes) => routes,
            None => return Outcome::Refused(behind(gw)),
        },
        _ => routes,
    };
    let (job, prepaid) = match find(gw, &routes, req, inbound, body) {
        Ok(found) => found,
        Err(code) => {
            let by = gw.documents.describe(gw.now());
            return Outcome::Refused(Refusal::from(code).detail(by));
        }
    };
    if let Some(f) = gw.quarantines.find(&job) {
        return Outcome::Refused(quarantined(f));
    }
    gw.count_request(&job.service);
    if !admission::admits(gw.active.get() as u64, gw.settings.places, job.priority) {
        return Outcome::Refused(Refusal::from(Code::Overloaded).after(OVERLOADED_AFTER));
    }
    let begun = Instant::now();
    let held = tokens(&job, prepaid).await;
    histogram!(metric::TOKENS_WAIT).record(begun.elapsed());
    let held = match held {
        Ok(held) => held,
        Err(r) => return Outcome::Refused(r),
    };
    let mut run = Run::new(&job, arrived);
    let outcome = run.go::<D>(client).await;
    let spent = run.spent(matches!(outcome, Outcome::Answered));
    if let Some(held) = held {
        held.settle(spent);
    }
    outcome
}

/// Whether the document allows a request at all.
fn may_route(routes: &Routes, req: &Request, inbound: &Inbound) -> Result<(), Code> {
    let route = routes.route(&inbound.host, req.path())?;
    routes.account(route, inbound.key.as_deref()).map(|_| ())
}

/// The document by which a request may be refused for good: the newest that any control process has
/// told of lately. None: this gateway does not have it in time, or hears of nobody.
async fn newest_routes(gw: &Gateway, inbound: &Inbound) -> Option<Rc<Routes>> {
    if gw.documents.is_cut_off(gw.now()) {
        return None;
    }
    let wait = patience::newer_document_wait(inbound.deadline);
    gw.wait_for_newest_routes(Instant::now() + Duration::from_millis(wait.0)).await
}

/// A refusal that a newer document may turn into an answer.
fn behind(gw: &Gateway) -> Refusal {
    let by = gw.documents.describe(gw.now());
    Refusal::from(Code::NotReady).after(NOT_READY_AFTER).detail(by)
}

/// The answer to a quarantined request. It names no time to come back: copies of it fare the same.
fn quarantined(f: Fingerprint) -> Refusal {
    Refusal::from(Code::Quarantined).detail(format!("fingerprint {f}"))
}

/// Finds the route, the account and the service of a request.
fn find(
    gw: &Rc<Gateway>,
    routes: &Routes,
    req: &Request,
    inbound: Inbound,
    body: Bytes,
) -> Result<(Job, Option<Tokens>), Code> {
    let route: &Route = routes.route(&inbound.host, req.path())?;
    let account = routes.account(route, inbound.key.as_deref())?;
    let backend =
        routes.choose_service(route, request_hash(&inbound.id)).ok_or(Code::NoUpstream)?;
    let limit = inbound.deadline.map_or(route.timeout, |d| d.min(route.timeout));
    let mut headers = req.head().headers.clone();
    for name in OF_CONNECTION {
        headers.remove(name);
    }
    let job = Job {
        gw: gw.clone(),
        method: req.method().clone(),
        uri: req.uri().clone(),
        headers,
        body,
        kind: route.kind,
        resumable: route.kind == Kind::Stream && route.resumable,
        priority: account.and_then(|a| a.priority).unwrap_or(route.priority),
        attempts: route.attempts.max(1),
        route: route.name.clone(),
        service: backend.name.clone(),
        cold_bound: backend.cold_per_minute,
        regions: allowed_regions(route, account)?,
        account: account.map(|a| a.name.clone()),
        stride: backend.engine.map_or(1, |e| e.stride.max(1)),
        aim: LatencyObjective {
            first_event: millis(route.objective),
            max_pause: route.gap.map(millis),
        },
        deadline: Instant::now() + millis(limit),
        inbound,
    };
    Ok((job, account.and_then(|a| a.prepaid)))
}

/// The regions that a request may be served in: those of its route and of its account.
fn allowed_regions(
    route: &Route,
    account: Option<&ClientAccount>,
) -> Result<BTreeSet<String>, Code> {
    let of_route = &route.regions;
    let Some(of_account) = account.map(|a| &a.regions).filter(|r| !r.is_empty()) else {
        return Ok(of_route.clone());
    };
    if of_route.is_empty() {
        return Ok(of_account.clone());
    }
    let both: BTreeSet<_> = of_route.intersection(of_account).cloned().collect();
    if both.is_empty() { Err(Code::NoRegion) } else { Ok(both) }
}

async fn tokens(job: &Job, prepaid: Option<Tokens>) -> Result<Option<Held>, Refusal> {
    let (Some(prompt), Some(prepaid), Some(account)) = (&job.inbound.prompt, prepaid, &job.account)
    else {
        return Ok(None);
    };
    hold(&job.gw, account, prepaid, prompt, job.deadline).await.map(Some)
}

/// The attempts of one request.
struct Run<'a> {
    job: &'a Job,
    progress: Progress,
    tried: Vec<SocketAddr>,
    /// Replicas that may have run it.
    ran: u32,
    unreached: usize,
    /// Times that a replica turned it away.
    rejected: usize,
    /// Those of them by replicas that asked for rest.
    rested: usize,
    /// What keeps it away from the replicas that are left.
    held_back: Option<Blocked>,
}

impl<'a> Run<'a> {
    fn new(job: &'a Job, arrived: Instant) -> Run<'a> {
        let events = Events::after(job.inbound.last_event);
        let progress = Progress { events, timing: Timing::new(arrived) };
        Run {
            job,
            progress,
            tried: Vec::new(),
            ran: 0,
            unreached: 0,
            rejected: 0,
            rested: 0,
            held_back: None,
        }
    }

    fn spent(&self, whole: bool) -> Spent {
        let (ran, events, stride) = (self.ran > 0, self.progress.events.passed(), self.job.stride);
        let unseen = if whole { 0 } else { self.progress.timing.pace().max_unread() };
        Spent { ran, events, stride, unseen }
    }

    /// Sends it to one replica after the other until it is answered or given up.
    async fn go<D: Dialect>(&mut self, client: &mut Client) -> Outcome {
        loop {
            if self.job.left() == Duration::ZERO {
                return self.late(client);
            }
            if let Some(f) = self.job.gw.quarantines.find(self.job) {
                return self.stop(f, client);
            }
            let job = self.job;
            let Some(Chosen { choice, replica, data_centre, side }) = self.choose().await else {
                return self.give_up("no replica is left", client);
            };
            self.tried.push(choice.address);
            let observation = Observation::begin(&job.gw, &job.service, side);
            let chosen = Chosen { choice, replica, data_centre, side };
            let which = if self.tried.len() == 1 { Try::First } else { Try::Further };
            let (ended, first) =
                attempt::run::<D>(job, client, &mut self.progress, &chosen, which).await;
            let Chosen { choice, replica, .. } = chosen;
            observation.end(&job.route, &ended, first, choice.expected_us);
            counter!(metric::ATTEMPTS, "end" => ended.name()).increment(1);
            let failed = ended.is_failure();
            self.job.gw.done(&self.job.service, &choice, failed);
            emit!(
                Event::AttemptEnded,
                id = self.job.inbound.id,
                replica = replica,
                ended = format_args!("{ended:?}"),
                expected_us = choice.expected_us,
            );
            if matches!(ended, Ended::Answered) && self.job.kind == Kind::Stream {
                self.progress.timing.report(&self.job.inbound.id, &replica, &self.job.aim);
            }
            if let Some(outcome) = self.after(client, ended).await {
                return outcome;
            }
        }
    }

    /// Chooses a replica that the request may be sent to now: one that names a limit needs a permit.
    async fn choose(&mut self) -> Option<Chosen> {
        let job = self.job;
        let gw = &job.gw;
        let version_preference = gw.trials.version_preference(
            gw.now(),
            &job.service,
            &job.inbound.id,
            !self.tried.is_empty(),
        );
        let mut work = RequestProfile { version_preference, ..job.work() };
        let mut denials = 0;
        loop {
            let picked = gw.pick(&job.service, job.cold_bound, &mut work, &self.tried);
            let Some(mut chosen) = picked else {
                self.held_back = gw.held_back(&job.service, &work);
                return None;
            };
            let (replica, dc) = (&chosen.replica, &chosen.data_centre);
            let Err(denied) = gw.limits.permit(gw, replica, dc, job.priority).await else {
                gw.commit(&job.service, &work, &mut chosen);
                return Some(chosen);
            };
            gw.bar(&job.service, &chosen, denied.after, job.priority);
            work.version_preference = version_preference;
            denials += 1;
            work.avoid_rate_limited = denied.unanswered || denials >= DENIALS;
        }
    }

    /// What the end of an attempt comes to; none: the next replica is tried.
    async fn after(&mut self, client: &mut Client, ended: Ended) -> Option<Outcome> {
        match ended {
            Ended::Answered => {
                self.ran += 1;
                Some(Outcome::Answered)
            }
            Ended::Left => {
                self.ran += 1;
                Some(Outcome::Left)
            }
            Ended::NotSent(why) => {
                self.unreached += 1;
                let more = self.unreached < UNREACHED;
                (!more).then(|| self.give_up(&why, client))
            }
            // It is chosen anew, without the replica.
            Ended::Withheld => None,
            Ended::NotRun => {
                self.rejected += 1;
                self.rested += usize::from(self.last_is_resting());
                let more = self.may_try_another();
                (!more).then(|| self.give_up("replicas have no room", client))
            }
            Ended::Failed(answer) => {
                self.ran += 1;
                if self.may_repeat(client) {
                    return None;
                }
                let sent = client.whole(answer.status, answer.headers, answer.body).await;
                Some(if sent.is_ok() { Outcome::Answered } else { Outcome::Left })
            }
            Ended::Lost(why) | Ended::Broken(why) => {
                self.ran += 1;
                self.progress.events.restart();
                let more = self.may_repeat(client);
                (!more).then(|| self.broken(client, why))
            }
            Ended::Late => {
                self.ran += 1;
                Some(if client.has_begun() {
                    Outcome::Broken("its time is over".to_owned())
                } else {
                    Outcome::Refused(Refusal::from(Code::UpstreamLate).ran(Ran::Unknown))
                })
            }
        }
    }

    /// Whether another replica may be tried after one has turned it away. One that asks for rest is asked by
    /// no other request, so that costs one try in all; where most rest, others would turn it away as well.
    fn may_try_another(&mut self) -> bool {
        let (gw, service) = (&self.job.gw, &self.job.service);
        if self.rested > 0 && gw.is_mostly_resting(service) {
            self.held_back = gw.held_back(service, &self.job.work());
            return false;
        }
        self.rejected - self.rested < REJECTED && gw.take_retry(service)
    }

    /// Whether the replica that it was sent to last has asked for rest.
    fn last_is_resting(&self) -> bool {
        let (gw, service) = (&self.job.gw, &self.job.service);
        self.tried.last().is_some_and(|a| gw.is_resting(service, *a))
    }

    /// Whether it may run once more.
    fn may_repeat(&self, client: &Client) -> bool {
        let can_go_on = !client.has_begun() || self.job.resumable;
        self.job.is_repeatable()
            && can_go_on
            && self.ran < self.job.attempts
            && self.job.gw.take_retry(&self.job.service)
    }

    fn broken(&self, client: &Client, why: String) -> Outcome {
        if client.has_begun() {
            return Outcome::Broken(why);
        }
        let failure = Refusal::from(Code::UpstreamFailed).ran(Ran::Unknown);
        Outcome::Refused(failure.detail(why))
    }

    /// It has been quarantined meanwhile.
    fn stop(&self, f: Fingerprint, client: &Client) -> Outcome {
        let refusal = quarantined(f);
        if self.ran > 0 {
            return self.broken(client, refusal.code.text().to_owned());
        }
        Outcome::Refused(refusal)
    }

    /// No replica is left to try.
    fn give_up(&self, why: &str, client: &Client) -> Outcome {
        if self.ran > 0 {
            return self.broken(client, why.to_owned());
        }
        if let Some(held_back) = &self.held_back
            && (held_back.reason == BlockReason::Backoff || self.rejected == 0)
        {
            return Outcome::Refused(self.refuse_held_back(held_back));
        }
        let code = match (self.rejected, self.job.regions.is_empty()) {
            (0, true) => Code::NoUpstream,
            (0, false) => Code::NoRegion,
            _ => Code::RetriesSpent,
        };
        Outcome::Refused(Refusal::from(code).after(FULL_AFTER).detail(why))
    }

    /// Replicas could run it, and take no more for now.
    fn refuse_held_back(&self, h: &Blocked) -> Refusal {
        let (gw, service) = (&self.job.gw, &self.job.service);
        let (code, after, why) = match h.reason {
            BlockReason::RateLimit => {
                let why = gw.limits.describe(gw.now(), &h.replica);
                (Code::LimitReached, gw.limits.come_back(gw, service, h.retry_after), why)
            }
            BlockReason::Backoff => {
                let why =
                    format!("replica {} takes requests again in {} ms", h.replica, h.retry_after.0);
                (Code::UpstreamsResting, gw.come_back(service, h.retry_after), why)
            }
        };
        Refusal::from(code).after(after).detail(why)
    }

    /// Its time is over before a replica, or the next one, had it.
    fn late(&self, client: &Client) -> Outcome {
        if client.has_begun() {
            return Outcome::Broken("its time is over".to_owned());
        }
        let ran = if self.ran > 0 { Ran::Unknown } else { Ran::No };
        Outcome::Refused(Refusal::from(Code::DeadlinePassed).ran(ran))
    }
}
