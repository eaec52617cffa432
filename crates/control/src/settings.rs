//! The control process's settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use cypressfork_core::raft::Settings as RaftSettings;
use cypressfork_core::unit::Millis;
use cypressfork_node::settings::{
    CheckedCommon, ClientBounds, Common, Error, Quantity, RawSettings, check_quantity, check_range,
    existing_folder, parse_address,
};
use serde::{Deserialize, Serialize};

use crate::listener::Listener;
use crate::machine;

/// The settings file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Settings that every process has.
    pub common: Common,
    /// Listening address for routers, operators and the other members.
    pub listen: String,
    /// Address under which they reach this process, if it differs, such as behind NAT.
    #[serde(default)]
    pub advertise: Option<String>,
    /// Path of the data folder.
    pub data_folder: String,
    /// Listening address for health and metrics; none by default.
    #[serde(default)]
    pub metrics: Option<String>,
    /// Memory that the process may use, in MiB. Determines how much of it calls over HTTP may use.
    #[serde(default)]
    pub memory_mb: Quantity,
    /// Files that the process may have open; the limit of the system by default. Determines the number of connections
    /// over HTTP.
    #[serde(default)]
    pub max_files: Quantity,
    /// Whether to keep the reserve of the data centre; at most one process in each should.
    #[serde(default = "reserve_default")]
    pub reserve: bool,
    /// Milliseconds between a leader's heartbeats.
    #[serde(default = "heartbeat_default")]
    pub heartbeat_ms: u64,
    /// Milliseconds without a heartbeat after which a follower starts an election.
    #[serde(default = "election_default")]
    pub election_ms: u64,
    /// Log entries between snapshots.
    #[serde(default = "snapshot_default")]
    pub snapshot_every: u64,
    /// Fleet settings; without them the process serves no HTTP API.
    #[serde(default)]
    pub fleet: Option<FleetFile>,
}

/// The fleet settings, as in the file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Listening address of the HTTP API for operators and replicas.
    pub listen: String,
    /// Listening address at which callers request router addresses.
    pub entry: String,
    /// Whether `listen` and `entry` are one address, where callers can make the calls of operators and replicas.
    #[serde(default)]
    pub shared_address: bool,
    /// Milliseconds for which callers may cache router addresses.
    #[serde(default = "entry_keep_default")]
    pub entry_keep_ms: u64,
    /// Milliseconds between a replica's heartbeats.
    #[serde(default)]
    pub replica_heartbeat_ms: Quantity,
    /// Whether the seeds found the group: set for the first start of the whole system.
    #[serde(default)]
    pub found: Option<bool>,
    /// Target number of voters.
    #[serde(default = "voters_default")]
    pub voters: u64,
    /// Data centres that may be evacuated; any if the list is empty.
    #[serde(default)]
    pub data_centres: Vec<String>,
    /// Maximum fraction of a service's requests that a bad version may get during a rollout.
    #[serde(default)]
    pub rollout_share: Quantity,
}

fn entry_keep_default() -> u64 {
    2_000
}

/// Default of `replica_heartbeat_ms`.
const DEFAULT_REPLICA_HEARTBEAT_MS: f64 = 1_000.0;

fn voters_default() -> u64 {
    5
}

/// Default of `rollout_share`.
const DEFAULT_ROLLOUT_SHARE: f64 = 0.1;

/// The validated fleet settings.
pub struct FleetSettings {
    /// Listening address of the HTTP API for operators and replicas.
    pub listen: SocketAddr,
    /// Listening address at which callers request router addresses; may be the same.
    pub entry: SocketAddr,
    /// Time for which callers may cache router addresses.
    pub entry_keep: Millis,
    /// Interval between a replica's heartbeats.
    pub replica_heartbeat: Millis,
    /// Whether the seeds found the group.
    pub found: bool,
    /// Target number of voters.
    pub voters: usize,
    /// Data centres that may be evacuated; any if the list is empty.
    pub data_centres: Vec<String>,
    /// Maximum share of a service's requests, in permille, that a bad version may get during a
    /// rollout.
    pub rollout_share_permille: u64,
}

