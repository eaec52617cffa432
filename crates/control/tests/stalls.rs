//! Stalled processes: a group whose processes stall repeatedly keeps its leader, and replaces a lost one.
//!
//! Guards against elections by processes that stalled for longer than the election timeout while the
//! leader's heartbeats were waiting unread.

mod support;

use cypressfork_core::unit::NodeId;
use rstest::rstest;
use support::simulation::Simulation;

/// Number of voters.
const VOTERS: u64 = 9;

/// Time within which a leader is elected: two maximum election timeouts, in milliseconds.
const ELECTION_TIME: u64 = 2_000;

/// Time for which the leader has to stay, in milliseconds.
const OBSERVED: u64 = 10_000;

/// The processes that stall at the same time.
#[derive(Clone, Copy)]
enum Stalled {
    /// All processes, as when they apply the same large entry.
    All,
    /// The leader.
    Leader,
    /// The followers, in turn.
    Followers,
}

/// Runs for `span` milliseconds, with processes that stall for `ms` out of each `every` milliseconds.
fn run_with_stalls(sim: &mut Simulation, who: Stalled, ms: u64, every: u64, span: u64) {
    for n in 0..span / every {
        let running = sim.running();
        let stalled: Vec<NodeId> = match who {
            Stalled::All => running,
            Stalled::Leader => sim.leader().into_iter().collect(),
            Stalled::Followers => {
                let leader = sim.leader();
                let is_next = |id: &NodeId| (id + n).is_multiple_of(3) && Some(*id) != leader;
                running.into_iter().filter(is_next).collect()
            }
        };
        stalled.into_iter().for_each(|id| sim.stall(id, ms));
        sim.run(every);
    }
}

/// Returns the highest term of all running processes.
fn term(sim: &Simulation) -> u64 {
    sim.running().into_iter().map(|id| sim.member(id).raft().term()).max().unwrap()
}

/// Stalls shorter and longer than the election timeout.
#[rstest]
#[case::all_for_longer_than_the_minimum_election_timeout(Stalled::All, 700)]
#[case::all_for_twice_as_long(Stalled::All, 1_500)]
#[case::all_briefly(Stalled::All, 300)]
#[case::the_leader_briefly(Stalled::Leader, 300)]
#[case::followers_in_turn(Stalled::Followers, 1_200)]
fn a_stalled_group_keeps_its_leader(#[case] who: Stalled, #[case] ms: u64) {
    for seed in 1..=5 {
        let mut sim = Simulation::new(VOTERS, seed);
        sim.run(1_000);
        let (leader, before) = (sim.leader().unwrap(), term(&sim));
        run_with_stalls(&mut sim, who, ms, ms + 400, OBSERVED);
        sim.run(200);
        assert_eq!((sim.leader(), term(&sim)), (Some(leader), before), "seed {seed}");
        sim.heal_and_check();
    }
}

#[rstest]
fn a_stalled_group_replaces_its_leader(
    #[values(Stalled::All, Stalled::Followers)] who: Stalled,
    #[values(true, false)] leader_crashes: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let (ms, every) = (300, 500);
    let mut sim = Simulation::new(VOTERS, seed);
    sim.run(1_000);
    let old = sim.leader().unwrap();
    let victim =
        if leader_crashes { old } else { sim.running().into_iter().find(|n| *n != old).unwrap() };
    sim.crash(victim);
    run_with_stalls(&mut sim, who, ms, every, ELECTION_TIME + 500);
    let leader = sim.leader().expect("a leader within two election timeouts");
    let after = term(&sim);
    run_with_stalls(&mut sim, who, ms, every, OBSERVED);
    assert_eq!((sim.leader(), term(&sim)), (Some(leader), after), "one leader for ten seconds");
    sim.heal_and_check();
}

/// Rounds within which processes that stall all the time replace a lost leader: timeout, pre-vote, vote and
/// first heartbeat take one each, and a split vote takes two more.
const ROUNDS: u64 = 6;

#[rstest]
fn a_group_that_always_stalls_replaces_its_leader(#[values(1, 2, 3)] seed: u64) {
    let (ms, every) = (1_900, 2_000);
    let mut sim = Simulation::new(VOTERS, seed);
    sim.run(1_000);
    let old = sim.leader().unwrap();
    sim.crash(old);
    run_with_stalls(&mut sim, Stalled::All, ms, every, every * ROUNDS);
    assert!(sim.leader().is_some(), "a leader within {ROUNDS} rounds");
    sim.heal_and_check();
}
