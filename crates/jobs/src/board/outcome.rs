//! Handling of the outcomes of orders, and of the runs and ends that targets list.

use super::table::TaskState;
use super::{Board, EndRecord, JobEnd, OrderKind, Output};
use crate::target::{
    ActiveRun, Denial, EndedRun, Listing, MAX_CALL_TIMEOUT, MIN_CALL_TIMEOUT, ORDER_TIMEOUT, Order, Outcome, Run,
    RunState,
};
use crate::{RunEnd, RunNumber, TargetKey, TaskId};
use mangogw_model::Time;
use std::time::Duration;

/// Consecutive renewals without an answer after which a target is suspected.
const MISSES_BEFORE_SUSPECTED: u32 = 2;
/// Factor on the last round trip to a target, so that its next answer may take longer.
const ROUND_TRIP_MARGIN: u32 = 2;
/// Longest gap before a listing, as a share of the run time, at which the measured run time still counts.
const MAX_LISTING_GAP_RATIO: f64 = 0.3;

impl Board {
    /// Handles the outcome of an order that was sent at `sent_at`.
    pub fn on_outcome(&mut self, now: Time, order: &Order, sent_at: Time, outcome: Outcome) {
        let key = order.target;
        if !self.targets.contains_key(key) {
            return self.on_late_outcome(now, order, &outcome);
        }
        let clock = match &outcome {
            Outcome::Done { clock } => Some(*clock),
            Outcome::Listed(listing) => Some(listing.clock),
            Outcome::Denied { clock, .. } => *clock,
            Outcome::Unsure | Outcome::Replaced { .. } => None,
        };
        let before = self.targets[key].last_answer;
        if let Some(clock) = clock {
            self.targets[key].update_clock(clock, sent_at, now);
            if !order.kind.may_wait() {
                self.note_round_trip(key, now - sent_at);
            }
        }
        if matches!(order.kind, OrderKind::Renew { .. }) {
            self.targets[key].renewal_sent = None;
        }
        if matches!(outcome, Outcome::Replaced { .. }) {
            self.counts.replaced += 1;
        }
        match (&order.kind, outcome) {
            (kind, Outcome::Replaced { incarnation: Some(later), received })
                if later > self.targets[key].report.incarnation =>
            {
                self.on_replaced(now, key, kind, later, received);
            }
            (_, Outcome::Replaced { incarnation: None, .. }) => {
                self.lose_target(now, key, "another target listens at its address");
            }
            (_, Outcome::Denied { why: Denial::Fenced, .. }) => {
                log::warn!(
                    target = order.id, token = self.token;
                    "board: target has seen a later leader; giving no more orders"
                );
                self.fenced = true;
            }
            (OrderKind::Renew { .. }, Outcome::Listed(listing)) => {
                self.targets[key].listing_gap = before.map_or(Duration::MAX, |before| sent_at - before);
                self.on_listing(now, key, sent_at, &listing);
            }
            (OrderKind::Renew { .. }, other) => self.on_missed_renewal(now, key, &other),
            (OrderKind::Start { task, run, until, .. }, outcome) => {
                self.on_start(now, key, *task, *run, *until, &outcome);
            }
            (OrderKind::Stop { task, run }, outcome) => self.on_stop(now, key, *task, *run, &outcome),
        }
        self.dirty = true;
    }

    /// Adapts the time limit of calls to the time that a target took to answer one without a wait.
    fn note_round_trip(&mut self, key: TargetKey, took: Duration) {
        let target = &mut self.targets[key];
        if target.missed_renewals >= MISSES_BEFORE_SUSPECTED && took > MIN_CALL_TIMEOUT {
            let (id, took) = (target.report.id.as_str(), took.as_millis() as u64);
            log::info!(target = id, took; "board: target is slow to answer, not silent");
        }
        target.call_timeout = (ROUND_TRIP_MARGIN * took).clamp(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT);
    }

    /// Handles an order that has met a later incarnation of its target.
    fn on_replaced(&mut self, now: Time, key: TargetKey, kind: &OrderKind, later: u64, received: bool) {
        let unsent = match kind {
            OrderKind::Start { task, run, .. } if !received => self.targets[key].take_run(task, *run),
            _ => None,
        };
        let report = self.targets[key].report.unreported(later);
        self.replace_target(now, key, report, "a later incarnation listens at its address");
        if let Some(task) = unsent {
            let refusal = Outcome::Replaced { incarnation: Some(later), received };
            self.requeue_refused(now, key, task, &refusal);
        }
    }

