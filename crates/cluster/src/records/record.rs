//! Record of one submission, and the state that only its owner has.

use super::message::{RecordSnapshot, Step, SubmissionEnd, SubmissionSpec, TaskEnd};
use super::settings::Settings;
use crate::ownership::Holder;
use indexmap::IndexMap;
use mangogw_model::{Code, Key, Outcome, TaskIndex, Time};
use smallvec::SmallVec;
use std::ops::Range;
use std::sync::Arc;

/// Bytes counted for a record in addition to its key, bodies and answers.
const RECORD_BYTES: usize = 560;
/// Bytes counted for a task in addition to its body.
const TASK_BYTES: usize = 96;

/// State of a submission that every holder of its range has.
#[derive(Debug)]
pub(super) struct Record {
    pub spec: Arc<SubmissionSpec>,
    pub total: u32,
    pub deadline: Time,
    /// Serial of the last step: created, at the owner; applied, at a follower.
    pub serial: u64,
    /// Tasks with a lower index may have started. At the owner, every follower has acknowledged this window.
    pub window_end: u32,
    pub ends: IndexMap<u32, TaskEnd>,
    pub submission_end: Option<Arc<SubmissionEnd>>,
    pub closed_at: Time,
    pub size: usize,
    pub owner_state: Option<Box<OwnerState>>,
}

/// State of a running submission that only the owner has.
#[derive(Debug)]
pub(super) struct OwnerState {
    slots: Vec<SlotState>,
    /// Number of tasks that may have started.
    started: u32,
    /// Number of tasks that were abandoned without a start.
    refused: u32,
    /// Number of tasks that a former owner may have started.
    uncertain: u32,
    /// No task with a lower index is idle.
    cursor: u32,
    pub inflight: Option<InflightStep>,
    /// Task ends that were not sent to the followers yet.
    pub unsent_ends: Vec<u32>,
    pub closing: Option<PendingClose>,
    /// True once every follower has the record.
    pub recorded: bool,
    pub waiters: Vec<Waiter>,
}

/// State of a task, as its owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SlotState {
    /// Not started, and not output to the dispatcher.
    Idle,
    /// Output to the dispatcher of this host, which must call `try_start` before it starts the task.
    Dispatched,
    /// The dispatcher of this host was allowed to start it.
    Started,
    /// Assigned to another host under this serial.
    Assigned(u64),
    /// A former owner may have started it.
    Uncertain,
    /// The task ended.
    Ended,
}

impl SlotState {
    const fn may_have_started(self) -> bool {
        !matches!(self, Self::Idle | Self::Dispatched)
    }
}

/// A step that at least one follower has not acknowledged.
#[derive(Debug)]
pub(super) struct InflightStep {
    pub step: Step,
    pub sent: Time,
    pub acked: SmallVec<[Holder; 2]>,
}

/// An end that is decided but not yet replicated to every follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PendingClose {
    pub failed: Option<(Code, Option<TaskIndex>)>,
}

/// An entry host that waits for the end of the submission.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub to: Holder,
    pub request_id: u64,
    pub until: Time,
}

impl Record {
    /// Creates a record with the owner's state.
    pub fn open(key: &Key, work: Arc<SubmissionSpec>, deadline: Time) -> Self {
        let mut record = Self::without_owner(key, work, deadline);
        record.owner_state = Some(Box::new(OwnerState::new(record.total)));
        record
    }

    /// Creates a record without the owner's state.
    pub fn without_owner(key: &Key, spec: Arc<SubmissionSpec>, deadline: Time) -> Self {
        let total = spec.tasks.len() as u32;
        let bodies: usize = spec.tasks.iter().map(|task| TASK_BYTES + task.body.len()).sum();
        let size = RECORD_BYTES + key.as_str().len() + bodies;
        Self {
            spec,
            total,
            deadline,
            serial: 0,
            window_end: 0,
            ends: IndexMap::new(),
            submission_end: None,
            closed_at: Time::ZERO,
            size,
            owner_state: None,
        }
    }

