//! Durable storage in a data folder: a lock, an identity, a record log and snapshots.
//!
//! A write is acknowledged only after it was synced. A failed write or sync poisons the log, which then
//! refuses further writes, because the state of the file on disk is unknown.

mod error;
mod file;
mod folder;
mod log;
mod snapshot;

pub use error::Error;
pub use folder::{Folder, Identity, set_aside};
pub use log::{Log, Record, SyncWrite};
