//! Rejoining: processes that restart with old or empty disks and know only the seeds become voters again,
//! even if seeds were removed or replaced meanwhile.

mod support;

use rstest::rstest;
use support::simulation::Simulation;

/// Time within which a process becomes a voter again once it can reach its group, in milliseconds.
const REJOIN_TIME: u64 = 3_000;

/// Time within which the leader removes a silent member, in milliseconds.
const REMOVAL_TIME: u64 = 4_000;

/// Returns a group of nine from which two seeds that crashed have been removed.
fn two_seeds_removed(seed: u64) -> Simulation {
    let mut sim = Simulation::with_seeds(9, seed);
    sim.crash(1);
    sim.crash(2);
    sim.until(REMOVAL_TIME + 3_000, |sim| {
        let leader = sim.leader().map(|l| sim.member(l).members().clone());
        leader.is_some_and(|m| !m.contains(1) && !m.contains(2))
    });
    sim
}

/// Crashes all running processes at once and restarts them with their disks.
fn restart_all(sim: &mut Simulation) {
    for id in sim.running() {
        sim.crash(id);
        sim.start(id);
    }
}

#[rstest]
fn a_member_removed_while_it_was_down_becomes_a_voter_again(#[values(1, 2, 3, 4)] seed: u64) {
    let mut sim = two_seeds_removed(seed);
    sim.start(1);
    sim.start(2);
    sim.until(REJOIN_TIME, Simulation::all_are_voters);
    sim.top_up();
    sim.heal_and_check();
}

/// The third seed loses its disk after the other two were removed and restarted.
#[rstest]
fn a_seed_without_its_disk_finds_a_group_that_holds_no_seed(#[values(1, 2, 3, 4)] seed: u64) {
    let mut sim = two_seeds_removed(seed);
    sim.start(1);
    sim.start(2);
    let third = sim.wipe(3);
    sim.until(2 * REJOIN_TIME, Simulation::all_are_voters);
    assert!(sim.running().contains(&third));
    sim.heal_and_check();
}

/// A seed that is not a member refers callers to the leader.
#[rstest]
fn a_seed_outside_the_group_returns_the_leaders_address(#[values(1, 2)] seed: u64) {
    let mut sim = two_seeds_removed(seed);
    sim.start(1);
    sim.run(500);
    let leader = sim.leader().unwrap();
    let address = sim.member(1).leader_address().or(sim.contacts_leader(1));
    assert_eq!(address, Some(sim.nodes[&leader].address.clone()));
}

/// Two seeds were removed and restarted, the third loses its disk, all crash, and two more lose their
/// disks.
#[rstest]
fn a_group_without_its_seeds_survives_a_loss_of_power(#[values(1, 2, 3, 4)] seed: u64) {
    let mut sim = two_seeds_removed(seed);
    sim.start(1);
    sim.start(2);
    sim.run(300);
    sim.wipe(3);
    sim.run(300);
    restart_all(&mut sim);
    sim.until(3 * REJOIN_TIME, Simulation::all_are_voters);
    let wiped: Vec<_> = sim.running().into_iter().filter(|n| [5, 8].contains(n)).collect();
    for id in wiped {
        sim.wipe(id);
    }
    restart_all(&mut sim);
    sim.until(3 * REJOIN_TIME, Simulation::all_are_voters);
    sim.heal_and_check();
}

/// All members in the log of the restarted processes have been replaced, so that none of them can add
/// them again.
#[rstest]
fn a_process_whose_known_members_are_all_replaced_rejoins(#[values(1, 2)] seed: u64) {
    let mut sim = two_seeds_removed(seed);
    for id in [3, 4, 5, 6, 7, 8, 9] {
        sim.wipe(id);
        sim.until(3 * REJOIN_TIME, Simulation::all_are_voters);
    }
    sim.start(1);
    sim.start(2);
    sim.until(REJOIN_TIME, Simulation::all_are_voters);
    sim.heal_and_check();
}

/// A founder that crashed before it received the first entry rejoins like a removed member.
#[rstest]
fn a_founder_with_an_empty_log_finds_the_group(#[values(1, 2)] seed: u64) {
    let mut sim = Simulation::with_crashed_seeds(9, &[3], seed);
    sim.until(REMOVAL_TIME + 3_000, |sim| {
        let leader = sim.leader().map(|l| sim.member(l).members().clone());
        leader.is_some_and(|m| !m.contains(3))
    });
    sim.start(3);
    sim.until(2 * REJOIN_TIME, Simulation::all_are_voters);
    sim.heal_and_check();
}
