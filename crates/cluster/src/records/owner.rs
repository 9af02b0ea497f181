//! Owner of a range: replicates steps to the followers, renews leases, and checks each task before its start.

use super::Records;
use super::message::{AssignedTask, Body, OwnerReply, RecordRequest, ReplicatedStep, Step, TaskEnd};
use super::output::{Output, task_number};
use super::range_replica::RangeReplica;
use super::record::{Record, SlotState, Waiter};
use crate::ownership::{Holder, RangeId};
use indexmap::IndexMap;
use mangogw_model::{Code, HostId, Incarnation, Key, Outcome, TaskIndex, Time};
use std::sync::Arc;
use std::time::Duration;

/// Time after which an unacknowledged step is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of requests that wait for the end of one submission.
const MAX_WAITERS: usize = 256;
/// Maximum number of refusals remembered for one entry host.
const MAX_REFUSALS: usize = 65_536;

/// Final refusals sent to one entry host, so that a duplicated request does not start what was refused.
#[derive(Debug, Default)]
pub(super) struct Session {
    incarnation: Incarnation,
    floor: u64,
    refused: IndexMap<u64, Code>,
}

impl Session {
    /// Updates the incarnation and the floor of the entry host. Returns false if the request is an outdated duplicate.
    fn accepts(&mut self, incarnation: Incarnation, request_id: u64, floor: u64) -> bool {
        match incarnation.cmp(&self.incarnation) {
            std::cmp::Ordering::Less => return false,
            std::cmp::Ordering::Equal => {}
            std::cmp::Ordering::Greater => *self = Self { incarnation, ..Self::default() },
        }
        if floor > self.floor {
            self.floor = floor;
            self.refused.retain(|request_id, _| *request_id >= floor);
        }
        request_id >= self.floor
    }

    /// Records a refusal. Returns [`OwnerReply::Busy`] if there is no room for it, so that the request is sent again.
    fn refuse(&mut self, request_id: u64, code: Code) -> OwnerReply {
        match code.outcome() {
            Outcome::NotRun if self.refused.len() >= MAX_REFUSALS => return OwnerReply::Busy,
            Outcome::NotRun => {
                self.refused.insert(request_id, code);
            }
            _ => {}
        }
        OwnerReply::Refused(code)
    }
}

impl Records {
    /// Handles a caller's request, forwarded by its entry host.
    pub(super) fn on_request(
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
        if !session.accepts(from.incarnation, request_id, floor) {
            return;
        }
        if let Some(code) = session.refused.get(&request_id).filter(|_| submit) {
            return self.outbox.send(from, Body::Reply { request_id, reply: OwnerReply::Refused(*code) });
        }
        let id = self
            .table
            .locate(key)
            .filter(|id| self.replicas.get(id).is_some_and(|replica| replica.may_act(now, self.me)));
        let reply = match id {
            Some(id) => self.handle_request(now, from, request_id, id, key, request),
            None => Some(OwnerReply::Busy),
        };
        let reply = match reply {
            Some(OwnerReply::Refused(code)) if submit => {
                self.sessions.entry(from.host).or_default().refuse(request_id, code)
            }
            Some(reply) => reply,
            None => return,
        };
        self.outbox.send(from, Body::Reply { request_id, reply });
    }

    /// Returns the owner's reply; `None` if the reply follows later.
    fn handle_request(
        &mut self,
        now: Time,
        from: Holder,
        request_id: u64,
        id: RangeId,
        key: &Key,
        request: RecordRequest,
    ) -> Option<OwnerReply> {
        let replica = self.replicas.get_mut(&id)?;
        let records_missing = now < replica.unseen_until;
        let record = replica.records.get(key);
        match (record, request) {
            (Some(record), RecordRequest::Submit { spec, .. }) if record.spec.digest != spec.digest => {
                Some(OwnerReply::Refused(Code::KeyReused))
            }
            (Some(Record { submission_end: Some(result), .. }), _) => Some(OwnerReply::Ended(Arc::clone(result))),
            (Some(_), RecordRequest::Submit { wait, .. } | RecordRequest::Read { wait }) => {
                self.add_waiter(now, id, key, Waiter { to: from, request_id, until: now + wait })
            }
            (Some(_), RecordRequest::Cancel) => {
                let reply = self.add_waiter(now, id, key, Waiter { to: from, request_id, until: Time::MAX });
                self.abort(now, id, key, Code::Cancelled, Code::CancelledRunning);
                reply
            }
            (None, RecordRequest::Submit { first_attempt, .. })
                if records_missing && !(first_attempt && from == self.me) =>
            {
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
                self.replicas.get_mut(&id)?.insert(key.clone(), record);
                let reply = self.add_waiter(now, id, key, Waiter { to: from, request_id, until: now + wait });
                self.advance_record(now, id, key);
                reply
            }
            (None, _) if records_missing => Some(OwnerReply::Refused(Code::HomeUnknown)),
            (None, _) => Some(OwnerReply::Refused(Code::UnknownJob)),
        }
    }

