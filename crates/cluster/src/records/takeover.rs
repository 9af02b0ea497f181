//! Takeover of a range: a new owner gets the records of its range before it acts.
//!
//! The new owner reads the records from one prior holder, copies them to its followers, and proposes the epoch as
//! ready.

use super::message::{Body, Page};
use super::output::{Outbox, Output};
use super::range_replica::RangeReplica;
use super::settings::Settings;
use crate::ownership::{Command, Holder, KeyRange, RangeId};
use indexmap::IndexMap;
use mangogw_model::{HostId, Time};
use std::time::Duration;

/// Time after which an unanswered message is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time without progress after which another prior holder is read.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the proposal is repeated.
const PROPOSE_INTERVAL: Duration = Duration::from_millis(300);

/// State of an epoch that is not ready yet, at its owner.
#[derive(Debug)]
pub(super) struct Takeover {
    pub epoch: u64,
    holders: Vec<Holder>,
    prior: Vec<Holder>,
    /// True if no host has the records any more.
    records_lost: bool,
    lost_holders: Vec<Holder>,
    stage: Stage,
    last_sent: Option<Time>,
    source: Option<Holder>,
    /// Time of the last new page from the source.
    last_progress: Time,
    draft: RangeReplica,
    copies: IndexMap<HostId, CopyProgress>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Read,
    Copy,
    Propose,
}

#[derive(Debug, Clone, Copy)]
struct CopyProgress {
    /// Position of the next record wanted; `None` if the copy is complete.
    next: Option<u32>,
    sent: Option<Time>,
}

impl Takeover {
    pub fn new(range: &KeyRange) -> Self {
        let copies =
            range.holders.iter().skip(1).map(|to| (to.host, CopyProgress { next: Some(0), sent: None })).collect();
        Self {
            epoch: range.epoch,
            holders: range.holders.clone(),
            prior: range.prior_holders.clone(),
            records_lost: range.records_lost,
            lost_holders: Vec::new(),
            stage: Stage::Read,
            last_sent: None,
            source: None,
            last_progress: Time::ZERO,
            draft: RangeReplica::new(range.epoch, range.holders.clone()),
            copies,
        }
    }

    /// Drops the prior holders, because an operator declared them dead.
    pub fn forget_prior(&mut self) {
        self.records_lost = true;
        self.prior.clear();
    }

    /// Marks a prior holder whose records are lost.
    pub fn on_records_lost(&mut self, holder: Holder) {
        if self.prior.contains(&holder) && !self.lost_holders.contains(&holder) {
            self.lost_holders.push(holder);
            if self.source == Some(holder) {
                self.restart();
            }
        }
    }

    /// Marks records of earlier incarnations of `alive` as lost.
    pub fn on_alive(&mut self, alive: Holder) {
        let earlier = |holder: &&Holder| holder.host == alive.host && holder.incarnation < alive.incarnation;
        let dead: Vec<Holder> = self.prior.iter().filter(earlier).copied().collect();
        for holder in dead {
            self.on_records_lost(holder);
        }
    }

    /// Adds a page of records from a prior holder; the last page completes the replica.
    pub fn on_page(&mut self, now: Time, from: Holder, page: Page, replica: &mut Option<RangeReplica>) {
        let next = self.draft.records.len() as u32;
        let fits = self.source.is_none_or(|source| source == from) && page.cursor == next;
        if self.stage != Stage::Read || !fits || !self.prior.contains(&from) {
            return;
        }
        self.source = Some(from);
        self.last_progress = now;
        self.last_sent = None;
        let last = page.next.is_none();
        self.draft.load(now, page, true);
        if last {
            let empty_replica = RangeReplica::new(self.epoch, self.holders.clone());
            *replica = Some(std::mem::replace(&mut self.draft, empty_replica));
            self.stage = Stage::Copy;
        }
    }

    /// Handles a follower's acknowledgement of copied records; `next` is the position it wants next.
    pub fn on_sync_ack(&mut self, from: Holder, next: Option<u32>) {
        let copied = self.copies.get_mut(&from.host).filter(|copied| copied.next.is_some());
        if let Some(copied) = copied.filter(|_| self.holders.contains(&from)) {
            copied.sent = None;
            copied.next = next;
        }
    }

