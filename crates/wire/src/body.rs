//! JSON bodies of the HTTP interface.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use mangogw_model::{
    Announcement, Capacity, Code, EntryName, Incarnation, Key, Kind, Needs, Outcome, Rack, TargetName, Zone,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;

/// Body of `POST /v1/jobs`.
///
/// ```
/// use mangogw_wire::JobBody;
///
/// let text = r#"{"entry":"tally","tasks":[{"body":"a"},{"body_base64":"Yg=="}]}"#;
/// let job = JobBody::parse(text.as_bytes()).unwrap();
/// assert_eq!(job.tasks[1].payload().unwrap(), b"b");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// Catalogue entry of all tasks.
    pub entry: EntryName,
    /// Key of the submission; the host generates one if it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Key>,
    /// Deadline of the complete answer, in milliseconds; the entry's default if it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Tasks of the job; the answers have the same order.
    pub tasks: Vec<TaskBody>,
}

/// One task of a job. At most one of `body` and `body_base64` is set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskBody {
    /// Payload as text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
    /// Payload in base64.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_base64: Option<String>,
    /// Resources that the task requests.
    #[serde(flatten)]
    pub needs: Needs,
}

/// Error for a job body that is refused.
#[derive(Debug, Snafu)]
pub enum BadJob {
    /// The body is not JSON of the expected form.
    #[snafu(display("the body is no job: {source}"))]
    InvalidJson {
        /// Error of the JSON parser, with line and column.
        source: serde_json::Error,
    },
    /// The job has no task.
    #[snafu(display("a job needs at least one task"))]
    NoTasks,
    /// A task has both a text payload and a base64 payload.
    #[snafu(display("a task has both body and body_base64"))]
    TwoPayloads,
    /// A payload is not valid base64.
    #[snafu(display("body_base64 is no base64: {source}"))]
    Base64 {
        /// Error of the base64 decoder.
        source: base64::DecodeError,
    },
}

impl JobBody {
    /// Parses a job from JSON.
    ///
    /// # Errors
    /// [`BadJob::InvalidJson`] with line, column and reason, or [`BadJob::NoTasks`].
    pub fn parse(bytes: &[u8]) -> Result<Self, BadJob> {
        match serde_json::from_slice::<Self>(bytes) {
            Err(source) => Err(BadJob::InvalidJson { source }),
            Ok(job) if job.tasks.is_empty() => Err(BadJob::NoTasks),
            Ok(job) => Ok(job),
        }
    }
}

impl TaskBody {
    /// Returns the payload as bytes; empty if the task has none.
    ///
    /// # Errors
    /// [`BadJob::TwoPayloads`] or [`BadJob::Base64`].
    pub fn payload(&self) -> Result<Vec<u8>, BadJob> {
        match (&self.body, &self.body_base64) {
            (Some(_), Some(_)) => Err(BadJob::TwoPayloads),
            (Some(text), None) => Ok(text.as_bytes().to_vec()),
            (None, Some(text)) => STANDARD.decode(text).map_err(|source| BadJob::Base64 { source }),
            (None, None) => Ok(Vec::new()),
        }
    }
}

/// Body of type `application/problem+json`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Reference to the code's row in `docs/CODES.md`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Title of the code.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Description of the problem in this case.
    pub detail: String,
    /// Number of the code.
    pub code: u16,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Advice on what the caller can do.
    pub advice: String,
}

impl Problem {
    /// Creates the problem of `code`; `detail` describes this case.
    pub fn new(code: Code, detail: &str) -> Self {
        Self {
            kind: format!("/codes/{}", code.number()),
            title: code.title().to_owned(),
            status: code.status(),
            detail: detail.to_owned(),
            code: code.number(),
            outcome: code.outcome(),
            advice: code.advice().to_owned(),
        }
    }
}

/// Body of `PUT /v1/targets/{name}`: an announcement with the fields of its capacity at the top level, and the grant
/// that the target returns.
///
/// ```
/// use mangogw_wire::AnnounceBody;
///
/// let text = r#"{"address":"127.0.0.1:9000","zone":"a","entries":["tally"],"slots":8,"incarnation":3}"#;
/// let body: AnnounceBody = serde_json::from_str(text).unwrap();
/// assert_eq!(body.announcement("t1").capacity.slots, 8);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceBody {
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
    #[serde(flatten)]
    pub capacity: Capacity,
    /// Number that rises each time the target's process starts.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Attempts that were running on the target when it sent the announcement.
    #[serde(default)]
    pub running: Vec<String>,
    /// Maximum number of concurrent connections to the target; 0 means unlimited.
    #[serde(default)]
    pub connections: u32,
    /// Grant of the last answer; `None` if the target holds none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grant: Option<String>,
    /// Time since that answer arrived, in milliseconds; `None` without a grant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grant_age_ms: Option<u32>,
}

impl AnnounceBody {
    /// Returns the announcement of the target `name`, without entries of `running` that are not attempt identifiers.
    pub fn announcement(&self, name: &str) -> Announcement {
        Announcement {
            name: TargetName::from(name),
            address: self.address,
            zone: self.zone.clone(),
            rack: self.rack.clone(),
            kind: self.kind,
            entries: self.entries.clone(),
            capacity: self.capacity,
            incarnation: self.incarnation,
            running: self.running.iter().filter_map(|text| text.parse().ok()).collect(),
            connections: self.connections,
        }
    }
}

/// Answer to an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time for which a target's lease is valid after a heartbeat, in milliseconds.
    pub lease_ms: u64,
    /// Grant to return with the next announcement; if it is `None`, the target keeps its current grant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grant: Option<String>,
}
