//! When targets are looked at. A look renews the lease, notes ends and waits for the next one.

use super::{Board, OrderKind, THROTTLE_THRESHOLD};
use crate::TargetKey;
use crate::target::Target;
use mangogw_model::Time;
use std::time::Duration;

/// How long a look at a busy target waits for an end: a tenth of the lease. While a look is lost nothing is seen of the
/// target, for this time and that of a call.
const RENEWAL_WAIT: Duration = Duration::from_millis(100);
/// The same with many targets, of which each counts less and all cost more.
const RENEWAL_WAIT_LARGE: Duration = Duration::from_millis(200);
/// Between looks at a target whose lists are not known.
const RENEWAL_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The time between looks at a target that does not answer doubles so often: up to 800 ms.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// A target that an earlier leader may have used is asked again at once so often: jobs wait for its lists.
const MAX_IMMEDIATE_RETRIES: u32 = 3;
/// Ends of a target that is idle are noted within this time.
const IDLE_RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// A look that waits for notes is put off at most so long, so that the lease is kept.
const MAX_RENEWAL_DELAY: Duration = Duration::from_millis(300);

impl Board {
    /// Looks at every target that is due.
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
        let longest = if self.targets.len() > THROTTLE_THRESHOLD { RENEWAL_WAIT_LARGE } else { RENEWAL_WAIT };
        let target = &mut self.targets[key];
        let busy = !target.runs.is_empty();
        let until = target.clock.filter(|_| busy).map(|clock| clock.min_reading(now) + lease);
        if let Some(until) = until {
            target.extend_lease(until);
        }
        let unsure =
            target.runs.values().any(|run| run.state != super::RunState::Running && now - run.sent > RENEWAL_WAIT / 2);
        let calm = target.confirmed && target.missed_renewals == 0 && !unsure && target.unrecorded.is_empty();
        let wait = if calm && busy { longest } else { Duration::ZERO };
        target.renewal_sent = Some(now);
        self.counts.renewals += 1;
        target.pending_ack = target.ack_number();
        let seen = target.pending_ack;
        self.order(key, OrderKind::Renew { until, seen, wait });
    }

    /// Sets when the next look at a target goes out, after one was answered.
    pub(super) fn schedule_renewal(&mut self, now: Time, key: TargetKey) {
        let awaited = self.unlisted.contains(&key);
        let target = &mut self.targets[key];
        target.next_renewal = match target {
            _ if awaited && target.missed_renewals <= MAX_IMMEDIATE_RETRIES => now,
            _ if !target.confirmed => {
                now + RENEWAL_RETRY_INTERVAL * (1 << target.missed_renewals.min(MAX_BACKOFF_DOUBLINGS))
            }
            _ if target.missed_renewals > 0 => now,
            _ if !target.unrecorded.is_empty() => now + MAX_RENEWAL_DELAY,
            // Its answers come at once, as it always has an end to list.
            _ if target.withheld_from < u64::MAX => now + RENEWAL_RETRY_INTERVAL / 2,
            _ if !target.orphans.is_empty() => now + RENEWAL_RETRY_INTERVAL / 2,
            _ if !target.runs.is_empty() => now,
            _ => now + IDLE_RENEWAL_INTERVAL,
        };
        self.dirty = true;
    }

    /// The lists of a target are in doubt: nothing is started there until it has listed them again.
    pub(super) fn suspect_target(&mut self, now: Time, key: TargetKey, why: &str) {
        let target = &mut self.targets[key];
        if target.confirmed {
            log::info!(target = target.report.id, why, runs = target.runs.len(); "board: target in doubt");
        }
        target.confirmed = false;
        target.next_renewal = target.next_renewal.min(now + RENEWAL_RETRY_INTERVAL / 2);
        self.dirty = true;
    }
}

/// True if a look would tell or note something.
fn needs_renewal(target: &Target) -> bool {
    target.absent_since.is_none() && (!target.confirmed || !target.is_idle() || target.acked < target.ack_number())
}
