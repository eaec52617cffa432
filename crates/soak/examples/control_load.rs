//! Runs a control group under the load of an idle fleet and prints the processor time of each control process.
//!
//! `cargo run --release -p cypressfork-soak --example control_load -- PROGRAM GATEWAYS REPLICAS SECONDS`, where
//! `PROGRAM` is the path of `cypressfork-control`. Gateways watch every control process, poll for recalls and
//! report bounds on their spending; replicas send heartbeats on kept connections.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command as Program, Stdio};
use std::time::Duration;

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::fleet::evacuation;
use cypressfork_core::fleet::router_directory::NOT_WANTED;
use cypressfork_core::fleet::watch::{FeedCursor, RouterStatus, Watch, WatchResponse};
use cypressfork_core::query::{NO_SITES, Query};
use cypressfork_core::unit::{Millis, Version};
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_node::watch::{Watcher, watch};
use cypressfork_wire::auth::Key;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Number of control processes.
const CONTROLS: usize = 5;

/// Data centres, over which gateways and replicas are spread.
const DATA_CENTRES: [&str; 3] = ["tema-hall", "osu-hall", "spintex-hall"];

/// Interval between heartbeats of a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Interval between reports of a gateway.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Every how many gateways one reports bounds.
const REPORTING_GATEWAYS: usize = 5;

/// Time that the group gets to elect a leader, and the fleet to connect, before the measurement.
const WARM_UP: Duration = Duration::from_secs(8);

/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

fn credentials(name: &str) -> Credentials {
    Credentials { key: Key::new(b"load"), cluster: "load".to_owned(), name: name.to_owned() }
}

fn link_address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 90, 0, 1], 21_000 + 2 * n as u16))
}

fn http_address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 90, 0, 1], 21_001 + 2 * n as u16))
}

fn start_control(n: usize, program: &str, dir: &Path) -> Result<Child, Box<dyn Error>> {
    let seeds: Vec<_> = (0..3).map(|n| link_address(n).to_string()).collect();
    let (link, http) = (link_address(n), http_address(n));
    let data = dir.join(format!("data-{n}"));
    fs::create_dir_all(&data)?;
    let settings = format!(
        "common:\n  cluster: load\n  region: accra\n  data_centre: {}\n  vm: control-{n}\n  open_links: true\n  log_form: json\n  control: {seeds:?}\nlisten: \"{link}\"\ndata_folder: {}\nreserve: false\nfleet:\n  listen: \"{http}\"\n  entry: \"{http}\"\n  shared_address: true\n  found: true\n  voters: {CONTROLS}\n  replica_heartbeat_ms: 1200\n",
        DATA_CENTRES[n % DATA_CENTRES.len()],
        data.display(),
    );
    let file = dir.join(format!("control-{n}.yaml"));
    fs::write(&file, settings)?;
    let log = fs::File::create(dir.join(format!("control-{n}.log")))?;
    let err = log.try_clone()?;
    Ok(Program::new(program)
        .arg("--settings")
        .arg(file)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(err)
        .spawn()?)
}

/// A gateway's watch of one control process.
struct LoadWatcher {
    status: RouterStatus,
    feed: RefCell<FeedCursor>,
    areas: RefCell<u64>,
    without_replicas: bool,
}

impl Watcher for LoadWatcher {
    fn next_request(&self, _: SocketAddr) -> Option<Watch> {
        Some(Watch {
            router: Some(self.status.clone()),
            feed: *self.feed.borrow(),
            version: Version::MAX,
            fetch: None,
            areas: *self.areas.borrow(),
            control: None,
            evacuations: evacuation::NOT_WANTED,
            without_replicas: self.without_replicas,
            quarantine: evacuation::NOT_WANTED,
            rollouts: evacuation::NOT_WANTED,
            reports: Vec::new(),
            heard: Vec::new(),
            few: NOT_WANTED,
            leaving: Vec::new(),
            hears: None,
            confirm: None,
        })
    }

    fn handle_response(&self, _: SocketAddr, response: WatchResponse) {
        *self.feed.borrow_mut() = response.feed;
        if let Some(areas) = &response.areas {
            *self.areas.borrow_mut() = cypressfork_core::fleet::router_directory::digest(areas);
        }
    }

    fn handle_disconnect(&self, _: SocketAddr) {}

    async fn poll_requested(&self) {
        std::future::pending().await
    }
}

fn start_gateway(n: usize) {
    let address = |port: u16| format!("10.1.{}.{}:{port}", n / 250, 1 + n % 250);
    let status = RouterStatus {
        vm: format!("gateway-{n}"),
        data_centre: DATA_CENTRES[n % DATA_CENTRES.len()].to_owned(),
        address: address(8_227),
        link: address(7_355),
        open: true,
        busy: false,
        version: 0,
    };
    for control in 0..CONTROLS {
        let watcher = LoadWatcher {
            status: status.clone(),
            feed: RefCell::default(),
            areas: RefCell::new(0),
            without_replicas: (n + control) % CONTROLS > 1,
        };
        actix_rt::spawn(watch(link_address(control), credentials(&status.vm), watcher));
    }
    actix_rt::spawn(report(n, status));
}

