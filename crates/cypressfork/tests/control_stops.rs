//! Planned stops of control processes: calls in every phase, and signals that come in series. Runs real processes on
//! loopback.

#![allow(missing_docs)]

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;
use support::gateways::*;
use support::scripted::{connect, receive, status};
use support::wait_for;

/// Time after the signal in which a control process ends.
const STOP: Duration = Duration::from_millis(1_500);

/// Time between the signal and the rest of a call.
const REST_AFTER: Duration = Duration::from_millis(100);

/// Which control process is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Leader,
    Follower,
    Single,
}

/// Starts control processes and waits until all of them serve.
fn start(controls: usize) -> Fleet {
    let mut f = Fleet::new(controls);
    (0..controls).for_each(|n| f.start_control(n, true));
    f.publish(3);
    for n in 0..controls {
        wait_for("the document", || f.version(n) == Some(3));
    }
    f
}

fn leader(f: &Fleet) -> usize {
    let mut found = None;
    wait_for("a leader", || {
        let leads = |n: &usize| {
            metric_value(f.controls[*n].metrics, "cypressfork_group_leads") == Some(1.0)
        };
        found = (0..f.controls.len()).find(leads);
        found.is_some()
    });
    found.unwrap()
}

fn process(f: &mut Fleet, n: usize) -> &mut support::Process {
    f.controls[n].process.as_mut().unwrap()
}

/// A call of which a part was sent.
struct Begun {
    stream: TcpStream,
    rest: String,
}

impl Begun {
    /// Sends a call to control process `n` up to its last byte.
    fn new(f: &Fleet, n: usize, method: &str, path: &str, body: &str) -> Begun {
        let length = body.len();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        let (first, rest) = text.split_at(text.len() - 1);
        let control = &f.controls[n];
        let is_lookup = path == "/v1/entry";
        let mut stream = connect(if is_lookup { control.entry } else { control.api });
        stream.write_all(first.as_bytes()).unwrap();
        Begun { stream, rest: rest.to_owned() }
    }

    /// Sends the rest and returns the response; empty if the connection was closed.
    fn finish(mut self) -> String {
        // Fails if the connection was closed.
        let _ = self.stream.write_all(self.rest.as_bytes());
        receive(&mut self.stream, false)
    }
}

/// Begins one of the calls that a control process serves.
fn begin(f: &Fleet, n: usize, call: &str) -> Begun {
    let heartbeat = |draining: bool| {
        json!({ "service": "board", "address": "127.0.0.1:9", "data_centre": "tamar-a",
            "draining": draining, "sequence": 1 })
        .to_string()
    };
    match call {
        "publish" => Begun::new(f, n, "PUT", "/v1/document", &document(4).to_string()),
        "heartbeat" => Begun::new(f, n, "PUT", "/v1/replicas/r-1", &heartbeat(false)),
        "drain" => Begun::new(f, n, "PUT", "/v1/replicas/r-1", &heartbeat(true)),
        "leave" => Begun::new(f, n, "DELETE", "/v1/replicas/r-1", ""),
        "evacuate" => Begun::new(f, n, "PUT", "/v1/evacuations/tamar-b", ""),
        "read" => Begun::new(f, n, "GET", "/v1/document", ""),
        _ => Begun::new(f, n, "GET", "/v1/entry", ""),
    }
}

/// Guards against calls that a control process has read and closes without a response because it stops.
#[rstest]
fn a_call_that_arrives_during_a_stop_is_answered(
    #[values(Role::Leader, Role::Follower, Role::Single)] role: Role,
) {
    let mut f = start(if role == Role::Single { 1 } else { 3 });
    let stopped = match role {
        Role::Follower => (leader(&f) + 1) % 3,
        _ => leader(&f),
    };
    let calls = ["publish", "heartbeat", "drain", "leave", "evacuate", "read", "entry"];
    let begun: Vec<_> = calls.iter().map(|c| (c, begin(&f, stopped, c))).collect();
    sleep(REST_AFTER);
    process(&mut f, stopped).signal("TERM");
    sleep(REST_AFTER);
    let sent: Vec<_> = begun
        .into_iter()
        .map(|(c, mut b)| {
            let _ = b.stream.write_all(b.rest.as_bytes());
            (*c, Begun { rest: String::new(), ..b })
        })
        .collect();
    let got: Vec<_> = sent.into_iter().map(|(c, b)| (c, b.finish())).collect();
    for (call, text) in &got {
        // No gateway runs that an entry lookup could name.
        let expected = if *call == "entry" { 503 } else { 200 };
        assert_eq!(status(text), expected, "{call}: {text}");
    }
    assert_eq!(process(&mut f, stopped).wait(), Some(0));
    if role != Role::Single {
        let other = (stopped + 1) % 3;
        wait_for("the document", || f.version(other) == Some(4));
    }
}

