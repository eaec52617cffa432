//! One soak run: starts a fleet, executes a plan on it and checks the promises.

mod stops;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::fleet::document::budget_name;
use cypressfork_core::query::{Query, Reply};
use cypressfork_fakes::crowd::{self, Crowd};
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_wire::auth::Key;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

use crate::caller::{
    CALLER_TIMEOUT, DEADLINE_MS, run_caller, run_prober, run_slow_callers, send_poison,
    send_recorded,
};
use crate::check::{Bounds, BrokenPromise, POISONED, REPLICA_CUT, check};
use crate::document::ACCOUNTS;
use crate::error::{Error, io};
use crate::fleet::{
    CONTROL_MEMORY_MB, Fleet, Process, Programs, RETRY_EXTRA, STOP_SERVE_S, STOP_WITHIN_S,
    gateway_source,
};
use crate::history::{Disruption, History, Kind, Outcome, ReplicaCutPeriod, Timestamp};
use crate::operator::{publish, read_version, read_version_forever, send_document, watch_gateway};
use crate::plan::{
    ClientCrowd, Door, Fault, HeaderDrain, Plan, RateLimit, ReplicaCut, RetryAfterPeriod, Step,
};
use crate::proxy::{Cut, Side};
use crate::replica::{LONG_EVENT_INTERVAL, Replica};
use crate::signals::Series;
use crate::world::World;

/// Time within which a new fleet must serve requests.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// Downtime of a killed process, in milliseconds.
const DOWNTIME_MS: u64 = 300;

/// Time after a fault for which the fleet still counts as disturbed while processes start, in
/// milliseconds.
const START_DISRUPTION_MS: u64 = 1_500;

/// Percentage of the time of a stop after which a gateway may cut responses that are in progress.
const STOP_CUT_PERCENT: u64 = 94;

/// Time for which callers continue after recovery.
const LOAD_AFTER_RECOVERY: Duration = Duration::from_secs(3);

/// Time within which each gateway must serve again after the last fault, in milliseconds.
const RECOVERY_LIMIT_MS: u64 = 12_000;

/// Time within which every gateway must quarantine a request after it crashed a third replica, in
/// milliseconds.
const QUARANTINE_LIMIT_MS: u64 = 3_000;

/// Maximum number of times that replicas may run a poison request that is due to be quarantined.
const MAX_LATE_POISON_RUNS: usize = 3;

/// Maximum memory of a gateway, in bytes.
const MAX_GATEWAY_MEMORY: u64 = 64_000_000;

/// Maximum memory of a control process, in bytes: four fifths of that of its machine.
const MAX_CONTROL_MEMORY: u64 = CONTROL_MEMORY_MB * 800_000;

/// Number of connections of a crowd.
const CROWD_CONNECTIONS: usize = 50;

/// Faults of crowds whose requests are never complete.
const INCOMPLETE_FAULTS: [&str; 5] =
    ["slow-head", "half-body", "partial-body", "endless-chunks", "declared"];

/// What a gateway may hold for slow callers in a run that has some, in MiB.
const CALLER_BUFFER_MB: u64 = 1;

/// Default election timeout of the control processes, in milliseconds.
const ELECTION_TIMEOUT_MS: u64 = 500;

/// Delay before a replica that a request crashed is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// Delay before a replica that a request crashed is restarted, in the short case.
const SHORT_RESTART_DELAY: Duration = Duration::from_millis(100);

/// Percentage of restarted replicas that keep their id.
const SAME_ID_PERCENT: u32 = 50;

/// Percentage of crashed replicas that are restarted after the short delay.
const SHORT_DELAY_PERCENT: u32 = 30;

/// Time for which poison requests are sent again after all faults.
const FINAL_POISON_SPAN: Duration = Duration::from_secs(2);

/// Time allowed for spending reports to reach the control group.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Timeout for querying budgets from the control group.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which gateways and processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// Interval between two documents of [`Fault::Storm`].
const STORM_INTERVAL: Duration = Duration::from_millis(150);

/// Result of a run.
pub struct Verdict {
    /// The plan that was executed.
    pub plan: Plan,
    /// The promises that were broken.
    pub broken: Vec<BrokenPromise>,
    /// Number of requests sent and number of requests answered.
    pub requests: (usize, usize),
    /// Directory of the logs.
    pub dir: PathBuf,
}

