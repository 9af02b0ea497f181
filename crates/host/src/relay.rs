//! Requests that run on another host: sent once, asked after until they end.
//!
//! The other host tells a repeated request by its serial, so a lost message costs one [`RESEND_DELAY`], and nothing
//! starts twice.

use crate::effect::Answer;
use bytes::Bytes;
use indexmap::IndexMap;
use mangogw_dispatch::TaskKey;
use mangogw_model::{Code, EntryName, HostId, Incarnation, Key, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A request without an answer is sent again after this time.
pub const RESEND_DELAY: Duration = Duration::from_millis(400);
/// A request that the other host has is asked after so often.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Answers are kept for requests that are sent again.
pub const OUTCOME_RETENTION: Duration = Duration::from_secs(10);

/// A request on its way to another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The life of the receiver that it is meant for.
    pub incarnation: Incarnation,
    /// The entry it belongs to.
    pub entry: EntryName,
    /// The key of the request.
    pub key: Key,
    /// How long until its deadline.
    pub time_left: Duration,
    /// True if it may be started more than once.
    pub repeatable: bool,
    /// The payload.
    pub body: Bytes,
}

/// A message about a relayed request. `serial` names it between the two hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// Run it.
    Run {
        /// The request.
        serial: u64,
        /// What to run.
        request: Box<RelayRequest>,
    },
    /// It is here and has not ended.
    Accepted {
        /// The request.
        serial: u64,
    },
    /// It was answered.
    Answer {
        /// The request.
        serial: u64,
        /// The answer.
        answer: Answer,
    },
    /// It ended without an answer.
    Refused {
        /// The request.
        serial: u64,
        /// Why.
        code: Code,
        /// How long to wait before trying again, where that helps.
        retry_after: Option<Duration>,
    },
    /// The caller needs no answer any more.
    Cancel {
        /// The request.
        serial: u64,
    },
}

/// How a relayed request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RelayOutcome {
    Answer(Answer),
    Refused { code: Code, retry_after: Option<Duration> },
}

/// A request of this host that runs on another.
#[derive(Debug)]
pub(crate) struct SentRequest<T> {
    pub to: HostId,
    pub request: RelayRequest,
    pub deadline: Time,
    pub next_resend: Time,
    pub task: T,
}

/// A request of another host.
#[derive(Debug)]
enum ReceivedRequest {
    Open(TaskKey),
    Done { outcome: RelayOutcome, expires: Time },
}

/// Requests relayed to and from other hosts. `T` is what the host keeps of its own.
#[derive(Debug)]
pub(crate) struct Relay<T> {
    serial: u64,
    sent: IndexMap<u64, SentRequest<T>>,
    received: IndexMap<(HostId, u64), ReceivedRequest>,
    floors: IndexMap<HostId, u64>,
}

impl<T> Relay<T> {
    /// No requests; serials start at a number that no earlier life used.
    pub(crate) fn open(incarnation: Incarnation) -> Self {
        Self { serial: incarnation.0 << 20, sent: IndexMap::new(), received: IndexMap::new(), floors: IndexMap::new() }
    }

    /// Notes a request that is sent to `to`, and returns its message.
    pub(crate) fn send(&mut self, now: Time, sent: SentRequest<T>) -> RelayMessage {
        self.serial += 1;
        let request = Box::new(sent.request.clone());
        let next_resend = now + RESEND_DELAY;
        self.sent.insert(self.serial, SentRequest { next_resend, ..sent });
        RelayMessage::Run { serial: self.serial, request }
    }

    /// The other host has it.
    pub(crate) fn confirm(&mut self, now: Time, from: HostId, serial: u64) {
        if let Some(sent) = self.sent.get_mut(&serial).filter(|sent| sent.to == from) {
            sent.next_resend = now + POLL_INTERVAL;
        }
    }

    /// Takes a request out that has ended. `None` if it had ended before or `from` never had it.
    pub(crate) fn end(&mut self, from: HostId, serial: u64) -> Option<SentRequest<T>> {
        match self.sent.get(&serial) {
            Some(sent) if sent.to == from => self.sent.swap_remove(&serial),
            _ => None,
        }
    }

    /// Requests whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Time) -> Vec<(u64, SentRequest<T>)> {
        self.sent.extract_if(.., |_, sent| sent.deadline <= now).collect()
    }

    /// Requests to lives of hosts that are no more.
    pub(crate) fn take_orphans(&mut self, gone: impl Fn(HostId, Incarnation) -> bool) -> Vec<SentRequest<T>> {
        self.sent.extract_if(.., |_, sent| gone(sent.to, sent.request.incarnation)).map(|(_, sent)| sent).collect()
    }

    /// Messages to send again.
    pub(crate) fn due_resends(&mut self, now: Time) -> Vec<(HostId, RelayMessage)> {
        let late = self.sent.iter_mut().filter(|(_, sent)| sent.next_resend <= now);
        late.map(|(&serial, sent)| {
            sent.next_resend = now + RESEND_DELAY;
            let request = RelayRequest { time_left: sent.deadline - now, ..sent.request.clone() };
            (sent.to, RelayMessage::Run { serial, request: Box::new(request) })
        })
        .collect()
    }

    /// Requests of this host that run elsewhere.
    pub(crate) fn len(&self) -> usize {
        self.sent.len()
    }

    /// What is known of a request of another host: `None` if it is new.
    pub(crate) fn status(&self, from: HostId, serial: u64) -> Option<RelayMessage> {
        self.received.get(&(from, serial)).map(|received| match received {
            ReceivedRequest::Open(_) => RelayMessage::Accepted { serial },
            ReceivedRequest::Done { outcome, .. } => message(serial, outcome.clone()),
        })
    }

    /// Notes that a request of another host runs here.
    pub(crate) fn accept(&mut self, from: HostId, serial: u64, task: TaskKey) {
        self.received.insert((from, serial), ReceivedRequest::Open(task));
    }

    /// The task of a request of another host, while it runs.
    pub(crate) fn task(&self, from: HostId, serial: u64) -> Option<TaskKey> {
        match self.received.get(&(from, serial)) {
            Some(&ReceivedRequest::Open(task)) => Some(task),
            _ => None,
        }
    }

    /// Notes how a request of another host ended, and returns the message that says so.
    pub(crate) fn finish(&mut self, now: Time, from: HostId, serial: u64, outcome: RelayOutcome) -> RelayMessage {
        let done = ReceivedRequest::Done { outcome: outcome.clone(), expires: now + OUTCOME_RETENTION };
        self.received.insert((from, serial), done);
        message(serial, outcome)
    }

    /// True for a request that may be a late copy of one that ended and was forgotten.
    pub(crate) fn is_stale(&self, from: HostId, serial: u64) -> bool {
        self.floors.get(&from).is_some_and(|&floor| serial <= floor)
    }

    /// Forgets ends that nobody asks after any more.
    pub(crate) fn evict_ended(&mut self, now: Time) {
        let old =
            |received: &ReceivedRequest| matches!(received, ReceivedRequest::Done { expires, .. } if *expires <= now);
        for ((from, serial), _) in self.received.extract_if(.., |_, received| old(received)) {
            let floor = self.floors.entry(from).or_default();
            *floor = (*floor).max(serial);
        }
    }
}

fn message(serial: u64, outcome: RelayOutcome) -> RelayMessage {
    match outcome {
        RelayOutcome::Answer(answer) => RelayMessage::Answer { serial, answer },
        RelayOutcome::Refused { code, retry_after } => RelayMessage::Refused { serial, code, retry_after },
    }
}
