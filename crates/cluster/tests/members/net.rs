//! A fake network for the membership, with link delays, cuts, and flows that drop every message.

use mangogw_cluster::members::{Body, Host, MemberRecord, Members, Message, Output, Settings, Status};
use mangogw_model::{HostId, Incarnation, Time, Zone};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);

/// A host and its outputs.
#[derive(Debug)]
pub struct Node {
    pub members: Members,
    pub up: bool,
    pub log: Vec<Output>,
    pub sent: u64,
    pub bytes: u64,
    incarnation: u64,
}

/// The hosts and the messages in flight.
#[derive(Debug)]
pub struct Net {
    pub now: Time,
    pub hosts: Vec<Node>,
    pub downs: Vec<(usize, HostId)>,
    /// Gossiped claims that a host is suspect or dead, with their sender.
    pub suspicions: Vec<(usize, HostId)>,
    pub chaos: bool,
    rng: Pcg64Mcg,
    zones: Vec<Zone>,
    in_flight: Vec<(Time, u64, usize, usize, Message)>,
    sequence: u64,
    blocked: BTreeSet<(usize, usize)>,
    dropped: BTreeSet<(usize, usize)>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16))
}

fn member(index: usize, incarnation: u64, zones: &[Zone], now: Time) -> Members {
    let address = address(index);
    let host = Host {
        id: HostId(index as u64),
        incarnation: Incarnation(incarnation),
        address,
        http_address: address,
        zone: zones[index].clone(),
        voter: false,
    };
    let seeds = vec![self::address(0), self::address(zones.len() - 1)];
    Members::open(Settings { host, seeds, seed: index as u64 * 1_000 + incarnation }, now)
}

impl Net {
    /// Opens `sizes[i]` hosts in the zone `z` followed by `i`.
    pub fn open(sizes: &[usize], seed: u64) -> Self {
        let zones: Vec<Zone> = sizes
            .iter()
            .enumerate()
            .flat_map(|(zone, &size)| std::iter::repeat_n(Zone::from(format!("z{zone}")), size))
            .collect();
        let now = Time::from_millis(5_000);
        let node = |index| Node {
            members: member(index, 1, &zones, now),
            up: true,
            log: Vec::new(),
            sent: 0,
            bytes: 0,
            incarnation: 1,
        };
        Self {
            now,
            hosts: (0..zones.len()).map(node).collect(),
            downs: Vec::new(),
            suspicions: Vec::new(),
            chaos: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
            zones,
            in_flight: Vec::new(),
            sequence: 0,
            blocked: BTreeSet::new(),
            dropped: BTreeSet::new(),
        }
    }

