//! Starts control processes and gateways on loopback, and a replica that speaks the native protocol.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::thread;

use serde_json::{Value, json};
use tempfile::TempDir;

use super::silent_links::SilentLinks;
use super::{Process, free_addresses, own_ip, program, wait_for};

/// Host name of the route in the document.
pub const HOST: &str = "club.example";

/// Headers that a caller of the account sends.
pub const CALLER_HEADERS: &str = "X-Request-Id: r-1\r\nAuthorization: Bearer club-key\r\n";

/// Returns `n` free addresses on `ip`, which must belong to this test alone.
pub fn free_socket_addrs(ip: &str, n: usize) -> Vec<SocketAddr> {
    free_addresses(ip, n).iter().map(|a| a.parse().unwrap()).collect()
}

/// A control process with its addresses.
pub struct Control {
    /// Address on which it listens for links.
    pub listen: SocketAddr,
    /// Address under which other processes reach it, which may be that of a proxy.
    pub link: SocketAddr,
    pub api: SocketAddr,
    /// Address at which callers ask for gateways.
    pub entry: SocketAddr,
    pub metrics: SocketAddr,
    pub process: Option<Process>,
}

/// A gateway in addition to the fleet's first one.
pub struct ExtraGateway {
    /// Address for requests of callers.
    pub listen: SocketAddr,
    /// Address for other gateways.
    pub link: SocketAddr,
    pub operators: SocketAddr,
    pub process: Process,
}

impl ExtraGateway {
    pub fn is_home(&self) -> bool {
        is_home(self.operators)
    }

    /// Sends a request for `tokens` tokens and returns the status and the result code.
    pub fn spend(&self, id: usize, tokens: u64) -> Option<(u16, String)> {
        let extra_headers = format!(
            "X-Request-Id: r-{id}\r\nAuthorization: Bearer club-key\r\nX-Tokens: {tokens},0\r\n"
        );
        let (status, v) = exchange(self.listen, "GET", "/board/x", &extra_headers, "")?;
        Some((status, v["error"]["code"].as_str().unwrap_or_default().to_owned()))
    }
}

/// Result code of a temporary refusal: no tokens are available now, the request has not run.
pub const TEMPORARY_REFUSAL: &str = "CF1203";

impl ExtraGateway {
    /// Like [`ExtraGateway::spend`], but retries while the refusal is temporary. While the control process
    /// waits for its disk, a home gateway can neither get more tokens nor learn that there are none.
    pub fn spend_with_retry(&self, id: usize, tokens: u64) -> (u16, String) {
        let mut last = None;
        wait_for("a final response", || {
            last = self.spend(id, tokens);
            last.as_ref()
                .is_some_and(|(status, code)| (*status, code.as_str()) != (503, TEMPORARY_REFUSAL))
        });
        last.expect("a response arrived")
    }
}

/// Returns whether a gateway holds slices of a budget, that is, has sent reports on some.
pub fn is_home(operators: SocketAddr) -> bool {
    metric_value(operators, "cypressfork_report_seconds_count").is_some_and(|n| n > 0.0)
}

/// Control processes and one gateway.
pub struct Fleet {
    pub controls: Vec<Control>,
    /// Address of the gateway for requests of callers.
    pub listen: SocketAddr,
    pub link: SocketAddr,
    pub operators: SocketAddr,
    pub metrics: SocketAddr,
    pub gateway: Option<Process>,
    pub replica: Option<SocketAddr>,
    // Dropped last: processes read their logs in it when they are dropped.
    pub dir: TempDir,
}

impl Fleet {
    /// Allocates the addresses and the folder; starts no process.
    pub fn new(controls: usize) -> Fleet {
        let free = free_socket_addrs(&own_ip(), 4 + 4 * controls);
        let control = |n: usize| {
            let own = &free[4 + 4 * n..];
            Control {
                listen: own[0],
                link: own[0],
                api: own[1],
                entry: own[2],
                metrics: own[3],
                process: None,
            }
        };
        let controls = (0..controls).map(control).collect();
        let (listen, link, operators, metrics) = (free[0], free[1], free[2], free[3]);
        let dir = TempDir::new().unwrap();
        Fleet { controls, listen, link, operators, metrics, gateway: None, replica: None, dir }
    }

    /// Starts one control process, a gateway and a registered replica, and waits for a successful response.
    pub fn serving() -> Fleet {
        let mut f = Fleet::new(1);
        f.start_control(0, true);
        f.start_gateway();
        f.publish(3);
        let address = start_replica();
        f.send_heartbeat(address, 1);
        f.replica = Some(address);
        wait_for("a response", || f.get("/board/x").is_some_and(|a| a.0 == 200));
        f
    }

