//! One replica: the replicated log, the state machine and the storage, without sockets or clocks.
//!
//! Inputs are handled one after the other; [`Machine::finish`] then stores, syncs, sends and
//! applies what they brought, so that everything that came together shares one sync.

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
    Action, Entry, Members, Message, Payload, Raft, Restored, Settings as RaftSettings,
    SnapshotMeta,
};
use cypressfork_core::state::State;
use cypressfork_core::unit::{Index, LeaseId, Time};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_store::Error;
use cypressfork_wire::{Ask, Founders, body};

use crate::disk::{Kept, Storage};
use crate::leader_tasks::LeaderTasks;
use crate::machine::proposals::{Gathered, Proposed};
use crate::read::Reads;

/// Bytes of the time stamp before a command in the log.
const STAMP: usize = 8;

/// The present time, by two clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moment {
    /// Since the start of the process; never goes back.
    pub now: Time,
    /// Since 1970.
    pub wall: Time,
}

/// What a machine wants done.
#[derive(Debug)]
pub enum Output<T> {
    /// Answer a caller.
    Reply(T, Result<Vec<u8>, Code>),
    /// Send a message to another replica.
    Send(Message),
    /// End the process: it cannot take part any more.
    Stop(Code, String),
}

/// Sizes and timing.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Of the replicated log.
    pub raft: RaftSettings,
    /// Entries after which a snapshot is taken.
    pub snapshot_every: u64,
}

/// One replica; `T` tells where an answer goes.
pub struct Machine<S, T> {
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
    /// The entries that a caller waits for.
    proposed: BTreeMap<Index, Proposed<T>>,
    /// Reports of spending that share the next commit.
    reports: Vec<Gathered<T>>,
    /// The data centres that orders may be about; none: any.
    data_centres: BTreeSet<String>,
    seed: u64,
    snapshot: SnapshotMeta,
    kept: Kept,
    stopped: bool,
}

impl<S: Storage, T> Machine<S, T> {
    /// A replica that starts from what its storage holds.
    pub fn start(
        at: Moment,
        region: &str,
        settings: Settings,
        storage: S,
        (node, found): (u64, Restored),
        seed: u64,
    ) -> Result<Machine<S, T>, Error> {
        let snapshot = found.snapshot.clone();
        let state = restore(&storage, &snapshot)?;
        let kept = Kept { hard: found.hard, marks: found.peers.clone(), ..Kept::default() };
        let raft = Raft::new(at.now, node, settings.raft, found, seed);
        Ok(Machine {
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
            proposed: BTreeMap::new(),
            reports: Vec::new(),
            data_centres: BTreeSet::new(),
            seed,
            snapshot,
            kept,
            stopped: false,
        })
    }

    /// Takes a caller's question or command.
    pub fn call(&mut self, at: Moment, ask: Ask, from: T) {
        match ask {
            Ask::Command(bytes) => self.propose(at, bytes, from),
            Ask::Query(bytes) => match body::unpack::<Query>(&bytes) {
                Ok(q) => self.ask(q, from),
                Err(_) => self.reply(from, Err(Code::MessageBad)),
            },
            Ask::Members(order) => self.change_members(at, &order, from),
            Ask::Identify(_) => {
                let me = Identity { node: self.raft.id(), members: self.raft.members().clone() };
                self.reply(from, Ok(body::pack(&me)));
            }
            Ask::Founders(f) => {
                let result = self.found(at, &f);
                self.reply(from, result);
            }
            // The server takes these itself, or hands them to the reserve if it keeps one; the
            // last one is for routers.
            Ask::Reserve(_) | Ask::Watch(_) | Ask::Announce(_) | Ask::Share(_) => {
                self.reply(from, Err(Code::MessageBad))
            }
        }
    }

    /// Takes a message of another replica.
    pub fn step(&mut self, at: Moment, m: Message) {
        self.raft.step(at.now, m);
    }

    /// Lets time pass.
    pub fn tick(&mut self, at: Moment) {
        self.raft.tick(at.now);
        self.tick_reads(at);
        self.tick_reports(at);
        self.tick_leader_tasks(at);
        self.answer_followers(at);
    }

    /// The address of the leader that is known, for a caller that came to the wrong replica.
    pub fn leader_address(&self) -> Option<String> {
        let leader = self.raft.leader()?;
        self.raft.members().addresses.get(&leader).cloned()
    }

    /// How this replica stands with its group.
    pub fn place(&self) -> GroupStatus {
        let raft = &self.raft;
        GroupStatus {
            node: raft.id(),
            members: raft.members().clone(),
            has_leader: raft.leader().is_some(),
            log_empty: raft.log().last_index() == 0,
            rejoining: !raft.is_active(),
        }
    }

    /// Who leads, if this replica counts in the group and knows.
    pub fn lead(&self) -> Option<Leader> {
        let address = self.leader_address()?;
        Some(Leader { term: self.raft.term(), address })
    }

