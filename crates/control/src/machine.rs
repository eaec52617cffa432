//! One member of the control group: the replicated log, the state machine and the storage, without
//! sockets or clocks.
//!
//! Inputs are handled one at a time. [`GroupMember::finish`] then stores, syncs, sends and applies their
//! effects, so that all inputs since its last call share one sync.

mod proposals;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cypressfork_core::budget::{LeaseRequest, Shortage};
use cypressfork_core::code::Code;
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::fleet::contacts::{GroupStatus, Leader};
use cypressfork_core::member::HolderHeartbeats;
use cypressfork_core::query::{Identity, Query};
use cypressfork_core::raft::{
    Action, Entry, Members, Message, Payload, PersistentState, Raft, Settings as RaftSettings,
    SnapshotMeta,
};
use cypressfork_core::state::State;
use cypressfork_core::unit::{Index, LeaseId, Time};
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use cypressfork_store::Error;
use cypressfork_wire::{Ask, Founders, body};
use metrics::counter;

use crate::disk::{CompactedLog, Storage};
use crate::leader_tasks::LeaderTasks;
use crate::machine::proposals::{PendingEntry, QueuedReport};
use crate::read::Reads;

/// Length of the time stamp that precedes each command in the log.
const STAMP_BYTES: usize = 8;

/// A reading of the monotonic clock and of the wall clock, taken when an input is handled.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockReading {
    /// Monotonic time since the start of the process.
    pub now: Time,
    /// Wall clock time since 1970.
    pub wall: Time,
}

/// An effect that the caller of [`GroupMember::finish`] has to carry out.
#[derive(Debug)]
pub enum Output<T> {
    /// Send an answer to a caller.
    Reply(T, Result<Vec<u8>, Code>),
    /// Send a message to another member.
    Send(Message),
    /// The member has stopped taking part in the group, for this reason.
    Stop(Code, String),
}

/// Sizes and timing of a member.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Settings of the replicated log.
    pub raft: RaftSettings,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_every: u64,
}

/// One member of the control group; `T` identifies the caller that an answer goes to.
pub struct GroupMember<S, T> {
    pub(crate) region: String,
    pub(crate) settings: Settings,
    pub(crate) raft: Raft,
    pub(crate) state: State,
    pub(crate) applied: Index,
    pub(crate) storage: S,
    pub(crate) heartbeats: HolderHeartbeats,
    pub(crate) reads: Reads<T>,
    pub(crate) leader_tasks: LeaderTasks,
    pub(crate) outputs: Vec<Output<T>>,
    /// Proposed entries whose callers wait for an answer.
    pending: BTreeMap<Index, PendingEntry<T>>,
    /// Spending reports that wait to share a commit.
    queued_reports: Vec<QueuedReport<T>>,
    /// Data centres that may be evacuated; empty if any name is accepted.
    data_centres: BTreeSet<String>,
    seed: u64,
    snapshot: SnapshotMeta,
    compacted_log: CompactedLog,
    /// Whether this process has founded its group, since its start.
    has_founded: bool,
    stopped: bool,
}

impl<S: Storage, T> GroupMember<S, T> {
    /// Creates the member `node` from the state restored from its storage; `seed` seeds its random
    /// election timeouts. Returns an error if the stored snapshot cannot be loaded.
    pub fn start(
        at: ClockReading,
        region: &str,
        settings: Settings,
        storage: S,
        (node, restored): (u64, PersistentState),
        seed: u64,
    ) -> Result<GroupMember<S, T>, Error> {
        let snapshot = restored.snapshot.clone();
        let state = load_state(&storage, &snapshot)?;
        let compacted_log = CompactedLog {
            hard: restored.hard,
            peers: restored.peers.clone(),
            ..CompactedLog::default()
        };
        let raft = Raft::new(at.now, node, settings.raft, restored, seed);
        Ok(GroupMember {
            region: region.to_owned(),
            settings,
            raft,
            state,
            applied: snapshot.index,
            storage,
            heartbeats: HolderHeartbeats::default(),
            reads: Reads::default(),
            leader_tasks: LeaderTasks::default(),
            outputs: Vec::new(),
            pending: BTreeMap::new(),
            queued_reports: Vec::new(),
            data_centres: BTreeSet::new(),
            seed,
            snapshot,
            compacted_log,
            has_founded: false,
            stopped: false,
        })
    }

