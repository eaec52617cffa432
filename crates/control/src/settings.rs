//! The control process's settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use cypressfork_core::raft::Settings as RaftSettings;
use cypressfork_core::unit::Millis;
use cypressfork_node::settings::{Base, Common, Error, Raw, address, folder, range};
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
    /// The data folder.
    pub data_folder: String,
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
    /// The data folder.
    pub data_folder: PathBuf,
    /// Whether it keeps the reserve of its data centre.
    pub reserve: bool,
    /// Timing and sizes.
    pub machine: machine::Settings,
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
            listen: address("listen", &self.listen)?,
            data_folder: folder("data_folder", &self.data_folder)?,
            reserve: self.reserve,
            machine: machine::Settings { raft, snapshot_every },
        })
    }
}
