//! The host a target announced itself to: passes heartbeats, leaves and usage on to the owner.

use super::{
    AVOID, Answer, Echo, Event, Grants, HEARTBEAT, LEAVE_RETRY, LEAVE_TIME, Message, PASS_TIMEOUT, Place, RETRY, SOON,
    Target, Ticket, Verdict,
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

/// The digest of an announcement.
pub(crate) fn digest(announcement: &Announcement) -> u64 {
    let text = postcard::to_stdvec(announcement).unwrap_or_default();
    text.chunks(8).fold(text.len() as u64, |sum, chunk| {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        hash::mix(sum ^ u64::from_le_bytes(word))
    })
}

impl Grants {
    /// A target's heartbeat came in here; the answer follows as [`Event::Answered`], within two timeouts.
    pub fn announce(&mut self, now: Time, announcement: Announcement, echo: Option<Echo>) -> Ticket {
        self.serial += 1;
        let ticket = self.serial;
        let open = Open { announcement, echo, tried: SmallVec::new(), until: now };
        self.open.insert(ticket, open);
        self.pass(now, ticket);
        Ticket(ticket)
    }

    /// A target said here that it leaves; answered when its owner has heard it, or after a timeout.
    pub fn leave(&mut self, now: Time, target: Target, life: Option<Incarnation>) -> Ticket {
        self.serial += 1;
        let ticket = self.serial;
        let answered = self.on_leave(now, target.clone(), life);
        let waiting = self.peers(&target);
        self.leaves.insert(ticket, Leave { target, life, waiting, retry: now, start: now, answered });
        if answered {
            self.reply(Ticket(ticket), None, HEARTBEAT, true);
        }
        self.follow_leaves(now);
        Ticket(ticket)
    }

    /// A target's usage report came in here.
    pub fn usage(&mut self, now: Time, target: Target, usage: Usage) {
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
        let key = hash::text(target.name.as_str()) ^ hash::text(target.zone.as_str()).rotate_left(1);
        let near = self.hosts.values().any(|known| known.seat.zone == target.zone);
        let fits = |id: HostId| !not.contains(&id) && self.avoid.get(&id).is_none_or(|&until| until <= now);
        let hosts = self.hosts.values().filter(|known| !near || known.seat.zone == target.zone);
        hash::owner(key, hosts.filter(|known| known.seat.usable && fits(known.seat.id)).map(|known| known.seat.id))
    }

    /// The host to pass a heartbeat to: the owner that the target names, else the one that should own it.
    fn next(&self, now: Time, open: &Open) -> Option<HostId> {
        let named = open.echo.map(|echo| echo.grant).filter(|grant| {
            let known = self.hosts.get(&grant.owner);
            known.is_some_and(|known| known.seat.life == grant.life && known.seat.usable)
                && self.avoid.get(&grant.owner).is_none_or(|&until| until <= now)
                && !open.tried.contains(&grant.owner)
        });
        named.map(|grant| grant.owner).or_else(|| self.best(now, &Target::of(&open.announcement), &open.tried))
    }

    /// Passes a heartbeat to the next host, or answers that nothing changed.
    fn pass(&mut self, now: Time, ticket: u64) {
        let Some(open) = self.open.get(&ticket) else { return };
        let to = if open.tried.len() < MAX_TRIES { self.next(now, open) } else { None };
        let target = Target::of(&open.announcement);
        let (digest, echo) = (digest(&open.announcement), open.echo);
        let leaving = self.surely_left(&target, open.announcement.incarnation);
        match to {
            Some(to) if to == self.id => {
                let announcement = open.announcement.clone();
                let verdict = self.judge(now, announcement, echo);
                self.on_answer(now, to, ticket, verdict);
            }
            Some(to) => {
                if let Some(open) = self.open.get_mut(&ticket) {
                    open.tried.push(to);
                    open.until = now + PASS_TIMEOUT;
                }
                self.send(to, Message::Beat { ticket, target, digest, echo, leaving });
            }
            None => {
                self.open.swap_remove(&ticket);
                self.reply(Ticket(ticket), None, RETRY, true);
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
            .map(|(&ticket, open)| (ticket, open.tried.last().copied()))
            .collect();
        for (ticket, silent) in late {
            if let Some(host) = silent {
                self.avoid.insert(host, now + AVOID);
            }
            self.pass(now, ticket);
        }
    }

    /// Hands the owner's answer on to the target.
    pub(super) fn on_answer(&mut self, now: Time, from: HostId, ticket: u64, verdict: Verdict) {
        let Some(open) = self.open.get(&ticket) else { return };
        let target = Target::of(&open.announcement);
        match verdict {
            Verdict::NeedsAnnouncement => {
                let announcement = Box::new(open.announcement.clone());
                let echo = open.echo;
                let leaving = self.surely_left(&target, announcement.incarnation);
                self.send(from, Message::Announce { ticket, announcement, echo, leaving });
                return;
            }
            Verdict::Granted { grant, soon } => {
                let life = open.announcement.incarnation;
                self.owners.insert(target, Place { host: grant.owner, life, at: now });
                self.reply(Ticket(ticket), Some(grant), if soon { SOON } else { HEARTBEAT }, true);
            }
            Verdict::Kept => self.reply(Ticket(ticket), None, RETRY, true),
            Verdict::Stale => self.reply(Ticket(ticket), None, HEARTBEAT, false),
        }
        self.open.swap_remove(&ticket);
    }

    /// Repeats leaves to hosts that have not heard of them.
    pub(super) fn follow_leaves(&mut self, now: Time) {
        let mut sends = Vec::new();
        let mut replies = Vec::new();
        for (&ticket, leave) in &mut self.leaves {
            if leave.retry <= now {
                leave.retry = now + LEAVE_RETRY;
                let message = || Message::Leave { ticket, target: leave.target.clone(), life: leave.life };
                sends.extend(leave.waiting.iter().map(|&to| (to, message())));
            }
            let over = leave.waiting.is_empty() || now - leave.start >= PASS_TIMEOUT * 2;
            if over && !leave.answered {
                leave.answered = true;
                replies.push(ticket);
            }
        }
        self.leaves.retain(|_, leave| !leave.waiting.is_empty() && now - leave.start < LEAVE_TIME);
        for (to, message) in sends {
            self.send(to, message);
        }
        for ticket in replies {
            self.reply(Ticket(ticket), None, HEARTBEAT, true);
        }
    }

    /// A host has heard of a leave.
    pub(super) fn on_left(&mut self, from: HostId, ticket: u64, owner: bool) {
        let Some(leave) = self.leaves.get_mut(&ticket) else { return };
        leave.waiting.retain(|host| *host != from);
        let first = !leave.answered && (owner || leave.waiting.is_empty());
        leave.answered |= first;
        if first {
            self.reply(Ticket(ticket), None, HEARTBEAT, true);
        }
    }

    fn reply(&mut self, ticket: Ticket, grant: Option<super::Grant>, interval: std::time::Duration, valid: bool) {
        self.event(Event::Answered { ticket, answer: Answer { grant, interval, valid } });
    }
}
