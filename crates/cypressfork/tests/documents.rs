//! Delivery of documents to a gateway over slow links: a real gateway, and test doubles for its control
//! processes.

#![allow(missing_docs)]

mod support;

use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use support::control::Control;
use support::slow_link::SlowLink;
use support::{Process, Request, free_addresses, get_json, own_ip, program, wait_for};
use tempfile::TempDir;

/// A gateway process that watches the given control processes.
struct Gateway {
    caller_address: String,
    operator_address: String,
    process: Process,
    _dir: TempDir,
}

impl Gateway {
    fn start(controls: &[SocketAddr]) -> Gateway {
        let free = free_addresses(&own_ip(), 3);
        let controls: Vec<_> = controls.iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "common:\n  cluster: test\n  region: tas-north\n  data_centre: tamar-a\n  vm: gateway\n  open_links: true\n  control: {}\nlisten: \"{}\"\nlink: \"{}\"\noperators: \"{}\"\n",
            serde_json::to_string(&controls).unwrap(),
            free[0],
            free[1],
            free[2],
        );
        let dir = TempDir::new().unwrap();
        let file = dir.path().join("gateway.yaml");
        fs::write(&file, text).unwrap();
        let args = ["--settings", file.to_str().unwrap()];
        let process = Process::start(dir.path(), "gateway", program("gateway"), &args);
        Gateway {
            caller_address: free[0].clone(),
            operator_address: free[2].clone(),
            process,
            _dir: dir,
        }
    }

    /// Sends a caller's request and returns the status of the answer.
    fn ask(&self, path: &str) -> u16 {
        let req = Request::new(&self.caller_address, path).method("GET");
        req.header("host", "club.example").header("x-request-id", "r-1").send("").status
    }

    fn log(&self) -> String {
        self.process.log()
    }

    /// Returns the version of the document in force, 0 before the first.
    fn version(&self) -> u64 {
        let v = get_json(&format!("http://{}/readyz", self.operator_address));
        v.and_then(|v| v["document"].as_u64()).unwrap_or_default()
    }
}

/// Returns a document with this number of routes, with random names that compress poorly.
fn document(version: u64, routes: usize) -> String {
    let mut rng = SmallRng::seed_from_u64(version);
    let mut name = || format!("{:032x}{:032x}", rng.random::<u128>(), rng.random::<u128>());
    let route = |_| {
        json!({
            "name": name(), "host": name(), "prefix": format!("/{}/", name()), "kind": "safe",
            "timeout": 2000, "objective": 100, "targets": [{ "service": "board", "weight": 1 }],
            "attempts": 2,
        })
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [{ "name": "board", "connections": 10 }],
        "limits": { "head": 8192, "body": 65536, "head_within": 1000, "idle": 5000 },
    })
    .to_string()
}

fn controls(n: usize) -> Vec<Control> {
    (0..n).map(|_| Control::start()).collect()
}

/// Guards against a fetch that is given up because the link needs longer than the timeout of one answer.
#[test]
fn a_document_arrives_over_a_link_that_needs_longer_than_one_answer_may_take() {
    let all = controls(3);
    let link = SlowLink::new(400_000.0);
    let proxies: Vec<_> = all.iter().map(|c| link.proxy(c.address)).collect();
    let gw = Gateway::start(&proxies);
    all.iter().for_each(|c| c.publish(1, &document(1, 1)));
    wait_for("the first document", || gw.version() == 1);
    let large = document(2, 6_000);
    assert!(large.len() > 1_500_000, "{} bytes", large.len());
    all.iter().for_each(|c| c.publish(2, &large));
    wait_for("the large document", || gw.version() == 2);
}

