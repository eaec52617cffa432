//! The settings of the command line.

use std::net::SocketAddr;

use cypressfork_node::settings::{Error, RawSettings, load_key, parse_address, parse_name};
use cypressfork_wire::auth::Key;
use serde::{Deserialize, Serialize};

/// The settings file as written, before it is checked.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Name of the cluster.
    pub cluster: String,
    /// Path of the file with the cluster's key.
    pub key_file: String,
    /// Addresses of the control processes of the region.
    pub control: Vec<String>,
    /// Name of the operator, as recorded in the history.
    pub operator: String,
}

/// The checked settings.
pub struct Settings {
    /// Name of the cluster.
    pub cluster: String,
    /// The cluster's key.
    pub key: Key,
    /// Addresses of the control processes of the region.
    pub control: Vec<SocketAddr>,
    /// Name of the operator.
    pub operator: String,
}

impl RawSettings for File {
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
