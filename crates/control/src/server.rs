//! Sockets and timers round the machine.

mod fleet;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::code::Code;
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::fleet::clocks::Clocks;
use cypressfork_core::fleet::contacts::{Contacts, GroupStatus};
use cypressfork_core::fleet::regions::Regions;
use cypressfork_core::fleet::watch::{FeedCursor, WatchResponse};
use cypressfork_core::query::{Query, Reply};
use cypressfork_core::raft::{Members, Message};
use cypressfork_core::unit::{Millis, NodeId, Time};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::Group;
use cypressfork_node::link::Credentials;
use cypressfork_node::metric;
use cypressfork_node::process::{Failure, stop_signal};
use cypressfork_node::time::{Clock, wall};
use cypressfork_store::Error;
use cypressfork_wire::{Ask, Frame, Return, body};
use metrics::{counter, gauge};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch as place};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::api::Local;
use crate::disk::{Disk, disk_failed};
use crate::fleet_view::FleetView;
use crate::leaderless::Leaderless;
use crate::links::{accept_all, send_all};
use crate::machine::{Machine, Moment, Output};
use crate::reserve::Reserve;
use crate::server::fleet::next_call;
use crate::turns::{Kind, Turns};

/// How often the machine's time passes: five times between two heartbeats of a leader, and within
/// these. A tick takes 60 us of a processor, half a hundredth of one at 100 ticks a second.
const TICK: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(20));

/// Inputs that share one sync at most.
const BATCH: usize = 1024;

/// Messages that may wait for one link; more are dropped, and the link with them.
pub(crate) const QUEUE: usize = 1024;

/// How often the reserve looks after what it has to tell the group.
const RESERVE_EVERY: Millis = Millis(250);

/// How long a command of the reserve may wait for the group.
const RESERVE_WITHIN: Duration = Duration::from_secs(2);

/// How long a planned stop leaves the next leader to take over.
const HAND_OVER: Duration = Duration::from_millis(300);

/// Where an answer goes.
pub struct ReplyTo {
    pub(crate) id: i64,
    pub(crate) tx: mpsc::Sender<Frame>,
}

/// What comes to a control process from its links.
pub(crate) enum Input {
    Call(Ask, ReplyTo),
    Raft(Message, Option<String>),
    /// The group's answer to a command of the reserve.
    ReserveAnswered(Box<Command>, Result<Answer, Code>),
    /// What another control process has heard.
    Seen(SocketAddr, Box<WatchResponse>),
}

impl Input {
    fn kind(&self) -> Kind {
        match self {
            Input::Raft(..) => Kind::Log,
            Input::Call(Ask::Watch(_), _) => Kind::Watch,
            Input::Seen(..) => Kind::Seen,
            Input::Call(..) | Input::ReserveAnswered(..) => Kind::Call,
        }
    }
}

/// The fleet's side of a control process.
pub struct Fleet {
    /// What it knows.
    pub view: FleetView<ReplyTo>,
    /// Calls that arrive over HTTP.
    pub calls: mpsc::Receiver<Local>,
    /// Where it tells how it stands with its group.
    pub place: place::Sender<GroupStatus>,
    /// The members that the group's leader names to a process that seeks its group.
    pub confirmed_members: mpsc::Receiver<Members>,
    /// Addresses of control processes that it was told of.
    pub seeds: Vec<SocketAddr>,
    /// The data centre of this process.
    pub data_centre: String,
    /// The regions of data centres.
    pub regions: Regions,
    /// How long callers may keep an entry answer.
    pub entry_keep: Millis,
    /// Voters that the group should have.
    pub voters: usize,
    /// Thousandths of a service's requests that a bad version may get.
    pub rollout_allowed: u64,
}

/// How long to wait before a disk that failed is tried again.
const DISK_AGAIN: Millis = Millis(500);

/// One control process.
pub struct Server {
    machine: Machine<Disk, ReplyTo>,
    clock: Clock,
    me: Credentials,
    /// Where others reach this process.
    address: String,
    peers: BTreeMap<NodeId, Peer>,
    reserve: Option<Reserve<ReplyTo>>,
    group: Group,
    /// Commands of the reserve that wait for the group.
    reserve_commands: usize,
    next_reserve_command: Time,
    /// Where replicas said that they listen, for those that are no members yet.
    heard_at: BTreeMap<NodeId, String>,
    fleet: Option<Fleet>,
    /// How far the other control processes are followed.
    feeds: Rc<RefCell<BTreeMap<SocketAddr, FeedCursor>>>,
    /// The control processes that are followed.
    followed: Rc<RefCell<BTreeSet<SocketAddr>>>,
    next_follow: Time,
    leaderless: Leaderless,
    contacts: Contacts,
    clocks: Clocks,
    /// When a disk that failed is tried again.
    disk_again: Option<Time>,
    /// The bytes of a query for limits.
    limits_query: Vec<u8>,
    turns: Turns,
}