    /// Adds a waiter. Waiters get no reply before every follower has the record.
    fn add_waiter(&mut self, now: Time, id: RangeId, key: &Key, waiter: Waiter) -> Option<OwnerReply> {
        let record = self.replicas.get_mut(&id)?.records.get_mut(key)?;
        let total = record.total;
        let owner_state = record.owner_state.as_deref_mut()?;
        owner_state.waiters.retain(|known| (known.to, known.request_id) != (waiter.to, waiter.request_id));
        match owner_state.recorded {
            true if waiter.until <= now => return Some(OwnerReply::Running { total }),
            _ if owner_state.waiters.len() >= MAX_WAITERS => return Some(OwnerReply::Busy),
            _ => owner_state.waiters.push(waiter),
        }
        owner_state.recorded.then_some(OwnerReply::Recorded { total })
    }

    /// Ends a submission with `clean` if nothing ran, else with `unclean`.
    fn abort(&mut self, now: Time, id: RangeId, key: &Key, clean: Code, unclean: Code) {
        if let Some(replica) = self.replicas.get_mut(&id) {
            replica.update(key, |record| record.abort(clean, unclean));
        }
        self.advance_record(now, id, key);
    }

    /// Advances a record: sends steps to the followers and tasks to the dispatcher.
    pub(super) fn advance_record(&mut self, now: Time, id: RangeId, key: &Key) {
        let me = self.me;
        let window = self.settings.window_tasks;
        while let Some(replica) = self.replicas.get_mut(&id).filter(|replica| replica.is_leading(me)) {
            let epoch = replica.epoch;
            let Some(step) = replica.update(key, |record| record.next_step(now, window)).flatten() else {
                break;
            };
            let serial = replica.records[key].serial;
            if matches!(step, Step::Close { failed: Some(_), .. }) {
                self.outbox.push(Output::Stop { key: key.clone() });
            }
            for follower in replica.followers() {
                let step = step.clone();
                self.outbox
                    .send(*follower, Body::Step(ReplicatedStep { range: id, epoch, key: key.clone(), serial, step }));
            }
            if !self.complete_step(now, id, key) {
                break;
            }
        }
        self.dispatch_tasks(now, id, key);
    }

    /// Outputs the tasks that may start.
    fn dispatch_tasks(&mut self, now: Time, id: RangeId, key: &Key) {
        let me = self.me;
        let replica = self.replicas.get_mut(&id).filter(|replica| replica.may_act(now, me));
        let Some(record) = replica.and_then(|replica| replica.records.get_mut(key)) else {
            return;
        };
        while let Some(tasks) = record.take_idle() {
            let spec = Arc::clone(&record.spec);
            self.outbox.push(Output::Run { key: key.clone(), spec, tasks, deadline: record.deadline });
        }
    }

    /// Completes the step in flight if every follower has acknowledged it. Returns true if it did.
    fn complete_step(&mut self, now: Time, id: RangeId, key: &Key) -> bool {
        let Some(replica) = self.replicas.get_mut(&id) else {
            return false;
        };
        let is_acked = |record: &Record| {
            let inflight = record.owner_state.as_ref().and_then(|owner_state| owner_state.inflight.as_ref());
            inflight
                .is_some_and(|inflight| replica.followers().iter().all(|follower| inflight.acked.contains(follower)))
        };
        if !replica.records.get(key).is_some_and(is_acked) {
            return false;
        }
        let completed = replica.update(key, |record| {
            let waiters = record
                .owner_state
                .as_mut()
                .map(|owner_state| std::mem::take(&mut owner_state.waiters))
                .unwrap_or_default();
            let assigned = record.assigned();
            (record.complete_step(now, key), waiters, assigned)
        });
        let Some((closed, waiters, assigned)) = completed else {
            return false;
        };
        if closed {
            for serial in assigned {
                self.relay.remove_sent(serial);
            }
            self.outbox.push(Output::Ended { key: key.clone() });
        }
        self.notify_waiters(now, id, key, waiters);
        true
    }

