//! Queries of a control group's state, answered by its leader after a linearizable read.

use serde::{Deserialize, Serialize};

use crate::bill::{BillTotals, PostedBill};
use crate::budget::Lease;
use crate::config::{Application, Difference, Entry, Item, Template};
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::limit::rate_limits::LimitReport;
use crate::fleet::quarantine::Subject;
use crate::fleet::rollout::Rollout;
use crate::hash::Fnv;
use crate::raft::Members;
use crate::unit::{HolderId, Index, LeaseId, NodeId, RequestId, Term, Tokens, Version};

/// A query of a control group's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Query {
    /// A router's watch (long poll). It is answered when something has changed for the router, or
    /// after a timeout, and is the router's heartbeat too.
    Follow {
        /// The router's registration.
        holder: HolderId,
        /// Version of the router's configuration.
        version: Version,
        /// [`sites_digest`] of the router's list of sites; [`NO_SITES`] if it does not want the list.
        sites: u64,
    },
    /// The state of the group and of its routers.
    Status,
    /// The budget of this name, or all budgets.
    Budgets(Option<String>),
    /// The leases of one budget.
    Leases(String),
    /// The stored bill of a request.
    Bill(RequestId),
    /// The configuration's templates and applications.
    Config,
    /// The accepted configuration changes, newest first, at most this many.
    History(usize),
    /// The items of a configuration change that restores a version.
    BackTo(Version),
    /// The published configuration document.
    Published,
    /// The members of the control group, for a process whose list may be out of date.
    Members,
    /// The quarantined requests.
    Quarantined,
    /// The last rollout of this service, or of each service.
    Rollouts(Option<String>),
    /// The rate limits of replicas that are known to the queried process.
    Limits,
}

/// The address and state of a router, for callers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Site {
    /// Name of the router's `Vm`.
    pub vm: String,
    /// The router's data centre.
    pub data_centre: String,
    /// Address for callers.
    pub address: String,
    /// Whether the router's heartbeats are recent and it is not stopping.
    pub usable: bool,
}

/// Value in place of a digest for a router that does not want the list of sites, which saves a
/// full list to every router whenever one of them fails. A list of 300 sites takes 17 kB.
pub const NO_SITES: u64 = u64::MAX;

/// Returns the digest of a list of sites, by which a router names the list it has. Stable across
/// releases.
pub fn sites_digest(sites: &[Site]) -> u64 {
    let add = |h: Fnv, s: &Site| {
        let h = h.add_part(s.vm.as_bytes()).add_part(s.data_centre.as_bytes());
        h.add_part(s.address.as_bytes()).add_byte(u8::from(s.usable))
    };
    sites.iter().fold(Fnv::new(), add).finish()
}

/// Changes for a router since its last watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterUpdate {
    /// Changes of the configuration since the router's version.
    pub difference: Difference,
    /// Names of the budgets of which the router has to return idle tokens.
    pub recalls: Vec<String>,
    /// The sites, if they differ from the router's list.
    pub sites: Option<Vec<Site>>,
    /// Whether the router's registration is unknown and it has to register again.
    pub stranger: bool,
}

/// The state of a router at the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Its address and state for callers.
    pub site: Site,
    /// Holder id of its registration.
    pub holder: HolderId,
    /// Version of its configuration; `None` before its first heartbeat.
    pub version: Option<Version>,
    /// Milliseconds since its last heartbeat.
    pub silent_ms: u64,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// The state of a member of the control group at the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Member id.
    pub id: NodeId,
    /// Its address.
    pub address: String,
    /// Whether it is a voter.
    pub voter: bool,
    /// Whether it is the leader.
    pub leader: bool,
    /// Whether it has answered within the last second.
    pub heard: bool,
    /// Number of log entries that it lacks.
    pub behind: Index,
}

/// The state of a control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The region.
    pub region: String,
    /// The leader's term.
    pub term: Term,
    /// Index of the last committed entry.
    pub committed: Index,
    /// Version of the current configuration.
    pub version: Version,
    /// Number of members that may still fail without loss of the quorum.
    pub spare: usize,
    /// Whether a member may be removed or replaced without risk.
    pub safe: bool,
    /// The members.
    pub nodes: Vec<NodeStatus>,
    /// The routers.
    pub routers: Vec<RouterStatus>,
    /// The evacuated data centres, which get no new work.
    #[serde(default)]
    pub evacuated: Vec<String>,
}

/// The state of a budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Budget name.
    pub name: String,
    /// The client account that pays.
    pub client_account: String,
    /// Prepaid tokens, including top-ups.
    pub funded: Tokens,
    /// Tokens reported as spent.
    pub spent: Tokens,
    /// Tokens leased and not reported as spent.
    pub held: Tokens,
    /// The part of `held` whose lease has expired without a report; it counts as spent.
    pub stranded: Tokens,
    /// Tokens neither spent nor held.
    pub free: Tokens,
    /// Totals of its bills.
    pub total: BillTotals,
}

/// The state of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Lease id.
    pub id: LeaseId,
    /// Name of the holder's `Vm`; `None` if its registration was replaced.
    pub vm: Option<String>,
    /// The lease.
    pub lease: Lease,
    /// Milliseconds until it expires; 0 if it has expired.
    pub left_ms: u64,
}

/// A quarantined request or part of prompts: no request with it is sent to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// Fingerprint that all copies of the request share, or that of the part.
    pub fingerprint: Fingerprint,
    /// Whether this is a request or a part of prompts.
    pub subject: Subject,
    /// Client account; empty if there is none.
    pub account: String,
    /// Number of replicas that ended while running it.
    pub replicas: usize,
    /// Milliseconds since the quarantine began.
    pub since_ms: u64,
    /// Milliseconds until the quarantine expires.
    pub left_ms: u64,
    /// Number of times that the request has been quarantined.
    pub terms: u32,
}

/// The answer to a [`Query`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Query::Follow`].
    News(RouterUpdate),
    /// To [`Query::Status`].
    Status(Status),
    /// To [`Query::Budgets`].
    Budgets(Vec<BudgetStatus>),
    /// To [`Query::Leases`].
    Leases(Vec<LeaseStatus>),
    /// To [`Query::Bill`].
    Bill(Option<PostedBill>),
    /// To [`Query::Config`].
    Config {
        /// The current version.
        version: Version,
        /// The templates.
        templates: Vec<Template>,
        /// The applications.
        applications: Vec<Application>,
    },
    /// To [`Query::History`].
    History(Vec<Entry>),
    /// To [`Query::BackTo`], with the current version; `None` if the history does not reach back
    /// that far.
    Items(Version, Option<Vec<Item>>),
    /// To [`Query::Published`]: the document as submitted, if one is published.
    Published(Option<String>),
    /// To [`Query::Members`].
    Members(Members),
    /// To [`Query::Quarantined`].
    Quarantined(Vec<QuarantineStatus>),
    /// To [`Query::Rollouts`], by service.
    Rollouts(Vec<(String, Rollout)>),
    /// To [`Query::Limits`].
    Limits(Vec<LimitReport>),
}

/// A control process's own view of its id and group, not confirmed by a quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The member id in its data folder.
    pub node: NodeId,
    /// The members as it knows them; empty if it has not joined a group.
    pub members: Members,
}
