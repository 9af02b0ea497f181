//! What came of orders.

use super::table::TaskState;
use super::{Board, End, Note, Output, What};
use crate::target::{Denial, Ended, Listing, Order, Outcome, RunState, Running};
use crate::{How, RunNumber, TargetKey, TaskId};
use mangogw_model::Time;
use std::time::Duration;

/// Looks without an answer, one after the other, that put a target in doubt.
const MISSES: u32 = 2;
/// An end may be listed late by so large a part of the run for its length to count.
const LISTED_LATE: f64 = 0.3;

impl Board {
    /// Takes what came of an order that was sent at `asked`.
    pub fn on_outcome(&mut self, now: Time, order: &Order, asked: Time, outcome: Outcome) {
        let key = order.target;
        if !self.targets.contains_key(key) {
            return;
        }
        let clock = match &outcome {
            Outcome::Done { clock } => Some(*clock),
            Outcome::Listed(listing) => Some(listing.clock),
            Outcome::Denied { clock, .. } => *clock,
            Outcome::Unsure | Outcome::Gone => None,
        };
        let before = self.targets[key].answered;
        if let Some(clock) = clock {
            self.targets[key].hear(clock, asked, now);
        }
        if matches!(order.what, What::Look { .. }) {
            self.targets[key].looking = None;
        }
        match (&order.what, outcome) {
            (_, Outcome::Gone) => self.lose_target(now, key, "another life listens there"),
            (_, Outcome::Denied { why: Denial::Fenced, .. }) => {
                log::warn!(target = order.id, token = self.token; "board: a later leader gives orders; stopping");
                self.fenced = true;
            }
            (What::Look { .. }, Outcome::Listed(listing)) => {
                self.targets[key].blind = before.map_or(Duration::MAX, |before| asked - before);
                self.on_listing(now, key, asked, &listing);
            }
            (What::Look { .. }, other) => self.on_missed(now, key, &other),
            (What::Start { task, run, until, .. }, outcome) => {
                self.on_start(now, key, *task, *run, *until, &outcome);
            }
            (What::Stop { task, run }, outcome) => self.on_stop(now, key, *task, *run, &outcome),
        }
        self.dirty = true;
    }

    /// A look told nothing. Its answer alone may be lost, so the first is asked again before the target is in doubt:
    /// what it runs holds its room meanwhile.
    fn on_missed(&mut self, now: Time, key: TargetKey, outcome: &Outcome) {
        let target = &mut self.targets[key];
        target.misses += 1;
        self.counts.missed += 1;
        if *outcome != Outcome::Unsure || target.misses >= MISSES {
            self.doubt(now, key, &format!("look {outcome:?}"));
        }
        self.plan_look(now, key);
    }

    fn on_start(&mut self, now: Time, key: TargetKey, task: TaskId, run: RunNumber, until: u64, outcome: &Outcome) {
        let target = &mut self.targets[key];
        target.extend(until);
        let id = target.report.id.clone();
        let Some(held) = target.runs.get_mut(&task).filter(|held| held.number == run) else { return };
        match outcome {
            Outcome::Done { .. } | Outcome::Listed(_) if held.state == RunState::Starting => {
                held.state = RunState::Running;
                held.began = Some(now);
                held.moved = now;
            }
            Outcome::Done { .. } | Outcome::Listed(_) | Outcome::Gone => {}
            Outcome::Unsure => {
                if held.state == RunState::Starting {
                    held.state = RunState::Unsure;
                }
                target.next_look = now;
                self.counts.unsure += 1;
                log::info!(task:%, run = run.0, target = id; "board: start unsure");
            }
            Outcome::Denied { why, .. } => {
                log::info!(task:%, run = run.0, target = id, why:?; "board: start refused");
                target.remove(&task);
                self.counts.denied += 1;
                match why {
                    Denial::Unwell | Denial::Room | Denial::Unreached | Denial::Unreadable => target.health.strike(now),
                    Denial::Old | Denial::Late | Denial::Fenced => {}
                }
                if matches!(why, Denial::Room | Denial::Late | Denial::Unreached) {
                    self.doubt(now, key, "start refused");
                }
                self.free_task(now, key, task);
            }
        }
    }

