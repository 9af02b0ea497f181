//! Directed tests of hosts that come back with a new disk to a group of six control hosts whose leader is no seed.

use crate::large_group::complete_group;
use crate::simulation::{CONTROL_HOSTS, LARGE_GROUP, Simulation};
use std::time::Duration;

/// Time after its return for which a lost host still counts as lost.
const RETURN: Duration = Duration::from_secs(6);

/// Returns a complete group that is led by a host that joined it, and its learner. The founders are the seeds.
fn led_by_no_seed(seed: u64) -> (Simulation, usize) {
    let mut sim = complete_group(seed);
    for _ in 0..20 {
        let leader = sim.group_leader().expect("the group has a leader without faults");
        if leader >= CONTROL_HOSTS && sim.is_complete() {
            let learner = sim.group_members().expect("the group has a leader").learners[0];
            return (sim, learner);
        }
        sim.kill(leader, false, 300);
        sim.run_for(Duration::from_secs(4));
    }
    panic!("seed {seed}: only founders lead, {}", sim.describe_group());
}

/// Guards against a host with a new disk that asks only the seeds to join, while the leader, whose messages to its earlier
/// id it hears, is none of them.
#[test]
fn a_host_with_a_new_disk_joins_a_leader_that_is_no_seed() {
    let mut failures = Vec::new();
    for seed in 530..536 {
        let (mut sim, learner) = led_by_no_seed(seed);
        // No other host can replace the founder, so that its earlier id stays a voter.
        sim.kill(learner, false, 60_000);
        sim.lose_disk(0, 1000);
        sim.run_for(Duration::from_secs(1) + RETURN);
        let members = sim.group_members().unwrap_or_default();
        if !members.voters.contains(&0) {
            failures.push(format!("seed {seed}, {members:?}: {}", sim.describe_group()));
        }
    }
    assert!(failures.is_empty(), "{} failures:\n{}", failures.len(), failures.join("\n"));
}

/// Guards against a group without a majority after two lost disks, once the two that were lost before count as back: a
/// founder and the learner, which stay outside.
#[test]
fn two_lost_disks_after_two_others_leave_a_majority() {
    let mut failures = Vec::new();
    for seed in 530..534 {
        for founder in 0..CONTROL_HOSTS {
            let (mut sim, learner) = led_by_no_seed(seed);
            sim.lose_disk(founder, 1000);
            sim.lose_disk(learner, 1000);
            sim.run_for(Duration::from_secs(1) + RETURN);
            let members = sim.group_members().unwrap_or_default();
            let lost: Vec<usize> = members.voters.iter().copied().filter(|host| *host != founder).take(2).collect();
            for host in 0..LARGE_GROUP {
                match lost.contains(&host) {
                    true => sim.lose_disk(host, 1000),
                    false => sim.cut_power(host, 1000),
                }
            }
            sim.run_for(Duration::from_secs(1));
            if !sim.serves_a_change(Duration::from_secs(15)) {
                let state = sim.describe_group();
                let later = sim.serves_a_change(Duration::from_mins(1));
                failures.push(format!(
                    "seed {seed}, disks {founder} and {learner}, then {lost:?} of {members:?}, later {later}: {state}"
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{} failures:\n{}", failures.len(), failures.join("\n"));
}

/// Guards against a host that is listed as two voters beside another lost one: it loses its disk again before its earlier id is
/// removed, while the learner is back from a restart and not promoted yet.
#[test]
fn a_successor_that_loses_its_disk_at_once_leaves_a_majority() {
    let mut failures = Vec::new();
    let mut plays = 0;
    for seed in 540..546 {
        let sim = complete_group(seed);
        let leader = sim.group_leader().expect("the group has a leader without faults");
        let members = sim.group_members().expect("the group has a leader");
        let (learner, voters) = (members.learners[0], members.voters);
        for twice in voters.iter().copied().filter(|host| *host != leader) {
            let other = voters.iter().copied().find(|host| *host != leader && *host != twice).expect("five hosts vote");
            let mut sim = complete_group(seed);
            sim.lose_disk(other, 6000);
            sim.kill(learner, false, 2000);
            sim.lose_disk(twice, 600);
            let has_promoted =
                |sim: &Simulation| sim.group_members().is_some_and(|members| members.voters.contains(&twice));
            if !sim.run_until(Duration::from_secs(6), has_promoted) {
                continue;
            }
            plays += 1;
            sim.lose_disk(twice, 1000);
            sim.run_for(Duration::from_secs(6));
            if !sim.serves_a_change(Duration::from_secs(15)) {
                let state = sim.describe_group();
                let later = sim.serves_a_change(Duration::from_mins(1));
                failures.push(format!("seed {seed}, disks {twice} twice and {other}, later {later}: {state}"));
            }
        }
    }
    assert!(plays > 0, "no host with a new disk voted within 6 s");
    assert!(failures.is_empty(), "{} failures in {plays} plays:\n{}", failures.len(), failures.join("\n"));
}
