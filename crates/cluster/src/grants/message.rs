//! The messages between the host a target announced itself to and the host that owns it.

use super::{Echo, Grant};
use mangogw_model::{Announcement, Incarnation, TargetName, Usage, Zone};
use serde::{Deserialize, Serialize};

/// A target, unique in the cluster.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Its zone.
    pub zone: Zone,
    /// Its name, unique in the zone.
    pub name: TargetName,
}

impl Target {
    /// The target that an announcement speaks of.
    pub fn from_announcement(announcement: &Announcement) -> Self {
        Self { zone: announcement.zone.clone(), name: announcement.name.clone() }
    }
}

/// A message of the grant protocol.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat whose announcement the owner knows already.
    Heartbeat {
        /// Echoed in the answer.
        request_id: u64,
        /// The target.
        target: Target,
        /// The digest of the announcement, which covers the life of the target.
        digest: u64,
        /// What the target sent back.
        echo: Option<Echo>,
        /// True if the sender has heard that the target leaves.
        leaving: bool,
    },
    /// A heartbeat with its announcement.
    Announce {
        /// Echoed in the answer.
        request_id: u64,
        /// The announcement.
        announcement: Box<Announcement>,
        /// What the target sent back.
        echo: Option<Echo>,
        /// True if the sender has heard that the target leaves.
        leaving: bool,
    },
    /// The answer to both.
    Answer {
        /// The ticket.
        request_id: u64,
        /// The answer.
        reply: HeartbeatReply,
    },
    /// A target leaves.
    Leave {
        /// Echoed in the answer.
        request_id: u64,
        /// The target.
        target: Target,
        /// The life that leaves; any if not said.
        incarnation: Option<Incarnation>,
    },
    /// The answer to a `Leave`.
    LeaveAck {
        /// The ticket.
        request_id: u64,
        /// True if the sender owned the target.
        was_owner: bool,
    },
    /// The usage report of a target.
    Usage {
        /// The target.
        target: Target,
        /// The report.
        usage: Usage,
    },
    /// How many tasks that a former owner started are still running on the target.
    RunningTasks {
        /// The target.
        target: Target,
        /// The life of the target.
        incarnation: Incarnation,
        /// The tasks.
        tasks: u32,
        /// True if the target is leaving.
        leaving: bool,
    },
}

/// The owner's answer to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatReply {
    /// The grant the target holds from now on.
    Granted {
        /// The grant.
        grant: Grant,
        /// True if the next heartbeat should come at once.
        renew_now: bool,
    },
    /// The target keeps the grant it holds.
    Unchanged,
    /// The announcement is not known here.
    NeedsAnnouncement,
    /// A later life of the target is known here.
    Stale,
}
