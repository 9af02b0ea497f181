//! What a follower and a prior holder do: keep steps, grant leases, seal, hand over.

use super::Records;
use super::held::Held;
use super::message::{Body, Page, ReplicatedStep, Step};
use super::record::Record;
use super::takeover::{Incoming, Takeover};
use crate::ownership::{Holder, KeyRange, Ownership, RangeId};
use mangogw_model::{Incarnation, Time};

impl Records {
    /// The next step of a record, from the owner.
    pub(super) fn on_step(&mut self, now: Time, from: Holder, change: ReplicatedStep) {
        let ReplicatedStep { range, epoch, key, serial, step } = change;
        let Some(held) = self.followed(from, range, epoch) else {
            return;
        };
        let known = held.records.contains_key(&key);
        let taken = match step {
            Step::Open { spec, time_left, window_end } if !known && serial == 1 => {
                let mut record = Record::blank(&key, spec, now + time_left);
                record.serial = serial;
                record.below = window_end;
                held.insert(key.clone(), record);
                true
            }
            step => held.edit(&key, |record| record.apply(now, &key, serial, step)).unwrap_or(false),
        };
        if taken {
            self.post.send(from, Body::StepAck { range, epoch, key, serial });
        }
    }

    /// The owner asks for leases.
    pub(super) fn on_renew(&mut self, now: Time, from: Holder, sent: Time, ranges: Vec<(RangeId, u64)>) {
        let until = now + self.settings.word();
        let mut granted = Vec::new();
        for (id, epoch) in ranges {
            if let Some(held) = self.followed(from, id, epoch) {
                held.granted = until.max(held.granted);
                granted.push((id, epoch));
            }
        }
        self.post.send(from, Body::RenewAck { sent, ranges: granted });
    }

    /// The range, if this host follows `from` in this epoch and promised its help to no later one.
    fn followed(&mut self, from: Holder, id: RangeId, epoch: u64) -> Option<&mut Held> {
        let me = self.me;
        let held = self.held.get_mut(&id)?;
        let follows = held.epoch == epoch && held.owned(from) && held.followers().contains(&me);
        (follows && held.sealed <= epoch).then_some(held)
    }

    /// A new owner wants the records of the last ready epoch.
    pub(super) fn on_seal(&mut self, now: Time, from: Holder, id: RangeId, epoch: u64, cursor: u32) {
        let me = self.me;
        let Some(held) = self.held.get_mut(&id).filter(|held| held.sealed <= epoch && held.epoch < epoch) else {
            return;
        };
        held.sealed = epoch;
        let exact = held.owned(me) && held.ready;
        if exact || now >= held.granted {
            let page = held.page(now, cursor, exact, self.settings.page_bytes);
            self.post.send(from, Body::SealReply { range: id, epoch, page });
        }
    }

    /// A message for an earlier life of this host.
    pub(super) fn on_stray(&mut self, from: Holder, incarnation: Incarnation, body: &Body) {
        match body {
            Body::Seal { range, epoch, .. } if incarnation < self.me.incarnation => {
                self.post.send(from, Body::RecordsLost { range: *range, epoch: *epoch, incarnation });
            }
            _ => {}
        }
    }

    /// The records that an epoch starts from, from its owner.
    pub(super) fn on_sync(&mut self, now: Time, from: Holder, id: RangeId, epoch: u64, holders: &[Holder], page: Page) {
        let current = self.view.range(id).map_or(0, |range| range.epoch);
        let (sealed, have) = self.held.get(&id).map_or((0, 0), |held| (held.sealed, held.epoch));
        if epoch < current || epoch < sealed || have > epoch || !holders.contains(&self.me) {
            return;
        }
        if have == epoch {
            return self.post.send(from, Body::SyncAck { range: id, epoch, next: None });
        }
        let incoming = self.incoming.entry(id).or_insert_with(|| Incoming::new(epoch, holders));
        if incoming.epoch != epoch {
            *incoming = Incoming::new(epoch, holders);
        }
        let next = incoming.take(now, page);
        if next.is_none()
            && let Some(incoming) = self.incoming.swap_remove(&id)
        {
            self.held.insert(id, incoming.draft);
        }
        self.post.send(from, Body::SyncAck { range: id, epoch, next });
    }

    /// Takes a newer table in: seals what was replaced, lets go of what is not held here, starts takeovers.
    pub(super) fn follow(&mut self, now: Time, view: &Ownership) {
        let me = self.me;
        self.view.clone_from(view);
        let mut ready = Vec::new();
        for (id, range) in view.ranges() {
            if let Some(held) = self.held.get_mut(&id) {
                held.sealed = held.sealed.max(range.epoch);
                if range.ready && held.epoch == range.epoch && !held.ready {
                    held.ready = true;
                    ready.push(id);
                }
            }
            self.release(id, range);
            let taking = range.owner() == Some(me) && !range.ready;
            match self.takeovers.get_mut(&id) {
                Some(takeover) if taking && takeover.epoch == range.epoch => {
                    if range.records_lost {
                        takeover.forget();
                    }
                }
                _ if taking => {
                    let mut takeover = Takeover::new(range);
                    for alive in self.peers.values() {
                        takeover.alive(*alive);
                    }
                    self.takeovers.insert(id, takeover);
                }
                _ => {
                    self.takeovers.swap_remove(&id);
                }
            }
        }
        for id in ready {
            self.activate(now, id);
        }
    }

    /// Lets go of a range that this host no longer holds. Records of a later epoch than the table's stay: their owner
    /// has heard of it first.
    fn release(&mut self, id: RangeId, range: &KeyRange) {
        if range.includes(self.me) {
            return;
        }
        if self.held.get(&id).is_some_and(|held| held.epoch <= range.epoch) {
            self.held.swap_remove(&id);
        }
        if self.incoming.get(&id).is_some_and(|incoming| incoming.epoch <= range.epoch) {
            self.incoming.swap_remove(&id);
        }
    }

    /// Starts to act in an epoch that is ready, or to follow in it.
    fn activate(&mut self, now: Time, id: RangeId) {
        let me = self.me;
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        held.live = false;
        held.leases.clear();
        held.granted = Time::ZERO;
        if held.owned(me) {
            for record in held.records.values_mut() {
                record.activate();
            }
            self.relay.hurry();
            self.renew(now, Some(id));
            self.wake(now, id);
        }
    }
}
