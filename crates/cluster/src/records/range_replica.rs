//! Records of one range on one of its holders.

use super::message::{Page, RecordSnapshot};
use super::record::Record;
use super::settings::Settings;
use crate::ownership::Holder;
use indexmap::{IndexMap, IndexSet};
use mangogw_model::{HostId, Key, Time};

/// Maximum number of records checked for their retention in one sweep.
const MAX_SWEEP_RECORDS: usize = 512;

/// Records of one range on one of its holders.
#[derive(Debug, Default)]
pub(super) struct RangeReplica {
    /// Epoch that all of these records belong to.
    pub epoch: u64,
    /// Holders of that epoch, the owner first.
    pub holders: Vec<Holder>,
    /// True once the epoch is ready by the ownership table.
    pub ready: bool,
    /// Steps and lease requests of lower epochs are rejected.
    pub sealed: u64,
    /// Until this time an unknown key may belong to a lost record.
    pub unseen_until: Time,
    pub records: IndexMap<Key, Record>,
    /// Keys of running submissions.
    pub running: IndexSet<Key>,
    /// At a follower: time until which the owner may act.
    pub owner_until: Time,
    /// At the owner: end of the lease granted by each follower.
    pub leases: IndexMap<HostId, Time>,
    /// At the owner: whether it could act at the last check.
    pub was_acting: bool,
    pub bytes: usize,
    sweep_cursor: usize,
}

impl RangeReplica {
    pub fn new(epoch: u64, holders: Vec<Holder>) -> Self {
        Self { epoch, holders, sealed: epoch, ..Self::default() }
    }

    pub fn is_owner(&self, me: Holder) -> bool {
        self.holders.first() == Some(&me)
    }

    /// Returns true at the owner of a ready epoch for which it knows no later one.
    pub fn is_leading(&self, me: Holder) -> bool {
        self.is_owner(me) && self.ready && self.sealed <= self.epoch
    }

    /// Returns true while the owner may act: it has an unexpired lease from every follower.
    pub fn may_act(&self, now: Time, me: Holder) -> bool {
        let granted = |holder: &Holder| self.leases.get(&holder.host).is_some_and(|until| now < *until);
        self.is_leading(me) && self.followers().iter().all(granted)
    }

    pub fn followers(&self) -> &[Holder] {
        self.holders.get(1..).unwrap_or_default()
    }

    pub fn insert(&mut self, key: Key, record: Record) {
        self.bytes += record.size;
        if record.submission_end.is_none() {
            self.running.insert(key.clone());
        }
        if let Some(replaced) = self.records.insert(key, record) {
            self.bytes -= replaced.size;
        }
    }

    /// Changes a record and updates the byte count.
    pub fn update<R>(&mut self, key: &Key, change: impl FnOnce(&mut Record) -> R) -> Option<R> {
        let record = self.records.get_mut(key)?;
        let before = record.size;
        let result = change(record);
        self.bytes = self.bytes + record.size - before;
        if record.submission_end.is_some() {
            record.owner_state = None;
            self.running.swap_remove(key);
        }
        Some(result)
    }

    /// Evicts records past their retention, at most `MAX_SWEEP_RECORDS` of them.
    pub fn sweep(&mut self, now: Time, settings: &Settings) {
        for _ in 0..MAX_SWEEP_RECORDS.min(self.records.len()) {
            match self.records.get_index(self.sweep_cursor) {
                None => self.sweep_cursor = 0,
                Some((_, record)) if super::record::is_expired(record, now, settings) => {
                    let removed = self.records.swap_remove_index(self.sweep_cursor);
                    self.bytes -= removed.map_or(0, |(_, record)| record.size);
                }
                Some(_) => self.sweep_cursor += 1,
            }
        }
    }

    /// Returns the records from position `cursor` on, of about `max_bytes` bytes.
    pub fn page(&self, now: Time, cursor: u32, from_owner: bool, max_bytes: usize) -> Page {
        let mut snapshots: Vec<RecordSnapshot> = Vec::new();
        let mut bytes = 0;
        for (key, record) in self.records.iter().skip(cursor as usize) {
            snapshots.push(record.snapshot(now, key, from_owner));
            bytes += record.size;
            if bytes >= max_bytes {
                break;
            }
        }
        let end = cursor + snapshots.len() as u32;
        let next = ((end as usize) < self.records.len()).then_some(end);
        Page { cursor, next, from_owner, unseen_wait: self.unseen_until - now, snapshots }
    }

    /// Adds the records of a page.
    pub fn load(&mut self, now: Time, page: Page, owner: bool) {
        self.unseen_until =
            self.unseen_until.max(if page.unseen_wait.is_zero() { Time::ZERO } else { now + page.unseen_wait });
        for snapshot in page.snapshots {
            let (key, record) = Record::load(now, snapshot, owner);
            self.insert(key, record);
        }
    }
}