    /// Handles the outcome of an order whose target was replaced meanwhile: a run that was moved to the later incarnation
    /// may be known not to have started.
    fn on_late_outcome(&mut self, now: Time, order: &Order, outcome: &Outcome) {
        let refused = matches!(outcome, Outcome::Denied { .. } | Outcome::Replaced { received: false, .. });
        let OrderKind::Start { task, run, .. } = &order.kind else { return };
        let Some(key) = self.by_id.get(&order.id).copied().filter(|_| refused) else { return };
        if let Some(task) = self.targets[key].take_run(task, *run) {
            self.requeue_refused(now, key, task, outcome);
        }
    }

    /// Handles a renewal without a listing. Only its answer may be lost, so the first one is repeated before the target
    /// is suspected; runs there hold their resources meanwhile.
    fn on_missed_renewal(&mut self, now: Time, key: TargetKey, outcome: &Outcome) {
        let target = &mut self.targets[key];
        target.missed_renewals += 1;
        self.counts.missed_renewals += 1;
        if *outcome != Outcome::Unsure || target.missed_renewals >= MISSES_BEFORE_SUSPECTED {
            target.call_timeout = MAX_CALL_TIMEOUT;
            self.suspect_target(now, key, &format!("renewal {outcome:?}"));
        }
        self.schedule_renewal(now, key);
    }

    fn on_start(&mut self, now: Time, key: TargetKey, task: TaskId, run: RunNumber, until: u64, outcome: &Outcome) {
        let target = &mut self.targets[key];
        target.extend_lease(until);
        let id = target.report.id.clone();
        let Some(known) = target.runs.get_mut(&task).filter(|known| known.number == run) else { return };
        match outcome {
            Outcome::Done { .. } | Outcome::Listed(_) if known.state == RunState::Starting => {
                known.state = RunState::Running;
                known.confirmed = true;
                known.started_at = Some(now);
                known.last_progress = now;
            }
            Outcome::Done { .. } | Outcome::Listed(_) => {}
            Outcome::Unsure | Outcome::Replaced { .. } => {
                if known.state == RunState::Starting {
                    known.state = RunState::Unsure;
                }
                target.next_renewal = now;
                self.counts.unsure += 1;
                log::info!(task:%, run = run.0, target = id; "board: no answer to the start of a run");
            }
            Outcome::Denied { why, .. } => {
                log::info!(task:%, run = run.0, target = id, why:?; "board: target refused to start a run");
                let begun = known.begun;
                target.remove_run(&task);
                match why {
                    // The target may only be slow.
                    Denial::Unidentified => self.counts.unsure += 1,
                    _ => self.counts.denied += 1,
                }
                match why {
                    Denial::Unreached => {
                        target.record_silence(now, begun);
                    }
                    Denial::Unwell | Denial::Room | Denial::Unreadable => target.health.record_failure(now),
                    Denial::Old | Denial::Late | Denial::Fenced | Denial::Unidentified => {}
                }
                if matches!(why, Denial::Room | Denial::Late | Denial::Unreached | Denial::Unidentified) {
                    self.suspect_target(now, key, "start refused");
                }
                self.requeue_refused(now, key, task, outcome);
            }
        }
    }

    fn on_stop(&mut self, now: Time, key: TargetKey, task: TaskId, run: RunNumber, outcome: &Outcome) {
        let target = &mut self.targets[key];
        if let Some(known) = target.runs.get_mut(&task).filter(|known| known.number == run) {
            match outcome {
                // After this answer the target either lists the run or can never start it.
                Outcome::Done { .. } => known.started_at = Some(now),
                _ => known.state = RunState::Unsure,
            }
        }
        if let Some(orphan) = target.orphans.get_mut(&task).filter(|orphan| orphan.run == run)
            && !matches!(outcome, Outcome::Done { .. })
        {
            orphan.stop_sent = None;
        }
        target.next_renewal = now;
    }

