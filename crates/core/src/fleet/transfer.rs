//! Documents on their way from a control process to a router: packed once, sent in parts.
//!
//! A document may be larger than a router's link carries in the time that one answer may take. So
//! each answer brings one part, what has arrived is kept whatever becomes of the process that sent
//! it, and any other process that has the same packed document goes on with it.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::hash::Fnv;
use crate::unit::Version;

/// Bytes of one part: 26 ms of a link that carries 10 Mbit/s.
pub const PART: usize = 32 * 1024;

/// Packed documents that are kept for routers that have a part of them. One that is overtaken is
/// still sent to its end: a router that began anew with each of many changes would have none.
const KEPT: usize = 3;

/// The largest packed document that a router takes.
const MOST: u64 = 64 * 1024 * 1024;

/// What a router wants next of a document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Version of the document that it has in force; 0 for none.
    pub held: Version,
    /// Version of the document that it has a part of; 0 for none.
    pub version: Version,
    /// Digest of that document as it was packed.
    pub digest: u64,
    /// Bytes that it has of it.
    pub offset: u64,
}

/// A part of a packed document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The document's version.
    pub version: Version,
    /// Digest of all packed bytes.
    pub digest: u64,
    /// How many there are.
    pub total: u64,
    /// Where this part begins.
    pub offset: u64,
    /// Its bytes.
    pub bytes: ByteBuf,
}

/// A packed document at a control process.
#[derive(Clone, Debug)]
struct Packed {
    version: Version,
    digest: u64,
    bytes: Arc<[u8]>,
}

/// The digest of packed bytes, the same in every process and release.
fn digest(bytes: &[u8]) -> u64 {
    Fnv::new().part(bytes).value()
}

/// The packed documents that a control process hands out.
#[derive(Clone, Debug, Default)]
pub struct Packs {
    /// The newest first.
    all: VecDeque<Packed>,
}

impl Packs {
    /// Version of the newest one; 0 if there is none.
    pub fn newest(&self) -> Version {
        self.all.front().map_or(0, |p| p.version)
    }

    /// Takes a packed document that is newer than all before.
    pub fn put(&mut self, version: Version, bytes: Vec<u8>) {
        if version <= self.newest() {
            return;
        }
        self.all.push_front(Packed { version, digest: digest(&bytes), bytes: bytes.into() });
        self.all.truncate(KEPT);
    }

    /// The next part for a router: of the document that it has begun if that is kept here, else the
    /// first of the newest. `None`: it has the newest in force.
    pub fn part(&self, want: &Want) -> Option<Part> {
        let begun = |p: &&Packed| {
            let same = p.version == want.version && p.digest == want.digest;
            same && want.offset < p.bytes.len() as u64
        };
        let (pack, offset) = match self.all.iter().find(begun) {
            Some(p) => (p, want.offset),
            None => (self.all.front()?, 0),
        };
        if pack.version <= want.held {
            return None;
        }
        let start = offset as usize;
        let end = (start + PART).min(pack.bytes.len());
        Some(Part {
            version: pack.version,
            digest: pack.digest,
            total: pack.bytes.len() as u64,
            offset,
            bytes: ByteBuf::from(&pack.bytes[start..end]),
        })
    }
}

/// What a part has brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// Nothing that is of use.
    Nothing,
    /// More is to come.
    More,
    /// The whole packed document.
    Whole(Vec<u8>),
    /// All parts are here, and do not have the digest that they should: begin anew.
    Corrupt,
}

/// What a router has of a document that is on its way.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    version: Version,
    digest: u64,
    total: u64,
    bytes: Vec<u8>,
}

impl Assembly {
    /// What to ask for, with the document of version `held` in force.
    pub fn want(&self, held: Version) -> Want {
        let offset = self.bytes.len() as u64;
        Want { held, version: self.version, digest: self.digest, offset }
    }

    /// Takes a part, with the document of version `held` in force.
    pub fn take(&mut self, held: Version, p: Part) -> Taken {
        if p.version <= held || p.version < self.version || p.total > MOST {
            return Taken::Nothing;
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
            return Taken::Nothing;
        }
        self.bytes.extend_from_slice(&p.bytes);
        if (self.bytes.len() as u64) < self.total {
            return Taken::More;
        }
        let done = std::mem::take(self);
        match digest(&done.bytes) == done.digest {
            true => Taken::Whole(done.bytes),
            false => Taken::Corrupt,
        }
    }
}
