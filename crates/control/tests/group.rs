//! A control group under failures: no acknowledged change is lost and no stale read is served.

mod support;

use cypressfork_core::code::Code;
use cypressfork_core::raft::MemberChange;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use support::simulation::Simulation;

fn others(n: u64) -> Vec<u64> {
    (1..=3).filter(|i| *i != n).collect()
}

/// Cuts the links of a member in both directions.
fn cut_off(sim: &mut Simulation, n: u64) {
    for o in others(n) {
        sim.cut.insert((n, o));
        sim.cut.insert((o, n));
    }
}

#[test]
fn a_killed_leader_is_replaced_and_nothing_is_lost() {
    let mut sim = Simulation::new(3, 1);
    for _ in 0..20 {
        sim.top_up();
        sim.run(30);
    }
    let old = sim.leader().unwrap();
    sim.crash(old);
    sim.until(3_000, |sim| sim.leader().is_some_and(|l| l != old));
    sim.heal_and_check();
}

/// A founder that starts slowly votes and receives entries before the founding request reaches it, and
/// keeps both.
#[rstest]
fn a_late_founder_keeps_its_vote_and_entries(
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(1, 2, 3)] late: u64,
) {
    let mut sim = Simulation::with_late_founders(3, &[], &[late], seed);
    sim.run(2_000);
    assert_eq!(sim.nodes[&late].stopped, None);
    assert_eq!(sim.member(late).members().voters.len(), 3);
    let old = sim.leader().unwrap();
    sim.crash(old);
    sim.until(4_000, |sim| sim.leader().is_some_and(|l| l != old));
    sim.heal_and_check();
}

/// A leader that can only send or only receive must not prevent the election of another one.
#[rstest]
fn a_leader_partitioned_in_one_direction_steps_down(#[values(true, false)] outgoing: bool) {
    let mut sim = Simulation::new(3, 2);
    let old = sim.leader().unwrap();
    for o in others(old) {
        sim.cut.insert(if outgoing { (old, o) } else { (o, old) });
    }
    sim.run(4_000);
    assert!(!sim.member(old).raft().is_leader(), "it has no quorum");
    sim.until(4_000, |sim| sim.leader().is_some_and(|l| l != old));
    sim.top_up();
    sim.heal_and_check();
}

#[test]
fn a_leader_cut_off_serves_no_reads_and_commits_nothing() {
    let mut sim = Simulation::new(3, 3);
    let old = sim.leader().unwrap();
    cut_off(&mut sim, old);
    let committed = sim.member(old).raft().committed();
    for _ in 0..50 {
        sim.top_up();
        sim.read();
        sim.change();
        sim.run(100);
    }
    assert!(sim.member(old).raft().committed() <= committed + 1);
    assert!(sim.acked_version > 1, "the majority goes on");
    sim.heal_and_check();
}

#[test]
fn a_member_frozen_for_ten_minutes_starts_no_election() {
    let mut sim = Simulation::new(3, 4);
    let old = sim.leader().unwrap();
    sim.freeze(old, true);
    for _ in 0..60 {
        sim.top_up();
        sim.read();
        sim.run(10_000);
    }
    let term = sim.member(sim.leader().unwrap()).raft().term();
    sim.freeze(old, false);
    sim.run(2_000);
    let leader = sim.leader().unwrap();
    assert_eq!(sim.member(leader).raft().term(), term, "it starts no election");
    sim.heal_and_check();
}

/// A member that was partitioned does not depose the leader when it reconnects.
#[test]
fn pre_vote_keeps_a_returning_member_from_deposing_the_leader() {
    let mut sim = Simulation::new(3, 5);
    let leader = sim.leader().unwrap();
    let term = sim.member(leader).raft().term();
    let away = others(leader)[0];
    cut_off(&mut sim, away);
    sim.run(20_000);
    sim.cut.clear();
    sim.run(3_000);
    assert_eq!((sim.leader(), sim.member(leader).raft().term()), (Some(leader), term));
}

/// A disk fails once at one of its first syncs, with the data written or not.
#[rstest]
fn a_failed_sync_stops_the_member_and_loses_nothing(
    #[values(0, 1, 2, 3, 5, 8, 13, 30)] after: u32,
    #[values(true, false)] written: bool,
    #[values(true, false)] leader: bool,
) {
    let mut sim = Simulation::new(3, 6 + u64::from(after));
    let lead = sim.leader().unwrap();
    let victim = if leader { lead } else { others(lead)[0] };
    sim.fail_sync(victim, after, written);
    for _ in 0..200 {
        sim.top_up();
        sim.run(40);
    }
    assert_eq!(sim.nodes[&victim].stopped, Some(Code::DiskFailed), "it takes no more part");
    sim.heal_and_check();
}

