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
    pub work: Arc<SubmissionSpec>,
    pub total: u32,
    pub deadline: Time,
    /// The last step: made, at the owner; taken in, at a follower.
    pub serial: u64,
    /// Tasks below it may have started. At the owner: every follower knows so.
    pub below: u32,
    pub ends: IndexMap<u32, TaskEnd>,
    pub verdict: Option<Arc<SubmissionEnd>>,
    pub closed: Time,
    pub size: usize,
    pub desk: Option<Box<Desk>>,
}

/// What only the owner has of a running submission.
#[derive(Debug)]
pub(super) struct Desk {
    slots: Vec<Slot>,
    /// Tasks that may have started.
    used: u32,
    /// Tasks that were never started and are given up.
    refused: u32,
    /// Tasks a former owner may have started.
    unsure: u32,
    /// No task below it waits to be given out.
    cursor: u32,
    pub flight: Option<Flight>,
    /// Ends that no follower has yet.
    pub fresh: Vec<u32>,
    pub closing: Option<Closing>,
    /// True once every follower has the record.
    pub recorded: bool,
    pub watches: Vec<Watch>,
}

/// Where a task stands, as its owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Slot {
    /// Not started, and not given to a dispatcher.
    Idle,
    /// With the dispatcher of this host, which has to ask before it starts it.
    Given,
    /// The dispatcher of this host was told to start it.
    Started,
    /// Assigned to another host.
    Assigned(u64),
    /// A former owner may have started it.
    Unsure,
    /// It ended.
    Ended,
}

impl Slot {
    const fn used(self) -> bool {
        !matches!(self, Self::Idle | Self::Given)
    }
}

/// A step that some follower has not acknowledged.
#[derive(Debug)]
pub(super) struct Flight {
    pub step: Step,
    pub sent: Time,
    pub acked: SmallVec<[Holder; 2]>,
}

/// An end that is decided but not yet on every follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Closing {
    pub failed: Option<(Code, Option<TaskIndex>)>,
}

/// An entry host that waits for the end.
#[derive(Debug, Clone, Copy)]
pub(super) struct Watch {
    pub to: Holder,
    pub request: u64,
    pub until: Time,
}

impl Record {
    /// A record with the owner's working part.
    pub fn open(key: &Key, work: Arc<SubmissionSpec>, deadline: Time) -> Self {
        let mut record = Self::blank(key, work, deadline);
        record.desk = Some(Box::new(Desk::new(record.total)));
        record
    }

    /// A record without the owner's working part.
    pub fn blank(key: &Key, work: Arc<SubmissionSpec>, deadline: Time) -> Self {
        let total = work.tasks.len() as u32;
        let bodies: usize = work.tasks.iter().map(|task| TASK_BYTES + task.body.len()).sum();
        let size = RECORD_BYTES + key.as_str().len() + bodies;
        Self {
            work,
            total,
            deadline,
            serial: 0,
            below: 0,
            ends: IndexMap::new(),
            verdict: None,
            closed: Time::ZERO,
            size,
            desk: None,
        }
    }

    /// The record of an image; the owner's working part too where `owner`.
    pub fn load(now: Time, image: RecordSnapshot, owner: bool) -> (Key, Self) {
        let mut record = Self::blank(&image.key, image.spec, now + image.time_left);
        record.total = image.total;
        record.serial = image.serial;
        record.below = image.window_end;
        record.keep(image.ends);
        if let Some((verdict, age)) = image.submission_end {
            record.closed = Time::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
            record.close(&image.key, verdict);
        }
        if owner && record.verdict.is_none() {
            record.recover(&image.not_started);
        }
        (image.key, record)
    }

    /// The whole record. With `exact` it says which tasks this owner never started.
    pub fn image(&self, now: Time, key: &Key, exact: bool) -> RecordSnapshot {
        let not_started = match &self.desk {
            Some(desk) if exact => (0..self.below).filter(|at| !desk.slots[*at as usize].used()).collect(),
            _ => Vec::new(),
        };
        RecordSnapshot {
            key: key.clone(),
            spec: Arc::clone(&self.work),
            total: self.total,
            time_left: self.deadline - now,
            serial: self.serial,
            window_end: self.below,
            not_started,
            ends: self.ends.iter().map(|(at, end)| (*at, end.clone())).collect(),
            submission_end: self.verdict.as_ref().map(|verdict| (Arc::clone(verdict), now - self.closed)),
        }
    }

