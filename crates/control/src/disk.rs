//! The durable state of a member: records in the log and snapshots of its data folder.

use std::collections::BTreeMap;
use std::fs::File;
use std::sync::Arc;
use std::time::Instant;

use cypressfork_core::code::Code;
use cypressfork_core::raft::{
    Entry, HardState, Members, Payload, PeerState, PersistentState, SnapshotMeta,
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
    pub(super) const HARD_STATE: u8 = 1;
    pub(super) const ENTRY: u8 = 2;
    pub(super) const TRUNCATE: u8 = 3;
    pub(super) const PEER_STATE: u8 = 4;
    pub(super) const BASE: u8 = 5;
}

/// Returns the result code for an error of the data folder.
fn result_code(e: &Error) -> Code {
    match e {
        Error::InUse(_) => Code::FolderInUse,
        Error::WrongGroup(..) => Code::FolderForeign,
        Error::Damaged(..) => Code::LogDamaged,
        Error::Snapshot(..) => Code::SnapshotDamaged,
        Error::Io(..) | Error::Poisoned => Code::DiskFailed,
    }
}

/// Returns the failure with which a process ends if its data folder cannot be used.
pub(crate) fn disk_failure(e: Error) -> Failure {
    (result_code(&e), format!("CF{}: {e}", result_code(&e).number()))
}

/// The durable storage of a member. What is appended is stored by the next [`Storage::sync`].
pub trait Storage {
    /// Appends the term and vote.
    fn append_hard_state(&mut self, h: HardState);
    /// Appends the state that is kept of another member.
    fn append_peer_state(&mut self, node: NodeId, p: PeerState);
    /// Appends log entries.
    fn append_entries(&mut self, entries: &[Entry]);
    /// Appends the removal of the entries from index `from` on.
    fn truncate(&mut self, from: Index);
    /// Makes everything that was appended durable.
    fn sync(&mut self) -> Result<(), Error>;
    /// Stores a snapshot and replaces the log by what follows it. Syncs both.
    fn save_snapshot(&mut self, compacted: &CompactedLog, bytes: &[u8]) -> Result<(), Error>;
    /// Returns the bytes of the snapshot that covers the log up to `index`.
    fn load_snapshot(&self, index: Index) -> Result<Vec<u8>, Error>;
    /// Returns the size of the log in bytes.
    fn log_size(&self) -> u64;
    /// Reopens the storage after a failed sync, and returns the state that is stored.
    fn reopen(&mut self) -> Result<PersistentState, Error>;
}

