//! What the owner of a range does: records, followers' leases and the gate before each start.

use super::Records;
use super::held::Held;
use super::message::{AssignedTask, Body, OwnerReply, RecordRequest, ReplicatedStep, Step, TaskEnd};
use super::output::{Output, at};
use super::record::{Record, Slot, Watch};
use crate::ownership::{Holder, RangeId};
use indexmap::IndexMap;
use mangogw_model::{Code, HostId, Incarnation, Key, Outcome, TaskIndex, Time};
use std::sync::Arc;
use std::time::Duration;

/// After it a step that is not acknowledged is sent again.
const RESEND: Duration = Duration::from_millis(100);
/// Requests that wait for the end of one submission.
const WATCHES: usize = 256;
/// Refusals remembered for one entry host.
const REFUSALS: usize = 65_536;

/// What an entry host was told for good, so that a doubled request does not start what was refused.
#[derive(Debug, Default)]
pub(super) struct Session {
    life: Incarnation,
    floor: u64,
    refused: IndexMap<u64, Code>,
}

impl Session {
    /// Moves on to what the entry host says. False if the request is an old copy.
    fn admits(&mut self, incarnation: Incarnation, request_id: u64, floor: u64) -> bool {
        match incarnation.cmp(&self.life) {
            std::cmp::Ordering::Less => return false,
            std::cmp::Ordering::Equal => {}
            std::cmp::Ordering::Greater => *self = Self { life: incarnation, ..Self::default() },
        }
        if floor > self.floor {
            self.floor = floor;
            self.refused.retain(|request_id, _| *request_id >= floor);
        }
        request_id >= self.floor
    }

    /// Remembers a refusal. Where it can't, the request has to be asked again.
    fn refuse(&mut self, request_id: u64, code: Code) -> OwnerReply {
        match code.outcome() {
            Outcome::NotRun if self.refused.len() >= REFUSALS => return OwnerReply::Busy,
            Outcome::NotRun => {
                self.refused.insert(request_id, code);
            }
            _ => {}
        }
        OwnerReply::Refused(code)
    }
}

impl Records {
    /// A caller's request, from its entry host.
    pub(super) fn on_ask(
        &mut self,
        now: Time,
        from: Holder,
        request_id: u64,
        floor: u64,
        key: &Key,
        request: RecordRequest,
    ) {
        let submit = matches!(request, RecordRequest::Submit { .. });
        let session = self.sessions.entry(from.host).or_default();
        if !session.admits(from.incarnation, request_id, floor) {
            return;
        }
        if let Some(code) = session.refused.get(&request_id).filter(|_| submit) {
            return self.post.send(from, Body::Reply { request_id, reply: OwnerReply::Refused(*code) });
        }
        let id = self.view.locate(key).filter(|id| self.held.get(id).is_some_and(|held| held.acting(now, self.me)));
        let reply = match id {
            Some(id) => self.answer(now, from, request_id, id, key, request),
            None => Some(OwnerReply::Busy),
        };
        let reply = match reply {
            Some(OwnerReply::Refused(code)) if submit => {
                self.sessions.entry(from.host).or_default().refuse(request_id, code)
            }
            Some(reply) => reply,
            None => return,
        };
        self.post.send(from, Body::Reply { request_id, reply });
    }

    /// The owner's answer; none where it comes later.
    fn answer(
        &mut self,
        now: Time,
        from: Holder,
        request_id: u64,
        id: RangeId,
        key: &Key,
        request: RecordRequest,
    ) -> Option<OwnerReply> {
        let held = self.held.get_mut(&id)?;
        let blind = now < held.blind;
        let record = held.records.get(key);
        match (record, request) {
            (Some(record), RecordRequest::Submit { spec, .. }) if record.work.digest != spec.digest => {
                Some(OwnerReply::Refused(Code::KeyReused))
            }
            (Some(Record { verdict: Some(verdict), .. }), _) => Some(OwnerReply::Ended(Arc::clone(verdict))),
            (Some(_), RecordRequest::Submit { wait, .. } | RecordRequest::Read { wait }) => {
                self.watch(now, id, key, Watch { to: from, request: request_id, until: now + wait })
            }
            (Some(_), RecordRequest::Cancel) => {
                let reply = self.watch(now, id, key, Watch { to: from, request: request_id, until: Time::MAX });
                self.abort(now, id, key, Code::Cancelled, Code::CancelledRunning);
                reply
            }
            (None, RecordRequest::Submit { first_attempt, .. }) if blind && !(first_attempt && from == self.me) => {
                Some(OwnerReply::Refused(Code::HomeUnknown))
            }
            (None, RecordRequest::Submit { spec, .. }) if spec.tasks.is_empty() => {
                Some(OwnerReply::Refused(Code::BadRequest))
            }
            (None, RecordRequest::Submit { spec, time_left, wait, .. }) => {
                let record = Record::open(key, spec, now + time_left.min(self.settings.max_deadline));
                if self.record_bytes() + record.size > self.settings.max_bytes {
                    return Some(OwnerReply::Refused(Code::Overloaded));
                }
                self.held.get_mut(&id)?.insert(key.clone(), record);
                let reply = self.watch(now, id, key, Watch { to: from, request: request_id, until: now + wait });
                self.pump(now, id, key);
                reply
            }
            (None, _) if blind => Some(OwnerReply::Refused(Code::HomeUnknown)),
            (None, _) => Some(OwnerReply::Refused(Code::UnknownJob)),
        }
    }

