//! The error type of the data folder.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Error from opening, reading or writing a data folder.
    #[derive(Debug)]
    pub enum Error {
        /// Another process has locked the folder.
        InUse(path: PathBuf) {
            display("{} is in use by another process; stop that process first", path.display())
        }
        /// The folder belongs to another group than the settings name.
        WrongGroup(path: PathBuf, theirs: String, ours: String) {
            display("{} belongs to '{}', but the settings name '{}'; use that folder's settings, or an empty folder",
                path.display(), theirs, ours)
        }
        /// A record before the last batch, or the identity file, is damaged.
        Damaged(path: PathBuf, offset: u64) {
            display("{} is damaged at byte {}, before its end; move the folder away, start with an empty one and replace this member",
                path.display(), offset)
        }
        /// A snapshot is missing or damaged.
        Snapshot(path: PathBuf, why: String) {
            display("snapshot {} cannot be used: {}; move the folder away, start with an empty one and replace this member",
                path.display(), why)
        }
        /// An operation on a file or folder failed.
        Io(path: PathBuf, err: io::Error) {
            display("could not use {}: {}", path.display(), err)
            source(err)
        }
        /// An earlier write or sync failed, so the log accepts no more records.
        Poisoned {
            display("an earlier write failed; nothing is stored until the process restarts")
        }
    }
}

impl Error {
    /// Returns a function that turns an I/O error on `path` into an [`Error::Io`].
    pub(crate) fn io(path: &std::path::Path) -> impl FnOnce(io::Error) -> Error {
        let path = path.to_owned();
        move |e| Error::Io(path, e)
    }
}
