//! Detection of a faulty version by comparison with the old version over the same period.
//!
//! Both versions serve requests of the same routes at the same time, so a problem of the service as a
//! whole affects both and shows no fault. Two measures are compared per route and over all routes:
//!
//! - **Failures.** The score is the exponent of Chernoff's bound, `n * KL(rate, old rate)`, with the old
//!   version's failure rate raised to its upper confidence bound. The scores of routes add up. As the
//!   test runs with every report, [`MIN_SCORE`] is high enough for repeated tests.
//! - **Latency.** A rank test on the ratio of actual to expected latency, with the old version's raised
//!   by half: a version that is merely not warmed up yet is not slow.

use super::evidence::{Evidence, LATENCY_CLASSES, Outcomes, VersionOutcomes};

/// Minimum score of a fault by failures: one false positive in `exp(12)`, about 160,000, tests of a route.
const MIN_SCORE: f64 = 12.0;

/// Minimum number of failures of a faulty version.
const MIN_FAILURES: u64 = 4;

/// Lower bound of the old version's failure rate: a single failure of the new version against none of the
/// old one is not significant.
const MIN_FAILURE_RATE: f64 = 0.01;

/// Minimum difference of the ranks, in standard deviations: one false positive in three million tests.
const MIN_DEVIATIONS: f64 = 5.0;

/// Minimum number of responses of each version for the latency test.
const MIN_TIMED_RESPONSES: u64 = 20;

/// Number of failures from which [`MIN_SCORE_OF_MANY`] applies.
const MANY_FAILURES: u64 = 25;

/// Minimum score at [`MANY_FAILURES`]. It is lower, as a bad version must get no requests after 50
/// failures. With 4, one good version in thirteen was rolled back when one route of four failed in
/// 14 % of its requests by itself.
const MIN_SCORE_OF_MANY: f64 = 8.0;

/// A fault of the new version.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// It fails more often than the old one.
    Fails {
        /// Failures and total responses of the new version.
        new: (u64, u64),
        /// Failures and total responses of the old version.
        old: (u64, u64),
    },
    /// It is slower than the old one.
    Slow {
        /// Difference of the ranks, in standard deviations.
        deviations: f64,
        /// Timed responses of the new version.
        answers: u64,
    },
}

/// Mean score of a route whose versions fail equally often, subtracted before scores are added up.
const CHANCE_SCORE: f64 = 0.5;

/// Returns the first fault of the new version and its route, which is empty for all routes together.
pub fn find_fault(e: &Evidence) -> Option<(String, Fault)> {
    let of_route = e.routes.iter().find_map(|(route, s)| Some((route.clone(), route_fault(s)?)));
    of_route.or_else(|| Some((String::new(), total_fault(e)?)))
}

fn route_fault(s: &VersionOutcomes) -> Option<Fault> {
    is_significant(failure_score(s), s.new.bad)
        .then(|| failure_fault(s))
        .or_else(|| latency_fault(s))
}

/// Tests all routes together. Their failure rates differ, so the scores are added up instead of the
/// failures.
fn total_fault(e: &Evidence) -> Option<Fault> {
    let total = e.total();
    let above_chance = |s: &VersionOutcomes| (failure_score(s) - CHANCE_SCORE).max(0.0);
    let score = e.routes.values().map(above_chance).sum();
    is_significant(score, total.new.bad)
        .then(|| failure_fault(&total))
        .or_else(|| latency_fault(&total))
}

fn is_significant(score: f64, bad: u64) -> bool {
    bad >= MIN_FAILURES
        && (score >= MIN_SCORE || (bad >= MANY_FAILURES && score >= MIN_SCORE_OF_MANY))
}

fn failure_fault(s: &VersionOutcomes) -> Fault {
    Fault::Fails { new: (s.new.bad, s.new.ended), old: (s.old.bad, s.old.ended) }
}

/// Returns an upper bound of the failure rate: the smoothed rate plus two standard deviations.
fn max_failure_rate(o: &Outcomes) -> f64 {
    let n = o.ended as f64 + 2.0;
    let rate = (o.bad as f64 + 1.0) / n;
    (rate + 2.0 * (rate * (1.0 - rate) / n).sqrt()).clamp(MIN_FAILURE_RATE, 0.999)
}

/// Returns the score for a higher failure rate of the new version: the negated logarithm of the bound on
/// its probability by chance.
fn failure_score(s: &VersionOutcomes) -> f64 {
    let expected = max_failure_rate(&s.old);
    let rate = s.new.bad as f64 / s.new.ended.max(1) as f64;
    if rate <= expected {
        return 0.0;
    }
    s.new.ended as f64 * kl_divergence(rate, expected)
}

/// Returns the Kullback-Leibler divergence of two Bernoulli distributions.
fn kl_divergence(p: f64, q: f64) -> f64 {
    let term = |p: f64, q: f64| if p > 0.0 { p * (p / q).ln() } else { 0.0 };
    term(p, q) + term(1.0 - p, 1.0 - q)
}

/// Tests whether the new version is slower than the old one with its latency classes raised by one, which
/// is half as long again.
fn latency_fault(s: &VersionOutcomes) -> Option<Fault> {
    let raised = |n: usize| n.checked_sub(1).map_or(0, |n| u64::from(s.old.slow[n]));
    let old = |n: usize| match n + 1 {
        LATENCY_CLASSES => raised(n) + u64::from(s.old.slow[n]),
        _ => raised(n),
    };
    let new = |n: usize| u64::from(s.new.slow[n]);
    let answers: u64 = (0..LATENCY_CLASSES).map(new).sum();
    let old_answers: u64 = (0..LATENCY_CLASSES).map(old).sum();
    if answers < MIN_TIMED_RESPONSES || old_answers < MIN_TIMED_RESPONSES {
        return None;
    }
    // The Mann-Whitney U statistic, with its variance corrected for ties.
    let (mut below, mut u, mut ties) = (0.0, 0.0, 0.0);
    for n in 0..LATENCY_CLASSES {
        let (a, b) = (new(n) as f64, old(n) as f64);
        u += a * (below + b / 2.0);
        below += b;
        ties += (a + b).powi(3) - (a + b);
    }
    let (a, b) = (answers as f64, old_answers as f64);
    let all = a + b;
    let variance = a * b / 12.0 * (all + 1.0 - ties / (all * (all - 1.0)));
    if variance <= 0.0 {
        return None;
    }
    let deviations = (u - a * b / 2.0) / variance.sqrt();
    (deviations >= MIN_DEVIATIONS).then_some(Fault::Slow { deviations, answers })
}