    /// Sends the state of the record to the waiters, and keeps those whose wait is not over.
    fn notify_waiters(&mut self, now: Time, id: RangeId, key: &Key, waiters: Vec<Waiter>) {
        let Some(record) = self.replicas.get_mut(&id).and_then(|replica| replica.records.get_mut(key)) else {
            return;
        };
        let total = record.total;
        for waiter in waiters {
            let reply = match (&record.submission_end, record.owner_state.as_deref_mut()) {
                (Some(result), _) => OwnerReply::Ended(Arc::clone(result)),
                (None, Some(owner_state)) if waiter.until > now => {
                    owner_state.waiters.push(waiter);
                    OwnerReply::Recorded { total }
                }
                (None, _) => OwnerReply::Running { total },
            };
            self.outbox.send(waiter.to, Body::Reply { request_id: waiter.request_id, reply });
        }
    }

    /// Handles a follower's acknowledgement of a step.
    pub(super) fn on_step_ack(&mut self, now: Time, from: Holder, id: RangeId, epoch: u64, key: &Key, serial: u64) {
        let me = self.me;
        let replica = self.replicas.get_mut(&id).filter(|replica| replica.is_leading(me) && replica.epoch == epoch);
        let Some(record) =
            replica.and_then(|replica| replica.records.get_mut(key)).filter(|record| record.serial == serial)
        else {
            return;
        };
        if let Some(inflight) = record.owner_state.as_deref_mut().and_then(|owner_state| owner_state.inflight.as_mut())
        {
            if !inflight.acked.contains(&from) {
                inflight.acked.push(from);
            }
            self.complete_step(now, id, key);
            self.advance_record(now, id, key);
        }
    }

    /// Requests leases from the followers of every range that this host owns, or of the range `only`.
    pub(super) fn renew(&mut self, now: Time, only: Option<RangeId>) {
        let mut wanted: IndexMap<Holder, Vec<(RangeId, u64)>> = IndexMap::new();
        for (id, replica) in self
            .replicas
            .iter()
            .filter(|(id, replica)| only.is_none_or(|only| only == **id) && replica.is_leading(self.me))
        {
            for follower in replica.followers() {
                wanted.entry(*follower).or_default().push((*id, replica.epoch));
            }
        }
        for (follower, ranges) in wanted {
            self.outbox.send(follower, Body::Renew { sent: now, ranges });
        }
    }

    /// Handles the leases that a follower granted. They count from the time when the request was sent.
    pub(super) fn on_renewed(&mut self, now: Time, from: Holder, sent: Time, ranges: Vec<(RangeId, u64)>) {
        let until = sent + self.settings.lease_duration;
        for (id, epoch) in ranges {
            let replica = self
                .replicas
                .get_mut(&id)
                .filter(|replica| replica.epoch == epoch && replica.followers().contains(&from));
            if let Some(replica) = replica {
                let lease = replica.leases.entry(from.host).or_default();
                *lease = until.max(*lease);
                self.resume_range(now, id);
            }
        }
    }

    /// Resumes the range's records if this host may act again.
    pub(super) fn resume_range(&mut self, now: Time, id: RangeId) {
        let me = self.me;
        let Some(replica) = self.replicas.get_mut(&id) else {
            return;
        };
        let acting = replica.may_act(now, me);
        let was_acting = std::mem::replace(&mut replica.was_acting, acting);
        if acting && !was_acting {
            let keys: Vec<Key> = replica.running.iter().cloned().collect();
            for key in keys {
                self.advance_record(now, id, &key);
            }
        }
    }

    /// Ends submissions past their deadline, resends unacknowledged steps, and replies to waiters whose wait is over.
    pub(super) fn check_timeouts(&mut self, now: Time, id: RangeId) {
        let me = self.me;
        let Some(replica) = self.replicas.get_mut(&id).filter(|replica| replica.is_leading(me)) else {
            return;
        };
        let mut late = Vec::new();
        let mut due = Vec::new();
        let RangeReplica { running, records, holders, epoch, .. } = replica;
        for key in running.iter() {
            let Some(record) = records.get_mut(key) else {
                continue;
            };
            if now >= record.deadline {
                late.push(key.clone());
            }
            let serial = record.serial;
            let Some(owner_state) = record.owner_state.as_deref_mut() else {
                continue;
            };
            if owner_state.recorded && owner_state.waiters.iter().any(|waiter| waiter.until <= now) {
                due.push((key.clone(), std::mem::take(&mut owner_state.waiters)));
            }
            if let Some(inflight) =
                owner_state.inflight.as_mut().filter(|inflight| now - inflight.sent >= RESEND_INTERVAL)
            {
                inflight.sent = now;
                for follower in holders.iter().skip(1).filter(|follower| !inflight.acked.contains(follower)) {
                    let step = inflight.step.clone();
                    self.outbox.send(
                        *follower,
                        Body::Step(ReplicatedStep { range: id, epoch: *epoch, key: key.clone(), serial, step }),
                    );
                }
            }
        }
        for key in late {
            self.abort(now, id, &key, Code::Expired, Code::DeadlinePassed);
        }
        for (key, waiters) in due {
            self.notify_waiters(now, id, &key, waiters);
        }
    }

