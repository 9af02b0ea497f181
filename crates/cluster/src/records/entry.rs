//! The entry host's side: callers' requests that wait for the owner of their key.

use super::message::{Body, OwnerReply, RecordRequest};
use super::output::{Output, Post, Reply, Tag};
use super::settings::Settings;
use crate::ownership::Holder;
use mangogw_model::{Code, Key, Outcome, Time};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::Duration;

/// After it a request that got no word is sent again.
const RETRY: Duration = Duration::from_millis(100);
/// After it a recorded submission is asked after again.
const CHECK: Duration = Duration::from_secs(1);

/// Requests that wait for an owner, by number.
#[derive(Debug, Default)]
pub(super) struct Entry {
    next: u64,
    pending: BTreeMap<u64, Pending>,
}

#[derive(Debug)]
struct Pending {
    tag: Tag,
    key: Key,
    ask: RecordRequest,
    deadline: Time,
    /// When the caller no longer waits.
    waits: Time,
    /// When this host stops looking for an owner.
    until: Time,
    sent_at: Option<Time>,
    /// Everyone it was sent to.
    sent: SmallVec<[Holder; 2]>,
    /// Everyone who refused it for good.
    refused: SmallVec<[Holder; 2]>,
    /// The owner said that it is recorded.
    noted: bool,
    /// Minted here, and accepted nowhere.
    fresh: bool,
    /// The last time it was sent, it was still fresh.
    trying: bool,
}

impl Entry {
    /// Takes a request in. `deadline` matters to submissions only.
    pub fn put(
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
        let until = match &request {
            RecordRequest::Submit { .. } => now + settings.owner_timeout,
            RecordRequest::Read { .. } | RecordRequest::Cancel => now + wait + settings.owner_timeout,
        };
        let fresh = matches!(&request, RecordRequest::Submit { first_attempt: true, .. });
        let pending = Pending {
            tag,
            key,
            ask: request,
            deadline,
            waits: now + wait,
            until,
            sent_at: None,
            sent: SmallVec::new(),
            refused: SmallVec::new(),
            noted: false,
            fresh,
            trying: false,
        };
        self.next += 1;
        self.pending.insert(self.next, pending);
        self.next
    }

    /// The number of requests that wait.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Numbers and keys of the requests that should be sent now.
    pub fn due(&self, now: Time) -> Vec<(u64, Key)> {
        let due = |pending: &Pending| {
            let pause = if pending.noted { CHECK } else { RETRY };
            pending.sent_at.is_none_or(|sent| now - sent >= pause)
        };
        self.pending
            .iter()
            .filter(|(_, pending)| due(pending))
            .map(|(at, pending)| (*at, pending.key.clone()))
            .collect()
    }

    /// Sends a request to the owner of its key.
    pub fn send(&mut self, now: Time, request_id: u64, owner: Holder, post: &mut Post) {
        let floor = self.pending.keys().next().copied().unwrap_or(request_id);
        let Some(pending) = self.pending.get_mut(&request_id) else {
            return;
        };
        pending.sent_at = Some(now);
        if !pending.sent.contains(&owner) {
            pending.sent.push(owner);
        }
        let request = pending.message(now);
        pending.trying = std::mem::replace(&mut pending.fresh, false);
        post.send(owner, Body::Request { request_id, floor, key: pending.key.clone(), request });
    }

    /// Takes in what an owner said.
    pub fn told(
        &mut self,
        me: Holder,
        from: Holder,
        request_id: u64,
        told: OwnerReply,
        settings: &Settings,
        post: &mut Post,
    ) {
        let Some(pending) = self.pending.get_mut(&request_id) else {
            return;
        };
        let submit = matches!(pending.ask, RecordRequest::Submit { .. });
        let reply = match told {
            OwnerReply::Busy => {
                // This host itself turned it down at once; nobody else has heard of it.
                pending.fresh = pending.trying && from == me;
                return;
            }
            OwnerReply::Recorded { total } if pending.waits <= pending.sent_at.unwrap_or(Time::ZERO) => {
                Reply::Running { total }
            }
            OwnerReply::Recorded { .. } => {
                pending.noted = true;
                pending.until = pending.waits + settings.owner_timeout;
                return;
            }
            OwnerReply::Running { total } => Reply::Running { total },
            OwnerReply::Ended(verdict) => Reply::Ended(verdict),
            OwnerReply::Refused(_) if pending.noted => Reply::Refused(Code::HomeUnknown),
            OwnerReply::Refused(code) if submit && code.outcome() == Outcome::NotRun => {
                if !pending.refused.contains(&from) {
                    pending.refused.push(from);
                }
                // Another host that it was sent to may have recorded it.
                if pending.sent.iter().any(|holder| !pending.refused.contains(holder)) {
                    return;
                }
                Reply::Refused(code)
            }
            OwnerReply::Refused(code) => Reply::Refused(code),
        };
        let tag = pending.tag;
        self.pending.remove(&request_id);
        post.push(Output::Reply { tag, reply });
    }

    /// Refuses the requests whose owner was not found in time.
    pub fn expire(&mut self, now: Time, post: &mut Post) {
        self.pending.retain(|_, pending| {
            let over = now >= pending.until;
            if over {
                // Only a key that never left this host provably started nothing.
                let code = if pending.fresh { Code::HomeUnreachable } else { Code::HomeUnknown };
                post.push(Output::Reply { tag: pending.tag, reply: Reply::Refused(code) });
            }
            !over
        });
    }
}

impl Pending {
    /// The request as it goes out now: a recorded submission is only asked after.
    fn message(&self, now: Time) -> RecordRequest {
        match &self.ask {
            RecordRequest::Submit { .. } if self.noted => RecordRequest::Read { wait: self.waits - now },
            RecordRequest::Submit { spec, .. } => RecordRequest::Submit {
                spec: std::sync::Arc::clone(spec),
                time_left: self.deadline - now,
                wait: self.waits - now,
                first_attempt: self.fresh,
            },
            RecordRequest::Read { .. } => RecordRequest::Read { wait: self.waits - now },
            RecordRequest::Cancel => RecordRequest::Cancel,
        }
    }
}
