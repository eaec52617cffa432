//! A control group under failures: no acknowledged change is lost and no stale read is served.

mod support;

use cypressfork_core::code::Code;
use cypressfork_core::raft::MemberChange;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use support::world::World;

fn others(n: u64) -> Vec<u64> {
    (1..=3).filter(|i| *i != n).collect()
}

/// Cuts the links of a member in both directions.
fn cut_off(w: &mut World, n: u64) {
    for o in others(n) {
        w.cut.insert((n, o));
        w.cut.insert((o, n));
    }
}

#[test]
fn a_killed_leader_is_replaced_and_nothing_is_lost() {
    let mut w = World::new(3, 1);
    for _ in 0..20 {
        w.top_up();
        w.run(30);
    }
    let old = w.leader().unwrap();
    w.crash(old);
    w.until(3_000, |w| w.leader().is_some_and(|l| l != old));
    w.heal_and_check();
}

/// A founder that starts slowly votes and receives entries before the founding request reaches it, and
/// keeps both.
#[rstest]
fn a_late_founder_keeps_its_vote_and_entries(
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(1, 2, 3)] late: u64,
) {
    let mut w = World::with_late_founders(3, &[], &[late], seed);
    w.run(2_000);
    assert_eq!(w.nodes[&late].stopped, None);
    assert_eq!(w.machine(late).members().voters.len(), 3);
    let old = w.leader().unwrap();
    w.crash(old);
    w.until(4_000, |w| w.leader().is_some_and(|l| l != old));
    w.heal_and_check();
}

/// A leader that can only send or only receive must not prevent the election of another one.
#[rstest]
fn a_leader_cut_one_way_steps_down(#[values(true, false)] outgoing: bool) {
    let mut w = World::new(3, 2);
    let old = w.leader().unwrap();
    for o in others(old) {
        w.cut.insert(if outgoing { (old, o) } else { (o, old) });
    }
    w.run(4_000);
    assert!(!w.machine(old).raft().is_leader(), "it has no quorum");
    w.until(4_000, |w| w.leader().is_some_and(|l| l != old));
    w.top_up();
    w.heal_and_check();
}

#[test]
fn a_leader_cut_off_serves_no_reads_and_commits_nothing() {
    let mut w = World::new(3, 3);
    let old = w.leader().unwrap();
    cut_off(&mut w, old);
    let committed = w.machine(old).raft().committed();
    for _ in 0..50 {
        w.top_up();
        w.read();
        w.change();
        w.run(100);
    }
    assert!(w.machine(old).raft().committed() <= committed + 1);
    assert!(w.acked_version > 1, "the majority goes on");
    w.heal_and_check();
}

#[test]
fn a_replica_frozen_for_ten_minutes_comes_back_harmless() {
    let mut w = World::new(3, 4);
    let old = w.leader().unwrap();
    w.freeze(old, true);
    for _ in 0..60 {
        w.top_up();
        w.read();
        w.run(10_000);
    }
    let term = w.machine(w.leader().unwrap()).raft().term();
    w.freeze(old, false);
    w.run(2_000);
    let leader = w.leader().unwrap();
    assert_eq!(w.machine(leader).raft().term(), term, "it disturbs nobody");
    w.heal_and_check();
}

/// A member that was partitioned does not depose the leader when it reconnects.
#[test]
fn pre_vote_keeps_a_returning_replica_from_deposing_the_leader() {
    let mut w = World::new(3, 5);
    let leader = w.leader().unwrap();
    let term = w.machine(leader).raft().term();
    let away = others(leader)[0];
    cut_off(&mut w, away);
    w.run(20_000);
    w.cut.clear();
    w.run(3_000);
    assert_eq!((w.leader(), w.machine(leader).raft().term()), (Some(leader), term));
}

