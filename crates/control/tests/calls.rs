//! Tests of the calls of one entry host without a control group.

use mangogw_control::{Call, Caller, ControlHost, Effect, Message, Reply, Settings, address_of, host_at};
use mangogw_jobs::{JobId, JobSpec, Step};
use mangogw_model::{Time, Version, Zone};
use mangogw_store::Term;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

fn entry_host(now: Time) -> ControlHost {
    let settings = Settings {
        host: host_at(Ipv4Addr::new(10, 1, 0, 4), 0),
        seed: 1,
        port: 7720,
        seeds: vec!["10.1.0.1:80".parse().unwrap()],
        zone: Zone::from("a"),
        cpu_millicores: 250,
        direct_targets: 96,
        voters: 3,
        jobs: mangogw_jobs::Settings::default(),
        reply_timeout: Duration::from_millis(900),
        resend_delay: Duration::from_millis(1300),
    };
    ControlHost::open(settings, None, now)
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
