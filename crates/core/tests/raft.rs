//! One replica at a time, message by message: the rules that rare schedules alone would show.

use std::sync::Arc;

use cypressfork_core::raft::{
    Action, Append, Body, Entry, HardState, Members, Message, Payload, PeerState, Position, Raft,
    Restored, Settings, SnapshotMeta,
};
use cypressfork_core::unit::{NodeId, Term, Time};
use rstest::rstest;

fn members() -> Members {
    Members::from_voters((1..=3).map(|n| (n, format!("10.0.0.{n}:1"))))
}

fn entry(term: Term, index: u64) -> Entry {
    let payload = Payload::Command(Arc::from(format!("{term}.{index}").as_bytes()));
    Entry { term, index, payload }
}

fn message(from: NodeId, term: Term, body: Body) -> Message {
    Message { from, to: 1, term, body }
}

/// Replica 1 of three, in this term, with entries of these terms, welcomed back.
fn replica(term: Term, terms: &[Term]) -> Raft {
    let entries = terms.iter().enumerate().map(|(n, t)| entry(*t, n as u64 + 1)).collect();
    let snapshot = SnapshotMeta { members: members(), ..SnapshotMeta::default() };
    let hard = HardState { term, vote: None };
    let found = Restored { incarnation: 1, hard, snapshot, entries, ..Restored::default() };
    let mut r = Raft::new(Time(0), 1, Settings::default(), found, 1);
    let boot = r.take_actions().iter().find_map(|a| match a {
        Action::Send(Message { body: Body::Rejoin(PeerState { boot, .. }), .. }) => Some(*boot),
        _ => None,
    });
    for n in 2..=3 {
        let body = Body::RejoinReply { boot: boot.unwrap(), accepted: true };
        r.step(Time(0), message(n, 0, body));
    }
    assert!(r.is_active());
    r.take_actions();
    r
}

/// Makes replica 1 the leader of the next term, with replica 2's vote.
fn leader(term: Term, terms: &[Term]) -> Raft {
    let mut r = replica(term, terms);
    r.tick(Time(5_000));
    r.step(Time(5_000), message(2, term + 1, Body::PreVoteReply(true)));
    r.step(Time(5_000), message(2, term + 1, Body::VoteReply(true)));
    assert!(r.is_leader());
    r
}

fn sent(r: &mut Raft) -> Vec<Body> {
    let actions = r.take_actions().into_iter();
    let bodies = actions.filter_map(|a| match a {
        Action::Send(m) => Some(m.body),
        _ => None,
    });
    bodies.collect()
}

/// A candidate whose log lacks what this replica has gets no vote, whatever its term.
#[rstest]
#[case::same(Position { index: 3, term: 2 }, true)]
#[case::longer(Position { index: 9, term: 2 }, true)]
#[case::newer_term(Position { index: 1, term: 3 }, true)]
#[case::shorter(Position { index: 2, term: 2 }, false)]
#[case::older_term(Position { index: 9, term: 1 }, false)]
fn a_vote_needs_a_log_that_is_as_good(#[case] last: Position, #[case] granted: bool) {
    let mut r = replica(2, &[1, 2, 2]);
    r.step(Time(5_000), message(2, 5, Body::PreVote(last)));
    assert_eq!(sent(&mut r), [Body::PreVoteReply(granted)]);
    r.step(Time(5_000), message(2, 5, Body::Vote(last)));
    assert!(sent(&mut r).contains(&Body::VoteReply(granted)));
}

