//! Tasks on their way: the choice of a host, the dispatch core, and relays.

use crate::effect::{Answer, Effect, Refused, Reply, Start};
use crate::host::Host;
use crate::message::Message;
use crate::relay::{Order, Outcome, RelayMessage, Sent};
use crate::units::{Origin, Unit};
use mangogw_cluster::Output;
use mangogw_cluster::route::{Event, Load, Placement};
use mangogw_dispatch::{Action, AttemptReport, End, EntryKey, Refusal, RepeatPolicy, TaskKey, TaskSpec};
use mangogw_model::{AttemptId, Code, EntryName, HostId, Time};
use std::net::SocketAddr;
use std::time::Duration;

/// Tasks that wait for word from other zones.
const MAX_PARKED: usize = 10_000;
/// Waiting tasks that are moved when another host has room.
const MAX_MOVED: usize = 64;
/// The weight of the newest run time in the mean.
const FRESH_WEIGHT: f64 = 0.05;

impl Host {
    /// Sends a task where it is expected to start first.
    pub(crate) fn place(&mut self, now: Time, unit: Unit) {
        match self.route.place(now, &unit.entry) {
            Placement::Local | Placement::NoHost => self.admit(now, unit),
            Placement::Relay(to) => self.relay_to(now, to, unit),
            Placement::Wait if self.parked.len() < MAX_PARKED => self.parked.push_back(unit),
            Placement::Wait => self.end(now, &unit, Outcome::Refused { code: Code::QueueFull, wait: None }),
        }
    }

    /// Hands a task to the dispatch core of this host.
    pub(crate) fn admit(&mut self, now: Time, unit: Unit) {
        let Some(entry) = self.dispatch.entry_key(&unit.entry) else {
            return self.end(now, &unit, Outcome::Refused { code: Code::UnknownEntry, wait: None });
        };
        let again = unit.repeat && unit.origin != Origin::Record;
        let repeat = if again { RepeatPolicy::Allowed } else { RepeatPolicy::Never };
        let job = if unit.origin == Origin::Record { group_of(&unit) } else { 0 };
        let work = TaskSpec { entry, needs: unit.needs, deadline: unit.deadline, repeat, job };
        self.dirty.insert(entry);
        self.arrivals.entry(unit.entry.clone()).or_default().count += 1;
        match self.dispatch.admit(now, work) {
            Ok(task) => {
                if unit.origin == Origin::Record {
                    self.live.entry(unit.key.clone()).or_default().insert(task);
                }
                if let Origin::Peer { host, serial } = unit.origin {
                    self.relay.take(host, serial, task);
                }
                self.units.insert(task, unit);
            }
            Err(Refusal { code, wait }) => self.end(now, &unit, Outcome::Refused { code, wait }),
        }
    }

    /// Tells whoever waits for a task how it ended.
    pub(crate) fn end(&mut self, now: Time, unit: &Unit, outcome: Outcome) {
        match (unit.origin, outcome) {
            (Origin::Caller(caller), Outcome::Answer(answer)) => {
                self.reply(caller, Reply::Answer { key: unit.key.clone(), answer });
            }
            (Origin::Caller(caller), Outcome::Refused { code, wait }) => {
                let refused = Refused::from(Refusal { code, wait });
                self.refuse(caller, refused.of(unit.key.clone()));
            }
            (Origin::Record, outcome) => self.end_record(now, unit, outcome),
            (Origin::Peer { host, serial }, outcome) => {
                let message = self.relay.finish(now, host, serial, outcome);
                self.send_relay(host, message);
                if let Some(loads) = self.route.piggyback(&unit.entry) {
                    self.send(host, Message::Route(loads));
                }
            }
        }
    }

    /// Carries out what the dispatch core decided. True if there was nothing.
    pub(crate) fn settle_dispatch(&mut self, now: Time) -> bool {
        let actions = self.dispatch.drain();
        let quiet = actions.is_empty();
        for action in actions {
            self.act(now, action);
        }
        self.publish_loads(now);
        quiet
    }

