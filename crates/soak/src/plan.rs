//! Fault plans: the fleet size and the timed faults that a seed determines.

use std::fmt;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::signals::{self, Series, draw_series};

/// Number of processes, replicas and callers of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of control processes.
    pub controls: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of replicas of the streaming service `talk`.
    pub talk: usize,
    /// Number of replicas of the plain service `board`.
    pub board: usize,
    /// Number of concurrent callers.
    pub callers: usize,
}

/// A fault injected into a fleet. Processes and replicas are given by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a gateway and restarts it.
    KillGateway(usize),
    /// Kills a control process and restarts it.
    KillControl(usize),
    /// Kills all control processes at once and restarts them.
    KillControls,
    /// Kills all processes at once and restarts them.
    KillAll,
    /// Kills the first two seed processes and keeps them down until the group has removed them as members.
    SeedsAway,
    /// Kills a control process, empties its disk and restarts it.
    EmptyDisk(usize),
    /// Suspends a gateway with `SIGSTOP`.
    PauseGateway(usize),
    /// Suspends a control process with `SIGSTOP`.
    PauseControl(usize),
    /// Stops a gateway gracefully and restarts it after it has exited.
    StopGateway(usize),
    /// Stops a control process gracefully and restarts it after it has exited.
    StopControl(usize),
    /// Partitions a gateway from all other processes, in both directions.
    CutGateway(usize),
    /// Partitions a control process from all other processes, in both directions.
    CutControl(usize),
    /// Partitions all gateways from all control processes, in both directions.
    CutAllGateways,
    /// Holds back all traffic to a control process; what it sends still arrives.
    DeafControl(usize),
    /// Delays links of one process by a number of milliseconds. Indexes of gateways follow those of
    /// control processes.
    Delay(usize, u64),
    /// Resets the open links between all processes.
    Reset,
    /// Lets the open links between all processes fall silent for good. New ones work.
    Silence,
    /// Lets the open links from and to a control process fall silent for good. New ones work.
    SilenceControl(usize),
    /// Starts a replica, then lets another leave at a control process, which is killed once it has acknowledged.
    LeaveAndKill {
        /// Whether the replica belongs to `talk`; otherwise to `board`.
        talk: bool,
        /// The replica.
        replica: usize,
        /// The control process.
        control: usize,
    },
    /// Crashes a `talk` replica and starts one at another address.
    CrashTalk(usize),
    /// Crashes a `board` replica and starts one at another address.
    CrashBoard(usize),
    /// Starts a `talk` replica, then drains another through its heartbeat.
    LeaveTalk(usize),
    /// Starts a `board` replica, then drains another through its heartbeat.
    LeaveBoard(usize),
    /// Resets the connections of a `talk` replica at intervals.
    GreyTalk(usize),
    /// Makes a `board` replica reject all requests.
    FullBoard(usize),
    /// Makes all replicas of `talk`, or of `board`, reject a percentage of the requests.
    Reject {
        /// Whether the replicas belong to `talk`; otherwise to `board`.
        talk: bool,
        /// Percentage of requests that are rejected.
        percent: u32,
    },
    /// Kills all gateways at once and restarts them.
    KillGateways,
    /// Stops all gateways gracefully and restarts each after it has exited.
    StopGateways,
    /// Stops all gateways gracefully, one after the other, and restarts each after it has exited.
    StopGatewaysInTurn {
        /// The gateway that is stopped first.
        first: usize,
        /// Time between two of them, in milliseconds. Their stops overlap.
        interval: u64,
    },
    /// Stops all control processes gracefully, one after the other, and restarts each after it has exited.
    StopControlsInTurn {
        /// The control process that is stopped first.
        first: usize,
        /// Time between two of them, in milliseconds.
        interval: u64,
    },
    /// Restarts a gateway gracefully, and once more while it starts.
    StopGatewayAtStart {
        /// The gateway.
        gateway: usize,
        /// Time from its start to the second stop, in milliseconds.
        after: u64,
    },
    /// Restarts a control process gracefully, and once more while it starts.
    StopControlAtStart {
        /// The control process.
        control: usize,
        /// Time from its start to the second stop, in milliseconds.
        after: u64,
    },
    /// Sends a process reload signals. Indexes of gateways follow those of control processes.
    Reload {
        /// The process.
        process: usize,
        /// Number of signals.
        times: usize,
    },
    /// Publishes a document with this number of additional routes.
    Grow(usize),
    /// Publishes this number of documents in quick succession.
    Storm(usize),
    /// Publishes two different documents of the same version concurrently, then an older version.
    Race,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Start, in milliseconds since the callers started.
    pub at: u64,
    /// Duration in milliseconds; unused by faults that happen at once.
    pub span: u64,
    /// The fault.
    pub fault: Fault,
}

