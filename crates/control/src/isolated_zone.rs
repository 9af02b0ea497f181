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
const AFTERGLOW: Duration = Duration::from_millis(400);
/// A host that has not greeted for so long does not count.
const SILENCE: Duration = Duration::from_millis(500);
/// Bits of a token below the term: islands of one term differ by host.
const ISOLATED_BITS: u32 = 8;

/// The token of the leader of a term.
pub(crate) const fn token_of(term: u64) -> u64 {
    term << ISOLATED_BITS
}

/// The term of the token of a leader or an island.
pub(crate) const fn term_of(token: u64) -> u64 {
    token >> ISOLATED_BITS
}

/// The token of an island that is led at an address, in the last term that is known there.
pub(crate) const fn isolated_zone_token(term: u64, ip: Ipv4Addr) -> u64 {
    token_of(term) + 1 + ip.to_bits() as u64 % ((1 << ISOLATED_BITS) - 1)
}

/// A host of the own zone that hears no leader.
#[derive(Debug)]
struct IsolatedHost {
    heard: Time,
    /// Since when it hears none, on the clock of this host.
    since: Time,
    version: Version,
    control: bool,
}

/// What a control host knows of the hosts of its zone while it hears no leader.
#[derive(Debug)]
pub(crate) struct Watch {
    host: HostId,
    zone: Zone,
    /// For how long hosts hear no leader before they use an island.
    isolation_timeout: Duration,
    /// When a leader was last known; none in this life.
    led: Option<Time>,
    /// When the last island of this host ended.
    closed: Option<Time>,
    hosts: IndexMap<HostId, IsolatedHost>,
}

impl Watch {
    pub(crate) fn new(settings: &Settings) -> Self {
        let (host, zone, isolation_timeout) = (settings.host, settings.zone.clone(), settings.isolation_timeout());
        Self { host, zone, isolation_timeout, led: None, closed: None, hosts: IndexMap::new() }
    }

    /// A leader is known.
    pub(crate) const fn on_led(&mut self, now: Time) {
        self.led = Some(now);
    }

    /// The island of this host has ended; there is no other before a leader was known again.
    pub(crate) const fn on_closed(&mut self, now: Time) {
        self.closed = Some(now);
    }

    /// Takes what another host says of itself; `control` if it is one of the control group.
    pub(crate) fn hear(&mut self, now: Time, host: HostId, info: &HostInfo, control: bool) {
        if info.zone != self.zone || host == self.host {
            return;
        }
        let since = Time::from_micros((now.as_micros()).saturating_sub(info.leaderless_for.as_micros() as u64));
        self.hosts.insert(host, IsolatedHost { heard: now, since, version: info.version, control });
    }

    /// True if this host should lead an island, with its queues of `version`.
    pub(crate) fn may_open(&self, now: Time, version: Version) -> bool {
        let long = self.led.is_some_and(|led| now - led + AFTERGLOW >= self.isolation_timeout);
        let again = self.closed.is_some_and(|closed| self.led.is_none_or(|led| led <= closed));
        let mut near = self.hosts.iter().filter(|(_, isolated)| now - isolated.heard < SILENCE);
        let first = near.clone().all(|(host, isolated)| !isolated.control || *host > self.host);
        let current = self.hosts.values().all(|isolated| isolated.version <= version);
        let asked = near.any(|(host, isolated)| !isolated.control && self.serves(now, *host));
        long && !again && first && current && asked
    }

    /// True if a host hears no leader for so long that nothing of it can be at work elsewhere.
    pub(crate) fn serves(&self, now: Time, host: HostId) -> bool {
        self.hosts.get(&host).is_some_and(|isolated| now - isolated.since >= self.isolation_timeout)
    }
}
