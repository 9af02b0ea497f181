//! Each guarantee of the replicated log, tested with one kind of fault at a time.

#[expect(dead_code, reason = "each test file uses a part of the fakes")]
mod fake;

use bytes::Bytes;
use fake::world::{World, folder_id, settings};
use mangogw_model::{HostId, Time};
use mangogw_store::{
    Body, DurableState, Folder, GroupId, Index, LogEntry, LogId, Members, MembershipChange, Message, Output, Payload,
    Raft, Refusal, Role, Settings, Snapshot, Tag, Term, Write, WriteId,
};

const HOST_1: HostId = HostId(1);

/// Returns a group of `voters` voters and its leader.
fn group_with_leader(seed: u64, voters: u64) -> (World, HostId) {
    let mut world = World::new(seed, voters, settings());
    assert!(world.run_until(3_000, |world| world.leader().is_some()), "no first leader");
    world.run(200);
    let leader = world.leader().unwrap();
    (world, leader)
}

fn isolate(world: &mut World, host: HostId) {
    for other in world.nodes.keys().copied().collect::<Vec<_>>() {
        world.cut_links.extend([(host, other), (other, host)]);
    }
}

fn write_completes(world: &mut World, leader: HostId, millis: u64) -> bool {
    let tag = world.write(leader);
    world.run_until(millis, |world| world.completed.contains(&tag))
}

fn follower(world: &World, leader: HostId) -> HostId {
    world.running_hosts().into_iter().find(|id| *id != leader).unwrap()
}

/// Proposes a change until it completes; the leader may refuse the first attempts.
fn complete_change(world: &mut World, leader: HostId, change: MembershipChange) {
    let done = world.run_until(5_000, |world| {
        let tag = world.change(leader, change);
        world.run(100);
        world.completed.contains(&tag)
    });
    assert!(done, "{change:?} does not complete: {:?}", world.refused.values().last());
}

/// A group of one voter elects itself without waiting for an election timeout, also after a restart.
#[test]
fn one_voter_serves_at_once() {
    let mut world = World::new(1, 1, settings());
    world.run(50);
    assert_eq!(world.leader(), Some(HOST_1));
    assert!(write_completes(&mut world, HOST_1, 50));
    world.crash(HOST_1, true);
    world.start(HOST_1);
    world.run(50);
    let read = world.read(HOST_1);
    world.run(50);
    assert!(world.completed.contains(&read));
    world.check_acked();
}

/// Guards against the loss of acknowledged writes: an entry must not be acknowledged while no disk has synced it.
#[test]
fn nothing_is_acknowledged_before_it_is_synced() {
    let (mut world, leader) = group_with_leader(2, 3);
    world.sync_us = 3_600_000_000;
    let tag = world.write(leader);
    world.run(1_000);
    assert!(!world.completed.contains(&tag), "acknowledged without a sync");
    // All disks lose their unsynced data; the group must continue with all acknowledged writes.
    world.sync_us = 5_000;
    for id in world.running_hosts() {
        world.crash(id, true);
        world.start(id);
    }
    assert!(world.run_until(3_000, |world| world.leader().is_some()));
    world.check_acked();
}

/// Guards against two leaders in one term: a voter that loses an unsynced vote in a crash could vote again in the term.
#[test]
fn a_vote_does_not_count_before_it_is_synced() {
    // In a group of one voter, the host must wait for the sync of its vote for itself.
    for voters in [1, 3] {
        let mut world = World::new(3, voters, settings());
        world.sync_us = 3_600_000_000;
        world.run(10_000);
        assert_eq!(world.leader(), None, "elected without a synced vote");
    }
}

/// Bounds the time from a crash of the leader until the group completes a write under a new one.
#[test]
fn failover_takes_at_most_two_seconds() {
    let mut worst = 0;
    for seed in 0..60 {
        let (mut world, old) = group_with_leader(seed, if seed % 2 == 0 { 3 } else { 5 });
        world.crash(old, true);
        let from = world.now;
        let served = world.run_until(4_000, |world| {
            world.leader().is_some_and(|leader| {
                let tag = world.write(leader);
                world.run(20);
                world.completed.contains(&tag)
            })
        });
        let took = (world.now - from).as_millis();
        assert!(served && took <= 2_000, "seed {seed}: {took} ms");
        worst = worst.max(took);
    }
    println!("worst failover of 60: {worst} ms");
}

