//! Case: a leave that was acknowledged by a daemon which is killed right after it.

use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{random, Fleet, CONTACT_MS, DRAIN_MS, HEARTBEAT_MS, ZONES};
use crate::http::{call, End};
use crate::platform::{
    configuration, heartbeat, heartbeat_anywhere, leave, publish, wait_ready, Identity, Record, Route, HOST, KEY,
};
use crate::replica::{Replica, Stream};

/// How long the replica that leaves keeps serving after the acknowledgement.
const SERVES_ON: Duration = Duration::from_millis(DRAIN_MS + 2_000);

pub fn run(root: &Path, record: Arc<Record>, trouble: bool) -> i32 {
    let fleet = Arc::new(Fleet::start(root, 5, 3));
    let routes = [
        Route { name: "order-post", prefix: "/order/", kind: "unsafe", service: "ledger", timeout_ms: 800, attempts: 1, resume: false },
        Route { name: "lot-status", prefix: "/lot/", kind: "safe", service: "ledger", timeout_ms: 800, attempts: 2, resume: false },
    ];
    if !publish(&fleet, &configuration(7, &routes, &["ledger"]), Duration::from_secs(20)) {
        record.add("no daemon acknowledged the configuration");
        return 2;
    }
    record.add("configuration 7 acknowledged");
    let controls = fleet.controls();
    let stream = Stream { events: 0, pause: Duration::ZERO, unframed: false };
    let mut replicas = Vec::new();
    let beating = Arc::new(AtomicBool::new(true));
    let leaver_beats = Arc::new(AtomicBool::new(true));
    for n in 0..3 {
        let listener = TcpListener::bind(format!("{}.{}:0", fleet.subnet, 100 + n)).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let id = format!("i-{:08x}", random() as u32);
        let replica = Replica::start(&id, listener, stream, Duration::from_millis(60));
        let who = Identity { id, service: "ledger".into(), address, zone: ZONES[n].into(), slots: 6 };
        let goes_on = if n == 0 { leaver_beats.clone() } else { beating.clone() };
        replicas.push((replica, who.clone()));
        let controls = controls.clone();
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
    let sending = Arc::new(AtomicBool::new(true));
    let (served, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for n in 0..9 {
        let (front, sending) = (fleet.fronts()[n % 3].clone(), sending.clone());
        let (served, other, lost, record) = (served.clone(), other.clone(), lost.clone(), record.clone());
        clients.push(std::thread::spawn(move || {
            let mut number = 0;
            while sending.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("{:x}-{n}-{number}", random() as u32);
                let bearer = format!("Bearer {KEY}");
                let headers = [("Host", HOST), ("X-Request-Id", &id), ("X-Deadline-Ms", "1500"), ("Authorization", &bearer)];
                let (method, path) = if number % 2 == 0 { ("POST", "/order/1") } else { ("GET", "/lot/1") };
                let answer = call(&front, method, path, &headers, b"", Duration::from_millis(1_500));
                match answer {
                    Ok(a) if a.head.status() == 200 && a.end == End::Whole => {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    a => {
                        other.fetch_add(1, Ordering::Relaxed);
                        let what = a.map_or_else(|e| e.to_string(), |a| a.head.first);
                        lost.lock().unwrap().push((record.ms(), method, id, what));
                    }
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    // Calm for longer than contactMs, so that every machine is in touch.
    std::thread::sleep(Duration::from_millis(CONTACT_MS + 3_000));
    let before = replicas.iter().map(|(r, _)| r.runs.lock().unwrap().len()).collect::<Vec<_>>();
    record.add(format!("runs at the three replicas before the leave: {before:?}"));

    let (leaver, who) = &replicas[0];
    leaver_beats.store(false, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
    // One more heartbeat, at a daemon that lives on. Then the replica leaves, at another daemon.
    let acker = fleet.index("control", 1);
    if !heartbeat(&controls[3], who, "ready", 1_000) {
        record.add("the last heartbeat was not acknowledged");
        return 2;
    }
    record.add(format!("PUT /replicas/{} (ready) acknowledged by control-3", who.id));
    std::thread::sleep(Duration::from_millis(300));
    if !leave(&controls[1], &who.id) {
        record.add("the leave was not acknowledged");
        return 2;
    }
    let acked = Instant::now();
    let acked_ms = record.ms();
    let mut disturbed = acked;
    if trouble {
        fleet.kill(acker);
        record.add(format!("DELETE /replicas/{} acknowledged by control-1 at {acked_ms} ms; control-1 killed", who.id));
        std::thread::sleep(Duration::from_millis(200));
        fleet.restart(acker);
        disturbed = Instant::now();
        record.add("control-1 started again, with its disk");
    } else {
        record.add(format!("DELETE /replicas/{} acknowledged by control-1 at {acked_ms} ms", who.id));
    }
    std::thread::sleep(SERVES_ON.saturating_sub(acked.elapsed()));
    leaver.ended.store(true, Ordering::Relaxed);
    record.add(format!("{} ends", who.id));
    std::thread::sleep(Duration::from_millis(1_500));
    sending.store(false, Ordering::Relaxed);
    beating.store(false, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());

    // The rule: drainMs after the acknowledgement, by machines in touch: contactMs after the last disturbance. The
    // 100 ms stand for the way of the request.
    let drained = acked + Duration::from_millis(DRAIN_MS);
    let in_touch = if trouble { disturbed + Duration::from_millis(CONTACT_MS + 100) } else { drained };
    let counted_from = drained.max(in_touch);
    let runs = leaver.runs.lock().unwrap().clone();
    let after_ack = runs.iter().filter(|r| r.at > acked).count();
    let late: Vec<_> = runs.iter().filter(|r| r.at > counted_from).collect();
    for r in runs.iter().filter(|r| r.at > acked + Duration::from_millis(500)) {
        let since = (r.at - acked).as_millis();
        let counted = if r.at > counted_from { "counted" } else { "not counted" };
        record.add(format!("{} ran {} {} ms after the acknowledgement ({counted})", who.id, r.id, since));
    }
    for (at, method, id, what) in lost.lock().unwrap().iter() {
        record.add(format!("client: {method} {id} ended at {at} ms without success: {what}"));
    }
    record.add(format!(
        "served {}, not served {}; {} requests reached {} after the acknowledgement, {} of them more than {} ms after it by machines in touch",
        served.load(Ordering::Relaxed), other.load(Ordering::Relaxed), after_ack, who.id, late.len(),
        (counted_from - acked).as_millis()
    ));
    if before.contains(&0) || served.load(Ordering::Relaxed) < 200 {
        record.add("the replicas did not all serve before the leave: no result");
        return 2;
    }
    i32::from(!late.is_empty())
}
