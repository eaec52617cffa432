//! One run: a fleet, what a plan does to it, and what comes of the promises.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::fleet::document::budget_name;
use cypressfork_core::query::{Query, Reply};
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_wire::auth::Key;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

use crate::caller::{PATIENCE, ask, call_forever, poison, probe_forever};
use crate::check::{Bounds, Broken, POISONED, check, stop_of};
use crate::document::ACCOUNTS;
use crate::error::{Error, io};
use crate::fleet::{Fleet, Process, Programs, RETRY_EXTRA, STOP_WITHIN_S};
use crate::history::{At, Disruption, History, Kind, Outcome, Stop};
use crate::operator::{publish, read, read_forever, send, watch_gateway};
use crate::plan::{Fault, Limiting, Plan, QuietLeave, Resting, Step};
use crate::proxy::{Cut, Side};
use crate::replica::Replica;
use crate::world::World;

/// How long a fleet may take to serve for the first time.
const UP_WITHIN: Duration = Duration::from_secs(30);

/// How long a killed process stays down, in milliseconds.
const DOWN_MS: u64 = 300;

/// How long a started process is given before the fleet counts as calm, in milliseconds.
const START_MS: u64 = 1_500;

/// How long callers go on after the last fault.
const AFTER: Duration = Duration::from_secs(3);

/// Within this time each gateway answers again, in milliseconds.
const BACK_MS: u64 = 12_000;

/// Within this time of its third end of a replica, a request is known at every gateway, in milliseconds.
const KNOWN_MS: u64 = 3_000;

/// Times that a request may be sent to replicas after that, in all.
const POISONED_MOST: usize = 3;

/// Silence after which a follower stands for election, in milliseconds: the control processes' default.
const ELECTION_MS: u64 = 500;

/// How long a replica that a request has ended is down: mostly, and as when it starts again at once.
const REPLICA_DOWN: Duration = Duration::from_millis(1_500);
const REPLICA_DOWN_SHORTLY: Duration = Duration::from_millis(100);

/// Of a hundred replicas that have ended, those that start again under their id, and those that do so
/// at once.
const SAME_ID: u32 = 50;
const SHORTLY: u32 = 30;

/// How long poison requests are sent once more, when all faults are over.
const POISON_AGAIN: Duration = Duration::from_secs(2);

/// How long reports of what was spent may be under way.
const SETTLE: Duration = Duration::from_secs(2);

/// How long the group may take to tell what is spent.
const TELL_WITHIN: Duration = Duration::from_secs(5);

/// How often a gateway is asked whether it is back, and processes are looked after.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Time between two probes.
const PROBE_EVERY: Duration = Duration::from_millis(60);

/// Time between two documents of a storm.
const STORM_EVERY: Duration = Duration::from_millis(150);

/// What came of a run.
pub struct Verdict {
    /// The plan.
    pub plan: Plan,
    /// Promises that were broken.
    pub broken: Vec<Broken>,
    /// Requests that were sent, and those that were answered.
    pub requests: (usize, usize),
    /// Where the logs are.
    pub dir: PathBuf,
}

/// The bounds that the settings of the soak's fleets promise.
pub fn bounds() -> Bounds {
    Bounds {
        prepaid: ACCOUNTS.iter().map(|a| (a.name, a.prepaid)).collect(),
        in_force_ms: 2_500,
        calm_ms: 4_000,
        drain_ms: 2_500,
        retry_ratio: 0.2,
        retry_extra: RETRY_EXTRA,
        retry_window_ms: 10_000,
        stop_ms: STOP_WITHIN_S * 1_000 + 1_000,
        back_ms: BACK_MS,
        patience_ms: PATIENCE.as_millis() as u64,
        known_ms: KNOWN_MS,
        poisoned: POISONED_MOST,
        limit_counts_after_ms: 3_000,
        limit_span_ms: 4_000,
        limit_share: 1.5,
        limit_slack: 5.0,
        told_ms: 500,
        rest_counts_after_ms: 500,
        rest_most: 2,
        led_within_ms: 2 * ELECTION_MS,
    }
}

