//! Requests of callers: single requests, and submissions, whose records decide which tasks may start.

use crate::effect::{Answer, Caller, Refused, Reply};
use crate::host::Host;
use crate::request::JobRequest;
use crate::tasks::{HostTask, Origin};
use bytes::Bytes;
use mangogw_cluster::records::{self, BodyDigest, Submission, SubmissionEnd, SubmissionSpec, Tag, Task};
use mangogw_model::{Code, EntryName, JobView, Key, Needs, TaskIndex, TaskView, Time};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of tasks of a job.
const MAX_TASKS: usize = 10_000;
/// Longest time that a read may wait for the end of a job.
const MAX_READ_WAIT: Duration = Duration::from_mins(1);
/// Bit in the tag of a submission whose caller expects the answer of its only task, not a job view.
const SINGLE_TASK_FLAG: u64 = 1 << 63;

impl Host {
    /// Runs a single request; one with a key becomes a submission of one task.
    pub(crate) fn run(
        &mut self,
        now: Time,
        caller: Caller,
        entry: EntryName,
        key: Option<Key>,
        timeout: Option<Duration>,
        body: Bytes,
    ) {
        let entry_key = match self.check_entry(&entry, body.len()) {
            Ok(entry_key) => entry_key,
            Err(refused) => return self.refuse(caller, with_unknown_outcome(refused, key)),
        };
        let settings = self.dispatch.entry_config(entry_key).1;
        let deadline = now + timeout.unwrap_or(settings.deadline());
        let (repeatable, max_answer) = (settings.repeatable, settings.limits.answer_bytes);
        let Some(key) = key else {
            let host_task = HostTask {
                origin: Origin::Caller(caller),
                entry,
                key: self.new_key(),
                index: TaskIndex(0),
                needs: Needs::default(),
                body,
                deadline,
                repeatable,
                max_answer,
                started: None,
                answer: None,
            };
            return self.place(now, host_task);
        };
        let task = Task { body, needs: Needs::default() };
        let spec = Arc::new(submission_spec(entry, vec![task]));
        let tag = Tag(caller.0 | SINGLE_TASK_FLAG);
        self.job_keys.insert(tag.0, key.clone());
        let wait = (deadline - now) + MAX_READ_WAIT;
        self.records.submit(now, tag, Submission { key, spec, deadline }, wait);
    }

    /// Accepts a job as a submission.
    pub(crate) fn submit(&mut self, now: Time, caller: Caller, new: JobRequest) {
        let largest = new.tasks.iter().map(|task| task.body.len()).max().unwrap_or(0);
        let entry = match self.check_entry(&new.entry, largest) {
            Ok(_) if new.tasks.len() > MAX_TASKS => {
                let detail = format!("{} tasks, the limit is {MAX_TASKS}", new.tasks.len());
                return self.refuse(caller, Refused::new(Code::TooManyTasks, detail));
            }
            Ok(entry) => entry,
            Err(refused) => return self.refuse(caller, with_unknown_outcome(refused, new.key)),
        };
        let deadline = now + new.timeout.unwrap_or(self.dispatch.entry_config(entry).1.deadline());
        let tasks = new.tasks.into_iter().map(|task| Task { body: task.body, needs: task.needs }).collect();
        let spec = Arc::new(submission_spec(new.entry, tasks));
        let tag = Tag(caller.0);
        match new.key {
            Some(key) => {
                self.job_keys.insert(tag.0, key.clone());
                self.records.submit(now, tag, Submission { key, spec, deadline }, Duration::ZERO);
            }
            None => {
                let key = self.records.submit_unkeyed(now, tag, spec, deadline, Duration::ZERO);
                self.job_keys.insert(tag.0, key);
            }
        }
    }

    pub(crate) fn read(&mut self, now: Time, caller: Caller, key: Key, wait: Duration) {
        self.job_keys.insert(caller.0, key.clone());
        self.records.read(now, Tag(caller.0), key, wait.min(MAX_READ_WAIT));
    }

    pub(crate) fn cancel(&mut self, now: Time, caller: Caller, key: Key) {
        self.job_keys.insert(caller.0, key.clone());
        self.records.cancel(now, Tag(caller.0), key);
    }

    /// Replies to a caller with the state or the end of its submission.
    pub(crate) fn reply_submission(&mut self, tag: Tag, reply: records::Reply) {
        let Some(key) = self.job_keys.swap_remove(&tag.0) else { return };
        let caller = Caller(tag.0 & !SINGLE_TASK_FLAG);
        let single = tag.0 & SINGLE_TASK_FLAG != 0;
        match reply {
            records::Reply::Refused(code) => self.refuse(caller, Refused::new(code, code.title()).with_key(key)),
            records::Reply::Running { .. } if single => {
                self.refuse(caller, Refused::new(Code::DeadlinePassed, Code::DeadlinePassed.title()).with_key(key));
            }
            records::Reply::Running { total } => self.reply(caller, Reply::Job(JobView::running(key, total))),
            records::Reply::Ended(end) if single => self.reply_single(caller, key, &end),
            records::Reply::Ended(end) => self.reply(caller, Reply::Job(job_view(key, &end))),
        }
    }

    fn reply_single(&mut self, caller: Caller, key: Key, end: &SubmissionEnd) {
        match end {
            SubmissionEnd::Complete(answers) => match answers.first() {
                Some((status, body)) => {
                    let answer = Answer { status: *status, content_type: None, body: body.clone() };
                    self.reply(caller, Reply::Answer { key, answer });
                }
                None => self.refuse(caller, Refused::new(Code::Internal, "the answer is missing").with_key(key)),
            },
            SubmissionEnd::Failed { code, .. } => self.refuse(caller, Refused::new(*code, code.title()).with_key(key)),
        }
    }

    fn new_key(&mut self) -> Key {
        self.serial += 1;
        let (zone, host) = (&self.settings.zone, self.settings.host.0);
        Key::from(format!("{zone}:{host:x}-{:x}", self.serial))
    }
}

/// Turns "not run" into "unknown" for a request with a key: without a look at the records, the host cannot tell whether
/// the submission ran before.
fn with_unknown_outcome(refused: Refused, key: Option<Key>) -> Refused {
    match (refused.code, key) {
        (Code::NotReady | Code::Draining, Some(key)) => Refused::new(Code::HomeUnknown, refused.detail).with_key(key),
        (_, Some(key)) => refused.with_key(key),
        (_, None) => refused,
    }
}

fn job_view(key: Key, end: &SubmissionEnd) -> JobView {
    match end {
        SubmissionEnd::Complete(answers) => {
            JobView::complete(key, answers.iter().map(|(status, body)| TaskView::new(*status, body)).collect())
        }
        SubmissionEnd::Failed { code, failed_task } => JobView::failed(key, 0, *code, *failed_task),
    }
}

fn submission_spec(entry: EntryName, tasks: Vec<Task>) -> SubmissionSpec {
    let mut hash = Sha256::new();
    hash.update(entry.as_str());
    for task in &tasks {
        hash.update((task.body.len() as u64).to_le_bytes());
        hash.update(&task.body);
    }
    SubmissionSpec { entry, digest: BodyDigest(hash.finalize().into()), tasks }
}
