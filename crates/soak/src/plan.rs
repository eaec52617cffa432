//! What a seed does to a fleet, and when.

use std::fmt;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How large a fleet is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Control processes.
    pub controls: usize,
    /// Gateways.
    pub gateways: usize,
    /// Replicas of the service of streams.
    pub talk: usize,
    /// Replicas of the plain service.
    pub board: usize,
    /// Callers.
    pub callers: usize,
}

/// One thing done to a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed and started again.
    KillGateway(usize),
    /// A control process is killed and started again.
    KillControl(usize),
    /// All control processes are killed at the same moment and started again.
    KillControls,
    /// All processes are killed at the same moment and started again.
    KillAll,
    /// The first two seeds are away for so long that their group goes on without them as members.
    SeedsAway,
    /// A control process is killed, its disk emptied, and it is started again.
    EmptyDisk(usize),
    /// A gateway stands still.
    PauseGateway(usize),
    /// A control process stands still.
    PauseControl(usize),
    /// A gateway is asked to stop, and started again once it has ended.
    StopGateway(usize),
    /// A control process is asked to stop, and started again once it has ended.
    StopControl(usize),
    /// Nothing from or to a gateway arrives at other processes.
    CutGateway(usize),
    /// Nothing from or to a control process arrives at other processes.
    CutControl(usize),
    /// Nothing from any gateway arrives at any control process, and back.
    CutAllGateways,
    /// A control process is heard, and hears nothing.
    DeafControl(usize),
    /// Links to a control process or gateway (counted after them) take so many milliseconds.
    Delay(usize, u64),
    /// Open links of all processes are reset.
    Reset,
    /// A replica of streams is gone at once; another starts elsewhere.
    CrashTalk(usize),
    /// A plain replica is gone at once; another starts elsewhere.
    CrashBoard(usize),
    /// A replica of streams says that it leaves; another starts before.
    LeaveTalk(usize),
    /// A plain replica says that it leaves; another starts before.
    LeaveBoard(usize),
    /// Connections of a replica of streams are reset now and then.
    GreyTalk(usize),
    /// A plain replica rejects what it gets.
    FullBoard(usize),
    /// A document with so many more routes.
    Grow(usize),
    /// Several documents in quick succession.
    Storm(usize),
    /// Two documents of the same version, and an older one again.
    Race,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When, in milliseconds since requests began.
    pub at: u64,
    /// How long it lasts, in milliseconds, where it does.
    pub span: u64,
    /// What.
    pub fault: Fault,
}

/// A request that ends every replica that runs it, and is sent again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poison {
    /// Its number; an odd one is for the service of streams.
    pub number: usize,
    /// When it is sent first, in milliseconds.
    pub at: u64,
    /// For how long, in milliseconds.
    pub span: u64,
}

/// Replicas that name a limit in their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limiting {
    /// The replicas are of the service of streams, or of the plain one.
    pub talk: bool,
    /// One of them, counted round; none: all.
    pub replica: Option<usize>,
    /// Thousandths of a request a second.
    pub thousandths: u64,
    /// From when on, in milliseconds.
    pub at: u64,
    /// For how long, in milliseconds.
    pub span: u64,
}

/// Replicas that turn requests away and ask for rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resting {
    /// The replicas are of the service of streams, or of the plain one.
    pub talk: bool,
    /// One of them, counted round; none: all.
    pub replica: Option<usize>,
    /// The rest that they ask for, in milliseconds.
    pub rest: u64,
    /// Of a hundred requests, those that they turn away.
    pub share: u32,
    /// From when on, in milliseconds.
    pub at: u64,
    /// For how long, in milliseconds.
    pub span: u64,
}

/// A replica that says in its answers alone that it leaves; another starts before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuietLeave {
    /// It is of the service of streams, or of the plain one.
    pub talk: bool,
    /// Which of them, counted round.
    pub replica: usize,
    /// When, in milliseconds.
    pub at: u64,
}

