//! Linearizable reads: a query is answered from the state machine after a quorum has confirmed the
//! leader.

use std::collections::BTreeMap;

use cypressfork_core::code::Code;
use cypressfork_core::fleet::fingerprint::Fingerprint;
use cypressfork_core::fleet::quarantine::Quarantined;
use cypressfork_core::fleet::rollout::Rollout;
use cypressfork_core::member::{Router, SUSPECT_AFTER};
use cypressfork_core::query::{
    NO_SITES, NodeStatus, QuarantineStatus, Query, Reply, RouterStatus, RouterUpdate, Site, Status,
    sites_digest,
};
use cypressfork_core::unit::{HolderId, Index, Millis, Time, Version};
use cypressfork_wire::body;

use crate::disk::Storage;
use crate::machine::{ClockReading, GroupMember};

/// Time after which a router's watch is answered even without changes.
const WATCH_TIMEOUT: Millis = Millis(1_000);

/// Interval at which pending watches are checked.
const POLL_INTERVAL: Millis = Millis(20);

/// Time for which watches are batched into one confirmed read. Each read costs a round trip to every
/// follower.
const READ_BATCH_DELAY: Millis = Millis(50);

/// A member without a response for this long is reported as not heard.
const RESPONSE_TIMEOUT: Millis = Millis(1_000);

/// Queries in progress; `T` identifies the caller to reply to.
pub struct Reads<T> {
    /// Number of reads started, which is also the token of the last one.
    last_token: u64,
    /// Watches that share the next confirmed read.
    batched: Vec<(Query, T)>,
    next_read: Time,
    /// Queries that wait for a quorum's confirmation, by read token.
    unconfirmed: BTreeMap<u64, Vec<(Query, T)>>,
    /// Confirmed queries that wait until the state machine has applied an index.
    confirmed: Vec<(Index, Query, T)>,
    /// Routers' watches that wait for changes.
    pending: Vec<PendingWatch<T>>,
    next_poll: Time,
}

/// A router's watch that has not been answered yet.
struct PendingWatch<T> {
    follow: Follow,
    deadline: Time,
    to: T,
}

/// The registered routers at one moment.
struct Sites {
    sites: Vec<Site>,
    digest: u64,
    /// The holder ids of all routers, in ascending order.
    holders: Vec<HolderId>,
}

impl Sites {
    /// Returns whether a watch names this list, or wants none.
    fn are_known_to(&self, q: &Follow) -> bool {
        q.sites == self.digest || q.sites == NO_SITES
    }

    fn is_registered(&self, holder: HolderId) -> bool {
        self.holders.binary_search(&holder).is_ok()
    }
}

/// The fields of a [`Query::Follow`].
#[derive(Clone, Copy)]
struct Follow {
    holder: HolderId,
    version: Version,
    sites: u64,
}

impl<T> Default for Reads<T> {
    fn default() -> Reads<T> {
        Reads {
            last_token: 0,
            batched: Vec::new(),
            next_read: Time(0),
            unconfirmed: BTreeMap::new(),
            confirmed: Vec::new(),
            pending: Vec::new(),
            next_poll: Time(0),
        }
    }
}

impl<S: Storage, T> GroupMember<S, T> {
    /// Starts a confirmed read for a query, or adds a router's watch to the next batch.
    pub(crate) fn query(&mut self, q: Query, from: T) {
        if matches!(q, Query::Follow { .. }) && self.raft.is_leader() {
            self.reads.batched.push((q, from));
            return;
        }
        self.start_read(vec![(q, from)]);
    }

    /// Starts one confirmed read for the batched watches, if it is due.
    pub(crate) fn tick_reads(&mut self, at: ClockReading) {
        if self.reads.batched.is_empty() || at.now < self.reads.next_read {
            return;
        }
        self.reads.next_read = at.now.after(READ_BATCH_DELAY);
        let batch = std::mem::take(&mut self.reads.batched);
        self.start_read(batch);
    }

    /// Starts one confirmed read for several queries.
    fn start_read(&mut self, queries: Vec<(Query, T)>) {
        self.reads.last_token += 1;
        let token = self.reads.last_token;
        match self.raft.read(token) {
            Ok(()) => {
                self.reads.unconfirmed.insert(token, queries);
            }
            Err(code) => queries.into_iter().for_each(|(_, to)| self.reply(to, Err(code))),
        }
    }

