//! Benchmarks of the time per placement and the memory per queued task.
//!
//! `cargo bench -p mangogw-dispatch --bench place`

use criterion::{Criterion, criterion_group, criterion_main};
use indexmap::IndexMap;
use mangogw_dispatch::{Action, AttemptReport, Dispatch, EntryKey, RepeatPolicy, Settings, TaskSpec};
use mangogw_model::{
    Announcement, AttemptId, Capacity, Class, Entry, EntryName, Incarnation, Kind, Limits, Needs, Time,
};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Allocator of the system that counts the allocated bytes.
struct CountingAllocator;

static BYTES: AtomicUsize = AtomicUsize::new(0);

#[expect(unsafe_code, reason = "an allocator can't be written without unsafe code")]
// SAFETY: each call is passed unchanged to the allocator of the system.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of the method.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of the method.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Number of owners, each with one entry.
const OWNERS: usize = 8;

/// Dispatch core that has learned the speeds of its targets, with its running attempts.
struct Bench {
    core: Dispatch,
    entries: Vec<EntryKey>,
    running: Vec<AttemptId>,
    now: Time,
    /// Number of admitted tasks; selects the entry and needs of the next task.
    admitted: usize,
}

impl Bench {
    /// Opens a core with all slots of `targets` targets taken and `queued` tasks in the queue.
    fn open(targets: usize, queued: usize) -> Self {
        let mut core = Dispatch::open(Settings { lease: Duration::from_hours(1000), ..Settings::default() });
        let catalogue: IndexMap<EntryName, Entry> = (0..OWNERS)
            .map(|at| {
                let entry = Entry {
                    owner: format!("o{at}").as_str().into(),
                    class: Class::ALL[at % 3],
                    repeatable: true,
                    limits: Limits { queue: 1_000_000, ..Limits::default() },
                    ..Entry::default()
                };
                (format!("e{at}").as_str().into(), entry)
            })
            .collect();
        core.install(Time::ZERO, &catalogue);
        for at in 0..targets {
            let announcement = Announcement {
                name: format!("t{at}").as_str().into(),
                address: ([127, 0, 0, 1], 9000).into(),
                zone: "z".into(),
                rack: format!("r{}", at / 8).as_str().into(),
                kind: Kind::Executor,
                entries: catalogue.keys().cloned().collect(),
                capacity: Capacity { slots: 8, ..Capacity::default() },
                incarnation: Incarnation(1),
                running: Vec::new(),
                connections: 60,
            };
            core.announce(Time::ZERO, &announcement).expect("the target is new");
        }
        let entries = catalogue.keys().filter_map(|name| core.entry_key(name)).collect();
        let mut bench = Self { core, entries, running: Vec::new(), now: Time::from_millis(1), admitted: 0 };
        // The core learns speeds, then the slots and the queue are filled.
        for _ in 0..targets * 100 {
            bench.admit();
            bench.answer();
        }
        for _ in 0..targets * 8 + queued {
            bench.admit();
        }
        bench
    }

    fn admit(&mut self) {
        self.admitted += 1;
        self.now += Duration::from_micros(10);
        let spec = TaskSpec {
            entry: self.entries[self.admitted % OWNERS],
            needs: Needs { estimate_ms: 50 + (self.admitted as u64 * 37) % 950, ..Needs::default() },
            deadline: self.now
                + Duration::from_hours(100)
                + Duration::from_micros((self.admitted as u64 * 7919) % 100_000),
            repeat: RepeatPolicy::Allowed,
            job: 0,
        };
        self.core.admit(self.now, spec).expect("the queue is below its limit");
        self.collect();
    }

    fn answer(&mut self) {
        if self.running.is_empty() {
            return;
        }
        self.now += Duration::from_micros(10);
        let at = (self.admitted * 31) % self.running.len();
        let attempt = self.running.swap_remove(at);
        self.core.report(self.now, attempt, AttemptReport::Answered);
        self.collect();
    }

    fn collect(&mut self) {
        for action in self.core.drain() {
            if let Action::Start { attempt, .. } = action {
                self.running.push(attempt);
            }
        }
    }
}

/// Measures an answer whose slot goes to a queued task, the admission to the queue, and an arrival that takes a free
/// slot. The time includes the handling of the answer or arrival.
fn place(c: &mut Criterion) {
    for (targets, queued) in [(50, 1_000), (1_200, 100_000)] {
        let mut bench = Bench::open(targets, queued);
        c.bench_function(&format!("answer and placement of a queued task, {targets} targets, {queued} queued"), |b| {
            b.iter_custom(|rounds| {
                let mut elapsed = Duration::ZERO;
                for _ in 0..rounds {
                    let start = Instant::now();
                    bench.answer();
                    elapsed += start.elapsed();
                    bench.admit();
                }
                elapsed
            });
        });
        c.bench_function(&format!("admission to the queue, {targets} targets, {queued} queued"), |b| {
            b.iter_custom(|rounds| {
                let mut elapsed = Duration::ZERO;
                for _ in 0..rounds {
                    bench.answer();
                    let start = Instant::now();
                    bench.admit();
                    elapsed += start.elapsed();
                }
                elapsed
            });
        });
        let mut bench = Bench::open(targets, 0);
        // A third of the slots is free, so each arrival is placed at once.
        for _ in 0..targets * 8 / 3 {
            bench.answer();
        }
        c.bench_function(&format!("arrival and placement on a free slot, {targets} targets"), |b| {
            b.iter_custom(|rounds| {
                let mut elapsed = Duration::ZERO;
                for _ in 0..rounds {
                    let start = Instant::now();
                    bench.admit();
                    elapsed += start.elapsed();
                    bench.answer();
                }
                elapsed
            });
        });
    }
}

/// Prints the bytes per queued task, over 100,000 tasks.
fn memory(_: &mut Criterion) {
    let mut bench = Bench::open(50, 0);
    let before = BYTES.load(Ordering::Relaxed);
    for _ in 0..100_000 {
        bench.admit();
    }
    let each = (BYTES.load(Ordering::Relaxed) - before) / 100_000;
    println!("memory: {each} bytes for each queued task");
}

criterion_group!(benches, place, memory);
criterion_main!(benches);
