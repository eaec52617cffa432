//! Requests that crash every replica that runs them, over real processes on loopback.
//!
//! Guards against retries and repeated copies of such a request crashing one replica after another: all
//! gateways must share the quarantine of the request.

#![allow(missing_docs)]

mod support;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::query::{Query, Reply};
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_wire::auth::Key;
use rstest::rstest;
use support::crashing::*;
use support::gateways::*;
use support::wait_for;

/// Replicas: enough that some are up while two requests crash them.
const REPLICAS: usize = 10;

/// Gateways besides the fleet's first one.
const EXTRA_GATEWAYS: usize = 3;

/// Time from a replica's crash to its restart.
const DOWNTIME: Duration = Duration::from_secs(2);

/// Time that a process keeps listening after its connections have closed.
const EXIT_DELAY: Duration = Duration::from_millis(20);

/// Time that a process on a busy machine keeps listening after its connections have closed.
const SLOW_EXIT_DELAY: Duration = Duration::from_millis(250);

/// Downtime of a replica whose supervisor holds its socket: the crash stays undetected until the next
/// process sends a heartbeat.
const SUPERVISED_DOWNTIME: Duration = Duration::from_millis(500);

/// Downtime of a replica that its supervisor restarts at once.
const IMMEDIATE_DOWNTIME: Duration = Duration::from_millis(10);

/// Time from a request's third crash within which every gateway applies the quarantine.
const QUARANTINED_WITHIN: Duration = Duration::from_secs(3);

/// Bound on the total arrivals of a request after that: probes that check whether the quarantine is wrong.
const MAX_PROBES: usize = 3;

/// Interval between copies of one poison request.
const POISON_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between harmless requests.
const HARMLESS_INTERVAL: Duration = Duration::from_millis(20);

/// Result code for a quarantined request.
const QUARANTINED: &str = "CF1309";

/// How replicas crash and restart.
#[derive(Clone, Copy)]
struct CrashMode {
    restart_as: RestartAs,
    socket: Socket,
    downtime: Duration,
}

/// A fleet with replicas that crash, and callers that send harmless and poison requests.
struct CrashingFleet {
    fleet: Fleet,
    _extra_gateways: Vec<ExtraGateway>,
    crash_record: Arc<CrashRecord>,
    harmless: Callers,
    poison_callers: Callers,
    stop_replicas: Arc<std::sync::atomic::AtomicBool>,
}

impl Drop for CrashingFleet {
    fn drop(&mut self) {
        for stop in [&self.harmless.stop, &self.poison_callers.stop, &self.stop_replicas] {
            stop.store(true, Ordering::Relaxed);
        }
    }
}

impl CrashingFleet {
    /// Starts a fleet whose gateways all serve, without any load.
    fn new(restart_as: RestartAs) -> CrashingFleet {
        CrashingFleet::with_mode(CrashMode {
            restart_as,
            socket: Socket::Closes,
            downtime: DOWNTIME,
        })
    }

    fn with_mode(mode: CrashMode) -> CrashingFleet {
        let mut fleet = Fleet::new(3);
        (0..3).for_each(|n| fleet.start_control(n, true));
        fleet.start_gateway();
        let extra_gateways = fleet.start_extra_gateways(EXTRA_GATEWAYS);
        let first = document_with_two_routes(3).to_string();
        wait_for("a document", || {
            matches!(fleet.call(0, "PUT", "/v1/document", &first), Some((200, _)))
        });
        let gateway_addresses =
            extra_gateways.iter().map(|g| g.listen).chain([fleet.listen]).collect();
        let gateways = Arc::new(Mutex::new(gateway_addresses));
        let crashing = CrashingFleet {
            crash_record: Arc::default(),
            harmless: Callers::new(gateways.clone()),
            poison_callers: Callers::new(gateways),
            stop_replicas: Arc::default(),
            fleet,
            _extra_gateways: extra_gateways,
        };
        crashing.start_replicas(mode);
        crashing.wait_until_all_answer();
        crashing
    }

