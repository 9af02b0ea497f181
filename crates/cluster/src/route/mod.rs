//! Routing: chooses the host for a task, which is this one, a peer of its zone, or a host of another zone.
//!
//! Each host knows its own targets exactly, and its peers by load reports: sent when a peer becomes full or has room
//! again, every [`GOSSIP_INTERVAL`] while loads change, and with the answers to relayed tasks. Tasks relayed since the
//! last report are added to it. A task is relayed only to hosts that are expected to finish it earlier, network delay
//! included; among hosts with room the choice is random in proportion to the room, so that many hosts with the same
//! reports don't all choose the same peer. A relayed task is not relayed again. Other zones are asked only if the wait
//! in this zone is long enough, so they cost nothing while they are not needed. `docs/design/grants.md` compares the
//! alternatives.

mod load;
mod message;

pub use load::Load;
pub use message::{LoadRow, Message};

use crate::{MemberInfo, Output};
use indexmap::IndexMap;
use mangogw_model::{EntryName, HostId, Time, Zone};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;

/// Interval at which changed loads are sent.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval at which a load is sent that went from room to none, or back.
pub const URGENT_GOSSIP_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which loads are sent even if nothing changed.
pub const IDLE_GOSSIP_INTERVAL: Duration = Duration::from_secs(2);
/// Number of peers that one round of loads is sent to.
pub const FANOUT: usize = 4;
/// Maximum rows sent per second, each counted once for each receiver; rows sent with answers are not counted.
pub const ROWS_PER_SECOND: f64 = 150.0;
/// Maximum rows that may be sent at once after an idle time.
pub const MAX_BURST_ROWS: f64 = 64.0;
/// Maximum rows in one message.
pub const MAX_ROWS: usize = 32;
/// Maximum hosts in the answer to a query of another host.
pub const MAX_OFFERS: usize = 4;
/// Age after which a load is ignored.
pub const MAX_LOAD_AGE: Duration = Duration::from_secs(5);
/// Minimum interval between queries of other zones for the load of one entry.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum wait for answers of other zones before a task is refused because no host serves its entry.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(30);
/// Pause after which a query starts a new series.
pub const QUERY_SERIES_GAP: Duration = Duration::from_secs(1);
/// Maximum number of other zones that are asked at once.
pub const MAX_QUERY_ZONES: usize = 3;
/// Part of its run time that a task must save to leave the queue for another host.
pub const MIN_QUEUE_GAIN: f64 = 0.05;
/// Maximum number of relayed tasks counted in addition to one load.
const MAX_SENT: usize = 4096;

/// Settings of the routing of one host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of this host.
    pub id: HostId,
    /// Availability zone of this host.
    pub zone: Zone,
    /// One-way network delay between hosts of a zone.
    pub zone_delay: Duration,
    /// One-way network delay between zones.
    pub remote_delay: Duration,
    /// Part of the run time that a relay to a faster target must save while this host has a free slot; with 1 or more
    /// it is never relayed then.
    pub min_gain: f64,
    /// Seed of the random choices; different on each host.
    pub seed: u64,
}

/// Where a task is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// On the targets of this host, or in its queue.
    Local,
    /// Relayed to this host, which must not relay it again.
    Relay(HostId),
    /// No host is known to serve the entry, and others have been asked: place the task again on [`Event::RoomFound`].
    Wait,
    /// No host serves the entry.
    NoHost,
}

/// Events for the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Another host has room for this entry: tasks queued here may be placed again.
    RoomFound(EntryName),
}

/// Last known load of another host for one entry.
#[derive(Debug)]
struct PeerLoad {
    load: Load,
    at: Time,
    sent: VecDeque<Time>,
}

/// Load of this host for one entry.
#[derive(Debug, Default)]
struct OwnLoad {
    load: Load,
    sent_load: Load,
    last_sent: Time,
    last_query: Option<Time>,
    /// Time of the first query in the current series of queries to other zones.
    query_start: Option<Time>,
}

