//! Tests of the choice of host for a task: the entry host, a peer of its zone, or a host of another zone.

use mangogw_cluster::route::{Event, Load, LoadRow, MAX_LOAD_AGE, Message, Placement, QUERY_TIMEOUT, Router, Settings};
use mangogw_cluster::{MemberInfo, Output};
use mangogw_model::{EntryName, HostId, Incarnation, Time};
use std::time::Duration;

const NOW: Time = Time::from_millis(1_000);
const FULL: Load = Load { slots: 8, free: 0, queued: 8, run_us: 100_000, next_us: 100_000 };
const FREE: Load = Load { free: 8, queued: 0, ..FULL };

fn entry() -> EntryName {
    "gate-scan".into()
}

/// Returns the router of host 0 in zone a, with peers 1 and 2 in its zone and host 3 in zone b.
fn open_router(min_gain: f64) -> Router {
    let (zone_delay, remote_delay) = (Duration::from_micros(250), Duration::from_millis(1));
    let settings = Settings { id: HostId(0), zone: "a".into(), zone_delay, remote_delay, min_gain, seed: 5 };
    let mut router = Router::open(settings, NOW);
    let member = |id: u64| MemberInfo {
        id: HostId(id),
        incarnation: Incarnation(1),
        zone: if id == 3 { "b" } else { "a" }.into(),
        usable: true,
    };
    router.set_hosts(NOW, &[member(0), member(1), member(2), member(3)]);
    router
}

fn send_load(router: &mut Router, from: u64, load: Load) {
    router.on_message(NOW, HostId(from), Message::Loads(vec![LoadRow { entry: entry(), load }]));
}

#[test]
fn free_local_slots_come_first() {
    let mut router = open_router(1.0);
    router.set_load(NOW, &entry(), FREE);
    send_load(&mut router, 1, FREE);
    assert_eq!(router.place(NOW, &entry()), Placement::Local);
}

#[test]
fn much_faster_target_of_a_peer_is_worth_a_relay() {
    let mut router = open_router(0.5);
    router.set_load(NOW, &entry(), Load { next_us: 300_000, ..FREE });
    send_load(&mut router, 1, FREE);
    assert_eq!(router.place(NOW, &entry()), Placement::Relay(HostId(1)));
}

#[test]
fn relays_count_as_load_until_the_next_report() {
    let mut router = open_router(1.0);
    router.set_load(NOW, &entry(), Load { queued: 0, ..FULL });
    send_load(&mut router, 1, Load { slots: 2, free: 2, queued: 0, ..FULL });
    let placed: Vec<Placement> = (0..4).map(|_| router.place(NOW, &entry())).collect();
    assert_eq!(placed.iter().filter(|&&place| place == Placement::Relay(HostId(1))).count(), 2);
}

#[test]
fn peers_are_chosen_in_proportion_to_free_slots() {
    let mut router = open_router(1.0);
    router.set_load(NOW, &entry(), Load { queued: 0, ..FULL });
    send_load(&mut router, 1, Load { slots: 300, free: 300, queued: 0, ..FULL });
    send_load(&mut router, 2, Load { slots: 100, free: 100, queued: 0, ..FULL });
    let first = (0..200).filter(|_| router.place(NOW, &entry()) == Placement::Relay(HostId(1))).count();
    assert!((120..180).contains(&first), "{first}");
}

#[test]
fn other_zone_is_queried_only_when_tasks_wait_in_this_zone() {
    let mut router = open_router(1.0);
    router.set_load(NOW, &entry(), FREE);
    assert_eq!(router.place(NOW, &entry()), Placement::Local);
    _ = router.drain();
    router.set_load(NOW, &entry(), FULL);
    assert_eq!(router.place(NOW, &entry()), Placement::Local);
    let query =
        |out: &Output<Message, Event>| *out == Output::Send { to: HostId(3), message: Message::QueryLoads(entry()) };
    assert!(router.drain().iter().any(query));
    let hosts = vec![(HostId(3), FREE)];
    router.on_message(NOW, HostId(3), Message::Offers { entry: entry(), hosts });
    assert!(router.drain().contains(&Output::Event(Event::RoomFound(entry()))));
    assert_eq!(router.place(NOW, &entry()), Placement::Relay(HostId(3)));
}

