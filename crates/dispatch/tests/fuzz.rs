//! Stateful fuzz of the core against an oracle that only counts: starts and ends by task, answers by request, and what
//! is held of each target and entry.

mod oracle;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use indexmap::IndexMap;
use mangogw_dispatch::{AttemptReport, Dispatch, EntryKey, LimitShare, RepeatPolicy, Settings, TaskSpec, Waste};
use mangogw_model::{
    Announcement, Capacity, Class, Entry, EntryName, Hedge, Incarnation, Kind, Limits, Needs, Quota, Retry, Time, Usage,
};
use oracle::Oracle;
use std::time::Duration;

/// Fixed seeds: the number of the run above, the length of its random input below.
const RUNS: u64 = 400;
const INPUT_BYTES: [u64; 4] = [256, 1024, 4096, 16384];

fn seeds() -> impl Iterator<Item = u64> {
    (1..=RUNS)
        .map(|run| (run.wrapping_mul(0x9E37_79B1) & 0xFFFF_FFFF) << 32 | INPUT_BYTES[run as usize % INPUT_BYTES.len()])
}

/// One run: the core, its oracle and the world they are fed.
struct World {
    core: Dispatch,
    oracle: Oracle,
    now: Time,
    catalogue: IndexMap<EntryName, Entry>,
    entries: Vec<EntryKey>,
    lives: [u64; TARGETS],
}

const TARGETS: usize = 6;

fn entry(u: &mut Unstructured<'_>, class: Class, owner: &str) -> Result<Entry> {
    let some = |u: &mut Unstructured<'_>, most: u32| Ok(if u.ratio(1, 4)? { u.int_in_range(1..=most)? } else { 0 });
    Ok(Entry {
        owner: owner.into(),
        class,
        repeatable: u.arbitrary()?,
        weight: u.int_in_range(1..=4)?,
        limits: Limits {
            concurrency: some(u, 6)?,
            rate: some(u, 50)?,
            queue: u.int_in_range(1..=30)?,
            ..Limits::default()
        },
        quota: Quota { cores: some(u, 12)?, memory_mb: 0, accelerators: some(u, 2)? },
        retry: Retry { tries: u.int_in_range(1..=4)?, budget: 0.5 },
        hedge: Hedge { quantile: 0.5, budget: f64::from(u.int_in_range(0..=4u8)?) / 4.0 },
        ..Entry::default()
    })
}

impl World {
    fn open(u: &mut Unstructured<'_>) -> Result<Self> {
        let settings = Settings { seed: u.arbitrary()?, ..Settings::default() };
        let lease = settings.lease;
        let mut catalogue = IndexMap::new();
        for (at, class) in Class::ALL.into_iter().enumerate() {
            catalogue.insert(EntryName::from(format!("e{at}")), entry(u, class, ["red", "blue", "red"][at])?);
        }
        let mut world = Self {
            core: Dispatch::open(settings),
            oracle: Oracle::open(lease),
            now: Time::from_millis(1),
            catalogue,
            entries: Vec::new(),
            lives: [1; TARGETS],
        };
        world.install();
        Ok(world)
    }

    fn install(&mut self) {
        self.core.install(self.now, &self.catalogue);
        self.entries = self.catalogue.keys().filter_map(|name| self.core.entry_key(name)).collect();
        for (&key, entry) in self.entries.iter().zip(self.catalogue.values()) {
            self.oracle.bounds(key, entry);
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=99u8)? {
            0..=34 => self.admit(u)?,
            35..=64 => self.report(u)?,
            65..=74 => self.pass(u)?,
            75..=80 => self.announce(u)?,
            81..=86 => self.beat(u)?,
            87..=88 => self.leave(u)?,
            89..=93 => self.cancel(u)?,
            94..=95 => self.change(u)?,
            96 => self.share(u)?,
            97..=98 => self.use_up(u)?,
            _ => self.oracle.repeat_report(u, &mut self.core, self.now)?,
        }
        let actions = self.core.drain();
        self.oracle.apply(self.now, &actions);
        Ok(())
    }

    fn admit(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let needs = Needs {
            cores: u.int_in_range(0..=9)?,
            memory_mb: u64::from(u.int_in_range(0..=40u8)?) * 100,
            accelerators: u32::from(u.ratio(1, 8)?),
            estimate_ms: u64::from(u.int_in_range(0..=3u8)?) * 100,
        };
        let entry = *u.choose(&self.entries)?;
        let repeat = if u.arbitrary()? { RepeatPolicy::Allowed } else { RepeatPolicy::Never };
        let deadline = self.now + Duration::from_millis(u.int_in_range(0..=8_000)?);
        let work = TaskSpec { entry, needs, deadline, repeat, job: u.int_in_range(0..=3)? };
        let taken = self.core.admit(self.now, work);
        self.oracle.record_admission(&work, taken);
        Ok(())
    }

    fn report(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(attempt) = self.oracle.any_attempt(u)? else { return Ok(()) };
        let report = match u.int_in_range(0..=19u8)? {
            0..=14 if self.oracle.asked(attempt) => AttemptReport::Checkpointed,
            0..=9 => AttemptReport::Answered,
            10..=12 => AttemptReport::Failed,
            13 => AttemptReport::Truncated,
            14 => AttemptReport::TooLarge,
            15..=16 => AttemptReport::NotStarted,
            17 => AttemptReport::Lost,
            18 => AttemptReport::Declined,
            _ => AttemptReport::Checkpointed,
        };
        let report = self.oracle.record_report(self.now, attempt, report);
        self.core.report(self.now, attempt, report);
        Ok(())
    }