/// What a seed does.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// How large the fleet is.
    pub size: Size,
    /// When the last fault has ended, in milliseconds.
    pub healed: u64,
    /// The faults in the order of their times.
    pub steps: Vec<Step>,
    /// Requests that end their replicas.
    pub poisons: Vec<Poison>,
    /// Replicas that name limits.
    pub limits: Vec<Limiting>,
    /// Replicas that ask for rest.
    pub rests: Vec<Resting>,
    /// Replicas that say in their answers alone that they leave.
    pub quiet_leaves: Vec<QuietLeave>,
}

/// Faults of one run: the fewest and the most.
const STEPS: (usize, usize) = (5, 14);

/// How long one lasts, in milliseconds: the shortest and the longest.
const SPAN: (u64, u64) = (200, 3_500);

/// Time before the first fault, in milliseconds.
const QUIET_BEFORE: u64 = 1_000;

/// The size of a usual fleet.
fn small(rng: &mut SmallRng) -> Size {
    let controls = if rng.random_bool(0.6) { 3 } else { 5 };
    let (gateways, talk, board) =
        (rng.random_range(2..=5), rng.random_range(2..=4), rng.random_range(2..=3));
    Size { controls, gateways, talk, board, callers: rng.random_range(6..=14) }
}

/// The size of a fleet with as many processes as a machine of 8 cores bears, gateways enough in one
/// data centre for budgets to have homes.
const LARGE: Size = Size { controls: 9, gateways: 40, talk: 8, board: 4, callers: 30 };

impl Plan {
    /// The plan of a seed whose faults last `millis` in all.
    pub fn draw(seed: u64, millis: u64, large: bool) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed);
        let size = if large { LARGE } else { small(&mut rng) };
        let n = rng.random_range(STEPS.0..=STEPS.1);
        let mut steps: Vec<_> = (0..n).map(|_| step(&mut rng, &size, millis)).collect();
        steps.extend(seeds_away(seed, &size, millis));
        steps.sort_by_key(|s| s.at);
        keep_one_emptied_disk(&mut steps);
        let (poisons, limits) = (poisons(seed, millis), limits(seed, millis));
        let (rests, quiet_leaves) = (rests(seed, millis), quiet_leaves(seed, millis));
        Plan { seed, size, healed: millis, steps, poisons, limits, rests, quiet_leaves }
    }
}

/// Of a hundred seeds, those with requests that end their replicas.
const POISONED: u32 = 50;

/// The most of them in one run.
const POISONS: usize = 2;

/// How long they are sent, in milliseconds.
const POISON_SPAN: (u64, u64) = (1_500, 4_000);

/// Requests that end their replicas, from a draw of its own: the steps of a seed stay as they are.
fn poisons(seed: u64, millis: u64) -> Vec<Poison> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x9e37_79b9_7f4a_7c15);
    if rng.random_range(0..100) >= POISONED {
        return Vec::new();
    }
    let poison = |rng: &mut SmallRng, n: usize| {
        let span = rng.random_range(POISON_SPAN.0..=POISON_SPAN.1).min(millis);
        let at = rng.random_range(0..=millis - span);
        Poison { number: 2 * n + rng.random_range(0..2), at, span }
    };
    (0..rng.random_range(1..=POISONS)).map(|n| poison(&mut rng, n)).collect()
}

/// Of a hundred seeds, those with replicas that name limits.
const LIMITED: u32 = 60;

/// The most times that some do in one run.
const LIMITS: usize = 3;

/// For how long they name one, in milliseconds: longer than what counts for nothing at the beginning.
const LIMIT_SPAN: (u64, u64) = (4_500, 9_000);

/// What they name, in thousandths of a request a second.
const NAMED: [u64; 6] = [0, 500, 1_000, 2_000, 5_000, 20_000];

