//! A simulated control group: its members, network and clients, and the invariants that are checked every
//! round.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use cypressfork_control::machine::{ClockReading, GroupMember, Output, Settings};
use cypressfork_core::code::Code;
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::config::{Application, Change, Item, Template};
use cypressfork_core::fleet::contacts::Contacts;
use cypressfork_core::fleet::repair::Candidates;
use cypressfork_core::query::{Query, Reply};
use cypressfork_core::raft::{MemberChange, Members, Message, Payload, Settings as RaftSettings};
use cypressfork_core::unit::{Index, Millis, NodeId, Term, Time, Version};
use cypressfork_wire::{Ask, Founders, Peer, body, member_order};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use super::memory::{Image, MemoryStorage};

/// Virtual time that one round takes.
const ROUND: Millis = Millis(10);

type Disk = Rc<RefCell<Image>>;

/// A control process and its disk.
pub struct Node {
    pub member: Option<GroupMember<MemoryStorage, u64>>,
    pub disk: Disk,
    pub frozen: bool,
    /// Time until which the process is stalled: its messages wait while its clock goes on.
    pub stalled_until: Time,
    /// Result code with which it stopped by itself.
    pub stopped: Option<Code>,
    /// Listening address.
    pub address: String,
    pub(super) started: Time,
    pub(super) contacts: Contacts,
    pub(super) candidates: Candidates,
    /// Number of announcements sent.
    pub(super) announcements: usize,
    inbox: Vec<Message>,
}

/// A client's call that is not answered yet.
#[derive(Clone, Debug)]
enum PendingCall {
    TopUp(usize),
    Change(usize),
    Read { acked: Version },
    Members,
    Router,
}

/// A control group in virtual time, with an unreliable network and disks that fail.
pub struct Simulation {
    pub now: Time,
    pub nodes: BTreeMap<NodeId, Node>,
    pub settings: Settings,
    rng: SmallRng,
    /// Messages on their way, with their time of arrival.
    in_flight: Vec<(Time, Message)>,
    /// Links that lose all messages, as sender and receiver.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub drop_percent: u32,
    /// Whether members whose disk failed keep running, for [`Simulation::restart_in_place`].
    pub in_place: bool,
    pub duplicate_percent: u32,
    pending: BTreeMap<u64, PendingCall>,
    calls: u64,
    /// Leader of each term.
    leaders: BTreeMap<Term, NodeId>,
    /// Committed entries of all members.
    committed: BTreeMap<Index, (Term, Payload)>,
    /// Index up to which each member's committed entries are checked.
    checked: BTreeMap<NodeId, Index>,
    /// Whether each top-up is acknowledged.
    top_ups: Vec<bool>,
    /// Base version of each change, and its result.
    changes: Vec<(Version, Option<Result<Version, Code>>)>,
    /// Highest configuration version that was acknowledged.
    pub acked_version: Version,
    /// Number of answered reads.
    pub reads: u64,
    pub last_member_answer: Option<Result<(), Code>>,
    /// Number of messages sent between members.
    pub sent: u64,
    /// Number of answers to routers' reports and watches.
    pub answered: u64,
    /// Addresses of the seeds configured at all processes; if there are none, tests change the members.
    pub seeds: Vec<String>,
    next_id: NodeId,
}

pub(super) fn address(n: NodeId) -> String {
    format!("10.0.0.{n}:7000")
}

impl Simulation {
    /// Returns a group of new members 1 to `n` with a first configuration.
    pub fn new(n: u64, seed: u64) -> Simulation {
        Simulation::with_crashed(n, &[], seed)
    }

    /// Returns the same, where the members `crashed` crash right after the founding request.
    pub fn with_crashed(n: u64, crashed: &[NodeId], seed: u64) -> Simulation {
        Simulation::with_late_founders(n, crashed, &[], seed)
    }

