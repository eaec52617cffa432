//! The fleet's side in the project's own words: a group that founds and mends itself, documents,
//! registrations, forwarding, over real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::collections::BTreeSet;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use serde_json::{Value, json};
use support::{Process, free_addresses, own_ip, until};
use tempfile::TempDir;

const HOST: &str = "club.example";

/// Headers of the account's callers.
const CALLER: &str = "X-Request-Id: r-1\r\nAuthorization: Bearer club-key\r\n";

/// Addresses at an IP of this test's own: nobody else takes a port there meanwhile.
fn free(ip: &str, n: usize) -> Vec<SocketAddr> {
    free_addresses(ip, n).iter().map(|a| a.parse().unwrap()).collect()
}

struct Control {
    link: SocketAddr,
    api: SocketAddr,
    metrics: SocketAddr,
    process: Option<Process>,
}

/// A gateway beside the fleet's first one.
struct Neighbour {
    front: SocketAddr,
    operators: SocketAddr,
    process: Process,
}

impl Neighbour {
    fn is_home(&self) -> bool {
        is_home(self.operators)
    }

    /// What it answers a request that takes so many tokens: the status and the result code.
    fn spend(&self, id: usize, tokens: u64) -> Option<(u16, String)> {
        let more = format!(
            "X-Request-Id: r-{id}\r\nAuthorization: Bearer club-key\r\nX-Tokens: {tokens},0\r\n"
        );
        let (status, v) = exchange(self.front, "GET", "/board/x", &more, "")?;
        Some((status, v["error"]["code"].as_str().unwrap_or_default().to_owned()))
    }
}

/// Code of a refusal for the time being: tokens are not in reach, the request has not run.
const COME_BACK: &str = "CF1203";

impl Neighbour {
    /// What a caller gets that comes back for as long as it is told to. While the control process
    /// waits for its disk, a home can neither have more tokens nor learn that there are none.
    fn spend_in_the_end(&self, id: usize, tokens: u64) -> (u16, String) {
        let mut last = None;
        until("an answer other than to come back", || {
            last = self.spend(id, tokens);
            last.as_ref().is_some_and(|(status, code)| (*status, code.as_str()) != (503, COME_BACK))
        });
        last.expect("there was one")
    }
}

/// Whether a gateway holds slices of a budget: it has reported on some.
fn is_home(operators: SocketAddr) -> bool {
    sample(operators, "cypressfork_report_seconds_count").is_some_and(|n| n > 0.0)
}

/// Control processes and one gateway.
struct Fleet {
    controls: Vec<Control>,
    front: SocketAddr,
    link: SocketAddr,
    operators: SocketAddr,
    metrics: SocketAddr,
    gateway: Option<Process>,
    replica: Option<SocketAddr>,
    // The last to be dropped: processes read their logs in it as they end.
    dir: TempDir,
}

impl Fleet {
    fn new(controls: usize) -> Fleet {
        let free = free(&own_ip(), 4 + 3 * controls);
        let control = |n: usize| {
            let own = &free[4 + 3 * n..];
            Control { link: own[0], api: own[1], metrics: own[2], process: None }
        };
        let controls = (0..controls).map(control).collect();
        let (front, link, operators, metrics) = (free[0], free[1], free[2], free[3]);
        let dir = TempDir::new().unwrap();
        Fleet { controls, front, link, operators, metrics, gateway: None, replica: None, dir }
    }

    /// One control process, a gateway and a registered replica, with requests answered.
    fn serving() -> Fleet {
        let mut f = Fleet::new(1);
        f.start_control(0, true);
        f.start_gateway();
        f.publish(3);
        let address = replica();
        f.beat(address, 1);
        f.replica = Some(address);
        until("an answer", || f.ask("/board/x").is_some_and(|a| a.0 == 200));
        f
    }

    /// Says that the replica is there.
    fn beat(&self, replica: SocketAddr, sequence: usize) {
        let beat = json!({ "service": "board", "address": replica.to_string(),
            "data_centre": "tamar-a", "sequence": sequence });
        let answer = self.call(0, "PUT", "/v1/replicas/b-1", &beat.to_string());
        assert_eq!(answer.map(|a| a.0), Some(200));
    }

