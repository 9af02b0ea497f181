//! An oracle that only counts.

use arbtest::arbitrary::{Result, Unstructured};
use indexmap::IndexMap;
use mangogw_dispatch::{
    Action, AttemptReport, Dispatch, End, EntryKey, Refusal, RepeatPolicy, TargetKey, TaskKey, TaskSpec,
};
use mangogw_model::{Announcement, AttemptId, Capacity, Entry, Needs, Outcome, TargetName, Time};
use std::time::Duration;

#[derive(Debug)]
struct Task {
    work: TaskSpec,
    /// Starts that were not taken back by "not started".
    starts: u32,
    ends: u32,
    answers: Vec<AttemptId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingRequest {
    Run,
    Throttle,
    Checkpoint,
}

#[derive(Debug)]
struct Attempt {
    task: TaskKey,
    entry: EntryKey,
    target: TargetKey,
    full: Needs,
    /// What it holds; `None` while it is set aside.
    held: Option<Needs>,
    asked: PendingRequest,
    /// When the core may take it for gone although nothing was heard of it.
    gone: Option<Time>,
}

#[derive(Debug)]
struct Target {
    name: TargetName,
    capacity: Capacity,
    connections: u32,
    lease: Time,
    left: bool,
}

#[derive(Debug)]
struct EntryLimits {
    entry: Entry,
    part: f64,
}

/// Counts of one run.
#[derive(Debug)]
pub struct Oracle {
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

    pub fn bounds(&mut self, key: EntryKey, entry: &Entry) {
        let part = self.entries.get(&key).map_or(1.0, |bounds| bounds.part);
        self.entries.insert(key, EntryLimits { entry: entry.clone(), part });
    }

    pub fn share(&mut self, key: EntryKey, part: f64) {
        self.entries[&key].part = part;
    }

    pub fn record_admission(&mut self, work: &TaskSpec, taken: std::result::Result<TaskKey, Refusal>) {
        match taken {
            Ok(key) => {
                let task = Task { work: *work, starts: 0, ends: 0, answers: Vec::new() };
                assert!(self.tasks.insert(key, task).is_none(), "a key was given twice");
            }
            Err(refusal) => assert_eq!(refusal.code.outcome(), Outcome::NotRun, "{refusal:?}"),
        }
    }

