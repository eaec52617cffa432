//! Case: a tenant's prepaid tokens are lowered while the gateways are cut off from the core.

use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fleet::{random, Fleet, CONTACT_MS, HEARTBEAT_MS, ZONES};
use crate::http::call;
use crate::platform::{
    configuration_with, heartbeat_anywhere, publish, wait_ready, Identity, Record, Route, HOST, KEY, STRIDE,
};
use crate::proxy::Proxy;
use crate::replica::{Replica, Stream};

const PROMPT: u64 = 17_020;
const EVENTS: u64 = 17;

/// The most that the lowered total leaves beyond what was received until then.
const REST: u64 = 1_500_000;

const CUT: Duration = Duration::from_millis(8_600);

/// What the tenant's clients have received.
#[derive(Default)]
struct Received {
    tokens: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
}

fn send(front: &str, received: &Received) {
    let id = format!("{:016x}", random());
    let (bearer, counts) = (format!("Bearer {KEY}"), format!("{PROMPT},{}", EVENTS * STRIDE));
    let prefix = format!("5c1e07a2:13300,{:08x}:{}", random() as u32, PROMPT - 13_300);
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", id.as_str()),
        ("X-Deadline-Ms", "6000"),
        ("X-Model", "m"),
        ("X-Token-Counts", counts.as_str()),
        ("X-Prompt-Prefix", prefix.as_str()),
        ("Authorization", &bearer),
    ];
    let Ok(a) = call(front, "POST", "/stream/2f", &headers, b"prompt", Duration::from_secs(7)) else { return };
    let events = String::from_utf8_lossy(&a.body).matches("\n\n").count() as u64;
    if a.head.status() == 200 && events > 0 {
        received.tokens.fetch_add(PROMPT + events * STRIDE, Ordering::Relaxed);
        received.served.fetch_add(1, Ordering::Relaxed);
    } else {
        received.refused.fetch_add(1, Ordering::Relaxed);
    }
}

pub fn run(root: &Path, record: Arc<Record>, trouble: bool) -> i32 {
    let proxy = Proxy::default();
    let fleet = Arc::new(Fleet::start_with(root, 5, 3, Some(&proxy)));
    let routes = [Route {
        name: "contract-draft",
        prefix: "/stream/",
        kind: "streaming",
        service: "loom",
        timeout_ms: 6_000,
        attempts: 1,
        resume: false,
    }];
    let document = |version, prepaid: u64| {
        configuration_with(version, &routes, &["loom"], &format!(",\"prepaid\":{prepaid}"))
    };
    if !publish(&fleet, &document(7, 60_000_000), Duration::from_secs(20)) {
        record.add("no daemon acknowledged the configuration");
        return 2;
    }
    record.add("configuration 7 acknowledged: 60000000 tokens prepaid");
    let stream = Stream { events: EVENTS, pause: Duration::from_millis(10), unframed: false };
    let beating = Arc::new(AtomicBool::new(true));
    for n in 0..3 {
        let listener = TcpListener::bind(format!("{}.{}:0", fleet.subnet, 100 + n)).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let id = format!("i-{:08x}", random() as u32);
        Replica::start(&id, listener, stream, Duration::ZERO);
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
    std::thread::sleep(Duration::from_millis(CONTACT_MS));
    let (received, sending) = (Arc::new(Received::default()), Arc::new(AtomicBool::new(true)));
    let clients: Vec<_> = (0..9)
        .map(|n| {
            let (front, received, sending) = (fleet.fronts()[n % 3].clone(), received.clone(), sending.clone());
            std::thread::spawn(move || {
                while sending.load(Ordering::Relaxed) {
                    let start = Instant::now();
                    send(&front, &received);
                    std::thread::sleep(Duration::from_millis(370).saturating_sub(start.elapsed()));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(12));
    if trouble {
        proxy.cut_gateways(true);
        record.add("all gateways are cut off from the core");
    }
    let cut_at = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    let before = received.tokens.load(Ordering::Relaxed);
    let prepaid = before + REST;
    if !publish(&fleet, &document(8, prepaid), Duration::from_secs(5)) {
        record.add("the lowered configuration was not acknowledged");
        return 2;
    }
    record.add(format!("received so far: {before} tokens; configuration 8 acknowledged: {prepaid} prepaid"));
    while cut_at.elapsed() < CUT {
        std::thread::sleep(Duration::from_millis(1_000));
        record.add(format!(
            "received {}, {} of {prepaid}",
            received.tokens.load(Ordering::Relaxed),
            if received.tokens.load(Ordering::Relaxed) > prepaid { "more than all" } else { "a part" }
        ));
    }
    if trouble {
        proxy.cut_gateways(false);
        record.add("the gateways reach the core again");
    }
    std::thread::sleep(Duration::from_millis(CONTACT_MS));
    sending.store(false, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
    beating.store(false, Ordering::Relaxed);
    let total = received.tokens.load(Ordering::Relaxed);
    record.add(format!(
        "received in all: {total} of {prepaid} prepaid tokens ({}); {} requests served, {} not",
        total as i64 - prepaid as i64,
        received.served.load(Ordering::Relaxed),
        received.refused.load(Ordering::Relaxed)
    ));
    if before == 0 {
        return 2;
    }
    i32::from(total > prepaid)
}
