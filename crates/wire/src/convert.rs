//! Conversions between Thrift structures and the types of the core crate.
//!
//! Thrift has no unsigned integers, so ids, terms and indexes are cast to `i64` bit by bit.

use std::sync::Arc;

use cypressfork_core::raft::{
    Append, Body, Entry, MemberChange, Members, Message, Payload, PeerState, Position,
    SnapshotChunk, SnapshotMeta,
};

use crate::Error;
use crate::generated::link as t;

/// Converts a Raft message to its Thrift structure. `reply_to` is the address that the sending member listens on.
pub fn from_raft(m: &Message, reply_to: &str) -> t::RaftMessage {
    let (from, to, term) = (m.from as i64, m.to as i64, m.term as i64);
    t::RaftMessage::new(from, to, term, from_body(&m.body), reply_to.to_owned())
}

/// Converts a received Thrift structure to a Raft message.
pub fn into_raft(m: t::RaftMessage) -> Result<Message, Error> {
    let (from, to, term) = (m.sender as u64, m.receiver as u64, m.term as u64);
    Ok(Message { from, to, term, body: into_body(m.body) })
}

fn from_body(b: &Body) -> t::RaftBody {
    match b {
        Body::PreVote(p) => t::RaftBody::PreVote(from_position(p)),
        Body::PreVoteReply(ok) => t::RaftBody::PreVoteReply(*ok),
        Body::Vote(p) => t::RaftBody::Vote(from_position(p)),
        Body::VoteReply(ok) => t::RaftBody::VoteReply(*ok),
        Body::Append(a) => t::RaftBody::AppendEntries(t::Append::new(
            from_position(&a.prev),
            a.entries.iter().map(from_entry).collect::<Vec<_>>(),
            a.commit as i64,
            a.round as i64,
        )),
        Body::Appended { matched, round } => {
            t::RaftBody::Appended(t::Appended::new(*matched as i64, *round as i64))
        }
        Body::Rejected { hint, round } => {
            t::RaftBody::Rejected(t::Rejected::new(*hint as i64, *round as i64))
        }
        Body::Snapshot(p) => t::RaftBody::Snapshot(t::SnapshotPart::new(
            from_meta(&p.meta),
            p.offset as i64,
            p.bytes.to_vec(),
            p.last,
        )),
        Body::SnapshotReply { index, offset, done } => {
            t::RaftBody::SnapshotReply(t::SnapshotReply::new(*index as i64, *offset as i64, *done))
        }
        Body::TimeoutNow => t::RaftBody::TakeOver(true),
        Body::Rejoin(m) => t::RaftBody::Rejoin(t::Mark::new(
            m.incarnation as i64,
            m.boot as i64,
            m.term as i64,
            m.last as i64,
        )),
        Body::RejoinReply { boot, accepted } => {
            t::RaftBody::RejoinReply(t::RejoinReply::new(*boot as i64, *accepted))
        }
    }
}

fn into_body(b: t::RaftBody) -> Body {
    match b {
        t::RaftBody::PreVote(p) => Body::PreVote(into_position(&p)),
        t::RaftBody::PreVoteReply(ok) => Body::PreVoteReply(ok),
        t::RaftBody::Vote(p) => Body::Vote(into_position(&p)),
        t::RaftBody::VoteReply(ok) => Body::VoteReply(ok),
        t::RaftBody::AppendEntries(a) => Body::Append(Append {
            prev: into_position(&a.prev),
            entries: a.entries.into_iter().map(into_entry).collect(),
            commit: a.commit as u64,
            round: a.round as u64,
        }),
        t::RaftBody::Appended(a) => {
            Body::Appended { matched: a.matched as u64, round: a.round as u64 }
        }
        t::RaftBody::Rejected(r) => Body::Rejected { hint: r.hint as u64, round: r.round as u64 },
        t::RaftBody::Snapshot(p) => Body::Snapshot(SnapshotChunk {
            meta: into_meta(p.meta),
            offset: p.offset as u64,
            bytes: Arc::from(p.bytes),
            last: p.last,
        }),
        t::RaftBody::SnapshotReply(r) => {
            Body::SnapshotReply { index: r.index as u64, offset: r.offset as u64, done: r.done }
        }
        t::RaftBody::TakeOver(_) => Body::TimeoutNow,
        t::RaftBody::Rejoin(m) => Body::Rejoin(PeerState {
            incarnation: m.incarnation as u64,
            boot: m.boot as u64,
            term: m.term as u64,
            last: m.last as u64,
        }),
        t::RaftBody::RejoinReply(r) => {
            Body::RejoinReply { boot: r.boot as u64, accepted: r.welcome }
        }
    }
}

