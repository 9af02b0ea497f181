//! Which target a task goes to.

use crate::target::Target;
use crate::{Resources, Step, TargetState, TaskId};
use mangogw_model::Time;
use std::time::Duration;

/// A target that has not answered for so long while something was asked of it gets no new work.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(700);

/// A run stands still if its percentage has not risen for half of its expected time. One that works, however slowly,
/// shows a hundred steps.
const STALL_RATIO: f64 = 0.5;
/// But a run is given at least so long: three looks,
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// and at most so long: what is expected may be far off.
const MAX_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// True if the target may be given a run at all.
pub(crate) fn accepts_runs(target: &Target, now: Time) -> bool {
    target.confirmed
        && target.report.state == TargetState::Ready
        && target.orphans.is_empty()
        && target.clock.is_some()
        && target.health.may_run(now, target.runs.len())
        && target.renewal_sent.is_none_or(|asked| now - asked < UNRESPONSIVE_TIMEOUT)
}

/// True if the step may run on the target.
pub(crate) fn has_required_label(target: &Target, step: &Step) -> bool {
    step.label.as_ref().is_none_or(|label| target.report.labels.contains(label))
}

/// True if one more task of the step keeps its bound of tasks on one target.
pub(crate) fn is_below_limit(target: &Target, step: &Step, task: TaskId) -> bool {
    let same = |other: &&TaskId| (other.job, other.occurrence, other.step) == (task.job, task.occurrence, task.step);
    step.target_limit == 0 || (target.runs.keys().filter(same).count() as u32) < step.target_limit
}

/// What the target must have free for a task of the step.
pub(crate) fn required_resources(step: &Step) -> Resources {
    if step.ignores_cpu { Resources { cpu: 0, ..step.need } } else { step.need }
}

/// How long a task of the step is expected to run on the target, in milliseconds.
pub(crate) fn expected_millis(target: &Target, step: &Step, remote_factor: f64) -> f64 {
    let near = step.rack.as_ref().is_none_or(|rack| target.report.labels.contains(rack));
    step.estimate as f64 * target.health.time_ratio() * if near { 1.0 } else { remote_factor }
}

/// How long a run of the step that is expected to take `millis` may stand still; the tasks of a gang first wait up to
/// `gang_timeout` for each other.
pub(crate) fn stall_timeout(step: &Step, millis: f64, gang_timeout: Duration) -> Duration {
    let half = Duration::from_secs_f64(millis * STALL_RATIO / 1000.0).clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT);
    if step.gang { half + gang_timeout } else { half }
}
