//! The fleet side of a control process: HTTP calls, watch requests, and watches of the other control
//! processes.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use cypressfork_core::code::Code;
use cypressfork_core::fleet::departure::DEPARTURE_TTL;
use cypressfork_core::fleet::evacuation;
use cypressfork_core::fleet::heard::HeardControls;
use cypressfork_core::fleet::registry::{RecordSource, Registration, ReplicaStatus};
use cypressfork_core::fleet::router_directory::NOT_WANTED;
use cypressfork_core::fleet::watch::{Announce, FeedCursor, Watch, WatchResponse};
use cypressfork_core::raft::Members;
use cypressfork_core::unit::Millis;
use cypressfork_node::event::Event;
use cypressfork_node::time::{Clock, unix_time};
use cypressfork_node::watch::{Watcher, watch};
use cypressfork_node::{emit, metric};
use cypressfork_wire::body;
use metrics::counter;
use tokio::sync::mpsc;

use super::{FleetContext, Input, MAX_BATCH, ReplyTo, Server};
use crate::api::{Departing, LocalAnswer, LocalCall};
use crate::dialect::{Call, CallAnswer};
use crate::fleet_view::WatchedState;
use crate::machine::ClockReading;
use crate::turns::Work;

/// Interval between checks for control processes that are not watched yet.
const WATCH_INTERVAL: Millis = Millis(100);

/// Maximum number of routers in one entry answer.
const MAX_ENTRY_ADDRESSES: usize = 64;

impl Server {
    /// Records a watch request; [`Server::answer_watches`] answers it.
    pub(super) fn handle_watch(&mut self, at: ClockReading, bytes: &[u8], to: ReplyTo) {
        let request = body::unpack::<Watch>(bytes);
        match (&mut self.fleet, request) {
            (Some(f), Ok(w)) => {
                if let Some(address) = &w.control {
                    self.contacts.record(at.now, address);
                }
                f.view.watch(at.now, w, to);
            }
            _ => self.reply(to, Err(Code::MessageBad)),
        }
    }

    /// Records, on the leader, a process that seeks its group.
    pub(super) fn handle_announce(
        &mut self,
        at: ClockReading,
        bytes: &[u8],
    ) -> Result<Vec<u8>, Code> {
        let a = body::unpack::<Announce>(bytes).map_err(|_| Code::MessageBad)?;
        let f = self.fleet.as_mut().ok_or(Code::MessageBad)?;
        if !self.member.raft().is_leader() {
            return Err(Code::NotLeader);
        }
        f.view.announce(at.now, a);
        Ok(Vec::new())
    }

    /// Answers an HTTP call and those queued behind it.
    pub(super) fn handle_http_calls(&mut self, first: LocalCall) {
        self.handle_http_call(first);
        self.loop_stats.record_work(Work::Http);
        for _ in 1..MAX_BATCH {
            let Some(local) = self.fleet.as_mut().and_then(|f| f.calls.try_recv().ok()) else {
                break;
            };
            self.handle_http_call(local);
            self.loop_stats.record_work(Work::Http);
        }
    }

