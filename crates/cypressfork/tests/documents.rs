//! Documents on their way to a gateway over links that carry little: a real gateway, and stand-ins
//! for its control processes.

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
use support::{Process, free_addresses, get, own_ip, program, until};
use tempfile::TempDir;

/// A gateway that follows the control processes at some addresses.
struct Gateway {
    operators: String,
    _process: Process,
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
        Gateway { operators: free[2].clone(), _process: process, _dir: dir }
    }

    /// The version in force.
    fn version(&self) -> u64 {
        let v = get(&format!("http://{}/readyz", self.operators));
        v.and_then(|v| v["document"].as_u64()).unwrap_or_default()
    }
}

/// A document with so many routes, whose names hardly repeat.
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

#[test]
fn a_document_arrives_over_a_link_that_needs_longer_than_one_answer_may_take() {
    let all = controls(3);
    let link = SlowLink::new(400_000.0);
    let proxies: Vec<_> = all.iter().map(|c| link.proxy(c.address)).collect();
    let gw = Gateway::start(&proxies);
    all.iter().for_each(|c| c.publish(1, &document(1, 1)));
    until("the first document", || gw.version() == 1);
    let large = document(2, 6_000);
    assert!(large.len() > 1_500_000, "{} bytes", large.len());
    all.iter().for_each(|c| c.publish(2, &large));
    until("the large document", || gw.version() == 2);
}

#[test]
fn no_question_is_repeated_without_pause_while_a_document_is_fetched() {
    let all = controls(2);
    let addresses: Vec<_> = all.iter().map(|c| c.address).collect();
    let gw = Gateway::start(&addresses);
    all.iter().for_each(|c| c.publish(1, &document(1, 1)));
    until("the first document", || gw.version() == 1);
    // The first tells of a version and then keeps it back; the second tells of a higher one.
    let asked = |n: usize| all[n].inside.questions.load(Ordering::Relaxed);
    *all[0].inside.withholds.lock().unwrap() = true;
    let before = asked(0);
    all[0].publish(2, &document(2, 100));
    until("the question for it", || asked(0) > before);
    let (before, span) = (asked(1), Duration::from_millis(400));
    all[1].publish(3, &document(3, 100));
    sleep(span);
    let questions = asked(1) - before;
    assert!(questions <= 4, "{questions} questions in {span:?}");
    until("the higher document", || gw.version() == 3);
}