/// The stand-in replicas of one service.
struct Replicas {
    service: &'static str,
    started: usize,
    running: Vec<Rc<Replica>>,
}

struct Run {
    w: Rc<World>,
    fleet: Fleet,
    talk: RefCell<Replicas>,
    board: RefCell<Replicas>,
    tasks: RefCell<Vec<AbortHandle>>,
}

/// Plays a plan with its files in `dir`.
pub async fn play(plan: Plan, programs: &Programs, dir: &Path) -> Result<Verdict, Error> {
    let fleet = Fleet::lay_out(plan.seed, &plan.size, programs, dir).await?;
    let apis = fleet.controls.iter().map(|c| c.api).collect();
    let gateways = fleet.gateways.iter().map(|g| g.callers).collect();
    let operators = fleet.gateways.iter().map(|g| g.operators).collect();
    let w = Rc::new(World::new(plan.seed, apis, gateways, operators));
    let replicas = |service| RefCell::new(Replicas { service, started: 0, running: Vec::new() });
    let (talk, board) = (replicas("talk"), replicas("board"));
    let run = Rc::new(Run { w, fleet, talk, board, tasks: RefCell::default() });
    run.bring_up(&plan).await?;
    run.begin(&plan);
    run.disturb(&plan).await;
    run.see_it_come_back().await;
    run.send_poisons_again(&plan).await;
    run.finish().await;
    let history = run.w.history.borrow();
    Ok(Verdict {
        broken: check(&history, &bounds()),
        requests: (history.requests.len(), answered(&history)),
        dir: dir.to_owned(),
        plan,
    })
}

fn answered(h: &History) -> usize {
    h.requests.iter().filter(|r| matches!(r.outcome, Outcome::Answered { .. })).count()
}

impl Run {
    /// Starts everything and waits until each gateway answers.
    async fn bring_up(&self, plan: &Plan) -> Result<(), Error> {
        for p in self.fleet.processes() {
            p.start()?;
        }
        for n in 0..self.fleet.gateways.len() {
            self.count_start(n);
        }
        for _ in 0..plan.size.talk {
            self.add_replica(&self.talk).await?;
        }
        for _ in 0..plan.size.board {
            self.add_replica(&self.board).await?;
        }
        if !publish(&self.w, 0).await {
            return Err(Error::NotUp("acknowledged document"));
        }
        self.fleet.founded()?;
        let until = Instant::now() + UP_WITHIN;
        for n in 0..self.fleet.gateways.len() {
            while !self.answers(n).await {
                if Instant::now() > until {
                    return Err(Error::NotUp("gateway that answers"));
                }
                sleep(LOOK_EVERY).await;
            }
        }
        // What was asked before the fleet was up is no part of the run.
        let mut h = self.w.history.borrow_mut();
        let changes = std::mem::take(&mut h.changes);
        *h = History { changes, ..History::default() };
        Ok(())
    }

    fn count_start(&self, gateway: usize) {
        let incarnation = &self.w.incarnations[gateway];
        incarnation.set(incarnation.get() + 1);
    }

    /// Starts another replica, under an id of its own.
    async fn add_replica(&self, all: &RefCell<Replicas>) -> Result<(), Error> {
        let id = {
            let mut all = all.borrow_mut();
            all.started += 1;
            format!("{}-{}", all.service, all.started)
        };
        self.start_replica(all, id).await
    }

    /// Starts a replica again after its end: under its id, or another.
    async fn start_replica_again(&self, all: &RefCell<Replicas>, id: String) -> Result<(), Error> {
        if !self.w.happens(SAME_ID) {
            return self.add_replica(all).await;
        }
        self.w.ended.borrow_mut().retain(|ended| *ended != id);
        self.start_replica(all, id).await
    }

    async fn start_replica(&self, all: &RefCell<Replicas>, id: String) -> Result<(), Error> {
        let service = all.borrow().service;
        let started = Replica::start(&self.w, service, id).await.map_err(io("start a replica"))?;
        all.borrow_mut().running.push(started);
        Ok(())
    }

