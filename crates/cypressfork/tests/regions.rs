//! Tests two regions that share one control group, with real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;

use serde_json::json;
use support::gateways::*;
use support::{own_ip, wait_for};

/// The regions, each with its data centre.
const REGIONS: [(&str, &str); 2] = [("north", "n1"), ("south", "s1")];

/// Result code of a refusal because no permitted region can serve the request.
const NO_REGION: &str = "CF1310";

/// Control processes in two regions and a gateway in each.
struct RegionalFleet {
    fleet: Fleet,
    /// Address of the gateway in each region.
    fronts: Vec<SocketAddr>,
    gateways: Vec<support::Process>,
}

impl RegionalFleet {
    /// Starts three control processes, two of them in the north, and a gateway in each region.
    fn new() -> RegionalFleet {
        let mut fleet = Fleet::new(3);
        for n in 0..3 {
            start_control(&mut fleet, n, REGIONS[n % 2]);
        }
        let free = free_socket_addrs(&own_ip(), 6);
        let mut gateways = Vec::new();
        for (n, place) in REGIONS.into_iter().enumerate() {
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
        RegionalFleet { fleet, fronts: vec![free[0], free[3]], gateways }
    }

    /// Publishes a document whose route and account allow only these regions; an empty list allows any.
    fn publish(&self, version: u64, route: &[&str], account: &[&str]) {
        let mut d = document(version);
        d["routes"][0]["regions"] = json!(route);
        d["accounts"][0]["regions"] = json!(account);
        let text = d.to_string();
        wait_for("the document to be accepted", || {
            (0..3)
                .any(|n| matches!(self.fleet.call(n, "PUT", "/v1/document", &text), Some((200, _))))
        });
    }

    /// Sends a heartbeat for a replica.
    fn beat(&self, name: &str, replica: SocketAddr, data_centre: &str, sequence: u64) {
        let beat = json!({ "service": "board", "address": replica.to_string(),
            "data_centre": data_centre, "sequence": sequence });
        let path = format!("/v1/replicas/{name}");
        let answer = self.fleet.call(0, "PUT", &path, &beat.to_string());
        assert_eq!(answer.map(|a| a.0), Some(200));
    }

    /// Sends a request to a gateway; returns the status and the result code, or 0 without a response.
    fn ask(&self, front: SocketAddr) -> (u16, String) {
        match exchange(front, "GET", "/board/x", CALLER_HEADERS, "") {
            Some((status, v)) => {
                (status, v["error"]["code"].as_str().unwrap_or_default().to_owned())
            }
            None => (0, String::new()),
        }
    }

    /// Waits until every gateway responds with this status and result code.
    fn until_all(&self, what: &str, status: u16, code: &str) {
        for front in &self.fronts {
            wait_for(what, || self.ask(*front) == (status, code.to_owned()));
        }
    }
}

/// Returns the `common` settings of a VM in a region and data centre.
fn common(fleet: &Fleet, vm: &str, (region, data_centre): (&str, &str)) -> String {
    let text = fleet.common_settings(vm);
    let text = text.replace("region: tas-north", &format!("region: {region}"));
    let text = text.replace("data_centre: tamar-a", &format!("data_centre: {data_centre}"));
    format!("{text}  regions: {{ n1: north, s1: south }}\n")
}

/// Starts control process `n` in a region and data centre.
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
        c.entry,
    );
    let process = fleet.start(&format!("control-{n}"), "control", &text);
    fleet.controls[n].process = Some(process);
}

/// Guards against a document, heartbeat or gateway of one region that is missing in the other.
#[test]
fn two_regions_share_one_control_group() {
    let f = RegionalFleet::new();
    f.publish(3, &[], &[]);
    let north = start_replica();
    f.beat("b-1", north, "n1", 1);
    f.until_all("a response", 200, "");
    // A document that is published in one region is in force in the other.
    for n in 0..3 {
        wait_for("the document in both regions", || f.fleet.version(n) == Some(3));
    }
    let listed = |dc: &str| {
        let answer = f.fleet.ask_directory(0, dc);
        answer.and_then(|a| a.1["addresses"].as_array().map(Vec::len))
    };
    wait_for("both gateways to be listed", || listed("n1") == Some(2) && listed("s1") == Some(2));
}

/// Guards against a request that is served outside the regions its route or account allows.
#[test]
fn a_request_bound_to_a_region_is_served_only_there() {
    let f = RegionalFleet::new();
    f.publish(3, &["south"], &[]);
    let north = start_replica();
    f.beat("b-1", north, "n1", 1);
    f.until_all("a refusal", 503, NO_REGION);
    f.beat("b-2", start_replica(), "s1", 1);
    f.until_all("a response", 200, "");
    // The regions of the account and of the route both apply.
    f.publish(4, &["south"], &["north"]);
    f.until_all("a refusal", 503, NO_REGION);
    f.publish(5, &[], &["north"]);
    f.until_all("a response", 200, "");
}

/// Guards against a region that stops serving when the control group has lost its quorum.
#[test]
fn a_region_without_a_quorum_keeps_serving() {
    let mut f = RegionalFleet::new();
    f.publish(3, &[], &[]);
    f.beat("b-1", start_replica(), "n1", 1);
    f.beat("b-2", start_replica(), "s1", 1);
    f.until_all("a response", 200, "");
    for n in [0, 2] {
        f.fleet.controls[n].process.as_mut().unwrap().kill();
    }
    for _ in 0..20 {
        assert_eq!(f.ask(f.fronts[1]), (200, String::new()));
    }
    assert_eq!(f.gateways.len(), 2);
}
