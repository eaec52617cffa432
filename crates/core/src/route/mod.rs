//! Admission, scheduling and load balancing of requests to the replicas of a service.

mod backlog;
pub mod backoff;
mod cold;
mod cost;
pub mod lateness;
mod limiter;
pub mod path;
mod pool;
mod prefix;
pub mod priority_gate;
mod replica;
pub mod retry_schedule;
mod ring;
mod vms;

pub use limiter::{Admission, Limiter, QueuedRequest, Ticket};
pub use pool::flow_control::{BlockReason, Blocked};
pub use pool::{Choice, Pool, ReplicaInfo, RequestProfile};
pub use prefix::{PrefixTable, PromptPrefixes};
pub use replica::Replica;
pub use vms::{ListedState, VmTracker};
