//! JSON bodies of the HTTP interface.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use mangogw_model::{
    Announcement, Capacity, Code, EntryName, Incarnation, Key, Kind, Needs, Outcome, Rack, TargetName, Zone,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;

/// The body of `POST /v1/jobs`.
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
    /// The entry all tasks belong to.
    pub entry: EntryName,
    /// The key of the submission; minted where it is missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Key>,
    /// Milliseconds until the whole answer must be there; the entry's own where it is missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The tasks, in the order in which they are answered.
    pub tasks: Vec<TaskBody>,
}

/// One task of a job. At most one of `body` and `body_base64` is set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskBody {
    /// The payload as text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
    /// The payload in base64.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_base64: Option<String>,
    /// What the task says it needs.
    #[serde(flatten)]
    pub needs: Needs,
}

/// Why a job body is refused.
#[derive(Debug, Snafu)]
pub enum BadJob {
    /// It is no JSON of the expected shape.
    #[snafu(display("the body is no job: {source}"))]
    InvalidJson {
        /// What the parser said, with line and column.
        source: serde_json::Error,
    },
    /// It has no task.
    #[snafu(display("a job needs at least one task"))]
    NoTasks,
    /// A task has two payloads.
    #[snafu(display("a task has both body and body_base64"))]
    TwoPayloads,
    /// A payload is no base64.
    #[snafu(display("body_base64 is no base64: {source}"))]
    Base64 {
        /// What the decoder said.
        source: base64::DecodeError,
    },
}

impl JobBody {
    /// Reads a job from JSON.
    ///
    /// # Errors
    /// [`BadJob`] with the place and the reason.
    pub fn parse(bytes: &[u8]) -> Result<Self, BadJob> {
        match serde_json::from_slice::<Self>(bytes) {
            Err(source) => Err(BadJob::InvalidJson { source }),
            Ok(job) if job.tasks.is_empty() => Err(BadJob::NoTasks),
            Ok(job) => Ok(job),
        }
    }
}

impl TaskBody {
    /// The payload as bytes.
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

/// An `application/problem+json` body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A reference to the code's row in `docs/CODES.md`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The title of the code.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What is wrong in this case.
    pub detail: String,
    /// The number of the code.
    pub code: u16,
    /// What became of the request.
    pub outcome: Outcome,
    /// What the caller can do.
    pub advice: String,
}

impl Problem {
    /// The problem for `code`, with what is wrong in this case.
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

/// The body of `PUT /v1/targets/{name}`: an announcement with its capacity laid flat, and the grant it sends back.
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
    /// Where tasks are sent.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: Zone,
    /// The rack it stands in.
    #[serde(default)]
    pub rack: Rack,
    /// The sort of target.
    #[serde(default)]
    pub kind: Kind,
    /// The entries it serves.
    pub entries: Vec<EntryName>,
    /// What it can hold at once.
    #[serde(flatten)]
    pub capacity: Capacity,
    /// Rises each time the target's process starts.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Attempts it was running when it announced itself.
    #[serde(default)]
    pub running: Vec<String>,
    /// Connections it takes at once; 0 is no bound.
    #[serde(default)]
    pub connections: u32,
    /// The grant of the last answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grant: Option<String>,
    /// How long ago that answer came, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grant_age_ms: Option<u32>,
}

impl AnnounceBody {
    /// The announcement of the target called `name`. Attempts that are no attempt ids are left out.
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

/// The answer to an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Milliseconds between heartbeats.
    pub heartbeat_ms: u64,
    /// Milliseconds that a target is trusted after a heartbeat.
    pub lease_ms: u64,
    /// The grant to send back with the next announcement; none: the one it holds stays.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grant: Option<String>,
}
