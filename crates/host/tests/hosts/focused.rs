//! Single failures between hosts that the seeded runs hit too rarely.

use crate::world::{Faults, World};
use bytes::Bytes;
use mangogw_host::{HostRequest, Message, RelayMessage, RelayRequest, Reply};
use mangogw_model::{Code, HostId, Incarnation, Key, Time};
use std::time::Duration;

const NO_FAULTS: Faults =
    Faults { loss: 0.0, duplicates: 0.0, partitions: false, crashes: false, freezes: false, targets: false };
const SETUP_END: Time = Time::from_millis(8_000);

fn settled_world(hosts: usize, targets: usize) -> World {
    let mut world = World::open(1, hosts, targets, NO_FAULTS);
    world.run_until(SETUP_END, |world| world.is_settled(targets));
    assert!(world.is_settled(targets));
    world
}

fn request(incarnation: u64) -> RelayRequest {
    RelayRequest {
        incarnation: Incarnation(incarnation),
        entry: "scan".into(),
        key: "relayed".into(),
        time_left: Duration::from_secs(3),
        repeatable: false,
        body: Bytes::from_static(b"once"),
    }
}

fn starts(world: &World) -> u32 {
    world.starts.get(&(Key::from("relayed"), 0)).copied().unwrap_or(0)
}

/// Returns the number of the host that owns the only target.
fn owner(world: &World) -> usize {
    let owns = |&number: &usize| world.host(number).is_some_and(|host| host.status_view(world.now).targets == 1);
    (0..6).find(owns).expect("an owner")
}

/// Guards against a second start: a restarted host receives a request that was relayed to its earlier incarnation, and
/// that the sender may have placed again.
#[test]
fn a_relayed_request_for_an_earlier_incarnation_is_not_run() {
    let mut world = settled_world(3, 3);
    let run = Message::Relay(RelayMessage::Run { serial: 7, request: Box::new(request(0)) });
    world.deliver(0, HostId(2), run);
    world.run(world.now + Duration::from_secs(1));
    assert_eq!(starts(&world), 0);
}

/// Guards against a second start: a duplicate of a request arrives after the outcome of the request was evicted.
#[test]
fn a_late_copy_of_a_relayed_request_is_not_run_again() {
    let mut world = settled_world(3, 3);
    let run = || Message::Relay(RelayMessage::Run { serial: 7, request: Box::new(request(1)) });
    world.deliver(0, HostId(2), run());
    world.run(world.now + Duration::from_secs(1));
    assert_eq!(starts(&world), 1);
    // The outcome of the request is evicted by then.
    world.run(world.now + Duration::from_secs(30));
    world.deliver(0, HostId(2), run());
    world.run(world.now + Duration::from_secs(1));
    assert_eq!(starts(&world), 1);
}

/// Guards against a second start of a request that is not repeatable: the host that runs the request stops before the
/// answer reaches it.
#[test]
fn a_request_relayed_to_a_lost_host_ends_as_unknown_and_is_not_run_again() {
    let mut world = settled_world(6, 1);
    let owner = owner(&world);
    let other = (owner + 3) % 6;
    let body = Bytes::from_static(b"once");
    let timeout = Some(Duration::from_secs(20));
    let before = world.requests.len();
    world.send_request(other, None, HostRequest::Run { entry: "scan".into(), key: None, timeout, body });
    // In steps shorter than any run, so that the answer can't have reached the owner.
    for _ in 0..1_000 {
        if world.starts.is_empty() {
            world.run(world.now + Duration::from_millis(1));
        }
    }
    assert_eq!(world.starts.values().sum::<u32>(), 1, "it was relayed and started");
    // The owner stops before the answer reaches it.
    world.stop(owner);
    let end = world.now + Duration::from_secs(15);
    world.run_until(end, World::is_answered);
    let request = &world.requests[before];
    assert!(matches!(&request.reply, Some(Reply::Refused(no)) if no.code == Code::PeerLost), "{:?}", request.reply);
    world.run(world.now + Duration::from_secs(5));
    assert_eq!(world.starts.values().sum::<u32>(), 1);
}

/// Guards against ready hosts without a catalogue: all hosts of an isolated zone stop, and those that restart find no
/// host to get a catalogue from until the partition heals.
#[test]
fn hosts_that_restart_in_an_isolated_zone_do_not_serve_an_empty_catalogue() {
    let mut world = settled_world(8, 3);
    world.partition_zone(4);
    for number in [1, 4, 7] {
        world.stop(number);
    }
    world.run(world.now + Duration::from_secs(1));
    for number in [4, 7] {
        world.restart(number);
    }
    world.run(world.now + Duration::from_secs(8));
    let ready = |world: &World, number| world.host(number).is_some_and(mangogw_host::Host::is_ready);
    assert!(!ready(&world, 4) && !ready(&world, 7));
    world.partitioned.clear();
    world.run(world.now + Duration::from_secs(6));
    assert!(ready(&world, 4) && ready(&world, 7));
}

/// Guards against refusing the first request after a pause: the leases on the targets had expired, because the timers
/// had not run yet.
#[test]
fn the_first_request_after_a_pause_is_served() {
    let mut world = settled_world(3, 3);
    world.pause(0, Duration::from_millis(1_500));
    let before = world.requests.len();
    world.send_request(0, None, HostRequest::run("route", b"after a pause"));
    world.run(world.now + Duration::from_secs(1));
    assert!(matches!(world.requests[before].reply, Some(Reply::Answer { .. })), "{:?}", world.requests[before]);
}