/// Guards against a busy loop of watches while one control process withholds a document.
#[test]
fn no_watch_is_repeated_in_a_busy_loop_while_a_document_is_fetched() {
    let all = controls(2);
    let addresses: Vec<_> = all.iter().map(|c| c.address).collect();
    let gw = Gateway::start(&addresses);
    all.iter().for_each(|c| c.publish(1, &document(1, 1)));
    wait_for("the first document", || gw.version() == 1);
    // The first control process announces a version and withholds its parts; the second announces a higher
    // version.
    let watch_count = |n: usize| all[n].state.watches.load(Ordering::Relaxed);
    *all[0].state.withholds_documents.lock().unwrap() = true;
    let before = watch_count(0);
    all[0].publish(2, &document(2, 100));
    wait_for("a watch for the document", || watch_count(0) > before);
    let (before, span) = (watch_count(1), Duration::from_millis(400));
    all[1].publish(3, &document(3, 100));
    sleep(span);
    let watches = watch_count(1) - before;
    assert!(watches <= 4, "{watches} watches in {span:?}");
    wait_for("the higher document", || gw.version() == 3);
}

/// Guards against a 404 from a gateway that has been notified of a newer document.
#[test]
fn a_gateway_that_knows_of_a_newer_document_answers_503_instead_of_404() {
    let all = controls(1);
    let gw = Gateway::start(&[all[0].address]);
    all[0].publish(1, &document(1, 1));
    wait_for("the first document", || gw.version() == 1);
    assert_eq!(gw.ask("/new/x"), 404);
    // Version 2 has the route, but its parts are withheld.
    *all[0].state.withholds_documents.lock().unwrap() = true;
    let mut next: serde_json::Value = serde_json::from_str(&document(2, 200)).unwrap();
    next["routes"][0]["host"] = "club.example".into();
    next["routes"][0]["prefix"] = "/new/".into();
    all[0].publish(2, &next.to_string());
    wait_for("the notice of version 2", || gw.log().contains("CFE324"));
    wait_for("a temporary refusal", || gw.ask("/new/x") == 503);
    assert_eq!(gw.version(), 1);
    *all[0].state.withholds_documents.lock().unwrap() = false;
    wait_for("version 2", || gw.version() == 2);
    assert_eq!(gw.ask("/elsewhere/x"), 404);
    assert_eq!(gw.ask("/new/x"), 503, "the route exists but has no replica");
}

/// Guards against a 404 from a gateway that can't confirm that its document is current.
#[test]
fn a_gateway_without_contact_to_control_processes_answers_503_instead_of_404() {
    let all = controls(2);
    let addresses: Vec<_> = all.iter().map(|c| c.address).collect();
    let gw = Gateway::start(&addresses);
    all.iter().for_each(|c| c.publish(1, &document(1, 1)));
    wait_for("the first document", || gw.version() == 1);
    assert_eq!(gw.ask("/new/x"), 404);
    all.iter().for_each(|c| *c.state.silent.lock().unwrap() = true);
    wait_for("a temporary refusal", || gw.ask("/new/x") == 503);
    all.iter().for_each(|c| *c.state.silent.lock().unwrap() = false);
    wait_for("a confirmation that the document is current", || gw.ask("/new/x") == 404);
}

/// Guards against a 404 from a gateway whose only contacts have themselves lost the control group: a document
/// that adds the route may have been committed meanwhile.
#[test]
fn a_gateway_in_contact_with_a_process_without_a_leader_answers_503_instead_of_404() {
    let all = controls(2);
    let addresses: Vec<_> = all.iter().map(|c| c.address).collect();
    let gw = Gateway::start(&addresses);
    all.iter().for_each(|c| c.publish(1, &document(1, 1)));
    wait_for("the first document", || gw.version() == 1);
    assert_eq!(gw.ask("/new/x"), 404);
    *all[0].state.silent.lock().unwrap() = true;
    *all[1].state.leaderless.lock().unwrap() = true;
    wait_for("a temporary refusal", || gw.ask("/new/x") == 503);
    *all[1].state.leaderless.lock().unwrap() = false;
    wait_for("a confirmation that the document is current", || gw.ask("/new/x") == 404);
}