    /// Whether a gateway answers a plain request.
    async fn answers(&self, gateway: usize) -> bool {
        let before = self.w.history.borrow().requests.len();
        let id = format!("up-{gateway}-{}", self.w.at());
        ask(&self.w, gateway, id, Kind::Safe, None).await;
        let h = self.w.history.borrow();
        let mut new = h.requests[before..].iter().filter(|r| r.gateway == gateway);
        new.any(|r| matches!(r.outcome, Outcome::Answered { whole: true, .. }))
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.borrow_mut().push(actix_rt::spawn(task).abort_handle());
    }

    /// Sets callers, probes and the operator's looks going.
    fn begin(self: &Rc<Self>, plan: &Plan) {
        for n in 0..plan.size.callers {
            self.spawn(call_forever(self.w.clone(), n));
        }
        self.spawn(probe_forever(self.w.clone(), PROBE_EVERY));
        self.spawn(read_forever(self.w.clone()));
        for n in 0..self.fleet.gateways.len() {
            self.spawn(watch_gateway(self.w.clone(), n));
        }
        for p in plan.poisons.iter().copied() {
            let w = self.w.clone();
            self.spawn(async move {
                sleep(Duration::from_millis(p.at)).await;
                poison(w, p.number, Duration::from_millis(p.span)).await;
            });
        }
        for l in plan.limits.iter().copied() {
            let run = self.clone();
            self.spawn(async move {
                sleep(Duration::from_millis(l.at)).await;
                run.limit(l).await;
            });
        }
        for r in plan.rests.iter().copied() {
            let run = self.clone();
            self.spawn(async move {
                sleep(Duration::from_millis(r.at)).await;
                run.turn_away(r).await;
            });
        }
        for l in plan.quiet_leaves.iter().copied() {
            let run = self.clone();
            self.spawn(async move {
                sleep(Duration::from_millis(l.at)).await;
                run.leave_quietly(l).await;
            });
        }
        let run = self.clone();
        self.spawn(async move {
            loop {
                sleep(LOOK_EVERY).await;
                run.note_ends();
                run.note_ended_replicas();
            }
        });
    }

    /// Has replicas that requests have ended start again after a while, under another id and address.
    fn note_ended_replicas(self: &Rc<Self>) {
        for all in [&self.talk, &self.board] {
            let ended = self.w.ended.borrow().clone();
            let is_gone = |r: &mut Rc<Replica>| ended.contains(&r.id);
            let gone: Vec<_> = all.borrow_mut().running.extract_if(.., is_gone).collect();
            let talk = std::ptr::eq(all, &self.talk);
            for r in gone {
                self.disrupt(POISONED.to_owned(), REPLICA_DOWN.as_millis() as u64 + START_MS);
                let down =
                    if self.w.happens(SHORTLY) { REPLICA_DOWN_SHORTLY } else { REPLICA_DOWN };
                let (run, id) = (self.clone(), r.id.clone());
                self.spawn(async move {
                    sleep(down).await;
                    let all = if talk { &run.talk } else { &run.board };
                    run.start_replica_again(all, id).await.expect("a replica can be started");
                });
            }
        }
    }

    fn replicas_of(&self, talk: bool) -> &RefCell<Replicas> {
        if talk { &self.talk } else { &self.board }
    }

    /// One of the replicas of a service, or all.
    fn some(&self, talk: bool, one: Option<usize>) -> Vec<Rc<Replica>> {
        let all = self.replicas_of(talk);
        match one {
            Some(n) => self.nth(all, n).into_iter().collect(),
            None => all.borrow().running.clone(),
        }
    }

    /// Has replicas name a limit.
    async fn limit(&self, l: Limiting) {
        let span = Duration::from_millis(l.span);
        let limited = self.some(l.talk, l.replica);
        let named = limited.iter().map(|r| r.name_limit(&self.w, l.thousandths, span));
        futures_util::future::join_all(named).await;
    }