    /// Makes the owner's working part from what is recorded: a task in the window without an end counts as started,
    /// unless the former owner said it was not.
    pub fn recover(&mut self, free: &[u32]) {
        let mut desk = Box::new(Desk::new(self.total));
        for at in 0..self.below {
            match free.binary_search(&at) {
                Ok(_) => {}
                Err(_) => desk.set(at, Slot::Unsure),
            }
        }
        for (at, end) in &self.ends {
            desk.set(*at, Slot::Ended);
            desk.refused += u32::from(!end.may_have_run());
        }
        self.desk = Some(desk);
    }

    /// Makes the working part ready for an epoch whose holders all have this record.
    pub fn activate(&mut self) {
        if self.desk.is_none() && self.verdict.is_none() {
            self.recover(&[]);
        }
        if let Some(desk) = &mut self.desk {
            desk.flight = None;
            desk.fresh.clear();
            desk.recorded = true;
            desk.cursor = 0;
        }
        self.settle();
    }

    /// Takes in a step at a follower. False if one before it is missing.
    pub fn apply(&mut self, now: Time, key: &Key, serial: u64, step: Step) -> bool {
        match step {
            _ if serial <= self.serial => return true,
            _ if serial > self.serial + 1 => return false,
            Step::Open { .. } => return false,
            Step::ExtendWindow { window_end, ends } => {
                self.keep(ends);
                self.below = self.below.max(window_end);
            }
            Step::Close { ends, failed } => {
                self.keep(ends);
                self.closed = now;
                self.close(key, Arc::new(self.verdict_of(failed)));
            }
        }
        self.serial = serial;
        true
    }

    /// The next step for the followers, if there is one. Only one is under way at a time.
    pub fn next_step(&mut self, now: Time, window: u32) -> Option<Step> {
        let below = self.below;
        let total = self.total;
        let desk = self.desk.as_deref_mut().filter(|desk| desk.flight.is_none())?;
        let target = total.min(desk.used.saturating_add(window.max(1)));
        let narrow = below < total && desk.used + window / 2 >= below && target > below && desk.unsure == 0;
        let step = match desk.closing {
            _ if !desk.recorded => {
                let time_left = self.deadline - now;
                Step::Open { spec: Arc::clone(&self.work), time_left, window_end: window.max(1).min(total) }
            }
            Some(closing) => Step::Close { ends: desk.news(&self.ends), failed: closing.failed },
            None if narrow => Step::ExtendWindow { window_end: target, ends: desk.news(&self.ends) },
            None => return None,
        };
        self.serial += 1;
        desk.flight = Some(Flight { step: step.clone(), sent: now, acked: SmallVec::new() });
        Some(step)
    }

    /// Carries out the step that every follower now has. True if the submission ended by it.
    pub fn land(&mut self, now: Time, key: &Key) -> bool {
        let Some(desk) = self.desk.as_deref_mut() else {
            return false;
        };
        match desk.flight.take().map(|flight| flight.step) {
            Some(Step::Open { window_end, .. }) => {
                desk.recorded = true;
                self.below = window_end;
                false
            }
            Some(Step::ExtendWindow { window_end, .. }) => {
                self.below = window_end;
                false
            }
            Some(Step::Close { failed, .. }) => {
                self.closed = now;
                self.close(key, Arc::new(self.verdict_of(failed)));
                true
            }
            None => false,
        }
    }

    /// Tasks that may be given out now, one run of neighbours after the other.
    pub fn give(&mut self) -> Option<Range<u32>> {
        let below = self.below;
        let desk = self.desk.as_deref_mut().filter(|desk| desk.unsure == 0 && desk.closing.is_none())?;
        let idle = |at: &u32| desk.slots[*at as usize] == Slot::Idle;
        let start = (desk.cursor..below).find(idle).unwrap_or(below);
        let end = (start..below).find(|at| !idle(at)).unwrap_or(below);
        desk.cursor = end;
        for at in start..end {
            desk.set(at, Slot::Given);
        }
        (start < end).then_some(start..end)
    }

    /// The last gate before a start: true once for a task, and only inside the window.
    pub fn start(&mut self, at: u32, slot: Slot) -> bool {
        let below = self.below;
        let Some(desk) = self.desk.as_deref_mut() else {
            return false;
        };
        let open = at < below && desk.closing.is_none() && desk.slots[at as usize] == Slot::Given;
        if open {
            desk.set(at, slot);
        }
        open
    }

    /// Takes a task back that its dispatcher may not start now.
    pub fn hold(&mut self, at: u32) {
        if let Some(desk) = self.desk.as_deref_mut().filter(|desk| desk.slots.get(at as usize) == Some(&Slot::Given)) {
            desk.set(at, Slot::Idle);
            desk.cursor = desk.cursor.min(at);
        }
    }

