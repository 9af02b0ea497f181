//! The replicated state: queues, targets, stored jobs, and the recorded ends of their tasks.

use crate::{Evacuations, JobId, JobSpec, Phase, QueueSet, RunNumber, TargetReport, TargetState, TaskId};
use indexmap::{IndexMap, IndexSet};
use mangogw_model::{Version, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Change of the replicated state, as stored in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Install a set of queues, if its version is higher than that of the current set.
    Install(Arc<QueueSet>),
    /// Add a target, or update it from its latest report.
    ReportTarget(TargetReport),
    /// Remove an incarnation of a target that has ended.
    RemoveTarget {
        /// Id of the target.
        id: String,
        /// Incarnation that has ended.
        incarnation: u64,
    },
    /// Mark an incarnation of a target as absent: silent, and running nothing of this group.
    MarkAbsent {
        /// Id of the target.
        id: String,
        /// Incarnation that is absent.
        incarnation: u64,
    },
    /// Store a job.
    StoreJob {
        /// Id of the job.
        id: JobId,
        /// Steps of the job and the payload of its tasks.
        spec: Arc<JobSpec>,
        /// Name of the queue that received the job.
        queue: String,
        /// Number of failed runs after which a task fails for good.
        attempts: u32,
        /// Time of acceptance, in Unix milliseconds.
        accepted_ms: u64,
    },
    /// Record ends of runs.
    RecordEnds(Vec<EndRecord>),
    /// Cancel a job.
    Cancel {
        /// Id of the job.
        id: JobId,
        /// Time of the cancellation, in Unix milliseconds.
        canceled_ms: u64,
    },
    /// Remove the jobs that ended before this time, in Unix milliseconds.
    Expire(u64),
    /// Mark an incarnation of a target as having left; it may still run tasks.
    TargetLeft {
        /// Id of the target.
        id: String,
        /// Incarnation that has left.
        incarnation: u64,
    },
    /// Start or finish the evacuation of a zone, as [`Evacuations::order`] does.
    Evacuate {
        /// Zone whose targets get no new runs.
        zone: Zone,
        /// True to start the evacuation, false to finish it.
        active: bool,
        /// Latest revision of the evacuations that the host had seen when it received the order.
        seen: u64,
    },
}

/// Record of the end of one run that was done or failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run. A run counts once, however often its end is listed.
    pub run: RunNumber,
    /// True if the task is done, false if the run failed.
    pub done: bool,
    /// Time at which the leader learned of the end, in Unix milliseconds.
    pub recorded_ms: u64,
}

/// Job in the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredJob {
    /// Steps and payload; emptied once the job has ended.
    pub spec: Arc<JobSpec>,
    /// Name of the queue that received the job.
    pub queue: String,
    /// Number of failed runs after which a task fails for good.
    pub attempts: u32,
    /// Time of acceptance, in Unix milliseconds.
    pub accepted_ms: u64,
    /// Indices of the tasks that are done, sorted, by occurrence and step.
    pub done: BTreeMap<(u32, u32), Vec<u32>>,
    /// Number of failed runs and the last of them, by occurrence, step and index of the task.
    pub failures: BTreeMap<(u32, u32, u32), (u32, RunNumber)>,
    /// Final phase and time of the end, in Unix milliseconds; `None` while the job is active.
    pub ended: Option<(Phase, u64)>,
}

/// Status of an applied command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyStatus {
    /// The command changed the state.
    Changed,
    /// The command changed nothing: the state held the change already, or something later.
    Unchanged,
    /// The job of the command is unknown.
    Unknown,
    /// The command was given without knowledge of a later change, and changed nothing.
    Outdated,
}

/// Result of an applied command, for the board.
#[derive(Debug, Clone, PartialEq)]
pub struct ApplyResult {
    /// Status of the command.
    pub status: ApplyStatus,
    /// Jobs that the command has ended, with their final phases.
    pub ended_jobs: Vec<(JobId, Phase)>,
}

