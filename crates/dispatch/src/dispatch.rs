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
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Upkeeps between two fadings of learned speeds.
const UPKEEPS_PER_DECAY: u64 = 10;
/// Timers above this are looked through for dead ones.
const MIN_PRUNE_TIMERS: usize = 4096;

/// Where the running tasks of a job stand, by place.
pub(crate) type DomainCounts = SmallVec<[(u32, u32); 8]>;

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
    pub(crate) jobs: IndexMap<u64, DomainCounts, foldhash::fast::FixedState>,
    pub(crate) queue: Queue,
    pub(crate) timers: Timers,
    pub(crate) actions: Vec<Action>,
    pub(crate) waste: Waste,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) serial: u64,
    /// Where the search for a target starts, so that equal ones take turns.
    pub(crate) cursor: u32,
    pub(crate) reserved: u32,
    /// True while the pools are out of date.
    pub(crate) pools_stale: bool,
    last_upkeep: Time,
    upkeep_count: u64,
}

/// Entries that share targets.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    /// Waiting work by class, in microseconds at speed 1.
    pub(crate) work: [f64; 3],
    /// Work started of late by class, fading.
    pub(crate) arrival_rate: [DecayingRate; 3],
}

/// A rate that fades over [`DecayingRate::TIME_CONSTANT_S`].
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    sum: f64,
    at: Time,
}

impl DecayingRate {
    const TIME_CONSTANT_S: f64 = 2.0;

    pub(crate) fn push(&mut self, now: Time, amount: f64) {
        self.sum = self.rate(now) * Self::TIME_CONSTANT_S + amount;
        self.at = now;
    }

    /// A second.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        if self.sum <= 0.0 {
            return 0.0;
        }
        self.sum / Self::TIME_CONSTANT_S * (-(now - self.at).as_secs_f64() / Self::TIME_CONSTANT_S).exp()
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
        let rng = Pcg64Mcg::seed_from_u64(settings.seed);
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
            rng,
            serial: 0,
            cursor: 0,
            reserved: 0,
            pools_stale: false,
            last_upkeep: Time::ZERO,
            upkeep_count: 0,
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
        self.targets.get(key).map(|row| row.announcement.address)
    }

    /// Every target, in the order in which they first announced themselves.
    pub fn targets(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.names.values().map(|&key| &self.targets.rows[key].announcement)
    }

    /// Sets the part of an entry's limits that this host may use.
    pub fn set_limit_share(&mut self, now: Time, entry: EntryKey, share: LimitShare) {
        let Some(row) = self.entries.get_mut(entry) else { return };
        row.share = share;
        self.start_waiting(now, entry);
    }

    /// Runs the systems that depend on time.
    pub fn tick(&mut self, now: Time) {
        if self.pools_stale {
            self.rebuild_pools();
        }
        while let Some(timer) = self.timers.pop(now) {
            self.fire(now, timer);
        }
        if now - self.last_upkeep >= UPKEEP_INTERVAL {
            self.last_upkeep = now;
            self.upkeep();
            self.fill_all(now);
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
    pub(crate) fn random_unit(&mut self) -> f64 {
        self.rng.random::<f64>()
    }

    fn fire(&mut self, now: Time, timer: Timer) {
        match timer {
            Timer::Reservation(key, task) => self.expire_reservation(now, key, task),
            Timer::Lease(key) => self.expire_lease(now, key),
            Timer::Probe(key) => self.fill_target(now, key),
            Timer::StopTimeout(serial) => self.expire_stop(now, serial),
            Timer::Deadline(key) => self.expire(now, key),
            Timer::Overdue(serial) => self.overdue(now, serial),
            Timer::PlacementTimeout(key) => self.start_anywhere(now, key),
        }
    }

    /// Keeps tables small and the scale of speeds centred.
    fn upkeep(&mut self) {
        if self.timers.len() > MIN_PRUNE_TIMERS.max(4 * (self.tasks.len() + self.attempts.len())) {
            let (tasks, attempts, targets) = (&self.tasks, &self.attempts, &self.targets);
            self.timers.prune(|timer| match timer {
                Timer::Deadline(key) | Timer::PlacementTimeout(key) => tasks.contains_key(*key),
                Timer::Overdue(serial) | Timer::StopTimeout(serial) => attempts.contains_key(serial),
                Timer::Lease(key) | Timer::Probe(key) | Timer::Reservation(key, _) => targets.get(*key).is_some(),
            });
        }
        if self.queue.sub_queues.len() > 4 * self.entries.len() + 64 {
            self.queue.prune();
        }
        self.centre_speeds();
        self.upkeep_count += 1;
        if self.upkeep_count.is_multiple_of(UPKEEPS_PER_DECAY) {
            self.entries.values_mut().for_each(|row| row.speeds.decay());
        }
    }

    /// Offers every free place to what waits.
    fn fill_all(&mut self, now: Time) {
        let keys: Vec<_> = self.targets.rows.keys().collect();
        for key in keys {
            self.fill_target(now, key);
        }
    }
}
