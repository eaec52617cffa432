//! The operator's settings.

use std::net::SocketAddr;

use cypressfork_node::settings::{Error, Raw, load_key, parse_address, parse_name};
use cypressfork_wire::auth::Key;
use serde::{Deserialize, Serialize};

/// The settings file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Name of the cluster.
    pub cluster: String,
    /// File with the cluster's key.
    pub key_file: String,
    /// Addresses of the region's control processes.
    pub control: Vec<String>,
    /// Who the operator is; the history shows it.
    pub operator: String,
}

/// The settings, checked.
pub struct Settings {
    /// Name of the cluster.
    pub cluster: String,
    /// The cluster's key.
    pub key: Key,
    /// Addresses of the region's control processes.
    pub control: Vec<SocketAddr>,
    /// Who the operator is.
    pub operator: String,
}

impl Raw for File {
    type Checked = Settings;

    fn check(self) -> Result<Settings, Error> {
        if self.control.is_empty() {
            return Err(Error::value("control", "[]", "name at least one control process"));
        }
        let control = self.control.iter().map(|a| parse_address("control", a));
        Ok(Settings {
            cluster: parse_name("cluster", self.cluster)?,
            key: load_key("key_file", &self.key_file)?,
            control: control.collect::<Result<_, _>>()?,
            operator: parse_name("operator", self.operator)?,
        })
    }
}