/// Guards against an old leader that keeps clients waiting, or answers reads, after the others have elected a new one.
#[test]
fn an_isolated_leader_steps_down_within_its_election_timeout() {
    for seed in 0..10 {
        let (mut world, leader) = group_with_leader(seed, 3);
        isolate(&mut world, leader);
        let early = (world.write(leader), world.read(leader));
        world.run(Settings::default().election.as_millis() as u64 + 20);
        assert_eq!(world.raft(leader).status().role, Role::Follower, "the isolated leader still leads");
        assert_eq!(world.refused.get(&early.0), Some(&Refusal::Unsure));
        assert_eq!(world.refused.get(&early.1), Some(&Refusal::NotLeader));
        let late = (world.write(leader), world.read(leader));
        assert_eq!(world.refused.get(&late.0), Some(&Refusal::NotLeader));
        assert_eq!(world.refused.get(&late.1), Some(&Refusal::NotLeader));
    }
}

/// Guards against a group without service: the heartbeats of a leader that receives no answers hold off all elections.
#[test]
fn a_leader_that_receives_no_messages_is_replaced() {
    let (mut world, leader) = group_with_leader(4, 3);
    for other in world.running_hosts() {
        world.cut_links.insert((other, leader));
    }
    world.run(1_500);
    let new = world.leader();
    assert!(new.is_some() && new != Some(leader), "the leader without answers still prevents an election: {new:?}");
}

/// Guards against needless elections: an isolated host that raised its term would depose the leader on its return.
#[test]
fn a_host_back_from_isolation_does_not_depose_the_leader() {
    let (mut world, leader) = group_with_leader(5, 3);
    let term = world.raft(leader).status().term;
    let other = follower(&world, leader);
    isolate(&mut world, other);
    world.run(10_000);
    assert_eq!(world.raft(other).status().term, term, "a campaign that could not win raised the term");
    world.cut_links.clear();
    world.run(1_000);
    assert_eq!((world.leader(), world.raft(leader).status().term), (Some(leader), term));
}

/// Guards against hosts that name a leader which is gone: those that may not vote start no elections, but must forget a
/// leader once another could have been elected.
#[test]
fn a_learner_that_hears_nothing_names_no_leader() {
    let (mut world, leader) = group_with_leader(20, 3);
    let new = world.join();
    complete_change(&mut world, leader, MembershipChange::AddLearner(new, folder_id(new)));
    // An idle group sends a learner nothing but its heartbeats.
    for _ in 0..100 {
        world.run(100);
        assert_eq!(world.raft(new).leader(), Some(leader));
    }
    let term = world.raft(new).term();
    isolate(&mut world, new);
    world.run(3 * Settings::default().learner_heartbeat.as_millis() as u64 + 100);
    assert_eq!((world.raft(new).leader(), world.raft(new).term()), (None, term));
    assert_eq!(world.raft(new).role(), Role::Follower);
    world.cut_links.clear();
    world.run(1_100);
    assert_eq!(world.raft(new).leader(), Some(leader));
}

/// Guards against needless elections by a follower that hears every host but the leader.
#[test]
fn a_follower_that_misses_only_the_leader_does_not_depose_it() {
    let (mut world, leader) = group_with_leader(6, 3);
    let other = follower(&world, leader);
    world.cut_links.insert((leader, other));
    let term = world.raft(leader).status().term;
    world.run(5_000);
    assert_eq!((world.leader(), world.raft(leader).status().term), (Some(leader), term));
    world.cut_links.clear();
    world.run(1_000);
    assert_eq!((world.leader(), world.raft(leader).status().term), (Some(leader), term));
}