impl FleetSettings {
    /// Returns the address of each listener of the HTTP API.
    pub fn listeners(&self) -> Vec<(SocketAddr, Listener)> {
        match self.listen == self.entry {
            true => vec![(self.listen, Listener::Shared)],
            false => vec![(self.listen, Listener::Control), (self.entry, Listener::Directory)],
        }
    }
}

impl FleetFile {
    /// Returns the listening addresses for operators and replicas, and for callers.
    fn check_addresses(&self) -> Result<(SocketAddr, SocketAddr), Error> {
        let listen = parse_address("fleet.listen", &self.listen)?;
        let entry = parse_address("fleet.entry", &self.entry)?;
        match (listen == entry, self.shared_address) {
            (true, false) => Err(Error::value(
                "fleet.entry",
                entry,
                "take another address than fleet.listen, or set fleet.shared_address, with which callers can make the calls of operators and replicas",
            )),
            (false, true) => Err(Error::value(
                "fleet.shared_address",
                true,
                "take false, or give fleet.entry the address of fleet.listen",
            )),
            _ => Ok((listen, entry)),
        }
    }

    fn check(self) -> Result<FleetSettings, Error> {
        let (listen, entry) = self.check_addresses()?;
        let entry_keep = check_range("fleet.entry_keep_ms", self.entry_keep_ms, 100, 600_000)?;
        let key = "fleet.replica_heartbeat_ms";
        let heartbeat = check_quantity(
            key,
            self.replica_heartbeat_ms,
            DEFAULT_REPLICA_HEARTBEAT_MS,
            10.0..=600_000.0,
        )?;
        let share = check_quantity(
            "fleet.rollout_share",
            self.rollout_share,
            DEFAULT_ROLLOUT_SHARE,
            0.0..=1.0,
        )?;
        Ok(FleetSettings {
            listen,
            entry,
            entry_keep: Millis(entry_keep),
            // Rounded up, so that a heartbeat in time is never late.
            replica_heartbeat: Millis(heartbeat.ceil() as u64),
            found: self.found.unwrap_or(false),
            voters: check_range("fleet.voters", self.voters, 1, 9)? as usize,
            data_centres: self.data_centres,
            // Rounded down, because it is an upper bound.
            rollout_share_permille: (share * 1_000.0) as u64,
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

/// The validated settings.
pub struct Settings {
    /// Settings that every process has.
    pub base: CheckedCommon,
    /// Listening address for routers, operators and the other members.
    pub listen: SocketAddr,
    /// Address under which they reach this process.
    pub advertise: SocketAddr,
    /// Path of the data folder.
    pub data_folder: PathBuf,
    /// Listening address for health and metrics.
    pub metrics: Option<SocketAddr>,
    /// Bounds of what clients over HTTP may use.
    pub clients: ClientBounds,
    /// Whether to keep the reserve of the data centre.
    pub reserve: bool,
    /// Timing of the replicated log and snapshot interval.
    pub member: machine::Settings,
    /// Fleet settings, if the process serves the HTTP API.
    pub fleet: Option<FleetSettings>,
}

impl RawSettings for File {
    type Checked = Settings;

    fn check(self) -> Result<Settings, Error> {
        let heartbeat = check_range("heartbeat_ms", self.heartbeat_ms, 5, 10_000)?;
        let election = check_range("election_ms", self.election_ms, heartbeat * 3, 60_000)?;
        let raft = RaftSettings {
            heartbeat: Millis(heartbeat),
            election: Millis(election),
            ..RaftSettings::default()
        };
        let snapshot_every = check_range("snapshot_every", self.snapshot_every, 16, 10_000_000)?;
        Ok(Settings {
            base: self.common.check()?,
            advertise: parse_address("advertise", self.advertise.as_ref().unwrap_or(&self.listen))?,
            listen: parse_address("listen", &self.listen)?,
            data_folder: existing_folder("data_folder", &self.data_folder)?,
            metrics: self.metrics.map(|a| parse_address("metrics", &a)).transpose()?,
            clients: ClientBounds::check(self.memory_mb, self.max_files)?,
            reserve: self.reserve,
            member: machine::Settings { raft, snapshot_every },
            fleet: self.fleet.map(FleetFile::check).transpose()?,
        })
    }
}
