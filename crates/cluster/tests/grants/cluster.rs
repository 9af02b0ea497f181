//! A simulated cluster: hosts with grants and targets that send heartbeats over a fake network.
//! Their clocks differ in rate and origin.

use mangogw_cluster::grants::{
    Answer, Echo, Event, Grant, Grants, HEARTBEAT_INTERVAL, Message, RequestId, Settings, Target,
};
use mangogw_cluster::{MemberInfo, Output};
use mangogw_model::{Announcement, Capacity, HostId, Incarnation, Kind, Time, Zone};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const TICK: Duration = Duration::from_millis(5);
/// Time after which a target abandons a heartbeat without an answer.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);

/// A clock with its own origin that runs at `rate` millionths of the speed of true time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: u64,
    rate: u64,
}

impl Clock {
    fn read(self, now: Time) -> Time {
        Time::from_micros(self.origin + (u128::from(now.as_micros()) * u128::from(self.rate) / 1_000_000) as u64)
    }
}

#[derive(Debug)]
pub struct Node {
    pub grants: Grants,
    pub up: bool,
    pub clock: Clock,
    pub incarnation: u64,
    pub leaving: bool,
    pub events: Vec<Event>,
    pub sent: u64,
    pub bytes: u64,
    open_heartbeats: BTreeMap<RequestId, (usize, u64)>,
}

/// A target with the grant that it holds and its open heartbeat.
#[derive(Debug)]
pub struct FakeTarget {
    pub target: Target,
    pub up: bool,
    pub incarnation: u64,
    pub clock: Clock,
    pub entry: Option<usize>,
    pub echoes: bool,
    held: Option<(Grant, Time)>,
    next: Time,
    serial: u64,
    open: Option<Time>,
}

/// The hosts, the targets and the messages in flight.
#[derive(Debug)]
pub struct TestCluster {
    pub now: Time,
    pub hosts: Vec<Node>,
    pub targets: Vec<FakeTarget>,
    pub blocked: BTreeSet<(usize, usize)>,
    pub unseen: BTreeSet<(usize, usize)>,
    /// Links that lose every message although both ends consider them usable.
    pub silent: BTreeSet<(usize, usize)>,
    pub chaos: bool,
    pub rng: Pcg64Mcg,
    in_flight: Vec<(Time, u64, usize, usize, Message)>,
    sequence: u64,
}

fn clock(rng: &mut Pcg64Mcg) -> Clock {
    Clock { origin: rng.random_range(1..1_000_000_000), rate: rng.random_range(999_000..=1_001_000) }
}

