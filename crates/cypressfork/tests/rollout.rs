//! Tests rollouts with real processes on loopback: three control processes, three gateways, and replicas of two
//! versions.

#![allow(missing_docs)]

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use support::crashing::{Callers, document_with_two_routes};
use support::gateways::*;
use support::versions::*;
use support::wait_for;

/// Number of replicas of each version.
const REPLICAS: usize = 4;

/// Number of gateways in addition to the fleet's first one.
const EXTRA_GATEWAYS: usize = 2;

/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Time limit of a rollout.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(8);

/// Maximum time from the end of the last request at the old version until the rollout is reported as completed: a
/// gateway reports it with its next watch, at most one second later, and a commit follows.
const REPORTED_WITHIN: Duration = Duration::from_secs(2);

/// Maximum share of requests that a bad version may receive, plus [`SLACK`], as the user documentation states.
const MAX_SHARE: f64 = 0.1;
/// Requests that a bad version may receive beyond [`MAX_SHARE`].
const SLACK: f64 = 50.0;

/// Maximum time from the 50th failure of a version until no more requests are sent to it, as the user documentation
/// states.
const STOPPED_WITHIN: Duration = Duration::from_secs(5);

struct Harness {
    fleet: Fleet,
    _extra_gateways: Vec<ExtraGateway>,
    request_log: Arc<RequestLog>,
    callers: Callers,
    stop_old: Arc<AtomicBool>,
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.callers.stop.store(true, Ordering::Relaxed);
        self.stop_old.store(true, Ordering::Relaxed);
    }
}

impl Harness {
    /// Starts a fleet with replicas of `v1` and callers, and waits until each gateway serves a request.
    fn new() -> Harness {
        let mut fleet = Fleet::new(3);
        (0..3).for_each(|n| fleet.start_control(n, true));
        fleet.start_gateway();
        let extra_gateways = fleet.start_extra_gateways(EXTRA_GATEWAYS);
        let first = document_with_two_routes(3).to_string();
        wait_for("the document to be accepted", || {
            matches!(fleet.call(0, "PUT", "/v1/document", &first), Some((200, _)))
        });
        let gateway_addresses: Vec<_> =
            extra_gateways.iter().map(|g| g.listen).chain([fleet.listen]).collect();
        let callers = Callers::new(Arc::new(Mutex::new(gateway_addresses.clone())));
        let (request_log, stop_old) = (Arc::<RequestLog>::default(), Arc::<AtomicBool>::default());
        let harness =
            Harness { fleet, _extra_gateways: extra_gateways, request_log, callers, stop_old };
        harness.add_replicas("v1", 0, harness.stop_old.clone());
        for gateway in gateway_addresses {
            wait_for("a response", || {
                exchange(gateway, "GET", "/board/x", CALLER_HEADERS, "").is_some_and(|a| a.0 == 200)
            });
        }
        harness.callers.send("sound", REQUEST_INTERVAL, |n| match n % 5 {
            0 => ("POST", "/moves/x".to_owned(), format!("move {n}")),
            1 if n % 50 == 1 => ("GET", format!("/board/{LONG}"), String::new()),
            _ => ("GET", format!("/board/{n}"), String::new()),
        });
        harness
    }

    /// Starts the replicas of a version.
    fn add_replicas(&self, version: &str, fails_every: u64, stop: Arc<AtomicBool>) {
        for n in 0..REPLICAS {
            let replica = VersionedReplica {
                name: format!("{version}-{n}"),
                version: version.to_owned(),
                fails_every,
                controls: self.fleet.controls.iter().map(|c| c.api).collect(),
                request_log: self.request_log.clone(),
                stop: stop.clone(),
            };
            replica.start();
        }
    }

    /// Sends a request to the control processes in turn; returns the first response that is not a server
    /// error.
    fn call_any(&self, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
        let all = 0..self.fleet.controls.len();
        let mut answers = all.filter_map(|n| self.fleet.call(n, method, path, body));
        answers.find(|a| a.0 < 500)
    }

    /// Orders a rollout; returns when the acknowledged request was sent.
    fn order_rollout(&self, version: &str) -> Instant {
        let body = json!({ "version": version, "within_ms": ROLLOUT_LIMIT.as_millis() as u64 });
        let mut at = Instant::now();
        wait_for("an acknowledgement", || {
            at = Instant::now();
            let answer = self.call_any("PUT", "/v1/rollouts/board", &body.to_string());
            answer.is_some_and(|a| a.0 == 200)
        });
        at
    }

    /// Returns the stage of the rollout.
    fn stage(&self) -> Option<String> {
        let (status, v) = self.call_any("GET", "/v1/rollouts/board", "")?;
        (status == 200).then(|| v["stage"].as_str().unwrap().to_owned())
    }

    fn wait_for_stage(&self, stage: &str) {
        wait_for(stage, || self.stage().as_deref() == Some(stage));
    }

    /// Kills the leader of the control group and restarts it.
    fn kill_leader(&mut self) {
        let leads = |c: &Control| metric_value(c.metrics, "cypressfork_group_leads") == Some(1.0);
        let mut leader = None;
        wait_for("a leader", || {
            leader = self.fleet.controls.iter().position(leads);
            leader.is_some()
        });
        let n = leader.unwrap();
        self.fleet.controls[n].process.as_mut().unwrap().kill();
        self.fleet.start_control(n, false);
    }
}