    fn on_listing(&mut self, now: Time, key: TargetKey, sent_at: Time, listing: &Listing) {
        let target = &mut self.targets[key];
        match listing.incarnation {
            Some(incarnation) if incarnation > target.report.incarnation => {
                let report = target.report.unreported(incarnation);
                return self.replace_target(now, key, report, "a later incarnation listed");
            }
            Some(incarnation) if incarnation < target.report.incarnation => {
                return self.suspect_target(now, key, "an earlier incarnation listed");
            }
            _ => {}
        }
        target.acked = target.acked.max(target.pending_ack);
        target.missed_renewals = 0;
        let first = !target.confirmed;
        target.confirmed = true;
        if listing.truncated && !target.truncated {
            log::info!(target = target.report.id, ends = listing.ended.len(); "board: target has more ends to list");
        }
        target.truncated = listing.truncated;
        let whole = self.is_whole(listing);
        if whole && self.unlisted.swap_remove(&key).is_some() && self.unlisted.is_empty() {
            log::info!(token = self.token, now = now.as_micros(); "board: takeover of all targets is complete");
        }
        self.process_ends(now, key, &listing.ended);
        self.reconcile_runs(now, key, sent_at, listing, first);
        self.schedule_renewal(now, key);
    }

    /// Returns true if a run that the listing does not name has surely not ended with a result that is still to come. An
    /// isolated zone acknowledges no end of the group's jobs, so its listings may stay truncated for as long as it lasts;
    /// its own jobs may run again.
    const fn is_whole(&self, listing: &Listing) -> bool {
        !listing.truncated || self.isolated
    }

    /// Processes the ends that were not listed before, in their order.
    fn process_ends(&mut self, now: Time, key: TargetKey, ended: &[EndedRun]) {
        let (mut numbers, mut records) = (Vec::new(), Vec::new());
        for end in ended {
            if end.number <= self.targets[key].last_listed {
                continue;
            }
            self.targets[key].last_listed = end.number;
            self.withhold_end(key, end);
            if let Some(record) = self.process_end(now, key, end) {
                numbers.push(end.number);
                records.push(record);
            }
        }
        if !records.is_empty() {
            self.targets[key].unrecorded.extend(&numbers);
            self.outputs.push(Output::RecordEnds { target: key, numbers, records });
        }
    }

    /// Withholds the acknowledgement of an end whose job is unknown in an isolated zone: only the group may record it.
    fn withhold_end(&mut self, key: TargetKey, end: &EndedRun) {
        let counts = matches!(end.run_end, RunEnd::Done | RunEnd::Failed);
        if self.isolated && counts && !self.by_job.contains_key(&end.task.job) {
            let target = &mut self.targets[key];
            target.withheld_from = target.withheld_from.min(end.number);
        }
    }

