//! Simulated cluster: hosts on a simulated network with fake targets and clients, and counts of what was started.

use bytes::Bytes;
use indexmap::IndexMap;
use mangogw_catalogue::{Action, Catalogue, Token};
use mangogw_cluster::grants::Echo;
use mangogw_dispatch::{AttemptReport, TaskKey};
use mangogw_host::{
    Answer, AttemptOutcome, Caller, Effect, Host, HostRequest, JobRequest, Message, Reply, Settings, TaskRequest,
    TaskStart,
};
use mangogw_model::{
    Announcement, AttemptId, Capacity, HostId, Incarnation, JobState, Key, Kind, Needs, Outcome, Time,
};
use mangogw_store::{DurableState, FolderId, GroupId, Members, WriteId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

const ZONES: [&str; 3] = ["regina-a", "moose-jaw", "swift-cur"];
const TICK: Duration = Duration::from_millis(20);
const SYNC_DELAY: Duration = Duration::from_millis(3);
const CATALOGUE: &str = r#"
[owners.gate]
[entries.route]
owner = "gate"
class = "urgent"
repeatable = true
deadline_ms = 4000
[entries.scan]
owner = "gate"
deadline_ms = 4000
"#;

/// The faults that may occur in a run; `loss` and `duplicates` are probabilities per message.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub loss: f64,
    pub duplicates: f64,
    pub partitions: bool,
    pub crashes: bool,
    pub freezes: bool,
    pub targets: bool,
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Deliver { to: usize, incarnation: u64, from: HostId, message: Box<Message> },
    Synced { host: usize, id: WriteId },
    Reach { host: usize, incarnation: u64, start: Box<TaskStart> },
    Answer { host: usize, incarnation: u64, task: TaskKey, attempt: AttemptId, outcome: AttemptOutcome },
    Heartbeat(usize),
    Client,
    Fault,
    Restart(usize),
}

#[derive(Debug)]
struct Node {
    host: Option<Host>,
    incarnation: u64,
    frozen: Time,
    zone: &'static str,
}

#[derive(Debug)]
struct FakeTarget {
    zone: &'static str,
    slots: u32,
    running: u32,
    bad: bool,
    grant: Option<(mangogw_cluster::grants::Grant, Time)>,
}

/// A request of a client and its reply.
#[derive(Debug, Default)]
pub struct ClientRequest {
    pub key: Option<Key>,
    pub body: Bytes,
    pub reply: Option<Reply>,
    pub disconnected: bool,
}

/// The simulated cluster: hosts, targets, clients and the network between them.
#[derive(Debug)]
pub struct World {
    pub now: Time,
    rng: Pcg64Mcg,
    faults: Faults,
    nodes: Vec<Node>,
    targets: Vec<FakeTarget>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    waiting: IndexMap<u64, Event>,
    serial: u64,
    pub partitioned: Vec<(usize, usize)>,
    heartbeats: IndexMap<(usize, u64), usize>,
    pub requests: IndexMap<(usize, u64), ClientRequest>,
    pub starts: IndexMap<(Key, u32), u32>,
    pub messages: u64,
    pub bytes: u64,
    faults_off: bool,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + host as u16))
}

impl World {
    pub fn open(seed: u64, hosts: usize, targets: usize, faults: Faults) -> Self {
        let mut world = Self {
            now: Time::from_millis(1),
            rng: Pcg64Mcg::seed_from_u64(seed),
            faults,
            nodes: Vec::new(),
            targets: Vec::new(),
            events: BinaryHeap::new(),
            waiting: IndexMap::new(),
            serial: 0,
            partitioned: Vec::new(),
            heartbeats: IndexMap::new(),
            requests: IndexMap::new(),
            starts: IndexMap::new(),
            messages: 0,
            bytes: 0,
            faults_off: true,
        };
        for number in 0..hosts {
            world.nodes.push(Node { host: None, incarnation: 0, frozen: Time::ZERO, zone: ZONES[number % 3] });
            world.restart(number);
        }
        for number in 0..targets {
            let zone = ZONES[number % 3];
            world.targets.push(FakeTarget { zone, slots: 4, running: 0, bad: false, grant: None });
            world.after(Duration::from_millis(number as u64 * 7), Event::Heartbeat(number));
        }
        world
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.serial += 1;
        self.waiting.insert(self.serial, event);
        self.events.push(Reverse((self.now + span, self.serial)));
    }

