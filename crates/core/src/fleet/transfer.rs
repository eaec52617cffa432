//! Transfer of documents from control processes to routers: packed once, sent in parts.
//!
//! A document may be too large for a router's link to carry within the deadline of one answer. Each
//! answer therefore contains one part. The router keeps the parts if their sender fails, and
//! continues with any other process that has the same packed document.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::hash::Fnv;
use crate::unit::Version;

/// Maximum size of one part in bytes: 26 ms on a 10 Mbit/s link.
pub const PART_BYTES: usize = 32 * 1024;

/// Number of packed documents that are kept. A transfer of a superseded document continues to its
/// end; a router that restarted with each of many changes would never complete one.
const MAX_KEPT_DOCUMENTS: usize = 3;

/// Maximum size of a packed document that a router accepts, in bytes.
const MAX_PACKED_BYTES: u64 = 64 * 1024 * 1024;

/// A router's request for the next part of a document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Version of the document that the router has in force, or 0.
    pub held: Version,
    /// Version of the partly received document, or 0.
    pub version: Version,
    /// Digest of the packed bytes of that document.
    pub digest: u64,
    /// Number of bytes of it already received.
    pub offset: u64,
}

/// A part of a packed document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Version of the document.
    pub version: Version,
    /// Digest of all packed bytes of the document.
    pub digest: u64,
    /// Number of all packed bytes.
    pub total: u64,
    /// Offset of this part.
    pub offset: u64,
    /// Bytes of this part.
    pub bytes: ByteBuf,
}

/// A packed document that a control process serves.
#[derive(Clone, Debug)]
struct Packed {
    version: Version,
    digest: u64,
    bytes: Arc<[u8]>,
}

/// Returns the digest of packed bytes, which must be the same in every process and release.
fn digest(bytes: &[u8]) -> u64 {
    Fnv::new().add_part(bytes).finish()
}

/// The packed documents that a control process serves.
#[derive(Clone, Debug, Default)]
pub struct PackedDocuments {
    /// Ordered by version, newest first.
    documents: VecDeque<Packed>,
}

impl PackedDocuments {
    /// Returns the version of the newest packed document, or 0 if there is none.
    pub fn newest_version(&self) -> Version {
        self.documents.front().map_or(0, |p| p.version)
    }

    /// Adds a packed document and drops the oldest beyond the maximum. Ignores a document that is
    /// not newer than all others.
    pub fn insert(&mut self, version: Version, bytes: Vec<u8>) {
        if version <= self.newest_version() {
            return;
        }
        self.documents.push_front(Packed { version, digest: digest(&bytes), bytes: bytes.into() });
        self.documents.truncate(MAX_KEPT_DOCUMENTS);
    }

    /// Returns the next part for a router: of the document that it has partly received if that is
    /// kept here, else the first part of the newest. Returns `None` if the router already has this
    /// version or a newer one in force, or if there is no document.
    pub fn part(&self, want: &PartRequest) -> Option<Part> {
        let is_started = |p: &&Packed| {
            let same = p.version == want.version && p.digest == want.digest;
            same && want.offset < p.bytes.len() as u64
        };
        let (packed, offset) = match self.documents.iter().find(is_started) {
            Some(p) => (p, want.offset),
            None => (self.documents.front()?, 0),
        };
        if packed.version <= want.held {
            return None;
        }
        let start = offset as usize;
        let end = (start + PART_BYTES).min(packed.bytes.len());
        Some(Part {
            version: packed.version,
            digest: packed.digest,
            total: packed.bytes.len() as u64,
            offset,
            bytes: ByteBuf::from(&packed.bytes[start..end]),
        })
    }
}

/// The result of adding a part to an assembly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// The part is of no use and was ignored.
    Ignored,
    /// More parts are needed.
    Incomplete,
    /// The complete packed document.
    Complete(Vec<u8>),
    /// All parts have arrived but do not match the digest. The transfer starts again.
    Corrupt,
}

/// A partly received document at a router.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    version: Version,
    digest: u64,
    total: u64,
    bytes: Vec<u8>,
}

impl Assembly {
    /// Returns the request for the next part, with the document of version `held` in force.
    pub fn next_request(&self, held: Version) -> PartRequest {
        let offset = self.bytes.len() as u64;
        PartRequest { held, version: self.version, digest: self.digest, offset }
    }

    /// Adds a part, with the document of version `held` in force. The first part of another
    /// document that is not older replaces what has been received. Ignores parts that are out of
    /// order, too old or of a document that is too large.
    pub fn add(&mut self, held: Version, p: Part) -> PartOutcome {
        if p.version <= held || p.version < self.version || p.total > MAX_PACKED_BYTES {
            return PartOutcome::Ignored;
        }
        let same = p.version == self.version && p.digest == self.digest && p.total == self.total;
        if !same && p.offset == 0 {
            *self = Assembly {
                version: p.version,
                digest: p.digest,
                total: p.total,
                bytes: Vec::new(),
            };
        } else if !same || p.offset != self.bytes.len() as u64 {
            return PartOutcome::Ignored;
        }
        self.bytes.extend_from_slice(&p.bytes);
        if (self.bytes.len() as u64) < self.total {
            return PartOutcome::Incomplete;
        }
        let assembled = std::mem::take(self);
        match digest(&assembled.bytes) == assembled.digest {
            true => PartOutcome::Complete(assembled.bytes),
            false => PartOutcome::Corrupt,
        }
    }
}
