//! The leader's in-memory schedule: active jobs, targets, and the clients that wait for answers.

mod forecast;
mod outcome;
mod renewal;
mod runs;
mod start;
mod table;
mod tick;

use crate::health::Health;
use crate::queue::RouteIndex;
use crate::target::{ORDER_TIMEOUT, Order, OrderKind, Run, RunState, Target};
use crate::{
    Command, Counts, Deadlines, EndRecord, Evacuations, JobId, JobSpec, Ledger, Phase, Queue, QueueSet, RunEnd,
    Settings, StoredJob, TargetKey, TargetReport, TargetState, TaskId,
};
use indexmap::{IndexMap, IndexSet};
use mangogw_model::{Time, Zone};
pub use runs::LeasedRun;
use slotmap::SlotMap;
use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;
use table::{Job, JobKey};

/// Time for which the end of a job that is not stored is kept, so that a job that is sent again gets the same answer.
/// Clients send again within 2 s.
const JOB_END_RETENTION: Duration = Duration::from_secs(6);
/// Number of targets or waiting jobs above which passes are throttled: each pass takes 10 to 40 microseconds.
const THROTTLE_THRESHOLD: usize = 96;
/// Minimum time between two throttled passes, added once more per [`THROTTLE_THRESHOLD`] waiting jobs: a pass visits
/// each of them.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(2);
/// Time after which the client of a refused job may retry: 1 s, the shortest time that the header can express.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Action that the caller of the board has to take.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send an order to a target.
    Order(Order),
    /// Answer a client.
    Answer {
        /// Number under which the answer is due.
        reply_to: u64,
        /// Result of the job.
        end: JobEnd,
    },
    /// Propose a change to the replicated log; nothing waits for its commit.
    Propose(Command),
    /// Record ends in the replicated log, then call [`Board::on_ends_recorded`].
    RecordEnds {
        /// Target that listed the ends.
        target: TargetKey,
        /// Numbers of the ends on that target.
        numbers: Vec<u64>,
        /// Records for the log.
        records: Vec<EndRecord>,
    },
}

/// Result of a job that is not stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// No task was started, and none will be.
    Refused(Refused),
}

/// Refusal of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Time after which the client may send the job again.
    pub wait: Duration,
}

/// Job that is submitted without being stored.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// Id that the client gave the job.
    pub id: JobId,
    /// Steps of the job and the payload of its tasks.
    pub spec: Arc<JobSpec>,
    /// Instant until which the client waits; `None` if it gave none.
    pub deadline: Option<Time>,
    /// Number under which the answer is due.
    pub reply_to: u64,
    /// True if no earlier leader received the job, so that none of its tasks can be running.
    pub first_attempt: bool,
}

/// The leader's in-memory schedule: active jobs, targets, and the clients that wait for answers.
#[derive(Debug)]
pub struct Board {
    settings: Settings,
    /// Fencing token of this leadership.
    token: u64,
    /// Number of runs started under this token, from which run numbers are made.
    starts: u64,
    queue_set: Option<Arc<QueueSet>>,
    routes: RouteIndex,
    targets: SlotMap<TargetKey, Target>,
    /// Zones whose targets get no new runs.
    evacuations: Evacuations,
    by_id: IndexMap<String, TargetKey>,
    jobs: SlotMap<JobKey, Job>,
    by_job: IndexMap<JobId, JobKey>,
    by_reply_to: IndexMap<u64, JobKey>,
    /// Jobs with tasks that wait for a target.
    waiting: IndexSet<JobKey>,
    /// Lowest time ratio of the targets of each pool that may be given runs, as of the last tick.
    fastest: IndexMap<String, f64>,
    /// Targets of earlier leaders that have not listed their runs yet, and may run tasks that this board does not know;
    /// each with the time at which those are surely over, on any incarnation of the target.
    unlisted: IndexMap<TargetKey, Time>,
    /// Ends of tasks whose job was unknown when the ends were listed.
    unmatched_ends: IndexMap<TaskId, (RunEnd, Time)>,
    /// Ends of jobs that are not stored, kept for [`JOB_END_RETENTION`].
    recent_ends: IndexMap<JobId, (JobEnd, Time)>,
    /// True if the board leads only the targets of one isolated zone; earlier runs there are left to the group.
    isolated: bool,
    /// True once a target has seen a higher fencing token: this leadership is over.
    fenced: bool,
    /// True if something has changed since the last pass.
    dirty: bool,
    counts: Counts,
    /// Time of the last pass over targets and waiting jobs.
    last_pass: Time,
    outputs: Vec<Output>,
}

