//! A group whose processes come back with whatever disk, knowing only its seeds: each of them counts
//! again soon, whatever happened to the seeds meanwhile.

mod support;

use rstest::rstest;
use support::world::World;

/// How long a process may take to count again, once all that is left of its group is in reach.
const COUNTS_WITHIN: u64 = 3_000;

/// A member that has been silent for 2.5 s is removed at the leader's next look.
const REMOVED_WITHIN: u64 = 4_000;

/// Nine members, of which two seeds lose power for so long that they are removed.
fn two_seeds_removed(seed: u64) -> World {
    let mut w = World::found(9, seed);
    w.crash(1);
    w.crash(2);
    w.until(REMOVED_WITHIN + 3_000, |w| {
        let leader = w.leader().map(|l| w.machine(l).members().clone());
        leader.is_some_and(|m| !m.contains(1) && !m.contains(2))
    });
    w
}

/// All that runs loses power at once and comes back with its disk.
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
    w.until(COUNTS_WITHIN, World::all_count);
    w.top_up();
    w.heal_and_check();
}

/// The third seed loses its disk while the other two have been removed and are back.
#[rstest]
fn a_seed_without_its_disk_finds_a_group_that_holds_no_seed(#[values(1, 2, 3, 4)] seed: u64) {
    let mut w = two_seeds_removed(seed);
    w.start(1);
    w.start(2);
    let third = w.wipe(3);
    w.until(2 * COUNTS_WITHIN, World::all_count);
    assert!(w.live().contains(&third));
    w.heal_and_check();
}

/// What an operator's call or a gateway's finds: a seed tells where the leader is, or leads.
#[rstest]
fn a_seed_outside_the_group_tells_where_the_leader_is(#[values(1, 2)] seed: u64) {
    let mut w = two_seeds_removed(seed);
    w.start(1);
    w.run(500);
    let leader = w.leader().unwrap();
    let told = w.machine(1).leader_address().or(w.told_leader(1));
    assert_eq!(told, Some(w.nodes[&leader].address.clone()));
}

/// Two seeds are removed and back, the third loses its disk, all lose power and two more their disks.
#[rstest]
fn a_group_without_its_seeds_survives_a_loss_of_power(#[values(1, 2, 3, 4)] seed: u64) {
    let mut w = two_seeds_removed(seed);
    w.start(1);
    w.start(2);
    w.run(300);
    w.wipe(3);
    w.run(300);
    restart_all(&mut w);
    w.until(3 * COUNTS_WITHIN, World::all_count);
    let wiped: Vec<_> = w.live().into_iter().filter(|n| [5, 8].contains(n)).collect();
    for id in wiped {
        w.wipe(id);
    }
    restart_all(&mut w);
    w.until(3 * COUNTS_WITHIN, World::all_count);
    w.heal_and_check();
}

/// All members that the log of a process names have been replaced since: nobody it knows of can
/// welcome it back.
#[rstest]
fn one_whose_old_members_are_all_gone_is_welcomed_by_the_present_ones(#[values(1, 2)] seed: u64) {
    let mut w = two_seeds_removed(seed);
    for id in [3, 4, 5, 6, 7, 8, 9] {
        w.wipe(id);
        w.until(3 * COUNTS_WITHIN, World::all_count);
    }
    w.start(1);
    w.start(2);
    w.until(COUNTS_WITHIN, World::all_count);
    w.heal_and_check();
}

/// A founder that was killed before the group's first entry reached it is as good as a removed one.
#[rstest]
fn a_founder_with_an_empty_log_finds_the_group(#[values(1, 2)] seed: u64) {
    let mut w = World::found_without(9, &[3], seed);
    w.until(REMOVED_WITHIN + 3_000, |w| {
        let leader = w.leader().map(|l| w.machine(l).members().clone());
        leader.is_some_and(|m| !m.contains(3))
    });
    w.start(3);
    w.until(2 * COUNTS_WITHIN, World::all_count);
    w.heal_and_check();
}
