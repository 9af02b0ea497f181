//! The records of one range on one of its holders.

use super::message::{Page, RecordSnapshot};
use super::record::Record;
use super::settings::Settings;
use crate::ownership::Holder;
use indexmap::{IndexMap, IndexSet};
use mangogw_model::{HostId, Key, Time};

/// Records looked at for their retention in one sweep.
const MAX_SWEEP_RECORDS: usize = 512;

/// The records of one range on one of its holders.
#[derive(Debug, Default)]
pub(super) struct RangeReplica {
    /// The epoch whose records these are, all of them.
    pub epoch: u64,
    /// The holders of that epoch, the owner first.
    pub holders: Vec<Holder>,
    /// True once the table says that the epoch is ready.
    pub ready: bool,
    /// No epoch below it gets any help.
    pub sealed: u64,
    /// Unseen keys may have been seen by somebody until then.
    pub unseen_until: Time,
    pub records: IndexMap<Key, Record>,
    /// Keys of submissions that run.
    pub running: IndexSet<Key>,
    /// At a follower: the owner may act until then.
    pub owner_until: Time,
    /// At the owner: until when each follower lets it act.
    pub leases: IndexMap<HostId, Time>,
    /// At the owner: it could act when it last looked.
    pub was_acting: bool,
    pub bytes: usize,
    swept: usize,
}

impl RangeReplica {
    pub fn new(epoch: u64, holders: Vec<Holder>) -> Self {
        Self { epoch, holders, sealed: epoch, ..Self::default() }
    }

    pub fn is_owner(&self, me: Holder) -> bool {
        self.holders.first() == Some(&me)
    }

    /// True at the owner of a ready epoch that nobody replaced, as far as it knows.
    pub fn is_leading(&self, me: Holder) -> bool {
        self.is_owner(me) && self.ready && self.sealed <= self.epoch
    }

    /// True while the owner may act: every follower lets it.
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
        if let Some(former) = self.records.insert(key, record) {
            self.bytes -= former.size;
        }
    }

    /// Changes a record and counts its bytes anew.
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

    /// Lets go of some records whose retention is over.
    pub fn sweep(&mut self, now: Time, settings: &Settings) {
        for _ in 0..MAX_SWEEP_RECORDS.min(self.records.len()) {
            match self.records.get_index(self.swept) {
                None => self.swept = 0,
                Some((_, record)) if super::record::is_expired(record, now, settings) => {
                    let gone = self.records.swap_remove_index(self.swept);
                    self.bytes -= gone.map_or(0, |(_, record)| record.size);
                }
                Some(_) => self.swept += 1,
            }
        }
    }

    /// The records from position `cursor` on, of about `room` bytes.
    pub fn page(&self, now: Time, cursor: u32, from_owner: bool, room: usize) -> Page {
        let mut snapshots: Vec<RecordSnapshot> = Vec::new();
        let mut bytes = 0;
        for (key, record) in self.records.iter().skip(cursor as usize) {
            snapshots.push(record.image(now, key, from_owner));
            bytes += record.size;
            if bytes >= room {
                break;
            }
        }
        let end = cursor + snapshots.len() as u32;
        let next = ((end as usize) < self.records.len()).then_some(end);
        Page { cursor, next, from_owner, unseen_wait: self.unseen_until - now, snapshots }
    }

    /// Takes the records of a page in.
    pub fn load(&mut self, now: Time, page: Page, owner: bool) {
        self.unseen_until =
            self.unseen_until.max(if page.unseen_wait.is_zero() { Time::ZERO } else { now + page.unseen_wait });
        for image in page.snapshots {
            let (key, record) = Record::load(now, image, owner);
            self.insert(key, record);
        }
    }
}