    /// Handles the confirmation of a read: its queries are answered once `index` is applied.
    pub(crate) fn confirm_read(&mut self, at: ClockReading, token: u64, index: Index) {
        if let Some(queries) = self.reads.unconfirmed.remove(&token) {
            let confirmed = queries.into_iter().map(|(q, to)| (index, q, to));
            self.reads.confirmed.extend(confirmed);
            self.answer_reads(at);
        }
    }

    /// Refuses the queries of a read that was not confirmed.
    pub(crate) fn reject_read(&mut self, token: u64) {
        for (_, to) in self.reads.unconfirmed.remove(&token).unwrap_or_default() {
            self.reply(to, Err(Code::NotLeader));
        }
    }

    /// Refuses all queries in progress.
    pub(crate) fn fail_reads(&mut self) {
        let reads = std::mem::take(&mut self.reads);
        self.reads.last_token = reads.last_token;
        let unconfirmed = reads.unconfirmed.into_values().flatten().chain(reads.batched);
        let unconfirmed = unconfirmed.map(|(_, to)| to);
        let confirmed = reads.confirmed.into_iter().map(|(_, _, to)| to);
        let pending = reads.pending.into_iter().map(|w| w.to);
        for to in unconfirmed.chain(confirmed).chain(pending) {
            self.reply(to, Err(Code::NotLeader));
        }
    }

    /// Answers the confirmed queries whose index is applied.
    pub(crate) fn answer_reads(&mut self, at: ClockReading) {
        let applied = self.applied;
        let (due, rest) =
            std::mem::take(&mut self.reads.confirmed).into_iter().partition(|r| r.0 <= applied);
        self.reads.confirmed = rest;
        let due: Vec<(Index, Query, T)> = due;
        for (_, q, to) in due {
            self.answer(at, q, to);
        }
    }

    fn answer(&mut self, at: ClockReading, q: Query, to: T) {
        let reply = match q {
            Query::Follow { holder, version, sites } => {
                self.heartbeats.record(at.now, holder, version);
                let follow = Follow { holder, version, sites };
                let deadline = at.now.after(WATCH_TIMEOUT);
                self.reads.pending.push(PendingWatch { follow, deadline, to });
                return self.answer_watches(at);
            }
            Query::Status => Reply::Status(self.status(at)),
            Query::Budgets(only) => Reply::Budgets(self.state.budgets(at.wall, only.as_deref())),
            Query::Leases(budget) => Reply::Leases(self.state.leases(at.wall, &budget)),
            Query::Bill(id) => Reply::Bill(self.state.bills().get(&id).copied()),
            Query::Config => Reply::Config {
                version: self.state.config().version(),
                templates: self.state.config().templates().values().cloned().collect(),
                applications: self.state.config().applications().values().cloned().collect(),
            },
            Query::History(limit) => Reply::History(
                self.state.config().history().iter().rev().take(limit).cloned().collect(),
            ),
            Query::Published => {
                let (version, source) = self.state.published();
                Reply::Published((version > 0).then(|| source.to_string()))
            }
            Query::Members => Reply::Members(self.raft.committed_members().clone()),
            Query::Quarantined => Reply::Quarantined(self.quarantined(at)),
            // The server of a process with fleet settings answers this query itself.
            Query::Limits => Reply::Limits(Vec::new()),
            Query::Rollouts(service) => Reply::Rollouts(self.rollouts(service.as_deref())),
            Query::BackTo(version) => Reply::Items(
                self.state.config().version(),
                self.state.config().rollback_items(version),
            ),
        };
        self.reply(to, Ok(body::pack(&reply)));
    }

    /// Answers the pending watches with changes or with an expired deadline, if a check is due.
    pub(crate) fn answer_watches(&mut self, at: ClockReading) {
        if self.reads.pending.is_empty() || at.now < self.reads.next_poll {
            return;
        }
        self.reads.next_poll = at.now.after(POLL_INTERVAL);
        let needs_sites = self.reads.pending.iter().any(|w| w.follow.sites != NO_SITES);
        let sites = if needs_sites { self.sites(at) } else { Vec::new() };
        let mut holders: Vec<_> = self.state.routers().iter().map(|r| r.holder).collect();
        holders.sort_unstable();
        let sites = Sites { digest: sites_digest(&sites), sites, holders };
        let mut pending = std::mem::take(&mut self.reads.pending);
        let due: Vec<_> = pending
            .extract_if(.., |w| at.now >= w.deadline || self.has_changes(at, &w.follow, &sites))
            .collect();
        self.reads.pending = pending;
        for w in due {
            let update = self.router_update(at, &w.follow, &sites);
            self.heartbeats.record(at.now, w.follow.holder, w.follow.version);
            self.reply(w.to, Ok(body::pack(&Reply::News(update))));
        }
    }