/// A request that crashes every replica that runs it and is sent repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poison {
    /// Number of the request; odd numbers go to the streaming service. From [`FIRST_POISON_PART`] on, a part of
    /// the prompt crashes replicas, and no two requests with it are alike.
    pub number: usize,
    /// Time of the first send, in milliseconds.
    pub at: u64,
    /// Duration in milliseconds.
    pub span: u64,
}

/// A rate limit that replicas announce in their responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Whether the replicas belong to `talk`; otherwise to `board`.
    pub talk: bool,
    /// Index of the replica, modulo the number of running replicas; `None` means all.
    pub replica: Option<usize>,
    /// The limit, in thousandths of a request per second.
    pub thousandths: u64,
    /// Start, in milliseconds.
    pub at: u64,
    /// Duration in milliseconds.
    pub span: u64,
}

/// A period in which replicas reject requests with `Retry-After`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterPeriod {
    /// Whether the replicas belong to `talk`; otherwise to `board`.
    pub talk: bool,
    /// Index of the replica, modulo the number of running replicas; `None` means all.
    pub replica: Option<usize>,
    /// The value of `Retry-After`, in milliseconds.
    pub retry_after_ms: u64,
    /// Percentage of requests that are rejected.
    pub percent: u32,
    /// Start, in milliseconds.
    pub at: u64,
    /// Duration in milliseconds.
    pub span: u64,
}

/// The drain of a replica that announces it only in a header of its responses. Another replica is started
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderDrain {
    /// Whether the replica belongs to `talk`; otherwise to `board`.
    pub talk: bool,
    /// Index of the replica, modulo the number of running replicas.
    pub replica: usize,
    /// Start, in milliseconds.
    pub at: u64,
}

/// Callers that request long streams at one gateway and read a byte a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowCallers {
    /// Number of callers.
    pub count: usize,
    /// Index of the gateway, modulo the number of gateways.
    pub gateway: usize,
    /// Start, in milliseconds.
    pub at: u64,
    /// Time after which they close their connections, in milliseconds.
    pub span: u64,
}

/// A door of the system for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    /// Callers' requests at a gateway.
    Front,
    /// The operators' address of a gateway.
    Operators,
    /// The HTTP API of a control process.
    Control,
}

/// A crowd of clients that do not behave, at one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientCrowd {
    /// Where they connect.
    pub door: Door,
    /// Index of the process, modulo the number of such processes.
    pub process: usize,
    /// What they do: a name of a fault of `cypressfork-fakes crowd`.
    pub fault: &'static str,
    /// Start, in milliseconds.
    pub at: u64,
    /// Time for which they stay, in milliseconds.
    pub span: u64,
}

/// What a partition does to the connections that are open when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenConnections {
    /// They fall silent.
    Silent,
    /// They are reset.
    Reset,
    /// They continue to work.
    Kept,
}

/// A partition of some gateways from all replicas. New connections get no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaCut {
    /// Index of the first gateway that is cut off.
    pub first: usize,
    /// Number of gateways that are cut off, from the first on and modulo their number; all but one at most.
    pub count: usize,
    /// What happens to open connections.
    pub open: OpenConnections,
    /// Start, in milliseconds; `None`: after all other faults and the recovery from them.
    pub at: Option<u64>,
    /// Duration in milliseconds.
    pub span: u64,
}

impl ReplicaCut {
    /// Returns the indexes of the gateways that are cut off, of `gateways` gateways.
    pub fn gateways(&self, gateways: usize) -> Vec<usize> {
        let count = self.count.min(gateways - 1);
        (self.first..self.first + count).map(|n| n % gateways).collect()
    }
}

