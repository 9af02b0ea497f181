//! Oracle for the fuzz test: counts starts, ends and answers by task, and the resources held by attempts, and asserts
//! after each action of the core that the counts are allowed.

use arbtest::arbitrary::{Result, Unstructured};
use indexmap::IndexMap;
use mangogw_dispatch::{
    Action, AttemptReport, Dispatch, End, EntryKey, Refusal, RepeatPolicy, TargetKey, TaskKey, TaskSpec,
};
use mangogw_model::{Announcement, AttemptId, Capacity, Entry, Needs, Outcome, TargetName, Time};
use std::time::Duration;

/// Counts of an admitted task.
#[derive(Debug)]
struct Task {
    spec: TaskSpec,
    /// Starts, without those that the target reported as not started.
    starts: u32,
    ends: u32,
    /// Attempts that were reported as answered.
    answers: Vec<AttemptId>,
}

/// Request of the core that an attempt has not confirmed yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingRequest {
    None,
    Throttle,
    Checkpoint,
}

/// Attempt that was started and not closed.
#[derive(Debug)]
struct Attempt {
    task: TaskKey,
    entry: EntryKey,
    target: TargetKey,
    full: Needs,
    /// Resources in use; `None` while the attempt is checkpointed.
    held: Option<Needs>,
    pending: PendingRequest,
    /// Time from which the core may treat a stopped attempt as ended without a report; `None` if no stop was sent.
    stop_deadline: Option<Time>,
}

/// Last announcement and lease of a target.
#[derive(Debug)]
struct Target {
    name: TargetName,
    capacity: Capacity,
    connections: u32,
    /// Time at which the lease lapses.
    lease: Time,
    left: bool,
}

/// Limits of an entry, and the share of them that the core may use.
#[derive(Debug)]
struct EntryLimits {
    entry: Entry,
    /// Fraction from 0 to 1.
    share: f64,
}

/// Counts of one fuzz run.
#[derive(Debug)]
pub struct Oracle {
    /// Duration of a lease.
    lease: Duration,
    tasks: IndexMap<TaskKey, Task>,
    attempts: IndexMap<AttemptId, Attempt>,
    closed: Vec<AttemptId>,
    targets: IndexMap<TargetKey, Target>,
    entries: IndexMap<EntryKey, EntryLimits>,
    starts: u64,
}

impl Oracle {
    pub fn open(lease: Duration) -> Self {
        Self {
            lease,
            tasks: IndexMap::new(),
            attempts: IndexMap::new(),
            closed: Vec::new(),
            targets: IndexMap::new(),
            entries: IndexMap::new(),
            starts: 0,
        }
    }

    pub const fn starts(&self) -> u64 {
        self.starts
    }

    /// Records the configuration of an entry; its share stays, or is 1 for a new entry.
    pub fn set_limits(&mut self, key: EntryKey, entry: &Entry) {
        let share = self.entries.get(&key).map_or(1.0, |limits| limits.share);
        self.entries.insert(key, EntryLimits { entry: entry.clone(), share });
    }

    pub fn set_share(&mut self, key: EntryKey, share: f64) {
        self.entries[&key].share = share;
    }

    /// Records an admitted task. Fails if its key is in use, or if a refusal claims that the task ran.
    pub fn record_admission(&mut self, spec: &TaskSpec, result: std::result::Result<TaskKey, Refusal>) {
        match result {
            Ok(key) => {
                let task = Task { spec: *spec, starts: 0, ends: 0, answers: Vec::new() };
                assert!(self.tasks.insert(key, task).is_none(), "a task key was given to two tasks");
            }
            Err(refusal) => assert_eq!(refusal.code.outcome(), Outcome::NotRun, "{refusal:?}"),
        }
    }

    pub fn record_announcement(&mut self, now: Time, key: TargetKey, announcement: &Announcement) {
        // A new incarnation has a new key and ends the attempts of the old one.
        let old: Vec<_> = self
            .targets
            .iter()
            .filter(|(other, row)| **other != key && row.name == announcement.name)
            .map(|(k, _)| *k)
            .collect();
        for old in old {
            self.targets.shift_remove(&old);
            let lost: Vec<_> = self.attempts.iter().filter(|(_, row)| row.target == old).map(|(id, _)| *id).collect();
            for id in lost {
                self.attempts.shift_remove(&id);
                self.closed.push(id);
            }
        }
        self.targets.insert(
            key,
            Target {
                name: announcement.name.clone(),
                capacity: announcement.capacity,
                connections: announcement.connections,
                lease: now + self.lease,
                left: false,
            },
        );
    }

