//! A log of checksummed records, in batches that are synced one after the other.
//!
//! A record is `magic, length, checksum, kind, payload`. Each batch begins with a record that
//! carries the batch's number. Since a batch is begun only after the one before it was synced, a
//! damaged record with a later batch behind it had been acknowledged: the log refuses to open.
//! Damage in the last batch is what a crash leaves: it is cut off.

use std::fs::{self, File};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::Error;
use crate::file::{rename, sync_folder};

/// First bytes of every record.
const MAGIC: [u8; 4] = *b"CFR1";

/// Bytes of a record before its payload.
const HEAD: usize = 13;

/// Kind of the record that begins a batch.
const BATCH: u8 = 0;

/// Where a log is written to.
pub trait Medium: Write {
    /// Makes all that was written last.
    fn sync(&mut self) -> io::Result<()>;
}

impl Medium for File {
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its kind, from 1 on.
    pub kind: u8,
    /// Its content.
    pub payload: Vec<u8>,
}

/// A log that is being written.
#[derive(Debug)]
pub struct Log<M> {
    folder: PathBuf,
    path: PathBuf,
    generation: u64,
    medium: M,
    batch: u64,
    buf: Vec<u8>,
    size: u64,
    poisoned: bool,
}

fn name(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("log-{generation:020}"))
}

fn put(buf: &mut Vec<u8>, kind: u8, payload: &[u8]) {
    let mut h = crc32fast::Hasher::new();
    h.update(&[kind]);
    h.update(payload);
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    buf.extend_from_slice(&h.finalize().to_be_bytes());
    buf.push(kind);
    buf.extend_from_slice(payload);
}

/// The record at the start of `bytes`, and its size there.
fn take(bytes: &[u8]) -> Option<(u8, &[u8], usize)> {
    let head = bytes.get(..HEAD)?;
    if head[..4] != MAGIC {
        return None;
    }
    let len = u32::from_be_bytes(head[4..8].try_into().ok()?) as usize;
    let sum = u32::from_be_bytes(head[8..12].try_into().ok()?);
    let payload = bytes.get(HEAD..HEAD.checked_add(len)?)?;
    let mut h = crc32fast::Hasher::new();
    h.update(&head[12..]);
    h.update(payload);
    (h.finalize() == sum).then_some((head[12], payload, HEAD + len))
}

fn batch_number(payload: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(payload.try_into().ok()?))
}

/// Whether a batch after number `last` begins anywhere in `bytes`.
fn has_later_batch(bytes: &[u8], last: u64) -> bool {
    let later = |at: usize| match take(&bytes[at..]) {
        Some((BATCH, payload, _)) => batch_number(payload).is_some_and(|n| n > last),
        _ => false,
    };
    (0..bytes.len().saturating_sub(HEAD)).any(later)
}

/// What a file holds: whole records, the last batch's number, and the size of the whole part.
struct Found {
    records: Vec<Record>,
    batch: u64,
    size: usize,
}

fn read(path: &Path, bytes: &[u8]) -> Result<Found, Error> {
    let mut f = Found { records: Vec::new(), batch: 0, size: 0 };
    while let Some((kind, payload, len)) = take(&bytes[f.size..]) {
        match (kind, batch_number(payload)) {
            (BATCH, Some(n)) if n == f.batch + 1 => f.batch = n,
            (BATCH, _) => return Err(Error::Damaged(path.to_owned(), f.size as u64)),
            _ => f.records.push(Record { kind, payload: payload.to_vec() }),
        }
        f.size += len;
    }
    if has_later_batch(&bytes[f.size..], f.batch) {
        return Err(Error::Damaged(path.to_owned(), f.size as u64));
    }
    Ok(f)
}

impl Log<File> {
    pub(crate) fn open(folder: &Path) -> Result<(Log<File>, Vec<Record>), Error> {
        let generation = newest(folder)?;
        let path = name(folder, generation);
        let mut file = File::options()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(&path)
            .map_err(Error::io(&path))?;
        let bytes = fs::read(&path).map_err(Error::io(&path))?;
        let found = read(&path, &bytes)?;
        let size = found.size as u64;
        let cut = |f: &mut File| {
            f.set_len(size)?;
            f.seek(SeekFrom::Start(size))?;
            f.sync_all()
        };
        cut(&mut file).map_err(Error::io(&path))?;
        sync_folder(folder)?;
        drop_other(folder, generation)?;
        let mut log = Log::on(file, folder, generation, found.batch);
        log.size = size;
        Ok((log, found.records))
    }

    /// Replaces the log by one that holds only `records`: written aside, synced, renamed.
    pub fn replace(&mut self, records: &[Record]) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        let generation = self.generation + 1;
        let path = name(&self.folder, generation);
        let tmp = path.with_extension("tmp");
        let file = File::create(&tmp).map_err(Error::io(&tmp))?;
        let mut next = Log::on(file, &self.folder, generation, 0);
        for r in records {
            next.append(r.kind, &r.payload);
        }
        next.sync()?;
        rename(&tmp, &path)?;
        let old = std::mem::replace(self, next);
        fs::remove_file(&old.path).map_err(Error::io(&old.path))
    }
}

impl<M: Medium> Log<M> {
    /// A log on a medium that holds `batch` batches so far.
    pub fn on(medium: M, folder: &Path, generation: u64, batch: u64) -> Log<M> {
        Log {
            folder: folder.to_owned(),
            path: name(folder, generation),
            generation,
            medium,
            batch,
            buf: Vec::new(),
            size: 0,
            poisoned: false,
        }
    }

    /// Adds a record to the batch that the next [`Log::sync`] writes.
    pub fn append(&mut self, kind: u8, payload: &[u8]) {
        debug_assert_ne!(kind, BATCH);
        if self.buf.is_empty() {
            put(&mut self.buf, BATCH, &(self.batch + 1).to_be_bytes());
        }
        put(&mut self.buf, kind, payload);
    }

    /// Writes and syncs what was added. After an error nothing more is taken.
    pub fn sync(&mut self) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        if self.buf.is_empty() {
            return Ok(());
        }
        self.poisoned = true;
        self.medium
            .write_all(&self.buf)
            .and_then(|()| self.medium.sync())
            .map_err(Error::io(&self.path))?;
        self.poisoned = false;
        self.batch += 1;
        self.size += self.buf.len() as u64;
        self.buf.clear();
        Ok(())
    }

    /// Bytes on disk.
    pub fn size(&self) -> u64 {
        self.size
    }
}

fn generations(folder: &Path) -> Result<Vec<u64>, Error> {
    let mut found = Vec::new();
    for f in fs::read_dir(folder).map_err(Error::io(folder))? {
        let name = f.map_err(Error::io(folder))?.file_name();
        let number: Option<u64> = name.to_str().and_then(|n| n.strip_prefix("log-")?.parse().ok());
        found.extend(number);
    }
    Ok(found)
}

fn newest(folder: &Path) -> Result<u64, Error> {
    Ok(generations(folder)?.into_iter().max().unwrap_or(1))
}

fn drop_other(folder: &Path, keep: u64) -> Result<(), Error> {
    for g in generations(folder)?.into_iter().filter(|g| *g != keep) {
        let path = name(folder, g);
        fs::remove_file(&path).map_err(Error::io(&path))?;
    }
    Ok(())
}
