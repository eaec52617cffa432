//! Replicas that have announced that they drain or leave.
//!
//! Announcements are stored in the replicated log before they are acknowledged, so that an acknowledged one
//! survives the control process that received it. A heartbeat that was sent before the announcement may arrive
//! after it, at any control process, and even be the first one of its replica.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fleet::registry::{Record, Registration, ReplicaStatus};
use crate::unit::{Index, Millis, Time};

/// Time for which a departure is kept. No heartbeat may arrive that late.
pub const DEPARTURE_TTL: Millis = Millis::seconds(120);

/// Maximum difference between the clocks of a replica and of the control group.
const MAX_CLOCK_SKEW: Millis = Millis::seconds(10);

/// A replica that drains or has left.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The replica's id.
    pub replica: String,
    /// Its last registration; none if it announced its departure to a process that knew no heartbeat of it.
    pub registration: Option<Registration>,
    /// [`ReplicaStatus::Draining`] or [`ReplicaStatus::Left`].
    pub standing: ReplicaStatus,
    /// When it was recorded, by the wall clock of the control group.
    pub at: Time,
}

impl Departure {
    /// Returns whether this concerns the incarnation of the replica that started at `born` (0 if unknown), and not
    /// a later one.
    pub fn concerns(&self, born: u64) -> bool {
        let departed = self.registration.as_ref().map_or(0, |r| r.born);
        match (born, departed) {
            (0, _) => true,
            (born, 0) => born <= self.at.after(MAX_CLOCK_SKEW).0,
            (born, departed) => born <= departed,
        }
    }

    /// Returns the record that tells routers of this departure. Without a registration it has no address, and
    /// the latest start time that this concerns.
    pub fn record(&self) -> Record {
        let unregistered = || Registration {
            id: self.replica.clone(),
            service: String::new(),
            address: String::new(),
            data_centre: String::new(),
            version: String::new(),
            slots: 0,
            cold: Millis(0),
            sequence: 0,
            born: self.at.after(MAX_CLOCK_SKEW).0,
        };
        let registration = self.registration.clone().unwrap_or_else(unregistered);
        Record { registration, standing: self.standing }
    }
}

/// The recent departures, by the log index at which each was recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    by_index: BTreeMap<Index, Departure>,
    by_replica: BTreeMap<String, Index>,
}

impl Departures {
    /// Records a departure at log index `pos`, in place of an earlier one of the replica. Removes those that are
    /// older than [`DEPARTURE_TTL`].
    pub fn record(&mut self, pos: Index, d: Departure) {
        self.remove_expired(d.at);
        // A draining notice may be committed after the leave that followed it.
        let born = d.registration.as_ref().map_or(0, |r| r.born);
        if d.standing < ReplicaStatus::Left && self.has(&d.replica, born, ReplicaStatus::Left) {
            return;
        }
        if let Some(old) = self.by_replica.insert(d.replica.clone(), pos) {
            self.by_index.remove(&old);
        }
        self.by_index.insert(pos, d);
    }

    /// Returns whether it is recorded that the incarnation of a replica that started at `born` has reached
    /// `standing`.
    pub fn has(&self, replica: &str, born: u64, standing: ReplicaStatus) -> bool {
        let known = self.by_replica.get(replica).and_then(|pos| self.by_index.get(pos));
        known.is_some_and(|d| d.concerns(born) && d.standing >= standing)
    }

    /// Returns the departures recorded after log index `pos`, oldest first.
    pub fn since(&self, pos: Index) -> impl Iterator<Item = (Index, &Departure)> {
        self.by_index.range(pos.saturating_add(1)..).map(|(pos, d)| (*pos, d))
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some(oldest) = self.by_index.first_entry()
            && now.since(oldest.get().at) > DEPARTURE_TTL
        {
            let d = oldest.remove();
            self.by_replica.remove(&d.replica);
        }
    }
}