    fn start_replicas(&self, mode: CrashMode) {
        let controls: Vec<_> = self.fleet.controls.iter().map(|c| c.api).collect();
        for (n, address) in free_socket_addrs(&support::own_ip(), REPLICAS).into_iter().enumerate()
        {
            let replica = CrashingReplica {
                address,
                name: format!("b-{n}"),
                restart_as: mode.restart_as,
                socket: mode.socket,
                downtime: mode.downtime,
                controls: controls.clone(),
                crash_record: self.crash_record.clone(),
                stop: self.stop_replicas.clone(),
            };
            replica.start();
        }
    }

    fn wait_until_all_answer(&self) {
        let all = self.harmless.gateways.lock().unwrap().clone();
        for gateway in all {
            wait_for("an answer", || {
                let answer = exchange(gateway, "GET", "/board/x", CALLER_HEADERS, "");
                answer.is_some_and(|a| a.0 == 200)
            });
        }
    }

    /// Sends harmless requests: a third of them identical, the others distinct.
    fn send_harmless(&self) {
        self.harmless.send("sound", HARMLESS_INTERVAL, |n| match n % 3 {
            0 => ("GET", "/board/same".to_owned(), String::new()),
            1 => ("GET", format!("/board/{n}"), String::new()),
            _ => ("POST", "/moves/x".to_owned(), format!("move {n}")),
        });
    }

    /// Sends copies of two requests that crash their replicas: one marked in its path, one in its body.
    fn send_poison(&self) {
        self.poison_callers.send("killer", POISON_INTERVAL / 2, |n| match n % 2 {
            0 => ("GET", format!("/board/{POISON_MARKER}-1"), String::new()),
            _ => ("POST", "/moves/x".to_owned(), format!("{POISON_MARKER}-2")),
        });
    }

    /// Waits until both poison requests have crashed three replicas; returns each with the time from which
    /// every gateway has to refuse it.
    fn wait_until_quarantine_due(&self) -> Vec<(String, Instant)> {
        let names = [1, 2].map(|n| format!("{POISON_MARKER}-{n}"));
        let due = names.map(|name| {
            let mut third_crash_at = None;
            wait_for("a third crash of a replica", || {
                third_crash_at = self.crash_record.third_crash(&name);
                third_crash_at.is_some()
            });
            (name, third_crash_at.unwrap() + QUARANTINED_WITHIN)
        });
        due.to_vec()
    }
}

fn sleep_until(until: Instant) {
    sleep(until.saturating_duration_since(Instant::now()));
}

/// Reads from the logs of all gateways the fingerprints of requests that were in progress at crashed
/// replicas, each with the names of those replicas and the ids of the requests.
fn in_progress_at_crash(
    crashing: &CrashingFleet,
) -> HashMap<String, (HashSet<String>, HashSet<String>)> {
    let mut all: HashMap<_, (HashSet<_>, HashSet<_>)> = HashMap::new();
    let names = (0..EXTRA_GATEWAYS).map(|n| format!("neighbour-{n}"));
    for name in names.chain(["gateway-0".to_owned()]) {
        let text = read_log(crashing.fleet.dir.path(), &name);
        for line in text.lines().filter(|l| l.contains(" CFE430 ")) {
            let field = |name: &str| {
                let mut words = line.split(' ').filter_map(|w| w.split_once('='));
                words.find(|(k, _)| *k == name).map_or("", |(_, v)| v).to_owned()
            };
            let (replicas, ids) = all.entry(field("fingerprint")).or_default();
            replicas.insert(field("replica"));
            ids.insert(field("id"));
        }
    }
    all
}

/// Guards against crashes whose causing requests can't be found in the gateways' logs.
#[test]
fn logs_list_the_requests_in_progress_at_crashed_replicas() {
    let crashing = CrashingFleet::new(RestartAs::NewId);
    crashing.send_harmless();
    crashing.send_poison();
    crashing.wait_until_quarantine_due();
    let crashed_three = |crashing: &CrashingFleet| {
        let all = in_progress_at_crash(crashing);
        let often = all.into_values().filter(|(replicas, _)| replicas.len() >= 3);
        often.filter(|(_, ids)| ids.iter().all(|id| id.starts_with("killer-"))).count()
    };
    wait_for("both poison requests in the logs", || crashed_three(&crashing) == 2);
}

