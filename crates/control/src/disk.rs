//! What a replica keeps in its data folder, as records of the store's log.

use std::collections::BTreeMap;
use std::fs::File;
use std::sync::Arc;
use std::time::Instant;

use cypressfork_core::code::Code;
use cypressfork_core::raft::{
    Entry, HardState, Members, Payload, PeerState, Restored, SnapshotMeta,
};
use cypressfork_core::unit::{Index, NodeId, Term};
use cypressfork_node::metric;
use cypressfork_node::process::Failure;
use cypressfork_store::{Error, Folder, Log, Record};
use metrics::histogram;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Kinds of record in the log.
mod kind {
    pub(super) const HARD: u8 = 1;
    pub(super) const ENTRY: u8 = 2;
    pub(super) const TRUNCATE: u8 = 3;
    pub(super) const MARK: u8 = 4;
    pub(super) const BASE: u8 = 5;
}

/// The result code of an error of the data folder.
fn code(e: &Error) -> Code {
    match e {
        Error::InUse(_) => Code::FolderInUse,
        Error::Foreign(..) => Code::FolderForeign,
        Error::Damaged(..) => Code::LogDamaged,
        Error::Snapshot(..) => Code::SnapshotDamaged,
        Error::Io(..) | Error::Poisoned => Code::DiskFailed,
    }
}

/// The end of a process whose data folder cannot be used.
pub(crate) fn disk_failed(e: Error) -> Failure {
    (code(&e), format!("CF{}: {e}", code(&e).number()))
}

/// Where a replica keeps what must survive.
pub trait Storage {
    /// Adds the term and vote to the next sync.
    fn hard(&mut self, h: HardState);
    /// Adds what is remembered of another replica to the next sync.
    fn mark(&mut self, node: NodeId, m: PeerState);
    /// Adds entries to the next sync.
    fn entries(&mut self, entries: &[Entry]);
    /// Drops the entries from `from` on, with the next sync.
    fn truncate(&mut self, from: Index);
    /// Makes all that was added last.
    fn sync(&mut self) -> Result<(), Error>;
    /// Stores a snapshot, and a log that holds only what comes after it.
    fn snapshot(&mut self, kept: &Kept, bytes: &[u8]) -> Result<(), Error>;
    /// Reads the newest snapshot.
    fn load(&self, index: Index) -> Result<Vec<u8>, Error>;
    /// Bytes of the log.
    fn size(&self) -> u64;
    /// Begins anew after a failure, with what is stored for certain.
    fn reopen(&mut self) -> Result<Restored, Error>;
}

/// What a shortened log begins with.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    /// What the snapshot covers.
    pub meta: SnapshotMeta,
    /// Term and vote.
    pub hard: HardState,
    /// What is remembered of other replicas.
    pub marks: BTreeMap<NodeId, PeerState>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// A data folder.
pub struct Disk {
    folder: Folder,
    log: Log<File>,
}

#[derive(Serialize, Deserialize)]
struct HardRecord {
    term: Term,
    vote: Option<NodeId>,
}

#[derive(Serialize, Deserialize)]
struct EntryRecord {
    term: Term,
    index: Index,
    command: Option<Vec<u8>>,
    members: Option<Members>,
}

#[derive(Serialize, Deserialize)]
struct MarkRecord {
    node: NodeId,
    incarnation: u64,
    boot: u64,
    term: Term,
    last: Index,
}

#[derive(Serialize, Deserialize)]
struct BaseRecord {
    index: Index,
    term: Term,
    members: Members,
}

fn record<T: Serialize>(kind: u8, v: &T) -> Record {
    let payload = rmp_serde::to_vec(v).expect("records have a serializable shape");
    Record { kind, payload }
}

fn hard_record(h: HardState) -> Record {
    record(kind::HARD, &HardRecord { term: h.term, vote: h.vote })
}

fn mark_record(node: NodeId, m: &PeerState) -> Record {
    let PeerState { incarnation, boot, term, last } = *m;
    record(kind::MARK, &MarkRecord { node, incarnation, boot, term, last })
}

fn entry_record(e: &Entry) -> Record {
    let (command, members) = match &e.payload {
        Payload::Noop => (None, None),
        Payload::Command(c) => (Some(c.to_vec()), None),
        Payload::Members(m) => (None, Some(m.clone())),
    };
    record(kind::ENTRY, &EntryRecord { term: e.term, index: e.index, command, members })
}

