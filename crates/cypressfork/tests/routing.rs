//! Tests routing with real processes: leaving upstreams, overload, failing engines, metrics.

mod support;

use std::fs;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use support::{Fleet, Plan, Process, chat_body, program, wait_for};

/// Returns the number of requests that engine `n` has started.
fn started(f: &Fleet, n: usize) -> u64 {
    f.engine_stats(n)["started"].as_u64().unwrap()
}

/// Guards against new requests to an engine whose VM was listed as leaving, even if the list changes back, and
/// against cutting off its requests in progress.
#[test]
fn a_leaving_engine_gets_no_new_work() {
    let dir = tempfile::tempdir().unwrap();
    let list = dir.path().join("vms.json");
    let write_list = |state: &str| {
        let text = format!(
            r#"{{"vms":[{{"name":"engine-0","state":"{state}"}},{{"name":"engine-1","state":"live"}}]}}"#
        );
        fs::write(&list, text).unwrap();
    };
    write_list("live");
    let vms = ["vms", "--file", list.to_str().unwrap()];
    let platform = Process::start(dir.path(), "platform", program("fakes"), &vms);
    let mut address = String::new();
    wait_for("the address of the platform", || {
        let log = platform.log();
        address = log.lines().find_map(|l| l.strip_prefix("listening ")).unwrap_or("").to_owned();
        !address.is_empty()
    });
    let f = Fleet::start(Plan {
        routers: 1,
        engines: vec![vec!["--token-ms", "100"], vec![]],
        router_extra: format!("platform: http://{address}/v1/vms"),
        ..Plan::default()
    });
    thread::scope(|s| {
        let long: Vec<_> =
            (0..8).map(|_| s.spawn(|| f.chat(0).send(&chat_body(false, 24)))).collect();
        wait_for("a request at the leaving engine", || started(&f, 0) > 0);
        write_list("leaving");
        wait_for("the router to log that the engine is leaving", || {
            f.routers[0].log().contains("CFE417")
        });
        write_list("live");
        let before = started(&f, 0);
        for _ in 0..40 {
            assert_eq!(f.chat(0).send(&chat_body(false, 4)).status, 200);
        }
        assert_eq!(started(&f, 0), before, "requests to the leaving engine");
        for l in long {
            assert_eq!(l.join().unwrap().status, 200, "a request in progress was cut off");
        }
    });
}

/// Guards against bulk requests that wait or displace live ones under overload: one slow engine has one slot and a
/// queue of two.
#[test]
fn overload_refuses_the_lowest_priority_at_once() {
    let f = Fleet::start(Plan {
        routers: 1,
        engines: vec![vec!["--token-ms", "30"]],
        engine_extra: "            slots: 1\n            queue: 2",
        ..Plan::default()
    });
    let refused = AtomicU64::new(0);
    thread::scope(|s| {
        let bulk = || {
            let started_at = Instant::now();
            let a = f.chat(0).header("x-priority", "bulk").send(&chat_body(false, 24));
            if a.status != 200 {
                assert_eq!((a.status, a.code().as_str()), (503, "CF1301"), "{}", a.body);
                assert_eq!(a.json()["error"]["ran"], "no");
                assert!(a.header("retry-after").is_some());
                assert!(started_at.elapsed().as_secs() < 2, "the refusal was delayed");
                refused.fetch_add(1, Ordering::Relaxed);
            }
        };
        let all: Vec<_> = (0..8).map(|_| s.spawn(bulk)).collect();
        wait_for("refusals", || refused.load(Ordering::Relaxed) >= 5);
        let live: Vec<_> = (0..2)
            .map(|_| {
                s.spawn(|| f.chat(0).header("x-priority", "live").send(&chat_body(false, 4)).status)
            })
            .collect();
        for l in live {
            assert_eq!(l.join().unwrap(), 200);
        }
        all.into_iter().for_each(|t| t.join().unwrap());
    });
    assert_eq!(started(&f, 0) + refused.load(Ordering::Relaxed), 10);
}

/// Guards against failed requests while another engine is available.
#[test]
fn another_engine_serves_when_one_is_busy_or_gone() {
    let mut f = Fleet::start(Plan {
        routers: 1,
        engines: vec![vec!["--fault", "busy"], vec![], vec![]],
        ..Plan::default()
    });
    for n in 0..30 {
        if n == 15 {
            f.engines[1].0.kill();
        }
        let a = f.chat(0).send(&chat_body(false, 4));
        assert_eq!(a.status, 200, "{}", a.body);
    }
    f.wait_until_spent(30 * 7);
}

#[test]
fn metrics_count_served_and_refused_requests() {
    let f = Fleet::start(Plan { routers: 1, ..Plan::default() });
    f.chat(0).send(&chat_body(false, 4));
    f.chat(0).without_header("authorization").send("");
    let text = support::get_text(&format!("http://{}/metrics", f.ops_addresses[0])).unwrap();
    for line in [
        "cypressfork_requests_total{code=\"0\"} 1",
        "cypressfork_requests_total{code=\"1001\"} 1",
        "cypressfork_tokens_total{kind=\"output\"} 4",
        "cypressfork_configuration_version 1",
        "cypressfork_usable_upstreams{service=\"engine-talk\"} 1",
    ] {
        assert!(text.contains(line), "{line} is missing in:\n{text}");
    }
}