/// Guards against a poison request that is still sent to replicas after its third crash.
#[rstest]
#[case::replicas_come_back_under_another_id(RestartAs::NewId)]
#[case::replicas_come_back_under_their_id(RestartAs::SameId)]
fn a_poison_request_is_soon_sent_to_no_replica(#[case] restart_as: RestartAs) {
    assert_soon_sent_to_no_replica(&CrashingFleet::new(restart_as));
}

/// Guards against a missed crash where the replica's listening socket outlasts it: connections are then
/// accepted and never answered.
#[rstest]
#[case::its_process_takes_a_while_to_exit(
    RestartAs::NewId,
    Socket::ClosesAfter(EXIT_DELAY),
    DOWNTIME
)]
#[case::and_keeps_its_id(RestartAs::SameId, Socket::ClosesAfter(EXIT_DELAY), DOWNTIME)]
#[case::a_slow_exit(RestartAs::NewId, Socket::ClosesAfter(SLOW_EXIT_DELAY), DOWNTIME)]
#[case::a_supervisor_holds_its_socket(RestartAs::NewId, Socket::Held, SUPERVISED_DOWNTIME)]
#[case::a_supervisor_starts_it_under_its_id(
    RestartAs::SameIdBorn,
    Socket::Held,
    SUPERVISED_DOWNTIME
)]
#[case::it_starts_again_at_once(RestartAs::NewId, Socket::Closes, IMMEDIATE_DOWNTIME)]
#[case::under_its_id(RestartAs::SameIdBorn, Socket::Closes, IMMEDIATE_DOWNTIME)]
fn a_poison_request_is_soon_sent_to_no_replica_when_sockets_outlast_crashes(
    #[case] restart_as: RestartAs,
    #[case] socket: Socket,
    #[case] downtime: Duration,
) {
    assert_soon_sent_to_no_replica(&CrashingFleet::with_mode(CrashMode {
        restart_as,
        socket,
        downtime,
    }));
}

fn assert_soon_sent_to_no_replica(crashing: &CrashingFleet) {
    crashing.send_harmless();
    crashing.send_poison();
    let due = crashing.wait_until_quarantine_due();
    let last = due.iter().map(|(_, at)| *at).max().unwrap();
    sleep_until(last + Duration::from_secs(4));
    for (poison, at) in &due {
        let arrivals = crashing.crash_record.arrivals(poison, *at);
        assert!(
            arrivals <= MAX_PROBES,
            "{poison} reached replicas {arrivals} times after the quarantine was due at every gateway"
        );
    }
    let refused = crashing.harmless.outcomes().count_code(QUARANTINED);
    assert_eq!(refused, 0, "harmless requests are quarantined");
}

impl CrashingFleet {
    /// Sends one copy of the first poison request to a gateway and returns its result code, empty without
    /// an answer.
    fn send_copy(&self, gateway: SocketAddr, key: &str) -> String {
        let head = format!("X-Request-Id: copy\r\nAuthorization: Bearer {key}\r\n");
        let path = format!("/board/{POISON_MARKER}-1");
        let answer = exchange(gateway, "GET", &path, &head, "");
        answer.map_or(String::new(), |(_, v)| v["error"]["code"].as_str().unwrap().to_owned())
    }

    fn gateway_addresses(&self) -> Vec<SocketAddr> {
        self.harmless.gateways.lock().unwrap().clone()
    }

    fn wait_until_all_refuse(&self) {
        for gateway in self.gateway_addresses() {
            wait_for("a refusal", || self.send_copy(gateway, "club-key") == QUARANTINED);
        }
    }
}

/// Guards against a quarantine that is lost when a gateway or all processes restart.
#[test]
fn a_quarantine_survives_a_restart_of_all_processes() {
    let mut crashing = CrashingFleet::new(RestartAs::NewId);
    crashing.send_poison();
    crashing.wait_until_quarantine_due();
    crashing.poison_callers.stop.store(true, Ordering::Relaxed);
    crashing.wait_until_all_refuse();
    let since = Instant::now();
    crashing.fleet.gateway.as_mut().unwrap().kill();
    crashing.fleet.start_gateway();
    crashing.wait_until_all_answer();
    assert_eq!(crashing.send_copy(crashing.fleet.listen, "club-key"), QUARANTINED);
    crashing.fleet.gateway.as_mut().unwrap().kill();
    crashing.fleet.controls.iter_mut().for_each(|c| c.process.as_mut().unwrap().kill());
    (0..3).for_each(|n| crashing.fleet.start_control(n, false));
    crashing.fleet.start_gateway();
    crashing.wait_until_all_answer();
    assert_eq!(crashing.send_copy(crashing.fleet.listen, "club-key"), QUARANTINED);
    assert_eq!(crashing.crash_record.arrivals(&format!("{POISON_MARKER}-1"), since), 0);
}

