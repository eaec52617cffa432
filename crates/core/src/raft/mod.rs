//! The Raft consensus algorithm.
//!
//! It has pre-votes, a leader that steps down without responses from a quorum, reads confirmed by a
//! quorum, learners, single-member changes and snapshots sent in chunks. A member that restarts takes
//! part only after a quorum has confirmed that its data folder is not an old copy.

mod election;
mod log;
mod members;
mod message;
mod progress;
mod read;
mod rejoin;
mod replicate;

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use log::{Entry, Log, Payload, SnapshotMeta};
pub use members::{MemberChange, Members};
pub use message::{Action, Append, Body, HardState, Message, PeerState, Position, SnapshotChunk};
pub use progress::Progress;

use crate::code::Code;
use crate::unit::{Index, Millis, NodeId, Term, Time};
use read::Reads;
use rejoin::Rejoin;

/// Timing and size limits.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval between heartbeats of a leader.
    pub heartbeat: Millis,
    /// Minimum election timeout; the maximum is twice that.
    pub election: Millis,
    /// Maximum bytes of entries in one message, unless a single entry is larger.
    pub batch_bytes: usize,
    /// Maximum bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Number of uncommitted entries at which proposals are rejected.
    pub max_uncommitted: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            heartbeat: Millis(100),
            election: Millis(500),
            batch_bytes: 256 * 1024,
            chunk_bytes: 256 * 1024,
            max_uncommitted: 8_192,
        }
    }
}

/// The stored state that a member starts from.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// Number of times that the data folder was opened, including this time.
    pub incarnation: u64,
    /// The term and vote.
    pub hard: HardState,
    /// What the latest snapshot covers.
    pub snapshot: SnapshotMeta,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The state of the other members.
    pub peers: BTreeMap<NodeId, PeerState>,
}

/// The role of a member.
#[derive(Clone, Debug)]
enum Role {
    /// Waits until a quorum confirms its state.
    Rejoining(Rejoin),
    Follower,
    /// Collects pre-votes, by member.
    PreCandidate(BTreeMap<NodeId, bool>),
    Candidate(BTreeMap<NodeId, bool>),
    Leader(LeaderState),
    /// Its data folder is an old copy, or its disk has failed: it ignores all messages.
    Outdated,
}

/// The state of a leader.
#[derive(Clone, Debug)]
struct LeaderState {
    followers: BTreeMap<NodeId, Progress>,
    reads: Reads,
    next_heartbeat: Time,
    /// Index of the first entry of its term; reads wait until it is committed.
    first_index: Index,
}

/// One member of a group.
#[derive(Clone, Debug)]
pub struct Raft {
    id: NodeId,
    settings: Settings,
    incarnation: u64,
    boot: u64,
    hard: HardState,
    log: Log,
    /// Last log index that is synced to disk.
    synced: Index,
    commit: Index,
    role: Role,
    leader: Option<NodeId>,
    /// When the election timeout was last reset, by a leader's message or a vote.
    last_contact: Time,
    /// Time of the last call of `tick` or `step`.
    last_run: Time,
    election_timeout: Millis,
    peers: BTreeMap<NodeId, PeerState>,
    /// The snapshot being received.
    incoming: Option<(SnapshotMeta, Vec<u8>)>,
    rng: SmallRng,
    actions: Vec<Action>,
}

impl Raft {
    /// Creates a member from its stored state. It has to rejoin its group unless it is alone in it.
    pub fn new(
        now: Time,
        id: NodeId,
        settings: Settings,
        state: PersistentState,
        seed: u64,
    ) -> Raft {
        let commit = state.snapshot.index;
        let log = Log::new(state.snapshot, state.entries);
        let mut r = Raft {
            id,
            settings,
            incarnation: state.incarnation,
            boot: 0,
            hard: state.hard,
            synced: log.last_index(),
            commit,
            log,
            role: Role::Follower,
            leader: None,
            last_contact: now,
            last_run: now,
            election_timeout: settings.election,
            peers: state.peers,
            incoming: None,
            rng: SmallRng::seed_from_u64(seed ^ id),
            actions: Vec::new(),
        };
        r.boot = r.rng.random();
        r.draw_election_timeout();
        r.begin_rejoin(now);
        r
    }

    /// Returns the id of this member.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Returns the leader of this term, if it is known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns the persistent state of this member, including changes that are not stored yet.
    pub fn persistent_state(&self) -> PersistentState {
        PersistentState {
            incarnation: self.incarnation,
            hard: self.hard,
            snapshot: self.log.base().clone(),
            entries: self.log.slice(self.log.base().index + 1, usize::MAX),
            peers: self.peers.clone(),
        }
    }

    /// Returns whether this member is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether this member takes part: it has rejoined, and is neither halted nor outdated.
    pub fn is_active(&self) -> bool {
        !matches!(self.role, Role::Rejoining(_) | Role::Outdated)
    }

    /// Returns the index of the last committed entry.
    pub fn committed(&self) -> Index {
        self.commit
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the members in force: those as of the last log entry, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members_at(self.log.last_index())
    }

