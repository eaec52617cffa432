//! Settings files: reading, validation, and the settings that all processes share.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use cypressfork_core::code::Code;
use cypressfork_core::fleet::regions::Regions;
use cypressfork_wire::auth::Key;
use log::LevelFilter;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::logging::LogFormat;
use crate::process::max_open_files;

/// Minimum length of a cluster key, in bytes.
const MIN_KEY_BYTES: usize = 32;

quick_error! {
    /// Why a settings file is rejected.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The file cannot be read.
        Unreadable(path: String, reason: String) {
            display("CF3001: could not read settings file {}: {}", path, reason)
        }
        /// The file is not YAML, or has unknown or missing keys or values of the wrong type.
        Syntax(path: String, reason: String) {
            display("CF3002: settings file {} is invalid: {}", path, reason)
        }
        /// A value is invalid.
        Value(key: String, value: String, expected: String) {
            display("CF3003: setting {} cannot be '{}': {}", key, value, expected)
        }
        /// A secret file is accessible to other users.
        Exposed(key: String, path: String) {
            display("CF3004: setting {} names {}, which other users can access: restrict it with chmod 600", key, path)
        }
    }
}

impl Error {
    /// Returns the result code.
    pub fn code(&self) -> Code {
        match self {
            Error::Unreadable(..) => Code::SettingsUnreadable,
            Error::Syntax(..) => Code::SettingsSyntax,
            Error::Value(..) => Code::SettingsValue,
            Error::Exposed(..) => Code::SecretExposed,
        }
    }

    /// Creates an error for an invalid value; `expected` says which values are valid.
    pub fn value(key: &str, value: impl ToString, expected: &str) -> Error {
        Error::Value(key.to_owned(), value.to_string(), expected.to_owned())
    }
}

/// A settings file as deserialized, before validation.
pub trait RawSettings: DeserializeOwned {
    /// The validated settings.
    type Checked;

    /// Validates all values.
    fn check(self) -> Result<Self::Checked, Error>;
}

/// Reads and validates a settings file.
pub fn load<R: RawSettings>(path: &Path) -> Result<R::Checked, Error> {
    let name = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|e| Error::Unreadable(name.clone(), e.to_string()))?;
    let raw: R = serde_yaml_ng::from_str(&text).map_err(|e| Error::Syntax(name, e.to_string()))?;
    raw.check()
}

/// The settings that all processes share, as deserialized.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Common {
    /// Name of the cluster. Links from processes of another cluster are refused.
    pub cluster: String,
    /// Region of this process.
    pub region: String,
    /// Data centre of this process.
    pub data_centre: String,
    /// Region of each data centre, for clusters that span several regions.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Name of this `Vm`.
    pub vm: String,
    /// Path of the file with the cluster's key.
    #[serde(default)]
    pub key_file: Option<String>,
    /// Authenticates links with the cluster's name in place of a key. Only for closed networks.
    #[serde(default)]
    pub open_links: bool,
    /// Addresses of the region's control processes.
    #[serde(default)]
    pub control: Vec<String>,
    /// Link port of the control processes, if `control` lists them with another port.
    #[serde(default)]
    pub control_port: Option<u16>,
    /// Minimum level of log lines.
    #[serde(default = "level_default")]
    pub log_level: String,
    /// Format of log lines.
    #[serde(default)]
    pub log_form: LogFormat,
}

/// Default of `memory_mb`.
pub const DEFAULT_MEMORY_MB: f64 = 512.0;

/// Valid values of `memory_mb` and `max_files`.
const MEMORY_MB: RangeInclusive<f64> = 16.0..=1_048_576.0;
const FILES: RangeInclusive<f64> = 64.0..=1_048_576.0;

const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;

/// Bounds of what the clients of a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientBounds {
    /// Memory that the process may use, in bytes.
    pub memory: u64,
    /// Files that the process may have open.
    pub files: usize,
}

impl ClientBounds {
    /// Checks the settings `memory_mb` and `max_files`.
    pub fn check(memory_mb: Quantity, max_files: Quantity) -> Result<ClientBounds, Error> {
        let memory = check_quantity("memory_mb", memory_mb, DEFAULT_MEMORY_MB, MEMORY_MB)?;
        let of_process = (max_open_files() as f64).clamp(*FILES.start(), *FILES.end());
        let files = check_quantity("max_files", max_files, of_process, FILES)?.min(of_process);
        Ok(ClientBounds {
            memory: (memory * BYTES_PER_MEBIBYTE).floor() as u64,
            files: files as usize,
        })
    }

    /// Returns the number of connections that a listener may have if it gets one part in `parts` of the files.
    pub fn connections(&self, parts: usize) -> usize {
        (self.files / parts).max(MIN_CONNECTIONS)
    }
}

/// Connections that any listener may have.
const MIN_CONNECTIONS: usize = 16;

fn level_default() -> String {
    "info".to_owned()
}

