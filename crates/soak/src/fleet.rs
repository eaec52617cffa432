//! The processes of the fleet: their settings files, starts, stops and signals.

use std::cell::{Cell, RefCell};
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::error::{Error, io};
use crate::plan::Size;
use crate::proxy::Net;

/// Paths of the programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `cypressfork-control`.
    pub control: PathBuf,
    /// `cypressfork-gateway`.
    pub gateway: PathBuf,
}

impl Programs {
    /// Returns the paths of both programs in the folder `dir`.
    pub fn in_folder(dir: &Path) -> Programs {
        Programs {
            control: dir.join("cypressfork-control"),
            gateway: dir.join("cypressfork-gateway"),
        }
    }
}

/// The first port of a run's processes. Each run has its own loopback IP, so its ports do not collide with
/// those of other runs.
const FIRST_PORT: u16 = 20_000;

/// Target number of voters: fewer than the control processes of larger fleets, so that the group replaces
/// unreachable members.
const VOTERS: u64 = 3;

/// Interval between two checks for the exit of a process that is stopping.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a planned stop is ended by a kill.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum duration of a planned stop of a gateway, in seconds.
pub const STOP_WITHIN_S: u64 = 8;

/// Memory of a gateway's machine, in MiB.
const GATEWAY_MEMORY_MB: u64 = 88;

/// Memory of a control process's machine, in MiB.
pub const CONTROL_MEMORY_MB: u64 = 256;

/// The part of a planned stop in which a gateway still serves requests, in seconds.
pub const STOP_SERVE_S: u64 = 3;

/// Number of retries that the fleet may make in addition to the retry ratio.
pub const RETRY_EXTRA: u64 = 10;

/// A process of the fleet, which can be started several times.
pub struct Process {
    /// The name, such as `gateway-0`.
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    started: Cell<Option<Instant>>,
    /// Whether a fault or planned stop is in progress for this process. No other one is applied meanwhile.
    pub busy: Cell<bool>,
}

impl Process {
    /// Starts the process with its output appended to its log file. Fails if the log cannot be opened or the
    /// program cannot be started.
    pub fn start(&self) -> Result<(), Error> {
        let log = File::options().create(true).append(true).open(&self.log);
        let out = log.map_err(io("open the log of a process"))?;
        let err = out.try_clone().map_err(io("open the log of a process"))?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(io(format!("start {}", self.program.display())))?;
        *self.child.borrow_mut() = Some(child);
        self.started.set(Some(Instant::now()));
        Ok(())
    }

