//! [`Dispatch`]: the tables of the decision core, and the methods that use only these tables.

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

/// Interval between runs of the periodic maintenance ([`Dispatch::upkeep`]).
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Number of upkeeps between two decays of the learned speeds.
const UPKEEPS_PER_DECAY: u64 = 10;
/// Timers of finished work are pruned only above this number of timers.
const MIN_PRUNE_TIMERS: usize = 4096;

/// Number of running tasks of a job, by failure domain.
pub(crate) type DomainCounts = SmallVec<[(u32, u32); 8]>;

/// Decision core of one host.
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
    /// Target id where the search for a target starts, so that equal targets are used in turn.
    pub(crate) cursor: u32,
    pub(crate) reserved_count: u32,
    /// True if the pools must be rebuilt before they are used.
    pub(crate) pools_stale: bool,
    last_upkeep: Time,
    upkeep_count: u64,
}

/// Aggregate over the entries that share targets.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    /// Waiting work by class, in microseconds on a target of speed 1.
    pub(crate) work: [f64; 3],
    /// Rate of admitted work by class, in microseconds on a target of speed 1 per second.
    pub(crate) arrival_rate: [DecayingRate; 3],
}

/// Exponentially decaying rate with the time constant [`DecayingRate::TIME_CONSTANT_S`].
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    sum: f64,
    updated_at: Time,
}

impl DecayingRate {
    const TIME_CONSTANT_S: f64 = 2.0;

    pub(crate) fn push(&mut self, now: Time, amount: f64) {
        self.sum = self.rate(now) * Self::TIME_CONSTANT_S + amount;
        self.updated_at = now;
    }

    /// Returns the rate per second.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        if self.sum <= 0.0 {
            return 0.0;
        }
        self.sum / Self::TIME_CONSTANT_S * (-(now - self.updated_at).as_secs_f64() / Self::TIME_CONSTANT_S).exp()
    }
}

impl Dispatch {
    /// Creates a core without entries, targets and tasks.
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
            reserved_count: 0,
            pools_stale: false,
            last_upkeep: Time::ZERO,
            upkeep_count: 0,
        }
    }

    /// Returns the key of an entry of the installed catalogue, or `None` if the catalogue does not have it.
    pub fn entry_key(&self, name: &EntryName) -> Option<EntryKey> {
        self.names.get(name).copied()
    }

    /// Returns the name and the settings of an entry. Panics if the key is not valid.
    pub fn entry_config(&self, key: EntryKey) -> (&EntryName, &Entry) {
        let row = &self.entries[key];
        (&row.name, &row.entry)
    }

    /// Returns the address that tasks for a target are sent to, or `None` if the target is not known.
    pub fn address(&self, key: TargetKey) -> Option<SocketAddr> {
        self.targets.get(key).map(|row| row.announcement.address)
    }

    /// Returns the latest announcement of each known target, in the order of first announcement.
    pub fn targets(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.names.values().map(|&key| &self.targets.rows[key].announcement)
    }

    /// Sets the share of an entry's limits that this host may use, and starts waiting tasks that it now allows. Does
    /// nothing if the key is not valid.
    pub fn set_limit_share(&mut self, now: Time, entry: EntryKey, share: LimitShare) {
        let Some(row) = self.entries.get_mut(entry) else { return };
        row.share = share;
        self.start_waiting(now, entry);
    }

    /// Fires the timers that are due, and runs the periodic maintenance.
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

    /// Returns the time when [`Dispatch::tick`] is due next if no event comes first, or `None` if no timer is set.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Takes the actions that were queued since the last call, in order.
    pub fn drain(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns a random number in `0.0..1.0`.
    pub(crate) fn random_unit(&mut self) -> f64 {
        self.rng.random::<f64>()
    }

    fn fire(&mut self, now: Time, timer: Timer) {
        match timer {
            Timer::Reservation(key, task) => self.expire_reservation(now, key, task),
            Timer::Lease(key) => self.expire_lease(now, key),
            Timer::Probe(key) => self.fill_target(now, key),
            Timer::StopTimeout(serial) => self.expire_stop(now, serial),
            Timer::Deadline(key) => self.expire_task(now, key),
            Timer::Overdue(serial) => self.check_overdue(now, serial),
            Timer::PlacementTimeout(key) => self.start_anywhere(now, key),
        }
    }

    /// Prunes timers and queues, and brings the learned speeds back to the common scale.
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

    /// Fills the free slots of all targets with waiting tasks.
    fn fill_all(&mut self, now: Time) {
        let keys: Vec<_> = self.targets.rows.keys().collect();
        for key in keys {
            self.fill_target(now, key);
        }
    }
}
