//! Requests that end every replica that runs them, over real processes on loopback.
//!
//! Seen: replicas of a service ended one after the other, 40 under one request and 38 under another, and
//! for ten seconds next to nothing of that service was served.
//! How it came about: two requests came again a few times a second, at any gateway. Each gateway took a
//! connection that ended for a fault of the replica and sent the request, or its next copy, to a sound
//! one. Replicas came back after some seconds and met the same requests.
//! Cause: nothing was held against a request. What one had done was forgotten with it, and no gateway told
//! another.
//! Proof: on the code before, the test counts 6 to 13 arrivals in 4 s where three are allowed in all.

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
use support::until;

/// Replicas: enough that some are up while two requests end them.
const REPLICAS: usize = 10;

/// Gateways besides the fleet's first one.
const NEIGHBOURS: usize = 3;

/// How long a replica is down. Those that were seen came back after two seconds and more.
const DOWN: Duration = Duration::from_secs(2);

/// How long a process goes on listening after its connections have ended.
const EXIT: Duration = Duration::from_millis(20);

/// The same on a busy machine.
const SLOW_EXIT: Duration = Duration::from_millis(250);

/// How long a replica is down whose supervisor holds its socket: until its next life speaks, nothing
/// shows that the former has ended.
const SUPERVISED: Duration = Duration::from_millis(500);

/// How long a replica is down that its supervisor starts again at once.
const AT_ONCE: Duration = Duration::from_millis(10);

/// Within this time of a request's third end of a replica, every gateway goes by it.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// Times that a request may be sent after that, in all: for a quarantine that may be wrong.
const LATER: usize = 3;

/// Five copies a second of each, as was seen.
const KILLER_EVERY: Duration = Duration::from_millis(200);

/// Some fifty sound requests a second.
const SOUND_EVERY: Duration = Duration::from_millis(20);

/// Code of a refusal for what a request has done.
const QUARANTINED: &str = "CF1309";

/// How replicas end and come back.
#[derive(Clone, Copy)]
struct Ends {
    back: Back,
    socket: Socket,
    down: Duration,
}

/// A fleet, its replicas and its callers.
struct Storm {
    fleet: Fleet,
    _neighbours: Vec<Neighbour>,
    seen: Arc<Seen>,
    sound: Callers,
    killers: Callers,
    replicas_over: Arc<std::sync::atomic::AtomicBool>,
}

impl Drop for Storm {
    fn drop(&mut self) {
        for over in [&self.sound.over, &self.killers.over, &self.replicas_over] {
            over.store(true, Ordering::Relaxed);
        }
    }
}

impl Storm {
    /// A fleet that serves, without any request yet.
    fn new(back: Back) -> Storm {
        Storm::of(Ends { back, socket: Socket::Closes, down: DOWN })
    }

    fn of(ends: Ends) -> Storm {
        let mut fleet = Fleet::new(3);
        (0..3).for_each(|n| fleet.start_control(n, true));
        fleet.start_gateway();
        let neighbours = fleet.start_neighbours(NEIGHBOURS);
        let first = two_routes(3).to_string();
        until("a document", || {
            matches!(fleet.call(0, "PUT", "/v1/document", &first), Some((200, _)))
        });
        let fronts = neighbours.iter().map(|g| g.front).chain([fleet.front]).collect();
        let gateways = Arc::new(Mutex::new(fronts));
        let storm = Storm {
            seen: Arc::default(),
            sound: Callers::new(gateways.clone()),
            killers: Callers::new(gateways),
            replicas_over: Arc::default(),
            fleet,
            _neighbours: neighbours,
        };
        storm.start_replicas(ends);
        storm.until_all_answer();
        storm
    }

    fn start_replicas(&self, ends: Ends) {
        let controls: Vec<_> = self.fleet.controls.iter().map(|c| c.api).collect();
        for (n, address) in free(&support::own_ip(), REPLICAS).into_iter().enumerate() {
            let replica = CrashingReplica {
                address,
                name: format!("b-{n}"),
                back: ends.back,
                socket: ends.socket,
                down: ends.down,
                controls: controls.clone(),
                seen: self.seen.clone(),
                over: self.replicas_over.clone(),
            };
            replica.start();
        }
    }

    fn until_all_answer(&self) {
        let all = self.sound.gateways.lock().unwrap().clone();
        for gateway in all {
            until("an answer", || {
                let answer = exchange(gateway, "GET", "/board/x", CALLER, "");
                answer.is_some_and(|a| a.0 == 200)
            });
        }
    }

