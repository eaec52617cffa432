//! The control process's settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use cypressfork_core::raft::Settings as RaftSettings;
use cypressfork_core::unit::Millis;
use cypressfork_node::settings::{
    Base, Common, Error, Quantity, Raw, address, folder, quantity, range,
};
use serde::{Deserialize, Serialize};

use crate::machine;

/// The settings file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// What every process has.
    pub common: Common,
    /// Where routers, operators and the other replicas connect.
    pub listen: String,
    /// The address at which they reach it, if it is another: behind a translation of addresses.
    #[serde(default)]
    pub advertise: Option<String>,
    /// The data folder.
    pub data_folder: String,
    /// Where health and metrics are served; nowhere by default.
    #[serde(default)]
    pub metrics: Option<String>,
    /// Keeps the reserve of its data centre; at most one process in each should.
    #[serde(default = "reserve_default")]
    pub reserve: bool,
    /// Milliseconds between a leader's heartbeats.
    #[serde(default = "heartbeat_default")]
    pub heartbeat_ms: u64,
    /// Milliseconds of silence after which a follower stands for election.
    #[serde(default = "election_default")]
    pub election_ms: u64,
    /// Log entries between snapshots.
    #[serde(default = "snapshot_default")]
    pub snapshot_every: u64,
    /// The fleet's side; without it the process serves nothing over HTTP.
    #[serde(default)]
    pub fleet: Option<FleetFile>,
}

/// The settings of the fleet's side.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Where operators and replicas call.
    pub listen: String,
    /// Where callers ask which router to use.
    pub entry: String,
    /// Milliseconds for which they may keep the answer.
    #[serde(default = "entry_keep_default")]
    pub entry_keep_ms: u64,
    /// Milliseconds between a replica's heartbeats.
    #[serde(default)]
    pub replica_heartbeat_ms: Quantity,
    /// The whole system starts for the first time: the seeds found the group.
    #[serde(default)]
    pub found: Option<bool>,
    /// Voters that the group should have.
    #[serde(default = "voters_default")]
    pub voters: u64,
    /// The data centres that may be evacuated; any, if none is given.
    #[serde(default)]
    pub data_centres: Vec<String>,
    /// The part of a service's requests that a version on roll-out may get if it turns out bad.
    #[serde(default)]
    pub rollout_share: Quantity,
}

fn entry_keep_default() -> u64 {
    2_000
}

/// Milliseconds between a replica's heartbeats where the file gives none.
const REPLICA_HEARTBEAT: f64 = 1_000.0;

fn voters_default() -> u64 {
    5
}

/// The part of a service's requests that a bad version may get where the file gives none.
const ROLLOUT_SHARE: f64 = 0.1;

/// The settings of the fleet's side, checked.
pub struct FleetSettings {
    /// Where operators and replicas call.
    pub listen: SocketAddr,
    /// Where callers ask which router to use.
    pub entry: SocketAddr,
    /// How long they may keep the answer.
    pub entry_keep: Millis,
    /// The span between a replica's heartbeats.
    pub replica_heartbeat: Millis,
    /// The seeds found the group.
    pub found: bool,
    /// Voters that the group should have.
    pub voters: usize,
    /// The data centres that may be evacuated; none: any.
    pub data_centres: Vec<String>,
    /// Thousandths of a service's requests that a version on roll-out may get if it turns out bad.
    pub rollout_allowed: u64,
}

impl FleetFile {
    fn check(self) -> Result<FleetSettings, Error> {
        let keep = range("fleet.entry_keep_ms", self.entry_keep_ms, 100, 600_000)?;
        let key = "fleet.replica_heartbeat_ms";
        let beat = quantity(key, self.replica_heartbeat_ms, REPLICA_HEARTBEAT, 10.0..=600_000.0)?;
        let share = quantity("fleet.rollout_share", self.rollout_share, ROLLOUT_SHARE, 0.0..=1.0)?;
        Ok(FleetSettings {
            listen: address("fleet.listen", &self.listen)?,
            entry: address("fleet.entry", &self.entry)?,
            entry_keep: Millis(keep),
            // Rounded up: a replica that speaks in time is not taken for silent.
            replica_heartbeat: Millis(beat.ceil() as u64),
            found: self.found.unwrap_or(false),
            voters: range("fleet.voters", self.voters, 1, 9)? as usize,
            data_centres: self.data_centres,
            // Rounded down: it is a bound.
            rollout_allowed: (share * 1_000.0) as u64,
        })
    }
}

fn reserve_default() -> bool {
    true
}

fn heartbeat_default() -> u64 {
    RaftSettings::default().heartbeat.0
}

fn election_default() -> u64 {
    RaftSettings::default().election.0
}

fn snapshot_default() -> u64 {
    8_192
}

/// The settings, checked.
pub struct Settings {
    /// What every process has.
    pub base: Base,
    /// Where to listen.
    pub listen: SocketAddr,
    /// Where others reach it.
    pub advertise: SocketAddr,
    /// The data folder.
    pub data_folder: PathBuf,
    /// Where health and metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Whether it keeps the reserve of its data centre.
    pub reserve: bool,
    /// Timing and sizes.
    pub machine: machine::Settings,
    /// The fleet's side.
    pub fleet: Option<FleetSettings>,
}

impl Raw for File {
    type Checked = Settings;

    fn check(self) -> Result<Settings, Error> {
        let heartbeat = range("heartbeat_ms", self.heartbeat_ms, 5, 10_000)?;
        let election = range("election_ms", self.election_ms, heartbeat * 3, 60_000)?;
        let raft = RaftSettings {
            heartbeat: Millis(heartbeat),
            election: Millis(election),
            ..RaftSettings::default()
        };
        let snapshot_every = range("snapshot_every", self.snapshot_every, 16, 10_000_000)?;
        Ok(Settings {
            base: self.common.check()?,
            advertise: address("advertise", self.advertise.as_ref().unwrap_or(&self.listen))?,
            listen: address("listen", &self.listen)?,
            data_folder: folder("data_folder", &self.data_folder)?,
            metrics: self.metrics.map(|a| address("metrics", &a)).transpose()?,
            reserve: self.reserve,
            machine: machine::Settings { raft, snapshot_every },
            fleet: self.fleet.map(FleetFile::check).transpose()?,
        })
    }
}
