//! A simulation of hosts' submission records, with links of fixed delay and a control group that accepts every command
//! at once.

use mangogw_cluster::ownership::{Command, Ownership, Peer};
use mangogw_cluster::records::{Output, RecordMessage, Records, Reply, Settings, Tag, TaskEnd};
use mangogw_model::{HostId, Incarnation, Key, TaskIndex, Time, Zone};
use std::collections::BTreeMap;
use std::time::Duration;

/// One-way delay between hosts of one zone, in microseconds.
pub const ZONE_DELAY_US: u64 = 100;
/// One-way delay between zones, in microseconds.
pub const REMOTE_DELAY_US: u64 = 1_000;
/// Time between two ticks of a host, in microseconds.
const TICK_US: u64 = 10_000;

/// Messages, runs and replies of all hosts.
#[derive(Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    /// Time and host at which the first task of a key was handed out.
    pub runs: BTreeMap<Key, (u64, usize)>,
    pub replies: BTreeMap<Tag, (u64, Reply)>,
}

#[derive(Debug)]
enum Event {
    Message { from: usize, to: usize, message: RecordMessage },
    Tick { host: usize },
}

/// The records of the hosts, the links between them, and the ownership table.
#[derive(Debug)]
pub struct Net {
    pub now: u64,
    pub hosts: Vec<Records>,
    pub zones: Vec<usize>,
    pub traffic: Traffic,
    pub table: Ownership,
    /// Bytes of the immediate answer to every task; with none, tasks do not start.
    pub answer: Option<usize>,
    /// The zone that is cut off from the others, if any.
    pub cut: Option<usize>,
    index: u64,
    serial: u64,
    events: BTreeMap<(u64, u64), Event>,
    proposed: Vec<Command>,
}

pub fn zone(at: usize) -> Zone {
    ["regina-a", "moose-jaw", "swift-cur"][at].into()
}

impl Net {
    /// Opens one host in each of `zones` and waits until all ranges are ready.
    pub fn open(zones: &[usize], settings: impl Fn(Settings) -> Settings) -> Self {
        let open = |at: usize| {
            let defaults = Settings::new(HostId(at as u64), Incarnation(1), zone(zones[at]));
            Records::open(settings(defaults), Time::ZERO)
        };
        let mut net = Self {
            now: 0,
            hosts: (0..zones.len()).map(open).collect(),
            zones: zones.to_vec(),
            traffic: Traffic::default(),
            table: Ownership::default(),
            answer: None,
            cut: None,
            index: 0,
            serial: 0,
            events: BTreeMap::new(),
            proposed: Vec::new(),
        };
        let peers = net.peers();
        for at in 0..zones.len() {
            net.with_records(at, |records, now| records.on_peers(now, &peers));
            net.push(TICK_US * at as u64 / zones.len() as u64, Event::Tick { host: at });
        }
        for _ in 0..30 {
            let plan = net.table.plan(&peers);
            net.proposed.extend(plan);
            net.run(net.now + 20_000);
        }
        assert!(net.table.ranges().all(|(_, range)| range.ready), "all ranges are ready");
        net.traffic = Traffic::default();
        net
    }

    pub fn peers(&self) -> Vec<Peer> {
        let peer = |at: usize| Peer::new(HostId(at as u64), Incarnation(1), zone(self.zones[at]));
        (0..self.zones.len()).map(peer).collect()
    }

    pub fn clock(&self) -> Time {
        Time::from_micros(self.now)
    }

    pub fn with_records(&mut self, at: usize, act: impl FnOnce(&mut Records, Time)) {
        let now = self.clock();
        act(&mut self.hosts[at], now);
        for output in self.hosts[at].drain() {
            self.perform(at, output);
        }
    }

    pub fn run(&mut self, until: u64) {
        self.commit();
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            match event {
                Event::Message { from, to, message } => {
                    self.with_records(to, |records, now| records.on_message(now, HostId(from as u64), message));
                }
                Event::Tick { host } => {
                    self.with_records(host, Records::on_tick);
                    self.push(TICK_US, Event::Tick { host });
                }
            }
            self.commit();
        }
        self.now = until;
    }

    fn commit(&mut self) {
        while !self.proposed.is_empty() {
            for command in std::mem::take(&mut self.proposed) {
                self.index += 1;
                self.table.apply(self.index, &command);
            }
            let table = self.table.clone();
            for at in 0..self.hosts.len() {
                self.with_records(at, |records, now| records.install_table(now, &table));
            }
        }
    }

    fn push(&mut self, after: u64, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + after, self.serial), event);
    }

    fn perform(&mut self, at: usize, output: Output) {
        match output {
            Output::Send { to, message } => {
                let to = to.0 as usize;
                let bytes = postcard::to_stdvec(&message).expect("a record message can be encoded");
                self.traffic.messages += 1;
                self.traffic.bytes += bytes.len() as u64;
                let same_zone = self.zones[at] == self.zones[to];
                let cut = self.cut.is_some_and(|cut| !same_zone && (self.zones[at] == cut || self.zones[to] == cut));
                if !cut {
                    let message = postcard::from_bytes(&bytes).expect("an encoded record message can be decoded");
                    self.push(
                        if same_zone { ZONE_DELAY_US } else { REMOTE_DELAY_US },
                        Event::Message { from: at, to, message },
                    );
                }
            }
            Output::Run { key, tasks, .. } => {
                self.traffic.runs.entry(key.clone()).or_insert((self.now, at));
                for task in tasks.filter(|_| self.answer.is_some()).map(TaskIndex).collect::<Vec<_>>() {
                    self.answer_task(at, &key, task);
                }
            }
            Output::Reply { tag, reply } => {
                self.traffic.replies.insert(tag, (self.now, reply));
            }
            Output::Propose(command) => self.proposed.push(command),
            Output::Place { .. } | Output::Stop { .. } | Output::Ended { .. } => {}
        }
    }

    fn answer_task(&mut self, at: usize, key: &Key, task: TaskIndex) {
        let body = vec![7; self.answer.unwrap_or_default()].into();
        self.with_records(at, |records, now| {
            assert!(records.try_start(now, key, task), "a task whose owner is alive may start");
            records.on_task_end(now, key, task, TaskEnd::Answered { status: 200, body });
        });
    }
}

pub const fn micros(micros: u64) -> Duration {
    Duration::from_micros(micros)
}
