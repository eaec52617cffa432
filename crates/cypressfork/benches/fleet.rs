//! Benchmarks of real processes on one machine.
//!
//! `cargo bench -p cypressfork --bench fleet [NAME]` prints one line per figure, for all benchmarks or the
//! named one.

#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::hash::{BuildHasher, RandomState};
use std::hint::black_box;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::config::{Application, Change, Item, Template};
use cypressfork_core::fleet::fingerprint::RequestIdentity;
use cypressfork_core::unit::RequestId;
use cypressfork_node::digest::fingerprint;
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_wire::auth::Key;
use futures_util::future::join_all;
use serde_json::json;
use support::{Fleet, KEY, Plan, chat_body, wait_for};

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    let filter = std::env::args().skip(1).find(|a| !a.starts_with('-'));
    let all: [(&str, fn()); 8] = [
        ("control", control_overhead),
        ("latency", latency),
        ("capacity", capacity),
        ("streams", stream_memory),
        ("config", config_propagation),
        ("leaderless", leaderless),
        ("log", commit_log),
        ("identity", request_identity),
    ];
    for (name, run) in all {
        if filter.as_ref().is_none_or(|f| f == name) {
            run();
        }
    }
}

/// Calls of a fast operation whose mean time is measured.
const REPETITIONS: u32 = 20_000;

/// Measures the time to identify a request, by the length of its body.
fn request_identity() {
    let hasher = RandomState::new();
    for length in [0, 800, 6_000, 60_000] {
        let body = vec![b'x'; length];
        let (account, method) = (Some("club"), "POST");
        let (host, path) = ("club.example", "/talk/annotate/whole");
        let identity = RequestIdentity { account, method, host, path, body: &body };
        let each = |name: &str, f: &dyn Fn() -> u64| {
            let begin = Instant::now();
            let sum = (0..REPETITIONS).fold(0u64, |sum, _| sum.wrapping_add(black_box(f())));
            black_box(sum);
            let ns = begin.elapsed().as_nanos() / u128::from(REPETITIONS);
            print_figure(&format!("{name}, {length} bytes"), format!("{ns} ns"));
        };
        each("brief", &|| black_box(&identity).brief());
        each("hash of one that was answered", &|| hasher.hash_one(black_box(&identity)));
        each("fingerprint", &|| fingerprint(black_box(&identity)).digest);
    }
}

/// Prints one figure.
fn print_figure(name: &str, figure: String) {
    println!("{name}: {figure}");
}