/// The contents of a log after it was compacted into a snapshot.
#[derive(Clone, Debug, Default)]
pub struct CompactedLog {
    /// Index, term and members that the snapshot covers.
    pub meta: SnapshotMeta,
    /// Term and vote.
    pub hard: HardState,
    /// State kept of the other members.
    pub peers: BTreeMap<NodeId, PeerState>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// [`Storage`] in a data folder.
pub struct Disk {
    folder: Folder,
    log: Log<File>,
}

#[derive(Serialize, Deserialize)]
struct HardStateRecord {
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
struct PeerStateRecord {
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

fn hard_state_record(h: HardState) -> Record {
    record(kind::HARD_STATE, &HardStateRecord { term: h.term, vote: h.vote })
}

fn peer_state_record(node: NodeId, p: &PeerState) -> Record {
    let PeerState { incarnation, boot, term, last } = *p;
    record(kind::PEER_STATE, &PeerStateRecord { node, incarnation, boot, term, last })
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

fn decode_entry(r: EntryRecord) -> Entry {
    let payload = match (r.command, r.members) {
        (Some(c), _) => Payload::Command(Arc::from(c)),
        (None, Some(m)) => Payload::Members(m),
        (None, None) => Payload::Noop,
    };
    Entry { term: r.term, index: r.index, payload }
}

/// Applies one record of the log to the restored state. Returns false if the record is malformed or out
/// of order.
fn replay(restored: &mut PersistentState, r: &Record) -> bool {
    fn read<T: DeserializeOwned>(r: &Record) -> Option<T> {
        rmp_serde::from_slice(&r.payload).ok()
    }
    let next = restored.entries.last().map_or(restored.snapshot.index, |e| e.index) + 1;
    let applied = match r.kind {
        kind::HARD_STATE => read(r).map(|h: HardStateRecord| {
            restored.hard = HardState { term: h.term, vote: h.vote };
        }),
        kind::ENTRY => read(r)
            .filter(|e: &EntryRecord| e.index == next)
            .map(|e| restored.entries.push(decode_entry(e))),
        kind::TRUNCATE => read(r).map(|from: Index| restored.entries.retain(|e| e.index < from)),
        kind::PEER_STATE => read(r).map(|p: PeerStateRecord| {
            let PeerStateRecord { node, incarnation, boot, term, last } = p;
            restored.peers.insert(node, PeerState { incarnation, boot, term, last });
        }),
        kind::BASE => read(r).map(|b: BaseRecord| {
            restored.snapshot = SnapshotMeta { index: b.index, term: b.term, members: b.members };
            restored.entries.clear();
        }),
        _ => None,
    };
    applied.is_some()
}

/// Returns the state that the records of a folder's log restore.
fn replay_all(folder: &Folder, records: &[Record]) -> Result<PersistentState, Error> {
    let incarnation = folder.identity().incarnation;
    let mut restored = PersistentState { incarnation, ..PersistentState::default() };
    for (n, r) in records.iter().enumerate() {
        if !replay(&mut restored, r) {
            return Err(Error::Damaged(format!("record {n} of the log").into(), 0));
        }
    }
    Ok(restored)
}

impl Disk {
    /// Opens the folder's log, and returns the state restored from it.
    pub fn open(folder: Folder) -> Result<(Disk, PersistentState), Error> {
        let (log, records) = folder.open_log()?;
        let restored = replay_all(&folder, &records)?;
        Ok((Disk { folder, log }, restored))
    }

    /// Returns this member's id.
    pub fn node(&self) -> NodeId {
        self.folder.identity().node
    }

    fn append(&mut self, r: &Record) {
        self.log.append(r.kind, &r.payload);
    }
}

impl Storage for Disk {
    fn append_hard_state(&mut self, h: HardState) {
        self.append(&hard_state_record(h));
    }

    fn append_peer_state(&mut self, node: NodeId, p: PeerState) {
        self.append(&peer_state_record(node, &p));
    }

    fn append_entries(&mut self, entries: &[Entry]) {
        entries.iter().for_each(|e| self.append(&entry_record(e)));
    }

    fn truncate(&mut self, from: Index) {
        self.append(&record(kind::TRUNCATE, &from));
    }

    fn sync(&mut self) -> Result<(), Error> {
        let start = Instant::now();
        let result = self.log.sync();
        histogram!(metric::SYNC).record(start.elapsed());
        result
    }

    fn save_snapshot(&mut self, compacted: &CompactedLog, bytes: &[u8]) -> Result<(), Error> {
        let index = compacted.meta.index;
        self.log.sync()?;
        self.folder.save_snapshot(index, bytes)?;
        let mut records = vec![base_record(&compacted.meta), hard_state_record(compacted.hard)];
        records.extend(compacted.peers.iter().map(|(n, m)| peer_state_record(*n, m)));
        records.extend(compacted.entries.iter().map(entry_record));
        self.log.replace(&records)?;
        self.folder.drop_snapshots_below(index)
    }

    fn load_snapshot(&self, index: Index) -> Result<Vec<u8>, Error> {
        self.folder.load_snapshot(index)
    }

    fn log_size(&self) -> u64 {
        self.log.synced_len()
    }

    fn reopen(&mut self) -> Result<PersistentState, Error> {
        self.folder.increment_incarnation()?;
        let (mut log, records) = self.folder.open_log()?;
        let restored = replay_all(&self.folder, &records)?;
        // Records of a failed sync may be readable without being durable, so the log is rewritten.
        log.replace(&records)?;
        self.log = log;
        Ok(restored)
    }
}
