//! The event loop of a control process: connects the [`GroupMember`] to its links, timers and HTTP calls.

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
use cypressfork_core::fleet::heard::HeardControls;
use cypressfork_core::fleet::regions::Regions;
use cypressfork_core::fleet::watch::{FeedCursor, WatchResponse};
use cypressfork_core::query::{Query, Reply};
use cypressfork_core::raft::{Members, Message};
use cypressfork_core::unit::{Index, Millis, NodeId, Time};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_node::metric;
use cypressfork_node::process::Failure;
use cypressfork_node::signals::StopSignals;
use cypressfork_node::time::{Clock, unix_time};
use cypressfork_store::Error;
use cypressfork_wire::{Ask, Frame, Return, body};
use metrics::{counter, gauge};
use tokio::net::TcpListener;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, watch};
use tokio::time::{Interval, MissedTickBehavior, interval, sleep};

use crate::api::LocalCall;
use crate::disk::{Disk, disk_failure};
use crate::drain::Drain;
use crate::fleet_view::FleetView;
use crate::leaderless::LeaderlessTimer;
use crate::links::{accept_links, send_messages};
use crate::machine::{ClockReading, GroupMember, Output};
use crate::reserve::Reserve;
use crate::server::fleet::next_call;
use crate::turns::{LoopStats, Work};

/// Minimum and maximum of the tick interval, which is otherwise a fifth of the heartbeat interval.
const TICK_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(20));

/// Maximum number of inputs that share one sync.
const MAX_BATCH: usize = 1024;

/// Maximum number of queued messages per link; further ones are dropped.
pub(crate) const MAX_QUEUED_MESSAGES: usize = 1024;

/// Interval between checks for commands of the reserve to the group.
const RESERVE_INTERVAL: Millis = Millis(250);

/// Timeout of a command of the reserve to the group.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a planned stop allows for the leadership transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(300);

/// The caller that an answer goes to: its request and its link.
pub struct ReplyTo {
    pub(crate) id: i64,
    pub(crate) tx: mpsc::Sender<Frame>,
}

/// An input from a link or from a background task.
pub(crate) enum Input {
    /// A request of a router, an operator or another control process.
    Call(Ask, ReplyTo),
    /// A message of another member, and the address under which the sender is reached.
    Raft(Message, Option<String>),
    /// The group's answer to a command of the reserve.
    ReserveAnswered(Box<Command>, Result<Answer, Code>),
    /// A watch response of another control process.
    PeerUpdate(SocketAddr, Box<WatchResponse>),
}

impl Input {
    fn work(&self) -> Work {
        match self {
            Input::Raft(..) => Work::Raft,
            Input::Call(Ask::Watch(_), _) => Work::Watch,
            Input::PeerUpdate(..) => Work::PeerUpdate,
            Input::Call(..) | Input::ReserveAnswered(..) => Work::Call,
        }
    }
}

/// The state and channels of a control process that serves the fleet over HTTP.
pub struct FleetContext {
    /// The replicas, routers and reports known to this process.
    pub view: FleetView<ReplyTo>,
    /// Receives the calls that arrive over HTTP.
    pub calls: mpsc::Receiver<LocalCall>,
    /// Ends the serving of HTTP calls at a planned stop.
    pub drain: Option<Drain>,
    /// Publishes this process's membership in the group.
    pub group_status: watch::Sender<GroupStatus>,
    /// Receives the members that the leader reports while this process rejoins its group.
    pub rejoin_members: mpsc::Receiver<Members>,
    /// Addresses of control processes from the settings.
    pub seeds: Vec<SocketAddr>,
    /// The data centre of this process.
    pub data_centre: String,
    /// The regions that the data centres belong to.
    pub regions: Regions,
    /// How long callers may cache an entry answer.
    pub entry_keep: Millis,
    /// Target number of voters in the group.
    pub voters: usize,
    /// Maximum share of a service's requests that a bad version may get, in permille.
    pub rollout_share_permille: u64,
}

/// Delay before a failed disk is tried again.
const DISK_RETRY_DELAY: Millis = Millis(500);

