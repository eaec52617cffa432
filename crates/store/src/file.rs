//! Atomic and durable file writes.

use std::fs::{self, File};
use std::io::Write;
use std::path::Path;

use crate::Error;

/// Syncs a folder, so that files created, renamed or removed in it survive a crash.
pub(crate) fn sync_folder(path: &Path) -> Result<(), Error> {
    File::open(path).and_then(|f| f.sync_all()).map_err(Error::io(path))
}

/// Replaces a file atomically: writes a temporary file, syncs it and renames it into place.
pub(crate) fn write_atomically(path: &Path, bytes: &[u8]) -> Result<(), Error> {
    let tmp = path.with_extension("tmp");
    let write = || {
        let mut f = File::create(&tmp)?;
        f.write_all(bytes)?;
        f.sync_all()
    };
    write().map_err(Error::io(&tmp))?;
    rename(&tmp, path)
}

/// Renames a synced file and syncs the target folder.
pub(crate) fn rename(from: &Path, to: &Path) -> Result<(), Error> {
    fs::rename(from, to).map_err(Error::io(to))?;
    sync_folder(to.parent().unwrap_or(Path::new(".")))
}
