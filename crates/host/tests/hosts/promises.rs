//! Checks the guarantees of the system under message loss, duplicates, partitions, crashes, freezes and failing
//! targets.
//!
//! `MANGOGW_WORLD_SEEDS=100..200` runs these seeds instead.

use crate::world::{Faults, World};
use mangogw_host::{HostRequest, Reply};
use mangogw_model::Time;
use std::time::Duration;

const NO_FAULTS: Faults =
    Faults { loss: 0.0, duplicates: 0.0, partitions: false, crashes: false, freezes: false, targets: false };
const ALL_FAULTS: Faults =
    Faults { loss: 0.02, duplicates: 0.02, partitions: true, crashes: true, freezes: true, targets: true };
/// Time by which the hosts have found each other and all have the catalogue.
const SETUP_END: Time = Time::from_millis(6_000);
/// Time at which clients and faults stop.
const FAULTS_END: Time = Time::from_millis(18_000);
/// Time within which traffic is back to normal after a partition has healed, as issue 6 requires.
const HEALING: Duration = Duration::from_secs(3);
/// Time by which every request is answered and every host is ready after the faults.
const RECOVERY_END: Time = Time::from_millis(34_000);

fn seeds(fixed: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let text = std::env::var("MANGOGW_WORLD_SEEDS").ok();
    let range = text.as_deref().and_then(|text| text.split_once(".."));
    range.map_or(fixed, |(from, to)| {
        from.parse().expect("first seed is a number")..to.parse().expect("end of the seeds is a number")
    })
}

fn check(seed: u64, hosts: usize, faults: Faults) {
    let targets = 9;
    let mut world = World::open(seed, hosts, targets, faults);
    world.run_until(SETUP_END, |world| world.is_settled(targets));
    assert_eq!(world.versions(), vec![1; hosts], "seed {seed}: not every host has the catalogue");
    assert_eq!(world.owned(), targets, "seed {seed}: not every target has one owner");
    world.run_with_faults(FAULTS_END);
    world.run(FAULTS_END + HEALING);
    world.run_until(RECOVERY_END, |world| world.is_answered() && world.is_settled(targets));
    check_safety(seed, &world);
    check_liveness(seed, hosts, targets, &mut world);
}

fn check_safety(seed: u64, world: &World) {
    let twice: Vec<_> = world.starts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "seed {seed}: started twice: {twice:?}");
    for (key, reply) in world.reported_not_run() {
        let ran: Vec<_> = world.starts.keys().filter(|(started, _)| started == key).collect();
        assert!(ran.is_empty(), "seed {seed}: {key} was reported as not run by {reply:?}, but ran: {ran:?}");
    }
    for (key, ends) in world.ends() {
        assert!(ends.iter().all(|end| *end == ends[0]), "seed {seed}: {key} ended in two ways: {ends:?}");
    }
    for request in world.requests.values() {
        if let Some(Reply::Job(view)) = &request.reply {
            let whole = view.tasks.is_empty() || view.tasks.len() == view.total as usize;
            assert!(whole, "seed {seed}: a partial answer: {view:?}");
        }
    }
}

fn check_liveness(seed: u64, hosts: usize, targets: usize, world: &mut World) {
    let silent: Vec<_> =
        world.requests.values().filter(|request| request.reply.is_none() && !request.disconnected).collect();
    assert!(silent.is_empty(), "seed {seed}: {} without a reply, such as {:?}", silent.len(), silent[0]);
    assert_eq!(world.versions(), vec![1; hosts], "seed {seed}: not every host has the catalogue again");
    assert_eq!(world.owned(), targets, "seed {seed}: not every target has one owner again");
    assert!(world.is_settled(targets), "seed {seed}: not every host is ready after the faults");
    let before = world.requests.len();
    for host in 0..hosts {
        let request = HostRequest::run("route", b"after the storm");
        world.send_request(host, None, request);
    }
    world.run(world.now + Duration::from_secs(4));
    for request in world.requests.values().skip(before) {
        assert!(matches!(request.reply, Some(Reply::Answer { .. })), "seed {seed}: not served: {request:?}");
    }
}

#[test]
fn without_faults() {
    for seed in seeds(0..2) {
        check(seed, 3, NO_FAULTS);
    }
}

#[test]
fn under_loss_and_duplicates() {
    for seed in seeds(10..12) {
        check(seed, 5, Faults { loss: 0.05, duplicates: 0.05, ..NO_FAULTS });
    }
}

#[test]
fn under_partitions() {
    for seed in seeds(20..23) {
        check(seed, 6, Faults { partitions: true, ..NO_FAULTS });
    }
}

#[test]
fn under_crashes() {
    for seed in seeds(30..33) {
        check(seed, 7, Faults { crashes: true, ..NO_FAULTS });
    }
}

#[test]
fn under_all_faults() {
    for seed in seeds(40..44) {
        check(seed, 7, ALL_FAULTS);
    }
}