    /// Answers an HTTP call from this process's own state, or returns what the group has to commit first.
    pub(super) fn handle_http_call(&mut self, local: LocalCall) {
        let now = self.read_clocks().now;
        let has_leader = self.member.raft().leader().is_some();
        let Some(f) = &mut self.fleet else { return };
        let answer = match local.call {
            Call::Entry(data_centre) => {
                let addresses =
                    f.view.routers.addresses(now, &data_centre, &f.regions, MAX_ENTRY_ADDRESSES);
                match addresses.is_empty() {
                    true => no_entry(),
                    false => CallAnswer::Entry(addresses, f.entry_keep),
                }
            }
            Call::Heartbeat(r) if r.registration.validate().is_err() => {
                let why = r.registration.validate().err().unwrap_or_default();
                CallAnswer::Refused(Code::RegistrationBad, why)
            }
            // Acknowledged, because a document that names the service may follow soon.
            Call::Heartbeat(r)
                if !self.member.state().declares_service(&r.registration.service) =>
            {
                counter!(metric::UNKNOWN_SERVICES).increment(1);
                let Registration { id, service, .. } = &r.registration;
                emit!(Event::ServiceUnknown, replica = id, service = service);
                CallAnswer::Accepted
            }
            Call::Heartbeat(r) if r.standing < ReplicaStatus::Draining || has_leader => {
                let id = r.registration.id.clone();
                let (registration, standing) = (r.registration.clone(), r.standing);
                if f.view.registry.apply(now, r, RecordSource::Replica) {
                    emit!(Event::ReplicaChanged, replica = id);
                }
                let is_departure = standing >= ReplicaStatus::Draining;
                let departures = self.member.state().departures();
                if is_departure && !departures.has(&id, registration.born, standing) {
                    // The send fails only if the caller has gone.
                    let departing =
                        Departing { replica: id, registration: Some(registration), standing };
                    let _ = local.to.send(LocalAnswer::Commit(departing));
                    return;
                }
                CallAnswer::Accepted
            }
            Call::Leave(id) if has_leader => {
                if f.view.registry.mark_left(now, &id) {
                    emit!(Event::ReplicaChanged, replica = id);
                }
                let registration = f.view.registry.get(&id).map(|r| r.registration.clone());
                let departing =
                    Departing { replica: id, registration, standing: ReplicaStatus::Left };
                let _ = local.to.send(LocalAnswer::Commit(departing));
                return;
            }
            // Without a leader this process may be cut off and unable to inform all routers.
            _ => CallAnswer::Refused(Code::NoQuorum, "this process knows no leader".to_owned()),
        };
        let _ = local.to.send(LocalAnswer::Done(answer));
    }

    /// Applies the departures of replicas that the group has committed since the last call.
    pub(super) fn apply_departures(&mut self) {
        let at = self.read_clocks();
        let Some(f) = &mut self.fleet else { return };
        for (index, d) in self.member.state().departures().since(self.applied_departure) {
            // After a restart, the state may hold expired ones, whose replicas may have returned.
            let is_recent = at.wall.since(d.at) <= DEPARTURE_TTL;
            if is_recent && f.view.registry.apply_departure(at.now, d) {
                emit!(Event::ReplicaChanged, replica = d.replica, by = "group");
            }
            self.applied_departure = index;
        }
    }

    /// Runs the periodic work of the fleet side: expires old records, watches the other control
    /// processes and, on the leader, repairs the group, writes off dead holders and steps rollouts.
    pub(super) fn tick_fleet(&mut self, tx: &mpsc::Sender<Input>) {
        let at = self.read_clocks();
        let Some(f) = &mut self.fleet else { return };
        f.view.tick(at.now);
        while let Ok(members) = f.rejoin_members.try_recv() {
            self.member.set_rejoin_members(at, members);
        }
        let status = self.member.group_status();
        f.group_status.send_if_modified(|s| std::mem::replace(s, status.clone()) != status);
        self.member.repair_group(at, &f.view.candidates, f.voters);
        let quorum = self.member.members().quorum();
        let margin = self.clocks.margin(at.now, unix_time(), quorum);
        self.member.write_off_dead_holders(at, margin);
        self.member.step_rollouts(at, &mut f.view, f.rollout_share_permille);
        if at.now >= self.next_watch {
            self.next_watch = at.now.after(WATCH_INTERVAL);
            self.watch_all(at, tx);
        }
    }

    /// Watches all other control processes that are known.
    pub(super) fn watch_all(&mut self, at: ClockReading, tx: &mpsc::Sender<Input>) {
        let Some(f) = &self.fleet else { return };
        self.contacts.tick(at.now);
        let members = raft_addresses(self.member.members());
        let reported = self.contacts.addresses().filter_map(|a| a.parse().ok());
        let all = members.into_iter().chain(f.seeds.iter().copied()).chain(reported);
        let all: BTreeSet<_> = all.filter(|a| a.to_string() != self.address).collect();
        self.group.add_addresses(all.iter().copied());
        let lead = self.member.known_leader().or_else(|| self.contacts.leader(at.now).cloned());
        if let Some(lead) = &lead
            && let Ok(leader) = lead.address.parse()
        {
            self.group.set_leader(lead.term, leader);
        }
        let before = self.watched.replace(all.clone());
        for address in all.into_iter().filter(|a| !before.contains(a)) {
            let peer = PeerWatch {
                feeds: self.feeds.clone(),
                heard: self.heard.clone(),
                clock: self.clock,
                watched: self.watched.clone(),
                tx: tx.clone(),
                own_address: self.address.clone(),
                names_heard: Cell::new(true),
                answered: Cell::new(false),
            };
            actix_rt::spawn(watch(address, self.credentials.clone(), peer));
        }
    }

