//! Simulates rollouts of good and faulty versions with the core's decisions and with two simpler rules.
//! Measures how many requests a faulty version receives, for how long it receives them after its 50th
//! bad answer, and how many rollouts complete in time.
//!
//! `cargo run --release -p cypressfork-core --example rollouts [SEEDS]`
//!
//! Gateways learn of a step after 50 to 300 ms. They report once a second, and within 50 ms after a bad
//! answer; one report in fifty is lost, and some gateways are partitioned. Requests spread evenly over four
//! routes, one of which fails 14 % of the time with either version. Latencies vary by a factor of four.

use std::collections::BTreeMap;

use cypressfork_core::fleet::rollout::evidence::{Report, Reports};
use cypressfork_core::fleet::rollout::fault::find_fault;
use cypressfork_core::fleet::rollout::plan::plan;
use cypressfork_core::fleet::rollout::split::{GatewayView, VersionPreference, version_preference};
use cypressfork_core::fleet::rollout::step::{View, next_step};
use cypressfork_core::fleet::rollout::{Rollout, Rollouts, Stage, Step};
use cypressfork_core::unit::{Millis, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Share of the requests that a faulty version may receive, in thousandths.
const MAX_EXPOSURE: u64 = 100;

/// Requests that a faulty version may receive beyond its share.
const EXPOSURE_SLACK: u64 = 50;

const TICK_MS: u64 = 50;
const SERVICE: &str = "talk";

/// Routes with their failure rates, the same for both versions.
const ROUTES: [(&str, f64); 4] = [("a", 0.0), ("b", 0.004), ("c", 0.004), ("d", 0.14)];

/// How a version behaves.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Good,
    /// Fails this much more often.
    Fails(f64),
    /// Takes longer by this factor.
    Slow(f64),
    /// Fails this much more often after this fraction of the rollout's duration.
    Late(f64, f64),
    /// Fails this much more often on one route.
    OneRoute(f64),
}

/// A rule that decides on the steps of a rollout.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// The library's rule, which compares both versions.
    Compare,
    /// Sends a tenth of the requests on trial for half of the duration. Rolls back at 5 % bad answers,
    /// from 20 answers on.
    Threshold,
    /// Raises the share linearly in steps of a tenth, and rolls back like `Threshold`.
    Ramp,
}

/// A fleet and the duration of its rollout.
#[derive(Clone, Copy)]
struct Fleet {
    gateways: usize,
    /// Requests per second at all gateways together.
    rate: u64,
    duration: Millis,
    /// Percentage of the gateways that are partitioned for the second half.
    partitioned_percent: u64,
}

#[derive(Default)]
struct RunResult {
    /// Requests within the rollout's duration, and those of them sent to the new version.
    requests: u64,
    exposed: u64,
    bad: u64,
    /// When the 50th bad answer was counted.
    fiftieth_bad_at: Option<u64>,
    /// Time from then to the last request sent to the new version, in milliseconds.
    exposed_after: u64,
    stage: Option<Stage>,
    finished_at: u64,
}

struct Gateway {
    report: Report,
    /// Whether the gateway's own evidence shows a fault; it then avoids the new version.
    stopped: bool,
    /// States of the rollout that will arrive, with their arrival times.
    pending: Vec<(u64, Rollout)>,
    /// The last state that arrived.
    rollout: Option<Rollout>,
    /// When the gateway was last connected to the control group.
    last_contact: u64,
    next_report: u64,
    partitioned: bool,
}

/// Returns the share of requests for the new version during the trial, in thousandths.
fn trial_share(rule: Rule, r: &Rollout, at: u64, duration: u64) -> u64 {
    match rule {
        Rule::Compare => r.trial,
        Rule::Threshold => 100,
        Rule::Ramp => (at * 10 / duration.max(1)).min(10) * 100,
    }
}

/// Returns the next step under `Threshold` or `Ramp`.
fn simple_step(rule: Rule, r: &Rollout, view: &View<'_>) -> Option<Step> {
    let new = view.evidence.total().new;
    let step = |stage| Step {
        service: SERVICE.to_owned(),
        order: r.order,
        stage,
        from: ["v1".to_owned()].into(),
        trial: 0,
        why: String::new(),
    };
    if new.ended >= 20 && new.bad * 100 >= new.ended * 5 {
        return Some(step(Stage::RolledBack));
    }
    let move_at = if rule == Rule::Threshold { r.within.0 / 2 } else { r.within.0 * 9 / 10 };
    match r.stage {
        Stage::Waiting => Some(step(Stage::Trial)),
        Stage::Trial if view.elapsed.0 >= move_at => Some(step(Stage::Moving)),
        Stage::Moving if view.progress.moved >= view.gateways => Some(step(Stage::Completed)),
        _ => None,
    }
}

