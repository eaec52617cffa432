//! Why a connection could not be opened.

use std::fmt;
use std::io;

/// Why a connection could not be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The host refused the connection.
    Refused,
    /// The host did not respond in time.
    TimedOut,
    /// The connection failed otherwise; the text is the reason.
    Failed(String),
}

impl OpenError {
    /// Returns its label in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            OpenError::Refused => "refused",
            OpenError::TimedOut => "timed_out",
            OpenError::Failed(_) => "failed",
        }
    }
}

impl From<io::Error> for OpenError {
    fn from(error: io::Error) -> OpenError {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => OpenError::Refused,
            io::ErrorKind::TimedOut => OpenError::TimedOut,
            _ => OpenError::Failed(error.to_string()),
        }
    }
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Refused => f.write_str("the connection was refused"),
            OpenError::TimedOut => f.write_str("no connection in time"),
            OpenError::Failed(why) => f.write_str(why),
        }
    }
}
