//! Tasks that one host starts for another, and task ends that the owner of the record has not acknowledged.

use super::message::{AssignedTask, Body, TaskEnd};
use super::output::{Outbox, Output};
use crate::ownership::Holder;
use indexmap::IndexMap;
use mangogw_model::{Code, HostId, Incarnation, Key, TaskIndex, Time};
use std::time::Duration;

/// Time after which an unacknowledged assignment is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an unacknowledged task end is sent again.
const END_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Assignments sent and received, and unacknowledged task ends.
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

/// Assignments below `serial`, and those of earlier incarnations, are ignored.
#[derive(Debug, Clone, Copy, Default)]
struct Floor {
    incarnation: Incarnation,
    serial: u64,
}

/// A task end that the owner of the record has not acknowledged.
#[derive(Debug)]
struct UnackedEnd {
    assigned: Option<(Holder, u64)>,
    end: TaskEnd,
    since: Time,
    last_sent: Option<Time>,
}

impl Relay {
    /// Assigns a task to another host. Returns the serial, which goes into the slot of the task.
    pub fn assign(&mut self, now: Time, to: Holder, task: AssignedTask, deadline: Time, outbox: &mut Outbox) -> u64 {
        self.serial += 1;
        let serial = self.serial;
        self.sent.insert(serial, SentAssignment { to, task, deadline, last_sent: now, acked: false });
        self.send_assignment(now, serial, outbox);
        serial
    }

    /// Returns the serial of the next assignment.
    pub const fn next_serial(&self) -> u64 {
        self.serial + 1
    }

    /// Returns the lowest serial of assignments to `to` that are not settled.
    pub fn floor(&self, to: Holder) -> u64 {
        let open = self.sent.iter().filter(|(_, sent)| sent.to == to).map(|(serial, _)| *serial).min();
        open.unwrap_or(self.serial + 1)
    }

    /// Removes an assignment whose task or submission has ended.
    pub fn remove_sent(&mut self, serial: u64) {
        self.sent.swap_remove(&serial);
    }

    /// Marks an assignment as acknowledged and drops the body of its task.
    pub fn on_assign_ack(&mut self, from: Holder, serial: u64) {
        if let Some(sent) = self.sent.get_mut(&serial).filter(|sent| sent.to == from) {
            sent.acked = true;
            sent.task.task = super::message::Task::default();
        }
    }

    /// Returns the assignments to earlier incarnations of `alive`, whose ends will never be known.
    pub fn orphans(&mut self, alive: Holder) -> Vec<(Key, TaskIndex, u64)> {
        let lost = |sent: &SentAssignment| sent.to.host == alive.host && sent.to.incarnation < alive.incarnation;
        let orphans = self.sent.iter().filter(|(_, sent)| lost(sent));
        orphans.map(|(serial, sent)| (sent.task.key.clone(), sent.task.index, *serial)).collect()
    }

