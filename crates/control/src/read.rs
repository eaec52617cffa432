//! Queries: confirmed by a quorum, then answered from the state machine.

use std::collections::{BTreeMap, BTreeSet};

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
use crate::machine::{Machine, Moment};

/// How long a router's standing question waits for news.
const FOLLOW_SPAN: Millis = Millis(1_000);

/// How often standing questions are looked at.
const LOOK: Millis = Millis(20);

/// How long standing questions are gathered for one confirmed read. Each read takes a message to and
/// from every follower; 300 routers ask each second.
const GATHER: Millis = Millis(50);

/// A replica that has not answered for this long is shown as not heard.
const HEARD_WITHIN: Millis = Millis(1_000);

/// Queries on their way.
pub struct Reads<T> {
    tokens: u64,
    /// Standing questions that share the next read.
    gathered: Vec<(Query, T)>,
    next_read: Time,
    /// Waiting for a quorum's confirmation.
    unconfirmed: BTreeMap<u64, Vec<(Query, T)>>,
    /// Confirmed, waiting for a position to be applied.
    confirmed: Vec<(Index, Query, T)>,
    /// Routers' standing questions.
    standing: Vec<Standing<T>>,
    next_look: Time,
}

struct Standing<T> {
    question: Question,
    until: Time,
    to: T,
}

/// The routers at one moment.
struct FleetNow {
    sites: Vec<Site>,
    digest: u64,
    registered: BTreeSet<HolderId>,
}

/// A router's standing question.
#[derive(Clone, Copy)]
struct Question {
    holder: HolderId,
    version: Version,
    sites: u64,
}

impl<T> Default for Reads<T> {
    fn default() -> Reads<T> {
        Reads {
            tokens: 0,
            gathered: Vec::new(),
            next_read: Time(0),
            unconfirmed: BTreeMap::new(),
            confirmed: Vec::new(),
            standing: Vec::new(),
            next_look: Time(0),
        }
    }
}

impl<S: Storage, T> Machine<S, T> {
    pub(crate) fn ask(&mut self, q: Query, from: T) {
        if matches!(q, Query::Follow { .. }) && self.raft.is_leader() {
            self.reads.gathered.push((q, from));
            return;
        }
        self.read(vec![(q, from)]);
    }

    /// Has the standing questions that have gathered confirmed together, if that is due.
    pub(crate) fn tick_reads(&mut self, at: Moment) {
        if self.reads.gathered.is_empty() || at.now < self.reads.next_read {
            return;
        }
        self.reads.next_read = at.now.after(GATHER);
        let gathered = std::mem::take(&mut self.reads.gathered);
        self.read(gathered);
    }

    /// Asks for one confirmation of several questions.
    fn read(&mut self, questions: Vec<(Query, T)>) {
        self.reads.tokens += 1;
        let token = self.reads.tokens;
        match self.raft.read(token) {
            Ok(()) => {
                self.reads.unconfirmed.insert(token, questions);
            }
            Err(code) => questions.into_iter().for_each(|(_, to)| self.reply(to, Err(code))),
        }
    }

    pub(crate) fn read_ready(&mut self, at: Moment, token: u64, index: Index) {
        if let Some(questions) = self.reads.unconfirmed.remove(&token) {
            let confirmed = questions.into_iter().map(|(q, to)| (index, q, to));
            self.reads.confirmed.extend(confirmed);
            self.answer_reads(at);
        }
    }

    pub(crate) fn read_failed(&mut self, token: u64) {
        for (_, to) in self.reads.unconfirmed.remove(&token).unwrap_or_default() {
            self.reply(to, Err(Code::NotLeader));
        }
    }

    pub(crate) fn fail_reads(&mut self) {
        let reads = std::mem::take(&mut self.reads);
        self.reads.tokens = reads.tokens;
        let asked = reads.unconfirmed.into_values().flatten().chain(reads.gathered);
        let unconfirmed = asked.map(|(_, to)| to);
        let confirmed = reads.confirmed.into_iter().map(|(_, _, to)| to);
        let standing = reads.standing.into_iter().map(|s| s.to);
        for to in unconfirmed.chain(confirmed).chain(standing) {
            self.reply(to, Err(Code::NotLeader));
        }
    }

    pub(crate) fn answer_reads(&mut self, at: Moment) {
        let applied = self.applied;
        let (due, rest) =
            std::mem::take(&mut self.reads.confirmed).into_iter().partition(|r| r.0 <= applied);
        self.reads.confirmed = rest;
        let due: Vec<(Index, Query, T)> = due;
        for (_, q, to) in due {
            self.answer(at, q, to);
        }
    }

