//! The clocks of a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cypressfork_core::unit::Time;
use nix::time::{ClockId, clock_gettime};

use crate::emit;
use crate::event::Event;

/// The clock that goes on while the machine is suspended. A lease, a registration or a word of the
/// control group must not outlive its time because its holder slept; the steady clock stands still
/// meanwhile.
#[cfg(any(target_os = "linux", target_os = "android"))]
const COUNTS_ALL: ClockId = ClockId::CLOCK_BOOTTIME;

/// Other systems name no such clock.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const COUNTS_ALL: ClockId = ClockId::CLOCK_MONOTONIC;

/// A clock that never goes back and counts suspensions, with its origin at the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    id: ClockId,
    origin: Duration,
}

fn read(id: ClockId) -> Option<Duration> {
    clock_gettime(id).ok().map(Duration::from)
}

impl Clock {
    /// Starts at zero. Where the system has no clock that counts suspensions, it is the steady one.
    pub fn start() -> Clock {
        if let Some(origin) = read(COUNTS_ALL) {
            return Clock { id: COUNTS_ALL, origin };
        }
        emit!(Event::ClockSteady);
        let id = ClockId::CLOCK_MONOTONIC;
        Clock { id, origin: read(id).unwrap_or_default() }
    }

    /// Whether it goes on while the machine is suspended.
    pub fn counts_suspensions(&self) -> bool {
        cfg!(any(target_os = "linux", target_os = "android")) && self.id == COUNTS_ALL
    }

    /// The present time.
    pub fn now(&self) -> Time {
        // A clock that was read once can be read again.
        let now = read(self.id).unwrap_or(self.origin);
        Time(now.saturating_sub(self.origin).as_millis() as u64)
    }
}

/// The time of day, in milliseconds since 1970, for stamps that outlive the process.
pub fn wall() -> Time {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(since.as_millis() as u64)
}