/// The fleet and the faults of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that the plan is drawn from.
    pub seed: u64,
    /// Size of the fleet.
    pub size: Size,
    /// Time by which all faults have ended, in milliseconds.
    pub healed: u64,
    /// Number of software versions that the replicas of `talk` run side by side.
    pub versions: u64,
    /// Whether replicas send interim heads, and responses a second time.
    pub stutters: bool,
    /// The faults, ordered by start.
    pub steps: Vec<Step>,
    /// What processes get during planned stops, which take the series in turn. Empty: nothing but one `TERM`.
    pub series: Vec<Series>,
    /// Requests that crash their replicas.
    pub poisons: Vec<Poison>,
    /// Rate limits that replicas announce.
    pub limits: Vec<RateLimit>,
    /// Periods in which replicas reject requests with `Retry-After`.
    pub retry_after_periods: Vec<RetryAfterPeriod>,
    /// Drains that replicas announce only in response headers.
    pub header_drains: Vec<HeaderDrain>,
    /// Callers that read slowly. The gateways of such a run hold answers.
    pub slow_callers: Vec<SlowCallers>,
    /// Partitions of gateways from all replicas.
    pub replica_cuts: Vec<ReplicaCut>,
    /// Clients that do not behave.
    pub crowds: Vec<ClientCrowd>,
}

/// Minimum and maximum number of steps in a run.
const STEP_COUNT: (usize, usize) = (5, 14);

/// Minimum and maximum duration of a step, in milliseconds.
const STEP_SPAN_MS: (u64, u64) = (200, 3_500);

/// Time without faults at the start of a run, in milliseconds.
const QUIET_START_MS: u64 = 1_000;

/// Draws the size of a small fleet.
fn draw_small_size(rng: &mut SmallRng) -> Size {
    let controls = if rng.random_bool(0.6) { 3 } else { 5 };
    let (gateways, talk, board) =
        (rng.random_range(2..=5), rng.random_range(2..=4), rng.random_range(2..=3));
    Size { controls, gateways, talk, board, callers: rng.random_range(6..=14) }
}

/// Size of a large fleet: fits a machine with 8 cores and has enough gateways in one data centre
/// for budgets to be assigned home gateways.
const LARGE: Size = Size { controls: 9, gateways: 40, talk: 8, board: 4, callers: 30 };

impl Plan {
    /// Draws the plan of a seed; all its faults end within `millis` milliseconds.
    pub fn draw(seed: u64, millis: u64, large: bool) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed);
        let size = if large { LARGE } else { draw_small_size(&mut rng) };
        let n = rng.random_range(STEP_COUNT.0..=STEP_COUNT.1);
        let mut steps: Vec<_> = (0..n).map(|_| draw_step(&mut rng, &size, millis)).collect();
        steps.extend(draw_seeds_away(seed, &size, millis));
        steps.extend(draw_rejections(seed, millis));
        steps.extend(draw_silences(seed, &size, millis));
        steps.extend(draw_leaves_and_kills(seed, &size, millis));
        steps.extend(signals::draw_steps(seed, &size, millis));
        steps.sort_by_key(|s| s.at);
        keep_first_emptied_disk(&mut steps);
        let limits = draw_limits(seed, millis);
        let mut poisons = draw_poisons(seed, millis);
        poisons.extend(draw_poison_part(seed, millis));
        let (retry_after_periods, header_drains) =
            (draw_retry_after_periods(seed, millis), draw_header_drains(seed, millis));
        Plan {
            seed,
            size,
            healed: millis,
            versions: draw_versions(seed),
            stutters: draw_stutters(seed),
            steps,
            series: draw_series(seed),
            poisons,
            limits,
            retry_after_periods,
            header_drains,
            slow_callers: draw_slow_callers(seed, millis),
            replica_cuts: draw_replica_cuts(seed, size.gateways, millis),
            crowds: draw_crowds(seed, millis),
        }
    }
}

/// Maximum number of software versions side by side. A third of the seeds has one.
const MAX_VERSIONS: u64 = 3;

/// Draws the number of software versions. A separate generator leaves the steps of a seed unchanged.
fn draw_versions(seed: u64) -> u64 {
    SmallRng::seed_from_u64(seed ^ 0x7a3f_91c4_d2b8_605e).random_range(1..=MAX_VERSIONS)
}

/// Percentage of seeds with replicas that stutter.
const STUTTER_PERCENT: u32 = 50;

/// Draws whether replicas stutter. A separate generator leaves the steps of a seed unchanged.
fn draw_stutters(seed: u64) -> bool {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x51d2_8ab3_07c4_9f6e);
    rng.random_range(0..100) < STUTTER_PERCENT
}

