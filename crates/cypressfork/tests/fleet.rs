//! The fleet's native API over real processes on loopback: forming and repairing the control group,
//! documents, registrations, evacuations and forwarding.

#![allow(missing_docs)]

mod support;

use std::collections::BTreeSet;
use std::net::TcpStream;
use std::thread;

use serde_json::json;
use support::gateways::*;
use support::wait_for;

/// Guards against a group that fails to form, or loses documents as it replaces lost disks.
#[test]
fn a_group_forms_adds_members_and_replaces_lost_disks() {
    let mut f = Fleet::new(5);
    for n in [4, 2, 0, 3, 1] {
        f.start_control(n, true);
    }
    f.publish(7);
    let joined = |f: &Fleet, n: usize| {
        let text = read_log(f.dir.path(), &format!("control-{n}"));
        text.contains("voters=5")
    };
    wait_for("five voters", || (0..5).all(|n| joined(&f, n)));
    // Two disks are lost in turn, the second just after the group has replaced the first.
    for (n, version) in [(0, 8), (1, 9)] {
        f.controls[n].process.as_mut().unwrap().kill();
        f.delete_data_folder(n);
        f.start_control(n, false);
        f.publish(version);
        let done = |f: &Fleet| {
            let all: BTreeSet<_> = (0..5).map(|n| f.version(n)).collect();
            all == BTreeSet::from([Some(version)])
        };
        wait_for("the document on all members", || done(&f));
        let has_five_voters = |f: &Fleet| {
            let text = read_log(f.dir.path(), &format!("control-{n}"));
            text.rsplit("voters=").next().is_some_and(|t| t.starts_with('5'))
        };
        wait_for("five voters again", || has_five_voters(&f));
    }
    // An acknowledged document survives the loss of all processes at once.
    for c in &mut f.controls {
        c.process.as_mut().unwrap().kill();
    }
    (0..5).for_each(|n| f.start_control(n, false));
    wait_for("the group", || f.version(3) == Some(9));
}

/// Guards against wrong routing as documents and registrations change.
#[test]
fn requests_are_routed_to_a_registered_replica() {
    let mut f = Fleet::new(1);
    f.start_control(0, true);
    f.start_gateway();
    wait_for("the gateway", || TcpStream::connect(f.listen).is_ok());
    assert_eq!(f.get("/board/x").unwrap().0, 503, "the gateway has no document yet");
    f.publish(3);
    let beat = json!({ "service": "board", "address": start_replica().to_string(),
        "data_centre": "tamar-a", "slots": 4, "sequence": 1 });
    assert_eq!(f.call(0, "PUT", "/v1/replicas/b-1", &beat.to_string()).unwrap().0, 200);
    wait_for("an answer", || f.get("/board/x").unwrap().0 == 200);
    assert_eq!(f.get("/board/x").unwrap().1, json!({ "account": "club" }));
    assert_eq!(f.get("/elsewhere").unwrap().0, 404);
    let (status, v) = f.ask_directory(0, "tamar-a").unwrap();
    assert_eq!((status, &v["addresses"]), (200, &json!([f.listen.to_string()])));
    let (status, v) = f.call(0, "PUT", "/v1/document", "{\"version\": 9}").unwrap();
    assert_eq!((status, &v["error"]["code"]), (400, &json!("CF2012")));
    f.call(0, "DELETE", "/v1/replicas/b-1", "").unwrap();
    wait_for("the end of the registration", || f.get("/board/x").unwrap().0 == 503);
}

/// Guards against a gateway that stops serving when it loses the control group.
#[test]
fn a_gateway_cut_off_from_the_control_group_keeps_serving() {
    let mut f = Fleet::serving();
    f.controls[0].process.as_mut().unwrap().kill();
    assert_eq!(f.get("/board/x").unwrap().0, 200);
    // A gateway that starts while cut off answers 503: without a document it can't tell whether the route
    // exists.
    f.gateway.as_mut().unwrap().kill();
    f.start_gateway();
    wait_for("the gateway", || TcpStream::connect(f.listen).is_ok());
    assert_eq!(f.get("/board/x").unwrap().0, 503);
}