    fn on_stop(&mut self, now: Time, key: TargetKey, task: TaskId, run: RunNumber, outcome: &Outcome) {
        let target = &mut self.targets[key];
        if let Some(held) = target.runs.get_mut(&task).filter(|held| held.number == run) {
            match outcome {
                // From now on the run is either listed or can never begin.
                Outcome::Done { .. } => held.began = Some(now),
                _ => held.state = RunState::Unsure,
            }
        }
        if let Some(stray) = target.strays.get_mut(&task).filter(|stray| stray.run == run)
            && !matches!(outcome, Outcome::Done { .. })
        {
            stray.stopped = None;
        }
        target.next_look = now;
    }

    fn on_listing(&mut self, now: Time, key: TargetKey, asked: Time, listing: &Listing) {
        let target = &mut self.targets[key];
        match listing.born {
            Some(born) if born > target.report.born => return self.lose_target(now, key, "a later life listed"),
            Some(born) if born < target.report.born => return self.doubt(now, key, "an earlier life listed"),
            _ => {}
        }
        target.noted = target.noted.max(target.sought);
        target.misses = 0;
        let first = !target.synced;
        target.synced = true;
        if self.standing.swap_remove(&key) && self.standing.is_empty() {
            log::info!(token = self.token, now = now.as_micros(); "board: every target has been heard");
        }
        self.take_ends(now, key, &listing.ended);
        self.take_running(now, key, asked, listing, first);
        self.plan_look(now, key);
    }

    /// Takes in the ends that are new, in their order.
    fn take_ends(&mut self, now: Time, key: TargetKey, ended: &[Ended]) {
        let (mut numbers, mut notes) = (Vec::new(), Vec::new());
        for end in ended {
            if end.number <= self.targets[key].listed {
                continue;
            }
            self.targets[key].listed = end.number;
            self.hold_end(key, end);
            if let Some(note) = self.take_end(now, key, end) {
                numbers.push(end.number);
                notes.push(note);
            }
        }
        if !notes.is_empty() {
            self.targets[key].open.extend(&numbers);
            self.outputs.push(Output::Note { target: key, numbers, notes });
        }
    }

    /// Keeps an end on the target for the group, which alone may note it.
    fn hold_end(&mut self, key: TargetKey, end: &Ended) {
        let counts = matches!(end.how, How::Done | How::Failed);
        if self.isolated && counts && !self.by_job.contains_key(&end.task.job) {
            let target = &mut self.targets[key];
            target.held = target.held.min(end.number);
        }
    }