    /// Starts a host in a new incarnation. The first three have data folders and form the control group; the first,
    /// which founds it, is never restarted.
    pub fn restart(&mut self, number: usize) {
        let incarnation = self.nodes[number].incarnation + 1;
        let settings = Settings {
            host: HostId(number as u64 + 1),
            incarnation: Incarnation(incarnation),
            zone: self.nodes[number].zone.into(),
            address: address(number),
            http: address(number),
            seeds: vec![address(0), address(1), address(2)],
            seed: self.rng.random(),
            ..Settings::default()
        };
        let (host, folder_id) = (settings.host, FolderId(number as u64 + 100));
        let stored = match number {
            0 => Some(DurableState::bootstrap(
                host,
                folder_id,
                GroupId(7),
                Members::from_voters([(host, folder_id)]),
                Bytes::new(),
            )),
            1 | 2 => Some(DurableState::joining(host, folder_id)),
            _ => None,
        };
        let mut host = Host::open(settings, stored, self.now);
        if number == 0 {
            host.set_bootstrap_actions(bootstrap_actions());
        }
        self.nodes[number].host = Some(host);
        self.nodes[number].incarnation = incarnation;
        self.carry_out(number);
        self.after(TICK, Event::Tick(number));
    }

    /// Runs clients and faults until `end`, then heals all partitions and targets.
    pub fn run_with_faults(&mut self, end: Time) {
        self.faults_off = false;
        self.after(Duration::ZERO, Event::Client);
        self.after(Duration::ZERO, Event::Fault);
        self.run(end);
        self.faults_off = true;
        self.partitioned.clear();
        self.targets.iter_mut().for_each(|target| target.bad = false);
    }