    /// Returns true if a task of a record that this host owns may start now, and marks it as `slot`.
    pub(super) fn claim_start(&mut self, now: Time, key: &Key, task: TaskIndex, slot: SlotState) -> bool {
        let me = self.me;
        let replica = self.table.locate(key).and_then(|id| self.replicas.get_mut(&id));
        let Some(replica) = replica else {
            return false;
        };
        let acting = replica.may_act(now, me);
        match replica.records.get_mut(key) {
            Some(record) if acting && now < record.deadline => record.start(task_number(task), slot),
            Some(record) => {
                record.return_task(task_number(task));
                false
            }
            None => false,
        }
    }

    /// Assigns a task to another host. Returns false if the host is unknown or the task may not start now.
    pub(super) fn assign_task(&mut self, now: Time, key: &Key, task: TaskIndex, to: HostId) -> bool {
        let Some(to) = self.peers.get(&to).copied().filter(|to| *to != self.me) else {
            return false;
        };
        // The slot gets the serial that the assignment is about to have.
        if !self.claim_start(now, key, task, SlotState::Assigned(self.relay.next_serial())) {
            return false;
        }
        let record =
            self.table.locate(key).and_then(|id| self.replicas.get(&id)).and_then(|replica| replica.records.get(key));
        let Some(record) = record else {
            return false;
        };
        let assigned = AssignedTask {
            key: key.clone(),
            index: task,
            entry: record.spec.entry.clone(),
            task: record.spec.tasks[task.0 as usize].clone(),
            time_left: record.deadline - now,
        };
        let deadline = record.deadline;
        self.relay.assign(now, to, assigned, deadline, &mut self.outbox);
        true
    }

    /// Handles the end of a task that this host started. Returns false if this host does not own the record.
    pub(super) fn on_local_end(&mut self, now: Time, key: &Key, task: TaskIndex, end: TaskEnd) -> bool {
        let me = self.me;
        let Some(id) = self.table.locate(key) else {
            return false;
        };
        let Some(replica) = self.replicas.get_mut(&id).filter(|replica| replica.is_leading(me)) else {
            return false;
        };
        let slot = replica.records.get(key).and_then(|record| record.slot(task_number(task)));
        match (slot, &end) {
            (Some(SlotState::Started), _) | (Some(SlotState::Dispatched), TaskEnd::Refused(_)) => {
                let end = match end {
                    TaskEnd::Refused(code) if slot == Some(SlotState::Started) => TaskEnd::Unknown(code),
                    end => end,
                };
                replica.update(key, |record| record.finish(task_number(task), end));
                self.advance_record(now, id, key);
                true
            }
            (Some(SlotState::Uncertain), _) if end.may_have_run() => {
                replica.update(key, |record| record.finish(task_number(task), end));
                self.advance_record(now, id, key);
                true
            }
            _ => true,
        }
    }

    /// Handles the end of a task that another host started for this owner or for a former one.
    pub(super) fn on_reported_end(
        &mut self,
        now: Time,
        from: Holder,
        key: &Key,
        task: TaskIndex,
        assignment: Option<(Holder, u64)>,
        end: TaskEnd,
    ) {
        let me = self.me;
        let Some(id) =
            self.table.locate(key).filter(|id| self.replicas.get(id).is_some_and(|replica| replica.is_leading(me)))
        else {
            return;
        };
        let slot = self.replicas[&id].records.get(key).and_then(|record| record.slot(task_number(task)));
        match (slot, assignment) {
            (Some(SlotState::Assigned(serial)), Some((owner, number))) if owner == me && serial == number => {
                self.relay.remove_sent(serial);
                if let Some(replica) = self.replicas.get_mut(&id) {
                    replica.update(key, |record| record.finish(task_number(task), end));
                }
                self.advance_record(now, id, key);
            }
            (Some(SlotState::Started), None) if from == me => {
                self.on_local_end(now, key, task, end);
            }
            // Only an end after a run is conclusive: a former owner may have placed the task again after another host
            // reported that it did not start it.
            (Some(SlotState::Uncertain), _) if end.may_have_run() => {
                if let Some(replica) = self.replicas.get_mut(&id) {
                    replica.update(key, |record| record.finish(task_number(task), end));
                }
                self.advance_record(now, id, key);
            }
            _ => {}
        }
        if self.replicas[&id].records.get(key).is_none_or(|record| record.is_replicated(task_number(task))) {
            let floor = self.relay.floor(from);
            self.outbox.send(from, Body::ReportAck { key: key.clone(), task, assignment, floor });
        }
    }
}
