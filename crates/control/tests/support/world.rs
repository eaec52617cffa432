//! A group of replicas, its link, its clients, and what must hold at every moment.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use cypressfork_control::machine::{Machine, Moment, Output, Settings};
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

use super::memory::{Image, Memory};

/// Virtual time between two rounds.
const ROUND: Millis = Millis(10);

type Disk = Rc<RefCell<Image>>;

pub struct Node {
    pub machine: Option<Machine<Memory, u64>>,
    pub disk: Disk,
    pub frozen: bool,
    /// Until when its one thread is busy with something else: what comes waits, its clock goes on.
    pub busy_until: Time,
    /// Why it stopped by itself.
    pub stopped: Option<Code>,
    /// Where it listens.
    pub address: String,
    pub(super) started: Time,
    pub(super) contacts: Contacts,
    pub(super) candidates: Candidates,
    /// How often it has said that it is there.
    pub(super) announced: usize,
    inbox: Vec<Message>,
}

/// What a client waits for.
#[derive(Clone, Debug)]
enum Waiting {
    TopUp(usize),
    Change(usize),
    Read { acked: Version },
    Members,
    Router,
}

pub struct World {
    pub now: Time,
    pub nodes: BTreeMap<NodeId, Node>,
    pub settings: Settings,
    rng: SmallRng,
    post: Vec<(Time, Message)>,
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub drop_percent: u32,
    /// A replica whose disk has failed stays and may be restarted in its place.
    pub in_place: bool,
    pub double_percent: u32,
    waiting: BTreeMap<u64, Waiting>,
    calls: u64,
    leaders: BTreeMap<Term, NodeId>,
    committed: BTreeMap<Index, (Term, Payload)>,
    checked: BTreeMap<NodeId, Index>,
    topups: Vec<bool>,
    /// The base of each change, and what came of it.
    changes: Vec<(Version, Option<Result<Version, Code>>)>,
    pub acked_version: Version,
    pub reads: u64,
    pub last_member_answer: Option<Result<(), Code>>,
    /// Messages between replicas so far.
    pub sent: u64,
    /// Answers to routers' reports and standing questions so far.
    pub answered: u64,
    /// The addresses that all processes are told at their start; none: members are ordered by hand.
    pub seeds: Vec<String>,
    next_id: NodeId,
}

pub(super) fn address(n: NodeId) -> String {
    format!("10.0.0.{n}:7000")
}

impl World {
    /// Fresh replicas 1 to `n`, made a group, with a first configuration.
    pub fn new(n: u64, seed: u64) -> World {
        World::without(n, &[], seed)
    }

    /// The same, where the replicas `away` hear nothing but that the group is founded.
    pub fn without(n: u64, away: &[NodeId], seed: u64) -> World {
        World::founding(n, away, &[], seed)
    }

    /// The same, where the order that founds the group reaches the replicas `late` once it has a leader
    /// that has asked for their votes and sent them entries.
    pub fn founding(n: u64, away: &[NodeId], late: &[NodeId], seed: u64) -> World {
        let raft = RaftSettings { chunk_bytes: 512, ..RaftSettings::default() };
        let mut w = World {
            now: Time(10_000),
            nodes: BTreeMap::new(),
            settings: Settings { raft, snapshot_every: 40 },
            rng: SmallRng::seed_from_u64(seed),
            post: Vec::new(),
            cut: BTreeSet::new(),
            drop_percent: 0,
            in_place: false,
            double_percent: 0,
            waiting: BTreeMap::new(),
            calls: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            checked: BTreeMap::new(),
            topups: Vec::new(),
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
            w.add_fresh();
        }
        let peers: Vec<_> = (1..=n).map(|i| Peer::new(i as i64, address(i))).collect();
        let order = |w: &mut World, i: NodeId| {
            let at = w.moment();
            let m = w.nodes.get_mut(&i).unwrap().machine.as_mut().unwrap();
            m.handle_request(at, Ask::Founders(Founders::new(peers.clone())), 0);
        };
        (1..=n).filter(|i| !late.contains(i)).for_each(|i| order(&mut w, i));
        for id in away {
            w.crash(*id);
        }
        w.until(5_000, |w| w.leader().is_some());
        late.iter().for_each(|i| order(&mut w, *i));
        w.change();
        while w.acked_version == 0 {
            w.run(100);
            w.resend();
        }
        w
    }

