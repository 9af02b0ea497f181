//! Stateful fuzzing of the records of 3 to 7 hosts: no task starts twice, answers flip once, everything is answered.

mod world;

use arbitrary::Unstructured;
use arbtest::arbtest;
use mangogw_cluster::records::{Reply, Tag};
use mangogw_model::Code;
use rand::RngExt;
use std::cell::RefCell;
use std::time::Duration;
use world::{FaultSchedule, US_PER_MS, World};

/// Adds runs with further seeds: `MANGOGW_FUZZ_RUNS=5000`.
const RUNS: &str = "MANGOGW_FUZZ_RUNS";
/// Runs one seed alone.
const SEED: &str = "MANGOGW_FUZZ_SEED";
/// Runs in every test run.
const SEEDS: u64 = 48;
/// Bytes the fuzzer draws from in one run.
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
    /// What was wrong, by seed.
    faults: Vec<(u64, Vec<String>)>,
}

fn seeds(more: u64) -> std::ops::Range<u64> {
    match std::env::var(SEED).ok().and_then(|seed| seed.parse().ok()) {
        Some(seed) => seed..seed + 1,
        None => 0..SEEDS + more,
    }
}

/// One run: callers and faults, then calm, then every key is asked for.
fn property(u: &mut Unstructured<'_>, seed: u64, totals: &RefCell<Totals>) -> arbitrary::Result<()> {
    let hosts = u.int_in_range(3..=7)?;
    let zones = u.int_in_range(1..=3)?;
    let noise = u.arbitrary()?;
    let short = u.arbitrary()?;
    let script: FaultSchedule = u.arbitrary()?;
    let mut world = World::new(noise, hosts, zones, 160, short);
    for (time, fault) in &script.0 {
        world.schedule(*time, *fault);
    }
    let calm = script.0.last().map_or(2_000 * US_PER_MS, |(time, _)| *time) + 500 * US_PER_MS;
    world.run(calm.max(4_500 * US_PER_MS));
    world.heal_all();
    let quiet = world.now + 9_000 * US_PER_MS;
    world.run(quiet);
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

/// Everything is answered, and every key can be read.
fn finish(world: &mut World) {
    let open = world.oracle.open();
    world.oracle.check(open == 0, || format!("{open} requests were never answered"));
    let unready: Vec<_> = world.table.ranges().filter(|(_, range)| !range.ready).collect();
    let unready = format!("{unready:?}");
    world.oracle.check(unready == "[]", || format!("ranges never got ready: {unready}"));
    if world.oracle.retention < 9_000 * US_PER_MS {
        serve(world);
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
    world.oracle.check(open == 0, || format!("{open} last reads were never answered"));
    world.oracle.close();
}

/// After the retention every range serves again, whatever was lost.
fn serve(world: &mut World) {
    let mut tags = Vec::new();
    for at in world.ids() {
        for number in 0..6 {
            let tag = world.tag();
            let key = format!("last-{at}-{number}");
            world.submit(at, tag, key.into(), 0, 1_000 * US_PER_MS, Duration::from_secs(5));
            tags.push(tag);
        }
    }
    let later = world.now + 3_000 * US_PER_MS;
    world.run(later);
    for tag in tags {
        let reply = world.oracle.reply(tag);
        let full = matches!(reply, Some(Reply::Refused(Code::Overloaded)));
        let served = matches!(reply, Some(Reply::Ended(_)));
        world.oracle.check(served || full, || format!("{tag:?} was not served at the end: {reply:?}"));
    }
}

#[test]
fn no_task_starts_twice() {
    let more: u64 = std::env::var(RUNS).ok().and_then(|runs| runs.parse().ok()).unwrap_or(0);
    let totals = RefCell::new(Totals::default());
    for seed in seeds(more) {
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
fn a_cut_off_zone_serves_the_keys_it_holds() {
    let mut world = World::new(1, 6, 3, 0, false);
    world.noisy = false;
    world.run(1_500 * US_PER_MS);
    world.schedule(0, world::Fault::CutZone(1));
    let later = world.now + 3_000 * US_PER_MS;
    world.run(later);
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
    let later = world.now + 4_000 * US_PER_MS;
    world.run(later);
    for (tag, pinned) in tags {
        let reply = world.oracle.reply(tag);
        let served = matches!(reply, Some(Reply::Ended(_)));
        assert!(served || !pinned, "{tag:?} {reply:?}");
        assert!(reply.is_some(), "{tag:?}");
    }
    assert!(world.oracle.faults.is_empty(), "{:#?}", world.oracle.faults);
}

#[test]
fn a_leaving_host_loses_nothing() {
    let mut world = World::new(7, 6, 3, 240, true);
    world.noisy = false;
    world.schedule(1_500 * US_PER_MS, world::Fault::Leave(1));
    world.schedule(2_500 * US_PER_MS, world::Fault::Leave(3));
    world.run(9_000 * US_PER_MS);
    assert!(world.hosts[2].incarnation > 1 && world.hosts[4].incarnation > 1, "both left and came back");
    assert_eq!(world.crashes, 0);
    assert_eq!(world.oracle.unknowns, 0);
    assert!(world.oracle.completes > 50, "{}", world.oracle.completes);
    assert!(world.oracle.faults.is_empty(), "{:#?}", world.oracle.faults);
}
