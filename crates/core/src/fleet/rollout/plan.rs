//! The share of requests on trial, and the time at which all requests move to the new version.
//!
//! The part of a service's requests that a bad version may get within the order's duration is limited,
//! even if the fault is detected late or never. With a trial share `s` until the move at `m`, both as
//! fractions, that part is `s * m + (1 - m)`. An earlier move therefore leaves a smaller trial, which
//! detects less. So the move is planned near the end.

use crate::unit::Millis;

/// The part of the allowed requests to plan for, in thousandths; the rest is a margin for random
/// variation.
const PLANNED_PERMILLE: u64 = 900;

/// The part of the duration reserved for the move, in thousandths. A step reaches all connected gateways
/// within half a second; their reports return as fast, or a second later if one is lost. With 40, many
/// good versions were not completed within 30 s.
const MOVE_PERMILLE: u64 = 55;

/// Minimum time reserved for the move.
const MIN_MOVE: Millis = Millis(700);

/// The part of the planned requests that the move may use, in thousandths; the trial has the rest.
const MOVE_BUDGET_PERMILLE: u64 = 667;

/// Smallest share on trial, in thousandths; a smaller one detects nothing. Applies if the duration is so
/// short that the move uses all planned requests.
const MIN_TRIAL_PERMILLE: u64 = 10;

/// Largest share on trial, in thousandths.
const MAX_TRIAL_PERMILLE: u64 = 100;

/// The schedule of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Share of requests on trial, in thousandths.
    pub trial: u64,
    /// When all requests move, counted from the order.
    pub move_at: Millis,
}

/// Plans a rollout with the duration `within`, in which a bad version may get `allowed` thousandths of
/// the requests.
pub fn plan(within: Millis, allowed: u64) -> Plan {
    // The planned requests, as the time in milliseconds in which the service receives that many.
    let budget = within.0 * allowed * PLANNED_PERMILLE / 1_000_000;
    let reserved = (within.0 * MOVE_PERMILLE / 1_000).min(budget * MOVE_BUDGET_PERMILLE / 1_000);
    let move_for = reserved.max(MIN_MOVE.0).min(within.0 / 2);
    let move_at = within.0 - move_for;
    let trial = budget.saturating_sub(move_for) * 1_000 / move_at.max(1);
    Plan { trial: trial.clamp(MIN_TRIAL_PERMILLE, MAX_TRIAL_PERMILLE), move_at: Millis(move_at) }
}
