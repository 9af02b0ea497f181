//! The host that owns a target, or is about to.

use super::entry::digest;
use super::{
    CLOCK_MARGIN, Echo, EndReason, Event, Gone, Grant, Grants, HeartbeatReply, JOIN_DELAY, LEASE_DURATION,
    MAX_PLAIN_HEARTBEATS, MIN_TENURE, PREEMPT_TIMEOUT, TARGET_RETENTION, Target,
};
use mangogw_model::{Announcement, HostId, Incarnation, Time, Usage};
use std::time::Duration;

/// Whose epoch it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    /// This host's.
    Mine,
    /// It was handed to this host.
    Given(HostId, Incarnation),
    /// Another host's: nothing was issued here, or what was issued is void.
    Other,
}

/// A target that this host owns, waits for or owned lately.
#[derive(Debug)]
pub(crate) struct Held {
    announcement: Announcement,
    digest: u64,
    side: Side,
    epoch: u64,
    /// True once the target has sent back a grant of this epoch.
    adopted: bool,
    /// The former owner's lease has run out by then.
    after: Time,
    /// The end of this host's lease.
    until: Time,
    /// Not handed back before.
    hold: Time,
    /// The last heartbeat.
    seen: Time,
    /// True between the events that tell the shell.
    told: bool,
    /// The grant of another host that the target holds, and since when it is known to.
    watched: Option<(Grant, Time)>,
    /// Heartbeats without a grant, and the first of them.
    plain: u32,
    first: Time,
}

impl Held {
    fn new(now: Time, announcement: Announcement) -> Self {
        let digest = digest(&announcement);
        Self {
            announcement,
            digest,
            side: Side::Other,
            epoch: 0,
            adopted: false,
            after: now,
            until: Time::ZERO,
            hold: now,
            seen: now,
            told: false,
            watched: None,
            plain: 0,
            first: now,
        }
    }

    /// True while this host may start work on the target.
    pub(crate) fn acts(&self, now: Time) -> bool {
        self.side == Side::Mine && self.adopted && now >= self.after && now < self.until
    }

    /// The end of the lease.
    pub(crate) const fn until(&self) -> Time {
        self.until
    }

    /// True if `digest` is that of its announcement.
    pub(crate) const fn announces(&self, digest: u64) -> bool {
        self.digest == digest
    }

    /// What the target announced.
    pub(crate) const fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Starts an epoch of this host that may act from `after`.
    const fn begin(&mut self, epoch: u64, after: Time) {
        self.side = Side::Mine;
        self.epoch = epoch;
        self.adopted = false;
        self.after = after;
        self.until = Time::ZERO;
    }

    /// How long the target has held the grant it sent back, at least.
    fn age(&mut self, now: Time, echo: &Echo) -> Duration {
        let since = match self.watched {
            Some((grant, since)) if grant == echo.grant => since,
            Some(_) | None => now,
        };
        self.watched = Some((echo.grant, since));
        let said = echo.age_ms.map_or(Duration::ZERO, |age| Duration::from_millis(u64::from(age)));
        said.max(now - since)
    }
}

impl Grants {
    /// Judges a heartbeat whose announcement may be known here.
    pub(super) fn judge_beat(&mut self, now: Time, target: &Target, digest: u64, echo: Option<Echo>) -> HeartbeatReply {
        match self.held.get(target) {
            Some(held) if held.digest == digest => self.decide(now, target, echo),
            Some(_) | None => HeartbeatReply::NeedsAnnouncement,
        }
    }

    /// Judges a heartbeat.
    pub(super) fn judge(&mut self, now: Time, announcement: Announcement, echo: Option<Echo>) -> HeartbeatReply {
        let target = Target::from_announcement(&announcement);
        let known = self.held.get(&target).map(|held| held.announcement.incarnation);
        match known {
            Some(incarnation) if incarnation > announcement.incarnation => return HeartbeatReply::Stale,
            Some(incarnation) if incarnation < announcement.incarnation => self.end(&target, EndReason::Restarted),
            Some(_) | None => {}
        }
        if known != Some(announcement.incarnation) {
            self.held.insert(target.clone(), Held::new(now, announcement.clone()));
        }
        self.refresh(&target, announcement);
        self.decide(now, &target, echo)
    }

