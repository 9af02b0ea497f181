//! Stateful fuzzing of the grants with crashes and restarts of hosts and targets, cuts, wrong views of the members, loss,
//! delay, duplicates and clocks of different rates. `TestCluster::run` checks at each step that at most one host acts as
//! owner of a target; after the faults end, every target must have an owner within [`CONVERGENCE_TIMEOUT`].

use crate::cluster::TestCluster;
use arbitrary::Unstructured;
use mangogw_model::Incarnation;
use std::time::Duration;

/// Covers a grant that is adopted just before the faults end, then preempted, the rest of its lease, and retries.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(6);
const SEEDS: u64 = 36;
const INPUT_BYTES: u64 = 256;

fn check(property: fn(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in (1..=SEEDS).map(|seed| seed.wrapping_mul(0x9e37_79b9) << 32 | INPUT_BYTES) {
        arbtest::arbtest(property).seed(seed).run();
    }
}

fn fault(cluster: &mut TestCluster, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let (hosts, targets) = (cluster.hosts.len(), cluster.targets.len());
    let (a, b, index) = (u.choose_index(hosts)?, u.choose_index(hosts)?, u.choose_index(targets)?);
    match u.int_in_range(0..=12)? {
        0 if cluster.hosts[a].up => cluster.crash(a),
        0 | 1 if !cluster.hosts[a].up => cluster.restart(a),
        2 | 3 if a != b => _ = cluster.blocked.insert((a, b)),
        4 | 5 if a != b => _ = cluster.unseen.insert((a, b)),
        6 => {
            for other in (0..hosts).filter(|&other| other != a) {
                cluster.blocked.extend([(a, other), (other, a)]);
                cluster.unseen.extend([(a, other), (other, a)]);
            }
        }
        7 => cluster.blocked.clear(),
        8 => cluster.unseen.clear(),
        9 => cluster.restart_target(index),
        10 => cluster.targets[index].entry = Some(a),
        11 => cluster.targets[index].entry = None,
        _ => cluster.leave_cluster(a),
    }
    cluster.run(Duration::from_millis(u.int_in_range(5..=2_500)?));
    Ok(())
}

#[test]
fn at_most_one_owner_during_faults_and_one_after() {
    check(|u| {
        let mut cluster = TestCluster::open(u.int_in_range(2..=5)?, 4, u.arbitrary()?);
        cluster.chaos = u.ratio(3, 4)?;
        for _ in 0..u.int_in_range(1..=25)? {
            fault(&mut cluster, u)?;
        }
        cluster.chaos = false;
        cluster.blocked.clear();
        cluster.unseen.clear();
        for host in 0..cluster.hosts.len() {
            if !cluster.hosts[host].up || cluster.hosts[host].leaving {
                cluster.restart(host);
            }
        }
        for fake in &mut cluster.targets {
            fake.entry = None;
        }
        cluster.run(CONVERGENCE_TIMEOUT);
        assert!(cluster.all_owned());
        Ok(())
    });
}

/// Guards against a second owner when hosts restart quickly and heartbeats alternate between hosts whose views differ.
#[test]
fn wrong_views_of_members_cause_no_second_owner() {
    check(|u| {
        let mut cluster = TestCluster::open(3, 3, u.arbitrary()?);
        cluster.chaos = true;
        for _ in 0..u.int_in_range(1..=30)? {
            cluster.unseen.clear();
            for _ in 0..u.int_in_range(0..=4)? {
                cluster.unseen.insert((u.choose_index(3)?, u.choose_index(3)?));
            }
            if u.ratio(1, 6)? {
                let host = u.choose_index(3)?;
                cluster.restart(host);
            }
            cluster.run(Duration::from_millis(u.int_in_range(100..=3_000)?));
        }
        cluster.chaos = false;
        cluster.unseen.clear();
        cluster.run(CONVERGENCE_TIMEOUT);
        assert!(cluster.all_owned());
        Ok(())
    });
}

/// A target announces at any host that it leaves, and keeps sending heartbeats while it drains. From 2 s later on, its
/// owner must know, also if the former owner has crashed or restarted.
#[test]
fn leave_is_known_to_any_later_owner() {
    check(|u| {
        let mut cluster = TestCluster::open(u.int_in_range(2..=5)?, 4, u.arbitrary()?);
        cluster.run(Duration::from_secs(4));
        cluster.chaos = u.arbitrary()?;
        let hosts = cluster.hosts.len();
        let (entry, index) = (u.choose_index(hosts)?, u.choose_index(cluster.targets.len())?);
        let target = cluster.targets[index].target.clone();
        cluster.leave(entry, &target);
        cluster.run(Duration::from_millis(u.int_in_range(1_000..=2_000)?));
        let victim = u.choose_index(hosts)?;
        match u.int_in_range(0..=2)? {
            0 => cluster.crash(victim),
            1 => cluster.restart(victim),
            _ => cluster.leave_cluster(victim),
        }
        cluster.run(Duration::from_millis(u.int_in_range(1_000..=8_000)?));
        for owner in cluster.owners(index) {
            assert!(cluster.hosts[owner].grants.is_leaving(&target, Incarnation(1)));
        }
        Ok(())
    });
}
