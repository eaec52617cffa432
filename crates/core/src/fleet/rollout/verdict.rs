//! Whether a version is bad, by what was seen of it and of the old one over the same time.
//!
//! Both bear requests of the same routes at the same time, so what troubles the service as a whole
//! shows on both sides and speaks against neither. Two things are compared on each route, and over
//! all routes:
//!
//! - **Failures.** Against the old version's share of them, raised by what chance may have hidden
//!   there, by the bound of Chernoff: `n * KL(share, old share)`; that of several routes adds up. It is looked at with every report;
//!   [`SURE`] is set so high that this many looks do no harm.
//! - **Times.** Each answer's time against what was expected of it, by the ranks of both sides, with
//!   the old side's times raised by half: a version that merely is not warm yet is not slow.

use super::evidence::{CLASSES, Evidence, Outcomes, Sides};

/// How sure a verdict on failures has to be: one wrong one in `exp(12)`, 160,000, looks at a route.
const SURE: f64 = 12.0;

/// Failures that a verdict needs at least.
const BAD_LEAST: u64 = 4;

/// A share of failures below this counts as this much: a single failure of the new version against
/// none of the old one shows nothing.
const SHARE_LEAST: f64 = 0.01;

/// Standard deviations by which the ranks have to differ: one in three million.
const DEVIATIONS: f64 = 5.0;

/// Answers of the new version that a verdict on their times needs at least.
const TIMED_LEAST: u64 = 20;

/// A version of which this many answers were bad is stopped at less certainty: after 50 it has to get
/// nothing more. With one in `exp(4)` one good version in thirteen was taken back, where one route of
/// four failed in 14 of 100 by itself.
const MANY_BAD: u64 = 25;
const SURE_OF_MANY: f64 = 8.0;

/// What is wrong with a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// It fails more often.
    Fails {
        /// Its failures, and its answers with them.
        new: (u64, u64),
        /// The same of the old one.
        old: (u64, u64),
    },
    /// It is slower.
    Slow {
        /// By how many standard deviations.
        deviations: f64,
        /// Its answers.
        answers: u64,
    },
}

/// What chance adds to the certainty of each route, on the mean: routes together have to be surer by it.
const OF_CHANCE: f64 = 0.5;

/// Finds what is wrong with the new version: the route, empty for all together, and the fault.
pub fn judge(e: &Evidence) -> Option<(String, Fault)> {
    let of_route = e.routes.iter().find_map(|(route, s)| Some((route.clone(), fault(s)?)));
    of_route.or_else(|| Some((String::new(), fault_of_all(e)?)))
}

fn fault(s: &Sides) -> Option<Fault> {
    is_sure(fails(s), s.new.bad).then(|| counts(s)).or_else(|| slow(s))
}

/// All routes together. Their shares of failures differ, so not their failures are added up, but how
/// sure each of them makes it that the version fails more often.
fn fault_of_all(e: &Evidence) -> Option<Fault> {
    let total = e.total();
    let of_route = |s: &Sides| (fails(s) - OF_CHANCE).max(0.0);
    let certainty = e.routes.values().map(of_route).sum();
    is_sure(certainty, total.new.bad).then(|| counts(&total)).or_else(|| slow(&total))
}

fn is_sure(certainty: f64, bad: u64) -> bool {
    bad >= BAD_LEAST && (certainty >= SURE || (bad >= MANY_BAD && certainty >= SURE_OF_MANY))
}

fn counts(s: &Sides) -> Fault {
    Fault::Fails { new: (s.new.bad, s.new.ended), old: (s.old.bad, s.old.ended) }
}

/// The old version's share of failures at its worst: raised by two standard deviations.
fn worst_share(o: &Outcomes) -> f64 {
    let n = o.ended as f64 + 2.0;
    let share = (o.bad as f64 + 1.0) / n;
    (share + 2.0 * (share * (1.0 - share) / n).sqrt()).clamp(SHARE_LEAST, 0.999)
}

/// How sure it is that the new version fails more often, as the exponent of chance.
fn fails(s: &Sides) -> f64 {
    let expected = worst_share(&s.old);
    let share = s.new.bad as f64 / s.new.ended.max(1) as f64;
    if share <= expected {
        return 0.0;
    }
    s.new.ended as f64 * divergence(share, expected)
}

/// The Kullback-Leibler divergence of two shares.
fn divergence(p: f64, q: f64) -> f64 {
    let part = |p: f64, q: f64| if p > 0.0 { p * (p / q).ln() } else { 0.0 };
    part(p, q) + part(1.0 - p, 1.0 - q)
}

/// Compares ranks, the old side's classes one higher: that is half as long again.
fn slow(s: &Sides) -> Option<Fault> {
    let raised = |n: usize| n.checked_sub(1).map_or(0, |n| u64::from(s.old.slow[n]));
    let old = |n: usize| match n + 1 {
        CLASSES => raised(n) + u64::from(s.old.slow[n]),
        _ => raised(n),
    };
    let new = |n: usize| u64::from(s.new.slow[n]);
    let answers: u64 = (0..CLASSES).map(new).sum();
    let others: u64 = (0..CLASSES).map(old).sum();
    if answers < TIMED_LEAST || others < TIMED_LEAST {
        return None;
    }
    // Mann and Whitney's U, with ties counting half, and its variance corrected for them.
    let (mut below, mut u, mut ties) = (0.0, 0.0, 0.0);
    for n in 0..CLASSES {
        let (a, b) = (new(n) as f64, old(n) as f64);
        u += a * (below + b / 2.0);
        below += b;
        ties += (a + b).powi(3) - (a + b);
    }
    let (a, b) = (answers as f64, others as f64);
    let all = a + b;
    let variance = a * b / 12.0 * (all + 1.0 - ties / (all * (all - 1.0)));
    if variance <= 0.0 {
        return None;
    }
    let deviations = (u - a * b / 2.0) / variance.sqrt();
    (deviations >= DEVIATIONS).then_some(Fault::Slow { deviations, answers })
}