/// Guards against a stop that ends at once, or lasts, because its signals come in series.
#[rstest]
#[case::again(&["TERM"])]
#[case::many_times(&["TERM", "TERM", "INT", "TERM", "INT"])]
#[case::a_reload(&["HUP", "HUP"])]
#[case::while_it_stands_still(&["STOP", "TERM", "CONT"])]
fn a_repeated_signal_does_not_cut_a_hand_over_short(#[case] signals: &[&str]) {
    let mut f = start(3);
    let stopped = leader(&f);
    let leave = begin(&f, stopped, "leave");
    sleep(REST_AFTER);
    let started = Instant::now();
    process(&mut f, stopped).signal("TERM");
    for s in signals {
        sleep(Duration::from_millis(20));
        process(&mut f, stopped).signal(s);
    }
    let text = leave.finish();
    assert_eq!(status(&text), 200, "{text}");
    assert_eq!(process(&mut f, stopped).wait(), Some(0));
    assert!(started.elapsed() < STOP, "{:?}", started.elapsed());
    let next = (stopped + 1) % 3;
    wait_for("another leader", || f.version(next) == Some(3));
}

/// Guards against calls that are told nothing, or something that does not hold, when the whole group is stopped.
#[test]
fn calls_are_answered_when_all_control_processes_stop_at_once() {
    let mut f = start(3);
    let begun: Vec<_> = (0..3).map(|n| begin(&f, n, "publish")).collect();
    sleep(REST_AFTER);
    (0..3).for_each(|n| process(&mut f, n).signal("TERM"));
    let got: Vec<_> = begun.into_iter().map(Begun::finish).collect();
    for text in &got {
        assert!([200, 503].contains(&status(text)), "{text}");
    }
    (0..3).for_each(|n| assert_eq!(process(&mut f, n).wait(), Some(0)));
    (0..3).for_each(|n| f.start_control(n, true));
    let expected = if got.iter().any(|t| status(t) == 200) { 4..=4 } else { 3..=4 };
    wait_for("the document", || f.version(0).is_some_and(|v| expected.contains(&v)));
}

/// Guards against calls that are told nothing because the group cannot commit them before the process ends.
#[test]
fn a_call_that_is_not_committed_in_time_is_told_so() {
    let mut f = start(3);
    let stopped = leader(&f);
    (1..3).for_each(|n| process(&mut f, (stopped + n) % 3).kill());
    let mut publish = begin(&f, stopped, "publish");
    publish.stream.write_all(publish.rest.as_bytes()).unwrap();
    publish.rest.clear();
    sleep(REST_AFTER);
    let started = Instant::now();
    process(&mut f, stopped).signal("TERM");
    let text = publish.finish();
    assert_eq!(status(&text), 503, "{text}");
    assert!(text.contains("CF2202"), "{text}");
    assert_eq!(process(&mut f, stopped).wait(), Some(0));
    assert!(started.elapsed() < STOP, "{:?}", started.elapsed());
    assert!(process(&mut f, stopped).log().contains(" CFE467 "));
}

/// Guards against clients that prolong a stop with calls that they never finish, and are told nothing.
#[test]
fn unfinished_calls_do_not_prolong_a_stop() {
    let mut f = start(1);
    let bodies: Vec<_> = (0..8).map(|_| begin(&f, 0, "publish")).collect();
    let _heads: Vec<_> = (0..8).map(|_| begin(&f, 0, "entry")).collect();
    let _idle: Vec<_> = (0..8).map(|_| connect(f.controls[0].api)).collect();
    sleep(REST_AFTER);
    let started = Instant::now();
    process(&mut f, 0).signal("TERM");
    for mut b in bodies {
        let text = receive(&mut b.stream, false);
        assert_eq!(status(&text), 503, "{text}");
        assert!(text.contains("CF1315"), "{text}");
    }
    assert_eq!(process(&mut f, 0).wait(), Some(0));
    assert!(started.elapsed() < STOP, "{:?}", started.elapsed());
}

/// Guards against a leave that is acknowledged during a stop and does not hold at gateways.
#[test]
fn a_leave_that_is_acknowledged_during_a_stop_holds_at_gateways() {
    let mut f = start(3);
    f.start_gateway();
    let replica = start_replica();
    let stopped = leader(&f);
    let heartbeat = |f: &Fleet, n: usize, sequence: usize| {
        let body = json!({ "service": "board", "address": replica.to_string(),
            "data_centre": "tamar-a", "sequence": sequence });
        f.call(n, "PUT", "/v1/replicas/r-1", &body.to_string()).map(|a| a.0)
    };
    wait_for("a response", || {
        assert_eq!(heartbeat(&f, stopped, 1), Some(200));
        f.get("/board/x").is_some_and(|a| a.0 == 200)
    });
    let leaves: Vec<_> = (0..2).map(|_| begin(&f, stopped, "leave")).collect();
    sleep(REST_AFTER);
    process(&mut f, stopped).signal("TERM");
    sleep(REST_AFTER);
    for leave in leaves {
        let text = leave.finish();
        assert_eq!(status(&text), 200, "{text}");
    }
    let since = Instant::now();
    assert_eq!(process(&mut f, stopped).wait(), Some(0));
    // A heartbeat that was sent before the leave arrives late elsewhere.
    assert_eq!(heartbeat(&f, (stopped + 1) % 3, 1), Some(200));
    while since.elapsed() < Duration::from_secs(3) {
        let is_served = f.get("/board/x").is_some_and(|a| a.0 == 200);
        assert!(!is_served || since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
        sleep(Duration::from_millis(20));
    }
}