    /// Judges the heartbeat of a target whose announcement is known here.
    fn decide(&mut self, now: Time, target: &Target, echo: Option<Echo>) -> HeartbeatReply {
        let Some(held) = self.held.get_mut(target) else { return HeartbeatReply::Unchanged };
        held.seen = now;
        let incarnation = Some(held.announcement.incarnation);
        if let Some(gone) = self.left.get_mut(target) {
            // A leave that named no life means the first one heard of.
            gone.life = gone.life.or(incarnation);
            gone.at = if gone.life >= incarnation { now } else { gone.at };
        }
        let verdict = match echo {
            None => self.judge_new(now, target),
            Some(echo) if echo.grant.is_owned_by(self.id, self.life) => self.judge_mine(now, target, echo.grant),
            Some(echo) => self.judge_other(now, target, &echo),
        };
        self.tell(now, target);
        verdict
    }

    /// Notes what changed in the announcement.
    fn refresh(&mut self, target: &Target, announcement: Announcement) {
        let Some(held) = self.held.get_mut(target) else { return };
        let digest = digest(&announcement);
        if held.digest == digest {
            return;
        }
        held.digest = digest;
        held.announcement = announcement.clone();
        let told = held.told;
        if told && !self.has_left(target, announcement.incarnation) {
            self.event(Event::Changed(Box::new(announcement)));
        }
    }

    /// The target holds no grant: no host has ever acted for this life of it.
    fn judge_new(&mut self, now: Time, target: &Target) -> HeartbeatReply {
        let Some(held) = self.held.get_mut(target) else { return HeartbeatReply::Unchanged };
        held.plain += 1;
        held.first = if held.plain == 1 { now } else { held.first };
        match held.side {
            Side::Mine if held.adopted && held.plain < MAX_PLAIN_HEARTBEATS => return HeartbeatReply::Unchanged,
            Side::Mine => {}
            Side::Given(..) | Side::Other => {
                let epoch = held.epoch + 1;
                held.begin(epoch, now);
            }
        }
        let silent = held.plain >= MAX_PLAIN_HEARTBEATS && now - held.first >= LEASE_DURATION + CLOCK_MARGIN;
        if silent {
            held.adopted = true;
            held.until = now + LEASE_DURATION;
        }
        self.issue(now, target, !silent)
    }

    /// The target holds a grant that names this host.
    fn judge_mine(&mut self, now: Time, target: &Target, grant: Grant) -> HeartbeatReply {
        let Some(held) = self.held.get_mut(target) else { return HeartbeatReply::Unchanged };
        held.plain = 0;
        match held.side {
            Side::Given(to, incarnation) if held.epoch > grant.epoch => {
                return self.hand_again(now, target, to, incarnation);
            }
            Side::Mine if held.epoch > grant.epoch => return HeartbeatReply::Unchanged,
            Side::Mine if held.epoch == grant.epoch => {}
            Side::Mine | Side::Given(..) | Side::Other => {
                held.begin(grant.epoch, now);
                held.hold = now + MIN_TENURE;
            }
        }
        let issued = Time::from_micros(grant.serial.min(now.as_micros()));
        let known = grant.serial > 0;
        held.adopted |= known;
        held.until = if known { held.until.max(issued + LEASE_DURATION) } else { held.until };
        let acts = held.acts(now);
        let free = acts && now >= held.hold;
        match self.heir(now, target) {
            Some((to, incarnation)) if free || (acts && self.leaving) => self.hand(now, target, to, incarnation),
            Some(_) | None => self.issue(now, target, !known),
        }
    }

    /// The target holds a grant that names another host.
    fn judge_other(&mut self, now: Time, target: &Target, echo: &Echo) -> HeartbeatReply {
        let Some(held) = self.held.get_mut(target) else { return HeartbeatReply::Unchanged };
        held.plain = 0;
        let epoch = echo.grant.epoch;
        if held.side == Side::Mine && held.adopted && held.epoch > epoch {
            return HeartbeatReply::Unchanged;
        }
        let age = held.age(now, echo);
        let taken = held.side == Side::Mine && held.epoch <= epoch;
        if taken {
            held.side = Side::Other;
            held.epoch = epoch;
            self.end(target, EndReason::TakenOver(echo.grant.owner));
        }
        let leaving = self.leaving;
        let Some(held) = self.held.get_mut(target) else { return HeartbeatReply::Unchanged };
        if age < PREEMPT_TIMEOUT || leaving {
            return HeartbeatReply::Unchanged;
        }
        let wait = (LEASE_DURATION + CLOCK_MARGIN).saturating_sub(age);
        let after = if held.side == Side::Mine { held.after.max(now + wait) } else { now + wait };
        let next = held.epoch.max(epoch + 1).max(if held.side == Side::Mine { 0 } else { held.epoch + 1 });
        held.begin(next, after);
        held.hold = now + MIN_TENURE;
        self.issue(now, target, true)
    }

