//! Membership: which hosts exist, which of them are alive, and which zones are reachable.
//!
//! Inside a zone every host pings its peers in turn. A peer that does not answer is pinged on a new connection, then
//! through other hosts, then suspected; it is declared dead only if it does not refute the suspicion. Between zones a
//! few relays of each zone exchange digests and reconcile differences. Only hosts of its own zone declare a host dead:
//! an isolated zone is unreachable, not dead. `docs/design/membership.md` compares the alternatives.

mod message;
mod probe;
mod record;
mod table;

pub use message::{Body, Gossip, Message};
pub use record::{Host, MemberRecord, Status};
pub use table::MAX_GOSSIP_RECORDS;

use crate::{MemberInfo, hash};
use indexmap::IndexMap;
use mangogw_model::{HostId, Time, Zone};
use probe::{IndirectProbe, Probe};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;
use table::{MemberTable, MergeResult, PeerState};

/// Interval at which a host pings one peer of its zone.
pub const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a relay pings one relay of each other zone.
pub const RELAY_PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unanswered direct ping is repeated on a new connection.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which an unanswered ping on a new connection is repeated through other hosts.
pub const RECONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a host that did not answer through other hosts is suspected.
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that a suspected host has to refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without contact after which a zone is unreachable.
pub const ZONE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time since the last contact within which a host is not marked dead by a record of another host.
pub const RECENT_CONTACT: Duration = Duration::from_secs(1);
/// Time after which hosts that are dead or have left are removed.
pub const ENDED_RETENTION: Duration = Duration::from_hours(1);
/// Interval at which seeds are dialled until another host is known.
pub const JOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which one dead host, and one seed whose address belongs to no member, are tried.
pub const REVIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum interval between two digest comparisons with the same host.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(400);
/// Number of relays of a zone.
pub const RELAYS_PER_ZONE: usize = 2;
/// Number of hosts that are asked to ping on behalf of another.
pub const INDIRECT_PROBES: usize = 3;
/// Time for which a host that did not answer on a new connection counts as unreachable, unless it answers meanwhile.
pub const UNREACHABLE_DURATION: Duration = Duration::from_secs(3);
/// Maximum number of records in one `Records` message.
pub const MAX_RECORDS: usize = 64;

/// Settings of the membership of one host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id, addresses and incarnation of this host.
    pub host: Host,
    /// Host-to-host addresses to join through; this host's own address may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random choice of peers; any number, different on each host.
    pub seed: u64,
}

/// Actions and events for the shell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send to a known host; [`Members::host`] has its address.
    Send {
        /// Host that receives the message.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Send to an address whose host is not known.
    Dial {
        /// Address of the receiver.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Close the connection to this host; later messages use a new one.
    Reconnect {
        /// Host at the other end of the connection.
        to: HostId,
    },
    /// A host is a member: new, changed, restarted or back.
    Up(Host),
    /// A host is no longer a member.
    Down {
        /// Host that died or left.
        host: Host,
        /// `Dead` or `Left`.
        status: Status,
    },
    /// No host of this zone was in contact for [`ZONE_TIMEOUT`]; its hosts stay members.
    ZoneUnreachable(Zone),
    /// The zone is in contact again.
    ZoneReachable(Zone),
    /// A later incarnation of this host exists: this process must stop.
    Superseded,
}

/// Membership as seen by one host.
///
/// ```
/// use mangogw_cluster::members::{Host, Members, Settings};
/// use mangogw_model::{HostId, Incarnation, Time};
///
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let host = Host { id: HostId(1), incarnation: Incarnation(1), address, http_address: address, zone: "a".into(), voter: true };
/// let mut members = Members::open(Settings { host, seeds: vec![address], seed: 1 }, Time::ZERO);
/// members.on_tick(Time::ZERO);
/// assert_eq!(members.alive().count(), 1);
/// ```
#[derive(Debug)]
pub struct Members {
    now: Time,
    seeds: Vec<SocketAddr>,
    me: MemberRecord,
    table: MemberTable,
    rng: Pcg64Mcg,
    serial: u64,
    probe_order: Vec<HostId>,
    probes: IndexMap<u64, Probe>,
    indirect_probes: IndexMap<u64, IndirectProbe>,
    zones: IndexMap<Zone, ZoneContact>,
    synced: IndexMap<HostId, Time>,
    due: Schedule,
    leaving: bool,
    out: Vec<Output>,
}

/// Times at which the periodic work is next due.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    probe: Time,
    relay: Time,
    join: Time,
    revive: Time,
}