    /// Sound requests: most of their own, some that are the same again and again.
    fn send_sound(&self) {
        self.sound.send("sound", SOUND_EVERY, |n| match n % 3 {
            0 => ("GET", "/board/same".to_owned(), String::new()),
            1 => ("GET", format!("/board/{n}"), String::new()),
            _ => ("POST", "/moves/x".to_owned(), format!("move {n}")),
        });
    }

    /// Two requests that end their replicas: one by its path, one by its body.
    fn send_killers(&self) {
        self.killers.send("killer", KILLER_EVERY / 2, |n| match n % 2 {
            0 => ("GET", format!("/board/{KILLER}-1"), String::new()),
            _ => ("POST", "/moves/x".to_owned(), format!("{KILLER}-2")),
        });
    }

    /// Waits until both have ended three replicas and everybody may know it; returns when that was.
    fn until_known(&self) -> Vec<(String, Instant)> {
        let names = [1, 2].map(|n| format!("{KILLER}-{n}"));
        let known = names.map(|name| {
            let mut third = None;
            until("a third end of a replica", || {
                third = self.seen.third_end(&name);
                third.is_some()
            });
            (name, third.unwrap() + KNOWN_WITHIN)
        });
        known.to_vec()
    }
}

fn pass(until: Instant) {
    sleep(until.saturating_duration_since(Instant::now()));
}

