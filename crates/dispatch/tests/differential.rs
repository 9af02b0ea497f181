//! Differential test of the dispatch core against a naive dispatcher, which has one queue and scans all targets.
//! Both must admit the same tasks, answer them all and need equally many starts.

use indexmap::IndexMap;
use mangogw_dispatch::{Action, AttemptReport, Dispatch, End, RepeatPolicy, Settings, TargetKey, TaskSpec};
use mangogw_model::{
    Announcement, AttemptId, Capacity, Entry, EntryName, HostId, Incarnation, Kind, Limits, Needs, Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];
const TASKS: usize = 800;

/// Task of a script: arrival time, entry, cores, and size in microseconds.
type Step = (Time, usize, u32, u64);

/// Random tasks and targets that both dispatchers run.
struct Script {
    steps: Vec<Step>,
    /// Capacity, speed and served entries of each target.
    targets: Vec<(Capacity, u64, Vec<usize>)>,
}

impl Script {
    fn open(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let targets = (0..rng.random_range(3..12))
            .map(|at| {
                let cores = rng.random_range(1..=8);
                let capacity = Capacity { slots: cores, cores, memory_mb: 1_000, accelerators: 0 };
                // The first target serves all entries.
                let served = if at == 0 { vec![0, 1, 2] } else { vec![rng.random_range(0..3)] };
                (capacity, rng.random_range(1..=8), served)
            })
            .collect();
        let mut now = Time::ZERO;
        let steps = (0..TASKS)
            .map(|_| {
                now += Duration::from_micros(rng.random_range(0..20_000));
                (now, rng.random_range(0..3), rng.random_range(0..=10), rng.random_range(10_000..400_000))
            })
            .collect();
        Self { steps, targets }
    }

    fn announcement(&self, at: usize) -> Announcement {
        let (capacity, _, served) = &self.targets[at];
        Announcement {
            name: format!("t{at}").as_str().into(),
            address: ([127, 0, 0, 1], 9000).into(),
            zone: "z".into(),
            rack: "".into(),
            kind: Kind::Worker,
            entries: served.iter().map(|entry| name(*entry)).collect(),
            capacity: *capacity,
            incarnation: Incarnation(1),
            running: Vec::new(),
            connections: 0,
        }
    }
}

fn name(entry: usize) -> EntryName {
    format!("e{entry}").as_str().into()
}

/// Result of a script.
#[derive(Debug, PartialEq, Eq)]
struct Counts {
    /// True for each admitted task, in the order of arrival.
    admitted: Vec<bool>,
    starts: usize,
    answers: usize,
}

/// Runs a script with one queue; at each event all targets are scanned for each waiting task.
fn run_naive(script: &Script) -> Counts {
    let mut counts = Counts { admitted: Vec::new(), starts: 0, answers: 0 };
    // Slots and cores in use by target.
    let mut held = vec![(0, 0); script.targets.len()];
    let mut queue: VecDeque<(usize, u32, u64)> = VecDeque::new();
    let mut ends: BinaryHeap<Reverse<(Time, usize, u32)>> = BinaryHeap::new();
    let mut steps = script.steps.iter().peekable();
    loop {
        let next_end = ends.peek().map(|Reverse((at, ..))| *at);
        let now = match (steps.peek(), next_end) {
            (Some((at, ..)), end) if end.is_none_or(|end| *at < end) => {
                let (at, entry, cores, size) = *steps.next().expect("the script has a next step");
                let fits = script
                    .targets
                    .iter()
                    .any(|(capacity, _, served)| capacity.cores >= cores && served.contains(&entry));
                counts.admitted.push(fits);
                queue.extend(fits.then_some((entry, cores, size)));
                at
            }
            (_, Some(_)) => {
                let Reverse((at, on, cores)) = ends.pop().expect("an attempt is due to end");
                held[on] = (held[on].0 - 1, held[on].1 - cores);
                counts.answers += 1;
                at
            }
            _ => return counts,
        };
        queue.retain(|&(entry, cores, size)| {
            let free = (0..held.len()).find(|&at| {
                let (capacity, _, served) = &script.targets[at];
                served.contains(&entry) && held[at].0 < capacity.slots && held[at].1 + cores <= capacity.cores
            });
            if let Some(on) = free {
                held[on] = (held[on].0 + 1, held[on].1 + cores);
                counts.starts += 1;
                ends.push(Reverse((now + Duration::from_micros(size / script.targets[on].1), on, cores)));
            }
            free.is_none()
        });
    }
}

