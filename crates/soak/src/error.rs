//! Errors that prevent a run from being executed. A broken promise is a result, not an error.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// An error that prevents a run from being executed.
    #[derive(Debug)]
    pub enum Error {
        /// An operation on a file, socket or process failed.
        Io(what: String, err: io::Error) {
            display("could not {}: {}", what, err)
            source(err)
        }
        /// The fleet did not become ready in time.
        NotReady(what: &'static str) {
            display("the fleet did not become ready: no {}", what)
        }
    }
}

/// Returns a function for `map_err` that adds a description of the failed operation to an I/O error.
pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
    move |e| Error::Io(what.into(), e)
}