    fn answer(&mut self, at: Moment, q: Query, to: T) {
        let reply = match q {
            Query::Follow { holder, version, sites } => {
                self.heartbeats.record(at.now, holder, version);
                let question = Question { holder, version, sites };
                let until = at.now.after(FOLLOW_SPAN);
                self.reads.standing.push(Standing { question, until, to });
                return self.answer_followers(at);
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
            Query::History(most) => Reply::History(
                self.state.config().history().iter().rev().take(most).cloned().collect(),
            ),
            Query::Published => {
                let (version, source) = self.state.published();
                Reply::Published((version > 0).then(|| source.to_string()))
            }
            Query::Members => Reply::Members(self.raft.committed_members().clone()),
            Query::Quarantined => Reply::Quarantined(self.quarantined(at)),
            // A process that serves a fleet answers this one out of what it has heard.
            Query::Limits => Reply::Limits(Vec::new()),
            Query::Rollouts(service) => Reply::Rollouts(self.rollouts(service.as_deref())),
            Query::BackTo(version) => Reply::Items(
                self.state.config().version(),
                self.state.config().rollback_items(version),
            ),
        };
        self.reply(to, Ok(body::pack(&reply)));
    }

    /// Answers the standing questions for which there is news, or whose wait is over, if it is time
    /// to look.
    pub(crate) fn answer_followers(&mut self, at: Moment) {
        if self.reads.standing.is_empty() || at.now < self.reads.next_look {
            return;
        }
        self.reads.next_look = at.now.after(LOOK);
        let sites = self.reads.standing.iter().any(|s| s.question.sites != NO_SITES);
        let sites = if sites { self.sites(at) } else { Vec::new() };
        let fleet = FleetNow {
            digest: sites_digest(&sites),
            sites,
            registered: self.state.routers().iter().map(|r| r.holder).collect(),
        };
        let standing = std::mem::take(&mut self.reads.standing);
        for s in standing {
            let news = self.news(at, &s.question, &fleet);
            if at.now >= s.until || is_news(&news, &s.question) {
                self.heartbeats.record(at.now, s.question.holder, s.question.version);
                self.reply(s.to, Ok(body::pack(&Reply::News(news))));
            } else {
                self.reads.standing.push(s);
            }
        }
    }

    fn news(&self, at: Moment, q: &Question, fleet: &FleetNow) -> RouterUpdate {
        let recalls = self.state.ledger().recalls(at.wall, q.holder);
        let known = q.sites == fleet.digest || q.sites == NO_SITES;
        RouterUpdate {
            difference: self.state.config().difference(q.version),
            recalls: recalls.map(str::to_owned).collect(),
            sites: (!known).then(|| fleet.sites.clone()),
            stranger: !fleet.registered.contains(&q.holder),
        }
    }

    fn site(&self, at: Moment, r: &Router) -> Site {
        let heard = self.heartbeats.since_last(at.now, r.holder) < SUSPECT_AFTER;
        Site {
            vm: r.vm.clone(),
            data_centre: r.data_centre.clone(),
            address: r.address.clone(),
            usable: heard && !r.leaving,
        }
    }

    fn sites(&self, at: Moment) -> Vec<Site> {
        self.state.routers().iter().map(|r| self.site(at, r)).collect()
    }

    fn quarantined(&self, at: Moment) -> Vec<QuarantineStatus> {
        let status = |(f, q): (&Fingerprint, &Quarantined)| QuarantineStatus {
            fingerprint: *f,
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

    fn status(&self, at: Moment) -> Status {
        let nodes = self.nodes(at);
        let heard = nodes.iter().filter(|n| n.voter && n.heard).count();
        let whole = nodes.iter().filter(|n| n.voter).all(|n| n.heard && n.behind == 0);
        let spare = heard.saturating_sub(self.raft.members().quorum());
        Status {
            region: self.region.clone(),
            term: self.raft.term(),
            committed: self.raft.committed(),
            version: self.state.config().version(),
            spare,
            safe: whole && spare > 0,
            nodes,
            routers: self.state.routers().iter().map(|r| self.router(at, r)).collect(),
            evacuated: self.state.evacuations().data_centres.iter().cloned().collect(),
        }
    }

    fn nodes(&self, at: Moment) -> Vec<NodeStatus> {
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
                heard: id == me || p.is_some_and(|p| at.now.since(p.last_response) < HEARD_WITHIN),
                behind: if id == me { 0 } else { last - p.map_or(0, |p| p.matched) },
            }
        };
        members.all().map(node).collect()
    }

    fn router(&self, at: Moment, r: &Router) -> RouterStatus {
        RouterStatus {
            site: self.site(at, r),
            holder: r.holder,
            version: self.heartbeats.get(r.holder).map(|s| s.version),
            silent_ms: self.heartbeats.since_last(at.now, r.holder).0,
            leaving: r.leaving,
        }
    }
}

fn is_news(n: &RouterUpdate, q: &Question) -> bool {
    let changed = n.difference.version > q.version || n.sites.is_some();
    changed || !n.recalls.is_empty() || n.stranger
}