    /// Sends what is due in the current stage.
    pub fn tick(
        &mut self,
        now: Time,
        me: Holder,
        id: RangeId,
        replica: &mut Option<RangeReplica>,
        settings: &Settings,
        outbox: &mut Outbox,
    ) {
        if self.stage == Stage::Read {
            self.read(now, me, id, replica, settings, outbox);
        }
        if let (Stage::Copy, Some(replica)) = (self.stage, replica.as_ref()) {
            self.copy(now, id, replica, settings, outbox);
        }
        let due = self.last_sent.is_none_or(|asked| now - asked >= PROPOSE_INTERVAL);
        if self.stage == Stage::Propose && due {
            self.last_sent = Some(now);
            outbox.push(Output::Propose(Command::MarkReady { range: id, epoch: self.epoch }));
        }
    }

    fn read(
        &mut self,
        now: Time,
        me: Holder,
        id: RangeId,
        replica: &mut Option<RangeReplica>,
        settings: &Settings,
        outbox: &mut Outbox,
    ) {
        let sufficient = replica.as_ref().is_some_and(|replica| self.own_records_suffice(now, me, replica));
        let all_lost = self.prior.iter().all(|holder| self.lost_holders.contains(holder));
        match replica {
            Some(replica) if sufficient => {
                replica.epoch = self.epoch;
                replica.holders.clone_from(&self.holders);
                replica.ready = false;
                replica.owner_until = Time::ZERO;
                self.start_copy();
            }
            _ if all_lost => {
                let mut empty_replica = RangeReplica::new(self.epoch, self.holders.clone());
                if self.records_lost || !self.prior.is_empty() {
                    empty_replica.unseen_until = now + settings.unseen_wait();
                }
                *replica = Some(empty_replica);
                self.start_copy();
            }
            _ => self.request_page(now, me, id, outbox),
        }
    }

    /// Returns true if this host's own records are sufficient: it was the owner, or the former owner may no longer act.
    fn own_records_suffice(&self, now: Time, me: Holder, replica: &RangeReplica) -> bool {
        let owner = replica.holders.first().copied().unwrap_or_default();
        let expired = now >= replica.owner_until || self.lost_holders.contains(&owner);
        self.prior.contains(&me) && (owner == me || expired)
    }

    fn request_page(&mut self, now: Time, me: Holder, id: RangeId, outbox: &mut Outbox) {
        if self.last_sent.is_some_and(|asked| now - asked < RETRY_INTERVAL) {
            return;
        }
        if self.source.is_some() && now - self.last_progress >= SOURCE_TIMEOUT {
            self.restart();
        }
        self.last_sent = Some(now);
        let cursor = self.draft.records.len() as u32;
        for to in self.prior.iter().filter(|to| **to != me && !self.lost_holders.contains(to)) {
            if self.source.is_none_or(|source| source == *to) {
                outbox.send(*to, Body::Seal { range: id, epoch: self.epoch, cursor });
            }
        }
    }

    fn copy(&mut self, now: Time, id: RangeId, replica: &RangeReplica, settings: &Settings, outbox: &mut Outbox) {
        for to in self.holders.iter().skip(1) {
            let Some(copied) = self.copies.get_mut(&to.host) else {
                continue;
            };
            match copied.next {
                Some(next) if copied.sent.is_none_or(|sent| now - sent >= RETRY_INTERVAL) => {
                    copied.sent = Some(now);
                    let page = replica.page(now, next, false, settings.page_bytes);
                    let holders = self.holders.clone();
                    outbox.send(*to, Body::Sync { range: id, epoch: self.epoch, holders, page });
                }
                _ => {}
            }
        }
        if self.copies.values().all(|copied| copied.next.is_none()) {
            self.stage = Stage::Propose;
            self.last_sent = None;
        }
    }

    fn start_copy(&mut self) {
        self.stage = Stage::Copy;
        self.last_sent = None;
    }

    fn restart(&mut self) {
        self.source = None;
        self.last_sent = None;
        self.draft = RangeReplica::new(self.epoch, self.holders.clone());
    }
}

/// Records of an epoch that a follower is receiving from the new owner.
#[derive(Debug)]
pub(super) struct IncomingCopy {
    pub epoch: u64,
    pub draft: RangeReplica,
}

impl IncomingCopy {
    pub fn new(epoch: u64, holders: &[Holder]) -> Self {
        Self { epoch, draft: RangeReplica::new(epoch, holders.to_vec()) }
    }

    /// Adds a page. Returns the position of the next record wanted; `None` if the copy is complete.
    pub fn add_page(&mut self, now: Time, page: Page) -> Option<u32> {
        let have = self.draft.records.len() as u32;
        if page.cursor != have {
            return Some(have);
        }
        let next = page.next;
        self.draft.load(now, page, false);
        next
    }
}
