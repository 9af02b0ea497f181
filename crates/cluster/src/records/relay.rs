//! Tasks that one host starts for another, and ends that look for the owner of their record.

use super::message::{AssignedTask, Body, TaskEnd};
use super::output::{Outbox, Output};
use crate::ownership::Holder;
use indexmap::IndexMap;
use mangogw_model::{Code, HostId, Incarnation, Key, TaskIndex, Time};
use std::time::Duration;

/// After it an assignment that nobody acknowledged is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// After it an end that is not recorded is sent again.
const END_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Both sides of relayed tasks, and the ends on their way.
#[derive(Debug, Default)]
pub(super) struct Relay {
    serial: u64,
    sent: IndexMap<u64, SentAssignment>,
    received: IndexMap<(Holder, u64), ReceivedAssignment>,
    active: IndexMap<(Key, TaskIndex), (Holder, u64)>,
    floors: IndexMap<HostId, Floor>,
    unacked_ends: IndexMap<(Key, TaskIndex), UnackedEnd>,
}

/// An assignment by this host.
#[derive(Debug)]
struct SentAssignment {
    to: Holder,
    task: AssignedTask,
    deadline: Time,
    last_sent: Time,
    acked: bool,
}

/// An assignment to this host.
#[derive(Debug)]
struct ReceivedAssignment {
    key: Key,
    task: TaskIndex,
    deadline: Time,
    state: Stage,
    ended: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Placed,
    Started,
    Done,
}

/// No assignment of this life below it is taken, nor of any life before.
#[derive(Debug, Clone, Copy, Default)]
struct Floor {
    incarnation: Incarnation,
    serial: u64,
}

/// An end that its record's owner does not have yet.
#[derive(Debug)]
struct UnackedEnd {
    assigned: Option<(Holder, u64)>,
    end: TaskEnd,
    since: Time,
    last_sent: Option<Time>,
}

impl Relay {
    /// Assigns a task to another host. The number goes into its slot.
    pub fn assign(&mut self, now: Time, to: Holder, task: AssignedTask, deadline: Time, outbox: &mut Outbox) -> u64 {
        self.serial += 1;
        let serial = self.serial;
        self.sent.insert(serial, SentAssignment { to, task, deadline, last_sent: now, acked: false });
        self.send_assignment(now, serial, outbox);
        serial
    }

    /// The number of the next assignment.
    pub const fn next_serial(&self) -> u64 {
        self.serial + 1
    }

    /// The lowest assignment to `to` that is not settled.
    pub fn floor(&self, to: Holder) -> u64 {
        let open = self.sent.iter().filter(|(_, sent)| sent.to == to).map(|(serial, _)| *serial).min();
        open.unwrap_or(self.serial + 1)
    }

    /// The assignment is settled: it ended, or its record did.
    pub fn remove_sent(&mut self, serial: u64) {
        self.sent.swap_remove(&serial);
    }

    /// The other host acknowledged it.
    pub fn on_assign_ack(&mut self, from: Holder, serial: u64) {
        if let Some(sent) = self.sent.get_mut(&serial).filter(|sent| sent.to == from) {
            sent.acked = true;
            sent.task.task = super::message::Task::default();
        }
    }

    /// Assignments to earlier lives of `alive`: nothing more will be known of them.
    pub fn orphans(&mut self, alive: Holder) -> Vec<(Key, TaskIndex, u64)> {
        let gone = |sent: &SentAssignment| sent.to.host == alive.host && sent.to.incarnation < alive.incarnation;
        let orphans = self.sent.iter().filter(|(_, sent)| gone(sent));
        orphans.map(|(serial, sent)| (sent.task.key.clone(), sent.task.index, *serial)).collect()
    }

    /// Takes an assignment in, once.
    pub fn on_assign(
        &mut self,
        now: Time,
        from: Holder,
        serial: u64,
        floor: u64,
        task: AssignedTask,
        outbox: &mut Outbox,
    ) {
        self.raise_floor(from, floor);
        let known = self.floors.get(&from.host).copied().unwrap_or_default();
        if from.incarnation < known.incarnation || serial < known.serial {
            return;
        }
        let slot = (task.key.clone(), task.index);
        if !self.received.contains_key(&(from, serial)) {
            if self.active.contains_key(&slot) {
                return;
            }
            let deadline = now + task.time_left;
            let job = ReceivedAssignment {
                key: slot.0.clone(),
                task: slot.1,
                deadline,
                state: Stage::Placed,
                ended: Time::ZERO,
            };
            self.received.insert((from, serial), job);
            self.active.insert(slot, (from, serial));
            outbox.push(Output::Place { task, deadline });
        }
        outbox.send(from, Body::AssignAck { serial });
    }

    /// Everything of `from` below `floor` is settled.
    pub fn raise_floor(&mut self, from: Holder, floor: u64) {
        let known = self.floors.entry(from.host).or_default();
        match from.incarnation.cmp(&known.incarnation) {
            std::cmp::Ordering::Less => return,
            std::cmp::Ordering::Equal => known.serial = known.serial.max(floor),
            std::cmp::Ordering::Greater => *known = Floor { incarnation: from.incarnation, serial: floor },
        }
        let floor = known.serial;
        self.received.retain(|(owner, serial), job| *owner != from || *serial >= floor || job.state != Stage::Done);
    }