    /// Returns the same, where the members `late` receive the founding request only once there is a leader,
    /// which has requested their votes and sent them entries.
    pub fn with_late_founders(
        n: u64,
        crashed: &[NodeId],
        late: &[NodeId],
        seed: u64,
    ) -> Simulation {
        let raft = RaftSettings { chunk_bytes: 512, ..RaftSettings::default() };
        let mut sim = Simulation {
            now: Time(10_000),
            nodes: BTreeMap::new(),
            settings: Settings { raft, snapshot_every: 40 },
            rng: SmallRng::seed_from_u64(seed),
            in_flight: Vec::new(),
            cut: BTreeSet::new(),
            drop_percent: 0,
            in_place: false,
            duplicate_percent: 0,
            pending: BTreeMap::new(),
            calls: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            checked: BTreeMap::new(),
            top_ups: Vec::new(),
            changes: Vec::new(),
            acked_version: 0,
            reads: 0,
            last_member_answer: None,
            sent: 0,
            answered: 0,
            seeds: Vec::new(),
            next_id: 1,
        };
        for _ in 0..n {
            sim.add_fresh();
        }
        let peers: Vec<_> = (1..=n).map(|i| Peer::new(i as i64, address(i))).collect();
        let found = |sim: &mut Simulation, i: NodeId| {
            let at = sim.read_clocks();
            let m = sim.nodes.get_mut(&i).unwrap().member.as_mut().unwrap();
            m.handle_request(at, Ask::Founders(Founders::new(peers.clone())), 0);
        };
        (1..=n).filter(|i| !late.contains(i)).for_each(|i| found(&mut sim, i));
        for id in crashed {
            sim.crash(*id);
        }
        sim.until(5_000, |sim| sim.leader().is_some());
        late.iter().for_each(|i| found(&mut sim, *i));
        sim.change();
        while sim.acked_version == 0 {
            sim.run(100);
            sim.resend();
        }
        sim
    }

    /// Starts a process with an empty disk. Returns its id.
    pub fn add_fresh(&mut self) -> NodeId {
        self.add_fresh_at(address(self.next_id))
    }

    /// Starts a process with an empty disk at an address that another may have had. Returns its id.
    pub fn add_fresh_at(&mut self, address: String) -> NodeId {
        let id = self.next_id;
        self.next_id += 1;
        let node = Node {
            member: None,
            disk: Disk::default(),
            frozen: false,
            stalled_until: Time(0),
            stopped: None,
            address,
            started: self.now,
            contacts: Contacts::default(),
            candidates: Candidates::default(),
            announcements: 0,
            inbox: Vec::new(),
        };
        self.nodes.insert(id, node);
        self.start(id);
        id
    }

    pub fn start(&mut self, id: NodeId) {
        let (at, seed) = (self.read_clocks(), self.rng.random());
        let settings = self.settings;
        let node = self.nodes.get_mut(&id).unwrap();
        if node.member.is_some() {
            return;
        }
        let (memory, restored) = MemoryStorage::open(&node.disk);
        let member =
            GroupMember::start(at, "tas-north", settings, memory, (id, restored), seed).unwrap();
        node.member = Some(member);
        node.stopped = None;
        node.started = at.now;
        node.contacts = Contacts::default();
        node.candidates = Candidates::default();
        node.inbox.clear();
        self.checked.remove(&id);
    }

    /// Reopens the disk of a member that has stopped. Returns whether it runs again.
    pub fn restart_in_place(&mut self, id: NodeId) -> bool {
        let (at, seed) = (self.read_clocks(), self.rng.random());
        let node = self.nodes.get_mut(&id).unwrap();
        let done = node.member.as_mut().unwrap().restart(at, seed).is_ok();
        if done {
            node.stopped = None;
            self.checked.remove(&id);
        }
        done
    }

    /// Kills a process: what was not synced is lost.
    pub fn crash(&mut self, id: NodeId) {
        let node = self.nodes.get_mut(&id).unwrap();
        node.member = None;
        node.frozen = false;
    }

    /// Pauses a process, or lets it continue.
    pub fn freeze(&mut self, id: NodeId, frozen: bool) {
        self.nodes.get_mut(&id).unwrap().frozen = frozen;
    }