    /// Remembers who waits. Nobody is told anything before every follower has the record.
    fn watch(&mut self, now: Time, id: RangeId, key: &Key, watch: Watch) -> Option<OwnerReply> {
        let record = self.held.get_mut(&id)?.records.get_mut(key)?;
        let total = record.total;
        let desk = record.desk.as_deref_mut()?;
        desk.watches.retain(|known| (known.to, known.request) != (watch.to, watch.request));
        match desk.recorded {
            true if watch.until <= now => return Some(OwnerReply::Running { total }),
            _ if desk.watches.len() >= WATCHES => return Some(OwnerReply::Busy),
            _ => desk.watches.push(watch),
        }
        desk.recorded.then_some(OwnerReply::Recorded { total })
    }

    /// Ends a submission for a reason from outside.
    fn abort(&mut self, now: Time, id: RangeId, key: &Key, clean: Code, unclean: Code) {
        if let Some(held) = self.held.get_mut(&id) {
            held.edit(key, |record| record.abort(clean, unclean));
        }
        self.pump(now, id, key);
    }

    /// Brings a record forward: steps to the followers, and tasks to the dispatcher.
    pub(super) fn pump(&mut self, now: Time, id: RangeId, key: &Key) {
        let me = self.me;
        let window = self.settings.window_tasks;
        while let Some(held) = self.held.get_mut(&id).filter(|held| held.leads(me)) {
            let epoch = held.epoch;
            let Some(step) = held.edit(key, |record| record.next_step(now, window)).flatten() else {
                break;
            };
            let serial = held.records[key].serial;
            if matches!(step, Step::Close { failed: Some(_), .. }) {
                self.post.push(Output::Stop { key: key.clone() });
            }
            for follower in held.followers() {
                let step = step.clone();
                self.post
                    .send(*follower, Body::Step(ReplicatedStep { range: id, epoch, key: key.clone(), serial, step }));
            }
            if !self.land(now, id, key) {
                break;
            }
        }
        self.give(now, id, key);
    }

    /// Hands out the tasks that may start.
    fn give(&mut self, now: Time, id: RangeId, key: &Key) {
        let me = self.me;
        let held = self.held.get_mut(&id).filter(|held| held.acting(now, me));
        let Some(record) = held.and_then(|held| held.records.get_mut(key)) else {
            return;
        };
        while let Some(tasks) = record.give() {
            let spec = Arc::clone(&record.work);
            self.post.push(Output::Run { key: key.clone(), spec, tasks, deadline: record.deadline });
        }
    }

    /// Carries out the step under way, once every follower has it.
    fn land(&mut self, now: Time, id: RangeId, key: &Key) -> bool {
        let Some(held) = self.held.get_mut(&id) else {
            return false;
        };
        let whole = |record: &Record| {
            let flight = record.desk.as_ref().and_then(|desk| desk.flight.as_ref());
            flight.is_some_and(|flight| held.followers().iter().all(|follower| flight.acked.contains(follower)))
        };
        if !held.records.get(key).is_some_and(whole) {
            return false;
        }
        let landed = held.edit(key, |record| {
            let watches = record.desk.as_mut().map(|desk| std::mem::take(&mut desk.watches)).unwrap_or_default();
            let assigned = record.assigned();
            (record.land(now, key), watches, assigned)
        });
        let Some((closed, watches, assigned)) = landed else {
            return false;
        };
        if closed {
            for serial in assigned {
                self.relay.settle(serial);
            }
            self.post.push(Output::Ended { key: key.clone() });
        }
        self.tell(now, id, key, watches);
        true
    }