    /// Handles a request of a caller. Its answer is returned by this or a later
    /// [`GroupMember::finish`].
    pub fn handle_request(&mut self, at: ClockReading, ask: Ask, from: T) {
        match ask {
            Ask::Command(bytes) => self.propose(at, bytes, from),
            Ask::Query(bytes) => match body::unpack::<Query>(&bytes) {
                Ok(q) => self.query(q, from),
                Err(_) => self.reply(from, Err(Code::MessageBad)),
            },
            Ask::Members(order) => self.change_members(at, &order, from),
            Ask::Identify(_) => {
                let me = Identity { node: self.raft.id(), members: self.raft.members().clone() };
                self.reply(from, Ok(body::pack(&me)));
            }
            Ask::Founders(f) => {
                let result = self.found_group(at, &f);
                self.reply(from, result);
            }
            // The server handles the first three itself; routers handle the last.
            Ask::Reserve(_) | Ask::Watch(_) | Ask::Announce(_) | Ask::Share(_) => {
                self.reply(from, Err(Code::MessageBad))
            }
        }
    }

    /// Handles a message of another member.
    pub fn step(&mut self, at: ClockReading, m: Message) {
        self.raft.step(at.now, m);
    }

    /// Runs what is due: Raft timers, queued reads and reports, leader tasks and answers to routers'
    /// long polls.
    pub fn tick(&mut self, at: ClockReading) {
        self.raft.tick(at.now);
        self.tick_reads(at);
        self.tick_reports(at);
        self.tick_leader_tasks(at);
        self.answer_watches(at);
    }

    /// Returns the address of the known leader, for callers that have to be redirected.
    pub fn leader_address(&self) -> Option<String> {
        let leader = self.raft.leader()?;
        self.raft.members().addresses.get(&leader).cloned()
    }

    /// Returns this process's view of its membership in the group.
    pub fn group_status(&self) -> GroupStatus {
        let raft = &self.raft;
        GroupStatus {
            node: raft.id(),
            members: raft.members().clone(),
            has_leader: raft.leader().is_some(),
            log_empty: raft.log().last_index() == 0,
            rejoining: !raft.is_active(),
        }
    }

    /// Returns the leader and its term, if known.
    pub fn known_leader(&self) -> Option<Leader> {
        let address = self.leader_address()?;
        Some(Leader { term: self.raft.term(), address })
    }

    /// Returns whether this process has run since before its group was founded.
    pub fn has_founded(&self) -> bool {
        self.has_founded
    }

    /// Sets the members whose acceptance a rejoin needs, as received from the group's leader.
    pub fn set_rejoin_members(&mut self, at: ClockReading, members: Members) {
        self.raft.set_rejoin_members(at.now, members);
    }

    /// Returns the replicated log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the state machine, up to the last entry applied on this member.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the current members of the group.
    pub fn members(&self) -> &Members {
        self.raft.members()
    }

    /// Stores, syncs and applies the effects of the inputs handled so far. Returns the effects that the
    /// caller has to carry out.
    pub fn finish(&mut self, at: ClockReading) -> Vec<Output<T>> {
        while !self.stopped {
            self.raft.flush();
            let actions = self.raft.take_actions();
            if actions.is_empty() {
                break;
            }
            if let Err(e) = self.process_actions(at, actions) {
                self.stop(Event::DiskFailed, Code::DiskFailed, e.to_string());
            }
        }
        self.compact_if_due();
        std::mem::take(&mut self.outputs)
    }

    /// Restarts from the stored state after a disk failure. Returns an error if the disk still fails.
    pub fn restart(&mut self, at: ClockReading, seed: u64) -> Result<(), Error> {
        let restored = self.storage.reopen()?;
        self.snapshot = restored.snapshot.clone();
        self.state = load_state(&self.storage, &self.snapshot)?;
        self.applied = self.snapshot.index;
        self.compacted_log = CompactedLog {
            hard: restored.hard,
            peers: restored.peers.clone(),
            ..CompactedLog::default()
        };
        self.raft = Raft::new(at.now, self.raft.id(), self.settings.raft, restored, seed);
        self.heartbeats = HolderHeartbeats::default();
        self.leader_tasks = LeaderTasks::default();
        self.seed = seed;
        self.stopped = false;
        Ok(())
    }

    fn stop(&mut self, event: Event, code: Code, why: String) {
        emit!(event, why = why);
        self.stopped = true;
        self.raft.halt();
        self.fail_pending_calls();
        self.outputs.push(Output::Stop(code, why));
    }

    fn process_actions(&mut self, at: ClockReading, actions: Vec<Action>) -> Result<(), Error> {
        for a in &actions {
            self.store_action(a)?;
        }
        self.storage.sync()?;
        self.raft.record_synced(at.now, self.raft.log().last_index());
        for a in actions {
            self.perform_action(at, a)?;
        }
        Ok(())
    }

    fn store_action(&mut self, a: &Action) -> Result<(), Error> {
        match a {
            Action::Save(h) => {
                self.compacted_log.hard = *h;
                self.storage.append_hard_state(*h);
            }
            Action::SavePeer(n, m) => {
                self.compacted_log.peers.insert(*n, *m);
                self.storage.append_peer_state(*n, *m);
            }
            Action::Truncate(from) => self.storage.truncate(*from),
            Action::Append(entries) => self.storage.append_entries(entries),
            Action::Install(meta, bytes) => self.install_snapshot(meta, bytes)?,
            _ => {}
        }
        Ok(())
    }

