//! How a control process's one thread spends its time: whether it comes round to its clock in time, and
//! what it was busy with if it does not.

use std::fmt;
use std::time::Duration;

use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::{counter, histogram};
use tokio::time::Instant;

/// Between two ticks, from which on it is told what kept the process: some of that, and a follower's
/// patience with its leader is over.
const LATE: Duration = Duration::from_millis(200);

/// What comes to a control process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Messages of the replicated log.
    Log,
    /// Commands and queries.
    Call,
    /// Standing questions.
    Watch,
    /// Answers of the other control processes to this one's.
    Seen,
    /// Calls over HTTP.
    Http,
}

impl Kind {
    const ALL: [Kind; 5] = [Kind::Log, Kind::Call, Kind::Watch, Kind::Seen, Kind::Http];

    /// Its name in metrics.
    fn name(self) -> &'static str {
        match self {
            Kind::Log => "log",
            Kind::Call => "call",
            Kind::Watch => "watch",
            Kind::Seen => "seen",
            Kind::Http => "http",
        }
    }
}

/// Inputs of each kind.
#[derive(Clone, Copy, Debug, Default)]
struct Counts([u64; Kind::ALL.len()]);

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, (kind, count)) in Kind::ALL.iter().zip(self.0).enumerate() {
            let space = if n == 0 { "" } else { " " };
            write!(f, "{space}{}:{count}", kind.name())?;
        }
        Ok(())
    }
}

/// The turns of the process's loop since its last tick.
#[derive(Debug)]
pub struct Turns {
    ticked: Instant,
    inputs: Counts,
    turns: u64,
    busy: Duration,
    longest: Duration,
}

impl Turns {
    /// Begins now.
    pub fn new() -> Turns {
        Turns {
            ticked: Instant::now(),
            inputs: Counts::default(),
            turns: 0,
            busy: Duration::ZERO,
            longest: Duration::ZERO,
        }
    }

    /// Counts an input.
    pub fn note_input(&mut self, kind: Kind) {
        self.inputs.0[kind as usize] += 1;
        counter!(metric::INPUTS, "kind" => kind.name()).increment(1);
    }

    /// Notes a turn of the loop that began at `begun`.
    pub fn note_turn(&mut self, begun: Instant) {
        let took = begun.elapsed();
        self.turns += 1;
        self.busy += took;
        self.longest = self.longest.max(took);
    }

    /// Notes a tick. Returns the time since the one before.
    pub fn note_tick(&mut self) -> Duration {
        let since = self.ticked.elapsed();
        histogram!(metric::TICK).record(since);
        if since >= LATE {
            emit!(
                Event::HeldUp,
                ms = since.as_millis(),
                turns = self.turns,
                busy_ms = self.busy.as_millis(),
                longest_ms = self.longest.as_millis(),
                inputs = self.inputs,
            );
        }
        *self = Turns::new();
        since
    }
}

impl Default for Turns {
    fn default() -> Turns {
        Turns::new()
    }
}
