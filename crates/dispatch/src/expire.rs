//! Expiry of task deadlines, and of stopped attempts that are never reported as ended.

use crate::tasks::Phase;
use crate::{AttemptReport, Dispatch, End, TaskKey};
use mangogw_model::{Code, Time};

impl Dispatch {
    /// Ends a task whose deadline has passed.
    pub(crate) fn expire_task(&mut self, now: Time, task: TaskKey) {
        let Some(row) = self.tasks.get(task).filter(|row| row.spec.deadline <= now) else { return };
        let refusal = row.refusal(Code::Expired, Code::DeadlinePassed);
        self.waste.expired += 1;
        self.end_task(now, task, End::Refused(refusal));
    }

    /// Closes a stopped attempt that was not reported in time; its target is assumed to have dropped it.
    pub(crate) fn expire_stop(&mut self, now: Time, serial: u64) {
        if self.attempts.get(&serial).is_some_and(|row| row.phase == Phase::Stopping) {
            self.close_attempt(now, serial, AttemptReport::Lost);
        }
    }

    /// Ends a waiting task that even the fastest target can't finish in time. Returns true if the task was ended.
    pub(crate) fn drop_infeasible(&mut self, now: Time, task: TaskKey) -> bool {
        let row = &self.tasks[task];
        let entry = &self.entries[row.spec.entry];
        let run = (row.size - entry.supply.fastest()).exp2();
        let left = (row.spec.deadline - now).as_micros() as f32;
        let expired = row.spec.deadline <= now;
        let is_infeasible = expired || entry.sizes.is_trained() && run > left;
        if is_infeasible {
            let code = if expired { Code::Expired } else { Code::NoCapacity };
            let refusal = row.refusal(code, Code::DeadlinePassed);
            self.end_task(now, task, End::Refused(refusal));
        }
        is_infeasible
    }
}
