//! One submission: what is recorded of it, and the owner's working part.

use super::message::{RecordSnapshot, Step, SubmissionEnd, SubmissionSpec, TaskEnd};
use super::settings::Settings;
use crate::ownership::Holder;
use indexmap::IndexMap;
use mangogw_model::{Code, Key, Outcome, TaskIndex, Time};
use smallvec::SmallVec;
use std::ops::Range;
use std::sync::Arc;

/// Bytes counted for a record beside its key, bodies and answers.
const RECORD_BYTES: usize = 560;
/// Bytes counted for a task beside its body.
const TASK_BYTES: usize = 96;

/// What every holder has of a submission.
#[derive(Debug)]
pub(super) struct Record {
    pub spec: Arc<SubmissionSpec>,
    pub total: u32,
    pub deadline: Time,
    /// The last step: made, at the owner; taken in, at a follower.
    pub serial: u64,
    /// Tasks below it may have started. At the owner: every follower knows so.
    pub window_end: u32,
    pub ends: IndexMap<u32, TaskEnd>,
    pub submission_end: Option<Arc<SubmissionEnd>>,
    pub closed_at: Time,
    pub size: usize,
    pub owner_state: Option<Box<OwnerState>>,
}

/// What only the owner has of a running submission.
#[derive(Debug)]
pub(super) struct OwnerState {
    slots: Vec<SlotState>,
    /// Tasks that may have started.
    started: u32,
    /// Tasks that were never started and are given up.
    refused: u32,
    /// Tasks a former owner may have started.
    uncertain: u32,
    /// No task below it waits to be given out.
    cursor: u32,
    pub inflight: Option<InflightStep>,
    /// Ends that no follower has yet.
    pub unsent_ends: Vec<u32>,
    pub closing: Option<PendingClose>,
    /// True once every follower has the record.
    pub recorded: bool,
    pub waiters: Vec<Waiter>,
}

/// Where a task stands, as its owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SlotState {
    /// Not started, and not given to a dispatcher.
    Idle,
    /// With the dispatcher of this host, which has to ask before it starts it.
    Dispatched,
    /// The dispatcher of this host was told to start it.
    Started,
    /// Assigned to another host.
    Assigned(u64),
    /// A former owner may have started it.
    Uncertain,
    /// It ended.
    Ended,
}

impl SlotState {
    const fn may_have_started(self) -> bool {
        !matches!(self, Self::Idle | Self::Dispatched)
    }
}

/// A step that some follower has not acknowledged.
#[derive(Debug)]
pub(super) struct InflightStep {
    pub step: Step,
    pub sent: Time,
    pub acked: SmallVec<[Holder; 2]>,
}

/// An end that is decided but not yet on every follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PendingClose {
    pub failed: Option<(Code, Option<TaskIndex>)>,
}

/// An entry host that waits for the end.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub to: Holder,
    pub request_id: u64,
    pub until: Time,
}

impl Record {
    /// A record with the owner's working part.
    pub fn open(key: &Key, work: Arc<SubmissionSpec>, deadline: Time) -> Self {
        let mut record = Self::without_owner(key, work, deadline);
        record.owner_state = Some(Box::new(OwnerState::new(record.total)));
        record
    }

    /// A record without the owner's working part.
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

    /// The record of an image; the owner's working part too where `owner`.
    pub fn load(now: Time, image: RecordSnapshot, owner: bool) -> (Key, Self) {
        let mut record = Self::without_owner(&image.key, image.spec, now + image.time_left);
        record.total = image.total;
        record.serial = image.serial;
        record.window_end = image.window_end;
        record.store_ends(image.ends);
        if let Some((verdict, age)) = image.submission_end {
            record.closed_at = Time::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
            record.close(&image.key, verdict);
        }
        if owner && record.submission_end.is_none() {
            record.recover(&image.not_started);
        }
        (image.key, record)
    }