    /// Restores a record from a snapshot, with the owner's state if `owner` is set.
    pub fn load(now: Time, snapshot: RecordSnapshot, owner: bool) -> (Key, Self) {
        let mut record = Self::without_owner(&snapshot.key, snapshot.spec, now + snapshot.time_left);
        record.total = snapshot.total;
        record.serial = snapshot.serial;
        record.window_end = snapshot.window_end;
        record.store_ends(snapshot.ends);
        if let Some((result, age)) = snapshot.submission_end {
            record.closed_at = Time::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
            record.close(&snapshot.key, result);
        }
        if owner && record.submission_end.is_none() {
            record.recover(&snapshot.not_started);
        }
        (snapshot.key, record)
    }

    /// Returns a snapshot of the record. With `exact` it lists the tasks that this owner never started.
    pub fn snapshot(&self, now: Time, key: &Key, exact: bool) -> RecordSnapshot {
        let not_started = match &self.owner_state {
            Some(owner_state) if exact => {
                (0..self.window_end).filter(|at| !owner_state.slots[*at as usize].may_have_started()).collect()
            }
            _ => Vec::new(),
        };
        RecordSnapshot {
            key: key.clone(),
            spec: Arc::clone(&self.spec),
            total: self.total,
            time_left: self.deadline - now,
            serial: self.serial,
            window_end: self.window_end,
            not_started,
            ends: self.ends.iter().map(|(at, end)| (*at, end.clone())).collect(),
            submission_end: self.submission_end.as_ref().map(|result| (Arc::clone(result), now - self.closed_at)),
        }
    }

    /// Builds the owner's state from the record: a task in the window without an end counts as started unless the
    /// former owner listed it as not started.
    pub fn recover(&mut self, free: &[u32]) {
        let mut owner_state = Box::new(OwnerState::new(self.total));
        for at in 0..self.window_end {
            match free.binary_search(&at) {
                Ok(_) => {}
                Err(_) => owner_state.set(at, SlotState::Uncertain),
            }
        }
        for (at, end) in &self.ends {
            owner_state.set(*at, SlotState::Ended);
            owner_state.refused += u32::from(!end.may_have_run());
        }
        self.owner_state = Some(owner_state);
    }

    /// Prepares the owner's state for an epoch whose holders all have this record.
    pub fn activate(&mut self) {
        if self.owner_state.is_none() && self.submission_end.is_none() {
            self.recover(&[]);
        }
        if let Some(owner_state) = &mut self.owner_state {
            owner_state.inflight = None;
            owner_state.unsent_ends.clear();
            owner_state.recorded = true;
            owner_state.cursor = 0;
        }
        self.decide_end();
    }

    /// Applies a step at a follower. Returns false if an earlier step is missing.
    pub fn apply(&mut self, now: Time, key: &Key, serial: u64, step: Step) -> bool {
        match step {
            _ if serial <= self.serial => return true,
            _ if serial > self.serial + 1 => return false,
            Step::Open { .. } => return false,
            Step::ExtendWindow { window_end, ends } => {
                self.store_ends(ends);
                self.window_end = self.window_end.max(window_end);
            }
            Step::Close { ends, failed } => {
                self.store_ends(ends);
                self.closed_at = now;
                self.close(key, Arc::new(self.submission_end(failed)));
            }
        }
        self.serial = serial;
        true
    }

    /// Returns the next step for the followers, if there is one. Only one step is in flight at a time.
    pub fn next_step(&mut self, now: Time, window: u32) -> Option<Step> {
        let below = self.window_end;
        let total = self.total;
        let owner_state = self.owner_state.as_deref_mut().filter(|owner_state| owner_state.inflight.is_none())?;
        let target = total.min(owner_state.started.saturating_add(window.max(1)));
        let narrow =
            below < total && owner_state.started + window / 2 >= below && target > below && owner_state.uncertain == 0;
        let step = match owner_state.closing {
            _ if !owner_state.recorded => {
                let time_left = self.deadline - now;
                Step::Open { spec: Arc::clone(&self.spec), time_left, window_end: window.max(1).min(total) }
            }
            Some(closing) => Step::Close { ends: owner_state.take_unsent(&self.ends), failed: closing.failed },
            None if narrow => Step::ExtendWindow { window_end: target, ends: owner_state.take_unsent(&self.ends) },
            None => return None,
        };
        self.serial += 1;
        owner_state.inflight = Some(InflightStep { step: step.clone(), sent: now, acked: SmallVec::new() });
        Some(step)
    }

