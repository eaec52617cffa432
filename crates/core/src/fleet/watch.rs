//! The standing question that routers and control processes put to each control process, and its
//! answer: what is new of replicas, routers, control processes and the document in force.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use super::contacts::Lead;
use super::evacuation::Evacuations;
use super::limit::known::Word;
use super::neighbours::Area;
use super::quarantine::Told;
use super::registry::{Beat, Leaving, Record};
use super::rollout::Rollouts;
use super::rollout::evidence::Report;
use super::transfer::{Part, Want};
use crate::hash::Fnv;
use crate::unit::{Index, Version};

/// How far a watcher has followed one control process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feed {
    /// Drawn at that process's start.
    pub boot: u64,
    /// Position in its feed.
    pub position: u64,
    /// Position up to which it has told of replicas that told it itself that they leave.
    #[serde(default)]
    pub leaves: u64,
    /// Digest of the addresses of control processes that it told of last.
    #[serde(default)]
    pub controls: u64,
    /// Position up to which it has told of replicas' limits.
    #[serde(default)]
    pub limits: u64,
}

/// The digest of addresses of control processes, the same in every process and release.
pub fn digest(controls: &[String]) -> u64 {
    controls.iter().fold(Fnv::new(), |h, a| h.part(a.as_bytes())).value()
}

/// Where a router serves, and whether it takes callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterSign {
    /// Name of its `Vm`.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address for callers.
    pub address: String,
    /// Address for other routers.
    pub link: String,
    /// It has a document in force and is not stopping.
    pub open: bool,
    /// It has more work than it can do well: callers are better off elsewhere.
    #[serde(default)]
    pub busy: bool,
}

/// The standing question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// The router that asks; `None`: another control process.
    pub router: Option<RouterSign>,
    /// What it has.
    pub feed: Feed,
    /// Version of the document that it has, or that this process has told it of; 0 for none.
    pub version: Version,
    /// The next part of a newer document is wanted of this process, at once.
    pub fetch: Option<Want>,
    /// Digest of the areas that the router knows.
    #[serde(default)]
    pub areas: u64,
    /// Where the asker listens for the others, if it is a control process.
    #[serde(default)]
    pub control: Option<String>,
    /// Revision of the evacuations that the asker knows.
    #[serde(default)]
    pub evacuations: Index,
    /// Others tell the asker of replicas.
    #[serde(default)]
    pub without_replicas: bool,
    /// Revision of the quarantined requests that the asker knows.
    #[serde(default)]
    pub quarantine: Index,
    /// Revision of the roll-outs that the asker knows.
    #[serde(default)]
    pub rollouts: Index,
    /// What the router has seen of roll-outs under way.
    #[serde(default)]
    pub reports: Vec<Report>,
    /// What the router has heard of replicas' limits.
    #[serde(default)]
    pub heard: Vec<Word>,
    /// Digest of the routers that the asker knows of data centres with few of them.
    #[serde(default)]
    pub few: u64,
    /// Replicas that said in answers to the router that they leave.
    #[serde(default)]
    pub leaving: Vec<Leaving>,
}

/// The answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// How far it brings the watcher.
    pub feed: Feed,
    /// Replicas that are new or have changed, where they are few.
    pub replicas: Vec<Record>,
    /// Version of the document in force.
    pub version: Version,
    /// A part of a newer document, if one was asked for.
    pub part: Option<Part>,
    /// Addresses of the group's control processes; empty if the asker was told of the same before.
    pub controls: Vec<String>,
    /// How many routers this process has heard of lately.
    pub routers: u32,
    /// Addresses of routers for each other, some of them where there are many.
    pub peers: Vec<String>,
    /// What its clock shows, in milliseconds since 1970.
    pub wall: u64,
    /// The areas, if the router knows others.
    #[serde(default)]
    pub areas: Option<Vec<Area>>,
    /// Who leads the group, as far as this process knows.
    #[serde(default)]
    pub lead: Option<Lead>,
    /// The data centre of the process that answers, if the asker has heard nothing of this start.
    #[serde(default)]
    pub data_centre: String,
    /// The data centres that get no new work, if the asker knows an older revision.
    #[serde(default)]
    pub evacuations: Option<Evacuations>,
    /// The quarantined requests, if the asker knows an older revision.
    #[serde(default)]
    pub quarantine: Option<Told>,
    /// The roll-outs, if the asker knows an older revision.
    #[serde(default)]
    pub rollouts: Option<Rollouts>,
    /// For another control process: heartbeats of replicas that have not changed.
    #[serde(default)]
    pub beats: Vec<Beat>,
    /// Many replicas that are new or have changed, compressed: a list of records.
    #[serde(default)]
    pub packed: Option<ByteBuf>,
    /// Limits of replicas that have changed.
    #[serde(default)]
    pub limits: Vec<Word>,
    /// The routers of data centres with few of them, if the asker knows others.
    #[serde(default)]
    pub few: Option<Vec<Area>>,
}

/// A control process that belongs to no group says that it is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// Its identity.
    pub node: u64,
    /// Where it listens for the others.
    pub address: String,
}
