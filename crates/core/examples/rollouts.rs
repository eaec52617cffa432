//! Roll-outs of good and bad versions in virtual time, by the core's own decisions: how much a bad
//! version gets, how long it goes on after its 50th bad answer, and how many good ones are completed
//! in time, beside two simpler rules.
//!
//! `cargo run --release -p cypressfork-core --example rollouts [SEEDS]`
//!
//! Gateways hear of a step after 50 to 300 ms and report once a second, at once where an answer is bad;
//! a report in fifty is lost, and some gateways are cut off. Requests of four routes come evenly; one
//! route fails in 14 of 100 by itself. Times vary by a factor of four.

use std::collections::BTreeMap;

use cypressfork_core::fleet::rollout::evidence::{Report, Reports};
use cypressfork_core::fleet::rollout::plan::plan;
use cypressfork_core::fleet::rollout::split::{GatewayView, VersionPreference, version_preference};
use cypressfork_core::fleet::rollout::step::{View, next_step};
use cypressfork_core::fleet::rollout::verdict::find_fault;
use cypressfork_core::fleet::rollout::{Rollout, Rollouts, Stage, Step};
use cypressfork_core::unit::{Millis, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Thousandths of the requests that a bad version may get, and how many beyond that.
const ALLOWED: u64 = 100;
const SLACK: u64 = 50;

const TICK: u64 = 50;
const SERVICE: &str = "talk";
const ROUTES: [(&str, f64); 4] = [("a", 0.0), ("b", 0.004), ("c", 0.004), ("d", 0.14)];

/// How a version is.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Good,
    /// Fails in this share more.
    Fails(f64),
    /// Takes so many times as long.
    Slow(f64),
    /// Fails in this share from this part of the time on.
    Late(f64, f64),
    /// Fails in this share on one route only.
    OneRoute(f64),
}

/// A way of deciding.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// The library's.
    Compare,
    /// A tenth on trial until half of the time is over; back at 5 bad answers in 100, after 20.
    Mark,
    /// The share rises by a tenth of all with each tenth of the time; back at 5 bad in 100.
    Ramp,
}

/// A fleet.
#[derive(Clone, Copy)]
struct Fleet {
    gateways: usize,
    /// Requests a second, all gateways together.
    rate: u64,
    within: Millis,
    /// Gateways in a hundred that are cut off for the second half.
    cut: u64,
}

#[derive(Default)]
struct Result {
    all: u64,
    exposed: u64,
    bad: u64,
    /// When the 50th bad answer was, and when the last request was sent to the version after it.
    fiftieth: Option<u64>,
    after: u64,
    stage: Option<Stage>,
    over_at: u64,
}

struct Gateway {
    report: Report,
    stopped: bool,
    /// The steps on their way, and the one in force.
    coming: Vec<(u64, Rollout)>,
    known: Option<Rollout>,
    heard: u64,
    next_report: u64,
    cut: bool,
}

fn share_of(rule: Rule, r: &Rollout, at: u64, within: u64) -> u64 {
    match rule {
        Rule::Compare => r.trial,
        Rule::Mark => 100,
        Rule::Ramp => (at * 10 / within.max(1)).min(10) * 100,
    }
}

fn simple_step(rule: Rule, r: &Rollout, v: &View<'_>) -> Option<Step> {
    let t = v.evidence.total().new;
    let step = |stage| Step {
        service: SERVICE.to_owned(),
        order: r.order,
        stage,
        from: ["v1".to_owned()].into(),
        trial: 0,
        why: String::new(),
    };
    if t.ended >= 20 && t.bad * 100 >= t.ended * 5 {
        return Some(step(Stage::RolledBack));
    }
    let move_at = if rule == Rule::Mark { r.within.0 / 2 } else { r.within.0 * 9 / 10 };
    match r.stage {
        Stage::Waiting => Some(step(Stage::Trial)),
        Stage::Trial if v.elapsed.0 >= move_at => Some(step(Stage::Moving)),
        Stage::Moving if v.progress.moved >= v.gateways => Some(step(Stage::Completed)),
        _ => None,
    }
}

