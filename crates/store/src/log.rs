//! An append-only log of checksummed records, written and synced in batches.
//!
//! A record is `magic, length, checksum, kind, payload`. Each batch starts with a record that holds
//! the batch number. A batch is written only after the previous one was synced. A damaged record that
//! is followed by a later batch was therefore acknowledged, and the log refuses to open. Damage in
//! the last batch is a write torn by a crash, and is truncated.

use std::fs::{self, File};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::Error;
use crate::file::{rename, sync_folder};

/// First bytes of every record.
const MAGIC: [u8; 4] = *b"CFR1";

/// Length of a record header, in bytes.
const HEADER_LEN: usize = 13;

/// Kind of the record that starts a batch.
const BATCH: u8 = 0;

/// A file, or another output, whose writes can be made durable.
pub trait SyncWrite: Write {
    /// Makes everything written so far durable.
    fn sync(&mut self) -> io::Result<()>;
}

impl SyncWrite for File {
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// A log record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Kind of the record, chosen by the caller; 0 is reserved for batch headers.
    pub kind: u8,
    /// Content of the record.
    pub payload: Vec<u8>,
}

/// An open log. After a failed write or sync it refuses further writes.
#[derive(Debug)]
pub struct Log<W> {
    folder: PathBuf,
    path: PathBuf,
    generation: u64,
    file: W,
    /// Number of the last synced batch.
    batch: u64,
    /// The next batch, encoded.
    buf: Vec<u8>,
    synced_len: u64,
    poisoned: bool,
}

fn log_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("log-{generation:020}"))
}

/// Appends an encoded record to `buf`.
fn put_record(buf: &mut Vec<u8>, kind: u8, payload: &[u8]) {
    let mut h = crc32fast::Hasher::new();
    h.update(&[kind]);
    h.update(payload);
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    buf.extend_from_slice(&h.finalize().to_be_bytes());
    buf.push(kind);
    buf.extend_from_slice(payload);
}

/// Parses the record at the start of `bytes`. Returns its kind, its payload and its whole length in
/// bytes, or `None` if it is incomplete or damaged.
fn parse_record(bytes: &[u8]) -> Option<(u8, &[u8], usize)> {
    let head = bytes.get(..HEADER_LEN)?;
    if head[..4] != MAGIC {
        return None;
    }
    let len = u32::from_be_bytes(head[4..8].try_into().ok()?) as usize;
    let sum = u32::from_be_bytes(head[8..12].try_into().ok()?);
    let payload = bytes.get(HEADER_LEN..HEADER_LEN.checked_add(len)?)?;
    let mut h = crc32fast::Hasher::new();
    h.update(&head[12..]);
    h.update(payload);
    (h.finalize() == sum).then_some((head[12], payload, HEADER_LEN + len))
}

/// Returns the number in the payload of a batch header.
fn batch_number(payload: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(payload.try_into().ok()?))
}

/// Returns true if a batch with a number above `last` starts anywhere in `bytes`.
fn has_later_batch(bytes: &[u8], last: u64) -> bool {
    let later = |at: usize| match parse_record(&bytes[at..]) {
        Some((BATCH, payload, _)) => batch_number(payload).is_some_and(|n| n > last),
        _ => false,
    };
    (0..bytes.len().saturating_sub(HEADER_LEN)).any(later)
}

/// Contents of a log file.
struct Contents {
    records: Vec<Record>,
    /// Number of the last batch.
    batch: u64,
    /// Length of the intact part, in bytes.
    intact_len: usize,
}

/// Parses the intact part of a log file. Fails if the damaged part had been acknowledged.
fn parse_log(path: &Path, bytes: &[u8]) -> Result<Contents, Error> {
    let mut contents = Contents { records: Vec::new(), batch: 0, intact_len: 0 };
    while let Some((kind, payload, len)) = parse_record(&bytes[contents.intact_len..]) {
        match (kind, batch_number(payload)) {
            (BATCH, Some(n)) if n == contents.batch + 1 => contents.batch = n,
            (BATCH, _) => return Err(Error::Damaged(path.to_owned(), contents.intact_len as u64)),
            _ => contents.records.push(Record { kind, payload: payload.to_vec() }),
        }
        contents.intact_len += len;
    }
    if has_later_batch(&bytes[contents.intact_len..], contents.batch) {
        return Err(Error::Damaged(path.to_owned(), contents.intact_len as u64));
    }
    Ok(contents)
}