    pub fn record_heartbeat(&mut self, now: Time, name: &TargetName) {
        let lease = now + self.lease;
        self.targets.values_mut().filter(|row| row.name == *name).for_each(|row| row.lease = lease);
    }

    pub fn record_leave(&mut self, name: &TargetName) {
        self.targets.values_mut().filter(|row| row.name == *name).for_each(|row| row.left = true);
    }

    /// Returns a random open attempt, `None` if there is none.
    pub fn any_attempt(&self, u: &mut Unstructured<'_>) -> Result<Option<AttemptId>> {
        match self.attempts.len() {
            0 => Ok(None),
            count => Ok(self.attempts.get_index(u.choose_index(count)?).map(|(id, _)| *id)),
        }
    }

    /// Returns up to `max` consecutive tasks from a random position; ended tasks are included.
    pub fn some_tasks(&self, u: &mut Unstructured<'_>, max: usize) -> Result<Vec<TaskKey>> {
        match self.tasks.len() {
            0 => Ok(Vec::new()),
            count => {
                let from = u.choose_index(count)?;
                Ok(self.tasks.keys().skip(from).take(max).copied().collect())
            }
        }
    }

    /// Returns true if a throttle or checkpoint request for the attempt is not confirmed yet.
    pub fn has_pending(&self, id: AttemptId) -> bool {
        self.attempts[&id].pending != PendingRequest::None
    }

    /// Counts a report, and returns it adapted to the pending request of the attempt: a checkpoint report for a
    /// throttle request becomes [`AttemptReport::Throttled`].
    pub fn record_report(&mut self, now: Time, id: AttemptId, report: AttemptReport) -> AttemptReport {
        self.drop_unconfirmed_stops(now);
        let Some(row) = self.attempts.get_mut(&id) else { return report };
        let stopped = row.stop_deadline.is_some();
        match (report, row.pending) {
            (AttemptReport::Checkpointed, PendingRequest::Throttle) if !stopped => {
                row.held = row.held.map(|needs| Needs { cores: 0, ..needs });
                row.pending = PendingRequest::None;
                return AttemptReport::Throttled;
            }
            (AttemptReport::Checkpointed, PendingRequest::Checkpoint) if !stopped => {
                row.held = None;
                row.pending = PendingRequest::None;
                return report;
            }
            (AttemptReport::Declined, PendingRequest::Throttle | PendingRequest::Checkpoint) if !stopped => {
                row.pending = PendingRequest::None;
                return report;
            }
            (AttemptReport::Declined | AttemptReport::Checkpointed, _) => return report,
            _ => {}
        }
        let Some(row) = self.attempts.shift_remove(&id) else { return report };
        self.closed.push(id);
        let Some(task) = self.tasks.get_mut(&row.task) else { return report };
        match report {
            AttemptReport::NotStarted => task.starts -= 1,
            AttemptReport::Answered => task.answers.push(id),
            _ => {}
        }
        report
    }

    /// Reports an answer to the core for an attempt that is already closed.
    pub fn repeat_report(&self, u: &mut Unstructured<'_>, core: &mut Dispatch, now: Time) -> Result<()> {
        if !self.closed.is_empty() {
            core.report(now, *u.choose(&self.closed)?, AttemptReport::Answered);
        }
        Ok(())
    }

    /// Counts the actions of the core and checks each of them.
    pub fn apply(&mut self, now: Time, actions: &[Action]) {
        self.drop_unconfirmed_stops(now);
        for action in actions {
            match *action {
                Action::Start { task, attempt, target } => self.start(now, task, attempt, target),
                Action::Resume { attempt, target } => {
                    let row = self.attempts.get_mut(&attempt).expect("the resumed attempt is open");
                    assert!(row.stop_deadline.is_none(), "a stopped attempt was resumed");
                    row.held = Some(row.full);
                    self.check_capacity(target);
                }
                Action::Stop { attempt, .. } => {
                    let deadline = now + self.lease;
                    if let Some(row) = self.attempts.get_mut(&attempt) {
                        assert!(row.stop_deadline.is_none(), "an attempt was stopped twice");
                        row.stop_deadline = Some(deadline);
                    } else {
                        assert!(self.closed.contains(&attempt), "a stop was sent for an attempt that never started");
                    }
                }
                Action::Throttle { attempt, .. } => self.set_pending(attempt, PendingRequest::Throttle),
                Action::Checkpoint { attempt, .. } => self.set_pending(attempt, PendingRequest::Checkpoint),
                Action::End { task, end } => self.end(task, end),
            }
        }
    }

    fn set_pending(&mut self, attempt: AttemptId, request: PendingRequest) {
        self.attempts.get_mut(&attempt).expect("the attempt of the request is open").pending = request;
    }