    /// Issues a grant that names this host.
    fn issue(&self, now: Time, target: &Target, renew_now: bool) -> HeartbeatReply {
        let Some(held) = self.held.get(target) else { return HeartbeatReply::Unchanged };
        let grant = Grant { epoch: held.epoch, owner: self.id, incarnation: self.life, serial: now.as_micros() };
        HeartbeatReply::Granted { grant, renew_now }
    }

    /// The host that should own the target in place of this one.
    fn heir(&self, now: Time, target: &Target) -> Option<(HostId, Incarnation)> {
        let me = [self.id];
        let best = self.best(now, target, if self.leaving { &me } else { &[] })?;
        let known = self.hosts.get(&best)?;
        let settled = self.leaving || now - known.since >= JOIN_DELAY;
        (best != self.id && settled).then_some((best, known.seat.incarnation))
    }

    /// Stops acting for good in this epoch and names the next owner.
    fn hand(&mut self, now: Time, target: &Target, to: HostId, incarnation: Incarnation) -> HeartbeatReply {
        let Some(held) = self.held.get_mut(target) else { return HeartbeatReply::Unchanged };
        held.epoch += 1;
        held.side = Side::Given(to, incarnation);
        held.adopted = false;
        held.until = Time::ZERO;
        held.seen = now;
        let epoch = held.epoch;
        self.end(target, EndReason::HandedOver(to));
        HeartbeatReply::Granted { grant: Grant { epoch, owner: to, incarnation, serial: 0 }, renew_now: true }
    }

    /// The target has not taken the grant of the next owner: names it again, or another if that one is gone.
    fn hand_again(&mut self, now: Time, target: &Target, to: HostId, incarnation: Incarnation) -> HeartbeatReply {
        let there = self.hosts.get(&to).is_some_and(|known| known.seat.incarnation == incarnation && known.seat.usable);
        let next = if there { Some((to, incarnation)) } else { self.heir(now, target) };
        let Some(held) = self.held.get_mut(target) else { return HeartbeatReply::Unchanged };
        match next {
            Some((owner, incarnation)) => {
                held.epoch += u64::from(!there);
                held.side = Side::Given(owner, incarnation);
                HeartbeatReply::Granted {
                    grant: Grant { epoch: held.epoch, owner, incarnation, serial: 0 },
                    renew_now: true,
                }
            }
            None => {
                let epoch = held.epoch + 1;
                held.begin(epoch, now);
                self.issue(now, target, true)
            }
        }
    }

    /// Tells the shell when this host starts or stops to own the target.
    fn tell(&mut self, now: Time, target: &Target) {
        let Some(held) = self.held.get_mut(target) else { return };
        match (held.told, held.acts(now)) {
            (false, true) => {
                held.told = true;
                let announcement = Box::new(held.announcement.clone());
                let leaving = self.has_left(target, announcement.incarnation);
                self.event(Event::Granted { announcement, leaving });
            }
            (true, false) => self.end(target, EndReason::Expired),
            _ => {}
        }
    }

    /// Tells the shell that this host no longer owns the target.
    fn end(&mut self, target: &Target, reason: EndReason) {
        let Some(held) = self.held.get_mut(target) else { return };
        if std::mem::take(&mut held.told) {
            self.event(Event::Ended { target: target.clone(), reason });
        }
    }

    /// Follows leases that begin or end, and forgets targets that are gone.
    pub(super) fn watch_leases(&mut self, now: Time) {
        let changed = |held: &Held| held.told != held.acts(now);
        let due: Vec<Target> =
            self.held.iter().filter(|(_, held)| changed(held)).map(|(target, _)| target.clone()).collect();
        for target in due {
            self.tell(now, &target);
        }
        self.held.retain(|_, held| now - held.seen < TARGET_RETENTION);
    }

    /// Notes that a target leaves; true if this host owns it.
    pub(super) fn on_leave(&mut self, now: Time, target: Target, incarnation: Option<Incarnation>) -> bool {
        let owner = self.owns(now, &target);
        let held = self.held.get(&target).map(|held| held.announcement.incarnation);
        let known = held.or(self.owners.get(&target).map(|place| place.life));
        let stale = matches!((incarnation, known), (Some(left), Some(known)) if left < known);
        if stale {
            return false;
        }
        let new = !known.is_some_and(|known| self.has_left(&target, known));
        self.left.insert(target.clone(), Gone { life: incarnation.or(known), at: now });
        if owner && new {
            self.event(Event::Leaving(target));
        }
        owner
    }

    /// Hands a usage report on if this host owns the target.
    pub(super) fn on_usage(&mut self, now: Time, target: Target, usage: Usage) {
        if self.owns(now, &target) {
            self.event(Event::Usage { target, usage });
        }
    }
}
