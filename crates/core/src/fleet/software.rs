//! The software versions of each service's replicas, as far as one router knows them.
//!
//! A service has a single version if no replica of another one has served for as long as a stream may be
//! resumed, and if a control process that knows all replicas for so long has told this router recently.

use std::collections::{BTreeMap, HashMap};

use super::registry::{Record, ReplicaStatus};
use crate::unit::{Millis, Time};

/// Longest time from a stream's first event until its caller resumes it for the last time.
pub const RESUME_WINDOW: Millis = Millis::seconds(30);

/// Time after which the last word of a control process no longer counts. Control processes answer watch
/// requests within a second.
const CONTACT_TIMEOUT: Millis = Millis(1_500);

/// The replicas of one version of a service at which streams may begin.
#[derive(Clone, Copy, Debug, Default)]
struct VersionUse {
    replicas: usize,
    /// When one last ceased to be one of them.
    ended_at: Time,
}

/// The versions of all services.
#[derive(Clone, Debug, Default)]
pub struct SoftwareVersions {
    by_service: HashMap<String, BTreeMap<String, VersionUse>>,
    /// Service and version of each replica at which streams may begin.
    replicas: HashMap<String, (String, String)>,
    /// When a control process last reported that it has sent all replicas that it knows.
    complete_at: Option<Time>,
    /// The same of one that has followed the fleet for [`RESUME_WINDOW`].
    confirmed_at: Option<Time>,
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

    /// Records that a control process that has followed the fleet for `followed_for` has sent all replicas
    /// that it knows.
    pub fn record_complete(&mut self, now: Time, followed_for: Millis) {
        self.complete_at = Some(now);
        if followed_for >= RESUME_WINDOW {
            self.confirmed_at = Some(now);
        }
    }

    /// Returns whether this router knows all replicas that a control process knows.
    pub fn is_complete(&self, now: Time) -> bool {
        is_recent(now, self.complete_at)
    }

    /// Returns the only version of a service, or `None` if there are others or this router cannot tell.
    pub fn single(&self, now: Time, service: &str) -> Option<&str> {
        if !is_recent(now, self.confirmed_at) {
            return None;
        }
        let is_current = |u: &VersionUse| u.replicas > 0 || now.since(u.ended_at) < RESUME_WINDOW;
        let mut current = self.by_service.get(service)?.iter().filter(|(_, u)| is_current(u));
        let (version, _) = current.next()?;
        current.next().is_none().then_some(version)
    }

    /// Removes versions whose streams can no longer be resumed.
    pub fn expire(&mut self, now: Time) {
        for versions in self.by_service.values_mut() {
            versions.retain(|_, u| u.replicas > 0 || now.since(u.ended_at) < RESUME_WINDOW);
        }
        self.by_service.retain(|_, versions| !versions.is_empty());
    }
}

fn is_recent(now: Time, at: Option<Time>) -> bool {
    at.is_some_and(|at| now.since(at) < CONTACT_TIMEOUT)
}
