//! The replicated state: queues, targets, stored jobs, and what was noted of their tasks.

use crate::{JobId, JobSpec, Phase, QueueSet, RunNumber, TargetReport, TaskId};
use indexmap::{IndexMap, IndexSet};
use mangogw_model::Version;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A change of the state, as it stands in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Take a set of queues, if its version is higher.
    Install(Arc<QueueSet>),
    /// Know a target, or what it says now.
    ReportTarget(TargetReport),
    /// Forget a life of a target: it has ended.
    RemoveTarget {
        /// The target.
        id: String,
        /// Its life.
        incarnation: u64,
    },
    /// A life of a target is silent, and nothing of this group runs there.
    MarkAbsent {
        /// The target.
        id: String,
        /// Its life.
        incarnation: u64,
    },
    /// Store a job.
    StoreJob {
        /// Its name.
        id: JobId,
        /// What it consists of.
        spec: Arc<JobSpec>,
        /// The queue it came in by.
        queue: String,
        /// The tasks of a job fail for good after so many failed runs.
        attempts: u32,
        /// When it came, in Unix milliseconds.
        accepted_ms: u64,
    },
    /// Ends of runs.
    RecordEnds(Vec<EndRecord>),
    /// Cancel a job.
    Cancel {
        /// The job.
        id: JobId,
        /// When, in Unix milliseconds.
        canceled_ms: u64,
    },
    /// Forget jobs that ended before this Unix millisecond.
    Expire(u64),
}

/// The end of one run, as far as the job goes by it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// The task.
    pub task: TaskId,
    /// The run. A run is counted once, however often its end is listed.
    pub run: RunNumber,
    /// True if it is done, false if the run failed.
    pub done: bool,
    /// When it was heard of, in Unix milliseconds.
    pub recorded_ms: u64,
}

/// A stored job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredJob {
    /// What it consists of; emptied once the job has ended.
    pub spec: Arc<JobSpec>,
    /// The queue it came in by.
    pub queue: String,
    /// The tasks fail for good after so many failed runs.
    pub attempts: u32,
    /// When it came, in Unix milliseconds.
    pub accepted_ms: u64,
    /// Tasks that are done.
    pub done: BTreeMap<(u32, u32), Vec<u32>>,
    /// Failed runs by task: how many, and the last of them.
    pub failures: BTreeMap<(u32, u32, u32), (u32, RunNumber)>,
    /// How it ended, and when in Unix milliseconds.
    pub ended: Option<(Phase, u64)>,
}

/// What a command came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyStatus {
    /// It changed the state.
    Changed,
    /// It changed nothing: what it says was so already, or was overtaken.
    Unchanged,
    /// There is no such job.
    Unknown,
}

/// What an applied command came to, for the board.
#[derive(Debug, Clone, PartialEq)]
pub struct ApplyResult {
    /// The verdict.
    pub status: ApplyStatus,
    /// Jobs that ended by it.
    pub ended_jobs: Vec<(JobId, Phase)>,
}

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The queues in force; none before the first set.
    pub queue_set: Option<Arc<QueueSet>>,
    /// Every target that may run something, by id.
    pub targets: IndexMap<String, TargetReport>,
    /// Every stored job.
    pub jobs: IndexMap<JobId, StoredJob>,
    /// Targets that are silent: nothing that this group has started runs there.
    pub absent_targets: IndexSet<String>,
}

impl StoredJob {
    /// True if a task is done.
    pub fn is_done(&self, task: TaskId) -> bool {
        self.done.get(&(task.occurrence, task.step)).is_some_and(|done| done.binary_search(&task.index).is_ok())
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

    /// True if every task of every occurrence is done.
    fn is_complete(&self) -> bool {
        (0..self.spec.occurrences()).all(|occurrence| {
            self.spec.steps.iter().enumerate().all(|(index, step)| {
                let done = self.done.get(&(occurrence, index as u32)).map_or(0, Vec::len);
                // One end stands for all tasks of a gang.
                done >= step.count as usize || step.gang && done > 0
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
    /// The version of the queues in force; 0 before the first set.
    pub fn queue_version(&self) -> Version {
        self.queue_set.as_ref().map_or(Version(0), |set| set.version)
    }

    /// Applies a command.
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
                Some(known) if known.incarnation == *incarnation && self.absent_targets.insert(id.clone()) => {
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
            Command::Expire(before) => {
                self.jobs.retain(|_, stored_job| stored_job.ended.is_none_or(|(_, at)| at >= *before));
                ApplyStatus::Changed
            }
        };
        ApplyResult { status, ended_jobs }
    }

    /// Takes what a target says, unless it is from an earlier life or an earlier moment of the life that is known.
    fn update_target(&mut self, report: &TargetReport) -> ApplyStatus {
        self.absent_targets.swap_remove(&report.id);
        match self.targets.get(&report.id) {
            Some(known) if (known.incarnation, known.sequence) >= (report.incarnation, report.sequence) => {
                ApplyStatus::Unchanged
            }
            _ => {
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

    /// The state as bytes for a snapshot.
    ///
    /// # Errors
    /// What the encoder said.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// The state from bytes of [`Ledger::encode`]; no bytes are the empty state.
    ///
    /// # Errors
    /// What the decoder said.
    ///
    /// ```
    /// use mangogw_jobs::Ledger;
    /// let ledger = Ledger::default();
    /// assert_eq!(Ledger::decode(&ledger.encode().unwrap()).unwrap(), ledger);
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        if bytes.is_empty() { Ok(Self::default()) } else { postcard::from_bytes(bytes) }
    }
}
