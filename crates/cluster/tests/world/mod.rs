//! A simulation of hosts' submission records over a fake network with a fake control log.
//! An oracle checks every start of a task and every reply to a caller.

mod faults;
mod oracle;

pub use faults::{Fault, FaultSchedule};
pub use oracle::Oracle;

use mangogw_cluster::ownership::{Command, Ownership, Peer};
use mangogw_cluster::records::{
    BodyDigest, Output, RecordMessage, Records, Settings, Submission, SubmissionSpec, Tag, Task, TaskEnd,
};
use mangogw_model::{Code, HostId, Incarnation, Key, TaskIndex, Time, Zone};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub const US_PER_MS: u64 = 1_000;
/// Index that stands for the control group; the hosts start at 1.
const CONTROL: usize = 0;
const TICK_US: u64 = 10 * US_PER_MS;
const PLAN_INTERVAL_US: u64 = 60 * US_PER_MS;
const MAX_DEADLINE_US: u64 = 1_500 * US_PER_MS;
/// Retentions above this value outlast every run.
const LONG_RETENTION_US: u64 = 60_000 * US_PER_MS;
/// Time for which callers use the same keys when the retention is short.
const KEY_REUSE_US: u64 = 1_000 * US_PER_MS;
/// A short retention, longer than [`KEY_REUSE_US`].
const SHORT_RETENTION_US: u64 = 2_500 * US_PER_MS;

#[derive(Debug)]
pub struct Host {
    pub incarnation: u64,
    pub zone: usize,
    pub records: Option<Records>,
    /// Microseconds that the host's clock gains or loses in a second.
    rate: i64,
    offset: u64,
    pub frozen: u64,
    pub leaving: bool,
    pub restart_us: u64,
    /// Tasks that this incarnation started and whose end it has not received.
    running: u64,
    installed: u64,
}

#[derive(Debug)]
enum Event {
    Message {
        from: usize,
        to: usize,
        message: RecordMessage,
    },
    Proposal {
        command: Command,
    },
    Table {
        to: usize,
        table: Ownership,
    },
    Peers {
        to: usize,
        peers: Vec<Peer>,
    },
    Tick {
        host: usize,
    },
    Plan,
    Start {
        host: usize,
        incarnation: u64,
        key: Key,
        task: u32,
        local: bool,
        deadline: u64,
        digest: u8,
    },
    Answer {
        host: usize,
        incarnation: u64,
        key: Key,
        task: u32,
        end: TaskEnd,
        retry: Option<(bool, u64, u8)>,
        first: bool,
    },
    Client,
    Fault(Fault),
}

#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub hosts: Vec<Host>,
    pub cuts: BTreeSet<(usize, usize)>,
    pub noisy: bool,
    pub rng: Pcg64,
    pub oracle: Oracle,
    pub table: Ownership,
    log_index: u64,
    events: BTreeMap<(u64, u64), Event>,
    serial: u64,
    next_tag: u64,
    clients: u64,
    pub crashes: u64,
    lease: u64,
}

pub fn zone(at: usize) -> Zone {
    format!("z{at}").into()
}