fn from_position(p: &Position) -> t::Position {
    t::Position::new(p.index as i64, p.term as i64)
}

fn into_position(p: &t::Position) -> Position {
    Position { index: p.index as u64, term: p.term as u64 }
}

fn from_entry(e: &Entry) -> t::LogEntry {
    let (command, members) = match &e.payload {
        Payload::Noop => (None, None),
        Payload::Command(c) => (Some(c.to_vec()), None),
        Payload::Members(m) => (None, Some(from_members(m))),
    };
    t::LogEntry::new(e.term as i64, e.index as i64, command, members)
}

fn into_entry(e: t::LogEntry) -> Entry {
    let payload = match (e.command, e.members) {
        (Some(c), _) => Payload::Command(Arc::from(c)),
        (None, Some(m)) => Payload::Members(into_members(m)),
        (None, None) => Payload::Noop,
    };
    Entry { term: e.term as u64, index: e.index as u64, payload }
}

fn from_meta(m: &SnapshotMeta) -> t::SnapshotMeta {
    t::SnapshotMeta::new(m.index as i64, m.term as i64, from_members(&m.members))
}

fn into_meta(m: t::SnapshotMeta) -> SnapshotMeta {
    SnapshotMeta { index: m.index as u64, term: m.term as u64, members: into_members(m.members) }
}

fn from_members(m: &Members) -> t::MemberSet {
    let ids = |set: &std::collections::BTreeSet<u64>| set.iter().map(|n| *n as i64).collect();
    let peers = m.addresses.iter().map(|(n, a)| t::Peer::new(*n as i64, a.clone()));
    let (voters, learners): (Vec<i64>, Vec<i64>) = (ids(&m.voters), ids(&m.learners));
    t::MemberSet::new(voters, learners, peers.collect::<Vec<_>>())
}

fn into_members(m: t::MemberSet) -> Members {
    let ids = |v: Vec<i64>| v.into_iter().map(|n| n as u64).collect();
    let peers = m.addresses.unwrap_or_default();
    Members {
        voters: ids(m.voters),
        learners: ids(m.learners),
        addresses: peers.into_iter().map(|p| (p.node as u64, p.address)).collect(),
    }
}

/// Converts an operator's order into a membership change. Fails if an added member has no address or
/// the verb is unknown.
pub fn member_change(o: &t::MemberOrder) -> Result<MemberChange, Error> {
    let node = o.node as u64;
    match (o.verb, &o.address) {
        (t::MemberVerb::ADD, Some(a)) => Ok(MemberChange::AddLearner(node, a.clone())),
        (t::MemberVerb::ADD, None) => {
            Err(Error::Malformed("an added member needs an address".into()))
        }
        (t::MemberVerb::PROMOTE, _) => Ok(MemberChange::Promote(node)),
        (t::MemberVerb::REMOVE, _) => Ok(MemberChange::Remove(node)),
        (v, _) => Err(Error::Malformed(format!("unknown member order {}", v.0))),
    }
}

/// Converts a membership change into the order that an operator sends.
pub fn member_order(c: &MemberChange) -> t::MemberOrder {
    match c {
        MemberChange::AddLearner(n, a) => {
            t::MemberOrder::new(t::MemberVerb::ADD, *n as i64, a.clone())
        }
        MemberChange::Promote(n) => t::MemberOrder::new(t::MemberVerb::PROMOTE, *n as i64, None),
        MemberChange::Remove(n) => t::MemberOrder::new(t::MemberVerb::REMOVE, *n as i64, None),
    }
}