/// Chooses hosts for tasks.
///
/// ```
/// use mangogw_cluster::MemberInfo;
/// use mangogw_cluster::route::{Load, Message, Placement, Router, LoadRow, Settings};
/// use mangogw_model::{HostId, Incarnation, Time};
/// use std::time::Duration;
///
/// let zone_delay = Duration::from_micros(250);
/// let settings = Settings { id: HostId(1), zone: "a".into(), zone_delay, remote_delay: zone_delay * 4, min_gain: 0.25, seed: 1 };
/// let mut router = Router::open(settings, Time::ZERO);
/// let member = |id| MemberInfo { id: HostId(id), incarnation: Incarnation(1), zone: "a".into(), usable: true };
/// router.set_hosts(Time::ZERO, &[member(1), member(2)]);
/// let full = Load { slots: 8, free: 0, queued: 9, run_us: 100_000, next_us: 100_000 };
/// router.set_load(Time::ZERO, &"gate-scan".into(), full);
/// let row = LoadRow { entry: "gate-scan".into(), load: Load { free: 3, queued: 0, ..full } };
/// router.on_message(Time::ZERO, HostId(2), Message::Loads(vec![row]));
/// assert_eq!(router.place(Time::ZERO, &"gate-scan".into()), Placement::Relay(HostId(2)));
/// ```
#[derive(Debug)]
pub struct Router {
    id: HostId,
    zone: Zone,
    zone_delay: Duration,
    remote_delay: Duration,
    min_gain: f64,
    rng: Pcg64Mcg,
    hosts: IndexMap<HostId, Zone>,
    own: IndexMap<EntryName, OwnLoad>,
    peer_loads: IndexMap<EntryName, IndexMap<HostId, PeerLoad>>,
    next_gossip: Time,
    next_idle: Time,
    tokens: f64,
    filled: Time,
    out: Vec<Output<Message, Event>>,
}

