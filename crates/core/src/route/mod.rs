//! Which requests run, when, and on which replica.

mod limiter;
mod pool;
mod prefix;
mod retry;
mod vms;

pub use limiter::{Entered, Limiter, Ticket, Waiter};
pub use pool::{Choice, Pool, Replica, Work};
pub use prefix::{Prefixes, Trail};
pub use retry::Retries;
pub use vms::{Listed, Vms};
