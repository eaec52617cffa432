//! The software versions of each service's replicas, as far as one router knows them.
//!
//! A service has a single version if no replica of another one has served for as long as a stream may be
//! resumed, as far as this router and a control process know that has followed the fleet for so long and has told
//! this router recently. What was told counts from when it held, not from when it arrived: a router that stood
//! still reads old messages. Control processes keep the versions of their replicas in the same way, because a
//! router that has started since has not seen those that were replaced.

use std::collections::{BTreeMap, HashMap};

use super::registry::{Record, ReplicaStatus};
use super::watch::Confirmation;
use crate::unit::{Millis, Time};

/// Longest time from a stream's first event until its caller resumes it for the last time.
pub const RESUME_WINDOW: Millis = Millis::seconds(30);

/// Time after which the last word of a control process no longer counts. Control processes answer watch
/// requests within a second.
const CONTACT_TIMEOUT: Millis = Millis(1_500);

/// Time for which the word of one control process that a service has several versions outweighs that of others.
const SEVERAL_TTL: Millis = Millis::seconds(3);

/// The replicas of one version of a service at which streams may begin.
#[derive(Clone, Copy, Debug, Default)]
struct VersionUse {
    replicas: usize,
    /// When one last ceased to be one of them.
    ended_at: Time,
}

impl VersionUse {
    /// Returns whether streams of the version may still be resumed.
    fn is_current(&self, now: Time) -> bool {
        self.replicas > 0 || now.since(self.ended_at) < RESUME_WINDOW
    }
}

/// The versions of all services.
#[derive(Clone, Debug, Default)]
pub struct SoftwareVersions {
    by_service: HashMap<String, BTreeMap<String, VersionUse>>,
    /// Service and version of each replica at which streams may begin.
    replicas: HashMap<String, (String, String)>,
    /// When this router last had all replicas that a control process knew.
    complete_at: Option<Time>,
    /// The same of one that had followed the fleet for [`RESUME_WINDOW`].
    confirmed_at: Option<Time>,
    /// When a control process last reported several versions of a service.
    several_at: HashMap<String, Time>,
}

impl SoftwareVersions {
    /// Records the state of a replica.
    pub fn record(&mut self, now: Time, r: &Record) {
        let g = &r.registration;
        let current = (g.service.clone(), g.version.clone());
        // No stream begins at a replica that drains or is silent.
        let is_running = r.standing == ReplicaStatus::Ready;
        if self.replicas.get(&g.id) == Some(&current) && is_running {
            return;
        }
        if let Some((service, version)) = self.replicas.remove(&g.id) {
            let known = self.version_use(service, version);
            known.replicas -= 1;
            known.ended_at = now;
        }
        let known = self.version_use(current.0.clone(), current.1.clone());
        if is_running {
            known.replicas += 1;
            self.replicas.insert(g.id.clone(), current);
        } else {
            known.ended_at = now;
        }
    }

    fn version_use(&mut self, service: String, version: String) -> &mut VersionUse {
        self.by_service.entry(service).or_default().entry(version).or_default()
    }

    /// Records the confirmation of a control process that has followed the fleet for `followed_for`.
    pub fn record_confirmation(&mut self, c: &Confirmation, followed_for: Millis) {
        self.complete_at = self.complete_at.max(Some(c.as_of));
        if followed_for >= RESUME_WINDOW {
            self.confirmed_at = self.confirmed_at.max(Some(c.as_of));
        }
        for service in &c.several_versions {
            let at = self.several_at.entry(service.clone()).or_insert(c.as_of);
            *at = c.as_of.max(*at);
        }
    }

    /// Returns whether this router has all replicas that a control process knew recently.
    pub fn is_complete(&self, now: Time) -> bool {
        is_recent(now, self.complete_at)
    }

    /// Returns whether a control process that had followed the fleet for [`RESUME_WINDOW`] confirmed all replicas
    /// as of `since` or later.
    pub fn is_confirmed_since(&self, since: Time) -> bool {
        self.confirmed_at >= Some(since)
    }

    /// Returns the only version of a service, or `None` if there are others or this router cannot tell.
    pub fn single(&self, now: Time, service: &str) -> Option<&str> {
        let has_several =
            self.several_at.get(service).is_some_and(|at| now.since(*at) < SEVERAL_TTL);
        if has_several || !is_recent(now, self.confirmed_at) {
            return None;
        }
        let mut current = self.by_service.get(service)?.iter().filter(|(_, u)| u.is_current(now));
        let (version, _) = current.next()?;
        current.next().is_none().then_some(version)
    }

    /// Returns the services of which several versions have served within [`RESUME_WINDOW`].
    pub fn several(&self, now: Time) -> Vec<String> {
        let has_several = |versions: &BTreeMap<String, VersionUse>| {
            versions.values().filter(|u| u.is_current(now)).nth(1).is_some()
        };
        let services = self.by_service.iter().filter(|(_, versions)| has_several(versions));
        services.map(|(service, _)| service.clone()).collect()
    }

    /// Removes versions whose streams can no longer be resumed.
    pub fn expire(&mut self, now: Time) {
        for versions in self.by_service.values_mut() {
            versions.retain(|_, u| u.is_current(now));
        }
        self.by_service.retain(|_, versions| !versions.is_empty());
        self.several_at.retain(|_, at| now.since(*at) < SEVERAL_TTL);
    }
}

fn is_recent(now: Time, at: Option<Time>) -> bool {
    at.is_some_and(|at| now.since(at) < CONTACT_TIMEOUT)
}
