//! Rate limits of replicas at a gateway.
//!
//! A replica announces its limit in a response header. Before the gateway sends a request to a replica
//! with a limit, it requests a permit from the gateways that issue them (see [`PermitIssuers`]), which
//! may include itself.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::fleet::limit::issuers::PermitIssuers;
use cypressfork_core::fleet::limit::permits::{Grant, PERMIT_TTL, PermitBuckets, PermitRequest};
use cypressfork_core::fleet::limit::rate_limits::{self, LimitChange, LimitReport};
use cypressfork_core::fleet::limit::{DisplayLimit, LimitHeader, Rate};
use cypressfork_core::fleet::router_directory::{DataCentreRouters, NOT_WANTED, digest};
use cypressfork_core::route::retry_schedule::{RetrySchedule, RetrySpacing};
use cypressfork_core::unit::{Millis, Time};
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::{counter, gauge};
use rand::Rng;
use tokio::time::Instant;

use super::stand_in::IssuerProbes;
use super::state::Gateway;

/// Timeout of a permit request to another gateway. The caller's request waits for it.
const PERMIT_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a gateway that did not answer a permit request gets no further one.
const UNREACHABLE_BACKOFF: Millis = Millis(1_500);

/// Retry delay when no gateway issues permits for a replica.
const NO_ISSUER_DELAY: Millis = Millis(500);

/// Maximum number of permits in one request.
const MAX_WANTED: u32 = 16;

/// Interval between reports to control processes on a limit that replicas keep announcing unchanged.
const REPORT_INTERVAL: Millis = Millis::seconds(5);

/// Maximum number of reports in one watch request.
const MAX_REPORTS: usize = 64;

/// Maximum number of replicas remembered as logged for an invalid limit.
const MAX_LOGGED: usize = 256;

/// How long the permits of a replica are kept without a request for them.
const PERMITS_IDLE_TTL: Millis = Millis::seconds(120);

/// Maximum `Retry-After` of a refused caller. By then other callers have given up and freed capacity.
const MAX_RETRY_DELAY: Millis = Millis::seconds(3);

/// A permit request that was denied or not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitDenied {
    /// Delay before a retry.
    pub after: Millis,
    /// Whether no gateway answered, so that further permit requests would only delay the caller's request.
    pub unanswered: bool,
}

/// Unused permits for one replica.
#[derive(Clone, Copy, Debug, Default)]
struct CachedPermits {
    remaining: u32,
    valid_until: Time,
    /// Number of permits in the last request.
    last_wanted: u32,
}

impl CachedPermits {
    /// Uses one permit. Returns whether there was a valid one.
    fn try_take(&mut self, now: Time) -> bool {
        let available = self.remaining > 0 && now < self.valid_until;
        self.remaining -= u32::from(available);
        available
    }

    /// Returns the number of permits to request: twice the last number if all of those were used before
    /// they expired, else 1.
    fn next_wanted(&self, now: Time) -> u32 {
        let used_up = self.remaining == 0 && now < self.valid_until;
        if used_up { (self.last_wanted * 2).clamp(1, MAX_WANTED) } else { 1 }
    }
}

/// The rate limits that a gateway knows, and the permits that it holds and issues.
#[derive(Default)]
pub struct ReplicaLimits {
    known: RefCell<rate_limits::RateLimits>,
    /// Number of limited replicas in `known`, for a cheap check on each request.
    limited_count: Cell<usize>,
    buckets: RefCell<PermitBuckets>,
    issuers: RefCell<PermitIssuers>,
    /// The gateways of data centres with enough of them for homes.
    large_data_centres: RefCell<Vec<DataCentreRouters>>,
    /// The gateways of data centres with too few of them for homes.
    small_data_centres: RefCell<Vec<DataCentreRouters>>,
    cached: RefCell<HashMap<String, CachedPermits>>,
    /// When each gateway last failed to answer a permit request.
    unreachable: RefCell<BTreeMap<SocketAddr, Time>>,
    /// `Retry-After` schedule of each service's refused callers.
    retry_schedules: RefCell<HashMap<String, RetrySchedule>>,
    /// Requested probes of primary issuers.
    pub probes: IssuerProbes,
    /// Replicas whose invalid limit has been logged.
    logged: RefCell<BTreeSet<String>>,
}

impl ReplicaLimits {
    /// Returns whether a replica has a limit.
    pub fn has_limit(&self, replica: &str) -> bool {
        self.limited_count.get() > 0 && self.known.borrow().rate(replica).is_some()
    }