/// Replicas that name limits, from a draw of its own: the steps of a seed stay as they are.
fn limits(seed: u64, millis: u64) -> Vec<Limiting> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5851_f42d_4c95_7f2d);
    if rng.random_range(0..100) >= LIMITED {
        return Vec::new();
    }
    let limiting = |rng: &mut SmallRng| {
        let span = rng.random_range(LIMIT_SPAN.0..=LIMIT_SPAN.1).min(millis);
        Limiting {
            talk: rng.random(),
            replica: rng.random_bool(0.6).then(|| rng.random_range(0..8)),
            thousandths: NAMED[rng.random_range(0..NAMED.len())],
            at: rng.random_range(0..=millis - span),
            span,
        }
    };
    (0..rng.random_range(1..=LIMITS)).map(|_| limiting(&mut rng)).collect()
}

/// Of a hundred seeds, those with replicas that ask for rest.
const RESTED: u32 = 60;

/// The most times that some do in one run.
const RESTS: usize = 3;

/// For how long they turn requests away, in milliseconds.
const REST_SPAN: (u64, u64) = (1_000, 8_000);

/// The rests that they ask for, in milliseconds.
const ASKED: [u64; 5] = [600, 1_000, 2_500, 3_000, 6_000];

/// Of a hundred requests, those that they turn away.
const TURNED_AWAY: [u32; 3] = [30, 60, 100];

/// Replicas that ask for rest, from a draw of its own: the steps of a seed stay as they are.
fn rests(seed: u64, millis: u64) -> Vec<Resting> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x2545_f491_4f6c_dd1d);
    if rng.random_range(0..100) >= RESTED {
        return Vec::new();
    }
    let resting = |rng: &mut SmallRng| {
        let span = rng.random_range(REST_SPAN.0..=REST_SPAN.1).min(millis);
        Resting {
            talk: rng.random(),
            replica: rng.random_bool(0.6).then(|| rng.random_range(0..8)),
            rest: ASKED[rng.random_range(0..ASKED.len())],
            share: TURNED_AWAY[rng.random_range(0..TURNED_AWAY.len())],
            at: rng.random_range(0..=millis - span),
            span,
        }
    };
    (0..rng.random_range(1..=RESTS)).map(|_| resting(&mut rng)).collect()
}

/// Of a hundred seeds, those with replicas that say in their answers alone that they leave.
const LEAVING: u32 = 50;

/// The most of them in one run.
const LEAVES: usize = 2;

/// Replicas that say in their answers alone that they leave, from a draw of its own as well.
fn quiet_leaves(seed: u64, millis: u64) -> Vec<QuietLeave> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x1405_7b7e_f767_814f);
    if rng.random_range(0..100) >= LEAVING {
        return Vec::new();
    }
    let leave = |rng: &mut SmallRng| QuietLeave {
        talk: rng.random(),
        replica: rng.random_range(0..8),
        at: rng.random_range(0..=millis),
    };
    (0..rng.random_range(1..=LEAVES)).map(|_| leave(&mut rng)).collect()
}

/// How often the seeds of a fleet that can do without them go away, in hundredths.
const SEEDS_AWAY: u32 = 40;

/// How long they are away, in milliseconds: longer than the 2.5 s after which a silent member goes.
const AWAY: (u64, u64) = (3_500, 5_000);

/// Two seeds that go away, from a draw of its own: the other steps of a seed stay as they are.
fn seeds_away(seed: u64, size: &Size, millis: u64) -> Option<Step> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let drawn = rng.random_range(0..100) < SEEDS_AWAY;
    let span = rng.random_range(AWAY.0..=AWAY.1);
    let latest = millis.checked_sub(span).filter(|l| *l > QUIET_BEFORE)?;
    let at = rng.random_range(QUIET_BEFORE..latest);
    (drawn && size.controls > 3).then_some(Step { at, span, fault: Fault::SeedsAway })
}

fn step(rng: &mut SmallRng, size: &Size, millis: u64) -> Step {
    let at = rng.random_range(QUIET_BEFORE..millis.max(QUIET_BEFORE + 1));
    let span = rng.random_range(SPAN.0..=SPAN.1).min(millis - at);
    Step { at, span, fault: fault(rng, size) }
}

fn fault(rng: &mut SmallRng, size: &Size) -> Fault {
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

/// A second disk lost before the first is mended is more than the group promises to bear.
fn keep_one_emptied_disk(steps: &mut Vec<Step>) {
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
