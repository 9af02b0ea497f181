//! Announcements and usage reports that targets send.

use crate::{AttemptId, EntryName, Incarnation, Needs, Rack, TargetName, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Kind of target: executor or worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Runs a fixed number of tasks at once.
    #[default]
    Executor,
    /// Runs as many tasks as fit into its cores, memory and accelerators.
    Worker,
}

/// Announcement by which a target registers with a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the target, unique in its zone.
    pub name: TargetName,
    /// IP address and port to which tasks are sent.
    pub address: SocketAddr,
    /// Zone of the target.
    pub zone: Zone,
    /// Rack of the target; empty if it has none.
    #[serde(default)]
    pub rack: Rack,
    /// Kind of target.
    #[serde(default)]
    pub kind: Kind,
    /// Entries that the target serves.
    pub entries: Vec<EntryName>,
    /// Resources that the target offers.
    pub capacity: Capacity,
    /// Number that rises each time the target's process starts.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Attempts that were running on the target when it sent the announcement.
    #[serde(default)]
    pub running: Vec<AttemptId>,
    /// Maximum number of concurrent connections to the target; 0 means unlimited.
    #[serde(default)]
    pub connections: u32,
}

/// Resources that a target offers to concurrent tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Maximum number of concurrent tasks.
    pub slots: u32,
    /// Number of cores; used for workers only.
    #[serde(default)]
    pub cores: u32,
    /// Memory in megabytes; used for workers only.
    #[serde(default)]
    pub memory_mb: u64,
    /// Number of accelerators; used for workers only.
    #[serde(default)]
    pub accelerators: u32,
}

impl Capacity {
    /// Returns true if `needs` fit into an idle target of this capacity.
    ///
    /// ```
    /// use mangogw_model::{Capacity, Needs};
    ///
    /// let small = Capacity { slots: 1, cores: 16, memory_mb: 32_000, accelerators: 0 };
    /// assert!(small.holds(&Needs { cores: 4, ..Needs::default() }));
    /// assert!(!small.holds(&Needs { accelerators: 1, ..Needs::default() }));
    /// ```
    pub const fn holds(&self, needs: &Needs) -> bool {
        self.slots > 0
            && self.cores >= needs.cores
            && self.memory_mb >= needs.memory_mb
            && self.accelerators >= needs.accelerators
    }
}

/// Usage report of a target; its figures are already old when they arrive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Incarnation of the target that the figures belong to.
    pub incarnation: Incarnation,
    /// Age of the figures when they were sent, in milliseconds.
    pub age_ms: u64,
    /// Number of cores in use.
    pub cores: f64,
    /// Memory in use, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators in use.
    #[serde(default)]
    pub accelerators: u32,
}
