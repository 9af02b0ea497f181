//! Host that owns a target, or is about to.

use super::heartbeat::digest;
use super::{
    CLOCK_MARGIN, Echo, EndReason, Event, Grant, Grants, HeartbeatReply, JOIN_DELAY, LEASE_DURATION, LeaveRecord,
    MAX_PLAIN_HEARTBEATS, MIN_TENURE, PREEMPT_TIMEOUT, TARGET_RETENTION, Target,
};
use mangogw_model::{Announcement, HostId, Incarnation, Time, Usage};
use std::time::Duration;

/// Holder of the current epoch of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EpochHolder {
    /// This host.
    Local,
    /// Handed over to the given host.
    HandedOver(HostId, Incarnation),
    /// Another host: this host issued no grant, or the grant it issued is void.
    Remote,
}

/// State of a target that this host owns, is about to own, or owned recently.
#[derive(Debug)]
pub(crate) struct GrantState {
    announcement: Announcement,
    digest: u64,
    side: EpochHolder,
    epoch: u64,
    /// True once the target has sent back a grant of this epoch.
    adopted: bool,
    /// Time by which the former owner's lease has expired.
    active_from: Time,
    /// End of this host's lease.
    lease_end: Time,
    /// Time before which the target is not handed over.
    hold_until: Time,
    /// Time of the last heartbeat.
    last_heartbeat: Time,
    /// True between the `Granted` and `Ended` events.
    notified: bool,
    /// Grant of another host that the target holds, and the time of the first heartbeat that showed it.
    observed: Option<(Grant, Time)>,
    /// Number of heartbeats without a grant, and the time of the first.
    plain_heartbeats: u32,
    first_plain: Time,
}

impl GrantState {
    fn new(now: Time, announcement: Announcement) -> Self {
        let digest = digest(&announcement);
        Self {
            announcement,
            digest,
            side: EpochHolder::Remote,
            epoch: 0,
            adopted: false,
            active_from: now,
            lease_end: Time::ZERO,
            hold_until: now,
            last_heartbeat: now,
            notified: false,
            observed: None,
            plain_heartbeats: 0,
            first_plain: now,
        }
    }

    /// True while this host may start work on the target.
    pub(crate) fn is_active(&self, now: Time) -> bool {
        self.side == EpochHolder::Local && self.adopted && now >= self.active_from && now < self.lease_end
    }

    pub(crate) const fn lease_end(&self) -> Time {
        self.lease_end
    }

    /// Returns true if the announcement of the target has this digest.
    pub(crate) const fn matches_digest(&self, digest: u64) -> bool {
        self.digest == digest
    }

    pub(crate) const fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Starts an epoch of this host, which may act from `after` on.
    const fn start_epoch(&mut self, epoch: u64, after: Time) {
        self.side = EpochHolder::Local;
        self.epoch = epoch;
        self.adopted = false;
        self.active_from = after;
        self.lease_end = Time::ZERO;
    }

    /// Returns the minimum time for which the target has held the grant it sent back.
    fn age(&mut self, now: Time, echo: &Echo) -> Duration {
        let since = match self.observed {
            Some((grant, since)) if grant == echo.grant => since,
            Some(_) | None => now,
        };
        self.observed = Some((echo.grant, since));
        let reported = echo.age_ms.map_or(Duration::ZERO, |age| Duration::from_millis(u64::from(age)));
        reported.max(now - since)
    }
}

