//! Evacuations of zones beside one fault each: an order that is acknowledged stays in force until it is taken back.

use crate::fake_target::LEASE_MS;
use crate::large_group::complete_group;
use crate::simulation::{CONTROL_HOSTS, Faults, Simulation};
use crate::trace;
use mangogw_control::Reply;
use mangogw_model::Time;
use std::time::Duration;

/// Time from the acknowledgement after which no run starts in the zone: the shortest that the settings allow.
const BOUND: Duration = Duration::from_millis(LEASE_MS + LEASE_MS / 20);
/// The same for a zone that could not be reached, from the moment at which it can: `contactMs` of the platform.
const CONTACT: Duration = Duration::from_secs(4);
const ZONE: usize = 1;

/// Returns a group that serves transient and stored jobs on targets of three zones.
fn serving(seed: u64, direct_targets: usize) -> Simulation {
    trace();
    let mut sim = Simulation::new(seed, Faults::default(), 12, direct_targets, 0.3);
    sim.run_for(Duration::from_secs(6));
    assert!(!sim.starts_in(ZONE, Time::ZERO, sim.now).is_empty(), "nothing starts in the zone before");
    sim
}

/// Checks that nothing starts in the zone after the bound for some seconds, while other zones serve; and that it is used
/// again after `Finish`.
fn check_evacuated(sim: &mut Simulation, acked: Time, case: &str) {
    sim.run_for(Duration::from_secs(8));
    let late = sim.starts_in(ZONE, acked + BOUND, sim.now);
    assert!(late.is_empty(), "{case}: acknowledged at {acked:?}, starts in the zone at {late:?}");
    assert!(sim.starts_in(0, acked + BOUND, sim.now).len() > 3, "{case}: the other zones serve");
    check_taken_back(sim, case);
}

fn check_taken_back(sim: &mut Simulation, case: &str) {
    let leader = sim.leader().expect("the group has a leader again");
    assert!(sim.order_until_acked(leader, ZONE, false).is_some(), "{case}: no acknowledgement of the end");
    let from = sim.now;
    sim.run_for(Duration::from_secs(4));
    assert!(sim.starts_in(ZONE, from, sim.now).len() > 3, "{case}: the zone is used again");
    sim.run(Duration::from_secs(1));
    assert!(sim.oracle.violations.is_empty(), "{case}: {:#?}", sim.oracle.violations);
}

#[test]
fn an_evacuated_zone_gets_no_new_runs_and_loses_none() {
    for direct_targets in [100, 0] {
        trace();
        let mut sim = Simulation::new(500, Faults::default(), 36, direct_targets, 0.0);
        sim.job_timeout = Duration::from_secs(8);
        sim.run_for(Duration::from_secs(6));
        let sent = sim.now;
        let acked = sim.order_until_acked(0, ZONE, true).expect("an order is acknowledged");
        assert!(acked - sent < Duration::from_millis(100), "acknowledged after {:?}", acked - sent);
        assert!(sim.oracle.running_in(ZONE, 3) > 0, "something runs in the zone");
        sim.run_for(Duration::from_secs(4));
        assert_eq!(sim.oracle.running_in(ZONE, 3), 0, "what runs in the zone comes to its end");
        check_evacuated(&mut sim, acked, "no fault");
        assert!(sim.oracle.broken.is_empty(), "stopped or lapsed: {:?}", sim.oracle.broken);
    }
}

#[test]
fn an_evacuation_survives_a_leader_that_is_lost_before_the_acknowledgement() {
    for delay in (0..36).step_by(9) {
        let mut sim = serving(501, 100);
        let leader = sim.leader().expect("the group has a leader");
        let other = (leader + 1) % CONTROL_HOSTS;
        sim.send_order(other, ZONE, true);
        sim.run_for(Duration::from_millis(delay));
        sim.cut_power(leader, 6000);
        let acked = sim.order_until_acked(other, ZONE, true).expect("the order is acknowledged by the next leader");
        check_evacuated(&mut sim, acked, &format!("leader lost after {delay} ms"));
    }
}

#[test]
fn a_zone_that_is_cut_off_is_evacuated_once_it_can_be_reached() {
    let mut sim = serving(502, 100);
    sim.keeps_queues = true;
    sim.run_for(Duration::from_secs(1));
    sim.set_isolated(Some(ZONE));
    sim.run_for(Duration::from_millis(50));
    sim.order_until_acked(0, ZONE, true).expect("the other zones acknowledge the order");
    sim.run_for(Duration::from_secs(4));
    let opened = sim.now;
    sim.run_for(Duration::from_secs(2));
    let alone = sim.starts_in(ZONE, opened, sim.now);
    assert!(!alone.is_empty(), "the zone, which has not heard of the order, is not served on its own");
    sim.set_isolated(None);
    let joined = sim.now;
    sim.run_for(Duration::from_secs(10));
    let late = sim.starts_in(ZONE, joined + CONTACT, sim.now);
    assert!(late.is_empty(), "joined at {joined:?}, starts in the zone at {late:?}");
    check_taken_back(&mut sim, "cut off before the order");
}