/// Last contact with a zone.
#[derive(Debug, Clone, Copy)]
struct ZoneContact {
    last_contact: Time,
    unreachable: bool,
}

impl Members {
    /// Creates the membership of a host that knows only itself and its seeds.
    pub fn open(settings: Settings, now: Time) -> Self {
        let me = MemberRecord { host: settings.host, refutations: 0, status: Status::Alive };
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let first = now + PING_INTERVAL.mul_f64(rng.random::<f64>());
        let mut table = MemberTable::default();
        _ = table.merge(now, &me);
        Self {
            now,
            seeds: settings.seeds.into_iter().filter(|&seed| seed != me.host.address).collect(),
            me,
            table,
            rng,
            serial: 0,
            probe_order: Vec::new(),
            probes: IndexMap::new(),
            indirect_probes: IndexMap::new(),
            zones: IndexMap::new(),
            synced: IndexMap::new(),
            due: Schedule { probe: first, relay: first, join: now, revive: now + REVIVE_INTERVAL },
            leaving: false,
            out: Vec::new(),
        }
    }

    /// This host.
    pub const fn me(&self) -> &Host {
        &self.me.host
    }

    /// Returns a known host, member or not.
    pub fn host(&self, id: HostId) -> Option<&Host> {
        self.table.get(id).map(|peer| &peer.record.host)
    }

    /// Returns the status of a known host.
    pub fn status(&self, id: HostId) -> Option<Status> {
        self.table.get(id).map(|peer| peer.record.status)
    }

    /// Returns the members, this host included: hosts that are alive or only suspected.
    pub fn alive(&self) -> impl Iterator<Item = &Host> {
        self.table.iter().filter(|peer| peer.record.is_member()).map(|peer| &peer.record.host)
    }