/// Percentage of seeds with poison requests.
const POISONED_PERCENT: u32 = 50;

/// Maximum number of poison requests in a run.
const MAX_POISONS: usize = 2;

/// Minimum and maximum time for which a poison request is sent, in milliseconds.
const POISON_SPAN_MS: (u64, u64) = (1_500, 4_000);

/// Number of the first poison part.
pub const FIRST_POISON_PART: usize = 2 * MAX_POISONS;

/// Percentage of seeds with a poison part.
const POISON_PART_PERCENT: u32 = 50;

/// Draws a poison part. A separate generator leaves the steps of a seed unchanged.
fn draw_poison_part(seed: u64, millis: u64) -> Option<Poison> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x2f6b_83c5_90ed_417a);
    if rng.random_range(0..100) >= POISON_PART_PERCENT {
        return None;
    }
    let span = rng.random_range(POISON_SPAN_MS.0..=POISON_SPAN_MS.1).min(millis);
    let at = rng.random_range(0..=millis - span);
    Some(Poison { number: FIRST_POISON_PART + rng.random_range(0..2), at, span })
}

/// Draws the poison requests. A separate generator leaves the steps of a seed unchanged.
fn draw_poisons(seed: u64, millis: u64) -> Vec<Poison> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x9e37_79b9_7f4a_7c15);
    if rng.random_range(0..100) >= POISONED_PERCENT {
        return Vec::new();
    }
    let poison = |rng: &mut SmallRng, n: usize| {
        let span = rng.random_range(POISON_SPAN_MS.0..=POISON_SPAN_MS.1).min(millis);
        let at = rng.random_range(0..=millis - span);
        Poison { number: 2 * n + rng.random_range(0..2), at, span }
    };
    (0..rng.random_range(1..=MAX_POISONS)).map(|n| poison(&mut rng, n)).collect()
}

/// Percentage of seeds with rate limits.
const LIMITED_PERCENT: u32 = 60;

/// Maximum number of rate limits in a run.
const MAX_LIMITS: usize = 3;

/// Minimum and maximum duration of a rate limit, in milliseconds. The check ignores the first part
/// (`limit_counts_after_ms`), so every limit lasts longer than that.
const LIMIT_SPAN_MS: (u64, u64) = (4_500, 9_000);

/// Announced rate limits, in thousandths of a request per second.
const RATE_LIMITS: [u64; 6] = [0, 500, 1_000, 2_000, 5_000, 20_000];

/// Draws the rate limits. A separate generator leaves the steps of a seed unchanged.
fn draw_limits(seed: u64, millis: u64) -> Vec<RateLimit> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5851_f42d_4c95_7f2d);
    if rng.random_range(0..100) >= LIMITED_PERCENT {
        return Vec::new();
    }
    let limit = |rng: &mut SmallRng| {
        let span = rng.random_range(LIMIT_SPAN_MS.0..=LIMIT_SPAN_MS.1).min(millis);
        RateLimit {
            talk: rng.random(),
            replica: rng.random_bool(0.6).then(|| rng.random_range(0..8)),
            thousandths: RATE_LIMITS[rng.random_range(0..RATE_LIMITS.len())],
            at: rng.random_range(0..=millis - span),
            span,
        }
    };
    (0..rng.random_range(1..=MAX_LIMITS)).map(|_| limit(&mut rng)).collect()
}

/// Percentage of seeds with replicas that send `Retry-After`.
const RETRY_AFTER_PERCENT: u32 = 60;

/// Maximum number of `Retry-After` periods in a run.
const MAX_RETRY_AFTER_PERIODS: usize = 3;

/// Minimum and maximum duration of a `Retry-After` period, in milliseconds.
const RETRY_AFTER_SPAN_MS: (u64, u64) = (1_000, 8_000);

/// Values of `Retry-After`, in milliseconds.
const RETRY_AFTER_MS: [u64; 5] = [600, 1_000, 2_500, 3_000, 6_000];

/// Percentages of requests that are rejected.
const REJECT_PERCENTS: [u32; 3] = [30, 60, 100];

