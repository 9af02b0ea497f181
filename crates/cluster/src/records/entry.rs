//! The entry host's side: callers' requests that wait for the owner of their key.

use super::message::{Ask, Body, Told};
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
    ask: Ask,
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
    pub fn put(&mut self, now: Time, tag: Tag, key: Key, ask: Ask, deadline: Time, settings: &Settings) -> u64 {
        let wait = match &ask {
            Ask::Submit { wait, .. } | Ask::Read { wait } => *wait,
            Ask::Cancel => Duration::ZERO,
        };
        let until = match &ask {
            Ask::Submit { .. } => now + settings.patience,
            Ask::Read { .. } | Ask::Cancel => now + wait + settings.patience,
        };
        let fresh = matches!(&ask, Ask::Submit { fresh: true, .. });
        let pending = Pending {
            tag,
            key,
            ask,
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
    pub fn send(&mut self, now: Time, request: u64, owner: Holder, post: &mut Post) {
        let floor = self.pending.keys().next().copied().unwrap_or(request);
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        pending.sent_at = Some(now);
        if !pending.sent.contains(&owner) {
            pending.sent.push(owner);
        }
        let ask = pending.message(now);
        pending.trying = std::mem::replace(&mut pending.fresh, false);
        post.send(owner, Body::Ask { request, floor, key: pending.key.clone(), ask });
    }

    /// Takes in what an owner said.
    pub fn told(&mut self, me: Holder, from: Holder, request: u64, told: Told, settings: &Settings, post: &mut Post) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let submit = matches!(pending.ask, Ask::Submit { .. });
        let reply = match told {
            Told::Busy => {
                // This host itself turned it down at once; nobody else has heard of it.
                pending.fresh = pending.trying && from == me;
                return;
            }
            Told::Noted { total } if pending.waits <= pending.sent_at.unwrap_or(Time::ZERO) => Reply::Running { total },
            Told::Noted { .. } => {
                pending.noted = true;
                pending.until = pending.waits + settings.patience;
                return;
            }
            Told::Running { total } => Reply::Running { total },
            Told::Ended(verdict) => Reply::Ended(verdict),
            Told::Refused(_) if pending.noted => Reply::Refused(Code::HomeUnknown),
            Told::Refused(code) if submit && code.outcome() == Outcome::NotRun => {
                if !pending.refused.contains(&from) {
                    pending.refused.push(from);
                }
                // Another host that it was sent to may have recorded it.
                if pending.sent.iter().any(|holder| !pending.refused.contains(holder)) {
                    return;
                }
                Reply::Refused(code)
            }
            Told::Refused(code) => Reply::Refused(code),
        };
        let tag = pending.tag;
        self.pending.remove(&request);
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
    fn message(&self, now: Time) -> Ask {
        match &self.ask {
            Ask::Submit { .. } if self.noted => Ask::Read { wait: self.waits - now },
            Ask::Submit { work, .. } => Ask::Submit {
                work: std::sync::Arc::clone(work),
                left: self.deadline - now,
                wait: self.waits - now,
                fresh: self.fresh,
            },
            Ask::Read { .. } => Ask::Read { wait: self.waits - now },
            Ask::Cancel => Ask::Cancel,
        }
    }
}