    /// A new replica with an empty disk.
    pub fn add_fresh(&mut self) -> NodeId {
        self.add_fresh_at(address(self.next_id))
    }

    /// A new replica with an empty disk, at an address that another may have had.
    pub fn add_fresh_at(&mut self, address: String) -> NodeId {
        let id = self.next_id;
        self.next_id += 1;
        let node = Node {
            machine: None,
            disk: Disk::default(),
            frozen: false,
            busy_until: Time(0),
            stopped: None,
            address,
            started: self.now,
            contacts: Contacts::default(),
            candidates: Candidates::default(),
            announced: 0,
            inbox: Vec::new(),
        };
        self.nodes.insert(id, node);
        self.start(id);
        id
    }

    pub fn start(&mut self, id: NodeId) {
        let (at, seed) = (self.moment(), self.rng.random());
        let settings = self.settings;
        let node = self.nodes.get_mut(&id).unwrap();
        if node.machine.is_some() {
            return;
        }
        let (memory, found) = Memory::open(&node.disk);
        let machine = Machine::start(at, "tas-north", settings, memory, (id, found), seed).unwrap();
        node.machine = Some(machine);
        node.stopped = None;
        node.started = at.now;
        node.contacts = Contacts::default();
        node.candidates = Candidates::default();
        node.inbox.clear();
        self.checked.remove(&id);
    }

    /// Tries the disk of a replica that has stopped; whether it takes part again.
    pub fn restart_in_place(&mut self, id: NodeId) -> bool {
        let (at, seed) = (self.moment(), self.rng.random());
        let node = self.nodes.get_mut(&id).unwrap();
        let done = node.machine.as_mut().unwrap().restart(at, seed).is_ok();
        if done {
            node.stopped = None;
            self.checked.remove(&id);
        }
        done
    }

    /// kill -9: what was not synced is lost.
    pub fn crash(&mut self, id: NodeId) {
        let node = self.nodes.get_mut(&id).unwrap();
        node.machine = None;
        node.frozen = false;
    }

    pub fn freeze(&mut self, id: NodeId, frozen: bool) {
        self.nodes.get_mut(&id).unwrap().frozen = frozen;
    }

    /// Has a replica's thread be busy with something else for a while.
    pub fn hold_up(&mut self, id: NodeId, ms: u64) {
        self.nodes.get_mut(&id).unwrap().busy_until = self.now.after(Millis(ms));
    }

    pub fn copy_disk(&self, id: NodeId) -> Image {
        self.nodes[&id].disk.borrow().clone()
    }

    pub fn put_back(&mut self, id: NodeId, image: Image) {
        *self.nodes[&id].disk.borrow_mut() = image;
    }

    /// The sync after `n` more fails; `kept` tells whether it still reached the disk.
    pub fn fail_sync(&mut self, id: NodeId, n: u32, kept: bool) {
        self.nodes[&id].disk.borrow_mut().fail_in = Some((n, kept));
    }

    pub fn moment(&self) -> Moment {
        Moment { now: self.now, wall: self.now.after(Millis(1_000_000)) }
    }

    pub fn live(&self) -> Vec<NodeId> {
        self.nodes.iter().filter(|(_, n)| n.machine.is_some()).map(|(i, _)| *i).collect()
    }

    pub fn machine(&self, id: NodeId) -> &Machine<Memory, u64> {
        self.nodes[&id].machine.as_ref().unwrap()
    }

    /// The live replica that leads the newest term.
    pub fn leader(&self) -> Option<NodeId> {
        let leads = |i: &NodeId| self.machine(*i).raft().is_leader() && !self.nodes[i].frozen;
        let newest = |i: &NodeId| self.machine(*i).raft().term();
        self.live().into_iter().filter(leads).max_by_key(newest)
    }

