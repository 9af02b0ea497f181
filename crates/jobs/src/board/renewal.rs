//! When targets are looked at. A look renews the lease, notes ends and waits for the next one.

use super::{Board, MANY, OrderKind};
use crate::TargetKey;
use crate::target::Target;
use mangogw_model::Time;
use std::time::Duration;

/// How long a look at a busy target waits for an end: a tenth of the lease. While a look is lost nothing is seen of the
/// target, for this time and that of a call.
const WAIT: Duration = Duration::from_millis(100);
/// The same with many targets, of which each counts less and all cost more.
const WAIT_OF_MANY: Duration = Duration::from_millis(200);
/// Between looks at a target whose lists are not known.
const AGAIN: Duration = Duration::from_millis(100);
/// The time between looks at a target that does not answer doubles so often: up to 800 ms.
const MAX_DOUBLING: u32 = 3;
/// A target that an earlier leader may have used is asked again at once so often: jobs wait for its lists.
const AT_ONCE: u32 = 3;
/// Ends of a target that is idle are noted within this time.
const LAZY: Duration = Duration::from_millis(400);
/// A look that waits for notes is put off at most so long, so that the lease is kept.
const HOLD_BACK: Duration = Duration::from_millis(300);

impl Board {
    /// Looks at every target that is due.
    pub(super) fn renew_due(&mut self, now: Time) {
        let due: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| target.renewing.is_none() && now >= target.next_renewal && needs_renewal(target))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.renew(now, key);
        }
    }

    fn renew(&mut self, now: Time, key: TargetKey) {
        let lease = self.settings.lease.as_millis() as u64;
        let longest = if self.targets.len() > MANY { WAIT_OF_MANY } else { WAIT };
        let target = &mut self.targets[key];
        let busy = !target.runs.is_empty();
        let until = target.clock.filter(|_| busy).map(|clock| clock.min_reading(now) + lease);
        if let Some(until) = until {
            target.extend(until);
        }
        let unsure = target.runs.values().any(|run| run.state != super::RunState::Running && now - run.sent > WAIT / 2);
        let calm = target.confirmed && target.misses == 0 && !unsure && target.open.is_empty();
        let wait = if calm && busy { longest } else { Duration::ZERO };
        target.renewing = Some(now);
        self.counts.renewals += 1;
        target.sought = target.seen();
        let seen = target.sought;
        self.order(key, OrderKind::Renew { until, seen, wait });
    }

    /// Sets when the next look at a target goes out, after one was answered.
    pub(super) fn plan_renewal(&mut self, now: Time, key: TargetKey) {
        let awaited = self.unlisted.contains(&key);
        let target = &mut self.targets[key];
        target.next_renewal = match target {
            _ if awaited && target.misses <= AT_ONCE => now,
            _ if !target.confirmed => now + AGAIN * (1 << target.misses.min(MAX_DOUBLING)),
            _ if target.misses > 0 => now,
            _ if !target.open.is_empty() => now + HOLD_BACK,
            // Its answers come at once, as it always has an end to list.
            _ if target.held < u64::MAX => now + AGAIN / 2,
            _ if !target.orphans.is_empty() => now + AGAIN / 2,
            _ if !target.runs.is_empty() => now,
            _ => now + LAZY,
        };
        self.dirty = true;
    }

    /// The lists of a target are in doubt: nothing is started there until it has listed them again.
    pub(super) fn doubt(&mut self, now: Time, key: TargetKey, why: &str) {
        let target = &mut self.targets[key];
        if target.confirmed {
            log::info!(target = target.report.id, why, runs = target.runs.len(); "board: target in doubt");
        }
        target.confirmed = false;
        target.next_renewal = target.next_renewal.min(now + AGAIN / 2);
        self.dirty = true;
    }
}

/// True if a look would tell or note something.
fn needs_renewal(target: &Target) -> bool {
    target.absent.is_none() && (!target.confirmed || !target.is_idle() || target.recorded < target.seen())
}
