//! Home gateways, over real processes on loopback: in a data centre with many gateways, a few of them hold
//! the slices of a budget.

#![allow(missing_docs)]

mod support;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use serde_json::json;
use support::gateways::*;
use support::wait_for;

/// Number of extra gateways in the data centre, enough for budgets to have home gateways.
const EXTRA_GATEWAYS: usize = 13;

/// Starts a fleet in which every gateway has the list of all gateways, from which homes are chosen.
fn start_with_homes(prepaid: u64) -> (Fleet, Vec<ExtraGateway>) {
    let f = Fleet::serving();
    let mut raised = document(4);
    raised["accounts"][0]["prepaid"] = json!(prepaid);
    assert_eq!(f.call(0, "PUT", "/v1/document", &raised.to_string()).unwrap().0, 200);
    let all = f.start_extra_gateways(EXTRA_GATEWAYS);
    let has_full_list = |n: usize| {
        let text = read_log(f.dir.path(), &format!("neighbour-{n}"));
        // The list includes the first gateway of the fleet.
        text.contains(&format!("routers={}", EXTRA_GATEWAYS + 1))
    };
    wait_for("the list of all gateways", || (0..EXTRA_GATEWAYS).all(has_full_list));
    (f, all)
}

/// Guards against tokens that some gateways can't reach, and against overspending.
#[test]
fn a_budget_is_spent_to_its_end_through_any_gateway_and_no_further() {
    let (fleet, all) = start_with_homes(1_000);
    // 1,000 tokens are prepaid: enough for eleven of these.
    for (n, gateway) in all.iter().chain(&all).enumerate() {
        let answer = gateway.spend_with_retry(n, 90);
        let expected = if n < 11 { (200, "") } else { (402, "CF1205") };
        assert_eq!((answer.0, answer.1.as_str()), expected, "request {n}");
    }
    let homes = all.iter().filter(|g| g.is_home()).count() + usize::from(is_home(fleet.operators));
    assert!((1..=2).contains(&homes), "{homes} gateways hold slices");
}

/// Sets a flag when dropped, also during a panic.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Guards against a busy gateway that never gets a slice of its own.
#[test]
fn a_gateway_that_many_callers_of_an_account_use_keeps_tokens_of_its_own() {
    let (fleet, all) = start_with_homes(1_000_000);
    all[0].spend(0, 1).unwrap();
    let busy = all.iter().find(|g| !g.is_home()).expect("a gateway that is not a home");
    // Eight concurrent callers reach twenty requests a second even on a busy machine.
    let (done, sent) = (AtomicBool::new(false), AtomicUsize::new(1));
    thread::scope(|s| {
        for _ in 0..8 {
            s.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    busy.spend(sent.fetch_add(1, Ordering::Relaxed), 1);
                }
            });
        }
        // Stops the callers even if the wait panics.
        let _stop_callers = SetOnDrop(&done);
        let mut sequence = 1;
        wait_for("a slice at the busy gateway", || {
            sequence += 1;
            fleet.send_heartbeat(fleet.replica.unwrap(), sequence);
            busy.is_home()
        });
    });
    assert_eq!(busy.spend_with_retry(sent.into_inner(), 1).0, 200);
}

/// Guards against refusals when the home gateways of a budget die.
#[test]
fn gateways_whose_homes_have_died_are_served_by_the_next_in_line() {
    let (mut fleet, all) = start_with_homes(1_000_000);
    for (n, gateway) in all.iter().enumerate() {
        assert_eq!(gateway.spend_with_retry(n, 10).0, 200);
    }
    let (mut dead, live): (Vec<_>, Vec<_>) = all.into_iter().partition(ExtraGateway::is_home);
    if is_home(fleet.operators) {
        fleet.gateway.as_mut().unwrap().kill();
    }
    dead.iter_mut().for_each(|g| g.process.kill());
    for (n, gateway) in live.iter().enumerate() {
        fleet.send_heartbeat(fleet.replica.unwrap(), 2 + n);
        wait_for("an answer", || gateway.spend(100 + n, 10).is_some_and(|answer| answer.0 == 200));
    }
    assert!(live.iter().any(ExtraGateway::is_home) || is_home(fleet.operators));
}
