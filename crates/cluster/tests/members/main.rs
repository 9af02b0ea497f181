//! Tests of the membership over a fake network: discovery, failure detection, partitions and restarts.

mod fuzz;
mod net;

use mangogw_cluster::members::{Body, Gossip, Message, Output, Status};
use mangogw_model::{HostId, Incarnation, Zone};
use net::Net;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn open_seven_hosts() -> Net {
    let mut net = Net::open(&[3, 2, 2], 1);
    net.run(SECOND * 4);
    assert!(net.agree(), "the seven hosts have found each other");
    net
}

#[test]
fn hosts_find_each_other_from_seeds() {
    let net = open_seven_hosts();
    assert_eq!(net.hosts[0].members.alive().count(), 7);
}

#[test]
fn dead_host_is_detected_in_its_zone_and_elsewhere() {
    let mut net = open_seven_hosts();
    net.crash(2);
    net.run(Duration::from_millis(2_500));
    for host in [0, 1] {
        assert_eq!(net.hosts[host].members.status(HostId(2)), Some(Status::Dead));
    }
    net.run(SECOND * 2);
    assert!(net.agree());
    assert_eq!(net.hosts[6].members.status(HostId(2)), Some(Status::Dead));
}

#[test]
fn restarted_host_replaces_its_earlier_incarnation() {
    let mut net = open_seven_hosts();
    net.crash(1);
    net.run(Duration::from_millis(300));
    net.restart(1);
    net.run(SECOND * 3);
    assert!(net.agree());
    assert_eq!(net.hosts[5].members.host(HostId(1)).map(|host| host.incarnation), Some(Incarnation(2)));
    net.run(SECOND * 5);
    assert!(net.hosts.iter().all(|host| host.members.status(HostId(1)) == Some(Status::Alive)));
}

#[test]
fn leaving_host_has_status_left_at_once() {
    let mut net = open_seven_hosts();
    net.leave(4);
    net.run(Duration::from_millis(50));
    assert_eq!(net.hosts[3].members.status(HostId(4)), Some(Status::Left));
    net.run(SECOND * 2);
    assert!(net.agree());
}

#[test]
fn one_way_cut_declares_no_one_dead() {
    let mut net = open_seven_hosts();
    net.block(0, 1);
    net.run(SECOND * 20);
    assert!(net.downs.is_empty(), "{:?}", net.downs);
    assert!(net.suspicions.is_empty(), "{:?}", net.suspicions);
    assert!(!net.hosts[0].members.reachable(HostId(1)));
    net.heal();
    net.run(SECOND * 3);
    assert!(net.hosts[0].members.reachable(HostId(1)));
}

#[test]
fn two_way_cut_in_a_zone_of_two_declares_no_one_dead() {
    let mut net = open_seven_hosts();
    net.block(3, 4);
    net.block(4, 3);
    net.run(SECOND * 20);
    assert!(net.downs.is_empty(), "{:?}", net.downs);
    assert!(net.suspicions.is_empty(), "hosts of other zones confirm that both are alive: {:?}", net.suspicions);
}

#[test]
fn dropped_flow_costs_one_reconnect() {
    let mut net = open_seven_hosts();
    net.drop_flow(0, 1);
    net.run(SECOND * 10);
    assert!(net.downs.is_empty(), "{:?}", net.downs);
    let reconnects = net.hosts[0].log.iter().filter(|output| **output == Output::Reconnect { to: HostId(1) }).count();
    assert_eq!(reconnects, 1);
}

#[test]
fn hosts_of_a_cut_off_zone_are_unreachable_not_dead() {
    let mut net = open_seven_hosts();
    net.cut_zone(&Zone::from("z1"));
    net.run(SECOND * 30);
    assert!(net.downs.is_empty(), "{:?}", net.downs);
    assert!(net.hosts[0].members.is_unreachable(&"z1".into()));
    assert!(net.hosts[2].members.is_unreachable(&"z1".into()), "a host that is no relay must learn it too");
    assert!(!net.hosts[3].members.reachable(HostId(0)));
    assert!(net.hosts[3].members.reachable(HostId(4)));
    net.heal();
    net.run(SECOND * 2);
    assert!(!net.hosts[0].members.is_unreachable(&"z1".into()));
}

#[test]
fn host_that_was_cut_off_for_long_rejoins() {
    let mut net = open_seven_hosts();
    net.isolate(2);
    net.run(SECOND * 60);
    assert_eq!(net.hosts[0].members.status(HostId(2)), Some(Status::Dead));
    net.heal();
    net.run(SECOND * 8);
    assert!(net.agree());
    assert_eq!(net.hosts[0].members.status(HostId(2)), Some(Status::Alive));
}

#[test]
fn later_incarnation_supersedes_the_earlier() {
    let mut net = open_seven_hosts();
    let earlier = net.take_members(1);
    net.run(Duration::from_millis(100));
    net.restart(1);
    net.run(SECOND * 2);
    net.put_back(1, earlier);
    net.run(SECOND * 3);
    assert!(net.hosts[1].log.contains(&Output::Superseded));
}

#[test]
fn separated_hosts_find_each_other_without_seeds() {
    let mut net = Net::open(&[4], 3);
    net.run(SECOND * 4);
    assert!(net.agree());
    net.crash(0);
    net.crash(3);
    net.isolate(2);
    net.run(SECOND * 30);
    assert_eq!(net.hosts[1].members.status(HostId(2)), Some(Status::Dead));
    net.heal();
    net.run(SECOND * 15);
    assert!(net.agree());
}

#[test]
fn host_with_recent_contact_is_not_dead_because_another_claims_it() {
    let mut net = open_seven_hosts();
    let records = vec![net.claim(2, Status::Dead)];
    let message = Message { incarnation: Incarnation(1), body: Body::Records { records, want_reply: false } };
    net.deliver_forged(1, 0, message);
    net.run(SECOND * 3);
    assert!(net.downs.is_empty(), "{:?}", net.downs);
    assert!(net.agree());
}

#[test]
fn earlier_incarnation_is_not_answered() {
    let mut net = open_seven_hosts();
    let ping = |incarnation| Message {
        incarnation: Incarnation(incarnation),
        body: Body::Ping { serial: 1, gossip: Gossip::default() },
    };
    assert!(net.deliver_forged(1, 0, ping(1)) > 0);
    net.restart(1);
    net.run(SECOND * 3);
    assert_eq!(net.deliver_forged(1, 0, ping(1)), 0);
}

#[test]
fn hosts_of_another_zone_do_not_mark_a_host_dead() {
    let mut net = open_seven_hosts();
    net.cut_zone(&Zone::from("z1"));
    let records = vec![net.claim(3, Status::Suspect)];
    let message = Message { incarnation: Incarnation(1), body: Body::Records { records, want_reply: false } };
    net.deliver_forged(1, 0, message);
    net.run(SECOND * 10);
    assert!(net.downs.is_empty(), "{:?}", net.downs);
}