/// Runs a script with the dispatch core.
fn run_dispatch(script: &Script) -> Counts {
    let mut core = Dispatch::open(Settings { lease: Duration::from_hours(10), ..Settings::default() });
    let limits = Limits { queue: TASKS as u32, ..Limits::default() };
    let entry = Entry { repeatable: true, limits, ..Entry::default() };
    let catalogue: IndexMap<_, _> = (0..3).map(|at| (name(at), entry.clone())).collect();
    core.install(Time::ZERO, &catalogue);
    let keys: Vec<TargetKey> = (0..script.targets.len())
        .map(|at| core.announce(Time::ZERO, &script.announcement(at)).expect("the target is new"))
        .collect();
    let mut counts = Counts { admitted: Vec::new(), starts: 0, answers: 0 };
    let mut sizes = BTreeMap::new();
    let mut ends: BinaryHeap<Reverse<(Time, u64)>> = BinaryHeap::new();
    let mut steps = script.steps.iter().peekable();
    loop {
        let step = steps.peek().map(|(at, ..)| *at);
        let end = ends.peek().map(|Reverse((at, _))| *at);
        let wake = if counts.answers < counts.admitted.iter().filter(|admitted| **admitted).count() {
            core.next_wakeup()
        } else {
            None
        };
        let Some(now) = [step, end, wake].into_iter().flatten().min() else { return counts };
        if wake == Some(now) {
            core.tick(now);
        } else if end == Some(now) {
            let Reverse((_, serial)) = ends.pop().expect("an attempt is due to end");
            core.report(now, AttemptId::new(HostId(1), Incarnation(1), serial), AttemptReport::Answered);
        } else {
            let (_, at, cores, size) = *steps.next().expect("the script has a next step");
            let spec = TaskSpec {
                entry: core.entry_key(&name(at)).expect("the entry is in the catalogue"),
                needs: Needs { cores, ..Needs::default() },
                deadline: now + Duration::from_hours(1),
                repeat: RepeatPolicy::Allowed,
                job: 0,
            };
            let result = core.admit(now, spec);
            counts.admitted.push(result.is_ok());
            if let Ok(key) = result {
                sizes.insert(key, size);
            }
        }
        for action in core.drain() {
            match action {
                Action::Start { task, attempt, target } => {
                    counts.starts += 1;
                    let on = keys.iter().position(|key| *key == target).expect("the target was announced");
                    let run_time = Duration::from_micros(sizes[&task] / script.targets[on].1);
                    ends.push(Reverse((now + run_time, attempt.serial())));
                }
                Action::End { end: End::Answered(_), .. } => counts.answers += 1,
                other => panic!("expected a start or an answer: {other:?}"),
            }
        }
    }
}

/// Guards against a core that refuses, loses or starts again a task that a plain scan of all targets serves.
#[test]
fn dispatch_admits_and_answers_the_same_tasks_as_a_naive_dispatcher() {
    let mut refused = 0;
    for seed in SEEDS {
        let script = Script::open(seed);
        let (naive, dispatch) = (run_naive(&script), run_dispatch(&script));
        refused += naive.admitted.iter().filter(|admitted| !**admitted).count();
        assert_eq!(naive, dispatch, "seed {seed}");
    }
    assert!(refused > 0, "no script has a task that no target can run");
}
