//! Case: an answer without a length whose connection is reset in transit.

use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{random, Fleet, CONTACT_MS, HEARTBEAT_MS, ZONES};
use crate::http::{call, End};
use crate::platform::{
    configuration, heartbeat_anywhere, publish, wait_ready, Identity, Record, Route, HOST, KEY,
};
use crate::proxy::Proxy;
use crate::replica::{Replica, Stream};

const EVENTS: u64 = 17;
const REQUESTS: usize = 24;

pub fn run(root: &Path, record: Arc<Record>, trouble: bool) -> i32 {
    let fleet = Arc::new(Fleet::start(root, 5, 3));
    let routes = [Route {
        name: "spec-check",
        prefix: "/stream/",
        kind: "streaming",
        service: "loom",
        timeout_ms: 6_000,
        attempts: 1,
        resume: false,
    }];
    if !publish(&fleet, &configuration(7, &routes, &["loom"]), Duration::from_secs(20)) {
        record.add("no daemon acknowledged the configuration");
        return 2;
    }
    record.add("configuration 7 acknowledged");
    let stream = Stream { events: EVENTS, pause: Duration::from_millis(60), unframed: true };
    let proxy = Proxy::default();
    let beating = Arc::new(AtomicBool::new(true));
    let mut replicas = Vec::new();
    for n in 0..3 {
        let listener = TcpListener::bind(format!("{}.{}:0", fleet.subnet, 100 + n)).unwrap();
        let own = listener.local_addr().unwrap().to_string();
        let front = TcpListener::bind(format!("{}.{}:0", fleet.subnet, 110 + n)).unwrap();
        let address = front.local_addr().unwrap().to_string();
        proxy.serve(front, own);
        let id = format!("i-{:08x}", random() as u32);
        replicas.push(Replica::start(&id, listener, stream, Duration::ZERO));
        let who = Identity { id, service: "loom".into(), address, zone: ZONES[n].into(), slots: 64 };
        let (controls, goes_on) = (fleet.controls(), beating.clone());
        std::thread::spawn(move || {
            let mut sequence = 0;
            while goes_on.load(Ordering::Relaxed) {
                sequence += 1;
                heartbeat_anywhere(&controls, &who, "ready", sequence);
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
    }
    if !wait_ready(&fleet, Duration::from_secs(20)) {
        record.add("not all gateways became ready");
        return 2;
    }
    record.add("all gateways ready");
    std::thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    let mut clients = Vec::new();
    for n in 0..REQUESTS {
        let (front, record) = (fleet.fronts()[n % 3].clone(), record.clone());
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(25 * n as u64));
            let id = format!("{:08x}-{n}", random() as u32);
            let bearer = format!("Bearer {KEY}");
            let headers = [
                ("Host", HOST),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", "6000"),
                ("X-Model", "m"),
                ("X-Token-Counts", "1460,80"),
                ("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:660"),
                ("Authorization", &bearer),
            ];
            record.add(format!("client {n}: sends {id}"));
            let answer = call(&front, "POST", "/stream/2f", &headers, b"prompt", Duration::from_secs(7));
            let Ok(a) = answer else {
                record.add(format!("client {n}: no answer to {id}"));
                return (0, 0, End::CutShort);
            };
            let text = String::from_utf8_lossy(&a.body);
            let events = text.matches("\n\n").count() as u64;
            record.add(format!(
                "client {n}: {}, signature {}, length {:?}, framing {:?}, {events} of {EVENTS} events, ended {}",
                a.head.first,
                a.head.get("x-server-stamp").unwrap_or("none"),
                a.head.get("content-length"),
                a.head.get("transfer-encoding"),
                match a.end {
                    End::Whole => "regularly: it looks complete",
                    End::CutShort => "with a reset, or before its end: it looks cut short",
                },
            ));
            (a.head.status(), events, a.end)
        }));
    }
    if trouble {
        std::thread::sleep(Duration::from_millis(800));
        // Client n sends to gateway n % 3, so these are half of the connections of one machine of three.
        let (count, open) = proxy.reset_half(|n| n != usize::MAX && n % 3 == 0);
        record.add(format!("{count} of {open} connections of gateway 0 to replicas were reset"));
    }
    let ends: Vec<_> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    beating.store(false, Ordering::Relaxed);
    let runs: usize = replicas.iter().map(|r| r.runs.lock().unwrap().len()).sum();
    let whole = ends.iter().filter(|(s, n, e)| *s == 200 && *n == EVENTS && *e == End::Whole).count();
    let false_ends = ends.iter().filter(|(s, n, e)| *s == 200 && *n < EVENTS && *e == End::Whole).count();
    record.add(format!(
        "{REQUESTS} requests, {runs} runs, {whole} whole answers, {false_ends} answers that lack events and look complete"
    ));
    if !trouble && whole < REQUESTS {
        record.add("not all answers came without the disruption: no result");
        return if false_ends > 0 { 1 } else { 2 };
    }
    i32::from(false_ends > 0)
}