impl Board {
    /// Opens a board under a new fencing token, from the state that the group has agreed on. A job that an earlier
    /// leader may have had is started only after every target that this leader may have used has listed its runs or has
    /// surely lost them.
    pub fn open(settings: Settings, token: u64, ledger: &Ledger, now: Time) -> Self {
        let mut board = Self {
            settings,
            token,
            starts: 0,
            queue_set: None,
            routes: RouteIndex::default(),
            targets: SlotMap::with_key(),
            evacuations: ledger.evacuations.clone(),
            by_id: IndexMap::new(),
            jobs: SlotMap::with_key(),
            by_job: IndexMap::new(),
            by_reply_to: IndexMap::new(),
            waiting: IndexSet::new(),
            fastest: IndexMap::new(),
            unlisted: IndexMap::new(),
            unmatched_ends: IndexMap::new(),
            recent_ends: IndexMap::new(),
            isolated: false,
            fenced: false,
            dirty: true,
            counts: Counts::default(),
            last_pass: Time::ZERO,
            outputs: Vec::new(),
        };
        if let Some(set) = &ledger.queue_set {
            board.install(set);
        }
        let expires = now + board.settings.lease_expiry();
        for report in ledger.targets.values() {
            let key = board.add_target(report.clone(), now, expires);
            match ledger.absent_targets.contains(&report.id) {
                true => board.targets[key].absent_since = Some(now),
                false => drop(board.unlisted.insert(key, expires + ORDER_TIMEOUT)),
            }
        }
        for (id, stored_job) in ledger.jobs.iter().filter(|(_, stored_job)| stored_job.ended.is_none()) {
            board.restore(now, *id, stored_job, false);
        }
        log::info!(token, targets = board.targets.len(), jobs = board.jobs.len(); "board: leading");
        board
    }

    /// Opens a board for the targets of a zone that no leader can reach any more; the leases of all earlier runs there
    /// have expired. Stored jobs stay with the group, which alone records their ends.
    pub fn open_isolated(settings: Settings, token: u64, ledger: &Ledger, zone: &Zone, now: Time) -> Self {
        let of_zone = ledger.targets.iter().filter(|(_, report)| report.zone == *zone);
        let targets = of_zone.map(|(id, report)| (id.clone(), report.clone())).collect();
        let (queue_set, evacuations) = (ledger.queue_set.clone(), ledger.evacuations.clone());
        let part = Ledger { queue_set, targets, evacuations, ..Ledger::default() };
        let mut board = Self::open(settings, token, &part, now);
        board.unlisted.clear();
        board.isolated = true;
        board
    }

    /// Takes over the targets of a zone again, after another leader may have given them orders.
    pub fn reclaim_zone(&mut self, now: Time, zone: &Zone) {
        let expires = now + self.settings.lease_expiry();
        for (key, target) in self.targets.iter_mut().filter(|(_, target)| target.report.zone == *zone) {
            target.confirmed = false;
            target.absent_since = None;
            target.missed_renewals = 0;
            target.expires = target.expires.max(expires);
            target.next_renewal = now;
            self.unlisted.insert(key, expires + ORDER_TIMEOUT);
        }
        self.dirty = true;
    }

