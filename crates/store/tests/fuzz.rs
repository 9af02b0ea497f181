//! Stateful fuzz of groups of 3 and 5 voters: random faults, with all outputs checked by `fake::world::World`.
//!
//! `MANGOGW_FUZZ_RUNS=5000 cargo test --release -p mangogw-store --test fuzz` runs more seeds, starting at
//! `MANGOGW_FUZZ_SEED`.

#[expect(dead_code, reason = "each test file uses a part of the fakes")]
mod fake;

use arbitrary::{Result, Unstructured};
use fake::world::{World, folder_id, settings};
use mangogw_model::HostId;
use mangogw_store::{MembershipChange, Payload, Role};

/// Number of runs for each group size unless `MANGOGW_FUZZ_RUNS` is set.
const DEFAULT_RUNS: u64 = 60;
/// Seeds that once failed in longer searches; run in addition to the range above.
const REGRESSION_SEEDS: [u64; 1] = [30_510];
/// Bytes of random choices in one run.
const CHOICE_BYTES: u64 = 1_500;

fn runs() -> std::ops::Range<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("MANGOGW_FUZZ_SEED").unwrap_or(1);
    first..first + number("MANGOGW_FUZZ_RUNS").unwrap_or(DEFAULT_RUNS)
}

#[test]
fn three_voters_keep_what_they_acknowledge() {
    fuzz(3);
}

#[test]
fn five_voters_keep_what_they_acknowledge() {
    fuzz(5);
}

/// What the runs covered, summed over all of them.
#[derive(Debug, Default)]
struct Seen {
    acked: usize,
    reads: usize,
    terms: usize,
    lost: usize,
    emptied: usize,
    changes: usize,
    restores: usize,
    served: usize,
}

fn fuzz(voters: u64) {
    let mut seen = Seen::default();
    for run in runs().chain(REGRESSION_SEEDS) {
        arbtest::arbtest(|u| run_case(u, run, voters, &mut seen)).seed((run << 32) | CHOICE_BYTES).run();
    }
    println!("{voters} voters, {:?}: {seen:?}", runs());
    let runs = runs().count();
    // Runs that cover too little would pass without testing anything.
    assert!(seen.acked > 10 * runs && seen.reads > 5 * runs && seen.terms > 3 * runs, "{seen:?}");
    assert!(
        seen.lost > runs / 4
            && seen.emptied > runs / 4
            && seen.changes > runs
            && seen.restores > runs
            && seen.served > runs / 2,
        "{seen:?}"
    );
}

impl Seen {
    fn add(&mut self, world: &World) {
        self.acked += world.acked.len();
        self.reads += world.reads;
        self.terms += world.leaders.len();
        self.lost += world.nodes.values().filter(|node| node.disk_lost).count();
        self.changes += world.log.values().filter(|(_, payload)| matches!(payload, Payload::Members(_))).count();
        self.restores += world.restores;
        self.served += usize::from(world.recoverable());
    }
}

fn run_case(u: &mut Unstructured<'_>, run: u64, voters: u64, seen: &mut Seen) -> Result<()> {
    let mut world = World::new(run, voters, settings());
    world.loss_percent = u.int_in_range(0..=5)?;
    world.delay_us = *u.choose(&[500, 3_000, 30_000])?;
    world.run(1_000);
    while u.len() > 8 {
        random_step(u, &mut world, seen)?;
    }
    check_recovery(&mut world);
    seen.add(&world);
    Ok(())
}

fn choose_host(u: &mut Unstructured<'_>, hosts: &[HostId]) -> Result<HostId> {
    u.choose(hosts).copied()
}

fn random_step(u: &mut Unstructured<'_>, world: &mut World, seen: &mut Seen) -> Result<()> {
    let all: Vec<HostId> = world.nodes.iter().filter(|(_, node)| !node.disk_lost).map(|(id, _)| *id).collect();
    let host = choose_host(u, &all)?;
    let other = choose_host(u, &all)?;
    let leader = world.leader().unwrap_or(host);
    let up = world.nodes[&host].running.is_some();
    match u.int_in_range(0..=38)? {
        0..=7 => world.run(u.int_in_range(1..=300)?),
        8..=11 => {
            for _ in 0..u.int_in_range(1..=6)? {
                world.write(leader);
            }
        }
        12 if up => {
            world.write(host);
        }
        13 | 14 => {
            world.read(leader);
        }
        15 if up => {
            world.read(host);
        }
        16 | 17 => {
            world.cut_links.insert((host, other));
        }
        18 => isolate(world, host),
        19 | 20 => world.cut_links.clear(),
        21 | 22 if up => world.crash(host, u.arbitrary()?),
        23..=25 => world.start(host),
        26 if up => world.nodes[&host].disk.fail_after(Some(u.int_in_range(0..=6)?)),
        27 if up && world.raft(host).status().role == Role::Failed => world.crash(host, true),
        28 => replace_host(u, world, host, leader, seen)?,
        29 => world.set_clock_rate(host, u.int_in_range(80..=120)?),
        30 if up && world.nodes[&leader].running.is_some() => {
            world.transfer(leader, other);
        }
        31 | 32 => stabilize(world),
        33..=38 => random_change(u, world, leader, other)?,
        _ => {}
    }
    Ok(())
}