    /// Returns the members as of the last committed entry.
    pub fn committed_members(&self) -> &Members {
        self.log.members_at(self.commit)
    }

    /// Iterates over the followers and their progress; empty unless this member leads.
    pub fn followers(&self) -> impl Iterator<Item = (NodeId, &Progress)> {
        let leading = match &self.role {
            Role::Leader(l) => Some(l),
            _ => None,
        };
        leading.into_iter().flat_map(|l| l.followers.iter().map(|(n, p)| (*n, p)))
    }

    /// Returns the actions requested since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Handles timeouts that are due at `now`.
    pub fn tick(&mut self, now: Time) {
        self.exclude_pause_from_timeouts(now);
        match &self.role {
            Role::Outdated => {}
            Role::Rejoining(_) => self.tick_rejoin(now),
            Role::Leader(_) => self.tick_leader(now),
            _ => self.tick_follower(now),
        }
    }

    /// Processes a message from another member.
    pub fn step(&mut self, now: Time, m: Message) {
        if matches!(self.role, Role::Outdated) || m.to != self.id {
            return;
        }
        self.exclude_pause_from_timeouts(now);
        match m.body {
            Body::Rejoin(state) => return self.on_rejoin(m.from, state),
            Body::RejoinReply { boot, accepted } => {
                return self.on_rejoin_reply(now, m.from, boot, accepted);
            }
            _ => {}
        }
        if !self.is_active() {
            return;
        }
        self.record_peer_state(&m);
        match m.body {
            Body::PreVote(last) => return self.on_pre_vote(now, m.from, m.term, last),
            Body::PreVoteReply(granted) => {
                return self.on_pre_vote_reply(now, m.from, m.term, granted);
            }
            _ => {}
        }
        if self.adopt_term(now, &m) {
            self.step_in_term(now, m.from, m.body);
        }
    }

    /// Processes a message of the current term.
    fn step_in_term(&mut self, now: Time, from: NodeId, body: Body) {
        match body {
            Body::Vote(last) => self.on_vote(now, from, last),
            Body::VoteReply(granted) => self.on_vote_reply(now, from, granted),
            Body::Append(a) => {
                self.follow_leader(now, from);
                self.on_append(from, a);
            }
            Body::Appended { matched, round } => self.on_appended(now, from, matched, round),
            Body::Rejected { hint, round } => self.on_rejected(now, from, hint, round),
            Body::Snapshot(chunk) => {
                self.follow_leader(now, from);
                self.on_snapshot(from, chunk);
            }
            Body::SnapshotReply { index, offset, done } => {
                self.on_snapshot_reply(now, from, index, offset, done);
            }
            Body::TimeoutNow => self.campaign(now),
            _ => {}
        }
    }

    /// Appends an entry to the log and returns its index. It takes effect once committed.
    ///
    /// Fails with `NotLeader`, or with `QueueFull` if too many entries are uncommitted.
    pub fn propose(&mut self, now: Time, payload: Payload) -> Result<Index, Code> {
        if !self.is_leader() {
            return Err(Code::NotLeader);
        }
        if self.log.last_index() - self.commit >= self.settings.max_uncommitted {
            return Err(Code::QueueFull);
        }
        Ok(self.append_entry(now, payload))
    }

    /// Appends an entry that changes one member, and returns its index.
    ///
    /// Fails with `NotLeader`, with `MemberChangeBusy` while an earlier change is uncommitted, or
    /// with `MemberBad` if the change does not apply or would promote a learner that has not caught
    /// up.
    pub fn propose_member_change(
        &mut self,
        now: Time,
        change: &MemberChange,
    ) -> Result<Index, Code> {
        let Role::Leader(l) = &self.role else { return Err(Code::NotLeader) };
        if self.log.last_member_change() > self.commit || l.first_index > self.commit {
            return Err(Code::MemberChangeBusy);
        }
        if let MemberChange::Promote(n) = change {
            let behind = l.followers.get(n).is_none_or(|p| p.matched < self.commit);
            if behind {
                return Err(Code::MemberBad);
            }
        }
        let next = self.members().with_change(change).ok_or(Code::MemberBad)?;
        Ok(self.append_entry(now, Payload::Members(next)))
    }

    /// Records that the log up to index `upto`, and everything that earlier actions store, is synced.
    pub fn record_synced(&mut self, now: Time, upto: Index) {
        self.synced = upto.min(self.log.last_index());
        if self.is_leader() {
            self.advance_commit(now);
        }
    }

    /// Removes the log entries up to index `upto`, which a stored snapshot covers.
    pub fn compact(&mut self, upto: Index) {
        self.log.compact(upto.min(self.commit));
    }

    fn send(&mut self, to: NodeId, body: Body) {
        let m = Message { from: self.id, to, term: self.hard.term, body };
        self.actions.push(Action::Send(m));
    }

    fn others(&self) -> Vec<NodeId> {
        self.members().all().filter(|n| *n != self.id).collect()
    }

    fn save_hard_state(&mut self) {
        self.actions.push(Action::Save(self.hard));
    }
}