/// Guards against the loss of committed entries: a leader that commits an entry of an earlier term by counting copies
/// may see a leader of a term in between overwrite it.
#[test]
fn entries_of_earlier_terms_commit_only_with_one_of_the_current_term() {
    let members = Members::from_voters((1..=3).map(|id| (HostId(id), folder_id(HostId(id)))));
    let mut stored = DurableState::bootstrap(HOST_1, folder_id(HOST_1), GroupId(7), members, Bytes::new());
    let id = LogId { term: Term(2), index: Index(2) };
    stored.entries.push(LogEntry { id, payload: Payload::Blank });
    stored.hard_state.term = Term(3);
    let mut raft = Raft::open(settings(), stored, Time::ZERO);
    let now = Time::from_millis(1_000);
    let answer = |raft: &mut Raft, body: Body| {
        let message = Message { group: GroupId(7), folder_id: folder_id(HostId(2)), to: HOST_1, term: Term(4), body };
        raft.on_message(now, HostId(2), message);
        for output in raft.drain() {
            if let Output::Write(write) = output {
                raft.on_synced(now, write.id);
            }
        }
    };
    raft.on_tick(now);
    answer(&mut raft, Body::PreVoteAnswer { granted: true });
    answer(&mut raft, Body::VoteAnswer { granted: true });
    assert_eq!((raft.status().role, raft.status().term), (Role::Leader, Term(4)));
    // The members may not change before that either: a change of an earlier leader may still be uncommitted.
    raft.change_membership(now, MembershipChange::AddLearner(HostId(4), folder_id(HostId(4))), Tag(1));
    let refused = Output::Refused { tag: Tag(1), why: Refusal::ChangePending, leader: Some(HOST_1) };
    assert!(raft.drain().contains(&refused));
    // A majority holds entry 2, but a leader of term 3 could still overwrite it.
    answer(&mut raft, Body::Matched { index: Index(2) });
    assert_eq!(raft.status().commit, Index(1));
    answer(&mut raft, Body::Matched { index: Index(3) });
    assert_eq!(raft.status().commit, Index(3));
}

fn from_leader(term: u64, body: Body) -> Message {
    Message { group: GroupId(7), folder_id: folder_id(HostId(2)), to: HOST_1, term: Term(term), body }
}

/// Guards against two leaders in one term, and against a leader that lacks committed entries.
#[test]
fn a_voter_votes_once_per_term_and_only_for_an_up_to_date_log() {
    let members = Members::from_voters((1..=3).map(|id| (HostId(id), folder_id(HostId(id)))));
    let mut stored = DurableState::bootstrap(HOST_1, folder_id(HOST_1), GroupId(7), members, Bytes::new());
    let id = LogId { term: Term(2), index: Index(2) };
    stored.entries.push(LogEntry { id, payload: Payload::Blank });
    let mut raft = Raft::open(settings(), stored, Time::ZERO);
    let mut ask = |from: u64, term: u64, last: LogId| {
        let body = Body::Vote { last, transfer: true };
        let message =
            Message { group: GroupId(7), folder_id: folder_id(HostId(from)), to: HOST_1, term: Term(term), body };
        raft.on_message(Time::ZERO, HostId(from), message);
        let mut outputs = raft.drain();
        for write in outputs.clone() {
            if let Output::Write(write) = write {
                raft.on_synced(Time::ZERO, write.id);
            }
        }
        outputs.extend(raft.drain());
        outputs.iter().any(|output| match output {
            Output::Send { message, .. } => message.body == Body::VoteAnswer { granted: true },
            _ => false,
        })
    };
    assert!(!ask(2, 5, LogId { term: Term(1), index: Index(9) }), "a longer log of an earlier term");
    assert!(ask(3, 5, id));
    assert!(!ask(2, 5, id), "a second vote in the term");
    assert!(ask(3, 5, id), "the same vote again");
}

/// Guards against a membership that was never committed: members take effect with the entry, before it is committed.
#[test]
fn overwriting_an_entry_reverts_its_membership_change() {
    let members = Members::from_voters((1..=3).map(|id| (HostId(id), folder_id(HostId(id)))));
    let mut stored = DurableState::bootstrap(HOST_1, folder_id(HOST_1), GroupId(7), members.clone(), Bytes::new());
    let id = LogId { term: Term(2), index: Index(2) };
    let more = members.with_change(MembershipChange::AddLearner(HostId(4), folder_id(HostId(4)))).unwrap();
    stored.entries.push(LogEntry { id, payload: Payload::Members(more.clone()) });
    let prev = stored.base();
    let mut raft = Raft::open(settings(), stored, Time::ZERO);
    assert_eq!(raft.members(), &more);
    let other = LogEntry { id: LogId { term: Term(3), index: Index(2) }, payload: Payload::Blank };
    let append = Body::Append { prev, commit: Index(1), entries: vec![other] };
    raft.on_message(Time::ZERO, HostId(2), from_leader(3, append));
    assert_eq!(raft.members(), &members);
}