    /// Has replicas turn requests away and ask for rest.
    async fn turn_away(&self, r: Resting) {
        let resting = self.some(r.talk, r.replica);
        let all = resting.iter().map(|one| one.turn_away(r));
        futures_util::future::join_all(all).await;
    }

    /// Has a replica leave that says so in its answers alone.
    async fn leave_quietly(&self, l: QuietLeave) {
        let all = self.replicas_of(l.talk);
        self.add_replica(all).await.expect("a replica can be started");
        if let Some(gone) = self.take(all, l.replica) {
            gone.leave_quietly(self.w.clone()).await;
        }
    }

    /// Sends poison requests once more, when the fleet has been calm for long enough to count.
    async fn send_poisons_again(&self, plan: &Plan) {
        if plan.poisons.is_empty() {
            return;
        }
        let last = self.w.history.borrow().disruptions.iter().map(|d| d.until).max();
        let calm = last.unwrap_or_default() + bounds().calm_ms;
        sleep(Duration::from_millis(calm.saturating_sub(self.w.at()))).await;
        let all = plan.poisons.iter().map(|p| poison(self.w.clone(), p.number, POISON_AGAIN));
        futures_util::future::join_all(all).await;
    }

    fn note_ends(&self) {
        for p in self.fleet.processes().filter(|p| !p.busy.get()) {
            if p.has_ended() {
                self.w.history.borrow_mut().ended.push(p.name.clone());
            }
        }
    }

    /// Does what the plan says, each step at its time, and waits for the last to end.
    async fn disturb(self: &Rc<Self>, plan: &Plan) {
        let started = Instant::now();
        let mut steps = Vec::new();
        for step in plan.steps.clone() {
            let run = self.clone();
            steps.push(actix_rt::spawn(async move {
                tokio::time::sleep_until(started + Duration::from_millis(step.at)).await;
                run.step(step).await;
            }));
        }
        for s in steps {
            // A step that panicked is a fault of the soak, and ends the run.
            s.await.expect("a step was played");
        }
        let healed = self.w.at();
        self.w.history.borrow_mut().healed = healed;
    }

    fn disrupt(&self, what: String, lasts: u64) {
        let from = self.w.at();
        let d = Disruption { what, from, until: from + lasts };
        self.w.history.borrow_mut().disruptions.push(d);
    }

    async fn step(self: &Rc<Self>, s: Step) {
        let span = Duration::from_millis(s.span);
        let (controls, gateways) = (&self.fleet.controls, &self.fleet.gateways);
        match s.fault {
            Fault::StopGateway(n) => return self.stop_gateway(n).await,
            Fault::Grow(more) => return self.grow(more).await,
            Fault::Storm(n) => return self.storm(n).await,
            Fault::Race => return self.race().await,
            _ => self.disrupt(format!("{:?}", s.fault), s.span + START_MS),
        }
        let control = |n: usize| vec![&controls[n].process];
        match s.fault {
            Fault::KillGateway(n) => self.kill(vec![&gateways[n].process], None).await,
            Fault::KillControl(n) => self.kill(control(n), None).await,
            Fault::EmptyDisk(n) => self.kill(control(n), Some(n)).await,
            Fault::SeedsAway => {
                let seeds = controls.iter().take(2).map(|c| &c.process).collect();
                self.away(seeds, span).await;
            }
            Fault::KillControls => {
                self.kill(controls.iter().map(|c| &c.process).collect(), None).await;
            }
            Fault::KillAll => self.kill(self.fleet.processes().collect(), None).await,
            Fault::PauseGateway(n) => self.pause(&gateways[n].process, span).await,
            Fault::PauseControl(n) => self.pause(&controls[n].process, span).await,
            Fault::StopControl(n) => self.stop_control(n).await,
            Fault::CutGateway(n) => self.cut(both_ways(named("gateway", n), Side::All), span).await,
            Fault::CutControl(n) => self.cut(both_ways(named("control", n), Side::All), span).await,
            Fault::CutAllGateways => {
                let (g, c) = (Side::Named("gateway-".into()), Side::Named("control-".into()));
                self.cut(both_ways(g, c), span).await;
            }
            Fault::DeafControl(n) => {
                self.cut(vec![Cut { from: Side::All, to: named("control", n) }], span).await;
            }
            Fault::Delay(n, ms) => self.delay(n, Duration::from_millis(ms), span).await,
            Fault::Reset => self.fleet.net.reset(),
            Fault::CrashTalk(n) => self.crash(&self.talk, n).await,
            Fault::CrashBoard(n) => self.crash(&self.board, n).await,
            Fault::LeaveTalk(n) => self.leave(&self.talk, n).await,
            Fault::LeaveBoard(n) => self.leave(&self.board, n).await,
            Fault::GreyTalk(n) => {
                if let Some(r) = self.nth(&self.talk, n) {
                    r.turn_grey(span).await;
                }
            }
            Fault::FullBoard(n) => self.fill(n, span).await,
            Fault::StopGateway(_) | Fault::Grow(_) | Fault::Storm(_) | Fault::Race => {}
        }
    }

