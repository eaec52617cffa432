//! The real programs as processes: their settings, and signals to them.

use std::cell::{Cell, RefCell};
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::error::{Error, io};
use crate::plan::Size;
use crate::proxy::Net;

/// Where the programs are.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `cypressfork-control`.
    pub control: PathBuf,
    /// `cypressfork-gateway`.
    pub gateway: PathBuf,
}

impl Programs {
    /// The programs in one folder.
    pub fn in_folder(dir: &Path) -> Programs {
        Programs {
            control: dir.join("cypressfork-control"),
            gateway: dir.join("cypressfork-gateway"),
        }
    }
}

/// The first port of a process; all of a run have an IP of its own, so that no other takes them.
const FIRST_PORT: u16 = 20_000;

/// Voters that a group should have: fewer than the control processes of most fleets, so that members
/// that are away are removed.
const VOTERS: u64 = 3;

/// How often it is looked whether a process has ended.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// A planned stop that takes longer is ended by a kill.
const STOP_AT_MOST: Duration = Duration::from_secs(15);

/// Seconds that a planned stop of a gateway may take, and of it those in which callers are served.
pub const STOP_WITHIN_S: u64 = 8;
const STOP_SERVE_S: u64 = 3;

/// The fleet's retries besides their ratio.
pub const RETRY_EXTRA: u64 = 10;

/// One process of the fleet, started again and again.
pub struct Process {
    /// Its name.
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// Something is being done to it.
    pub busy: Cell<bool>,
}

impl Process {
    /// Starts it.
    pub fn start(&self) -> Result<(), Error> {
        let log = File::options().create(true).append(true).open(&self.log);
        let out = log.map_err(io("open a log"))?;
        let err = out.try_clone().map_err(io("open a log"))?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(io(format!("start {}", self.program.display())))?;
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Kills it.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            // It may have ended by itself, which is what is wanted.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends it a signal by its name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &*self.child.borrow() {
            let id = child.id().to_string();
            // One that has ended is noticed by itself.
            let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
        }
    }

    /// Whether it has ended though nobody asked it to.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let ended = child.as_mut().and_then(|c| c.try_wait().ok().flatten()).is_some();
        if ended {
            *child = None;
        }
        ended
    }

    /// Asks it to stop, and waits until it has.
    pub async fn stop(&self) {
        self.signal("TERM");
        let until = Instant::now() + STOP_AT_MOST;
        while !self.has_ended() && Instant::now() < until {
            sleep(LOOK_EVERY).await;
        }
        self.kill();
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
    /// Where it takes calls over HTTP.
    pub api: SocketAddr,
    /// Where it listens for links, behind its proxy.
    pub link: SocketAddr,
    data: PathBuf,
}

/// A gateway and its addresses.
pub struct Gateway {
    /// The process.
    pub process: Process,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it tells operators of itself.
    pub operators: SocketAddr,
    /// Where it listens for links, behind its proxy.
    pub link: SocketAddr,
}

/// The processes of one run.
pub struct Fleet {
    /// The control processes.
    pub controls: Vec<Control>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// The links between them.
    pub net: Rc<Net>,
    seeds: Vec<SocketAddr>,
    dir: PathBuf,
}

/// The addresses of one process: where it listens for links, the proxy before that, and two more.
struct Place {
    link: SocketAddr,
    proxy: SocketAddr,
    first: SocketAddr,
    second: SocketAddr,
}