/// Guards against entries applied to an old state: an entry that follows a snapshot can be committed before the
/// snapshot is synced.
#[test]
fn a_snapshot_is_acknowledged_and_restored_only_once_it_is_synced() {
    let members = Members::from_voters([(HostId(2), folder_id(HostId(2)))]);
    let id = LogId { term: Term(3), index: Index(9) };
    let snapshot = Snapshot::new(id, members, "state".into());
    let mut raft = Raft::open(settings(), DurableState::joining(HOST_1, folder_id(HOST_1)), Time::ZERO);
    let chunk = Body::Chunk { meta: snapshot.meta.clone(), offset: 0, data: snapshot.data.clone() };
    raft.on_message(Time::ZERO, HostId(2), from_leader(3, chunk));
    // A committed entry after the snapshot arrives before the snapshot is synced.
    let next = LogEntry { id: LogId { term: Term(3), index: Index(10) }, payload: Payload::Blank };
    let append = Body::Append { prev: id, commit: Index(10), entries: vec![next] };
    raft.on_message(Time::ZERO, HostId(2), from_leader(3, append));
    let early = raft.drain();
    let deferred = |output: &Output| match output {
        Output::Restore(_) | Output::Apply { .. } => true,
        Output::Send { message, .. } => matches!(message.body, Body::Matched { .. }),
        _ => false,
    };
    assert!(!early.iter().any(deferred), "{early:?}");
    let write = early.iter().find_map(|output| if let Output::Write(write) = output { Some(write.id) } else { None });
    raft.on_synced(Time::ZERO, write.unwrap());
    let late: Vec<_> = raft.drain().into_iter().filter(deferred).collect();
    let order = late.iter().position(|output| matches!(output, Output::Restore(_)))
        < late.iter().position(|output| matches!(output, Output::Apply { .. }));
    assert!(
        order && late.len() == 4,
        "expected a restore, then the entries after it, and two acknowledgements: {late:?}"
    );
}

/// Guards against a healthy leader being deposed by a host that campaigns in a higher term without a pre-vote.
#[test]
fn a_vote_request_during_the_lease_of_a_leader_is_ignored() {
    let (mut world, leader) = group_with_leader(6, 3);
    let (term, other) = (world.raft(leader).status().term, follower(&world, leader));
    let last = LogId { term: Term(90), index: Index(90) };
    for to in [leader, other] {
        let body = Body::Vote { last, transfer: false };
        let from = world.running_hosts().into_iter().find(|id| ![leader, other].contains(id)).unwrap();
        let message = Message { group: GroupId(7), folder_id: folder_id(from), to, term: Term(91), body };
        world.deliver(to, from, &message);
    }
    world.run(1_000);
    assert_eq!((world.leader(), world.raft(leader).status().term), (Some(leader), term));
}

/// Guards against stale reads from an isolated leader that does not know that it was replaced.
#[test]
fn a_read_needs_a_round_of_heartbeats() {
    let (mut world, leader) = group_with_leader(7, 3);
    assert!(write_completes(&mut world, leader, 1_000));
    isolate(&mut world, leader);
    let read = world.read(leader);
    world.run(100);
    assert!(!world.completed.contains(&read), "answered without a quorum");
    world.cut_links.clear();
    let read = world.read(leader);
    assert!(world.run_until(500, |world| world.completed.contains(&read)));
}

/// Bounds the time of a transfer with 20 writes in flight to 300 ms, which is below the election timeout.
#[test]
fn a_leadership_transfer_needs_no_election_timeout() {
    let (mut world, leader) = group_with_leader(8, 5);
    let to = follower(&world, leader);
    for _ in 0..20 {
        world.write(leader);
    }
    let from = world.now;
    world.transfer(leader, to);
    let tag = world.write(leader);
    assert_eq!(world.refused.get(&tag), Some(&Refusal::Transferring));
    assert!(
        world.run_until(300, |world| world.raft(to).status().role == Role::Leader),
        "the target of the transfer does not lead after 300 ms"
    );
    println!("handover took {} ms", (world.now - from).as_millis());
    assert!(write_completes(&mut world, to, 500));
    world.check_acked();
}

/// Guards against a leader that refuses proposals forever while it waits for a dead target to catch up.
#[test]
fn a_transfer_to_a_dead_host_is_canceled() {
    let (mut world, leader) = group_with_leader(9, 3);
    let to = follower(&world, leader);
    world.crash(to, false);
    world.write(leader);
    let tag = world.transfer(leader, to);
    world.run(600);
    assert_eq!(world.refused.get(&tag), Some(&Refusal::NotCaughtUp));
    assert!(write_completes(&mut world, leader, 1_000));
}

