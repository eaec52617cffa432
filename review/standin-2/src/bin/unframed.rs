//! A model replica that answers without a length is killed. ORDER: no stream ends as complete before its last piece.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_standin_2::*;

const ENGINES: u8 = 6;
const EVENTS: u64 = 40;

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

struct Engine {
    name: String,
    child: Child,
}

impl Drop for Engine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn run(record: Record) -> std::io::Result<i32> {
    let mut fleet = Fleet::new(record.clone(), &Plan::default())?;
    fleet.start()?;
    let service = "{\"name\":\"engine-talk\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kvCapacityTokens\":418121,\"kvTokenBytes\":327680,\"linkMbps\":250000.0,\"stride\":3,\"models\":[{\"name\":\"m\"}]}}";
    let tenant = "{\"name\":\"club\",\"apiKeys\":[\"key-of-the-club\"],\"priority\":1,\"prepaid\":100000000}";
    let config = configuration(
        1,
        &[("game-annotate", "/annotate/", "streaming", "engine-talk", true)],
        service,
        tenant,
    );
    let all: Vec<usize> = (0..fleet.cores.len()).collect();
    thread::sleep(Duration::from_secs(2));
    fleet
        .order("PUT", "/config", &config, &all)
        .ok_or_else(|| std::io::Error::other("no configuration"))?;
    let cores: Vec<_> = fleet.cores.iter().map(|m| m.at(CONTROL).to_string()).collect();
    let program = std::env::current_exe()?.with_file_name("engine");
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let name = format!("i-engine-{n}");
        let address =
            SocketAddr::from((Ipv4Addr::new(127, fleet.net.0, fleet.net.1, 150 + n), REPLICA));
        let out = File::create(fleet.dir.join(format!("{name}.log")))?;
        let zone = fleet.zones[usize::from(n) % 3].clone();
        let child = Command::new(&program)
            .args([address.to_string(), name.clone(), zone, cores.join(",")])
            .stdin(Stdio::null())
            .stdout(out)
            .spawn()?;
        engines.push(Engine { name, child });
    }
    fleet.wait_ready()?;
    record.sleep_until(7.0);
    let stop = Arc::new(AtomicBool::new(false));
    let (count, results) = (Arc::new(AtomicU64::new(0)), Arc::new(Mutex::new(Vec::new())));
    let fronts: Vec<_> = fleet.edges.iter().map(|m| m.at(FRONT)).collect();
    let clients: Vec<_> = (0..12_usize)
        .map(|c| {
            let (stop, count, results) = (stop.clone(), count.clone(), results.clone());
            let (to, record) = (fronts[c % fronts.len()], record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let n = count.fetch_add(1, Ordering::Relaxed);
                    let id = format!("g{n}");
                    let request = format!(
                        "POST /annotate/{n} HTTP/1.1\r\nHost: club.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer key-of-the-club\r\nX-Model: m\r\nX-Token-Counts: 500,{}\r\nX-Prompt-Prefix: a{c:x}:300,{n:x}:200\r\nContent-Length: 4\r\nConnection: close\r\n\r\ngame",
                        EVENTS * 3
                    );
                    let answer = exchange(to, request.as_bytes(), Duration::from_secs(12));
                    let (status, complete, events) = match &answer {
                        Ok(r) => (r.status, r.complete, String::from_utf8_lossy(&r.body).matches("\n\n").count() as u64),
                        Err(_) => (0, false, 0),
                    };
                    let stamp = answer.as_ref().ok().and_then(|r| r.header("x-server-stamp")).unwrap_or_default().to_owned();
                    record.line(&format!("client gets {status} for {id}: {events} of {EVENTS} events, complete {complete}, signature {stamp}"));
                    results.lock().unwrap().push((id, status, complete, events));
                }
            })
        })
        .collect();
    record.sleep_until(10.5);
    if has_trouble() {
        // The one that has the most streams under way; what it prints shows them.
        let under_way = |e: &Engine| {
            let log =
                fs::read_to_string(fleet.dir.join(format!("{}.log", e.name))).unwrap_or_default();
            log.matches(" runs ").count()
                - log.matches(" ends ").count().min(log.matches(" runs ").count())
        };
        let most = (0..engines.len()).max_by_key(|n| under_way(&engines[*n])).unwrap_or(0);
        record.line(&format!(
            "{} has {} streams under way",
            engines[most].name,
            under_way(&engines[most])
        ));
        let e = &mut engines[most];
        let _ = e.child.kill();
        let _ = e.child.wait();
        record.line(&format!("{} is killed (SIGKILL)", e.name));
    }
    record.sleep_until(16.0);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    for e in &engines {
        let log = fs::read_to_string(fleet.dir.join(format!("{}.log", e.name))).unwrap_or_default();
        log.lines().for_each(|l| record.line(&format!("replica: {l}")));
    }
    let results = results.lock().unwrap();
    let short: Vec<_> = results
        .iter()
        .filter(|(_, s, complete, events)| *s == 200 && *complete && *events < EVENTS)
        .collect();
    let whole = results
        .iter()
        .filter(|(_, s, complete, events)| *s == 200 && *complete && *events == EVENTS)
        .count();
    record.line(&format!(
        "{whole} streams were whole; ended as complete before their last piece: {short:?}"
    ));
    println!("{whole} whole, {} ended as complete before their last piece", short.len());
    Ok(match (whole, short.len()) {
        (0, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    })
}