    /// Takes in the end of a task.
    pub fn finish(&mut self, at: u32, end: TaskEnd) {
        let Some(desk) = self.desk.as_deref_mut() else {
            return;
        };
        match end {
            TaskEnd::NotStarted => {
                let back = if desk.slots[at as usize] == Slot::Started { Slot::Given } else { Slot::Idle };
                desk.set(at, back);
                desk.cursor = desk.cursor.min(at);
            }
            end => {
                desk.set(at, Slot::Ended);
                desk.refused += u32::from(!end.may_have_run());
                desk.fresh.push(at);
                self.keep(vec![(at, end)]);
                self.settle();
            }
        }
    }

    /// Decides the end for a reason from outside: `clean` if nothing ran, `unclean` if something may have.
    pub fn abort(&mut self, clean: Code, unclean: Code) -> bool {
        let Some(desk) = self.desk.as_deref_mut().filter(|desk| desk.closing.is_none()) else {
            return false;
        };
        let code = if desk.ran() { unclean } else { clean };
        desk.closing = Some(Closing { failed: Some((code, None)) });
        true
    }

    /// True if nothing of the task waits to be recorded at the followers.
    pub fn safe(&self, at: u32) -> bool {
        self.desk
            .as_ref()
            .is_none_or(|desk| !self.ends.contains_key(&at) || (desk.fresh.is_empty() && desk.flight.is_none()))
    }

    /// Assignments to other hosts that have not ended.
    pub fn assigned(&self) -> Vec<u64> {
        let slots = self.desk.iter().flat_map(|desk| &desk.slots);
        let serials = slots.filter_map(|slot| match slot {
            Slot::Assigned(serial) => Some(*serial),
            _ => None,
        });
        serials.collect()
    }

    /// The slot of a task, at the owner.
    pub fn slot(&self, at: u32) -> Option<Slot> {
        self.desk.as_ref().and_then(|desk| desk.slots.get(at as usize).copied())
    }

    /// Decides the end if the ends of the tasks do.
    fn settle(&mut self) {
        let total = self.total as usize;
        let Some(desk) = self.desk.as_deref_mut().filter(|desk| desk.closing.is_none()) else {
            return;
        };
        let bad = self.ends.iter().find(|(_, end)| !matches!(end, TaskEnd::Answered { .. }));
        let failed = match bad {
            Some((at, TaskEnd::Refused(code))) => Some((if desk.ran() { Code::JobFailed } else { *code }, *at)),
            Some((at, TaskEnd::Failed(code) | TaskEnd::Unknown(code))) if code.outcome() != Outcome::NotRun => {
                Some((*code, *at))
            }
            Some((at, _)) => Some((Code::JobFailed, *at)),
            None => None,
        };
        if failed.is_some() || self.ends.len() == total {
            desk.closing = Some(Closing { failed: failed.map(|(code, at)| (code, Some(TaskIndex(at)))) });
        }
    }

    fn keep(&mut self, ends: Vec<(u32, TaskEnd)>) {
        for (at, end) in ends {
            if let TaskEnd::Answered { body, .. } = &end {
                self.size += TASK_BYTES + body.len();
            }
            self.ends.entry(at).or_insert(end);
        }
    }

    fn verdict_of(&self, failed: Option<(Code, Option<TaskIndex>)>) -> SubmissionEnd {
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
        self.work =
            Arc::new(SubmissionSpec { entry: self.work.entry.clone(), digest: self.work.digest, tasks: Vec::new() });
        self.ends = IndexMap::new();
        self.verdict = Some(verdict);
    }
}

impl Desk {
    fn new(total: u32) -> Self {
        Self {
            slots: vec![Slot::Idle; total as usize],
            used: 0,
            refused: 0,
            unsure: 0,
            cursor: 0,
            flight: None,
            fresh: Vec::new(),
            closing: None,
            recorded: false,
            watches: Vec::new(),
        }
    }

    /// True if some task may have run.
    const fn ran(&self) -> bool {
        self.used > self.refused
    }

    fn set(&mut self, at: u32, slot: Slot) {
        let former = std::mem::replace(&mut self.slots[at as usize], slot);
        self.used = self.used + u32::from(slot.used()) - u32::from(former.used());
        self.unsure = self.unsure + u32::from(slot == Slot::Unsure) - u32::from(former == Slot::Unsure);
    }

    fn news(&mut self, ends: &IndexMap<u32, TaskEnd>) -> Vec<(u32, TaskEnd)> {
        let fresh = std::mem::take(&mut self.fresh);
        fresh.into_iter().filter_map(|at| ends.get(&at).map(|end| (at, end.clone()))).collect()
    }
}

/// True once the record's retention is over.
pub(super) fn stale(record: &Record, now: Time, settings: &Settings) -> bool {
    record.verdict.is_some() && now - record.closed > settings.retention
}