    /// Returns a description of a replica's limit for the detail of a refusal.
    pub fn describe(&self, now: Time, replica: &str) -> String {
        let known = self.known.borrow();
        let (rate, age) = (DisplayLimit(known.rate(replica)), known.age(now, replica));
        format!("replica {replica} takes {rate} a second, named {} ms ago", age.0)
    }

    /// Records the limit header of a response to the request `id`, which was sent at `sent`.
    pub fn record_response(
        &self,
        gw: &Gateway,
        replica: &str,
        id: &str,
        sent: Instant,
        header: LimitHeader,
    ) {
        let rate = match header {
            LimitHeader::Absent if self.limited_count.get() == 0 => return,
            LimitHeader::Absent => None,
            LimitHeader::Limit(rate) => Some(rate),
            LimitHeader::Invalid => return self.log_invalid(replica, id),
        };
        let now = gw.now();
        let sent = now.before(Millis(sent.elapsed().as_millis() as u64));
        let born = gw.born(replica);
        let change = self.known.borrow_mut().record_response(now, replica, born, sent, rate);
        if let Some(change) = change {
            self.apply_change(gw, replica, change, "answer", id);
            gw.poll_sources_now();
        }
    }

    /// Applies reports from a control process.
    pub fn apply_reports(&self, gw: &Gateway, reports: &[LimitReport]) {
        for r in reports.iter().filter(|r| gw.is_running(&r.replica, r.born)) {
            let change = self.known.borrow_mut().apply(gw.now(), r);
            if let Some(change) = change {
                self.apply_change(gw, &r.replica, change, "control", "");
            }
        }
    }

    /// Updates the gateway after the limit of a replica changed, and logs the change. `by` is where it was
    /// learned: `answer` or `control`; `id` is the request of that response.
    fn apply_change(&self, gw: &Gateway, replica: &str, change: LimitChange, by: &str, id: &str) {
        self.update_limited_count();
        gw.set_rate_limited(replica, change.to.is_some());
        emit!(
            Event::LimitChanged,
            replica = replica,
            from = DisplayLimit(change.from),
            to = DisplayLimit(change.to),
            by = by,
            id = id,
        );
    }

    /// Recounts the replicas with a limit.
    fn update_limited_count(&self) {
        let count = self.known.borrow().limited().count();
        self.limited_count.set(count);
        gauge!(metric::LIMITED).set(count as f64);
    }

    /// Logs an invalid limit header, once per replica.
    fn log_invalid(&self, replica: &str, id: &str) {
        let mut logged = self.logged.borrow_mut();
        if logged.len() >= MAX_LOGGED {
            logged.clear();
        }
        if logged.insert(replica.to_owned()) {
            emit!(Event::LimitInvalid, replica = replica, id = id);
        }
    }

    /// Returns the due reports to control processes on this gateway's own observations, and marks them
    /// as reported.
    pub fn take_due_reports(&self, now: Time) -> Vec<LimitReport> {
        if self.limited_count.get() == 0 && self.known.borrow().position() == 0 {
            return Vec::new();
        }
        self.known.borrow_mut().take_due_reports(now, REPORT_INTERVAL, MAX_REPORTS)
    }

    /// Removes all state of a replica that has left or restarted.
    pub fn remove(&self, replica: &str) {
        self.cached.borrow_mut().remove(replica);
        self.buckets.borrow_mut().remove(replica);
        self.issuers.borrow_mut().remove(replica);
        if self.known.borrow_mut().remove(replica).is_some() {
            self.update_limited_count();
        }
    }

    /// Removes expired state.
    pub fn remove_expired(&self, gw: &Gateway) {
        let now = gw.now();
        let expired =
            self.known.borrow_mut().expire(now, |replica, born| gw.is_running(replica, born));
        for replica in expired {
            self.remove(&replica);
            gw.set_rate_limited(&replica, false);
        }
        self.update_limited_count();
        self.buckets.borrow_mut().expire(now, PERMITS_IDLE_TTL);
        self.cached.borrow_mut().retain(|_, c| now.since(c.valid_until) < PERMITS_IDLE_TTL);
        self.retry_schedules.borrow_mut().retain(|_, schedule| !schedule.is_idle(now));
        self.unreachable.borrow_mut().retain(|_, at| now.since(*at) < UNREACHABLE_BACKOFF);
    }

