//! Deadlines, and attempts that were stopped and never heard of again.

use crate::tasks::Phase;
use crate::{AttemptReport, Dispatch, End, TaskKey};
use mangogw_model::{Code, Time};

impl Dispatch {
    /// The deadline of a task has passed.
    pub(crate) fn expire(&mut self, now: Time, task: TaskKey) {
        let Some(row) = self.tasks.get(task).filter(|row| row.work.deadline <= now) else { return };
        let refusal = row.refusal(Code::Expired, Code::DeadlinePassed);
        self.waste.expired += 1;
        self.end_task(now, task, End::Refused(refusal));
    }

    /// A stopped attempt was not heard of: its target is taken to have dropped it.
    pub(crate) fn expire_stop(&mut self, now: Time, serial: u64) {
        if self.attempts.get(&serial).is_some_and(|row| row.phase == Phase::Stopping) {
            self.close_attempt(now, serial, AttemptReport::Lost);
        }
    }

    /// Ends a waiting task that even the fastest target can't finish in time. True if it was one.
    pub(crate) fn drop_infeasible(&mut self, now: Time, task: TaskKey) -> bool {
        let row = &self.tasks[task];
        let entry = &self.entries[row.work.entry];
        let run = (row.size - entry.supply.fastest()).exp2();
        let left = (row.work.deadline - now).as_micros() as f32;
        let expired = row.work.deadline <= now;
        let hopeless = expired || entry.sizes.is_trained() && run > left;
        if hopeless {
            let code = if expired { Code::Expired } else { Code::NoCapacity };
            let refusal = row.refusal(code, Code::DeadlinePassed);
            self.end_task(now, task, End::Refused(refusal));
        }
        hopeless
    }
}
