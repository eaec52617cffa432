//! A zone's evacuation is withdrawn and ordered again while a core machine stands still. EVAC: no request arrives at a
//! replica of the zone later than `evacuationMs` after the acknowledgement of the second order.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use review_standin_2::*;

/// Bounds of the sheet (Kellaway Board, some months on).
const EVACUATION_S: f64 = 5.0;
const CONTACT_S: f64 = 4.0;

const ZONE: &str = "tamar-b";

fn main() {
    let path = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned()));
    let code = match Record::create(&path).and_then(run) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("not run: {e}");
            NOT_RUN
        }
    };
    std::process::exit(code);
}

fn run(record: Record) -> std::io::Result<i32> {
    let mut fleet = Fleet::new(record.clone(), &Plan::default())?;
    fleet.start()?;
    let service = "{\"name\":\"board-live\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}";
    let tenant = "{\"name\":\"club\",\"apiKeys\":[\"key-of-the-club\"],\"priority\":1}";
    let config = configuration(
        1,
        &[("clock-sync", "/clock/", "safe", "board-live", false)],
        service,
        tenant,
    );
    let all: Vec<usize> = (0..fleet.cores.len()).collect();
    thread::sleep(Duration::from_secs(2));
    fleet
        .order("PUT", "/config", &config, &all)
        .ok_or_else(|| std::io::Error::other("no configuration"))?;
    let runs = Runs::default();
    for (n, zone) in fleet.zones.clone().iter().enumerate() {
        for k in 0..2 {
            Replica::start(
                &fleet,
                100 + (n * 2 + k) as u8,
                "board-live",
                zone,
                Duration::from_millis(20),
                runs.clone(),
            )?;
        }
    }
    fleet.wait_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&fleet, &stop);
    record.sleep_until(9.0);
    let seen = |from: f64, to: f64| {
        runs.lock().unwrap().iter().filter(|r| r.zone == ZONE && r.at > from && r.at <= to).count()
    };
    if seen(7.0, 9.0) == 0 {
        return Err(std::io::Error::other("the zone gets no requests before"));
    }
    // The core machine that stands still does not lead.
    let leader = fleet.leader().unwrap_or(0);
    let frozen = (0..fleet.cores.len()).rfind(|n| *n != leader).unwrap_or(0);
    let others: Vec<usize> = all.iter().copied().filter(|n| *n != frozen).collect();
    let path = format!("/evacuation/{ZONE}");
    let refused = || std::io::Error::other("an order was not acknowledged");
    fleet.order("POST", &path, "", &others).ok_or_else(refused)?;
    record.sleep_until(17.0);
    let trouble = has_trouble();
    if trouble {
        record.line(&format!("{} stands still (SIGSTOP)", fleet.cores[frozen].name));
        fleet.cores[frozen].signal("STOP");
    }
    // The operator chooses among the daemons; the first choice is the one that stands still.
    let order: Vec<usize> = [frozen].into_iter().chain(others.iter().copied()).collect();
    fleet.order("DELETE", &path, "", &order).ok_or_else(refused)?;
    record.sleep_until(19.5);
    fleet.order("POST", &path, "", &others).ok_or_else(refused)?;
    let acked = record.now();
    record.sleep_until(21.0);
    if trouble {
        fleet.cores[frozen].signal("CONT");
        record.line(&format!("{} goes on (SIGCONT)", fleet.cores[frozen].name));
    }
    let thawed = record.now();
    record.sleep_until(34.0);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    let from = (acked + EVACUATION_S).max(thawed + CONTACT_S);
    let late = seen(from, f64::MAX);
    record.line(&format!(
        "the second order was acknowledged at {acked:.3}; requests that arrived in {ZONE} after {from:.3}: {late}"
    ));
    for m in &fleet.cores {
        let all = m.log();
        for l in all.lines().filter(|l| l.contains("\"event\":327")) {
            record.line(&format!("log of {}: {l}", m.name));
        }
    }
    println!("{late} requests arrived in an evacuated zone");
    Ok(if late > 0 { BROKEN } else { HELD })
}

/// Starts a client in each zone: some requests a second, each on a new connection to an address of the directory.
fn start_clients(fleet: &Fleet, stop: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
    let mut clients = Vec::new();
    for (n, zone) in fleet.zones.iter().enumerate() {
        let directories: Vec<_> = fleet.cores.iter().map(|m| m.at(DIRECTORY)).collect();
        let (stop, record, zone) = (stop.clone(), fleet.record.clone(), zone.clone());
        clients.push(thread::spawn(move || {
            let mut addresses: Vec<std::net::SocketAddr> = Vec::new();
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                if count % 50 == 0 || addresses.is_empty() {
                    let query = format!("/resolve?name=club.example&region=tas-north&zone={zone}");
                    for d in directories.iter().cycle().skip(n).take(3) {
                        let Ok(r) = call(*d, "GET", &query, "", Duration::from_secs(1)) else { continue };
                        let text = String::from_utf8_lossy(&r.body).into_owned();
                        addresses = text.split('"').filter_map(|p| p.parse().ok()).collect();
                        if !addresses.is_empty() {
                            break;
                        }
                    }
                }
                count += 1;
                let id = format!("c{n}-{count}");
                if let Some(to) = addresses.get(count % addresses.len().max(1)) {
                    let request = format!(
                        "GET /clock/{count} HTTP/1.1\r\nHost: club.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer key-of-the-club\r\nConnection: close\r\n\r\n"
                    );
                    let answer = exchange(*to, request.as_bytes(), Duration::from_secs(1));
                    let status = answer.map_or_else(|e| e.to_string(), |r| r.status.to_string());
                    record.line(&format!("client in {zone} sends {id} to {to}: {status}"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    clients
}