/// Guards against a gateway that can't quarantine a request without a control process.
#[test]
fn a_gateway_quarantines_a_request_without_control_processes() {
    let mut crashing = CrashingFleet::new(RestartAs::NewId);
    crashing.fleet.controls.iter_mut().for_each(|c| c.process.as_mut().unwrap().kill());
    let mut codes = Vec::new();
    wait_for("a refusal", || {
        codes.push(crashing.send_copy(crashing.fleet.listen, "club-key"));
        codes.last().is_some_and(|c| c == QUARANTINED)
    });
    let crashes = crashing.crash_record.crashes.lock().unwrap().len();
    assert!((3..=8).contains(&crashes), "{crashes} replicas crashed: {codes:?}");
    let other = exchange(crashing.fleet.listen, "GET", "/board/x", CALLER_HEADERS, "").unwrap();
    assert_eq!(other.0, 200, "another request is served");
}

/// Guards against a client account that gets another account's identical requests quarantined.
#[test]
fn a_quarantine_does_not_apply_to_other_accounts() {
    let crashing = CrashingFleet::new(RestartAs::NewId);
    crashing.send_poison();
    crashing.wait_until_quarantine_due();
    crashing.poison_callers.stop.store(true, Ordering::Relaxed);
    crashing.wait_until_all_refuse();
    let since = Instant::now();
    // All replicas may be down for a moment after the crashes.
    wait_for("a replica", || {
        assert_ne!(crashing.send_copy(crashing.fleet.listen, "school-key"), QUARANTINED);
        crashing.crash_record.arrivals(&format!("{POISON_MARKER}-1"), since) >= 1
    });
}

/// Guards against a quarantine that an operator can't list or lift.
#[test]
fn an_operator_can_list_and_lift_a_quarantine() {
    let crashing = CrashingFleet::new(RestartAs::NewId);
    crashing.send_poison();
    let controls = crashing.fleet.controls.iter().map(|c| c.link).collect();
    let name = "operator".to_owned();
    let credentials = Credentials { key: Key::new(b"test"), cluster: "test".to_owned(), name };
    let system = actix_rt::System::new();
    let group = GroupClient::new(credentials, controls);
    let within = Duration::from_secs(10);
    let mut all = Vec::new();
    wait_for("both in the list of quarantined requests", || {
        let listed = system.block_on(group.query(&Query::Quarantined, within)).unwrap();
        let Reply::Quarantined(listed) = listed else { panic!("{listed:?}") };
        all = listed;
        all.len() == 2
    });
    crashing.poison_callers.stop.store(true, Ordering::Relaxed);
    crashing.wait_until_all_refuse();
    for q in all {
        assert!(q.account == "club" && q.replicas >= 3, "{q:?}");
        let lift = Command::LiftQuarantine(q.fingerprint);
        assert_eq!(system.block_on(group.command(&lift, within)), Ok(Answer::Done));
    }
    let since = Instant::now();
    wait_for("a replica", || {
        crashing.send_copy(crashing.fleet.listen, "club-key");
        crashing.crash_record.arrivals(&format!("{POISON_MARKER}-1"), since) > 0
    });
}

/// Guards against a malformed `quarantine` command that is accepted.
#[rstest]
#[case::no_word(&["quarantine"])]
#[case::another_word(&["quarantine", "end"])]
#[case::no_fingerprint(&["quarantine", "lift"])]
#[case::too_short(&["quarantine", "lift", "0123456789abcdef"])]
#[case::too_long(&["quarantine", "lift", "0123456789abcdef0123456789abcdef0"])]
#[case::no_digits(&["quarantine", "lift", "0123456789abcdef0123456789abcdeg"])]
fn a_bad_command_line_is_refused(#[case] words: &[&str]) {
    let out = std::process::Command::new(support::program("cypressfork")).args(words).output();
    assert_eq!(out.unwrap().status.code(), Some(64));
}
