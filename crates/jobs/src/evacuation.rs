//! Evacuations of availability zones: an operator orders that no run is started on the targets of a zone, and later takes
//! that back. Runs that are active there go on.

use crate::ApplyStatus;
use indexmap::IndexMap;
use mangogw_model::Zone;
use serde::{Deserialize, Serialize};

/// Latest order on the evacuation of one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// True while the zone is evacuated.
    pub active: bool,
    /// Number of the order, counted from 1 over all zones; one that repeats what is in force counts too.
    pub revision: u64,
}

/// Evacuations that operators have ordered, those that they have taken back included.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    zones: IndexMap<Zone, Evacuation>,
}

impl Evacuations {
    /// Returns the number of the latest order; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.zones.values().map(|evacuation| evacuation.revision).max().unwrap_or_default()
    }

    /// Returns true if no run may be started in the zone.
    pub fn is_active(&self, zone: &Zone) -> bool {
        self.zones.get(zone).is_some_and(|evacuation| evacuation.active)
    }

    /// Returns the zones that orders have named, each with its latest order.
    pub fn iter(&self) -> impl Iterator<Item = (&Zone, Evacuation)> {
        self.zones.iter().map(|(zone, evacuation)| (zone, *evacuation))
    }

    /// Returns true if no order has named a zone.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Starts (`active`) or finishes the evacuation of a zone. An order that repeats the latest one gets a revision of its
    /// own. One that would undo an order that its receiver had not seen, because that came after revision `seen`, may be
    /// late, and is outdated.
    ///
    /// ```
    /// use mangogw_jobs::{ApplyStatus, Evacuations};
    /// use mangogw_model::Zone;
    /// let (mut evacuations, zone) = (Evacuations::default(), Zone::from("a"));
    /// assert_eq!(evacuations.order(&zone, true, 0), ApplyStatus::Changed);
    /// assert_eq!(evacuations.order(&zone, true, 0), ApplyStatus::Unchanged);
    /// assert_eq!(evacuations.order(&zone, false, 0), ApplyStatus::Outdated);
    /// assert_eq!(evacuations.order(&zone, false, 1), ApplyStatus::Outdated);
    /// assert_eq!(evacuations.order(&zone, false, 2), ApplyStatus::Changed);
    /// assert!(!evacuations.is_active(&zone));
    /// ```
    pub fn order(&mut self, zone: &Zone, active: bool, seen: u64) -> ApplyStatus {
        let next = self.revision() + 1;
        let status = match self.zones.get(zone) {
            None if !active => ApplyStatus::Unchanged,
            Some(latest) if latest.active == active => ApplyStatus::Unchanged,
            Some(latest) if latest.revision > seen => return ApplyStatus::Outdated,
            _ => ApplyStatus::Changed,
        };
        // An order that is acknowledged again is later than one on its way that has not seen it.
        self.zones.insert(zone.clone(), Evacuation { active, revision: next });
        status
    }
}
