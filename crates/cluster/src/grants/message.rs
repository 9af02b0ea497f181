//! Messages between the host that receives a target's heartbeats and the host that owns the target.

use super::{Echo, Grant};
use mangogw_model::{Announcement, Incarnation, TargetName, Usage, Zone};
use serde::{Deserialize, Serialize};

/// A target, unique in the cluster.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Availability zone of the target.
    pub zone: Zone,
    /// Name of the target, unique in the zone.
    pub name: TargetName,
}

impl Target {
    /// Returns the target that an announcement describes.
    pub fn from_announcement(announcement: &Announcement) -> Self {
        Self { zone: announcement.zone.clone(), name: announcement.name.clone() }
    }
}

/// A message of the grant protocol.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat without its announcement, which the owner may already know.
    Heartbeat {
        /// Returned in the answer.
        request_id: u64,
        /// Target that sent the heartbeat.
        target: Target,
        /// Digest of the announcement, which includes the incarnation of the target.
        digest: u64,
        /// Grant that the target sent back; `None` if it holds none.
        echo: Option<Echo>,
        /// True if the sender knows that the target is leaving.
        leaving: bool,
    },
    /// A heartbeat with its announcement.
    Announce {
        /// Returned in the answer.
        request_id: u64,
        /// Announcement that the target sent.
        announcement: Box<Announcement>,
        /// Grant that the target sent back; `None` if it holds none.
        echo: Option<Echo>,
        /// True if the sender knows that the target is leaving.
        leaving: bool,
    },
    /// The answer to a `Heartbeat` or `Announce`.
    Answer {
        /// `request_id` of the message it answers.
        request_id: u64,
        /// Owner's decision on the heartbeat.
        reply: HeartbeatReply,
    },
    /// A target leaves.
    Leave {
        /// Returned in the answer.
        request_id: u64,
        /// Target that leaves.
        target: Target,
        /// Incarnation that leaves; `None` if the target did not report it.
        incarnation: Option<Incarnation>,
    },
    /// The answer to a `Leave`.
    LeaveAck {
        /// `request_id` of the message it answers.
        request_id: u64,
        /// True if the sender owned the target.
        was_owner: bool,
    },
    /// A usage report of a target.
    Usage {
        /// Target that sent the report.
        target: Target,
        /// Resource usage, as the target reported it.
        usage: Usage,
    },
    /// Sent by a former owner: the number of its tasks that are still running on the target.
    RunningTasks {
        /// Target on which the tasks run.
        target: Target,
        /// Incarnation of the target.
        incarnation: Incarnation,
        /// Number of the sender's tasks that are still running.
        tasks: u32,
        /// True if the target is leaving.
        leaving: bool,
    },
}

/// The owner's answer to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatReply {
    /// The target must hold this grant from now on.
    Granted {
        /// Grant to send back with each heartbeat.
        grant: Grant,
        /// True if the target should send its next heartbeat at once.
        renew_now: bool,
    },
    /// The target keeps the grant it holds.
    Unchanged,
    /// The owner does not know the announcement; send it.
    NeedsAnnouncement,
    /// The owner knows a later incarnation of the target.
    Stale,
}