/// Returns the CPU time that a process has used, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks = |n: usize| fields[n].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Returns the resident memory of a process, in KiB.
fn resident_kib(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Returns a metric of the process at the first ops address, summed over its labels.
fn metric(f: &Fleet, name: &str) -> f64 {
    let text = support::get_text(&format!("http://{}/metrics", f.ops_addresses[0])).unwrap();
    let lines = text.lines().filter(|l| l.starts_with(name));
    lines.map(|l| l.rsplit(' ').next().unwrap().parse::<f64>().unwrap()).sum()
}

fn link_bytes(f: &Fleet) -> f64 {
    metric(f, "cypressfork_link_sent_bytes_total")
        + metric(f, "cypressfork_link_received_bytes_total")
}

/// Sends one request on a reused connection. Returns whether it was served.
fn send(agent: &ureq::Agent, url: &str, body: &str) -> bool {
    let r = agent.post(url).header("authorization", format!("Bearer {KEY}")).send(body);
    r.is_ok_and(|mut r| {
        r.body_mut().read_to_string().is_ok_and(|b| b.contains("usage") || b.contains("[DONE]"))
    })
}

/// Sends `rate` requests per second for `span`. Returns the numbers of served and failed requests.
fn load(url: &str, rate: u64, span: Duration) -> (u64, u64) {
    const THREADS: u64 = 16;
    let (served, failed) = (AtomicU64::new(0), AtomicU64::new(0));
    let begin = Instant::now();
    thread::scope(|s| {
        for t in 0..THREADS {
            let (served, failed) = (&served, &failed);
            s.spawn(move || {
                let agent: ureq::Agent = ureq::Agent::config_builder().build().into();
                let body = chat_body(false, 4);
                let gap = Duration::from_micros(1_000_000 * THREADS / rate);
                let mut due = begin + gap * t as u32 / THREADS as u32;
                while begin.elapsed() < span {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    due += gap;
                    let count = if send(&agent, url, &body) { served } else { failed };
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    (served.load(Ordering::Relaxed), failed.load(Ordering::Relaxed))
}

/// Plans a fleet whose budget and concurrency limit are never reached.
fn large_plan(routers: usize) -> Plan {
    Plan { routers, tokens: 1_000_000_000, concurrency: 100_000, ..Plan::default() }
}

/// Measures a router's control traffic and CPU time, idle and at 203 requests per second. The CPU time
/// per report comes from the slope over two reporting rates.
fn control_overhead() {
    const SPAN: Duration = Duration::from_secs(20);
    let mut cpu_by_rate = Vec::new();
    for report_ms in [25, 250] {
        let f =
            Fleet::start(Plan { router_extra: format!("tally_ms: {report_ms}"), ..large_plan(1) });
        let pid = f.routers[0].id();
        let url = format!("http://{}/v1/chat/completions", f.router_addresses[0]);
        load(&url, 203, Duration::from_secs(2));
        thread::sleep(Duration::from_secs(2));
        let (cpu_before, bytes_before) = (cpu_seconds(pid), link_bytes(&f));
        thread::sleep(SPAN);
        let idle = (cpu_seconds(pid) - cpu_before, link_bytes(&f) - bytes_before);
        let (cpu_before, bytes_before) = (cpu_seconds(pid), link_bytes(&f));
        let (served, failed) = load(&url, 203, SPAN);
        let busy = (cpu_seconds(pid) - cpu_before, link_bytes(&f) - bytes_before);
        let seconds = SPAN.as_secs_f64();
        print_figure(
            &format!("router at rest, tally {report_ms} ms"),
            format!(
                "{:.2}% of a core, {:.0} control bytes/s",
                idle.0 / seconds * 100.0,
                idle.1 / seconds
            ),
        );
        print_figure(
            &format!("router at 203 requests/s, tally {report_ms} ms"),
            format!(
                "{served} served, {failed} failed, {:.2}% of a core, {:.0} control bytes/s, {} KiB resident",
                busy.0 / seconds * 100.0,
                busy.1 / seconds,
                resident_kib(pid)
            ),
        );
        cpu_by_rate.push((1000.0 / f64::from(report_ms), busy.0 / seconds));
    }
    let slope = (cpu_by_rate[0].1 - cpu_by_rate[1].1) / (cpu_by_rate[0].0 - cpu_by_rate[1].0);
    print_figure(
        "control's processor time at 203 requests/s, 4 tallies/s",
        format!("{:.0} us a tally, {:.2}% of a core", slope * 1e6, slope * 4.0 * 100.0),
    );
}

fn percentile(all: &mut [Duration], p: usize) -> Duration {
    all.sort();
    all[(all.len() - 1) * p / 100]
}

/// Compares the latency of complete streamed requests through a router and directly to the engine.
fn latency() {
    let f = Fleet::start(large_plan(1));
    let through = format!("http://{}/v1/chat/completions", f.router_addresses[0]);
    let direct = format!("http://{}/v1/chat/completions", f.engines[0].1);
    let agent: ureq::Agent = ureq::Agent::config_builder().build().into();
    let body = chat_body(true, 8);
    let mut times = [Vec::new(), Vec::new()];
    for n in 0..2_200 {
        for (url, out) in [&through, &direct].into_iter().zip(&mut times) {
            let begin = Instant::now();
            assert!(send(&agent, url, &body));
            if n >= 200 {
                out.push(begin.elapsed());
            }
        }
    }
    for p in [50, 99] {
        let [t, d] = [0, 1].map(|n| percentile(&mut times[n].clone(), p).as_secs_f64() * 1e6);
        print_figure(
            &format!("streamed request of 8 tokens, percentile {p}"),
            format!("{t:.0} us through the router, {d:.0} us direct, ratio {:.2}", t / d),
        );
    }
}

/// Measures the throughput of one router under saturating load.
fn capacity() {
    let f = Fleet::start(Plan { engines: vec![vec![]; 4], ..large_plan(1) });
    let url = format!("http://{}/v1/chat/completions", f.router_addresses[0]);
    load(&url, 500, Duration::from_secs(2));
    let cpu_before = cpu_seconds(f.routers[0].id());
    let (served, failed) = load(&url, 100_000, Duration::from_secs(10));
    let used = cpu_seconds(f.routers[0].id()) - cpu_before;
    print_figure(
        "most requests of 4 tokens, 16 callers",
        format!(
            "{:.0}/s, {failed} failed, {:.0} a second of processor time",
            served as f64 / 10.0,
            served as f64 / used
        ),
    );
}

/// Measures a router's memory per open stream.
fn stream_memory() {
    let f = Fleet::start(Plan {
        engines: vec![vec!["--token-ms", "60000"]; 4],
        engine_extra: "            slots: 5000",
        ..large_plan(1)
    });
    let pid = f.routers[0].id();
    let before = resident_kib(pid);
    let mut open: Vec<TcpStream> = Vec::new();
    for target in [1_000, 5_000] {
        while open.len() < target {
            let mut s = TcpStream::connect(&f.router_addresses[0]).unwrap();
            let body = chat_body(true, 2);
            let head = format!(
                "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            s.write_all(head.as_bytes()).unwrap();
            open.push(s);
        }
        let end = Instant::now() + Duration::from_secs(30);
        let mut active = 0.0;
        while active < target as f64 && Instant::now() < end {
            active = metric(&f, "cypressfork_active_requests");
            thread::sleep(Duration::from_millis(100));
        }
        let growth = resident_kib(pid) - before;
        print_figure(
            &format!("{target} open streams"),
            format!(
                "{active} active, {:.1} KiB each, {} KiB resident",
                growth as f64 / active,
                resident_kib(pid)
            ),
        );
    }
    open.iter_mut().for_each(|s| {
        let _ = s.set_read_timeout(Some(Duration::from_millis(1)));
        let _ = s.read(&mut [0; 64]);
    });
}

/// Measures the time from an accepted change until all routers apply it.
fn config_propagation() {
    let f = Fleet::start(large_plan(2));
    let mut times = Vec::new();
    for n in 0..40u64 {
        let text = f.example().replace("max_output: 64", &format!("max_output: {}", 65 + n));
        assert!(f.apply("next.yaml", &text).status.success());
        let begin = Instant::now();
        let url = |r: usize| format!("http://{}/readyz", f.ops_addresses[r]);
        for r in 0..2 {
            while support::get_json(&url(r)).unwrap()["configuration"].as_u64().unwrap() < n + 2 {}
        }
        times.push(begin.elapsed());
    }
    print_figure(
        "from the operator's answer to in force at both routers, 40 changes",
        format!("median {:?}, worst {:?}", percentile(&mut times, 50), percentile(&mut times, 100)),
    );
}

/// Returns the number of the control process that is the leader.
fn leader_index(f: &Fleet) -> Option<usize> {
    let out = f.cli(&["status", "--json"]);
    let v: serde_json::Value = serde_json::from_slice(&out.stdout).ok()?;
    let address = v["nodes"].as_array()?.iter().find(|n| n["leader"] == true)?["address"].clone();
    f.control_addresses.iter().position(|a| address == a.as_str())
}

/// Measures the time until a command commits after the leader is killed or frozen.
fn leaderless() {
    for (event, signal) in [("killed", "KILL"), ("frozen", "STOP")] {
        let mut times = Vec::new();
        for _ in 0..5 {
            let f = Fleet::start(Plan { routers: 0, ..large_plan(0) });
            let leader = leader_index(&f).unwrap();
            let others: Vec<_> =
                (0..3).filter(|n| *n != leader).map(|n| f.control_addresses[n].clone()).collect();
            f.controls[leader].signal(signal);
            let begin = Instant::now();
            with_group(&others, async |group| {
                let c = Command::TopUp { op: "t".into(), budget: "club-talk".into(), tokens: 1 };
                group.command(&c, Duration::from_secs(20)).await.unwrap();
            });
            times.push(begin.elapsed());
            if signal == "STOP" {
                f.controls[leader].signal("CONT");
            }
        }
        print_figure(
            &format!("without a leader after it was {event}, 5 times"),
            format!(
                "median {:?}, worst {:?}",
                percentile(&mut times, 50),
                percentile(&mut times, 100)
            ),
        );
    }
}

/// Runs a task with a client of the control group.
fn with_group<F: AsyncFnOnce(GroupClient)>(addresses: &[String], run: F) {
    let key = Key::new(b"0123456789abcdef0123456789abcdef");
    let credentials = Credentials { key, cluster: "test".into(), name: "bench".into() };
    let addresses = addresses.iter().map(|a| a.parse().unwrap()).collect();
    actix_rt::System::new().block_on(run(GroupClient::new(credentials, addresses)));
}

/// Measures the control processes' commits per second, disk use, memory and restart time.
fn commit_log() {
    let mut f = Fleet::start(Plan { routers: 0, ..large_plan(0) });
    let mut done = 0u64;
    for (callers, changes) in [(1, 1_000u64), (16, 9_000), (256, 90_000)] {
        let begin = Instant::now();
        let mut times = Vec::new();
        let addresses = f.control_addresses.clone();
        let first = done;
        with_group(&addresses, async |group| {
            let caller = async |n: u64| {
                let mut times = Vec::new();
                for k in 0..changes / callers {
                    let begin = Instant::now();
                    let c = Command::Claim {
                        holder: cypressfork_core::unit::HolderId(1),
                        seq: 1,
                        id: RequestId::default(),
                        body: [0; 16],
                    };
                    let c = if k % 2 == 0 { c } else { top_up(first + n * 1_000_000 + k) };
                    group.command(&c, Duration::from_secs(20)).await.unwrap();
                    times.push(begin.elapsed());
                }
                times
            };
            times = join_all((0..callers).map(caller)).await.concat();
        });
        done += changes;
        let rate = changes as f64 / begin.elapsed().as_secs_f64();
        print_figure(
            &format!("commits, {callers} callers at once"),
            format!(
                "{rate:.0}/s, median {:?}, percentile 99 {:?}",
                percentile(&mut times, 50),
                percentile(&mut times, 99)
            ),
        );
        measure_restart(&mut f, done);
    }
    many_budgets(&f);
}

fn top_up(n: u64) -> Command {
    Command::TopUp { op: format!("t{n}"), budget: "club-talk".into(), tokens: 1 }
}

/// Restarts all control processes, and prints their disk use, memory and time to a leader.
fn measure_restart(f: &mut Fleet, changes: u64) {
    let disk: u64 = fs::read_dir(f.path("data-0"))
        .unwrap()
        .map(|e| e.unwrap().metadata().unwrap())
        .filter(|m| m.is_file())
        .map(|m| m.len())
        .sum();
    let memory = resident_kib(f.controls[0].id());
    f.controls.iter_mut().for_each(|c| c.kill());
    let begin = Instant::now();
    f.controls = (0..3).map(|n| f.start_control(n)).collect();
    wait_for("a leader", || leader_index(f).is_some());
    print_figure(
        &format!("after {changes} changes"),
        format!(
            "{disk} bytes on disk, {memory} KiB resident, all restarted and led after {:?}",
            begin.elapsed()
        ),
    );
}

/// Measures memory and commit time with 43,000 budgets, the design size.
fn many_budgets(f: &Fleet) {
    let budgets: serde_json::Map<_, _> = (0..100)
        .map(|n| {
            let b = json!({ "client_account": "${account}", "services": ["engine-talk"], "tokens": 1000 });
            (format!("${{account}}-{n}"), b)
        })
        .collect();
    let template: Template = serde_json::from_value(json!({
        "name": "many", "parameters": { "account": { "kind": "name" } },
        "objects": {
            "client_accounts": { "${account}": { "keys": [], "services": ["engine-talk"] } },
            "budgets": budgets,
        },
    }))
    .unwrap();
    let apps = (0..430).map(|n| Application {
        name: format!("a{n}"),
        template: "many".into(),
        values: [("account".to_owned(), json!(format!("a{n}")))].into(),
    });
    let mut items = vec![Item::Template(template)];
    items.extend(apps.map(Item::Application));
    let change = Change { op: "many".into(), base: 1, by: "bench".into(), items };
    let begin = Instant::now();
    with_group(&f.control_addresses, async |group| {
        let a = group.command(&Command::Apply(change), Duration::from_secs(60)).await.unwrap();
        assert!(matches!(a, Answer::Applied(Ok(_))), "{a:?}");
    });
    print_figure(
        "43,000 budgets in one change",
        format!("{:?}, {} KiB resident", begin.elapsed(), resident_kib(f.controls[0].id())),
    );
    let mut each = Duration::ZERO;
    with_group(&f.control_addresses, async |group| {
        // The first commits wait for members that are still applying the large change.
        for n in 0..50 {
            let begin = Instant::now();
            group.command(&top_up(900_000_000 + n), Duration::from_secs(20)).await.unwrap();
            if n >= 10 {
                each += begin.elapsed() / 40;
            }
        }
    });
    print_figure("a commit with 43,000 budgets", format!("{each:?}"));
}