    /// Takes in one end. Gives back what has to be noted of it before it may be forgotten.
    fn take_end(&mut self, now: Time, key: TargetKey, end: &Ended) -> Option<Note> {
        let target = &mut self.targets[key];
        if target.strays.get(&end.task).is_some_and(|stray| stray.run <= end.run) {
            target.strays.swap_remove(&end.task);
        }
        let ours = target.runs.get(&end.task).is_some_and(|run| run.number == end.run);
        let run = if ours { target.remove(&end.task) } else { None };
        if let Some(run) = &run {
            let took = run.began.map_or(now - run.sent, |began| now - began).as_secs_f64() * 1000.0;
            match end.how {
                // An end that was listed late says nothing about the speed.
                How::Done if target.blind.as_secs_f64() * 1000.0 > took * LISTED_LATE => target.health.served(),
                How::Done => {
                    let ratio = target.health.pace() * took / run.expected.max(1.0);
                    target.health.done(ratio);
                }
                How::Failed => target.health.strike(now),
                How::Lapsed => target.next_look = now,
                How::Stopped | How::Broken | How::Alone => {}
            }
        }
        let out = target.health.is_out();
        log::debug!(task:% = end.task, run = end.run.0, how:? = end.how, target = target.report.id; "board: run ended");
        let Some(job_key) = self.by_job.get(&end.task.job).copied() else {
            if run.is_none() && end.run.token() < self.token {
                self.loose.insert(end.task, (end.how, now));
            }
            return None;
        };
        let job = &mut self.jobs[job_key];
        let (stored, endless, attempts) = (job.stored, job.spec.endless, job.attempts);
        let at = self.settings.wall + now.as_micros() / 1000;
        let task = job.task_mut(end.task)?;
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        let here = task.state == TaskState::On(key) && ours;
        let fresh = here || !matches!(task.state, TaskState::Done | TaskState::Noting);
        match end.how {
            _ if !fresh => None,
            How::Done if endless => {
                self.free_task(now, key, end.task);
                None
            }
            How::Done if stored => {
                if matches!(task.state, TaskState::Waiting) {
                    job.take_waiting(end.task);
                }
                job.started = true;
                job.task_mut(end.task)?.state = TaskState::Noting;
                Some(Note { task: end.task, run: end.run, done: true, at })
            }
            How::Done => {
                self.task_done(now, end.task);
                None
            }
            How::Failed if stored && !endless => {
                task.avoid = Some(key);
                // It may be the last failure that the task had left, so that it does not start meanwhile.
                let open = match task.state {
                    TaskState::Failing(open) => Some(open),
                    TaskState::Waiting => Some(0),
                    _ if here => Some(0),
                    _ => None,
                };
                if let Some(open) = open {
                    job.take_waiting(end.task);
                    job.task_mut(end.task)?.state = TaskState::Failing(open + 1);
                }
                Some(Note { task: end.task, run: end.run, done: false, at })
            }
            How::Failed => {
                task.avoid = Some(key);
                // A target that fails all it starts says nothing about the task.
                task.failures += u32::from(!out);
                let failed = !endless && task.failures >= attempts;
                if here {
                    self.free_task(now, key, end.task);
                }
                if failed {
                    self.answer(now, job_key, End::Failed);
                }
                None
            }
            How::Stopped | How::Lapsed | How::Broken | How::Alone => {
                if here {
                    self.free_task(now, key, end.task);
                }
                None
            }
        }
    }

    /// A task is done: so may be its step, and its job.
    pub(super) fn task_done(&mut self, now: Time, id: TaskId) {
        let Some(key) = self.by_job.get(&id.job).copied() else { return };
        let job = &mut self.jobs[key];
        job.take_waiting(id);
        let other = match job.task_mut(id).map(|task| task.state) {
            Some(TaskState::On(target)) => Some(target),
            _ => None,
        };
        job.finish(id);
        let gang = job.spec.steps.get(id.step as usize).is_some_and(|step| step.gang);
        if gang {
            self.finish_gang(key, id);
        }
        if let Some(target) = other {
            self.stop_run(now, target, id);
        }
        let job = &self.jobs[key];
        if job.is_whole() && !job.stored {
            self.answer(now, key, End::Completed);
        }
        self.dirty = true;
    }

    /// One end stands for all tasks of a gang.
    fn finish_gang(&mut self, key: super::JobKey, id: TaskId) {
        let job = &mut self.jobs[key];
        let count = job.spec.steps[id.step as usize].count;
        for index in 0..count {
            let member = TaskId { index, ..id };
            job.take_waiting(member);
            job.finish(member);
        }
    }

    /// Ends were noted in the log.
    pub fn on_noted(&mut self, now: Time, target: TargetKey, numbers: &[u64], notes: &[Note]) {
        if let Some(target) = self.targets.get_mut(target) {
            target.open.retain(|number| !numbers.contains(number));
            target.next_look = target.next_look.min(now);
        }
        for note in notes {
            let Some(key) = self.by_job.get(&note.task.job).copied() else { continue };
            match note.done {
                true => self.task_done(now, note.task),
                false => {
                    let job = &mut self.jobs[key];
                    let Some(task) = job.task_mut(note.task) else { continue };
                    task.failures += 1;
                    match task.state {
                        TaskState::Failing(1) => {
                            task.state = TaskState::Waiting;
                            job.put_back(note.task);
                            self.waiting.insert(key);
                            self.break_gang(now, key, note.task);
                        }
                        TaskState::Failing(open) => task.state = TaskState::Failing(open - 1),
                        _ => {}
                    }
                }
            }
        }
        self.dirty = true;
    }

