//! Hierarchical escrow of prepaid tokens.
//!
//! Tokens leave the grantor's [`Ledger`] before they reach the holder's [`SliceStore`], so the sum of
//! what all holders can spend never exceeds the budget, whatever messages are lost and whatever
//! the clocks show. A lease that is not reported on counts as spent in full until its holder
//! proves otherwise; its end only bounds how long a holder out of reach may go on.

mod allot;
mod bound;
mod ledger;
mod policy;
mod reserve;
mod slice_store;
mod unseen;

pub use allot::Region;
pub use bound::{Bound, Bounds, Chain, Elapsed, Told};
pub use ledger::{Ask, Decision, Funds, Grant, Lease, Ledger, Report, Shortage, WriteOff};
pub use policy::{Policy, Rate, report_every};
pub use reserve::{ReserveAnswer, ReserveCommand, ReserveLedger};
pub use slice_store::{Reservation, SliceStore};
pub use unseen::Pace;
