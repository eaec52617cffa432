//! Starts a small fleet of real processes on loopback for tests.

#![allow(dead_code, missing_docs, unused_imports)]

pub mod control;
pub mod crashing;
pub mod crashing_parts;
pub mod crowds;
pub mod gateways;
mod http;
pub mod limited;
pub mod partitioned;
pub mod refusing;
pub mod scripted;
pub mod silent_links;
pub mod slow_link;
pub mod versions;

use std::fs::{self, File};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub use http::{Answer, Request, get_json, get_text};
use serde_json::Value;
use tempfile::TempDir;

/// The bearer key of the one client account.
pub const KEY: &str = "cf-test-key";

/// Maximum time that a test waits for an event before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const DATA_CENTRES: [&str; 3] = ["tamar-a", "tamar-b", "esk-c"];

/// Returns the path of the program `name`; any other name means the command line.
pub fn program(name: &str) -> &'static str {
    match name {
        "control" => env!("CARGO_BIN_EXE_cypressfork-control"),
        "router" => env!("CARGO_BIN_EXE_cypressfork-router"),
        "fakes" => env!("CARGO_BIN_EXE_cypressfork-fakes"),
        "gateway" => env!("CARGO_BIN_EXE_cypressfork-gateway"),
        _ => env!("CARGO_BIN_EXE_cypressfork"),
    }
}

/// A child process that is killed when this value is dropped.
pub struct Process {
    pub name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts `program` and appends its output to the file `name`.log in `dir`.
    pub fn start(dir: &Path, name: &str, program: &str, args: &[&str]) -> Process {
        let log = dir.join(format!("{name}.log"));
        let out = File::options().create(true).append(true).open(&log).unwrap();
        let err = out.try_clone().unwrap();
        let child = Command::new(program).args(args).stdout(out).stderr(err).spawn().unwrap();
        Process { name: name.to_owned(), child, log }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with `SIGKILL`.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends the signal `name`, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let status =
            Command::new("kill").args([&format!("-{name}"), &self.id().to_string()]).status();
        assert!(status.unwrap().success());
    }

    /// Waits for the process to exit and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let mut code = None;
        wait_for("the process to exit", || match self.child.try_wait().unwrap() {
            Some(status) => {
                code = status.code();
                true
            }
            None => false,
        });
        code
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Returns the output so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = self.log();
            let lines: Vec<_> = log.lines().rev().take(12).collect();
            for l in lines.iter().rev() {
                eprintln!("[{}] {l}", self.name);
            }
        }
    }
}

/// Polls `done` until it returns true. Panics after [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        sleep(Duration::from_millis(10));
    }
}

/// Lowest port used by tests; lower ones are left to services of the host.
const MIN_PORT: u16 = 10_000;

/// Returns a loopback IP that no other fleet uses at the same time, so that a port found free on it
/// stays free until this fleet binds it.
pub fn own_ip() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let (pid, n) = (std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    format!("127.{}.{}.{}", 1 + pid / 250 % 250, 1 + pid % 250, 1 + n % 250)
}

/// Returns whether nothing listens on a port. Probes with a connection: a listening socket would stay
/// open, after it is closed here, in a process that another thread is starting.
fn is_free(ip: &str, port: u16) -> bool {
    TcpStream::connect((ip, port)).is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
}

/// Returns `n` free addresses on `ip`. Their ports are below the ephemeral range, so that an
/// outgoing connection cannot take a port before the fleet binds it.
pub fn free_addresses(ip: &str, n: usize) -> Vec<String> {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let first_ephemeral: u16 = range.split_whitespace().next().unwrap().parse().unwrap();
    let ports = (MIN_PORT..first_ephemeral).filter(|p| is_free(ip, *p));
    static ALLOCATED: AtomicU32 = AtomicU32::new(0);
    let from = ALLOCATED.fetch_add(n as u32, Ordering::Relaxed) as usize;
    let found: Vec<_> = ports.skip(from).take(n).map(|p| format!("{ip}:{p}")).collect();
    assert_eq!(found.len(), n, "too few free ports");
    found
}

