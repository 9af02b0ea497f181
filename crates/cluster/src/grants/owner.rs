//! The host that owns a target, or is about to.

use super::entry::digest;
use super::{
    Echo, Event, Gone, Grant, Grants, HOLD, KEEP, LEASE, MARGIN, PLAIN_BEATS, PREEMPT, Reason, SETTLE, Target, Verdict,
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
    pub(super) fn judge_beat(&mut self, now: Time, target: &Target, digest: u64, echo: Option<Echo>) -> Verdict {
        match self.held.get(target) {
            Some(held) if held.digest == digest => {
                let announcement = held.announcement.clone();
                self.judge(now, announcement, echo)
            }
            Some(_) | None => Verdict::NeedsAnnouncement,
        }
    }

    /// Judges a heartbeat.
    pub(super) fn judge(&mut self, now: Time, announcement: Announcement, echo: Option<Echo>) -> Verdict {
        let target = Target::of(&announcement);
        let known = self.held.get(&target).map(|held| held.announcement.incarnation);
        match known {
            Some(life) if life > announcement.incarnation => return Verdict::Stale,
            Some(life) if life < announcement.incarnation => self.end(&target, Reason::Restarted),
            Some(_) | None => {}
        }
        if known != Some(announcement.incarnation) {
            self.held.insert(target.clone(), Held::new(now, announcement.clone()));
        }
        self.refresh(now, &target, announcement);
        let life = self.held.get(&target).map(|held| held.announcement.incarnation);
        if let Some(gone) = self.left.get_mut(&target) {
            // A leave that named no life means the first one heard of.
            gone.life = gone.life.or(life);
            gone.at = if gone.life >= life { now } else { gone.at };
        }
        let verdict = match echo {
            None => self.judge_new(now, &target),
            Some(echo) if echo.grant.names(self.id, self.life) => self.judge_mine(now, &target, echo.grant),
            Some(echo) => self.judge_other(now, &target, &echo),
        };
        self.tell(now, &target);
        verdict
    }

    /// Notes a heartbeat, and what changed in the announcement.
    fn refresh(&mut self, now: Time, target: &Target, announcement: Announcement) {
        let Some(held) = self.held.get_mut(target) else { return };
        held.seen = now;
        let digest = digest(&announcement);
        if held.digest == digest {
            return;
        }
        held.digest = digest;
        held.announcement = announcement.clone();
        if held.told {
            self.event(Event::Changed(Box::new(announcement)));
        }
    }

    /// The target holds no grant: no host has ever acted for this life of it.
    fn judge_new(&mut self, now: Time, target: &Target) -> Verdict {
        let Some(held) = self.held.get_mut(target) else { return Verdict::Kept };
        held.plain += 1;
        held.first = if held.plain == 1 { now } else { held.first };
        match held.side {
            Side::Mine if held.adopted && held.plain < PLAIN_BEATS => return Verdict::Kept,
            Side::Mine => {}
            Side::Given(..) | Side::Other => {
                let epoch = held.epoch + 1;
                held.begin(epoch, now);
            }
        }
        let silent = held.plain >= PLAIN_BEATS && now - held.first >= LEASE + MARGIN;
        if silent {
            held.adopted = true;
            held.until = now + LEASE;
        }
        self.issue(now, target, !silent)
    }

    /// The target holds a grant that names this host.
    fn judge_mine(&mut self, now: Time, target: &Target, grant: Grant) -> Verdict {
        let Some(held) = self.held.get_mut(target) else { return Verdict::Kept };
        held.plain = 0;
        match held.side {
            Side::Given(to, life) if held.epoch > grant.epoch => return self.hand_again(now, target, to, life),
            Side::Mine if held.epoch > grant.epoch => return Verdict::Kept,
            Side::Mine if held.epoch == grant.epoch => {}
            Side::Mine | Side::Given(..) | Side::Other => {
                held.begin(grant.epoch, now);
                held.hold = now + HOLD;
            }
        }
        let issued = Time::from_micros(grant.serial.min(now.as_micros()));
        let known = grant.serial > 0;
        held.adopted |= known;
        held.until = if known { held.until.max(issued + LEASE) } else { held.until };
        let acts = held.acts(now);
        let free = acts && now >= held.hold;
        match self.heir(now, target) {
            Some((to, life)) if free || (acts && self.leaving) => self.hand(now, target, to, life),
            Some(_) | None => self.issue(now, target, !known),
        }
    }

    /// The target holds a grant that names another host.
    fn judge_other(&mut self, now: Time, target: &Target, echo: &Echo) -> Verdict {
        let Some(held) = self.held.get_mut(target) else { return Verdict::Kept };
        held.plain = 0;
        let epoch = echo.grant.epoch;
        if held.side == Side::Mine && held.adopted && held.epoch > epoch {
            return Verdict::Kept;
        }
        let age = held.age(now, echo);
        let taken = held.side == Side::Mine && held.epoch <= epoch;
        if taken {
            held.side = Side::Other;
            held.epoch = epoch;
            self.end(target, Reason::Taken(echo.grant.owner));
        }
        let leaving = self.leaving;
        let Some(held) = self.held.get_mut(target) else { return Verdict::Kept };
        if age < PREEMPT || leaving {
            return Verdict::Kept;
        }
        let wait = (LEASE + MARGIN).saturating_sub(age);
        let after = if held.side == Side::Mine { held.after.max(now + wait) } else { now + wait };
        let next = held.epoch.max(epoch + 1).max(if held.side == Side::Mine { 0 } else { held.epoch + 1 });
        held.begin(next, after);
        held.hold = now + HOLD;
        self.issue(now, target, true)
    }

    /// Issues a grant that names this host.
    fn issue(&self, now: Time, target: &Target, soon: bool) -> Verdict {
        let Some(held) = self.held.get(target) else { return Verdict::Kept };
        let grant = Grant { epoch: held.epoch, owner: self.id, life: self.life, serial: now.as_micros() };
        Verdict::Granted { grant, soon }
    }

    /// The host that should own the target in place of this one.
    fn heir(&self, now: Time, target: &Target) -> Option<(HostId, Incarnation)> {
        let me = [self.id];
        let best = self.best(now, target, if self.leaving { &me } else { &[] })?;
        let known = self.hosts.get(&best)?;
        let settled = self.leaving || now - known.since >= SETTLE;
        (best != self.id && settled).then_some((best, known.seat.life))
    }

    /// Stops acting for good in this epoch and names the next owner.
    fn hand(&mut self, now: Time, target: &Target, to: HostId, life: Incarnation) -> Verdict {
        let Some(held) = self.held.get_mut(target) else { return Verdict::Kept };
        held.epoch += 1;
        held.side = Side::Given(to, life);
        held.adopted = false;
        held.until = Time::ZERO;
        held.seen = now;
        let epoch = held.epoch;
        self.end(target, Reason::Handed(to));
        Verdict::Granted { grant: Grant { epoch, owner: to, life, serial: 0 }, soon: true }
    }

    /// The target has not taken the grant of the next owner: names it again, or another if that one is gone.
    fn hand_again(&mut self, now: Time, target: &Target, to: HostId, life: Incarnation) -> Verdict {
        let there = self.hosts.get(&to).is_some_and(|known| known.seat.life == life && known.seat.usable);
        let next = if there { Some((to, life)) } else { self.heir(now, target) };
        let Some(held) = self.held.get_mut(target) else { return Verdict::Kept };
        match next {
            Some((owner, life)) => {
                held.epoch += u64::from(!there);
                held.side = Side::Given(owner, life);
                Verdict::Granted { grant: Grant { epoch: held.epoch, owner, life, serial: 0 }, soon: true }
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
            (true, false) => self.end(target, Reason::Lapsed),
            _ => {}
        }
    }

    /// Tells the shell that this host no longer owns the target.
    fn end(&mut self, target: &Target, reason: Reason) {
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
        self.held.retain(|_, held| now - held.seen < KEEP);
    }

    /// Notes that a target leaves; true if this host owns it.
    pub(super) fn on_leave(&mut self, now: Time, target: Target, life: Option<Incarnation>) -> bool {
        let owner = self.holds(now, &target);
        let held = self.held.get(&target).map(|held| held.announcement.incarnation);
        let known = held.or(self.owners.get(&target).map(|place| place.life));
        let stale = matches!((life, known), (Some(left), Some(known)) if left < known);
        if stale {
            return false;
        }
        let new = !known.is_some_and(|known| self.has_left(&target, known));
        self.left.insert(target.clone(), Gone { life: life.or(known), at: now });
        if owner && new {
            self.event(Event::Leaving(target));
        }
        owner
    }

    /// Hands a usage report on if this host owns the target.
    pub(super) fn on_usage(&mut self, now: Time, target: Target, usage: Usage) {
        if self.holds(now, &target) {
            self.event(Event::Usage { target, usage });
        }
    }
}