    /// Tells those who wait how the record stands; who still waits is remembered.
    fn tell(&mut self, now: Time, id: RangeId, key: &Key, watches: Vec<Watch>) {
        let Some(record) = self.held.get_mut(&id).and_then(|held| held.records.get_mut(key)) else {
            return;
        };
        let total = record.total;
        for watch in watches {
            let reply = match (&record.verdict, record.desk.as_deref_mut()) {
                (Some(verdict), _) => OwnerReply::Ended(Arc::clone(verdict)),
                (None, Some(desk)) if watch.until > now => {
                    desk.watches.push(watch);
                    OwnerReply::Recorded { total }
                }
                (None, _) => OwnerReply::Running { total },
            };
            self.post.send(watch.to, Body::Reply { request_id: watch.request, reply });
        }
    }

    /// A follower has a step.
    pub(super) fn on_stepped(&mut self, now: Time, from: Holder, id: RangeId, epoch: u64, key: &Key, serial: u64) {
        let me = self.me;
        let held = self.held.get_mut(&id).filter(|held| held.leads(me) && held.epoch == epoch);
        let Some(record) = held.and_then(|held| held.records.get_mut(key)).filter(|record| record.serial == serial)
        else {
            return;
        };
        if let Some(flight) = record.desk.as_deref_mut().and_then(|desk| desk.flight.as_mut()) {
            if !flight.acked.contains(&from) {
                flight.acked.push(from);
            }
            self.land(now, id, key);
            self.pump(now, id, key);
        }
    }

    /// Asks the followers of every range that this host leads for leases, or of `only` one.
    pub(super) fn renew(&mut self, now: Time, only: Option<RangeId>) {
        let mut wanted: IndexMap<Holder, Vec<(RangeId, u64)>> = IndexMap::new();
        for (id, held) in
            self.held.iter().filter(|(id, held)| only.is_none_or(|only| only == **id) && held.leads(self.me))
        {
            for follower in held.followers() {
                wanted.entry(*follower).or_default().push((*id, held.epoch));
            }
        }
        for (follower, ranges) in wanted {
            self.post.send(follower, Body::Renew { sent: now, ranges });
        }
    }

    /// A follower granted leases.
    pub(super) fn on_renewed(&mut self, now: Time, from: Holder, sent: Time, ranges: Vec<(RangeId, u64)>) {
        let until = sent + self.settings.lease_duration;
        for (id, epoch) in ranges {
            let held = self.held.get_mut(&id).filter(|held| held.epoch == epoch && held.followers().contains(&from));
            if let Some(held) = held {
                let lease = held.leases.entry(from.host).or_default();
                *lease = until.max(*lease);
                self.wake(now, id);
            }
        }
    }

    /// Goes on with the range's records, if this host may act again.
    pub(super) fn wake(&mut self, now: Time, id: RangeId) {
        let me = self.me;
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let acting = held.acting(now, me);
        let awake = std::mem::replace(&mut held.live, acting);
        if acting && !awake {
            let keys: Vec<Key> = held.open.iter().cloned().collect();
            for key in keys {
                self.pump(now, id, &key);
            }
        }
    }

    /// Deadlines, lost steps and callers who waited long enough.
    pub(super) fn check(&mut self, now: Time, id: RangeId) {
        let me = self.me;
        let Some(held) = self.held.get_mut(&id).filter(|held| held.leads(me)) else {
            return;
        };
        let mut late = Vec::new();
        let mut due = Vec::new();
        let Held { open, records, holders, epoch, .. } = held;
        for key in open.iter() {
            let Some(record) = records.get_mut(key) else {
                continue;
            };
            if now >= record.deadline {
                late.push(key.clone());
            }
            let serial = record.serial;
            let Some(desk) = record.desk.as_deref_mut() else {
                continue;
            };
            if desk.recorded && desk.watches.iter().any(|watch| watch.until <= now) {
                due.push((key.clone(), std::mem::take(&mut desk.watches)));
            }
            if let Some(flight) = desk.flight.as_mut().filter(|flight| now - flight.sent >= RESEND) {
                flight.sent = now;
                for follower in holders.iter().skip(1).filter(|follower| !flight.acked.contains(follower)) {
                    let step = flight.step.clone();
                    self.post.send(
                        *follower,
                        Body::Step(ReplicatedStep { range: id, epoch: *epoch, key: key.clone(), serial, step }),
                    );
                }
            }
        }
        for key in late {
            self.abort(now, id, &key, Code::Expired, Code::DeadlinePassed);
        }
        for (key, watches) in due {
            self.tell(now, id, &key, watches);
        }
    }