/// The processes and settings of a fleet.
#[derive(Clone)]
pub struct Plan {
    pub controls: usize,
    pub routers: usize,
    /// Arguments of each engine.
    pub engines: Vec<Vec<&'static str>>,
    /// Arguments of each replica of the plain service.
    pub boards: Vec<Vec<&'static str>>,
    /// Tokens of the budget.
    pub tokens: u64,
    /// Concurrent requests of the client account per router.
    pub concurrency: u32,
    /// Additional lines of each control process's settings.
    pub control_extra: &'static str,
    /// Largest body that routers accept, in bytes.
    pub body_cap: u64,
    /// Additional lines of each router's settings; `DIR` is replaced by the fleet's folder.
    pub router_extra: String,
    /// Additional lines of the engines' service in the template.
    pub engine_extra: &'static str,
    /// Additional lines of the budget in the template.
    pub budget_extra: &'static str,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            controls: 3,
            routers: 2,
            engines: vec![vec![]],
            boards: vec![vec![]],
            tokens: 100_000,
            concurrency: 200,
            control_extra: "",
            body_cap: 65_536,
            router_extra: String::new(),
            engine_extra: "",
            budget_extra: "",
        }
    }
}

/// The running processes of a fleet with their addresses.
pub struct Fleet {
    pub dir: TempDir,
    pub plan: Plan,
    pub controls: Vec<Process>,
    pub control_addresses: Vec<String>,
    pub routers: Vec<Process>,
    pub router_addresses: Vec<String>,
    pub ops_addresses: Vec<String>,
    pub engines: Vec<(Process, String)>,
    pub boards: Vec<(Process, String)>,
}

/// Starts a fake upstream and returns it with its address.
fn start_fake(dir: &Path, name: &str, kind: &str, args: &[&str]) -> (Process, String) {
    let mut all = vec![kind];
    all.extend(args);
    let p = Process::start(dir, name, program("fakes"), &all);
    let mut address = String::new();
    wait_for("the address of a fake", || {
        let log = p.log();
        let found = log.lines().find_map(|l| l.strip_prefix("listening "));
        address = found.unwrap_or_default().to_owned();
        !address.is_empty()
    });
    (p, address)
}

impl Fleet {
    /// Starts all processes, applies the configuration and waits until the routers have it.
    pub fn start(plan: Plan) -> Fleet {
        let f = Fleet::start_bare(plan);
        f.apply_example();
        for n in 0..f.routers.len() {
            f.wait_until_ready(n, 1);
        }
        f
    }

    /// Starts all processes without applying a configuration.
    pub fn start_bare(plan: Plan) -> Fleet {
        let dir = tempfile::tempdir().unwrap();
        let key = dir.path().join("cluster.key");
        fs::write(&key, "0123456789abcdef0123456789abcdef").unwrap();
        fs::set_permissions(&key, fs::Permissions::from_mode(0o600)).unwrap();
        let free = free_addresses(&own_ip(), plan.controls + plan.routers * 2);
        let (control_addresses, free) = free.split_at(plan.controls);
        let (router_addresses, ops_addresses) = free.split_at(plan.routers);
        let mut f = Fleet {
            controls: Vec::new(),
            control_addresses: control_addresses.to_vec(),
            routers: Vec::new(),
            router_addresses: router_addresses.to_vec(),
            ops_addresses: ops_addresses.to_vec(),
            engines: Vec::new(),
            boards: Vec::new(),
            plan,
            dir,
        };
        f.start_fakes();
        for n in 0..f.plan.controls {
            fs::create_dir(f.path(&format!("data-{n}"))).unwrap();
            f.write_control_settings(n);
            let p = f.start_control(n);
            f.controls.push(p);
        }
        f.write_operator_settings();
        f.init();
        for n in 0..f.plan.routers {
            f.write_router_settings(n);
            let p = f.start_router(n);
            f.routers.push(p);
        }
        f
    }

