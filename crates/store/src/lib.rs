//! The data folder: a lock, an identity, a record log and snapshots.
//!
//! What is acknowledged has been synced. A write or sync that fails poisons the log: nothing
//! more is taken, since nobody can say what reached the disk.

mod error;
mod file;
mod folder;
mod log;
mod snapshot;

pub use error::Error;
pub use folder::{Folder, Identity, set_aside};
pub use log::{Log, Medium, Record};