    /// Compares what runs with what should.
    fn take_running(&mut self, now: Time, key: TargetKey, asked: Time, listing: &Listing, first: bool) {
        for running in &listing.running {
            match self.targets[key].runs.get(&running.task).map(|run| run.number) {
                Some(number) if number == running.run => self.follow_run(now, key, running),
                Some(number) if number > running.run => {}
                _ if self.adopt(now, key, running.task, running.run, running.percent) => {}
                _ => self.stray(key, running.task, running.run, now),
            }
        }
        self.drop_absent(now, key, asked, listing);
        self.stop_strays(now, key, listing);
        if first {
            let target = &self.targets[key];
            let (id, runs, strays) = (target.report.id.clone(), target.runs.len(), target.strays.len());
            log::debug!(target = id, runs, strays; "board: target listed");
        }
    }

    /// Takes in how far a run is.
    fn follow_run(&mut self, now: Time, key: TargetKey, running: &Running) {
        let id = running.task;
        if let Some(run) = self.targets[key].runs.get_mut(&id) {
            if matches!(run.state, RunState::Starting | RunState::Unsure) {
                run.state = RunState::Running;
                run.began.get_or_insert(now);
                run.moved = now;
            }
            if running.percent > run.percent {
                run.percent = running.percent;
                run.moved = now;
            }
        }
        let wanted = self.is_wanted(id, key);
        let task = self.by_job.get(&id.job).and_then(|job| self.jobs[*job].task_mut(id));
        match task {
            Some(task) if !running.checkpoint.is_empty() => task.checkpoint.clone_from(&running.checkpoint),
            _ => {}
        }
        // A stop that got no answer is sent again.
        if !wanted {
            self.stop_run(now, key, id);
        }
    }

    /// True if the run of the task on this target is the one that its job goes by.
    fn is_wanted(&self, task: TaskId, key: TargetKey) -> bool {
        let Some(job) = self.by_job.get(&task.job) else { return false };
        let group = self.jobs[*job].turns.get(&task.turn).and_then(|turn| turn.steps.get(task.step as usize));
        group.and_then(|group| group.tasks.get(task.index as usize)).is_some_and(|it| it.state == TaskState::On(key))
    }

    /// Runs that the target does not list: those that surely can't run there any more are over.
    fn drop_absent(&mut self, now: Time, key: TargetKey, asked: Time, listing: &Listing) {
        let listed = |task: &TaskId| listing.running.iter().any(|running| running.task == *task);
        let target = &self.targets[key];
        let absent: Vec<_> = target
            .runs
            .iter()
            .filter(|(task, _)| !listed(task))
            .map(|(task, run)| (*task, run.state, run.sent, run.began, run.until))
            .collect();
        for (task, state, sent, began, until) in absent {
            let over = match state {
                RunState::Starting => false,
                // The answer to the order came before the look was sent, so the look would have shown it.
                RunState::Running | RunState::Stopping => began.is_some_and(|began| began < asked),
                RunState::Unsure => listing.clock > until && asked > sent,
            };
            if over {
                log::info!(task:%, state:?, target = self.targets[key].report.id; "board: run is not there");
                self.targets[key].remove(&task);
                self.free_task(now, key, task);
            } else if state == RunState::Unsure && asked > sent {
                // Bars the run, if it has not begun.
                self.stop_run(now, key, task);
            }
        }
    }

    /// Has runs stopped that nobody knows, once their clients had time to ask for them here.
    fn stop_strays(&mut self, now: Time, key: TargetKey, listing: &Listing) {
        let token = self.token;
        let target = &mut self.targets[key];
        target.strays.retain(|task, _| listing.running.iter().any(|running| running.task == *task));
        let grace = super::tick::STRAY_GRACE;
        let ripe: Vec<_> = target
            .strays
            .iter_mut()
            .filter(|(_, stray)| stray.run.token() == token || now - stray.found >= grace)
            .filter(|(_, stray)| stray.stopped.is_none_or(|at| now - at >= grace))
            .map(|(task, stray)| {
                stray.stopped = Some(now);
                (*task, stray.run)
            })
            .collect();
        for (task, run) in ripe {
            log::info!(task:%, run = run.0, target = self.targets[key].report.id; "board: stopping a stray run");
            self.order(key, What::Stop { task, run });
        }
    }
}
