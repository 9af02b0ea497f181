//! Stateful fuzz test of the dispatch core against an oracle that counts starts, ends and answers by task, and the
//! resources in use by target and entry.

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

/// Number of runs, each with a fixed seed.
const RUNS: u64 = 400;
/// Lengths of the random input, which the runs take in turn.
const INPUT_BYTES: [u64; 4] = [256, 1024, 4096, 16384];

/// Returns the seeds for arbtest: a hash of the run number in the upper 32 bits, the input length in the lower ones.
fn seeds() -> impl Iterator<Item = u64> {
    (1..=RUNS)
        .map(|run| (run.wrapping_mul(0x9E37_79B1) & 0xFFFF_FFFF) << 32 | INPUT_BYTES[run as usize % INPUT_BYTES.len()])
}

/// Core and oracle of one run, with the simulated catalogue and targets.
struct World {
    core: Dispatch,
    oracle: Oracle,
    now: Time,
    catalogue: IndexMap<EntryName, Entry>,
    entries: Vec<EntryKey>,
    /// Current incarnation of each target.
    incarnations: [u64; TARGETS],
}

const TARGETS: usize = 6;

/// Returns a random entry, in which the concurrency, the rate and each quota are unlimited in 3 of 4 cases.
fn entry(u: &mut Unstructured<'_>, class: Class, owner: &str) -> Result<Entry> {
    let limit = |u: &mut Unstructured<'_>, max: u32| Ok(if u.ratio(1, 4)? { u.int_in_range(1..=max)? } else { 0 });
    Ok(Entry {
        owner: owner.into(),
        class,
        repeatable: u.arbitrary()?,
        weight: u.int_in_range(1..=4)?,
        limits: Limits {
            concurrency: limit(u, 6)?,
            rate: limit(u, 50)?,
            queue: u.int_in_range(1..=30)?,
            ..Limits::default()
        },
        quota: Quota { cores: limit(u, 12)?, memory_mb: 0, accelerators: limit(u, 2)? },
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
            incarnations: [1; TARGETS],
        };
        world.install();
        Ok(world)
    }

    fn install(&mut self) {
        self.core.install(self.now, &self.catalogue);
        self.entries = self.catalogue.keys().filter_map(|name| self.core.entry_key(name)).collect();
        for (&key, entry) in self.entries.iter().zip(self.catalogue.values()) {
            self.oracle.set_limits(key, entry);
        }
    }

    /// Feeds the core one random event and checks the resulting actions.
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=99u8)? {
            0..=34 => self.admit(u)?,
            35..=64 => self.report(u)?,
            65..=74 => self.advance(u)?,
            75..=80 => self.announce(u)?,
            81..=86 => self.heartbeat(u)?,
            87..=88 => self.leave(u)?,
            89..=93 => self.cancel(u)?,
            94..=95 => self.change_entry(u)?,
            96 => self.set_share(u)?,
            97..=98 => self.report_usage(u)?,
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
        let spec = TaskSpec { entry, needs, deadline, repeat, job: u.int_in_range(0..=3)? };
        let result = self.core.admit(self.now, spec);
        self.oracle.record_admission(&spec, result);
        Ok(())
    }

    fn report(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(attempt) = self.oracle.any_attempt(u)? else { return Ok(()) };
        let report = match u.int_in_range(0..=19u8)? {
            0..=14 if self.oracle.has_pending(attempt) => AttemptReport::Checkpointed,
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

    fn advance(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now += Duration::from_millis(u.int_in_range(1..=1_500)?);
        self.core.tick(self.now);
        Ok(())
    }

    fn announce(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(TARGETS)?;
        let restarted = u.ratio(1, 4)?;
        self.incarnations[at] += u64::from(restarted);
        let worker = at % 2 == 1;
        let announcement = Announcement {
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
            incarnation: Incarnation(self.incarnations[at]),
            running: Vec::new(),
            connections: u.int_in_range(0..=4)?,
        };
        let key = self.core.announce(self.now, &announcement).expect("the incarnation never goes back");
        self.oracle.record_announcement(self.now, key, &announcement);
        Ok(())
    }

    fn heartbeat(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(TARGETS)?;
        let name = format!("t{at}").as_str().into();
        let result = self.core.heartbeat(self.now, &name, Incarnation(self.incarnations[at]));
        if result.is_ok() {
            self.oracle.record_heartbeat(self.now, &name);
        }
        Ok(())
    }

    fn leave(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let name = format!("t{}", u.choose_index(TARGETS)?).as_str().into();
        if self.core.leave(self.now, &name).is_ok() {
            self.oracle.record_leave(&name);
        }
        Ok(())
    }

    fn cancel(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let max_tasks = if u.ratio(1, 5)? { usize::MAX } else { 1 };
        let tasks = self.oracle.some_tasks(u, max_tasks)?;
        self.core.cancel_all(self.now, tasks);
        Ok(())
    }

    fn change_entry(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(self.catalogue.len())?;
        let class = *u.choose(&Class::ALL)?;
        let owner = *u.choose(&["red", "blue", "green"])?;
        self.catalogue[at] = entry(u, class, owner)?;
        self.install();
        Ok(())
    }

    fn set_share(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let key = *u.choose(&self.entries)?;
        let share = f64::from(u.int_in_range(1..=4u8)?) / 4.0;
        self.oracle.set_share(key, share);
        self.core.set_limit_share(self.now, key, LimitShare { rate: share, concurrency: share, quota: share });
        Ok(())
    }

    fn report_usage(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(TARGETS)?;
        let usage = Usage {
            incarnation: Incarnation(self.incarnations[at]),
            age_ms: u.int_in_range(0..=10_000)?,
            cores: 1.0,
            memory_mb: 1,
            accelerators: 0,
        };
        let _ = self.core.record_usage(self.now, &format!("t{at}").as_str().into(), &usage);
        Ok(())
    }

    /// Advances the clock past all deadlines and leases. Then each task must have ended once, and no resources may be
    /// in use.
    fn finish(&mut self) {
        for _ in 0..40 {
            self.now += Duration::from_secs(1);
            self.core.tick(self.now);
            let actions = self.core.drain();
            self.oracle.apply(self.now, &actions);
        }
        assert_eq!(self.core.live_tasks(), 0, "a task did not end");
        self.oracle.assert_all_ended();
        self.oracle.drain_attempts(&mut self.core, self.now);
        for view in self.core.target_views(self.now) {
            assert_eq!((view.running, view.cores), (0, 0), "resources of ended attempts were not freed");
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

/// Guards against lost or doubled tasks and answers, over-committed targets, exceeded limits and leaked resources under
/// any order of admissions, reports, restarts, cancellations and changes of the catalogue.
#[test]
fn random_events_keep_task_and_resource_counts_consistent() {
    let mut starts = 0;
    let mut waste = Waste::default();
    for seed in seeds() {
        arbtest(|u| {
            let mut world = World::open(u)?;
            while !u.is_empty() {
                world.step(u)?;
            }
            starts += world.oracle.starts();
            world.finish();
            add(&mut waste, &world.core.waste());
            Ok(())
        })
        .seed(seed);
    }
    assert!(starts > 10_000, "the runs started only {starts} tasks, too few for the test to be meaningful");
    let reached = [waste.retries, waste.hedges, waste.unsent, waste.stops, waste.probes, waste.ejections, waste.late];
    assert!(reached.iter().all(|&count| count > 50), "a kind of event was too rare: {waste:?}");
    let preempted = [waste.throttles, waste.checkpoints, waste.resumes];
    assert!(preempted.iter().all(|&count| count > 20), "a kind of event was too rare: {waste:?}");
}