fn announcement(fake: &FakeTarget) -> Announcement {
    Announcement {
        name: fake.target.name.clone(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: fake.target.zone.clone(),
        rack: "".into(),
        kind: Kind::Executor,
        entries: vec!["gate-scan".into(), "route".into()],
        capacity: Capacity { slots: 8, ..Capacity::default() },
        incarnation: Incarnation(fake.incarnation),
        running: Vec::new(),
        connections: 60,
    }
}

impl TestCluster {
    /// Opens hosts and targets that are all in one zone.
    pub fn open(hosts: usize, targets: usize, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let now = Time::from_millis(10_000);
        let node = |index: usize, rng: &mut Pcg64Mcg| {
            let clock = clock(rng);
            Node {
                grants: Grants::open(
                    &Settings { id: HostId(index as u64), incarnation: Incarnation(1) },
                    clock.read(now),
                ),
                up: true,
                clock,
                incarnation: 1,
                leaving: false,
                events: Vec::new(),
                sent: 0,
                bytes: 0,
                open_heartbeats: BTreeMap::new(),
            }
        };
        let fake = |index: usize, rng: &mut Pcg64Mcg| FakeTarget {
            target: Target { zone: Zone::from("a"), name: format!("t{index}").as_str().into() },
            up: true,
            incarnation: 1,
            clock: clock(rng),
            entry: None,
            echoes: true,
            held: None,
            next: now + Duration::from_millis(rng.random_range(0..800)),
            serial: 0,
            open: None,
        };
        Self {
            now,
            hosts: (0..hosts).map(|index| node(index, &mut rng)).collect(),
            targets: (0..targets).map(|index| fake(index, &mut rng)).collect(),
            blocked: BTreeSet::new(),
            unseen: BTreeSet::new(),
            silent: BTreeSet::new(),
            chaos: false,
            rng,
            in_flight: Vec::new(),
            sequence: 0,
        }
    }

    /// Advances by `time`; checks at each step that no target has two owners.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += TICK;
        self.deliver();
        for index in 0..self.hosts.len() {
            if self.hosts[index].up {
                let members = self.members_of(index);
                let node = &mut self.hosts[index];
                let now = node.clock.read(self.now);
                node.grants.set_hosts(now, members);
                node.grants.on_tick(now);
                self.collect(index);
            }
        }
        for index in 0..self.targets.len() {
            self.send_heartbeat(index);
        }
        self.check();
    }

    /// Returns the members that host `index` knows, with the links that it considers usable.
    fn members_of(&self, index: usize) -> Vec<MemberInfo> {
        let member = |(other, node): (usize, &Node)| MemberInfo {
            id: HostId(other as u64),
            incarnation: Incarnation(node.incarnation),
            zone: Zone::from("a"),
            usable: other == index || !self.blocked.contains(&(index, other)),
        };
        let seen = |other: usize| other == index || !self.unseen.contains(&(index, other));
        self.hosts.iter().enumerate().filter(|&(other, node)| node.up && seen(other)).map(member).collect()
    }

    fn deliver(&mut self) {
        loop {
            let due = self.in_flight.iter().enumerate().filter(|(_, item)| item.0 <= self.now);
            let Some(at) = due.min_by_key(|(_, item)| (item.0, item.1)).map(|(at, _)| at) else { return };
            let (_, _, from, to, message) = self.in_flight.swap_remove(at);
            if self.hosts[to].up {
                let now = self.hosts[to].clock.read(self.now);
                self.hosts[to].grants.on_message(now, HostId(from as u64), message);
                self.collect(to);
            }
        }
    }

    fn collect(&mut self, index: usize) {
        for output in self.hosts[index].grants.drain() {
            match output {
                Output::Send { to, message } => self.post(index, to.0 as usize, &message),
                Output::Event(Event::Answered { request_id, answer }) => self.answer(index, request_id, answer),
                Output::Event(event) => self.hosts[index].events.push(event),
            }
        }
    }

    fn post(&mut self, from: usize, to: usize, message: &Message) {
        self.hosts[from].sent += 1;
        self.hosts[from].bytes += postcard::to_stdvec(message).map_or(0, |bytes| bytes.len()) as u64;
        if self.blocked.contains(&(from, to)) || self.silent.contains(&(from, to)) {
            return;
        }
        let copies = if self.chaos { [0, 1, 1, 1, 2][self.rng.random_range(0..5)] } else { 1 };
        for _ in 0..copies {
            let max_extra = if self.chaos && self.rng.random_range(0..20) == 0 { 3_000 } else { 40 };
            let extra = if self.chaos { self.rng.random_range(0..max_extra) } else { 0 };
            self.sequence += 1;
            let at = self.now + Duration::from_millis(1 + extra);
            self.in_flight.push((at, self.sequence, from, to, message.clone()));
        }
    }

    /// Delivers the answer to a heartbeat; the target ignores it unless it still waits for that heartbeat.
    fn answer(&mut self, index: usize, request_id: RequestId, answer: Answer) {
        let Some((target, serial)) = self.hosts[index].open_heartbeats.remove(&request_id) else { return };
        let fake = &mut self.targets[target];
        if !fake.up || fake.serial != serial || fake.open.is_none() {
            return;
        }
        let now = fake.clock.read(self.now);
        fake.open = None;
        fake.next = self.now + answer.interval;
        fake.held = answer.grant.map(|grant| (grant, now)).or(fake.held);
    }

    fn send_heartbeat(&mut self, index: usize) {
        let now = self.now;
        let fake = &mut self.targets[index];
        if fake.open.is_some_and(|at| now - at >= HEARTBEAT_TIMEOUT) {
            fake.open = None;
            fake.next = now + Duration::from_millis(100);
        }
        if !fake.up || fake.open.is_some() || fake.next > now {
            return;
        }
        let entry = fake.entry.unwrap_or_else(|| self.rng.random_range(0..self.hosts.len()));
        if !self.hosts[entry].up {
            fake.next = now + Duration::from_millis(20);
            return;
        }
        fake.serial += 1;
        fake.open = Some(now);
        let local = fake.clock.read(now);
        let echo = fake
            .held
            .filter(|_| fake.echoes)
            .map(|(grant, at)| Echo { grant, age_ms: Some((local - at).as_millis() as u32) });
        let (announcement, serial) = (announcement(fake), fake.serial);
        let node = &mut self.hosts[entry];
        let now = node.clock.read(self.now);
        let request_id = node.grants.on_heartbeat(now, announcement, echo);
        node.open_heartbeats.insert(request_id, (index, serial));
        self.collect(entry);
    }

    /// Returns the hosts that act as owner of a target.
    pub fn owners(&self, target: usize) -> Vec<usize> {
        let target = &self.targets[target].target;
        let holds = |node: &Node| node.up && node.grants.owns(node.clock.read(self.now), target);
        self.hosts.iter().enumerate().filter(|(_, node)| holds(node)).map(|(index, _)| index).collect()
    }

    /// Checks that at most one host owns the present incarnation of each target.
    fn check(&self) {
        for (index, fake) in self.targets.iter().enumerate() {
            if !fake.echoes {
                continue;
            }
            let incarnation = |owner: &usize| {
                let now = self.hosts[*owner].clock.read(self.now);
                let found = self.hosts[*owner].grants.owned_targets(now).find(|one| one.name == fake.target.name);
                found.map(|one| one.incarnation.0)
            };
            let owners = self.owners(index);
            let present = owners.iter().filter(|owner| incarnation(owner) == Some(fake.incarnation)).count();
            assert!(present <= 1, "{:?} has owners {owners:?} at {:?}", fake.target, self.now);
        }
    }

    /// Returns true if each target that is up has exactly one owner.
    pub fn all_owned(&self) -> bool {
        (0..self.targets.len()).filter(|&index| self.targets[index].up).all(|index| self.owners(index).len() == 1)
    }

    /// Lets the target announce at the host `entry` that it leaves.
    pub fn leave(&mut self, entry: usize, target: &Target) {
        let node = &mut self.hosts[entry];
        let now = node.clock.read(self.now);
        node.grants.on_target_leave(now, target.clone(), None);
        self.collect(entry);
    }

    /// Lets the host start to hand its targets over.
    pub fn leave_cluster(&mut self, index: usize) {
        self.hosts[index].leaving = true;
        self.hosts[index].grants.leave_cluster();
    }

    pub fn crash(&mut self, index: usize) {
        self.hosts[index].up = false;
        self.hosts[index].open_heartbeats.clear();
    }

    pub fn restart(&mut self, index: usize) {
        let clock = clock(&mut self.rng);
        let node = &mut self.hosts[index];
        node.incarnation += 1;
        node.up = true;
        node.leaving = false;
        node.clock = clock;
        let settings = Settings { id: HostId(index as u64), incarnation: Incarnation(node.incarnation) };
        node.grants = Grants::open(&settings, clock.read(self.now));
    }

    /// Restarts the target, which loses its grant.
    pub fn restart_target(&mut self, index: usize) {
        let fake = &mut self.targets[index];
        fake.incarnation += 1;
        fake.up = true;
        fake.held = None;
        fake.open = None;
        fake.next = self.now + HEARTBEAT_INTERVAL / 4;
    }
}