    fn common(&self, vm: &str) -> String {
        // Three seeds, as a platform would name them; the others have to be found.
        let seeds: Vec<_> = self.controls.iter().take(3).map(|c| c.link.to_string()).collect();
        format!(
            "common:\n  cluster: test\n  region: tas-north\n  data_centre: tamar-a\n  vm: {vm}\n  open_links: true\n  control: {}\n",
            serde_json::to_string(&seeds).unwrap()
        )
    }

    fn start_control(&mut self, n: usize, found: bool) {
        let data = self.dir.path().join(format!("data-{n}"));
        fs::create_dir_all(&data).unwrap();
        let c = &self.controls[n];
        let text = format!(
            "{}listen: \"{}\"\ndata_folder: {}\nmetrics: \"{}\"\nreserve: false\nheartbeat_ms: 20\nelection_ms: 150\nfleet:\n  listen: \"{}\"\n  entry: \"{}\"\n  found: {found}\n",
            self.common(&format!("control-{n}")),
            c.link,
            data.display(),
            c.metrics,
            c.api,
            c.api,
        );
        let process = self.start(&format!("control-{n}"), "control", &text);
        self.controls[n].process = Some(process);
    }

    fn start_gateway(&mut self) {
        let text = format!(
            "{}listen: \"{}\"\nlink: \"{}\"\noperators: \"{}\"\nmetrics: \"{}\"\nreport_ms: 50\n",
            self.common("gateway-0"),
            self.front,
            self.link,
            self.operators,
            self.metrics,
        );
        self.gateway = Some(self.start("gateway-0", "gateway", &text));
    }

    /// Starts `n` more gateways in the same data centre.
    fn start_neighbours(&self, n: usize) -> Vec<Neighbour> {
        let free = free(&own_ip(), 3 * n);
        let start = |(n, own): (usize, &[SocketAddr])| {
            let name = format!("neighbour-{n}");
            let text = format!(
                "{}listen: \"{}\"\nlink: \"{}\"\noperators: \"{}\"\nreport_ms: 50\n",
                self.common(&name),
                own[0],
                own[1],
                own[2],
            );
            let process = self.start(&name, "gateway", &text);
            Neighbour { front: own[0], operators: own[2], process }
        };
        free.chunks(3).enumerate().map(start).collect()
    }

    fn start(&self, name: &str, program: &str, settings: &str) -> Process {
        let file = self.dir.path().join(format!("{name}.yaml"));
        fs::write(&file, settings).unwrap();
        let args = ["--settings", file.to_str().unwrap()];
        Process::start(self.dir.path(), name, support::program(program), &args)
    }

    fn empty_disk(&self, n: usize) {
        fs::remove_dir_all(self.dir.path().join(format!("data-{n}"))).unwrap();
    }

    /// A call to control process `n`; none if there is no answer.
    fn call(&self, n: usize, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
        exchange(self.controls[n].api, method, path, "", body)
    }

    fn publish(&self, version: u64) {
        until("a document", || {
            let body = document(version).to_string();
            let all = 0..self.controls.len();
            all.into_iter()
                .any(|n| matches!(self.call(n, "PUT", "/v1/document", &body), Some((200, _))))
        });
    }

    /// The version that control process `n` reads, confirmed by a quorum.
    fn version(&self, n: usize) -> Option<u64> {
        let (status, v) = self.call(n, "GET", "/v1/document", "")?;
        (status == 200).then(|| v["version"].as_u64().unwrap())
    }

    fn ask(&self, path: &str) -> Option<(u16, Value)> {
        exchange(self.front, "GET", path, CALLER, "")
    }
}

fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    more: &str,
    body: &str,
) -> Option<(u16, Value)> {
    let mut s = TcpStream::connect(to).ok()?;
    s.set_read_timeout(Some(std::time::Duration::from_secs(10))).unwrap();
    let length = body.len();
    write!(
        s,
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{more}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .ok()?;
    let mut text = String::new();
    s.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, serde_json::from_str(body).unwrap_or(Value::String(body.to_owned()))))
}

fn document(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "board", "host": HOST, "prefix": "/board/", "kind": "safe", "timeout": 2000,
            "objective": 100, "targets": [{ "service": "board", "weight": 1 }], "attempts": 2,
        }],
        "services": [{ "name": "board", "connections": 10 }],
        "limits": { "head": 8192, "body": 65536, "head_within": 1000, "idle": 5000 },
        "accounts": [{ "name": "club", "keys": ["club-key"], "prepaid": 1000 }],
    })
}

