//! Which requests run, when, and on which replica.

mod backlog;
mod cold;
mod cost;
pub mod lateness;
mod limiter;
mod pool;
mod prefix;
mod replica;
pub mod rest;
mod retry;
mod ring;
mod vms;

pub use limiter::{Entered, Limiter, Ticket, Waiter};
pub use pool::{Choice, Condition, Pool, Work};
pub use prefix::{Prefixes, Trail};
pub use replica::Replica;
pub use retry::Retries;
pub use vms::{Listed, Vms};
