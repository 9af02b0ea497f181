//! What targets say about themselves.

use crate::{AttemptId, EntryName, Incarnation, Needs, Rack, TargetName, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The two sorts of back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Runs a fixed number of tasks at once.
    #[default]
    Executor,
    /// Runs what its cores, memory and accelerators hold.
    Worker,
}

/// The announcement of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The name, unique in its zone.
    pub name: TargetName,
    /// Where tasks are sent: an IP number and a port.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: Zone,
    /// The rack it stands in; empty if it stands in none.
    #[serde(default)]
    pub rack: Rack,
    /// The sort of target.
    #[serde(default)]
    pub kind: Kind,
    /// The entries it serves.
    pub entries: Vec<EntryName>,
    /// What it can hold at once.
    pub capacity: Capacity,
    /// Rises each time the target's process starts.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Attempts it was running when it announced itself.
    #[serde(default)]
    pub running: Vec<AttemptId>,
    /// Connections it takes at once; 0 is no bound.
    #[serde(default)]
    pub connections: u32,
}

/// What a target can hold at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Tasks at once.
    pub slots: u32,
    /// Cores; used for workers.
    #[serde(default)]
    pub cores: u32,
    /// Memory in megabytes; used for workers.
    #[serde(default)]
    pub memory_mb: u64,
    /// Accelerators; used for workers.
    #[serde(default)]
    pub accelerators: u32,
}

impl Capacity {
    /// True if an idle target of this capacity can hold `needs`.
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

/// A usage report; it arrives with a lag.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The life of the target that it speaks of.
    pub incarnation: Incarnation,
    /// How old the figures were when they were sent, in milliseconds.
    pub age_ms: u64,
    /// Cores in use.
    pub cores: f64,
    /// Memory in use, in megabytes.
    pub memory_mb: u64,
    /// Accelerators in use.
    #[serde(default)]
    pub accelerators: u32,
}