#[test]
fn a_zone_that_is_cut_off_after_its_evacuation_starts_nothing() {
    let mut sim = serving(503, 100);
    sim.keeps_queues = true;
    sim.run_for(Duration::from_secs(1));
    let acked = sim.order_until_acked(0, ZONE, true).expect("an order is acknowledged");
    sim.run_for(Duration::from_millis(300));
    sim.set_isolated(Some(ZONE));
    sim.run_for(Duration::from_secs(8));
    sim.set_isolated(None);
    check_evacuated(&mut sim, acked, "cut off after the acknowledgement");
}

/// Guards against an isolated zone whose control host has not learned of the order that other hosts of the zone know.
#[test]
fn a_zone_is_not_served_on_its_own_by_a_host_that_missed_the_order() {
    let mut sim = serving(504, 100);
    if sim.leader() == Some(ZONE) {
        sim.cut_power(ZONE, 500);
        sim.run_for(Duration::from_secs(4));
    }
    sim.keeps_queues = true;
    sim.run_for(Duration::from_secs(1));
    (0..CONTROL_HOSTS).filter(|host| *host != ZONE).for_each(|host| sim.cut_hosts(ZONE, host));
    let acked =
        sim.order_until_acked((ZONE + 1) % CONTROL_HOSTS, ZONE, true).expect("a majority acknowledges the order");
    sim.run_for(Duration::from_millis(300));
    assert_eq!(sim.ledger_evacuations(ZONE).revision(), 0, "the control host of the zone has missed the order");
    sim.set_isolated(Some(ZONE));
    sim.run_for(Duration::from_secs(8));
    let late = sim.starts_in(ZONE, acked + BOUND, sim.now);
    assert!(late.is_empty(), "acknowledged at {acked:?}, starts in the zone at {late:?}");
}

#[test]
fn a_takeover_right_after_the_acknowledgement_keeps_the_evacuation() {
    for (seed, freeze) in [(505, false), (506, true), (507, false), (508, true)] {
        let mut sim = serving(seed, 100);
        let leader = sim.leader().expect("the group has a leader");
        let acked = sim.order_until_acked(leader, ZONE, true).expect("an order is acknowledged");
        match freeze {
            true => sim.freeze(leader, 3000),
            false => sim.cut_power(leader, 5000),
        }
        check_evacuated(&mut sim, acked, &format!("seed {seed}: takeover"));
    }
}

#[test]
fn an_evacuation_survives_the_loss_of_both_disks_of_a_zone() {
    for zone in 0..3 {
        let mut sim = complete_group(509);
        let leader = sim.group_leader().expect("the group has a leader");
        let acked = sim.order_until_acked(leader, ZONE, true).expect("an order is acknowledged");
        for host in [zone, zone + CONTROL_HOSTS] {
            sim.lose_disk(host, 1500);
        }
        check_evacuated(&mut sim, acked, &format!("disks of zone {zone} lost"));
    }
}

#[test]
fn of_two_crossing_orders_one_wins_and_the_other_may_be_sent_again() {
    for gap in [0, 1, 2, 5, 10, 20, 30] {
        let mut sim = serving(510, 100);
        sim.order_until_acked(0, ZONE, true).expect("an order is acknowledged");
        sim.run_for(Duration::from_millis(20));
        let finish = sim.send_order(1, ZONE, false);
        sim.run_for(Duration::from_millis(gap));
        let start = sim.send_order(2, ZONE, true);
        sim.run_for(Duration::from_secs(1));
        // One repeats what is in force, or comes after the other, or is refused since it did not know of that.
        let active = sim.ledger_evacuations(0).iter().all(|(_, evacuation)| evacuation.active);
        match (sim.reply_to(finish), sim.reply_to(start)) {
            (Some(Reply::Refused { .. }), Some(Reply::Done)) => assert!(active, "{gap} ms: a refused end is in force"),
            (Some(Reply::Done), Some(Reply::Refused { .. })) => {
                assert!(!active, "{gap} ms: a refused start is in force");
            }
            (Some(Reply::Done), Some(Reply::Done)) => assert!(active, "{gap} ms: the end undid a later start"),
            replies => panic!("{gap} ms: {replies:?}"),
        }
        for host in 1..CONTROL_HOSTS {
            assert_eq!(sim.ledger_evacuations(host), sim.ledger_evacuations(0), "{gap} ms: members differ");
        }
        let acked = sim.order_until_acked(2, ZONE, true).expect("the order is acknowledged when it is sent again");
        check_evacuated(&mut sim, acked, &format!("orders {gap} ms apart"));
    }
}

