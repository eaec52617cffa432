//! The operator, and what replicas say to the daemons that serve control.

use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::fleet::{random, Fleet};
use crate::http::{call, End};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// The engines of the service `loom`.
const ENGINE: &str = ",\"engine\":{\"slots\":64,\"kvCapacityTokens\":515867,\"kvTokenBytes\":327680,\"linkMbps\":250000.0,\"moves\":true,\"backups\":true,\"stride\":3,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}";

/// Tokens of one event of a stream of that service.
pub const STRIDE: u64 = 3;

/// What was seen, with times since the start of the case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: PathBuf) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Mutex::new(file), start: Instant::now() }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, what: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), what.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub attempts: u32,
    pub resume: bool,
}

/// Returns a configuration as the operator sends it.
pub fn configuration(version: u64, routes: &[Route], services: &[&str]) -> String {
    configuration_with(version, routes, services, "")
}

/// Like [`configuration`], with more fields of its tenant.
pub fn configuration_with(version: u64, routes: &[Route], services: &[&str], tenant: &str) -> String {
    let mut s = format!("{{\"version\":{version},\"routes\":[");
    for (n, r) in routes.iter().enumerate() {
        let comma = if n > 0 { "," } else { "" };
        let streaming = match r.kind {
            "streaming" => {
                format!(",\"sessionAffinity\":true,\"streamResume\":{},\"targetGapMs\":400", r.resume)
            }
            _ => String::new(),
        };
        let _ = write!(
            s,
            "{comma}{{\"name\":\"{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\"timeoutMs\":{},\"targetLatencyMs\":300,\"priority\":1,\"service\":\"{}\",\"maxAttempts\":{},\"public\":false{streaming}}}",
            r.name, r.prefix, r.kind, r.timeout_ms, r.service, r.attempts
        );
    }
    s.push_str("],\"services\":[");
    for (n, name) in services.iter().enumerate() {
        let comma = if n > 0 { "," } else { "" };
        let _ = write!(
            s,
            "{comma}{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false{}}}",
            if *name == "loom" { ENGINE } else { "" }
        );
    }
    let _ = write!(
        s,
        "],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1{tenant}}}]}}"
    );
    s
}

/// Sends a configuration until a daemon acknowledges it.
pub fn publish(fleet: &Fleet, body: &str, within: Duration) -> bool {
    let until = Instant::now() + within;
    let json = [("Content-Type", "application/json")];
    while Instant::now() < until {
        for control in fleet.controls() {
            let sent = call(&control, "PUT", "/config", &json, body.as_bytes(), Duration::from_secs(2));
            if sent.is_ok_and(|a| a.head.status() == 200) {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    false
}

/// Waits until every gateway says that it is ready.
pub fn wait_ready(fleet: &Fleet, within: Duration) -> bool {
    let until = Instant::now() + within;
    let ready = |a: &String| {
        let asked = call(a, "GET", "/ready", &[], b"", Duration::from_secs(1));
        asked.is_ok_and(|a| a.head.status() == 200)
    };
    while Instant::now() < until {
        if fleet.readies().iter().all(ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// What a replica says of itself.
#[derive(Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub slots: u32,
}

/// Sends a heartbeat to one daemon. Returns whether it was acknowledged within a second.
pub fn heartbeat(control: &str, who: &Identity, state: &str, sequence: u64) -> bool {
    let Identity { id, service, address, zone, slots } = who;
    let body = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}"
    );
    let json = [("Content-Type", "application/json")];
    let path = format!("/replicas/{id}");
    let sent = call(control, "PUT", &path, &json, body.as_bytes(), Duration::from_secs(1));
    sent.is_ok_and(|a| (200..300).contains(&a.head.status()) && a.end == End::Whole)
}

/// Sends a heartbeat to daemons in an order drawn by chance until one acknowledges it.
pub fn heartbeat_anywhere(controls: &[String], who: &Identity, state: &str, sequence: u64) -> bool {
    let first = random() as usize;
    (0..controls.len()).any(|n| heartbeat(&controls[(first + n) % controls.len()], who, state, sequence))
}

/// Says `DELETE` to one daemon. Returns whether it was acknowledged within a second.
pub fn leave(control: &str, id: &str) -> bool {
    let path = format!("/replicas/{id}");
    let sent = call(control, "DELETE", &path, &[], b"", Duration::from_secs(1));
    sent.is_ok_and(|a| (200..300).contains(&a.head.status()))
}