/// Runs one rollout.
fn simulate(seed: u64, fleet: &Fleet, behaviour: Behaviour, rule: Rule) -> RunResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut rollouts = Rollouts::default();
    rollouts.start(Time(0), 1, SERVICE, "v2", fleet.duration).expect("the order is valid");
    let plan = plan(fleet.duration, MAX_EXPOSURE);
    let slots: BTreeMap<_, _> = [("v1".to_owned(), 600), ("v2".to_owned(), 600)].into();
    let mut gateways: Vec<_> = (0..fleet.gateways).map(|n| gateway(n, fleet, &mut rng)).collect();
    let mut reports = Reports::default();
    let mut reports_in_flight: Vec<(u64, String, Report)> = Vec::new();
    let mut result = RunResult::default();
    let mut log_index = 1;
    let end = fleet.duration.0 + 8_000;
    for at in (0..end).step_by(TICK_MS as usize) {
        for g in &mut gateways {
            g.receive_updates(at, fleet);
        }
        let milli_requests = fleet.rate * TICK_MS;
        let n =
            milli_requests / 1_000 + u64::from(rng.random_range(0..1_000) < milli_requests % 1_000);
        for _ in 0..n {
            let index = rng.random_range(0..gateways.len());
            gateways[index].request(at, fleet, behaviour, rule, &mut rng, &mut result);
        }
        for (n, g) in gateways.iter_mut().enumerate() {
            if at >= g.next_report && !g.is_partitioned(at, fleet) {
                g.next_report = at + 1_000;
                if rng.random_range(0..50) > 0 {
                    let due = at + rng.random_range(20..200);
                    reports_in_flight.push((due, format!("vm-{n}"), g.report.clone()));
                }
            }
        }
        for (_, vm, r) in reports_in_flight.extract_if(.., |(due, ..)| *due <= at) {
            reports.record(Time(at), &vm, r);
        }
        if at % 100 != 0 {
            continue;
        }
        let Some(r) = rollouts.get(SERVICE).cloned() else { continue };
        if r.stage.is_over() {
            result.stage = Some(r.stage);
            continue;
        }
        let evidence = reports.evidence(1);
        let progress = reports.progress(1, r.revision, Time(at.saturating_sub(2_000)));
        let connected_gateways = gateways.iter().filter(|g| !g.is_partitioned(at, fleet)).count();
        let view = View {
            elapsed: Millis(at),
            slots: &slots,
            evidence: &evidence,
            progress,
            gateways: connected_gateways.min(progress.reporting.max(1)),
        };
        let step = match rule {
            Rule::Compare => next_step(SERVICE, &r, &plan, &view),
            _ => simple_step(rule, &r, &view),
        };
        if let Some(step) = step {
            log_index += 1;
            rollouts.advance(log_index, &step);
            result.finished_at = at;
            let update = rollouts.get(SERVICE).expect("the rollout was just advanced").clone();
            for g in &mut gateways {
                g.pending.push((at + rng.random_range(50..300), update.clone()));
            }
        }
    }
    result
}

fn gateway(n: usize, fleet: &Fleet, rng: &mut SmallRng) -> Gateway {
    let report =
        Report { service: SERVICE.to_owned(), order: 1, life: n as u64, ..Report::default() };
    Gateway {
        report,
        stopped: false,
        pending: Vec::new(),
        rollout: None,
        last_contact: 0,
        next_report: rng.random_range(0..1_000),
        partitioned: rng.random_range(0..100) < fleet.partitioned_percent,
    }
}

impl Gateway {
    fn is_partitioned(&self, at: u64, fleet: &Fleet) -> bool {
        self.partitioned && at * 2 >= fleet.duration.0
    }

    /// Applies the states of the rollout that have arrived by `at`.
    fn receive_updates(&mut self, at: u64, fleet: &Fleet) {
        if self.is_partitioned(at, fleet) {
            return;
        }
        self.last_contact = at;
        for (_, r) in self.pending.extract_if(.., |(due, _)| *due <= at) {
            if self.rollout.as_ref().is_none_or(|k| k.revision < r.revision) {
                // Gateways report a new revision at once, with their next watch request.
                self.next_report = at;
                self.report.revision = r.revision;
                self.rollout = Some(r);
            }
        }
    }

