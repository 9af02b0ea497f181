//! Conditions and estimates for the placement of tasks on targets.

use crate::target::Target;
use crate::{Resources, Step, TargetState, TaskId};
use mangogw_model::Time;
use std::time::Duration;

/// Time without an answer to an open renewal after which a target gets no new runs.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Share of the expected run time without progress after which a run is stalled. A run that works, however slowly,
/// shows a hundred steps of its percentage.
const STALL_RATIO: f64 = 0.5;
/// Shortest time without progress after which a run is stalled: three renewals.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time without progress after which a run is stalled, because the expected run time may be far off.
const MAX_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns true if the target may be given a run, whatever the task needs.
pub(crate) fn accepts_runs(target: &Target, now: Time) -> bool {
    target.confirmed
        && !target.evacuated
        && !target.truncated
        && target.report.state == TargetState::Ready
        && target.orphans.is_empty()
        && target.clock.is_some()
        && target.health.may_run(now, target.runs.len())
        && target.renewal_sent.is_none_or(|sent| now - sent < UNRESPONSIVE_TIMEOUT)
}

/// Returns true if the target has the label that the step requires.
pub(crate) fn has_required_label(target: &Target, step: &Step) -> bool {
    step.label.as_ref().is_none_or(|label| target.report.labels.contains(label))
}

/// Returns true if one more task of the step stays within its limit of tasks on one target.
pub(crate) fn is_below_limit(target: &Target, step: &Step, task: TaskId) -> bool {
    let same = |other: &&TaskId| (other.job, other.occurrence, other.step) == (task.job, task.occurrence, task.step);
    step.target_limit == 0 || (target.runs.keys().filter(same).count() as u32) < step.target_limit
}

/// Returns the resources that a task of the step needs free on a target.
pub(crate) fn required_resources(step: &Step) -> Resources {
    if step.ignores_cpu { Resources { cpu: 0, ..step.need } } else { step.need }
}

/// Returns the expected run time of a task of the step on the target, in milliseconds.
pub(crate) fn expected_millis(target: &Target, step: &Step, remote_factor: f64) -> f64 {
    let near = step.rack.as_ref().is_none_or(|rack| target.report.labels.contains(rack));
    step.estimate as f64 * target.health.time_ratio() * if near { 1.0 } else { remote_factor }
}

/// Returns the time without progress after which a run with an expected time of `millis` is stalled. The tasks of a
/// gang first wait up to `gang_timeout` for each other.
pub(crate) fn stall_timeout(step: &Step, millis: f64, gang_timeout: Duration) -> Duration {
    let half = Duration::from_secs_f64(millis * STALL_RATIO / 1000.0).clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT);
    if step.gang { half + gang_timeout } else { half }
}