/// Replicated state of the control group.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// Installed set of queues; `None` before the first one.
    pub queue_set: Option<Arc<QueueSet>>,
    /// Every target that may run tasks, by id.
    pub targets: IndexMap<String, TargetReport>,
    /// Stored jobs by id, ended ones included until they are removed.
    pub jobs: IndexMap<JobId, StoredJob>,
    /// Ids of absent targets: they are silent, and nothing that this group has started runs there.
    pub absent_targets: IndexSet<String>,
    /// Evacuations of zones; after the other fields in a snapshot.
    #[serde(skip)]
    pub evacuations: Evacuations,
}

impl StoredJob {
    /// Returns true if the task is done and its job has not ended.
    pub fn is_done(&self, task: TaskId) -> bool {
        let done = self.done.get(&(task.occurrence, task.step));
        self.is_gang_done(task.occurrence, task.step)
            || done.is_some_and(|done| done.binary_search(&task.index).is_ok())
    }

    /// Returns true if the step is a gang of which an end as done is recorded: one stands for all of its tasks.
    pub fn is_gang_done(&self, occurrence: u32, step: u32) -> bool {
        let gang = self.spec.steps.get(step as usize).is_some_and(|step| step.gang);
        gang && self.done.get(&(occurrence, step)).is_some_and(|done| !done.is_empty())
    }

    fn record_end(&mut self, record: &EndRecord) {
        let TaskId { occurrence, step, index, .. } = record.task;
        match record.done {
            true => {
                let done = self.done.entry((occurrence, step)).or_default();
                if let Err(place) = done.binary_search(&index) {
                    done.insert(place, index);
                }
            }
            false => {
                let (count, last) = self.failures.entry((occurrence, step, index)).or_default();
                if record.run > *last {
                    *count += 1;
                    *last = record.run;
                }
            }
        }
    }

    /// Returns true if every task of every occurrence is done.
    fn is_complete(&self) -> bool {
        (0..self.spec.occurrences()).all(|occurrence| {
            self.spec.steps.iter().enumerate().all(|(index, step)| {
                let done = self.done.get(&(occurrence, index as u32)).map_or(0, Vec::len);
                done >= step.count as usize || self.is_gang_done(occurrence, index as u32)
            })
        })
    }

    fn end(&mut self, phase: Phase, at: u64) {
        self.ended = Some((phase, at));
        self.spec = Arc::default();
        self.done = BTreeMap::new();
        self.failures = BTreeMap::new();
    }
}

impl Ledger {
    /// Returns the version of the installed set of queues; 0 before the first one.
    pub fn queue_version(&self) -> Version {
        self.queue_set.as_ref().map_or(Version(0), |set| set.version)
    }

