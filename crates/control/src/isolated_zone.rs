//! Decides when a zone that is cut off from the control group is served on its own, as an *isolated zone*.
//!
//! One control host of the zone then opens a board for the zone's targets. The board takes only jobs that are not
//! stored, has a fencing token between those of the last and the next leader, and changes no state of the group.
//!
//! An isolated zone starts nothing that may run elsewhere: its hosts have heard no leader for
//! [`crate::Settings::isolation_timeout`], and a leader stops the runs of a lost host. A leader that learns of an
//! isolated zone reclaims the zone's targets under a higher token before it serves the hosts that used the zone.

use crate::{HostInfo, Settings};
use indexmap::IndexMap;
use mangogw_model::{HostId, Time, Version, Zone};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Minimum election timeout: a leader counts as known for at least this time after its last message.
const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after its last leader query after which a host of the zone no longer counts.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Bits of a token below the term; they tell the isolated zones of one term apart by their leader's address.
const TOKEN_SUFFIX_BITS: u32 = 8;

/// Returns the fencing token of the leader of a term.
pub(crate) const fn token_of(term: u64) -> u64 {
    term << TOKEN_SUFFIX_BITS
}

/// Returns the term of the token of a leader or an isolated zone.
pub(crate) const fn term_of(token: u64) -> u64 {
    token >> TOKEN_SUFFIX_BITS
}

/// Returns the token of an isolated zone, from its leader's address and the last term known there.
pub(crate) const fn isolated_token_of(term: u64, ip: Ipv4Addr) -> u64 {
    token_of(term) + 1 + ip.to_bits() as u64 % ((1 << TOKEN_SUFFIX_BITS) - 1)
}

/// A host of the same zone that has no leader.
#[derive(Debug)]
struct LeaderlessHost {
    last_query: Time,
    /// Time since which the host has no leader, on the clock of this host.
    leaderless_since: Time,
    version: Version,
    is_member: bool,
}

/// Tracks, on a control host without a leader, the hosts of its zone that have none either.
#[derive(Debug)]
pub(crate) struct IsolationMonitor {
    host: HostId,
    zone: Zone,
    /// Time without a leader after which a host uses an isolated zone.
    isolation_timeout: Duration,
    /// Time at which a leader was last known; `None` if there was none since the process started.
    leader_seen: Option<Time>,
    /// Time at which this host last stopped leading an isolated zone.
    last_closed: Option<Time>,
    hosts: IndexMap<HostId, LeaderlessHost>,
}

impl IsolationMonitor {
    pub(crate) fn new(settings: &Settings) -> Self {
        let (host, zone, isolation_timeout) = (settings.host, settings.zone.clone(), settings.isolation_timeout());
        Self { host, zone, isolation_timeout, leader_seen: None, last_closed: None, hosts: IndexMap::new() }
    }

    /// Records that a leader of the group is known.
    pub(crate) const fn on_leader(&mut self, now: Time) {
        self.leader_seen = Some(now);
    }

    /// Records that this host has stopped leading an isolated zone. It opens none again before it has known a leader.
    pub(crate) const fn on_closed(&mut self, now: Time) {
        self.last_closed = Some(now);
    }

    /// Records a leader query of another host. `is_member` is true if that host is a member of the control group.
    pub(crate) fn on_host_info(&mut self, now: Time, host: HostId, info: &HostInfo, is_member: bool) {
        if info.zone != self.zone || host == self.host {
            return;
        }
        let leaderless_since =
            Time::from_micros((now.as_micros()).saturating_sub(info.leaderless_for.as_micros() as u64));
        self.hosts.insert(host, LeaderlessHost { last_query: now, leaderless_since, version: info.version, is_member });
    }

    /// Returns true if this host, with queue set `version`, should start to lead its zone as an isolated zone.
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

    /// Returns true if a host has had no leader for so long that none of its jobs can still run elsewhere.
    pub(crate) fn may_serve(&self, now: Time, host: HostId) -> bool {
        self.hosts.get(&host).is_some_and(|peer| now - peer.leaderless_since >= self.isolation_timeout)
    }
}
