//! Stateful fuzzing of the submission records of 3 to 7 hosts. The oracle checks that no task starts twice, that the end
//! of a submission never changes once it was reported, and that every request gets a reply.

mod world;

use arbitrary::Unstructured;
use arbtest::arbtest;
use mangogw_cluster::records::{Reply, Tag};
use mangogw_model::Code;
use rand::RngExt;
use std::cell::RefCell;
use std::time::Duration;
use world::{FaultSchedule, US_PER_MS, World};

/// Environment variable with the number of runs to add, each with another seed: `MANGOGW_FUZZ_RUNS=5000`.
const RUNS: &str = "MANGOGW_FUZZ_RUNS";
/// Environment variable with the only seed to run.
const SEED: &str = "MANGOGW_FUZZ_SEED";
/// Number of seeds in every test run.
const SEEDS: u64 = 48;
/// Bytes that the fuzzer draws from in one run.
const INPUT_BYTES: u64 = 256;

#[derive(Debug, Default)]
struct Totals {
    starts: usize,
    completes: u64,
    failures: u64,
    unknowns: u64,
    refusals: u64,
    epochs: u64,
    crashes: u64,
    /// Faults that the oracle found, by seed.
    faults: Vec<(u64, Vec<String>)>,
}

fn seeds(extra: u64) -> std::ops::Range<u64> {
    match std::env::var(SEED).ok().and_then(|seed| seed.parse().ok()) {
        Some(seed) => seed..seed + 1,
        None => 0..SEEDS + extra,
    }
}

/// Runs one seed: callers with faults, then a time without faults, then a read of every key.
fn property(u: &mut Unstructured<'_>, seed: u64, totals: &RefCell<Totals>) -> arbitrary::Result<()> {
    let hosts = u.int_in_range(3..=7)?;
    let zones = u.int_in_range(1..=3)?;
    let noise = u.arbitrary()?;
    let short = u.arbitrary()?;
    let schedule: FaultSchedule = u.arbitrary()?;
    let mut world = World::new(noise, hosts, zones, 160, short);
    for (time, fault) in &schedule.0 {
        world.schedule(*time, *fault);
    }
    let faults_end = schedule.0.last().map_or(2_000 * US_PER_MS, |(time, _)| *time) + 500 * US_PER_MS;
    world.run(faults_end.max(4_500 * US_PER_MS));
    world.heal_all();
    let calm_end = world.now + 9_000 * US_PER_MS;
    world.run(calm_end);
    finish(&mut world);
    let faults = std::mem::take(&mut world.oracle.faults);
    if !faults.is_empty() {
        totals.borrow_mut().faults.push((seed, faults));
    }
    let mut totals = totals.borrow_mut();
    totals.starts += world.oracle.count();
    totals.completes += world.oracle.completes;
    totals.failures += world.oracle.failures;
    totals.unknowns += world.oracle.unknowns;
    totals.refusals += world.oracle.refusals;
    totals.epochs += world.table.ranges().map(|(_, range)| range.epoch).sum::<u64>();
    totals.crashes += world.crashes;
    Ok(())
}

/// Checks that every request got a reply and that every key can be read.
fn finish(world: &mut World) {
    let open = world.oracle.open();
    world.oracle.check(open == 0, || format!("{open} requests never got a reply"));
    let unready: Vec<_> = world.table.ranges().filter(|(_, range)| !range.ready).collect();
    let unready = format!("{unready:?}");
    world.oracle.check(unready == "[]", || format!("ranges never became ready: {unready}"));
    if world.oracle.retention < 9_000 * US_PER_MS {
        check_service(world);
    }
    let keys = world.oracle.keys();
    for key in keys {
        let at = world.rng.random_range(world.ids());
        let tag = world.tag();
        world.oracle.on_request(world.now, tag, at, &key, None);
        world.with_records(at, |records, now| records.read(now, tag, key, Duration::ZERO));
    }
    let end = world.now + 1_000 * US_PER_MS;
    world.run(end);
    let open = world.oracle.open();
    world.oracle.check(open == 0, || format!("{open} of the last reads never got a reply"));
    world.oracle.close();
}