/// A disk fails once at one of its first syncs, with the data written or not.
#[rstest]
fn a_failed_sync_stops_the_replica_and_loses_nothing(
    #[values(0, 1, 2, 3, 5, 8, 13, 30)] after: u32,
    #[values(true, false)] written: bool,
    #[values(true, false)] leader: bool,
) {
    let mut w = World::new(3, 6 + u64::from(after));
    let lead = w.leader().unwrap();
    let victim = if leader { lead } else { others(lead)[0] };
    w.fail_sync(victim, after, written);
    for _ in 0..200 {
        w.top_up();
        w.run(40);
    }
    assert_eq!(w.nodes[&victim].stopped, Some(Code::DiskFailed), "it takes no more part");
    w.heal_and_check();
}

/// A member with a full disk takes no part in its group until there is space; the process keeps running.
#[rstest]
fn a_replica_whose_disk_is_full_takes_no_part_until_there_is_room(
    #[values(true, false)] leader: bool,
) {
    let mut w = World::new(3, 5);
    w.in_place = true;
    let lead = w.leader().unwrap();
    let victim = if leader { lead } else { others(lead)[0] };
    w.nodes[&victim].disk.borrow_mut().full = true;
    for _ in 0..100 {
        w.top_up();
        w.run(40);
    }
    assert_eq!(w.nodes[&victim].stopped, Some(Code::DiskFailed));
    assert!(!w.machine(victim).raft().is_leader() && w.machine(victim).raft().leader().is_none());
    assert!(w.leader().is_some_and(|l| l != victim), "the others go on");
    assert!(!w.restart_in_place(victim), "it is still full");
    w.nodes[&victim].disk.borrow_mut().full = false;
    assert!(w.restart_in_place(victim));
    w.until(10_000, |w| w.machine(victim).raft().is_active());
    w.until(10_000, |w| {
        let l = w.leader().unwrap();
        w.machine(victim).raft().committed() == w.machine(l).raft().committed()
    });
    w.heal_and_check();
}

/// Disks fail at any sync, with the data written or not, and their members restart in place.
#[test]
fn disks_that_fail_again_and_again_lose_nothing() {
    for seed in 0..30 {
        let mut w = World::new(5, seed);
        w.in_place = true;
        for round in 0..20 {
            let victim = 1 + (seed + round) % 5;
            w.fail_sync(victim, round as u32 % 4, (seed + round) % 2 == 0);
            for _ in 0..10 {
                w.top_up();
                w.run(40);
            }
            let stopped = w.live().into_iter().filter(|id| w.nodes[id].stopped.is_some());
            for id in stopped.collect::<Vec<_>>() {
                assert!(w.restart_in_place(id));
            }
            w.run(300);
        }
        w.heal_and_check();
    }
}

#[test]
fn a_member_far_behind_catches_up_by_a_chunked_snapshot() {
    let mut w = World::new(3, 7);
    let away = others(w.leader().unwrap())[0];
    w.crash(away);
    for _ in 0..400 {
        w.top_up();
        w.run(20);
    }
    w.start(away);
    w.until(10_000, |w| w.machine(away).raft().is_active());
    w.until(10_000, |w| {
        let l = w.leader().unwrap();
        w.machine(away).raft().committed() == w.machine(l).raft().committed()
    });
    let funded = |w: &World, n| w.machine(n).state().ledger().get("club-talk").unwrap().funded;
    let leader = w.leader().unwrap();
    assert_eq!(funded(&w, away), funded(&w, leader));
    w.heal_and_check();
}

/// An old copy of a data folder is restored, from before or after the last restart.
#[rstest]
fn an_old_copy_of_a_disk_takes_no_part(#[values(true, false)] restarted_since: bool) {
    let mut w = World::new(3, 8);
    w.top_up();
    w.run(500);
    let victim = w.leader().unwrap();
    let copy = w.copy_disk(victim);
    for _ in 0..30 {
        w.top_up();
        w.run(50);
    }
    if restarted_since {
        w.crash(victim);
        w.start(victim);
        w.run(3_000);
        w.top_up();
        w.run(500);
    }
    w.crash(victim);
    w.restore_disk(victim, copy);
    w.start(victim);
    w.run(5_000);
    assert_eq!(w.nodes[&victim].stopped, Some(Code::FolderForeign));
    w.heal_and_check();
}