    /// Sends a heartbeat for the replica.
    pub fn send_heartbeat(&self, replica: SocketAddr, sequence: usize) {
        let heartbeat = json!({ "service": "board", "address": replica.to_string(),
            "data_centre": "tamar-a", "sequence": sequence });
        let answer = self.call(0, "PUT", "/v1/replicas/b-1", &heartbeat.to_string());
        assert_eq!(answer.map(|a| a.0), Some(200));
    }

    /// Returns the `common` settings of the process on this VM.
    pub fn common_settings(&self, vm: &str) -> String {
        // At most three seeds, as a platform would list them; the others have to be discovered.
        let seeds: Vec<_> = self.controls.iter().take(3).map(|c| c.link.to_string()).collect();
        format!(
            "common:\n  cluster: test\n  region: tas-north\n  data_centre: tamar-a\n  vm: {vm}\n  open_links: true\n  control: {}\n",
            serde_json::to_string(&seeds).unwrap()
        )
    }

    /// Puts a proxy that can let links fall silent in front of each control process, before any is started.
    pub fn proxy_controls(&mut self) -> SilentLinks {
        let links = SilentLinks::default();
        for (n, c) in self.controls.iter_mut().enumerate() {
            c.link = links.serve(&format!("control-{n}"), c.listen);
        }
        links
    }

    /// Starts control process `n`; `found` allows it to found the control group.
    pub fn start_control(&mut self, n: usize, found: bool) {
        let data = self.dir.path().join(format!("data-{n}"));
        fs::create_dir_all(&data).unwrap();
        let c = &self.controls[n];
        let text = format!(
            "{}listen: \"{}\"\nadvertise: \"{}\"\ndata_folder: {}\nmetrics: \"{}\"\nreserve: false\nheartbeat_ms: 20\nelection_ms: 150\nfleet:\n  listen: \"{}\"\n  entry: \"{}\"\n  found: {found}\n",
            self.common_settings(&format!("control-{n}")),
            c.listen,
            c.link,
            data.display(),
            c.metrics,
            c.api,
            c.entry,
        );
        let process = self.start(&format!("control-{n}"), "control", &text);
        self.controls[n].process = Some(process);
    }

    /// Starts the first gateway.
    pub fn start_gateway(&mut self) {
        self.start_gateway_with("");
    }

    /// Starts the first gateway with the additional lines `settings`.
    pub fn start_gateway_with(&mut self, settings: &str) {
        let text = format!(
            "{}listen: \"{}\"\nlink: \"{}\"\noperators: \"{}\"\nmetrics: \"{}\"\nreport_ms: 50\n{settings}",
            self.common_settings("gateway-0"),
            self.listen,
            self.link,
            self.operators,
            self.metrics,
        );
        self.gateway = Some(self.start("gateway-0", "gateway", &text));
    }

    /// Starts `n` additional gateways in the same data centre.
    pub fn start_extra_gateways(&self, n: usize) -> Vec<ExtraGateway> {
        self.start_extra_gateways_from(0, n)
    }

    /// Like [`Fleet::start_extra_gateways`], but numbers the gateways from `from`.
    pub fn start_extra_gateways_from(&self, from: usize, n: usize) -> Vec<ExtraGateway> {
        self.start_extra_gateways_with(from, n, "")
    }

    /// Like [`Fleet::start_extra_gateways_from`], with the additional lines `settings`.
    pub fn start_extra_gateways_with(
        &self,
        from: usize,
        n: usize,
        settings: &str,
    ) -> Vec<ExtraGateway> {
        let free = free_socket_addrs(&own_ip(), 3 * n);
        let start = |(n, own): (usize, &[SocketAddr])| {
            let name = format!("neighbour-{}", from + n);
            let text = format!(
                "{}listen: \"{}\"\nlink: \"{}\"\noperators: \"{}\"\nreport_ms: 50\n{settings}",
                self.common_settings(&name),
                own[0],
                own[1],
                own[2],
            );
            let process = self.start(&name, "gateway", &text);
            ExtraGateway { listen: own[0], link: own[1], operators: own[2], process }
        };
        free.chunks(3).enumerate().map(start).collect()
    }

    /// Restarts a gateway that has exited, with its previous settings.
    pub fn restart_extra_gateway(&self, g: &mut ExtraGateway) {
        let name = g.process.name.clone();
        let file = self.dir.path().join(format!("{name}.yaml"));
        let args = ["--settings", file.to_str().unwrap()];
        g.process = Process::start(self.dir.path(), &name, program("gateway"), &args);
    }

