//! Host that receives a target's heartbeats, leaves and usage reports, and forwards them to the owner.

use super::{
    AVOID_DURATION, Answer, Echo, Event, FORWARD_TIMEOUT, Grants, HEARTBEAT_INTERVAL, HeartbeatReply,
    IMMEDIATE_INTERVAL, LEAVE_RETRY_INTERVAL, LEAVE_TIMEOUT, Message, OwnerEntry, RETRY_INTERVAL, RequestId, Target,
};
use crate::hash;
use mangogw_model::{Announcement, HostId, Incarnation, Time, Usage};
use smallvec::SmallVec;

/// Maximum number of hosts that one heartbeat is forwarded to.
const MAX_TRIES: usize = 2;

/// A heartbeat that waits for the owner's reply.
#[derive(Debug)]
pub(crate) struct PendingHeartbeat {
    announcement: Announcement,
    echo: Option<Echo>,
    tried_hosts: SmallVec<[HostId; MAX_TRIES]>,
    deadline: Time,
}

/// A leave that at least one host has not acknowledged.
#[derive(Debug)]
pub(crate) struct PendingLeave {
    target: Target,
    incarnation: Option<Incarnation>,
    unacked: SmallVec<[HostId; 8]>,
    next_retry: Time,
    start: Time,
    answered: bool,
}

/// Returns the digest of an announcement without its list of running attempts: they change all the time and
/// count only when a host becomes the owner.
pub(crate) fn digest(announcement: &Announcement) -> u64 {
    let content = announcement;
    let identity = (&content.name, content.address, &content.zone, &content.rack);
    let properties = (content.kind, &content.entries, content.capacity, content.incarnation, content.connections);
    let text =
        postcard::to_stdvec(&(identity, properties)).expect("encoding an announcement for its digest can't fail");
    text.chunks(8).fold(text.len() as u64, |sum, chunk| {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        hash::mix(sum ^ u64::from_le_bytes(word))
    })
}

impl Grants {
    /// Handles a target's heartbeat received by this host. The answer follows as [`Event::Answered`] within two times
    /// [`FORWARD_TIMEOUT`].
    pub fn on_heartbeat(&mut self, now: Time, announcement: Announcement, echo: Option<Echo>) -> RequestId {
        self.serial += 1;
        let request_id = self.serial;
        let heartbeat = PendingHeartbeat { announcement, echo, tried_hosts: SmallVec::new(), deadline: now };
        self.pending_heartbeats.insert(request_id, heartbeat);
        self.forward_heartbeat(now, request_id);
        RequestId(request_id)
    }

    /// Handles a target's leave received by this host. The answer follows when the owner has acknowledged the leave, or
    /// after two times [`FORWARD_TIMEOUT`].
    pub fn on_target_leave(&mut self, now: Time, target: Target, incarnation: Option<Incarnation>) -> RequestId {
        self.serial += 1;
        let request_id = self.serial;
        let answered = self.record_leave(now, target.clone(), incarnation);
        let unacked = self.candidate_owners(&target);
        self.pending_leaves
            .insert(request_id, PendingLeave { target, incarnation, unacked, next_retry: now, start: now, answered });
        if answered {
            self.reply(RequestId(request_id), None, HEARTBEAT_INTERVAL, true);
        }
        self.retry_leaves(now);
        RequestId(request_id)
    }

    /// Handles a target's usage report received by this host, and forwards it to the owner.
    pub fn on_usage_report(&mut self, now: Time, target: Target, usage: Usage) {
        let known = self.owners.get(&target).map(|entry| entry.host);
        match known.or_else(|| self.preferred_owner(now, &target, &[])) {
            Some(host) if host == self.id => self.emit_usage(now, target, usage),
            Some(to) => self.send(to, Message::Usage { target, usage }),
            None => {}
        }
    }

    /// Returns all other hosts that may own the target: those of its zone, or all if the zone has none.
    fn candidate_owners(&self, target: &Target) -> SmallVec<[HostId; 8]> {
        let in_zone = self.hosts.values().filter(|known| known.member.zone == target.zone).map(|known| known.member.id);
        let in_zone: SmallVec<[HostId; 8]> = in_zone.collect();
        let all = || self.hosts.keys().copied().collect();
        let hosts: SmallVec<[HostId; 8]> = if in_zone.is_empty() { all() } else { in_zone };
        hosts.into_iter().filter(|&host| host != self.id).collect()
    }

    /// Returns the host that should own the target: the usable host with the highest rank, in the target's zone if that
    /// has any, excluding `not`.
    pub(super) fn preferred_owner(&self, now: Time, target: &Target, not: &[HostId]) -> Option<HostId> {
        let key = hash::hash_str(target.name.as_str()) ^ hash::hash_str(target.zone.as_str()).rotate_left(1);
        let in_zone = self.hosts.values().any(|known| known.member.zone == target.zone);
        let fits = |id: HostId| !not.contains(&id) && self.avoided.get(&id).is_none_or(|&until| until <= now);
        let hosts = self.hosts.values().filter(|known| !in_zone || known.member.zone == target.zone);
        hash::owner(
            key,
            hosts.filter(|known| known.member.usable && fits(known.member.id)).map(|known| known.member.id),
        )
    }