#[test]
fn one_vote_a_term_and_it_is_stored_first() {
    let mut r = replica(2, &[1]);
    let last = Position { index: 9, term: 2 };
    r.step(Time(5_000), message(2, 3, Body::Vote(last)));
    let actions = r.take_actions();
    let saved = actions.iter().rposition(|a| matches!(a, Action::Save(h) if h.vote == Some(2)));
    let told = actions.iter().position(|a| matches!(a, Action::Send(_)));
    assert!(saved.unwrap() < told.unwrap());
    r.step(Time(5_000), message(3, 3, Body::Vote(last)));
    assert_eq!(sent(&mut r), [Body::VoteReply(false)]);
    r.step(Time(5_000), message(2, 3, Body::Vote(last)));
    assert_eq!(sent(&mut r), [Body::VoteReply(true)], "the same candidate again");
}

/// Entries of an earlier term are not committed by counting copies, only with one of the leader's
/// own term after them: another leader might still replace them.
#[test]
fn an_earlier_terms_entry_is_committed_only_with_one_of_its_own() {
    let mut r = leader(3, &[1, 2]);
    r.synced(Time(5_000), 3);
    r.step(Time(5_001), message(2, 4, Body::Appended { matched: 2, round: 0 }));
    assert_eq!(r.committed(), 0, "entry 2 is on a quorum, but of term 2");
    r.step(Time(5_002), message(2, 4, Body::Appended { matched: 3, round: 0 }));
    assert_eq!(r.committed(), 3);
}

/// The leader's own copy counts once it is on its disk, not before.
#[test]
fn a_leader_counts_its_own_entry_once_it_is_synced() {
    let mut r = leader(0, &[]);
    r.synced(Time(5_000), 1);
    r.step(Time(5_001), message(2, 1, Body::Appended { matched: 1, round: 0 }));
    assert_eq!(r.committed(), 1);
    let index = r.propose(Time(5_002), entry(1, 2).payload).unwrap();
    r.step(Time(5_003), message(2, 1, Body::Appended { matched: index, round: 0 }));
    assert_eq!(r.committed(), 1, "one synced copy of three");
    r.synced(Time(5_004), index);
    assert_eq!(r.committed(), index);
}

fn read_is_ready(r: &mut Raft, token: u64) -> bool {
    r.take_actions().iter().any(|a| matches!(a, Action::ReadReady(t, _) if *t == token))
}

/// A read is answered only after a quorum has answered a round that began after the read came.
#[test]
fn a_read_waits_for_a_quorums_word_given_after_it() {
    let mut r = leader(0, &[]);
    r.synced(Time(5_000), 1);
    r.step(Time(5_001), message(2, 1, Body::Appended { matched: 1, round: 0 }));
    r.take_actions();
    r.read(7).unwrap();
    assert!(!read_is_ready(&mut r, 7), "nobody was asked yet");
    r.step(Time(5_002), message(2, 1, Body::Appended { matched: 1, round: 0 }));
    assert!(!read_is_ready(&mut r, 7), "an answer to an earlier round");
    r.step(Time(5_003), message(2, 1, Body::Appended { matched: 1, round: 1 }));
    assert!(read_is_ready(&mut r, 7));
    r.read(8).unwrap();
    r.read(9).unwrap();
    r.step(Time(5_004), message(2, 1, Body::Appended { matched: 1, round: 2 }));
    let ready: Vec<_> = r
        .take_actions()
        .into_iter()
        .filter_map(|a| match a {
            Action::ReadReady(t, _) => Some(t),
            _ => None,
        })
        .collect();
    assert_eq!(ready, [8], "9 came after that round had begun");
    r.step(Time(5_005), message(2, 1, Body::Appended { matched: 1, round: 3 }));
    assert!(read_is_ready(&mut r, 9));
}

#[test]
fn a_new_leader_answers_no_read_before_it_has_committed_in_its_term() {
    let mut r = leader(3, &[1, 2]);
    r.read(7).unwrap();
    r.step(Time(5_001), message(2, 4, Body::Appended { matched: 0, round: 1 }));
    assert!(!read_is_ready(&mut r, 7));
    r.synced(Time(5_002), 3);
    r.step(Time(5_002), message(2, 4, Body::Appended { matched: 3, round: 1 }));
    assert!(read_is_ready(&mut r, 7));
}