    /// Answers the watch requests that are due.
    pub(super) fn answer_watches(&mut self) {
        let now = self.read_clocks().now;
        let Some(f) = self.fleet.as_mut().filter(|f| f.view.is_poll_due(now)) else { return };
        let (version, source) = self.member.state().published();
        let controls = self.member.members().addresses.values().cloned().collect();
        let registered = self.member.state().routers();
        let lead = self.member.known_leader();
        let evacuations = self.member.state().evacuations();
        let quarantine = self.member.state().quarantine();
        let rollouts = self.member.state().rollouts();
        let state = WatchedState {
            version,
            source,
            controls,
            wall: unix_time(),
            registered,
            lead,
            data_centre: &f.data_centre,
            evacuations,
            quarantine,
            rollouts,
            since_founding: self.member.has_founded(),
        };
        let responses = f.view.due_responses(now, &state);
        for (to, response) in responses {
            self.reply(to, Ok(body::pack(&response)));
        }
    }
}

/// Returns the next HTTP call; pends forever if this process serves none.
pub(super) async fn next_call(f: &mut Option<FleetContext>) -> Option<LocalCall> {
    match f {
        Some(f) => f.calls.recv().await,
        None => std::future::pending().await,
    }
}

fn no_entry() -> CallAnswer {
    CallAnswer::Refused(Code::NotReady, "no router has been heard of yet".to_owned())
}

fn raft_addresses(m: &Members) -> Vec<SocketAddr> {
    m.addresses.values().filter_map(|a| a.parse().ok()).collect()
}

/// Watches another control process.
struct PeerWatch {
    feeds: Rc<RefCell<BTreeMap<SocketAddr, FeedCursor>>>,
    heard: Rc<RefCell<HeardControls>>,
    clock: Clock,
    /// The processes to keep watching.
    watched: Rc<RefCell<BTreeSet<SocketAddr>>>,
    tx: mpsc::Sender<Input>,
    /// Address on which this process listens for the others.
    own_address: String,
    /// Whether requests name the processes that this one hears. A process of an earlier release refuses
    /// such requests.
    names_heard: Cell<bool>,
    /// Whether a response has arrived on the current link.
    answered: Cell<bool>,
}

impl Watcher for PeerWatch {
    fn next_request(&self, to: SocketAddr) -> Option<Watch> {
        let feed = self.feeds.borrow().get(&to).copied().unwrap_or_default();
        let is_watched = !self.tx.is_closed() && self.watched.borrow().contains(&to);
        is_watched.then(|| Watch {
            router: None,
            feed,
            version: 0,
            fetch: None,
            areas: NOT_WANTED,
            control: Some(self.own_address.clone()),
            evacuations: evacuation::NOT_WANTED,
            quarantine: evacuation::NOT_WANTED,
            rollouts: evacuation::NOT_WANTED,
            reports: Vec::new(),
            heard: Vec::new(),
            few: NOT_WANTED,
            leaving: Vec::new(),
            without_replicas: false,
            confirm: None,
            hears: self.names_heard.get().then(|| self.heard.borrow().boots(self.clock.now())),
        })
    }

    fn handle_response(&self, from: SocketAddr, response: WatchResponse) {
        let feed = response.feed;
        self.answered.set(true);
        self.heard.borrow_mut().record(self.clock.now(), from, feed.boot);
        // If the queue is full, the next request asks for the same update again.
        if self.tx.try_send(Input::PeerUpdate(from, Box::new(response))).is_ok() {
            self.feeds.borrow_mut().insert(from, feed);
        }
    }

    fn handle_refusal(&self, _: SocketAddr) {
        self.names_heard.set(false);
    }

    fn handle_disconnect(&self, from: SocketAddr) {
        if self.answered.replace(false) {
            self.names_heard.set(true);
        }
        emit!(Event::LinkClosed, peer = from);
    }

    async fn poll_requested(&self) {
        std::future::pending().await
    }
}
