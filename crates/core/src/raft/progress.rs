//! Replication progress of a follower.

use std::sync::Arc;

use super::SnapshotMeta;
use crate::unit::{Index, Time};

/// Replication progress of one follower, as tracked by the leader.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Last index known to match the log of the leader and to be synced.
    pub matched: Index,
    /// Index of the next entry to send.
    pub next: Index,
    /// Time of its last response.
    pub last_response: Time,
    /// Last read round that it confirmed.
    pub round: u64,
    /// Whether the last matching entry is still unknown; only empty messages are sent until it is
    /// found.
    pub(super) probing: bool,
    pub(super) transfer: Option<SnapshotTransfer>,
}

/// A snapshot being sent to a follower.
#[derive(Clone, Debug)]
pub(super) struct SnapshotTransfer {
    pub(super) meta: SnapshotMeta,
    pub(super) data: Arc<[u8]>,
    /// Number of bytes that the follower has acknowledged.
    pub(super) offset: u64,
}

impl Progress {
    pub(super) fn new(now: Time, next: Index) -> Progress {
        Progress { next, last_response: now, ..Progress::default() }
    }
}