    /// Returns the members of `zone`.
    pub fn in_zone<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = &'a Host> {
        self.table.members(zone)
    }

    /// Returns true if a message sent now is expected to arrive: the host is a member and neither it nor its zone is
    /// unreachable.
    pub fn reachable(&self, id: HostId) -> bool {
        match self.table.get(id) {
            Some(_) if id == self.me.host.id => true,
            Some(peer) => {
                peer.record.is_member()
                    && peer.unreachable_until <= self.now
                    && !self.is_unreachable(&peer.record.host.zone)
            }
            None => false,
        }
    }

    /// Returns true if `zone` was not in contact for [`ZONE_TIMEOUT`].
    pub fn is_unreachable(&self, zone: &Zone) -> bool {
        self.zones.get(zone).is_some_and(|contact| contact.unreachable)
    }

    /// Returns the hosts of `zone` that exchange membership with other zones.
    pub fn relays(&self, zone: &Zone) -> Vec<HostId> {
        let key = hash::hash_str(zone.as_str());
        let mut hosts: Vec<HostId> = self.table.members(zone).map(|host| host.id).collect();
        hosts.sort_unstable_by_key(|&host| std::cmp::Reverse((hash::score(key, host), host)));
        hosts.truncate(RELAYS_PER_ZONE);
        hosts
    }

    /// Returns the zones that have members, sorted.
    pub fn zones(&self) -> Vec<Zone> {
        let mut zones: Vec<Zone> = self.alive().map(|host| host.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the members in the form that grants, routing and shares need.
    pub fn member_infos(&self) -> Vec<MemberInfo> {
        let member = |host: &Host| MemberInfo {
            id: host.id,
            incarnation: host.incarnation,
            zone: host.zone.clone(),
            usable: self.reachable(host.id),
        };
        self.alive().map(member).collect()
    }

    /// Returns the digest of all members, which is equal on hosts that agree.
    pub fn digest(&self) -> u64 {
        self.table.digest(None)
    }

    /// Notifies all members of the zone and the relays of other zones that this host leaves. Call it last when
    /// stopping.
    pub fn leave(&mut self, now: Time) {
        self.leaving = true;
        self.me.status = Status::Left;
        _ = self.table.merge(now, &self.me.clone());
        let zone = self.me.host.zone.clone();
        let mut receivers: Vec<HostId> = self.table.members(&zone).map(|host| host.id).collect();
        receivers.extend(self.zones().iter().filter(|&other| *other != zone).flat_map(|other| self.relays(other)));
        for to in receivers {
            self.send(to, Body::Records { records: vec![self.me.clone()], want_reply: false });
        }
    }

    /// Returns the outputs since the last call.
    pub fn drain(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// Sends the pings and messages that are due, and updates hosts and zones after timeouts. Call it periodically.
    pub fn on_tick(&mut self, now: Time) {
        self.now = now;
        self.probe_peers(now);
        self.check_probes(now);
        self.mark_dead(now);
        self.ping_zones(now);
        self.check_zones(now);
        self.join(now);
        self.revive(now);
    }

    /// Handles a message of another host.
    pub fn on_message(&mut self, now: Time, from: HostId, message: Message) {
        self.now = now;
        if !self.record_contact(now, from, &message) {
            return;
        }
        match message.body {
            Body::Join { record, want_all } => {
                self.merge(now, &record);
                let all: Vec<MemberRecord> =
                    self.table.iter().filter(|_| want_all).map(|peer| peer.record.clone()).collect();
                self.send_records(from, all, false);
            }
            Body::Ping { serial, gossip } => {
                self.merge_gossip(now, from, &gossip);
                let gossip = Gossip { zone_ages: Vec::new(), ..self.next_gossip(now, from) };
                self.send(from, Body::Ack { serial, gossip });
            }
            Body::Ack { serial, gossip } => {
                self.merge_gossip(now, from, &gossip);
                self.on_ack(from, message.incarnation, serial);
            }
            Body::Probe { serial, subject } => self.on_probe(now, from, serial, subject),
            Body::ProbeAck { serial, subject, incarnation } => self.on_probe_ack(now, serial, subject, incarnation),
            Body::Digests(digests) => self.on_digests(from, &digests),
            Body::Records { records, want_reply } => self.on_records(now, from, &records, want_reply),
        }
    }

    /// Records contact with `from`. Returns false if the message is from an earlier incarnation.
    fn record_contact(&mut self, now: Time, from: HostId, message: &Message) -> bool {
        let zone = match self.table.get_mut(from) {
            Some(peer) if message.incarnation < peer.record.host.incarnation => return false,
            Some(peer) if message.incarnation == peer.record.host.incarnation => {
                peer.last_contact = Some(now);
                peer.record.host.zone.clone()
            }
            Some(_) | None => return true,
        };
        if zone != self.me.host.zone {
            self.record_zone_contact(now, &zone);
        }
        true
    }

    /// Records contact with `zone` at `last_contact`.
    fn record_zone_contact(&mut self, last_contact: Time, zone: &Zone) {
        let contact = self.zones.entry(zone.clone()).or_insert(ZoneContact { last_contact, unreachable: false });
        contact.last_contact = contact.last_contact.max(last_contact);
    }

    /// Merges the gossip of a ping or ack, and sends digests if the sender knows other members.
    fn merge_gossip(&mut self, now: Time, from: HostId, gossip: &Gossip) {
        for record in &gossip.records {
            self.merge(now, record);
        }
        for (zone, age) in &gossip.zone_ages {
            let age = Duration::from_millis(u64::from(*age));
            let at = Time::ZERO + (now - Time::ZERO).saturating_sub(age);
            self.record_zone_contact(at, zone);
        }
        let recent = self.synced.get(&from).is_some_and(|&at| now - at < SYNC_INTERVAL);
        let known = self.table.get(from).is_some_and(|peer| peer.record.is_member());
        if !known || (gossip.digest != self.table.digest(None) && !recent) {
            self.synced.insert(from, now);
            let digests = self.table.digests();
            self.send(from, Body::Digests(digests));
        }
    }

    /// Returns the gossip for a ping or ack to `to`.
    fn next_gossip(&mut self, now: Time, to: HostId) -> Gossip {
        let same = self.table.get(to).is_some_and(|peer| peer.record.host.zone == self.me.host.zone);
        let age = |contact: &ZoneContact| (now - contact.last_contact).as_millis() as u32;
        let zone_ages =
            self.zones.iter().filter(|_| same).map(|(zone, contact)| (zone.clone(), age(contact))).collect();
        Gossip { digest: self.table.digest(None), records: self.table.next_gossip(), zone_ages }
    }

    /// Merges one record. A host with recent contact is suspected, not marked dead, and pinged so that it can refute.
    fn merge(&mut self, now: Time, record: &MemberRecord) {
        if record.host.id == self.me.host.id {
            self.refute(now, record);
            return;
        }
        let suspected = matches!(record.status, Status::Suspect | Status::Dead);
        let peer = self.table.get(record.host.id);
        let recently_seen = |peer: &PeerState| {
            peer.record.host.incarnation == record.host.incarnation
                && peer.record.refutations == record.refutations
                && peer.last_contact.is_some_and(|at| now - at < RECENT_CONTACT)
        };
        match peer {
            Some(peer) if suspected && recently_seen(peer) => {
                let suspect = MemberRecord { status: Status::Suspect, ..record.clone() };
                self.apply_record(now, &suspect);
                self.ping(now, record.host.id);
            }
            Some(_) | None => self.apply_record(now, record),
        }
    }

    /// Applies a record if it supersedes the known one, and notifies the shell.
    fn apply_record(&mut self, now: Time, record: &MemberRecord) {
        let host = record.host.clone();
        match self.table.merge(now, record) {
            MergeResult::Replaced(old) if old.is_member() && record.is_member() && old.host == host => {}
            MergeResult::New | MergeResult::Replaced(_) if record.is_member() => self.out.push(Output::Up(host)),
            MergeResult::Replaced(old) if old.is_member() => {
                self.out.push(Output::Down { host, status: record.status });
            }
            MergeResult::Stale | MergeResult::New | MergeResult::Replaced(_) => {}
        }
    }

    /// Refutes a record which says that this host is not alive.
    fn refute(&mut self, now: Time, record: &MemberRecord) {
        match record.host.incarnation.cmp(&self.me.host.incarnation) {
            std::cmp::Ordering::Greater => self.out.push(Output::Superseded),
            std::cmp::Ordering::Equal if record.supersedes(&self.me) && !self.leaving => {
                self.me.refutations = record.refutations + 1;
                _ = self.table.merge(now, &self.me.clone());
            }
            _ => {}
        }
    }

    /// Sends back the records of zones whose digests differ.
    fn on_digests(&mut self, from: HostId, theirs: &[(Zone, u64)]) {
        let mine = self.table.digests();
        let differs = |zone: &Zone| {
            let of = |list: &[(Zone, u64)]| list.iter().find(|(name, _)| name == zone).map_or(0, |&(_, digest)| digest);
            of(theirs) != of(&mine)
        };
        let records = self.table.iter().filter(|peer| differs(&peer.record.host.zone)).map(|peer| peer.record.clone());
        let records: Vec<MemberRecord> = records.collect();
        self.send_records(from, records, true);
    }

    /// Merges records, and answers with newer ones.
    fn on_records(&mut self, now: Time, from: HostId, records: &[MemberRecord], answer: bool) {
        let newer = if answer { self.newer_records(records) } else { Vec::new() };
        for record in records {
            self.merge(now, record);
        }
        if !newer.is_empty() {
            self.send_records(from, newer, false);
        }
    }

    /// Returns the records of the zones in `theirs` that are newer than those in `theirs` or missing from it.
    fn newer_records(&self, theirs: &[MemberRecord]) -> Vec<MemberRecord> {
        let in_zones = |peer: &PeerState| theirs.iter().any(|record| record.host.zone == peer.record.host.zone);
        let is_newer = |peer: &PeerState| match theirs.iter().find(|record| record.host.id == peer.record.host.id) {
            Some(record) => peer.record.supersedes(record),
            None => peer.record.is_member(),
        };
        self.table.iter().filter(|&peer| in_zones(peer) && is_newer(peer)).map(|peer| peer.record.clone()).collect()
    }

    /// Sends records in messages of at most [`MAX_RECORDS`].
    fn send_records(&mut self, to: HostId, mut records: Vec<MemberRecord>, want_reply: bool) {
        records.sort_by(|a, b| a.host.zone.cmp(&b.host.zone));
        for chunk in records.chunks(MAX_RECORDS) {
            self.send(to, Body::Records { records: chunk.to_vec(), want_reply });
        }
    }

    fn send(&mut self, to: HostId, body: Body) {
        if to == self.me.host.id {
            return;
        }
        let incarnation = self.me.host.incarnation;
        self.out.push(Output::Send { to, message: Message { incarnation, body } });
    }
}
