//! Series of signals: what a process gets beside the `TERM` of its planned stop, and the faults that seeds with such
//! series have in addition.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::plan::{Fault, Size, Step};

/// What is sent to a process that is stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// A signal.
    Send(&'static str),
    /// `STOP`, then `TERM` while the process stands still, and `CONT` after this number of milliseconds.
    Suspend(u64),
}

/// An act and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedAct {
    /// Milliseconds since the first `TERM`.
    pub after: u64,
    /// The act.
    pub act: Act,
}

/// What a process gets during one planned stop, in order.
pub type Series = Vec<TimedAct>;

/// Percentage of seeds with series of signals.
const SIGNALS_PERCENT: u32 = 50;

/// Number of series that a seed has. Its planned stops take them in turn.
const SERIES_COUNT: usize = 8;

/// Maximum number of acts in a series.
const MAX_ACTS: usize = 4;

/// Earliest and latest time of an act, in milliseconds after the first `TERM`.
const ACT_AFTER_MS: (u64, u64) = (20, 3_000);

/// Minimum and maximum time for which a stopping process stands still, in milliseconds.
const SUSPEND_MS: (u64, u64) = (30, 400);

/// Minimum and maximum time between two stops that overlap, in milliseconds.
const STOP_INTERVAL_MS: (u64, u64) = (200, 2_500);

/// Latest time of a stop after the start of its process, in milliseconds.
const MAX_START_MS: u64 = 300;

/// Maximum number of reload signals to one process.
const MAX_RELOADS: usize = 6;

/// Time without faults at the start of a run, in milliseconds.
const QUIET_START_MS: u64 = 1_000;

/// Returns the generator of a seed, or `None` if the seed has no series. A separate generator leaves the other steps
/// unchanged.
fn generator(seed: u64, salt: u64) -> Option<SmallRng> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x47b5_481d_befa_4fa4);
    (rng.random_range(0..100) < SIGNALS_PERCENT).then(|| SmallRng::seed_from_u64(seed ^ salt))
}

/// Draws the series of a seed: none if it has single signals only.
pub fn draw_series(seed: u64) -> Vec<Series> {
    let Some(mut rng) = generator(seed, 0xbb67_ae85_84ca_a73b) else { return Vec::new() };
    (0..SERIES_COUNT).map(|_| draw_one(&mut rng)).collect()
}

fn draw_one(rng: &mut SmallRng) -> Series {
    let count = rng.random_range(1..=MAX_ACTS);
    let mut series: Series = (0..count).map(|_| draw_act(rng)).collect();
    series.sort_by_key(|a| a.after);
    series
}

fn draw_act(rng: &mut SmallRng) -> TimedAct {
    let after = rng.random_range(ACT_AFTER_MS.0..=ACT_AFTER_MS.1);
    let act = match rng.random_range(0..10) {
        0..5 => Act::Send("TERM"),
        5..7 => Act::Send("INT"),
        7 => Act::Send("HUP"),
        _ => Act::Suspend(rng.random_range(SUSPEND_MS.0..=SUSPEND_MS.1)),
    };
    TimedAct { after, act }
}

/// Draws the steps that a seed with series has in addition: stops of all processes in turn, a leave beside
/// those of the gateways, a stop at the start of a process, and reloads.
pub fn draw_steps(seed: u64, size: &Size, millis: u64) -> Vec<Step> {
    let Some(mut rng) = generator(seed, 0x3c6e_f372_a54f_f53a) else { return Vec::new() };
    let rng = &mut rng;
    let at = draw_start(rng, millis / 2);
    let interval = rng.random_range(STOP_INTERVAL_MS.0..=STOP_INTERVAL_MS.1);
    let gateways =
        Fault::StopGatewaysInTurn { first: rng.random_range(0..size.gateways), interval };
    let interval = rng.random_range(STOP_INTERVAL_MS.0..=STOP_INTERVAL_MS.1);
    let controls =
        Fault::StopControlsInTurn { first: rng.random_range(0..size.controls), interval };
    let leave = match rng.random_bool(0.5) {
        true => Fault::LeaveTalk(rng.random_range(0..size.talk)),
        false => Fault::LeaveBoard(rng.random_range(0..size.board)),
    };
    let after = rng.random_range(0..=MAX_START_MS);
    let at_start = match rng.random_bool(0.7) {
        true => Fault::StopGatewayAtStart { gateway: rng.random_range(0..size.gateways), after },
        false => Fault::StopControlAtStart { control: rng.random_range(0..size.controls), after },
    };
    let reload = Fault::Reload {
        process: rng.random_range(0..size.controls + size.gateways),
        times: rng.random_range(2..=MAX_RELOADS),
    };
    let step = |at, fault| Step { at, span: 0, fault };
    vec![
        step(at, gateways),
        step(draw_start(rng, millis), controls),
        step((at + rng.random_range(0..1_000)).min(millis), leave),
        step(draw_start(rng, millis), at_start),
        step(draw_start(rng, millis), reload),
    ]
}

fn draw_start(rng: &mut SmallRng, millis: u64) -> u64 {
    rng.random_range(QUIET_START_MS..millis.max(QUIET_START_MS + 1))
}