/// The sending end towards another replica.
struct Peer {
    address: String,
    tx: mpsc::Sender<Message>,
}

impl Server {
    /// Wraps a machine.
    pub fn new(
        machine: Machine<Disk, ReplyTo>,
        clock: Clock,
        me: Credentials,
        advertise: SocketAddr,
        reserve: Option<Reserve<ReplyTo>>,
        group: Group,
        fleet: Option<Fleet>,
    ) -> Server {
        Server {
            machine,
            clock,
            me,
            address: advertise.to_string(),
            peers: BTreeMap::new(),
            reserve,
            group,
            reserve_commands: 0,
            next_reserve_command: Time(0),
            heard_at: BTreeMap::new(),
            fleet,
            feeds: Rc::default(),
            followed: Rc::default(),
            next_follow: Time(0),
            leaderless: Leaderless::default(),
            contacts: Contacts::default(),
            clocks: Clocks::default(),
            disk_again: None,
            limits_query: body::pack(&Query::Limits),
            turns: Turns::new(),
        }
    }

    /// Serves until a signal asks to stop, or the machine cannot go on.
    pub async fn run(mut self, listener: TcpListener) -> Result<(), Failure> {
        let (tx, mut rx) = mpsc::channel(QUEUE);
        actix_rt::spawn(accept_all(listener, self.me.clone(), tx.clone()));
        let between = Duration::from_millis(self.machine.settings.raft.heartbeat.0);
        let mut ticks = interval((between / 5).clamp(TICK.0, TICK.1));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let stop = stop_signal();
        tokio::pin!(stop);
        loop {
            let begun;
            tokio::select! {
                () = &mut stop => break,
                Some(input) = rx.recv() => {
                    begun = Instant::now();
                    self.take_all(input, &mut rx);
                }
                Some(local) = next_call(&mut self.fleet) => {
                    let begun = Instant::now();
                    self.take_calls(local);
                    self.turns.note_turn(begun);
                    // Nothing of the group has changed by them: no more is due than at a tick.
                    continue;
                }
                _ = ticks.tick() => {
                    begun = Instant::now();
                    self.turns.note_tick();
                    self.mend_disk()?;
                    self.machine.tick(self.moment());
                    self.observe();
                    self.send_reserve_commands(&tx);
                    self.tick_fleet(&tx);
                }
            }
            self.finish()?;
            self.turns.note_turn(begun);
        }
        emit!(Event::Stopping);
        self.machine.hand_over();
        self.finish()?;
        sleep(HAND_OVER).await;
        Ok(())
    }

    fn moment(&self) -> Moment {
        let now = self.clock.now();
        Moment { now, wall: self.clocks.agreed(now, wall()) }
    }

    fn take_all(&mut self, first: Input, rx: &mut mpsc::Receiver<Input>) {
        self.take(first);
        for _ in 1..BATCH {
            let Ok(input) = rx.try_recv() else { break };
            self.take(input);
        }
    }

    fn take(&mut self, input: Input) {
        let at = self.moment();
        self.turns.note_input(input.kind());
        match input {
            Input::Call(Ask::Reserve(bytes), to) => match &mut self.reserve {
                Some(r) => r.serve(at.wall, &bytes, to),
                None => self.reply(to, Err(Code::ReserveNone)),
            },
            Input::ReserveAnswered(c, result) => {
                self.reserve_commands -= 1;
                if let (Some(r), Ok(a)) = (&mut self.reserve, result) {
                    let known = r.is_enlisted();
                    r.answered(at.wall, &c, &a, self.machine.state());
                    if !known && r.is_enlisted() {
                        emit!(Event::ReserveEnlisted);
                    }
                }
            }
            Input::Call(Ask::Query(bytes), to) if self.asks_for_limits(&bytes) => {
                let words = self.fleet.as_ref().map(|f| f.view.limits.active_reports(at.now));
                self.reply(to, Ok(body::pack(&Reply::Limits(words.unwrap_or_default()))));
            }
            Input::Call(Ask::Watch(bytes), to) => self.take_watch(at, &bytes, to),
            Input::Call(Ask::Announce(bytes), to) => {
                let result = self.take_announce(at, &bytes);
                self.reply(to, result);
            }
            Input::Seen(from, seen) => {
                self.clocks.record(at.now, from, Time(seen.wall));
                seen.controls.iter().for_each(|a| self.contacts.record(at.now, a));
                if let Some(lead) = &seen.lead {
                    self.contacts.record_leader(at.now, lead);
                }
                if let Some(f) = &mut self.fleet {
                    f.view.learn(at.now, seen.replicas, &seen.beats, &seen.limits);
                }
            }
            Input::Call(ask, to) => self.machine.call(at, ask, to),
            Input::Raft(m, reply_to) => {
                if let Some(a) = reply_to {
                    self.heard_at.insert(m.from, a);
                }
                self.machine.step(at, m);
            }
        }
    }

