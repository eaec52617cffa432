//! A group whose processes are held up again and again keeps its leader, and one that has lost its
//! leader has another soon.
//!
//! Seen: a group of nine elected a new leader every 0.3 to 1 s for the rest of a day, with nothing done to
//! its links, and committed nothing any more. All its processes stood still at the same moments, for
//! longer than a follower waits for its leader: what they had to apply took long, and all apply the same.
//! Cause: silence was taken from the clock alone. A process that comes back to its clock finds that it is late,
//! and what its leader sent meanwhile is still unread; all do so at once, and grant each other a term.
//! Proof: on the code before, all five seeds had another leader after 700 ms and after 1,500 ms.

mod support;

use cypressfork_core::unit::NodeId;
use rstest::rstest;
use support::world::World;

/// Voters.
const VOTERS: u64 = 9;

/// Two election timeouts: a follower waits for its leader between one and two times 500 ms.
const ELECTED_WITHIN: u64 = 2_000;

/// How long the group is watched.
const WATCHED: u64 = 10_000;

/// Who is held up at a time.
#[derive(Clone, Copy)]
enum Who {
    /// All: they apply the same entry.
    All,
    /// The leader, which has more to do than the others.
    Leader,
    /// The others, each at a time of its own.
    Followers,
}

/// Lets so much time pass, with processes that are held up for `ms` out of each `every`.
fn pass(w: &mut World, who: Who, ms: u64, every: u64, span: u64) {
    for n in 0..span / every {
        let live = w.live();
        let held: Vec<NodeId> = match who {
            Who::All => live,
            Who::Leader => w.leader().into_iter().collect(),
            Who::Followers => {
                let leader = w.leader();
                let turn = |id: &NodeId| (id + n).is_multiple_of(3) && Some(*id) != leader;
                live.into_iter().filter(turn).collect()
            }
        };
        held.into_iter().for_each(|id| w.hold_up(id, ms));
        w.run(every);
    }
}

fn term(w: &World) -> u64 {
    w.live().into_iter().map(|id| w.machine(id).raft().term()).max().unwrap()
}

/// Longer than a follower waits for its leader, and as long as the leader has others wait.
#[rstest]
#[case::all_for_longer_than_a_follower_waits(Who::All, 700)]
#[case::all_for_twice_as_long(Who::All, 1_500)]
#[case::all_shortly(Who::All, 300)]
#[case::the_leader_shortly(Who::Leader, 300)]
#[case::followers_in_turn(Who::Followers, 1_200)]
fn a_group_that_is_held_up_keeps_its_leader(#[case] who: Who, #[case] ms: u64) {
    for seed in 1..=5 {
        let mut w = World::new(VOTERS, seed);
        w.run(1_000);
        let (leader, before) = (w.leader().unwrap(), term(&w));
        pass(&mut w, who, ms, ms + 400, WATCHED);
        w.run(200);
        assert_eq!((w.leader(), term(&w)), (Some(leader), before), "seed {seed}");
        w.heal_and_check();
    }
}

#[rstest]
fn a_group_that_is_held_up_replaces_its_leader(
    #[values(Who::All, Who::Followers)] who: Who,
    #[values(true, false)] of_the_leader: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let (ms, every) = (300, 500);
    let mut w = World::new(VOTERS, seed);
    w.run(1_000);
    let old = w.leader().unwrap();
    let victim =
        if of_the_leader { old } else { w.live().into_iter().find(|n| *n != old).unwrap() };
    w.crash(victim);
    pass(&mut w, who, ms, every, ELECTED_WITHIN + 500);
    let leader = w.leader().expect("a leader within two election timeouts");
    let after = term(&w);
    pass(&mut w, who, ms, every, WATCHED);
    assert_eq!((w.leader(), term(&w)), (Some(leader), after), "one leader for ten seconds");
    w.heal_and_check();
}

/// Turns of processes that are late all the time in which a leader that is gone is replaced: they find it
/// silent, ask whether to stand, ask for votes, and hear that one leads, a turn each, and twice one more
/// where two stand at a time.
const TURNS: u64 = 6;

#[rstest]
fn a_group_that_is_always_late_replaces_its_leader(#[values(1, 2, 3)] seed: u64) {
    let (ms, every) = (1_900, 2_000);
    let mut w = World::new(VOTERS, seed);
    w.run(1_000);
    let old = w.leader().unwrap();
    w.crash(old);
    pass(&mut w, Who::All, ms, every, every * TURNS);
    assert!(w.leader().is_some(), "a leader within {TURNS} turns");
    w.heal_and_check();
}
