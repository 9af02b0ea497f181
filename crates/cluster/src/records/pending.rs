//! Callers' requests on their entry host that wait for the owner of their key.

use super::message::{Body, OwnerReply, RecordRequest};
use super::output::{Outbox, Output, Reply, Tag};
use super::settings::Settings;
use crate::ownership::Holder;
use mangogw_model::{Code, Key, Outcome, Time};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which an unanswered request is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the state of a recorded submission is requested again.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Requests that wait for an owner, by request number.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    next: u64,
    pending: BTreeMap<u64, PendingRequest>,
}

#[derive(Debug)]
struct PendingRequest {
    tag: Tag,
    key: Key,
    request: RecordRequest,
    deadline: Time,
    /// Time until which the caller waits.
    wait_until: Time,
    /// Time until which this host looks for an owner.
    search_until: Time,
    sent_at: Option<Time>,
    /// All holders that it was sent to.
    sent: SmallVec<[Holder; 2]>,
    /// All holders that refused it for good.
    refused: SmallVec<[Holder; 2]>,
    /// True if an owner replied that the submission is recorded.
    recorded: bool,
    /// True if the key was generated on this host and no owner can have accepted it.
    first_attempt: bool,
    /// Value of `first_attempt` when the request was last sent.
    sent_first: bool,
}

impl PendingRequests {
    /// Adds a request and returns its number. `deadline` matters to submissions only.
    pub fn insert(
        &mut self,
        now: Time,
        tag: Tag,
        key: Key,
        request: RecordRequest,
        deadline: Time,
        settings: &Settings,
    ) -> u64 {
        let wait = match &request {
            RecordRequest::Submit { wait, .. } | RecordRequest::Read { wait } => *wait,
            RecordRequest::Cancel => Duration::ZERO,
        };
        let search_until = match &request {
            RecordRequest::Submit { .. } => now + settings.owner_timeout,
            RecordRequest::Read { .. } | RecordRequest::Cancel => now + wait + settings.owner_timeout,
        };
        let first_attempt = matches!(&request, RecordRequest::Submit { first_attempt: true, .. });
        let pending = PendingRequest {
            tag,
            key,
            request,
            deadline,
            wait_until: now + wait,
            search_until,
            sent_at: None,
            sent: SmallVec::new(),
            refused: SmallVec::new(),
            recorded: false,
            first_attempt,
            sent_first: false,
        };
        self.next += 1;
        self.pending.insert(self.next, pending);
        self.next
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the numbers and keys of the requests that are due.
    pub fn due(&self, now: Time) -> Vec<(u64, Key)> {
        let due = |pending: &PendingRequest| {
            let pause = if pending.recorded { POLL_INTERVAL } else { RETRY_INTERVAL };
            pending.sent_at.is_none_or(|sent| now - sent >= pause)
        };
        self.pending
            .iter()
            .filter(|(_, pending)| due(pending))
            .map(|(at, pending)| (*at, pending.key.clone()))
            .collect()
    }

    /// Sends a request to the owner of its key.
    pub fn send(&mut self, now: Time, request_id: u64, owner: Holder, outbox: &mut Outbox) {
        let floor = self.pending.keys().next().copied().unwrap_or(request_id);
        let Some(pending) = self.pending.get_mut(&request_id) else {
            return;
        };
        pending.sent_at = Some(now);
        if !pending.sent.contains(&owner) {
            pending.sent.push(owner);
        }
        let request = pending.message(now);
        pending.sent_first = std::mem::replace(&mut pending.first_attempt, false);
        outbox.send(owner, Body::Request { request_id, floor, key: pending.key.clone(), request });
    }

    /// Handles the reply of an owner.
    pub fn on_reply(
        &mut self,
        me: Holder,
        from: Holder,
        request_id: u64,
        owner_reply: OwnerReply,
        settings: &Settings,
        outbox: &mut Outbox,
    ) {
        let Some(pending) = self.pending.get_mut(&request_id) else {
            return;
        };
        let submit = matches!(pending.request, RecordRequest::Submit { .. });
        let reply = match owner_reply {
            OwnerReply::Busy => {
                // This host, as the owner, refused it at once, and no other host has received it.
                pending.first_attempt = pending.sent_first && from == me;
                return;
            }
            OwnerReply::Recorded { total } if pending.wait_until <= pending.sent_at.unwrap_or(Time::ZERO) => {
                Reply::Running { total }
            }
            OwnerReply::Recorded { .. } => {
                pending.recorded = true;
                pending.search_until = pending.wait_until + settings.owner_timeout;
                return;
            }
            OwnerReply::Running { total } => Reply::Running { total },
            OwnerReply::Ended(result) => Reply::Ended(result),
            OwnerReply::Refused(_) if pending.recorded => Reply::Refused(Code::HomeUnknown),
            OwnerReply::Refused(code) if submit && code.outcome() == Outcome::NotRun => {
                if !pending.refused.contains(&from) {
                    pending.refused.push(from);
                }
                // Another host that received it may have recorded it.
                if pending.sent.iter().any(|holder| !pending.refused.contains(holder)) {
                    return;
                }
                Reply::Refused(code)
            }
            OwnerReply::Refused(code) => Reply::Refused(code),
        };
        let tag = pending.tag;
        self.pending.remove(&request_id);
        outbox.push(Output::Reply { tag, reply });
    }

    /// Refuses the requests whose owner was not found in time.
    pub fn expire(&mut self, now: Time, outbox: &mut Outbox) {
        self.pending.retain(|_, pending| {
            let over = now >= pending.search_until;
            if over {
                // Only if the key never left this host is it certain that nothing started.
                let code = if pending.first_attempt { Code::HomeUnreachable } else { Code::HomeUnknown };
                outbox.push(Output::Reply { tag: pending.tag, reply: Reply::Refused(code) });
            }
            !over
        });
    }
}

impl PendingRequest {
    /// Returns the message to send now: for a recorded submission, a read of its state.
    fn message(&self, now: Time) -> RecordRequest {
        match &self.request {
            RecordRequest::Submit { .. } if self.recorded => RecordRequest::Read { wait: self.wait_until - now },
            RecordRequest::Submit { spec, .. } => RecordRequest::Submit {
                spec: std::sync::Arc::clone(spec),
                time_left: self.deadline - now,
                wait: self.wait_until - now,
                first_attempt: self.first_attempt,
            },
            RecordRequest::Read { .. } => RecordRequest::Read { wait: self.wait_until - now },
            RecordRequest::Cancel => RecordRequest::Cancel,
        }
    }
}