    /// Takes the members that the group's leader names.
    pub fn take_members(&mut self, at: Moment, members: Members) {
        self.raft.set_rejoin_members(at.now, members);
    }

    /// The replicated log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// The state machine, as far as it is applied here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The members in force.
    pub fn members(&self) -> &Members {
        self.raft.members()
    }

    /// Stores, syncs, sends and applies what has come up; returns what is left to do outside.
    pub fn finish(&mut self, at: Moment) -> Vec<Output<T>> {
        while !self.stopped {
            self.raft.flush();
            let actions = self.raft.take_actions();
            if actions.is_empty() {
                break;
            }
            if let Err(e) = self.carry_out(at, actions) {
                self.stop(Event::DiskFailed, Code::DiskFailed, e.to_string());
            }
        }
        self.compact_if_due();
        std::mem::take(&mut self.outputs)
    }

    /// Begins anew after its disk has failed, with what is stored.
    pub fn restart(&mut self, at: Moment, seed: u64) -> Result<(), Error> {
        let found = self.storage.reopen()?;
        self.snapshot = found.snapshot.clone();
        self.state = restore(&self.storage, &self.snapshot)?;
        self.applied = self.snapshot.index;
        self.kept = Kept { hard: found.hard, marks: found.peers.clone(), ..Kept::default() };
        self.raft = Raft::new(at.now, self.raft.id(), self.settings.raft, found, seed);
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
        self.give_up_calls();
        self.outputs.push(Output::Stop(code, why));
    }

    fn carry_out(&mut self, at: Moment, actions: Vec<Action>) -> Result<(), Error> {
        for a in &actions {
            self.store(a)?;
        }
        self.storage.sync()?;
        self.raft.synced(at.now, self.raft.log().last_index());
        for a in actions {
            self.act(at, a)?;
        }
        Ok(())
    }

    fn store(&mut self, a: &Action) -> Result<(), Error> {
        match a {
            Action::Save(h) => {
                self.kept.hard = *h;
                self.storage.hard(*h);
            }
            Action::SavePeer(n, m) => {
                self.kept.marks.insert(*n, *m);
                self.storage.mark(*n, *m);
            }
            Action::Truncate(from) => self.storage.truncate(*from),
            Action::Append(entries) => self.storage.entries(entries),
            Action::Install(meta, bytes) => self.install(meta, bytes)?,
            _ => {}
        }
        Ok(())
    }

    fn act(&mut self, at: Moment, a: Action) -> Result<(), Error> {
        match a {
            Action::Send(m) => self.outputs.push(Output::Send(m)),
            Action::Commit(upto) => self.apply_upto(at, upto),
            Action::ReadReady(token, index) => self.read_ready(at, token, index),
            Action::ReadFailed(token) => self.read_failed(token),
            Action::LoadSnapshot(n) => {
                let bytes = self.storage.load(self.snapshot.index)?;
                self.raft.snapshot_loaded(n, self.snapshot.clone(), Arc::from(bytes));
            }
            Action::LeaderChanged(true) => {
                emit!(Event::LeaderGained, term = self.raft.term());
                self.heartbeats.restart(at.now);
                self.leader_tasks = LeaderTasks::default();
            }
            Action::LeaderChanged(false) => {
                emit!(Event::LeaderLost, term = self.raft.term());
                self.give_up_calls();
            }
            Action::Outdated(by) => {
                let why = format!("replica {by:016x} remembers a newer state of this folder");
                self.stop(Event::FolderOutdated, Code::FolderForeign, why);
            }
            _ => {}
        }
        Ok(())
    }

    /// Makes this replica one of a group's founders. The same order again changes nothing. The other
    /// founders may have asked for its vote and sent it entries before the order came: it forgets
    /// neither.
    fn found(&mut self, at: Moment, f: &Founders) -> Result<Vec<u8>, Code> {
        let members =
            Members::from_voters(f.peers.iter().map(|p| (p.node as u64, p.address.clone())));
        let me = self.raft.id();
        if self.raft.log().base().index == 0 && self.raft.log().base().members == members {
            return Ok(Vec::new());
        }
        let base = self.raft.log().base();
        let unfounded = base.index == 0 && base.members.voters.is_empty();
        if !unfounded || !members.voters.contains(&me) {
            return Err(Code::MemberBad);
        }
        let meta = SnapshotMeta { index: 0, term: 0, members };
        let found = Restored { snapshot: meta.clone(), ..self.raft.restored() };
        self.kept = Kept {
            meta: meta.clone(),
            hard: found.hard,
            marks: found.peers.clone(),
            entries: found.entries.clone(),
        };
        let bytes = body::pack(&State::default());
        self.storage.snapshot(&self.kept, &bytes).map_err(|_| Code::DiskFailed)?;
        self.kept.entries.clear();
        self.snapshot = meta;
        self.raft = Raft::new(at.now, me, self.settings.raft, found, self.seed);
        emit!(Event::GroupFounded, members = self.raft.members().voters.len());
        Ok(Vec::new())
    }