    /// Returns whether there is anything new for a router.
    fn has_changes(&self, at: ClockReading, q: &Follow, sites: &Sites) -> bool {
        self.state.config().version() > q.version
            || !sites.are_known_to(q)
            || self.state.ledger().recalls(at.wall, q.holder).next().is_some()
            || !sites.is_registered(q.holder)
    }

    fn router_update(&self, at: ClockReading, q: &Follow, sites: &Sites) -> RouterUpdate {
        let recalls = self.state.ledger().recalls(at.wall, q.holder);
        RouterUpdate {
            difference: self.state.config().difference(q.version),
            recalls: recalls.map(str::to_owned).collect(),
            sites: (!sites.are_known_to(q)).then(|| sites.sites.clone()),
            stranger: !sites.is_registered(q.holder),
        }
    }

    fn site(&self, at: ClockReading, r: &Router) -> Site {
        let heard = self.heartbeats.since_last(at.now, r.holder) < SUSPECT_AFTER;
        Site {
            vm: r.vm.clone(),
            data_centre: r.data_centre.clone(),
            address: r.address.clone(),
            usable: heard && !r.leaving,
        }
    }

    fn sites(&self, at: ClockReading) -> Vec<Site> {
        self.state.routers().iter().map(|r| self.site(at, r)).collect()
    }

    fn quarantined(&self, at: ClockReading) -> Vec<QuarantineStatus> {
        let status = |(f, q): (&Fingerprint, &Quarantined)| QuarantineStatus {
            fingerprint: *f,
            subject: q.subject.clone(),
            account: q.account.clone(),
            replicas: q.strikes,
            since_ms: at.wall.since(q.since).0,
            left_ms: q.until.since(at.wall).0,
            terms: q.terms,
        };
        self.state.quarantine().iter().map(status).collect()
    }

    fn rollouts(&self, only: Option<&str>) -> Vec<(String, Rollout)> {
        let all = self.state.rollouts().iter().filter(|(s, _)| only.is_none_or(|o| o == *s));
        all.map(|(s, r)| (s.to_owned(), r.clone())).collect()
    }

    fn status(&self, at: ClockReading) -> Status {
        let nodes = self.nodes(at);
        let heard = nodes.iter().filter(|n| n.voter && n.heard).count();
        let up_to_date = nodes.iter().filter(|n| n.voter).all(|n| n.heard && n.behind == 0);
        let spare = heard.saturating_sub(self.raft.members().quorum());
        Status {
            region: self.region.clone(),
            term: self.raft.term(),
            committed: self.raft.committed(),
            version: self.state.config().version(),
            spare,
            safe: up_to_date && spare > 0,
            nodes,
            routers: self.state.routers().iter().map(|r| self.router(at, r)).collect(),
            evacuated: self.state.evacuations().data_centres.iter().cloned().collect(),
        }
    }

    fn nodes(&self, at: ClockReading) -> Vec<NodeStatus> {
        let members = self.raft.members();
        let me = self.raft.id();
        let last = self.raft.log().last_index();
        let followers: BTreeMap<_, _> = self.raft.followers().collect();
        let node = |id: u64| {
            let p = followers.get(&id);
            NodeStatus {
                id,
                address: members.addresses.get(&id).cloned().unwrap_or_default(),
                voter: members.voters.contains(&id),
                leader: id == me,
                heard: id == me
                    || p.is_some_and(|p| at.now.since(p.last_response) < RESPONSE_TIMEOUT),
                behind: if id == me { 0 } else { last - p.map_or(0, |p| p.matched) },
            }
        };
        members.all().map(node).collect()
    }

    fn router(&self, at: ClockReading, r: &Router) -> RouterStatus {
        RouterStatus {
            site: self.site(at, r),
            holder: r.holder,
            version: self.heartbeats.get(r.holder).map(|s| s.version),
            silent_ms: self.heartbeats.since_last(at.now, r.holder).0,
            leaving: r.leaving,
        }
    }
}