#[test]
fn an_evacuation_is_in_a_snapshot_and_read_back_after_a_loss_of_power() {
    let mut sim = serving(511, 100);
    sim.order_until_acked(0, ZONE, true).expect("an order is acknowledged");
    sim.order_until_acked(0, 2, true).expect("an order is acknowledged");
    sim.order_until_acked(0, 2, false).expect("an order is acknowledged");
    let before = sim.ledger_evacuations(0);
    sim.grow_log(0);
    sim.run_for(Duration::from_secs(1));
    for host in 0..CONTROL_HOSTS {
        assert!(sim.snapshot_index(host) > 0, "host {host} has taken no snapshot");
    }
    sim.cut_all_power();
    sim.run_for(Duration::from_secs(6));
    let acked = sim.now;
    for host in 0..CONTROL_HOSTS {
        assert_eq!(sim.ledger_evacuations(host), before, "host {host}");
        assert_eq!(sim.read_evacuations(host), Some(before.clone()), "host {host}");
    }
    // A host with a new disk gets the snapshot from the leader.
    let leader = sim.leader().expect("the group has a leader");
    let other = (leader + 1) % CONTROL_HOSTS;
    sim.lose_disk(other, 500);
    sim.run_for(Duration::from_secs(8));
    assert_eq!(sim.ledger_evacuations(other), before);
    check_evacuated(&mut sim, acked, "snapshot");
}

#[test]
fn an_order_that_is_sent_again_after_the_end_is_a_new_order() {
    let mut sim = serving(512, 100);
    sim.order_until_acked(0, ZONE, true).expect("the order is acknowledged, but the acknowledgement is lost");
    sim.order_until_acked(1, ZONE, true).expect("an order that is sent again is acknowledged again");
    sim.order_until_acked(1, ZONE, false).expect("the end is acknowledged");
    sim.run_for(Duration::from_millis(20));
    let acked = sim.order_until_acked(0, ZONE, true).expect("the order is acknowledged again");
    check_evacuated(&mut sim, acked, "sent again after the end");
}

/// Guards against orders that a host finds in its sockets after a pause, when others have been obeyed meanwhile.
#[test]
fn a_host_that_was_paused_takes_no_orders_that_waited_for_it() {
    for (seed, host, delay) in [(513, 0, 0), (514, 1, 5), (515, 2, 50), (516, 0, 20)] {
        let mut sim = serving(seed, 100);
        let other = (host + 1) % CONTROL_HOSTS;
        sim.order_until_acked(other, ZONE, true).expect("an order is acknowledged");
        sim.freeze(host, 3000);
        sim.run_for(Duration::from_secs(2));
        // An end that was sent to the paused host, then to another one, and taken back.
        sim.order_after_wake(host, delay, ZONE, false);
        sim.order_until_acked(other, ZONE, false).expect("the end is acknowledged");
        let acked = sim.order_until_acked(other, ZONE, true).expect("an order is acknowledged");
        check_evacuated(&mut sim, acked, &format!("seed {seed}: host {host} paused, order {delay} ms after"));
    }
}

#[test]
fn unknown_zones_are_told_from_known_ones() {
    let mut sim = serving(516, 100);
    let unknown = sim.send_order_for(0, "nowhere", true);
    let unstarted = sim.send_order(0, ZONE, false);
    sim.run_for(Duration::from_millis(200));
    assert_eq!(sim.reply_to(unknown), Some(&Reply::NoZone));
    assert_eq!(sim.reply_to(unstarted), Some(&Reply::Done), "the end of what was not begun is in force");
    let evacuations = sim.ledger_evacuations(0);
    assert!(evacuations.iter().all(|(_, evacuation)| !evacuation.active));
    assert_eq!(evacuations.iter().count(), 1, "the unknown zone is not kept");
}

/// Guards against an order that its operator has given up and that undoes a later one once its host is heard again.
#[test]
fn an_order_that_was_given_up_does_not_revert_a_later_one() {
    for (start_first, heal) in [(true, 200), (true, 500), (true, 700), (true, 900), (false, 300), (false, 700)] {
        let mut sim = serving(520, 100);
        let leader = sim.leader().expect("the group has a leader");
        let (cut, other) = ((leader + 1) % CONTROL_HOSTS, (leader + 2) % CONTROL_HOSTS);
        if start_first {
            sim.order_until_acked(leader, ZONE, true).expect("an order is acknowledged");
            sim.run_for(Duration::from_millis(300));
        }
        (0..CONTROL_HOSTS).filter(|host| *host != cut).for_each(|host| sim.cut_hosts(cut, host));
        sim.send_order(cut, ZONE, !start_first);
        sim.run_for(Duration::from_millis(150));
        let acked = sim.order_until_acked(other, ZONE, start_first).expect("the later order is acknowledged");
        sim.run_for(Duration::from_millis(heal - 150));
        sim.heal_links();
        sim.run_for(Duration::from_secs(4));
        let active = sim.ledger_evacuations(leader).iter().any(|(_, evacuation)| evacuation.active);
        assert_eq!(active, start_first, "healed after {heal} ms");
        if start_first {
            assert!(sim.starts_in(ZONE, acked + BOUND, sim.now).is_empty(), "healed after {heal} ms: late starts");
        }
    }
}
