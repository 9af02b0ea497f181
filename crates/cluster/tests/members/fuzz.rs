//! Stateful fuzzing of the membership with crashes, restarts, leaves, cuts one way and both ways, dropped flows, loss,
//! delay and duplicates. After the faults end, all hosts must know the true members within [`CONVERGENCE_TIMEOUT`].

use crate::net::Net;
use arbitrary::Unstructured;
use mangogw_cluster::members::Status;
use mangogw_model::{HostId, Zone};
use std::time::Duration;

/// Covers a round of pings to dead hosts, refutations, and digests between relays.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(15);
const SEEDS: u64 = 40;
/// Bytes of entropy; `arbtest` takes them from the low half of a seed.
const INPUT_BYTES: u64 = 256;

fn seeds() -> impl Iterator<Item = u64> {
    (1..=SEEDS).map(|seed| seed.wrapping_mul(0x9e37_79b9) << 32 | INPUT_BYTES)
}

fn check(property: fn(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in seeds() {
        arbtest::arbtest(property).seed(seed).run();
    }
}

fn open(u: &mut Unstructured<'_>) -> arbitrary::Result<Net> {
    let shapes: [&[usize]; 4] = [&[3], &[2, 1], &[3, 2, 2], &[4, 3]];
    let mut net = Net::open(u.choose(&shapes)?, u.arbitrary()?);
    net.run(Duration::from_secs(5));
    assert!(net.agree(), "all hosts have joined");
    Ok(net)
}

fn fault(net: &mut Net, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let count = net.hosts.len();
    let (a, b) = (u.choose_index(count)?, u.choose_index(count)?);
    let running = net.hosts.iter().filter(|host| host.up).count();
    match u.int_in_range(0..=9)? {
        0 if net.hosts[a].up && running > 2 => net.crash(a),
        1 | 2 if !net.hosts[a].up => net.restart(a),
        3 | 4 => net.block(a, b),
        5 => {
            net.block(a, b);
            net.block(b, a);
        }
        6 => net.drop_flow(a, b),
        7 => net.isolate(a),
        8 => net.heal(),
        9 if net.hosts[a].up && running > 2 => net.leave(a),
        _ => net.cut_zone(&Zone::from("z0")),
    }
    net.run(Duration::from_millis(u.int_in_range(10..=4_000)?));
    Ok(())
}

#[test]
fn hosts_agree_after_faults_end() {
    check(|u| {
        let mut net = open(u)?;
        net.chaos = true;
        for _ in 0..u.int_in_range(1..=12)? {
            fault(&mut net, u)?;
        }
        net.chaos = false;
        net.heal();
        // In a zone whose hosts are all down, no host is left that could tell a crash from a cut.
        for host in 0..net.hosts.len() {
            if !net.hosts[host].up {
                net.restart(host);
            }
        }
        net.run(CONVERGENCE_TIMEOUT);
        assert!(net.agree());
        let ids: Vec<HostId> = (0..net.hosts.len() as u64).map(HostId).collect();
        for node in &net.hosts {
            assert!(ids.iter().all(|&id| node.members.reachable(id)), "{:?}", node.members.me().id);
            assert!(ids.iter().all(|&id| node.members.status(id) == Some(Status::Alive)));
        }
        net.downs.clear();
        net.run(Duration::from_secs(10));
        assert!(net.downs.is_empty(), "no host is declared dead later: {:?}", net.downs);
        Ok(())
    });
}

#[test]
fn dead_hosts_are_known_dead_while_others_stay() {
    check(|u| {
        let mut net = Net::open(&[3, 2, 2], u.arbitrary()?);
        net.run(Duration::from_secs(5));
        net.chaos = true;
        let victim = u.choose_index(7)?;
        net.crash(victim);
        for _ in 0..u.int_in_range(1..=3)? {
            let (a, b) = (u.choose_index(7)?, u.choose_index(7)?);
            net.block(a, b);
        }
        net.run(Duration::from_secs(12));
        net.chaos = false;
        net.heal();
        net.run(CONVERGENCE_TIMEOUT);
        assert!(net.agree());
        Ok(())
    });
}

/// Guards against hosts declared dead without a fault, when every fifth message is lost and delays reach 60 ms.
#[test]
fn lossy_network_declares_no_one_dead() {
    check(|u| {
        let mut net = Net::open(&[3, 2, 2], u.arbitrary()?);
        net.run(Duration::from_secs(5));
        net.chaos = true;
        net.run(Duration::from_mins(1));
        assert!(net.downs.is_empty(), "{:?}", net.downs);
        Ok(())
    });
}

/// Guards against hosts declared dead while only the link between two hosts is cut, one way or both ways, and each host
/// still reaches most others.
#[test]
fn cuts_of_single_links_declare_no_one_dead() {
    check(|u| {
        let mut net = Net::open(&[3, 2, 2], u.arbitrary()?);
        net.run(Duration::from_secs(5));
        for _ in 0..u.int_in_range(1..=4)? {
            net.heal();
            let (a, b) = (u.choose_index(7)?, u.choose_index(7)?);
            net.block(a, b);
            if u.arbitrary()? {
                net.block(b, a);
            }
            net.run(Duration::from_millis(u.int_in_range(500..=15_000)?));
        }
        assert!(net.downs.is_empty(), "{:?}", net.downs);
        Ok(())
    });
}
