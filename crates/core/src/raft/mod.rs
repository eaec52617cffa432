//! A replicated log.
//!
//! Raft with pre-vote, a leader that steps down without a quorum's acknowledgements, reads
//! confirmed by a quorum, learners, one change of members at a time and snapshots in parts. A
//! replica that starts takes no part until a quorum of the others finds that its data folder is
//! not older than what they remember of it.

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
pub use message::{Action, Append, Body, HardState, Mark, Message, Part, Position};
pub use progress::Progress;

use crate::code::Code;
use crate::unit::{Index, Millis, NodeId, Term, Time};
use read::Reads;
use rejoin::Rejoin;

/// Timing and sizes.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How often a leader speaks to each follower.
    pub heartbeat: Millis,
    /// The least silence after which a follower stands for election; the most is twice that.
    pub election: Millis,
    /// Bytes of entries in one message.
    pub batch: usize,
    /// Bytes of a snapshot in one message.
    pub part: usize,
    /// Entries in the log that are not committed yet, beyond which proposals are refused.
    pub backlog: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            heartbeat: Millis(100),
            election: Millis(500),
            batch: 256 * 1024,
            part: 256 * 1024,
            backlog: 8_192,
        }
    }
}

/// What a replica finds in its data folder.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// How often the folder was opened, this time included.
    pub incarnation: u64,
    /// Term and vote.
    pub hard: HardState,
    /// What the last snapshot covers.
    pub snapshot: SnapshotMeta,
    /// The entries after it.
    pub entries: Vec<Entry>,
    /// What is remembered of other replicas.
    pub marks: BTreeMap<NodeId, Mark>,
}

/// What a replica is doing.
#[derive(Clone, Debug)]
enum Role {
    /// Waiting to be welcomed back.
    Rejoining(Rejoin),
    Follower,
    PreCandidate(BTreeMap<NodeId, bool>),
    Candidate(BTreeMap<NodeId, bool>),
    Leader(Leading),
    /// Its data folder is an old copy, or its disk has failed: it says and does nothing more.
    Outdated,
}

/// A leader's view.
#[derive(Clone, Debug)]
struct Leading {
    followers: BTreeMap<NodeId, Progress>,
    reads: Reads,
    next_heartbeat: Time,
    /// Position of the first entry of its term; nothing is read before it is committed.
    first: Index,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct Raft {
    id: NodeId,
    settings: Settings,
    incarnation: u64,
    boot: u64,
    hard: HardState,
    log: Log,
    synced: Index,
    commit: Index,
    role: Role,
    leader: Option<NodeId>,
    heard: Time,
    ticked: Time,
    timeout: Millis,
    marks: BTreeMap<NodeId, Mark>,
    incoming: Option<(SnapshotMeta, Vec<u8>)>,
    rng: SmallRng,
    actions: Vec<Action>,
}

impl Raft {
    /// A replica that starts from what its data folder holds.
    pub fn new(now: Time, id: NodeId, settings: Settings, found: Restored, seed: u64) -> Raft {
        let commit = found.snapshot.index;
        let log = Log::new(found.snapshot, found.entries);
        let mut r = Raft {
            id,
            settings,
            incarnation: found.incarnation,
            boot: 0,
            hard: found.hard,
            synced: log.last_index(),
            commit,
            log,
            role: Role::Follower,
            leader: None,
            heard: now,
            ticked: now,
            timeout: settings.election,
            marks: found.marks,
            incoming: None,
            rng: SmallRng::seed_from_u64(seed ^ id),
            actions: Vec::new(),
        };
        r.boot = r.rng.random();
        r.draw_timeout();
        r.begin_rejoin(now);
        r
    }

