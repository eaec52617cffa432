//! Hierarchical escrow of prepaid tokens.
//!
//! Tokens leave the grantor's [`Ledger`] before they reach the holder's [`SliceStore`], so the
//! holders together never spend more than the budget, whatever messages are lost and however
//! clocks differ. A lease counts as spent in full until its holder reports on it; its end only
//! bounds how long an unreachable holder may start requests on it.

mod bound;
mod ledger;
mod policy;
mod region_ledger;
mod reserve;
mod slice_store;
mod unread;
mod usage;

pub use bound::{
    Bound, Bounds, BoundsReport, Elapsed, LastReports, SpendingLimit, UnreportedParts, hold_off,
    longest_run, may_wait_for_limit,
};
pub use ledger::{
    BudgetState, Decision, Grant, Lease, LeaseRequest, Ledger, Report, Shortage, WriteOff,
};
pub use policy::{HolderTerms, Policy, Rate, report_interval};
pub use region_ledger::RegionLedger;
pub use reserve::{ReserveAnswer, ReserveCommand, ReserveLedger};
pub use slice_store::{Reservation, SliceStore};
pub use unread::UnreadEstimate;
pub use usage::{TokenUsage, prompt_charge};