/// Starts all hosts, restores all links and waits for a leader; disks and clocks keep their faults.
fn stabilize(world: &mut World) {
    world.cut_links.clear();
    for host in world.nodes.keys().copied().collect::<Vec<_>>() {
        world.start(host);
    }
    world.run_until(1_500, |world| world.leader().is_some());
}

fn isolate(world: &mut World, host: HostId) {
    for other in world.nodes.keys().copied().collect::<Vec<_>>() {
        world.cut_links.extend([(host, other), (other, host)]);
    }
}

/// Loses or replaces a disk at random, unless the group would lose its quorum, and adds a new host as a learner.
fn replace_host(
    u: &mut Unstructured<'_>,
    world: &mut World,
    host: HostId,
    leader: HostId,
    seen: &mut Seen,
) -> Result<()> {
    world.nodes.get_mut(&host).unwrap().disk_lost = true;
    let recoverable = world.recoverable();
    world.nodes.get_mut(&host).unwrap().disk_lost = false;
    if world.nodes.len() > 16 || !recoverable {
        return Ok(());
    }
    match u.int_in_range(0..=3)? {
        0 | 1 => world.lose_disk(host),
        // Against the rules, the host is restarted under its old id.
        2 => {
            seen.emptied += 1;
            world.replace_disk(host);
        }
        _ => {}
    }
    let new = world.join();
    if world.nodes[&leader].running.is_some() {
        world.change(leader, MembershipChange::AddLearner(new, folder_id(new)));
    }
    Ok(())
}

/// Proposes a membership change: mostly one that helps (removes a lost member, promotes a learner), or a random one.
fn random_change(u: &mut Unstructured<'_>, world: &mut World, leader: HostId, other: HostId) -> Result<()> {
    if world.nodes[&leader].running.is_none() {
        return Ok(());
    }
    let members = world.raft(leader).members().clone();
    let is_lost = |id: &HostId| world.nodes[id].disk_lost || members.folder_id(*id) != Some(world.nodes[id].folder_id);
    let lost = members.peers(leader).find(is_lost);
    let change = match (u.int_in_range(0..=5)?, lost, members.learners.keys().next()) {
        (0, _, _) => MembershipChange::AddLearner(other, world.nodes[&other].folder_id),
        (1, _, _) => MembershipChange::Remove(other),
        (2 | 3, Some(lost), _) => MembershipChange::Remove(lost),
        (_, _, Some(learner)) => MembershipChange::Promote(*learner),
        _ => MembershipChange::Promote(other),
    };
    world.change(leader, change);
    Ok(())
}

/// Ends all faults and asserts that the group serves again, every member catches up and no acknowledged write is lost.
fn check_recovery(world: &mut World) {
    world.clear_faults();
    if !world.recoverable() {
        world.run(3_000);
        return world.check_acked();
    }
    let elected = world.run_until(3_000, |world| world.leader().is_some());
    assert!(elected, "no leader after the faults ended: {:#?}", world.statuses());
    let served = world.run_until(4_000, |world| {
        let Some(leader) = world.leader() else { return false };
        let (write, read) = (world.write(leader), world.read(leader));
        world.run(150);
        world.completed.contains(&write) && world.completed.contains(&read)
    });
    assert!(served, "the group completes no write and read after the faults ended");
    world.check_acked();
    let leader = world.leader().unwrap();
    let caught_up = world.run_until(5_000, |world| {
        let target = world.raft(leader).status().commit;
        let members = world.raft(leader).members();
        members.peers(leader).all(|id| {
            let node = &world.nodes[&id];
            let is_member = members.folder_id(id) == Some(node.folder_id);
            node.running.as_ref().is_none_or(|running| !is_member || running.app.applied_index >= target)
        })
    });
    assert!(caught_up, "a member does not catch up: {:#?}", world.statuses());
}