    pub fn run(&mut self, end: Time) {
        while let Some(&Reverse((at, serial))) = self.events.peek() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.waiting.swap_remove(&serial) {
                self.handle_event(event);
            }
        }
        self.now = end;
    }

    /// Runs until `done` or `end`, whichever comes first.
    pub fn run_until(&mut self, end: Time, done: impl Fn(&Self) -> bool) {
        while self.now < end && !done(self) {
            self.run(self.now + TICK);
        }
    }

    /// Returns true if every request of a connected client has a reply.
    pub fn is_answered(&self) -> bool {
        self.requests.values().all(|request| request.reply.is_some() || request.disconnected)
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        if let Some(host) = event.host()
            && self.nodes[host].frozen > now
        {
            let left = self.nodes[host].frozen - now;
            return self.after(left, event);
        }
        match event {
            Event::Tick(number) => {
                if let Some(host) = &mut self.nodes[number].host {
                    host.on_tick(now);
                    self.carry_out(number);
                    self.after(TICK, Event::Tick(number));
                }
            }
            Event::Deliver { to, incarnation, from, message } if self.is_alive(to, incarnation) => {
                self.messages += 1;
                self.step(to, |host| host.on_message(now, from, *message));
            }
            Event::Synced { host, id } => self.step(host, |host| host.on_synced(now, id)),
            Event::Reach { host, incarnation, start } => self.reach(host, incarnation, *start),
            Event::Answer { host, incarnation, task, attempt, outcome } if self.is_alive(host, incarnation) => {
                self.step(host, |host| host.on_attempt_outcome(now, task, attempt, outcome));
            }
            Event::Heartbeat(target) => self.heartbeat(target),
            Event::Client if !self.faults_off => self.client(),
            Event::Fault if !self.faults_off => self.fault(),
            Event::Restart(number) => self.restart(number),
            _ => {}
        }
    }

    fn is_alive(&self, host: usize, incarnation: u64) -> bool {
        self.nodes[host].host.is_some() && self.nodes[host].incarnation == incarnation
    }

    fn step(&mut self, number: usize, input: impl FnOnce(&mut Host)) {
        if let Some(host) = &mut self.nodes[number].host {
            input(host);
            self.carry_out(number);
        }
    }

    fn carry_out(&mut self, number: usize) {
        let effects = self.nodes[number].host.as_mut().map(Host::drain).unwrap_or_default();
        let incarnation = self.nodes[number].incarnation;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(number, usize::from(to.port()) - 7000, &message),
                Effect::Write(write) => self.after(SYNC_DELAY, Event::Synced { host: number, id: write.id }),
                Effect::Start(start) => {
                    self.after(
                        Duration::from_micros(300),
                        Event::Reach { host: number, incarnation, start: Box::new(start) },
                    );
                }
                Effect::Reply { caller, reply } => self.on_reply(number, caller, reply),
                Effect::Halt { reason } => panic!("host {number} halted: {reason}"),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        // Each message is encoded and decoded, so that data lost in the encoding is lost here too.
        let bytes = message.encode();
        self.bytes += bytes.len() as u64;
        let message = Message::decode(&bytes).expect("an encoded message decodes");
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.faults.duplicates);
        for _ in 0..copies {
            let lost = self.rng.random::<f64>() < self.faults.loss;
            if lost || self.partitioned.contains(&(from, to)) || to >= self.nodes.len() {
                continue;
            }
            let delay = Duration::from_micros(self.rng.random_range(200..3_000));
            let (incarnation, from) = (self.nodes[to].incarnation, HostId(from as u64 + 1));
            self.after(delay, Event::Deliver { to, incarnation, from, message: Box::new(message.clone()) });
        }
    }

    /// Handles a start that has arrived at its target, and counts it.
    fn reach(&mut self, host: usize, incarnation: u64, start: TaskStart) {
        let number = usize::from(start.address.port()) - 9000;
        let run_time = Duration::from_millis(self.rng.random_range(5..80));
        let target = &mut self.targets[number];
        let (task, attempt) = (start.task_key, start.attempt);
        let full = target.running >= target.slots * 2;
        let outcome = match () {
            () if full => AttemptOutcome::Report(AttemptReport::NotStarted),
            () if target.bad => AttemptOutcome::Report(AttemptReport::Failed),
            () => AttemptOutcome::Answer(Answer { status: 200, content_type: None, body: start.body.clone() }),
        };
        // Starts of `route` are not counted: only its requests are repeatable and may start more than once.
        if !full && start.entry.as_str() != "route" {
            *self.starts.entry((start.key, start.index.0)).or_default() += 1;
        }
        self.after(run_time, Event::Answer { host, incarnation, task, attempt, outcome });
    }

    fn heartbeat(&mut self, number: usize) {
        let now = self.now;
        let target = &self.targets[number];
        let announcement = Announcement {
            name: format!("t{number}").into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9000 + number as u16)),
            zone: target.zone.into(),
            rack: "".into(),
            kind: Kind::Executor,
            entries: vec!["route".into(), "scan".into()],
            capacity: Capacity { slots: target.slots, ..Capacity::default() },
            incarnation: Incarnation(1),
            running: Vec::new(),
            connections: 0,
        };
        let echo = target.grant.map(|(grant, at)| Echo { grant, age_ms: Some((now - at).as_millis() as u32) });
        // The load balancer of a zone routes only to hosts of that zone.
        let zone_hosts: Vec<usize> =
            (0..self.nodes.len()).filter(|&at| self.nodes[at].zone == announcement.zone.as_str()).collect();
        let to = zone_hosts[self.rng.random_range(0..zone_hosts.len())];
        let caller = self.caller();
        self.heartbeats.insert((to, caller.0), number);
        self.step(to, |host| host.on_request(now, caller, HostRequest::Announce { announcement, echo }));
        self.after(Duration::from_millis(700), Event::Heartbeat(number));
    }

    fn caller(&mut self) -> Caller {
        self.serial += 1;
        Caller(self.serial)
    }

    /// Sends a client's request: a job, new or repeated, a single request, a read or a cancellation of a job.
    fn client(&mut self) {
        let to = self.rng.random_range(0..self.nodes.len());
        let number = self.rng.random_range(0..40u32);
        let body = Bytes::from(format!("body of {number}"));
        let key = match number % 4 {
            0 => Key::from(format!("{}:job-{number}", ZONES[number as usize % 3])),
            _ => Key::from(format!("job-{number}")),
        };
        let task = TaskRequest { body: body.clone(), needs: Needs::default() };
        let (key, request) = match self.rng.random_range(0..10) {
            0 | 1 => {
                let body = Bytes::from(format!("single {}", self.serial));
                let entry = if self.rng.random() { "route" } else { "scan" };
                return self.send_request(
                    to,
                    None,
                    HostRequest::Run { entry: entry.into(), key: None, timeout: None, body },
                );
            }
            2 => (key.clone(), HostRequest::Read { key, wait: Duration::from_secs(1) }),
            3 if number > 30 => (key.clone(), HostRequest::Cancel { key }),
            _ => {
                let tasks = vec![task; 1 + number as usize % 7];
                let timeout = Some(Duration::from_secs(6));
                (key.clone(), HostRequest::Submit(JobRequest { entry: "scan".into(), key: Some(key), timeout, tasks }))
            }
        };
        self.send_request(to, Some(key), request);
    }

    pub fn send_request(&mut self, to: usize, key: Option<Key>, request: HostRequest) {
        let now = self.now;
        let body = match &request {
            HostRequest::Run { body, .. } => body.clone(),
            _ => Bytes::new(),
        };
        let caller = self.caller();
        if self.nodes[to].host.is_some() {
            self.requests.insert((to, caller.0), ClientRequest { key, body, ..ClientRequest::default() });
            self.step(to, |host| host.on_request(now, caller, request));
        }
        if !self.faults_off {
            let pause = Duration::from_millis(self.rng.random_range(5..60));
            self.after(pause, Event::Client);
        }
    }

    fn on_reply(&mut self, host: usize, caller: Caller, reply: Reply) {
        if let Some(number) = self.heartbeats.swap_remove(&(host, caller.0)) {
            if let Reply::Lease(lease) = reply
                && let Some(grant) = lease.grant
            {
                self.targets[number].grant = Some((grant, self.now));
            }
            return;
        }
        let Some(request) = self.requests.get_mut(&(host, caller.0)) else { return };
        assert!(request.reply.is_none(), "a request got two replies: {request:?}");
        if let Reply::Answer { answer, .. } = &reply {
            assert_eq!(answer.body, request.body, "the answer belongs to another request");
        }
        request.reply = Some(reply);
    }

    fn fault(&mut self) {
        let pause = Duration::from_millis(self.rng.random_range(300..1_500));
        self.after(pause, Event::Fault);
        let hosts = self.nodes.len();
        let (one, two) = (self.rng.random_range(0..hosts), self.rng.random_range(0..hosts));
        match self.rng.random_range(0..6) {
            0 if self.faults.partitions => self.partitioned.push((one, two)),
            1 if self.faults.partitions => self.partition_zone(one),
            2 => self.partitioned.clear(),
            3 if self.faults.crashes && one > 2 => self.crash(one),
            4 if self.faults.freezes => self.nodes[one].frozen = self.now + Duration::from_millis(2_500),
            5 if self.faults.targets => {
                let target = self.rng.random_range(0..self.targets.len());
                self.targets[target].bad ^= true;
            }
            _ => {}
        }
    }

    pub fn partition_zone(&mut self, of: usize) {
        let zone = self.nodes[of].zone;
        let inside: Vec<usize> = (0..self.nodes.len()).filter(|&at| self.nodes[at].zone == zone).collect();
        let outside: Vec<usize> = (0..self.nodes.len()).filter(|&at| self.nodes[at].zone != zone).collect();
        for &inner in &inside {
            self.partitioned.extend(outside.iter().flat_map(|&outer| [(inner, outer), (outer, inner)]));
        }
    }

    fn crash(&mut self, number: usize) {
        let down = Duration::from_millis(self.rng.random_range(200..6_000));
        if self.stop(number) {
            self.after(down, Event::Restart(number));
        }
    }

    /// Crashes a host without a restart. Returns false if it was not running.
    pub fn stop(&mut self, number: usize) -> bool {
        let ended = self.nodes[number].host.take().is_some();
        for ((host, _), request) in &mut self.requests {
            request.disconnected |= *host == number && request.reply.is_none();
        }
        ended
    }

    /// Runs for `span` with one host frozen.
    pub fn pause(&mut self, number: usize, span: Duration) {
        self.nodes[number].frozen = self.now + span + TICK;
        self.run(self.now + span);
    }

    /// Freezes a host from now on; its messages and timers wait until `span` is over.
    pub fn freeze(&mut self, number: usize, span: Duration) {
        self.nodes[number].frozen = self.now + span;
    }

    /// Delivers a message to a host as if `from` had sent it.
    pub fn deliver(&mut self, to: usize, from: HostId, message: Message) {
        let now = self.now;
        self.step(to, |host| host.on_message(now, from, message));
    }

    /// Returns the host with this number. `None` if it is not running.
    pub fn host(&self, number: usize) -> Option<&Host> {
        self.nodes[number].host.as_ref()
    }

    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.nodes.iter().filter_map(|node| node.host.as_ref())
    }

    /// Returns the catalogue versions of all running hosts.
    pub fn versions(&self) -> Vec<u64> {
        self.hosts().map(|host| host.status_view(self.now).catalogue.0).collect()
    }

    /// Returns true if every host is ready with the newest catalogue and every target is owned.
    pub fn is_settled(&self, targets: usize) -> bool {
        let ready = self.nodes.iter().all(|node| node.host.as_ref().is_some_and(Host::is_ready));
        ready && self.versions().iter().all(|&version| version == 1) && self.owned() == targets
    }

    /// Returns the number of owned targets, summed over all hosts.
    pub fn owned(&self) -> usize {
        self.hosts().map(|host| host.status_view(self.now).targets).sum()
    }

    /// Returns the submissions that a reply reported as not run.
    pub fn reported_not_run(&self) -> impl Iterator<Item = (&Key, &Reply)> {
        let replies =
            self.requests.values().filter_map(|request| Some((request.key.as_ref()?, request.reply.as_ref()?)));
        replies.filter(|(_, reply)| is_not_run(reply))
    }

    /// Returns the job ends that replies reported, by key.
    pub fn ends(&self) -> IndexMap<Key, Vec<(JobState, Option<u16>)>> {
        let mut ends = IndexMap::<_, Vec<_>>::new();
        for request in self.requests.values() {
            if let Some(Reply::Job(view)) = &request.reply
                && view.state != JobState::Running
            {
                ends.entry(view.key.clone()).or_default().push((view.state, view.code));
            }
        }
        ends
    }
}

/// Returns true if the reply reports that the submission did not run.
fn is_not_run(reply: &Reply) -> bool {
    match reply {
        Reply::Refused(refused) => refused.code.outcome() == Outcome::NotRun && refused.code.number() != 1104,
        Reply::Job(view) => view.outcome == Some(Outcome::NotRun),
        _ => false,
    }
}

impl Event {
    const fn host(&self) -> Option<usize> {
        match self {
            Self::Tick(host) | Self::Synced { host, .. } | Self::Answer { host, .. } => Some(*host),
            Self::Deliver { to, .. } => Some(*to),
            _ => None,
        }
    }
}

fn bootstrap_actions() -> Vec<Action> {
    let token = Token::from_random(1, [7; 32]);
    let catalogue = Catalogue::parse(CATALOGUE).expect("the test catalogue is valid");
    vec![
        Action::Issue {
            id: token.id(),
            hash: token.hash(),
            name: "admin".to_owned(),
            role: mangogw_catalogue::Role::Administrator,
            expires_ms: 1 << 50,
        },
        Action::Apply { owners: catalogue.owners().clone(), entries: catalogue.entries().clone() },
    ]
}