    /// Whether another host assigned this task here and it has not ended.
    pub fn is_active(&self, key: &Key, task: TaskIndex) -> bool {
        self.active.contains_key(&(key.clone(), task))
    }

    /// The last gate before the start of an assigned task.
    pub fn start(&mut self, now: Time, key: &Key, task: TaskIndex) -> bool {
        let job = self.active.get(&(key.clone(), task)).and_then(|at| self.received.get_mut(at));
        match job {
            Some(job) if job.state == Stage::Placed && now < job.deadline => {
                job.state = Stage::Started;
                true
            }
            _ => false,
        }
    }

    /// Takes in the end of an assigned task. It goes to the owner of the record.
    pub fn on_task_end(&mut self, now: Time, key: &Key, task: TaskIndex, end: TaskEnd) {
        let Some(assigned) = self.active.get(&(key.clone(), task)).copied() else {
            return;
        };
        let Some(job) = self.received.get_mut(&assigned) else {
            return;
        };
        // A start can't be taken back by giving up; only the target's word frees the task.
        let end = match end {
            TaskEnd::Refused(code) if job.state == Stage::Started => TaskEnd::Unknown(code),
            end => end,
        };
        job.state = Stage::Done;
        job.ended = now;
        self.active.swap_remove(&(key.clone(), task));
        self.queue_end(now, key, task, Some(assigned), end);
    }

    /// Holds an end until the owner of the record has it.
    pub fn queue_end(&mut self, now: Time, key: &Key, task: TaskIndex, assigned: Option<(Holder, u64)>, end: TaskEnd) {
        let late = UnackedEnd { assigned, end, since: now, last_sent: None };
        match assigned {
            Some(_) => {
                self.unacked_ends.insert((key.clone(), task), late);
            }
            None => {
                self.unacked_ends.entry((key.clone(), task)).or_insert(late);
            }
        }
    }

    /// The owner has the end.
    pub fn on_report_ack(&mut self, key: &Key, task: TaskIndex, assigned: Option<(Holder, u64)>) {
        let slot = (key.clone(), task);
        if self.unacked_ends.get(&slot).is_some_and(|late| late.assigned == assigned) {
            self.unacked_ends.swap_remove(&slot);
        }
    }

    /// The number of ends that look for their owner.
    pub fn unacked_count(&self) -> usize {
        self.unacked_ends.len()
    }

    /// Sends again what was not acknowledged. `owner` finds the owner of a key.
    pub fn tick(&mut self, now: Time, keep: Duration, owner: impl Fn(&Key) -> Option<Holder>, outbox: &mut Outbox) {
        // A task whose deadline passed is settled: its owner says so, and the other host starts it no more.
        self.sent.retain(|_, sent| now < sent.deadline);
        let due = |sent: &&SentAssignment| !sent.acked && now - sent.last_sent >= RETRY_INTERVAL;
        let serials: Vec<u64> = self.sent.iter().filter(|(_, sent)| due(sent)).map(|(serial, _)| *serial).collect();
        for serial in serials {
            self.send_assignment(now, serial, outbox);
        }
        let expired = |job: &ReceivedAssignment| job.state == Stage::Placed && now >= job.deadline;
        let slots = self.received.values().filter(|job| expired(job)).map(|job| (job.key.clone(), job.task));
        for (key, task) in slots.collect::<Vec<_>>() {
            self.on_task_end(now, &key, task, TaskEnd::Refused(Code::Expired));
        }
        self.received.retain(|_, job| job.state != Stage::Done || now - job.ended < keep);
        self.unacked_ends.retain(|_, late| now - late.since < keep);
        self.flush(now, owner, outbox);
    }

    /// Sends ends that are due to the owners of their records.
    pub fn flush(&mut self, now: Time, owner: impl Fn(&Key) -> Option<Holder>, outbox: &mut Outbox) {
        for ((key, task), late) in &mut self.unacked_ends {
            let due = late.last_sent.is_none_or(|at| now - at >= END_RETRY_INTERVAL);
            if let Some(owner) = owner(key).filter(|_| due) {
                late.last_sent = Some(now);
                let end = late.end.clone();
                outbox.send(owner, Body::ReportEnd { key: key.clone(), task: *task, assignment: late.assigned, end });
            }
        }
    }

    /// Sends every waiting end again soon: owners changed.
    pub fn resend_now(&mut self) {
        for late in self.unacked_ends.values_mut() {
            late.last_sent = None;
        }
    }

    fn send_assignment(&mut self, now: Time, serial: u64, outbox: &mut Outbox) {
        let Some(to) = self.sent.get(&serial).map(|sent| sent.to) else {
            return;
        };
        let floor = self.floor(to);
        if let Some(sent) = self.sent.get_mut(&serial) {
            sent.last_sent = now;
            let task = AssignedTask { time_left: sent.deadline - now, ..sent.task.clone() };
            outbox.send(to, Body::Assign { serial, floor, task });
        }
    }
}