fn play(seed: u64, fleet: &Fleet, kind: Kind, rule: Rule) -> Result {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut rollouts = Rollouts::default();
    rollouts.start(Time(0), 1, SERVICE, "v2", fleet.within).expect("the order is sound");
    let plan = plan(fleet.within, ALLOWED);
    let slots: BTreeMap<_, _> = [("v1".to_owned(), 600), ("v2".to_owned(), 600)].into();
    let mut gateways: Vec<_> = (0..fleet.gateways).map(|n| gateway(n, fleet, &mut rng)).collect();
    let mut reports = Reports::default();
    let mut arriving: Vec<(u64, String, Report)> = Vec::new();
    let mut out = Result::default();
    let mut pos = 1;
    let end = fleet.within.0 + 8_000;
    for at in (0..end).step_by(TICK as usize) {
        for g in &mut gateways {
            g.hear(at, fleet);
        }
        let wanted = fleet.rate * TICK;
        let n = wanted / 1_000 + u64::from(rng.random_range(0..1_000) < wanted % 1_000);
        for _ in 0..n {
            let which = rng.random_range(0..gateways.len());
            gateways[which].request(at, fleet, kind, rule, &mut rng, &mut out);
        }
        for (n, g) in gateways.iter_mut().enumerate() {
            if at >= g.next_report && !g.is_cut(at, fleet) {
                g.next_report = at + 1_000;
                if rng.random_range(0..50) > 0 {
                    let due = at + rng.random_range(20..200);
                    arriving.push((due, format!("vm-{n}"), g.report.clone()));
                }
            }
        }
        for (_, vm, r) in arriving.extract_if(.., |(due, ..)| *due <= at) {
            reports.record(Time(at), &vm, r);
        }
        if at % 100 != 0 {
            continue;
        }
        let Some(r) = rollouts.get(SERVICE).cloned() else { continue };
        if r.stage.is_over() {
            out.stage = Some(r.stage);
            continue;
        }
        let evidence = reports.evidence(1);
        let progress = reports.progress(1, r.revision, Time(at.saturating_sub(2_000)));
        let gateways_in_touch = gateways.iter().filter(|g| !g.is_cut(at, fleet)).count();
        let v = View {
            elapsed: Millis(at),
            slots: &slots,
            evidence: &evidence,
            progress,
            gateways: gateways_in_touch.min(progress.reporting.max(1)),
        };
        let step = match rule {
            Rule::Compare => next_step(SERVICE, &r, &plan, &v),
            _ => simple_step(rule, &r, &v),
        };
        if let Some(step) = step {
            pos += 1;
            rollouts.advance(pos, &step);
            out.over_at = at;
            let told = rollouts.get(SERVICE).expect("it is known").clone();
            for g in &mut gateways {
                g.coming.push((at + rng.random_range(50..300), told.clone()));
            }
        }
    }
    out
}

fn gateway(n: usize, fleet: &Fleet, rng: &mut SmallRng) -> Gateway {
    let report =
        Report { service: SERVICE.to_owned(), order: 1, life: n as u64, ..Report::default() };
    Gateway {
        report,
        stopped: false,
        coming: Vec::new(),
        known: None,
        heard: 0,
        next_report: rng.random_range(0..1_000),
        cut: rng.random_range(0..100) < fleet.cut,
    }
}

impl Gateway {
    fn is_cut(&self, at: u64, fleet: &Fleet) -> bool {
        self.cut && at * 2 >= fleet.within.0
    }

    fn hear(&mut self, at: u64, fleet: &Fleet) {
        if self.is_cut(at, fleet) {
            return;
        }
        self.heard = at;
        for (_, r) in self.coming.extract_if(.., |(due, _)| *due <= at) {
            if self.known.as_ref().is_none_or(|k| k.revision < r.revision) {
                // The answer that told of it ends the standing question; the next one tells of it.
                self.next_report = at;
                self.report.revision = r.revision;
                self.known = Some(r);
            }
        }
    }