/// Registers a gateway, polls for recalls and reports bounds.
async fn report(n: usize, status: RouterStatus) {
    let seeds = (0..3).map(link_address).collect();
    let group = GroupClient::new(credentials(&status.vm), seeds);
    let register = Command::Register {
        vm: status.vm.clone(),
        data_centre: status.data_centre.clone(),
        address: status.address.clone(),
        nonce: n as u64 + 1,
        age: Millis(0),
        link: status.link.clone(),
    };
    let holder = loop {
        match group.command(&register, Duration::from_secs(1)).await {
            Ok(Answer::Registered(holder)) => break holder,
            _ => sleep(Duration::from_millis(200)).await,
        }
    };
    let poll = group.clone();
    actix_rt::spawn(async move {
        loop {
            let q = Query::Follow { holder, version: Version::MAX, sites: NO_SITES };
            if poll.query(&q, Duration::from_millis(2_500)).await.is_err() {
                sleep(Duration::from_millis(200)).await;
            }
        }
    });
    let mut seq = 0;
    while n.is_multiple_of(REPORTING_GATEWAYS) {
        sleep(REPORT_INTERVAL).await;
        seq += 1;
        let report = Command::Tally {
            holder,
            reports: Vec::new(),
            batch: 0,
            bills: Vec::new(),
            seq,
            after: seq - 1,
            bounds: Vec::new(),
        };
        // A report that is lost is covered by the next one.
        let _ = group.command(&report, Duration::from_secs(2)).await;
    }
}

/// Sends heartbeats on a kept connection until it fails, and then on a new one.
async fn send_heartbeats(n: usize) {
    let mut sequence = 0;
    loop {
        if let Ok(mut stream) = TcpStream::connect(http_address(n % CONTROLS)).await {
            while send_heartbeat(&mut stream, n, sequence).await.is_ok() {
                sequence += 1;
                sleep(HEARTBEAT_INTERVAL).await;
            }
        }
        sleep(Duration::from_millis(200)).await;
    }
}

async fn send_heartbeat(stream: &mut TcpStream, n: usize, sequence: u64) -> std::io::Result<()> {
    let body = format!(
        "{{\"service\":\"loom\",\"address\":\"10.2.{}.{}:8080\",\"data_centre\":\"{}\",\"slots\":64,\"sequence\":{}}}",
        n / 250,
        1 + n % 250,
        DATA_CENTRES[n % DATA_CENTRES.len()],
        sequence + 1,
    );
    let head = format!(
        "PUT /v1/replicas/i-{n:08x} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).await?;
    let mut buf = [0; 1_024];
    match stream.read(&mut buf).await? {
        0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Processor time of a process, and how often it woke up.
#[derive(Clone, Copy)]
struct Usage {
    user: f64,
    system: f64,
    wake_ups: u64,
}

fn usage(pid: u32) -> Result<Usage, Box<dyn Error>> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let seconds = |n: usize| -> Result<f64, Box<dyn Error>> {
        Ok(fields.get(n).ok_or("a field is missing")?.parse::<f64>()? / TICKS_PER_SECOND)
    };
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|l| l.strip_prefix("voluntary_ctxt_switches:"));
    let wake_ups = line.unwrap_or("0").trim().parse()?;
    Ok(Usage { user: seconds(11)?, system: seconds(12)?, wake_ups })
}

async fn run(
    program: &str,
    gateways: usize,
    replicas: usize,
    time: Duration,
) -> Result<(), Box<dyn Error>> {
    let dir = tempfile::tempdir()?;
    let mut controls = Vec::new();
    for n in 0..CONTROLS {
        controls.push(start_control(n, program, dir.path())?);
    }
    sleep(Duration::from_secs(3)).await;
    publish().await?;
    (0..gateways).for_each(start_gateway);
    for n in 0..replicas {
        actix_rt::spawn(send_heartbeats(n));
        if n % 100 == 0 {
            sleep(Duration::from_millis(10)).await;
        }
    }
    sleep(WARM_UP).await;
    let pids: Vec<_> = controls.iter().map(Child::id).collect();
    println!("control processes: {pids:?}");
    let before = pids.iter().map(|pid| usage(*pid)).collect::<Result<Vec<_>, _>>()?;
    sleep(time).await;
    let by_pid: BTreeMap<_, _> = pids.iter().zip(before).collect();
    for (pid, old) in by_pid {
        let new = usage(*pid)?;
        let per_second = |a: f64, b: f64| (b - a) / time.as_secs_f64() * 1_000.0;
        println!(
            "{pid}: user {:.1} ms/s, system {:.1} ms/s, {:.0} wake-ups/s",
            per_second(old.user, new.user),
            per_second(old.system, new.system),
            (new.wake_ups - old.wake_ups) as f64 / time.as_secs_f64(),
        );
    }
    for c in &mut controls {
        c.kill()?;
        c.wait()?;
    }
    Ok(())
}

/// Publishes a document that declares the replicas' service.
async fn publish() -> Result<(), Box<dyn Error>> {
    let body = json!({
        "version": 1,
        "routes": [],
        "services": [{ "name": "loom", "connections": 370 }],
        "limits": { "head": 8_192, "body": 65_536, "head_within": 2_000, "idle": 10_000 },
    })
    .to_string();
    let mut stream = TcpStream::connect(http_address(0)).await?;
    let head = format!(
        "PUT /v1/document HTTP/1.1\r\nHost: control\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).await?;
    let mut buf = [0; 1_024];
    let len = stream.read(&mut buf).await?;
    println!("{}", String::from_utf8_lossy(&buf[..len]).replace("\r\n", " "));
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [program, gateways, replicas, seconds] = &args[..] else {
        return Err("usage: control_load PROGRAM GATEWAYS REPLICAS SECONDS".into());
    };
    let time = Duration::from_secs(seconds.parse()?);
    actix_rt::System::new().block_on(run(program, gateways.parse()?, replicas.parse()?, time))
}
