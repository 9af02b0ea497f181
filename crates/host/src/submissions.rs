//! Submission records inside a host: what they allow to start, and how it ended.

use crate::host::Host;
use crate::message::Message;
use crate::relay::Outcome;
use crate::units::{Origin, Unit};
use mangogw_cluster::records::{Output, Task, TaskEnd};
use mangogw_model::{EntryName, Key, Outcome as Word, TaskIndex, Time};

impl Host {
    /// Carries out what the records want. True if there was nothing.
    pub(crate) fn settle_records(&mut self, now: Time) -> bool {
        let outputs = self.records.drain();
        let quiet = outputs.is_empty();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(to, Message::Records(message)),
                Output::Run { key, spec: work, tasks, deadline } => {
                    for at in tasks {
                        let unit = self.unit(&key, TaskIndex(at), &work.entry, &work.tasks[at as usize], deadline);
                        self.place(now, unit);
                    }
                }
                Output::Place { task: placed, deadline } => {
                    let unit = self.unit(&placed.key, placed.index, &placed.entry, &placed.task, deadline);
                    self.admit(now, unit);
                }
                Output::Stop { key } => self.stop(now, &key),
                Output::Reply { tag, reply } => self.tell(tag, reply),
                Output::Ended { .. } => {}
                Output::Propose(command) => self.propose_table(now, command),
            }
        }
        quiet
    }

    fn unit(&self, key: &Key, index: TaskIndex, entry: &EntryName, task: &Task, deadline: Time) -> Unit {
        let limit = self.dispatch.entry_key(entry).map(|entry| self.dispatch.entry_config(entry).1.limits.answer_bytes);
        Unit {
            origin: Origin::Record,
            entry: entry.clone(),
            key: key.clone(),
            index,
            needs: task.needs,
            body: task.body.clone(),
            deadline,
            repeat: false,
            limit: limit.unwrap_or_default(),
            started: None,
            answer: None,
        }
    }

    /// Tells the records how a task ended.
    pub(crate) fn end_record(&mut self, now: Time, unit: &Unit, outcome: Outcome) {
        let end = match outcome {
            Outcome::Answer(answer) => TaskEnd::Answered { status: answer.status, body: answer.body },
            Outcome::Refused { code, .. } => match code.outcome() {
                Word::NotRun => TaskEnd::Refused(code),
                Word::Unknown => TaskEnd::Unknown(code),
                Word::Failed | Word::Answered => TaskEnd::Failed(code),
            },
        };
        self.records.on_task_end(now, &unit.key, unit.index, end);
    }

    /// Stops everything of a submission that is in the hands of the dispatch core.
    fn stop(&mut self, now: Time, key: &Key) {
        let tasks = self.live.get(key).cloned().unwrap_or_default();
        self.dispatch.cancel_all(now, tasks);
    }
}
