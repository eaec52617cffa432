//! Maps data centres to regions.
//!
//! All regions share one control group. Links between regions have high latency and low bandwidth, so
//! requests, tokens and updates stay within a region where possible.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The regions by data centre. A data centre without an entry counts as in the same region as any
/// other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Regions {
    of_data_centre: BTreeMap<String, String>,
}

impl Regions {
    /// Creates the map from region names by data centre.
    pub fn new(of_data_centre: BTreeMap<String, String>) -> Regions {
        Regions { of_data_centre }
    }

    /// Returns the region of a data centre, if known.
    pub fn region_of(&self, data_centre: &str) -> Option<&str> {
        self.of_data_centre.get(data_centre).map(String::as_str)
    }

    /// Returns whether two data centres are in the same region; true if either region is unknown.
    pub fn same_region(&self, one: &str, other: &str) -> bool {
        match (self.region_of(one), self.region_of(other)) {
            (Some(a), Some(b)) => a == b,
            _ => true,
        }
    }

    /// Returns whether a data centre may serve a request that is restricted to the regions `allowed`;
    /// an empty set allows any. A data centre of unknown region serves no restricted requests.
    pub fn allows(&self, allowed: &BTreeSet<String>, data_centre: &str) -> bool {
        allowed.is_empty() || self.region_of(data_centre).is_some_and(|r| allowed.contains(r))
    }
}