    fn perform_action(&mut self, at: ClockReading, a: Action) -> Result<(), Error> {
        match a {
            Action::Send(m) => self.outputs.push(Output::Send(m)),
            Action::Commit(up_to) => self.apply_up_to(at, up_to),
            Action::ReadReady(token, index) => self.confirm_read(at, token, index),
            Action::ReadFailed(token) => self.reject_read(token),
            Action::LoadSnapshot(n) => {
                let bytes = self.storage.load_snapshot(self.snapshot.index)?;
                self.raft.snapshot_loaded(n, self.snapshot.clone(), Arc::from(bytes));
            }
            Action::LeaderChanged(true) => {
                emit!(Event::LeaderGained, term = self.raft.term());
                self.heartbeats.restart(at.now);
                self.leader_tasks = LeaderTasks::default();
            }
            Action::LeaderChanged(false) => {
                emit!(Event::LeaderLost, term = self.raft.term());
                self.fail_pending_calls();
            }
            Action::Outdated(by) => {
                let why =
                    format!("member {by:016x} has recorded a newer state of this data folder");
                self.stop(Event::FolderOutdated, Code::FolderForeign, why);
            }
            _ => {}
        }
        Ok(())
    }

    /// Makes this process a founding member of a group. Repeating the request has no effect.
    ///
    /// Its vote and the entries that it received from other founding members before the request are
    /// kept.
    fn found_group(&mut self, at: ClockReading, f: &Founders) -> Result<Vec<u8>, Code> {
        let members =
            Members::from_voters(f.peers.iter().map(|p| (p.node as u64, p.address.clone())));
        let me = self.raft.id();
        if self.raft.log().base().index == 0 && self.raft.log().base().members == members {
            return Ok(Vec::new());
        }
        let base = self.raft.log().base();
        let has_no_group = base.index == 0 && base.members.voters.is_empty();
        if !has_no_group || !members.voters.contains(&me) {
            return Err(Code::MemberBad);
        }
        let meta = SnapshotMeta { index: 0, term: 0, members };
        let restored = PersistentState { snapshot: meta.clone(), ..self.raft.persistent_state() };
        self.compacted_log = CompactedLog {
            meta: meta.clone(),
            hard: restored.hard,
            peers: restored.peers.clone(),
            entries: restored.entries.clone(),
        };
        let bytes = body::pack(&State::default());
        self.storage.save_snapshot(&self.compacted_log, &bytes).map_err(|_| Code::DiskFailed)?;
        self.compacted_log.entries.clear();
        self.snapshot = meta;
        self.raft = Raft::new(at.now, me, self.settings.raft, restored, self.seed);
        self.has_founded = true;
        emit!(Event::GroupFounded, members = self.raft.members().voters.len());
        Ok(Vec::new())
    }

    fn apply_up_to(&mut self, at: ClockReading, up_to: Index) {
        while self.applied < up_to {
            let Some(e) = self.raft.log().get(self.applied + 1).cloned() else { break };
            self.applied = e.index;
            let answer = self.apply(at, &e);
            self.answer_proposal(at, e.index, e.term, answer);
        }
        self.answer_reads(at);
        self.answer_watches(at);
    }

    fn apply(&mut self, at: ClockReading, e: &Entry) -> Answer {
        match &e.payload {
            Payload::Noop => Answer::Done,
            Payload::Members(m) => {
                emit!(Event::MembersChanged, voters = m.voters.len(), learners = m.learners.len());
                Answer::Done
            }
            Payload::Command(bytes) => self.apply_command(at, e, bytes),
        }
    }

    fn apply_command(&mut self, at: ClockReading, e: &Entry, bytes: &[u8]) -> Answer {
        let stamped = bytes.split_first_chunk::<STAMP_BYTES>();
        let Some((stamp, command)) = stamped else { return Answer::Refused(Code::MessageBad) };
        let Ok(c) = body::unpack::<Command>(command) else {
            return Answer::Refused(Code::MessageBad);
        };
        let pos = LeaseId { term: e.term, index: e.index };
        let proposed = Time(u64::from_be_bytes(*stamp));
        let held = self.state.published().0;
        let answer = self.state.apply(proposed, pos, &c);
        if let Command::Publish { version, source, .. } = &c
            && *version > held
        {
            let after_ms = at.wall.since(proposed).0;
            emit!(
                Event::DocumentStored,
                version = version,
                bytes = source.len(),
                after_ms = after_ms
            );
        }
        if let Answer::Applied(Ok(version)) = &answer {
            emit!(Event::ConfigApplied, version = version);
        }
        if let Command::Evacuate { data_centre, evacuate } = &c {
            let revision = self.state.evacuations().revision;
            emit!(
                Event::DataCentreEvacuated,
                data_centre = data_centre,
                evacuate = evacuate,
                revision = revision,
            );
        }
        self.log_rollout(&c, &answer);
        self.log_quarantine_changes();
        if let Answer::Applied(Err(r)) = &answer {
            emit!(Event::ConfigRefused, code = r.code.number(), place = r.place, why = r.why);
        }
        if let (Answer::Decided(Err(Shortage::Spent)), Command::Ask(request)) = (&answer, &c) {
            self.log_shortage(request);
        }
        answer
    }