    /// Returns the host to forward a heartbeat to: the owner that the target names, else the preferred owner.
    fn next_host(&self, now: Time, heartbeat: &PendingHeartbeat) -> Option<HostId> {
        let named = heartbeat.echo.map(|echo| echo.grant).filter(|grant| {
            let known = self.hosts.get(&grant.owner);
            known.is_some_and(|known| known.member.incarnation == grant.incarnation && known.member.usable)
                && self.avoided.get(&grant.owner).is_none_or(|&until| until <= now)
                && !heartbeat.tried_hosts.contains(&grant.owner)
        });
        named.map(|grant| grant.owner).or_else(|| {
            self.preferred_owner(now, &Target::from_announcement(&heartbeat.announcement), &heartbeat.tried_hosts)
        })
    }

    /// Forwards a heartbeat to the next host, or answers without a new grant if no host is left.
    fn forward_heartbeat(&mut self, now: Time, request_id: u64) {
        let Some(heartbeat) = self.pending_heartbeats.get(&request_id) else { return };
        let to = if heartbeat.tried_hosts.len() < MAX_TRIES { self.next_host(now, heartbeat) } else { None };
        let target = Target::from_announcement(&heartbeat.announcement);
        let (digest, echo) = (digest(&heartbeat.announcement), heartbeat.echo);
        let leaving = self.confirmed_leave(&target, heartbeat.announcement.incarnation);
        match to {
            Some(to) if to == self.id => {
                let announcement = heartbeat.announcement.clone();
                let reply = self.handle_announcement(now, announcement, echo);
                self.on_answer(now, to, request_id, reply);
            }
            Some(to) => {
                if let Some(heartbeat) = self.pending_heartbeats.get_mut(&request_id) {
                    heartbeat.tried_hosts.push(to);
                    heartbeat.deadline = now + FORWARD_TIMEOUT;
                }
                self.send(to, Message::Heartbeat { request_id, target, digest, echo, leaving });
            }
            None => {
                self.pending_heartbeats.swap_remove(&request_id);
                self.reply(RequestId(request_id), None, RETRY_INTERVAL, true);
            }
        }
    }

    /// Forwards heartbeats that were not answered in time to another host, and avoids the host that did not answer.
    pub(super) fn retry_heartbeats(&mut self, now: Time) {
        let late = |heartbeat: &PendingHeartbeat| heartbeat.deadline <= now;
        let late: Vec<(u64, Option<HostId>)> = self
            .pending_heartbeats
            .iter()
            .filter(|(_, heartbeat)| late(heartbeat))
            .map(|(&request_id, heartbeat)| (request_id, heartbeat.tried_hosts.last().copied()))
            .collect();
        for (request_id, silent) in late {
            if let Some(host) = silent {
                self.avoided.insert(host, now + AVOID_DURATION);
            }
            self.forward_heartbeat(now, request_id);
        }
    }

    /// Answers the target with the owner's reply.
    pub(super) fn on_answer(&mut self, now: Time, from: HostId, request_id: u64, reply: HeartbeatReply) {
        let Some(heartbeat) = self.pending_heartbeats.get(&request_id) else { return };
        let target = Target::from_announcement(&heartbeat.announcement);
        match reply {
            HeartbeatReply::NeedsAnnouncement => {
                let announcement = Box::new(heartbeat.announcement.clone());
                let echo = heartbeat.echo;
                let leaving = self.confirmed_leave(&target, announcement.incarnation);
                self.send(from, Message::Announce { request_id, announcement, echo, leaving });
                return;
            }
            HeartbeatReply::Granted { grant, renew_now } => {
                let incarnation = heartbeat.announcement.incarnation;
                self.owners.insert(target, OwnerEntry { host: grant.owner, incarnation, at: now });
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
        self.pending_heartbeats.swap_remove(&request_id);
    }

    /// Resends leaves to hosts that have not acknowledged them.
    pub(super) fn retry_leaves(&mut self, now: Time) {
        let mut sends = Vec::new();
        let mut replies = Vec::new();
        for (&request_id, leave) in &mut self.pending_leaves {
            if leave.next_retry <= now {
                leave.next_retry = now + LEAVE_RETRY_INTERVAL;
                let message =
                    || Message::Leave { request_id, target: leave.target.clone(), incarnation: leave.incarnation };
                sends.extend(leave.unacked.iter().map(|&to| (to, message())));
            }
            let over = leave.unacked.is_empty() || now - leave.start >= FORWARD_TIMEOUT * 2;
            if over && !leave.answered {
                leave.answered = true;
                replies.push(request_id);
            }
        }
        self.pending_leaves.retain(|_, leave| !leave.unacked.is_empty() && now - leave.start < LEAVE_TIMEOUT);
        for (to, message) in sends {
            self.send(to, message);
        }
        for request_id in replies {
            self.reply(RequestId(request_id), None, HEARTBEAT_INTERVAL, true);
        }
    }

    /// Handles a host's acknowledgement of a leave.
    pub(super) fn on_leave_ack(&mut self, from: HostId, request_id: u64, owner: bool) {
        let Some(leave) = self.pending_leaves.get_mut(&request_id) else { return };
        leave.unacked.retain(|host| *host != from);
        let first = !leave.answered && (owner || leave.unacked.is_empty());
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
