//! The host a target announced itself to: passes heartbeats, leaves and usage on to the owner.

use super::{
    AVOID_DURATION, Answer, Echo, Event, FORWARD_TIMEOUT, Grants, HEARTBEAT_INTERVAL, HeartbeatReply,
    IMMEDIATE_INTERVAL, LEAVE_RETRY_INTERVAL, LEAVE_TIMEOUT, Message, Place, RETRY_INTERVAL, RequestId, Target,
};
use crate::hash;
use mangogw_model::{Announcement, HostId, Incarnation, Time, Usage};
use smallvec::SmallVec;

/// Hosts that one heartbeat is passed to at most.
const MAX_TRIES: usize = 2;

/// A heartbeat that waits for its answer.
#[derive(Debug)]
pub(crate) struct Open {
    announcement: Announcement,
    echo: Option<Echo>,
    tried: SmallVec<[HostId; MAX_TRIES]>,
    until: Time,
}

/// A leave that some hosts have not heard of.
#[derive(Debug)]
pub(crate) struct Leave {
    target: Target,
    life: Option<Incarnation>,
    waiting: SmallVec<[HostId; 8]>,
    retry: Time,
    start: Time,
    answered: bool,
}

/// The digest of an announcement, without the attempts it lists: they change all the time, and count only when a host
/// begins to own the target.
pub(crate) fn digest(announcement: &Announcement) -> u64 {
    let said = announcement;
    let place = (&said.name, said.address, &said.zone, &said.rack);
    let size = (said.kind, &said.entries, said.capacity, said.incarnation, said.connections);
    let text = postcard::to_stdvec(&(place, size)).expect("names and numbers can be encoded");
    text.chunks(8).fold(text.len() as u64, |sum, chunk| {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        hash::mix(sum ^ u64::from_le_bytes(word))
    })
}

impl Grants {
    /// A target's heartbeat came in here; the answer follows as [`Event::Answered`], within two timeouts.
    pub fn on_heartbeat(&mut self, now: Time, announcement: Announcement, echo: Option<Echo>) -> RequestId {
        self.serial += 1;
        let request_id = self.serial;
        let open = Open { announcement, echo, tried: SmallVec::new(), until: now };
        self.open.insert(request_id, open);
        self.pass(now, request_id);
        RequestId(request_id)
    }

    /// A target said here that it leaves; answered when its owner has heard it, or after a timeout.
    pub fn on_target_leave(&mut self, now: Time, target: Target, incarnation: Option<Incarnation>) -> RequestId {
        self.serial += 1;
        let request_id = self.serial;
        let answered = self.on_leave(now, target.clone(), incarnation);
        let waiting = self.peers(&target);
        self.leaves.insert(request_id, Leave { target, life: incarnation, waiting, retry: now, start: now, answered });
        if answered {
            self.reply(RequestId(request_id), None, HEARTBEAT_INTERVAL, true);
        }
        self.follow_leaves(now);
        RequestId(request_id)
    }

    /// A target's usage report came in here.
    pub fn on_usage_report(&mut self, now: Time, target: Target, usage: Usage) {
        let known = self.owners.get(&target).map(|place| place.host);
        match known.or_else(|| self.best(now, &target, &[])) {
            Some(host) if host == self.id => self.on_usage(now, target, usage),
            Some(to) => self.send(to, Message::Usage { target, usage }),
            None => {}
        }
    }

    /// All other hosts that may own the target.
    fn peers(&self, target: &Target) -> SmallVec<[HostId; 8]> {
        let near = self.hosts.values().filter(|known| known.seat.zone == target.zone).map(|known| known.seat.id);
        let near: SmallVec<[HostId; 8]> = near.collect();
        let all = || self.hosts.keys().copied().collect();
        let hosts: SmallVec<[HostId; 8]> = if near.is_empty() { all() } else { near };
        hosts.into_iter().filter(|&host| host != self.id).collect()
    }

    /// The host that should own the target: of its zone if that has any, by rank, without those in `not`.
    pub(super) fn best(&self, now: Time, target: &Target, not: &[HostId]) -> Option<HostId> {
        let key = hash::hash_str(target.name.as_str()) ^ hash::hash_str(target.zone.as_str()).rotate_left(1);
        let near = self.hosts.values().any(|known| known.seat.zone == target.zone);
        let fits = |id: HostId| !not.contains(&id) && self.avoid.get(&id).is_none_or(|&until| until <= now);
        let hosts = self.hosts.values().filter(|known| !near || known.seat.zone == target.zone);
        hash::owner(key, hosts.filter(|known| known.seat.usable && fits(known.seat.id)).map(|known| known.seat.id))
    }

    /// The host to pass a heartbeat to: the owner that the target names, else the one that should own it.
    fn next(&self, now: Time, open: &Open) -> Option<HostId> {
        let named = open.echo.map(|echo| echo.grant).filter(|grant| {
            let known = self.hosts.get(&grant.owner);
            known.is_some_and(|known| known.seat.incarnation == grant.incarnation && known.seat.usable)
                && self.avoid.get(&grant.owner).is_none_or(|&until| until <= now)
                && !open.tried.contains(&grant.owner)
        });
        named
            .map(|grant| grant.owner)
            .or_else(|| self.best(now, &Target::from_announcement(&open.announcement), &open.tried))
    }