    fn call(&mut self, to: NodeId, ask: Ask, what: Waiting) {
        self.calls += 1;
        let (at, token) = (self.moment(), self.calls);
        let node = self.nodes.get_mut(&to).unwrap();
        if let Some(m) = node.machine.as_mut().filter(|_| !node.frozen) {
            self.waiting.insert(token, what);
            m.handle_request(at, ask, token);
        }
    }

    fn any_live(&mut self) -> Option<NodeId> {
        let live = self.live();
        let n = self.rng.random_range(0..live.len().max(1));
        live.get(n).copied()
    }

    /// A client adds a token; it sends the same operation until it is answered.
    pub fn top_up(&mut self) {
        self.topups.push(false);
        self.send_top_up(self.topups.len() - 1);
    }

    fn send_top_up(&mut self, n: usize) {
        let budget = "club-talk".to_owned();
        let c = Command::TopUp { op: format!("t{n}"), budget, tokens: 1 };
        if let Some(to) = self.any_live() {
            self.call(to, Ask::Command(body::pack(&c)), Waiting::TopUp(n));
        }
    }

    /// An operator changes the configuration, made from the newest version that was acknowledged.
    pub fn change(&mut self) {
        self.changes.push((self.acked_version, None));
        self.send_change(self.changes.len() - 1);
    }

    fn send_change(&mut self, n: usize) {
        let base = self.changes[n].0;
        let items = vec![Item::Template(template()), Item::Application(application(n))];
        let change = Change { op: format!("c{n}"), base, by: "ann".into(), items };
        if let Some(to) = self.any_live() {
            let ask = Ask::Command(body::pack(&Command::Apply(change)));
            self.call(to, ask, Waiting::Change(n));
        }
    }

    /// A router reads; whatever was acknowledged before must be in the answer.
    pub fn read(&mut self) {
        let acked = self.acked_version;
        if let Some(to) = self.any_live() {
            let ask = Ask::Query(body::pack(&Query::Config));
            self.call(to, ask, Waiting::Read { acked });
        }
    }

    /// A router registers, sends a report or puts its standing question, to the leader.
    pub fn router_asks(&mut self, ask: Ask) {
        if let Some(to) = self.leader() {
            self.call(to, ask, Waiting::Router);
        }
    }

    /// An operator's order about a member, to the leader.
    pub fn order(&mut self, change: MemberChange) {
        self.last_member_answer = None;
        if let Some(to) = self.leader() {
            self.call(to, Ask::Members(member_order(&change)), Waiting::Members);
        }
    }

    /// Orders it again until it is done.
    pub fn order_until_done(&mut self, change: MemberChange) {
        let mut rounds = 0;
        loop {
            self.order(change.clone());
            self.run(300);
            if self.last_member_answer == Some(Ok(())) {
                return;
            }
            let done = self.leader().is_some_and(|l| has(self.machine(l).members(), &change));
            rounds += 1;
            if done {
                return;
            }
            assert!(rounds < 100, "{change:?}: {:?}", self.last_member_answer);
        }
    }

    pub fn add_learner(&mut self, id: NodeId) {
        self.order_until_done(MemberChange::AddLearner(id, address(id)));
    }