    /// Completes the step that every follower has acknowledged. Returns true if it ended the submission.
    pub fn complete_step(&mut self, now: Time, key: &Key) -> bool {
        let Some(owner_state) = self.owner_state.as_deref_mut() else {
            return false;
        };
        match owner_state.inflight.take().map(|inflight| inflight.step) {
            Some(Step::Open { window_end, .. }) => {
                owner_state.recorded = true;
                self.window_end = window_end;
                false
            }
            Some(Step::ExtendWindow { window_end, .. }) => {
                self.window_end = window_end;
                false
            }
            Some(Step::Close { failed, .. }) => {
                self.closed_at = now;
                self.close(key, Arc::new(self.submission_end(failed)));
                true
            }
            None => false,
        }
    }

    /// Takes the next contiguous range of idle tasks that may be dispatched now, and marks them as dispatched.
    pub fn take_idle(&mut self) -> Option<Range<u32>> {
        let below = self.window_end;
        let owner_state = self
            .owner_state
            .as_deref_mut()
            .filter(|owner_state| owner_state.uncertain == 0 && owner_state.closing.is_none())?;
        let idle = |at: &u32| owner_state.slots[*at as usize] == SlotState::Idle;
        let start = (owner_state.cursor..below).find(idle).unwrap_or(below);
        let end = (start..below).find(|at| !idle(at)).unwrap_or(below);
        owner_state.cursor = end;
        for at in start..end {
            owner_state.set(at, SlotState::Dispatched);
        }
        (start < end).then_some(start..end)
    }

    /// Returns true if the task may start, once for a task and only inside the window, and marks it as `slot`.
    pub fn start(&mut self, at: u32, slot: SlotState) -> bool {
        let below = self.window_end;
        let Some(owner_state) = self.owner_state.as_deref_mut() else {
            return false;
        };
        let open =
            at < below && owner_state.closing.is_none() && owner_state.slots[at as usize] == SlotState::Dispatched;
        if open {
            owner_state.set(at, slot);
        }
        open
    }

    /// Returns a dispatched task to the idle ones because it may not start now.
    pub fn return_task(&mut self, at: u32) {
        if let Some(owner_state) = self
            .owner_state
            .as_deref_mut()
            .filter(|owner_state| owner_state.slots.get(at as usize) == Some(&SlotState::Dispatched))
        {
            owner_state.set(at, SlotState::Idle);
            owner_state.cursor = owner_state.cursor.min(at);
        }
    }

    /// Records the end of a task.
    pub fn finish(&mut self, at: u32, end: TaskEnd) {
        let Some(owner_state) = self.owner_state.as_deref_mut() else {
            return;
        };
        match end {
            TaskEnd::NotStarted => {
                let back = if owner_state.slots[at as usize] == SlotState::Started {
                    SlotState::Dispatched
                } else {
                    SlotState::Idle
                };
                owner_state.set(at, back);
                owner_state.cursor = owner_state.cursor.min(at);
            }
            end => {
                owner_state.set(at, SlotState::Ended);
                owner_state.refused += u32::from(!end.may_have_run());
                owner_state.unsent_ends.push(at);
                self.store_ends(vec![(at, end)]);
                self.decide_end();
            }
        }
    }

    /// Decides the end of the submission: `clean` if nothing ran, `unclean` if a task may have run. Returns false if
    /// the end was decided before.
    pub fn abort(&mut self, clean: Code, unclean: Code) -> bool {
        let Some(owner_state) = self.owner_state.as_deref_mut().filter(|owner_state| owner_state.closing.is_none())
        else {
            return false;
        };
        let code = if owner_state.may_have_run() { unclean } else { clean };
        owner_state.closing = Some(PendingClose { failed: Some((code, None)) });
        true
    }

    /// Returns true if the end of the task, if any, is recorded at the followers.
    pub fn is_replicated(&self, at: u32) -> bool {
        self.owner_state.as_ref().is_none_or(|owner_state| {
            !self.ends.contains_key(&at) || (owner_state.unsent_ends.is_empty() && owner_state.inflight.is_none())
        })
    }

    /// Returns the serials of assignments to other hosts that have not ended.
    pub fn assigned(&self) -> Vec<u64> {
        let slots = self.owner_state.iter().flat_map(|owner_state| &owner_state.slots);
        let serials = slots.filter_map(|slot| match slot {
            SlotState::Assigned(serial) => Some(*serial),
            _ => None,
        });
        serials.collect()
    }