    /// One of the replicas that run, if any does.
    fn nth(&self, all: &RefCell<Replicas>, n: usize) -> Option<Rc<Replica>> {
        let all = all.borrow();
        all.running.get(n % all.running.len().max(1)).cloned()
    }

    /// Kills processes that nothing else is done to, empties a disk, and starts them again.
    async fn kill(&self, all: Vec<&Process>, empty: Option<usize>) {
        let taken: Vec<_> = all.into_iter().filter(|p| !p.busy.replace(true)).collect();
        taken.iter().for_each(|p| p.kill());
        sleep(Duration::from_millis(DOWN_MS)).await;
        if let (Some(n), false) = (empty, taken.is_empty()) {
            self.fleet.empty_disk(n).expect("the soak's own folder can be emptied");
        }
        for p in taken {
            self.start_again(p);
        }
    }

    /// Kills processes that nothing else is done to, and starts them again after `span`.
    async fn away(&self, all: Vec<&Process>, span: Duration) {
        let taken: Vec<_> = all.into_iter().filter(|p| !p.busy.replace(true)).collect();
        taken.iter().for_each(|p| p.kill());
        sleep(span).await;
        taken.into_iter().for_each(|p| self.start_again(p));
    }

    fn start_again(&self, p: &Process) {
        if let Some(n) = self.fleet.gateways.iter().position(|g| g.process.name == p.name) {
            self.count_start(n);
        }
        p.start().expect("a program that ran can be started again");
        p.busy.set(false);
    }

    async fn pause(&self, p: &Process, span: Duration) {
        if p.busy.replace(true) {
            return;
        }
        p.signal("STOP");
        sleep(span).await;
        p.signal("CONT");
        p.busy.set(false);
    }

    async fn stop_control(&self, n: usize) {
        let p = &self.fleet.controls[n].process;
        if p.busy.replace(true) {
            return;
        }
        p.stop().await;
        self.start_again(p);
    }

    async fn stop_gateway(&self, n: usize) {
        let p = &self.fleet.gateways[n].process;
        if p.busy.replace(true) {
            return;
        }
        let asked = self.w.at();
        p.stop().await;
        let ended = self.w.at();
        let d = Disruption { what: stop_of(n), from: asked, until: ended + START_MS };
        let mut h = self.w.history.borrow_mut();
        h.stops.push(Stop { gateway: n, asked, ended: Some(ended) });
        h.disruptions.push(d);
        drop(h);
        self.start_again(p);
    }

    async fn cut(&self, cuts: Vec<Cut>, span: Duration) {
        let id = self.fleet.net.cut(cuts);
        sleep(span).await;
        self.fleet.net.heal(id);
    }

