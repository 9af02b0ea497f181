//! Calls, their replies, and the messages between hosts.

use mangogw_jobs::{Evacuations, JobEnd, JobId, JobSpec, Order, Outcome, Phase, QueueSet, TargetReport};
use mangogw_model::{HostId, Version, Zone};
use mangogw_store::{FolderId, Term};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A request of a client, a target or an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Runs a job. The reply comes at the end of a job that is not stored, or once a job is stored.
    Submit {
        /// Host name of the request.
        host: String,
        /// Path of the request, without the job id.
        path: String,
        /// Id of the job.
        id: JobId,
        /// Specification of the job.
        spec: Arc<JobSpec>,
        /// Time that the client waits for the reply; `None` for the reply timeout of its host.
        timeout: Option<Duration>,
    },
    /// Reads the state of a job.
    Read {
        /// Host name of the request.
        host: String,
        /// Path of the request, without the job id.
        path: String,
        /// Id of the job.
        id: JobId,
    },
    /// Cancels a job.
    Cancel {
        /// Host name of the request.
        host: String,
        /// Path of the request, without the job id.
        path: String,
        /// Id of the job.
        id: JobId,
    },
    /// Counts the jobs of a queue that have not started any task.
    Count {
        /// Host name of the request.
        host: String,
        /// Path of the request.
        path: String,
    },
    /// Puts a queue set in force.
    Install(Arc<QueueSet>),
    /// Returns the queue set in force.
    Fetch,
    /// Reports the state of a target.
    Report(TargetReport),
    /// Deregisters a target.
    Leave {
        /// Id of the target.
        id: String,
        /// Incarnation that leaves; `None` if the target did not name it.
        incarnation: Option<u64>,
    },
    /// Starts or finishes the evacuation of a zone.
    Evacuate {
        /// Zone whose targets get no new runs.
        zone: Zone,
        /// True to start the evacuation, false to finish it.
        active: bool,
        /// Latest revision of the evacuations that the receiving host has seen; that host sets it.
        seen: u64,
    },
    /// Returns the evacuations that were ordered.
    ListEvacuations,
}

impl Call {
    /// Returns true if the call changes nothing.
    pub const fn is_read(&self) -> bool {
        matches!(self, Self::Read { .. } | Self::Count { .. } | Self::Fetch | Self::ListEvacuations)
    }
}

/// Reply to a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// A job that is not stored has ended in this phase.
    Ended(Phase),
    /// The job is stored.
    Accepted,
    /// Phase of the job.
    State(Phase),
    /// The job is cancelled, or had already ended.
    Canceled,
    /// Number of jobs that have not started any task.
    Waiting(u64),
    /// The queue set in force; `None` if none was installed.
    Set(Option<Arc<QueueSet>>),
    /// The call was executed.
    Done,
    /// No queue matches the host name and path of the request.
    NoQueue,
    /// No stored job has this id.
    NoJob,
    /// The call was not and will not be executed.
    Refused {
        /// The reason, for people.
        why: String,
        /// Time after which the client may retry.
        wait: Duration,
    },
    /// Unknown whether the call was executed.
    Unclear,
    /// No zone has this name.
    NoZone,
    /// The evacuations that were ordered, those that were taken back included.
    Evacuations(Evacuations),
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

/// State of a host, sent with its leader queries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Incarnation of the host: a random number of its process.
    pub incarnation: u64,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Processor of the host, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Time since the host last heard a leader of the whole group.
    pub leaderless_for: Duration,
    /// Highest version of the queue set that a leader has reported to the host.
    pub version: Version,
    /// Highest fencing token of an isolated zone that the host has used; 0 for none.
    pub isolated_token: u64,
}

/// Message between hosts. A message may be lost, but never arrives twice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Consensus message between members of the control group.
    Raft(mangogw_store::Message),
    /// The sender has a data folder and asks to become a member of the control group.
    Join {
        /// Id of the sender's data folder.
        folder_id: FolderId,
    },
    /// Call for the leader.
    Call {
        /// The sender's number for the call.
        serial: u64,
        /// True if the call has not been sent before to any host that may have led.
        first_attempt: bool,
        /// Client's call.
        call: Call,
    },
    /// Reply to a call.
    Answer {
        /// The receiver's number for the call.
        serial: u64,
        /// Leader's reply to the client.
        reply: Reply,
    },
    /// The sender does not lead and has not executed the call.
    NotLeader {
        /// The receiver's number for the call.
        serial: u64,
    },
    /// Calls of the sender that have no reply yet, by the sender's numbers.
    OpenCalls(Vec<u64>),
    /// Calls that the sender does not know, by the receiver's numbers: they or their replies were lost.
    UnknownCalls(Vec<u64>),
    /// The client of the call with this number of the sender has disconnected.
    Disconnected(u64),
    /// Asks for the leader. The sender can also forward orders to targets.
    FindLeader(HostInfo),
    /// Orders to be forwarded to targets, each with the leader's number for it.
    Orders(Vec<(u64, Order)>),
    /// Outcomes of orders, each with the leader's number for the order.
    Outcomes(Vec<(u64, Outcome)>),
    /// The leader, as far as the sender knows.
    LeaderInfo {
        /// Term of the control group at the sender.
        term: Term,
        /// The leader; `None` if the sender knows none.
        leader: Option<HostId>,
        /// Voters and learners of the control group.
        hosts: Vec<HostId>,
        /// Version of the sender's queue set.
        version: Version,
        /// Fencing token of the leader of an isolated zone; 0 for a leader of the whole group.
        isolated_token: u64,
    },
    /// Latest revision of the evacuations that the sender has seen; beside a leader query or its answer, after the first
    /// evacuation.
    SeenEvacuations(u64),
    /// Calls that the sender ends before it shuts down, by the sender's numbers, each with the time that is left for it.
    Deadlines(Vec<(u64, Duration)>),
}

impl Message {
    /// Encodes messages into the bytes of one frame.
    pub fn encode(messages: &[Self]) -> Vec<u8> {
        // Encoding plain data into memory can't fail.
        postcard::to_stdvec(messages).unwrap_or_default()
    }

    /// Decodes the messages of a frame. Returns `None` if the bytes are not a valid frame.
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