/// A running control process.
pub struct Server {
    member: GroupMember<Disk, ReplyTo>,
    clock: Clock,
    credentials: Credentials,
    /// Address on which other control processes reach this one.
    address: String,
    peers: BTreeMap<NodeId, Peer>,
    reserve: Option<Reserve<ReplyTo>>,
    group: GroupClient,
    /// Number of commands of the reserve that the group has not answered yet.
    pending_reserve_commands: usize,
    next_reserve_command: Time,
    /// Addresses received with messages, for senders that are not members yet.
    sender_addresses: BTreeMap<NodeId, String>,
    fleet: Option<FleetContext>,
    /// Position in the feed of each other control process.
    feeds: Rc<RefCell<BTreeMap<SocketAddr, FeedCursor>>>,
    /// The control processes that have recently answered.
    heard: Rc<RefCell<HeardControls>>,
    /// The control processes that are watched.
    watched: Rc<RefCell<BTreeSet<SocketAddr>>>,
    next_watch: Time,
    leaderless: LeaderlessTimer,
    contacts: Contacts,
    clocks: Clocks,
    /// When a failed disk is tried again.
    disk_retry_at: Option<Time>,
    /// The encoded query for limits.
    limits_query: Vec<u8>,
    /// Log index of the last departure of a replica that was applied to the fleet view.
    applied_departure: Index,
    loop_stats: LoopStats,
}

/// The sending side of the link to another control process.
struct Peer {
    address: String,
    tx: mpsc::Sender<Message>,
}

impl Server {
    /// Creates the server of a member. A process without `fleet` serves no HTTP calls.
    pub fn new(
        member: GroupMember<Disk, ReplyTo>,
        clock: Clock,
        credentials: Credentials,
        advertise: SocketAddr,
        reserve: Option<Reserve<ReplyTo>>,
        group: GroupClient,
        fleet: Option<FleetContext>,
    ) -> Server {
        let boot = fleet.as_ref().map_or(0, |f| f.view.boot());
        Server {
            member,
            clock,
            credentials,
            address: advertise.to_string(),
            peers: BTreeMap::new(),
            reserve,
            group,
            pending_reserve_commands: 0,
            next_reserve_command: Time(0),
            sender_addresses: BTreeMap::new(),
            fleet,
            feeds: Rc::default(),
            heard: Rc::new(RefCell::new(HeardControls::new(boot))),
            watched: Rc::default(),
            next_watch: Time(0),
            leaderless: LeaderlessTimer::default(),
            contacts: Contacts::default(),
            clocks: Clocks::default(),
            disk_retry_at: None,
            limits_query: body::pack(&Query::Limits),
            applied_departure: 0,
            loop_stats: LoopStats::new(),
        }
    }

