//! Case: a leave of a replica that no daemon knows yet, because its heartbeats are late.

use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fleet::{random, Fleet, CONTACT_MS, DRAIN_MS, HEARTBEAT_MS, ZONES};
use crate::http::{call, End};
use crate::platform::{
    configuration, heartbeat, heartbeat_anywhere, leave, publish, wait_ready, Identity, Record, Route, HOST, KEY,
};
use crate::replica::{Replica, Stream};

/// How much later than the leave the heartbeat arrives that was sent before it.
const LATE_BY: Duration = Duration::from_millis(1_500);

/// How long the replica that leaves keeps serving after the acknowledgement.
const SERVES_ON: Duration = Duration::from_millis(DRAIN_MS + 2_000);

pub fn run(root: &Path, record: Arc<Record>, trouble: bool) -> i32 {
    let fleet = Arc::new(Fleet::start(root, 5, 3));
    let routes = [Route { name: "move-submit", prefix: "/move/", kind: "unsafe", service: "board", timeout_ms: 800, attempts: 1, resume: false }];
    if !publish(&fleet, &configuration(7, &routes, &["board"]), Duration::from_secs(20)) {
        record.add("no daemon acknowledged the configuration");
        return 2;
    }
    record.add("configuration 7 acknowledged");
    let controls = fleet.controls();
    let stream = Stream { events: 0, pause: Duration::ZERO, unframed: false };
    let beating = Arc::new(AtomicBool::new(true));
    let start = |n: usize| {
        let listener = TcpListener::bind(format!("{}.{}:0", fleet.subnet, 100 + n)).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let id = format!("i-{:08x}", random() as u32);
        let replica = Replica::start(&id, listener, stream, Duration::from_millis(30));
        (replica, Identity { id, service: "board".into(), address, zone: ZONES[n % 3].into(), slots: 6 })
    };
    for n in 0..2 {
        let (_, who) = start(n);
        let (controls, goes_on) = (controls.clone(), beating.clone());
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
    let sending = Arc::new(AtomicBool::new(true));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..9)
        .map(|n| {
            let (front, sending, served) = (fleet.fronts()[n % 3].clone(), sending.clone(), served.clone());
            std::thread::spawn(move || {
                while sending.load(Ordering::Relaxed) {
                    let id = format!("{:016x}", random());
                    let bearer = format!("Bearer {KEY}");
                    let headers = [("Host", HOST), ("X-Request-Id", &id), ("X-Deadline-Ms", "1000"), ("Authorization", &bearer)];
                    let answer = call(&front, "POST", "/move/1", &headers, b"", Duration::from_secs(1));
                    if answer.is_ok_and(|a| a.head.status() == 200 && a.end == End::Whole) {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    std::thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(CONTACT_MS + 3_000));

    // A replica starts and is soon told to leave again.
    let (leaver, who) = start(2);
    record.add(format!("{} starts and sends its first heartbeat", who.id));
    if !trouble {
        let acked = heartbeat(&controls[3], &who, "ready", 1);
        record.add(format!("the heartbeat arrives at once at control-3, acknowledged {acked}"));
    } else {
        record.add("the heartbeat is held up on its way to control-3");
    }
    std::thread::sleep(Duration::from_millis(700));
    if !leave(&controls[1], &who.id) {
        record.add("the leave was not acknowledged");
        return 2;
    }
    let acked = Instant::now();
    record.add(format!("DELETE /replicas/{} acknowledged by control-1", who.id));
    std::thread::sleep(LATE_BY);
    if trouble {
        let taken = heartbeat(&controls[3], &who, "ready", 1);
        record.add(format!("the first heartbeat arrives at control-3, acknowledged {taken}"));
    }
    std::thread::sleep(SERVES_ON.saturating_sub(acked.elapsed()));
    leaver.ended.store(true, Ordering::Relaxed);
    record.add(format!("{} ends", who.id));
    std::thread::sleep(Duration::from_millis(1_000));
    sending.store(false, Ordering::Relaxed);
    beating.store(false, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
    let runs = leaver.runs.lock().unwrap().clone();
    let bound = acked + Duration::from_millis(DRAIN_MS);
    let late = runs.iter().filter(|r| r.at > bound).count();
    for r in runs.iter().filter(|r| r.at > acked) {
        let counted = if r.at > bound { "counted" } else { "not counted" };
        record.add(format!("{} ran {} {} ms after the acknowledgement ({counted})", who.id, r.id, (r.at - acked).as_millis()));
    }
    record.add(format!(
        "served {}; {} requests reached {} in all, {late} of them more than {DRAIN_MS} ms after the acknowledgement",
        served.load(Ordering::Relaxed), runs.len(), who.id
    ));
    if served.load(Ordering::Relaxed) < 200 {
        return 2;
    }
    i32::from(late > 0)
}