    /// Passes a heartbeat to the next host, or answers that nothing changed.
    fn pass(&mut self, now: Time, request_id: u64) {
        let Some(open) = self.open.get(&request_id) else { return };
        let to = if open.tried.len() < MAX_TRIES { self.next(now, open) } else { None };
        let target = Target::from_announcement(&open.announcement);
        let (digest, echo) = (digest(&open.announcement), open.echo);
        let leaving = self.surely_left(&target, open.announcement.incarnation);
        match to {
            Some(to) if to == self.id => {
                let announcement = open.announcement.clone();
                let verdict = self.judge(now, announcement, echo);
                self.on_answer(now, to, request_id, verdict);
            }
            Some(to) => {
                if let Some(open) = self.open.get_mut(&request_id) {
                    open.tried.push(to);
                    open.until = now + FORWARD_TIMEOUT;
                }
                self.send(to, Message::Heartbeat { request_id, target, digest, echo, leaving });
            }
            None => {
                self.open.swap_remove(&request_id);
                self.reply(RequestId(request_id), None, RETRY_INTERVAL, true);
            }
        }
    }

    /// Tries another host for heartbeats that were not answered in time.
    pub(super) fn follow_beats(&mut self, now: Time) {
        let late = |open: &Open| open.until <= now;
        let late: Vec<(u64, Option<HostId>)> = self
            .open
            .iter()
            .filter(|(_, open)| late(open))
            .map(|(&request_id, open)| (request_id, open.tried.last().copied()))
            .collect();
        for (request_id, silent) in late {
            if let Some(host) = silent {
                self.avoid.insert(host, now + AVOID_DURATION);
            }
            self.pass(now, request_id);
        }
    }

    /// Hands the owner's answer on to the target.
    pub(super) fn on_answer(&mut self, now: Time, from: HostId, request_id: u64, verdict: HeartbeatReply) {
        let Some(open) = self.open.get(&request_id) else { return };
        let target = Target::from_announcement(&open.announcement);
        match verdict {
            HeartbeatReply::NeedsAnnouncement => {
                let announcement = Box::new(open.announcement.clone());
                let echo = open.echo;
                let leaving = self.surely_left(&target, announcement.incarnation);
                self.send(from, Message::Announce { request_id, announcement, echo, leaving });
                return;
            }
            HeartbeatReply::Granted { grant, renew_now } => {
                let incarnation = open.announcement.incarnation;
                self.owners.insert(target, Place { host: grant.owner, life: incarnation, at: now });
                self.reply(
                    RequestId(request_id),
                    Some(grant),
                    if renew_now { IMMEDIATE_INTERVAL } else { HEARTBEAT_INTERVAL },
                    true,
                );
            }
            HeartbeatReply::Unchanged => self.reply(RequestId(request_id), None, RETRY_INTERVAL, true),
            HeartbeatReply::Stale => self.reply(RequestId(request_id), None, HEARTBEAT_INTERVAL, false),
        }
        self.open.swap_remove(&request_id);
    }

    /// Repeats leaves to hosts that have not heard of them.
    pub(super) fn follow_leaves(&mut self, now: Time) {
        let mut sends = Vec::new();
        let mut replies = Vec::new();
        for (&request_id, leave) in &mut self.leaves {
            if leave.retry <= now {
                leave.retry = now + LEAVE_RETRY_INTERVAL;
                let message = || Message::Leave { request_id, target: leave.target.clone(), incarnation: leave.life };
                sends.extend(leave.waiting.iter().map(|&to| (to, message())));
            }
            let over = leave.waiting.is_empty() || now - leave.start >= FORWARD_TIMEOUT * 2;
            if over && !leave.answered {
                leave.answered = true;
                replies.push(request_id);
            }
        }
        self.leaves.retain(|_, leave| !leave.waiting.is_empty() && now - leave.start < LEAVE_TIMEOUT);
        for (to, message) in sends {
            self.send(to, message);
        }
        for request_id in replies {
            self.reply(RequestId(request_id), None, HEARTBEAT_INTERVAL, true);
        }
    }

    /// A host has heard of a leave.
    pub(super) fn on_left(&mut self, from: HostId, request_id: u64, owner: bool) {
        let Some(leave) = self.leaves.get_mut(&request_id) else { return };
        leave.waiting.retain(|host| *host != from);
        let first = !leave.answered && (owner || leave.waiting.is_empty());
        leave.answered |= first;
        if first {
            self.reply(RequestId(request_id), None, HEARTBEAT_INTERVAL, true);
        }
    }

    fn reply(
        &mut self,
        request_id: RequestId,
        grant: Option<super::Grant>,
        interval: std::time::Duration,
        valid: bool,
    ) {
        self.event(Event::Answered { request_id, answer: Answer { grant, interval, valid } });
    }
}
