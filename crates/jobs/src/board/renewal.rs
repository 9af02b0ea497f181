//! Scheduling of renewals: each renews the lease of a target, acknowledges recorded ends and waits for the next end.

use super::{Board, OrderKind, THROTTLE_THRESHOLD};
use crate::TargetKey;
use crate::target::Target;
use mangogw_model::Time;
use std::time::Duration;

/// Time for which a renewal of a busy target waits for an end: a tenth of the lease. While a renewal is lost, the board
/// sees nothing of the target for this time and that of a call.
const RENEWAL_WAIT: Duration = Duration::from_millis(100);
/// The same with more than [`THROTTLE_THRESHOLD`] targets, where each matters less and renewals cost more in total.
const RENEWAL_WAIT_LARGE: Duration = Duration::from_millis(200);
/// Time between renewals of an unconfirmed target.
const RENEWAL_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Number of times that the interval doubles for an unconfirmed target without runs that does not answer: up to 800 ms.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Number of times that a renewal is repeated at once if an earlier leader may have used the target: jobs wait for its
/// list of runs.
const MAX_IMMEDIATE_RETRIES: u32 = 3;
/// Time between renewals of an idle target, within which its recorded ends are acknowledged.
const IDLE_RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// Longest delay of a renewal that waits for ends to be recorded, short enough to keep the lease.
const MAX_RENEWAL_DELAY: Duration = Duration::from_millis(300);

impl Board {
    /// Renews the leases of all targets that are due.
    pub(super) fn renew_due(&mut self, now: Time) {
        let due: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| target.renewal_sent.is_none() && now >= target.next_renewal && needs_renewal(target))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.renew(now, key);
        }
    }

    fn renew(&mut self, now: Time, key: TargetKey) {
        let lease = self.settings.lease.as_millis() as u64;
        let max_wait = if self.targets.len() > THROTTLE_THRESHOLD { RENEWAL_WAIT_LARGE } else { RENEWAL_WAIT };
        let target = &mut self.targets[key];
        let busy = !target.runs.is_empty();
        // A silent target must not count as renewed for ever, or its runs would never be given up.
        let extends = busy && target.missed_renewals == 0;
        let until = target.clock.filter(|_| extends).map(|clock| clock.min_reading(now).saturating_add(lease));
        if let Some(until) = until {
            target.grant_lease(now, until);
        }
        let unsure =
            target.runs.values().any(|run| run.state != super::RunState::Running && now - run.sent > RENEWAL_WAIT / 2);
        let can_wait = target.confirmed && target.missed_renewals == 0 && !unsure && target.unrecorded.is_empty();
        let wait = if can_wait && busy { max_wait } else { Duration::ZERO };
        target.renewal_sent = Some(now);
        self.counts.renewals += 1;
        target.pending_ack = target.ack_number();
        let seen = target.pending_ack;
        self.order(key, OrderKind::Renew { until, seen, wait });
    }

    /// Sets the time of the next renewal of a target, after a renewal has ended.
    pub(super) fn schedule_renewal(&mut self, now: Time, key: TargetKey) {
        let awaited = self.unlisted.contains_key(&key);
        let target = &mut self.targets[key];
        target.next_renewal = match target {
            // The rest of a truncated list comes only after the ends in it are recorded.
            _ if awaited && !target.unrecorded.is_empty() => now + MAX_RENEWAL_DELAY,
            _ if awaited && target.missed_renewals <= MAX_IMMEDIATE_RETRIES => now,
            // Its runs go on if it answers before their lease is over, however long it was silent.
            _ if !target.confirmed && !target.runs.is_empty() => now + RENEWAL_RETRY_INTERVAL,
            _ if !target.confirmed => {
                now + RENEWAL_RETRY_INTERVAL * (1 << target.missed_renewals.min(MAX_BACKOFF_DOUBLINGS))
            }
            _ if target.missed_renewals > 0 => now,
            _ if !target.unrecorded.is_empty() => now + MAX_RENEWAL_DELAY,
            // A renewal does not wait here, because the target always has a withheld end to list.
            _ if target.withheld_from < u64::MAX => now + RENEWAL_RETRY_INTERVAL / 2,
            _ if !target.orphans.is_empty() => now + RENEWAL_RETRY_INTERVAL / 2,
            _ if !target.runs.is_empty() => now,
            _ => now + IDLE_RENEWAL_INTERVAL,
        };
        self.dirty = true;
    }

    /// Marks a target as suspected: nothing is started there until it has listed its runs again.
    pub(super) fn suspect_target(&mut self, now: Time, key: TargetKey, why: &str) {
        let target = &mut self.targets[key];
        if target.confirmed {
            log::info!(target = target.report.id, why, runs = target.runs.len(); "board: target suspected");
        }
        target.confirmed = false;
        target.next_renewal = target.next_renewal.min(now + RENEWAL_RETRY_INTERVAL / 2);
        self.dirty = true;
    }
}

/// Returns true if a renewal could list or acknowledge something.
fn needs_renewal(target: &Target) -> bool {
    target.absent_since.is_none() && (!target.confirmed || !target.is_idle() || target.acked < target.ack_number())
}