    fn pass(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now += Duration::from_millis(u.int_in_range(1..=1_500)?);
        self.core.tick(self.now);
        Ok(())
    }

    fn announce(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(TARGETS)?;
        let reborn = u.ratio(1, 4)?;
        self.lives[at] += u64::from(reborn);
        let worker = at % 2 == 1;
        let said = Announcement {
            name: format!("t{at}").as_str().into(),
            address: ([127, 0, 0, 1], 9000 + at as u16).into(),
            zone: "z".into(),
            rack: ["", "r1", "r2"][at % 3].into(),
            kind: if worker { Kind::Worker } else { Kind::Executor },
            entries: self.catalogue.keys().take(1 + u.choose_index(3)?).cloned().collect(),
            capacity: Capacity {
                slots: u.int_in_range(0..=6)?,
                cores: if worker { 8 } else { 2 },
                memory_mb: 4_000,
                accelerators: u32::from(at == 3),
            },
            incarnation: Incarnation(self.lives[at]),
            running: Vec::new(),
            connections: u.int_in_range(0..=4)?,
        };
        let key = self.core.announce(self.now, &said).expect("the life is never an older one");
        self.oracle.record_announcement(self.now, key, &said);
        Ok(())
    }

    fn beat(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(TARGETS)?;
        let name = format!("t{at}").as_str().into();
        let taken = self.core.heartbeat(self.now, &name, Incarnation(self.lives[at]));
        if taken.is_ok() {
            self.oracle.beat(self.now, &name);
        }
        Ok(())
    }

    fn leave(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let name = format!("t{}", u.choose_index(TARGETS)?).as_str().into();
        if self.core.leave(self.now, &name).is_ok() {
            self.oracle.left(&name);
        }
        Ok(())
    }

    fn cancel(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let wave = if u.ratio(1, 5)? { usize::MAX } else { 1 };
        let tasks = self.oracle.some_tasks(u, wave)?;
        self.core.cancel_all(self.now, tasks);
        Ok(())
    }

    fn change(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(self.catalogue.len())?;
        let class = *u.choose(&Class::ALL)?;
        let owner = *u.choose(&["red", "blue", "green"])?;
        self.catalogue[at] = entry(u, class, owner)?;
        self.install();
        Ok(())
    }

    fn share(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let key = *u.choose(&self.entries)?;
        let part = f64::from(u.int_in_range(1..=4u8)?) / 4.0;
        self.oracle.share(key, part);
        self.core.set_limit_share(self.now, key, LimitShare { rate: part, concurrency: part, quota: part });
        Ok(())
    }

    fn use_up(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(TARGETS)?;
        let usage = Usage {
            incarnation: Incarnation(self.lives[at]),
            age_ms: u.int_in_range(0..=10_000)?,
            cores: 1.0,
            memory_mb: 1,
            accelerators: 0,
        };
        let _ = self.core.record_usage(self.now, &format!("t{at}").as_str().into(), &usage);
        Ok(())
    }

    /// Lets everything run out: each task must have ended, and nothing may be held any more.
    fn finish(&mut self) {
        for _ in 0..40 {
            self.now += Duration::from_secs(1);
            self.core.tick(self.now);
            let actions = self.core.drain();
            self.oracle.apply(self.now, &actions);
        }
        assert_eq!(self.core.live_tasks(), 0, "a task is left behind");
        self.oracle.assert_all_ended();
        self.oracle.drain_attempts(&mut self.core, self.now);
        for view in self.core.target_views(self.now) {
            assert_eq!((view.running, view.cores), (0, 0), "room was not given back");
        }
    }
}

fn add(sum: &mut Waste, more: &Waste) {
    sum.retries += more.retries;
    sum.hedges += more.hedges;
    sum.unsent += more.unsent;
    sum.stops += more.stops;
    sum.probes += more.probes;
    sum.ejections += more.ejections;
    sum.late += more.late;
    sum.throttles += more.throttles;
    sum.checkpoints += more.checkpoints;
    sum.resumes += more.resumes;
}

#[test]
fn counts_hold_whatever_happens() {
    let mut starts = 0;
    let mut seen = Waste::default();
    for seed in seeds() {
        arbtest(|u| {
            let mut world = World::open(u)?;
            while !u.is_empty() {
                world.step(u)?;
            }
            starts += world.oracle.starts();
            world.finish();
            add(&mut seen, &world.core.waste());
            Ok(())
        })
        .seed(seed);
    }
    assert!(starts > 10_000, "the runs started only {starts} tasks: they prove too little");
    let reached = [seen.retries, seen.hedges, seen.unsent, seen.stops, seen.probes, seen.ejections, seen.late];
    assert!(reached.iter().all(|&count| count > 50), "too little was reached: {seen:?}");
    let freed = [seen.throttles, seen.checkpoints, seen.resumes];
    assert!(freed.iter().all(|&count| count > 20), "too little was reached: {seen:?}");
}
