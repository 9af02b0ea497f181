//! Calls, their replies, and what hosts say to each other.

use mangogw_jobs::{JobEnd, JobId, JobSpec, Order, Outcome, Phase, QueueSet, TargetReport};
use mangogw_model::{HostId, Version, Zone};
use mangogw_store::{FolderId, Term};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// What a client, a target or an operator asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Run a job. A job that is not stored is answered at its end.
    Submit {
        /// The host name of the request.
        host: String,
        /// The path of the request, without the id.
        path: String,
        /// The job.
        id: JobId,
        /// What it consists of.
        spec: Arc<JobSpec>,
        /// How long the client waits.
        timeout: Option<Duration>,
    },
    /// Tell how far a job is.
    Read {
        /// The host name of the request.
        host: String,
        /// The path of the request, without the id.
        path: String,
        /// The job.
        id: JobId,
    },
    /// Cancel a job.
    Cancel {
        /// The host name of the request.
        host: String,
        /// The path of the request, without the id.
        path: String,
        /// The job.
        id: JobId,
    },
    /// Count the jobs of a queue that have started nothing.
    Count {
        /// The host name of the request.
        host: String,
        /// The path of the request.
        path: String,
    },
    /// Put a set of queues in force.
    Install(Arc<QueueSet>),
    /// Give back the set of queues in force.
    Fetch,
    /// Take what a target says of itself.
    Report(TargetReport),
    /// Take that a target has ended.
    Leave {
        /// The target.
        id: String,
    },
}

impl Call {
    /// True if the call changes nothing.
    pub const fn is_read(&self) -> bool {
        matches!(self, Self::Read { .. } | Self::Count { .. } | Self::Fetch)
    }
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// A job that is not stored has ended.
    Ended(Phase),
    /// The job is stored.
    Accepted,
    /// How far the job is.
    State(Phase),
    /// The job is cancelled, or had ended.
    Canceled,
    /// So many jobs wait.
    Waiting(u64),
    /// The set of queues in force, if there is one.
    Set(Option<Arc<QueueSet>>),
    /// It is done.
    Done,
    /// No queue fits the request.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// Nothing was done and nothing will be.
    Refused {
        /// Why, for people.
        why: String,
        /// When to come back.
        wait: Duration,
    },
    /// It may have been done.
    Unclear,
}

impl From<JobEnd> for Reply {
    fn from(end: JobEnd) -> Self {
        match end {
            JobEnd::Completed => Self::Ended(Phase::Completed),
            JobEnd::Failed => Self::Ended(Phase::Failed),
            JobEnd::Refused(refused) => Self::Refused { why: "no room in time".to_owned(), wait: refused.wait },
        }
    }
}

/// What a host says of itself when it asks who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Its zone.
    pub zone: Zone,
    /// Its share of processor, in thousandths of a core.
    pub cpu_millicores: u32,
    /// For how long it has heard no leader of the whole group.
    pub leaderless_for: Duration,
    /// The highest version of the queues that it has heard of.
    pub version: Version,
    /// The highest token of an island that it has used; 0 for none.
    pub isolated_token: u64,
}

/// What one host says to another. Messages may be lost, but never come twice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Between members of the control group.
    Raft(mangogw_store::Message),
    /// The sender has a data folder and wants to be a member.
    Join {
        /// The birth of its folder.
        birth: FolderId,
    },
    /// A call for the leader.
    Call {
        /// Names the call at its sender.
        serial: u64,
        /// No host that may have led was sent it before.
        first_attempt: bool,
        /// The call.
        call: Call,
    },
    /// The answer to a call.
    Answer {
        /// The call.
        serial: u64,
        /// The answer.
        reply: Reply,
    },
    /// The receiver of a call does not lead, and has done nothing.
    NotLeader {
        /// The call.
        serial: u64,
    },
    /// These calls have no answer yet.
    OpenCalls(Vec<u64>),
    /// These calls are not known: they, or their answers, were lost.
    UnknownCalls(Vec<u64>),
    /// The client of a call has left.
    Disconnected(u64),
    /// Who leads? The sender can also carry orders to targets.
    FindLeader(HostInfo),
    /// Orders to be carried out, each under a number of the leader.
    Orders(Vec<(u64, Order)>),
    /// What came of orders, by the leader's numbers.
    Outcomes(Vec<(u64, Outcome)>),
    /// Who leads, as far as the sender knows.
    LeaderInfo {
        /// The term.
        term: Term,
        /// The leader.
        leader: Option<HostId>,
        /// Hosts of the control group.
        hosts: Vec<HostId>,
        /// The version of the queues at the sender.
        version: Version,
        /// The token, if the leader is that of an island; else 0.
        isolated_token: u64,
    },
}

impl Message {
    /// Messages as the bytes of one frame.
    pub fn encode(messages: &[Self]) -> Vec<u8> {
        // Plain data always encodes.
        postcard::to_stdvec(messages).unwrap_or_default()
    }

    /// The messages of a frame, if it is one.
    ///
    /// ```
    /// use mangogw_control::Message;
    /// let messages = vec![Message::Disconnected(3), Message::OpenCalls(vec![4])];
    /// assert_eq!(Message::decode(&Message::encode(&messages)), Some(messages));
    /// assert_eq!(Message::decode(b"\x01\xff"), None);
    /// ```
    pub fn decode(bytes: &[u8]) -> Option<Vec<Self>> {
        postcard::from_bytes(bytes).ok()
    }
}