    /// Stalls a process for `ms` milliseconds.
    pub fn stall(&mut self, id: NodeId, ms: u64) {
        self.nodes.get_mut(&id).unwrap().stalled_until = self.now.after(Millis(ms));
    }

    pub fn copy_disk(&self, id: NodeId) -> Image {
        self.nodes[&id].disk.borrow().clone()
    }

    pub fn restore_disk(&mut self, id: NodeId, image: Image) {
        *self.nodes[&id].disk.borrow_mut() = image;
    }

    /// Makes the sync after `n` more fail; `written` says whether its data still reaches the disk.
    pub fn fail_sync(&mut self, id: NodeId, n: u32, written: bool) {
        self.nodes[&id].disk.borrow_mut().fail_in = Some((n, written));
    }

    pub fn read_clocks(&self) -> ClockReading {
        ClockReading { now: self.now, wall: self.now.after(Millis(1_000_000)) }
    }

    /// Returns the processes that have not crashed.
    pub fn running(&self) -> Vec<NodeId> {
        self.nodes.iter().filter(|(_, n)| n.member.is_some()).map(|(i, _)| *i).collect()
    }

    pub fn member(&self, id: NodeId) -> &GroupMember<MemoryStorage, u64> {
        self.nodes[&id].member.as_ref().unwrap()
    }

    /// Returns the running leader of the newest term.
    pub fn leader(&self) -> Option<NodeId> {
        let is_leader = |i: &NodeId| self.member(*i).raft().is_leader() && !self.nodes[i].frozen;
        let term = |i: &NodeId| self.member(*i).raft().term();
        self.running().into_iter().filter(is_leader).max_by_key(term)
    }

    fn call(&mut self, to: NodeId, ask: Ask, pending: PendingCall) {
        self.calls += 1;
        let (at, token) = (self.read_clocks(), self.calls);
        let node = self.nodes.get_mut(&to).unwrap();
        if let Some(m) = node.member.as_mut().filter(|_| !node.frozen) {
            self.pending.insert(token, pending);
            m.handle_request(at, ask, token);
        }
    }

    /// Returns a running process at random.
    fn any_running(&mut self) -> Option<NodeId> {
        let running = self.running();
        let n = self.rng.random_range(0..running.len().max(1));
        running.get(n).copied()
    }

    /// A client adds a token; [`Simulation::resend`] repeats the operation until it is answered.
    pub fn top_up(&mut self) {
        self.top_ups.push(false);
        self.send_top_up(self.top_ups.len() - 1);
    }

    fn send_top_up(&mut self, n: usize) {
        let budget = "club-talk".to_owned();
        let c = Command::TopUp { op: format!("t{n}"), budget, tokens: 1 };
        if let Some(to) = self.any_running() {
            self.call(to, Ask::Command(body::pack(&c)), PendingCall::TopUp(n));
        }
    }

    /// An operator changes the configuration, based on the newest acknowledged version.
    pub fn change(&mut self) {
        self.changes.push((self.acked_version, None));
        self.send_change(self.changes.len() - 1);
    }

    fn send_change(&mut self, n: usize) {
        let base = self.changes[n].0;
        let items = vec![Item::Template(template()), Item::Application(application(n))];
        let change = Change { op: format!("c{n}"), base, by: "ann".into(), items };
        if let Some(to) = self.any_running() {
            let ask = Ask::Command(body::pack(&Command::Apply(change)));
            self.call(to, ask, PendingCall::Change(n));
        }
    }

    /// A client reads the configuration; the answer must include every version acknowledged before.
    pub fn read(&mut self) {
        let acked = self.acked_version;
        if let Some(to) = self.any_running() {
            let ask = Ask::Query(body::pack(&Query::Config));
            self.call(to, ask, PendingCall::Read { acked });
        }
    }

    /// Sends a router's registration, report or watch to the leader.
    pub fn send_router_request(&mut self, ask: Ask) {
        if let Some(to) = self.leader() {
            self.call(to, ask, PendingCall::Router);
        }
    }