    /// Lets `ms` of virtual time pass.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(ROUND.0) {
            self.round();
        }
    }

    pub fn until(&mut self, ms: u64, done: impl Fn(&World) -> bool) {
        for _ in 0..ms.div_ceil(ROUND.0) {
            if done(self) {
                return;
            }
            self.round();
        }
        assert!(done(self), "not within {ms} ms");
    }

    pub fn round(&mut self) {
        self.now = self.now.after(ROUND);
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self.post.drain(..).partition(|(at, _)| *at <= now);
        self.post = rest;
        for (_, m) in due {
            if let Some(node) = self.nodes.get_mut(&m.to) {
                node.inbox.push(m);
            }
        }
        for id in self.live() {
            self.turn(id);
        }
        self.keep_places();
        self.check();
    }

    fn turn(&mut self, id: NodeId) {
        let at = self.moment();
        let node = self.nodes.get_mut(&id).unwrap();
        if node.frozen || node.busy_until > at.now {
            return;
        }
        let m = node.machine.as_mut().unwrap();
        if node.busy_until.0 > 0 {
            // A timer that is due and messages that wait are taken in any order.
            node.busy_until = Time(0);
            m.tick(at);
        }
        for message in node.inbox.drain(..) {
            m.step(at, message);
        }
        m.tick(at);
        for out in m.finish(at) {
            match out {
                Output::Send(message) => self.send(message),
                Output::Reply(token, result) => self.answered(token, result),
                Output::Stop(code, _) => {
                    let node = self.nodes.get_mut(&id).unwrap();
                    if !self.in_place {
                        node.machine = None;
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
        if self.rng.random_range(0..100) < self.double_percent {
            let late = self.now.after(Millis(self.rng.random_range(0..2_000)));
            self.post.push((late, m.clone()));
        }
        let at = self.now.after(Millis(self.rng.random_range(0..30)));
        self.post.push((at, m));
    }

    fn answered(&mut self, token: u64, result: Result<Vec<u8>, Code>) {
        let Some(what) = self.waiting.remove(&token) else { return };
        match (what, result) {
            (Waiting::TopUp(n), Ok(bytes)) => {
                let a: Answer = body::unpack(&bytes).unwrap();
                assert!(matches!(a, Answer::Funded(_)), "{a:?}");
                self.topups[n] = true;
            }
            (Waiting::Change(n), Ok(bytes)) => {
                let Answer::Applied(result) = body::unpack(&bytes).unwrap() else { panic!() };
                let result = result.map_err(|r| r.code);
                let first = *self.changes[n].1.get_or_insert(result);
                assert_eq!(first, result, "a resend got another answer");
                if let Ok(v) = result {
                    self.acked_version = self.acked_version.max(v);
                }
            }
            (Waiting::Read { acked }, Ok(bytes)) => {
                let Reply::Config { version, .. } = body::unpack(&bytes).unwrap() else { panic!() };
                assert!(version >= acked, "read {version} after {acked} was acknowledged");
                self.reads += 1;
            }
            (Waiting::Router, Ok(_)) => self.answered += 1,
            (Waiting::Members, result) => self.last_member_answer = Some(result.map(|_| ())),
            (_, Err(_)) => {}
        }
    }

    /// Sends everything again that was not answered.
    pub fn resend(&mut self) {
        self.waiting.clear();
        for n in 0..self.topups.len() {
            if !self.topups[n] {
                self.send_top_up(n);
            }
        }
        for n in 0..self.changes.len() {
            if self.changes[n].1.is_none() {
                self.send_change(n);
            }
        }
    }

    /// What must hold at every moment.
    fn check(&mut self) {
        for id in self.live() {
            let raft = self.nodes[&id].machine.as_ref().unwrap().raft();
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

    /// Heals everything, restarts everybody, and checks that nothing acknowledged was lost.
    pub fn heal_and_check(&mut self) {
        self.cut.clear();
        self.drop_percent = 0;
        self.double_percent = 0;
        let acked = self.topups.iter().filter(|a| **a).count() as u64;
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
        self.until(10_000, |w| w.topups.iter().all(|a| *a));
        let leader = self.leader().expect("a leader");
        let funded = self.machine(leader).state().ledger().get("club-talk").unwrap().funded;
        let version = self.machine(leader).state().config().version();
        assert_eq!(funded, 1_000 + self.topups.len() as u64, "{acked} were acknowledged before");
        assert!(version >= self.acked_version);
        let reads = self.reads;
        for _ in 0..60 {
            self.read();
            self.run(100);
        }
        assert!(self.reads > reads, "a confirmed read is answered");
    }
}

fn has(m: &Members, change: &MemberChange) -> bool {
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