impl Router {
    /// Creates the router of a host that knows no peers.
    pub fn open(settings: Settings, now: Time) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let next_gossip = now + GOSSIP_INTERVAL.mul_f64(rng.random::<f64>());
        Self {
            id: settings.id,
            zone: settings.zone,
            zone_delay: settings.zone_delay,
            remote_delay: settings.remote_delay,
            min_gain: settings.min_gain,
            rng,
            hosts: IndexMap::new(),
            own: IndexMap::new(),
            peer_loads: IndexMap::new(),
            next_gossip,
            next_idle: next_gossip,
            tokens: MAX_BURST_ROWS,
            filled: now,
            out: Vec::new(),
        }
    }

    /// Updates the members; hosts that are not usable get no tasks or messages.
    pub fn set_hosts(&mut self, _now: Time, members: &[MemberInfo]) {
        let usable = members.iter().filter(|member| member.usable);
        let hosts = usable.map(|member| (member.id, member.zone.clone())).collect();
        if std::mem::replace(&mut self.hosts, hosts) != self.hosts {
            // Hosts that became reachable have not been asked yet.
            self.own.values_mut().for_each(|own| own.query_start = None);
        }
        for peer_loads in self.peer_loads.values_mut() {
            peer_loads.retain(|host, _| self.hosts.contains_key(host));
        }
    }

    /// Sets this host's load for an entry; call it on each change.
    pub fn set_load(&mut self, now: Time, entry: &EntryName, load: Load) {
        let own = match self.own.get_mut(entry) {
            Some(own) => own,
            None => self.own.entry(entry.clone()).or_default(),
        };
        own.load = load;
        let room_changed = (load.free > 0) != (own.sent_load.free > 0);
        let interval_over = now - own.last_sent >= URGENT_GOSSIP_INTERVAL;
        if room_changed && interval_over && self.refill(now) >= FANOUT as f64 {
            self.send_loads(now, vec![LoadRow { entry: entry.clone(), load }]);
        }
    }

    /// Returns the load message to send with the answer to a relayed task of `entry`; `None` if this host has no load
    /// for it.
    pub fn piggyback(&self, entry: &EntryName) -> Option<Message> {
        let own = self.own.get(entry)?;
        Some(Message::Loads(vec![LoadRow { entry: entry.clone(), load: own.load }]))
    }

    /// Chooses the host for a task that a caller sent to this host, or that is still queued on it. Don't call it for a
    /// relayed task.
    pub fn place(&mut self, now: Time, entry: &EntryName) -> Placement {
        let own = self.own.get(entry).map(|own| own.load).unwrap_or_default();
        let free = own.free > own.queued;
        let part = if free { self.min_gain } else { MIN_QUEUE_GAIN };
        if free && part >= 1.0 {
            return Placement::Local;
        }
        let margin = if own.slots == 0 { Duration::ZERO } else { own.next_run().mul_f64(part) };
        let limit = own.expected_finish(0).saturating_sub(margin);
        let near = self.candidates(now, entry, limit, true);
        let found = match self.pick_weighted(&near) {
            Some(host) => Some(host),
            // The next free target is no slower than the mean, so another zone can't save much.
            None if free && own.next_us <= own.run_us => None,
            None => self.place_remote(now, entry, limit),
        };
        match found {
            Some(host) => {
                self.count_relay(now, entry, host);
                Placement::Relay(host)
            }
            None if own.slots > 0 => Placement::Local,
            None if self.awaits_offers(now, entry) => Placement::Wait,
            None => Placement::NoHost,
        }
    }

    /// Chooses a host of another zone that finishes the task within `limit`, and sends queries to other zones.
    fn place_remote(&mut self, now: Time, entry: &EntryName, limit: Duration) -> Option<HostId> {
        self.query_zones(now, entry);
        let far = self.candidates(now, entry, limit, false);
        self.pick_weighted(&far)
    }

    /// Returns the hosts of this zone, or of others, that finish a task within `limit`, with the number of tasks they
    /// have room for.
    fn candidates(&self, now: Time, entry: &EntryName, limit: Duration, near: bool) -> Vec<(HostId, u64)> {
        let Some(peer_loads) = self.peer_loads.get(entry) else { return Vec::new() };
        let delay = if near { self.zone_delay } else { self.remote_delay } * 2;
        let Some(rest) = limit.checked_sub(delay) else { return Vec::new() };
        let is_candidate = |host: &HostId| self.hosts.get(host).is_some_and(|zone| (*zone == self.zone) == near);
        let recent =
            peer_loads.iter().filter(|(host, peer_load)| is_candidate(host) && now - peer_load.at < MAX_LOAD_AGE);
        let room = recent.filter_map(|(&host, peer_load)| {
            let wait = rest.min(MAX_WAIT).checked_sub(peer_load.load.next_run())?;
            Some((host, peer_load.load.spare_tasks(peer_load.sent.len() as u32, wait)))
        });
        room.filter(|&(_, room)| room > 0).collect()
    }

    /// Picks a random host in proportion to its room.
    fn pick_weighted(&mut self, hosts: &[(HostId, u64)]) -> Option<HostId> {
        let total: u64 = hosts.iter().map(|&(_, room)| room).sum();
        let mut at = if total == 0 { return None } else { self.rng.random_range(0..total) };
        for &(host, room) in hosts {
            match at.checked_sub(room) {
                None => return Some(host),
                Some(rest) => at = rest,
            }
        }
        None
    }

    /// Counts a task relayed to `host` in addition to its last load.
    fn count_relay(&mut self, now: Time, entry: &EntryName, host: HostId) {
        let peer_load = self.peer_loads.get_mut(entry).and_then(|peer_loads| peer_loads.get_mut(&host));
        match peer_load {
            Some(peer_load) if peer_load.sent.len() < MAX_SENT => peer_load.sent.push_back(now),
            Some(_) | None => {}
        }
    }

    /// Queries a host of some other zones for room. A host that knows no target in its zone queries its peers too,
    /// because it may have started after they last sent their loads.
    fn query_zones(&mut self, now: Time, entry: &EntryName) {
        let own = self.own.entry(entry.clone()).or_default();
        if own.last_query.is_some_and(|at| now - at < QUERY_INTERVAL) {
            return;
        }
        if own.query_start.is_none() || own.last_query.is_none_or(|at| now - at >= QUERY_SERIES_GAP) {
            own.query_start = Some(now);
        }
        own.last_query = Some(now);
        let mut zones: Vec<Zone> = self.hosts.values().filter(|&zone| *zone != self.zone).cloned().collect();
        zones.sort_unstable();
        zones.dedup();
        zones.shuffle(&mut self.rng);
        for to in self.peers_to_query(now, entry) {
            self.out.push(Output::Send { to, message: Message::QueryLoads(entry.clone()) });
        }
        for zone in zones.iter().take(MAX_QUERY_ZONES) {
            let hosts: Vec<HostId> =
                self.hosts.iter().filter(|&(_, other)| other == zone).map(|(&host, _)| host).collect();
            if let Some(&to) = hosts.choose(&mut self.rng) {
                self.out.push(Output::Send { to, message: Message::QueryLoads(entry.clone()) });
            }
        }
    }

    /// Returns some peers to query if no target of this zone is known for an entry.
    fn peers_to_query(&self, now: Time, entry: &EntryName) -> Vec<HostId> {
        let near = |host: &HostId| self.hosts.get(host).is_some_and(|zone| *zone == self.zone);
        let peer_loads = self.peer_loads.get(entry).into_iter().flatten();
        let known = peer_loads.filter(|(host, peer_load)| near(host) && now - peer_load.at < MAX_LOAD_AGE).count() > 0;
        let own = self.own.get(entry).map_or(0, |own| own.load.slots);
        if known || own > 0 {
            return Vec::new();
        }
        self.hosts.keys().copied().filter(|host| *host != self.id && near(host)).take(FANOUT).collect()
    }

    /// Returns true while answers of other zones are still expected. Links are at times slower than their usual delay,
    /// and a slow link must not lead to [`Placement::NoHost`].
    fn awaits_offers(&self, now: Time, entry: &EntryName) -> bool {
        let since = self.own.get(entry).and_then(|own| own.query_start);
        let others = self.hosts.len() > 1;
        others && since.is_none_or(|at| now - at < QUERY_TIMEOUT.max(self.remote_delay * 4))
    }

    /// Returns the outputs since the last call.
    pub fn drain(&mut self) -> Vec<Output<Message, Event>> {
        std::mem::take(&mut self.out)
    }

    /// Sends the loads that are due. Call it periodically.
    pub fn on_tick(&mut self, now: Time) {
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now + GOSSIP_INTERVAL;
        let all = now >= self.next_idle;
        self.next_idle = if all { now + IDLE_GOSSIP_INTERVAL } else { self.next_idle };
        let mut rows: Vec<(Time, LoadRow)> =
            self.own.iter().filter(|(_, own)| all || own.load != own.sent_load).map(row).collect();
        rows.sort_by_key(|&(sent, _)| sent);
        rows.truncate(MAX_ROWS);
        self.send_loads(now, rows.into_iter().map(|(_, row)| row).collect());
    }

    /// Refills the token bucket, and returns the number of rows that may be sent now.
    fn refill(&mut self, now: Time) -> f64 {
        let filled = (now - self.filled).as_secs_f64() * ROWS_PER_SECOND;
        self.tokens = (self.tokens + filled).min(MAX_BURST_ROWS);
        self.filled = now;
        self.tokens
    }

    /// Sends loads to some peers of the zone, as many as [`ROWS_PER_SECOND`] allows.
    fn send_loads(&mut self, now: Time, mut rows: Vec<LoadRow>) {
        let peers = self.hosts.iter().filter(|&(&host, zone)| host != self.id && *zone == self.zone);
        let mut peers: Vec<HostId> = peers.map(|(&host, _)| host).collect();
        peers.shuffle(&mut self.rng);
        peers.truncate(FANOUT);
        rows.truncate((self.refill(now) / peers.len().max(1) as f64) as usize);
        self.tokens -= (rows.len() * peers.len()) as f64;
        for row in &rows {
            if let Some(own) = self.own.get_mut(&row.entry) {
                own.sent_load = row.load;
                own.last_sent = now;
            }
        }
        for &to in peers.iter().filter(|_| !rows.is_empty()) {
            self.out.push(Output::Send { to, message: Message::Loads(rows.clone()) });
        }
    }

    /// Handles a message of another host.
    pub fn on_message(&mut self, now: Time, from: HostId, message: Message) {
        match message {
            Message::Loads(rows) => {
                for row in rows.into_iter().take(MAX_ROWS) {
                    self.record_load(now, from, row.entry, row.load);
                }
            }
            Message::QueryLoads(entry) => self.on_query(now, from, entry),
            Message::Offers { entry, hosts } => {
                for (host, load) in hosts.into_iter().take(MAX_OFFERS) {
                    self.record_load(now, host, entry.clone(), load);
                }
            }
        }
    }

    /// Stores the load of another host, and emits [`Event::RoomFound`] if it has room for tasks queued on this one.
    fn record_load(&mut self, now: Time, host: HostId, entry: EntryName, load: Load) {
        let Some(zone) = self.hosts.get(&host) else { return };
        let delay = if *zone == self.zone { self.zone_delay } else { self.remote_delay } * 2;
        let has_room = load.free > load.queued && self.own.get(&entry).is_some_and(|own| own.load.queued > 0);
        let peer_loads = self.peer_loads.entry(entry.clone()).or_default();
        let peer_load = peer_loads.entry(host).or_insert(PeerLoad { load, at: now, sent: VecDeque::new() });
        peer_load.load = load;
        peer_load.at = now;
        while peer_load.sent.front().is_some_and(|&sent| sent + delay <= now) {
            peer_load.sent.pop_front();
        }
        if has_room {
            self.out.push(Output::Event(Event::RoomFound(entry)));
        }
    }

    /// Answers a query with the hosts of this zone that have the shortest expected wait.
    fn on_query(&mut self, now: Time, to: HostId, entry: EntryName) {
        let mut hosts: Vec<(HostId, Load)> = Vec::new();
        if let Some(own) = self.own.get(&entry) {
            hosts.push((self.id, own.load));
        }
        let near = |host: &HostId| self.hosts.get(host).is_some_and(|zone| *zone == self.zone);
        for (&host, peer_load) in self.peer_loads.get(&entry).into_iter().flatten() {
            if near(&host) && now - peer_load.at < MAX_LOAD_AGE {
                hosts.push((
                    host,
                    Load { queued: peer_load.load.queued + peer_load.sent.len() as u32, ..peer_load.load },
                ));
            }
        }
        hosts.retain(|(_, load)| load.slots > 0);
        hosts.sort_by_key(|(_, load)| load.expected_wait(0));
        hosts.truncate(MAX_OFFERS);
        self.out.push(Output::Send { to, message: Message::Offers { entry, hosts } });
    }
}

/// Longest wait that is compared.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Returns the time at which the load of an entry was last sent, and its row.
fn row((entry, own): (&EntryName, &OwnLoad)) -> (Time, LoadRow) {
    (own.last_sent, LoadRow { entry: entry.clone(), load: own.load })
}
