//! Tasks that one host starts for another, and ends that look for the owner of their record.

use super::message::{AssignedTask, Body, TaskEnd};
use super::output::{Output, Post};
use crate::ownership::Holder;
use indexmap::IndexMap;
use mangogw_model::{Code, HostId, Incarnation, Key, TaskIndex, Time};
use std::time::Duration;

/// After it an assignment that nobody acknowledged is sent again.
const RETRY: Duration = Duration::from_millis(100);
/// After it an end that is not recorded is sent again.
const LATE_RETRY: Duration = Duration::from_secs(1);

/// Both sides of relayed tasks, and the ends on their way.
#[derive(Debug, Default)]
pub(super) struct Relay {
    serial: u64,
    sent: IndexMap<u64, Sent>,
    jobs: IndexMap<(Holder, u64), Job>,
    active: IndexMap<(Key, TaskIndex), (Holder, u64)>,
    floors: IndexMap<HostId, Floor>,
    late: IndexMap<(Key, TaskIndex), Late>,
}

/// An assignment by this host.
#[derive(Debug)]
struct Sent {
    to: Holder,
    placed: AssignedTask,
    deadline: Time,
    at: Time,
    taken: bool,
}

/// An assignment to this host.
#[derive(Debug)]
struct Job {
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
    life: Incarnation,
    serial: u64,
}

/// An end that its record's owner does not have yet.
#[derive(Debug)]
struct Late {
    assigned: Option<(Holder, u64)>,
    end: TaskEnd,
    since: Time,
    at: Option<Time>,
}

impl Relay {
    /// Assigns a task to another host. The number goes into its slot.
    pub fn assign(&mut self, now: Time, to: Holder, placed: AssignedTask, deadline: Time, post: &mut Post) -> u64 {
        self.serial += 1;
        let serial = self.serial;
        self.sent.insert(serial, Sent { to, placed, deadline, at: now, taken: false });
        self.post(now, serial, post);
        serial
    }

    /// The number of the next assignment.
    pub const fn upcoming(&self) -> u64 {
        self.serial + 1
    }

    /// The lowest assignment to `to` that is not settled.
    pub fn floor(&self, to: Holder) -> u64 {
        let open = self.sent.iter().filter(|(_, sent)| sent.to == to).map(|(serial, _)| *serial).min();
        open.unwrap_or(self.serial + 1)
    }

    /// The assignment is settled: it ended, or its record did.
    pub fn settle(&mut self, serial: u64) {
        self.sent.swap_remove(&serial);
    }

    /// The other host acknowledged it.
    pub fn taken(&mut self, from: Holder, serial: u64) {
        if let Some(sent) = self.sent.get_mut(&serial).filter(|sent| sent.to == from) {
            sent.taken = true;
            sent.placed.task = super::message::Task::default();
        }
    }

    /// Assignments to earlier lives of `alive`: nothing more will be known of them.
    pub fn orphans(&mut self, alive: Holder) -> Vec<(Key, TaskIndex, u64)> {
        let gone = |sent: &Sent| sent.to.host == alive.host && sent.to.incarnation < alive.incarnation;
        let orphans = self.sent.iter().filter(|(_, sent)| gone(sent));
        orphans.map(|(serial, sent)| (sent.placed.key.clone(), sent.placed.index, *serial)).collect()
    }

    /// Takes an assignment in, once.
    pub fn take(&mut self, now: Time, from: Holder, serial: u64, floor: u64, task: AssignedTask, post: &mut Post) {
        self.raise(from, floor);
        let known = self.floors.get(&from.host).copied().unwrap_or_default();
        if from.incarnation < known.life || serial < known.serial {
            return;
        }
        let slot = (task.key.clone(), task.index);
        if !self.jobs.contains_key(&(from, serial)) {
            if self.active.contains_key(&slot) {
                return;
            }
            let deadline = now + task.time_left;
            let job = Job { key: slot.0.clone(), task: slot.1, deadline, state: Stage::Placed, ended: Time::ZERO };
            self.jobs.insert((from, serial), job);
            self.active.insert(slot, (from, serial));
            post.push(Output::Place { task, deadline });
        }
        post.send(from, Body::AssignAck { serial });
    }

    /// Everything of `from` below `floor` is settled.
    pub fn raise(&mut self, from: Holder, floor: u64) {
        let known = self.floors.entry(from.host).or_default();
        match from.incarnation.cmp(&known.life) {
            std::cmp::Ordering::Less => return,
            std::cmp::Ordering::Equal => known.serial = known.serial.max(floor),
            std::cmp::Ordering::Greater => *known = Floor { life: from.incarnation, serial: floor },
        }
        let floor = known.serial;
        self.jobs.retain(|(owner, serial), job| *owner != from || *serial >= floor || job.state != Stage::Done);
    }