/// With an empty disk a process has a new identity: it belongs to no group, does not vote and is no
/// candidate.
#[test]
fn a_wiped_disk_never_votes() {
    let mut w = World::new(3, 9);
    let victim = others(w.leader().unwrap())[0];
    w.crash(victim);
    let fresh = w.add_fresh();
    w.run(5_000);
    assert!(w.machine(fresh).members().voters.is_empty());
    assert!(!w.machine(fresh).raft().is_leader());
    w.heal_and_check();
}

/// Replaces a member whose disk is lost. Returns the new member.
fn replace(w: &mut World, lost: u64) -> u64 {
    w.crash(lost);
    w.nodes.remove(&lost);
    let fresh = w.add_fresh();
    w.add_learner(fresh);
    w.change_members_until_done(MemberChange::Promote(fresh));
    w.change_members_until_done(MemberChange::Remove(lost));
    fresh
}

/// A second member is lost at each stage of the replacement of the first one.
#[rstest]
#[case::before_anything(0)]
#[case::learner_added(1)]
#[case::learner_promoted(2)]
#[case::lost_one_removed(3)]
fn a_second_loss_during_a_repair_loses_nothing(#[case] stage: u32) {
    let mut w = World::new(3, 20 + u64::from(stage));
    for _ in 0..100 {
        w.top_up();
        w.run(20);
    }
    let leader = w.leader().unwrap();
    let [first, second] = [others(leader)[0], others(leader)[1]];
    w.crash(first);
    w.nodes.remove(&first);
    let fresh = w.add_fresh();
    if stage >= 1 {
        w.add_learner(fresh);
    }
    if stage >= 2 {
        w.change_members_until_done(MemberChange::Promote(fresh));
    }
    if stage >= 3 {
        w.change_members_until_done(MemberChange::Remove(first));
    }
    w.crash(second);
    w.top_up();
    w.run(5_000);
    // The second member keeps its disk and restarts.
    w.start(second);
    w.run(3_000);
    if stage < 3 {
        if stage < 1 {
            w.add_learner(fresh);
        }
        w.change_members_until_done(MemberChange::Promote(fresh));
        w.change_members_until_done(MemberChange::Remove(first));
    }
    w.heal_and_check();
}

/// All disks are lost and replaced one after the other, until no founder is left.
#[test]
fn every_replica_can_be_replaced_one_after_the_other() {
    let mut w = World::new(3, 30);
    for lost in 1..=3 {
        for _ in 0..30 {
            w.top_up();
            w.run(20);
        }
        replace(&mut w, lost);
    }
    let l = w.leader().unwrap();
    assert_eq!(w.machine(l).members().voters, [4, 5, 6].into());
    w.heal_and_check();
}

#[test]
fn a_learner_that_is_behind_is_not_promoted_and_changes_go_one_by_one() {
    let mut w = World::new(3, 31);
    let fresh = w.add_fresh();
    w.crash(fresh);
    w.add_learner(fresh);
    w.change_members(MemberChange::Promote(fresh));
    w.run(300);
    assert_eq!(w.last_member_answer, Some(Err(Code::MemberBad)), "it has nothing yet");
    // With the followers cut off, the first change cannot commit, so the second is refused.
    let l = w.leader().unwrap();
    cut_off(&mut w, l);
    w.change_members(MemberChange::Remove(others(l)[0]));
    w.change_members(MemberChange::Remove(others(l)[1]));
    w.run(100);
    assert_eq!(w.last_member_answer, Some(Err(Code::MemberChangeBusy)));
    w.heal_and_check();
}

#[test]
fn everything_restarts_at_once_after_a_thousand_changes_and_twice_during_recovery() {
    let mut w = World::new(3, 32);
    for _ in 0..1_000 {
        w.top_up();
        w.run(10);
    }
    for pause in [50, 700, 3_000] {
        for id in w.live() {
            w.crash(id);
        }
        for id in 1..=3 {
            w.start(id);
        }
        w.run(pause);
    }
    w.heal_and_check();
}

