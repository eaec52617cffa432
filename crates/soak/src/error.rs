//! Why a run could not be played. That a promise is broken is no error of the soak.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why a run could not be played.
    #[derive(Debug)]
    pub enum Error {
        /// A file, a socket or a process.
        Io(what: String, err: io::Error) {
            display("could not {}: {}", what, err)
            source(err)
        }
        /// The fleet did not come up.
        NotUp(what: &'static str) {
            display("the fleet did not come up: no {}", what)
        }
    }
}

/// An error of input or output, with what was tried.
pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
    move |e| Error::Io(what.into(), e)
}