/// Guards against a quorum that includes a host without the log.
#[test]
fn a_learner_is_promoted_only_once_it_has_caught_up() {
    let (mut world, leader) = group_with_leader(10, 3);
    for _ in 0..200 {
        world.write(leader);
        world.run(2);
    }
    let new = world.join();
    isolate(&mut world, new);
    complete_change(&mut world, leader, MembershipChange::AddLearner(new, folder_id(new)));
    let tag = world.change(leader, MembershipChange::Promote(new));
    assert_eq!(world.refused.get(&tag), Some(&Refusal::NotCaughtUp));
    world.cut_links.clear();
    complete_change(&mut world, leader, MembershipChange::Promote(new));
    assert!(world.raft(leader).members().is_voter(new));
}

#[test]
fn a_group_grows_from_one_to_five_and_shrinks_again() {
    let mut world = World::new(11, 1, settings());
    world.run(100);
    for _ in 0..4 {
        let new = world.join();
        complete_change(&mut world, HOST_1, MembershipChange::AddLearner(new, folder_id(new)));
        complete_change(&mut world, HOST_1, MembershipChange::Promote(new));
    }
    assert_eq!(world.raft(HOST_1).members().voters.len(), 5);
    let tag = world.change(HOST_1, MembershipChange::Remove(HOST_1));
    assert_eq!(world.refused.get(&tag), Some(&Refusal::Leading));
    for id in 2..=5 {
        complete_change(&mut world, HOST_1, MembershipChange::Remove(HostId(id)));
    }
    world.run(2_000);
    assert!(write_completes(&mut world, HOST_1, 100));
    assert_eq!(world.leader(), Some(HOST_1), "removed hosts depose the leader");
}

/// Guards against a voter that counts on after it was made a learner, and against one that is left outside.
#[test]
fn a_demoted_voter_follows_as_a_learner() {
    let (mut world, leader) = group_with_leader(22, 5);
    let tag = world.change(leader, MembershipChange::Demote(leader));
    assert_eq!(world.refused.get(&tag), Some(&Refusal::Leading));
    let demoted = follower(&world, leader);
    complete_change(&mut world, leader, MembershipChange::Demote(demoted));
    assert!(write_completes(&mut world, leader, 1_000));
    world.run(2_000);
    let members = world.raft(demoted).members().clone();
    assert_eq!((members.voters.len(), members.learners.contains_key(&demoted)), (4, true));
    assert_eq!(world.raft(demoted).leader(), Some(leader));
    // Three of the four voters are left, but a single one of these and the learner are no quorum.
    let others: Vec<HostId> = world.running_hosts().into_iter().filter(|id| ![leader, demoted].contains(id)).collect();
    world.crash(others[0], true);
    assert!(write_completes(&mut world, leader, 1_000));
    world.crash(others[1], true);
    assert!(!write_completes(&mut world, leader, 3_000), "a learner counted for a quorum");
    assert_eq!(world.leader(), None);
    world.check_acked();
}

/// Guards against two memberships with disjoint quorums, and against a change that leaves the group without a quorum.
#[test]
fn changes_run_one_at_a_time_and_need_a_quorum() {
    let (mut world, leader) = group_with_leader(12, 3);
    let (a, b) = (world.join(), world.join());
    let first = world.change(leader, MembershipChange::AddLearner(a, folder_id(a)));
    let second = world.change(leader, MembershipChange::AddLearner(b, folder_id(b)));
    assert_eq!(world.refused.get(&second), Some(&Refusal::ChangePending));
    world.run(500);
    assert!(world.completed.contains(&first));
    let dead = follower(&world, leader);
    world.crash(dead, false);
    world.run(600);
    let alive = world.raft(leader).members().voters.keys().copied().find(|id| *id != leader && *id != dead).unwrap();
    let tag = world.change(leader, MembershipChange::Remove(alive));
    assert_eq!(world.refused.get(&tag), Some(&Refusal::NoQuorum));
}

