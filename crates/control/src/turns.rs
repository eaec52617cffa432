//! Statistics of a control process's event loop: what it spends its time on, and whether its ticks are late.

use std::fmt;
use std::time::Duration;

use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::{counter, histogram};
use tokio::time::Instant;

/// Time between two ticks at which a stall is logged. A leader that stalls for the election timeout is
/// replaced.
const LATE_TICK: Duration = Duration::from_millis(200);

/// Interval at which the counters are exported.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the time spent by kind of work is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A kind of work of a control process's event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
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
    /// Periodic tasks.
    Tick,
    /// Storing, syncing and applying log entries.
    Log,
    /// Answers to watch requests, and sending what is due.
    Answer,
}

/// Number of kinds of work.
const KINDS: usize = Work::ALL.len();

impl Work {
    const ALL: [Work; 8] = [
        Work::Raft,
        Work::Call,
        Work::Watch,
        Work::PeerUpdate,
        Work::Http,
        Work::Tick,
        Work::Log,
        Work::Answer,
    ];

    /// Returns its label in metrics and log lines.
    fn label(self) -> &'static str {
        match self {
            Work::Raft => "log",
            Work::Call => "call",
            Work::Watch => "watch",
            Work::PeerUpdate => "seen",
            Work::Http => "http",
            Work::Tick => "tick",
            Work::Log => "store",
            Work::Answer => "answer",
        }
    }
}

/// Number of inputs, and the time spent, by kind of work.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    counts: [u64; KINDS],
    spent: [Duration; KINDS],
}

impl Tally {
    fn add(&mut self, work: Work, spent: Duration) {
        self.counts[work as usize] += 1;
        self.spent[work as usize] += spent;
    }

    fn merge(&mut self, other: &Tally) {
        for n in 0..KINDS {
            self.counts[n] += other.counts[n];
            self.spent[n] += other.spent[n];
        }
    }

    /// Adds this to the exported counters.
    fn export(&self) {
        for work in Work::ALL {
            let n = work as usize;
            counter!(metric::INPUTS, "kind" => work.label()).increment(self.counts[n]);
            let micros = self.spent[n].as_micros() as u64;
            counter!(metric::LOOP_TIME, "kind" => work.label()).increment(micros);
        }
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, work) in Work::ALL.iter().enumerate() {
            let space = if n == 0 { "" } else { " " };
            let (count, ms) = (self.counts[n], self.spent[n].as_millis());
            write!(f, "{space}{}:{count}/{ms}ms", work.label())?;
        }
        Ok(())
    }
}

/// Statistics of the event loop.
#[derive(Debug)]
pub struct LoopStats {
    last_tick: Instant,
    /// Since the last tick.
    since_tick: Tally,
    iterations: u64,
    busy: Duration,
    longest: Duration,
    /// Since the last export.
    since_export: Tally,
    exported_at: Instant,
    /// Since the last log line.
    since_log: Tally,
    logged_at: Instant,
    /// Start of the current iteration, and the end of its last step.
    iteration_start: Instant,
    step_end: Instant,
}

impl LoopStats {
    /// Creates empty statistics that start now.
    pub fn new() -> LoopStats {
        let now = Instant::now();
        LoopStats {
            last_tick: now,
            since_tick: Tally::default(),
            iterations: 0,
            busy: Duration::ZERO,
            longest: Duration::ZERO,
            since_export: Tally::default(),
            exported_at: now,
            since_log: Tally::default(),
            logged_at: now,
            iteration_start: now,
            step_end: now,
        }
    }

    /// Starts an iteration of the loop.
    pub fn start_iteration(&mut self) {
        self.iteration_start = Instant::now();
        self.step_end = self.iteration_start;
    }

    /// Counts one unit of work, which took the time since the previous one of this iteration.
    pub fn record_work(&mut self, work: Work) {
        let now = Instant::now();
        let spent = now - self.step_end;
        self.step_end = now;
        self.since_tick.add(work, spent);
    }

    /// Ends an iteration.
    pub fn end_iteration(&mut self) {
        let took = self.step_end - self.iteration_start;
        self.iterations += 1;
        self.busy += took;
        self.longest = self.longest.max(took);
    }

    /// Records a tick, logs the statistics since the previous one if it is late, and exports them when that
    /// is due. Returns the time since the previous tick.
    pub fn record_tick(&mut self) -> Duration {
        let now = Instant::now();
        let since = now - self.last_tick;
        histogram!(metric::TICK).record(since);
        if since >= LATE_TICK {
            emit!(
                Event::LoopStalled,
                ms = since.as_millis(),
                turns = self.iterations,
                busy_ms = self.busy.as_millis(),
                longest_ms = self.longest.as_millis(),
                inputs = self.since_tick,
            );
        }
        self.since_export.merge(&self.since_tick);
        self.since_log.merge(&self.since_tick);
        self.last_tick = now;
        self.since_tick = Tally::default();
        self.iterations = 0;
        self.busy = Duration::ZERO;
        self.longest = Duration::ZERO;
        self.export_if_due(now);
        since
    }

    fn export_if_due(&mut self, now: Instant) {
        if now - self.exported_at >= EXPORT_INTERVAL {
            self.since_export.export();
            self.since_export = Tally::default();
            self.exported_at = now;
        }
        if now - self.logged_at >= LOG_INTERVAL {
            let ms = (now - self.logged_at).as_millis();
            let busy: Duration = self.since_log.spent.iter().sum();
            emit!(Event::LoopWork, ms = ms, busy_ms = busy.as_millis(), work = self.since_log);
            self.since_log = Tally::default();
            self.logged_at = now;
        }
    }
}

impl Default for LoopStats {
    fn default() -> LoopStats {
        LoopStats::new()
    }
}