    /// Processes one end. Returns the record that must be in the log before the target may forget the end.
    fn process_end(&mut self, now: Time, key: TargetKey, end: &EndedRun) -> Option<EndRecord> {
        let target = &mut self.targets[key];
        if target.orphans.get(&end.task).is_some_and(|orphan| orphan.run <= end.run) {
            target.orphans.swap_remove(&end.task);
        }
        let ours = target.runs.get(&end.task).is_some_and(|run| run.number == end.run);
        let run = if ours { target.remove_run(&end.task) } else { None };
        if let Some(run) = &run {
            let took = run.started_at.map_or(now - run.sent, |started_at| now - started_at).as_secs_f64() * 1000.0;
            match end.run_end {
                // After a long gap the measured time says nothing about the speed of the target.
                RunEnd::Done if target.listing_gap.as_secs_f64() * 1000.0 > took * MAX_LISTING_GAP_RATIO => {
                    target.health.record_success();
                }
                RunEnd::Done => {
                    let ratio = target.health.time_ratio() * took / run.expected.max(1.0);
                    target.health.record_run(ratio);
                }
                RunEnd::Failed => target.health.record_failure(now),
                RunEnd::Lapsed => target.next_renewal = now,
                RunEnd::Stopped | RunEnd::Broken | RunEnd::Alone => {}
            }
        }
        let ejected = target.health.is_ejected();
        log::debug!(
            task:% = end.task, run = end.run.0, how:? = end.run_end, target = target.report.id;
            "board: run ended"
        );
        let Some(job_key) = self.by_job.get(&end.task.job).copied() else {
            if run.is_none() && end.run.token() < self.token {
                self.unmatched_ends.insert(end.task, (end.run_end, now));
            }
            return None;
        };
        let job = &mut self.jobs[job_key];
        let (stored, endless, attempts) = (job.stored, job.spec.endless, job.attempts);
        let recorded_ms = self.settings.wall_offset + now.as_micros() / 1000;
        let task = job.task_mut(end.task)?;
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        let here = task.state == TaskState::Placed(key) && ours;
        let pending = here || !matches!(task.state, TaskState::Done | TaskState::RecordingDone);
        match end.run_end {
            _ if !pending => None,
            RunEnd::Done if endless => {
                self.requeue_task(now, key, end.task);
                None
            }
            RunEnd::Done if stored => {
                if matches!(task.state, TaskState::Waiting) {
                    job.remove_waiting(end.task);
                }
                job.runs = job.runs.max(1);
                job.task_mut(end.task)?.state = TaskState::RecordingDone;
                Some(EndRecord { task: end.task, run: end.run, done: true, recorded_ms })
            }
            RunEnd::Done => {
                self.complete_task(now, end.task);
                None
            }
            RunEnd::Failed if stored && !endless => {
                task.avoid = Some(key);
                // This may be the last attempt of the task, so it must not start before the failure is recorded.
                let unrecorded = match task.state {
                    TaskState::RecordingFailures(count) => Some(count),
                    TaskState::Waiting => Some(0),
                    _ if here => Some(0),
                    _ => None,
                };
                if let Some(count) = unrecorded {
                    job.remove_waiting(end.task);
                    job.task_mut(end.task)?.state = TaskState::RecordingFailures(count + 1);
                }
                Some(EndRecord { task: end.task, run: end.run, done: false, recorded_ms })
            }
            RunEnd::Failed => {
                task.avoid = Some(key);
                // An ejected target fails whatever it runs, so its failures say nothing about the task.
                task.failures += u32::from(!ejected);
                let failed = !endless && task.failures >= attempts;
                if here {
                    self.requeue_task(now, key, end.task);
                }
                if failed {
                    self.answer(now, job_key, JobEnd::Failed);
                }
                None
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {
                if here {
                    self.requeue_task(now, key, end.task);
                }
                None
            }
        }
    }

    /// Marks a task as done, and answers its job if that was the last task.
    pub(super) fn complete_task(&mut self, now: Time, id: TaskId) {
        let Some(key) = self.by_job.get(&id.job).copied() else { return };
        let job = &mut self.jobs[key];
        job.remove_waiting(id);
        let other = match job.task_mut(id).map(|task| task.state) {
            Some(TaskState::Placed(target)) => Some(target),
            _ => None,
        };
        job.mark_done(id);
        let gang = job.spec.steps.get(id.step as usize).is_some_and(|step| step.gang);
        if gang {
            self.jobs[key].complete_gang(id);
        }
        if let Some(target) = other {
            self.stop_run(now, target, id);
        }
        let job = &self.jobs[key];
        if job.is_complete() && !job.stored {
            self.answer(now, key, JobEnd::Completed);
        }
        self.dirty = true;
    }

    /// Acknowledges ends that are recorded in the log, and applies them to their jobs.
    pub fn on_ends_recorded(&mut self, now: Time, target: TargetKey, numbers: &[u64], records: &[EndRecord]) {
        if let Some(target) = self.targets.get_mut(target) {
            target.unrecorded.retain(|number| !numbers.contains(number));
            target.next_renewal = target.next_renewal.min(now);
        }
        for record in records {
            let Some(key) = self.by_job.get(&record.task.job).copied() else { continue };
            match record.done {
                true => self.complete_task(now, record.task),
                false => {
                    let job = &mut self.jobs[key];
                    let Some(task) = job.task_mut(record.task) else { continue };
                    task.failures += 1;
                    match task.state {
                        TaskState::RecordingFailures(1) => {
                            task.state = TaskState::Waiting;
                            job.requeue(record.task);
                            self.waiting.insert(key);
                            self.stop_gang(now, key, record.task);
                        }
                        TaskState::RecordingFailures(count) => task.state = TaskState::RecordingFailures(count - 1),
                        _ => {}
                    }
                }
            }
        }
        self.dirty = true;
    }

    /// Compares the runs that a target lists with those that the board expects there.
    fn reconcile_runs(&mut self, now: Time, key: TargetKey, sent_at: Time, listing: &Listing, first: bool) {
        for running in &listing.running {
            match self.targets[key].runs.get(&running.task).map(|run| run.number) {
                Some(number) if number == running.run => self.update_run(now, key, running),
                Some(number) if number > running.run => {}
                _ if self.adopt_run(now, key, running.task, running.run, running.percent) => {}
                _ => self.add_orphan(key, running.task, running.run, now),
            }
        }
        if self.is_whole(listing) {
            self.drop_missing_runs(now, key, sent_at, listing);
        }
        self.stop_orphans(now, key, listing);
        if first {
            let target = &self.targets[key];
            let (id, runs, orphans) = (target.report.id.clone(), target.runs.len(), target.orphans.len());
            log::debug!(target = id, runs, strays = orphans; "board: target listed its runs");
        }
    }

    /// Updates the progress and checkpoint of a run, and stops a run that its job no longer needs.
    fn update_run(&mut self, now: Time, key: TargetKey, running: &ActiveRun) {
        let id = running.task;
        let expires = now + self.settings.lease_expiry();
        let target = &mut self.targets[key];
        if let Some(run) = target.runs.get_mut(&id) {
            run.confirmed = true;
            if run.moved_at.take().is_some() {
                run.lease_end = 0;
                target.expires = target.expires.max(expires);
            }
            if matches!(run.state, RunState::Starting | RunState::Unsure) {
                run.state = RunState::Running;
                run.started_at.get_or_insert(now);
                run.last_progress = now;
            }
            if running.percent > run.percent {
                run.percent = running.percent;
                run.last_progress = now;
            }
        }
        let current = self.is_current_run(id, key);
        let task = self.by_job.get(&id.job).and_then(|job| self.jobs[*job].task_mut(id));
        match task {
            Some(task) if !running.checkpoint.is_empty() => task.checkpoint.clone_from(&running.checkpoint),
            _ => {}
        }
        // Repeats a stop that got no answer.
        if !current {
            self.stop_run(now, key, id);
        }
    }

    /// Returns true if the job of the task has placed it on this target.
    fn is_current_run(&self, task: TaskId, key: TargetKey) -> bool {
        let Some(job) = self.by_job.get(&task.job) else { return false };
        let step = self.jobs[*job]
            .occurrences
            .get(&task.occurrence)
            .and_then(|occurrence| occurrence.steps.get(task.step as usize));
        step.and_then(|step| step.tasks.get(task.index as usize))
            .is_some_and(|task| task.state == TaskState::Placed(key))
    }

    /// Removes runs that the target does not list and that surely can't run there any more.
    fn drop_missing_runs(&mut self, now: Time, key: TargetKey, sent_at: Time, listing: &Listing) {
        let listed = |task: &TaskId| listing.running.iter().any(|running| running.task == *task);
        let target = &self.targets[key];
        let missing: Vec<_> =
            target.runs.iter().filter(|(task, _)| !listed(task)).map(|(task, run)| (*task, run.clone())).collect();
        for (task, run) in missing {
            let Run { state, sent: order_sent, started_at, lease_end, moved_at, .. } = run;
            let over = match state {
                // The start can't arrive any more.
                _ if moved_at.is_some_and(|at| sent_at >= at + ORDER_TIMEOUT) => true,
                RunState::Starting => false,
                // The order was answered before the renewal was sent, so the listing would show the run.
                RunState::Running | RunState::Stopping => started_at.is_some_and(|started_at| started_at < sent_at),
                RunState::Unsure => listing.clock > lease_end && sent_at > order_sent,
            };
            if over {
                log::info!(task:%, state:?, target = self.targets[key].report.id; "board: run is not listed any more");
                self.targets[key].remove_run(&task);
                self.requeue_task(now, key, task);
            } else if state == RunState::Unsure && sent_at > order_sent {
                // The stop keeps the run from starting, if it has not started yet.
                self.stop_run(now, key, task);
            }
        }
    }

    /// Stops orphan runs whose clients have had time to submit their jobs to this leader.
    fn stop_orphans(&mut self, now: Time, key: TargetKey, listing: &Listing) {
        let token = self.token;
        let target = &mut self.targets[key];
        target.orphans.retain(|task, _| listing.running.iter().any(|running| running.task == *task));
        let grace = super::tick::ORPHAN_GRACE_PERIOD;
        let expired: Vec<_> = target
            .orphans
            .iter_mut()
            .filter(|(_, orphan)| orphan.run.token() == token || now - orphan.found >= grace)
            .filter(|(_, orphan)| orphan.stop_sent.is_none_or(|at| now - at >= grace))
            .map(|(task, orphan)| {
                orphan.stop_sent = Some(now);
                (*task, orphan.run)
            })
            .collect();
        for (task, run) in expired {
            log::info!(task:%, run = run.0, target = self.targets[key].report.id; "board: stopping an orphan run");
            self.order(key, OrderKind::Stop { task, run });
        }
    }
}
