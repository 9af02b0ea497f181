//! Placement of tasks on a host, their run in the dispatch core, and relays to other hosts.

use crate::effect::{Answer, Effect, Refused, Reply, TaskStart};
use crate::host::Host;
use crate::message::Message;
use crate::relay::{RelayMessage, RelayOutcome, RelayRequest, SentRequest};
use crate::tasks::{HostTask, Origin};
use mangogw_cluster::Output;
use mangogw_cluster::route::{Event, Load, Placement};
use mangogw_dispatch::{Action, AttemptReport, End, EntryKey, Refusal, RepeatPolicy, TaskKey, TaskSpec};
use mangogw_model::{AttemptId, Code, EntryName, HostId, Time};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of tasks that wait for load reports from other zones.
const MAX_DEFERRED_TASKS: usize = 10_000;
/// Maximum number of waiting tasks of an entry that are moved at once when another host has free capacity.
const MAX_MOVED_TASKS: usize = 64;
/// Weight of the latest run time in the moving average.
const LATEST_WEIGHT: f64 = 0.05;

impl Host {
    /// Sends a task to the host where it is expected to start first.
    pub(crate) fn place(&mut self, now: Time, host_task: HostTask) {
        match self.route.place(now, &host_task.entry) {
            Placement::Local | Placement::NoHost => self.admit(now, host_task),
            Placement::Relay(to) => self.relay_to(now, to, host_task),
            Placement::Wait if self.deferred.len() < MAX_DEFERRED_TASKS => self.deferred.push_back(host_task),
            Placement::Wait => {
                self.finish(now, &host_task, RelayOutcome::Refused { code: Code::QueueFull, retry_after: None });
            }
        }
    }

    /// Admits a task to the dispatch core of this host, or reports the refusal to its origin.
    pub(crate) fn admit(&mut self, now: Time, host_task: HostTask) {
        let Some(entry) = self.dispatch.entry_key(&host_task.entry) else {
            return self.finish(now, &host_task, RelayOutcome::Refused { code: Code::UnknownEntry, retry_after: None });
        };
        let may_repeat = host_task.repeatable && host_task.origin != Origin::Record;
        let repeat = if may_repeat { RepeatPolicy::Allowed } else { RepeatPolicy::Never };
        let job = if host_task.origin == Origin::Record { submission_hash(&host_task) } else { 0 };
        let spec = TaskSpec { entry, needs: host_task.needs, deadline: host_task.deadline, repeat, job };
        self.dirty.insert(entry);
        self.arrivals.entry(host_task.entry.clone()).or_default().count += 1;
        match self.dispatch.admit(now, spec) {
            Ok(task) => {
                if host_task.origin == Origin::Record {
                    self.record_tasks.entry(host_task.key.clone()).or_default().insert(task);
                }
                if let Origin::Peer { host, serial } = host_task.origin {
                    self.relay.accept(host, serial, task);
                }
                self.tasks.insert(task, host_task);
            }
            Err(Refusal { code, retry_after }) => {
                self.finish(now, &host_task, RelayOutcome::Refused { code, retry_after });
            }
        }
    }

    /// Reports the outcome of a task to its origin.
    pub(crate) fn finish(&mut self, now: Time, host_task: &HostTask, outcome: RelayOutcome) {
        match (host_task.origin, outcome) {
            (Origin::Caller(caller), RelayOutcome::Answer(answer)) => {
                self.reply(caller, Reply::Answer { key: host_task.key.clone(), answer });
            }
            (Origin::Caller(caller), RelayOutcome::Refused { code, retry_after }) => {
                let refused = Refused::from(Refusal { code, retry_after });
                self.refuse(caller, refused.with_key(host_task.key.clone()));
            }
            (Origin::Record, outcome) => self.end_record(now, host_task, outcome),
            (Origin::Peer { host, serial }, outcome) => {
                let message = self.relay.finish(now, host, serial, outcome);
                self.send_relay(host, message);
                if let Some(loads) = self.route.piggyback(&host_task.entry) {
                    self.send(host, Message::Route(loads));
                }
            }
        }
    }