    /// Accepts an assignment, once, and acknowledges it.
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
            let received = ReceivedAssignment {
                key: slot.0.clone(),
                task: slot.1,
                deadline,
                state: Stage::Placed,
                ended: Time::ZERO,
            };
            self.received.insert((from, serial), received);
            self.active.insert(slot, (from, serial));
            outbox.push(Output::Place { task, deadline });
        }
        outbox.send(from, Body::AssignAck { serial });
    }

    /// Raises the floor of `from`: its assignments with lower serials are settled.
    pub fn raise_floor(&mut self, from: Holder, floor: u64) {
        let known = self.floors.entry(from.host).or_default();
        match from.incarnation.cmp(&known.incarnation) {
            std::cmp::Ordering::Less => return,
            std::cmp::Ordering::Equal => known.serial = known.serial.max(floor),
            std::cmp::Ordering::Greater => *known = Floor { incarnation: from.incarnation, serial: floor },
        }
        let floor = known.serial;
        self.received
            .retain(|(owner, serial), received| *owner != from || *serial >= floor || received.state != Stage::Done);
    }

    /// Returns true if another host assigned this task to this host and it has not ended.
    pub fn is_active(&self, key: &Key, task: TaskIndex) -> bool {
        self.active.contains_key(&(key.clone(), task))
    }

    /// Returns true if an assigned task may start now, once for a task.
    pub fn start(&mut self, now: Time, key: &Key, task: TaskIndex) -> bool {
        let received = self.active.get(&(key.clone(), task)).and_then(|at| self.received.get_mut(at));
        match received {
            Some(received) if received.state == Stage::Placed && now < received.deadline => {
                received.state = Stage::Started;
                true
            }
            _ => false,
        }
    }

    /// Handles the end of an assigned task and queues it for the owner of the record.
    pub fn on_task_end(&mut self, now: Time, key: &Key, task: TaskIndex, end: TaskEnd) {
        let Some(assigned) = self.active.get(&(key.clone(), task)).copied() else {
            return;
        };
        let Some(received) = self.received.get_mut(&assigned) else {
            return;
        };
        // A started task can't become refused by abandoning it; only the target's report that it did not start makes it
        // free.
        let end = match end {
            TaskEnd::Refused(code) if received.state == Stage::Started => TaskEnd::Unknown(code),
            end => end,
        };
        received.state = Stage::Done;
        received.ended = now;
        self.active.swap_remove(&(key.clone(), task));
        self.queue_end(now, key, task, Some(assigned), end);
    }

    /// Keeps a task end until the owner of the record has acknowledged it.
    pub fn queue_end(&mut self, now: Time, key: &Key, task: TaskIndex, assigned: Option<(Holder, u64)>, end: TaskEnd) {
        let unacked = UnackedEnd { assigned, end, since: now, last_sent: None };
        match assigned {
            Some(_) => {
                self.unacked_ends.insert((key.clone(), task), unacked);
            }
            None => {
                self.unacked_ends.entry((key.clone(), task)).or_insert(unacked);
            }
        }
    }

    /// Removes a task end that the owner has acknowledged.
    pub fn on_report_ack(&mut self, key: &Key, task: TaskIndex, assigned: Option<(Holder, u64)>) {
        let slot = (key.clone(), task);
        if self.unacked_ends.get(&slot).is_some_and(|unacked| unacked.assigned == assigned) {
            self.unacked_ends.swap_remove(&slot);
        }
    }

    /// Returns the number of unacknowledged task ends.
    pub fn unacked_count(&self) -> usize {
        self.unacked_ends.len()
    }

    /// Sends again what was not acknowledged. `owner` finds the owner of a key.
    pub fn tick(&mut self, now: Time, keep: Duration, owner: impl Fn(&Key) -> Option<Holder>, outbox: &mut Outbox) {
        // A task past its deadline is settled: its owner ends it, and the other host no longer starts it.
        self.sent.retain(|_, sent| now < sent.deadline);
        let due = |sent: &&SentAssignment| !sent.acked && now - sent.last_sent >= RETRY_INTERVAL;
        let serials: Vec<u64> = self.sent.iter().filter(|(_, sent)| due(sent)).map(|(serial, _)| *serial).collect();
        for serial in serials {
            self.send_assignment(now, serial, outbox);
        }
        let expired = |received: &ReceivedAssignment| received.state == Stage::Placed && now >= received.deadline;
        let slots = self
            .received
            .values()
            .filter(|received| expired(received))
            .map(|received| (received.key.clone(), received.task));
        for (key, task) in slots.collect::<Vec<_>>() {
            self.on_task_end(now, &key, task, TaskEnd::Refused(Code::Expired));
        }
        self.received.retain(|_, received| received.state != Stage::Done || now - received.ended < keep);
        self.unacked_ends.retain(|_, unacked| now - unacked.since < keep);
        self.flush(now, owner, outbox);
    }

    /// Sends due task ends to the owners of their records.
    pub fn flush(&mut self, now: Time, owner: impl Fn(&Key) -> Option<Holder>, outbox: &mut Outbox) {
        for ((key, task), unacked) in &mut self.unacked_ends {
            let due = unacked.last_sent.is_none_or(|at| now - at >= END_RETRY_INTERVAL);
            if let Some(owner) = owner(key).filter(|_| due) {
                unacked.last_sent = Some(now);
                let end = unacked.end.clone();
                outbox
                    .send(owner, Body::ReportEnd { key: key.clone(), task: *task, assignment: unacked.assigned, end });
            }
        }
    }

    /// Makes every unacknowledged task end due at once, because owners changed.
    pub fn resend_now(&mut self) {
        for unacked in self.unacked_ends.values_mut() {
            unacked.last_sent = None;
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