/// Draws the `Retry-After` periods. A separate generator leaves the steps of a seed unchanged.
fn draw_retry_after_periods(seed: u64, millis: u64) -> Vec<RetryAfterPeriod> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x2545_f491_4f6c_dd1d);
    if rng.random_range(0..100) >= RETRY_AFTER_PERCENT {
        return Vec::new();
    }
    let period = |rng: &mut SmallRng| {
        let span = rng.random_range(RETRY_AFTER_SPAN_MS.0..=RETRY_AFTER_SPAN_MS.1).min(millis);
        RetryAfterPeriod {
            talk: rng.random(),
            replica: rng.random_bool(0.6).then(|| rng.random_range(0..8)),
            retry_after_ms: RETRY_AFTER_MS[rng.random_range(0..RETRY_AFTER_MS.len())],
            percent: REJECT_PERCENTS[rng.random_range(0..REJECT_PERCENTS.len())],
            at: rng.random_range(0..=millis - span),
            span,
        }
    };
    (0..rng.random_range(1..=MAX_RETRY_AFTER_PERIODS)).map(|_| period(&mut rng)).collect()
}

/// Percentage of seeds with drains that are announced only in response headers.
const HEADER_DRAIN_PERCENT: u32 = 50;

/// Maximum number of such drains in a run.
const MAX_HEADER_DRAINS: usize = 2;

/// Draws the drains that are announced only in response headers. A separate generator leaves the steps of
/// a seed unchanged.
fn draw_header_drains(seed: u64, millis: u64) -> Vec<HeaderDrain> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x1405_7b7e_f767_814f);
    if rng.random_range(0..100) >= HEADER_DRAIN_PERCENT {
        return Vec::new();
    }
    let drain = |rng: &mut SmallRng| HeaderDrain {
        talk: rng.random(),
        replica: rng.random_range(0..8),
        at: rng.random_range(0..=millis),
    };
    (0..rng.random_range(1..=MAX_HEADER_DRAINS)).map(|_| drain(&mut rng)).collect()
}

/// Percentage of seeds with callers that read slowly.
const SLOW_CALLERS_PERCENT: u32 = 50;

/// Maximum number of groups of slow callers in a run, and of callers in a group. What a group of this size
/// leaves unread exceeds the bound on what a gateway holds.
const MAX_SLOW_CALLERS: (usize, usize) = (2, 10);

/// Minimum and maximum time that slow callers stay, in milliseconds.
const SLOW_CALLERS_SPAN_MS: (u64, u64) = (2_000, 4_000);

/// Draws the callers that read slowly. A separate generator leaves the steps of a seed unchanged.
fn draw_slow_callers(seed: u64, millis: u64) -> Vec<SlowCallers> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x6c07_8965_9d2c_5680);
    if rng.random_range(0..100) >= SLOW_CALLERS_PERCENT {
        return Vec::new();
    }
    let group = |rng: &mut SmallRng| {
        let (min, max) = SLOW_CALLERS_SPAN_MS;
        let span = rng.random_range(min..=max).min(millis);
        SlowCallers {
            count: rng.random_range(1..=MAX_SLOW_CALLERS.1),
            gateway: rng.random_range(0..8),
            at: rng.random_range(0..=millis - span),
            span,
        }
    };
    (0..rng.random_range(1..=MAX_SLOW_CALLERS.0)).map(|_| group(&mut rng)).collect()
}

/// Percentage of seeds with crowds of clients that do not behave.
const CROWDS_PERCENT: u32 = 50;

/// Maximum number of crowds in a run, one after the other.
const MAX_CROWDS: usize = 3;

/// Minimum and maximum time for which a crowd stays, in milliseconds.
const CROWD_SPAN_MS: (u64, u64) = (500, 2_000);

/// What crowds do.
const CROWD_FAULTS: [&str; 12] = [
    "silent",
    "slow-head",
    "half-body",
    "body",
    "partial-body",
    "chunks",
    "small-chunks",
    "endless-chunks",
    "declared",
    "pipeline",
    "slow-read",
    "fields",
];

