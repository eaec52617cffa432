//! What gateways report of the old and the new version of a service.
//!
//! Counters only rise while a gateway lives, so a report that comes late, twice or by another way
//! counts once: of each life of a gateway the last report is taken. They are kept by route, as a
//! version may be bad on one route only.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::unit::{Index, Time};

/// Classes of how long answers took against what was expected.
pub const CLASSES: usize = 16;

/// The lowest bound of these classes, in thousandths of what was expected, and by how much each is
/// above the one before, in hundredths. They reach from a fifth of it to some eighty times of it.
const FIRST_BOUND: u64 = 200;
const STEP: u64 = 150;

/// The time to a first event beside waiting and reading, in microseconds: a few steps of an engine, or
/// the work of a plain service. Without it, answers that need next to nothing would differ by large factors.
const LEAST_EXPECTED_US: u64 = 50_000;

/// Routes of one service that are told apart; all others count as one.
const ROUTES_MOST: usize = 64;

/// The name that routes beyond these are counted under.
const OTHER_ROUTES: &str = "";

/// How attempts at replicas of one version ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Those that a replica answered or should have answered.
    pub ended: u64,
    /// Those of them that failed: the replica's own failure, no whole answer, or none in time.
    pub bad: u64,
    /// The others by how long their first byte took, lowest class first.
    pub slow: [u32; CLASSES],
}

impl Outcomes {
    /// Notes an attempt that failed.
    pub fn failed(&mut self) {
        self.ended += 1;
        self.bad += 1;
    }

    /// Notes an attempt that was answered: when its first byte came, and when it was expected.
    pub fn answered(&mut self, first_us: u64, expected_us: u64) {
        self.ended += 1;
        self.slow[class(first_us, expected_us)] += 1;
    }

    /// Adds others to these.
    pub fn add(&mut self, o: &Outcomes) {
        self.ended += o.ended;
        self.bad += o.bad;
        for (a, b) in self.slow.iter_mut().zip(&o.slow) {
            *a += b;
        }
    }
}

/// The class of an answer.
fn class(first_us: u64, expected_us: u64) -> usize {
    let of = first_us.saturating_mul(1_000) / (expected_us + LEAST_EXPECTED_US);
    let mut bound = FIRST_BOUND;
    let mut class = 0;
    while class + 1 < CLASSES && of >= bound {
        bound = bound * STEP / 100;
        class += 1;
    }
    class
}

/// The old and the new version side by side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sides {
    /// The versions that requests move away from.
    pub old: Outcomes,
    /// The version that they move to.
    pub new: Outcomes,
}

/// What is known of one roll-out, by route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// By the name of the route.
    pub routes: BTreeMap<String, Sides>,
}

impl Evidence {
    /// The outcomes of a route.
    pub fn of(&mut self, route: &str) -> &mut Sides {
        let known = self.routes.contains_key(route) || self.routes.len() < ROUTES_MOST;
        let name = if known { route } else { OTHER_ROUTES };
        if !self.routes.contains_key(name) {
            self.routes.insert(name.to_owned(), Sides::default());
        }
        self.routes.entry(name.to_owned()).or_default()
    }

    /// Adds what another gateway saw.
    pub fn add(&mut self, e: &Evidence) {
        for (route, sides) in &e.routes {
            let own = self.of(route);
            own.old.add(&sides.old);
            own.new.add(&sides.new);
        }
    }

    /// All routes together.
    pub fn total(&self) -> Sides {
        let mut all = Sides::default();
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

/// What one gateway says of one roll-out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: String,
    /// Position of the order.
    pub order: Index,
    /// Position of the last step that the gateway has taken.
    pub revision: Index,
    /// Drawn at the gateway's start: its counters are of this life.
    pub life: u64,
    /// What it has seen since it heard of the order.
    pub evidence: Evidence,
    /// Requests of its own that run at the old version.
    pub at_old: u64,
}

/// The last reports of each life of each gateway, at a control process.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    of_order: HashMap<Index, BTreeMap<(String, u64), Heard>>,
}

#[derive(Clone, Debug)]
struct Heard {
    at: Time,
    report: Report,
}

impl Reports {
    /// Takes what the gateway on `vm` says.
    pub fn take(&mut self, now: Time, vm: &str, r: Report) {
        let lives = self.of_order.entry(r.order).or_default();
        let key = (vm.to_owned(), r.life);
        let old = |h: &Heard| {
            h.report.revision > r.revision || h.report.evidence.ended() > r.evidence.ended()
        };
        if lives.get(&key).is_some_and(old) {
            return;
        }
        lives.insert(key, Heard { at: now, report: r });
    }

    /// Forgets the reports on all orders but these.
    pub fn keep(&mut self, orders: &[Index]) {
        self.of_order.retain(|order, _| orders.contains(order));
    }

    /// What all gateways have seen of an order.
    pub fn evidence(&self, order: Index) -> Evidence {
        let mut all = Evidence::default();
        for h in self.lives(order) {
            all.add(&h.report.evidence);
        }
        all
    }

    /// Gateways that were heard since `since`, those of them that have taken the step at `revision`,
    /// and requests that run at the old version there.
    pub fn standing(&self, order: Index, revision: Index, since: Time) -> Standing {
        let mut s = Standing::default();
        for h in self.lives(order).filter(|h| h.at >= since) {
            s.heard += 1;
            s.moved += usize::from(h.report.revision >= revision);
            s.at_old += h.report.at_old;
        }
        s
    }

    fn lives(&self, order: Index) -> impl Iterator<Item = &Heard> {
        self.of_order.get(&order).into_iter().flat_map(BTreeMap::values)
    }
}

/// How far gateways are with a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Gateways that were heard lately.
    pub heard: usize,
    /// Those of them that have taken it.
    pub moved: usize,
    /// Requests that run at the old version there.
    pub at_old: u64,
}
