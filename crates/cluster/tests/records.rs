//! Stateful fuzzing of the records of 3 to 7 hosts: no task starts twice, answers flip once, everything is answered.

mod world;

use arbitrary::Unstructured;
use arbtest::arbtest;
use mangogw_cluster::records::{Reply, Tag};
use std::cell::RefCell;
use std::time::Duration;
use world::{MS, Script, World};

/// Adds runs with further seeds: `MANGOGW_FUZZ_RUNS=5000`.
const RUNS: &str = "MANGOGW_FUZZ_RUNS";
/// Runs in every test run.
const SEEDS: u64 = 60;
/// Bytes the fuzzer draws from in one run.
const SIZE: u64 = 256;

#[derive(Debug, Default)]
struct Totals {
    starts: usize,
    completes: u64,
    failures: u64,
    unknowns: u64,
    refusals: u64,
    epochs: u64,
    crashes: u64,
}

/// One run: callers and faults, then calm, then every key is asked for.
fn property(u: &mut Unstructured<'_>, totals: &RefCell<Totals>) -> arbitrary::Result<()> {
    let hosts = u.int_in_range(3..=7)?;
    let zones = u.int_in_range(1..=3)?;
    let seed = u.arbitrary()?;
    let script: Script = u.arbitrary()?;
    let mut world = World::new(seed, hosts, zones, 120);
    for (time, fault) in &script.0 {
        world.schedule(*time, *fault);
    }
    let calm = script.0.last().map_or(2_000 * MS, |(time, _)| *time) + 500 * MS;
    world.run(calm.max(4_500 * MS));
    world.mend();
    let quiet = world.now + 9_000 * MS;
    world.run(quiet);
    finish(&mut world);
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

/// Everything is answered, and every key can be read at every host.
fn finish(world: &mut World) {
    let open = world.oracle.open();
    world.oracle.check(open == 0, || format!("{open} requests were never answered"));
    let unready = world.table.ranges().filter(|(_, range)| !range.ready).count();
    world.oracle.check(unready == 0, || format!("{unready} ranges never got ready"));
    let keys = world.oracle.keys();
    for key in keys {
        for at in world.ids() {
            let tag = world.tag();
            let key = key.clone();
            world.oracle.asked(world.now, tag, at, &key, None);
            world.with(at, |records, now| records.read(now, tag, key, Duration::ZERO));
        }
    }
    let end = world.now + 1_000 * MS;
    world.run(end);
    let open = world.oracle.open();
    world.oracle.check(open == 0, || format!("{open} last reads were never answered"));
    world.oracle.close();
    assert!(world.oracle.faults.is_empty(), "{:#?}", world.oracle.faults);
}

#[test]
fn no_task_starts_twice() {
    let more: u64 = std::env::var(RUNS).ok().and_then(|runs| runs.parse().ok()).unwrap_or(0);
    let totals = RefCell::new(Totals::default());
    for seed in 0..SEEDS + more {
        arbtest(|u| property(u, &totals)).seed(seed << 32 | SIZE);
    }
    let totals = totals.into_inner();
    println!("{totals:?}");
    assert!(totals.starts > 2_000 && totals.completes > 1_000 && totals.failures > 500, "{totals:?}");
    assert!(totals.epochs > 1_000 && totals.crashes > 100, "{totals:?}");
}

#[test]
fn a_cut_off_zone_serves_the_keys_it_holds() {
    let mut world = World::new(1, 6, 3, 0);
    world.noisy = false;
    world.run(1_500 * MS);
    world.schedule(0, world::Fault::CutZone(1));
    let later = world.now + 3_000 * MS;
    world.run(later);
    let inside: Vec<usize> = world.ids().filter(|at| world.hosts[*at].zone == 1).collect();
    let mut tags: Vec<(Tag, bool)> = Vec::new();
    for at in inside {
        for number in 0..4 {
            let (pinned, hashed) = (world.tag(), world.tag());
            world.submit(at, pinned, format!("z1:a{at}{number}").into(), 0, 900 * MS, Duration::from_secs(2));
            world.submit(at, hashed, format!("b{at}{number}").into(), 0, 900 * MS, Duration::from_secs(2));
            tags.extend([(pinned, true), (hashed, false)]);
        }
    }
    let later = world.now + 4_000 * MS;
    world.run(later);
    for (tag, pinned) in tags {
        let reply = world.oracle.reply(tag);
        let served = matches!(reply, Some(Reply::Ended(_)));
        assert!(served || !pinned, "{tag:?} {reply:?}");
        assert!(reply.is_some(), "{tag:?}");
    }
    assert!(world.oracle.faults.is_empty(), "{:#?}", world.oracle.faults);
}
