//! Keep-alive probes on links whose messages get no responses.

use cypressfork_core::keep_alive::{Action, KeepAlive, TICK_INTERVAL};
use cypressfork_core::unit::Time;
use rstest::rstest;

/// Time within which a silent link has to be given up, in milliseconds.
const GIVEN_UP_WITHIN: u64 = 3_000;

/// Longest pause of a process that is no silence, in milliseconds.
const MAX_PAUSE: u64 = 1_000;

fn ticks(from: u64, until: u64) -> impl Iterator<Item = Time> {
    (from..=until).step_by(TICK_INTERVAL.0 as usize).map(Time)
}

/// Guards against links that stay in use although the peer has fallen silent at any moment between probes.
#[rstest]
fn a_link_is_given_up_within_three_seconds_of_its_last_answer(
    #[values(0, 100, 999, 1_000, 1_400)] answered_until: u64,
) {
    let mut k = KeepAlive::new(Time(0));
    let given_up = ticks(0, 10_000).find(|now| {
        let action = k.tick(*now);
        if action == Action::Probe && now.0 <= answered_until {
            k.record_answer();
        }
        action == Action::GiveUp
    });
    let given_up = given_up.expect("the link is given up");
    assert!(given_up.0 <= answered_until + GIVEN_UP_WITHIN, "given up at {given_up:?}");
}

/// Guards against links that are given up because the peer was paused for up to a second.
#[rstest]
fn a_peer_that_is_paused_for_a_second_keeps_its_link(
    #[values(0, 250, 500, 750, 1_000)] paused_from: u64,
) {
    let mut k = KeepAlive::new(Time(0));
    let mut probed = false;
    for now in ticks(0, 20_000) {
        let paused = (paused_from..paused_from + MAX_PAUSE).contains(&now.0);
        if probed && !paused {
            k.record_answer();
            probed = false;
        }
        match k.tick(now) {
            Action::Probe => probed = true,
            Action::GiveUp => panic!("given up at {now:?}"),
            Action::Wait => {}
        }
    }
}

/// Guards against links that are given up right after this process was paused, before it has read the answer.
#[rstest]
fn a_pause_of_this_process_is_no_silence_of_the_peer(#[values(1_000, 5_000, 600_000)] pause: u64) {
    let mut k = KeepAlive::new(Time(0));
    let probed = ticks(0, 2_000).find(|now| k.tick(*now) == Action::Probe).unwrap();
    assert_eq!(k.tick(Time(probed.0 + pause)), Action::Wait);
    k.record_answer();
    assert_eq!(k.tick(Time(probed.0 + pause + 1)), Action::Wait);
}
