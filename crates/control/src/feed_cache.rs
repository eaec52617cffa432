//! What routers are told of replicas, made once for all that lack the same.
//!
//! At a start hundreds of routers ask for thousands of records at once. Those that have followed up to
//! the same position get the same bytes.

use std::collections::BTreeMap;

use cypressfork_core::fleet::registry::{Batch, Record, Registry};
use cypressfork_core::unit::{Millis, Time};
use cypressfork_wire::packed;
use serde_bytes::ByteBuf;

/// Records from which on they are compressed. 3,000 short ones are 115 kB, and 16 kB compressed in
/// parts of 256 (`a_start_is_told_compressed`).
const MANY: usize = 16;

/// Positions that are remembered; all are forgotten when there are more.
const KEPT: usize = 64;

/// How long the same bytes are cached. A replica that has left is known for much longer (two minutes):
/// whoever is told that it is there is told that it has left as well.
const FRESH: Millis = Millis::seconds(10);

/// Changes of replicas, as routers are told of them.
#[derive(Clone, Default)]
pub struct Changes {
    /// Few of them.
    pub records: Vec<Record>,
    /// Many of them.
    pub packed: Option<ByteBuf>,
    /// How far they bring a router.
    pub position: u64,
}

/// What was told to those that had followed up to a position.
struct Cached {
    changes: Changes,
    /// When they were put together.
    at: Time,
    /// The newest change then.
    newest: u64,
    /// More follows: whatever changes later comes at a later position.
    full: bool,
}

/// What routers were told lately.
#[derive(Default)]
pub struct FeedCache {
    by_since: BTreeMap<u64, Cached>,
}

impl FeedCache {
    /// How many positions are remembered.
    pub fn len(&self) -> usize {
        self.by_since.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.by_since.is_empty()
    }

    /// What has changed after `since`, at most `most` records.
    pub fn changes(&mut self, now: Time, registry: &Registry, since: u64, most: usize) -> Changes {
        let newest = registry.newest_change();
        let known = self.by_since.get(&since);
        let valid = |t: &&Cached| now.since(t.at) < FRESH && (t.full || t.newest == newest);
        if let Some(cached) = known.filter(valid) {
            return cached.changes.clone();
        }
        let Batch { records, position, .. } = registry.changes(since, most);
        if records.len() < MANY {
            return Changes { records, packed: None, position };
        }
        let full = records.len() == most;
        let packed = Some(ByteBuf::from(packed::pack_value(&records)));
        let changes = Changes { records: Vec::new(), packed, position };
        if self.by_since.len() == KEPT {
            self.by_since.clear();
        }
        self.by_since.insert(since, Cached { changes: changes.clone(), at: now, newest, full });
        changes
    }
}
