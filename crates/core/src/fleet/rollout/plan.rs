//! How much a version gets on trial, and when all requests move to it.
//!
//! A version that turns out bad may have had no more than a part of the service's requests until the
//! order's time is over, also if that shows late, or never. So all requests move only near the end:
//! with a trial share `s` until the move at `m`, the part is `s * m + (1 - m)`, as fractions of the
//! time given. The earlier the move, the smaller the trial and the less is learned before.

use crate::unit::Millis;

/// What a version may get of a service's requests until the order's time is over, where its badness
/// shows late, in thousandths of what is allowed: the rest is for chance.
const OF_ALLOWED: u64 = 900;

/// The part of the time that is left for the move, in thousandths, and the least: a step reaches all
/// gateways in touch within half a second, and their word on it comes back as soon, or a second later
/// where a report is lost. With 40, 115 of 300 good versions were completed in time in the model of 80
/// gateways and 30 s, with 55 968 of 1,000.
const MOVE_PART: u64 = 55;
const MOVE_LEAST: Millis = Millis(700);

/// The part of what a version may get that the move may use up, in thousandths: the trial has the rest.
const MOVE_OF_WORTH: u64 = 667;

/// The least share on trial, in thousandths: less would show nothing. Only where the time given is so
/// short that the move alone uses up what is allowed.
const TRIAL_LEAST: u64 = 10;

/// The largest share on trial, in thousandths.
const TRIAL_MOST: u64 = 100;

/// A plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The share on trial, in thousandths.
    pub trial: u64,
    /// When all requests move, from the order on.
    pub move_at: Millis,
}

/// Plans a roll-out that is to be completed `within` a time, where a bad version may get `allowed`
/// thousandths of the requests.
pub fn plan(within: Millis, allowed: u64) -> Plan {
    // Milliseconds' worth of all requests that the version may get.
    let worth = within.0 * allowed * OF_ALLOWED / 1_000_000;
    let part = (within.0 * MOVE_PART / 1_000).min(worth * MOVE_OF_WORTH / 1_000);
    let move_for = part.max(MOVE_LEAST.0).min(within.0 / 2);
    let move_at = within.0 - move_for;
    let trial = worth.saturating_sub(move_for) * 1_000 / move_at.max(1);
    Plan { trial: trial.clamp(TRIAL_LEAST, TRIAL_MOST), move_at: Millis(move_at) }
}
