//! The control group as other hosts believe it: hosts that were removed from it or have stopped leading it go on running.

use crate::world::{Faults, World};
use mangogw_catalogue::{Action, Token};
use mangogw_host::{
    Call, CallKind, CatalogueState, ControlQuery, GroupMessage, HostRequest, Message, OperatorReply, Reply,
    SpreadMessage, Versions,
};
use mangogw_model::{HostId, Team, Time, Version};
use mangogw_store::FolderId;
use std::time::Duration;

const NO_FAULTS: Faults =
    Faults { loss: 0.0, duplicates: 0.0, partitions: false, crashes: false, freezes: false, targets: false };
const SETUP_END: Time = Time::from_millis(8_000);
const HOSTS: usize = 6;
/// Number of hosts with data folders, the first ones.
const GROUP_HOSTS: usize = 3;

fn settled_world(seed: u64) -> World {
    let mut world = World::open(seed, HOSTS, 3, NO_FAULTS);
    world.run_until(SETUP_END, |world| world.is_settled(3));
    // All hosts with data folders have joined by then.
    world.run(SETUP_END);
    assert_eq!(members(&mut world, 0), 3);
    world
}

/// Makes an operator's call through a host, and returns its reply and the time that it took.
fn call(world: &mut World, through: usize, kind: CallKind) -> (Option<Reply>, Duration) {
    let token = Token::from_random(1, [7; 32]);
    let call = Call { token: token.to_text(), client_address: String::new(), kind };
    let (sent, number) = (world.now, world.requests.len());
    world.send_request(through, None, HostRequest::Operate(call));
    world.run_until(sent + Duration::from_secs(6), World::is_answered);
    (world.requests[number].reply.clone(), world.now - sent)
}

fn read_group(world: &mut World, through: usize) -> Option<serde_json::Value> {
    match call(world, through, CallKind::Read(ControlQuery::Group)).0 {
        Some(Reply::Operator(OperatorReply::Read { body, .. })) => serde_json::from_str(&body).ok(),
        _ => None,
    }
}

/// Returns the number of voters and learners.
fn members(world: &mut World, through: usize) -> usize {
    let group = read_group(world, through).expect("the group has a leader");
    ["voters", "learners"].iter().map(|key| group[*key].as_array().map_or(0, Vec::len)).sum()
}

/// Returns the number of the host that leads.
fn leader(world: &World) -> usize {
    let leads = |&number: &usize| {
        world.host(number).is_some_and(|host| host.status_view(world.now).role.as_deref() == Some("leader"))
    };
    (0..GROUP_HOSTS).find(leads).expect("a leader")
}

/// Carries out a change of the group through its leader.
fn change(world: &mut World, kind: CallKind) {
    let leader = leader(world);
    let (reply, _) = call(world, leader, kind);
    assert!(matches!(reply, Some(Reply::Operator(OperatorReply::Done))), "{reply:?}");
    world.run(world.now + Duration::from_secs(1));
}

fn id_of(number: usize) -> HostId {
    HostId(number as u64 + 1)
}

/// Guards against hosts outside the group whose calls all go to a host that was removed from it and still runs: operators
/// got no answer from them for good.
#[test]
fn hosts_outside_the_group_reach_it_past_a_removed_host() {
    for removed in 0..GROUP_HOSTS {
        let mut world = settled_world(1);
        if leader(&world) == removed {
            change(&mut world, CallKind::Transfer(id_of((removed + 1) % GROUP_HOSTS)));
        }
        change(&mut world, CallKind::Remove(id_of(removed)));
        world.run(world.now + Duration::from_secs(10));
        for outside in GROUP_HOSTS..HOSTS {
            // The refusal asks callers to send again.
            let served = (0..GROUP_HOSTS).any(|_| read_group(&mut world, outside).is_some());
            assert!(served, "without {removed}, {outside} serves no operator");
        }
    }
}