#[test]
fn a_deposed_leaders_reads_fail() {
    let mut r = leader(0, &[]);
    r.read(7).unwrap();
    r.take_actions();
    let prev = Position::default();
    let body = Body::Append(Append { prev, entries: Vec::new(), commit: 0, round: 0 });
    r.step(Time(5_001), message(2, 9, body));
    let actions = r.take_actions();
    assert!(
        actions.contains(&Action::ReadFailed(7)) && actions.contains(&Action::LeaderChanged(false))
    );
    assert!(r.read(8).is_err());
}

fn append(prev: Position, entries: Vec<Entry>, commit: u64) -> Body {
    Body::Append(Append { prev, entries, commit, round: 0 })
}

/// Each row: the follower's terms, what the leader of term 5 sends, and the answer.
#[rstest]
#[case::next(&[1, 1], Position { index: 2, term: 1 }, &[5], Body::Appended { matched: 3, round: 0 })]
#[case::gap(&[1], Position { index: 4, term: 1 }, &[5], Body::Rejected { hint: 1, round: 0 })]
#[case::differs(&[1, 2], Position { index: 2, term: 3 }, &[5], Body::Rejected { hint: 1, round: 0 })]
#[case::replaces(&[1, 2, 2], Position { index: 1, term: 1 }, &[5], Body::Appended { matched: 2, round: 0 })]
#[case::again(&[1, 1], Position { index: 0, term: 0 }, &[1, 1], Body::Appended { matched: 2, round: 0 })]
fn a_follower_takes_only_what_follows_its_log(
    #[case] has: &[Term],
    #[case] prev: Position,
    #[case] terms: &[Term],
    #[case] answer: Body,
) {
    let mut r = replica(4, has);
    let entries = terms.iter().zip(prev.index + 1..).map(|(t, i)| entry(*t, i)).collect();
    r.step(Time(10), message(2, 5, append(prev, entries, 0)));
    assert_eq!(sent(&mut r), [answer]);
}

/// A heartbeat's commit does not reach beyond what it has proved to be the leader's.
#[test]
fn a_commit_covers_only_entries_known_to_be_the_leaders() {
    let mut r = replica(4, &[1, 2, 2]);
    r.step(Time(10), message(2, 5, append(Position { index: 1, term: 1 }, Vec::new(), 9)));
    assert_eq!(r.committed(), 1);
}

#[test]
fn a_message_of_an_earlier_term_is_answered_with_the_newer_one() {
    let mut r = replica(6, &[1]);
    r.step(Time(10), message(2, 5, append(Position::default(), Vec::new(), 0)));
    let actions = r.take_actions();
    let newer = |a: &Action| matches!(a, Action::Send(m) if m.term == 6);
    assert!(actions.iter().any(newer));
    assert_eq!(r.leader(), None);
}

/// Rejections answer messages that were sent before the first of them came: were each to bring
/// the missing entries again, a follower that is far behind would get them many times over.
#[test]
fn stale_rejections_do_not_bring_the_same_entries_again() {
    let mut r = leader(1, &[1; 40]);
    r.step(Time(5_010), message(3, 2, Body::Appended { matched: 41, round: 0 }));
    r.take_actions();
    for _ in 0..5 {
        r.step(Time(5_020), message(2, 2, Body::Rejected { hint: 3, round: 0 }));
    }
    let entries = |bodies: Vec<Body>| -> usize {
        let appends = bodies.iter().filter_map(|b| match b {
            Body::Append(a) => Some(a.entries.len()),
            _ => None,
        });
        appends.sum()
    };
    assert_eq!(entries(sent(&mut r)), 0, "a bare heartbeat finds out first");
    r.step(Time(5_030), message(2, 2, Body::Appended { matched: 3, round: 0 }));
    assert_eq!(entries(sent(&mut r)), 38, "then they come once");
}