    /// Returns the digest of the gateways of data centres without homes, for a watch request. Returns
    /// [`NOT_WANTED`] if `large_data_centres`, the digest of the other data centres' gateways, is that too.
    pub fn small_data_centres_digest(&self, large_data_centres: u64) -> u64 {
        if large_data_centres == NOT_WANTED {
            NOT_WANTED
        } else {
            digest(&self.small_data_centres.borrow())
        }
    }

    /// Replaces the gateways of data centres with homes.
    pub fn set_large_data_centres(&self, now: Time, routers: &[DataCentreRouters]) {
        *self.large_data_centres.borrow_mut() = routers.to_vec();
        self.update_issuers(now);
    }

    /// Replaces the gateways of data centres without homes.
    pub fn set_small_data_centres(&self, now: Time, routers: Vec<DataCentreRouters>) {
        *self.small_data_centres.borrow_mut() = routers;
        self.update_issuers(now);
    }

    fn update_issuers(&self, now: Time) {
        let (large_data_centres, small_data_centres) =
            (self.large_data_centres.borrow(), self.small_data_centres.borrow());
        let links = |d: &DataCentreRouters| d.links.iter().filter_map(|l| l.parse().ok()).collect();
        let all = large_data_centres
            .iter()
            .chain(small_data_centres.iter())
            .map(|d| (d.data_centre.clone(), links(d)));
        self.issuers.borrow_mut().set_routers(now, all.collect());
    }

    /// Acquires a permit for one request of this priority to a replica; succeeds at once if the replica
    /// has no limit. Each send needs its own permit, including retries and a resend after an idle
    /// connection turned out to be closed.
    pub async fn acquire_permit(
        &self,
        gw: &Gateway,
        replica: &str,
        data_centre: &str,
        priority: u8,
    ) -> Result<(), PermitDenied> {
        if self.limited_count.get() == 0 {
            return Ok(());
        }
        let Some(rate) = self.known.borrow().rate(replica) else { return Ok(()) };
        let requested = gw.now();
        let wanted = {
            let mut cached = self.cached.borrow_mut();
            let c = cached.entry(replica.to_owned()).or_default();
            if c.try_take(requested) {
                counter!(metric::PERMITS, "end" => "at_hand").increment(1);
                return Ok(());
            }
            c.next_wanted(requested)
        };
        let req = PermitRequest {
            replica: replica.to_owned(),
            data_centre: data_centre.to_owned(),
            rate,
            priority,
            wanted,
        };
        let grant = self.request_grant(gw, &req).await;
        self.apply_grant(gw, &req, requested, grant)
    }

    /// Uses one permit of a grant and caches the others.
    fn apply_grant(
        &self,
        gw: &Gateway,
        req: &PermitRequest,
        requested: Time,
        grant: Option<Grant>,
    ) -> Result<(), PermitDenied> {
        let end = match grant {
            Some(g) if g.permits > 0 => "granted",
            Some(_) => "denied",
            None => "unanswered",
        };
        counter!(metric::PERMITS, "end" => end).increment(1);
        match grant {
            Some(g) if g.permits > 0 => {
                let remaining = g.permits - 1;
                let c = CachedPermits {
                    remaining,
                    valid_until: requested.after(PERMIT_TTL),
                    last_wanted: req.wanted,
                };
                self.cached.borrow_mut().insert(req.replica.clone(), c);
                Ok(())
            }
            Some(g) => Err(PermitDenied { after: with_jitter(g.after), unanswered: false }),
            None => {
                emit!(
                    Event::PermitUnanswered,
                    replica = req.replica,
                    routers = self.issuers.borrow().router_count(),
                    ago_ms = gw.now().since(requested).0,
                );
                Err(PermitDenied { after: with_jitter(NO_ISSUER_DELAY), unanswered: true })
            }
        }
    }

    /// Requests permits from the primary issuer, and from the secondary if the primary does not answer
    /// or has none at the reduced rate. Returns `None` if no issuer answers.
    async fn request_grant(&self, gw: &Gateway, req: &PermitRequest) -> Option<Grant> {
        let own = gw.settings.link_advertise;
        let mut denied = None;
        for issuer in self.reachable_issuers(gw, req) {
            let grant = match issuer == own {
                true => Some(self.issue_permits(gw, req)),
                false => gw.peers.request_permits(gw, issuer, req, PERMIT_REQUEST_TIMEOUT).await,
            };
            match grant {
                Some(g) if g.permits == 0 && g.reduced => denied = Some(g),
                Some(g) => return Some(g),
                None => {
                    self.unreachable.borrow_mut().insert(issuer, gw.now());
                }
            }
        }
        denied
    }

