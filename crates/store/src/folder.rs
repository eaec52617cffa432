//! The data folder: its lock, its identity file, and access to its log and snapshots.

use std::fs::{self, File, TryLockError};
use std::path::{Path, PathBuf};

use crate::file::{rename, write_atomically};
use crate::log::{Log, Record};
use crate::{Error, snapshot};

/// File that is locked while a process uses the folder.
const LOCK: &str = "LOCK";

/// File that stores the [`Identity`].
const IDENTITY: &str = "IDENTITY";

/// Identity of a data folder. It is created when the folder is first opened, so an emptied folder
/// gets a new one and inherits nothing from the previous one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Id of the member that owns the folder.
    pub node: u64,
    /// Name of the group that the member may serve.
    pub group: String,
    /// Number of times that the folder was opened, including this one.
    pub incarnation: u64,
}

/// An open data folder. It stays locked against other processes until this value is dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    identity: Identity,
    _lock: File,
}

impl Folder {
    /// Opens and locks the folder, creates it if necessary, and increments its incarnation. A
    /// folder without an identity gets the member id `new_id`. Fails if another process has
    /// locked the folder or if it belongs to a group other than `group`.
    pub fn open(path: &Path, group: &str, new_id: u64) -> Result<Folder, Error> {
        let lock = lock(path)?;
        let stored = read_identity(path)?;
        let mut identity = match stored {
            Some(i) => i,
            None => Identity { node: new_id, group: group.to_owned(), incarnation: 0 },
        };
        if identity.group != group {
            return Err(Error::WrongGroup(path.to_owned(), identity.group, group.to_owned()));
        }
        identity.incarnation += 1;
        write_identity(path, &identity)?;
        Ok(Folder { path: path.to_owned(), identity, _lock: lock })
    }

    /// Increments the incarnation under the same lock, for a restart after a disk error.
    pub fn increment_incarnation(&mut self) -> Result<(), Error> {
        let next = Identity { incarnation: self.identity.incarnation + 1, ..self.identity.clone() };
        write_identity(&self.path, &next)?;
        self.identity = next;
        Ok(())
    }

    /// Returns the identity, with the current incarnation.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Opens the record log, truncates a torn last batch, and returns the log with its records.
    pub fn open_log(&self) -> Result<(Log<File>, Vec<Record>), Error> {
        Log::open(&self.path)
    }

    /// Stores a snapshot durably under a number that the caller chooses.
    pub fn save_snapshot(&self, number: u64, bytes: &[u8]) -> Result<(), Error> {
        snapshot::save(&self.path, number, bytes)
    }

    /// Reads the snapshot with this number and verifies its checksum.
    pub fn load_snapshot(&self, number: u64) -> Result<Vec<u8>, Error> {
        snapshot::load(&self.path, number)
    }

    /// Removes the snapshots with numbers below `number`.
    pub fn drop_snapshots_below(&self, number: u64) -> Result<(), Error> {
        snapshot::remove_below(&self.path, number)
    }
}

/// Prefix of the names of files that were set aside.
const OUTDATED_PREFIX: &str = "outdated-";

/// Renames every file of a folder that turned out to be an old copy, so that the next open creates a
/// new identity. Files that were set aside before are overwritten. The identity file is renamed last:
/// after a crash midway the remaining files still belong to the old identity.
pub fn set_aside(path: &Path) -> Result<(), Error> {
    let _lock = lock(path)?;
    let entries = fs::read_dir(path).map_err(Error::io(path))?;
    let names: Result<Vec<_>, _> = entries.map(|f| f.map(|f| f.file_name())).collect();
    let mut names = names.map_err(Error::io(path))?;
    names.retain(|n| n != LOCK && !n.to_string_lossy().starts_with(OUTDATED_PREFIX));
    names.sort_by_key(|n| n == IDENTITY);
    for name in names {
        let target = path.join(format!("{OUTDATED_PREFIX}{}", name.to_string_lossy()));
        rename(&path.join(&name), &target)?;
    }
    Ok(())
}

/// Creates the folder if necessary and locks it for this process.
fn lock(path: &Path) -> Result<File, Error> {
    fs::create_dir_all(path).map_err(Error::io(path))?;
    let lock_path = path.join(LOCK);
    let f = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&lock_path)
        .map_err(Error::io(&lock_path))?;
    match f.try_lock() {
        Ok(()) => Ok(f),
        Err(TryLockError::WouldBlock) => Err(Error::InUse(path.to_owned())),
        Err(TryLockError::Error(e)) => Err(Error::Io(lock_path, e)),
    }
}

/// Returns the stored identity, or `None` if the folder has none.
fn read_identity(path: &Path) -> Result<Option<Identity>, Error> {
    let file = path.join(IDENTITY);
    if !file.exists() {
        return Ok(None);
    }
    let text = fs::read_to_string(&file).map_err(Error::io(&file))?;
    parse_identity(&text).map(Some).ok_or(Error::Damaged(file, 0))
}

/// Parses an identity file; returns `None` if it is malformed or its checksum does not match.
fn parse_identity(text: &str) -> Option<Identity> {
    let (body, sum) = text.trim_end().rsplit_once("\nsum: ")?;
    if format!("{:08x}", crc32fast::hash(body.as_bytes())) != sum {
        return None;
    }
    let field = |name: &str| body.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "));
    Some(Identity {
        node: u64::from_str_radix(field("node")?, 16).ok()?,
        group: field("group")?.to_owned(),
        incarnation: field("incarnation")?.parse().ok()?,
    })
}

fn write_identity(path: &Path, i: &Identity) -> Result<(), Error> {
    let body = format!("node: {:016x}\ngroup: {}\nincarnation: {}", i.node, i.group, i.incarnation);
    let sum = crc32fast::hash(body.as_bytes());
    write_atomically(&path.join(IDENTITY), format!("{body}\nsum: {sum:08x}\n").as_bytes())
}