    /// This replica's identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// The leader that it knows of.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// What a replica would find that started from all that this one has in memory.
    pub fn restored(&self) -> Restored {
        Restored {
            incarnation: self.incarnation,
            hard: self.hard,
            snapshot: self.log.base().clone(),
            entries: self.log.slice(self.log.base().index + 1, usize::MAX),
            marks: self.marks.clone(),
        }
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether it has been welcomed back after its start.
    pub fn joined(&self) -> bool {
        !matches!(self.role, Role::Rejoining(_) | Role::Outdated)
    }

    /// The last committed position.
    pub fn committed(&self) -> Index {
        self.commit
    }

    /// Its log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The members in force: those of the newest entry in the log.
    pub fn members(&self) -> &Members {
        self.log.members_at(self.log.last_index())
    }

    /// The members as of what is committed.
    pub fn committed_members(&self) -> &Members {
        self.log.members_at(self.commit)
    }

    /// How far each follower is, at a leader.
    pub fn followers(&self) -> impl Iterator<Item = (NodeId, &Progress)> {
        let leading = match &self.role {
            Role::Leader(l) => Some(l),
            _ => None,
        };
        leading.into_iter().flat_map(|l| l.followers.iter().map(|(n, p)| (*n, p)))
    }

    /// Takes what has to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        self.forgive_own_pause(now);
        match &self.role {
            Role::Outdated => {}
            Role::Rejoining(_) => self.tick_rejoin(now),
            Role::Leader(_) => self.tick_leader(now),
            _ => self.tick_follower(now),
        }
    }

    /// Takes a message.
    pub fn step(&mut self, now: Time, m: Message) {
        if matches!(self.role, Role::Outdated) || m.to != self.id {
            return;
        }
        self.forgive_own_pause(now);
        match m.body {
            Body::Rejoin(mark) => return self.on_rejoin(m.from, mark),
            Body::RejoinReply { boot, welcome } => {
                return self.on_rejoin_reply(now, m.from, boot, welcome);
            }
            _ => {}
        }
        if !self.joined() {
            return;
        }
        self.note_mark(&m);
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

    fn step_in_term(&mut self, now: Time, from: NodeId, body: Body) {
        match body {
            Body::Vote(last) => self.on_vote(now, from, last),
            Body::VoteReply(granted) => self.on_vote_reply(now, from, granted),
            Body::Append(a) => {
                self.follow(now, from);
                self.on_append(from, a);
            }
            Body::Appended { matched, round } => self.on_appended(now, from, matched, round),
            Body::Rejected { hint, round } => self.on_rejected(now, from, hint, round),
            Body::Snapshot(part) => {
                self.follow(now, from);
                self.on_snapshot(from, part);
            }
            Body::SnapshotReply { index, offset, done } => {
                self.on_snapshot_reply(now, from, index, offset, done);
            }
            Body::TakeOver => self.campaign(now),
            _ => {}
        }
    }

    /// Adds a command to the log. Returns its position; it is in force once committed.
    pub fn propose(&mut self, now: Time, payload: Payload) -> Result<Index, Code> {
        if !self.leads() {
            return Err(Code::NotLeader);
        }
        if self.log.last_index() - self.commit >= self.settings.backlog {
            return Err(Code::QueueFull);
        }
        Ok(self.append_own(now, payload))
    }

    /// Changes one member. A learner is promoted only once it has caught up.
    pub fn change(&mut self, now: Time, change: &MemberChange) -> Result<Index, Code> {
        let Role::Leader(l) = &self.role else { return Err(Code::NotLeader) };
        if self.log.last_change() > self.commit || l.first > self.commit {
            return Err(Code::MemberChangeBusy);
        }
        if let MemberChange::Promote(n) = change {
            let behind = l.followers.get(n).is_none_or(|p| p.matched < self.commit);
            if behind {
                return Err(Code::MemberBad);
            }
        }
        let next = self.members().with(change).ok_or(Code::MemberBad)?;
        Ok(self.append_own(now, Payload::Members(next)))
    }

    /// Says that everything asked for by earlier actions is on disk.
    pub fn synced(&mut self, now: Time, upto: Index) {
        self.synced = upto.min(self.log.last_index());
        if self.leads() {
            self.advance_commit(now);
        }
    }

    /// Drops the entries that a stored snapshot covers, up to `upto`.
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

    fn save(&mut self) {
        self.actions.push(Action::Save(self.hard));
    }
}