    /// Sends an operator's change of the members to the leader.
    pub fn change_members(&mut self, change: MemberChange) {
        self.last_member_answer = None;
        if let Some(to) = self.leader() {
            self.call(to, Ask::Members(member_order(&change)), PendingCall::Members);
        }
    }

    /// Repeats a change of the members until it is done.
    pub fn change_members_until_done(&mut self, change: MemberChange) {
        let mut rounds = 0;
        loop {
            self.change_members(change.clone());
            self.run(300);
            if self.last_member_answer == Some(Ok(())) {
                return;
            }
            let done = self.leader().is_some_and(|l| has_change(self.member(l).members(), &change));
            rounds += 1;
            if done {
                return;
            }
            assert!(rounds < 100, "{change:?}: {:?}", self.last_member_answer);
        }
    }

    pub fn add_learner(&mut self, id: NodeId) {
        self.change_members_until_done(MemberChange::AddLearner(id, address(id)));
    }

    /// Runs for `ms` milliseconds of virtual time.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(ROUND.0) {
            self.round();
        }
    }

    /// Runs until `done` returns true, and fails after `ms` milliseconds of virtual time.
    pub fn until(&mut self, ms: u64, done: impl Fn(&Simulation) -> bool) {
        for _ in 0..ms.div_ceil(ROUND.0) {
            if done(self) {
                return;
            }
            self.round();
        }
        assert!(done(self), "not within {ms} ms");
    }

    /// Delivers the messages that are due, steps all processes and checks the invariants.
    pub fn round(&mut self) {
        self.now = self.now.after(ROUND);
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|(at, _)| *at <= now);
        self.in_flight = rest;
        for (_, m) in due {
            if let Some(node) = self.nodes.get_mut(&m.to) {
                node.inbox.push(m);
            }
        }
        for id in self.running() {
            self.step_node(id);
        }
        self.maintain_membership();
        self.check();
    }

    fn step_node(&mut self, id: NodeId) {
        let at = self.read_clocks();
        let node = self.nodes.get_mut(&id).unwrap();
        if node.frozen || node.stalled_until > at.now {
            return;
        }
        let m = node.member.as_mut().unwrap();
        if node.stalled_until.0 > 0 {
            // A process that was stalled may handle its timer before the waiting messages.
            node.stalled_until = Time(0);
            m.tick(at);
        }
        for message in node.inbox.drain(..) {
            m.step(at, message);
        }
        m.tick(at);
        for out in m.finish(at) {
            match out {
                Output::Send(message) => self.send(message),
                Output::Reply(token, result) => self.handle_answer(token, result),
                Output::Stop(code, _) => {
                    let node = self.nodes.get_mut(&id).unwrap();
                    if !self.in_place {
                        node.member = None;
                    }
                    node.stopped = Some(code);
                }
            }
        }
    }

    fn send(&mut self, m: Message) {
        self.sent += 1;
        if self.cut.contains(&(m.from, m.to)) || self.rng.random_range(0..100) < self.drop_percent {
            return;
        }
        if self.rng.random_range(0..100) < self.duplicate_percent {
            let late = self.now.after(Millis(self.rng.random_range(0..2_000)));
            self.in_flight.push((late, m.clone()));
        }
        let at = self.now.after(Millis(self.rng.random_range(0..30)));
        self.in_flight.push((at, m));
    }

    fn handle_answer(&mut self, token: u64, result: Result<Vec<u8>, Code>) {
        let Some(call) = self.pending.remove(&token) else { return };
        match (call, result) {
            (PendingCall::TopUp(n), Ok(bytes)) => {
                let a: Answer = body::unpack(&bytes).unwrap();
                assert!(matches!(a, Answer::Funded(_)), "{a:?}");
                self.top_ups[n] = true;
            }
            (PendingCall::Change(n), Ok(bytes)) => {
                let Answer::Applied(result) = body::unpack(&bytes).unwrap() else { panic!() };
                let result = result.map_err(|r| r.code);
                let first = *self.changes[n].1.get_or_insert(result);
                assert_eq!(first, result, "a resend got another answer");
                if let Ok(v) = result {
                    self.acked_version = self.acked_version.max(v);
                }
            }
            (PendingCall::Read { acked }, Ok(bytes)) => {
                let Reply::Config { version, .. } = body::unpack(&bytes).unwrap() else { panic!() };
                assert!(version >= acked, "read {version} after {acked} was acknowledged");
                self.reads += 1;
            }
            (PendingCall::Router, Ok(_)) => self.answered += 1,
            (PendingCall::Members, result) => self.last_member_answer = Some(result.map(|_| ())),
            (_, Err(_)) => {}
        }
    }

    /// Resends every top-up and change that is not answered.
    pub fn resend(&mut self) {
        self.pending.clear();
        for n in 0..self.top_ups.len() {
            if !self.top_ups[n] {
                self.send_top_up(n);
            }
        }
        for n in 0..self.changes.len() {
            if self.changes[n].1.is_none() {
                self.send_change(n);
            }
        }
    }

    /// Checks that each term has one leader and that committed entries never differ.
    fn check(&mut self) {
        for id in self.running() {
            let raft = self.nodes[&id].member.as_ref().unwrap().raft();
            if raft.is_leader() {
                let first = *self.leaders.entry(raft.term()).or_insert(id);
                assert_eq!(first, id, "two leaders in term {}", raft.term());
            }
            let from = self.checked.get(&id).copied().unwrap_or(0) + 1;
            for i in from..=raft.committed() {
                let Some(e) = raft.log().get(i) else { continue };
                let first = self.committed.entry(i).or_insert((e.term, e.payload.clone()));
                assert_eq!(*first, (e.term, e.payload.clone()), "entry {i} differs at {id}");
            }
            self.checked.insert(id, raft.committed());
        }
    }

    /// Heals the network, restarts all processes, and checks that no acknowledged change was lost.
    pub fn heal_and_check(&mut self) {
        self.cut.clear();
        self.drop_percent = 0;
        self.duplicate_percent = 0;
        let acked = self.top_ups.iter().filter(|a| **a).count() as u64;
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.freeze(id, false);
            self.nodes[&id].disk.borrow_mut().fail_in = None;
            if self.nodes[&id].stopped != Some(Code::FolderForeign) {
                self.start(id);
            }
            if self.in_place && self.nodes[&id].stopped.is_some() {
                assert!(self.restart_in_place(id));
            }
        }
        self.run(3_000);
        for _ in 0..60 {
            self.resend();
            self.run(200);
        }
        self.until(10_000, |sim| sim.top_ups.iter().all(|a| *a));
        let leader = self.leader().expect("a leader");
        let funded = self.member(leader).state().ledger().get("club-talk").unwrap().funded;
        let version = self.member(leader).state().config().version();
        assert_eq!(funded, 1_000 + self.top_ups.len() as u64, "{acked} were acknowledged before");
        assert!(version >= self.acked_version);
        let reads = self.reads;
        for _ in 0..60 {
            self.read();
            self.run(100);
        }
        assert!(self.reads > reads, "a confirmed read is answered");
    }
}

fn has_change(m: &Members, change: &MemberChange) -> bool {
    match change {
        MemberChange::AddLearner(n, _) => m.contains(*n),
        MemberChange::Promote(n) => m.voters.contains(n),
        MemberChange::Remove(n) => !m.contains(*n),
    }
}

fn template() -> Template {
    let upstream = json!({ "vm": { "name": "e", "data_centre": "d" }, "address": "10.1.0.1:80" });
    let text = json!({
        "name": "club",
        "parameters": { "slots": { "kind": "number" } },
        "objects": {
            "client_accounts": { "club": { "keys": [], "services": ["talk"] } },
            "budgets": { "club-talk": {
                "client_account": "club", "services": ["talk"], "tokens": 1000 } },
            "services": { "talk": { "model": { "models": ["go"], "max_output": 64,
                "slots": "${slots}", "upstreams": [upstream] } } },
        },
    });
    serde_json::from_value(text).unwrap()
}

fn application(n: usize) -> Application {
    let values = [("slots".to_owned(), json!(n + 1))].into();
    Application { name: "club".into(), template: "club".into(), values }
}