impl Fleet {
    /// Writes the settings of all processes into `dir` and starts the proxies before them.
    pub async fn lay_out(
        seed: u64,
        size: &Size,
        programs: &Programs,
        dir: &Path,
    ) -> Result<Fleet, Error> {
        let all = places(seed, size.controls + size.gateways);
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
            let c = fleet.control(name, p, programs)?;
            fleet.controls.push(c);
        }
        for (n, p) in gateways.iter().enumerate() {
            let name = format!("gateway-{n}");
            fleet.open_proxy(&name, p).await?;
            let g = fleet.gateway(name, p, programs)?;
            fleet.gateways.push(g);
        }
        Ok(fleet)
    }

    async fn open_proxy(&self, name: &str, p: &Place) -> Result<(), Error> {
        let listener =
            TcpListener::bind(p.proxy).await.map_err(io(format!("listen at {}", p.proxy)))?;
        actix_rt::spawn(self.net.clone().serve(listener, name.to_owned(), p.link));
        Ok(())
    }

    fn common(&self, name: &str) -> String {
        let seeds: Vec<_> = self.seeds.iter().map(SocketAddr::to_string).collect();
        format!(
            "common:\n  cluster: soak\n  region: tas-north\n  data_centre: tamar-a\n  vm: {name}\n  open_links: true\n  log_form: json\n  control: {seeds:?}\n"
        )
    }

    fn process(&self, name: &str, program: &Path, settings: &str) -> Result<Process, Error> {
        let file = self.dir.join(format!("{name}.yaml"));
        fs::write(&file, settings).map_err(io("write settings"))?;
        Ok(Process {
            name: name.to_owned(),
            program: program.to_owned(),
            settings: file,
            log: self.dir.join(format!("{name}.log")),
            child: RefCell::new(None),
            busy: Cell::new(false),
        })
    }

    fn control(&self, name: String, p: &Place, programs: &Programs) -> Result<Control, Error> {
        let data = self.dir.join(format!("{name}-data"));
        fs::create_dir_all(&data).map_err(io("make a data folder"))?;
        let process =
            self.process(&name, &programs.control, &self.control_settings(&name, p, true))?;
        Ok(Control { process, api: p.first, link: p.link, data })
    }

    fn control_settings(&self, name: &str, p: &Place, found: bool) -> String {
        format!(
            "{}listen: \"{}\"\nadvertise: \"{}\"\ndata_folder: {}\nreserve: false\nsnapshot_every: 200\nfleet:\n  listen: \"{}\"\n  entry: \"{}\"\n  found: {found}\n  voters: {VOTERS}\n",
            self.common(name),
            p.link,
            p.proxy,
            self.dir.join(format!("{name}-data")).display(),
            p.first,
            p.first,
        )
    }

    fn gateway(&self, name: String, p: &Place, programs: &Programs) -> Result<Gateway, Error> {
        let settings = format!(
            "{}listen: \"{}\"\nlink: \"{}\"\nlink_advertise: \"{}\"\noperators: \"{}\"\nretry_extra: {RETRY_EXTRA}\nstop_within_s: {STOP_WITHIN_S}\nstop_serve_s: {STOP_SERVE_S}\n",
            self.common(&name),
            p.first,
            p.link,
            p.proxy,
            p.second,
        );
        let process = self.process(&name, &programs.gateway, &settings)?;
        Ok(Gateway { process, callers: p.first, operators: p.second, link: p.link })
    }

    /// Where the control processes are reached by links.
    pub fn links(&self) -> Vec<SocketAddr> {
        self.seeds.clone()
    }

    /// All processes.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        let controls = self.controls.iter().map(|c| &c.process);
        controls.chain(self.gateways.iter().map(|g| &g.process))
    }

    /// No control process founds a group any more when it is started again.
    pub fn founded(&self) -> Result<(), Error> {
        for c in &self.controls {
            let file = &c.process.settings;
            let text = fs::read_to_string(file).map_err(io("read settings"))?;
            let text = text.replace("found: true", "found: false");
            fs::write(file, text).map_err(io("write settings"))?;
        }
        Ok(())
    }

    /// Empties the disk of a control process that does not run.
    pub fn empty_disk(&self, n: usize) -> Result<(), Error> {
        let data = &self.controls[n].data;
        fs::remove_dir_all(data).map_err(io("empty a data folder"))?;
        fs::create_dir_all(data).map_err(io("make a data folder"))
    }
}

/// Addresses at an IP that no other run uses at the same time.
fn places(seed: u64, n: usize) -> Vec<Place> {
    let pid = std::process::id();
    let ip = [127, 100 + (pid % 100) as u8, (seed / 250 % 250) as u8, 1 + (seed % 250) as u8];
    let at = |n: usize, k: u16| SocketAddr::from((ip, FIRST_PORT + 4 * n as u16 + k));
    let place = |n| Place { link: at(n, 0), proxy: at(n, 1), first: at(n, 2), second: at(n, 3) };
    (0..n).map(place).collect()
}