/// Guards against an evacuation that is lost when processes restart, or that can't be withdrawn.
#[test]
fn an_evacuated_data_centre_gets_no_new_work_whatever_restarts() {
    let mut f = Fleet::serving();
    let evacuation_request = |f: &Fleet, verb: &str| {
        wait_for("an answer to the evacuation request", || {
            let answer = f.call(0, verb, "/v1/evacuations/tamar-a", "");
            matches!(answer, Some((200, _)))
        });
    };
    evacuation_request(&f, "PUT");
    wait_for("no new work", || f.get("/board/x").unwrap().0 == 503);
    evacuation_request(&f, "PUT");
    f.controls[0].process.as_mut().unwrap().kill();
    f.gateway.as_mut().unwrap().kill();
    f.start_control(0, false);
    f.start_gateway();
    f.replica.into_iter().for_each(|r| {
        wait_for("an accepted heartbeat", || {
            let beat = json!({ "service": "board", "address": r.to_string(),
                "data_centre": "tamar-a", "sequence": 2 });
            let answer = f.call(0, "PUT", "/v1/replicas/b-1", &beat.to_string());
            matches!(answer, Some((200, _)))
        });
    });
    wait_for("the document", || f.version(0) == Some(3));
    let evacuated = || metric_value(f.operators, "cypressfork_evacuated_data_centres");
    wait_for("the evacuation at the gateway", || evacuated() == Some(1.0));
    for _ in 0..20 {
        assert_eq!(f.get("/board/x").unwrap().0, 503);
    }
    evacuation_request(&f, "DELETE");
    wait_for("an answer", || f.get("/board/x").unwrap().0 == 200);
}

/// Guards against an invalid evacuation request that is accepted or refused without a result code.
#[test]
fn an_invalid_evacuation_request_is_refused_with_a_code() {
    let f = Fleet::serving();
    let refused = |path: &str, body: &str| {
        let (status, v) = f.call(0, "PUT", path, body).unwrap();
        (status, v["error"]["code"].as_str().unwrap().to_owned())
    };
    assert_eq!(refused("/v1/evacuations/", ""), (404, "CF2013".to_owned()));
    assert_eq!(refused("/v1/evacuations/tamar-a", "{}"), (400, "CF2014".to_owned()));
    assert_eq!(f.get("/board/x").unwrap().0, 200);
}

/// Guards against a refusal while a restarted gateway still fetches its first document.
#[test]
fn a_request_that_comes_before_the_first_document_waits_for_it() {
    let mut f = Fleet::serving();
    // All processes are killed, and the gateway restarts before the control process.
    f.gateway.as_mut().unwrap().kill();
    f.controls[0].process.as_mut().unwrap().kill();
    f.start_gateway();
    wait_for("the gateway", || TcpStream::connect(f.listen).is_ok());
    let front = f.listen;
    let asked = thread::spawn(move || exchange(front, "GET", "/board/x", CALLER_HEADERS, ""));
    f.start_control(0, false);
    let (_, answer) = asked.join().unwrap().unwrap();
    assert_ne!(answer["error"]["code"], json!("CF1305"), "refused before the document arrived");
}

/// Guards against missing health or metrics endpoints.
#[test]
fn every_process_serves_health_and_metrics() {
    let f = Fleet::serving();
    let control = f.controls[0].metrics;
    for address in [control, f.metrics, f.operators] {
        assert_eq!(exchange(address, "GET", "/healthz", "", "").unwrap().0, 200);
        assert_eq!(exchange(address, "GET", "/elsewhere", "", "").unwrap().0, 404);
    }
    // Gauges are updated at the next tick.
    let at_least = |name: &str, n: f64| metric_value(control, name).is_some_and(|v| v >= n);
    wait_for("the leader", || at_least("cypressfork_group_leads", 1.0));
    wait_for("two commits", || at_least("cypressfork_group_committed", 2.0));
    assert!(metric_value(control, "cypressfork_commit_seconds_count").unwrap() >= 1.0);
    assert!(metric_value(control, "cypressfork_sync_seconds_count").unwrap() >= 1.0);
    let answered = "cypressfork_attempts_total{end=\"answered\"}";
    assert!(metric_value(f.metrics, answered).unwrap() >= 1.0);
    assert_eq!(metric_value(f.metrics, answered), metric_value(f.operators, answered));
}
