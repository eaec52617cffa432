//! Planned stops and reloads of processes, by signals.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::{POLL_INTERVAL, Run, START_DISRUPTION_MS};
use crate::check_stops::stop_description;
use crate::fleet::Process;
use crate::history::{Disruption, Stop, Timestamp};
use crate::signals::{Act, TimedAct};
use crate::world::World;

/// Time after its start from which a process has to serve.
const SERVES_AFTER: Duration = Duration::from_secs(2);

/// Interval between two reload signals.
const RELOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a stop waits until no other step is using its process.
const MAX_BUSY: Duration = Duration::from_secs(3);

impl Run {
    /// Stops a process that no other step is using gracefully, and restarts it.
    pub(super) async fn stop(&self, p: &Process) {
        if p.busy.replace(true) {
            return;
        }
        self.stop_and_record(p).await;
        self.restart(p);
    }

    /// Stops processes one after the other, from `first` on, every `interval` milliseconds.
    pub(super) async fn stop_in_turn(&self, first: usize, interval: u64, mut all: Vec<&Process>) {
        all.rotate_left(first);
        let stops = (0..).zip(all).map(|(n, p)| async move {
            sleep(Duration::from_millis(n * interval)).await;
            wait_until_free(p).await;
            self.stop(p).await;
        });
        futures_util::future::join_all(stops).await;
    }

    /// Restarts a process gracefully, and once more `after` milliseconds after its start.
    pub(super) async fn stop_at_start(&self, p: &Process, after: u64) {
        wait_until_free(p).await;
        if p.busy.replace(true) {
            return;
        }
        self.stop_and_record(p).await;
        self.start_again(p);
        sleep(Duration::from_millis(after)).await;
        self.stop_and_record(p).await;
        self.restart(p);
    }

    /// Stops a process with the next series of signals and records the stop.
    async fn stop_and_record(&self, p: &Process) {
        let n = self.stops.replace(self.stops.get() + 1);
        let series = self.series.get(n % self.series.len().max(1)).map_or(&[][..], Vec::as_slice);
        let seen = stop_with(&self.w, p, series).await;
        let gateway = self.fleet.gateways.iter().position(|g| g.process.name == p.name);
        let mut h = self.w.history.borrow_mut();
        h.disruptions.push(Disruption {
            what: stop_description(&p.name),
            from: seen.requested,
            until: seen.ended + START_DISRUPTION_MS,
        });
        h.stops.push(Stop {
            process: p.name.clone(),
            gateway,
            requested: seen.requested,
            ended: seen.ended,
            suspended_ms: seen.suspended_ms,
            served: seen.served,
        });
    }
}

/// Waits until no other step is using a process, for a limited time.
async fn wait_until_free(p: &Process) {
    let until = Instant::now() + MAX_BUSY;
    while p.busy.get() && Instant::now() < until {
        sleep(POLL_INTERVAL).await;
    }
}

/// What was seen of a planned stop.
struct Observed {
    /// When it was requested.
    requested: Timestamp,
    /// When the process had exited.
    ended: Timestamp,
    /// Time for which the process stood still, in milliseconds.
    suspended_ms: u64,
    /// Whether the process had time to start before.
    served: bool,
}

/// Stops a process with `TERM`, sends it `series` while it runs, and waits for its exit. Kills it if that takes too
/// long.
async fn stop_with(w: &World, p: &Process, series: &[TimedAct]) -> Observed {
    let (requested, served) = (w.now(), has_started(p));
    let suspended = Cell::new(0);
    p.signal("TERM");
    tokio::select! {
        () = p.wait_for_exit() => {}
        () = send(p, series, &suspended) => {}
    }
    p.kill();
    Observed { requested, ended: w.now(), suspended_ms: suspended.get(), served }
}

/// Sends the acts of a series at their times. Never returns.
async fn send(p: &Process, series: &[TimedAct], suspended: &Cell<u64>) {
    let started = Instant::now();
    for a in series {
        sleep_until(started + Duration::from_millis(a.after)).await;
        match a.act {
            Act::Send(name) => p.signal(name),
            Act::Suspend(ms) => {
                suspended.set(suspended.get() + ms);
                p.signal("STOP");
                p.signal("TERM");
                sleep(Duration::from_millis(ms)).await;
                p.signal("CONT");
            }
        }
    }
    std::future::pending().await
}

/// Sends a process `times` reload signals. Leaves out those for a process that starts or that another step uses.
pub(super) async fn reload(p: &Process, times: usize) {
    for _ in 0..times {
        if has_started(p) && !p.busy.get() {
            p.signal("HUP");
        }
        sleep(RELOAD_INTERVAL).await;
    }
}

fn has_started(p: &Process) -> bool {
    p.uptime().is_some_and(|up| up >= SERVES_AFTER)
}
