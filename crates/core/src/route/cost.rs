//! What it costs to send a request to a replica, in answers that are late for it.
//!
//! The unit is the thousandth of one late answer. What is merely a little slower breaks ties.

use super::lateness::Aim;

/// One late answer.
const LATE: u64 = 1_000;

/// What each further multiple of its aim costs an answer that is late already.
const LATER: u64 = 200;

/// Tokens that are read again though another replica has them, of which so many weigh as much as a
/// late answer. Of 3,000 and 6,000, fewer were read again with the first, and the worth was the same
/// within the spread.
const READ_AGAIN: u64 = 3_000;

/// A first event that comes so many microseconds later costs a thousandth of a late answer.
const TIE_US: u64 = 2_000;

/// How a request and the streams beside it would fare at one replica. Times in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outlook {
    /// Until its first event.
    pub first: u64,
    /// How long the replica would then read prompts without a break.
    pub stretch: u64,
    /// Streams that would pause meanwhile.
    pub running: u64,
    /// Tokens of the prompt's shared parts that it would read although another replica has them.
    pub again: u64,
}

/// How likely `span` is to be too long for `most`: certain beyond it, out of the question below half
/// of it, as the estimates are rough.
fn risk(span: u64, most: u64) -> u64 {
    let half = most / 2;
    if span <= half {
        return 0;
    }
    if span >= most {
        return LATE;
    }
    LATE * (span - half) / (most - half).max(1)
}

/// The cost of a replica for a request with this aim.
pub fn cost(o: &Outlook, aim: &Aim) -> u64 {
    let aim_us = (aim.first.as_micros() as u64).max(1);
    let late = risk(o.first, aim_us) + o.first.saturating_sub(aim_us) * LATER / aim_us;
    let paused = aim.pause.map_or(0, |most| risk(o.stretch, most.as_micros() as u64) * o.running);
    late + paused + o.again * LATE / READ_AGAIN + o.first / TIE_US
}