    fn apply_upto(&mut self, at: Moment, upto: Index) {
        while self.applied < upto {
            let Some(e) = self.raft.log().get(self.applied + 1).cloned() else { break };
            self.applied = e.index;
            let answer = self.apply(&e);
            self.answer_proposal(at, e.index, e.term, answer);
        }
        self.answer_reads(at);
        self.answer_followers(at);
    }

    fn apply(&mut self, e: &Entry) -> Answer {
        match &e.payload {
            Payload::Noop => Answer::Done,
            Payload::Members(m) => {
                emit!(Event::MembersChanged, voters = m.voters.len(), learners = m.learners.len());
                Answer::Done
            }
            Payload::Command(bytes) => self.apply_command(e, bytes),
        }
    }

    fn apply_command(&mut self, e: &Entry, bytes: &[u8]) -> Answer {
        let stamped = bytes.split_first_chunk::<STAMP>();
        let Some((stamp, command)) = stamped else { return Answer::Refused(Code::MessageBad) };
        let Ok(c) = body::unpack::<Command>(command) else {
            return Answer::Refused(Code::MessageBad);
        };
        let pos = LeaseId { term: e.term, index: e.index };
        let answer = self.state.apply(Time(u64::from_be_bytes(*stamp)), pos, &c);
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
        self.tell_rollout(&c, &answer);
        self.tell_quarantine();
        if let Answer::Applied(Err(r)) = &answer {
            emit!(Event::ConfigRefused, code = r.code.number(), place = r.place, why = r.why);
        }
        if let (Answer::Decided(Err(Shortage::Spent)), Command::Ask(ask)) = (&answer, &c) {
            self.tell_short(ask);
        }
        answer
    }

    /// Logs an order or a step of a roll-out.
    fn tell_rollout(&self, c: &Command, answer: &Answer) {
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

    /// Logs which requests are quarantined from now on, and which are not any more.
    fn tell_quarantine(&mut self) {
        for (f, change) in self.state.take_quarantine_changes() {
            let q = self.state.quarantine().iter().find(|(known, _)| **known == f);
            let (account, strikes) = q.map_or(("", 0), |(_, q)| (q.account.as_str(), q.strikes));
            emit!(
                Event::QuarantineChanged,
                fingerprint = f,
                change = change.name(),
                account = account,
                replicas = strikes,
            );
        }
    }

    /// Logs, as leader, why an ask is refused for good.
    fn tell_short(&self, ask: &LeaseRequest) {
        let Some(f) = self.state.ledger().get(&ask.budget) else { return };
        if self.raft.is_leader() {
            emit!(
                Event::BudgetShort,
                budget = ask.budget,
                holder = ask.holder,
                need = ask.need,
                funded = f.funded,
                spent = f.spent(),
                held = f.open(),
                free = f.free(),
            );
        }
    }

    pub(crate) fn reply(&mut self, to: T, result: Result<Vec<u8>, Code>) {
        self.outputs.push(Output::Reply(to, result));
    }

    fn install(&mut self, meta: &SnapshotMeta, bytes: &[u8]) -> Result<(), Error> {
        self.kept.meta = meta.clone();
        self.kept.entries.clear();
        self.storage.snapshot(&self.kept, bytes)?;
        self.snapshot = meta.clone();
        self.state = restore(&self.storage, meta)?;
        self.applied = meta.index;
        emit!(Event::SnapshotInstalled, index = meta.index);
        Ok(())
    }

    fn compact_if_due(&mut self) {
        let grown = self.applied.saturating_sub(self.snapshot.index);
        if self.stopped || grown < self.settings.snapshot_every {
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
        self.kept.meta = meta.clone();
        self.kept.entries = log.slice(index + 1, usize::MAX);
        let bytes = body::pack(&self.state);
        self.storage.snapshot(&self.kept, &bytes)?;
        self.kept.entries.clear();
        self.snapshot = meta;
        // A slow follower gets the newest entries still as entries.
        self.raft.compact(index.saturating_sub(self.settings.snapshot_every / 2));
        emit!(Event::SnapshotSaved, index = index, bytes = bytes.len());
        Ok(())
    }

    /// Hands the lead to another replica, for a planned stop.
    pub fn hand_over(&mut self) {
        self.raft.transfer_leadership();
    }
}

fn restore<S: Storage>(storage: &S, meta: &SnapshotMeta) -> Result<State, Error> {
    if meta.index == 0 {
        return Ok(State::default());
    }
    let bytes = storage.load(meta.index)?;
    body::unpack(&bytes)
        .map_err(|e| Error::Snapshot(format!("number {}", meta.index).into(), e.to_string()))
}
