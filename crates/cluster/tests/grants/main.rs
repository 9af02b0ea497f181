//! Tests of grants: each target has one owner, targets spread evenly over the hosts, and ownership moves when a
//! lease expires or is handed over.

mod cluster;
mod fuzz;

use cluster::TestCluster;
use mangogw_cluster::grants::{
    Answer, Echo, EndReason, Event, Grant, Grants, LEASE_DURATION, Message, Settings, Target,
};
use mangogw_cluster::{MemberInfo, Output};
use mangogw_model::{Announcement, AttemptId, Capacity, HostId, Incarnation, Kind, Time};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn settled(hosts: usize, targets: usize) -> TestCluster {
    let mut cluster = TestCluster::open(hosts, targets, 7);
    cluster.run(SECOND * 8);
    assert!(cluster.all_owned());
    cluster
}

fn counts(cluster: &TestCluster) -> Vec<usize> {
    let mut counts = vec![0; cluster.hosts.len()];
    for index in 0..cluster.targets.len() {
        for owner in cluster.owners(index) {
            counts[owner] += 1;
        }
    }
    counts
}

#[test]
fn new_target_is_owned_within_its_first_heartbeats() {
    let mut cluster = TestCluster::open(3, 20, 3);
    cluster.run(Duration::from_millis(1_200));
    assert!(cluster.all_owned());
}

#[test]
fn targets_are_spread_evenly() {
    let counts = counts(&settled(3, 300));
    let four_deviations = 33;
    assert!(counts.iter().all(|&count| count.abs_diff(100) <= four_deviations), "{counts:?}");
}

#[test]
fn targets_of_a_dead_host_have_a_new_owner_within_three_seconds() {
    let mut cluster = settled(3, 40);
    cluster.crash(0);
    let mut waited = Duration::ZERO;
    while !cluster.all_owned() {
        cluster.step();
        waited += cluster::TICK;
        assert!(waited <= SECOND * 3, "not all owned again within 3 s");
    }
    println!("back after {waited:?}");
}

#[test]
fn targets_get_a_new_owner_even_before_membership_notices_the_crash() {
    let mut cluster = settled(3, 40);
    cluster.crash(0);
    cluster.hosts[0].up = true;
    for other in 0..3 {
        cluster.blocked.insert((0, other));
        cluster.blocked.insert((other, 0));
    }
    for fake in &mut cluster.targets {
        fake.entry = Some(1);
    }
    cluster.run(SECOND * 4);
    assert!(cluster.all_owned());
    assert_eq!(counts(&cluster)[0], 0);
}

#[test]
fn new_host_gets_its_part_and_no_target_is_unowned_for_long() {
    let mut cluster = settled(3, 60);
    cluster.crash(2);
    cluster.run(SECOND * 40);
    cluster.restart(2);
    let mut idle = vec![Duration::ZERO; 60];
    for _ in 0..2_400 {
        cluster.step();
        for (index, idle) in idle.iter_mut().enumerate() {
            *idle += if cluster.owners(index).is_empty() { cluster::TICK } else { Duration::ZERO };
        }
    }
    assert!(counts(&cluster)[2] >= 10, "{:?}", counts(&cluster));
    assert!(idle.iter().all(|&idle| idle <= Duration::from_millis(100)), "{idle:?}");
}

#[test]
fn leaving_host_hands_everything_over_within_two_heartbeats() {
    let mut cluster = settled(3, 40);
    cluster.leave_cluster(1);
    cluster.run(Duration::from_millis(1_700));
    assert_eq!(counts(&cluster)[1], 0);
    assert!(cluster.all_owned());
    let handed_over = |event: &&Event| matches!(event, Event::Ended { reason: EndReason::HandedOver(_), .. });
    assert!(cluster.hosts[1].events.iter().filter(handed_over).count() >= 5);
}

#[test]
fn host_cut_off_from_hosts_serves_the_targets_that_reach_it() {
    let mut cluster = settled(3, 30);
    let own_targets: Vec<usize> = (0..30).filter(|&index| cluster.owners(index) == [0]).collect();
    for &index in &own_targets {
        cluster.targets[index].entry = Some(0);
    }
    for index in (0..30).filter(|index| !own_targets.contains(index)) {
        cluster.targets[index].entry = Some(1);
    }
    for other in [1, 2] {
        cluster.blocked.insert((0, other));
        cluster.blocked.insert((other, 0));
        cluster.unseen.insert((0, other));
        cluster.unseen.insert((other, 0));
    }
    cluster.run(SECOND * 20);
    assert!(cluster.all_owned());
    assert!(own_targets.iter().all(|&index| cluster.owners(index) == [0]));
}