/// Guards against requests that fail or are cut off while a good version takes over.
#[rstest]
#[case::no_process_is_killed(false)]
#[case::its_leader_is_killed(true)]
fn a_good_version_takes_over_without_failed_requests(#[case] kill: bool) {
    let mut harness = Harness::new();
    let before = Instant::now();
    harness.add_replicas("v2", 0, Arc::default());
    let ordered = harness.order_rollout("v2");
    harness.wait_for_stage("Trial");
    if kill {
        harness.kill_leader();
    }
    wait_for("a request to the new version", || {
        harness.request_log.arrivals_since("v2", before) > 0
    });
    // As a platform does, stop the old replicas as soon as the rollout is reported as completed.
    let mut last_at_old = Instant::now();
    wait_for("Completed", || {
        if harness.request_log.running("v1") > 0 {
            last_at_old = Instant::now();
        }
        harness.stage().as_deref() == Some("Completed")
    });
    let at_old = harness.request_log.running("v1");
    harness.stop_old.store(true, Ordering::Relaxed);
    assert_eq!(
        at_old, 0,
        "requests were in progress at the old version when the rollout was completed"
    );
    let due = (ordered + ROLLOUT_LIMIT).max(last_at_old + REPORTED_WITHIN);
    assert!(kill || Instant::now() < due, "the rollout was completed too late");
    let since = Instant::now();
    wait_for("requests at the new version", || {
        harness.request_log.arrivals_since("v2", since) > 200
    });
    harness.callers.stop.store(true, Ordering::Relaxed);
    let outcomes = harness.callers.outcomes();
    assert_eq!(outcomes.distinct_codes().len(), 0, "{:?}", outcomes.distinct_codes());
}

/// Guards against a bad version that is not rolled back, or receives too many requests.
#[rstest]
#[case::one_in_two_fails(2, false)]
#[case::one_in_five_fails(5, false)]
#[case::the_leader_is_killed(2, true)]
fn a_bad_version_is_rolled_back_and_gets_no_more_requests(
    #[case] fails_every: u64,
    #[case] kill: bool,
) {
    let mut harness = Harness::new();
    harness.add_replicas("v2", fails_every, Arc::default());
    let ordered = harness.order_rollout("v2");
    harness.wait_for_stage("Trial");
    if kill {
        harness.kill_leader();
    }
    harness.wait_for_stage("RolledBack");
    std::thread::sleep(ROLLOUT_LIMIT.saturating_sub(ordered.elapsed()));
    let exposed = harness.request_log.arrivals_since("v2", ordered) as f64;
    let all = exposed + harness.request_log.arrivals_since("v1", ordered) as f64;
    assert!(exposed <= all * MAX_SHARE + SLACK, "{exposed} of {all}");
    if let Some(fiftieth) = harness.request_log.nth_failure("v2", 50) {
        assert_eq!(harness.request_log.arrivals_since("v2", fiftieth + STOPPED_WITHIN), 0);
    }
    let since = Instant::now();
    wait_for("requests at the old version", || {
        harness.request_log.arrivals_since("v1", since) > 200
    });
    assert_eq!(harness.request_log.arrivals_since("v2", since), 0, "requests after the rollback");
}

/// Guards against an acknowledged order that is lost when all control processes are killed.
#[test]
fn an_order_survives_a_restart_of_all_control_processes() {
    let mut harness = Harness::new();
    harness.order_rollout("v2");
    harness.fleet.controls.iter_mut().for_each(|c| c.process.as_mut().unwrap().kill());
    (0..3).for_each(|n| harness.fleet.start_control(n, false));
    wait_for("the order", || harness.stage().is_some());
    assert_eq!(harness.stage().as_deref(), Some("Waiting"));
    harness.order_rollout("v2");
    let other = json!({ "version": "v3", "within_ms": 1_000 }).to_string();
    let refused = harness.call_any("PUT", "/v1/rollouts/board", &other).unwrap();
    assert_eq!((refused.0, refused.1["error"]["code"].as_str()), (409, Some("CF2017")));
    assert_eq!(harness.call_any("DELETE", "/v1/rollouts/board", "").map(|a| a.0), Some(200));
    assert_eq!(harness.stage().as_deref(), Some("RolledBack"));
}

/// Guards against invalid orders that are accepted.
#[rstest]
#[case::unknown_service(
    "PUT",
    "/v1/rollouts/nothing",
    r#"{"version":"v2","within_ms":1000}"#,
    422,
    "CF2016"
)]
#[case::no_version(
    "PUT",
    "/v1/rollouts/board",
    r#"{"version":"","within_ms":1000}"#,
    422,
    "CF2016"
)]
#[case::no_time("PUT", "/v1/rollouts/board", r#"{"version":"v2","within_ms":0}"#, 422, "CF2016")]
#[case::no_json("PUT", "/v1/rollouts/board", "version", 400, "CF1103")]
#[case::none_yet("GET", "/v1/rollouts/board", "", 404, "CF2018")]
#[case::none_to_take_back("DELETE", "/v1/rollouts/board", "", 404, "CF2018")]
fn invalid_orders_are_refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let fleet = Fleet::serving();
    let (got, v) = fleet.call(0, method, path, body).unwrap();
    assert_eq!((got, v["error"]["code"].as_str()), (status, Some(code)), "{v}");
}
