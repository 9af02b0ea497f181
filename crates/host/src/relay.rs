//! Requests that run on another host: sent once, asked after until they end.
//!
//! The other host tells a repeated request by its serial, so a lost message costs one [`RESEND`], and nothing starts
//! twice.

use crate::effect::Answer;
use bytes::Bytes;
use indexmap::IndexMap;
use mangogw_dispatch::TaskKey;
use mangogw_model::{Code, EntryName, HostId, Incarnation, Key, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A request without an answer is sent again after this time.
pub const RESEND: Duration = Duration::from_millis(400);
/// A request that the other host has is asked after so often.
pub const FOLLOW: Duration = Duration::from_secs(1);
/// Answers are kept for requests that are sent again.
pub const KEEP: Duration = Duration::from_secs(10);

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
pub(crate) enum Outcome {
    Answer(Answer),
    Refused { code: Code, retry_after: Option<Duration> },
}

/// A request of this host that runs on another.
#[derive(Debug)]
pub(crate) struct Sent<T> {
    pub to: HostId,
    pub request: RelayRequest,
    pub deadline: Time,
    pub next: Time,
    pub owner: T,
}

/// A request of another host.
#[derive(Debug)]
enum Taken {
    Open(TaskKey),
    Done { outcome: Outcome, until: Time },
}

/// Requests relayed to and from other hosts. `T` is what the host keeps of its own.
#[derive(Debug)]
pub(crate) struct Relay<T> {
    serial: u64,
    sent: IndexMap<u64, Sent<T>>,
    taken: IndexMap<(HostId, u64), Taken>,
    floors: IndexMap<HostId, u64>,
}

impl<T> Relay<T> {
    /// No requests; serials start at a number that no earlier life used.
    pub(crate) fn open(incarnation: Incarnation) -> Self {
        Self { serial: incarnation.0 << 20, sent: IndexMap::new(), taken: IndexMap::new(), floors: IndexMap::new() }
    }

    /// Notes a request that is sent to `to`, and returns its message.
    pub(crate) fn send(&mut self, now: Time, sent: Sent<T>) -> RelayMessage {
        self.serial += 1;
        let request = Box::new(sent.request.clone());
        let next = now + RESEND;
        self.sent.insert(self.serial, Sent { next, ..sent });
        RelayMessage::Run { serial: self.serial, request }
    }

    /// The other host has it.
    pub(crate) fn confirm(&mut self, now: Time, from: HostId, serial: u64) {
        if let Some(sent) = self.sent.get_mut(&serial).filter(|sent| sent.to == from) {
            sent.next = now + FOLLOW;
        }
    }

    /// Takes a request out that has ended. `None` if it had ended before or `from` never had it.
    pub(crate) fn end(&mut self, from: HostId, serial: u64) -> Option<Sent<T>> {
        match self.sent.get(&serial) {
            Some(sent) if sent.to == from => self.sent.swap_remove(&serial),
            _ => None,
        }
    }

    /// Requests whose deadline has passed.
    pub(crate) fn expired(&mut self, now: Time) -> Vec<(u64, Sent<T>)> {
        self.sent.extract_if(.., |_, sent| sent.deadline <= now).collect()
    }

    /// Requests to lives of hosts that are no more.
    pub(crate) fn orphans(&mut self, gone: impl Fn(HostId, Incarnation) -> bool) -> Vec<Sent<T>> {
        self.sent.extract_if(.., |_, sent| gone(sent.to, sent.request.incarnation)).map(|(_, sent)| sent).collect()
    }

    /// Messages to send again.
    pub(crate) fn due(&mut self, now: Time) -> Vec<(HostId, RelayMessage)> {
        let late = self.sent.iter_mut().filter(|(_, sent)| sent.next <= now);
        late.map(|(&serial, sent)| {
            sent.next = now + RESEND;
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
    pub(crate) fn known(&self, from: HostId, serial: u64) -> Option<RelayMessage> {
        self.taken.get(&(from, serial)).map(|taken| match taken {
            Taken::Open(_) => RelayMessage::Accepted { serial },
            Taken::Done { outcome, .. } => message(serial, outcome.clone()),
        })
    }

    /// Notes that a request of another host runs here.
    pub(crate) fn take(&mut self, from: HostId, serial: u64, task: TaskKey) {
        self.taken.insert((from, serial), Taken::Open(task));
    }

    /// The task of a request of another host, while it runs.
    pub(crate) fn task(&self, from: HostId, serial: u64) -> Option<TaskKey> {
        match self.taken.get(&(from, serial)) {
            Some(&Taken::Open(task)) => Some(task),
            _ => None,
        }
    }

    /// Notes how a request of another host ended, and returns the message that says so.
    pub(crate) fn finish(&mut self, now: Time, from: HostId, serial: u64, outcome: Outcome) -> RelayMessage {
        let done = Taken::Done { outcome: outcome.clone(), until: now + KEEP };
        self.taken.insert((from, serial), done);
        message(serial, outcome)
    }

    /// True for a request that may be a late copy of one that ended and was forgotten.
    pub(crate) fn is_old(&self, from: HostId, serial: u64) -> bool {
        self.floors.get(&from).is_some_and(|&floor| serial <= floor)
    }

    /// Forgets ends that nobody asks after any more.
    pub(crate) fn forget(&mut self, now: Time) {
        let old = |taken: &Taken| matches!(taken, Taken::Done { until, .. } if *until <= now);
        for ((from, serial), _) in self.taken.extract_if(.., |_, taken| old(taken)) {
            let floor = self.floors.entry(from).or_default();
            *floor = (*floor).max(serial);
        }
    }
}

fn message(serial: u64, outcome: Outcome) -> RelayMessage {
    match outcome {
        Outcome::Answer(answer) => RelayMessage::Answer { serial, answer },
        Outcome::Refused { code, retry_after } => RelayMessage::Refused { serial, code, retry_after },
    }
}
