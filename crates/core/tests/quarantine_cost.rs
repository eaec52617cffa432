//! Test of the processor time per termination report. Guards against a cost that grows with the
//! square of the number of suspects and blocks the thread that receives the leader's heartbeats.

use std::time::Duration;

use cypressfork_core::fleet::fingerprint::{Fingerprint, RequestIdentity};
use cypressfork_core::fleet::quarantine::{
    InFlightPart, InFlightRequest, Quarantine, TerminationReport,
};
use cypressfork_core::unit::{Millis, Time};
use nix::time::{ClockId, clock_gettime};
use rstest::rstest;

/// Replicas that terminate in turn.
const REPLICAS: u64 = 60;

/// Requests in flight on each replica when it terminates.
const IN_FLIGHT: u64 = 40;

/// Terminations reported in total.
const TERMINATIONS: u64 = 600;

/// Distinct requests, from which those in flight are drawn.
const DISTINCT_REQUESTS: u64 = 1_500;

/// Runs over which the times of a report are compared.
const RUNS: usize = 4;

/// Distinct parts of prompts that several requests have.
const DISTINCT_PARTS: u64 = 200;

/// Maximum processor time per report: a fifth of the 75 ms that a control process with a seventh of
/// a core gets within the minimum election timeout of half a second.
const MAX_REPORT_TIME: Duration = Duration::from_millis(15);

fn request(n: u64) -> InFlightRequest {
    let path = format!("/{n}");
    let identity =
        RequestIdentity { account: Some("club"), method: "GET", host: "h", path: &path, body: b"" };
    let fingerprint = Fingerprint { brief: identity.brief(), digest: n };
    InFlightRequest {
        fingerprint,
        account: "club".to_owned(),
        age: Millis(50),
        ..InFlightRequest::default()
    }
}

/// Returns a request whose prompt has a part that all share, one that many share, and one that some share. Its own
/// part is the last, which is not reported. Half of the parts were not answered before.
fn request_with_parts(n: u64) -> InFlightRequest {
    let part = |id: u64| InFlightPart { id, completed: id.is_multiple_of(2) };
    let parts = vec![part(0), part(1 + n % 20), part(21 + n % DISTINCT_PARTS)];
    InFlightRequest { parts, ..request(n) }
}

/// Returns a number below `below` from a linear congruential generator.
fn draw(seed: &mut u64, below: u64) -> u64 {
    *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 33) % below
}

/// Returns the processor time of this thread, which excludes the time of other threads.
fn processor_time() -> Duration {
    Duration::from(clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).unwrap())
}

/// Returns the processor time of each report of one run.
fn report_times(request: fn(u64) -> InFlightRequest) -> Vec<Duration> {
    let (mut seed, mut times) = (7, Vec::new());
    let mut q = Quarantine::default();
    for n in 0..TERMINATIONS {
        let replica = format!("r-{}", n % REPLICAS);
        let under_way =
            (0..IN_FLIGHT).map(|_| request(draw(&mut seed, DISTINCT_REQUESTS))).collect();
        let report = TerminationReport {
            replica,
            service: "talk".to_owned(),
            completed_ago: Some(Millis(0)),
            under_way,
            ..TerminationReport::default()
        };
        let started = processor_time();
        q.record_terminations(Time(10_000 + 400 * n), n + 1, &[report]);
        times.push(processor_time() - started);
        if times[times.len() - 1] > MAX_REPORT_TIME * 10 {
            // Later reports take at least as long.
            break;
        }
    }
    times
}

#[rstest]
#[case::requests(request)]
#[case::requests_with_parts(request_with_parts)]
fn a_report_is_processed_in_time_with_many_suspects(#[case] request: fn(u64) -> InFlightRequest) {
    // Each run does the same work, so the least time of a report over all runs is its cost without what other
    // processes add. The longest report counts.
    let runs = (0..RUNS).map(|_| report_times(request));
    let times = runs.reduce(|least, run| {
        least.into_iter().zip(run).map(|(a, b): (Duration, Duration)| a.min(b)).collect()
    });
    let longest = times.into_iter().flatten().max().unwrap();
    eprintln!("the longest report took {longest:?}");
    assert!(longest <= MAX_REPORT_TIME, "{longest:?}");
}