/// Guards against a replacement that counts as a voter before it holds the log: a second loss would then lose
/// acknowledged writes.
#[test]
fn a_second_lost_disk_right_after_a_replacement_loses_no_writes() {
    for seed in 0..10 {
        let (mut world, leader) = group_with_leader(seed, 3);
        for _ in 0..100 {
            world.write(leader);
            world.run(1);
        }
        let lost = follower(&world, leader);
        world.lose_disk(lost);
        let new = world.join();
        complete_change(&mut world, leader, MembershipChange::AddLearner(new, folder_id(new)));
        complete_change(&mut world, leader, MembershipChange::Remove(lost));
        complete_change(&mut world, leader, MembershipChange::Promote(new));
        let second =
            world.raft(leader).members().voters.keys().copied().find(|id| ![leader, new].contains(id)).unwrap();
        world.lose_disk(if seed % 2 == 0 { leader } else { second });
        assert!(world.run_until(3_000, |world| world.leader().is_some()), "no leader after the second loss");
        let leader = world.leader().unwrap();
        assert!(write_completes(&mut world, leader, 1_000));
        world.check_acked();
    }
}

/// Guards against the loss of acknowledged writes: an empty disk under an old host id could form a quorum in place of
/// the lost one.
#[test]
fn an_empty_disk_under_an_old_host_id_is_not_counted() {
    let (mut world, leader) = group_with_leader(13, 3);
    for _ in 0..50 {
        world.write(leader);
        world.run(2);
    }
    let old = follower(&world, leader);
    let other = world.running_hosts().into_iter().find(|id| ![leader, old].contains(id)).unwrap();
    world.crash(other, false);
    world.replace_disk(old);
    let tag = world.write(leader);
    world.run(3_000);
    assert!(!world.completed.contains(&tag), "an empty disk under an old host id counted for a quorum");
    world.crash(leader, false);
    world.start(leader);
    world.run(3_000);
    assert_eq!(world.leader(), None, "an empty disk under an old host id voted");
    assert_eq!(world.raft(old).status().commit, Index(0), "the empty disk was treated as the old host");
    world.start(other);
    assert!(world.run_until(3_000, |world| {
        let Some(leader) = world.leader() else { return false };
        let tag = world.write(leader);
        world.run(100);
        world.completed.contains(&tag)
    }));
    world.check_acked();
}

/// Guards against two leaders in one term: an emptied folder lost its votes, but the log it receives lists its host as
/// a voter.
#[test]
fn an_emptied_folder_that_receives_the_log_does_not_campaign() {
    let members = Members::from_voters((1..=3).map(|id| (HostId(id), folder_id(HostId(id)))));
    let id = LogId { term: Term(3), index: Index(9) };
    let snapshot = Snapshot::new(id, members, "state".into());
    let chunk = Body::Chunk { meta: snapshot.meta.clone(), offset: 0, data: snapshot.data };
    for (own, campaigns) in [(folder_id(HOST_1).next(), false), (folder_id(HOST_1), true)] {
        let mut raft = Raft::open(settings(), DurableState::joining(HOST_1, own), Time::ZERO);
        raft.on_message(Time::ZERO, HostId(2), from_leader(3, chunk.clone()));
        for output in raft.drain() {
            if let Output::Write(write) = output {
                raft.on_synced(Time::ZERO, write.id);
            }
        }
        raft.on_tick(Time::from_millis(5_000));
        assert_eq!(raft.status().role == Role::PreCandidate, campaigns, "with folder id {own}");
        raft.on_message(
            Time::from_millis(5_000),
            HostId(2),
            from_leader(4, Body::Heartbeat { commit: id.index, round: 0 }),
        );
        raft.on_message(Time::from_millis(5_000), HostId(2), from_leader(4, Body::TimeoutNow));
        assert_eq!(
            raft.status().role == Role::Candidate,
            campaigns,
            "with folder id {own}, told to campaign by the leader"
        );
    }
}

/// Guards against a host with a new folder, and so a new id, that takes part as the host whose address it has: it would
/// follow a leader that does not know it, and never ask to join.
#[test]
fn a_message_for_another_host_at_the_same_address_is_dropped() {
    let mut raft = Raft::open(settings(), DurableState::joining(HostId(9), folder_id(HostId(9))), Time::ZERO);
    let heartbeat = Body::Heartbeat { commit: Index(0), round: 0 };
    raft.on_message(Time::ZERO, HostId(2), from_leader(3, heartbeat.clone()));
    assert_eq!((raft.leader(), raft.term()), (None, Term(0)));
    assert!(raft.drain().iter().all(|output| matches!(output, Output::Role { .. })));
    assert_eq!(raft.status().foreign_messages, 1);
    raft.on_message(Time::ZERO, HostId(2), Message { to: HostId(9), ..from_leader(3, heartbeat) });
    assert_eq!((raft.leader(), raft.term()), (Some(HostId(2)), Term(3)));
}

