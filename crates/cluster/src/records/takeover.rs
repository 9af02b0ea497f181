//! How a new owner gets the records of its range before it acts.
//!
//! It reads one prior holder, copies to its followers, and proposes that the epoch is ready.

use super::held::Held;
use super::message::{Body, Page};
use super::output::{Output, Post};
use super::settings::Settings;
use crate::ownership::{Command, Holder, KeyRange, RangeId};
use indexmap::IndexMap;
use mangogw_model::{HostId, Time};
use std::time::Duration;

/// After it a message without an answer is sent again.
const RETRY: Duration = Duration::from_millis(50);
/// After it a silent source is given up for another.
const STALL: Duration = Duration::from_millis(500);
/// After it the proposal is made again.
const PROPOSE: Duration = Duration::from_millis(300);

/// An epoch on its way to being ready, at its owner.
#[derive(Debug)]
pub(super) struct Takeover {
    pub epoch: u64,
    holders: Vec<Holder>,
    prior: Vec<Holder>,
    /// True if nobody has the records any more.
    gone: bool,
    lost: Vec<Holder>,
    stage: Stage,
    asked: Option<Time>,
    source: Option<Holder>,
    /// When the source last sent something new.
    moved: Time,
    draft: Held,
    copies: IndexMap<HostId, Copied>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Read,
    Copy,
    Settle,
}

#[derive(Debug, Clone, Copy)]
struct Copied {
    /// The next record it wants; none if it has all.
    next: Option<u32>,
    sent: Option<Time>,
}

impl Takeover {
    pub fn new(range: &KeyRange) -> Self {
        let copies = range.holders.iter().skip(1).map(|to| (to.host, Copied { next: Some(0), sent: None })).collect();
        Self {
            epoch: range.epoch,
            holders: range.holders.clone(),
            prior: range.prior_holders.clone(),
            gone: range.records_lost,
            lost: Vec::new(),
            stage: Stage::Read,
            asked: None,
            source: None,
            moved: Time::ZERO,
            draft: Held::new(range.epoch, range.holders.clone()),
            copies,
        }
    }

    /// An operator said that the prior holders are dead.
    pub fn forget(&mut self) {
        self.gone = true;
        self.prior.clear();
    }

    /// A prior holder lost its records.
    pub fn lost(&mut self, holder: Holder) {
        if self.prior.contains(&holder) && !self.lost.contains(&holder) {
            self.lost.push(holder);
            if self.source == Some(holder) {
                self.restart();
            }
        }
    }

    /// The process of `alive` runs: its earlier lives are over.
    pub fn alive(&mut self, alive: Holder) {
        let over = |holder: &&Holder| holder.host == alive.host && holder.incarnation < alive.incarnation;
        let dead: Vec<Holder> = self.prior.iter().filter(over).copied().collect();
        for holder in dead {
            self.lost(holder);
        }
    }

    /// Takes a page of a prior holder in.
    pub fn state(&mut self, now: Time, from: Holder, page: Page, held: &mut Option<Held>) {
        let next = self.draft.records.len() as u32;
        let fits = self.source.is_none_or(|source| source == from) && page.cursor == next;
        if self.stage != Stage::Read || !fits || !self.prior.contains(&from) {
            return;
        }
        self.source = Some(from);
        self.moved = now;
        self.asked = None;
        let last = page.next.is_none();
        self.draft.load(now, page, true);
        if last {
            let blank = Held::new(self.epoch, self.holders.clone());
            *held = Some(std::mem::replace(&mut self.draft, blank));
            self.stage = Stage::Copy;
        }
    }

    /// A follower has the records up to `next`.
    pub fn synced(&mut self, from: Holder, next: Option<u32>) {
        let copied = self.copies.get_mut(&from.host).filter(|copied| copied.next.is_some());
        if let Some(copied) = copied.filter(|_| self.holders.contains(&from)) {
            copied.sent = None;
            copied.next = next;
        }
    }

