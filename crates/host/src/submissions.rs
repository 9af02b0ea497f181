//! Connects the submission records to the dispatch core: tasks that may start, and how they ended.

use crate::host::Host;
use crate::message::Message;
use crate::relay::RelayOutcome;
use crate::tasks::{HostTask, Origin};
use mangogw_cluster::records::{Output, Task, TaskEnd};
use mangogw_model::{EntryName, Key, Outcome, TaskIndex, Time};

impl Host {
    /// Processes the outputs of the records. Returns true if there were none.
    pub(crate) fn process_records_outputs(&mut self, now: Time) -> bool {
        let outputs = self.records.drain();
        let quiet = outputs.is_empty();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(to, Message::Records(message)),
                Output::Run { key, spec, tasks, deadline } => {
                    for index in tasks {
                        let host_task =
                            self.host_task(&key, TaskIndex(index), &spec.entry, &spec.tasks[index as usize], deadline);
                        self.place(now, host_task);
                    }
                }
                Output::Place { task: placed, deadline } => {
                    let host_task = self.host_task(&placed.key, placed.index, &placed.entry, &placed.task, deadline);
                    self.admit(now, host_task);
                }
                Output::Stop { key } => self.cancel_submission(now, &key),
                Output::Reply { tag, reply } => self.reply_submission(tag, reply),
                Output::Ended { .. } => {}
                Output::Propose(command) => self.propose_table(now, command),
            }
        }
        quiet
    }

    fn host_task(&self, key: &Key, index: TaskIndex, entry: &EntryName, task: &Task, deadline: Time) -> HostTask {
        let max_answer =
            self.dispatch.entry_key(entry).map(|entry| self.dispatch.entry_config(entry).1.limits.answer_bytes);
        HostTask {
            origin: Origin::Record,
            entry: entry.clone(),
            key: key.clone(),
            index,
            needs: task.needs,
            body: task.body.clone(),
            deadline,
            repeatable: false,
            max_answer: max_answer.unwrap_or_default(),
            started: None,
            answer: None,
        }
    }

    /// Reports the outcome of a task to the records.
    pub(crate) fn end_record(&mut self, now: Time, host_task: &HostTask, outcome: RelayOutcome) {
        let end = match outcome {
            RelayOutcome::Answer(answer) => TaskEnd::Answered { status: answer.status, body: answer.body },
            RelayOutcome::Refused { code, .. } => match code.outcome() {
                Outcome::NotRun => TaskEnd::Refused(code),
                Outcome::Unknown => TaskEnd::Unknown(code),
                Outcome::Failed | Outcome::Answered => TaskEnd::Failed(code),
            },
        };
        self.records.on_task_end(now, &host_task.key, host_task.index, end);
    }

    /// Cancels all tasks of a submission in the dispatch core.
    fn cancel_submission(&mut self, now: Time, key: &Key) {
        let tasks = self.record_tasks.get(key).cloned().unwrap_or_default();
        self.dispatch.cancel_all(now, tasks);
    }
}