    pub fn record_announcement(&mut self, now: Time, key: TargetKey, said: &Announcement) {
        // A new life under a new key: what the old one held is gone.
        let old: Vec<_> = self
            .targets
            .iter()
            .filter(|(other, row)| **other != key && row.name == said.name)
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
                name: said.name.clone(),
                capacity: said.capacity,
                connections: said.connections,
                lease: now + self.lease,
                left: false,
            },
        );
    }

    pub fn beat(&mut self, now: Time, name: &TargetName) {
        let lease = now + self.lease;
        self.targets.values_mut().filter(|row| row.name == *name).for_each(|row| row.lease = lease);
    }

    pub fn left(&mut self, name: &TargetName) {
        self.targets.values_mut().filter(|row| row.name == *name).for_each(|row| row.left = true);
    }

    pub fn any_attempt(&self, u: &mut Unstructured<'_>) -> Result<Option<AttemptId>> {
        match self.attempts.len() {
            0 => Ok(None),
            many => Ok(self.attempts.get_index(u.choose_index(many)?).map(|(id, _)| *id)),
        }
    }

    pub fn some_tasks(&self, u: &mut Unstructured<'_>, most: usize) -> Result<Vec<TaskKey>> {
        match self.tasks.len() {
            0 => Ok(Vec::new()),
            many => {
                let from = u.choose_index(many)?;
                Ok(self.tasks.keys().skip(from).take(most).copied().collect())
            }
        }
    }

    /// True if the core waits for word that the attempt was slowed or set aside.
    pub fn asked(&self, id: AttemptId) -> bool {
        self.attempts[&id].asked != PendingRequest::Run
    }

    /// Counts a report, and turns one that makes no sense for the attempt into one that does.
    pub fn record_report(&mut self, now: Time, id: AttemptId, report: AttemptReport) -> AttemptReport {
        self.drop_unconfirmed_stops(now);
        let Some(row) = self.attempts.get_mut(&id) else { return report };
        let stopped = row.gone.is_some();
        match (report, row.asked) {
            (AttemptReport::Checkpointed, PendingRequest::Throttle) if !stopped => {
                row.held = row.held.map(|needs| Needs { cores: 0, ..needs });
                row.asked = PendingRequest::Run;
                return AttemptReport::Throttled;
            }
            (AttemptReport::Checkpointed, PendingRequest::Checkpoint) if !stopped => {
                row.held = None;
                row.asked = PendingRequest::Run;
                return report;
            }
            (AttemptReport::Declined, PendingRequest::Throttle | PendingRequest::Checkpoint) if !stopped => {
                row.asked = PendingRequest::Run;
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

    /// Feeds the core a second report on an attempt that was closed before.
    pub fn repeat_report(&self, u: &mut Unstructured<'_>, core: &mut Dispatch, now: Time) -> Result<()> {
        if !self.closed.is_empty() {
            core.report(now, *u.choose(&self.closed)?, AttemptReport::Answered);
        }
        Ok(())
    }

    /// Counts what the core wants done.
    pub fn apply(&mut self, now: Time, actions: &[Action]) {
        self.drop_unconfirmed_stops(now);
        for action in actions {
            match *action {
                Action::Start { task, attempt, target } => self.start(now, task, attempt, target),
                Action::Resume { attempt, target } => {
                    let row = self.attempts.get_mut(&attempt).expect("resumes what runs");
                    assert!(row.gone.is_none(), "resumed what was stopped");
                    row.held = Some(row.full);
                    self.check_capacity(target);
                }
                Action::Stop { attempt, .. } => {
                    let gone = now + self.lease;
                    if let Some(row) = self.attempts.get_mut(&attempt) {
                        assert!(row.gone.is_none(), "stopped twice");
                        row.gone = Some(gone);
                    } else {
                        assert!(self.closed.contains(&attempt), "stopped what never started");
                    }
                }
                Action::Throttle { attempt, .. } => self.ask(attempt, PendingRequest::Throttle),
                Action::Checkpoint { attempt, .. } => self.ask(attempt, PendingRequest::Checkpoint),
                Action::End { task, end } => self.end(task, end),
            }
        }
    }

    fn ask(&mut self, attempt: AttemptId, asked: PendingRequest) {
        self.attempts.get_mut(&attempt).expect("asks what runs").asked = asked;
    }

    fn start(&mut self, now: Time, key: TaskKey, attempt: AttemptId, target: TargetKey) {
        self.starts += 1;
        let task = self.tasks.get_mut(&key).expect("starts what was admitted");
        assert_eq!(task.ends, 0, "started after its end");
        assert!(task.work.deadline > now, "started after its deadline");
        task.starts += 1;
        let most = match task.work.repeat {
            RepeatPolicy::Never => 1,
            // Never more than the tries any catalogue of the run allowed.
            RepeatPolicy::Allowed => 4,
        };
        assert!(task.starts <= most, "{} starts of {:?}", task.starts, task.work.repeat);
        let work = task.work;
        let row = &self.targets[&target];
        assert!(!row.left && row.lease > now, "started on a target that left or lapsed");
        let fresh = Attempt {
            task: key,
            entry: work.entry,
            target,
            full: work.needs,
            held: Some(work.needs),
            asked: PendingRequest::Run,
            gone: None,
        };
        assert!(self.attempts.insert(attempt, fresh).is_none() && !self.closed.contains(&attempt), "an id came twice");
        self.check_capacity(target);
        self.check_bounds(work.entry);
    }

    fn end(&mut self, key: TaskKey, end: End) {
        let task = self.tasks.get_mut(&key).expect("ends what was admitted");
        task.ends += 1;
        assert_eq!(task.ends, 1, "ended twice");
        match end {
            End::Answered(attempt) => assert!(task.answers.contains(&attempt), "answered with what never came"),
            End::Refused(refusal) if refusal.code.outcome() == Outcome::NotRun => {
                assert_eq!(task.starts, 0, "{refusal:?} although it was started");
            }
            End::Refused(refusal) => {
                assert!(task.starts > 0, "{refusal:?} although it was never started");
                assert_ne!(refusal.code.outcome(), Outcome::Answered);
            }
        }
    }

    /// Drops attempts that were stopped and not heard of for a lease time.
    fn drop_unconfirmed_stops(&mut self, now: Time) {
        let closed = &mut self.closed;
        self.attempts.retain(|id, row| {
            let gone = row.gone.is_some_and(|gone| gone <= now);
            if gone {
                closed.push(*id);
            }
            !gone
        });
    }

    fn check_capacity(&self, key: TargetKey) {
        let (mut tasks, mut cores, mut memory, mut accelerators) = (0, 0, 0, 0);
        for needs in self.attempts.values().filter(|row| row.target == key).filter_map(|row| row.held) {
            tasks += 1;
            cores += needs.cores;
            memory += needs.memory_mb;
            accelerators += needs.accelerators;
        }
        let row = &self.targets[&key];
        let all = row.capacity;
        assert!(tasks <= all.slots, "{tasks} tasks in {} slots", all.slots);
        assert!(row.connections == 0 || tasks <= row.connections, "{tasks} on {} connections", row.connections);
        assert!(cores <= all.cores && memory <= all.memory_mb && accelerators <= all.accelerators, "over-committed");
    }

    fn check_bounds(&self, key: EntryKey) {
        let (mut tasks, mut cores, mut accelerators) = (0, 0, 0);
        for needs in self.attempts.values().filter(|row| row.entry == key).filter_map(|row| row.held) {
            tasks += 1;
            cores += needs.cores;
            accelerators += needs.accelerators;
        }
        let EntryLimits { entry, part } = &self.entries[&key];
        let within = |held: u32, bound: u32| bound == 0 || held <= ((f64::from(bound) * part) as u32).max(1);
        assert!(within(tasks, entry.limits.concurrency), "{tasks} over the concurrency");
        assert!(within(cores, entry.quota.cores), "{cores} cores over the quota");
        assert!(within(accelerators, entry.quota.accelerators), "{accelerators} accelerators over the quota");
    }

    /// Every task has ended, once.
    pub fn assert_all_ended(&self) {
        for (key, task) in &self.tasks {
            assert_eq!(task.ends, 1, "{key:?} {task:?}");
        }
    }

    /// Answers what still runs.
    pub fn drain_attempts(&mut self, core: &mut Dispatch, now: Time) {
        for id in self.attempts.keys() {
            core.report(now, *id, AttemptReport::Failed);
        }
        self.attempts.clear();
    }
}
