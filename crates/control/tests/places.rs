//! Rejoining: processes that restart with old or empty disks and know only the seeds become voters again,
//! even if seeds were removed or replaced meanwhile.

mod support;

use rstest::rstest;
use support::world::World;

/// Time within which a process becomes a voter again once it can reach its group, in milliseconds.
const REJOIN_TIME: u64 = 3_000;

/// Time within which the leader removes a silent member, in milliseconds.
const REMOVAL_TIME: u64 = 4_000;

/// Returns a group of nine from which two seeds that crashed have been removed.
fn two_seeds_removed(seed: u64) -> World {
    let mut w = World::with_seeds(9, seed);
    w.crash(1);
    w.crash(2);
    w.until(REMOVAL_TIME + 3_000, |w| {
        let leader = w.leader().map(|l| w.machine(l).members().clone());
        leader.is_some_and(|m| !m.contains(1) && !m.contains(2))
    });
    w
}

/// Crashes all running processes at once and restarts them with their disks.
fn restart_all(w: &mut World) {
    for id in w.live() {
        w.crash(id);
        w.start(id);
    }
}

#[rstest]
fn a_member_removed_while_it_was_away_counts_again(#[values(1, 2, 3, 4)] seed: u64) {
    let mut w = two_seeds_removed(seed);
    w.start(1);
    w.start(2);
    w.until(REJOIN_TIME, World::all_are_voters);
    w.top_up();
    w.heal_and_check();
}

/// The third seed loses its disk after the other two were removed and restarted.
#[rstest]
fn a_seed_without_its_disk_finds_a_group_that_holds_no_seed(#[values(1, 2, 3, 4)] seed: u64) {
    let mut w = two_seeds_removed(seed);
    w.start(1);
    w.start(2);
    let third = w.wipe(3);
    w.until(2 * REJOIN_TIME, World::all_are_voters);
    assert!(w.live().contains(&third));
    w.heal_and_check();
}

/// A seed that is not a member refers callers to the leader.
#[rstest]
fn a_seed_outside_the_group_tells_where_the_leader_is(#[values(1, 2)] seed: u64) {
    let mut w = two_seeds_removed(seed);
    w.start(1);
    w.run(500);
    let leader = w.leader().unwrap();
    let address = w.machine(1).leader_address().or(w.contacts_leader(1));
    assert_eq!(address, Some(w.nodes[&leader].address.clone()));
}

/// Two seeds were removed and restarted, the third loses its disk, all crash, and two more lose their
/// disks.
#[rstest]
fn a_group_without_its_seeds_survives_a_loss_of_power(#[values(1, 2, 3, 4)] seed: u64) {
    let mut w = two_seeds_removed(seed);
    w.start(1);
    w.start(2);
    w.run(300);
    w.wipe(3);
    w.run(300);
    restart_all(&mut w);
    w.until(3 * REJOIN_TIME, World::all_are_voters);
    let wiped: Vec<_> = w.live().into_iter().filter(|n| [5, 8].contains(n)).collect();
    for id in wiped {
        w.wipe(id);
    }
    restart_all(&mut w);
    w.until(3 * REJOIN_TIME, World::all_are_voters);
    w.heal_and_check();
}

/// All members in the log of the restarted processes have been replaced, so that none of them can add
/// them again.
#[rstest]
fn one_whose_old_members_are_all_gone_is_welcomed_by_the_present_ones(#[values(1, 2)] seed: u64) {
    let mut w = two_seeds_removed(seed);
    for id in [3, 4, 5, 6, 7, 8, 9] {
        w.wipe(id);
        w.until(3 * REJOIN_TIME, World::all_are_voters);
    }
    w.start(1);
    w.start(2);
    w.until(REJOIN_TIME, World::all_are_voters);
    w.heal_and_check();
}

/// A founder that crashed before it received the first entry rejoins like a removed member.
#[rstest]
fn a_founder_with_an_empty_log_finds_the_group(#[values(1, 2)] seed: u64) {
    let mut w = World::with_crashed_seeds(9, &[3], seed);
    w.until(REMOVAL_TIME + 3_000, |w| {
        let leader = w.leader().map(|l| w.machine(l).members().clone());
        leader.is_some_and(|m| !m.contains(3))
    });
    w.start(3);
    w.until(2 * REJOIN_TIME, World::all_are_voters);
    w.heal_and_check();
}