/// Guards against a host that is cut off for good: it still knows the leader by the folder that was replaced.
#[test]
fn a_host_that_missed_a_replacement_follows_the_new_folder() {
    let (mut world, leader) = group_with_leader(21, 3);
    let late = follower(&world, leader);
    let old = world.running_hosts().into_iter().find(|id| ![leader, late].contains(id)).unwrap();
    let spare = world.join();
    complete_change(&mut world, leader, MembershipChange::AddLearner(spare, folder_id(spare)));
    complete_change(&mut world, leader, MembershipChange::Promote(spare));
    isolate(&mut world, late);
    world.replace_disk(old);
    complete_change(&mut world, leader, MembershipChange::Remove(old));
    let new = world.nodes[&old].folder_id;
    complete_change(&mut world, leader, MembershipChange::AddLearner(old, new));
    complete_change(&mut world, leader, MembershipChange::Promote(old));
    world.transfer(leader, old);
    assert!(world.run_until(1_000, |world| world.leader() == Some(old)), "the target of the transfer does not lead");
    world.cut_links.clear();
    let target = world.raft(old).status().commit;
    assert!(
        world.run_until(3_000, |world| world.raft(late).status().applied >= target),
        "the host rejects the leader with the new folder"
    );
}

/// Guards against acknowledged writes on a failed disk, and against callers that never get an answer.
#[test]
fn a_voter_whose_disk_fails_steps_down_and_acknowledges_nothing() {
    let (mut world, leader) = group_with_leader(14, 3);
    world.nodes[&leader].disk.fail_after(Some(0));
    let tag = world.write(leader);
    world.run(100);
    assert_eq!(world.raft(leader).status().role, Role::Failed);
    assert!(world.completed.contains(&tag) || world.refused.contains_key(&tag), "the caller got no answer");
    let late = world.write(leader);
    assert_eq!(world.refused.get(&late), Some(&Refusal::Failed));
    assert!(world.run_until(2_000, |world| world.leader().is_some_and(|new| new != leader)), "no failover");
    world.clear_faults();
    world.run(1_000);
    world.check_acked();
}

/// Guards against a host of another group that raises the term of this group.
#[test]
fn messages_of_another_group_are_dropped() {
    let (mut world, leader) = group_with_leader(15, 3);
    let term = world.raft(leader).status().term;
    let foreign = Message {
        group: GroupId(8),
        folder_id: folder_id(HostId(2)),
        to: leader,
        term: Term(99),
        body: Body::Heartbeat { commit: Index(0), round: 0 },
    };
    world.deliver(leader, HostId(2), &foreign);
    assert_eq!(world.raft(leader).status().term, term);
    assert_eq!(world.raft(leader).status().foreign_messages, 1);
}

/// Guards against a log that grows without limit while a host is down, and against a host that can no longer catch up.
#[test]
fn a_host_far_behind_gets_a_snapshot_and_the_log_stays_bounded() {
    let (mut world, leader) = group_with_leader(16, 3);
    let late = follower(&world, leader);
    world.crash(late, false);
    for _ in 0..1_000 {
        world.write(leader);
        world.run(2);
    }
    let bytes = world.raft(leader).status().log_bytes;
    assert!(bytes < 3 * settings().log_bytes, "{bytes} bytes of log in memory");
    let before = world.restores;
    world.start(late);
    assert!(world.run_until(3_000, |world| world.raft(late).status().applied == world.raft(leader).status().commit));
    assert!(
        world.restores > before + 1,
        "expected a restore from the leader's snapshot, in addition to the host's own"
    );
}

/// Guards against a log that outgrows the memory because only the number of its entries is limited.
#[test]
fn the_log_in_memory_is_bounded_by_bytes() {
    let mut world = World::new(20, 1, Settings { tail_entries: 10_000, ..settings() });
    world.run(50);
    for _ in 0..1_000 {
        world.write(HOST_1);
        world.run(1);
        let bytes = world.raft(HOST_1).status().log_bytes;
        assert!(bytes < 3 * settings().log_bytes, "{bytes} bytes of log in memory");
    }
    assert!(world.raft(HOST_1).status().snapshot > Index(500));
}