    fn start_fakes(&mut self) {
        for (n, args) in self.plan.engines.clone().iter().enumerate() {
            let e = start_fake(self.dir.path(), &format!("engine-{n}"), "engine", args);
            self.engines.push(e);
        }
        for (n, args) in self.plan.boards.clone().iter().enumerate() {
            let b = start_fake(self.dir.path(), &format!("board-{n}"), "plain", args);
            self.boards.push(b);
        }
    }

    /// Returns the path of a file in the fleet's folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Returns the `common` settings of the `n`th process of its kind.
    fn common_settings(&self, vm: &str, n: usize) -> String {
        let control = serde_json::to_string(&self.control_addresses).unwrap();
        format!(
            "common:\n  cluster: test\n  region: tas-north\n  data_centre: {}\n  vm: {vm}\n  key_file: {}\n  control: {control}\n  log_level: debug\n",
            DATA_CENTRES[n % 3],
            self.path("cluster.key").display(),
        )
    }

    pub fn write_control_settings(&self, n: usize) {
        let text = format!(
            "{}listen: \"{}\"\ndata_folder: {}\n{}",
            self.common_settings(&format!("control-{n}"), n),
            self.control_addresses[n],
            self.path(&format!("data-{n}")).display(),
            self.plan.control_extra,
        );
        fs::write(self.path(&format!("control-{n}.yaml")), text).unwrap();
    }

    fn write_router_settings(&self, n: usize) {
        let text = format!(
            "{}listen: \"{}\"\noperators: \"{}\"\nreserve: \"{}\"\nentry_keep_s: 1\nbody_cap: {}\n{}\n",
            self.common_settings(&format!("entry-{n}"), n),
            self.router_addresses[n],
            self.ops_addresses[n],
            self.control_addresses[n % self.control_addresses.len()],
            self.plan.body_cap,
            self.plan.router_extra.replace("DIR", self.dir.path().to_str().unwrap()),
        );
        fs::write(self.path(&format!("router-{n}.yaml")), text).unwrap();
    }

    fn write_operator_settings(&self) {
        let control = serde_json::to_string(&self.control_addresses).unwrap();
        let text = format!(
            "cluster: test\nkey_file: {}\ncontrol: {control}\noperator: tester\n",
            self.path("cluster.key").display(),
        );
        fs::write(self.path("cypressfork.yaml"), text).unwrap();
    }

    pub fn start_control(&self, n: usize) -> Process {
        let settings = self.path(&format!("control-{n}.yaml"));
        let args = ["--settings", settings.to_str().unwrap()];
        Process::start(self.dir.path(), &format!("control-{n}"), program("control"), &args)
    }

    pub fn start_router(&self, n: usize) -> Process {
        let settings = self.path(&format!("router-{n}.yaml"));
        let args = ["--settings", settings.to_str().unwrap()];
        Process::start(self.dir.path(), &format!("router-{n}"), program("router"), &args)
    }

    fn init(&self) {
        let mut args = vec!["init"];
        args.extend(self.control_addresses.iter().map(String::as_str));
        let out = self.cli(&args);
        assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    }

    /// Runs the operator's command line and returns its output.
    pub fn cli(&self, args: &[&str]) -> Output {
        let settings = self.path("cypressfork.yaml");
        Command::new(program("cypressfork"))
            .args(args)
            .args(["--settings", settings.to_str().unwrap()])
            .output()
            .unwrap()
    }

    /// Runs a subcommand, asserts that it succeeds and returns its JSON output.
    pub fn json(&self, args: &[&str]) -> Value {
        let mut all = args.to_vec();
        all.push("--json");
        let out = self.cli(&all);
        let err = String::from_utf8_lossy(&out.stderr);
        assert!(out.status.success(), "{args:?}: {err}");
        serde_json::from_slice(&out.stdout).unwrap()
    }

