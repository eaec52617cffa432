//! Snapshot files, each with a checksum.

use std::fs;
use std::path::{Path, PathBuf};

use crate::Error;
use crate::file::{sync_folder, write_atomically};

/// First bytes of a snapshot file.
const MAGIC: &[u8; 8] = b"CFSNAP01";

/// Length of the magic and the checksum, in bytes.
const HEADER_LEN: usize = 12;

fn snapshot_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("snapshot-{number:020}"))
}

/// Writes a snapshot atomically and durably.
pub(crate) fn save(folder: &Path, number: u64, bytes: &[u8]) -> Result<(), Error> {
    let mut out = Vec::with_capacity(HEADER_LEN + bytes.len());
    out.extend_from_slice(MAGIC);
    out.extend_from_slice(&crc32fast::hash(bytes).to_be_bytes());
    out.extend_from_slice(bytes);
    write_atomically(&snapshot_path(folder, number), &out)
}

/// Reads a snapshot and verifies its checksum.
pub(crate) fn load(folder: &Path, number: u64) -> Result<Vec<u8>, Error> {
    let path = snapshot_path(folder, number);
    let invalid = |why: &str| Error::Snapshot(path.clone(), why.to_owned());
    let mut bytes = fs::read(&path).map_err(|e| invalid(&e.to_string()))?;
    if bytes.len() < HEADER_LEN || bytes[..8] != MAGIC[..] {
        return Err(invalid("it is not a snapshot file"));
    }
    let sum = crc32fast::hash(&bytes[HEADER_LEN..]).to_be_bytes();
    if bytes[8..HEADER_LEN] != sum {
        return Err(invalid("its checksum does not match"));
    }
    Ok(bytes.split_off(HEADER_LEN))
}

/// Removes the snapshots with numbers below `number`.
pub(crate) fn remove_below(folder: &Path, number: u64) -> Result<(), Error> {
    let limit = snapshot_path(folder, number);
    for f in fs::read_dir(folder).map_err(Error::io(folder))? {
        let path = f.map_err(Error::io(folder))?.path();
        let is_snapshot =
            path.file_name().is_some_and(|n| n.to_string_lossy().starts_with("snapshot-"));
        if is_snapshot && path < limit {
            fs::remove_file(&path).map_err(Error::io(&path))?;
        }
    }
    sync_folder(folder)
}
