//! Simulation of a group of hosts with a fake network, clocks and disks. Checks each output against a model of the log.

use super::disk::FakeDisk;
use mangogw_model::{HostId, Time};
use mangogw_store::{
    DurableState, Folder, FolderId, GroupId, Index, LogId, Members, MembershipChange, Message, Output, Payload, Raft,
    Refusal, Role, Settings, Tag, Term, Write,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The applied state: a plain map, and the index of the last entry applied to it.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AppState {
    pub applied_index: Index,
    pub map: BTreeMap<u64, u64>,
}

/// State of a running host.
#[derive(Debug)]
pub struct RunningNode {
    pub raft: Raft,
    folder: Folder<FakeDisk>,
    pub app: AppState,
    writes: Vec<Write>,
    /// Time at which the waiting writes are synced.
    sync_due: Option<Time>,
}

/// A host, running or not.
#[derive(Debug)]
pub struct Node {
    pub disk: FakeDisk,
    pub running: Option<RunningNode>,
    /// True if the disk is lost for good; the host never runs again.
    pub disk_lost: bool,
    /// Id of the host's data folder.
    pub folder_id: FolderId,
    /// Members as known to the host when it last stopped.
    last_members: Members,
    /// Rate of the host's clock in percent.
    clock_percent: u64,
    /// Offset of the host's clock in microseconds.
    offset: u64,
}

/// A client call that is not answered yet.
#[derive(Debug, Clone, Copy)]
enum PendingCall {
    /// Unique value of the write; last entry acknowledged before the call.
    Write(u64, Index),
    /// Last entry acknowledged before the call.
    Read(Index),
    Other,
}

/// The hosts, the network between them, and the results that clients have observed.
#[derive(Debug)]
pub struct World {
    pub now: Time,
    pub nodes: BTreeMap<HostId, Node>,
    pub rng: Pcg64Mcg,
    pub settings: Settings,
    pub cut_links: BTreeSet<(HostId, HostId)>,
    /// Percentage of messages that are lost, and of those delivered, that are duplicated.
    pub loss_percent: u32,
    /// Maximum delay of a message in microseconds, apart from rare slow messages.
    pub delay_us: u64,
    /// Messages in flight, by delivery time and serial number.
    packets: BTreeMap<(Time, u64), (HostId, HostId, Message)>,
    serial: u64,
    calls: BTreeMap<Tag, PendingCall>,
    /// Committed entries, as applied by the first host that applied them.
    pub log: BTreeMap<Index, (LogId, Payload)>,
    pub leaders: BTreeMap<Term, HostId>,
    /// Last entry whose effect a client has observed.
    observed_index: Index,
    pub acked: BTreeSet<u64>,
    refused_writes: BTreeSet<u64>,
    pub reads: usize,
    pub refused: BTreeMap<Tag, Refusal>,
    pub completed: BTreeSet<Tag>,
    pub messages: u64,
    pub restores: usize,
    /// Maximum time that a sync takes, in microseconds.
    pub sync_us: u64,
}

const KEY_COUNT: u64 = 8;

pub fn settings() -> Settings {
    Settings {
        log_bytes: 2_000,
        tail_entries: 20,
        chunk_bytes: 48,
        message_bytes: 400,
        max_inflight: 4,
        learner_lag: 5,
        ..Settings::default()
    }
}

impl World {
    /// Bootstraps a group of `voters` voters.
    pub fn new(seed: u64, voters: u64, settings: Settings) -> Self {
        let mut world = Self {
            now: Time::from_millis(1),
            nodes: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            settings,
            cut_links: BTreeSet::new(),
            loss_percent: 0,
            delay_us: 1_000,
            packets: BTreeMap::new(),
            serial: 0,
            calls: BTreeMap::new(),
            log: BTreeMap::new(),
            leaders: BTreeMap::new(),
            observed_index: Index(1),
            acked: BTreeSet::new(),
            refused_writes: BTreeSet::new(),
            reads: 0,
            refused: BTreeMap::new(),
            completed: BTreeSet::new(),
            messages: 0,
            restores: 0,
            sync_us: 5_000,
        };
        let members = Members::from_voters((1..=voters).map(|id| (HostId(id), folder_id(HostId(id)))));
        let state = encode(&AppState { applied_index: Index(1), map: BTreeMap::new() });
        for id in (1..=voters).map(HostId) {
            let stored = DurableState::bootstrap(id, folder_id(id), GroupId(7), members.clone(), state.clone().into());
            world.create(id, &stored);
        }
        world
    }

    /// Creates a host under a new id that waits to be added to the group.
    pub fn join(&mut self) -> HostId {
        let id = HostId(self.nodes.len() as u64 + 1);
        self.create(id, &DurableState::joining(id, folder_id(id)));
        id
    }

    fn create(&mut self, id: HostId, stored: &DurableState) {
        let disk = FakeDisk::default();
        drop(Folder::create(disk.clone(), stored).unwrap());
        let offset = 1_000_000_000 + self.rng.random_range(0..10_000_000);
        self.nodes.insert(
            id,
            Node {
                disk,
                running: None,
                disk_lost: false,
                folder_id: stored.folder_id,
                last_members: stored.members(),
                clock_percent: 100,
                offset,
            },
        );
        self.start(id);
    }

    /// Starts a host from its disk, unless it is running or its disk is lost.
    pub fn start(&mut self, id: HostId) {
        let now = self.clock(id);
        let node = self.nodes.get_mut(&id).unwrap();
        if node.disk_lost || node.running.is_some() {
            return;
        }
        node.disk.fail_after(None);
        let (folder, stored) = Folder::open_disk(node.disk.clone()).unwrap();
        let settings = Settings { seed: self.rng.random(), ..self.settings.clone() };
        let raft = Raft::open(settings, stored, now);
        node.running = Some(RunningNode { raft, folder, app: AppState::default(), writes: Vec::new(), sync_due: None });
        self.drain(id);
    }

    /// Kills a host. With `power`, its disk also loses unsynced data.
    pub fn crash(&mut self, id: HostId, power: bool) {
        let node = self.nodes.get_mut(&id).unwrap();
        if let Some(running) = node.running.take() {
            node.last_members = running.raft.members().clone();
        }
        if power {
            node.disk.crash(&mut self.rng);
        }
    }

    /// Kills a host whose disk is lost for good.
    pub fn lose_disk(&mut self, id: HostId) {
        self.crash(id, true);
        self.nodes.get_mut(&id).unwrap().disk_lost = true;
    }

    /// Replaces a host's disk by an empty one and restarts the host under its old id, which is against the rules.
    pub fn replace_disk(&mut self, id: HostId) {
        self.crash(id, true);
        let disk = FakeDisk::default();
        let node = self.nodes.get_mut(&id).unwrap();
        node.folder_id = node.folder_id.next();
        node.last_members = Members::default();
        drop(Folder::create(disk.clone(), &DurableState::joining(id, node.folder_id)).unwrap());
        node.disk = disk;
        self.start(id);
    }

    /// Delivers a message to a host at once.
    pub fn deliver(&mut self, to: HostId, from: HostId, message: &Message) {
        self.input(to, |raft, now| raft.on_message(now, from, message.clone()));
    }

    /// Sets the rate of a host's clock in percent.
    pub fn set_clock_rate(&mut self, id: HostId, clock_percent: u64) {
        let before = self.clock(id);
        let node = self.nodes.get_mut(&id).unwrap();
        node.clock_percent = clock_percent;
        node.offset = before.as_micros() - self.now.as_micros() * clock_percent / 100;
    }

    fn clock(&self, id: HostId) -> Time {
        self.nodes
            .get(&id)
            .map_or(self.now, |node| Time::from_micros(node.offset + self.now.as_micros() * node.clock_percent / 100))
    }

    pub fn running_hosts(&self) -> Vec<HostId> {
        self.nodes.iter().filter(|(_, node)| node.running.is_some()).map(|(id, _)| *id).collect()
    }

    pub fn raft(&self, id: HostId) -> &Raft {
        &self.nodes[&id].running.as_ref().unwrap().raft
    }

    /// Returns the running host that believes to lead in the newest term.
    pub fn leader(&self) -> Option<HostId> {
        let leads = |id: &HostId| self.raft(*id).status().role == Role::Leader;
        self.running_hosts().into_iter().filter(leads).max_by_key(|id| self.raft(*id).status().term)
    }

    fn tag(&mut self, call: PendingCall) -> Tag {
        self.serial += 1;
        self.calls.insert(Tag(self.serial), call);
        Tag(self.serial)
    }

    /// Runs an input on a host, if it is running, and carries out the outputs.
    fn input(&mut self, id: HostId, input: impl FnOnce(&mut Raft, Time)) {
        let now = self.clock(id);
        let Some(running) = self.nodes.get_mut(&id).and_then(|node| node.running.as_mut()) else { return };
        input(&mut running.raft, now);
        self.drain(id);
    }

    pub fn write(&mut self, id: HostId) -> Tag {
        let value = self.serial + 1;
        let tag = self.tag(PendingCall::Write(value, self.observed_index));
        let command = encode(&(value % KEY_COUNT, value));
        self.input(id, |raft, now| raft.propose(now, command.into(), tag));
        tag
    }

    pub fn read(&mut self, id: HostId) -> Tag {
        let tag = self.tag(PendingCall::Read(self.observed_index));
        self.input(id, |raft, now| raft.read(now, tag));
        tag
    }

    pub fn change(&mut self, id: HostId, change: MembershipChange) -> Tag {
        let tag = self.tag(PendingCall::Other);
        self.input(id, |raft, now| raft.change_membership(now, change, tag));
        tag
    }

    pub fn transfer(&mut self, id: HostId, to: HostId) -> Tag {
        let tag = self.tag(PendingCall::Other);
        self.input(id, |raft, now| raft.transfer(now, to, tag));
        tag
    }

    /// Advances the time by `millis` in steps of 1 ms: delivers messages, completes syncs and ticks the hosts.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += Duration::from_millis(1);
            while let Some(entry) = self.packets.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (from, to, message) = entry.remove();
                self.input(to, |raft, now| raft.on_message(now, from, message));
            }
            for id in self.running_hosts() {
                self.sync(id);
                if self.now.as_micros() / 1_000 % 10 == id.0 % 10 {
                    self.input(id, Raft::on_tick);
                }
            }
        }
    }

    /// Runs until `done` returns true, for at most `millis` ms; returns whether it did. `done` is checked every 10 ms.
    pub fn run_until(&mut self, millis: u64, mut done: impl FnMut(&mut Self) -> bool) -> bool {
        (0..millis / 10).any(|_| {
            self.run(10);
            done(self)
        })
    }

    fn sync(&mut self, id: HostId) {
        let now = self.now;
        let Some(running) = self.nodes.get_mut(&id).and_then(|node| node.running.as_mut()) else { return };
        if running.sync_due.is_none_or(|at| at > now) {
            return;
        }
        running.sync_due = None;
        let writes = std::mem::take(&mut running.writes);
        let last = writes.last().unwrap().id;
        match running.folder.write(&writes) {
            Ok(()) => self.input(id, |raft, now| raft.on_synced(now, last)),
            Err(_) => self.input(id, Raft::on_failed),
        }
    }

    fn drain(&mut self, id: HostId) {
        let mut outputs = VecDeque::new();
        loop {
            outputs.extend(self.nodes.get_mut(&id).unwrap().running.as_mut().unwrap().raft.drain());
            let Some(output) = outputs.pop_front() else { return };
            self.carry_out(id, output);
        }
    }

    fn carry_out(&mut self, id: HostId, output: Output) {
        let due = self.now + Duration::from_micros(self.rng.random_range(0..self.sync_us));
        let running = self.nodes.get_mut(&id).unwrap().running.as_mut().unwrap();
        match output {
            Output::Send { to, message } => self.send(id, to, &message),
            Output::Write(write) => {
                running.writes.push(write);
                running.sync_due.get_or_insert(due);
            }
            Output::Restore(snapshot) => {
                let app: AppState = postcard::from_bytes(&snapshot.data).unwrap();
                assert!(
                    app.applied_index >= running.app.applied_index,
                    "the applied state of {id} went back to an earlier entry"
                );
                assert_eq!(
                    app.applied_index, snapshot.meta.id.index,
                    "the snapshot holds the state as of another entry than its metadata says"
                );
                running.app = app;
                self.restores += 1;
                let known = replay(&self.log, running.app.applied_index);
                assert!(
                    known.is_none_or(|map| map == running.app.map),
                    "the state in a snapshot differs from the replayed log"
                );
            }
            Output::Apply { entries } => {
                for entry in entries {
                    self.apply(id, entry.id, entry.payload, entry.tag);
                }
            }
            Output::ReadReady { tag, index } => self.answer_read(id, tag, index),
            Output::Refused { tag, why, .. } => self.record_refusal(tag, why),
            Output::Transferred { tag } => {
                self.completed.insert(tag);
            }
            Output::Role { role: Role::Leader, term, .. } => self.record_leader(id, term),
            Output::Role { .. } => {}
            Output::Compact { index } => {
                assert_eq!(
                    index, running.app.applied_index,
                    "a snapshot is requested at another entry than the last one applied"
                );
                let state = encode(&running.app);
                let now = self.clock(id);
                let running = self.nodes.get_mut(&id).unwrap().running.as_mut().unwrap();
                running.raft.compact(now, index, state.into());
            }
        }
    }

    fn send(&mut self, from: HostId, to: HostId, message: &Message) {
        self.messages += 1;
        // Encoded and decoded, as the daemon does.
        let message: Message = postcard::from_bytes(&postcard::to_stdvec(message).unwrap()).unwrap();
        if self.cut_links.contains(&(from, to)) || self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        let copies = if self.rng.random_range(0..100) < self.loss_percent { 2 } else { 1 };
        for _ in 0..copies {
            let slow = self.loss_percent > 0 && self.rng.random_range(0..200) == 0;
            let longest = if slow { 700_000 } else { self.delay_us };
            let at = self.now + Duration::from_micros(self.rng.random_range(0..longest));
            self.serial += 1;
            self.packets.insert((at, self.serial), (from, to, message.clone()));
        }
    }

    fn record_refusal(&mut self, tag: Tag, why: Refusal) {
        self.refused.insert(tag, why);
        match self.calls.remove(&tag).expect("each call is answered once") {
            PendingCall::Write(value, _) if !matches!(why, Refusal::Unsure | Refusal::Failed) => {
                self.refused_writes.insert(value)
            }
            _ => false,
        };
    }

    fn record_leader(&mut self, id: HostId, term: Term) {
        let other = *self.leaders.entry(term).or_insert(id);
        assert_eq!(other, id, "two leaders in term {term}");
        let last = self.raft(id).status().last;
        let committed = self.log.last_key_value().map_or(Index(0), |(index, _)| *index);
        assert!(
            last >= committed,
            "the log of leader {id} of term {term} ends at {last}, but {committed} is committed"
        );
    }

    fn apply(&mut self, id: HostId, at: LogId, payload: Payload, tag: Option<Tag>) {
        let running = self.nodes.get_mut(&id).unwrap().running.as_mut().unwrap();
        assert_eq!(running.app.applied_index.next(), at.index, "host {id} skips or repeats an entry");
        running.app.applied_index = at.index;
        if let Payload::Command(command) = &payload {
            let (key, value): (u64, u64) = postcard::from_bytes(command).unwrap();
            assert!(!self.refused_writes.contains(&value), "write {value} was refused but then applied");
            running.app.map.insert(key, value);
        }
        let first = self.log.entry(at.index).or_insert_with(|| (at, payload.clone()));
        assert_eq!(*first, (at, payload), "two hosts applied different entries");
        let Some(tag) = tag else { return };
        self.completed.insert(tag);
        if let PendingCall::Write(value, before) = self.calls.remove(&tag).expect("each call is answered once") {
            assert!(at.index > before, "a write was applied before one that was acknowledged earlier");
            self.acked.insert(value);
        }
        self.observed_index = self.observed_index.max(at.index);
    }

    fn answer_read(&mut self, id: HostId, tag: Tag, index: Index) {
        let app = &self.nodes[&id].running.as_ref().unwrap().app;
        assert!(app.applied_index >= index, "a read is ready before its entry is applied");
        let PendingCall::Read(before) = self.calls.remove(&tag).expect("each call is answered once") else {
            unreachable!()
        };
        assert!(
            app.applied_index >= before,
            "a read at {id} misses entries {} to {before}, acknowledged before it",
            app.applied_index.next()
        );
        let known = replay(&self.log, app.applied_index).expect("the log holds every entry that a host applied");
        assert_eq!(known, app.map, "the state for a read differs from the replayed log");
        self.observed_index = self.observed_index.max(app.applied_index);
        self.reads += 1;
        self.completed.insert(tag);
    }

    /// Ends all faults and starts all hosts that still have a disk.
    pub fn clear_faults(&mut self) {
        self.cut_links.clear();
        self.loss_percent = 0;
        self.delay_us = 1_000;
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            let failed =
                self.nodes[&id].running.as_ref().is_some_and(|running| running.raft.status().role == Role::Failed);
            self.nodes[&id].disk.fail_after(None);
            if failed {
                self.crash(id, true);
            }
            self.set_clock_rate(id, 100);
            self.start(id);
        }
    }

    /// Returns one line for each host, for failure messages.
    pub fn statuses(&self) -> Vec<String> {
        let line = |(id, node): (&HostId, &Node)| match &node.running {
            Some(running) => {
                let s = running.raft.status();
                let (voters, learners) = (s.members.voters.keys(), s.members.learners.keys());
                let ids = |ids: Vec<&HostId>| ids.iter().map(|id| id.0).collect::<Vec<_>>();
                let members = (ids(voters.collect()), ids(learners.collect()));
                format!("{id} {:?} {} {:?} {} {} {} {members:?}", s.role, s.term, s.leader, s.last, s.commit, s.applied)
            }
            None => format!("{id} down, lost: {}", node.disk_lost),
        };
        self.nodes.iter().map(line).collect()
    }

    /// Returns true if a quorum of data folders is left, for the last committed members and for the members that each
    /// host knows.
    pub fn recoverable(&self) -> bool {
        let held = |(id, folder_id): &(&HostId, &FolderId)| {
            !self.nodes[*id].disk_lost && self.nodes[*id].folder_id == **folder_id
        };
        // A host that is joining knows no members yet.
        let has_quorum = |members: &Members| {
            members.voters.is_empty() || members.voters.iter().filter(held).count() >= members.quorum()
        };
        let known = |node: &Node| {
            node.running.as_ref().map_or(node.last_members.clone(), |running| running.raft.members().clone())
        };
        let committed = self.log.values().rev().find_map(|(_, payload)| match payload {
            Payload::Members(members) => Some(has_quorum(members)),
            _ => None,
        });
        committed.unwrap_or(true) && self.nodes.values().all(|node| node.disk_lost || has_quorum(&known(node)))
    }

    /// Asserts that the log holds every acknowledged write.
    pub fn check_acked(&self) {
        let held: BTreeSet<u64> =
            self.log.values().filter_map(|(_, payload)| value_of(payload)).map(|(_, v)| v).collect();
        assert!(self.acked.is_subset(&held), "acknowledged writes are lost");
    }
}

fn value_of(payload: &Payload) -> Option<(u64, u64)> {
    match payload {
        Payload::Command(command) => postcard::from_bytes(command).ok(),
        _ => None,
    }
}

/// Returns the map after the entries up to `at`; `None` if `log` lacks some of them.
fn replay(log: &BTreeMap<Index, (LogId, Payload)>, at: Index) -> Option<BTreeMap<u64, u64>> {
    let entries = log.range(Index(2)..at.next());
    (entries.clone().count() as u64 + 1 == at.0)
        .then(|| entries.filter_map(|(_, (_, payload))| value_of(payload)).collect())
}

pub fn folder_id(id: HostId) -> FolderId {
    FolderId(id.0 * 1_000 + 1)
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap()
}
