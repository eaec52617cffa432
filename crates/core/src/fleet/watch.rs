//! The watch (long poll) by which routers and control processes follow a control process, and its
//! response: changes of replicas, routers, control processes and the document in force.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use super::contacts::Leader;
use super::evacuation::Evacuations;
use super::limit::rate_limits::LimitReport;
use super::quarantine::QuarantineList;
use super::registry::{Heartbeat, Leaving, Record, RelayedHeartbeats};
use super::rollout::Rollouts;
use super::rollout::evidence::Report;
use super::router_directory::DataCentreRouters;
use super::transfer::{Part, PartRequest};
use crate::hash::Fnv;
use crate::unit::{Index, Millis, Time, Version};

/// The position up to which a watcher has followed one control process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedCursor {
    /// Random number that the control process draws at its start.
    pub boot: u64,
    /// Position in its feed of replica changes.
    pub position: u64,
    /// Position up to which it has sent replicas that announced to it directly that they leave.
    #[serde(default)]
    pub leaves: u64,
    /// Digest of the control process addresses that it sent last.
    #[serde(default)]
    pub controls: u64,
    /// Position up to which it has sent replicas' rate limits.
    #[serde(default)]
    pub limits: u64,
}

/// Returns the digest of a list of control process addresses, which must be the same in every
/// process and release.
pub fn controls_digest(controls: &[String]) -> u64 {
    controls.iter().fold(Fnv::new(), |h, a| h.add_part(a.as_bytes())).finish()
}

/// The addresses of a router and whether it accepts callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Name of the router's `Vm`.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address on which it accepts callers.
    pub address: String,
    /// Address on which it accepts other routers.
    pub link: String,
    /// Whether it has a document in force and is not shutting down.
    pub open: bool,
    /// Whether it is overloaded, so that callers should prefer other routers.
    #[serde(default)]
    pub busy: bool,
    /// Version of the document in force there, or 0 if there is none or it is not reported.
    #[serde(default)]
    pub version: Version,
}

/// A watch request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// The watching router, or `None` if the watcher is another control process.
    pub router: Option<RouterStatus>,
    /// Position up to which the watcher has followed this control process.
    pub feed: FeedCursor,
    /// Newest document version that the watcher has or that this process has reported to it, or 0.
    pub version: Version,
    /// Request for the next part of a newer document, to be answered at once.
    pub fetch: Option<PartRequest>,
    /// Digest of the router lists by data centre (`areas`) that the watcher has.
    #[serde(default)]
    pub areas: u64,
    /// Address on which the watcher accepts other control processes, if it is one.
    #[serde(default)]
    pub control: Option<String>,
    /// Revision of the evacuations that the watcher has.
    #[serde(default)]
    pub evacuations: Index,
    /// Whether to omit replica changes, because the watcher gets them from other control processes.
    #[serde(default)]
    pub without_replicas: bool,
    /// Revision of the quarantined requests that the watcher has.
    #[serde(default)]
    pub quarantine: Index,
    /// Revision of the rollouts that the watcher has.
    #[serde(default)]
    pub rollouts: Index,
    /// The router's reports on rollouts in progress.
    #[serde(default)]
    pub reports: Vec<Report>,
    /// Replicas' rate limits that the router has received.
    #[serde(default)]
    pub heard: Vec<LimitReport>,
    /// Digest of the router lists of data centres with few routers (`few`) that the watcher has.
    #[serde(default)]
    pub few: u64,
    /// Replicas that announced in responses to the router that they leave.
    #[serde(default)]
    pub leaving: Vec<Leaving>,
    /// The control processes that have recently answered the watcher, by their
    /// [`FeedCursor::boot`], if it is one; empty if it is a router. `None` if it is of an earlier release,
    /// which refuses responses with fields that it does not know.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hears: Option<Vec<u64>>,
    /// Request for a [`Confirmation`], if the watcher is a router that knows these. Not `None` only if `hears`
    /// is not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirm: Option<ConfirmRequest>,
}

/// A router's request to confirm that it has all replica records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmRequest {
    /// When the request was sent, by the router's clock.
    pub sent_at: Time,
    /// Whether to answer at once, even without changes.
    pub at_once: bool,
}

/// The confirmation of a control process that a router has all of its replica records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Time by the router's clock for which it holds. The time of receipt may be later by any delay.
    pub as_of: Time,
    /// Services of which replicas of several software versions have served within
    /// [`RESUME_WINDOW`](super::software::RESUME_WINDOW). A router that has started since cannot know all of
    /// them from the records, where a version may have replaced another one.
    pub several_versions: Vec<String>,
}

/// The response to a watch request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Position up to which the watcher has followed after this response.
    pub feed: FeedCursor,
    /// Replicas that are new or have changed, unless `packed` contains them.
    pub replicas: Vec<Record>,
    /// Version of the document in force.
    pub version: Version,
    /// Part of a newer document, if the watcher requested one.
    pub part: Option<Part>,
    /// Addresses of the control processes, or empty if the watcher already has them.
    pub controls: Vec<String>,
    /// Number of routers that this process has recently received a watch from.
    pub routers: u32,
    /// Addresses on which routers accept each other, limited in number.
    pub peers: Vec<String>,
    /// Wall-clock time of the control process, in milliseconds since 1970.
    pub wall: u64,
    /// Routers by data centre, if the watcher's list differs.
    #[serde(default)]
    pub areas: Option<Vec<DataCentreRouters>>,
    /// The group's leader, if this process knows one.
    #[serde(default)]
    pub lead: Option<Leader>,
    /// Data centre of this process, or empty if the watcher has followed it since its start.
    #[serde(default)]
    pub data_centre: String,
    /// The evacuated data centres, if the watcher has an older revision.
    #[serde(default)]
    pub evacuations: Option<Evacuations>,
    /// The quarantined requests, if the watcher has an older revision.
    #[serde(default)]
    pub quarantine: Option<QuarantineList>,
    /// The rollouts, if the watcher has an older revision.
    #[serde(default)]
    pub rollouts: Option<Rollouts>,
    /// Heartbeats of unchanged replicas that this process received, if the watcher is a control
    /// process; all that it knows of if the watcher does not say which processes it hears.
    #[serde(default)]
    pub beats: Vec<Heartbeat>,
    /// Compressed list of the records of replicas that are new or have changed, if they are many.
    #[serde(default)]
    pub packed: Option<ByteBuf>,
    /// Changed rate limits of replicas.
    #[serde(default)]
    pub limits: Vec<LimitReport>,
    /// Routers of data centres with few routers, if the watcher's list differs.
    #[serde(default)]
    pub few: Option<Vec<DataCentreRouters>>,
    /// Heartbeats of unchanged replicas that processes received which the watcher does not hear. Not `None`
    /// if `complete_for` follows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relayed: Option<Vec<RelayedHeartbeats>>,
    /// For how long this process has followed the fleet, if the watcher is a router that has all of its
    /// replica records with this response; `None` otherwise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub complete_for: Option<Millis>,
    /// The confirmation that the watcher requested; not `None` only if `complete_for` is not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmed: Option<Confirmation>,
}

/// Announcement of a control process that belongs to no group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// Id of the process.
    pub node: u64,
    /// Address on which it accepts other control processes.
    pub address: String,
}