    fn start(&mut self, now: Time, key: TaskKey, attempt: AttemptId, target: TargetKey) {
        self.starts += 1;
        let task = self.tasks.get_mut(&key).expect("the started task was admitted");
        assert_eq!(task.ends, 0, "a task was started after its end");
        assert!(task.spec.deadline > now, "a task was started after its deadline");
        task.starts += 1;
        let max_starts = match task.spec.repeat {
            RepeatPolicy::Never => 1,
            // Upper bound of `Retry::tries` in the catalogues of all runs.
            RepeatPolicy::Allowed => 4,
        };
        assert!(task.starts <= max_starts, "{} starts of a task with repeat {:?}", task.starts, task.spec.repeat);
        let spec = task.spec;
        let row = &self.targets[&target];
        assert!(!row.left && row.lease > now, "a task was started on a target that left or lapsed");
        let row = Attempt {
            task: key,
            entry: spec.entry,
            target,
            full: spec.needs,
            held: Some(spec.needs),
            pending: PendingRequest::None,
            stop_deadline: None,
        };
        assert!(
            self.attempts.insert(attempt, row).is_none() && !self.closed.contains(&attempt),
            "an attempt id was used twice"
        );
        self.check_capacity(target);
        self.check_limits(spec.entry);
    }

    fn end(&mut self, key: TaskKey, end: End) {
        let task = self.tasks.get_mut(&key).expect("the ended task was admitted");
        task.ends += 1;
        assert_eq!(task.ends, 1, "a task ended twice");
        match end {
            End::Answered(attempt) => {
                assert!(task.answers.contains(&attempt), "a task ended with an answer that was not reported");
            }
            End::Refused(refusal) if refusal.code.outcome() == Outcome::NotRun => {
                assert_eq!(task.starts, 0, "{refusal:?} for a task that was started");
            }
            End::Refused(refusal) => {
                assert!(task.starts > 0, "{refusal:?} for a task that was never started");
                assert_ne!(refusal.code.outcome(), Outcome::Answered);
            }
        }
    }

    /// Closes stopped attempts whose end was not reported within the duration of a lease.
    fn drop_unconfirmed_stops(&mut self, now: Time) {
        let closed = &mut self.closed;
        self.attempts.retain(|id, row| {
            let expired = row.stop_deadline.is_some_and(|deadline| deadline <= now);
            if expired {
                closed.push(*id);
            }
            !expired
        });
    }

    /// Checks that the open attempts on a target fit its capacity and connections.
    fn check_capacity(&self, key: TargetKey) {
        let (mut tasks, mut cores, mut memory, mut accelerators) = (0, 0, 0, 0);
        for needs in self.attempts.values().filter(|row| row.target == key).filter_map(|row| row.held) {
            tasks += 1;
            cores += needs.cores;
            memory += needs.memory_mb;
            accelerators += needs.accelerators;
        }
        let row = &self.targets[&key];
        let capacity = row.capacity;
        assert!(tasks <= capacity.slots, "{tasks} tasks in {} slots", capacity.slots);
        assert!(row.connections == 0 || tasks <= row.connections, "{tasks} tasks on {} connections", row.connections);
        assert!(
            cores <= capacity.cores && memory <= capacity.memory_mb && accelerators <= capacity.accelerators,
            "a target holds {cores} cores, {memory} MB and {accelerators} accelerators: {capacity:?}"
        );
    }

    /// Checks that the open attempts of an entry are within its share of the concurrency and quota.
    fn check_limits(&self, key: EntryKey) {
        let (mut tasks, mut cores, mut accelerators) = (0, 0, 0);
        for needs in self.attempts.values().filter(|row| row.entry == key).filter_map(|row| row.held) {
            tasks += 1;
            cores += needs.cores;
            accelerators += needs.accelerators;
        }
        let EntryLimits { entry, share } = &self.entries[&key];
        let within = |held: u32, limit: u32| limit == 0 || held <= ((f64::from(limit) * share) as u32).max(1);
        assert!(within(tasks, entry.limits.concurrency), "{tasks} tasks exceed the concurrency limit");
        assert!(within(cores, entry.quota.cores), "{cores} cores exceed the quota");
        assert!(within(accelerators, entry.quota.accelerators), "{accelerators} accelerators exceed the quota");
    }

    /// Fails unless every task ended exactly once.
    pub fn assert_all_ended(&self) {
        for (key, task) in &self.tasks {
            assert_eq!(task.ends, 1, "{key:?} {task:?}");
        }
    }

    /// Reports every open attempt as failed.
    pub fn drain_attempts(&mut self, core: &mut Dispatch, now: Time) {
        for id in self.attempts.keys() {
            core.report(now, *id, AttemptReport::Failed);
        }
        self.attempts.clear();
    }
}