    /// Processes the actions of the dispatch core. Returns true if there were none.
    pub(crate) fn process_dispatch_outputs(&mut self, now: Time) -> bool {
        let actions = self.dispatch.drain();
        let quiet = actions.is_empty();
        for action in actions {
            self.perform(now, action);
        }
        self.publish_loads(now);
        quiet
    }

    fn perform(&mut self, now: Time, action: Action) {
        match action {
            Action::Start { task, attempt, target } => {
                let address = self.dispatch.address(target);
                self.start(now, task, attempt, address);
            }
            Action::Stop { attempt, target } => {
                let address = self.dispatch.address(target);
                self.effects.extend(address.map(|address| Effect::Stop { attempt, address }));
            }
            Action::Throttle { attempt, target } => {
                let address = self.dispatch.address(target);
                self.effects.extend(address.map(|address| Effect::Throttle { attempt, address }));
            }
            Action::Checkpoint { attempt, target } => {
                let address = self.dispatch.address(target);
                self.effects.extend(address.map(|address| Effect::Checkpoint { attempt, address }));
            }
            Action::Resume { attempt, target } => {
                let address = self.dispatch.address(target);
                self.effects.extend(address.map(|address| Effect::Resume { attempt, address }));
            }
            Action::End { task, end } => self.on_task_ended(now, task, end),
        }
    }

    /// Sends a task to its target if the record of its submission still allows the start.
    fn start(&mut self, now: Time, task: TaskKey, attempt: AttemptId, address: Option<SocketAddr>) {
        let (Some(address), Some(host_task)) = (address, self.tasks.get(task)) else {
            return self.dispatch.report(now, attempt, AttemptReport::NotStarted);
        };
        if host_task.origin == Origin::Record && !self.records.try_start(now, &host_task.key, host_task.index) {
            self.remove_task(task);
            self.dispatch.report(now, attempt, AttemptReport::NotStarted);
            return self.dispatch.cancel(now, task);
        }
        let host_task = &mut self.tasks[task];
        host_task.started = Some(now);
        let start = TaskStart {
            task_key: task,
            attempt,
            address,
            entry: host_task.entry.clone(),
            key: host_task.key.clone(),
            index: host_task.index,
            body: host_task.body.clone(),
            deadline: host_task.deadline,
            max_answer: host_task.max_answer,
        };
        self.dirty.extend(self.dispatch.entry_key(&start.entry));
        self.effects.push(Effect::Start(start));
    }

    /// Stores the answer of an attempt until the dispatch core has decided whether it is used.
    pub(crate) fn keep_answer(&mut self, now: Time, task: TaskKey, answer: Answer) {
        let Some(host_task) = self.tasks.get_mut(task) else { return };
        host_task.answer = Some(answer);
        if let Some(started) = host_task.started {
            let mean =
                self.mean_runtimes.entry(host_task.entry.clone()).or_insert_with(|| (now - started).as_secs_f64());
            *mean += ((now - started).as_secs_f64() - *mean) * LATEST_WEIGHT;
        }
    }

    fn on_task_ended(&mut self, now: Time, task: TaskKey, end: End) {
        let Some(mut host_task) = self.remove_task(task) else { return };
        self.dirty.extend(self.dispatch.entry_key(&host_task.entry));
        let answer = host_task.answer.take();
        let outcome = match (end, answer) {
            (End::Answered(_), Some(answer)) => RelayOutcome::Answer(answer),
            (End::Answered(_), None) => RelayOutcome::Refused { code: Code::Internal, retry_after: None },
            (End::Refused(Refusal { code, retry_after }), _) => RelayOutcome::Refused { code, retry_after },
        };
        match self.pending_moves.swap_remove(&task) {
            Some(to) if outcome == (RelayOutcome::Refused { code: Code::Cancelled, retry_after: None }) => {
                self.relay_to(now, to, host_task);
            }
            _ => self.finish(now, &host_task, outcome),
        }
    }