    /// Sends one request to a version and records its outcome.
    fn request(
        &mut self,
        at: u64,
        fleet: &Fleet,
        behaviour: Behaviour,
        rule: Rule,
        rng: &mut SmallRng,
        result: &mut RunResult,
    ) {
        let is_counted = at < fleet.duration.0;
        result.requests += u64::from(is_counted);
        let (route, base_rate) = ROUTES[rng.random_range(0..ROUTES.len())];
        let draw = rng.random_range(0..1_000);
        let to_new = self.rollout.clone().is_some_and(|mut r| {
            r.trial = trial_share(rule, &r, at, fleet.duration.0);
            let connected = at - self.last_contact < 2_000 || rule != Rule::Compare;
            let local = GatewayView { connected, stopped: self.stopped };
            matches!(
                version_preference(&r, draw, local),
                VersionPreference::Trial | VersionPreference::New
            )
        });
        let has_begun = |from: f64| at as f64 >= from * fleet.duration.0 as f64;
        let extra_rate = match behaviour {
            Behaviour::Fails(failure_rate) => failure_rate,
            Behaviour::Late(failure_rate, from) if has_begun(from) => failure_rate,
            Behaviour::OneRoute(failure_rate) if route == "b" => failure_rate,
            _ => 0.0,
        };
        let failure_rate = if to_new { base_rate + extra_rate } else { base_rate };
        let fails = rng.random_bool(failure_rate.min(1.0));
        let spread = 0.5 * 4.0f64.powf(rng.random::<f64>());
        let factor = if let (Behaviour::Slow(x), true) = (behaviour, to_new) { x } else { 1.0 };
        let versions = self.report.evidence.route_mut(route);
        let outcomes = if to_new { &mut versions.new } else { &mut versions.old };
        match fails {
            true => outcomes.record_failure(),
            false => outcomes.record_response((80_000.0 * spread * factor) as u64, 60_000),
        }
        if !to_new {
            return;
        }
        result.exposed += u64::from(is_counted);
        if fails || (factor > 1.0) {
            result.bad += 1;
            if result.bad == 50 {
                result.fiftieth_bad_at = Some(at);
            }
            self.next_report = self.next_report.min(at + 50);
            if rule == Rule::Compare && find_fault(&self.report.evidence).is_some() {
                self.stopped = true;
            }
        }
        if let Some(since) = result.fiftieth_bad_at {
            result.exposed_after = result.exposed_after.max(at - since);
        }
    }
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(200);
    let fleets = [
        (
            "12 gateways, 300/s, 12 s",
            Fleet { gateways: 12, rate: 300, duration: Millis(12_000), partitioned_percent: 0 },
        ),
        (
            "80 gateways, 500/s, 30 s, 5 % cut off",
            Fleet { gateways: 80, rate: 500, duration: Millis(30_000), partitioned_percent: 5 },
        ),
        (
            "12 gateways, 40/s, 12 s",
            Fleet { gateways: 12, rate: 40, duration: Millis(12_000), partitioned_percent: 0 },
        ),
    ];
    let behaviours = [
        ("good", Behaviour::Good),
        ("fails 2 %", Behaviour::Fails(0.02)),
        ("fails 10 %", Behaviour::Fails(0.1)),
        ("fails 30 %", Behaviour::Fails(0.3)),
        ("fails 60 %", Behaviour::Fails(0.6)),
        ("1.5 times as slow", Behaviour::Slow(1.5)),
        ("3 times as slow", Behaviour::Slow(3.0)),
        ("8 times as slow", Behaviour::Slow(8.0)),
        ("fails 30 % from half on", Behaviour::Late(0.3, 0.5)),
        ("fails 40 % on one route", Behaviour::OneRoute(0.4)),
    ];
    let rules = [("compared", Rule::Compare), ("a mark", Rule::Threshold), ("a ramp", Rule::Ramp)];
    for (name, fleet) in &fleets {
        println!("\n{name}; {seeds} seeds each\n");
        println!(
            "| version | rule | rolled back | completed in time | over what it may get | most beyond that | longest after the 50th bad answer, ms |"
        );
        println!("|---|---|---|---|---|---|---|");
        for (behaviour_name, behaviour) in behaviours {
            for (rule_name, rule) in rules {
                let runs: Vec<_> =
                    (0..seeds).map(|s| simulate(s, fleet, behaviour, rule)).collect();
                let rolled_back =
                    runs.iter().filter(|r| r.stage == Some(Stage::RolledBack)).count();
                let in_time = |r: &&RunResult| {
                    r.stage == Some(Stage::Completed) && r.finished_at <= fleet.duration.0
                };
                let in_time = runs.iter().filter(in_time).count();
                let excess = |r: &RunResult| {
                    r.exposed as i64 - (r.requests * MAX_EXPOSURE / 1_000 + EXPOSURE_SLACK) as i64
                };
                let exceeding = runs.iter().filter(|r| excess(r) > 0).count();
                let max_excess = runs.iter().map(excess).max().unwrap_or(0);
                let exposed_after = runs.iter().map(|r| r.exposed_after).max().unwrap_or(0);
                println!(
                    "| {behaviour_name} | {rule_name} | {rolled_back} | {in_time} | {exceeding} | {max_excess} | {exposed_after} |"
                );
            }
        }
    }
}
