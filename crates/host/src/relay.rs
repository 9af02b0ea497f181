//! Requests that run on another host: sent, then resent and polled until they end.
//!
//! The receiver recognizes a repeated request by its serial, so a lost message costs one [`RESEND_DELAY`] and no
//! request starts twice.

use crate::effect::Answer;
use bytes::Bytes;
use indexmap::IndexMap;
use mangogw_dispatch::TaskKey;
use mangogw_model::{Code, EntryName, HostId, Incarnation, Key, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after which a request that was not acknowledged is sent again.
pub const RESEND_DELAY: Duration = Duration::from_millis(400);
/// Interval at which an accepted request is polled.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which outcomes are kept, to answer requests that are sent again.
pub const OUTCOME_RETENTION: Duration = Duration::from_secs(10);

/// A request that is relayed to another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The incarnation of the receiver that may run the request; any other ignores it.
    pub incarnation: Incarnation,
    /// The entry that the request belongs to.
    pub entry: EntryName,
    /// The key of the request.
    pub key: Key,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// True if the request may be started more than once.
    pub repeatable: bool,
    /// Payload of the request, which is sent to the target.
    pub body: Bytes,
}

/// A message about a relayed request. `serial` identifies the request between the two hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// Run the request; also sent to poll one that was accepted.
    Run {
        /// The serial of the request.
        serial: u64,
        /// The request to run.
        request: Box<RelayRequest>,
    },
    /// The request was accepted and has not ended.
    Accepted {
        /// The serial of the request.
        serial: u64,
    },
    /// The request was answered.
    Answer {
        /// The serial of the request.
        serial: u64,
        /// Answer of the target.
        answer: Answer,
    },
    /// The request ended without an answer.
    Refused {
        /// The serial of the request.
        serial: u64,
        /// Code of the reason.
        code: Code,
        /// Time to wait before a retry; `None` if a retry does not help.
        retry_after: Option<Duration>,
    },
    /// The answer is no longer needed.
    Cancel {
        /// The serial of the request.
        serial: u64,
    },
}

/// Outcome of a task or relayed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RelayOutcome {
    Answer(Answer),
    Refused { code: Code, retry_after: Option<Duration> },
}

/// A request of this host that was relayed to another one.
#[derive(Debug)]
pub(crate) struct SentRequest<T> {
    pub to: HostId,
    pub request: RelayRequest,
    pub deadline: Time,
    pub next_resend: Time,
    pub task: T,
}

/// A request that another host relayed to this one.
#[derive(Debug)]
enum ReceivedRequest {
    Open(TaskKey),
    Done { outcome: RelayOutcome, expires: Time },
}

/// Requests relayed to and from other hosts. `T` is the host's own task behind a request that it sent.
#[derive(Debug)]
pub(crate) struct Relay<T> {
    serial: u64,
    sent: IndexMap<u64, SentRequest<T>>,
    received: IndexMap<(HostId, u64), ReceivedRequest>,
    floors: IndexMap<HostId, u64>,
}

impl<T> Relay<T> {
    /// Creates an empty table. Serials start above those of earlier incarnations, which get 2^20 each.
    pub(crate) fn open(incarnation: Incarnation) -> Self {
        Self { serial: incarnation.0 << 20, sent: IndexMap::new(), received: IndexMap::new(), floors: IndexMap::new() }
    }

    /// Records a request as sent and returns its message.
    pub(crate) fn send(&mut self, now: Time, sent: SentRequest<T>) -> RelayMessage {
        self.serial += 1;
        let request = Box::new(sent.request.clone());
        let next_resend = now + RESEND_DELAY;
        self.sent.insert(self.serial, SentRequest { next_resend, ..sent });
        RelayMessage::Run { serial: self.serial, request }
    }

    /// Records that the receiver has accepted a request.
    pub(crate) fn confirm(&mut self, now: Time, from: HostId, serial: u64) {
        if let Some(sent) = self.sent.get_mut(&serial).filter(|sent| sent.to == from) {
            sent.next_resend = now + POLL_INTERVAL;
        }
    }

