//! The clocks of a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cypressfork_core::unit::Time;
use nix::time::{ClockId, clock_gettime};

use crate::emit;
use crate::event::Event;

/// The clock that keeps running while the machine is suspended. With `CLOCK_MONOTONIC`, which stops
/// meanwhile, leases and registrations would expire too late.
#[cfg(any(target_os = "linux", target_os = "android"))]
const BOOT_CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;

/// The monotonic clock, on systems without a clock that keeps running while the machine is suspended.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const BOOT_CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;

/// A monotonic clock that starts at zero and keeps running while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    id: ClockId,
    origin: Duration,
}

/// Reads a system clock. Returns `None` if the system does not have it.
fn read_clock(id: ClockId) -> Option<Duration> {
    clock_gettime(id).ok().map(Duration::from)
}

impl Clock {
    /// Starts a clock at zero. Falls back to `CLOCK_MONOTONIC` where the system has no clock that
    /// keeps running while the machine is suspended.
    pub fn start() -> Clock {
        if let Some(origin) = read_clock(BOOT_CLOCK) {
            return Clock { id: BOOT_CLOCK, origin };
        }
        emit!(Event::BootClockUnavailable);
        let id = ClockId::CLOCK_MONOTONIC;
        Clock { id, origin: read_clock(id).unwrap_or_default() }
    }

    /// Returns whether the clock keeps running while the machine is suspended.
    pub fn includes_suspend(&self) -> bool {
        cfg!(any(target_os = "linux", target_os = "android")) && self.id == BOOT_CLOCK
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now(&self) -> Time {
        // Reading cannot fail here: `start` has read this clock.
        let now = read_clock(self.id).unwrap_or(self.origin);
        Time(now.saturating_sub(self.origin).as_millis() as u64)
    }
}

/// Returns the milliseconds since the Unix epoch, for timestamps that outlive the process.
pub fn unix_time() -> Time {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(elapsed.as_millis() as u64)
}
