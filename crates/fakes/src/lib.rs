//! Fake services for development and tests, reached by their public protocols: a model engine, a plain
//! service and the platform's list of VMs. Also a crowd of clients that do not behave.

pub mod crowd;
mod engine;
mod plain;
mod vms;

use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use cypressfork_http::{Body, serve};
use getopts::{Matches, Options};
use serde_json::Value;
use tokio::net::TcpListener;

fn options() -> Options {
    let mut o = Options::new();
    o.optopt("l", "listen", "address to listen on (127.0.0.1:0)", "ADDRESS");
    o.optopt("", "tokens", "tokens of an answer, unless fewer are asked for (24)", "N");
    o.optopt("", "token-ms", "milliseconds for each token (0)", "MS");
    o.optopt(
        "",
        "fault",
        "what it does wrong: see the engine's and the plain service's page",
        "NAME",
    );
    o.optopt("", "file", "file with the list of VMs", "FILE");
    o.optopt("", "connections", "connections of a crowd (1)", "N");
    o.optopt("", "ms", "milliseconds for which a crowd connects (1000)", "MS");
    o.optopt("", "method", "method of a crowd's requests (GET)", "METHOD");
    o.optopt("", "path", "path of a crowd's requests (/)", "PATH");
    o.optmulti("", "header", "header line of a crowd's requests", "LINE");
    o
}

/// Runs the fake service `engine`, `plain` or `vms` until the process ends, or a crowd of clients that do not
/// behave until its time is up; `ports N` prints free addresses. `args` are the command-line arguments. Returns an error text for the user.
pub fn run(args: &[String]) -> Result<(), String> {
    let m = options().parse(args).map_err(|e| e.to_string())?;
    let name = m.free.first().map_or("", String::as_str);
    match name {
        "engine" | "plain" | "vms" => actix_rt::System::new().block_on(listen(name, &m)),
        "crowd" => actix_rt::System::new().block_on(crowd::run(&m)),
        "ports" => ports(m.free.get(1).and_then(|n| n.parse().ok()).unwrap_or(1)),
        _ => {
            Err(options()
                .usage("Usage: cypressfork-fakes engine|plain|vms|crowd ADDRESS...|ports N"))
        }
    }
}

/// Prints `n` loopback addresses with ports that are currently free.
fn ports(n: usize) -> Result<(), String> {
    let bound: Result<Vec<_>, _> = (0..n).map(|_| StdListener::bind("127.0.0.1:0")).collect();
    for l in bound.map_err(|e| e.to_string())? {
        println!("{}", l.local_addr().map_err(|e| e.to_string())?);
    }
    Ok(())
}

/// Listens on the given address and serves the fake service `name`.
async fn listen(name: &str, m: &Matches) -> Result<(), String> {
    let address = m.opt_str("listen").unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let address: SocketAddr =
        address.parse().map_err(|_| format!("'{address}' is not an address"))?;
    let listener = TcpListener::bind(address).await.map_err(|e| e.to_string())?;
    println!("listening {}", listener.local_addr().map_err(|e| e.to_string())?);
    match name {
        "engine" => {
            let engine = Rc::new(engine::Engine::new(m)?);
            serve(listener, move |req| engine::handle(engine.clone(), req)).await;
        }
        "plain" => {
            let plain = Rc::new(plain::Plain::new(m));
            serve(listener, move |req| plain::handle(plain.clone(), req)).await;
        }
        _ => {
            let file = m.opt_str("file").ok_or("--file is missing")?;
            serve(listener, move |req| vms::handle(file.clone(), req)).await;
        }
    }
    Ok(())
}

/// Returns a numeric option, or `default` if it is not given.
fn number(m: &Matches, name: &str, default: u64) -> Result<u64, String> {
    let given = m.opt_get::<u64>(name).map_err(|e| format!("--{name}: {e}"))?;
    Ok(given.unwrap_or(default))
}

/// Returns a JSON response.
fn json_response(status: StatusCode, v: &Value) -> Response<Body> {
    let mut r = Response::with_body(status, Body::Full(Bytes::from(v.to_string())));
    let kind = actix_http::header::HeaderValue::from_static("application/json");
    r.headers_mut().insert(actix_http::header::CONTENT_TYPE, kind);
    r
}