    /// Writes the settings to a file and starts a program of this kind with it.
    pub fn start(&self, name: &str, kind: &str, settings: &str) -> Process {
        let file = self.dir.path().join(format!("{name}.yaml"));
        fs::write(&file, settings).unwrap();
        let args = ["--settings", file.to_str().unwrap()];
        Process::start(self.dir.path(), name, program(kind), &args)
    }

    /// Deletes the data folder of control process `n`.
    pub fn delete_data_folder(&self, n: usize) {
        fs::remove_dir_all(self.dir.path().join(format!("data-{n}"))).unwrap();
    }

    /// Sends a request to control process `n`; returns `None` if there is no response.
    pub fn call(&self, n: usize, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
        exchange(self.controls[n].api, method, path, "", body)
    }

    /// Asks control process `n` for gateways, as a caller in a data centre; returns `None` if there is no response.
    pub fn ask_directory(&self, n: usize, data_centre: &str) -> Option<(u16, Value)> {
        let path = format!("/v1/entry?data_centre={data_centre}");
        exchange(self.controls[n].entry, "GET", &path, "", "")
    }

    /// Publishes a document through any control process that accepts it.
    pub fn publish(&self, version: u64) {
        wait_for("the document to be accepted", || {
            let body = document(version).to_string();
            let all = 0..self.controls.len();
            all.into_iter()
                .any(|n| matches!(self.call(n, "PUT", "/v1/document", &body), Some((200, _))))
        });
    }

    /// Returns the document version that control process `n` reads with confirmation by a quorum.
    pub fn version(&self, n: usize) -> Option<u64> {
        let (status, v) = self.call(n, "GET", "/v1/document", "")?;
        (status == 200).then(|| v["version"].as_u64().unwrap())
    }

    /// Sends a GET request to the first gateway; returns `None` if there is no response.
    pub fn get(&self, path: &str) -> Option<(u16, Value)> {
        exchange(self.listen, "GET", path, CALLER_HEADERS, "")
    }
}

/// Sends an HTTP request; returns the status and the body, or `None` if there is no response.
pub fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    extra_headers: &str,
    body: &str,
) -> Option<(u16, Value)> {
    let mut s = TcpStream::connect(to).ok()?;
    s.set_read_timeout(Some(std::time::Duration::from_secs(10))).unwrap();
    let length = body.len();
    write!(
        s,
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{extra_headers}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .ok()?;
    let mut text = String::new();
    s.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, serde_json::from_str(body).unwrap_or(Value::String(body.to_owned()))))
}

/// Returns a document with one route, one service and one client account.
pub fn document(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "board", "host": HOST, "prefix": "/board/", "kind": "safe", "timeout": 2000,
            "objective": 100, "targets": [{ "service": "board", "weight": 1 }], "attempts": 2,
        }],
        "services": [{ "name": "board", "connections": 10 }],
        "limits": { "head": 8192, "body": 65536, "head_within": 1000, "idle": 5000 },
        "accounts": [{ "name": "club", "keys": ["club-key"], "prepaid": 1000 }],
    })
}

/// Starts a replica whose responses name the account from the request; returns its address.
pub fn start_replica() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut s in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut buf = [0; 4096];
                while let Ok(n) = s.read(&mut buf) {
                    let text = String::from_utf8_lossy(&buf[..n]).into_owned();
                    let header = |name: &str| {
                        let mut lines = text.lines().filter_map(|l| l.split_once(": "));
                        lines.find(|(k, _)| *k == name).map_or("", |(_, v)| v).to_owned()
                    };
                    let body = json!({ "account": header("x-client-account") }).to_string();
                    let head = format!(
                        "X-Request-Id: {}\r\nContent-Length: {}",
                        header("x-request-id"),
                        body.len()
                    );
                    if n == 0 || write!(s, "HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Returns the log of the process `name` of the fleet in `dir`.
pub fn read_log(dir: &Path, name: &str) -> String {
    fs::read_to_string(dir.join(format!("{name}.log"))).unwrap()
}

/// Returns the value of the first metric sample whose name and labels start with `name`.
pub fn metric_value(to: SocketAddr, name: &str) -> Option<f64> {
    let (status, v) = exchange(to, "GET", "/metrics", "", "")?;
    assert_eq!(status, 200);
    let text = v.as_str()?.to_owned();
    let line = text.lines().find(|l| l.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}
