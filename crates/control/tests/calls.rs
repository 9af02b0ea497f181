//! Tests of the calls of one host, with a control group that exists only in its messages.

use mangogw_control::{
    Call, Caller, ControlHost, Effect, Message, Reply, Settings, address_of, host_at, joining_state,
};
use mangogw_jobs::{JobId, JobSpec, Step};
use mangogw_model::{HostId, Time, Version, Zone};
use mangogw_store::{Body, FolderId, GroupId, Index, Term};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

fn entry_host(now: Time) -> ControlHost {
    ControlHost::open(settings(host_at(Ipv4Addr::new(10, 1, 0, 4), 0)), None, now)
}

fn settings(host: HostId) -> Settings {
    Settings {
        host,
        seed: 1,
        port: 7720,
        seeds: vec!["10.1.0.1:80".parse().unwrap()],
        zone: Zone::from("a"),
        zones: Vec::new(),
        cpu_millicores: 250,
        direct_targets: 96,
        voters: 3,
        jobs: mangogw_jobs::Settings::default(),
        reply_timeout: Duration::from_millis(900),
        resend_delay: Duration::from_millis(1300),
    }
}

fn submit(id: u64, estimate: u64, transient: bool) -> Call {
    let steps = vec![Step { count: 1, estimate, ..Step::default() }];
    let spec = Arc::new(JobSpec { steps, transient, ..JobSpec::default() });
    let (host, path, timeout) = ("h".to_owned(), "/p/".to_owned(), Some(Duration::from_secs(6)));
    Call::Submit { host, path, id: JobId(id), spec, timeout }
}

/// Guards against jobs that are held without a leader until they can't be in time any more, and refused only then: short
/// ones are refused first, and all at the time after which a leader is not expected any more.
#[test]
fn jobs_are_held_without_a_leader_only_while_they_can_be_in_time() {
    let mut host = entry_host(Time::ZERO);
    for (id, estimate, transient) in
        [(1, 60, true), (2, 200, true), (3, 900, true), (4, u64::MAX, true), (5, 60, false)]
    {
        host.on_call(Time::ZERO, Caller(id), submit(id, estimate, transient));
    }
    let mut refused = Vec::new();
    for millis in (0..1000).step_by(10) {
        let now = Time::from_millis(millis);
        host.on_tick(now);
        for effect in host.drain(now) {
            if let Effect::Reply { caller, reply: Reply::Refused { .. } } = effect {
                refused.push((caller.0, millis));
            }
        }
    }
    refused.sort_unstable();
    assert_eq!(refused, [(1, 90), (2, 160), (3, 510), (4, 600), (5, 600)]);
}

/// Returns what a control host says of the leader.
fn leader_info(term: u64, leader: Option<HostId>) -> Message {
    let hosts = (1..=3).map(control_host).collect();
    Message::LeaderInfo { term: Term(term), leader, hosts, version: Version(0), isolated_token: 0 }
}

fn control_host(last: u8) -> HostId {
    host_at(Ipv4Addr::new(10, 1, 0, last), 0)
}

/// Ticks a host for `millis` milliseconds and passes it the answers of `answer` to its messages. Returns the replies to its
/// clients, with their times, and the number of calls that it sent.
fn run(
    host: &mut ControlHost,
    from: u64,
    millis: u64,
    answer: impl Fn(u64, IpAddr, &Message) -> Vec<Message>,
) -> (Vec<(u64, Reply)>, usize) {
    let (mut replies, mut calls) = (Vec::new(), 0);
    for at in (from..from + millis).step_by(10) {
        let now = Time::from_millis(at);
        host.on_tick(now);
        let mut effects = host.drain(now);
        // Answers arrive at once; a host that keeps sending is stopped by the bound on rounds.
        for _ in 0..100 {
            let mut answers = Vec::new();
            for effect in std::mem::take(&mut effects) {
                match effect {
                    Effect::Reply { reply, .. } => replies.push((at, reply)),
                    Effect::Send { to, messages } => {
                        calls += messages.iter().filter(|message| matches!(message, Message::Call { .. })).count();
                        answers.extend(messages.iter().flat_map(|message| {
                            answer(at, to.ip(), message).into_iter().map(move |answer| (to.ip(), answer))
                        }));
                    }
                    _ => {}
                }
            }
            for (ip, answer) in answers {
                let IpAddr::V4(ip) = ip else { continue };
                host.on_message(now, host_at(ip, 0), answer);
            }
            effects = host.drain(now);
        }
    }
    (replies, calls)
}

/// Guards against an entry host that finds and loses the same leader for ever: hosts that name it to others don't know that
/// it is silent. Its calls were held until their deadline, and ended as unclear.
#[test]
fn a_silent_leader_that_other_hosts_name_gets_no_calls() {
    let mut host = entry_host(Time::ZERO);
    let dead = control_host(1);
    let named = move |_: u64, to: IpAddr, message: &Message| match message {
        Message::FindLeader(_) if to != IpAddr::V4(Ipv4Addr::new(10, 1, 0, 1)) => vec![leader_info(3, Some(dead))],
        _ => Vec::new(),
    };
    host.on_message(Time::ZERO, control_host(2), leader_info(3, None));
    run(&mut host, 0, 1500, named);
    host.on_call(Time::from_millis(1500), Caller(1), Call::Fetch);
    let (replies, calls) = run(&mut host, 1500, 1500, named);
    let [(at, Reply::Refused { .. })] = replies.as_slice() else { panic!("one refusal: {replies:?}") };
    assert!(*at <= 1520, "refused after {} ms, though no leader had answered for 1 s", at - 1500);
    assert_eq!(calls, 0, "a call went to a host that had been silent for 1 s");
}

