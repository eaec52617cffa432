//! Budgets whose tokens are kept by a few gateways of a data centre with many, over real processes on
//! loopback.

#![allow(missing_docs)]

mod support;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use serde_json::json;
use support::gateways::*;
use support::until;

/// Gateways of one data centre that are enough for budgets to have homes among them.
const MANY: usize = 13;

/// A fleet in which every gateway knows the homes.
fn with_homes(prepaid: u64) -> (Fleet, Vec<Neighbour>) {
    let f = Fleet::serving();
    let mut raised = document(4);
    raised["accounts"][0]["prepaid"] = json!(prepaid);
    assert_eq!(f.call(0, "PUT", "/v1/document", &raised.to_string()).unwrap().0, 200);
    let all = f.start_neighbours(MANY);
    let knows = |n: usize| {
        let text = log(f.dir.path(), &format!("neighbour-{n}"));
        // The first gateway of the fleet is listed too.
        text.contains(&format!("routers={}", MANY + 1))
    };
    until("the list of all gateways", || (0..MANY).all(knows));
    (f, all)
}

#[test]
fn a_budget_is_spent_to_its_end_through_any_gateway_and_no_further() {
    let (fleet, all) = with_homes(1_000);
    // 1,000 tokens are prepaid: enough for eleven of these.
    for (n, gateway) in all.iter().chain(&all).enumerate() {
        let answer = gateway.spend_in_the_end(n, 90);
        let expected = if n < 11 { (200, "") } else { (402, "CF1205") };
        assert_eq!((answer.0, answer.1.as_str()), expected, "request {n}");
    }
    let homes = all.iter().filter(|g| g.is_home()).count() + usize::from(is_home(fleet.operators));
    assert!((1..=2).contains(&homes), "{homes} gateways hold slices");
}

/// Sets a flag when it is dropped, in a panic too.
struct SetAtEnd<'a>(&'a AtomicBool);

impl Drop for SetAtEnd<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

#[test]
fn a_gateway_that_many_callers_of_an_account_use_keeps_tokens_of_its_own() {
    let (fleet, all) = with_homes(1_000_000);
    all[0].spend(0, 1).unwrap();
    let used = all.iter().find(|g| !g.is_home()).expect("most gateways are no homes");
    // Eight callers at once come to twenty requests a second on a busy machine, too.
    let (done, sent) = (AtomicBool::new(false), AtomicUsize::new(1));
    thread::scope(|s| {
        for _ in 0..8 {
            s.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    used.spend(sent.fetch_add(1, Ordering::Relaxed), 1);
                }
            });
        }
        // The callers end whatever becomes of the wait.
        let _end = SetAtEnd(&done);
        let mut beats = 1;
        until("a home of its own", || {
            beats += 1;
            fleet.beat(fleet.replica.unwrap(), beats);
            used.is_home()
        });
    });
    assert_eq!(used.spend_in_the_end(sent.into_inner(), 1).0, 200);
}

#[test]
fn gateways_whose_homes_have_died_are_served_by_the_next_in_line() {
    let (mut fleet, all) = with_homes(1_000_000);
    for (n, gateway) in all.iter().enumerate() {
        assert_eq!(gateway.spend_in_the_end(n, 10).0, 200);
    }
    let (mut dead, live): (Vec<_>, Vec<_>) = all.into_iter().partition(Neighbour::is_home);
    if is_home(fleet.operators) {
        fleet.gateway.as_mut().unwrap().kill();
    }
    dead.iter_mut().for_each(|g| g.process.kill());
    for (n, gateway) in live.iter().enumerate() {
        fleet.beat(fleet.replica.unwrap(), 2 + n);
        until("an answer", || gateway.spend(100 + n, 10).is_some_and(|answer| answer.0 == 200));
    }
    assert!(live.iter().any(Neighbour::is_home) || is_home(fleet.operators));
}
