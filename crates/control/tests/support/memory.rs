//! A data folder in memory: what was not synced is lost with the process.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use cypressfork_control::disk::{Kept, Storage};
use cypressfork_core::raft::{Entry, HardState, PeerState, Restored};
use cypressfork_core::unit::{Index, NodeId};
use cypressfork_store::Error;

/// What is on the disk.
#[derive(Clone, Debug, Default)]
pub struct Image {
    pub found: Restored,
    pub snapshots: BTreeMap<Index, Vec<u8>>,
    /// The sync after this many fails; what it should have written is there or not.
    pub fail_in: Option<(u32, bool)>,
    pub syncs: u64,
    /// Nothing can be stored.
    pub full: bool,
}

#[derive(Clone)]
enum Write {
    Hard(HardState),
    Mark(NodeId, PeerState),
    Entries(Vec<Entry>),
    Truncate(Index),
}

#[derive(Clone, Default)]
pub struct Memory {
    pub image: Rc<RefCell<Image>>,
    pending: Vec<Write>,
}

impl Memory {
    /// The disk as a new process finds it.
    pub fn open(image: &Rc<RefCell<Image>>) -> (Memory, Restored) {
        image.borrow_mut().found.incarnation += 1;
        image.borrow_mut().fail_in = None;
        let found = image.borrow().found.clone();
        (Memory { image: image.clone(), pending: Vec::new() }, found)
    }

    /// Whether the next write fails, and if so whether it still reaches the disk.
    fn fails(&self) -> Option<bool> {
        let mut image = self.image.borrow_mut();
        image.syncs += 1;
        if image.full {
            return Some(false);
        }
        match &mut image.fail_in {
            Some((0, kept)) => Some(*kept),
            Some((n, _)) => {
                *n -= 1;
                None
            }
            None => None,
        }
    }

    fn write(&mut self) {
        let mut image = self.image.borrow_mut();
        let f = &mut image.found;
        for w in self.pending.drain(..) {
            match w {
                Write::Hard(h) => f.hard = h,
                Write::Mark(n, m) => {
                    f.peers.insert(n, m);
                }
                Write::Entries(e) => f.entries.extend(e),
                Write::Truncate(from) => f.entries.retain(|e| e.index < from),
            }
        }
    }

    fn failed<T>() -> Result<T, Error> {
        Err(Error::Io("disk".into(), io::Error::other("the sync failed")))
    }
}

impl Storage for Memory {
    fn hard(&mut self, h: HardState) {
        self.pending.push(Write::Hard(h));
    }

    fn mark(&mut self, node: NodeId, m: PeerState) {
        self.pending.push(Write::Mark(node, m));
    }

    fn entries(&mut self, entries: &[Entry]) {
        self.pending.push(Write::Entries(entries.to_vec()));
    }

    fn truncate(&mut self, from: Index) {
        self.pending.push(Write::Truncate(from));
    }

    fn sync(&mut self) -> Result<(), Error> {
        if self.pending.is_empty() {
            return Ok(());
        }
        match self.fails() {
            None => self.write(),
            Some(kept) => {
                if kept {
                    self.write();
                }
                return Memory::failed();
            }
        }
        Ok(())
    }

    fn snapshot(&mut self, kept: &Kept, bytes: &[u8]) -> Result<(), Error> {
        self.sync()?;
        let fails = self.fails();
        if fails != Some(false) {
            let mut image = self.image.borrow_mut();
            image.snapshots.insert(kept.meta.index, bytes.to_vec());
            image.found.snapshot = kept.meta.clone();
            image.found.hard = kept.hard;
            image.found.peers = kept.marks.clone();
            image.found.entries = kept.entries.clone();
        }
        if fails.is_some() { Memory::failed() } else { Ok(()) }
    }

    fn load(&self, index: Index) -> Result<Vec<u8>, Error> {
        Ok(self.image.borrow().snapshots[&index].clone())
    }

    fn size(&self) -> u64 {
        0
    }

    fn reopen(&mut self) -> Result<Restored, Error> {
        self.pending.clear();
        if self.image.borrow().full {
            return Memory::failed();
        }
        Ok(Memory::open(&self.image).1)
    }
}