    /// Whether a query is for limits: those are no part of the group's state.
    fn asks_for_limits(&self, query: &[u8]) -> bool {
        self.fleet.is_some() && query == self.limits_query
    }

    /// Brings the gauges up to date.
    fn observe(&mut self) {
        let now = self.moment().now;
        let raft = self.machine.raft();
        self.leaderless.note(now, raft.leader().is_some());
        gauge!(metric::LEADS).set(f64::from(u8::from(raft.is_leader())));
        gauge!(metric::TERM).set(raft.term() as f64);
        gauge!(metric::COMMITTED).set(raft.committed() as f64);
    }

    /// Sends the reserve's commands to the group, once those before are answered.
    fn send_reserve_commands(&mut self, tx: &mpsc::Sender<Input>) {
        let at = self.moment();
        let Some(r) = &mut self.reserve else { return };
        if self.reserve_commands > 0 || at.now < self.next_reserve_command {
            return;
        }
        self.next_reserve_command = at.now.after(RESERVE_EVERY);
        for c in r.commands_due(at.wall, self.machine.state()) {
            self.reserve_commands += 1;
            let (group, tx) = (self.group.clone(), tx.clone());
            actix_rt::spawn(async move {
                let answer = group.command(&c, RESERVE_WITHIN).await;
                // A server that has stopped needs no answer.
                let _ = tx.send(Input::ReserveAnswered(Box::new(c), answer)).await;
            });
        }
    }

    /// Syncs and answers what routers asked of the reserve.
    fn finish_reserve(&mut self) {
        let Some(r) = &mut self.reserve else { return };
        match r.finish() {
            Ok(replies) => {
                for (to, result) in replies {
                    self.reply(to, result);
                }
            }
            Err(e) => emit!(Event::ReserveFailed, why = e),
        }
    }

    fn finish(&mut self) -> Result<(), Failure> {
        self.finish_reserve();
        self.finish_fleet();
        let at = self.moment();
        for out in self.machine.finish(at) {
            match out {
                Output::Reply(to, result) => self.reply(to, result),
                Output::Send(m) => self.send(m),
                // A full or broken disk may store again. Until then this process takes no part in
                // the group, and answers what needs no disk.
                Output::Stop(Code::DiskFailed, _) => {
                    self.disk_again = Some(at.now.after(DISK_AGAIN));
                }
                Output::Stop(code, why) => return Err((code, why)),
            }
        }
        Ok(())
    }

    /// Tries a disk that failed, if that is due.
    fn mend_disk(&mut self) -> Result<(), Failure> {
        let at = self.moment();
        if self.disk_again.is_none_or(|due| at.now < due) {
            return Ok(());
        }
        match self.machine.restart(at, rand::random()) {
            Ok(()) => {
                self.disk_again = None;
                emit!(Event::DiskBack);
            }
            Err(e @ (Error::Io(..) | Error::Poisoned)) => {
                self.disk_again = Some(at.now.after(DISK_AGAIN));
                emit!(Event::DiskFailed, why = e);
            }
            Err(e) => return Err(disk_failed(e)),
        }
        Ok(())
    }

    fn reply(&self, to: ReplyTo, result: Result<Vec<u8>, Code>) {
        let (code, bytes) = match result {
            Ok(bytes) => (0, Some(bytes)),
            Err(code) => (i32::from(code.number()), None),
        };
        let leader = match code {
            0 => None,
            _ => self.leader_address(),
        };
        let r = Return::new(to.id, code, bytes, leader);
        if to.tx.try_send(Frame::Answer(r)).is_err() {
            counter!(metric::REPLIES_DROPPED).increment(1);
            emit!(Event::LinkSlow);
        }
    }

    /// Where the group's leader is: a process that does not count in the group has been told of it
    /// by others, so that a caller who knows nobody else finds it.
    fn leader_address(&self) -> Option<String> {
        let told = || self.contacts.leader(self.clock.now()).map(|l| l.address.clone());
        self.machine.leader_address().or_else(told)
    }

    fn send(&mut self, m: Message) {
        let known = self.machine.raft().address(m.to);
        let address = known.or_else(|| self.heard_at.get(&m.to).map(String::as_str));
        let Some(address) = address.map(str::to_owned) else { return };
        let known =
            self.peers.get(&m.to).is_some_and(|p| p.address == address && !p.tx.is_closed());
        if !known {
            let (tx, rx) = mpsc::channel(QUEUE);
            let own = self.address.clone();
            actix_rt::spawn(send_all(address.clone(), own, self.me.clone(), rx));
            self.peers.insert(m.to, Peer { address, tx });
        }
        // A full queue drops the message, as a network may.
        let _ = self.peers[&m.to].tx.try_send(m);
    }
}
