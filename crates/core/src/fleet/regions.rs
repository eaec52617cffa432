//! Which region a data centre lies in.
//!
//! All regions are one system with one control group. What goes between them takes a link that is far
//! and narrow, so work, tokens and news stay in their region as long as that serves callers.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The regions by data centre. Where nothing is said, all lie in one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Regions {
    of_data_centre: BTreeMap<String, String>,
}

impl Regions {
    /// The regions by data centre.
    pub fn new(of_data_centre: BTreeMap<String, String>) -> Regions {
        Regions { of_data_centre }
    }

    /// The region of a data centre, if it is known.
    pub fn of(&self, data_centre: &str) -> Option<&str> {
        self.of_data_centre.get(data_centre).map(String::as_str)
    }

    /// Whether two data centres lie in one region, as far as is known.
    pub fn are_near(&self, one: &str, other: &str) -> bool {
        match (self.of(one), self.of(other)) {
            (Some(a), Some(b)) => a == b,
            _ => true,
        }
    }

    /// Whether what may be served in `allowed` alone may be served in a data centre; empty: anywhere.
    /// One whose region is not known serves nothing that is bound to regions.
    pub fn allow(&self, allowed: &BTreeSet<String>, data_centre: &str) -> bool {
        allowed.is_empty() || self.of(data_centre).is_some_and(|r| allowed.contains(r))
    }
}