    /// The whole record. With `exact` it says which tasks this owner never started.
    pub fn image(&self, now: Time, key: &Key, exact: bool) -> RecordSnapshot {
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
            submission_end: self.submission_end.as_ref().map(|verdict| (Arc::clone(verdict), now - self.closed_at)),
        }
    }

    /// Makes the owner's working part from what is recorded: a task in the window without an end counts as started,
    /// unless the former owner said it was not.
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

    /// Makes the working part ready for an epoch whose holders all have this record.
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

    /// Takes in a step at a follower. False if one before it is missing.
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

    /// The next step for the followers, if there is one. Only one is under way at a time.
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

    /// Carries out the step that every follower now has. True if the submission ended by it.
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

    /// Tasks that may be given out now, one run of neighbours after the other.
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

    /// The last gate before a start: true once for a task, and only inside the window.
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

    /// Takes a task back that its dispatcher may not start now.
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

    /// Takes in the end of a task.
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

    /// Decides the end for a reason from outside: `clean` if nothing ran, `unclean` if something may have.
    pub fn abort(&mut self, clean: Code, unclean: Code) -> bool {
        let Some(owner_state) = self.owner_state.as_deref_mut().filter(|owner_state| owner_state.closing.is_none())
        else {
            return false;
        };
        let code = if owner_state.may_have_run() { unclean } else { clean };
        owner_state.closing = Some(PendingClose { failed: Some((code, None)) });
        true
    }

    /// True if nothing of the task waits to be recorded at the followers.
    pub fn is_replicated(&self, at: u32) -> bool {
        self.owner_state.as_ref().is_none_or(|owner_state| {
            !self.ends.contains_key(&at) || (owner_state.unsent_ends.is_empty() && owner_state.inflight.is_none())
        })
    }

    /// Assignments to other hosts that have not ended.
    pub fn assigned(&self) -> Vec<u64> {
        let slots = self.owner_state.iter().flat_map(|owner_state| &owner_state.slots);
        let serials = slots.filter_map(|slot| match slot {
            SlotState::Assigned(serial) => Some(*serial),
            _ => None,
        });
        serials.collect()
    }

    /// The slot of a task, at the owner.
    pub fn slot(&self, at: u32) -> Option<SlotState> {
        self.owner_state.as_ref().and_then(|owner_state| owner_state.slots.get(at as usize).copied())
    }

    /// Decides the end if the ends of the tasks do.
    fn decide_end(&mut self) {
        let total = self.total as usize;
        let Some(owner_state) = self.owner_state.as_deref_mut().filter(|owner_state| owner_state.closing.is_none())
        else {
            return;
        };
        let bad = self.ends.iter().find(|(_, end)| !matches!(end, TaskEnd::Answered { .. }));
        let failed = match bad {
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
        let whole: Option<Vec<_>> = (0..self.total).map(answer).collect();
        match (failed, whole) {
            (None, Some(answers)) => SubmissionEnd::Complete(answers),
            (None, None) => SubmissionEnd::Failed { code: Code::Internal, failed_task: None },
            (Some((code, failed_task)), _) => SubmissionEnd::Failed { code, failed_task },
        }
    }

    /// Keeps the verdict and lets go of everything else.
    fn close(&mut self, key: &Key, verdict: Arc<SubmissionEnd>) {
        let answers = match &*verdict {
            SubmissionEnd::Complete(answers) => answers.iter().map(|(_, body)| TASK_BYTES + body.len()).sum(),
            SubmissionEnd::Failed { .. } => 0,
        };
        self.size = RECORD_BYTES + key.as_str().len() + answers;
        self.spec =
            Arc::new(SubmissionSpec { entry: self.spec.entry.clone(), digest: self.spec.digest, tasks: Vec::new() });
        self.ends = IndexMap::new();
        self.submission_end = Some(verdict);
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

    /// True if some task may have run.
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
        let fresh = std::mem::take(&mut self.unsent_ends);
        fresh.into_iter().filter_map(|at| ends.get(&at).map(|end| (at, end.clone()))).collect()
    }
}

/// True once the record's retention is over.
pub(super) fn is_expired(record: &Record, now: Time, settings: &Settings) -> bool {
    record.submission_end.is_some() && now - record.closed_at > settings.retention
}