    /// The gate for a task of a record that this host owns.
    pub(super) fn gate(&mut self, now: Time, key: &Key, task: TaskIndex, slot: Slot) -> bool {
        let me = self.me;
        let held = self.view.locate(key).and_then(|id| self.held.get_mut(&id));
        let Some(held) = held else {
            return false;
        };
        let acting = held.acting(now, me);
        match held.records.get_mut(key) {
            Some(record) if acting && now < record.deadline => record.start(at(task), slot),
            Some(record) => {
                record.hold(at(task));
                false
            }
            None => false,
        }
    }

    /// Assigns a task to another host.
    pub(super) fn place(&mut self, now: Time, key: &Key, task: TaskIndex, to: HostId) -> bool {
        let Some(to) = self.peers.get(&to).copied().filter(|to| *to != self.me) else {
            return false;
        };
        // The slot gets the number that the assignment is going to have.
        if !self.gate(now, key, task, Slot::Assigned(self.relay.upcoming())) {
            return false;
        }
        let record = self.view.locate(key).and_then(|id| self.held.get(&id)).and_then(|held| held.records.get(key));
        let Some(record) = record else {
            return false;
        };
        let placed = AssignedTask {
            key: key.clone(),
            index: task,
            entry: record.work.entry.clone(),
            task: record.work.tasks[task.0 as usize].clone(),
            time_left: record.deadline - now,
        };
        let deadline = record.deadline;
        self.relay.assign(now, to, placed, deadline, &mut self.post);
        true
    }

    /// The end of a task that this host started itself. False if it is not for this host to take.
    pub(super) fn take(&mut self, now: Time, key: &Key, task: TaskIndex, end: TaskEnd) -> bool {
        let me = self.me;
        let Some(id) = self.view.locate(key) else {
            return false;
        };
        let Some(held) = self.held.get_mut(&id).filter(|held| held.leads(me)) else {
            return false;
        };
        let slot = held.records.get(key).and_then(|record| record.slot(at(task)));
        match (slot, &end) {
            (Some(Slot::Started), _) | (Some(Slot::Given), TaskEnd::Refused(_)) => {
                let end = match end {
                    TaskEnd::Refused(code) if slot == Some(Slot::Started) => TaskEnd::Unknown(code),
                    end => end,
                };
                held.edit(key, |record| record.finish(at(task), end));
                self.pump(now, id, key);
                true
            }
            (Some(Slot::Unsure), _) if end.may_have_run() => {
                held.edit(key, |record| record.finish(at(task), end));
                self.pump(now, id, key);
                true
            }
            _ => true,
        }
    }

    /// The end of a task that another host started for this owner or for a former one.
    pub(super) fn on_late(
        &mut self,
        now: Time,
        from: Holder,
        key: &Key,
        task: TaskIndex,
        assignment: Option<(Holder, u64)>,
        end: TaskEnd,
    ) {
        let me = self.me;
        let Some(id) = self.view.locate(key).filter(|id| self.held.get(id).is_some_and(|held| held.leads(me))) else {
            return;
        };
        let slot = self.held[&id].records.get(key).and_then(|record| record.slot(at(task)));
        match (slot, assignment) {
            (Some(Slot::Assigned(serial)), Some((owner, number))) if owner == me && serial == number => {
                self.relay.settle(serial);
                if let Some(held) = self.held.get_mut(&id) {
                    held.edit(key, |record| record.finish(at(task), end));
                }
                self.pump(now, id, key);
            }
            (Some(Slot::Started), None) if from == me => {
                self.take(now, key, task, end);
            }
            // Only an end that says the task ran tells anything: a former owner may have placed it again after
            // another host said that it did not start it.
            (Some(Slot::Unsure), _) if end.may_have_run() => {
                if let Some(held) = self.held.get_mut(&id) {
                    held.edit(key, |record| record.finish(at(task), end));
                }
                self.pump(now, id, key);
            }
            _ => {}
        }
        if self.held[&id].records.get(key).is_none_or(|record| record.safe(at(task))) {
            let floor = self.relay.floor(from);
            self.post.send(from, Body::ReportAck { key: key.clone(), task, assignment, floor });
        }
    }
}