    /// Returns the state of a task; `None` without the owner's state.
    pub fn slot(&self, at: u32) -> Option<SlotState> {
        self.owner_state.as_ref().and_then(|owner_state| owner_state.slots.get(at as usize).copied())
    }

    /// Decides the end of the submission once a task failed or all have ended.
    fn decide_end(&mut self) {
        let total = self.total as usize;
        let Some(owner_state) = self.owner_state.as_deref_mut().filter(|owner_state| owner_state.closing.is_none())
        else {
            return;
        };
        let failed_end = self.ends.iter().find(|(_, end)| !matches!(end, TaskEnd::Answered { .. }));
        let failed = match failed_end {
            Some((at, TaskEnd::Refused(code))) => {
                Some((if owner_state.may_have_run() { Code::JobFailed } else { *code }, *at))
            }
            Some((at, TaskEnd::Failed(code) | TaskEnd::Unknown(code))) if code.outcome() != Outcome::NotRun => {
                Some((*code, *at))
            }
            Some((at, _)) => Some((Code::JobFailed, *at)),
            None => None,
        };
        if failed.is_some() || self.ends.len() == total {
            owner_state.closing = Some(PendingClose { failed: failed.map(|(code, at)| (code, Some(TaskIndex(at)))) });
        }
    }

    fn store_ends(&mut self, ends: Vec<(u32, TaskEnd)>) {
        for (at, end) in ends {
            if let TaskEnd::Answered { body, .. } = &end {
                self.size += TASK_BYTES + body.len();
            }
            self.ends.entry(at).or_insert(end);
        }
    }

    fn submission_end(&self, failed: Option<(Code, Option<TaskIndex>)>) -> SubmissionEnd {
        let answer = |at: u32| match self.ends.get(&at) {
            Some(TaskEnd::Answered { status, body }) => Some((*status, body.clone())),
            _ => None,
        };
        let all_answers: Option<Vec<_>> = (0..self.total).map(answer).collect();
        match (failed, all_answers) {
            (None, Some(answers)) => SubmissionEnd::Complete(answers),
            (None, None) => SubmissionEnd::Failed { code: Code::Internal, failed_task: None },
            (Some((code, failed_task)), _) => SubmissionEnd::Failed { code, failed_task },
        }
    }

    /// Stores the end of the submission and drops tasks and task ends.
    fn close(&mut self, key: &Key, result: Arc<SubmissionEnd>) {
        let answers = match &*result {
            SubmissionEnd::Complete(answers) => answers.iter().map(|(_, body)| TASK_BYTES + body.len()).sum(),
            SubmissionEnd::Failed { .. } => 0,
        };
        self.size = RECORD_BYTES + key.as_str().len() + answers;
        self.spec =
            Arc::new(SubmissionSpec { entry: self.spec.entry.clone(), digest: self.spec.digest, tasks: Vec::new() });
        self.ends = IndexMap::new();
        self.submission_end = Some(result);
    }
}

impl OwnerState {
    fn new(total: u32) -> Self {
        Self {
            slots: vec![SlotState::Idle; total as usize],
            started: 0,
            refused: 0,
            uncertain: 0,
            cursor: 0,
            inflight: None,
            unsent_ends: Vec::new(),
            closing: None,
            recorded: false,
            waiters: Vec::new(),
        }
    }

    /// Returns true if at least one task may have run.
    const fn may_have_run(&self) -> bool {
        self.started > self.refused
    }

    fn set(&mut self, at: u32, slot: SlotState) {
        let former = std::mem::replace(&mut self.slots[at as usize], slot);
        self.started = self.started + u32::from(slot.may_have_started()) - u32::from(former.may_have_started());
        self.uncertain =
            self.uncertain + u32::from(slot == SlotState::Uncertain) - u32::from(former == SlotState::Uncertain);
    }

    fn take_unsent(&mut self, ends: &IndexMap<u32, TaskEnd>) -> Vec<(u32, TaskEnd)> {
        let unsent = std::mem::take(&mut self.unsent_ends);
        unsent.into_iter().filter_map(|at| ends.get(&at).map(|end| (at, end.clone()))).collect()
    }
}

/// Returns true once the record's retention is over.
pub(super) fn is_expired(record: &Record, now: Time, settings: &Settings) -> bool {
    record.submission_end.is_some() && now - record.closed_at > settings.retention
}