/// A member with a full disk takes no part in its group until there is space; the process keeps running.
#[rstest]
fn a_member_whose_disk_is_full_takes_no_part_until_there_is_space(
    #[values(true, false)] leader: bool,
) {
    let mut sim = Simulation::new(3, 5);
    sim.in_place = true;
    let lead = sim.leader().unwrap();
    let victim = if leader { lead } else { others(lead)[0] };
    sim.nodes[&victim].disk.borrow_mut().full = true;
    for _ in 0..100 {
        sim.top_up();
        sim.run(40);
    }
    assert_eq!(sim.nodes[&victim].stopped, Some(Code::DiskFailed));
    assert!(!sim.member(victim).raft().is_leader() && sim.member(victim).raft().leader().is_none());
    assert!(sim.leader().is_some_and(|l| l != victim), "the others go on");
    assert!(!sim.restart_in_place(victim), "it is still full");
    sim.nodes[&victim].disk.borrow_mut().full = false;
    assert!(sim.restart_in_place(victim));
    sim.until(10_000, |sim| sim.member(victim).raft().is_active());
    sim.until(10_000, |sim| {
        let l = sim.leader().unwrap();
        sim.member(victim).raft().committed() == sim.member(l).raft().committed()
    });
    sim.heal_and_check();
}

/// Disks fail at any sync, with the data written or not, and their members restart in place.
#[test]
fn disks_that_fail_again_and_again_lose_nothing() {
    for seed in 0..30 {
        let mut sim = Simulation::new(5, seed);
        sim.in_place = true;
        for round in 0..20 {
            let victim = 1 + (seed + round) % 5;
            sim.fail_sync(victim, round as u32 % 4, (seed + round) % 2 == 0);
            for _ in 0..10 {
                sim.top_up();
                sim.run(40);
            }
            let stopped = sim.running().into_iter().filter(|id| sim.nodes[id].stopped.is_some());
            for id in stopped.collect::<Vec<_>>() {
                assert!(sim.restart_in_place(id));
            }
            sim.run(300);
        }
        sim.heal_and_check();
    }
}

#[test]
fn a_member_far_behind_catches_up_by_a_chunked_snapshot() {
    let mut sim = Simulation::new(3, 7);
    let away = others(sim.leader().unwrap())[0];
    sim.crash(away);
    for _ in 0..400 {
        sim.top_up();
        sim.run(20);
    }
    sim.start(away);
    sim.until(10_000, |sim| sim.member(away).raft().is_active());
    sim.until(10_000, |sim| {
        let l = sim.leader().unwrap();
        sim.member(away).raft().committed() == sim.member(l).raft().committed()
    });
    let funded =
        |sim: &Simulation, n| sim.member(n).state().ledger().get("club-talk").unwrap().funded;
    let leader = sim.leader().unwrap();
    assert_eq!(funded(&sim, away), funded(&sim, leader));
    sim.heal_and_check();
}

/// An old copy of a data folder is restored, from before or after the last restart.
#[rstest]
fn an_old_copy_of_a_disk_takes_no_part(#[values(true, false)] restarted_since: bool) {
    let mut sim = Simulation::new(3, 8);
    sim.top_up();
    sim.run(500);
    let victim = sim.leader().unwrap();
    let copy = sim.copy_disk(victim);
    for _ in 0..30 {
        sim.top_up();
        sim.run(50);
    }
    if restarted_since {
        sim.crash(victim);
        sim.start(victim);
        sim.run(3_000);
        sim.top_up();
        sim.run(500);
    }
    sim.crash(victim);
    sim.restore_disk(victim, copy);
    sim.start(victim);
    sim.run(5_000);
    assert_eq!(sim.nodes[&victim].stopped, Some(Code::FolderForeign));
    sim.heal_and_check();
}

/// With an empty disk a process has a new identity: it belongs to no group, does not vote and is no
/// candidate.
#[test]
fn a_wiped_disk_never_votes() {
    let mut sim = Simulation::new(3, 9);
    let victim = others(sim.leader().unwrap())[0];
    sim.crash(victim);
    let fresh = sim.add_fresh();
    sim.run(5_000);
    assert!(sim.member(fresh).members().voters.is_empty());
    assert!(!sim.member(fresh).raft().is_leader());
    sim.heal_and_check();
}

/// Replaces a member whose disk is lost. Returns the new member.
fn replace(sim: &mut Simulation, lost: u64) -> u64 {
    sim.crash(lost);
    sim.nodes.remove(&lost);
    let fresh = sim.add_fresh();
    sim.add_learner(fresh);
    sim.change_members_until_done(MemberChange::Promote(fresh));
    sim.change_members_until_done(MemberChange::Remove(lost));
    fresh
}