    /// Returns the example configuration: one client account, one budget and two services.
    pub fn example(&self) -> String {
        let list = |all: &[(Process, String)], name: &str| {
            let upstream = |(n, (_, a)): (usize, &(Process, String))| {
                format!(
                    "{{ vm: {{ name: {name}-{n}, data_centre: {} }}, address: \"{a}\" }}",
                    DATA_CENTRES[n % 3]
                )
            };
            all.iter().enumerate().map(upstream).collect::<Vec<_>>().join(", ")
        };
        format!(
            r#"
templates:
  - name: fleet
    objects:
      services:
        engine-talk:
          model:
            models: [go-7b]
            max_output: 64
            upstreams: [{}]
{}
        board-live:
          plain:
            prefix: /board-live/
            upstreams: [{}]
  - name: club
    parameters:
      account: {{ kind: name }}
      tokens: {{ kind: number, min: 1 }}
      closed: {{ kind: flag, default: false }}
    objects:
      client_accounts:
        "${{account}}":
          keys: ["{}"]
          services: [engine-talk, board-live]
          closed: "${{closed}}"
          concurrency: {}
      budgets:
        "${{account}}-talk":
          client_account: "${{account}}"
          services: [engine-talk]
          tokens: "${{tokens}}"
{}
applications:
  - {{ name: fleet, template: fleet }}
  - {{ name: club, template: club, values: {{ account: club, tokens: {} }} }}
"#,
            list(&self.engines, "engine"),
            self.plan.engine_extra,
            list(&self.boards, "board"),
            key_digest(),
            self.plan.concurrency,
            self.plan.budget_extra,
            self.plan.tokens,
        )
    }

    /// Writes `text` to the file `name` and applies it with the command line.
    pub fn apply(&self, name: &str, text: &str) -> Output {
        let path = self.path(name);
        fs::write(&path, text).unwrap();
        self.cli(&["apply", path.to_str().unwrap()])
    }

    fn apply_example(&self) {
        let out = self.apply("example.yaml", &self.example());
        assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    }

    /// Waits until router `n` is ready with at least this configuration version.
    pub fn wait_until_ready(&self, n: usize, version: u64) {
        let url = format!("http://{}/readyz", self.ops_addresses[n]);
        wait_for("a router to load the configuration", || {
            get_json(&url).is_some_and(|v| {
                v["ready"] == true && v["configuration"].as_u64().unwrap_or(0) >= version
            })
        });
    }

    /// Returns the state of the example's budget.
    pub fn budget(&self) -> Value {
        self.json(&["budgets", "club-talk"])[0].clone()
    }

    /// Waits until the budget shows exactly `tokens` as spent.
    pub fn wait_until_spent(&self, tokens: u64) {
        let mut last = Value::Null;
        wait_for("the expected spend", || {
            last = self.budget();
            last["spent"] == tokens
        });
        assert_eq!(last["spent"], tokens);
    }

    /// Returns the statistics of engine `n`.
    pub fn engine_stats(&self, n: usize) -> Value {
        get_json(&format!("http://{}/stats", self.engines[n].1)).unwrap()
    }

    /// Returns the runs that replica `n` of the plain service reports.
    pub fn board_runs(&self, n: usize) -> Value {
        get_json(&format!("http://{}/stats", self.boards[n].1)).unwrap()["runs"].clone()
    }

    /// Returns a model request to router `n`.
    pub fn chat(&self, n: usize) -> Request {
        Request::new(&self.router_addresses[n], "/v1/chat/completions")
    }

    /// Returns a request to the plain service through router `n`.
    pub fn call(&self, n: usize) -> Request {
        Request::new(&self.router_addresses[n], "/board-live/moves")
    }
}

/// Returns the SHA-256 digest of [`KEY`] in hex, computed by `sha256sum` as the user documentation shows.
pub fn key_digest() -> String {
    let mut child =
        Command::new("sha256sum").stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
    use std::io::Write;
    child.stdin.take().unwrap().write_all(KEY.as_bytes()).unwrap();
    let out = child.wait_with_output().unwrap();
    String::from_utf8(out.stdout).unwrap()[..64].to_owned()
}

/// Returns the body of a model request.
pub fn chat_body(stream: bool, max_tokens: u64) -> String {
    format!(
        r#"{{"model":"go-7b","stream":{stream},"max_tokens":{max_tokens},"messages":[{{"role":"user","content":"annotate this game"}}]}}"#
    )
}
