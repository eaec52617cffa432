//! The configuration has grown by many routes and is changed some hundred times. The platform ends a process that takes
//! more memory than its machine has, and starts it again. CONFIG: the newest acknowledged configuration is read back.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_standin_2::*;

/// Of the sheet (Kellaway Board).
const MEMORY_MB: f64 = 256.0;
const DISK_MB: f64 = 128.0;
const CONTACT_S: f64 = 3.0;

/// 12 times the largest dose of `big_config` of the site.
const ROUTES: usize = 12 * 400;
const CHANGES: u64 = 280;

/// Time after which no further change is sent.
const END_S: f64 = 35.0;

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

fn config(version: u64, routes: usize) -> String {
    let names: Vec<_> = (0..routes).map(|n| (format!("r-{n:07}"), format!("/p{n:06}/"))).collect();
    let routes: Vec<_> =
        names.iter().map(|(n, p)| (n.as_str(), p.as_str(), "safe", "board-live", false)).collect();
    let service = "{\"name\":\"board-live\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}";
    let tenant = "{\"name\":\"club\",\"apiKeys\":[\"key-of-the-club\"],\"priority\":1}";
    // One of the routes gets another time-out with each version.
    configuration(version, &routes, service, tenant).replacen(
        "12000",
        &format!("{}", 10_000 + version),
        1,
    )
}

fn version_of(body: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    text.split("\"version\":").nth(1)?.split(',').next()?.parse().ok()
}

fn run(record: Record) -> std::io::Result<i32> {
    let plan = Plan { edges: vec![1, 0, 0], ..Plan::default() };
    let mut fleet = Fleet::new(record.clone(), &plan)?;
    fleet.start()?;
    let all: Vec<usize> = (0..fleet.cores.len()).collect();
    thread::sleep(Duration::from_secs(2));
    let routes = if has_trouble() { ROUTES } else { 8 };
    fleet
        .order("PUT", "/config", &config(1, 8), &all)
        .ok_or_else(|| std::io::Error::other("no configuration"))?;
    fleet.wait_ready()?;
    // The platform looks at the memory of each process, and starts again what has ended.
    let fleet = Arc::new(Mutex::new(fleet));
    let stop = Arc::new(AtomicBool::new(false));
    let ends = Arc::new(Mutex::new(0));
    let platform = {
        let (fleet, stop, record, ends) =
            (fleet.clone(), stop.clone(), record.clone(), ends.clone());
        thread::spawn(move || {
            let mut down: Vec<Option<f64>> = Vec::new();
            let mut shown = 0.0;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(50));
                let mut f = fleet.lock().unwrap();
                down.resize(f.cores.len(), None);
                let is_shown = record.now() - shown > 5.0;
                for (n, m) in f.cores.iter_mut().enumerate() {
                    if let Some(at) = down[n] {
                        if record.now() - at > 1.0 && m.start().is_ok() {
                            record.line(&format!("{} starts again", m.name));
                            down[n] = None;
                        }
                        continue;
                    }
                    let mb = m.memory_mb();
                    if is_shown {
                        record.line(&format!("{} takes {mb:.0} MB", m.name));
                    }
                    if mb > MEMORY_MB || m.has_ended() {
                        record.line(&format!("{} takes {mb:.0} MB of {MEMORY_MB}: killed", m.name));
                        m.kill();
                        *ends.lock().unwrap() += 1;
                        down[n] = Some(record.now());
                    }
                }
                if is_shown {
                    shown = record.now();
                }
            }
        })
    };
    let cores: Vec<_> =
        fleet.lock().unwrap().cores.iter().map(|m| (m.name.clone(), m.at(CONTROL))).collect();
    let (mut acked, mut taken) = (1, 0);
    for version in 2..2 + CHANGES {
        if record.now() > END_S {
            break;
        }
        let body = config(version, routes);
        for n in 0..cores.len() {
            let (name, to) = &cores[(version as usize + n) % cores.len()];
            let answer = call(*to, "PUT", "/config", &body, Duration::from_secs(2));
            let status = answer.as_ref().map_or(0, |r| r.status);
            record.line(&format!(
                "operator sends version {version} ({} bytes) to {name}: {status}",
                body.len()
            ));
            if status == 200 {
                (acked, taken) = (version, taken + 1);
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        thread::sleep(Duration::from_millis(60));
    }
    record.line(&format!("{taken} changes were acknowledged, the newest is {acked}"));
    let folder = fleet.lock().unwrap().dir.clone();
    for (name, _) in &cores {
        let size: u64 = std::fs::read_dir(folder.join(format!("data-{name}")))
            .map(|d| d.flatten().filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum())
            .unwrap_or(0);
        record.line(&format!(
            "the disk of {name} holds {:.1} MB (the machine's has {DISK_MB})",
            size as f64 / 1e6
        ));
    }
    // Read back for five times `contactMs`.
    let until = record.now() + 5.0 * CONTACT_S;
    let mut is_read = false;
    'reads: while record.now() < until {
        for (name, to) in &cores {
            let answer = call(*to, "GET", "/config", "", Duration::from_secs(2));
            let found =
                answer.as_ref().ok().filter(|r| r.status == 200).and_then(|r| version_of(&r.body));
            let status = answer.map_or_else(|e| e.to_string(), |r| r.status.to_string());
            record.line(&format!("read back at {name}: {status}, version {found:?}"));
            if found.is_some_and(|v| v >= acked) {
                is_read = true;
                break 'reads;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    stop.store(true, Ordering::Relaxed);
    drop(platform.join());
    let ends = *ends.lock().unwrap();
    println!("{taken} changes acknowledged; processes ended {ends} times; read back: {is_read}");
    record.line(&format!(
        "processes ended {ends} times; the newest configuration was read back: {is_read}"
    ));
    Ok(if is_read { HELD } else { BROKEN })
}