#[test]
fn leave_reaches_the_owner_at_once() {
    let mut cluster = settled(3, 9);
    for index in 0..9 {
        let owner = cluster.owners(index)[0];
        let entry = (owner + 1) % 3;
        let target = cluster.targets[index].target.clone();
        cluster.leave(entry, &target);
        cluster.run(Duration::from_millis(20));
        assert!(cluster.hosts[owner].events.contains(&Event::Leaving(target)));
    }
}

#[test]
fn leave_is_repeated_after_lost_messages() {
    let mut cluster = settled(3, 1);
    let owner = cluster.owners(0)[0];
    let entry = (owner + 1) % 3;
    let target = cluster.targets[0].target.clone();
    cluster.blocked.insert((entry, owner));
    cluster.leave(entry, &target);
    cluster.run(SECOND);
    cluster.blocked.clear();
    cluster.run(Duration::from_millis(300));
    assert!(cluster.hosts[owner].events.contains(&Event::Leaving(target)));
}

#[test]
fn target_that_never_sends_a_grant_back_is_used_after_a_lease() {
    let mut cluster = TestCluster::open(1, 1, 5);
    cluster.targets[0].echoes = false;
    cluster.run(SECOND * 6);
    assert!(cluster.all_owned());
}

#[test]
fn restarted_target_is_used_at_once() {
    let mut cluster = settled(3, 10);
    cluster.restart_target(4);
    cluster.run(SECOND);
    assert!(cluster.all_owned());
}

#[test]
fn targets_of_a_hung_host_have_a_new_owner_within_three_seconds() {
    let mut cluster = settled(3, 40);
    for other in [1, 2] {
        cluster.silent.extend([(0, other), (other, 0)]);
    }
    for (index, fake) in cluster.targets.iter_mut().enumerate() {
        fake.entry = Some(1 + index % 2);
    }
    cluster.run(SECOND * 3);
    assert!(cluster.all_owned());
    assert_eq!(counts(&cluster)[0], 0);
}

/// Guards against a change of owner while targets reach two groups of hosts that consider each other dead: the grant
/// that the target sends back keeps its owner.
#[test]
fn owner_stays_while_some_hosts_believe_it_dead() {
    let mut cluster = settled(3, 12);
    for link in [(2, 0), (2, 1), (0, 2), (1, 2)] {
        cluster.unseen.insert(link);
        cluster.blocked.insert(link);
    }
    let mut owned = 0;
    for _ in 0..4_000 {
        cluster.step();
        owned += (0..12).filter(|&index| cluster.owners(index).len() == 1).count();
    }
    assert!(owned >= 4_000 * 12 * 9 / 10, "owned {owned} of {}", 4_000 * 12);
}

fn announcement() -> Announcement {
    Announcement {
        name: "t".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".into(),
        rack: "".into(),
        kind: Kind::Executor,
        entries: Vec::new(),
        capacity: Capacity { slots: 8, ..Capacity::default() },
        incarnation: Incarnation(1),
        running: Vec::new(),
        connections: 0,
    }
}

fn single_host(now: Time, incarnation: u64) -> Grants {
    let (id, incarnation) = (HostId(1), Incarnation(incarnation));
    let mut grants = Grants::open(&Settings { id, incarnation }, now);
    grants.set_hosts(now, vec![MemberInfo { id, incarnation, zone: "a".into(), usable: true }]);
    grants
}

fn heartbeat(grants: &mut Grants, now: Time, grant: Option<Grant>, age: u32) -> Answer {
    grants.on_heartbeat(now, announcement(), grant.map(|grant| Echo { grant, age_ms: Some(age) }));
    let answer = grants.drain().into_iter().find_map(|output| match output {
        Output::Event(Event::Answered { answer, .. }) => Some(answer),
        _ => None,
    });
    answer.expect("the heartbeat was not answered at once")
}

