//! Statistics of a control process's event loop: whether its ticks are late, and what it was doing
//! meanwhile.

use std::fmt;
use std::time::Duration;

use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::{counter, histogram};
use tokio::time::Instant;

/// Time between two ticks at which a stall is logged. A leader that stalls for the election timeout is
/// replaced.
const LATE_TICK: Duration = Duration::from_millis(200);

/// The kind of an input to a control process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputKind {
    /// Messages of the replicated log.
    Raft,
    /// Commands and queries.
    Call,
    /// Watch requests.
    Watch,
    /// Watch responses of other control processes.
    PeerUpdate,
    /// Calls over HTTP.
    Http,
}

impl InputKind {
    const ALL: [InputKind; 5] = [
        InputKind::Raft,
        InputKind::Call,
        InputKind::Watch,
        InputKind::PeerUpdate,
        InputKind::Http,
    ];

    /// Returns its label in metrics.
    fn label(self) -> &'static str {
        match self {
            InputKind::Raft => "log",
            InputKind::Call => "call",
            InputKind::Watch => "watch",
            InputKind::PeerUpdate => "seen",
            InputKind::Http => "http",
        }
    }
}

/// Number of inputs of each kind.
#[derive(Clone, Copy, Debug, Default)]
struct Counts([u64; InputKind::ALL.len()]);

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, (kind, count)) in InputKind::ALL.iter().zip(self.0).enumerate() {
            let space = if n == 0 { "" } else { " " };
            write!(f, "{space}{}:{count}", kind.label())?;
        }
        Ok(())
    }
}

/// Statistics of the event loop since its last tick.
#[derive(Debug)]
pub struct LoopStats {
    last_tick: Instant,
    inputs: Counts,
    iterations: u64,
    busy: Duration,
    longest: Duration,
}

impl LoopStats {
    /// Creates empty statistics that start now.
    pub fn new() -> LoopStats {
        LoopStats {
            last_tick: Instant::now(),
            inputs: Counts::default(),
            iterations: 0,
            busy: Duration::ZERO,
            longest: Duration::ZERO,
        }
    }

    /// Counts an input.
    pub fn record_input(&mut self, kind: InputKind) {
        self.inputs.0[kind as usize] += 1;
        counter!(metric::INPUTS, "kind" => kind.label()).increment(1);
    }

    /// Records an iteration of the loop that started at `started`.
    pub fn record_iteration(&mut self, started: Instant) {
        let took = started.elapsed();
        self.iterations += 1;
        self.busy += took;
        self.longest = self.longest.max(took);
    }

    /// Records a tick and starts anew; logs the statistics if the tick is late. Returns the time since
    /// the previous tick.
    pub fn record_tick(&mut self) -> Duration {
        let since = self.last_tick.elapsed();
        histogram!(metric::TICK).record(since);
        if since >= LATE_TICK {
            emit!(
                Event::LoopStalled,
                ms = since.as_millis(),
                turns = self.iterations,
                busy_ms = self.busy.as_millis(),
                longest_ms = self.longest.as_millis(),
                inputs = self.inputs,
            );
        }
        *self = LoopStats::new();
        since
    }
}

impl Default for LoopStats {
    fn default() -> LoopStats {
        LoopStats::new()
    }
}