/// Guards against a follower that runs out of memory while its disk hangs and the leader keeps sending.
#[test]
fn a_hanging_disk_limits_the_unsynced_bytes() {
    let settings = Settings { pending_bytes: 1_000, ..settings() };
    let mut raft = Raft::open(settings, DurableState::joining(HOST_1, folder_id(HOST_1)), Time::ZERO);
    let (mut prev, mut waiting, mut last) = (LogId::default(), 0, None);
    for index in 1..200 {
        let id = LogId { term: Term(3), index: Index(index) };
        let entries = vec![LogEntry { id, payload: Payload::Command(vec![0; 68].into()) }];
        let append = Body::Append { prev, commit: Index(0), entries };
        raft.on_message(Time::ZERO, HostId(2), from_leader(3, append.clone()));
        for output in raft.drain() {
            if let Output::Write(write) = output {
                waiting += write.ops.iter().map(mangogw_store::Op::size).sum::<usize>();
                last = Some(write.id);
            }
        }
        prev = id;
    }
    assert!((900..=1_200).contains(&waiting), "{waiting} bytes wait for the disk");
    let before = raft.status().last;
    raft.on_synced(Time::ZERO, last.unwrap());
    let next = LogEntry { id: LogId { term: Term(3), index: before.next() }, payload: Payload::Blank };
    let append = Body::Append { prev: LogId { term: Term(3), index: before }, commit: before, entries: vec![next] };
    raft.on_message(Time::ZERO, HostId(2), from_leader(3, append));
    assert_eq!(raft.status().last, before.next(), "the host accepts entries again after the disk has synced");
}

/// Guards against a leader that runs out of memory; each proposal must still be answered.
#[test]
fn too_many_proposals_are_refused() {
    let mut world = World::new(17, 3, Settings { pending_bytes: 300, ..settings() });
    assert!(world.run_until(3_000, |world| world.leader().is_some()));
    world.run(100);
    let leader = world.leader().unwrap();
    let tags: Vec<_> = (0..50).map(|_| world.write(leader)).collect();
    assert!(tags.iter().any(|tag| world.refused.get(tag) == Some(&Refusal::Busy)));
    world.run(500);
    assert!(tags.iter().all(|tag| world.refused.contains_key(tag) || world.completed.contains(tag)));
    assert!(write_completes(&mut world, leader, 500));
}

/// Bounds the messages of an idle group over ten seconds, without learners and with four.
#[test]
fn an_idle_group_sends_heartbeats_only() {
    let (mut world, _) = group_with_leader(18, 5);
    world.run(1_000);
    let before = world.messages;
    world.run(10_000);
    let messages = world.messages - before;
    // Four followers; ten heartbeats a second to each, all answered.
    assert!(messages <= 4 * 10 * 10 * 2 + 8, "{messages} messages in ten idle seconds");
    // One heartbeat a second to each learner, all answered.
    let leader = world.leader().unwrap();
    for _ in 0..4 {
        let new = world.join();
        complete_change(&mut world, leader, MembershipChange::AddLearner(new, folder_id(new)));
    }
    world.run(1_000);
    let before = world.messages;
    world.run(10_000);
    let more = world.messages - before;
    assert!(more <= messages + 4 * 10 * 2 + 8, "{more} messages in ten idle seconds with four learners");
}

/// The only voter that is left continues on its own log after all others are lost.
#[test]
fn a_single_survivor_can_be_forced_into_a_new_group() {
    let (mut world, leader) = group_with_leader(19, 3);
    assert!(write_completes(&mut world, leader, 1_000));
    world.run(500);
    let survivor = follower(&world, leader);
    for id in world.running_hosts() {
        world.crash(id, false);
    }
    let disk = world.nodes[&survivor].disk.clone();
    let (mut folder, mut stored) = Folder::open_disk(disk.clone()).unwrap();
    let ops = stored.force_new_group(GroupId(1_000));
    folder.write(&[Write { id: WriteId(1), ops }]).unwrap();
    drop(folder);
    let (_, again) = Folder::open_disk(disk).unwrap();
    assert_eq!(again, stored);
    let mut raft = Raft::open(settings(), again, world.now);
    raft.on_tick(world.now);
    assert_eq!(raft.members().voters.len(), 1);
    assert!(
        raft.drain().iter().any(|output| matches!(output, Output::Write(_))),
        "the survivor campaigns as the only voter"
    );
}