impl World {
    /// Opens `hosts` hosts in `zones` zones; those of a zone that joins late start later.
    pub fn new(seed: u64, hosts: usize, zones: usize, clients: u64, short: bool) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let host = |at: usize, rng: &mut Pcg64| Host {
            incarnation: 1,
            zone: at % zones,
            records: None,
            rate: rng.random_range(-20_000..20_000),
            offset: rng.random_range(0..10_000_000),
            frozen: 0,
            leaving: false,
            restart_us: 0,
            running: 0,
            installed: 0,
        };
        let hosts = (0..=hosts).map(|at| host(at, &mut rng)).collect();
        let mut world = Self {
            now: 0,
            hosts,
            cuts: BTreeSet::new(),
            noisy: true,
            rng,
            oracle: Oracle::new(if short { SHORT_RETENTION_US } else { 10 * LONG_RETENTION_US }),
            table: Ownership::default(),
            log_index: 0,
            events: BTreeMap::new(),
            serial: 0,
            next_tag: 0,
            clients,
            crashes: 0,
            lease: 120 * US_PER_MS,
        };
        world.lease = [120 * US_PER_MS, 600 * US_PER_MS][world.rng.random_range(0..2)];
        // The last zone may join late, after keys with its prefix were already placed in hashed ranges.
        let initial = if world.rng.random_range(0..3) == 0 { zones.max(2) - 1 } else { zones };
        world.commit(&Command::Initialize {
            hashed_ranges: 3,
            pinned_ranges: 2,
            zones: (0..initial).map(zone).collect(),
        });
        for at in world.ids() {
            if world.hosts[at].zone < initial {
                world.boot(at);
            } else {
                world.hosts[at].restart_us = world.rng.random_range(900 * US_PER_MS..1_500 * US_PER_MS);
            }
        }
        world.push_event(0, Event::Plan);
        world.push_event(300 * US_PER_MS, Event::Client);
        world
    }

    pub fn ids(&self) -> std::ops::Range<usize> {
        1..self.hosts.len()
    }

    pub fn boot(&mut self, at: usize) {
        let time = self.clock(at);
        let host = &mut self.hosts[at];
        let settings = Settings {
            lease_duration: Duration::from_micros(self.lease),
            retention: Duration::from_micros(self.oracle.retention),
            max_deadline: Duration::from_micros(MAX_DEADLINE_US),
            owner_timeout: Duration::from_millis(700),
            window_tasks: 3,
            max_bytes: 60_000,
            page_bytes: 2_000,
            ..Settings::new(HostId(at as u64), Incarnation(host.incarnation), zone(host.zone))
        };
        host.records = Some(Records::open(settings, time));
        host.running = 0;
        host.installed = 0;
        host.leaving = false;
        self.push_event(0, Event::Tick { host: at });
    }

    /// Ends the process, which loses its memory; the restart comes `downtime_us` microseconds later at the earliest.
    pub fn crash(&mut self, at: usize, downtime_us: u64) {
        if self.hosts[at].records.take().is_some() {
            self.hosts[at].incarnation += 1;
            self.hosts[at].restart_us = self.now + downtime_us;
            self.hosts[at].frozen = 0;
            self.crashes += 1;
            self.oracle.on_host_lost(at);
        }
    }

    pub fn schedule(&mut self, after: u64, fault: Fault) {
        self.push_event(after, Event::Fault(fault));
    }

    pub fn run(&mut self, until: u64) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            self.step(event);
        }
        self.now = until;
    }

    pub fn tag(&mut self) -> Tag {
        self.next_tag += 1;
        Tag(self.next_tag)
    }

    /// Returns the time on the clock of host `at`, which drifts.
    pub fn clock(&self, at: usize) -> Time {
        let host = &self.hosts[at];
        let drift = self.now as i64 / 1_000_000 * host.rate + self.now as i64 % 1_000_000 * host.rate / 1_000_000;
        Time::from_micros(1_000_000_000 + host.offset + (self.now as i64 + drift) as u64)
    }

    /// Calls `act` on the records of a running host, then performs its outputs.
    pub fn with_records(&mut self, at: usize, act: impl FnOnce(&mut Records, Time)) {
        let time = self.clock(at);
        if let Some(records) = &mut self.hosts[at].records {
            act(records, time);
            let outputs = records.drain();
            for output in outputs {
                self.perform(at, time, output);
            }
        }
    }

    fn push_event(&mut self, after: u64, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + after, self.serial), event);
    }

    /// Sends an event over the fake network: delayed and reordered, and while `noisy` also lost or duplicated.
    fn post(&mut self, from: usize, to: usize, event: impl Fn() -> Event) {
        let copies = match self.rng.random_range(0..100) {
            _ if self.cuts.contains(&(from, to)) => 0,
            0..4 if self.noisy => 0,
            4..12 if self.noisy => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let slow = self.noisy && self.rng.random_range(0..20) == 0;
            let delay = if slow {
                self.rng.random_range(0..400 * US_PER_MS)
            } else {
                self.rng.random_range(US_PER_MS / 2..4 * US_PER_MS)
            };
            self.push_event(delay, event());
        }
    }

    fn commit(&mut self, command: &Command) {
        self.log_index += 1;
        let command = Command::decode(&command.encode()).unwrap();
        self.table.apply(self.log_index, &command);
        for to in self.ids() {
            let table = self.table.clone();
            self.post(CONTROL, to, || Event::Table { to, table: table.clone() });
        }
    }

    fn step(&mut self, event: Event) {
        let target = match &event {
            Event::Message { to, .. } | Event::Table { to, .. } | Event::Peers { to, .. } => Some(*to),
            Event::Tick { host } | Event::Start { host, .. } | Event::Answer { host, .. } => Some(*host),
            _ => None,
        };
        if let Some(at) = target.filter(|at| self.hosts[*at].frozen > self.now) {
            let wait = self.hosts[at].frozen - self.now;
            return self.push_event(wait, event);
        }
        match event {
            Event::Message { from, to, message } => {
                self.with_records(to, |records, now| records.on_message(now, HostId(from as u64), message));
            }
            Event::Proposal { command } => self.commit(&command),
            Event::Table { to, table } => {
                self.hosts[to].installed = self.hosts[to].installed.max(table.applied_index());
                self.with_records(to, |records, now| records.install_table(now, &table));
            }
            Event::Peers { to, peers } => self.with_records(to, |records, now| records.on_peers(now, &peers)),
            Event::Tick { host } => self.tick(host),
            Event::Plan => self.plan(),
            Event::Client => self.client(),
            Event::Fault(fault) => self.inject(fault),
            Event::Start { host, incarnation, key, task, local, deadline, digest }
                if self.hosts[host].incarnation == incarnation =>
            {
                self.start(host, key, task, local, deadline, digest);
            }
            Event::Answer { host, incarnation, key, task, end, retry, first }
                if self.hosts[host].incarnation == incarnation =>
            {
                self.hosts[host].running -= u64::from(first);
                self.with_records(host, |records, now| records.on_task_end(now, &key, TaskIndex(task), end));
                if let Some((true, deadline, digest)) = retry {
                    self.push_event(
                        US_PER_MS,
                        Event::Start { host, incarnation, key, task, local: true, deadline, digest },
                    );
                }
            }
            Event::Start { .. } | Event::Answer { .. } => {}
        }
    }

    fn tick(&mut self, at: usize) {
        if self.hosts[at].records.is_none() {
            return;
        }
        self.with_records(at, Records::on_tick);
        let host = &self.hosts[at];
        let done = host.leaving && host.running == 0 && self.oracle.waiting(at) == 0;
        if done && host.records.as_ref().is_some_and(Records::can_shut_down) && host.installed == self.log_index {
            self.crash(at, 200 * US_PER_MS);
            self.crashes -= 1;
            return;
        }
        self.push_event(TICK_US, Event::Tick { host: at });
    }

    /// Plans as the leader of the control group, which now and then takes a live host for dead.
    fn plan(&mut self) {
        let mut peers = Vec::new();
        for at in self.ids() {
            if self.hosts[at].records.is_none() && self.hosts[at].restart_us <= self.now {
                self.boot(at);
            }
            let host = &self.hosts[at];
            let cut = self.cuts.contains(&(CONTROL, at)) || self.cuts.contains(&(at, CONTROL));
            let missed = self.noisy && self.rng.random_range(0..60) == 0;
            if host.records.is_some() && host.frozen <= self.now && !cut && !missed {
                let peer = Peer::new(HostId(at as u64), Incarnation(host.incarnation), zone(host.zone));
                peers.push(Peer { leaving: host.leaving, ..peer });
            }
        }
        for command in self.table.plan(&peers) {
            self.commit(&command);
        }
        for to in self.ids() {
            let (table, peers) = (self.table.clone(), peers.clone());
            self.post(CONTROL, to, || Event::Table { to, table: table.clone() });
            self.post(CONTROL, to, || Event::Peers { to, peers: peers.clone() });
        }
        self.push_event(PLAN_INTERVAL_US, Event::Plan);
    }

    /// Lets a caller submit, resubmit, read or cancel at a random host.
    fn client(&mut self) {
        let at = self.rng.random_range(self.ids());
        let number = self.rng.random_range(0..24);
        // With a short retention, a key is only reused within a shorter time.
        let period = if self.oracle.retention > LONG_RETENTION_US { 0 } else { self.now / KEY_REUSE_US };
        let key: Key = match number % 2 {
            0 => format!("order-{period}-{number}"),
            _ => format!("z{}:order-{period}-{number}", number % 3),
        }
        .into();
        let reused = self.rng.random_range(0..15) == 0;
        let wait = Duration::from_micros([0, 200 * US_PER_MS, 3_000 * US_PER_MS][self.rng.random_range(0..3)]);
        if self.hosts[at].records.is_some() && self.hosts[at].frozen <= self.now {
            let tag = self.tag();
            let time_left = self.rng.random_range(300 * US_PER_MS..MAX_DEADLINE_US);
            match self.rng.random_range(0..12) {
                0 => {
                    self.oracle.on_request(self.now, tag, at, &key, None);
                    self.with_records(at, |records, now| records.cancel(now, tag, key));
                }
                1..4 => {
                    self.oracle.on_request(self.now, tag, at, &key, None);
                    self.with_records(at, |records, now| records.read(now, tag, key, wait));
                }
                4 => self.mint(at, tag, time_left, wait),
                _ => self.submit(at, tag, key, u8::from(reused), time_left, wait),
            }
        }
        if self.clients > 0 {
            self.clients -= 1;
            let pause = self.rng.random_range(5 * US_PER_MS..60 * US_PER_MS);
            self.push_event(pause, Event::Client);
        }
    }

    pub fn submit(&mut self, at: usize, tag: Tag, key: Key, digest: u8, time_left: u64, wait: Duration) {
        self.oracle.on_request(self.now, tag, at, &key, Some(digest));
        let spec = spec(key.as_str().len() as u32 + u32::from(key.as_str().as_bytes()[key.as_str().len() - 1]), digest);
        self.with_records(at, |records, now| {
            let submission = Submission { key, spec, deadline: now + Duration::from_micros(time_left) };
            records.submit(now, tag, submission, wait);
        });
    }

    fn mint(&mut self, at: usize, tag: Tag, time_left: u64, wait: Duration) {
        let time = self.clock(at);
        if let Some(records) = &mut self.hosts[at].records {
            let key = records.submit_unkeyed(time, tag, spec(1, 0), time + Duration::from_micros(time_left), wait);
            self.oracle.on_request(self.now, tag, at, &key, Some(0));
        }
        self.with_records(at, |_, _| {});
    }

    fn start(&mut self, at: usize, key: Key, task: u32, local: bool, deadline: u64, digest: u8) {
        let incarnation = self.hosts[at].incarnation;
        if self.rng.random_range(0..40) == 0 {
            let end = TaskEnd::Refused(Code::NoCapacity);
            return self.with_records(at, |records, now| records.on_task_end(now, &key, TaskIndex(task), end));
        }
        let mut allowed = false;
        self.with_records(at, |records, now| allowed = records.try_start(now, &key, TaskIndex(task)));
        if !allowed {
            return;
        }
        self.hosts[at].running += 1;
        let (end, retry) = match self.rng.random_range(0..24) {
            0..3 => (TaskEnd::NotStarted, Some((local, deadline, digest))),
            3 => (TaskEnd::Failed(Code::TargetFailed), None),
            4 => (TaskEnd::Unknown(Code::TargetLost), None),
            _ => (TaskEnd::Answered { status: 200, body: answer(&key, task, digest).into() }, None),
        };
        if self.rng.random_range(0..12) == 0 {
            // A dispatcher that lost its state asks to start the same task again.
            let (key, delay) = (key.clone(), self.rng.random_range(0..40 * US_PER_MS));
            self.push_event(delay, Event::Start { host: at, incarnation, key, task, local, deadline, digest });
        }
        if retry.is_none() {
            self.oracle.on_start(self.now, at, &key, task, digest, local);
        }
        let delay = self.rng.random_range(US_PER_MS..150 * US_PER_MS);
        let duplicate = retry.is_none() && self.rng.random_range(0..10) == 0;
        if duplicate {
            let end = TaskEnd::Failed(Code::AnswerCut);
            let late = Event::Answer { host: at, incarnation, key: key.clone(), task, end, retry: None, first: false };
            self.push_event(delay + 20 * US_PER_MS, late);
        }
        self.push_event(delay, Event::Answer { host: at, incarnation, key, task, end, retry, first: true });
    }

    fn perform(&mut self, at: usize, time: Time, output: Output) {
        let incarnation = self.hosts[at].incarnation;
        match output {
            Output::Send { to, message } => {
                let bytes = postcard::to_stdvec(&message).unwrap();
                let to = to.0 as usize;
                self.post(at, to, || {
                    let message = postcard::from_bytes(&bytes).unwrap();
                    Event::Message { from: at, to, message }
                });
            }
            Output::Run { key, spec, tasks, deadline } => {
                let digest = spec.digest.0[0];
                let deadline = (deadline - time).as_micros() as u64;
                for task in tasks {
                    let other = self.rng.random_range(self.ids());
                    if self.rng.random_range(0..3) == 0 && other != at {
                        let key = key.clone();
                        self.with_records(at, |records, now| {
                            records.assign(now, &key, TaskIndex(task), HostId(other as u64));
                        });
                    } else {
                        let delay = self.rng.random_range(0..60 * US_PER_MS);
                        let key = key.clone();
                        self.push_event(
                            delay,
                            Event::Start { host: at, incarnation, key, task, local: true, deadline, digest },
                        );
                    }
                }
            }
            Output::Place { task: placed, deadline } => {
                let delay = self.rng.random_range(0..60 * US_PER_MS);
                let digest = placed.task.body[0];
                let deadline = (deadline - time).as_micros() as u64;
                let (key, task) = (placed.key, placed.index.0);
                self.push_event(
                    delay,
                    Event::Start { host: at, incarnation, key, task, local: false, deadline, digest },
                );
            }
            Output::Reply { tag, reply } => self.oracle.on_reply(self.now, tag, &reply),
            Output::Propose(command) => {
                self.post(at, CONTROL, || Event::Proposal { command: command.clone() });
            }
            Output::Stop { .. } | Output::Ended { .. } => {}
        }
    }
}

/// Returns the only correct answer of a task.
pub fn answer(key: &Key, task: u32, digest: u8) -> String {
    format!("{key}/{task}/{digest}")
}

fn spec(tasks: u32, digest: u8) -> Arc<SubmissionSpec> {
    let task = Task { body: vec![digest; 40].into(), ..Task::default() };
    let tasks = vec![task; (tasks % 11 + 1) as usize];
    Arc::new(SubmissionSpec { entry: "scan".into(), digest: BodyDigest([digest; 32]), tasks })
}
