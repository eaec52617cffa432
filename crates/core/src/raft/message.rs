//! What replicas say to each other, and what a replica asks of its surroundings.

use std::sync::Arc;

use super::{Entry, SnapshotMeta};
use crate::unit::{Index, NodeId, Term};

/// What a replica says of itself when it starts, and what others remember of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark {
    /// How often its data folder was opened.
    pub incarnation: u64,
    /// Drawn at this start, so that a resend can be told from another start.
    pub boot: u64,
    /// Its term.
    pub term: Term,
    /// The last log position that it has acknowledged as synced in that term.
    pub last: Index,
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// What the snapshot covers.
    pub meta: SnapshotMeta,
    /// Where this part starts, in bytes.
    pub offset: u64,
    /// Its bytes.
    pub bytes: Arc<[u8]>,
    /// It is the last part.
    pub last: bool,
}

/// The last entry of a log, or any other position in one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Its index.
    pub index: Index,
    /// Its term.
    pub term: Term,
}

/// Entries for a follower, none for a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// The entry before them.
    pub prev: Position,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The leader's last committed position.
    pub commit: Index,
    /// Number of the confirmation round that the answer counts for.
    pub round: u64,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks whether a vote would be given, without a new term.
    PreVote(Position),
    /// Answers it; the message's term is the one asked for.
    PreVoteReply(bool),
    /// Asks for a vote.
    Vote(Position),
    /// Answers it.
    VoteReply(bool),
    /// Entries or a heartbeat.
    Append(Append),
    /// The entries are synced.
    Appended {
        /// Up to here.
        matched: Index,
        /// The round answered.
        round: u64,
    },
    /// The entry before them is missing or differs.
    Rejected {
        /// The last that can match.
        hint: Index,
        /// The round answered.
        round: u64,
    },
    /// A part of a snapshot, for a replica that is too far behind.
    Snapshot(Part),
    /// Parts of a snapshot have come.
    SnapshotReply {
        /// What the snapshot covers.
        index: Index,
        /// Bytes of it that are here.
        offset: u64,
        /// It is installed.
        done: bool,
    },
    /// Asks the receiver to stand for election at once: the leader is stopping.
    TakeOver,
    /// A replica that has started says what its folder holds.
    Rejoin(Mark),
    /// Whether that agrees with what is remembered of it.
    RejoinReply {
        /// The start that is answered.
        boot: u64,
        /// It agrees.
        welcome: bool,
    },
}

/// A message between replicas.
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

/// What must be durable about terms and votes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The term.
    pub term: Term,
    /// Who got this replica's vote in it.
    pub vote: Option<NodeId>,
}

/// What a replica asks of its surroundings.
///
/// Everything to be stored ([`Action::Save`], [`Action::Remember`], [`Action::Truncate`],
/// [`Action::Append`], [`Action::Install`]) is stored in order and synced before any message of
/// the same batch is sent; then [`super::Raft::synced`] is called.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store the term and vote.
    Save(HardState),
    /// Store what is remembered of another replica.
    Remember(NodeId, Mark),
    /// Drop the stored entries from this position on.
    Truncate(Index),
    /// Store entries.
    Append(Vec<Entry>),
    /// Store a snapshot in place of the whole log and restore the state machine from it.
    Install(SnapshotMeta, Vec<u8>),
    /// Send a message; it may be lost.
    Send(Message),
    /// The entries up to here are committed: apply them.
    Commit(Index),
    /// The read numbered so may be answered once this position is applied.
    ReadReady(u64, Index),
    /// The read numbered so could not be confirmed.
    ReadFailed(u64),
    /// Load the stored snapshot: a follower needs it.
    LoadSnapshot(NodeId),
    /// This replica began or ceased to lead.
    Lead(bool),
    /// The data folder is an old copy: this replica must stop taking part.
    Outdated(NodeId),
}