/// Guards against a call that is sent over and over: one host names a leader, which doesn't lead and says so.
#[test]
fn a_call_is_not_sent_again_to_a_host_that_does_not_lead() {
    let mut host = entry_host(Time::ZERO);
    let answer = |_: u64, to: IpAddr, message: &Message| match message {
        Message::FindLeader(_) if to == IpAddr::V4(Ipv4Addr::new(10, 1, 0, 1)) => vec![leader_info(3, None)],
        Message::FindLeader(_) => vec![leader_info(3, Some(control_host(1)))],
        Message::Call { serial, .. } => vec![Message::NotLeader { serial: *serial }, leader_info(3, None)],
        _ => Vec::new(),
    };
    host.on_message(Time::ZERO, control_host(2), leader_info(3, Some(control_host(1))));
    host.on_call(Time::ZERO, Caller(1), Call::Fetch);
    let (replies, calls) = run(&mut host, 0, 2000, answer);
    assert!(matches!(replies.as_slice(), [(_, Reply::Refused { .. })]), "{replies:?}");
    assert_eq!(calls, 1, "the call was sent again to the host that had refused it");
}

/// Guards against a leader that is given up for good because a message of its time as a candidate arrives late.
#[test]
fn a_leader_that_speaks_for_itself_is_believed_again() {
    let mut host = entry_host(Time::ZERO);
    let leader = control_host(1);
    host.on_message(Time::ZERO, control_host(2), leader_info(3, Some(leader)));
    host.on_message(Time::ZERO, leader, leader_info(3, None));
    host.on_call(Time::ZERO, Caller(1), Call::Fetch);
    let answer = |_: u64, to: IpAddr, message: &Message| match message {
        Message::FindLeader(_) if to == IpAddr::V4(Ipv4Addr::new(10, 1, 0, 1)) => {
            vec![leader_info(3, Some(control_host(1)))]
        }
        Message::Call { serial, .. } => vec![Message::Answer { serial: *serial, reply: Reply::Set(None) }],
        _ => Vec::new(),
    };
    let (replies, calls) = run(&mut host, 0, 300, answer);
    assert!(matches!(replies.as_slice(), [(_, Reply::Set(None))]), "{replies:?}");
    assert_eq!(calls, 1);
}

/// Guards against a member that calls one host again and again, hundreds of times a second: its own log names a leader that
/// it hasn't heard for long, which answers that it doesn't lead.
#[test]
fn a_member_sends_no_call_again_to_the_silent_leader_in_its_log() {
    let (own, leader) = (Ipv4Addr::new(10, 1, 0, 4), control_host(1));
    let stored = joining_state(own, 77);
    let stored_id = stored.host;
    let mut host = ControlHost::open(settings(stored.host), Some(stored), Time::ZERO);
    // A learner that follows a leader of term 3, and hears nothing more from it.
    let heartbeat = mangogw_store::Message {
        group: GroupId(5),
        folder_id: FolderId(6),
        to: stored_id,
        term: Term(3),
        body: Body::Heartbeat { commit: Index(0), round: 0 },
    };
    host.on_message(Time::ZERO, leader, Message::Raft(heartbeat));
    let answer = |_: u64, _: IpAddr, message: &Message| match message {
        Message::Call { serial, .. } => vec![Message::NotLeader { serial: *serial }],
        _ => Vec::new(),
    };
    run(&mut host, 0, 100, answer);
    host.on_call(Time::from_millis(100), Caller(1), Call::Fetch);
    let (replies, calls) = run(&mut host, 100, 1000, answer);
    let [(at, Reply::Refused { .. })] = replies.as_slice() else { panic!("one refusal: {replies:?}") };
    assert!(*at <= 720, "refused after {} ms", at - 100);
    assert_eq!(calls, 1, "the call was sent again to the host that had refused it");
}

/// Guards against an entry host that finds the control group no more: a host that was removed from it, and knows no
/// leader, names the members of that time, which are all gone.
#[test]
fn an_entry_host_looks_for_the_group_beyond_the_members_that_a_host_without_a_leader_names() {
    let mut host = entry_host(Time::ZERO);
    let (seed, removed) = (host_at(Ipv4Addr::new(10, 1, 0, 1), 0), host_at(Ipv4Addr::new(10, 1, 0, 2), 0));
    let (term, version) = (Term(3), Version(1));
    let stale = Message::LeaderInfo { term, leader: None, hosts: vec![removed], version, isolated_token: 0 };
    host.on_message(Time::from_millis(10), removed, stale);
    let mut asked = Vec::new();
    for millis in (20..5000).step_by(10) {
        let now = Time::from_millis(millis);
        host.on_tick(now);
        for effect in host.drain(now) {
            if let Effect::Send { to, .. } = effect {
                asked.push(to);
            }
        }
    }
    assert!(asked.contains(&address_of(removed, 7720)));
    assert!(asked.contains(&address_of(seed, 7720)), "in 5 s no other host was asked");
}
