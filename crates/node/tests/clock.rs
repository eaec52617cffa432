//! The clock of leases and registrations.

use std::fs;
use std::thread::sleep;
use std::time::Duration;

use cypressfork_node::time::Clock;

/// Returns the milliseconds since the system started, including time in suspend.
fn uptime() -> u64 {
    let text = fs::read_to_string("/proc/uptime").unwrap();
    let seconds: f64 = text.split(' ').next().unwrap().parse().unwrap();
    (seconds * 1_000.0) as u64
}

/// Guards against a clock that stops in suspend. A test cannot suspend the machine, so this compares the
/// clock with the uptime, which includes suspend.
#[test]
fn the_clock_keeps_running_during_suspend() {
    let (clock, before) = (Clock::start(), uptime());
    assert!(clock.now().0 < 1_000);
    sleep(Duration::from_millis(300));
    let (now, after) = (clock.now().0, uptime());
    assert!(now >= 300);
    assert!(now.abs_diff(after - before) < 100, "{now} ms against {} ms", after - before);
    assert!(clock.includes_suspend());
}
