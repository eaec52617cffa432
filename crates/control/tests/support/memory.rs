//! [`Storage`] in memory: what was not synced is lost when the process crashes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use cypressfork_control::disk::{CompactedLog, Storage};
use cypressfork_core::raft::{Entry, HardState, PeerState, PersistentState};
use cypressfork_core::unit::{Index, NodeId};
use cypressfork_store::Error;

/// The contents of the disk and its pending failures.
#[derive(Clone, Debug, Default)]
pub struct Image {
    pub state: PersistentState,
    pub snapshots: BTreeMap<Index, Vec<u8>>,
    /// Number of syncs before the next one fails, and whether that one still writes its data.
    pub fail_in: Option<(u32, bool)>,
    pub syncs: u64,
    /// Whether the disk is full.
    pub full: bool,
}

#[derive(Clone)]
enum Write {
    HardState(HardState),
    PeerState(NodeId, PeerState),
    Entries(Vec<Entry>),
    Truncate(Index),
}

#[derive(Clone, Default)]
pub struct MemoryStorage {
    pub image: Rc<RefCell<Image>>,
    pending: Vec<Write>,
}

impl MemoryStorage {
    /// Opens the disk as a new process, and returns the restored state.
    pub fn open(image: &Rc<RefCell<Image>>) -> (MemoryStorage, PersistentState) {
        image.borrow_mut().state.incarnation += 1;
        image.borrow_mut().fail_in = None;
        let restored = image.borrow().state.clone();
        (MemoryStorage { image: image.clone(), pending: Vec::new() }, restored)
    }

    /// Counts a sync. Returns `None` if it succeeds, else whether its data is still written.
    fn next_failure(&self) -> Option<bool> {
        let mut image = self.image.borrow_mut();
        image.syncs += 1;
        if image.full {
            return Some(false);
        }
        match &mut image.fail_in {
            Some((0, written)) => Some(*written),
            Some((n, _)) => {
                *n -= 1;
                None
            }
            None => None,
        }
    }

    fn write(&mut self) {
        let mut image = self.image.borrow_mut();
        let state = &mut image.state;
        for w in self.pending.drain(..) {
            match w {
                Write::HardState(h) => state.hard = h,
                Write::PeerState(n, p) => {
                    state.peers.insert(n, p);
                }
                Write::Entries(e) => state.entries.extend(e),
                Write::Truncate(from) => state.entries.retain(|e| e.index < from),
            }
        }
    }

    fn failed<T>() -> Result<T, Error> {
        Err(Error::Io("disk".into(), io::Error::other("the sync failed")))
    }
}

impl Storage for MemoryStorage {
    fn append_hard_state(&mut self, h: HardState) {
        self.pending.push(Write::HardState(h));
    }

    fn append_peer_state(&mut self, node: NodeId, p: PeerState) {
        self.pending.push(Write::PeerState(node, p));
    }

    fn append_entries(&mut self, entries: &[Entry]) {
        self.pending.push(Write::Entries(entries.to_vec()));
    }

    fn truncate(&mut self, from: Index) {
        self.pending.push(Write::Truncate(from));
    }

    fn sync(&mut self) -> Result<(), Error> {
        if self.pending.is_empty() {
            return Ok(());
        }
        match self.next_failure() {
            None => self.write(),
            Some(written) => {
                if written {
                    self.write();
                }
                return MemoryStorage::failed();
            }
        }
        Ok(())
    }

    fn save_snapshot(&mut self, compacted: &CompactedLog, bytes: &[u8]) -> Result<(), Error> {
        self.sync()?;
        let failure = self.next_failure();
        if failure != Some(false) {
            let mut image = self.image.borrow_mut();
            image.snapshots.insert(compacted.meta.index, bytes.to_vec());
            image.state.snapshot = compacted.meta.clone();
            image.state.hard = compacted.hard;
            image.state.peers = compacted.peers.clone();
            image.state.entries = compacted.entries.clone();
        }
        if failure.is_some() { MemoryStorage::failed() } else { Ok(()) }
    }

    fn load_snapshot(&self, index: Index) -> Result<Vec<u8>, Error> {
        Ok(self.image.borrow().snapshots[&index].clone())
    }

    fn log_size(&self) -> u64 {
        0
    }

    fn reopen(&mut self) -> Result<PersistentState, Error> {
        self.pending.clear();
        if self.image.borrow().full {
            return MemoryStorage::failed();
        }
        Ok(MemoryStorage::open(&self.image).1)
    }
}