    async fn delay(&self, n: usize, each: Duration, span: Duration) {
        let controls = self.fleet.controls.len();
        let name = match n.checked_sub(controls) {
            Some(n) => format!("gateway-{n}"),
            None => format!("control-{n}"),
        };
        let id = self.fleet.net.delay(&name, each);
        sleep(span).await;
        self.fleet.net.heal(id);
    }

    async fn crash(&self, all: &RefCell<Replicas>, n: usize) {
        let Some(gone) = self.take(all, n) else { return };
        gone.crash();
        let again = self.start_replica_again(all, gone.id.clone()).await;
        again.expect("a replica can be started");
    }

    async fn leave(&self, all: &RefCell<Replicas>, n: usize) {
        self.add_replica(all).await.expect("a replica can be started");
        if let Some(gone) = self.take(all, n) {
            gone.leave(self.w.clone()).await;
        }
    }

    fn take(&self, all: &RefCell<Replicas>, n: usize) -> Option<Rc<Replica>> {
        let mut all = all.borrow_mut();
        let n = n % all.running.len().max(1);
        (n < all.running.len()).then(|| all.running.remove(n))
    }

    async fn fill(&self, n: usize, span: Duration) {
        let Some(full) = self.nth(&self.board, n) else { return };
        full.set_full(true);
        sleep(span).await;
        full.set_full(false);
    }

    async fn grow(&self, more: usize) {
        // One that is not acknowledged is noted as such.
        publish(&self.w, more).await;
    }

    async fn storm(&self, n: usize) {
        let mut all = Vec::new();
        for _ in 0..n {
            let w = self.w.clone();
            all.push(actix_rt::spawn(async move {
                publish(&w, 0).await;
            }));
            sleep(STORM_EVERY).await;
        }
        for one in all {
            // One that panicked is a fault of the soak, and ends the run.
            one.await.expect("a document was sent");
        }
    }

    /// Two operators send documents of the same version, and one sends an older one again.
    async fn race(&self) {
        let version = self.w.sent.get() + 1;
        self.w.sent.set(version);
        let (one, other) = (send(&self.w, version, 0), send(&self.w, version, 3));
        tokio::join!(one, other);
        send(&self.w, version - 1, 0).await;
    }

    /// Waits until each gateway answers again.
    async fn see_it_come_back(&self) {
        let healed = self.w.history.borrow().healed;
        let mut back: Vec<Option<At>> = vec![None; self.fleet.gateways.len()];
        while self.w.at() < healed + BACK_MS && back.iter().any(Option::is_none) {
            for (n, at) in back.iter_mut().enumerate().filter(|(_, at)| at.is_none()) {
                if self.answers(n).await {
                    *at = Some(self.w.at());
                }
            }
            sleep(LOOK_EVERY).await;
        }
        self.w.history.borrow_mut().back = back;
        sleep(AFTER).await;
    }

    /// Lets requests end, reads the document back, and asks the group what is spent.
    async fn finish(&self) {
        self.w.over.set(true);
        sleep(SETTLE).await;
        read(&self.w).await;
        let spent = self.spent().await;
        self.w.history.borrow_mut().spent = spent;
        self.note_ends();
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    async fn spent(&self) -> BTreeMap<&'static str, u64> {
        let me = Credentials {
            key: Key::new(b"soak"),
            cluster: "soak".to_owned(),
            name: "soak".to_owned(),
        };
        let group = GroupClient::new(me, self.fleet.links());
        let Ok(Reply::Budgets(all)) = group.query(&Query::Budgets(None), TELL_WITHIN).await else {
            return BTreeMap::new();
        };
        let spent = |name: &str| {
            let budget = budget_name(name);
            all.iter().find(|b| b.name == budget).map(|b| b.spent + b.stranded + b.held)
        };
        ACCOUNTS.iter().filter_map(|a| Some((a.name, spent(a.name)?))).collect()
    }
}

fn named(kind: &str, n: usize) -> Side {
    Side::Named(format!("{kind}-{n}"))
}

fn both_ways(a: Side, b: Side) -> Vec<Cut> {
    vec![Cut { from: a.clone(), to: b.clone() }, Cut { from: b, to: a }]
}