    /// Removes a task from the tables. `None` if it is not there.
    pub(crate) fn remove_task(&mut self, task: TaskKey) -> Option<HostTask> {
        let host_task = self.tasks.remove(task)?;
        if host_task.origin == Origin::Record {
            let tasks = self.record_tasks.get_mut(&host_task.key);
            let empty = tasks.is_some_and(|tasks| {
                tasks.swap_remove(&task);
                tasks.is_empty()
            });
            if empty {
                self.record_tasks.swap_remove(&host_task.key);
            }
        }
        Some(host_task)
    }

    /// Relays a task to another host, or admits it here if that host is unknown or the task was relayed already.
    pub(crate) fn relay_to(&mut self, now: Time, to: HostId, host_task: HostTask) {
        let incarnation = self.members.host(to).map(|host| host.incarnation);
        match (incarnation, host_task.origin) {
            (Some(incarnation), Origin::Caller(_)) => {
                let request = RelayRequest {
                    incarnation,
                    entry: host_task.entry.clone(),
                    key: host_task.key.clone(),
                    time_left: host_task.deadline - now,
                    repeatable: host_task.repeatable,
                    body: host_task.body.clone(),
                };
                let sent = SentRequest { to, request, deadline: host_task.deadline, next_resend: now, task: host_task };
                let message = self.relay.send(now, sent);
                self.send_relay(to, message);
            }
            (Some(_), Origin::Record) => {
                // A task that cannot be assigned now is offered again by the records.
                self.records.assign(now, &host_task.key, host_task.index, to);
            }
            (None, _) | (_, Origin::Peer { .. }) => self.admit(now, host_task),
        }
    }

    /// Handles a message about a relayed request.
    pub(crate) fn on_relay(&mut self, now: Time, from: HostId, message: RelayMessage) {
        match message {
            RelayMessage::Run { serial, request } => self.on_relay_request(now, from, serial, *request),
            RelayMessage::Accepted { serial } => self.relay.confirm(now, from, serial),
            RelayMessage::Answer { serial, answer } => {
                if let Some(sent) = self.relay.end(from, serial) {
                    self.finish(now, &sent.task, RelayOutcome::Answer(answer));
                }
            }
            RelayMessage::Refused { serial, code, retry_after } => {
                if let Some(sent) = self.relay.end(from, serial) {
                    self.finish(now, &sent.task, RelayOutcome::Refused { code, retry_after });
                }
            }
            RelayMessage::Cancel { serial } => {
                if let Some(task) = self.relay.task(from, serial) {
                    self.dispatch.cancel(now, task);
                }
            }
        }
    }

    fn on_relay_request(&mut self, now: Time, from: HostId, serial: u64, request: RelayRequest) {
        if request.incarnation != self.settings.incarnation || self.relay.is_stale(from, serial) {
            return;
        }
        if let Some(message) = self.relay.status(from, serial) {
            return self.send_relay(from, message);
        }
        let max_answer = self
            .dispatch
            .entry_key(&request.entry)
            .map(|entry| self.dispatch.entry_config(entry).1.limits.answer_bytes);
        let host_task = HostTask {
            origin: Origin::Peer { host: from, serial },
            entry: request.entry,
            key: request.key,
            index: mangogw_model::TaskIndex(0),
            needs: mangogw_model::Needs::default(),
            body: request.body,
            deadline: now + request.time_left,
            repeatable: request.repeatable,
            max_answer: max_answer.unwrap_or_default(),
            started: None,
            answer: None,
        };
        self.admit(now, host_task);
    }