    /// Kills the process, if it runs, and waits for its exit.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            // Errors are ignored, as the process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the memory that the process uses, in bytes, or `None` if it does not run.
    pub fn memory(&self) -> Option<u64> {
        let id = self.child.borrow().as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let kib: u64 = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))?
            .trim()
            .strip_suffix(" kB")?
            .parse()
            .ok()?;
        Some(kib * 1024)
    }

    /// Sends the process the signal `name`, such as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &*self.child.borrow() {
            let id = child.id().to_string();
            // Errors are ignored, as `has_ended` detects a process that exited.
            let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
        }
    }

    /// Returns whether the process has exited since it was last started or checked, and reaps it if so.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let ended = child.as_mut().and_then(|c| c.try_wait().ok().flatten()).is_some();
        if ended {
            *child = None;
        }
        ended
    }

    /// Returns the time since the start, or `None` if the process does not run.
    pub fn uptime(&self) -> Option<Duration> {
        self.child.borrow().as_ref().and(self.started.get()).map(|at| at.elapsed())
    }

    /// Waits for the exit of a process that is stopping, for a limited time.
    pub async fn wait_for_exit(&self) {
        let until = Instant::now() + STOP_TIMEOUT;
        while !self.has_ended() && Instant::now() < until {
            sleep(EXIT_POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A control process and its addresses.
pub struct Control {
    /// The process.
    pub process: Process,
    /// The address of its HTTP API.
    pub api: SocketAddr,
    /// Where it listens for links. Other processes connect to the proxy in front of it.
    pub link: SocketAddr,
    data: PathBuf,
}

/// A gateway and its addresses.
pub struct Gateway {
    /// The process.
    pub process: Process,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it serves its state to operators.
    pub operators: SocketAddr,
    /// Where it listens for links. Other processes connect to the proxy in front of it.
    pub link: SocketAddr,
}

/// The processes of one run.
pub struct Fleet {
    /// The control processes.
    pub controls: Vec<Control>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// The proxied links between them.
    pub net: Rc<Net>,
    seeds: Vec<SocketAddr>,
    dir: PathBuf,
}

/// The addresses of one process.
struct Addresses {
    /// Where the process listens for links.
    link: SocketAddr,
    /// Where the proxy in front of `link` listens.
    proxy: SocketAddr,
    /// The HTTP API of a control process, or where a gateway listens for callers.
    http: SocketAddr,
    /// Where a gateway serves operators. Control processes do not use it.
    operators: SocketAddr,
}

impl Fleet {
    /// Writes the settings of all processes into `dir`, with `caller_buffer_mb` for the gateways, and starts the
    /// proxies in front of their links. Starts no process. Fails if a file cannot be written or a proxy cannot listen.
    pub async fn prepare(
        seed: u64,
        size: &Size,
        caller_buffer_mb: Option<u64>,
        programs: &Programs,
        dir: &Path,
    ) -> Result<Fleet, Error> {
        let all = allocate_addresses(seed, size.controls + size.gateways);
        let (controls, gateways) = all.split_at(size.controls);
        let seeds: Vec<_> = controls.iter().take(3).map(|p| p.proxy).collect();
        let mut fleet = Fleet {
            controls: Vec::new(),
            gateways: Vec::new(),
            net: Rc::default(),
            seeds,
            dir: dir.to_owned(),
        };
        for (n, p) in controls.iter().enumerate() {
            let name = format!("control-{n}");
            fleet.open_proxy(&name, p).await?;
            let c = fleet.new_control(name, p, programs)?;
            fleet.controls.push(c);
        }
        for (n, p) in gateways.iter().enumerate() {
            let name = format!("gateway-{n}");
            fleet.open_proxy(&name, p).await?;
            let g = fleet.new_gateway(name, p, caller_buffer_mb, programs)?;
            fleet.gateways.push(g);
        }
        Ok(fleet)
    }

    async fn open_proxy(&self, name: &str, p: &Addresses) -> Result<(), Error> {
        let listener =
            TcpListener::bind(p.proxy).await.map_err(io(format!("listen at {}", p.proxy)))?;
        actix_rt::spawn(self.net.clone().serve(listener, name.to_owned(), p.link));
        Ok(())
    }

    fn common_settings(&self, name: &str) -> String {
        let seeds: Vec<_> = self.seeds.iter().map(SocketAddr::to_string).collect();
        format!(
            "common:\n  cluster: soak\n  region: tas-north\n  data_centre: tamar-a\n  vm: {name}\n  open_links: true\n  log_form: json\n  control: {seeds:?}\n"
        )
    }

    fn new_process(&self, name: &str, program: &Path, settings: &str) -> Result<Process, Error> {
        let file = self.dir.join(format!("{name}.yaml"));
        fs::write(&file, settings).map_err(io("write settings"))?;
        Ok(Process {
            name: name.to_owned(),
            program: program.to_owned(),
            settings: file,
            log: self.dir.join(format!("{name}.log")),
            child: RefCell::new(None),
            started: Cell::new(None),
            busy: Cell::new(false),
        })
    }

    fn new_control(
        &self,
        name: String,
        p: &Addresses,
        programs: &Programs,
    ) -> Result<Control, Error> {
        let data = self.dir.join(format!("{name}-data"));
        fs::create_dir_all(&data).map_err(io("create a data folder"))?;
        let process =
            self.new_process(&name, &programs.control, &self.control_settings(&name, p, true))?;
        Ok(Control { process, api: p.http, link: p.link, data })
    }

    fn control_settings(&self, name: &str, p: &Addresses, found: bool) -> String {
        format!(
            "{}listen: \"{}\"\nadvertise: \"{}\"\ndata_folder: {}\nreserve: false\nmemory_mb: {CONTROL_MEMORY_MB}\nsnapshot_every: 200\nfleet:\n  listen: \"{}\"\n  entry: \"{}\"\n  shared_address: true\n  found: {found}\n  voters: {VOTERS}\n",
            self.common_settings(name),
            p.link,
            p.proxy,
            self.dir.join(format!("{name}-data")).display(),
            p.http,
            p.http,
        )
    }

    fn new_gateway(
        &self,
        name: String,
        p: &Addresses,
        caller_buffer_mb: Option<u64>,
        programs: &Programs,
    ) -> Result<Gateway, Error> {
        let caller_buffer =
            caller_buffer_mb.map_or(String::new(), |n| format!("caller_buffer_mb: {n}\n"));
        let settings = format!(
            "{}{caller_buffer}memory_mb: {GATEWAY_MEMORY_MB}\nreplica_source: {}\nlisten: \"{}\"\nlink: \"{}\"\nlink_advertise: \"{}\"\noperators: \"{}\"\nretry_extra: {RETRY_EXTRA}\nstop_within_s: {STOP_WITHIN_S}\nstop_serve_s: {STOP_SERVE_S}\n",
            self.common_settings(&name),
            gateway_source(self.gateways.len()),
            p.http,
            p.link,
            p.proxy,
            p.operators,
        );
        let process = self.new_process(&name, &programs.gateway, &settings)?;
        Ok(Gateway { process, callers: p.http, operators: p.operators, link: p.link })
    }

    /// Returns the proxied link addresses of the seed control processes.
    pub fn seed_links(&self) -> Vec<SocketAddr> {
        self.seeds.clone()
    }

    /// Returns all processes, control processes first.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        let controls = self.controls.iter().map(|c| &c.process);
        controls.chain(self.gateways.iter().map(|g| &g.process))
    }

    /// Rewrites the settings of the control processes so that a restart does not found a second group.
    pub fn disable_founding(&self) -> Result<(), Error> {
        for c in &self.controls {
            let file = &c.process.settings;
            let text = fs::read_to_string(file).map_err(io("read settings"))?;
            let text = text.replace("found: true", "found: false");
            fs::write(file, text).map_err(io("write settings"))?;
        }
        Ok(())
    }

    /// Deletes the contents of the data folder of control process `n`, which must not be running.
    pub fn empty_disk(&self, n: usize) -> Result<(), Error> {
        let data = &self.controls[n].data;
        fs::remove_dir_all(data).map_err(io("empty a data folder"))?;
        fs::create_dir_all(data).map_err(io("create a data folder"))
    }
}

/// Returns the local address of the connections that a gateway opens to replicas.
pub fn gateway_source(gateway: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 250, 0, 1 + gateway as u8)
}

/// Returns the addresses of `n` processes at a loopback IP derived from the process id and the seed, so that
/// concurrent runs use different IPs.
fn allocate_addresses(seed: u64, n: usize) -> Vec<Addresses> {
    let pid = std::process::id();
    let ip = [127, 100 + (pid % 100) as u8, (seed / 250 % 250) as u8, 1 + (seed % 250) as u8];
    let at = |n: usize, k: u16| SocketAddr::from((ip, FIRST_PORT + 4 * n as u16 + k));
    let addresses =
        |n| Addresses { link: at(n, 0), proxy: at(n, 1), http: at(n, 2), operators: at(n, 3) };
    (0..n).map(addresses).collect()
}
