//! What callers get in a burst, by kind and size of their jobs.

use crate::driver::{Fate, JobRecord, Replay, ReplayResult, Scenario};
use std::ops::Range;

/// Priorities of the wide, the long and the short kind of jobs.
const PRIORITIES: [u32; 3] = [0, 2, 1];

/// Returns a site with targets of three speeds and two sizes, of which a task takes about half, with `per` times the jobs
/// of a site of 350 targets.
pub fn scenario(targets: usize, per: f64) -> Scenario {
    Scenario {
        targets,
        target_kinds: vec![(64_000, 1.0 / 0.6), (64_000, 1.0), (96_000, 1.0 / 1.6)],
        job_kinds: vec![(8, 60, 206.0 * per), (4, 900, 37.5 * per), (2, 200, 600.0 * per)],
        cpu: (22_000, 42_000),
        varied: true,
        troubles: Vec::new(),
    }
}

/// Results of one kind of jobs, in shares of what callers were owed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Share {
    pub worth: f64,
    pub timely: f64,
    pub late: f64,
    pub refused: f64,
    /// Served share of the largest tenth, and of the fifth below it, against the kind.
    pub large: f64,
    pub next: f64,
    /// Share of the refused that were told within 20 ms.
    pub at_once: f64,
}

fn share(records: &[&JobRecord]) -> Share {
    let count = records.len().max(1) as f64;
    let mean = records.iter().map(|job| job.work).sum::<f64>() / count;
    let weight = |job: &JobRecord| (0.3 + 0.7 * job.work / mean).min(4.0);
    let gain = |job: &JobRecord| match job.fate {
        Fate::Timely => weight(job),
        Fate::Late => weight(job) / 5.0,
        _ => 0.0,
    };
    let of = |fate: Fate| records.iter().filter(|job| job.fate == fate).count() as f64 / count;
    let served = |jobs: &[&JobRecord]| {
        let done = jobs.iter().filter(|job| matches!(job.fate, Fate::Timely | Fate::Late)).count();
        done as f64 / jobs.len().max(1) as f64
    };
    let mut by_size = records.to_vec();
    by_size.sort_by(|a, b| b.work.total_cmp(&a.work));
    let tenth = by_size.len() / 10;
    let all = served(records).max(1e-9);
    let refused: Vec<_> = records.iter().filter(|job| job.fate == Fate::Refused).collect();
    let at_once = refused.iter().filter(|job| job.took.as_millis() <= 20).count();
    Share {
        worth: records.iter().map(|job| gain(job)).sum::<f64>() / records.iter().map(|job| weight(job)).sum::<f64>(),
        timely: of(Fate::Timely),
        late: of(Fate::Late),
        refused: of(Fate::Refused),
        large: served(&by_size[..tenth]) / all,
        next: served(&by_size[tenth..3 * tenth]) / all,
        at_once: at_once as f64 / refused.len().max(1) as f64,
    }
}

/// Returns the shares of the kinds among the jobs that arrived in the seconds of a burst.
pub fn kinds(result: &ReplayResult, seconds: Range<u64>) -> Vec<Share> {
    let of = |kind: usize| {
        let within = |job: &&JobRecord| job.kind == kind && seconds.contains(&(job.arrived.as_micros() / 1_000_000));
        share(&result.records.iter().filter(within).collect::<Vec<_>>())
    };
    (0..3).map(of).collect()
}

/// Loads of the kinds of jobs in the bursts, against the usual load.
pub const BURSTS: [(&str, [f64; 3]); 5] = [
    ("usual", [1.0; 3]),
    ("wide 3", [3.0, 1.0, 1.0]),
    ("long 2", [1.0, 2.0, 1.0]),
    ("short 1.8", [1.0, 1.0, 1.8]),
    ("all 1.8", [1.8; 3]),
];

/// Work that a target of mean size and speed does, in cores.
pub const CORES_PER_TARGET: f64 = (64.0 * 0.6 + 64.0 + 96.0 * 1.6) / 3.0;

/// Seconds of the burst.
pub const SECONDS: Range<u64> = 2..6;

/// Returns the results of some seeds of a burst of four seconds with these loads by kind.
pub fn burst(targets: usize, per: f64, factors: [f64; 3], seeds: Range<u64>) -> ReplayResult {
    let mut loads = vec![vec![1.0; 3]; 2];
    loads.extend(vec![factors.to_vec(); 4]);
    loads.extend(vec![vec![1.0; 3]; 2]);
    let mut all = ReplayResult::default();
    for seed in seeds {
        let result = Replay::with_priorities(seed, scenario(targets, per), &PRIORITIES).run_kinds(&loads);
        all.records.extend(result.records);
    }
    all
}

/// Returns the part of what callers are owed that a scheduler serves that knows all arrivals and run times, and may
/// split work at will: jobs of most worth for their work first, as far as all work fits between arrival and goal.
pub fn upper_bound(records: &[JobRecord], rate: f64, seconds: Range<u64>) -> f64 {
    let within = |job: &&JobRecord| seconds.contains(&(job.arrived.as_micros() / 1_000_000));
    let burst: Vec<&JobRecord> = records.iter().filter(within).collect();
    let mean = |kind: usize| {
        let works: Vec<f64> = burst.iter().filter(|job| job.kind == kind).map(|job| job.work).collect();
        (works.iter().sum::<f64>() / works.len().max(1) as f64, works.len() as f64)
    };
    let means: Vec<(f64, f64)> = (0..3).map(mean).collect();
    let worth = |job: &JobRecord| {
        let (mean, count) = means[job.kind];
        (0.3 + 0.7 * job.work / mean).min(4.0) / count
    };
    let mut order: Vec<&JobRecord> = burst.clone();
    order.sort_by(|a, b| (worth(b) / b.work).total_cmp(&(worth(a) / a.work)));
    let tick = 10_000;
    let mut free = vec![rate * 10.0; 4096];
    let mut served = 0.0;
    for job in order {
        let from = (job.arrived.as_micros() / tick) as usize;
        let to = ((job.arrived + job.goal).as_micros() / tick) as usize;
        if free[from..=to].iter().sum::<f64>() < job.work {
            continue;
        }
        let mut left = job.work;
        for slot in &mut free[from..=to] {
            let part = slot.min(left);
            *slot -= part;
            left -= part;
        }
        served += worth(job);
    }
    served / burst.iter().map(|job| worth(job)).sum::<f64>()
}