    /// Resends and expires relayed requests, and places the tasks that waited for load reports from other zones.
    pub(crate) fn tick_relay(&mut self, now: Time) {
        for (to, message) in self.relay.due_resends(now) {
            self.send_relay(to, message);
        }
        for (serial, sent) in self.relay.take_expired(now) {
            self.send_relay(sent.to, RelayMessage::Cancel { serial });
            self.finish(now, &sent.task, RelayOutcome::Refused { code: Code::DeadlinePassed, retry_after: None });
        }
        self.relay.evict_ended(now);
        for host_task in std::mem::take(&mut self.deferred) {
            match host_task.deadline <= now {
                true => self.finish(now, &host_task, RelayOutcome::Refused { code: Code::Expired, retry_after: None }),
                false => self.place(now, host_task),
            }
        }
    }

    /// Places again, or ends as unknown, the requests that were relayed to incarnations of hosts that no longer exist.
    pub(crate) fn reassign_orphans(&mut self, now: Time) {
        let member_slots = &self.member_slots;
        let is_gone =
            |host, incarnation| !member_slots.iter().any(|slot| slot.id == host && slot.incarnation == incarnation);
        for sent in self.relay.take_orphans(is_gone) {
            match sent.task.repeatable && sent.deadline > now {
                true => self.place(now, sent.task),
                false => {
                    self.finish(now, &sent.task, RelayOutcome::Refused { code: Code::PeerLost, retry_after: None });
                }
            }
        }
    }

    /// Processes the outputs of the router. Returns true if there were none.
    pub(crate) fn process_route_outputs(&mut self, now: Time) -> bool {
        let outputs = self.route.drain();
        let quiet = outputs.is_empty();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(to, Message::Route(message)),
                Output::Event(Event::RoomFound(entry)) => self.offload(now, &entry),
            }
        }
        quiet
    }

    /// Moves waiting tasks of an entry to hosts with free capacity.
    fn offload(&mut self, now: Time, entry: &EntryName) {
        let fits = |host_task: &HostTask| {
            host_task.started.is_none() && host_task.entry == *entry && host_task.origin.is_movable()
        };
        let waiting: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, host_task)| fits(host_task))
            .map(|(task, _)| task)
            .take(MAX_MOVED_TASKS)
            .collect();
        for task in waiting {
            match self.route.place(now, entry) {
                Placement::Relay(to) => {
                    self.pending_moves.insert(task, to);
                    self.dispatch.cancel(now, task);
                }
                _ => return,
            }
        }
    }

    /// Moves the waiting tasks of all entries to other hosts, as far as these have free capacity.
    pub(crate) fn move_waiting(&mut self, now: Time) {
        let entries: Vec<EntryName> = self.mean_runtimes.keys().cloned().collect();
        for entry in entries {
            self.offload(now, &entry);
        }
    }

    /// Reports to the router the load of this host for the entries that changed.
    fn publish_loads(&mut self, now: Time) {
        for entry in std::mem::take(&mut self.dirty) {
            self.publish_load(now, entry);
        }
    }

    fn publish_load(&mut self, now: Time, entry: EntryKey) {
        let Some(view) = self.dispatch.entry_view(now, entry) else { return };
        let name = self.dispatch.entry_config(entry).0.clone();
        let mean = self.mean_runtimes.get(&name).copied().unwrap_or_default();
        let run_us = Duration::from_secs_f64(mean).as_micros() as u32;
        let load = Load { slots: view.slots, free: view.free_slots, queued: view.waiting, run_us, next_us: 0 };
        self.route.set_load(now, &name, load);
    }
}

impl Origin {
    /// Returns true if the task may be moved to another host; a relayed task is not relayed again.
    const fn is_movable(self) -> bool {
        !matches!(self, Self::Peer { .. })
    }
}

/// Returns a number that all tasks of a submission share, so that they spread over targets: the 64-bit FNV-1a hash of
/// its key, with the lowest bit set since 0 marks a task without a submission.
fn submission_hash(host_task: &HostTask) -> u64 {
    let bytes = host_task.key.as_str().bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum: u64, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)) | 1
}
