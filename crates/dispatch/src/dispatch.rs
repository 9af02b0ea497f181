//! The core: its tables, and the calls that touch only them.

use crate::entries::EntryRow;
use crate::queue::Queue;
use crate::targets::Targets;
use crate::tasks::{AttemptRow, TaskRow};
use crate::timers::{Timer, Timers};
use crate::{Action, EntryKey, LimitShare, Settings, TargetKey, TaskKey, Waste};
use indexmap::IndexMap;
use mangogw_model::{Announcement, Entry, EntryName, Owner, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::time::Duration;

/// How often the systems that keep tables small and scales centred run.
const UPKEEP: Duration = Duration::from_secs(1);
/// Upkeeps between two fadings of learned speeds.
const FADE_EVERY: u64 = 10;
/// Timers above this are looked through for dead ones.
const TIMERS: usize = 4096;

/// Where the running tasks of a job stand, by place.
pub(crate) type JobRow = SmallVec<[(u32, u32); 8]>;

/// The decision core of one host.
#[derive(Debug)]
pub struct Dispatch {
    pub(crate) settings: Settings,
    pub(crate) entries: SlotMap<EntryKey, EntryRow>,
    pub(crate) names: IndexMap<EntryName, EntryKey>,
    pub(crate) owners: IndexMap<Owner, ()>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) targets: Targets,
    pub(crate) tasks: SlotMap<TaskKey, TaskRow>,
    pub(crate) attempts: IndexMap<u64, AttemptRow, foldhash::fast::FixedState>,
    pub(crate) jobs: IndexMap<u64, JobRow, foldhash::fast::FixedState>,
    pub(crate) queue: Queue,
    pub(crate) timers: Timers,
    pub(crate) actions: Vec<Action>,
    pub(crate) waste: Waste,
    pub(crate) draw: Pcg64Mcg,
    pub(crate) serial: u64,
    /// Where the search for a target starts, so that equal ones take turns.
    pub(crate) cursor: u32,
    pub(crate) reserved: u32,
    /// True while the pools are out of date.
    pub(crate) scattered: bool,
    kept: Time,
    beats: u64,
}

/// Entries that share targets.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    /// Waiting work by class, in microseconds at speed 1.
    pub(crate) work: [f64; 3],
    /// Work started of late by class, fading.
    pub(crate) flow: [Flow; 3],
}

/// A rate that fades over [`Flow::SPAN`].
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Flow {
    sum: f64,
    at: Time,
}

impl Flow {
    const SPAN: f64 = 2.0;

    pub(crate) fn push(&mut self, now: Time, amount: f64) {
        self.sum = self.rate(now) * Self::SPAN + amount;
        self.at = now;
    }

    /// A second.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        if self.sum <= 0.0 {
            return 0.0;
        }
        self.sum / Self::SPAN * (-(now - self.at).as_secs_f64() / Self::SPAN).exp()
    }
}

impl Dispatch {
    /// An empty core.
    ///
    /// ```
    /// use mangogw_dispatch::{Dispatch, Settings};
    /// assert!(Dispatch::open(Settings::default()).targets().next().is_none());
    /// ```
    pub fn open(settings: Settings) -> Self {
        let draw = Pcg64Mcg::seed_from_u64(settings.seed);
        Self {
            settings,
            entries: SlotMap::with_key(),
            names: IndexMap::new(),
            owners: IndexMap::new(),
            pools: Vec::new(),
            targets: Targets::default(),
            tasks: SlotMap::with_key(),
            attempts: IndexMap::default(),
            jobs: IndexMap::default(),
            queue: Queue::default(),
            timers: Timers::default(),
            actions: Vec::new(),
            waste: Waste::default(),
            draw,
            serial: 0,
            cursor: 0,
            reserved: 0,
            scattered: false,
            kept: Time::ZERO,
            beats: 0,
        }
    }

    /// The key of an entry of the catalogue in force.
    pub fn entry_key(&self, name: &EntryName) -> Option<EntryKey> {
        self.names.get(name).copied()
    }

    /// The name and the settings of an entry.
    pub fn entry_config(&self, key: EntryKey) -> (&EntryName, &Entry) {
        let row = &self.entries[key];
        (&row.name, &row.entry)
    }

    /// Where tasks for a target are sent.
    pub fn address(&self, key: TargetKey) -> Option<SocketAddr> {
        self.targets.get(key).map(|row| row.said.address)
    }

    /// Every target, in the order in which they first announced themselves.
    pub fn targets(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.names.values().map(|&key| &self.targets.rows[key].said)
    }

    /// Sets the part of an entry's limits that this host may use.
    pub fn set_limit_share(&mut self, now: Time, entry: EntryKey, share: LimitShare) {
        let Some(row) = self.entries.get_mut(entry) else { return };
        row.share = share;
        self.settle(now, entry);
    }

    /// Runs the systems that depend on time.
    pub fn tick(&mut self, now: Time) {
        if self.scattered {
            self.group();
        }
        while let Some(timer) = self.timers.pop(now) {
            self.fire(now, timer);
        }
        if now - self.kept >= UPKEEP {
            self.kept = now;
            self.upkeep();
            self.sweep(now);
        }
    }

    /// When [`Dispatch::tick`] has something to do next, if no event comes before.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.timers.next()
    }

    /// What is to be done since the last call.
    pub fn drain(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// A draw from 0 to 1.
    pub(crate) fn chance(&mut self) -> f64 {
        self.draw.random::<f64>()
    }

    fn fire(&mut self, now: Time, timer: Timer) {
        match timer {
            Timer::Clear(key, task) => self.end_clear(now, key, task),
            Timer::Lease(key) => self.lapse(now, key),
            Timer::Probe(key) => self.fill(now, key),
            Timer::Ghost(serial) => self.give_up(now, serial),
            Timer::Deadline(key) => self.expire(now, key),
            Timer::Overdue(serial) => self.overdue(now, serial),
            Timer::Patience(key) => self.impatient(now, key),
        }
    }

    /// Keeps tables small and the scale of speeds centred.
    fn upkeep(&mut self) {
        if self.timers.len() > TIMERS.max(4 * (self.tasks.len() + self.attempts.len())) {
            let (tasks, attempts, targets) = (&self.tasks, &self.attempts, &self.targets);
            self.timers.prune(|timer| match timer {
                Timer::Deadline(key) | Timer::Patience(key) => tasks.contains_key(*key),
                Timer::Overdue(serial) | Timer::Ghost(serial) => attempts.contains_key(serial),
                Timer::Lease(key) | Timer::Probe(key) | Timer::Clear(key, _) => targets.get(*key).is_some(),
            });
        }
        if self.queue.lines.len() > 4 * self.entries.len() + 64 {
            self.queue.prune();
        }
        self.centre();
        self.beats += 1;
        if self.beats.is_multiple_of(FADE_EVERY) {
            self.entries.values_mut().for_each(|row| row.speeds.fade());
        }
    }

    /// Offers every free place to what waits.
    fn sweep(&mut self, now: Time) {
        let keys: Vec<_> = self.targets.rows.keys().collect();
        for key in keys {
            self.fill(now, key);
        }
    }
}
