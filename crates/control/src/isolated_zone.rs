//! When a zone that is cut off from the control group serves on its own.
//!
//! One control host of the zone then leads an *island*: a board of the targets of that zone, for jobs that are not
//! stored, under a token between that of the last leader and that of the next. Nothing of the group is changed there.
//!
//! An island starts nothing that may run elsewhere: the hosts of its zone have heard no leader for
//! [`crate::Settings::isolation_timeout`], and a leader stops what runs for a host that is lost. A leader that hears of an island takes the targets
//! of the zone over again, under a higher token, before it serves the hosts that used it.

use crate::{HostInfo, Settings};
use indexmap::IndexMap;
use mangogw_model::{HostId, Time, Version, Zone};
use std::net::Ipv4Addr;
use std::time::Duration;

/// A leader is known for at least so long after its last word: the shortest election timeout.
const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// A host that has not greeted for so long does not count.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Bits of a token below the term: islands of one term differ by host.
const TOKEN_SUFFIX_BITS: u32 = 8;

/// The token of the leader of a term.
pub(crate) const fn token_of(term: u64) -> u64 {
    term << TOKEN_SUFFIX_BITS
}

/// The term of the token of a leader or an island.
pub(crate) const fn term_of(token: u64) -> u64 {
    token >> TOKEN_SUFFIX_BITS
}

/// The token of an island that is led at an address, in the last term that is known there.
pub(crate) const fn isolated_token_of(term: u64, ip: Ipv4Addr) -> u64 {
    token_of(term) + 1 + ip.to_bits() as u64 % ((1 << TOKEN_SUFFIX_BITS) - 1)
}

/// A host of the own zone that hears no leader.
#[derive(Debug)]
struct LeaderlessHost {
    last_query: Time,
    /// Since when it hears none, on the clock of this host.
    leaderless_since: Time,
    version: Version,
    is_member: bool,
}

/// What a control host knows of the hosts of its zone while it hears no leader.
#[derive(Debug)]
pub(crate) struct IsolationMonitor {
    host: HostId,
    zone: Zone,
    /// For how long hosts hear no leader before they use an island.
    isolation_timeout: Duration,
    /// When a leader was last known; none in this life.
    leader_seen: Option<Time>,
    /// When the last island of this host ended.
    last_closed: Option<Time>,
    hosts: IndexMap<HostId, LeaderlessHost>,
}

impl IsolationMonitor {
    pub(crate) fn new(settings: &Settings) -> Self {
        let (host, zone, isolation_timeout) = (settings.host, settings.zone.clone(), settings.isolation_timeout());
        Self { host, zone, isolation_timeout, leader_seen: None, last_closed: None, hosts: IndexMap::new() }
    }

    /// A leader is known.
    pub(crate) const fn on_leader(&mut self, now: Time) {
        self.leader_seen = Some(now);
    }

    /// The island of this host has ended; there is no other before a leader was known again.
    pub(crate) const fn on_closed(&mut self, now: Time) {
        self.last_closed = Some(now);
    }

    /// Takes what another host says of itself; `is_member` if it is one of the control group.
    pub(crate) fn on_host_info(&mut self, now: Time, host: HostId, info: &HostInfo, is_member: bool) {
        if info.zone != self.zone || host == self.host {
            return;
        }
        let leaderless_since =
            Time::from_micros((now.as_micros()).saturating_sub(info.leaderless_for.as_micros() as u64));
        self.hosts.insert(host, LeaderlessHost { last_query: now, leaderless_since, version: info.version, is_member });
    }

    /// True if this host should lead an island, with its queues of `version`.
    pub(crate) fn may_open(&self, now: Time, version: Version) -> bool {
        let timed_out =
            self.leader_seen.is_some_and(|seen| now - seen + MIN_ELECTION_TIMEOUT >= self.isolation_timeout);
        let reopening = self.last_closed.is_some_and(|closed| self.leader_seen.is_none_or(|seen| seen <= closed));
        let mut recent = self.hosts.iter().filter(|(_, peer)| now - peer.last_query < QUERY_TIMEOUT);
        let lowest = recent.clone().all(|(host, peer)| !peer.is_member || *host > self.host);
        let current = self.hosts.values().all(|peer| peer.version <= version);
        let needed = recent.any(|(host, peer)| !peer.is_member && self.may_serve(now, *host));
        timed_out && !reopening && lowest && current && needed
    }

    /// True if a host hears no leader for so long that nothing of it can be at work elsewhere.
    pub(crate) fn may_serve(&self, now: Time, host: HostId) -> bool {
        self.hosts.get(&host).is_some_and(|peer| now - peer.leaderless_since >= self.isolation_timeout)
    }
}