/// Checks that every range accepts submissions again after the retention, whichever records were lost.
fn check_service(world: &mut World) {
    let mut tags = Vec::new();
    for at in world.ids() {
        for number in 0..6 {
            let tag = world.tag();
            let key = format!("last-{at}-{number}");
            world.submit(at, tag, key.into(), 0, 1_000 * US_PER_MS, Duration::from_secs(5));
            tags.push(tag);
        }
    }
    let end = world.now + 3_000 * US_PER_MS;
    world.run(end);
    for tag in tags {
        let reply = world.oracle.reply(tag);
        let full = matches!(reply, Some(Reply::Refused(Code::Overloaded)));
        let served = matches!(reply, Some(Reply::Ended(_)));
        world.oracle.check(served || full, || format!("{tag:?} was not served at the end: {reply:?}"));
    }
}

#[test]
fn no_task_starts_twice() {
    let extra: u64 = std::env::var(RUNS).ok().and_then(|runs| runs.parse().ok()).unwrap_or(0);
    let totals = RefCell::new(Totals::default());
    for seed in seeds(extra) {
        arbtest(|u| property(u, seed, &totals)).seed(seed << 32 | INPUT_BYTES);
    }
    let totals = totals.into_inner();
    assert!(totals.faults.is_empty(), "{} seeds failed: {:#?}", totals.faults.len(), totals.faults);
    println!("{totals:?}");
    if std::env::var(SEED).is_ok() {
        return;
    }
    assert!(totals.starts > 2_000 && totals.completes > 1_000 && totals.failures > 500, "{totals:?}");
    assert!(totals.epochs > 1_000 && totals.crashes > 100, "{totals:?}");
}

#[test]
fn a_cut_off_zone_serves_the_keys_that_it_holds() {
    let mut world = World::new(1, 6, 3, 0, false);
    world.noisy = false;
    world.run(1_500 * US_PER_MS);
    world.schedule(0, world::Fault::CutZone(1));
    let end = world.now + 3_000 * US_PER_MS;
    world.run(end);
    let inside: Vec<usize> = world.ids().filter(|at| world.hosts[*at].zone == 1).collect();
    let mut tags: Vec<(Tag, bool)> = Vec::new();
    for at in inside {
        for number in 0..4 {
            let (pinned, hashed) = (world.tag(), world.tag());
            world.submit(at, pinned, format!("z1:a{at}{number}").into(), 0, 900 * US_PER_MS, Duration::from_secs(2));
            world.submit(at, hashed, format!("b{at}{number}").into(), 0, 900 * US_PER_MS, Duration::from_secs(2));
            tags.extend([(pinned, true), (hashed, false)]);
        }
    }
    let end = world.now + 4_000 * US_PER_MS;
    world.run(end);
    for (tag, pinned) in tags {
        let reply = world.oracle.reply(tag);
        let served = matches!(reply, Some(Reply::Ended(_)));
        assert!(served || !pinned, "{tag:?} {reply:?}");
        assert!(reply.is_some(), "{tag:?}");
    }
    assert!(world.oracle.faults.is_empty(), "{:#?}", world.oracle.faults);
}

#[test]
fn a_leaving_host_loses_no_record() {
    let mut world = World::new(7, 6, 3, 240, true);
    world.noisy = false;
    world.schedule(1_500 * US_PER_MS, world::Fault::Leave(1));
    world.schedule(2_500 * US_PER_MS, world::Fault::Leave(3));
    world.run(9_000 * US_PER_MS);
    assert!(world.hosts[2].incarnation > 1 && world.hosts[4].incarnation > 1, "both hosts left and restarted");
    assert_eq!(world.crashes, 0);
    assert_eq!(world.oracle.unknowns, 0);
    assert!(world.oracle.completes > 50, "{}", world.oracle.completes);
    assert!(world.oracle.faults.is_empty(), "{:#?}", world.oracle.faults);
}
