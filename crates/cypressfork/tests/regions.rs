//! Two regions as one system, over real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;

use serde_json::json;
use support::gateways::*;
use support::{own_ip, until};

/// A data centre of each region.
const PLACES: [(&str, &str); 2] = [("north", "n1"), ("south", "s1")];

/// Code of a refusal of what no region may serve.
const NO_REGION: &str = "CF1310";

struct World {
    fleet: Fleet,
    /// A gateway in each region.
    fronts: Vec<SocketAddr>,
    gateways: Vec<support::Process>,
}

impl World {
    /// Three control processes, two of them in the north, and a gateway in each region.
    fn new() -> World {
        let mut fleet = Fleet::new(3);
        for n in 0..3 {
            start_control(&mut fleet, n, PLACES[n % 2]);
        }
        let free = free(&own_ip(), 6);
        let mut gateways = Vec::new();
        for (n, place) in PLACES.into_iter().enumerate() {
            let own = &free[3 * n..];
            let text = format!(
                "{}listen: \"{}\"\nlink: \"{}\"\noperators: \"{}\"\nreport_ms: 50\n",
                common(&fleet, &format!("gateway-{n}"), place),
                own[0],
                own[1],
                own[2],
            );
            gateways.push(fleet.start(&format!("gateway-{n}"), "gateway", &text));
        }
        World { fleet, fronts: vec![free[0], free[3]], gateways }
    }

    fn publish(&self, version: u64, route: &[&str], account: &[&str]) {
        let mut d = document(version);
        d["routes"][0]["regions"] = json!(route);
        d["accounts"][0]["regions"] = json!(account);
        let text = d.to_string();
        until("a document", || {
            (0..3)
                .any(|n| matches!(self.fleet.call(n, "PUT", "/v1/document", &text), Some((200, _))))
        });
    }

    /// Says that a replica is there.
    fn beat(&self, name: &str, replica: SocketAddr, data_centre: &str, sequence: u64) {
        let beat = json!({ "service": "board", "address": replica.to_string(),
            "data_centre": data_centre, "sequence": sequence });
        let path = format!("/v1/replicas/{name}");
        let answer = self.fleet.call(0, "PUT", &path, &beat.to_string());
        assert_eq!(answer.map(|a| a.0), Some(200));
    }

    fn ask(&self, front: SocketAddr) -> (u16, String) {
        match exchange(front, "GET", "/board/x", CALLER, "") {
            Some((status, v)) => {
                (status, v["error"]["code"].as_str().unwrap_or_default().to_owned())
            }
            None => (0, String::new()),
        }
    }

    fn until_all(&self, what: &str, status: u16, code: &str) {
        for front in &self.fronts {
            until(what, || self.ask(*front) == (status, code.to_owned()));
        }
    }
}

fn common(fleet: &Fleet, vm: &str, (region, data_centre): (&str, &str)) -> String {
    let text = fleet.common(vm);
    let text = text.replace("region: tas-north", &format!("region: {region}"));
    let text = text.replace("data_centre: tamar-a", &format!("data_centre: {data_centre}"));
    format!("{text}  regions: {{ n1: north, s1: south }}\n")
}

fn start_control(fleet: &mut Fleet, n: usize, place: (&str, &str)) {
    let data = fleet.dir.path().join(format!("data-{n}"));
    std::fs::create_dir_all(&data).unwrap();
    let c = &fleet.controls[n];
    let text = format!(
        "{}listen: \"{}\"\ndata_folder: {}\nreserve: false\nheartbeat_ms: 20\nelection_ms: 150\nfleet:\n  listen: \"{}\"\n  entry: \"{}\"\n  found: true\n",
        common(fleet, &format!("control-{n}"), place),
        c.link,
        data.display(),
        c.api,
        c.api,
    );
    let process = fleet.start(&format!("control-{n}"), "control", &text);
    fleet.controls[n].process = Some(process);
}

#[test]
fn two_regions_are_one_system() {
    let world = World::new();
    world.publish(3, &[], &[]);
    let north = replica();
    world.beat("b-1", north, "n1", 1);
    world.until_all("an answer", 200, "");
    // What one region is told is in force in the other.
    for n in 0..3 {
        until("the document", || world.fleet.version(n) == Some(3));
    }
    let named = |dc: &str| {
        let answer = world.fleet.call(0, "GET", &format!("/v1/entry?data_centre={dc}"), "");
        answer.and_then(|a| a.1["addresses"].as_array().map(Vec::len))
    };
    until("both gateways", || named("n1") == Some(2) && named("s1") == Some(2));
}

#[test]
fn what_is_bound_to_a_region_is_served_there_alone() {
    let world = World::new();
    world.publish(3, &["south"], &[]);
    let north = replica();
    world.beat("b-1", north, "n1", 1);
    world.until_all("a refusal", 503, NO_REGION);
    world.beat("b-2", replica(), "s1", 1);
    world.until_all("an answer", 200, "");
    // An account is bound as well as its route.
    world.publish(4, &["south"], &["north"]);
    world.until_all("a refusal", 503, NO_REGION);
    world.publish(5, &[], &["north"]);
    world.until_all("an answer", 200, "");
}

/// The region that keeps the majority goes on; the other one serves with what it has.
#[test]
fn a_region_without_the_group_serves_on() {
    let mut world = World::new();
    world.publish(3, &[], &[]);
    world.beat("b-1", replica(), "n1", 1);
    world.beat("b-2", replica(), "s1", 1);
    world.until_all("an answer", 200, "");
    for n in [0, 2] {
        world.fleet.controls[n].process.as_mut().unwrap().kill();
    }
    for _ in 0..20 {
        assert_eq!(world.ask(world.fronts[1]), (200, String::new()));
    }
    assert_eq!(world.gateways.len(), 2);
}