/// [`Common`] after validation, with parsed values and the loaded key.
#[derive(Clone)]
pub struct CheckedCommon {
    /// Name of the cluster.
    pub cluster: String,
    /// Region of this process.
    pub region: String,
    /// Data centre of this process.
    pub data_centre: String,
    /// Region of each data centre.
    pub regions: Regions,
    /// Name of this `Vm`.
    pub vm: String,
    /// The cluster's key.
    pub key: Key,
    /// Addresses of the region's control processes.
    pub control: Vec<SocketAddr>,
    /// Minimum level of log lines.
    pub log_level: LevelFilter,
    /// Format of log lines.
    pub log_form: LogFormat,
}

impl Common {
    /// Validates all values.
    pub fn check(self) -> Result<CheckedCommon, Error> {
        let port = self.control_port;
        let set_port = |mut a: SocketAddr| {
            a.set_port(port.unwrap_or(a.port()));
            a
        };
        let control = self.control.iter().map(|a| parse_address("common.control", a).map(set_port));
        let key = match &self.key_file {
            Some(path) => load_key("common.key_file", path)?,
            None if self.open_links => Key::new(self.cluster.as_bytes()),
            None => {
                let expected = "name a file, or set common.open_links on a closed network";
                return Err(Error::value("common.key_file", "", expected));
            }
        };
        let checked = |(dc, region)| {
            Ok((parse_name("common.regions", dc)?, parse_name("common.regions", region)?))
        };
        let regions = self.regions.into_iter().map(checked).collect::<Result<_, Error>>()?;
        Ok(CheckedCommon {
            cluster: parse_name("common.cluster", self.cluster)?,
            region: parse_name("common.region", self.region)?,
            data_centre: parse_name("common.data_centre", self.data_centre)?,
            regions: Regions::new(regions),
            vm: parse_name("common.vm", self.vm)?,
            key,
            control: control.collect::<Result<_, _>>()?,
            log_level: parse_level("common.log_level", &self.log_level)?,
            log_form: self.log_form,
        })
    }
}

fn parse_level(key: &str, s: &str) -> Result<LevelFilter, Error> {
    s.parse().map_err(|_| Error::value(key, s, "take off, error, warn, info, debug or trace"))
}

/// Returns a name. Fails unless it has 1 to 64 letters, digits, `-`, `_` or `.`. `key` is the name of
/// the setting, for the error.
pub fn parse_name(key: &str, s: String) -> Result<String, Error> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if s.is_empty() || s.len() > 64 || !s.bytes().all(is_allowed) {
        return Err(Error::value(key, s, "take 1 to 64 letters, digits, '-', '_' or '.'"));
    }
    Ok(s)
}

/// Parses an IP address with a port.
pub fn parse_address(key: &str, s: &str) -> Result<SocketAddr, Error> {
    s.parse()
        .map_err(|_| Error::value(key, s, "take an IP address and a port, such as 10.0.0.7:7001"))
}

/// Returns `n`. Fails if it is not between `min` and `max`, both included.
pub fn check_range(key: &str, n: u64, min: u64, max: u64) -> Result<u64, Error> {
    if (min..=max).contains(&n) {
        return Ok(n);
    }
    Err(Error::value(key, n, &format!("take a number from {min} to {max}")))
}

/// A number that may have a fraction. `None` if the value is empty, as in files that a platform
/// generates from a template.
pub type Quantity = Option<f64>;

/// Returns a quantity, or `default` if it is empty. Fails if the result is outside `range`.
pub fn check_quantity(
    key: &str,
    n: Quantity,
    default: f64,
    range: RangeInclusive<f64>,
) -> Result<f64, Error> {
    let n = n.unwrap_or(default);
    if range.contains(&n) {
        return Ok(n);
    }
    let (min, max) = range.into_inner();
    Err(Error::value(key, n, &format!("take a number from {min} to {max}")))
}

/// Returns the path of a folder. Fails if it does not exist.
pub fn existing_folder(key: &str, s: &str) -> Result<PathBuf, Error> {
    let path = PathBuf::from(s);
    if path.is_dir() {
        return Ok(path);
    }
    Err(Error::value(key, s, "name a folder that exists"))
}

/// Reads the cluster's key from a file that only its owner may access. It must have at least 32 bytes.
pub fn load_key(key: &str, path: &str) -> Result<Key, Error> {
    let bytes = read_secret(key, path)?;
    if bytes.len() < MIN_KEY_BYTES {
        return Err(Error::value(key, path, "the key must have at least 32 bytes"));
    }
    Ok(Key::new(&bytes))
}

/// Reads a file that only its owner may access, without leading and trailing ASCII white space.
pub fn read_secret(key: &str, path: &str) -> Result<Vec<u8>, Error> {
    let unreadable = |_| Error::value(key, path, "name a readable file");
    let mode = fs::metadata(path).map_err(unreadable)?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(Error::Exposed(key.to_owned(), path.to_owned()));
    }
    let bytes = fs::read(path).map_err(unreadable)?;
    Ok(bytes.trim_ascii().to_vec())
}