/// Guards against hosts that poll each other, or hosts that were removed from the group, for the catalogue: no change
/// reached them any more.
#[test]
fn changes_reach_every_host_after_hosts_were_removed_from_the_group() {
    for seed in 1..7 {
        let mut world = settled_world(seed);
        let last = GROUP_HOSTS - 1;
        if leader(&world) != last {
            change(&mut world, CallKind::Transfer(id_of(last)));
        }
        for removed in 0..last {
            change(&mut world, CallKind::Remove(id_of(removed)));
            world.run(world.now + Duration::from_secs(10));
        }
        let action = Box::new(Action::PutOwner { name: "second".into(), team: Team::default() });
        let (reply, _) = call(&mut world, last, CallKind::Change { key: None, base: Some(Version(1)), action });
        assert!(
            matches!(&reply, Some(Reply::Operator(OperatorReply::Changed(done))) if done.version.0 == 2),
            "{reply:?}"
        );
        world.run(world.now + Duration::from_secs(30));
        assert_eq!(world.versions(), [2; HOSTS], "seed {seed}");
    }
}

/// Guards against a member that an operator has removed, and that is added again since a former leader leads once more
/// and still holds a request to join from before.
#[test]
fn a_request_to_join_from_before_a_change_of_the_leader_adds_nobody_later() {
    let mut world = settled_world(1);
    let first = leader(&world);
    let join = GroupMessage::Join { folder_id: FolderId(999) };
    world.deliver(first, id_of(HOSTS - 1), Message::Group(join));
    change(&mut world, CallKind::Transfer(id_of((first + 1) % GROUP_HOSTS)));
    world.run(world.now + Duration::from_mins(1));
    change(&mut world, CallKind::Transfer(id_of(first)));
    world.run(world.now + Duration::from_secs(5));
    assert_eq!(members(&mut world, first), GROUP_HOSTS);
}

/// Guards against an operator's removal that is undone: the removed host goes on running and asks to join.
#[test]
fn a_removed_host_that_goes_on_running_stays_removed() {
    let mut world = settled_world(1);
    let removed = (leader(&world) + 1) % GROUP_HOSTS;
    change(&mut world, CallKind::Remove(id_of(removed)));
    world.run(world.now + Duration::from_secs(30));
    let leader = leader(&world);
    assert_eq!(members(&mut world, leader), GROUP_HOSTS - 1);
}

/// Guards against a host that has just started and takes the catalogue of its zone for the group's: a host that had its
/// own confirmed once, before it was cut off, pushes it as confirmed.
#[test]
fn a_cut_off_host_confirms_its_catalogue_to_nobody() {
    let mut world = settled_world(1);
    let inside = (leader(&world) + 1) % GROUP_HOSTS;
    let started = inside + GROUP_HOSTS;
    world.partition_zone(inside);
    world.stop(started);
    world.run(world.now + Duration::from_secs(1));
    world.restart(started);
    let poll = SpreadMessage::Pull { versions: Versions::default(), needs_current: true };
    for _ in 0..40 {
        // A poll that is under way while the polled host gets an answer of its own.
        world.deliver(inside, id_of(started), Message::Spread(poll.clone()));
        world.run(world.now + Duration::from_millis(50));
    }
    let state = world.host(started).map(|host| host.status_view(world.now).standing);
    assert_eq!(state, Some(CatalogueState::Blank));
}

/// Guards against a leader that was paused, and acts on its role after another host has led: its first calls are answered
/// from a state that is outdated, or change the group.
#[test]
fn a_paused_leader_answers_no_call_before_it_has_heard_of_its_successor() {
    for span in [1, 3, 10].map(Duration::from_secs) {
        let mut world = settled_world(1);
        let paused = leader(&world);
        let other = (paused + 1) % GROUP_HOSTS;
        world.freeze(paused, span);
        world.run(world.now + span.saturating_sub(Duration::from_millis(1)));
        // The first input after the pause, before any message that has waited.
        for kind in [CallKind::Read(ControlQuery::Group), CallKind::Remove(id_of(other))] {
            let number = world.requests.len();
            let token = Token::from_random(1, [7; 32]);
            let call = Call { token: token.to_text(), client_address: String::new(), kind };
            world.send_request(paused, None, HostRequest::Operate(call));
            world.run(world.now);
            let reply = &world.requests[number].reply;
            assert!(matches!(reply, Some(Reply::Refused(_))), "paused for {span:?}: {reply:?}");
        }
        world.run(world.now + Duration::from_secs(3));
        let leading = leader(&world);
        assert_eq!(members(&mut world, leading), GROUP_HOSTS, "paused for {span:?}");
    }
}
