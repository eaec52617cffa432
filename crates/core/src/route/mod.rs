//! Which requests run, when, and on which replica.

mod gate;
mod pool;
mod prefix;
mod retry;
mod vms;

pub use gate::{Entered, Gate, Ticket, Waiter};
pub use pool::{Choice, Pool, Replica, Work};
pub use prefix::{Prefixes, Trail};
pub use retry::Retries;
pub use vms::{Listed, Vms};