#[test]
fn old_loads_and_unreachable_hosts_are_ignored() {
    let mut router = open_router(1.0);
    router.set_load(NOW, &entry(), FULL);
    send_load(&mut router, 1, FREE);
    assert_eq!(router.place(NOW + MAX_LOAD_AGE, &entry()), Placement::Local);
    send_load(&mut router, 1, FREE);
    let member = MemberInfo { id: HostId(0), incarnation: Incarnation(1), zone: "a".into(), usable: true };
    router.set_hosts(NOW, &[member]);
    assert_eq!(router.place(NOW, &entry()), Placement::Local);
}

#[test]
fn entry_without_targets_waits_for_other_zones_then_has_no_host() {
    let mut router = open_router(1.0);
    assert_eq!(router.place(NOW, &entry()), Placement::Wait);
    assert_eq!(router.place(NOW + QUERY_TIMEOUT.mul_f64(0.9), &entry()), Placement::Wait);
    assert_eq!(router.place(NOW + QUERY_TIMEOUT, &entry()), Placement::NoHost);
}

#[test]
fn idle_host_sends_few_messages() {
    let mut router = open_router(1.0);
    router.set_load(NOW, &entry(), FREE);
    let mut sent = 0;
    for tick in 0..1_000 {
        router.on_tick(NOW + Duration::from_millis(tick * 10));
        sent += router.drain().len();
    }
    assert!(sent <= 14, "{sent} messages in 10 s to 2 peers");
}

/// Guards against a task refused while an answer is on its way: an answer that took longer than four times the usual
/// delay was not awaited.
#[test]
fn slow_answers_of_other_zones_are_awaited() {
    let zone_delay = Duration::from_micros(250);
    let settings =
        Settings { id: HostId(1), zone: "a".into(), zone_delay, remote_delay: zone_delay * 4, min_gain: 1.0, seed: 1 };
    let entry = EntryName::from("scan");
    let member =
        |id, zone: &str| MemberInfo { id: HostId(id), incarnation: Incarnation(1), zone: zone.into(), usable: true };
    let mut router = Router::open(settings, Time::ZERO);
    router.set_hosts(Time::ZERO, &[member(1, "a"), member(2, "b")]);
    let queried = Time::from_millis(1_000);
    assert_eq!(router.place(queried, &entry), Placement::Wait);
    assert_eq!(router.place(queried + Duration::from_millis(10), &entry), Placement::Wait);
    let load = Load { slots: 4, free: 4, ..Load::default() };
    let offers = Message::Offers { entry: entry.clone(), hosts: vec![(HostId(2), load)] };
    router.on_message(queried + Duration::from_millis(12), HostId(2), offers);
    assert_eq!(router.place(queried + Duration::from_millis(20), &entry), Placement::Relay(HostId(2)));
    // No host answers for another entry: its tasks are refused after the time-out, even if more of them keep arriving.
    let none = EntryName::from("none");
    let places: Vec<Placement> =
        (0..20).map(|at| router.place(queried + Duration::from_millis(at * 10), &none)).collect();
    assert_eq!(places[0], Placement::Wait);
    assert!(places[4..].iter().all(|place| *place == Placement::NoHost), "{places:?}");
}

/// Guards against a false `NoHost`: a host that had just started reported that no host serves an entry, while a peer of
/// its zone did.
#[test]
fn a_host_that_knows_no_targets_queries_its_own_zone_too() {
    let mut router = open_router(1.0);
    assert_eq!(router.place(NOW, &entry()), Placement::Wait);
    let query = |output: &Output<Message, Event>| match output {
        Output::Send { to, message: Message::QueryLoads(_) } => Some(*to),
        _ => None,
    };
    let queried: Vec<HostId> = router.drain().iter().filter_map(query).collect();
    assert!([1, 2, 3].iter().all(|&host| queried.contains(&HostId(host))), "{queried:?}");
    send_load(&mut router, 1, FREE);
    assert_eq!(router.place(NOW + Duration::from_millis(5), &entry()), Placement::Relay(HostId(1)));
}