/// Draws the crowds, each within its part of the run. A separate generator leaves the steps of a seed unchanged.
fn draw_crowds(seed: u64, millis: u64) -> Vec<ClientCrowd> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x3c6e_f372_fe94_f82b);
    if rng.random_range(0..100) >= CROWDS_PERCENT {
        return Vec::new();
    }
    let count = rng.random_range(1..=MAX_CROWDS);
    let part = millis / count as u64;
    let crowd = |rng: &mut SmallRng, n: usize| {
        let span = rng.random_range(CROWD_SPAN_MS.0..=CROWD_SPAN_MS.1).min(part);
        ClientCrowd {
            door: [Door::Front, Door::Operators, Door::Control][rng.random_range(0..3)],
            process: rng.random_range(0..8),
            fault: CROWD_FAULTS[rng.random_range(0..CROWD_FAULTS.len())],
            at: n as u64 * part + rng.random_range(0..=part - span),
            span,
        }
    };
    (0..count).map(|n| crowd(&mut rng, n)).collect()
}

/// Percentage of seeds in which gateways are partitioned from all replicas.
const REPLICA_CUTS_PERCENT: u32 = 50;

/// Minimum and maximum duration of such a partition beside other faults, in milliseconds.
const REPLICA_CUT_SPAN_MS: (u64, u64) = (1_000, 6_000);

/// Duration of the one after all other faults, in milliseconds. Callers have to be served from
/// `cut_counts_after_ms` on.
const FINAL_CUT_SPAN_MS: u64 = 6_000;

/// Draws the partitions of gateways from replicas: one beside other faults, and one after them. A separate generator
/// leaves the steps of a seed unchanged.
fn draw_replica_cuts(seed: u64, gateways: usize, millis: u64) -> Vec<ReplicaCut> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x3c79_ac49_2ba7_b653);
    if rng.random_range(0..100) >= REPLICA_CUTS_PERCENT {
        return Vec::new();
    }
    let mut cut = |at: Option<u64>, span: u64| {
        let open = match rng.random_range(0..3) {
            0 => OpenConnections::Silent,
            1 => OpenConnections::Reset,
            _ => OpenConnections::Kept,
        };
        let (first, count) = (rng.random_range(0..gateways), rng.random_range(1..gateways));
        ReplicaCut { first, count, open, at, span }
    };
    let last = cut(None, FINAL_CUT_SPAN_MS);
    let (min, max) = REPLICA_CUT_SPAN_MS;
    let span = min + (max - min) * (seed % 8) / 7;
    let at = seed % 5 * millis.saturating_sub(span) / 5;
    vec![cut(Some(at), span.min(millis)), last]
}

/// Percentage of plans in which a group of more than three members loses two seed processes.
const SEEDS_AWAY_PERCENT: u32 = 40;

/// Minimum and maximum downtime of the seed processes, in milliseconds: longer than the 2.5 s after
/// which the group removes a silent member.
const SEEDS_DOWNTIME_MS: (u64, u64) = (3_500, 5_000);

/// Draws the outage of two seed processes. A separate generator leaves the other steps unchanged.
fn draw_seeds_away(seed: u64, size: &Size, millis: u64) -> Option<Step> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let drawn = rng.random_range(0..100) < SEEDS_AWAY_PERCENT;
    let span = rng.random_range(SEEDS_DOWNTIME_MS.0..=SEEDS_DOWNTIME_MS.1);
    let latest = millis.checked_sub(span).filter(|l| *l > QUIET_START_MS)?;
    let at = rng.random_range(QUIET_START_MS..latest);
    (drawn && size.controls > 3).then_some(Step { at, span, fault: Fault::SeedsAway })
}

/// Percentage of seeds in which all replicas of a service reject requests while gateways restart.
const REJECTIONS_PERCENT: u32 = 40;

/// When the replicas start to reject requests, in milliseconds: gateways save retries before. A run has to last for a
/// window of the retry budget from then on to show whether these are spent twice.
const REJECTIONS_START_MS: (u64, u64) = (3_000, 5_000);

/// Latest start of the restarts, in milliseconds after the first rejections.
const RESTARTS_WITHIN_MS: u64 = 1_500;

/// Draws a time in which all replicas of a service reject requests, and the restarts of all gateways within it. A
/// separate generator leaves the other steps unchanged.
fn draw_rejections(seed: u64, millis: u64) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x2127_599b_f432_5c37);
    let (earliest, latest) = REJECTIONS_START_MS;
    if rng.random_range(0..100) >= REJECTIONS_PERCENT || latest + RESTARTS_WITHIN_MS > millis {
        return Vec::new();
    }
    let at = rng.random_range(earliest..=latest);
    let percent = REJECT_PERCENTS[rng.random_range(0..REJECT_PERCENTS.len())];
    let reject = Fault::Reject { talk: rng.random(), percent };
    let restart = if rng.random() { Fault::KillGateways } else { Fault::StopGateways };
    let restart_at = at + rng.random_range(0..RESTARTS_WITHIN_MS);
    vec![
        Step { at, span: millis - at, fault: reject },
        Step { at: restart_at, span: 0, fault: restart },
    ]
}