#[test]
fn late_heartbeats_do_not_change_the_owner() {
    let (mut grants, mut now) = (single_host(Time::ZERO, 1), Time::from_millis(1_000));
    let target = Target::from_announcement(&announcement());
    let first = heartbeat(&mut grants, now, None, 0).grant;
    let second = heartbeat(&mut grants, now, first, 1).grant;
    assert!(grants.owns(now, &target));
    now += Duration::from_millis(100);
    let other = Grant { epoch: 7, owner: HostId(2), incarnation: Incarnation(1), serial: 5 };
    let taken = heartbeat(&mut grants, now, Some(other), 2_000).grant;
    assert_eq!(taken.map(|grant| grant.epoch), Some(8));
    heartbeat(&mut grants, now, taken, 1);
    assert!(!grants.owns(now, &target), "the lease of the other host has not expired");
    now += LEASE_DURATION.saturating_sub(Duration::from_millis(1_900));
    let own = heartbeat(&mut grants, now, taken, 400).grant;
    heartbeat(&mut grants, now, own, 1);
    assert!(grants.owns(now, &target));
    assert_eq!(heartbeat(&mut grants, now, second, 2_000).grant, None, "an own grant of an earlier epoch");
    assert_eq!(heartbeat(&mut grants, now, Some(other), 2_000).grant, None, "the grant of the former owner");
    assert!(grants.owns(now, &target));
}

#[test]
fn answers_to_an_earlier_incarnation_match_no_heartbeat() {
    let request_id = |incarnation| single_host(Time::ZERO, incarnation).on_heartbeat(Time::ZERO, announcement(), None);
    assert_ne!(request_id(1), request_id(2));
}

#[test]
fn target_that_restarts_after_a_leave_takes_work_again() {
    let mut cluster = settled(3, 3);
    let target = cluster.targets[0].target.clone();
    cluster.leave(1, &target);
    cluster.run(SECOND);
    let owner = cluster.owners(0)[0];
    assert!(cluster.hosts[owner].grants.is_leaving(&target, Incarnation(1)));
    cluster.restart_target(0);
    cluster.run(SECOND * 40);
    let owner = cluster.owners(0)[0];
    assert!(!cluster.hosts[owner].grants.is_leaving(&target, Incarnation(2)));
}

#[test]
fn changed_announcement_is_reported_unless_the_target_leaves() {
    let now = Time::from_millis(1_000);
    let mut grants = single_host(now, 1);
    let first = heartbeat(&mut grants, now, None, 0).grant;
    heartbeat(&mut grants, now, first, 1);
    let changes = |grants: &mut Grants, announced: Announcement| {
        grants.on_heartbeat(now, announced, first.map(|grant| Echo { grant, age_ms: Some(1) }));
        let changed = |output: &Output<_, Event>| matches!(output, Output::Event(Event::Changed(_)));
        grants.drain().iter().filter(|output| changed(output)).count()
    };
    let running = vec![AttemptId::new(HostId(1), Incarnation(1), 7)];
    assert_eq!(
        changes(&mut grants, Announcement { running, ..announcement() }),
        0,
        "running attempts change all the time and are not reported"
    );
    let more = Capacity { slots: 16, ..Capacity::default() };
    assert_eq!(changes(&mut grants, Announcement { capacity: more, ..announcement() }), 1);
    grants.on_target_leave(now, Target::from_announcement(&announcement()), None);
    assert_eq!(changes(&mut grants, announcement()), 0, "a leaving target must not be announced again");
}

#[test]
fn owner_without_heartbeats_stops_at_the_end_of_its_lease() {
    let mut now = Time::from_millis(1_000);
    let (mut grants, target) = (single_host(now, 1), Target::from_announcement(&announcement()));
    let first = heartbeat(&mut grants, now, None, 0).grant;
    heartbeat(&mut grants, now, first, 1);
    now += LEASE_DURATION.saturating_sub(Duration::from_millis(1));
    grants.on_tick(now);
    assert!(grants.owns(now, &target));
    now += Duration::from_millis(1);
    assert!(!grants.owns(now, &target), "the lease ends also before the tick");
    grants.on_tick(now);
    assert_eq!(grants.drain(), [Output::Event(Event::Ended { target, reason: EndReason::Expired })]);
    assert!(LEASE_DURATION <= SECOND * 5);
}

/// Guards against a field of the announcement that can't be encoded between hosts: it made all digests equal.
#[test]
fn messages_survive_their_encoding() {
    let echo = Some(Echo {
        grant: Grant { epoch: 1, owner: HostId(2), incarnation: Incarnation(3), serial: 4 },
        age_ms: None,
    });
    let running = vec![AttemptId::new(HostId(1), Incarnation(1), 7)];
    let announced = Announcement { running, entries: vec!["route".into()], ..announcement() };
    let message = Message::Announce { request_id: 9, announcement: Box::new(announced), echo, leaving: true };
    let bytes = postcard::to_stdvec(&message).expect("the message can be encoded");
    assert_eq!(postcard::from_bytes::<Message>(&bytes), Ok(message));
}
