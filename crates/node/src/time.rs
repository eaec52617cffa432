//! The clocks of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cypressfork_core::unit::Time;

/// A clock that never goes back, with its origin at the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts at zero.
    pub fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time(self.origin.elapsed().as_millis() as u64)
    }
}

/// The time of day, in milliseconds since 1970, for stamps that outlive the process.
pub fn wall() -> Time {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(since.as_millis() as u64)
}