    /// Whether another host assigned this task here and it has not ended.
    pub fn has(&self, key: &Key, task: TaskIndex) -> bool {
        self.active.contains_key(&(key.clone(), task))
    }

    /// The last gate before the start of an assigned task.
    pub fn start(&mut self, now: Time, key: &Key, task: TaskIndex) -> bool {
        let job = self.active.get(&(key.clone(), task)).and_then(|at| self.jobs.get_mut(at));
        match job {
            Some(job) if job.state == Stage::Placed && now < job.deadline => {
                job.state = Stage::Started;
                true
            }
            _ => false,
        }
    }

    /// Takes in the end of an assigned task. It goes to the owner of the record.
    pub fn end(&mut self, now: Time, key: &Key, task: TaskIndex, end: TaskEnd) {
        let Some(assigned) = self.active.get(&(key.clone(), task)).copied() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&assigned) else {
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
        self.late(now, key, task, Some(assigned), end);
    }

    /// Holds an end until the owner of the record has it.
    pub fn late(&mut self, now: Time, key: &Key, task: TaskIndex, assigned: Option<(Holder, u64)>, end: TaskEnd) {
        let late = Late { assigned, end, since: now, at: None };
        match assigned {
            Some(_) => {
                self.late.insert((key.clone(), task), late);
            }
            None => {
                self.late.entry((key.clone(), task)).or_insert(late);
            }
        }
    }

    /// The owner has the end.
    pub fn kept(&mut self, key: &Key, task: TaskIndex, assigned: Option<(Holder, u64)>) {
        let slot = (key.clone(), task);
        if self.late.get(&slot).is_some_and(|late| late.assigned == assigned) {
            self.late.swap_remove(&slot);
        }
    }

    /// The number of ends that look for their owner.
    pub fn waiting(&self) -> usize {
        self.late.len()
    }

    /// Sends again what was not acknowledged. `owner` finds the owner of a key.
    pub fn tick(&mut self, now: Time, keep: Duration, owner: impl Fn(&Key) -> Option<Holder>, post: &mut Post) {
        // A task whose deadline passed is settled: its owner says so, and the other host starts it no more.
        self.sent.retain(|_, sent| now < sent.deadline);
        let due = |sent: &&Sent| !sent.taken && now - sent.at >= RETRY;
        let serials: Vec<u64> = self.sent.iter().filter(|(_, sent)| due(sent)).map(|(serial, _)| *serial).collect();
        for serial in serials {
            self.post(now, serial, post);
        }
        let expired = |job: &Job| job.state == Stage::Placed && now >= job.deadline;
        let slots = self.jobs.values().filter(|job| expired(job)).map(|job| (job.key.clone(), job.task));
        for (key, task) in slots.collect::<Vec<_>>() {
            self.end(now, &key, task, TaskEnd::Refused(Code::Expired));
        }
        self.jobs.retain(|_, job| job.state != Stage::Done || now - job.ended < keep);
        self.late.retain(|_, late| now - late.since < keep);
        self.flush(now, owner, post);
    }

    /// Sends ends that are due to the owners of their records.
    pub fn flush(&mut self, now: Time, owner: impl Fn(&Key) -> Option<Holder>, post: &mut Post) {
        for ((key, task), late) in &mut self.late {
            let due = late.at.is_none_or(|at| now - at >= LATE_RETRY);
            if let Some(owner) = owner(key).filter(|_| due) {
                late.at = Some(now);
                let end = late.end.clone();
                post.send(owner, Body::ReportEnd { key: key.clone(), task: *task, assignment: late.assigned, end });
            }
        }
    }

    /// Sends every waiting end again soon: owners changed.
    pub fn hurry(&mut self) {
        for late in self.late.values_mut() {
            late.at = None;
        }
    }

    fn post(&mut self, now: Time, serial: u64, post: &mut Post) {
        let Some(to) = self.sent.get(&serial).map(|sent| sent.to) else {
            return;
        };
        let floor = self.floor(to);
        if let Some(sent) = self.sent.get_mut(&serial) {
            sent.at = now;
            let task = AssignedTask { time_left: sent.deadline - now, ..sent.placed.clone() };
            post.send(to, Body::Assign { serial, floor, task });
        }
    }
}