impl Log<File> {
    /// Opens the newest log of the folder, truncates a torn last batch, and removes other log files.
    /// Returns the log with its records.
    pub(crate) fn open(folder: &Path) -> Result<(Log<File>, Vec<Record>), Error> {
        let generation = newest_generation(folder)?;
        let path = log_path(folder, generation);
        let mut file = File::options()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(&path)
            .map_err(Error::io(&path))?;
        let bytes = fs::read(&path).map_err(Error::io(&path))?;
        let contents = parse_log(&path, &bytes)?;
        let intact_len = contents.intact_len as u64;
        let truncate = |f: &mut File| {
            f.set_len(intact_len)?;
            f.seek(SeekFrom::Start(intact_len))?;
            f.sync_all()
        };
        truncate(&mut file).map_err(Error::io(&path))?;
        sync_folder(folder)?;
        remove_other_generations(folder, generation)?;
        let mut log = Log::new(file, folder, generation, contents.batch);
        log.synced_len = intact_len;
        Ok((log, contents.records))
    }

    /// Replaces the log atomically by a new generation that holds only `records`.
    pub fn replace(&mut self, records: &[Record]) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        let generation = self.generation + 1;
        let path = log_path(&self.folder, generation);
        let tmp = path.with_extension("tmp");
        let file = File::create(&tmp).map_err(Error::io(&tmp))?;
        let mut next = Log::new(file, &self.folder, generation, 0);
        for r in records {
            next.append(r.kind, &r.payload);
        }
        next.sync()?;
        rename(&tmp, &path)?;
        let old = std::mem::replace(self, next);
        fs::remove_file(&old.path).map_err(Error::io(&old.path))
    }
}

impl<W: SyncWrite> Log<W> {
    /// Returns a log that appends to a file which already holds `batch` batches.
    pub fn new(file: W, folder: &Path, generation: u64, batch: u64) -> Log<W> {
        Log {
            folder: folder.to_owned(),
            path: log_path(folder, generation),
            generation,
            file,
            batch,
            buf: Vec::new(),
            synced_len: 0,
            poisoned: false,
        }
    }

    /// Buffers a record for the batch that the next [`Log::sync`] writes.
    pub fn append(&mut self, kind: u8, payload: &[u8]) {
        debug_assert_ne!(kind, BATCH);
        if self.buf.is_empty() {
            put_record(&mut self.buf, BATCH, &(self.batch + 1).to_be_bytes());
        }
        put_record(&mut self.buf, kind, payload);
    }

    /// Writes and syncs the buffered records as one batch. After an error every later call fails with
    /// [`Error::Poisoned`].
    pub fn sync(&mut self) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        if self.buf.is_empty() {
            return Ok(());
        }
        self.poisoned = true;
        self.file
            .write_all(&self.buf)
            .and_then(|()| self.file.sync())
            .map_err(Error::io(&self.path))?;
        self.poisoned = false;
        self.batch += 1;
        self.synced_len += self.buf.len() as u64;
        self.buf.clear();
        Ok(())
    }

    /// Returns the length of the synced log, in bytes.
    pub fn synced_len(&self) -> u64 {
        self.synced_len
    }
}

/// Returns the generations of all log files in the folder, unordered.
fn generations(folder: &Path) -> Result<Vec<u64>, Error> {
    let mut found = Vec::new();
    for f in fs::read_dir(folder).map_err(Error::io(folder))? {
        let name = f.map_err(Error::io(folder))?.file_name();
        let number: Option<u64> = name.to_str().and_then(|n| n.strip_prefix("log-")?.parse().ok());
        found.extend(number);
    }
    Ok(found)
}

/// Returns the highest generation in the folder, or 1 if there is none.
fn newest_generation(folder: &Path) -> Result<u64, Error> {
    Ok(generations(folder)?.into_iter().max().unwrap_or(1))
}

/// Removes the log files of all generations but `keep`.
fn remove_other_generations(folder: &Path, keep: u64) -> Result<(), Error> {
    for g in generations(folder)?.into_iter().filter(|g| *g != keep) {
        let path = log_path(folder, g);
        fs::remove_file(&path).map_err(Error::io(&path))?;
    }
    Ok(())
}
