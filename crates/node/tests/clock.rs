//! The clock that decisions are made by.

use std::fs;
use std::thread::sleep;
use std::time::Duration;

use cypressfork_node::time::Clock;

/// What the system counts since it was started, suspensions included, in milliseconds.
fn since_boot() -> u64 {
    let text = fs::read_to_string("/proc/uptime").unwrap();
    let seconds: f64 = text.split(' ').next().unwrap().parse().unwrap();
    (seconds * 1_000.0) as u64
}

/// It goes with the time since the machine's start. No test suspends a machine: that it counts a
/// suspension is the system's word on this clock.
#[test]
fn the_clock_is_the_one_that_counts_suspensions() {
    let (clock, before) = (Clock::start(), since_boot());
    assert!(clock.now().0 < 1_000);
    sleep(Duration::from_millis(300));
    let (now, after) = (clock.now().0, since_boot());
    assert!(now >= 300);
    assert!(now.abs_diff(after - before) < 100, "{now} ms against {} ms", after - before);
    assert!(clock.counts_suspensions());
}