/// Returns the bounds that follow from the settings of the soak's fleets.
pub fn bounds() -> Bounds {
    Bounds {
        prepaid: ACCOUNTS.iter().map(|a| (a.name, a.prepaid)).collect(),
        propagation_ms: 2_500,
        undisturbed_ms: 4_000,
        drain_ms: 2_500,
        retry_ratio: 0.2,
        retry_extra: RETRY_EXTRA,
        retry_window_ms: 10_000,
        stop_ms: STOP_WITHIN_S * 1_000 + 1_000,
        stop_serve_ms: STOP_SERVE_S * 1_000,
        stop_cut_ms: STOP_WITHIN_S * 1_000 * STOP_CUT_PERCENT / 100,
        deadline_ms: DEADLINE_MS,
        received_ms: 1_000,
        recovery_ms: RECOVERY_LIMIT_MS,
        caller_timeout_ms: CALLER_TIMEOUT.as_millis() as u64,
        quarantine_ms: QUARANTINE_LIMIT_MS,
        max_late_poison_runs: MAX_LATE_POISON_RUNS,
        limit_counts_after_ms: 3_000,
        limit_window_ms: 4_000,
        limit_factor: 1.5,
        limit_slack: 5.0,
        limit_grace_ms: 500,
        backoff_counts_after_ms: 500,
        max_backoff_requests: 2,
        max_leaderless_ms: 2 * ELECTION_TIMEOUT_MS,
        max_gateway_memory: MAX_GATEWAY_MEMORY,
        max_control_memory: MAX_CONTROL_MEMORY,
        min_resumed: 12,
        min_resumed_ratio: 0.5,
        cut_counts_after_ms: 3_000,
        min_cut_ratio: 2.0 / 3.0,
        max_cut_failures: (10, 0.02),
    }
}

/// The simulated replicas of one service.
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
    /// What processes get during planned stops.
    series: Vec<Series>,
    /// Number of planned stops so far.
    stops: Cell<usize>,
}

/// Executes a plan, with files of the fleet in `dir`, and checks the recorded history.
///
/// # Errors
/// Fails if the fleet cannot be started.
pub async fn execute(plan: Plan, programs: &Programs, dir: &Path) -> Result<Verdict, Error> {
    let caller_buffer_mb = (!plan.slow_callers.is_empty()).then_some(CALLER_BUFFER_MB);
    let fleet = Fleet::prepare(plan.seed, &plan.size, caller_buffer_mb, programs, dir).await?;
    let apis = fleet.controls.iter().map(|c| c.api).collect();
    let gateways = fleet.gateways.iter().map(|g| g.callers).collect();
    let operators = fleet.gateways.iter().map(|g| g.operators).collect();
    let w = Rc::new(World::new(plan.seed, apis, gateways, operators));
    w.versions.set(plan.versions);
    w.stutters.set(plan.stutters);
    if !plan.series.is_empty() {
        w.event_interval.set(LONG_EVENT_INTERVAL);
    }
    let replicas = |service| RefCell::new(Replicas { service, started: 0, running: Vec::new() });
    let (talk, board) = (replicas("talk"), replicas("board"));
    let run = Rc::new(Run {
        w,
        fleet,
        talk,
        board,
        tasks: RefCell::default(),
        series: plan.series.clone(),
        stops: Cell::new(0),
    });
    run.start_fleet(&plan).await?;
    run.spawn_tasks(&plan);
    run.run_steps(&plan).await;
    run.wait_for_recovery().await;
    run.run_final_cuts(&plan).await;
    run.send_final_poisons(&plan).await;
    run.finish().await;
    let history = run.w.history.borrow();
    Ok(Verdict {
        broken: check(&history, &bounds()),
        requests: (history.requests.len(), count_answered(&history)),
        dir: dir.to_owned(),
        plan,
    })
}

fn count_answered(h: &History) -> usize {
    h.requests.iter().filter(|r| matches!(r.outcome, Outcome::Answered { .. })).count()
}