    fn act(&mut self, now: Time, action: Action) {
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
            Action::End { task, end } => self.ended(now, task, end),
        }
    }

    /// Lets a start leave, if the record of its submission still allows it.
    fn start(&mut self, now: Time, task: TaskKey, attempt: AttemptId, address: Option<SocketAddr>) {
        let (Some(address), Some(unit)) = (address, self.units.get(task)) else {
            return self.dispatch.report(now, attempt, AttemptReport::NotStarted);
        };
        if unit.origin == Origin::Record && !self.records.try_start(now, &unit.key, unit.index) {
            self.forget(task);
            self.dispatch.report(now, attempt, AttemptReport::NotStarted);
            return self.dispatch.cancel(now, task);
        }
        let unit = &mut self.units[task];
        unit.started = Some(now);
        let start = Start {
            unit: task,
            attempt,
            address,
            entry: unit.entry.clone(),
            key: unit.key.clone(),
            task: unit.index,
            body: unit.body.clone(),
            deadline: unit.deadline,
            limit: unit.limit,
        };
        self.dirty.extend(self.dispatch.entry_key(&start.entry));
        self.effects.push(Effect::Start(start));
    }

    /// Keeps the answer of an attempt until the core has said whether it counts.
    pub(crate) fn keep_answer(&mut self, now: Time, task: TaskKey, answer: Answer) {
        let Some(unit) = self.units.get_mut(task) else { return };
        unit.answer = Some(answer);
        if let Some(started) = unit.started {
            let mean = self.runs.entry(unit.entry.clone()).or_insert_with(|| (now - started).as_secs_f64());
            *mean += ((now - started).as_secs_f64() - *mean) * FRESH_WEIGHT;
        }
    }

    fn ended(&mut self, now: Time, task: TaskKey, end: End) {
        let Some(mut unit) = self.forget(task) else { return };
        self.dirty.extend(self.dispatch.entry_key(&unit.entry));
        let answer = unit.answer.take();
        let outcome = match (end, answer) {
            (End::Answered(_), Some(answer)) => Outcome::Answer(answer),
            (End::Answered(_), None) => Outcome::Refused { code: Code::Internal, wait: None },
            (End::Refused(Refusal { code, wait }), _) => Outcome::Refused { code, wait },
        };
        match self.moving.swap_remove(&task) {
            Some(to) if outcome == (Outcome::Refused { code: Code::Cancelled, wait: None }) => {
                self.relay_to(now, to, unit);
            }
            _ => self.end(now, &unit, outcome),
        }
    }

    /// Takes a task out of the tables.
    pub(crate) fn forget(&mut self, task: TaskKey) -> Option<Unit> {
        let unit = self.units.remove(task)?;
        if unit.origin == Origin::Record {
            let tasks = self.live.get_mut(&unit.key);
            let empty = tasks.is_some_and(|tasks| {
                tasks.swap_remove(&task);
                tasks.is_empty()
            });
            if empty {
                self.live.swap_remove(&unit.key);
            }
        }
        Some(unit)
    }

    /// Sends a task to another host.
    pub(crate) fn relay_to(&mut self, now: Time, to: HostId, unit: Unit) {
        let life = self.members.host(to).map(|host| host.incarnation);
        match (life, unit.origin) {
            (Some(life), Origin::Caller(_)) => {
                let order = Order {
                    life,
                    entry: unit.entry.clone(),
                    key: unit.key.clone(),
                    left: unit.deadline - now,
                    repeat: unit.repeat,
                    body: unit.body.clone(),
                };
                let sent = Sent { to, order, deadline: unit.deadline, next: now, owner: unit };
                let message = self.relay.send(now, sent);
                self.send_relay(to, message);
            }
            (Some(_), Origin::Record) => {
                // A record that may not be assigned now comes again by itself.
                self.records.assign(now, &unit.key, unit.index, to);
            }
            (None, _) | (_, Origin::Peer { .. }) => self.admit(now, unit),
        }
    }

    /// Takes a message about a relayed request in.
    pub(crate) fn on_relay(&mut self, now: Time, from: HostId, message: RelayMessage) {
        match message {
            RelayMessage::Run { serial, order } => self.take_order(now, from, serial, *order),
            RelayMessage::Taken { serial } => self.relay.confirm(now, from, serial),
            RelayMessage::Answer { serial, answer } => {
                if let Some(sent) = self.relay.end(from, serial) {
                    self.end(now, &sent.owner, Outcome::Answer(answer));
                }
            }
            RelayMessage::Refused { serial, code, wait } => {
                if let Some(sent) = self.relay.end(from, serial) {
                    self.end(now, &sent.owner, Outcome::Refused { code, wait });
                }
            }
            RelayMessage::Cancel { serial } => {
                if let Some(task) = self.relay.task(from, serial) {
                    self.dispatch.cancel(now, task);
                }
            }
        }
    }

    fn take_order(&mut self, now: Time, from: HostId, serial: u64, order: Order) {
        if order.life != self.settings.incarnation || self.relay.is_old(from, serial) {
            return;
        }
        if let Some(message) = self.relay.known(from, serial) {
            return self.send_relay(from, message);
        }
        let limit =
            self.dispatch.entry_key(&order.entry).map(|entry| self.dispatch.entry_config(entry).1.limits.answer_bytes);
        let unit = Unit {
            origin: Origin::Peer { host: from, serial },
            entry: order.entry,
            key: order.key,
            index: mangogw_model::TaskIndex(0),
            needs: mangogw_model::Needs::default(),
            body: order.body,
            deadline: now + order.left,
            repeat: order.repeat,
            limit: limit.unwrap_or_default(),
            started: None,
            answer: None,
        };
        self.admit(now, unit);
    }

    /// Follows relayed requests, and places what waited for word from other zones.
    pub(crate) fn tick_relay(&mut self, now: Time) {
        for (to, message) in self.relay.due(now) {
            self.send_relay(to, message);
        }
        for (serial, sent) in self.relay.expired(now) {
            self.send_relay(sent.to, RelayMessage::Cancel { serial });
            self.end(now, &sent.owner, Outcome::Refused { code: Code::DeadlinePassed, wait: None });
        }
        self.relay.forget(now);
        for unit in std::mem::take(&mut self.parked) {
            match unit.deadline <= now {
                true => self.end(now, &unit, Outcome::Refused { code: Code::Expired, wait: None }),
                false => self.place(now, unit),
            }
        }
    }

    /// Ends or repeats what was relayed to hosts that are gone.
    pub(crate) fn adopt_orphans(&mut self, now: Time) {
        let seats = &self.seats;
        let gone = |host, life| !seats.iter().any(|seat| seat.id == host && seat.incarnation == life);
        for sent in self.relay.orphans(gone) {
            match sent.owner.repeat && sent.deadline > now {
                true => self.place(now, sent.owner),
                false => self.end(now, &sent.owner, Outcome::Refused { code: Code::PeerLost, wait: None }),
            }
        }
    }

    /// Carries out what the choice of hosts wants. True if there was nothing.
    pub(crate) fn settle_route(&mut self, now: Time) -> bool {
        let outputs = self.route.drain();
        let quiet = outputs.is_empty();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(to, Message::Route(message)),
                Output::Event(Event::RoomFound(entry)) => self.spill(now, &entry),
            }
        }
        quiet
    }

    /// Moves waiting tasks of an entry to hosts that have room.
    fn spill(&mut self, now: Time, entry: &EntryName) {
        let fits = |unit: &Unit| unit.started.is_none() && unit.entry == *entry && unit.origin.moves();
        let waiting: Vec<TaskKey> =
            self.units.iter().filter(|(_, unit)| fits(unit)).map(|(task, _)| task).take(MAX_MOVED).collect();
        for task in waiting {
            match self.route.place(now, entry) {
                Placement::Relay(to) => {
                    self.moving.insert(task, to);
                    self.dispatch.cancel(now, task);
                }
                _ => return,
            }
        }
    }

    /// Moves what waits here to other hosts, as far as they have room.
    pub(crate) fn move_waiting(&mut self, now: Time) {
        let entries: Vec<EntryName> = self.runs.keys().cloned().collect();
        for entry in entries {
            self.spill(now, &entry);
        }
    }

    /// Tells the choice of hosts how busy this host is for entries that changed.
    fn publish_loads(&mut self, now: Time) {
        for entry in std::mem::take(&mut self.dirty) {
            self.publish_load(now, entry);
        }
    }

    fn publish_load(&mut self, now: Time, entry: EntryKey) {
        let Some(view) = self.dispatch.entry_view(now, entry) else { return };
        let name = self.dispatch.entry_config(entry).0.clone();
        let run = self.runs.get(&name).copied().unwrap_or_default();
        let run_us = Duration::from_secs_f64(run).as_micros() as u32;
        let load = Load { slots: view.slots, free: view.free_slots, queued: view.waiting, run_us, next_us: 0 };
        self.route.set_load(now, &name, load);
    }
}

impl Origin {
    /// True if the task may still move to another host.
    const fn moves(self) -> bool {
        !matches!(self, Self::Peer { .. })
    }
}

/// A number that all tasks of a submission share, so that they are spread over targets.
fn group_of(unit: &Unit) -> u64 {
    let bytes = unit.key.as_str().bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum: u64, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)) | 1
}
