//! Followers and prior holders: apply steps, grant leases, seal epochs, and send records to a new owner.

use super::Records;
use super::message::{Body, Page, ReplicatedStep, Step};
use super::range_replica::RangeReplica;
use super::record::Record;
use super::takeover::{IncomingCopy, Takeover};
use crate::ownership::{Holder, KeyRange, Ownership, RangeId};
use mangogw_model::{Incarnation, Time};

impl Records {
    /// Applies the next step of a record and acknowledges it to the owner.
    pub(super) fn on_step(&mut self, now: Time, from: Holder, change: ReplicatedStep) {
        let ReplicatedStep { range, epoch, key, serial, step } = change;
        let Some(replica) = self.followed_range(from, range, epoch) else {
            return;
        };
        let known = replica.records.contains_key(&key);
        let taken = match step {
            Step::Open { spec, time_left, window_end } if !known && serial == 1 => {
                let mut record = Record::without_owner(&key, spec, now + time_left);
                record.serial = serial;
                record.window_end = window_end;
                replica.insert(key.clone(), record);
                true
            }
            step => replica.update(&key, |record| record.apply(now, &key, serial, step)).unwrap_or(false),
        };
        if taken {
            self.outbox.send(from, Body::StepAck { range, epoch, key, serial });
        }
    }

    /// Grants leases to the owner of ranges that this host follows.
    pub(super) fn on_renew(&mut self, now: Time, from: Holder, sent: Time, ranges: Vec<(RangeId, u64)>) {
        let until = now + self.settings.follower_lease();
        let mut granted = Vec::new();
        for (id, epoch) in ranges {
            if let Some(replica) = self.followed_range(from, id, epoch) {
                replica.owner_until = until.max(replica.owner_until);
                granted.push((id, epoch));
            }
        }
        self.outbox.send(from, Body::RenewAck { sent, ranges: granted });
    }

    /// Returns the range if this host follows `from` in this epoch and has not sealed it for a later one.
    fn followed_range(&mut self, from: Holder, id: RangeId, epoch: u64) -> Option<&mut RangeReplica> {
        let me = self.me;
        let replica = self.replicas.get_mut(&id)?;
        let follows = replica.epoch == epoch && replica.is_owner(from) && replica.followers().contains(&me);
        (follows && replica.sealed <= epoch).then_some(replica)
    }

    /// Seals the range for a new owner, and sends it records of the last ready epoch once the former owner may not act.
    pub(super) fn on_seal(&mut self, now: Time, from: Holder, id: RangeId, epoch: u64, cursor: u32) {
        let me = self.me;
        let Some(replica) =
            self.replicas.get_mut(&id).filter(|replica| replica.sealed <= epoch && replica.epoch < epoch)
        else {
            return;
        };
        replica.sealed = epoch;
        let exact = replica.is_owner(me) && replica.ready;
        if exact || now >= replica.owner_until {
            let page = replica.page(now, cursor, exact, self.settings.page_bytes);
            self.outbox.send(from, Body::SealReply { range: id, epoch, page });
        }
    }

    /// Handles a message to an earlier incarnation of this host: a new owner learns that the records are lost.
    pub(super) fn on_stale_message(&mut self, from: Holder, incarnation: Incarnation, body: &Body) {
        match body {
            Body::Seal { range, epoch, .. } if incarnation < self.me.incarnation => {
                self.outbox.send(from, Body::RecordsLost { range: *range, epoch: *epoch, incarnation });
            }
            _ => {}
        }
    }

    /// Stores the records that an epoch starts with, sent by its owner.
    pub(super) fn on_sync(&mut self, now: Time, from: Holder, id: RangeId, epoch: u64, holders: &[Holder], page: Page) {
        let current = self.table.range(id).map_or(0, |range| range.epoch);
        let (sealed, have) = self.replicas.get(&id).map_or((0, 0), |replica| (replica.sealed, replica.epoch));
        if epoch < current || epoch < sealed || have > epoch || !holders.contains(&self.me) {
            return;
        }
        if have == epoch {
            return self.outbox.send(from, Body::SyncAck { range: id, epoch, next: None });
        }
        let incoming = self.incoming.entry(id).or_insert_with(|| IncomingCopy::new(epoch, holders));
        if incoming.epoch != epoch {
            *incoming = IncomingCopy::new(epoch, holders);
        }
        let next = incoming.add_page(now, page);
        if next.is_none()
            && let Some(incoming) = self.incoming.swap_remove(&id)
        {
            self.replicas.insert(id, incoming.draft);
        }
        self.outbox.send(from, Body::SyncAck { range: id, epoch, next });
    }

    /// Applies a newer table: seals replaced epochs, drops ranges that this host no longer holds, starts takeovers.
    pub(super) fn apply_table(&mut self, now: Time, table: &Ownership) {
        let me = self.me;
        self.table.clone_from(table);
        let mut ready = Vec::new();
        for (id, range) in table.ranges() {
            if let Some(replica) = self.replicas.get_mut(&id) {
                replica.sealed = replica.sealed.max(range.epoch);
                if range.ready && replica.epoch == range.epoch && !replica.ready {
                    replica.ready = true;
                    ready.push(id);
                }
            }
            self.release(id, range);
            let taking = range.owner() == Some(me) && !range.ready;
            match self.takeovers.get_mut(&id) {
                Some(takeover) if taking && takeover.epoch == range.epoch => {
                    if range.records_lost {
                        takeover.forget_prior();
                    }
                }
                _ if taking => {
                    let mut takeover = Takeover::new(range);
                    for alive in self.peers.values() {
                        takeover.on_alive(*alive);
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

    /// Drops a range that this host no longer holds. Records of a later epoch than the table's are kept: their owner
    /// got the newer table first.
    fn release(&mut self, id: RangeId, range: &KeyRange) {
        if range.includes(self.me) {
            return;
        }
        if self.replicas.get(&id).is_some_and(|replica| replica.epoch <= range.epoch) {
            self.replicas.swap_remove(&id);
        }
        if self.incoming.get(&id).is_some_and(|incoming| incoming.epoch <= range.epoch) {
            self.incoming.swap_remove(&id);
        }
    }

    /// Starts to act as the owner, or to follow, in an epoch that is ready.
    fn activate(&mut self, now: Time, id: RangeId) {
        let me = self.me;
        let Some(replica) = self.replicas.get_mut(&id) else {
            return;
        };
        replica.was_acting = false;
        replica.leases.clear();
        replica.owner_until = Time::ZERO;
        if replica.is_owner(me) {
            for record in replica.records.values_mut() {
                record.activate();
            }
            self.relay.resend_now();
            self.renew(now, Some(id));
            self.resume_range(now, id);
        }
    }
}