    /// Serves until a stop signal arrives, then transfers the leadership and answers the calls under way. Returns an
    /// error if the member cannot continue.
    pub async fn run(
        mut self,
        listener: TcpListener,
        mut stop: StopSignals,
    ) -> Result<(), Failure> {
        let (tx, mut rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        actix_rt::spawn(accept_links(listener, self.credentials.clone(), tx.clone()));
        let heartbeat = Duration::from_millis(self.member.settings.raft.heartbeat.0);
        let mut ticks = interval((heartbeat / 5).clamp(TICK_RANGE.0, TICK_RANGE.1));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let signal = tokio::select! {
            signal = stop.requested() => signal,
            failure = self.serve(&tx, &mut rx, &mut ticks) => return Err(failure),
        };
        let drain = self.fleet.as_mut().and_then(|f| f.drain.take());
        let answered = async {
            match drain {
                Some(drain) => drain.run(TRANSFER_TIMEOUT).await,
                None => sleep(TRANSFER_TIMEOUT).await,
            }
        };
        let stopped = async {
            self.member.transfer_leadership();
            self.finish()?;
            tokio::select! {
                () = answered => Ok(()),
                failure = self.serve(&tx, &mut rx, &mut ticks) => Err(failure),
            }
        };
        stop.run_stop(signal, stopped).await
    }

    /// Handles inputs, calls and ticks. Returns only if the member cannot continue.
    async fn serve(
        &mut self,
        tx: &mpsc::Sender<Input>,
        rx: &mut mpsc::Receiver<Input>,
        ticks: &mut Interval,
    ) -> Failure {
        loop {
            if let Err(failure) = self.serve_next(tx, rx, ticks).await {
                return failure;
            }
        }
    }

    /// Waits for an input, a call or a tick and handles it.
    async fn serve_next(
        &mut self,
        tx: &mpsc::Sender<Input>,
        rx: &mut mpsc::Receiver<Input>,
        ticks: &mut Interval,
    ) -> Result<(), Failure> {
        tokio::select! {
            Some(input) = rx.recv() => {
                self.loop_stats.start_iteration();
                self.handle_batch(input, rx);
            }
            Some(local) = next_call(&mut self.fleet) => {
                self.loop_stats.start_iteration();
                self.handle_http_calls(local);
                self.loop_stats.end_iteration();
                // Calls leave the replicated log unchanged; watch responses wait for a tick.
                return Ok(());
            }
            _ = ticks.tick() => {
                self.loop_stats.record_tick();
                self.loop_stats.start_iteration();
                self.retry_disk()?;
                self.member.tick(self.read_clocks());
                self.update_metrics();
                self.send_reserve_commands(tx);
                self.tick_fleet(tx);
                self.loop_stats.record_work(Work::Tick);
            }
        }
        self.finish()?;
        self.loop_stats.end_iteration();
        Ok(())
    }

    /// Reads the monotonic clock, and the wall clock as agreed with the other control processes.
    fn read_clocks(&self) -> ClockReading {
        let now = self.clock.now();
        ClockReading { now, wall: self.clocks.agreed(now, unix_time()) }
    }

    fn handle_batch(&mut self, first: Input, rx: &mut mpsc::Receiver<Input>) {
        self.handle(first);
        for _ in 1..MAX_BATCH {
            let Ok(input) = rx.try_recv() else { break };
            self.handle(input);
        }
    }

    fn handle(&mut self, input: Input) {
        let at = self.read_clocks();
        let work = input.work();
        match input {
            Input::Call(Ask::Reserve(bytes), to) => match &mut self.reserve {
                Some(r) => r.handle_request(at.wall, &bytes, to),
                None => self.reply(to, Err(Code::ReserveNone)),
            },
            Input::ReserveAnswered(c, result) => {
                self.pending_reserve_commands -= 1;
                if let (Some(r), Ok(a)) = (&mut self.reserve, result) {
                    let was_registered = r.is_registered();
                    r.handle_answer(at.wall, &c, &a, self.member.state());
                    if !was_registered && r.is_registered() {
                        emit!(Event::ReserveRegistered);
                    }
                }
            }
            Input::Call(Ask::Query(bytes), to) if self.is_limits_query(&bytes) => {
                let reports = self.fleet.as_ref().map(|f| f.view.limits.active_reports(at.now));
                self.reply(to, Ok(body::pack(&Reply::Limits(reports.unwrap_or_default()))));
            }
            Input::Call(Ask::Watch(bytes), to) => self.handle_watch(at, &bytes, to),
            Input::Call(Ask::Announce(bytes), to) => {
                let result = self.handle_announce(at, &bytes);
                self.reply(to, result);
            }
            Input::PeerUpdate(from, response) => {
                self.clocks.record(at.now, from, Time(response.wall));
                response.controls.iter().for_each(|a| self.contacts.record(at.now, a));
                if let Some(lead) = &response.lead {
                    self.contacts.record_leader(at.now, lead);
                }
                if let Some(f) = &mut self.fleet {
                    f.view.apply_peer_update(at.now, *response);
                }
            }
            Input::Call(ask, to) => self.member.handle_request(at, ask, to),
            Input::Raft(m, reply_to) => {
                if let Some(a) = reply_to {
                    self.sender_addresses.insert(m.from, a);
                }
                self.member.step(at, m);
            }
        }
        self.loop_stats.record_work(work);
    }

    /// Returns whether a query is for limits, which this process answers from its own state because
    /// they are not replicated.
    fn is_limits_query(&self, query: &[u8]) -> bool {
        self.fleet.is_some() && query == self.limits_query
    }

    /// Updates the metrics of this member.
    fn update_metrics(&mut self) {
        let now = self.read_clocks().now;
        let raft = self.member.raft();
        self.leaderless.update(now, raft.leader().is_some());
        gauge!(metric::IS_LEADER).set(f64::from(u8::from(raft.is_leader())));
        gauge!(metric::TERM).set(raft.term() as f64);
        gauge!(metric::COMMITTED).set(raft.committed() as f64);
    }

    /// Sends the reserve's due commands to the group, once the previous ones are answered.
    fn send_reserve_commands(&mut self, tx: &mpsc::Sender<Input>) {
        let at = self.read_clocks();
        let Some(r) = &mut self.reserve else { return };
        if self.pending_reserve_commands > 0 || at.now < self.next_reserve_command {
            return;
        }
        self.next_reserve_command = at.now.after(RESERVE_INTERVAL);
        for c in r.commands_due(at.wall, self.member.state()) {
            self.pending_reserve_commands += 1;
            let (group, tx) = (self.group.clone(), tx.clone());
            actix_rt::spawn(async move {
                let answer = group.command(&c, RESERVE_TIMEOUT).await;
                // The send fails only if the server has stopped.
                let _ = tx.send(Input::ReserveAnswered(Box::new(c), answer)).await;
            });
        }
    }

    /// Syncs the reserve and answers the routers' requests to it.
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

    /// Answers what is due, and carries out the member's effects. Returns an error if it cannot continue.
    fn finish(&mut self) -> Result<(), Failure> {
        self.finish_reserve();
        self.answer_watches();
        self.loop_stats.record_work(Work::Answer);
        let at = self.read_clocks();
        let outputs = self.member.finish(at);
        self.apply_departures();
        self.loop_stats.record_work(Work::Log);
        for out in outputs {
            match out {
                Output::Reply(to, result) => self.reply(to, result),
                Output::Send(m) => self.send(m),
                // A full or failed disk may recover. Until then this process takes no part in the
                // group, but answers requests that need no disk.
                Output::Stop(Code::DiskFailed, _) => {
                    self.disk_retry_at = Some(at.now.after(DISK_RETRY_DELAY));
                }
                Output::Stop(code, why) => return Err((code, why)),
            }
        }
        self.loop_stats.record_work(Work::Answer);
        Ok(())
    }

    /// Restarts the member from a disk that has failed, if a retry is due.
    fn retry_disk(&mut self) -> Result<(), Failure> {
        let at = self.read_clocks();
        if self.disk_retry_at.is_none_or(|due| at.now < due) {
            return Ok(());
        }
        match self.member.restart(at, rand::random()) {
            Ok(()) => {
                self.disk_retry_at = None;
                emit!(Event::DiskRecovered);
            }
            Err(e @ (Error::Io(..) | Error::Poisoned)) => {
                self.disk_retry_at = Some(at.now.after(DISK_RETRY_DELAY));
                emit!(Event::DiskFailed, why = e);
            }
            Err(e) => return Err(disk_failure(e)),
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
        match to.tx.try_send(Frame::Answer(r)) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                counter!(metric::REPLIES_DROPPED).increment(1);
                emit!(Event::LinkSlow, why = "too many answers wait");
            }
            Err(TrySendError::Closed(_)) => emit!(Event::ReplyUnread, call = to.id),
        }
    }

    /// Returns the address of the group's leader. A process outside the group returns the one reported
    /// by other processes, so that it can redirect callers too.
    fn leader_address(&self) -> Option<String> {
        let reported = || self.contacts.leader(self.clock.now()).map(|l| l.address.clone());
        self.member.leader_address().or_else(reported)
    }

    fn send(&mut self, m: Message) {
        let known = self.member.raft().address(m.to);
        let address = known.or_else(|| self.sender_addresses.get(&m.to).map(String::as_str));
        let Some(address) = address.map(str::to_owned) else { return };
        let is_connected =
            self.peers.get(&m.to).is_some_and(|p| p.address == address && !p.tx.is_closed());
        if !is_connected {
            let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
            let own = self.address.clone();
            let (credentials, clock) = (self.credentials.clone(), self.clock);
            actix_rt::spawn(send_messages(address.clone(), own, credentials, clock, rx));
            self.peers.insert(m.to, Peer { address, tx });
        }
        // A message for a full queue is dropped: Raft tolerates message loss.
        let _ = self.peers[&m.to].tx.try_send(m);
    }
}