impl Grants {
    /// Evaluates a heartbeat without its announcement, if this host knows the announcement.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Time,
        target: &Target,
        digest: u64,
        echo: Option<Echo>,
    ) -> HeartbeatReply {
        match self.targets.get(target) {
            Some(state) if state.digest == digest => self.evaluate_echo(now, target, echo),
            Some(_) | None => HeartbeatReply::NeedsAnnouncement,
        }
    }

    /// Evaluates a heartbeat with its announcement.
    pub(super) fn handle_announcement(
        &mut self,
        now: Time,
        announcement: Announcement,
        echo: Option<Echo>,
    ) -> HeartbeatReply {
        let target = Target::from_announcement(&announcement);
        let known = self.targets.get(&target).map(|state| state.announcement.incarnation);
        match known {
            Some(incarnation) if incarnation > announcement.incarnation => return HeartbeatReply::Stale,
            Some(incarnation) if incarnation < announcement.incarnation => {
                self.end_ownership(&target, EndReason::Restarted);
            }
            Some(_) | None => {}
        }
        if known != Some(announcement.incarnation) {
            self.targets.insert(target.clone(), GrantState::new(now, announcement.clone()));
        }
        self.update_announcement(&target, announcement);
        self.evaluate_echo(now, &target, echo)
    }

    /// Evaluates the heartbeat of a target whose announcement is known.
    fn evaluate_echo(&mut self, now: Time, target: &Target, echo: Option<Echo>) -> HeartbeatReply {
        let Some(state) = self.targets.get_mut(target) else { return HeartbeatReply::Unchanged };
        state.last_heartbeat = now;
        let incarnation = Some(state.announcement.incarnation);
        if let Some(leave) = self.leaves_seen.get_mut(target) {
            // A leave that named no incarnation applies to the first one known.
            leave.incarnation = leave.incarnation.or(incarnation);
            leave.at = if leave.incarnation >= incarnation { now } else { leave.at };
        }
        let reply = match echo {
            None => self.handle_no_grant(now, target),
            Some(echo) if echo.grant.is_owned_by(self.id, self.incarnation) => {
                self.handle_own_grant(now, target, echo.grant)
            }
            Some(echo) => self.handle_foreign_grant(now, target, &echo),
        };
        self.notify_ownership(now, target);
        reply
    }

    /// Stores a changed announcement, and notifies the shell if this host owns the target.
    fn update_announcement(&mut self, target: &Target, announcement: Announcement) {
        let Some(state) = self.targets.get_mut(target) else { return };
        let digest = digest(&announcement);
        if state.digest == digest {
            return;
        }
        state.digest = digest;
        state.announcement = announcement.clone();
        let notified = state.notified;
        if notified && !self.has_left(target, announcement.incarnation) {
            self.event(Event::Changed(Box::new(announcement)));
        }
    }

    /// Handles a heartbeat without a grant: no host has ever acted as owner of this incarnation of the target.
    fn handle_no_grant(&mut self, now: Time, target: &Target) -> HeartbeatReply {
        let Some(state) = self.targets.get_mut(target) else { return HeartbeatReply::Unchanged };
        state.plain_heartbeats += 1;
        state.first_plain = if state.plain_heartbeats == 1 { now } else { state.first_plain };
        match state.side {
            EpochHolder::Local if state.adopted && state.plain_heartbeats < MAX_PLAIN_HEARTBEATS => {
                return HeartbeatReply::Unchanged;
            }
            EpochHolder::Local => {}
            EpochHolder::HandedOver(..) | EpochHolder::Remote => {
                let epoch = state.epoch + 1;
                state.start_epoch(epoch, now);
            }
        }
        let silent =
            state.plain_heartbeats >= MAX_PLAIN_HEARTBEATS && now - state.first_plain >= LEASE_DURATION + CLOCK_MARGIN;
        if silent {
            state.adopted = true;
            state.lease_end = now + LEASE_DURATION;
        }
        self.issue(now, target, !silent)
    }

    /// Handles a heartbeat with a grant that names this host.
    fn handle_own_grant(&mut self, now: Time, target: &Target, grant: Grant) -> HeartbeatReply {
        let Some(state) = self.targets.get_mut(target) else { return HeartbeatReply::Unchanged };
        state.plain_heartbeats = 0;
        match state.side {
            EpochHolder::HandedOver(to, incarnation) if state.epoch > grant.epoch => {
                return self.repeat_handover(now, target, to, incarnation);
            }
            EpochHolder::Local if state.epoch > grant.epoch => return HeartbeatReply::Unchanged,
            EpochHolder::Local if state.epoch == grant.epoch => {}
            EpochHolder::Local | EpochHolder::HandedOver(..) | EpochHolder::Remote => {
                state.start_epoch(grant.epoch, now);
                state.hold_until = now + MIN_TENURE;
            }
        }
        let issued = Time::from_micros(grant.serial.min(now.as_micros()));
        let known = grant.serial > 0;
        state.adopted |= known;
        state.lease_end = if known { state.lease_end.max(issued + LEASE_DURATION) } else { state.lease_end };
        let acts = state.is_active(now);
        let free = acts && now >= state.hold_until;
        match self.successor(now, target) {
            Some((to, incarnation)) if free || (acts && self.leaving) => self.hand_over(now, target, to, incarnation),
            Some(_) | None => self.issue(now, target, !known),
        }
    }

    /// Handles a heartbeat with a grant that names another host.
    fn handle_foreign_grant(&mut self, now: Time, target: &Target, echo: &Echo) -> HeartbeatReply {
        let Some(state) = self.targets.get_mut(target) else { return HeartbeatReply::Unchanged };
        state.plain_heartbeats = 0;
        let epoch = echo.grant.epoch;
        if state.side == EpochHolder::Local && state.adopted && state.epoch > epoch {
            return HeartbeatReply::Unchanged;
        }
        let age = state.age(now, echo);
        let taken_over = state.side == EpochHolder::Local && state.epoch <= epoch;
        if taken_over {
            state.side = EpochHolder::Remote;
            state.epoch = epoch;
            self.end_ownership(target, EndReason::TakenOver(echo.grant.owner));
        }
        let leaving = self.leaving;
        let Some(state) = self.targets.get_mut(target) else { return HeartbeatReply::Unchanged };
        if age < PREEMPT_TIMEOUT || leaving {
            return HeartbeatReply::Unchanged;
        }
        let wait = (LEASE_DURATION + CLOCK_MARGIN).saturating_sub(age);
        let after = if state.side == EpochHolder::Local { state.active_from.max(now + wait) } else { now + wait };
        let next = state.epoch.max(epoch + 1).max(if state.side == EpochHolder::Local { 0 } else { state.epoch + 1 });
        state.start_epoch(next, after);
        state.hold_until = now + MIN_TENURE;
        self.issue(now, target, true)
    }

    /// Issues a grant that names this host.
    fn issue(&self, now: Time, target: &Target, renew_now: bool) -> HeartbeatReply {
        let Some(state) = self.targets.get(target) else { return HeartbeatReply::Unchanged };
        let grant =
            Grant { epoch: state.epoch, owner: self.id, incarnation: self.incarnation, serial: now.as_micros() };
        HeartbeatReply::Granted { grant, renew_now }
    }

    /// Returns the host that should own the target instead of this one.
    fn successor(&self, now: Time, target: &Target) -> Option<(HostId, Incarnation)> {
        let me = [self.id];
        let best = self.preferred_owner(now, target, if self.leaving { &me } else { &[] })?;
        let known = self.hosts.get(&best)?;
        let settled = self.leaving || now - known.since >= JOIN_DELAY;
        (best != self.id && settled).then_some((best, known.member.incarnation))
    }

    /// Ends this epoch for good and issues a grant that names the next owner.
    fn hand_over(&mut self, now: Time, target: &Target, to: HostId, incarnation: Incarnation) -> HeartbeatReply {
        let Some(state) = self.targets.get_mut(target) else { return HeartbeatReply::Unchanged };
        state.epoch += 1;
        state.side = EpochHolder::HandedOver(to, incarnation);
        state.adopted = false;
        state.lease_end = Time::ZERO;
        state.last_heartbeat = now;
        let epoch = state.epoch;
        self.end_ownership(target, EndReason::HandedOver(to));
        HeartbeatReply::Granted { grant: Grant { epoch, owner: to, incarnation, serial: 0 }, renew_now: true }
    }

    /// Repeats the grant of the next owner because the target has not adopted it; names another host if the next owner
    /// has restarted or is not usable.
    fn repeat_handover(&mut self, now: Time, target: &Target, to: HostId, incarnation: Incarnation) -> HeartbeatReply {
        let usable =
            self.hosts.get(&to).is_some_and(|known| known.member.incarnation == incarnation && known.member.usable);
        let next = if usable { Some((to, incarnation)) } else { self.successor(now, target) };
        let Some(state) = self.targets.get_mut(target) else { return HeartbeatReply::Unchanged };
        match next {
            Some((owner, incarnation)) => {
                state.epoch += u64::from(!usable);
                state.side = EpochHolder::HandedOver(owner, incarnation);
                HeartbeatReply::Granted {
                    grant: Grant { epoch: state.epoch, owner, incarnation, serial: 0 },
                    renew_now: true,
                }
            }
            None => {
                let epoch = state.epoch + 1;
                state.start_epoch(epoch, now);
                self.issue(now, target, true)
            }
        }
    }

    /// Notifies the shell when this host becomes the owner of the target or its lease expires.
    fn notify_ownership(&mut self, now: Time, target: &Target) {
        let Some(state) = self.targets.get_mut(target) else { return };
        match (state.notified, state.is_active(now)) {
            (false, true) => {
                state.notified = true;
                let announcement = Box::new(state.announcement.clone());
                let leaving = self.has_left(target, announcement.incarnation);
                self.event(Event::Granted { announcement, leaving });
            }
            (true, false) => self.end_ownership(target, EndReason::Expired),
            _ => {}
        }
    }

    /// Notifies the shell that this host no longer owns the target.
    fn end_ownership(&mut self, target: &Target, reason: EndReason) {
        let Some(state) = self.targets.get_mut(target) else { return };
        if std::mem::take(&mut state.notified) {
            self.event(Event::Ended { target: target.clone(), reason });
        }
    }

    /// Notifies the shell of leases that began or ended, and drops targets without heartbeats.
    pub(super) fn check_leases(&mut self, now: Time) {
        let changed = |state: &GrantState| state.notified != state.is_active(now);
        let due: Vec<Target> =
            self.targets.iter().filter(|(_, state)| changed(state)).map(|(target, _)| target.clone()).collect();
        for target in due {
            self.notify_ownership(now, &target);
        }
        self.targets.retain(|_, state| now - state.last_heartbeat < TARGET_RETENTION);
    }

    /// Records that a target leaves. Returns true if this host owns it.
    pub(super) fn record_leave(&mut self, now: Time, target: Target, incarnation: Option<Incarnation>) -> bool {
        let owner = self.owns(now, &target);
        let current = self.targets.get(&target).map(|state| state.announcement.incarnation);
        let known = current.or(self.owners.get(&target).map(|entry| entry.incarnation));
        let stale = matches!((incarnation, known), (Some(left), Some(known)) if left < known);
        if stale {
            return false;
        }
        let new = !known.is_some_and(|known| self.has_left(&target, known));
        self.leaves_seen.insert(target.clone(), LeaveRecord { incarnation: incarnation.or(known), at: now });
        if owner && new {
            self.event(Event::Leaving(target));
        }
        owner
    }

    /// Emits a usage report if this host owns the target.
    pub(super) fn emit_usage(&mut self, now: Time, target: Target, usage: Usage) {
        if self.owns(now, &target) {
            self.event(Event::Usage { target, usage });
        }
    }
}
