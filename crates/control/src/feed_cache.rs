//! A cache of compressed replica changes, shared by the routers that follow from the same position.
//!
//! After a start, hundreds of routers request thousands of records at once.

use std::collections::BTreeMap;

use cypressfork_core::fleet::registry::{Batch, Record, Registry};
use cypressfork_core::unit::{Millis, Time};
use cypressfork_wire::compression;
use serde_bytes::ByteBuf;

/// Minimum number of records that are compressed. 3,000 short records take 115 kB, and 16 kB
/// compressed in batches of 256.
const MIN_PACKED: usize = 16;

/// Maximum number of cached positions; the cache is cleared when it is full.
const MAX_POSITIONS: usize = 64;

/// Time for which changes are cached. It is shorter than the time for which the registry keeps replicas
/// that have left, so that whoever receives a replica from the cache also receives that it left.
const TTL: Millis = Millis::seconds(10);

/// Changes of replicas, as sent to routers.
#[derive(Clone, Default)]
pub struct Changes {
    /// The changes, if there are too few to compress.
    pub records: Vec<Record>,
    /// The compressed changes otherwise.
    pub packed: Option<ByteBuf>,
    /// Position of a router that has received them.
    pub position: u64,
}

/// The cached changes after one position.
struct Cached {
    changes: Changes,
    cached_at: Time,
    /// Position of the newest change at that time.
    newest: u64,
    /// Whether more records follow; later changes then have a later position and cannot outdate this
    /// entry.
    full: bool,
}

/// Caches the changes that were recently sent to routers.
#[derive(Default)]
pub struct FeedCache {
    by_since: BTreeMap<u64, Cached>,
}

impl FeedCache {
    /// Returns the number of cached positions.
    pub fn len(&self) -> usize {
        self.by_since.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.by_since.is_empty()
    }

    /// Returns the changes after the position `since`, at most `limit` records.
    pub fn changes(&mut self, now: Time, registry: &Registry, since: u64, limit: usize) -> Changes {
        let newest = registry.newest_change();
        let cached = self.by_since.get(&since);
        let is_valid = |c: &&Cached| now.since(c.cached_at) < TTL && (c.full || c.newest == newest);
        if let Some(cached) = cached.filter(is_valid) {
            return cached.changes.clone();
        }
        let Batch { records, position, .. } = registry.changes(since, limit);
        if records.len() < MIN_PACKED {
            return Changes { records, packed: None, position };
        }
        let full = records.len() == limit;
        let packed = Some(ByteBuf::from(compression::compress_value(&records)));
        let changes = Changes { records: Vec::new(), packed, position };
        if self.by_since.len() == MAX_POSITIONS {
            self.by_since.clear();
        }
        self.by_since
            .insert(since, Cached { changes: changes.clone(), cached_at: now, newest, full });
        changes
    }
}
