//! Gateways' reports on the outcomes of the old and the new version of a service.
//!
//! Counters only increase while a gateway process runs, and the last report of each process counts. A
//! report that arrives late, twice or by another path therefore counts once. Outcomes are kept by route,
//! as a version may be faulty on one route only.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::unit::{Index, Time};

/// Number of classes of the ratio of actual to expected latency.
pub const LATENCY_CLASSES: usize = 16;

/// Upper bound of the lowest class, in thousandths of the expected latency.
const FIRST_BOUND_PERMILLE: u64 = 200;

/// Each bound in percent of the one before. The classes range from a fifth to about 60 times the
/// expected latency.
const BOUND_GROWTH_PERCENT: u64 = 150;

/// Time to the first event besides queueing and prompt processing, in microseconds: a few steps of an
/// engine, or the work of a plain service. Added to the expected latency, so that very short responses do
/// not differ by large factors.
const BASE_LATENCY_US: u64 = 50_000;

/// Maximum number of routes per service that are counted separately.
const MAX_ROUTES: usize = 64;

/// Name under which all further routes are counted.
const OTHER_ROUTES: &str = "";

/// Outcomes of the attempts at replicas of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Attempts that the replica answered or should have answered.
    pub ended: u64,
    /// Attempts of these that failed: an error of the replica, or no complete response in time.
    pub bad: u64,
    /// The other attempts by the latency class of their first byte, lowest first.
    pub slow: [u32; LATENCY_CLASSES],
}

impl Outcomes {
    /// Records a failed attempt.
    pub fn record_failure(&mut self) {
        self.ended += 1;
        self.bad += 1;
    }

    /// Records a successful attempt with the actual and the expected time to its first byte, in
    /// microseconds.
    pub fn record_response(&mut self, first_us: u64, expected_us: u64) {
        self.ended += 1;
        self.slow[latency_class(first_us, expected_us)] += 1;
    }

    /// Adds the counts of `o`.
    pub fn add(&mut self, o: &Outcomes) {
        self.ended += o.ended;
        self.bad += o.bad;
        for (a, b) in self.slow.iter_mut().zip(&o.slow) {
            *a += b;
        }
    }
}

fn latency_class(first_us: u64, expected_us: u64) -> usize {
    let permille = first_us.saturating_mul(1_000) / (expected_us + BASE_LATENCY_US);
    let mut bound = FIRST_BOUND_PERMILLE;
    let mut class = 0;
    while class + 1 < LATENCY_CLASSES && permille >= bound {
        bound = bound * BOUND_GROWTH_PERCENT / 100;
        class += 1;
    }
    class
}

/// Outcomes of the old and the new version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionOutcomes {
    /// Outcomes of the versions that requests move away from.
    pub old: Outcomes,
    /// Outcomes of the version that requests move to.
    pub new: Outcomes,
}

/// Outcomes in one rollout, by route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Outcomes by the name of the route.
    pub routes: BTreeMap<String, VersionOutcomes>,
}

impl Evidence {
    /// Returns the outcomes of a route for update.
    pub fn route_mut(&mut self, route: &str) -> &mut VersionOutcomes {
        let known = self.routes.contains_key(route) || self.routes.len() < MAX_ROUTES;
        let name = if known { route } else { OTHER_ROUTES };
        if !self.routes.contains_key(name) {
            self.routes.insert(name.to_owned(), VersionOutcomes::default());
        }
        self.routes.entry(name.to_owned()).or_default()
    }

    /// Adds the outcomes of another gateway.
    pub fn add(&mut self, e: &Evidence) {
        for (route, outcomes) in &e.routes {
            let own = self.route_mut(route);
            own.old.add(&outcomes.old);
            own.new.add(&outcomes.new);
        }
    }

    /// Returns the outcomes of all routes together.
    pub fn total(&self) -> VersionOutcomes {
        let mut all = VersionOutcomes::default();
        for s in self.routes.values() {
            all.old.add(&s.old);
            all.new.add(&s.new);
        }
        all
    }

    fn ended(&self) -> u64 {
        let t = self.total();
        t.old.ended + t.new.ended
    }
}

/// One gateway's report on one rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: String,
    /// Log position of the order.
    pub order: Index,
    /// Log position of the last step that the gateway has applied.
    pub revision: Index,
    /// Random id of the gateway process, to which the counters belong.
    pub life: u64,
    /// Outcomes since the gateway received the order.
    pub evidence: Evidence,
    /// Requests from this gateway in flight at the old version.
    pub at_old: u64,
}

/// The last report of each gateway process on each order, at a control process.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    by_order: HashMap<Index, BTreeMap<(String, u64), ReceivedReport>>,
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    at: Time,
    report: Report,
}

impl Reports {
    /// Records a report of the gateway on `vm`, unless it is older than the last one.
    pub fn record(&mut self, now: Time, vm: &str, r: Report) {
        let reports = self.by_order.entry(r.order).or_default();
        let key = (vm.to_owned(), r.life);
        let is_older = |h: &ReceivedReport| {
            h.report.revision > r.revision || h.report.evidence.ended() > r.evidence.ended()
        };
        if reports.get(&key).is_some_and(is_older) {
            return;
        }
        reports.insert(key, ReceivedReport { at: now, report: r });
    }

    /// Removes the reports on all orders but these.
    pub fn retain_orders(&mut self, orders: &[Index]) {
        self.by_order.retain(|order, _| orders.contains(order));
    }

    /// Returns the outcomes of an order, added up over all gateways.
    pub fn evidence(&self, order: Index) -> Evidence {
        let mut all = Evidence::default();
        for h in self.reports_on(order) {
            all.add(&h.report.evidence);
        }
        all
    }

    /// Returns how far the gateways that have reported since `since` have applied the step at
    /// `revision`.
    pub fn progress(&self, order: Index, revision: Index, since: Time) -> StepProgress {
        let mut s = StepProgress::default();
        for h in self.reports_on(order).filter(|h| h.at >= since) {
            s.reporting += 1;
            s.moved += usize::from(h.report.revision >= revision);
            s.at_old += h.report.at_old;
        }
        s
    }

    fn reports_on(&self, order: Index) -> impl Iterator<Item = &ReceivedReport> {
        self.by_order.get(&order).into_iter().flat_map(BTreeMap::values)
    }
}

/// Progress of the gateways with a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepProgress {
    /// Number of gateways that reported recently.
    pub reporting: usize,
    /// Number of these that have applied the step.
    pub moved: usize,
    /// Number of their requests in flight at the old version.
    pub at_old: u64,
}