impl Run {
    /// Starts all processes and replicas and waits until each gateway serves requests.
    async fn start_fleet(&self, plan: &Plan) -> Result<(), Error> {
        for p in self.fleet.processes() {
            p.start()?;
        }
        for n in 0..self.fleet.gateways.len() {
            self.increment_incarnation(n);
        }
        for _ in 0..plan.size.talk {
            self.add_replica(&self.talk).await?;
        }
        for _ in 0..plan.size.board {
            self.add_replica(&self.board).await?;
        }
        if !publish(&self.w, 0).await {
            return Err(Error::NotReady("acknowledged document"));
        }
        self.fleet.disable_founding()?;
        let until = Instant::now() + STARTUP_TIMEOUT;
        for n in 0..self.fleet.gateways.len() {
            while !self.is_serving(n).await {
                if Instant::now() > until {
                    return Err(Error::NotReady("answer from a gateway"));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        // Requests from before the fleet was up are not checked.
        let mut h = self.w.history.borrow_mut();
        let changes = std::mem::take(&mut h.changes);
        let replica_lives = std::mem::take(&mut h.replica_lives);
        *h = History { changes, replica_lives, ..History::default() };
        Ok(())
    }

    fn increment_incarnation(&self, gateway: usize) {
        let incarnation = &self.w.incarnations[gateway];
        incarnation.set(incarnation.get() + 1);
    }

    /// Starts a replica under a new id.
    async fn add_replica(&self, all: &RefCell<Replicas>) -> Result<(), Error> {
        let id = {
            let mut all = all.borrow_mut();
            all.started += 1;
            format!("{}-{}", all.service, all.started)
        };
        self.start_replica(all, id).await
    }

    /// Restarts a crashed replica, under its own id or a new one as drawn.
    async fn restart_replica(&self, all: &RefCell<Replicas>, id: String) -> Result<(), Error> {
        if !self.w.random_bool(SAME_ID_PERCENT) {
            return self.add_replica(all).await;
        }
        self.w.crashed.borrow_mut().retain(|crashed| *crashed != id);
        self.start_replica(all, id).await
    }

    async fn start_replica(&self, all: &RefCell<Replicas>, id: String) -> Result<(), Error> {
        let service = all.borrow().service;
        let started = Replica::start(&self.w, service, id).await.map_err(io("start a replica"))?;
        all.borrow_mut().running.push(started);
        Ok(())
    }

    /// Returns whether a gateway completes a safe request.
    async fn is_serving(&self, gateway: usize) -> bool {
        let before = self.w.history.borrow().requests.len();
        let id = format!("up-{gateway}-{}", self.w.now());
        send_recorded(&self.w, gateway, id, Kind::Safe, None).await;
        let h = self.w.history.borrow();
        let mut new = h.requests[before..].iter().filter(|r| r.gateway == gateway);
        new.any(|r| matches!(r.outcome, Outcome::Answered { whole: true, .. }))
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.borrow_mut().push(actix_rt::spawn(task).abort_handle());
    }

    /// Spawns the callers, probes, operator reads, scheduled replica faults and process monitoring.
    fn spawn_tasks(self: &Rc<Self>, plan: &Plan) {
        for n in 0..plan.size.callers {
            self.spawn(run_caller(self.w.clone(), n));
        }
        self.spawn(run_prober(self.w.clone(), PROBE_INTERVAL));
        self.spawn(read_version_forever(self.w.clone()));
        for n in 0..self.fleet.gateways.len() {
            self.spawn(watch_gateway(self.w.clone(), n));
        }
        for p in plan.poisons.iter().copied() {
            let w = self.w.clone();
            self.spawn(async move {
                sleep(Duration::from_millis(p.at)).await;
                send_poison(w, p.number, Duration::from_millis(p.span)).await;
            });
        }
        for l in plan.limits.iter().copied() {
            let run = self.clone();
            self.spawn(async move {
                sleep(Duration::from_millis(l.at)).await;
                run.announce_limit(l).await;
            });
        }
        for r in plan.retry_after_periods.iter().copied() {
            let run = self.clone();
            self.spawn(async move {
                sleep(Duration::from_millis(r.at)).await;
                run.reject_with_retry_after(r).await;
            });
        }
        for d in plan.header_drains.iter().copied() {
            let run = self.clone();
            self.spawn(async move {
                sleep(Duration::from_millis(d.at)).await;
                run.drain_by_header(d).await;
            });
        }
        for cut in plan.replica_cuts.iter().copied() {
            let Some(at) = cut.at else { continue };
            let run = self.clone();
            self.spawn(async move {
                sleep(Duration::from_millis(at)).await;
                run.cut_from_replicas(cut).await;
            });
        }
        for s in plan.slow_callers.iter().copied() {
            let w = self.w.clone();
            self.spawn(async move {
                sleep(Duration::from_millis(s.at)).await;
                run_slow_callers(w, s).await;
            });
        }
        for c in plan.crowds.iter().copied() {
            let run = self.clone();
            self.spawn(async move {
                sleep(Duration::from_millis(c.at)).await;
                run.play_crowd(c).await;
            });
        }
        let run = self.clone();
        self.spawn(async move {
            loop {
                sleep(POLL_INTERVAL).await;
                run.record_exits();
                run.record_memory();
                run.restart_crashed_replicas();
            }
        });
    }

    /// Schedules the restart of replicas that poison requests crashed.
    fn restart_crashed_replicas(self: &Rc<Self>) {
        for all in [&self.talk, &self.board] {
            let ids = self.w.crashed.borrow().clone();
            let has_crashed = |r: &mut Rc<Replica>| ids.contains(&r.id);
            let crashed: Vec<_> = all.borrow_mut().running.extract_if(.., has_crashed).collect();
            let talk = std::ptr::eq(all, &self.talk);
            for r in crashed {
                self.record_disruption(
                    POISONED.to_owned(),
                    RESTART_DELAY.as_millis() as u64 + START_DISRUPTION_MS,
                );
                let delay = if self.w.random_bool(SHORT_DELAY_PERCENT) {
                    SHORT_RESTART_DELAY
                } else {
                    RESTART_DELAY
                };
                let (run, id) = (self.clone(), r.id.clone());
                self.spawn(async move {
                    sleep(delay).await;
                    let all = if talk { &run.talk } else { &run.board };
                    run.restart_replica(all, id).await.expect("a replica can be started");
                });
            }
        }
    }

    fn replicas_of(&self, talk: bool) -> &RefCell<Replicas> {
        if talk { &self.talk } else { &self.board }
    }

    /// Returns one of the replicas of a service, or all if `one` is `None`.
    fn select_replicas(&self, talk: bool, one: Option<usize>) -> Vec<Rc<Replica>> {
        let all = self.replicas_of(talk);
        match one {
            Some(n) => self.replica_at(all, n).into_iter().collect(),
            None => all.borrow().running.clone(),
        }
    }

    /// Makes replicas announce a rate limit.
    async fn announce_limit(&self, l: RateLimit) {
        let span = Duration::from_millis(l.span);
        let replicas = self.select_replicas(l.talk, l.replica);
        let tasks = replicas.iter().map(|r| r.announce_limit(&self.w, l.thousandths, span));
        futures_util::future::join_all(tasks).await;
    }

    /// Makes replicas reject requests with `Retry-After`.
    async fn reject_with_retry_after(&self, r: RetryAfterPeriod) {
        let replicas = self.select_replicas(r.talk, r.replica);
        let tasks = replicas.iter().map(|one| one.run_retry_after_period(r));
        futures_util::future::join_all(tasks).await;
    }

    /// Starts a replica, then drains another, which announces it only in a response header.
    async fn drain_by_header(&self, d: HeaderDrain) {
        let all = self.replicas_of(d.talk);
        self.add_replica(all).await.expect("a replica can be started");
        if let Some(removed) = self.remove_replica(all, d.replica) {
            removed.drain_by_header(self.w.clone()).await;
        }
    }

    /// Partitions gateways from all replicas, also from those that start meanwhile.
    async fn cut_from_replicas(&self, cut: ReplicaCut) {
        self.record_disruption(REPLICA_CUT.to_owned(), cut.span + START_DISRUPTION_MS);
        let gateways = cut.gateways(self.fleet.gateways.len());
        let sources: Vec<_> = gateways.iter().map(|n| gateway_source(*n)).collect();
        let replicas = || {
            let talk = self.talk.borrow().running.clone();
            talk.into_iter().chain(self.board.borrow().running.clone())
        };
        self.w.cut_off.borrow_mut().clone_from(&sources);
        for r in replicas() {
            r.cut(&sources, cut.open).expect("packets can be filtered");
        }
        let from = self.w.now();
        sleep(Duration::from_millis(cut.span)).await;
        self.w.cut_off.borrow_mut().clear();
        replicas().for_each(|r| r.heal());
        let until = self.w.now();
        self.w.history.borrow_mut().replica_cuts.push(ReplicaCutPeriod { gateways, from, until });
    }

    /// Runs the partitions that come after all other faults, once the fleet has been undisturbed.
    async fn run_final_cuts(&self, plan: &Plan) {
        for cut in plan.replica_cuts.iter().filter(|c| c.at.is_none()) {
            self.wait_until_undisturbed().await;
            self.cut_from_replicas(*cut).await;
        }
    }

    /// Waits until the fleet has been undisturbed for `undisturbed_ms`.
    async fn wait_until_undisturbed(&self) {
        let last = self.w.history.borrow().disruptions.iter().map(|d| d.until).max();
        let undisturbed_from = last.unwrap_or_default() + bounds().undisturbed_ms;
        sleep(Duration::from_millis(undisturbed_from.saturating_sub(self.w.now()))).await;
    }

    /// Sends the poison requests again once the fleet has been undisturbed for `undisturbed_ms`.
    async fn send_final_poisons(&self, plan: &Plan) {
        if plan.poisons.is_empty() {
            return;
        }
        self.wait_until_undisturbed().await;
        let all =
            plan.poisons.iter().map(|p| send_poison(self.w.clone(), p.number, FINAL_POISON_SPAN));
        futures_util::future::join_all(all).await;
    }

    /// Lets a crowd of clients connect to one process.
    async fn play_crowd(&self, c: ClientCrowd) {
        let (gateways, controls) = (&self.fleet.gateways, &self.fleet.controls);
        let gateway = &gateways[c.process % gateways.len()];
        let (to, method, path) = match c.door {
            Door::Front => (gateway.callers, "PUT", "/talk/x"),
            Door::Operators => (gateway.operators, "GET", "/metrics"),
            Door::Control => (controls[c.process % controls.len()].api, "PUT", "/v1/document"),
        };
        // Requests that are complete must not reach replicas, whose arrivals are checked against those of the callers.
        let never_completes = INCOMPLETE_FAULTS.contains(&c.fault);
        let key = if never_completes { ACCOUNTS[0].key } else { "none" };
        let crowd = Crowd {
            to: vec![to],
            fault: crowd::Fault::parse(c.fault).expect("plans have known faults"),
            method: method.to_owned(),
            path: path.to_owned(),
            headers: format!("X-Request-Id: crowd\r\nAuthorization: Bearer {key}\r\n"),
            until: Instant::now() + Duration::from_millis(c.span),
            prompts: Cell::new(1),
        };
        crowd.play(CROWD_CONNECTIONS).await;
    }

    /// Records how much memory the processes use.
    fn record_memory(&self) {
        for p in self.fleet.processes() {
            let Some(bytes) = p.memory() else { continue };
            let mut h = self.w.history.borrow_mut();
            let most = h.memory.entry(p.name.clone()).or_default();
            *most = bytes.max(*most);
        }
    }

    /// Records processes that exited while no step was using them.
    fn record_exits(&self) {
        for p in self.fleet.processes().filter(|p| !p.busy.get()) {
            if p.has_ended() {
                self.w.history.borrow_mut().unexpected_exits.push(p.name.clone());
            }
        }
    }

    /// Runs each step of the plan at its time and waits for all to end.
    async fn run_steps(self: &Rc<Self>, plan: &Plan) {
        let started = Instant::now();
        let mut steps = Vec::new();
        for step in plan.steps.clone() {
            let run = self.clone();
            steps.push(actix_rt::spawn(async move {
                tokio::time::sleep_until(started + Duration::from_millis(step.at)).await;
                run.run_step(step).await;
            }));
        }
        for s in steps {
            // A panic in a step is a bug in the soak test and aborts the run.
            s.await.expect("the task of a step does not panic");
        }
        let healed = self.w.now();
        self.w.history.borrow_mut().healed = healed;
    }

    /// Records a disruption that starts now and lasts `lasts` milliseconds.
    fn record_disruption(&self, what: String, lasts: u64) {
        let from = self.w.now();
        let d = Disruption { what, from, until: from + lasts };
        self.w.history.borrow_mut().disruptions.push(d);
    }

    async fn run_step(self: &Rc<Self>, s: Step) {
        let span = Duration::from_millis(s.span);
        let (controls, gateways) = (&self.fleet.controls, &self.fleet.gateways);
        let gateway_processes: Vec<_> = gateways.iter().map(|g| &g.process).collect();
        match s.fault {
            Fault::StopGateway(n) => return self.stop(&gateways[n].process).await,
            Fault::StopControl(n) => return self.stop(&controls[n].process).await,
            Fault::StopGateways => {
                let all = gateway_processes.into_iter().map(|p| self.stop(p));
                futures_util::future::join_all(all).await;
                return;
            }
            Fault::StopGatewaysInTurn { first, interval } => {
                return self.stop_in_turn(first, interval, gateway_processes).await;
            }
            Fault::StopControlsInTurn { first, interval } => {
                let all = controls.iter().map(|c| &c.process).collect();
                return self.stop_in_turn(first, interval, all).await;
            }
            Fault::StopGatewayAtStart { gateway, after } => {
                return self.stop_at_start(&gateways[gateway].process, after).await;
            }
            Fault::StopControlAtStart { control, after } => {
                return self.stop_at_start(&controls[control].process, after).await;
            }
            Fault::Reload { process, times } => {
                let p = self.fleet.processes().nth(process).expect("a process of the fleet");
                return stops::reload(p, times).await;
            }
            Fault::Grow(extra_routes) => return self.grow(extra_routes).await,
            Fault::Storm(n) => return self.storm(n).await,
            Fault::Race => return self.race().await,
            _ => self.record_disruption(format!("{:?}", s.fault), s.span + START_DISRUPTION_MS),
        }
        let control = |n: usize| vec![&controls[n].process];
        match s.fault {
            Fault::KillGateway(n) => self.kill(vec![&gateways[n].process], None).await,
            Fault::KillControl(n) => self.kill(control(n), None).await,
            Fault::EmptyDisk(n) => self.kill(control(n), Some(n)).await,
            Fault::SeedsAway => {
                let seeds = controls.iter().take(2).map(|c| &c.process).collect();
                self.kill_for(seeds, span).await;
            }
            Fault::KillControls => {
                self.kill(controls.iter().map(|c| &c.process).collect(), None).await;
            }
            Fault::KillGateways => self.kill(gateway_processes, None).await,
            Fault::KillAll => self.kill(self.fleet.processes().collect(), None).await,
            Fault::PauseGateway(n) => self.pause(&gateways[n].process, span).await,
            Fault::PauseControl(n) => self.pause(&controls[n].process, span).await,
            Fault::CutGateway(n) => {
                self.cut(both_ways(process_side("gateway", n), Side::All), span).await
            }
            Fault::CutControl(n) => {
                self.cut(both_ways(process_side("control", n), Side::All), span).await
            }
            Fault::CutAllGateways => {
                let (g, c) = (Side::Named("gateway-".into()), Side::Named("control-".into()));
                self.cut(both_ways(g, c), span).await;
            }
            Fault::DeafControl(n) => {
                self.cut(vec![Cut { from: Side::All, to: process_side("control", n) }], span).await;
            }
            Fault::Delay(n, ms) => self.delay(n, Duration::from_millis(ms), span).await,
            Fault::Reset => self.fleet.net.reset(),
            Fault::Silence => self.fleet.net.silence(&Side::All),
            Fault::SilenceControl(n) => self.fleet.net.silence(&process_side("control", n)),
            Fault::LeaveAndKill { talk, replica, control } => {
                let all = if talk { &self.talk } else { &self.board };
                self.leave_and_kill(all, replica, control).await;
            }
            Fault::CrashTalk(n) => self.crash(&self.talk, n).await,
            Fault::CrashBoard(n) => self.crash(&self.board, n).await,
            Fault::LeaveTalk(n) => self.drain_by_heartbeat(&self.talk, n).await,
            Fault::LeaveBoard(n) => self.drain_by_heartbeat(&self.board, n).await,
            Fault::GreyTalk(n) => {
                if let Some(r) = self.replica_at(&self.talk, n) {
                    r.reset_connections_for(&self.w, span).await;
                }
            }
            Fault::FullBoard(n) => self.reject_for(n, span).await,
            Fault::Reject { talk, percent } => self.reject_at_all(talk, percent, span).await,
            Fault::StopGateway(_)
            | Fault::StopControl(_)
            | Fault::StopGateways
            | Fault::StopGatewaysInTurn { .. }
            | Fault::StopControlsInTurn { .. }
            | Fault::StopGatewayAtStart { .. }
            | Fault::StopControlAtStart { .. }
            | Fault::Reload { .. }
            | Fault::Grow(_)
            | Fault::Storm(_)
            | Fault::Race => {}
        }
    }

    /// Returns the running replica at index `n`, modulo their number, or `None` if none runs.
    fn replica_at(&self, all: &RefCell<Replicas>, n: usize) -> Option<Rc<Replica>> {
        let all = all.borrow();
        all.running.get(n % all.running.len().max(1)).cloned()
    }

    /// Kills the processes that no other step is using, optionally empties the disk of one, and
    /// restarts them.
    async fn kill(&self, all: Vec<&Process>, empty: Option<usize>) {
        let taken: Vec<_> = all.into_iter().filter(|p| !p.busy.replace(true)).collect();
        taken.iter().for_each(|p| p.kill());
        sleep(Duration::from_millis(DOWNTIME_MS)).await;
        if let (Some(n), false) = (empty, taken.is_empty()) {
            self.fleet.empty_disk(n).expect("the soak's own folder can be emptied");
        }
        for p in taken {
            self.restart(p);
        }
    }

    /// Kills the processes that no other step is using and restarts them after `span`.
    async fn kill_for(&self, all: Vec<&Process>, span: Duration) {
        let taken: Vec<_> = all.into_iter().filter(|p| !p.busy.replace(true)).collect();
        taken.iter().for_each(|p| p.kill());
        sleep(span).await;
        taken.into_iter().for_each(|p| self.restart(p));
    }

    /// Starts a stopped process again and lets other steps use it.
    fn restart(&self, p: &Process) {
        self.start_again(p);
        p.busy.set(false);
    }

    fn start_again(&self, p: &Process) {
        if let Some(n) = self.fleet.gateways.iter().position(|g| g.process.name == p.name) {
            self.increment_incarnation(n);
        }
        p.start().expect("a program that ran can be started again");
    }

    /// Suspends a process for `span`, unless another step is using it.
    async fn pause(&self, p: &Process, span: Duration) {
        if p.busy.replace(true) {
            return;
        }
        p.signal("STOP");
        sleep(span).await;
        p.signal("CONT");
        p.busy.set(false);
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

    /// Crashes a replica and restarts it.
    async fn crash(&self, all: &RefCell<Replicas>, n: usize) {
        let Some(removed) = self.remove_replica(all, n) else { return };
        removed.end_life(&self.w);
        removed.crash(&self.w);
        let restarted = self.restart_replica(all, removed.id.clone()).await;
        restarted.expect("a replica can be started");
    }

    /// Starts a replica, then drains another, which announces it in its heartbeats.
    async fn drain_by_heartbeat(&self, all: &RefCell<Replicas>, n: usize) {
        self.add_replica(all).await.expect("a replica can be started");
        if let Some(removed) = self.remove_replica(all, n) {
            removed.drain_by_heartbeat(self.w.clone()).await;
        }
    }

    /// Starts a replica, lets another leave at a control process, and kills that once it has acknowledged.
    async fn leave_and_kill(&self, all: &RefCell<Replicas>, n: usize, control: usize) {
        self.add_replica(all).await.expect("a replica can be started");
        let Some(removed) = self.remove_replica(all, n) else { return };
        if removed.announce_leave(&self.w, self.w.apis[control]).await {
            self.kill(vec![&self.fleet.controls[control].process], None).await;
        }
        removed.serve_then_crash(&self.w).await;
    }

    fn remove_replica(&self, all: &RefCell<Replicas>, n: usize) -> Option<Rc<Replica>> {
        let mut all = all.borrow_mut();
        let n = n % all.running.len().max(1);
        (n < all.running.len()).then(|| all.running.remove(n))
    }

    /// Makes a `board` replica reject all requests for `span`.
    async fn reject_for(&self, n: usize, span: Duration) {
        let Some(full) = self.replica_at(&self.board, n) else { return };
        full.set_rejected_percent(100);
        sleep(span).await;
        full.set_rejected_percent(0);
    }

    /// Makes the replicas of a service that are running now reject a percentage of the requests for `span`.
    async fn reject_at_all(&self, talk: bool, percent: u32, span: Duration) {
        let replicas = self.select_replicas(talk, None);
        replicas.iter().for_each(|r| r.set_rejected_percent(percent));
        sleep(span).await;
        replicas.iter().for_each(|r| r.set_rejected_percent(0));
    }

    /// Publishes a document with `extra_routes` additional routes.
    async fn grow(&self, extra_routes: usize) {
        // `publish` records whether the document was acknowledged.
        publish(&self.w, extra_routes).await;
    }

    /// Publishes `n` documents without waiting for the acknowledgement of each.
    async fn storm(&self, n: usize) {
        let mut all = Vec::new();
        for _ in 0..n {
            let w = self.w.clone();
            all.push(actix_rt::spawn(async move {
                publish(&w, 0).await;
            }));
            sleep(STORM_INTERVAL).await;
        }
        for task in all {
            // A panic here is a bug in the soak test and aborts the run.
            task.await.expect("the task that publishes a document does not panic");
        }
    }

    /// Sends two different documents of the same version concurrently, then one of the version
    /// before.
    async fn race(&self) {
        let version = self.w.sent.get() + 1;
        self.w.sent.set(version);
        let (one, other) = (send_document(&self.w, version, 0), send_document(&self.w, version, 3));
        tokio::join!(one, other);
        send_document(&self.w, version - 1, 0).await;
    }

    /// Waits until each gateway serves again, at most `RECOVERY_LIMIT_MS`, and records when. Then
    /// keeps the callers running for `LOAD_AFTER_RECOVERY`.
    async fn wait_for_recovery(&self) {
        let healed = self.w.history.borrow().healed;
        let mut recovered_at: Vec<Option<Timestamp>> = vec![None; self.fleet.gateways.len()];
        while self.w.now() < healed + RECOVERY_LIMIT_MS && recovered_at.iter().any(Option::is_none)
        {
            for (n, at) in recovered_at.iter_mut().enumerate().filter(|(_, at)| at.is_none()) {
                if self.is_serving(n).await {
                    *at = Some(self.w.now());
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        self.w.history.borrow_mut().recovered_at = recovered_at;
        sleep(LOAD_AFTER_RECOVERY).await;
    }

    /// Stops the callers, waits for running requests, then reads the document version and the spent
    /// tokens.
    async fn finish(&self) {
        self.w.stop_callers.set(true);
        sleep(SETTLE_TIME).await;
        read_version(&self.w).await;
        let spent = self.query_spent().await;
        self.w.history.borrow_mut().spent = spent;
        self.record_exits();
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    /// Returns the tokens of each account that are spent, stranded or held, or an empty map if the
    /// control group does not respond.
    async fn query_spent(&self) -> BTreeMap<&'static str, u64> {
        let credentials = Credentials {
            key: Key::new(b"soak"),
            cluster: "soak".to_owned(),
            name: "soak".to_owned(),
        };
        let group = GroupClient::new(credentials, self.fleet.seed_links());
        let Ok(Reply::Budgets(all)) = group.query(&Query::Budgets(None), QUERY_TIMEOUT).await
        else {
            return BTreeMap::new();
        };
        let spent = |name: &str| {
            let budget = budget_name(name);
            all.iter().find(|b| b.name == budget).map(|b| b.spent + b.stranded + b.held)
        };
        ACCOUNTS.iter().filter_map(|a| Some((a.name, spent(a.name)?))).collect()
    }
}

fn process_side(kind: &str, n: usize) -> Side {
    Side::Named(format!("{kind}-{n}"))
}

fn both_ways(a: Side, b: Side) -> Vec<Cut> {
    vec![Cut { from: a.clone(), to: b.clone() }, Cut { from: b, to: a }]
}