fn base_record(m: &SnapshotMeta) -> Record {
    let members = m.members.clone();
    record(kind::BASE, &BaseRecord { index: m.index, term: m.term, members })
}

fn entry(r: EntryRecord) -> Entry {
    let payload = match (r.command, r.members) {
        (Some(c), _) => Payload::Command(Arc::from(c)),
        (None, Some(m)) => Payload::Members(m),
        (None, None) => Payload::Noop,
    };
    Entry { term: r.term, index: r.index, payload }
}

/// Applies one record to what was found so far; false if it makes no sense.
fn replay(found: &mut Restored, r: &Record) -> bool {
    fn read<T: DeserializeOwned>(r: &Record) -> Option<T> {
        rmp_serde::from_slice(&r.payload).ok()
    }
    let next = found.entries.last().map_or(found.snapshot.index, |e| e.index) + 1;
    let taken = match r.kind {
        kind::HARD => read(r).map(|h: HardRecord| {
            found.hard = HardState { term: h.term, vote: h.vote };
        }),
        kind::ENTRY => {
            read(r).filter(|e: &EntryRecord| e.index == next).map(|e| found.entries.push(entry(e)))
        }
        kind::TRUNCATE => read(r).map(|from: Index| found.entries.retain(|e| e.index < from)),
        kind::MARK => read(r).map(|m: MarkRecord| {
            let MarkRecord { node, incarnation, boot, term, last } = m;
            found.peers.insert(node, PeerState { incarnation, boot, term, last });
        }),
        kind::BASE => read(r).map(|b: BaseRecord| {
            found.snapshot = SnapshotMeta { index: b.index, term: b.term, members: b.members };
            found.entries.clear();
        }),
        _ => None,
    };
    taken.is_some()
}

/// What the records of a folder's log come to.
fn replay_all(folder: &Folder, records: &[Record]) -> Result<Restored, Error> {
    let incarnation = folder.identity().incarnation;
    let mut found = Restored { incarnation, ..Restored::default() };
    for (n, r) in records.iter().enumerate() {
        if !replay(&mut found, r) {
            return Err(Error::Damaged(format!("record {n} of the log").into(), 0));
        }
    }
    Ok(found)
}

impl Disk {
    /// Opens the folder's log and returns what it holds.
    pub fn open(folder: Folder) -> Result<(Disk, Restored), Error> {
        let (log, records) = folder.log()?;
        let found = replay_all(&folder, &records)?;
        Ok((Disk { folder, log }, found))
    }

    /// This replica's identity.
    pub fn node(&self) -> NodeId {
        self.folder.identity().node
    }

    fn add(&mut self, r: &Record) {
        self.log.append(r.kind, &r.payload);
    }
}

impl Storage for Disk {
    fn hard(&mut self, h: HardState) {
        self.add(&hard_record(h));
    }

    fn mark(&mut self, node: NodeId, m: PeerState) {
        self.add(&mark_record(node, &m));
    }

    fn entries(&mut self, entries: &[Entry]) {
        entries.iter().for_each(|e| self.add(&entry_record(e)));
    }

    fn truncate(&mut self, from: Index) {
        self.add(&record(kind::TRUNCATE, &from));
    }

    fn sync(&mut self) -> Result<(), Error> {
        let begun = Instant::now();
        let synced = self.log.sync();
        histogram!(metric::SYNC).record(begun.elapsed());
        synced
    }

    fn snapshot(&mut self, kept: &Kept, bytes: &[u8]) -> Result<(), Error> {
        let index = kept.meta.index;
        self.log.sync()?;
        self.folder.save_snapshot(index, bytes)?;
        let mut records = vec![base_record(&kept.meta), hard_record(kept.hard)];
        records.extend(kept.marks.iter().map(|(n, m)| mark_record(*n, m)));
        records.extend(kept.entries.iter().map(entry_record));
        self.log.replace(&records)?;
        self.folder.drop_snapshots_below(index)
    }

    fn load(&self, index: Index) -> Result<Vec<u8>, Error> {
        self.folder.load_snapshot(index)
    }

    fn size(&self) -> u64 {
        self.log.size()
    }

    fn reopen(&mut self) -> Result<Restored, Error> {
        self.folder.renew()?;
        let (mut log, records) = self.folder.log()?;
        let found = replay_all(&self.folder, &records)?;
        // What a failed sync left may be readable and yet not stored: all of it is written again.
        log.replace(&records)?;
        self.log = log;
        Ok(found)
    }
}