    fn request(
        &mut self,
        at: u64,
        fleet: &Fleet,
        kind: Kind,
        rule: Rule,
        rng: &mut SmallRng,
        out: &mut Result,
    ) {
        let counts = at < fleet.within.0;
        out.all += u64::from(counts);
        let (route, usual) = ROUTES[rng.random_range(0..ROUTES.len())];
        let drawn = rng.random_range(0..1_000);
        let to_new = self.known.clone().is_some_and(|mut r| {
            r.trial = share_of(rule, &r, at, fleet.within.0);
            let connected = at - self.heard < 2_000 || rule != Rule::Compare;
            let local = GatewayView { connected, stopped: self.stopped };
            matches!(
                version_preference(&r, drawn, local),
                VersionPreference::Trial | VersionPreference::New
            )
        });
        let late = |from: f64| at as f64 >= from * fleet.within.0 as f64;
        let more = match kind {
            Kind::Fails(share) => share,
            Kind::Late(share, from) if late(from) => share,
            Kind::OneRoute(share) if route == "b" => share,
            _ => 0.0,
        };
        let share = if to_new { usual + more } else { usual };
        let fails = rng.random_bool(share.min(1.0));
        let spread = 0.5 * 4.0f64.powf(rng.random::<f64>());
        let factor = if let (Kind::Slow(x), true) = (kind, to_new) { x } else { 1.0 };
        let sides = self.report.evidence.route_mut(route);
        let outcomes = if to_new { &mut sides.new } else { &mut sides.old };
        match fails {
            true => outcomes.record_failure(),
            false => outcomes.record_response((80_000.0 * spread * factor) as u64, 60_000),
        }
        if !to_new {
            return;
        }
        out.exposed += u64::from(counts);
        if fails || (factor > 1.0) {
            out.bad += 1;
            if out.bad == 50 {
                out.fiftieth = Some(at);
            }
            self.next_report = self.next_report.min(at + 50);
            if rule == Rule::Compare && find_fault(&self.report.evidence).is_some() {
                self.stopped = true;
            }
        }
        if let Some(since) = out.fiftieth {
            out.after = out.after.max(at - since);
        }
    }
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(200);
    let fleets = [
        (
            "12 gateways, 300/s, 12 s",
            Fleet { gateways: 12, rate: 300, within: Millis(12_000), cut: 0 },
        ),
        (
            "80 gateways, 500/s, 30 s, 5 % cut off",
            Fleet { gateways: 80, rate: 500, within: Millis(30_000), cut: 5 },
        ),
        (
            "12 gateways, 40/s, 12 s",
            Fleet { gateways: 12, rate: 40, within: Millis(12_000), cut: 0 },
        ),
    ];
    let kinds = [
        ("good", Kind::Good),
        ("fails 2 %", Kind::Fails(0.02)),
        ("fails 10 %", Kind::Fails(0.1)),
        ("fails 30 %", Kind::Fails(0.3)),
        ("fails 60 %", Kind::Fails(0.6)),
        ("1.5 times as slow", Kind::Slow(1.5)),
        ("3 times as slow", Kind::Slow(3.0)),
        ("8 times as slow", Kind::Slow(8.0)),
        ("fails 30 % from half on", Kind::Late(0.3, 0.5)),
        ("fails 40 % on one route", Kind::OneRoute(0.4)),
    ];
    let rules = [("compared", Rule::Compare), ("a mark", Rule::Mark), ("a ramp", Rule::Ramp)];
    for (name, fleet) in &fleets {
        println!("\n{name}; {seeds} seeds each\n");
        println!(
            "| version | rule | rolled back | completed in time | over what it may get | most beyond that | longest after the 50th bad answer, ms |"
        );
        println!("|---|---|---|---|---|---|---|");
        for (kind_name, kind) in kinds {
            for (rule_name, rule) in rules {
                let all: Vec<_> = (0..seeds).map(|s| play(s, fleet, kind, rule)).collect();
                let back = all.iter().filter(|r| r.stage == Some(Stage::RolledBack)).count();
                let in_time =
                    |r: &&Result| r.stage == Some(Stage::Completed) && r.over_at <= fleet.within.0;
                let in_time = all.iter().filter(in_time).count();
                let beyond =
                    |r: &Result| r.exposed as i64 - (r.all * ALLOWED / 1_000 + SLACK) as i64;
                let over = all.iter().filter(|r| beyond(r) > 0).count();
                let most = all.iter().map(beyond).max().unwrap_or(0);
                let after = all.iter().map(|r| r.after).max().unwrap_or(0);
                println!(
                    "| {kind_name} | {rule_name} | {back} | {in_time} | {over} | {most} | {after} |"
                );
            }
        }
    }
}