    /// Does what is due.
    pub fn tick(
        &mut self,
        now: Time,
        me: Holder,
        id: RangeId,
        held: &mut Option<Held>,
        settings: &Settings,
        post: &mut Post,
    ) {
        if self.stage == Stage::Read {
            self.read(now, me, id, held, settings, post);
        }
        if let (Stage::Copy, Some(held)) = (self.stage, held.as_ref()) {
            self.copy(now, id, held, settings, post);
        }
        let due = self.asked.is_none_or(|asked| now - asked >= PROPOSE);
        if self.stage == Stage::Settle && due {
            self.asked = Some(now);
            post.push(Output::Propose(Command::MarkReady { range: id, epoch: self.epoch }));
        }
    }

    fn read(
        &mut self,
        now: Time,
        me: Holder,
        id: RangeId,
        held: &mut Option<Held>,
        settings: &Settings,
        post: &mut Post,
    ) {
        let whole = held.as_ref().is_some_and(|held| self.whole(now, me, held));
        let empty = self.prior.iter().all(|holder| self.lost.contains(holder));
        match held {
            Some(held) if whole => {
                held.epoch = self.epoch;
                held.holders.clone_from(&self.holders);
                held.ready = false;
                held.granted = Time::ZERO;
                self.copying();
            }
            _ if empty => {
                let mut blank = Held::new(self.epoch, self.holders.clone());
                if self.gone || !self.prior.is_empty() {
                    blank.blind = now + settings.horizon();
                }
                *held = Some(blank);
                self.copying();
            }
            _ => self.ask(now, me, id, post),
        }
    }

    /// True if this host's own records will do: it was the owner, or the owner's time to act is over.
    fn whole(&self, now: Time, me: Holder, held: &Held) -> bool {
        let owner = held.holders.first().copied().unwrap_or_default();
        let over = now >= held.granted || self.lost.contains(&owner);
        self.prior.contains(&me) && (owner == me || over)
    }

    fn ask(&mut self, now: Time, me: Holder, id: RangeId, post: &mut Post) {
        if self.asked.is_some_and(|asked| now - asked < RETRY) {
            return;
        }
        if self.source.is_some() && now - self.moved >= STALL {
            self.restart();
        }
        self.asked = Some(now);
        let cursor = self.draft.records.len() as u32;
        for to in self.prior.iter().filter(|to| **to != me && !self.lost.contains(to)) {
            if self.source.is_none_or(|source| source == *to) {
                post.send(*to, Body::Seal { range: id, epoch: self.epoch, cursor });
            }
        }
    }

    fn copy(&mut self, now: Time, id: RangeId, held: &Held, settings: &Settings, post: &mut Post) {
        for to in self.holders.iter().skip(1) {
            let Some(copied) = self.copies.get_mut(&to.host) else {
                continue;
            };
            match copied.next {
                Some(next) if copied.sent.is_none_or(|sent| now - sent >= RETRY) => {
                    copied.sent = Some(now);
                    let page = held.page(now, next, false, settings.page_bytes);
                    let holders = self.holders.clone();
                    post.send(*to, Body::Sync { range: id, epoch: self.epoch, holders, page });
                }
                _ => {}
            }
        }
        if self.copies.values().all(|copied| copied.next.is_none()) {
            self.stage = Stage::Settle;
            self.asked = None;
        }
    }

    fn copying(&mut self) {
        self.stage = Stage::Copy;
        self.asked = None;
    }

    fn restart(&mut self) {
        self.source = None;
        self.asked = None;
        self.draft = Held::new(self.epoch, self.holders.clone());
    }
}

/// Records of an epoch on their way to one of its followers.
#[derive(Debug)]
pub(super) struct Incoming {
    pub epoch: u64,
    pub draft: Held,
}

impl Incoming {
    pub fn new(epoch: u64, holders: &[Holder]) -> Self {
        Self { epoch, draft: Held::new(epoch, holders.to_vec()) }
    }

    /// Takes a page in. The next record wanted; none if it has all.
    pub fn take(&mut self, now: Time, page: Page) -> Option<u32> {
        let have = self.draft.records.len() as u32;
        if page.cursor != have {
            return Some(have);
        }
        let next = page.next;
        self.draft.load(now, page, false);
        next
    }
}
