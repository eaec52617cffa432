//! Snapshots: one checksummed file each.

use std::fs;
use std::path::{Path, PathBuf};

use crate::Error;
use crate::file::{sync_folder, write_whole};

/// First bytes of a snapshot.
const MAGIC: &[u8; 8] = b"CFSNAP01";

/// Bytes of the magic and the checksum.
const HEAD: usize = 12;

fn name(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("snapshot-{number:020}"))
}

pub(crate) fn save(folder: &Path, number: u64, bytes: &[u8]) -> Result<(), Error> {
    let mut out = Vec::with_capacity(HEAD + bytes.len());
    out.extend_from_slice(MAGIC);
    out.extend_from_slice(&crc32fast::hash(bytes).to_be_bytes());
    out.extend_from_slice(bytes);
    write_whole(&name(folder, number), &out)
}

pub(crate) fn load(folder: &Path, number: u64) -> Result<Vec<u8>, Error> {
    let path = name(folder, number);
    let bad = |why: &str| Error::Snapshot(path.clone(), why.to_owned());
    let mut bytes = fs::read(&path).map_err(|e| bad(&e.to_string()))?;
    if bytes.len() < HEAD || bytes[..8] != MAGIC[..] {
        return Err(bad("it is not a snapshot"));
    }
    let sum = crc32fast::hash(&bytes[HEAD..]).to_be_bytes();
    if bytes[8..HEAD] != sum {
        return Err(bad("its checksum does not match"));
    }
    Ok(bytes.split_off(HEAD))
}

pub(crate) fn drop_below(folder: &Path, number: u64) -> Result<(), Error> {
    let limit = name(folder, number);
    for f in fs::read_dir(folder).map_err(Error::io(folder))? {
        let path = f.map_err(Error::io(folder))?.path();
        let is = path.file_name().is_some_and(|n| n.to_string_lossy().starts_with("snapshot-"));
        if is && path < limit {
            fs::remove_file(&path).map_err(Error::io(&path))?;
        }
    }
    sync_folder(folder)
}