/// A second member is lost at each stage of the replacement of the first one.
#[rstest]
#[case::before_any_change(0)]
#[case::learner_added(1)]
#[case::learner_promoted(2)]
#[case::lost_member_removed(3)]
fn a_second_loss_during_a_repair_loses_nothing(#[case] stage: u32) {
    let mut sim = Simulation::new(3, 20 + u64::from(stage));
    for _ in 0..100 {
        sim.top_up();
        sim.run(20);
    }
    let leader = sim.leader().unwrap();
    let [first, second] = [others(leader)[0], others(leader)[1]];
    sim.crash(first);
    sim.nodes.remove(&first);
    let fresh = sim.add_fresh();
    if stage >= 1 {
        sim.add_learner(fresh);
    }
    if stage >= 2 {
        sim.change_members_until_done(MemberChange::Promote(fresh));
    }
    if stage >= 3 {
        sim.change_members_until_done(MemberChange::Remove(first));
    }
    sim.crash(second);
    sim.top_up();
    sim.run(5_000);
    // The second member keeps its disk and restarts.
    sim.start(second);
    sim.run(3_000);
    if stage < 3 {
        if stage < 1 {
            sim.add_learner(fresh);
        }
        sim.change_members_until_done(MemberChange::Promote(fresh));
        sim.change_members_until_done(MemberChange::Remove(first));
    }
    sim.heal_and_check();
}

/// All disks are lost and replaced one after the other, until no founder is left.
#[test]
fn every_member_can_be_replaced_one_after_the_other() {
    let mut sim = Simulation::new(3, 30);
    for lost in 1..=3 {
        for _ in 0..30 {
            sim.top_up();
            sim.run(20);
        }
        replace(&mut sim, lost);
    }
    let l = sim.leader().unwrap();
    assert_eq!(sim.member(l).members().voters, [4, 5, 6].into());
    sim.heal_and_check();
}

#[test]
fn a_learner_that_is_behind_is_not_promoted_and_changes_go_one_by_one() {
    let mut sim = Simulation::new(3, 31);
    let fresh = sim.add_fresh();
    sim.crash(fresh);
    sim.add_learner(fresh);
    sim.change_members(MemberChange::Promote(fresh));
    sim.run(300);
    assert_eq!(sim.last_member_answer, Some(Err(Code::MemberBad)), "it has nothing yet");
    // With the followers cut off, the first change cannot commit, so the second is refused.
    let l = sim.leader().unwrap();
    cut_off(&mut sim, l);
    sim.change_members(MemberChange::Remove(others(l)[0]));
    sim.change_members(MemberChange::Remove(others(l)[1]));
    sim.run(100);
    assert_eq!(sim.last_member_answer, Some(Err(Code::MemberChangeBusy)));
    sim.heal_and_check();
}

#[test]
fn everything_restarts_at_once_after_a_thousand_changes_and_twice_during_recovery() {
    let mut sim = Simulation::new(3, 32);
    for _ in 0..1_000 {
        sim.top_up();
        sim.run(10);
    }
    for pause in [50, 700, 3_000] {
        for id in sim.running() {
            sim.crash(id);
        }
        for id in 1..=3 {
            sim.start(id);
        }
        sim.run(pause);
    }
    sim.heal_and_check();
}

/// The first election timeout after a restart is shorter than later ones: a live leader sends a heartbeat
/// sooner, and without a leader no member refuses the pre-vote.
#[test]
fn a_fully_restarted_group_elects_a_leader_in_time() {
    const ELECTION_TIME: u64 = 500;
    for seed in 0..40 {
        let mut sim = Simulation::new(5, seed);
        sim.top_up();
        sim.run(2_000);
        for id in sim.running() {
            sim.crash(id);
        }
        for id in 1..=5 {
            sim.start(id);
        }
        sim.run(ELECTION_TIME);
        assert!(
            sim.leader().is_some(),
            "seed {seed}: no leader {ELECTION_TIME} ms after the restart"
        );
        sim.heal_and_check();
    }
}

/// A restarted member does not start an election against a live leader.
#[test]
fn a_restarted_member_does_not_depose_the_leader() {
    for seed in 0..20 {
        let mut sim = Simulation::new(5, seed);
        sim.run(3_000);
        let leader = sim.leader().unwrap();
        let term = sim.member(leader).raft().term();
        let other = sim.running().into_iter().find(|n| *n != leader).unwrap();
        sim.crash(other);
        sim.run(50);
        sim.start(other);
        sim.run(3_000);
        assert_eq!(sim.leader(), Some(leader), "seed {seed}");
        assert_eq!(sim.member(leader).raft().term(), term, "seed {seed}");
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

fn apply_step(sim: &mut Simulation, s: Step) {
    match s {
        Step::Run(ms) => sim.run(ms),
        Step::TopUp => sim.top_up(),
        Step::Change => sim.change(),
        Step::Read => sim.read(),
        Step::Crash(n) => sim.crash(n),
        Step::Start(n) => sim.start(n),
        Step::Freeze(n, f) => sim.freeze(n, f),
        Step::Cut(a, b) => {
            sim.cut.insert((a, b));
        }
        Step::Heal => sim.cut.clear(),
        Step::Drop(p) => sim.drop_percent = p,
        Step::Duplicate(p) => sim.duplicate_percent = p,
        Step::FailSync(n, k, written) => sim.fail_sync(n, k, written),
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
        let mut sim = Simulation::new(3, seed);
        for s in steps {
            apply_step(&mut sim, s);
        }
        sim.heal_and_check();
        Ok(())
    });
    result.unwrap();
}
