//! Settings files: read in one place, checked once, typed after.

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

use crate::logging::Form;

/// The least length of a cluster's key, in bytes.
const KEY_LEAST: usize = 32;

quick_error! {
    /// Why a process cannot start.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The file cannot be read.
        Unreadable(path: String, why: String) {
            display("CF3001: could not read settings file {}: {}", path, why)
        }
        /// It is not YAML of the expected shape.
        Syntax(path: String, why: String) {
            display("CF3002: settings file {} is not as expected: {}", path, why)
        }
        /// A value cannot be used.
        Value(key: String, value: String, want: String) {
            display("CF3003: setting {} cannot be '{}': {}", key, value, want)
        }
        /// A secret is readable by others.
        Exposed(key: String, path: String) {
            display("CF3004: setting {} names {}, which others can read: take away their rights with chmod 600", key, path)
        }
    }
}

impl Error {
    /// The numbered code.
    pub fn code(&self) -> Code {
        match self {
            Error::Unreadable(..) => Code::SettingsUnreadable,
            Error::Syntax(..) => Code::SettingsSyntax,
            Error::Value(..) => Code::SettingsValue,
            Error::Exposed(..) => Code::SecretExposed,
        }
    }

    /// A value that cannot be used, and what could.
    pub fn value(key: &str, value: impl ToString, want: &str) -> Error {
        Error::Value(key.to_owned(), value.to_string(), want.to_owned())
    }
}

/// A settings file as written, and what it is once checked.
pub trait Raw: DeserializeOwned {
    /// What it is once checked.
    type Checked;

    /// Checks every value.
    fn check(self) -> Result<Self::Checked, Error>;
}

/// Reads and checks a settings file.
pub fn load<R: Raw>(path: &Path) -> Result<R::Checked, Error> {
    let shown = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|e| Error::Unreadable(shown.clone(), e.to_string()))?;
    let raw: R = serde_yaml_ng::from_str(&text).map_err(|e| Error::Syntax(shown, e.to_string()))?;
    raw.check()
}

/// The settings that every process has.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Common {
    /// Name of the cluster; processes of another are refused.
    pub cluster: String,
    /// The region.
    pub region: String,
    /// The data centre.
    pub data_centre: String,
    /// The region of each data centre, where the cluster spans several.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Name of this `Vm`.
    pub vm: String,
    /// File with the cluster's key.
    #[serde(default)]
    pub key_file: Option<String>,
    /// Links are proved with the cluster's name alone, in place of a key: only for networks on
    /// which nobody else can connect.
    #[serde(default)]
    pub open_links: bool,
    /// Addresses of the region's control processes.
    #[serde(default)]
    pub control: Vec<String>,
    /// The port for links of the control processes, where `control` names another of theirs.
    #[serde(default)]
    pub control_port: Option<u16>,
    /// Least level of log lines.
    #[serde(default = "level_default")]
    pub log_level: String,
    /// Form of log lines.
    #[serde(default)]
    pub log_form: Form,
}

fn level_default() -> String {
    "info".to_owned()
}

/// [`Common`], checked.
#[derive(Clone)]
pub struct Base {
    /// Name of the cluster.
    pub cluster: String,
    /// The region.
    pub region: String,
    /// The data centre.
    pub data_centre: String,
    /// The region of each data centre.
    pub regions: Regions,
    /// Name of this `Vm`.
    pub vm: String,
    /// The cluster's key.
    pub key: Key,
    /// Addresses of the region's control processes.
    pub control: Vec<SocketAddr>,
    /// Least level of log lines.
    pub log_level: LevelFilter,
    /// Form of log lines.
    pub log_form: Form,
}

impl Common {
    /// Checks every value.
    pub fn check(self) -> Result<Base, Error> {
        let port = self.control_port;
        let place = |mut a: SocketAddr| {
            a.set_port(port.unwrap_or(a.port()));
            a
        };
        let control = self.control.iter().map(|a| address("common.control", a).map(place));
        let key = match &self.key_file {
            Some(path) => key("common.key_file", path)?,
            None if self.open_links => Key::new(self.cluster.as_bytes()),
            None => {
                let want = "name a file, or set common.open_links on a closed network";
                return Err(Error::value("common.key_file", "", want));
            }
        };
        let named =
            |(dc, region)| Ok((name("common.regions", dc)?, name("common.regions", region)?));
        let regions = self.regions.into_iter().map(named).collect::<Result<_, Error>>()?;
        Ok(Base {
            cluster: name("common.cluster", self.cluster)?,
            region: name("common.region", self.region)?,
            data_centre: name("common.data_centre", self.data_centre)?,
            regions: Regions::new(regions),
            vm: name("common.vm", self.vm)?,
            key,
            control: control.collect::<Result<_, _>>()?,
            log_level: level("common.log_level", &self.log_level)?,
            log_form: self.log_form,
        })
    }
}

fn level(key: &str, s: &str) -> Result<LevelFilter, Error> {
    s.parse().map_err(|_| Error::value(key, s, "take off, error, warn, info, debug or trace"))
}

/// A name of letters, digits, `-`, `_` and `.`.
pub fn name(key: &str, s: String) -> Result<String, Error> {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if s.is_empty() || s.len() > 64 || !s.bytes().all(fits) {
        return Err(Error::value(key, s, "take 1 to 64 letters, digits, '-', '_' or '.'"));
    }
    Ok(s)
}

/// An IP address with a port.
pub fn address(key: &str, s: &str) -> Result<SocketAddr, Error> {
    s.parse()
        .map_err(|_| Error::value(key, s, "take an IP address and a port, such as 10.0.0.7:7001"))
}

/// A number in a range.
pub fn range(key: &str, n: u64, least: u64, most: u64) -> Result<u64, Error> {
    if (least..=most).contains(&n) {
        return Ok(n);
    }
    Err(Error::value(key, n, &format!("take a number from {least} to {most}")))
}

/// A number that may have a fraction, or be left empty where a platform that fills in the file has
/// none to give.
pub type Quantity = Option<f64>;

/// A quantity in a range, `default` where it is left empty.
pub fn quantity(
    key: &str,
    n: Quantity,
    default: f64,
    range: RangeInclusive<f64>,
) -> Result<f64, Error> {
    let n = n.unwrap_or(default);
    if range.contains(&n) {
        return Ok(n);
    }
    let (least, most) = range.into_inner();
    Err(Error::value(key, n, &format!("take a number from {least} to {most}")))
}

/// A folder that exists.
pub fn folder(key: &str, s: &str) -> Result<PathBuf, Error> {
    let path = PathBuf::from(s);
    if path.is_dir() {
        return Ok(path);
    }
    Err(Error::value(key, s, "name a folder that exists"))
}

/// The cluster's key, from a file that only its owner may read.
pub fn key(key: &str, path: &str) -> Result<Key, Error> {
    let bytes = secret(key, path)?;
    if bytes.len() < KEY_LEAST {
        return Err(Error::value(key, path, "the key must have at least 32 bytes"));
    }
    Ok(Key::new(&bytes))
}

/// The content of a file that only its owner may read, without white space round it.
pub fn secret(key: &str, path: &str) -> Result<Vec<u8>, Error> {
    let unreadable = |_| Error::value(key, path, "name a file that can be read");
    let mode = fs::metadata(path).map_err(unreadable)?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(Error::Exposed(key.to_owned(), path.to_owned()));
    }
    let bytes = fs::read(path).map_err(unreadable)?;
    Ok(bytes.trim_ascii().to_vec())
}
