//! Tests that an address reported as free can be bound.

#![allow(missing_docs)]

mod support;

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use support::{free_addresses, own_ip};

/// Number of threads that start processes, as concurrent tests do.
const SPAWNING_THREADS: usize = 8;

/// Number of addresses that are requested and bound.
const ADDRESSES: usize = 600;

/// Guards against a port that is reported free but still held: a socket opened to probe it stays open
/// in a process that another thread is starting.
#[test]
fn a_free_address_can_be_bound_while_processes_start() {
    let done = AtomicBool::new(false);
    let held: Vec<_> = thread::scope(|s| {
        for _ in 0..SPAWNING_THREADS {
            s.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let addresses = (0..ADDRESSES).flat_map(|_| free_addresses(&own_ip(), 1));
        let held = addresses.filter(|a| TcpListener::bind(a).is_err()).collect();
        done.store(true, Ordering::Relaxed);
        held
    });
    assert!(held.is_empty(), "{} of {ADDRESSES} addresses are held: {held:?}", held.len());
}