/// The first election timeout after a restart is shorter than later ones: a live leader sends a heartbeat
/// sooner, and without a leader no member refuses the pre-vote.
#[test]
fn a_group_that_restarts_at_once_is_soon_led_again() {
    const ELECTION_TIME: u64 = 500;
    for seed in 0..40 {
        let mut w = World::new(5, seed);
        w.top_up();
        w.run(2_000);
        for id in w.live() {
            w.crash(id);
        }
        for id in 1..=5 {
            w.start(id);
        }
        w.run(ELECTION_TIME);
        assert!(
            w.leader().is_some(),
            "seed {seed}: nobody leads {ELECTION_TIME} ms after the restart"
        );
        w.heal_and_check();
    }
}

/// A restarted member does not start an election against a live leader.
#[test]
fn a_replica_that_restarts_leaves_the_leader_alone() {
    for seed in 0..20 {
        let mut w = World::new(5, seed);
        w.run(3_000);
        let leader = w.leader().unwrap();
        let term = w.machine(leader).raft().term();
        let other = w.live().into_iter().find(|n| *n != leader).unwrap();
        w.crash(other);
        w.run(50);
        w.start(other);
        w.run(3_000);
        assert_eq!(w.leader(), Some(leader), "seed {seed}");
        assert_eq!(w.machine(leader).raft().term(), term, "seed {seed}");
    }
}

/// A fault or a client's action.
#[derive(Clone, Debug)]
enum Step {
    Run(u64),
    TopUp,
    Change,
    Read,
    Crash(u64),
    Start(u64),
    Freeze(u64, bool),
    Cut(u64, u64),
    Heal,
    Drop(u32),
    Duplicate(u32),
    FailSync(u64, u32, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 1u64..=3;
    prop_oneof![
        6 => (10u64..600).prop_map(Step::Run),
        6 => Just(Step::TopUp),
        3 => Just(Step::Change),
        3 => Just(Step::Read),
        2 => node().prop_map(Step::Crash),
        4 => node().prop_map(Step::Start),
        1 => (node(), any::<bool>()).prop_map(|(n, f)| Step::Freeze(n, f)),
        2 => (node(), node()).prop_map(|(a, b)| Step::Cut(a, b)),
        2 => Just(Step::Heal),
        1 => (0u32..30).prop_map(Step::Drop),
        1 => (0u32..30).prop_map(Step::Duplicate),
        1 => (node(), 0u32..6, any::<bool>()).prop_map(|(n, k, written)| Step::FailSync(n, k, written)),
    ]
}

fn apply_step(w: &mut World, s: Step) {
    match s {
        Step::Run(ms) => w.run(ms),
        Step::TopUp => w.top_up(),
        Step::Change => w.change(),
        Step::Read => w.read(),
        Step::Crash(n) => w.crash(n),
        Step::Start(n) => w.start(n),
        Step::Freeze(n, f) => w.freeze(n, f),
        Step::Cut(a, b) => {
            w.cut.insert((a, b));
        }
        Step::Heal => w.cut.clear(),
        Step::Drop(p) => w.drop_percent = p,
        Step::Duplicate(p) => w.duplicate_percent = p,
        Step::FailSync(n, k, written) => w.fail_sync(n, k, written),
    }
}

/// The seed of the random schedules, fixed so that every run is the same.
const SEED: [u8; 32] = *b"cypressfork control group seed 1";

#[test]
fn no_schedule_loses_or_reverts_anything() {
    eprintln!("seed: {}", String::from_utf8_lossy(&SEED));
    let config = Config { cases: 1_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..60);
    let result = runner.run(&(any::<u64>(), steps), |(seed, steps)| {
        let mut w = World::new(3, seed);
        for s in steps {
            apply_step(&mut w, s);
        }
        w.heal_and_check();
        Ok(())
    });
    result.unwrap();
}