    /// Returns the issuers of a replica's permits in order, without those that recently did not answer.
    fn reachable_issuers(&self, gw: &Gateway, req: &PermitRequest) -> Vec<SocketAddr> {
        let now = gw.now();
        let mut issuers = self.issuers.borrow_mut();
        let all = issuers
            .issuers(gw.settings.link_advertise, &req.replica, &req.data_centre)
            .iter()
            .copied();
        all.filter(|a| !self.is_unreachable(now, a)).collect()
    }

    fn is_unreachable(&self, now: Time, gateway: &SocketAddr) -> bool {
        self.unreachable
            .borrow()
            .get(gateway)
            .is_some_and(|at| now.since(*at) < UNREACHABLE_BACKOFF)
    }

    /// Issues permits for another gateway's request or this gateway's own.
    pub fn issue_permits(&self, gw: &Gateway, req: &PermitRequest) -> Grant {
        let (now, own) = (gw.now(), gw.settings.link_advertise);
        let issue_rate =
            self.issuers.borrow_mut().issue_rate(now, own, &req.replica, &req.data_centre);
        // The requesting gateway has a different list of gateways.
        let Some(issue_rate) = issue_rate else {
            return Grant { after: NO_ISSUER_DELAY, ..Grant::default() };
        };
        self.request_probe(gw, req);
        // While the two gateways know different limits, the lower one applies.
        let known = self.known.borrow().rate(&req.replica).unwrap_or(req.rate);
        let req = PermitRequest { rate: req.rate.min(known), ..req.clone() };
        let grant = self.buckets.borrow_mut().grant(now, &req, issue_rate);
        counter!(metric::PERMITS_GIVEN).increment(u64::from(grant.permits));
        let reduced_until =
            self.issuers.borrow_mut().reduced_until(now, own, &req.replica, &req.data_centre);
        Grant { reduced: reduced_until.is_some(), ..grant }
    }

    /// Returns how much longer this gateway issues a replica's permits at the reduced rate as its new
    /// primary, or `None` if it does not.
    pub fn reduced_for(&self, gw: &Gateway, replica: &str, data_centre: &str) -> Option<Millis> {
        let (now, own) = (gw.now(), gw.settings.link_advertise);
        let until = self.issuers.borrow_mut().reduced_until(now, own, replica, data_centre)?;
        Some(until.since(now))
    }

    /// Requests a probe of the replica's primary issuer if this gateway is the secondary and has no
    /// recent probe result.
    fn request_probe(&self, gw: &Gateway, req: &PermitRequest) {
        let (now, own) = (gw.now(), gw.settings.link_advertise);
        let mut issuers = self.issuers.borrow_mut();
        if let Some(primary) = issuers.primary_to_probe(now, own, &req.replica, &req.data_centre) {
            self.probes.request(primary, &req.replica, &req.data_centre);
        }
    }

    /// Records the result of a probe that started at `now`: the primary issuer of a replica issues no
    /// more than the reduced rate until `until`.
    pub fn record_reduced(&self, now: Time, replica: &str, primary: SocketAddr, until: Time) {
        self.issuers.borrow_mut().record_reduced(now, replica, primary, until);
    }

    /// Returns the `Retry-After` of a caller that no replica of `service` accepts before `min_delay`.
    /// Callers are spaced at this gateway's share of the sum of the service's limits.
    pub fn retry_delay(&self, gw: &Gateway, service: &str, min_delay: Millis) -> Millis {
        let now = gw.now();
        let total: u64 = gw.rate_limited(service).iter().map(|r| self.rate(r).0).sum();
        let routers = self.issuers.borrow().router_count().max(1) as u64;
        let spacing = Millis(1_000_000 * routers / total.max(1));
        let mut schedules = self.retry_schedules.borrow_mut();
        let schedule = schedules.entry(service.to_owned()).or_default();
        schedule.next_delay(
            now,
            &RetrySpacing { earliest: min_delay, interval: spacing, max: MAX_RETRY_DELAY },
            &mut rand::rng(),
        )
    }

    fn rate(&self, replica: &str) -> Rate {
        self.known.borrow().rate(replica).unwrap_or_default()
    }
}

/// Returns `span` less a random part of up to a quarter, so that gateways with the same delay do not
/// retry at the same time.
fn with_jitter(span: Millis) -> Millis {
    Millis(span.0 - rand::rng().random_range(0..=span.0 / 4))
}
