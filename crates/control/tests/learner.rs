//! Tests of a learner of the control group that is cut off from it.

use mangogw_control::{ControlHost, Effect, HostInfo, Message, Settings, found, host_at, joining_state};
use mangogw_model::{HostId, Time, Version, Zone};
use mangogw_store::{DurableState, Term};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

const LEADER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const LEARNER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 2);
const ENTRY: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 3);
const TICK: Duration = Duration::from_millis(10);
const QUERY_PERIOD: Duration = Duration::from_millis(150);

/// A leader in zone a, and a learner in zone b: a group of two has one voter.
struct Group {
    hosts: Vec<(HostId, Ipv4Addr, ControlHost)>,
    now: Time,
    /// No message passes between the two zones.
    cut: bool,
    /// Token of the isolated zone that the entry host has used.
    isolated_token: u64,
    /// Term in which the leader of the group has last named itself to the entry host.
    leader_term: Option<Term>,
}

impl Group {
    fn open() -> Self {
        let start = |ip, zone, stored: DurableState| {
            let settings = Settings {
                host: stored.host,
                seed: u64::from(ip),
                port: 7720,
                seeds: vec![(LEADER, 80).into()],
                zone: Zone::from(zone),
                zones: Vec::new(),
                cpu_millicores: 250,
                direct_targets: 96,
                voters: 3,
                jobs: mangogw_jobs::Settings::default(),
                reply_timeout: Duration::from_millis(900),
                resend_delay: Duration::from_millis(1300),
            };
            (stored.host, Ipv4Addr::from(ip), ControlHost::open(settings, Some(stored), Time::ZERO))
        };
        let leader = start(LEADER.to_bits(), "a", found(LEADER, &[LEADER]));
        let learner = start(LEARNER.to_bits(), "b", joining_state(LEARNER, 7));
        Self { hosts: vec![leader, learner], now: Time::ZERO, cut: false, isolated_token: 0, leader_term: None }
    }

    /// Runs for `span` with an entry host in the zone of the learner that has had no leader while the zone is cut off.
    fn run(&mut self, span: Duration) {
        let start = self.now;
        while self.now < start + span {
            self.now += TICK;
            for at in 0..self.hosts.len() {
                self.hosts[at].2.on_tick(self.now);
                self.carry_out(at);
            }
            if (self.now - start).as_millis().is_multiple_of(QUERY_PERIOD.as_millis()) {
                let query = Message::FindLeader(HostInfo {
                    incarnation: 7,
                    zone: Zone::from("b"),
                    cpu_millicores: 250,
                    leaderless_for: if self.cut { self.now - start } else { Duration::ZERO },
                    version: Version(0),
                    isolated_token: self.isolated_token,
                });
                let reached = if self.cut { 1..2 } else { 0..2 };
                for at in reached {
                    self.hosts[at].2.on_message(self.now, host_at(ENTRY, 0), query.clone());
                    self.carry_out(at);
                }
            }
        }
    }

    /// Handles messages of a host to the entry host.
    fn receive(&mut self, from: usize, messages: Vec<Message>) {
        for message in messages {
            match message {
                Message::LeaderInfo { isolated_token: token @ 1.., .. } => self.isolated_token = token,
                Message::LeaderInfo { leader: Some(_), term, .. } if from == 0 => self.leader_term = Some(term),
                _ => {}
            }
        }
    }

    fn carry_out(&mut self, at: usize) {
        for effect in self.hosts[at].2.drain(self.now) {
            match effect {
                Effect::Write(write) => {
                    self.hosts[at].2.on_synced(self.now, write.id);
                    self.carry_out(at);
                }
                Effect::Send { to, messages } if to.ip() == ENTRY => self.receive(at, messages),
                Effect::Send { to, messages } if !self.cut => {
                    let from = self.hosts[at].0;
                    let receiver = self.hosts.iter().position(|(_, ip, _)| IpAddr::V4(*ip) == to.ip());
                    let Some(receiver) = receiver.filter(|receiver| *receiver != at) else { continue };
                    for message in messages {
                        self.hosts[receiver].2.on_message(self.now, from, message);
                    }
                    self.carry_out(receiver);
                }
                Effect::Halt { why } => panic!("halted: {why}"),
                Effect::Send { .. } | Effect::Order { .. } | Effect::Reply { .. } => {}
            }
        }
    }
}

/// Guards against a zone that is not served any more after a cut: the only voter of the group can't hand over its leadership
/// to a leader of a later term than the isolated zone's.
#[test]
fn a_zone_whose_control_host_is_a_learner_is_served_again_after_a_cut() {
    let mut group = Group::open();
    group.run(Duration::from_secs(5));
    group.cut = true;
    group.run(Duration::from_secs(10));
    assert!(group.isolated_token > 0);
    (group.cut, group.leader_term) = (false, None);
    group.run(Duration::from_secs(10));
    assert!(group.leader_term.is_some());
}

/// Guards against a zone that is cut off and not served: its only control host is a learner, which never gives up the
/// leader that it heard of before.
#[test]
fn a_zone_whose_control_host_is_a_learner_is_served_while_it_is_cut_off() {
    let mut group = Group::open();
    group.run(Duration::from_secs(5));
    assert!(group.hosts[0].2.is_leader());
    let learner = group.hosts[1].2.metrics(group.now);
    assert!(learner.ready && learner.voters == 1, "{learner:?}");
    group.cut = true;
    group.run(Duration::from_secs(10));
    assert!(group.hosts[1].2.metrics(group.now).isolated);
}
