//! Jobs and their ends.

use crate::effect::{Answer, Caller};
use indexmap::IndexMap;
use mangogw_dispatch::TaskKey;
use mangogw_model::{Code, JobView, Key, TaskIndex, TaskView, Time};

/// A caller that waits for the end of a job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub caller: Caller,
    pub until: Time,
}

/// One job: running until its first failure or its last answer.
#[derive(Debug)]
pub(crate) struct Job {
    pub digest: [u8; 32],
    pub tasks: Vec<TaskKey>,
    pub answers: Vec<Option<Answer>>,
    pub missing: usize,
    pub end: Option<End>,
    pub waiters: Vec<Waiter>,
}

/// How a job ended. It is set once.
#[derive(Debug, Clone)]
pub(crate) enum End {
    Complete,
    Failed { code: Code, culprit: Option<TaskIndex> },
}

impl Job {
    pub(crate) fn new(digest: [u8; 32], total: usize) -> Self {
        Self {
            digest,
            tasks: Vec::with_capacity(total),
            answers: vec![None; total],
            missing: total,
            end: None,
            waiters: Vec::new(),
        }
    }

    /// Takes the answer of one task. True if the job is now complete.
    pub(crate) fn answer(&mut self, index: TaskIndex, answer: Answer) -> bool {
        match self.answers.get_mut(index.0 as usize) {
            Some(place @ None) if self.end.is_none() => {
                *place = Some(answer);
                self.missing -= 1;
            }
            _ => return false,
        }
        if self.missing == 0 {
            self.end = Some(End::Complete);
        }
        self.missing == 0
    }

    /// Fails the job as a whole, once. The answers are dropped.
    pub(crate) fn fail(&mut self, code: Code, culprit: Option<TaskIndex>) -> bool {
        if self.end.is_some() {
            return false;
        }
        self.end = Some(End::Failed { code, culprit });
        self.answers.iter_mut().for_each(|answer| *answer = None);
        true
    }

    /// The job as a reader sees it: all answers or none.
    pub(crate) fn view(&self, key: &Key) -> JobView {
        let total = self.answers.len() as u32;
        match self.end {
            None => JobView::running(key.clone(), total),
            Some(End::Failed { code, culprit }) => JobView::failed(key.clone(), total, code, culprit),
            Some(End::Complete) => JobView::complete(key.clone(), self.answers.iter().flatten().map(task).collect()),
        }
    }
}

fn task(answer: &Answer) -> TaskView {
    TaskView::new(answer.status, &answer.body)
}

/// The jobs of a host, by key.
pub(crate) type Jobs = IndexMap<Key, Job, foldhash::fast::FixedState>;