/// Time within which processes have to replace silent links, in milliseconds.
const SILENCE_SPAN_MS: u64 = 3_000;

/// Draws up to two times at which open links fall silent. A separate generator leaves the other steps unchanged.
fn draw_silences(seed: u64, size: &Size, millis: u64) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x4d1c_6e0b_a357_92f8);
    let latest = millis.saturating_sub(SILENCE_SPAN_MS).max(QUIET_START_MS + 1);
    let draw = |rng: &mut SmallRng| {
        let fault = match rng.random() {
            true => Fault::Silence,
            false => Fault::SilenceControl(rng.random_range(0..size.controls)),
        };
        Step { at: rng.random_range(QUIET_START_MS..latest), span: SILENCE_SPAN_MS, fault }
    };
    (0..rng.random_range(0..=2)).map(|_| draw(&mut rng)).collect()
}

/// Draws up to two leaves that are acknowledged by a control process which is killed right after it. A separate
/// generator leaves the other steps unchanged.
fn draw_leaves_and_kills(seed: u64, size: &Size, millis: u64) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x71b9_05d6_3ce8_4fa2);
    let latest = millis.max(QUIET_START_MS + 1);
    let draw = |rng: &mut SmallRng| {
        let talk = rng.random();
        let replica = rng.random_range(0..if talk { size.talk } else { size.board });
        let control = rng.random_range(0..size.controls);
        let fault = Fault::LeaveAndKill { talk, replica, control };
        Step { at: rng.random_range(QUIET_START_MS..latest), span: 0, fault }
    };
    (0..rng.random_range(0..=2)).map(|_| draw(&mut rng)).collect()
}

fn draw_step(rng: &mut SmallRng, size: &Size, millis: u64) -> Step {
    let at = rng.random_range(QUIET_START_MS..millis.max(QUIET_START_MS + 1));
    let span = rng.random_range(STEP_SPAN_MS.0..=STEP_SPAN_MS.1).min(millis - at);
    Step { at, span, fault: draw_fault(rng, size) }
}

fn draw_fault(rng: &mut SmallRng, size: &Size) -> Fault {
    let g = rng.random_range(0..size.gateways);
    let c = rng.random_range(0..size.controls);
    let (t, b) = (rng.random_range(0..size.talk), rng.random_range(0..size.board));
    match rng.random_range(0..24) {
        0 => Fault::KillGateway(g),
        1 => Fault::KillControl(c),
        2 => Fault::KillControls,
        3 => Fault::KillAll,
        4 => Fault::EmptyDisk(c),
        5 => Fault::PauseGateway(g),
        6 => Fault::PauseControl(c),
        7 | 8 => Fault::StopGateway(g),
        9 => Fault::StopControl(c),
        10 => Fault::CutGateway(g),
        11 => Fault::CutControl(c),
        12 => Fault::CutAllGateways,
        13 => Fault::DeafControl(c),
        14 => Fault::Delay(rng.random_range(0..size.controls + size.gateways), 150),
        15 => Fault::Reset,
        16 => Fault::CrashTalk(t),
        17 => Fault::CrashBoard(b),
        18 => Fault::LeaveTalk(t),
        19 => Fault::LeaveBoard(b),
        20 => Fault::GreyTalk(t),
        21 => Fault::FullBoard(b),
        22 => Fault::Grow(rng.random_range(50..2_000)),
        _ if rng.random_bool(0.5) => Fault::Storm(rng.random_range(3..12)),
        _ => Fault::Race,
    }
}

/// Keeps only the first `EmptyDisk`: the group does not tolerate losing a second disk before the
/// first is repaired.
fn keep_first_emptied_disk(steps: &mut Vec<Step>) {
    let mut seen = false;
    steps.retain(|s| {
        let empties = matches!(s.fault, Fault::EmptyDisk(_));
        let keep = !empties || !seen;
        seen |= empties;
        keep
    });
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>6} ms  {:?} for {} ms", self.at, self.fault, self.span)
    }
}