    /// Returns true if the board knows this incarnation of the target from a report, not only from an answer to an order.
    pub fn has_target(&self, report: &TargetReport) -> bool {
        self.by_id
            .get(&report.id)
            .map(|key| &self.targets[*key].report)
            .is_some_and(|known| known.incarnation == report.incarnation && known.sequence > 0)
    }

    /// Replaces the set of queues.
    pub fn install(&mut self, set: &Arc<QueueSet>) {
        self.routes = RouteIndex::new(set);
        self.queue_set = Some(Arc::clone(set));
        for job in self.jobs.values_mut().filter(|job| job.pool.is_empty()) {
            if let Some(queue) = set.queues.iter().find(|queue| queue.name == job.queue) {
                job.pool.clone_from(&queue.pool);
                job.deadlines = deadlines_of(&job.spec, queue, job.arrived, None);
            }
        }
        self.dirty = true;
    }

    /// Puts the evacuations in force. Targets of evacuated zones get no new runs; those that they have go on.
    pub fn evacuate(&mut self, evacuations: &Evacuations) {
        self.evacuations.clone_from(evacuations);
        for target in self.targets.values_mut() {
            target.evacuated = evacuations.is_active(&target.report.zone);
        }
        self.dirty = true;
    }

    /// Returns the queue of a request by host name and path; `None` if no queue matches or no set is installed.
    pub fn find_queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let set = self.queue_set.as_ref()?;
        set.queues.get(self.routes.find(host, path)?)
    }

    /// Returns true once a set of queues is installed.
    pub const fn has_queues(&self) -> bool {
        self.queue_set.is_some()
    }

    /// Returns true if a target has seen the fencing token of a later leader.
    pub const fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns true while a target of an earlier leader may run tasks that it has not listed.
    pub fn is_taking_over(&self) -> bool {
        !self.unlisted.is_empty()
    }

    /// Adds or updates a target from its report, once the ledger holds that report.
    pub fn on_report(&mut self, now: Time, report: &TargetReport) {
        match self.by_id.get(&report.id).copied() {
            Some(key) if self.targets[key].report.incarnation == report.incarnation => {
                let target = &mut self.targets[key];
                // Before its first report, an incarnation may be known from its answers alone.
                let first = (report.sequence, target.report.sequence) == (0, 0);
                let newer = first || report.supersedes(&target.report);
                if target.report.state == TargetState::Left && !newer {
                    return;
                }
                target.last_report = now;
                if target.absent_since.take().is_some() {
                    target.next_renewal = now;
                }
                if newer {
                    target.report = report.clone();
                    target.evacuated = self.evacuations.is_active(&report.zone);
                }
            }
            Some(key) if self.targets[key].report.incarnation > report.incarnation => return,
            Some(key) => self.replace_target(now, key, report.clone(), "a later incarnation reported"),
            None => {
                self.add_target(report.clone(), now, now);
            }
        }
        self.dirty = true;
    }

    /// Gives a target that has left no more runs, unless the board knows a later incarnation. Its runs hold their tasks
    /// until they end or its lease is over, since the target may work on for a while.
    pub fn on_target_left(&mut self, now: Time, id: &str, incarnation: u64) {
        let Some(key) = self.by_id.get(id).copied() else { return };
        let target = &mut self.targets[key];
        match target.report.incarnation.cmp(&incarnation) {
            Ordering::Less => {
                let report = target.report.left_unreported(incarnation);
                self.replace_target(now, key, report, "a later incarnation has left");
            }
            Ordering::Equal => {
                log::info!(target = id, born = incarnation, runs = target.runs.len(); "board: target left");
                target.report.state = TargetState::Left;
                target.next_renewal = target.next_renewal.min(now);
                self.dirty = true;
            }
            Ordering::Greater => {}
        }
    }

    /// Removes an incarnation of a target that has ended, unless the board knows a later one.
    pub fn on_target_removed(&mut self, now: Time, id: &str, incarnation: u64) {
        if let Some(key) =
            self.by_id.get(id).copied().filter(|key| self.targets[*key].report.incarnation <= incarnation)
        {
            self.lose_target(now, key, "removed from the ledger");
        }
    }

    /// Admits a job that is not stored. A job that was admitted before gets its earlier answer, or the one still due.
    pub fn admit(&mut self, now: Time, submission: Submission, queue: &Queue) {
        let Submission { id, spec, deadline, reply_to, first_attempt } = submission;
        if let Some((end, _)) = self.recent_ends.get(&id) {
            self.outputs.push(Output::Answer { reply_to, end: *end });
            return;
        }
        if let Some(key) = self.by_job.get(&id).copied() {
            let job = &mut self.jobs[key];
            job.recipients.push(reply_to);
            // The job goes on for the client that waits longest.
            if let Some(earlier) = job.deadline
                && deadline.is_none_or(|deadline| deadline > earlier)
            {
                job.deadline = deadline;
                job.deadlines = deadlines_of(&job.spec, queue, job.arrived, deadline);
            }
            self.by_reply_to.insert(reply_to, key);
            return;
        }
        let deadlines = deadlines_of(&spec, queue, now, deadline);
        let mut job = Job::new(id, spec, queue, now, deadlines, false);
        job.recipients.push(reply_to);
        job.deadline = deadline;
        job.first_attempt = first_attempt;
        let key = self.insert_job(now, job);
        self.by_reply_to.insert(reply_to, key);
        self.adopt_runs(now, key);
    }

    /// Ends a job that is not stored by `deadline`, earlier than its client asked for, unless other clients wait for it too.
    pub fn shorten(&mut self, reply_to: u64, deadline: Time) {
        let Some(job) = self.by_reply_to.get(&reply_to).and_then(|key| self.jobs.get_mut(*key)) else { return };
        if job.recipients.len() > 1 || job.deadline.is_some_and(|earlier| earlier <= deadline) {
            return;
        }
        job.deadline = Some(deadline);
        job.deadlines = job.deadlines.until(deadline);
        self.dirty = true;
    }

    /// Loads a job that the ledger has stored; `first_attempt` is true if it was stored under this leadership.
    pub fn restore(&mut self, now: Time, id: JobId, stored_job: &StoredJob, first_attempt: bool) {
        if self.by_job.contains_key(&id) {
            return;
        }
        let queue =
            self.queue_set.as_ref().and_then(|set| set.queues.iter().find(|queue| queue.name == stored_job.queue));
        // A job whose queue is not in force has no pool until it is again.
        let mut queue = queue.cloned().unwrap_or_else(|| Queue { name: stored_job.queue.clone(), ..Queue::default() });
        queue.attempts = stored_job.attempts;
        let deadlines = deadlines_of(&stored_job.spec, &queue, now, None);
        let mut job = Job::new(id, Arc::clone(&stored_job.spec), &queue, now, deadlines, true);
        job.restore_progress(stored_job);
        job.first_attempt = first_attempt;
        let key = self.insert_job(now, job);
        self.adopt_runs(now, key);
    }

    /// Removes a stored job that was cancelled or has ended.
    pub fn on_job_ended(&mut self, now: Time, id: JobId) {
        if let Some(key) = self.by_job.get(&id).copied() {
            self.drop_job(now, key);
        }
    }

    /// Removes a client that no longer waits for its answer. A job that is not stored is dropped with its last client.
    pub fn on_disconnected(&mut self, now: Time, reply_to: u64) {
        let Some(key) = self.by_reply_to.swap_remove(&reply_to) else { return };
        let job = &mut self.jobs[key];
        job.recipients.retain(|other| *other != reply_to);
        if job.recipients.is_empty() && !job.stored {
            log::info!(job:% = job.id, started = job.is_started(); "board: job dropped; its client disconnected");
            self.counts.dropped += 1;
            self.drop_job(now, key);
        }
    }

    /// Returns true if the job is active, whether it is stored or not.
    pub fn has_job(&self, id: JobId) -> bool {
        self.by_job.contains_key(&id)
    }

    /// Returns the phase of an active job; `None` if the job is not active.
    pub fn phase(&self, id: JobId) -> Option<Phase> {
        let job = &self.jobs[*self.by_job.get(&id)?];
        Some(if job.is_started() { Phase::Running } else { Phase::Pending })
    }

    /// Returns the number of jobs of a queue that have started no task yet.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        self.jobs.values().filter(|job| !job.is_started() && job.queue == queue).count()
    }

    /// Starts waiting tasks, renews leases that are due, and returns the actions since the last call.
    pub fn drain(&mut self, now: Time) -> Vec<Output> {
        let throttled = self.targets.len() > THROTTLE_THRESHOLD || self.waiting.len() > THROTTLE_THRESHOLD;
        let interval = MIN_PASS_INTERVAL * (1 + self.waiting.len() / THROTTLE_THRESHOLD) as u32;
        let early = throttled && now - self.last_pass < interval;
        if self.dirty && !self.fenced && !early {
            self.dirty = false;
            self.last_pass = now;
            self.start_waiting(now);
            self.renew_due(now);
        }
        std::mem::take(&mut self.outputs)
    }

    fn add_target(&mut self, report: TargetReport, now: Time, expires: Time) -> TargetKey {
        let id = report.id.clone();
        let mut target = Target::new(report, now, expires);
        target.health.set_initial_ratio(self.mean_time_ratio(&target));
        target.evacuated = self.evacuations.is_active(&target.report.zone);
        let key = self.targets.insert(target);
        self.by_id.insert(id, key);
        key
    }

    /// Returns the mean time ratio of the targets of the same pool and kind; the default if there is no such target.
    fn mean_time_ratio(&self, target: &Target) -> f64 {
        let kind = target.report.labels.first();
        let alike = |other: &&Target| other.report.pool == target.report.pool && other.report.labels.first() == kind;
        let time_ratios: Vec<f64> =
            self.targets.values().filter(alike).map(|other| other.health.time_ratio()).collect();
        if time_ratios.is_empty() {
            Health::default().time_ratio()
        } else {
            time_ratios.iter().sum::<f64>() / time_ratios.len() as f64
        }
    }

    fn insert_job(&mut self, now: Time, mut job: Job) -> JobKey {
        job.begin_occurrences(self.settings.wall_offset, now);
        let id = job.id;
        let key = self.jobs.insert(job);
        self.by_job.insert(id, key);
        self.waiting.insert(key);
        self.dirty = true;
        key
    }

    /// Ends a job that is not stored, and answers every client that waits for it.
    fn answer(&mut self, now: Time, key: JobKey, end: JobEnd) {
        let job = &self.jobs[key];
        let took = (now - job.arrived).as_millis() as u64;
        let waited = job.first_start.map_or(took, |first| (first - job.arrived).as_millis() as u64);
        log::info!(job:% = job.id, queue = job.queue, end:?, took, waited; "board: job answered");
        let (id, recipients) = (job.id, job.recipients.clone());
        self.outputs.extend(recipients.into_iter().map(|reply_to| Output::Answer { reply_to, end }));
        let count = match end {
            JobEnd::Completed => &mut self.counts.completed,
            JobEnd::Failed => &mut self.counts.failed,
            JobEnd::Refused(_) => &mut self.counts.refused,
        };
        *count += 1;
        if !matches!(end, JobEnd::Refused(_)) {
            self.recent_ends.insert(id, (end, now));
        }
        self.drop_job(now, key);
    }

    /// Removes a job and stops its runs.
    fn drop_job(&mut self, now: Time, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else { return };
        self.by_job.swap_remove(&job.id);
        self.waiting.swap_remove(&key);
        self.by_reply_to.retain(|_, other| *other != key);
        for (task, target) in job.placed() {
            self.stop_run(now, target, task);
        }
        self.dirty = true;
    }

    fn order(&mut self, key: TargetKey, kind: OrderKind) {
        if self.fenced {
            return;
        }
        let order = self.order_to(key, kind);
        self.outputs.push(Output::Order(order));
    }

    fn order_to(&self, key: TargetKey, kind: OrderKind) -> Order {
        let Target { report, call_timeout, .. } = &self.targets[key];
        Order {
            target: key,
            id: report.id.clone(),
            incarnation: report.incarnation,
            address: report.address,
            zone: report.zone.clone(),
            token: self.token,
            time_limit: call_timeout.as_millis() as u64,
            kind,
        }
    }

    /// Removes an incarnation of a target that has ended, and requeues the tasks that ran there.
    fn lose_target(&mut self, now: Time, key: TargetKey, why: &str) {
        let Some(target) = self.remove_target(key, why) else { return };
        let TargetReport { id, incarnation, .. } = target.report;
        self.outputs.push(Output::Propose(Command::RemoveTarget { id, incarnation }));
        for task in target.runs.keys() {
            self.requeue_task(now, key, *task);
        }
    }

    /// Puts a later incarnation, as `report` describes it, in the place of a target. Runs that were confirmed ended with
    /// the earlier one. A run that was not may be on the later one: it holds its task until that one has listed its runs,
    /// or until its lease is surely over, wherever it was given.
    fn replace_target(&mut self, now: Time, key: TargetKey, report: TargetReport, why: &str) {
        let awaited_until = self.unlisted.get(&key).copied();
        let Some(target) = self.remove_target(key, why) else { return };
        let hold = self.longest_hold();
        let may_go_on = |run: &Run| !run.confirmed && run.moved_at.is_none_or(|at| now - at < hold);
        let (moved, ended): (Vec<_>, Vec<_>) = target.runs.into_iter().partition(|(_, run)| may_go_on(run));
        let next = self.add_target(report, now, now + hold);
        // Runs of an earlier leader may be on the later incarnation too.
        if let Some(until) = awaited_until {
            self.unlisted.insert(next, until);
            if moved.is_empty() {
                self.targets[next].expires = until;
            }
        }
        for (task, run) in moved {
            self.move_run(now, key, next, task, &run);
        }
        for (task, _) in ended {
            self.requeue_task(now, key, task);
        }
    }

    /// Returns the time after an order to start a run after which that is surely over, on whatever incarnation of the target
    /// the order has arrived.
    fn longest_hold(&self) -> Duration {
        ORDER_TIMEOUT + self.settings.lease_expiry()
    }

    fn remove_target(&mut self, key: TargetKey, why: &str) -> Option<Target> {
        let target = self.targets.remove(key)?;
        let report = &target.report;
        let unanswered: Vec<String> = target
            .runs
            .iter()
            .filter(|(_, run)| !run.confirmed)
            .map(|(task, run)| format!("{task} run {} {:?}", run.number.0, run.state))
            .collect();
        log::info!(
            target = report.id, born = report.incarnation, runs = target.runs.len(), unanswered:?, why;
            "board: target removed"
        );
        if self.by_id.get(&report.id) == Some(&key) {
            self.by_id.swap_remove(&report.id);
        }
        self.unlisted.swap_remove(&key);
        self.dirty = true;
        Some(target)
    }
}

/// Returns the deadlines of a job of a queue that arrived at `arrived`.
fn deadlines_of(spec: &JobSpec, queue: &Queue, arrived: Time, deadline: Option<Time>) -> Deadlines {
    let critical_path = Duration::from_millis(spec.critical_path());
    Deadlines::new(arrived, critical_path, queue.stretch, Duration::from_millis(queue.slack), deadline)
}

impl Board {
    /// Returns the number of known targets.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Returns the fencing token of this leadership.
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Returns the counters of this board.
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of active jobs, and the number of those with tasks that wait for a target.
    pub fn job_counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.waiting.len())
    }

    /// Returns the number of targets of which the board holds a current list of runs.
    pub fn confirmed(&self) -> usize {
        self.targets.values().filter(|target| target.confirmed).count()
    }
}