    /// Applies a command, and returns its status and the jobs that it has ended.
    ///
    /// ```
    /// use mangogw_jobs::{ApplyStatus, Command, Ledger, QueueSet};
    /// use mangogw_model::Version;
    /// let mut ledger = Ledger::default();
    /// let set = QueueSet { version: Version(3), ..QueueSet::default() };
    /// assert_eq!(ledger.apply(&Command::Install(set.clone().into())).status, ApplyStatus::Changed);
    /// assert_eq!(ledger.apply(&Command::Install(set.into())).status, ApplyStatus::Unchanged);
    /// ```
    pub fn apply(&mut self, command: &Command) -> ApplyResult {
        let mut ended_jobs = Vec::new();
        let status = match command {
            Command::Install(set) if self.queue_set.is_none() || set.version > self.queue_version() => {
                self.queue_set = Some(Arc::clone(set));
                ApplyStatus::Changed
            }
            Command::Install(_) => ApplyStatus::Unchanged,
            Command::ReportTarget(report) => self.update_target(report),
            Command::RemoveTarget { id, incarnation } => match self.targets.get(id) {
                Some(known) if known.incarnation <= *incarnation => {
                    self.targets.swap_remove(id);
                    self.absent_targets.swap_remove(id);
                    ApplyStatus::Changed
                }
                _ => ApplyStatus::Unchanged,
            },
            Command::MarkAbsent { id, incarnation } => match self.targets.get(id) {
                // A later incarnation may be known from its answers alone.
                Some(known) if known.incarnation <= *incarnation && self.absent_targets.insert(id.clone()) => {
                    ApplyStatus::Changed
                }
                _ => ApplyStatus::Unchanged,
            },
            Command::TargetLeft { id, incarnation } => match self.targets.get_mut(id) {
                // The later incarnation may still work on an order that was meant for the earlier one.
                Some(known) if known.incarnation < *incarnation => {
                    *known = known.left_unreported(*incarnation);
                    self.absent_targets.swap_remove(id);
                    ApplyStatus::Changed
                }
                Some(known) if known.incarnation == *incarnation && known.state != TargetState::Left => {
                    known.state = TargetState::Left;
                    ApplyStatus::Changed
                }
                _ => ApplyStatus::Unchanged,
            },
            Command::StoreJob { id, .. } if self.jobs.contains_key(id) => ApplyStatus::Unchanged,
            Command::StoreJob { id, spec, queue, attempts, accepted_ms } => {
                let stored_job = StoredJob {
                    spec: Arc::clone(spec),
                    queue: queue.clone(),
                    attempts: *attempts,
                    accepted_ms: *accepted_ms,
                    done: BTreeMap::new(),
                    failures: BTreeMap::new(),
                    ended: None,
                };
                self.jobs.insert(*id, stored_job);
                ApplyStatus::Changed
            }
            Command::RecordEnds(records) => {
                records.iter().filter_map(|record| self.record_end(record)).for_each(|end| ended_jobs.push(end));
                ApplyStatus::Changed
            }
            Command::Cancel { id, canceled_ms } => match self.jobs.get_mut(id) {
                Some(stored_job) if stored_job.ended.is_none() => {
                    stored_job.end(Phase::Canceled, *canceled_ms);
                    ended_jobs.push((*id, Phase::Canceled));
                    ApplyStatus::Changed
                }
                Some(_) => ApplyStatus::Unchanged,
                None => ApplyStatus::Unknown,
            },
            Command::Evacuate { zone, active, seen } => self.evacuations.order(zone, *active, *seen),
            Command::Expire(before) => {
                self.jobs.retain(|_, stored_job| stored_job.ended.is_none_or(|(_, at)| at >= *before));
                ApplyStatus::Changed
            }
        };
        ApplyResult { status, ended_jobs }
    }

    /// Stores the report of a target if it is newer than the stored one.
    fn update_target(&mut self, report: &TargetReport) -> ApplyStatus {
        match self.targets.get(&report.id) {
            Some(known) if !report.supersedes(known) => {
                if known.state != TargetState::Left {
                    self.absent_targets.swap_remove(&report.id);
                }
                ApplyStatus::Unchanged
            }
            _ => {
                self.absent_targets.swap_remove(&report.id);
                self.targets.insert(report.id.clone(), report.clone());
                ApplyStatus::Changed
            }
        }
    }

    fn record_end(&mut self, record: &EndRecord) -> Option<(JobId, Phase)> {
        let id = record.task.job;
        let stored_job =
            self.jobs.get_mut(&id).filter(|stored_job| stored_job.ended.is_none() && !stored_job.spec.endless)?;
        stored_job.record_end(record);
        let TaskId { occurrence, step, index, .. } = record.task;
        let failed = stored_job
            .failures
            .get(&(occurrence, step, index))
            .is_some_and(|(count, _)| *count >= stored_job.attempts.max(1));
        let phase = match record.done {
            true if stored_job.is_complete() => Phase::Completed,
            false if failed && !stored_job.is_done(record.task) => Phase::Failed,
            _ => return None,
        };
        stored_job.end(phase, record.recorded_ms);
        Some((id, phase))
    }

    /// Encodes the state for a snapshot. Without evacuations the bytes are those of versions that know of none.
    ///
    /// # Errors
    /// Error of the encoder.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_stdvec(self)?;
        if self.evacuations.is_empty() { Ok(bytes) } else { postcard::to_extend(&self.evacuations, bytes) }
    }

    /// Decodes the state from the bytes of [`Ledger::encode`]; no bytes stand for the empty state.
    ///
    /// # Errors
    /// Error of the decoder.
    ///
    /// ```
    /// use mangogw_jobs::Ledger;
    /// let ledger = Ledger::default();
    /// assert_eq!(Ledger::decode(&ledger.encode().unwrap()).unwrap(), ledger);
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let (mut ledger, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if !rest.is_empty() {
            ledger.evacuations = postcard::from_bytes(rest)?;
        }
        Ok(ledger)
    }
}
