//! The folder as a whole: who may use it and whose it is.

use std::fs::{self, File, TryLockError};
use std::path::{Path, PathBuf};

use crate::file::{rename, write_whole};
use crate::log::{Log, Record};
use crate::{Error, snapshot};

/// The file that is locked while a process uses the folder.
const LOCK: &str = "LOCK";

/// The file that says whose the folder is.
const IDENTITY: &str = "IDENTITY";

/// Whose a data folder is. It is drawn when the folder is first used; an emptied or new folder
/// has another, and so nothing of its predecessor's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The replica.
    pub node: u64,
    /// The group that it may serve.
    pub group: String,
    /// How often the folder was opened, this time included.
    pub incarnation: u64,
}

/// A data folder, locked against other processes while this value lives.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    identity: Identity,
    _lock: File,
}

impl Folder {
    /// Opens the folder for `group`. An empty one takes the identity `fresh`.
    pub fn open(path: &Path, group: &str, fresh: u64) -> Result<Folder, Error> {
        let lock = lock(path)?;
        let found = read_identity(path)?;
        let mut identity = match found {
            Some(i) => i,
            None => Identity { node: fresh, group: group.to_owned(), incarnation: 0 },
        };
        if identity.group != group {
            return Err(Error::Foreign(path.to_owned(), identity.group, group.to_owned()));
        }
        identity.incarnation += 1;
        write_identity(path, &identity)?;
        Ok(Folder { path: path.to_owned(), identity, _lock: lock })
    }

    /// Opens the folder anew under the same lock, after its disk has failed.
    pub fn renew(&mut self) -> Result<(), Error> {
        let next = Identity { incarnation: self.identity.incarnation + 1, ..self.identity.clone() };
        write_identity(&self.path, &next)?;
        self.identity = next;
        Ok(())
    }

    /// Whose it is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Opens the record log, cut where its last batch was torn. Returns it with its records.
    pub fn log(&self) -> Result<(Log<File>, Vec<Record>), Error> {
        Log::open(&self.path)
    }

    /// Stores a snapshot under a number of the caller's choice.
    pub fn save_snapshot(&self, number: u64, bytes: &[u8]) -> Result<(), Error> {
        snapshot::save(&self.path, number, bytes)
    }

    /// Reads the snapshot with this number, and checks it.
    pub fn load_snapshot(&self, number: u64) -> Result<Vec<u8>, Error> {
        snapshot::load(&self.path, number)
    }

    /// Removes the snapshots with lower numbers.
    pub fn drop_snapshots_below(&self, number: u64) -> Result<(), Error> {
        snapshot::drop_below(&self.path, number)
    }
}

/// What the names of files begin with that were set aside.
const OUTDATED: &str = "outdated-";

/// Sets everything in a folder aside that turned out to be an old copy, in place of what was set
/// aside before, so that it is taken for a new one with another identity. The old identity goes
/// last: whatever is left by a crash still belongs to it.
pub fn set_aside(path: &Path) -> Result<(), Error> {
    let _lock = lock(path)?;
    let entries = fs::read_dir(path).map_err(Error::io(path))?;
    let names: Result<Vec<_>, _> = entries.map(|f| f.map(|f| f.file_name())).collect();
    let mut names = names.map_err(Error::io(path))?;
    names.retain(|n| n != LOCK && !n.to_string_lossy().starts_with(OUTDATED));
    names.sort_by_key(|n| n == IDENTITY);
    for name in names {
        let aside = path.join(format!("{OUTDATED}{}", name.to_string_lossy()));
        rename(&path.join(&name), &aside)?;
    }
    Ok(())
}

fn lock(path: &Path) -> Result<File, Error> {
    fs::create_dir_all(path).map_err(Error::io(path))?;
    let name = path.join(LOCK);
    let f = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&name)
        .map_err(Error::io(&name))?;
    match f.try_lock() {
        Ok(()) => Ok(f),
        Err(TryLockError::WouldBlock) => Err(Error::InUse(path.to_owned())),
        Err(TryLockError::Error(e)) => Err(Error::Io(name, e)),
    }
}

fn read_identity(path: &Path) -> Result<Option<Identity>, Error> {
    let name = path.join(IDENTITY);
    if !name.exists() {
        return Ok(None);
    }
    let text = fs::read_to_string(&name).map_err(Error::io(&name))?;
    parse_identity(&text).map(Some).ok_or(Error::Damaged(name, 0))
}

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
    write_whole(&path.join(IDENTITY), format!("{body}\nsum: {sum:08x}\n").as_bytes())
}
