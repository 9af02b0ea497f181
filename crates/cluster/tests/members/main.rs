//! Membership over a small fake network.

mod fuzz;
mod net;

use mangogw_cluster::members::{Body, Gossip, Message, Output, Status};
use mangogw_model::{HostId, Incarnation, Zone};
use net::Net;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn seven() -> Net {
    let mut net = Net::open(&[3, 2, 2], 1);
    net.run(SECOND * 4);
    assert!(net.agree(), "seven hosts find each other");
    net
}

#[test]
fn hosts_find_each_other_from_seeds() {
    let net = seven();
    assert_eq!(net.hosts[0].members.alive().count(), 7);
}

#[test]
fn dead_host_is_noticed_in_its_zone_and_elsewhere() {
    let mut net = seven();
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
fn restarted_host_replaces_its_old_self() {
    let mut net = seven();
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
fn leaving_host_is_left_at_once() {
    let mut net = seven();
    net.leave(4);
    net.run(Duration::from_millis(50));
    assert_eq!(net.hosts[3].members.status(HostId(4)), Some(Status::Left));
    net.run(SECOND * 2);
    assert!(net.agree());
}

#[test]
fn one_way_cut_declares_no_one_dead() {
    let mut net = seven();
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
    let mut net = seven();
    net.block(3, 4);
    net.block(4, 3);
    net.run(SECOND * 20);
    assert!(net.downs.is_empty(), "{:?}", net.downs);
    assert!(net.suspicions.is_empty(), "hosts of other zones vouch: {:?}", net.suspicions);
}

#[test]
fn dropped_flow_costs_one_reconnect() {
    let mut net = seven();
    net.drop_flow(0, 1);
    net.run(SECOND * 10);
    assert!(net.downs.is_empty(), "{:?}", net.downs);
    let reconnects = net.hosts[0].log.iter().filter(|output| **output == Output::Reconnect { to: HostId(1) }).count();
    assert_eq!(reconnects, 1);
}

#[test]
fn cut_zone_is_unreachable_not_dead() {
    let mut net = seven();
    net.cut_zone(&Zone::from("z1"));
    net.run(SECOND * 30);
    assert!(net.downs.is_empty(), "{:?}", net.downs);
    assert!(net.hosts[0].members.is_unreachable(&"z1".into()));
    assert!(net.hosts[2].members.is_unreachable(&"z1".into()), "hosts that are no relay learn it too");
    assert!(!net.hosts[3].members.reachable(HostId(0)));
    assert!(net.hosts[3].members.reachable(HostId(4)));
    net.heal();
    net.run(SECOND * 2);
    assert!(!net.hosts[0].members.is_unreachable(&"z1".into()));
}

#[test]
fn host_cut_off_for_long_comes_back() {
    let mut net = seven();
    net.isolate(2);
    net.run(SECOND * 60);
    assert_eq!(net.hosts[0].members.status(HostId(2)), Some(Status::Dead));
    net.heal();
    net.run(SECOND * 8);
    assert!(net.agree());
    assert_eq!(net.hosts[0].members.status(HostId(2)), Some(Status::Alive));
}

#[test]
fn later_life_stops_the_earlier() {
    let mut net = seven();
    let old = net.take_members(1);
    net.run(Duration::from_millis(100));
    net.restart(1);
    net.run(SECOND * 2);
    net.put_back(1, old);
    net.run(SECOND * 3);
    assert!(net.hosts[1].log.contains(&Output::Superseded));
}

#[test]
fn parts_find_each_other_without_seeds() {
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
fn host_heard_from_lately_is_not_dead_on_the_word_of_another() {
    let mut net = seven();
    let records = vec![net.claim(2, Status::Dead)];
    let message = Message { incarnation: Incarnation(1), body: Body::Records { records, want_reply: false } };
    net.deliver_forged(1, 0, message);
    net.run(SECOND * 3);
    assert!(net.downs.is_empty(), "{:?}", net.downs);
    assert!(net.agree());
}

#[test]
fn earlier_life_is_not_answered() {
    let mut net = seven();
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
fn hosts_of_another_zone_bury_no_one() {
    let mut net = seven();
    net.cut_zone(&Zone::from("z1"));
    let records = vec![net.claim(3, Status::Suspect)];
    let message = Message { incarnation: Incarnation(1), body: Body::Records { records, want_reply: false } };
    net.deliver_forged(1, 0, message);
    net.run(SECOND * 10);
    assert!(net.downs.is_empty(), "{:?}", net.downs);
}