/// The fingerprints of requests that were under way at replicas that ended, with those replicas and the
/// ids that they came under, from the logs of all gateways.
fn under_way(storm: &Storm) -> HashMap<String, (HashSet<String>, HashSet<String>)> {
    let mut all: HashMap<_, (HashSet<_>, HashSet<_>)> = HashMap::new();
    let names = (0..NEIGHBOURS).map(|n| format!("neighbour-{n}"));
    for name in names.chain(["gateway-0".to_owned()]) {
        let text = log(storm.fleet.dir.path(), &name);
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

#[test]
fn the_logs_tell_what_was_under_way_at_replicas_that_ended() {
    let storm = Storm::new(Back::NewId);
    storm.send_sound();
    storm.send_killers();
    storm.until_known();
    let at_three = |storm: &Storm| {
        let all = under_way(storm);
        let often = all.into_values().filter(|(replicas, _)| replicas.len() >= 3);
        often.filter(|(_, ids)| ids.iter().all(|id| id.starts_with("killer-"))).count()
    };
    until("both in the logs", || at_three(&storm) == 2);
}
#[rstest]
#[case::replicas_come_back_under_another_id(Back::NewId)]
#[case::replicas_come_back_under_their_id(Back::SameId)]
fn a_request_that_ends_its_replicas_is_soon_sent_to_none(#[case] back: Back) {
    sent_to_none(&Storm::new(back));
}

/// What listens at a replica's address may outlast the replica: whoever connects there within that time
/// is accepted, and never answered.
#[rstest]
#[case::its_process_takes_a_while_to_exit(Back::NewId, Socket::ClosesAfter(EXIT), DOWN)]
#[case::and_keeps_its_id(Back::SameId, Socket::ClosesAfter(EXIT), DOWN)]
#[case::a_slow_exit(Back::NewId, Socket::ClosesAfter(SLOW_EXIT), DOWN)]
#[case::a_supervisor_holds_its_socket(Back::NewId, Socket::Held, SUPERVISED)]
#[case::a_supervisor_starts_it_under_its_id(Back::SameIdBorn, Socket::Held, SUPERVISED)]
#[case::it_starts_again_at_once(Back::NewId, Socket::Closes, AT_ONCE)]
#[case::under_its_id(Back::SameIdBorn, Socket::Closes, AT_ONCE)]
fn nor_if_its_replicas_sockets_outlast_them(
    #[case] back: Back,
    #[case] socket: Socket,
    #[case] down: Duration,
) {
    sent_to_none(&Storm::of(Ends { back, socket, down }));
}

fn sent_to_none(storm: &Storm) {
    storm.send_sound();
    storm.send_killers();
    let known = storm.until_known();
    let last = known.iter().map(|(_, at)| *at).max().unwrap();
    pass(last + Duration::from_secs(4));
    for (killer, at) in &known {
        let later = storm.seen.arrivals(killer, *at);
        assert!(later <= LATER, "{killer} reached replicas {later} times after all could know it");
    }
    let refused = storm.sound.got().of_code(QUARANTINED);
    assert_eq!(refused, 0, "sound requests are refused for what others have done");
}

impl Storm {
    /// Sends one copy of the first killer to a gateway; its result code, empty if there was no answer.
    fn copy(&self, gateway: SocketAddr, key: &str) -> String {
        let head = format!("X-Request-Id: copy\r\nAuthorization: Bearer {key}\r\n");
        let path = format!("/board/{KILLER}-1");
        let answer = exchange(gateway, "GET", &path, &head, "");
        answer.map_or(String::new(), |(_, v)| v["error"]["code"].as_str().unwrap().to_owned())
    }

    fn fronts(&self) -> Vec<SocketAddr> {
        self.sound.gateways.lock().unwrap().clone()
    }

    fn until_all_refuse(&self) {
        for gateway in self.fronts() {
            until("a refusal", || self.copy(gateway, "club-key") == QUARANTINED);
        }
    }
}

/// A gateway that starts knows it before it serves, and a loss of power everywhere forgets nothing.
#[test]
fn what_a_request_has_done_outlasts_all_processes() {
    let mut storm = Storm::new(Back::NewId);
    storm.send_killers();
    storm.until_known();
    storm.killers.over.store(true, Ordering::Relaxed);
    storm.until_all_refuse();
    let since = Instant::now();
    storm.fleet.gateway.as_mut().unwrap().kill();
    storm.fleet.start_gateway();
    storm.until_all_answer();
    assert_eq!(storm.copy(storm.fleet.front, "club-key"), QUARANTINED);
    storm.fleet.gateway.as_mut().unwrap().kill();
    storm.fleet.controls.iter_mut().for_each(|c| c.process.as_mut().unwrap().kill());
    (0..3).for_each(|n| storm.fleet.start_control(n, false));
    storm.fleet.start_gateway();
    storm.until_all_answer();
    assert_eq!(storm.copy(storm.fleet.front, "club-key"), QUARANTINED);
    assert_eq!(storm.seen.arrivals(&format!("{KILLER}-1"), since), 0);
}

#[test]
fn a_gateway_that_reaches_no_control_process_goes_by_what_it_saw() {
    let mut storm = Storm::new(Back::NewId);
    storm.fleet.controls.iter_mut().for_each(|c| c.process.as_mut().unwrap().kill());
    let mut codes = Vec::new();
    until("a refusal", || {
        codes.push(storm.copy(storm.fleet.front, "club-key"));
        codes.last().is_some_and(|c| c == QUARANTINED)
    });
    let ends = storm.seen.ends.lock().unwrap().len();
    assert!((3..=8).contains(&ends), "{ends} replicas ended: {codes:?}");
    let other = exchange(storm.fleet.front, "GET", "/board/x", CALLER, "").unwrap();
    assert_eq!(other.0, 200, "another request is served");
}

/// Nobody can have another's requests refused: the same text of another account is another request.
#[test]
fn another_account_is_not_refused_for_it() {
    let storm = Storm::new(Back::NewId);
    storm.send_killers();
    storm.until_known();
    storm.killers.over.store(true, Ordering::Relaxed);
    storm.until_all_refuse();
    let since = Instant::now();
    // No replica may be up for a moment, after what the others have done.
    until("a replica", || {
        assert_ne!(storm.copy(storm.fleet.front, "school-key"), QUARANTINED);
        storm.seen.arrivals(&format!("{KILLER}-1"), since) >= 1
    });
}

#[test]
fn an_operator_has_it_sent_again() {
    let storm = Storm::new(Back::NewId);
    storm.send_killers();
    let controls = storm.fleet.controls.iter().map(|c| c.link).collect();
    let name = "operator".to_owned();
    let me = Credentials { key: Key::new(b"test"), cluster: "test".to_owned(), name };
    let system = actix_rt::System::new();
    let group = GroupClient::new(me, controls);
    let within = Duration::from_secs(10);
    let mut all = Vec::new();
    until("both in the list", || {
        let listed = system.block_on(group.query(&Query::Quarantined, within)).unwrap();
        let Reply::Quarantined(listed) = listed else { panic!("{listed:?}") };
        all = listed;
        all.len() == 2
    });
    storm.killers.over.store(true, Ordering::Relaxed);
    storm.until_all_refuse();
    for q in all {
        assert!(q.account == "club" && q.replicas >= 3, "{q:?}");
        let lift = Command::LiftQuarantine(q.fingerprint);
        assert_eq!(system.block_on(group.command(&lift, within)), Ok(Answer::Done));
    }
    let since = Instant::now();
    until("a replica", || {
        storm.copy(storm.fleet.front, "club-key");
        storm.seen.arrivals(&format!("{KILLER}-1"), since) > 0
    });
}

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
