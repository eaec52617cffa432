//! Simulation of fleets in which parts of prompts terminate every replica that begins to respond to a request with
//! them, beside sound requests that share the account and all other parts.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use cypressfork_core::fleet::fingerprint::{Fingerprint, PartScope};
use cypressfork_core::fleet::quarantine::{
    InFlightPart, InFlightRequest, Quarantine, SURVIVAL_TIME, TerminationReport,
};
use cypressfork_core::unit::{Millis, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const STEP_MS: u64 = 10;

/// Time before the first poison request, in which parts are answered for the first time.
const QUIET_MS: u64 = 4_000;
const DURATION_MS: u64 = 16_000;
const START_DELAY_MS: u64 = 60;
const CRASH_DELAY_MS: u64 = 40;
const PUBLISH_DELAY_MS: u64 = 60;
const POISON_PER_S: u64 = 10;

/// Parts that sound requests have, besides a first one that most of them share.
const SOUND_PARTS: u64 = 40;
const FIRST_PART: u64 = 1_000;

/// Poison parts are numbered from here.
const POISON: u64 = 2_000;

/// Spread of reports on survivals for each gateway.
const SPREAD_MS: u64 = 1;

const MAX_TERMINATIONS_PER_PART: f64 = 10.0;

#[derive(Clone)]
struct Running {
    gateway: usize,
    number: u64,
    parts: Vec<u64>,
    sent: u64,
    until: u64,
    retried: bool,
    has_survived: bool,
}

impl Running {
    fn is_poison(&self) -> bool {
        self.parts.iter().any(|p| *p >= POISON)
    }

    fn answering(&self, now: u64) -> Option<u64> {
        now.checked_sub(self.sent + START_DELAY_MS)
    }
}

#[derive(Default)]
struct Replica {
    down_until: u64,
    running: Vec<Running>,
}

struct Simulation {
    rng: SmallRng,
    gateways: usize,
    poisons: u64,
    /// Random terminations per second.
    random_per_s: u64,
    sound_per_s: u64,
    replicas: Vec<Replica>,
    quarantine: Quarantine,
    /// Reports by time of arrival.
    reports: BTreeMap<u64, Vec<TerminationReport>>,
    /// Reports on survivals by time of sending.
    survivals: BTreeMap<u64, Vec<Fingerprint>>,
    /// Lists by the time at which gateways have them.
    lists: BTreeMap<u64, (HashSet<Fingerprint>, HashSet<Fingerprint>)>,
    quarantined: HashSet<Fingerprint>,
    /// Suspects and since when gateways know them.
    suspects: HashMap<Fingerprint, u64>,
    reported: HashSet<(usize, Fingerprint)>,
    completed: HashSet<(usize, u64)>,
    last_completions: HashMap<usize, u64>,
    next_number: u64,
    log_index: u64,
    outcome: Outcome,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Replicas that poison parts terminated.
    terminated: u64,
    /// Terminations later than a second after the last poison part was quarantined.
    late: u64,
    /// Sound requests that were refused as quarantined.
    refused: u64,
    /// Commands to the control group.
    commands: u64,
    sound_served: u64,
    sound_sent: u64,
}

fn fingerprint(part: u64) -> Fingerprint {
    PartScope { account: Some("club"), service: "talk" }.fingerprint(part)
}

impl Simulation {
    fn new(
        seed: u64,
        (gateways, replicas, sound_per_s): (usize, usize, u64),
        poisons: u64,
    ) -> Self {
        Simulation {
            rng: SmallRng::seed_from_u64(seed),
            gateways,
            poisons,
            random_per_s: 0,
            sound_per_s,
            replicas: (0..replicas).map(|_| Replica::default()).collect(),
            quarantine: Quarantine::default(),
            reports: BTreeMap::new(),
            survivals: BTreeMap::new(),
            lists: BTreeMap::new(),
            quarantined: HashSet::new(),
            suspects: HashMap::new(),
            reported: HashSet::new(),
            completed: HashSet::new(),
            last_completions: HashMap::new(),
            next_number: 0,
            log_index: 0,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
            self.deliver(now);
            self.generate_load(now);
            self.advance(now);
        }
        self.outcome
    }

    fn draws(&mut self, per_second: u64) -> u64 {
        let expected = per_second as f64 * STEP_MS as f64 / 1_000.0;
        expected as u64 + u64::from(self.rng.random_bool(expected.fract()))
    }

    fn generate_load(&mut self, now: u64) {
        for _ in 0..self.draws(self.sound_per_s) {
            let own = self.rng.random_range(0..SOUND_PARTS);
            let first = if self.rng.random_range(0..10) < 8 { FIRST_PART } else { FIRST_PART + 1 };
            let until = now + START_DELAY_MS + self.rng.random_range(100..3_000);
            if now >= QUIET_MS {
                self.outcome.sound_sent += 1;
            }
            self.send_new(now, vec![first, own], until);
        }
        if now < QUIET_MS {
            return;
        }
        for poison in 0..self.poisons {
            for _ in 0..self.draws(POISON_PER_S) {
                let own = self.rng.random_range(0..SOUND_PARTS);
                let until = now + START_DELAY_MS + CRASH_DELAY_MS;
                self.send_new(now, vec![FIRST_PART, POISON + poison, own], until);
            }
        }
        for _ in 0..self.draws(self.random_per_s) {
            let n = self.rng.random_range(0..self.replicas.len());
            if self.replicas[n].down_until <= now {
                self.terminate(now, n);
            }
        }
    }

    fn send_new(&mut self, now: u64, parts: Vec<u64>, until: u64) {
        self.next_number += 1;
        let gateway = self.rng.random_range(0..self.gateways);
        let (number, sent) = (self.next_number, now);
        let r =
            Running { gateway, number, parts, sent, until, retried: false, has_survived: false };
        self.send(now, r);
    }

    fn send(&mut self, now: u64, r: Running) {
        if r.parts.iter().any(|p| self.quarantined.contains(&fingerprint(*p))) {
            self.outcome.refused += u64::from(!r.is_poison());
            return;
        }
        let up: Vec<_> =
            (0..self.replicas.len()).filter(|n| self.replicas[*n].down_until <= now).collect();
        if up.is_empty() {
            return;
        }
        let n = up[self.rng.random_range(0..up.len())];
        self.replicas[n].running.push(r);
    }

    fn advance(&mut self, now: u64) {
        for n in 0..self.replicas.len() {
            if self.replicas[n].running.iter().any(|r| r.is_poison() && r.until <= now) {
                self.outcome.terminated += 1;
                let all_known = (0..self.poisons).all(|p| {
                    let q = self.quarantine.iter().find(|(f, _)| **f == fingerprint(POISON + p));
                    q.is_some_and(|(_, q)| now > q.since.0 + 1_000)
                });
                self.outcome.late += u64::from(all_known);
                self.terminate(now, n);
                continue;
            }
            let running = std::mem::take(&mut self.replicas[n].running);
            for mut r in running {
                let survived = r.answering(now).is_some_and(|span| span >= SURVIVAL_TIME.0);
                let is_complete = r.until <= now;
                if (survived && !r.has_survived) || is_complete {
                    r.has_survived = true;
                    self.completed.extend(r.parts.iter().map(|p| (r.gateway, *p)));
                    self.survive(now, &r);
                }
                if is_complete {
                    self.last_completions.insert(r.gateway, now);
                    self.outcome.sound_served += u64::from(r.sent >= QUIET_MS);
                } else {
                    self.replicas[n].running.push(r);
                }
            }
        }
    }

    fn survive(&mut self, now: u64, r: &Running) {
        for f in r.parts.iter().map(|p| fingerprint(*p)) {
            let is_listed = self.suspects.get(&f).is_some_and(|since| *since <= r.sent);
            if is_listed && self.reported.insert((r.gateway, f)) {
                let spread = self.rng.random_range(0..=SPREAD_MS * self.gateways as u64);
                self.survivals.entry(now + spread).or_default().push(f);
            }
        }
    }

    fn terminate(&mut self, now: u64, n: usize) {
        let in_flight = std::mem::take(&mut self.replicas[n].running);
        self.replicas[n].down_until = now + self.rng.random_range(1_000..3_000);
        let gateways: BTreeSet<_> = in_flight.iter().map(|r| r.gateway).collect();
        for gateway in gateways {
            let own = in_flight.iter().filter(|r| r.gateway == gateway);
            let report = TerminationReport {
                replica: format!("r{n}-{now}"),
                service: "talk".to_owned(),
                completed_ago: self.last_completions.get(&gateway).map(|at| Millis(now - at)),
                ago: Millis(0),
                under_way: own.map(|r| self.in_flight(now, r)).collect(),
            };
            let arrives = now + self.rng.random_range(30..60);
            self.reports.entry(arrives).or_default().push(report);
        }
        for mut r in in_flight.into_iter().filter(|r| !r.retried) {
            if r.parts.iter().any(|p| self.suspects.contains_key(&fingerprint(*p))) {
                continue;
            }
            let took = r.until - r.sent;
            (r.sent, r.until, r.retried) = (now, now + took, true);
            self.send(now, r);
        }
    }

    fn in_flight(&self, now: u64, r: &Running) -> InFlightRequest {
        let to_part =
            |p: &u64| InFlightPart { id: *p, completed: self.completed.contains(&(r.gateway, *p)) };
        InFlightRequest {
            fingerprint: Fingerprint { brief: 1, digest: r.number },
            account: "club".to_owned(),
            age: Millis(now - r.sent),
            answering: r.answering(now).map(Millis),
            parts: r.parts.iter().map(to_part).collect(),
            ..InFlightRequest::default()
        }
    }

    fn deliver(&mut self, now: u64) {
        let mut changed = false;
        for reports in take_due(&mut self.reports, now) {
            self.log_index += 1;
            self.outcome.commands += reports.len() as u64;
            self.quarantine.record_terminations(Time(now), self.log_index, &reports);
            changed = true;
        }
        for survived in take_due(&mut self.survivals, now) {
            let listed: Vec<_> =
                survived.into_iter().filter(|f| self.suspects.contains_key(f)).collect();
            if listed.is_empty() {
                continue;
            }
            self.log_index += 1;
            self.outcome.commands += listed.len() as u64;
            self.quarantine.record_completions(Time(now), self.log_index, &listed);
            changed = true;
        }
        if changed {
            let list = self.quarantine.list();
            let suspects = list.suspects.into_iter().collect();
            let quarantined = list.quarantined.into_iter().collect();
            self.lists.insert(now + PUBLISH_DELAY_MS, (quarantined, suspects));
        }
        for (quarantined, suspects) in take_due(&mut self.lists, now) {
            self.quarantined = quarantined;
            self.suspects.retain(|f, _| suspects.contains(f));
            self.reported.retain(|(_, f)| suspects.contains(f));
            suspects.into_iter().for_each(|f| {
                self.suspects.entry(f).or_insert(now);
            });
        }
    }
}

fn take_due<T>(all: &mut BTreeMap<u64, T>, now: u64) -> Vec<T> {
    let later = all.split_off(&(now + 1));
    std::mem::replace(all, later).into_values().collect()
}

const SMALL: (usize, usize, u64) = (8, 16, 60);
const MIDDLE: (usize, usize, u64) = (64, 60, 300);
const LARGE: (usize, usize, u64) = (984, 400, 2_000);

/// Guards against parts that spread, and against sound requests that are refused because of them.
#[rstest]
#[case::one_part(SMALL, 1, 0, 20)]
#[case::two_parts(SMALL, 2, 0, 20)]
#[case::four_parts(SMALL, 4, 0, 20)]
#[case::one_beside_random_crashes(SMALL, 1, 1, 20)]
#[case::two_beside_random_crashes(SMALL, 2, 1, 20)]
#[case::only_random_crashes(SMALL, 0, 2, 20)]
#[case::gateways_64(MIDDLE, 1, 0, 6)]
#[case::gateways_64_beside_random_crashes(MIDDLE, 2, 2, 6)]
#[case::gateways_984(LARGE, 1, 0, 2)]
#[case::gateways_984_beside_random_crashes(LARGE, 2, 3, 2)]
fn parts_are_contained_and_sound_requests_are_not_refused(
    #[case] size: (usize, usize, u64),
    #[case] poisons: u64,
    #[case] random_per_s: u64,
    #[case] seeds: u64,
) {
    let (mut terminated, mut late, mut refused, mut commands) = (0, 0, 0, 0);
    let (mut served, mut sent) = (0, 0);
    for seed in 0..seeds {
        let simulation = Simulation { random_per_s, ..Simulation::new(seed, size, poisons) };
        let o = simulation.run();
        terminated += o.terminated;
        (late, refused, commands) = (late + o.late, refused + o.refused, commands + o.commands);
        (served, sent) = (served + o.sound_served, sent + o.sound_sent);
    }
    let per_second = commands as f64 / (seeds * (DURATION_MS - QUIET_MS)) as f64 * 1_000.0;
    let each = terminated as f64 / (poisons.max(1) * seeds) as f64;
    eprintln!(
        "{size:?}, {poisons} parts, {random_per_s} random crashes a second: {each:.1} replicas terminated by each \
         part, {late} late, {refused} sound requests refused, {:.3} served, {per_second:.1} commands a second",
        served as f64 / sent as f64
    );
    assert_eq!((refused, late), (0, 0));
    assert!(each <= MAX_TERMINATIONS_PER_PART, "each part terminated {each} replicas");
}