    /// Removes and returns a request that has ended. `None` if it ended before or was not sent to `from`.
    pub(crate) fn end(&mut self, from: HostId, serial: u64) -> Option<SentRequest<T>> {
        match self.sent.get(&serial) {
            Some(sent) if sent.to == from => self.sent.swap_remove(&serial),
            _ => None,
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Time) -> Vec<(u64, SentRequest<T>)> {
        self.sent.extract_if(.., |_, sent| sent.deadline <= now).collect()
    }

    /// Removes and returns the requests sent to incarnations of hosts that no longer exist.
    pub(crate) fn take_orphans(&mut self, is_gone: impl Fn(HostId, Incarnation) -> bool) -> Vec<SentRequest<T>> {
        self.sent.extract_if(.., |_, sent| is_gone(sent.to, sent.request.incarnation)).map(|(_, sent)| sent).collect()
    }

    /// Returns the messages that are due to be sent again.
    pub(crate) fn due_resends(&mut self, now: Time) -> Vec<(HostId, RelayMessage)> {
        let due = self.sent.iter_mut().filter(|(_, sent)| sent.next_resend <= now);
        due.map(|(&serial, sent)| {
            sent.next_resend = now + RESEND_DELAY;
            let request = RelayRequest { time_left: sent.deadline - now, ..sent.request.clone() };
            (sent.to, RelayMessage::Run { serial, request: Box::new(request) })
        })
        .collect()
    }

    /// Returns the number of requests relayed to other hosts that have not ended.
    pub(crate) fn len(&self) -> usize {
        self.sent.len()
    }

    /// Returns the message with the state of a received request. `None` if the request is unknown.
    pub(crate) fn status(&self, from: HostId, serial: u64) -> Option<RelayMessage> {
        self.received.get(&(from, serial)).map(|received| match received {
            ReceivedRequest::Open(_) => RelayMessage::Accepted { serial },
            ReceivedRequest::Done { outcome, .. } => outcome_message(serial, outcome.clone()),
        })
    }

    /// Records that a received request runs here as `task`.
    pub(crate) fn accept(&mut self, from: HostId, serial: u64, task: TaskKey) {
        self.received.insert((from, serial), ReceivedRequest::Open(task));
    }

    /// Returns the task of a received request. `None` if it is unknown or has ended.
    pub(crate) fn task(&self, from: HostId, serial: u64) -> Option<TaskKey> {
        match self.received.get(&(from, serial)) {
            Some(&ReceivedRequest::Open(task)) => Some(task),
            _ => None,
        }
    }

    /// Records the outcome of a received request and returns its message.
    pub(crate) fn finish(&mut self, now: Time, from: HostId, serial: u64, outcome: RelayOutcome) -> RelayMessage {
        let done = ReceivedRequest::Done { outcome: outcome.clone(), expires: now + OUTCOME_RETENTION };
        self.received.insert((from, serial), done);
        outcome_message(serial, outcome)
    }

    /// Returns true if the request may be a late copy of one whose outcome has been evicted.
    pub(crate) fn is_stale(&self, from: HostId, serial: u64) -> bool {
        self.floors.get(&from).is_some_and(|&floor| serial <= floor)
    }

    /// Evicts outcomes older than [`OUTCOME_RETENTION`], and raises the sender's floor to their serials.
    pub(crate) fn evict_ended(&mut self, now: Time) {
        let is_expired =
            |received: &ReceivedRequest| matches!(received, ReceivedRequest::Done { expires, .. } if *expires <= now);
        for ((from, serial), _) in self.received.extract_if(.., |_, received| is_expired(received)) {
            let floor = self.floors.entry(from).or_default();
            *floor = (*floor).max(serial);
        }
    }
}

fn outcome_message(serial: u64, outcome: RelayOutcome) -> RelayMessage {
    match outcome {
        RelayOutcome::Answer(answer) => RelayMessage::Answer { serial, answer },
        RelayOutcome::Refused { code, retry_after } => RelayMessage::Refused { serial, code, retry_after },
    }
}