/// A replica that answers with the account that it was told.
fn replica() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut s in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut buf = [0; 4096];
                while let Ok(n) = s.read(&mut buf) {
                    let text = String::from_utf8_lossy(&buf[..n]).into_owned();
                    let told = |name: &str| {
                        let mut lines = text.lines().filter_map(|l| l.split_once(": "));
                        lines.find(|(k, _)| *k == name).map_or("", |(_, v)| v).to_owned()
                    };
                    let body = json!({ "account": told("x-client-account") }).to_string();
                    let head = format!(
                        "X-Request-Id: {}\r\nContent-Length: {}",
                        told("x-request-id"),
                        body.len()
                    );
                    if n == 0 || write!(s, "HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn log(dir: &Path, name: &str) -> String {
    fs::read_to_string(dir.join(format!("{name}.log"))).unwrap()
}

#[test]
fn a_group_founds_itself_takes_in_others_and_mends_lost_disks() {
    let mut f = Fleet::new(5);
    for n in [4, 2, 0, 3, 1] {
        f.start_control(n, true);
    }
    f.publish(7);
    let joined = |f: &Fleet, n: usize| {
        let text = log(f.dir.path(), &format!("control-{n}"));
        text.contains("voters=5")
    };
    until("five voters", || (0..5).all(|n| joined(&f, n)));
    // Two disks are lost one after the other; the second just after the first is mended.
    for (n, version) in [(0, 8), (1, 9)] {
        f.controls[n].process.as_mut().unwrap().kill();
        f.empty_disk(n);
        f.start_control(n, false);
        f.publish(version);
        let done = |f: &Fleet| {
            let all: BTreeSet<_> = (0..5).map(|n| f.version(n)).collect();
            all == BTreeSet::from([Some(version)])
        };
        until("the document everywhere", || done(&f));
        let mended = |f: &Fleet| {
            let text = log(f.dir.path(), &format!("control-{n}"));
            text.rsplit("voters=").next().is_some_and(|t| t.starts_with('5'))
        };
        until("five voters again", || mended(&f));
    }
    // All are killed at once: what was acknowledged is there when they return.
    for c in &mut f.controls {
        c.process.as_mut().unwrap().kill();
    }
    (0..5).for_each(|n| f.start_control(n, false));
    until("the group", || f.version(3) == Some(9));
}

#[test]
fn a_request_goes_to_a_registered_replica_as_the_document_says() {
    let mut f = Fleet::new(1);
    f.start_control(0, true);
    f.start_gateway();
    until("the gateway", || TcpStream::connect(f.front).is_ok());
    assert_eq!(f.ask("/board/x").unwrap().0, 503, "it knows no document yet");
    f.publish(3);
    let beat = json!({ "service": "board", "address": replica().to_string(),
        "data_centre": "tamar-a", "slots": 4, "sequence": 1 });
    assert_eq!(f.call(0, "PUT", "/v1/replicas/b-1", &beat.to_string()).unwrap().0, 200);
    until("an answer", || f.ask("/board/x").unwrap().0 == 200);
    assert_eq!(f.ask("/board/x").unwrap().1, json!({ "account": "club" }));
    assert_eq!(f.ask("/elsewhere").unwrap().0, 404);
    let (status, v) = f.call(0, "GET", "/v1/entry?data_centre=tamar-a", "").unwrap();
    assert_eq!((status, &v["addresses"]), (200, &json!([f.front.to_string()])));
    let (status, v) = f.call(0, "PUT", "/v1/document", "{\"version\": 9}").unwrap();
    assert_eq!((status, &v["error"]["code"]), (400, &json!("CF2012")));
    f.call(0, "DELETE", "/v1/replicas/b-1", "").unwrap();
    until("its end", || f.ask("/board/x").unwrap().0 == 503);
}

#[test]
fn a_gateway_that_is_cut_off_serves_on_with_what_it_knows() {
    let mut f = Fleet::serving();
    f.controls[0].process.as_mut().unwrap().kill();
    assert_eq!(f.ask("/board/x").unwrap().0, 200);
    // One that starts while it is cut off says so, and not that there is no such route.
    f.gateway.as_mut().unwrap().kill();
    f.start_gateway();
    until("the gateway", || TcpStream::connect(f.front).is_ok());
    assert_eq!(f.ask("/board/x").unwrap().0, 503);
}

/// An evacuation is in force at the gateway, outlasts a restart of all processes, and is withdrawn.
#[test]
fn an_evacuated_data_centre_gets_no_new_work_whatever_restarts() {
    let mut f = Fleet::serving();
    let order = |f: &Fleet, verb: &str| {
        until("an order", || {
            let answer = f.call(0, verb, "/v1/evacuations/tamar-a", "");
            matches!(answer, Some((200, _)))
        });
    };
    order(&f, "PUT");
    until("no new work", || f.ask("/board/x").unwrap().0 == 503);
    order(&f, "PUT");
    f.controls[0].process.as_mut().unwrap().kill();
    f.gateway.as_mut().unwrap().kill();
    f.start_control(0, false);
    f.start_gateway();
    f.replica.into_iter().for_each(|r| {
        until("its word", || {
            let beat = json!({ "service": "board", "address": r.to_string(),
                "data_centre": "tamar-a", "sequence": 2 });
            let answer = f.call(0, "PUT", "/v1/replicas/b-1", &beat.to_string());
            matches!(answer, Some((200, _)))
        });
    });
    until("the document", || f.version(0) == Some(3));
    let evacuated = || sample(f.operators, "cypressfork_evacuated_data_centres");
    until("the gateway", || evacuated() == Some(1.0));
    for _ in 0..20 {
        assert_eq!(f.ask("/board/x").unwrap().0, 503);
    }
    order(&f, "DELETE");
    until("an answer", || f.ask("/board/x").unwrap().0 == 200);
}

#[test]
fn an_order_about_no_data_centre_is_a_numbered_error() {
    let f = Fleet::serving();
    let refused = |path: &str, body: &str| {
        let (status, v) = f.call(0, "PUT", path, body).unwrap();
        (status, v["error"]["code"].as_str().unwrap().to_owned())
    };
    assert_eq!(refused("/v1/evacuations/", ""), (404, "CF2013".to_owned()));
    assert_eq!(refused("/v1/evacuations/tamar-a", "{}"), (400, "CF2014".to_owned()));
    assert_eq!(f.ask("/board/x").unwrap().0, 200);
}

#[test]
fn a_request_that_comes_before_the_first_document_waits_for_it() {
    let mut f = Fleet::serving();
    // Power is lost everywhere, and the gateway is back before the control process.
    f.gateway.as_mut().unwrap().kill();
    f.controls[0].process.as_mut().unwrap().kill();
    f.start_gateway();
    until("the gateway", || TcpStream::connect(f.front).is_ok());
    let front = f.front;
    let asked = thread::spawn(move || exchange(front, "GET", "/board/x", CALLER, ""));
    f.start_control(0, false);
    let (_, answer) = asked.join().unwrap().unwrap();
    assert_ne!(answer["error"]["code"], json!("CF1305"), "refused before the document came");
}

/// The value of the first sample whose name and labels begin so.
fn sample(to: SocketAddr, name: &str) -> Option<f64> {
    let (status, v) = exchange(to, "GET", "/metrics", "", "")?;
    assert_eq!(status, 200);
    let text = v.as_str()?.to_owned();
    let line = text.lines().find(|l| l.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

#[test]
fn every_process_tells_its_health_and_metrics() {
    let f = Fleet::serving();
    let control = f.controls[0].metrics;
    for address in [control, f.metrics, f.operators] {
        assert_eq!(exchange(address, "GET", "/healthz", "", "").unwrap().0, 200);
        assert_eq!(exchange(address, "GET", "/elsewhere", "", "").unwrap().0, 404);
    }
    // Gauges are brought up to date by the next tick.
    let at_least = |name: &str, n: f64| sample(control, name).is_some_and(|v| v >= n);
    until("its leadership", || at_least("cypressfork_group_leads", 1.0));
    until("its commits", || at_least("cypressfork_group_committed", 2.0));
    assert!(sample(control, "cypressfork_commit_seconds_count").unwrap() >= 1.0);
    assert!(sample(control, "cypressfork_sync_seconds_count").unwrap() >= 1.0);
    let answered = "cypressfork_attempts_total{end=\"answered\"}";
    assert!(sample(f.metrics, answered).unwrap() >= 1.0);
    assert_eq!(sample(f.metrics, answered), sample(f.operators, answered));
}

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
