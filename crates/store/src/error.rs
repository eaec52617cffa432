//! What can go wrong with a data folder.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// What went wrong with a data folder.
    #[derive(Debug)]
    pub enum Error {
        /// Another process holds the folder.
        InUse(path: PathBuf) {
            display("{} is in use by another process: stop that one first", path.display())
        }
        /// The folder belongs to something else.
        Foreign(path: PathBuf, theirs: String, ours: String) {
            display("{} belongs to '{}', the settings say '{}': use that folder's settings, or an empty folder",
                path.display(), theirs, ours)
        }
        /// A record before the last batch is damaged.
        Damaged(path: PathBuf, offset: u64) {
            display("{} is damaged at byte {}, before its end: move the folder away, start with an empty one and replace this replica",
                path.display(), offset)
        }
        /// A snapshot is missing or damaged.
        Snapshot(path: PathBuf, why: String) {
            display("snapshot {} cannot be used: {}; move the folder away, start with an empty one and replace this replica",
                path.display(), why)
        }
        /// A file could not be read or written.
        Io(path: PathBuf, err: io::Error) {
            display("could not use {}: {}", path.display(), err)
            source(err)
        }
        /// An earlier write or sync failed.
        Poisoned {
            display("an earlier write failed: nothing more is stored until a restart")
        }
    }
}

impl Error {
    /// An error of the file or folder at `path`.
    pub(crate) fn io(path: &std::path::Path) -> impl FnOnce(io::Error) -> Error {
        let path = path.to_owned();
        move |e| Error::Io(path, e)
    }
}
