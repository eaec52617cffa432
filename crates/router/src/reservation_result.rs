//! Results of token reservations and lease requests, and the refusals that callers get for them.

use cypressfork_core::budget::{Decision, Reservation, Shortage};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::peer::Shortfall;
use cypressfork_core::unit::{Millis, Tokens};

use crate::reply::Refusal;

/// Retry delay once a budget is spent.
const SPENT_RETRY_AFTER: Millis = Millis::seconds(60);

/// Retry delay while the control group is unreachable.
pub const UNREACHABLE_RETRY_AFTER: Millis = Millis::seconds(5);

/// The grantor of a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grantor {
    /// The control group.
    Group,
    /// The data centre's reserve.
    Reserve,
}

/// A reservation of all or some of the requested tokens.
pub struct PartialReservation {
    /// The reserved tokens and their grantor, if any.
    pub reserved: Option<(Grantor, Reservation)>,
    /// Why some are missing; `None` if all are reserved.
    pub shortfall: Option<Shortfall>,
}

/// What a holder has of a budget.
#[derive(Clone, Copy, Debug)]
pub struct Available {
    /// Idle tokens.
    pub idle: Tokens,
    /// Tokens that the spending limit allows.
    pub allowed: Tokens,
    /// Retry delay if the tokens are idle and only the spending limit does not allow them.
    pub limit_retry_after: Option<Millis>,
}

/// The result of a lease request to the control group.
#[derive(Clone, Copy, Debug)]
pub enum LeaseOutcome {
    /// The group granted a lease or reported a shortage.
    Decided(Decision),
    /// The request failed or was invalid.
    Refused(Code),
}

/// Returns how long to wait after a shortage, or the refusal for the caller.
pub fn wait_or_refusal(s: Shortage) -> Result<Millis, Refusal> {
    match s {
        Shortage::Busy(span) => Ok(span),
        Shortage::Away(span) => Err(Refusal::from(Code::BudgetBusy).retry_after(span)),
        Shortage::Spent => Err(Refusal::from(Code::BudgetSpent).retry_after(SPENT_RETRY_AFTER)),
    }
}

/// Returns whether `code` means that the control group could not be reached.
pub fn is_unreachable(code: Code) -> bool {
    matches!(code, Code::NoQuorum | Code::LinkBroken | Code::NotLeader | Code::QueueFull)
}

/// Returns the refusal for the caller whose lease request failed with `code`.
pub fn lease_refusal(code: Code) -> Refusal {
    match code {
        Code::AccountClosed => Refusal::from(code),
        Code::BudgetUnknown => Refusal::from(Code::BudgetNone),
        _ => Refusal::from(Code::NotReady).retry_after(Millis::seconds(1)),
    }
}