    /// Advances by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.deliver();
            for index in 0..self.hosts.len() {
                if self.hosts[index].up {
                    self.hosts[index].members.on_tick(self.now);
                    self.collect(index);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(at) = self.next_due() {
            let (_, _, from, to, message) = self.in_flight.swap_remove(at);
            if self.hosts[to].up && !self.blocked.contains(&(from, to)) {
                self.hosts[to].members.on_message(self.now, HostId(from as u64), message);
                self.collect(to);
            }
        }
    }

    fn next_due(&self) -> Option<usize> {
        let due = self.in_flight.iter().enumerate().filter(|(_, item)| item.0 <= self.now);
        due.min_by_key(|(_, item)| (item.0, item.1)).map(|(at, _)| at)
    }

    fn collect(&mut self, index: usize) {
        for output in self.hosts[index].members.drain() {
            match &output {
                Output::Send { to, message } => self.post(index, to.0 as usize, message),
                Output::Dial { address, message } => {
                    self.post(index, usize::from(address.port() - 7_000), message);
                }
                Output::Reconnect { to } => _ = self.dropped.remove(&(index, to.0 as usize)),
                Output::Down { host, status: Status::Dead } => self.downs.push((index, host.id)),
                _ => {}
            }
            if !matches!(output, Output::Send { .. }) {
                self.hosts[index].log.push(output);
            }
        }
    }

    fn post(&mut self, from: usize, to: usize, message: &Message) {
        if let Body::Ping { gossip, .. } | Body::Ack { gossip, .. } = &message.body {
            let suspected =
                gossip.records.iter().filter(|record| matches!(record.status, Status::Suspect | Status::Dead));
            self.suspicions.extend(suspected.map(|record| (from, record.host.id)));
        }
        self.hosts[from].sent += 1;
        self.hosts[from].bytes += postcard::to_stdvec(message).map_or(0, |bytes| bytes.len()) as u64;
        if self.blocked.contains(&(from, to)) || self.dropped.contains(&(from, to)) {
            return;
        }
        let delay = Duration::from_millis(if self.zones[from] == self.zones[to] { 1 } else { 2 });
        let copies = if self.chaos { [0, 1, 1, 1, 2][self.rng.random_range(0..5)] } else { 1 };
        for _ in 0..copies {
            let extra = if self.chaos { self.rng.random_range(0..60) } else { 0 };
            self.sequence += 1;
            let at = self.now + delay + Duration::from_millis(extra);
            self.in_flight.push((at, self.sequence, from, to, message.clone()));
        }
    }

    /// Delivers to `to` a message that `from` never sent; returns the number of messages that `to` sends at once.
    pub fn deliver_forged(&mut self, from: usize, to: usize, message: Message) -> usize {
        self.hosts[to].members.on_message(self.now, HostId(from as u64), message);
        let before = self.hosts[to].sent;
        self.collect(to);
        (self.hosts[to].sent - before) as usize
    }

    /// Returns the member record of `host` with the given status.
    pub fn claim(&self, host: usize, status: Status) -> MemberRecord {
        MemberRecord { host: self.hosts[host].members.me().clone(), refutations: 0, status }
    }

    pub fn crash(&mut self, index: usize) {
        self.hosts[index].up = false;
    }

    pub fn restart(&mut self, index: usize) {
        let incarnation = self.hosts[index].incarnation + 1;
        self.hosts[index] = Node {
            members: member(index, incarnation, &self.zones, self.now),
            up: true,
            log: Vec::new(),
            sent: 0,
            bytes: 0,
            incarnation,
        };
    }

    /// Takes the state of a running host out of the network, as if its process were paused.
    pub fn take_members(&mut self, index: usize) -> Members {
        self.hosts[index].up = false;
        std::mem::replace(&mut self.hosts[index].members, member(index, 0, &self.zones, self.now))
    }

    /// Replaces the present process by an earlier one.
    pub fn put_back(&mut self, index: usize, members: Members) {
        self.hosts[index].members = members;
    }

    pub fn leave(&mut self, index: usize) {
        self.hosts[index].members.leave(self.now);
        self.collect(index);
        self.hosts[index].up = false;
    }

    pub fn block(&mut self, from: usize, to: usize) {
        self.blocked.insert((from, to));
    }

    /// Drops every message from `from` to `to` until `from` reconnects.
    pub fn drop_flow(&mut self, from: usize, to: usize) {
        self.dropped.insert((from, to));
    }

    pub fn isolate(&mut self, index: usize) {
        for other in 0..self.hosts.len() {
            self.block(index, other);
            self.block(other, index);
        }
    }

    pub fn cut_zone(&mut self, zone: &Zone) {
        for from in 0..self.hosts.len() {
            for to in 0..self.hosts.len() {
                if (self.zones[from] == *zone) != (self.zones[to] == *zone) {
                    self.block(from, to);
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
    }

    /// Returns true if the members known to each running host are exactly the running hosts.
    pub fn agree(&self) -> bool {
        let truth: BTreeSet<(HostId, Incarnation)> = self
            .hosts
            .iter()
            .filter(|node| node.up)
            .map(|node| (node.members.me().id, node.members.me().incarnation))
            .collect();
        self.hosts.iter().filter(|node| node.up).all(|node| {
            let seen: BTreeSet<_> = node.members.alive().map(|host| (host.id, host.incarnation)).collect();
            seen == truth
        })
    }
}
