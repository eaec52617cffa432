//! Routing over real processes: leaving upstreams, overload, failing engines, metrics.

mod support;

use std::fs;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use support::{Fleet, Plan, Process, ask, program, until};

fn started(f: &Fleet, n: usize) -> u64 {
    f.engine_stats(n)["started"].as_u64().unwrap()
}

/// The platform's list shows an engine's VM as leaving: within seconds it gets no new work, also
/// when the list flaps, and the request that it is running is not cut off.
#[test]
fn a_leaving_engine_gets_no_new_work() {
    let dir = tempfile::tempdir().unwrap();
    let list = dir.path().join("vms.json");
    let write = |state: &str| {
        let text = format!(
            r#"{{"vms":[{{"name":"engine-0","state":"{state}"}},{{"name":"engine-1","state":"live"}}]}}"#
        );
        fs::write(&list, text).unwrap();
    };
    write("live");
    let vms = ["vms", "--file", list.to_str().unwrap()];
    let platform = Process::start(dir.path(), "platform", program("fakes"), &vms);
    let mut address = String::new();
    until("the platform", || {
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
        let long: Vec<_> = (0..8).map(|_| s.spawn(|| f.chat(0).send(&ask(false, 24)))).collect();
        until("work on the leaving engine", || started(&f, 0) > 0);
        write("leaving");
        until("the router's word", || f.routers[0].log().contains("CFE417"));
        write("live");
        let before = started(&f, 0);
        for _ in 0..40 {
            assert_eq!(f.chat(0).send(&ask(false, 4)).status, 200);
        }
        assert_eq!(started(&f, 0), before, "no new work");
        for l in long {
            assert_eq!(l.join().unwrap().status, 200, "what it ran was not cut off");
        }
    });
}

/// One slow engine with one place and a queue of two: what is worth least is refused at once, with
/// when to come back, and what is urgent is served.
#[test]
fn overload_refuses_what_is_worth_least_at_once() {
    let f = Fleet::start(Plan {
        routers: 1,
        engines: vec![vec!["--token-ms", "30"]],
        engine_extra: "            slots: 1\n            queue: 2",
        ..Plan::default()
    });
    let refused = AtomicU64::new(0);
    thread::scope(|s| {
        let bulk = || {
            let begin = Instant::now();
            let a = f.chat(0).header("x-priority", "bulk").send(&ask(false, 24));
            if a.status != 200 {
                assert_eq!((a.status, a.code().as_str()), (503, "CF1301"), "{}", a.body);
                assert_eq!(a.json()["error"]["ran"], "no");
                assert!(a.header("retry-after").is_some());
                assert!(begin.elapsed().as_secs() < 2, "it was held back");
                refused.fetch_add(1, Ordering::Relaxed);
            }
        };
        let all: Vec<_> = (0..8).map(|_| s.spawn(bulk)).collect();
        until("refusals", || refused.load(Ordering::Relaxed) >= 5);
        let live: Vec<_> = (0..2)
            .map(|_| s.spawn(|| f.chat(0).header("x-priority", "live").send(&ask(false, 4)).status))
            .collect();
        for l in live {
            assert_eq!(l.join().unwrap(), 200);
        }
        all.into_iter().for_each(|t| t.join().unwrap());
    });
    assert_eq!(started(&f, 0) + refused.load(Ordering::Relaxed), 10);
}

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
        let a = f.chat(0).send(&ask(false, 4));
        assert_eq!(a.status, 200, "{}", a.body);
    }
    f.until_spent(30 * 7);
}

#[test]
fn metrics_count_what_was_served_and_refused() {
    let f = Fleet::start(Plan { routers: 1, ..Plan::default() });
    f.chat(0).send(&ask(false, 4));
    f.chat(0).without("authorization").send("");
    let text = support::text(&format!("http://{}/metrics", f.ops_addresses[0])).unwrap();
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
