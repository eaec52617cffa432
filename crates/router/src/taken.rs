//! What becomes of a wish for tokens: set aside, decided by the control group, or refused to the
//! caller.

use cypressfork_core::budget::{Decision, Reservation, Shortage};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::share::Shortfall;
use cypressfork_core::unit::Millis;

use crate::reply::Refusal;

/// When to come back once a budget is spent.
const SPENT_AFTER: Millis = Millis::seconds(60);

/// When to come back while the control group is out of reach.
pub const UNREACHABLE_AFTER: Millis = Millis::seconds(5);

/// Who granted a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The control group.
    Group,
    /// The data centre's reserve.
    Reserve,
}

/// What could be had of tokens that were asked for.
pub struct Taken {
    /// Set aside.
    pub part: Option<(Source, Reservation)>,
    /// Why not all.
    pub short: Option<Shortfall>,
}

/// What an ask came to.
#[derive(Clone, Copy, Debug)]
pub enum Asked {
    /// The group has decided it.
    Decided(Decision),
    /// It could not be decided.
    Refused(Code),
}

/// How long to wait after a shortage, or what to tell the caller.
pub fn busy(s: Shortage) -> Result<Millis, Refusal> {
    match s {
        Shortage::Busy(span) => Ok(span),
        Shortage::Away(span) => Err(Refusal::from(Code::BudgetBusy).after(span)),
        Shortage::Spent => Err(Refusal::from(Code::BudgetSpent).after(SPENT_AFTER)),
    }
}

/// Whether the group could not be reached.
pub fn is_away(code: Code) -> bool {
    matches!(code, Code::NoQuorum | Code::LinkBroken | Code::NotLeader | Code::QueueFull)
}

/// What a caller is told when the control group refused an ask.
pub fn refusal(code: Code) -> Refusal {
    match code {
        Code::AccountClosed => Refusal::from(code),
        Code::BudgetUnknown => Refusal::from(Code::BudgetNone),
        _ => Refusal::from(Code::NotReady).after(Millis::seconds(1)),
    }
}