    /// Logs the state of a rollout after a command that starts, aborts or steps it.
    fn log_rollout(&self, c: &Command, answer: &Answer) {
        let service = match c {
            Command::StartRollout { service, .. } | Command::AbortRollout(service) => service,
            Command::StepRollout(step) => &step.service,
            _ => return,
        };
        let Some(r) = self.state.rollouts().get(service) else { return };
        emit!(
            Event::RolloutChanged,
            service = service,
            version = r.version,
            order = r.order,
            revision = r.revision,
            stage = r.stage.as_str(),
            trial = r.trial,
            why = r.why,
            answer = format_args!("{answer:?}"),
        );
    }

    /// Logs the quarantine changes made by the last command.
    fn log_quarantine_changes(&mut self) {
        for (f, change) in self.state.take_quarantine_changes() {
            let q = self.state.quarantine().iter().find(|(known, _)| **known == f).map(|(_, q)| q);
            counter!(metric::QUARANTINE_CHANGES, "change" => change.name()).increment(1);
            emit!(
                Event::QuarantineChanged,
                fingerprint = f,
                change = change.name(),
                account = q.map_or("", |q| &q.account),
                replicas = q.map_or(0, |q| q.strikes),
                subject = q.map(|q| q.subject.to_string()).unwrap_or_default(),
            );
        }
    }

    /// Logs, on the leader, a lease request that was refused because the budget is spent.
    fn log_shortage(&self, request: &LeaseRequest) {
        let Some(f) = self.state.ledger().get(&request.budget) else { return };
        if self.raft.is_leader() {
            emit!(
                Event::BudgetInsufficient,
                budget = request.budget,
                holder = request.holder,
                need = request.need,
                funded = f.funded,
                spent = f.spent(),
                held = f.open_tokens(),
                free = f.free(),
            );
        }
    }

    pub(crate) fn reply(&mut self, to: T, result: Result<Vec<u8>, Code>) {
        self.outputs.push(Output::Reply(to, result));
    }

    fn install_snapshot(&mut self, meta: &SnapshotMeta, bytes: &[u8]) -> Result<(), Error> {
        self.compacted_log.meta = meta.clone();
        self.compacted_log.entries.clear();
        self.storage.save_snapshot(&self.compacted_log, bytes)?;
        self.snapshot = meta.clone();
        self.state = load_state(&self.storage, meta)?;
        self.applied = meta.index;
        emit!(Event::SnapshotInstalled, index = meta.index);
        Ok(())
    }

    fn compact_if_due(&mut self) {
        let unsaved = self.applied.saturating_sub(self.snapshot.index);
        if self.stopped || unsaved < self.settings.snapshot_every {
            return;
        }
        if let Err(e) = self.compact() {
            self.stop(Event::DiskFailed, Code::DiskFailed, e.to_string());
        }
    }

    fn compact(&mut self) -> Result<(), Error> {
        let log = self.raft.log();
        let index = self.applied;
        let term = log.term(index).unwrap_or_default();
        let meta = SnapshotMeta { index, term, members: log.members_at(index).clone() };
        self.compacted_log.meta = meta.clone();
        self.compacted_log.entries = log.slice(index + 1, usize::MAX);
        let bytes = body::pack(&self.state);
        self.storage.save_snapshot(&self.compacted_log, &bytes)?;
        self.compacted_log.entries.clear();
        self.snapshot = meta;
        // Keep the newest entries, so that a slow follower can catch up without a snapshot.
        self.raft.compact(index.saturating_sub(self.settings.snapshot_every / 2));
        emit!(Event::SnapshotSaved, index = index, bytes = bytes.len());
        Ok(())
    }

    /// Transfers the leadership to another member before a planned stop.
    pub fn transfer_leadership(&mut self) {
        self.raft.transfer_leadership();
    }
}

fn load_state<S: Storage>(storage: &S, meta: &SnapshotMeta) -> Result<State, Error> {
    if meta.index == 0 {
        return Ok(State::default());
    }
    let bytes = storage.load_snapshot(meta.index)?;
    body::unpack(&bytes)
        .map_err(|e| Error::Snapshot(format!("number {}", meta.index).into(), e.to_string()))
}
