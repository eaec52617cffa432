//! Messages between members, and the actions that a member requests from its caller.

use std::sync::Arc;

use super::{Entry, SnapshotMeta};
use crate::unit::{Index, NodeId, Term};

/// State of a member that it presents when it rejoins and that its peers store, to detect an old
/// copy of its data folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerState {
    /// Number of times that its data folder was opened.
    pub incarnation: u64,
    /// Random number drawn when the process started, to tell a resend from a restart.
    pub boot: u64,
    /// Its term.
    pub term: Term,
    /// The last log index that it acknowledged as synced in that term.
    pub last: Index,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// What the snapshot covers.
    pub meta: SnapshotMeta,
    /// Offset of the chunk in the snapshot, in bytes.
    pub offset: u64,
    /// Content of the chunk.
    pub bytes: Arc<[u8]>,
    /// Whether it is the last chunk.
    pub last: bool,
}

/// A position in a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Index of the entry.
    pub index: Index,
    /// Term of the entry.
    pub term: Term,
}

/// Entries for a follower; a heartbeat has none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// Position of the entry before the first one.
    pub prev: Position,
    /// The entries, without gaps.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: Index,
    /// Read round that the response confirms.
    pub round: u64,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks whether the receiver would vote for a candidate whose log ends here.
    PreVote(Position),
    /// Response to `PreVote`; if granted, the message has the term that was asked for.
    PreVoteReply(bool),
    /// Requests a vote for a candidate whose log ends here.
    Vote(Position),
    /// Response to `Vote`: whether the vote is granted.
    VoteReply(bool),
    /// Entries or a heartbeat.
    Append(Append),
    /// Response to `Append`: the entries match and are synced.
    Appended {
        /// Index up to which the log matches.
        matched: Index,
        /// Read round of the request.
        round: u64,
    },
    /// Response to `Append`: the entry before the first one is missing or differs.
    Rejected {
        /// Highest index that may match.
        hint: Index,
        /// Read round of the request.
        round: u64,
    },
    /// A chunk of a snapshot, for a member whose next entry the leader no longer holds.
    Snapshot(SnapshotChunk),
    /// Response to `Snapshot`.
    SnapshotReply {
        /// Index of the last entry that the snapshot covers.
        index: Index,
        /// Number of bytes received so far.
        offset: u64,
        /// Whether the snapshot is installed.
        done: bool,
    },
    /// Asks the receiver to start an election at once, because the leader is stopping.
    TimeoutNow,
    /// Asks to take part again after a start, with the state found in the data folder.
    Rejoin(PeerState),
    /// Response to `Rejoin`.
    RejoinReply {
        /// The `boot` of the request.
        boot: u64,
        /// Whether the state is not older than the one that the sender stores.
        accepted: bool,
    },
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// The sender's term.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// The term and vote, which must be durable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The current term.
    pub term: Term,
    /// The member that was voted for in this term.
    pub vote: Option<NodeId>,
}

/// An action that a member requests from its caller.
///
/// The caller stores [`Action::Save`], [`Action::SavePeer`], [`Action::Truncate`],
/// [`Action::Append`] and [`Action::Install`] in order and syncs them before it sends any message of
/// the same batch; then it calls [`super::Raft::record_synced`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store the term and vote.
    Save(HardState),
    /// Store the state of another member.
    SavePeer(NodeId, PeerState),
    /// Delete the stored entries from this index on.
    Truncate(Index),
    /// Store entries.
    Append(Vec<Entry>),
    /// Replace the stored log by this snapshot and restore the state machine from it.
    Install(SnapshotMeta, Vec<u8>),
    /// Send a message; it may be lost.
    Send(Message),
    /// Apply the entries up to this index, which are committed.
    Commit(Index),
    /// Answer the read with this token once the entry at this index is applied.
    ReadReady(u64, Index),
    /// Fail the read with this token: it could not be confirmed.
    ReadFailed(u64),
    /// Load the stored snapshot for this follower and pass it to [`super::Raft::snapshot_loaded`].
    LoadSnapshot(NodeId),
    /// This member became leader (true) or lost the leadership (false).
    LeaderChanged(bool),
    /// Stop taking part: this member reports that the data folder is an old copy.
    Outdated(NodeId),
}
