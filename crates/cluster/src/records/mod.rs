//! Replicated records of submissions, which ensure that no task of a submission starts twice.
//!
//! Each host has one [`Records`] value. It does no I/O: the host passes in the time, callers' requests, messages and
//! the ownership table, and carries out what [`Records::drain`] returns. A submission is recorded at the owner of its
//! key and at a follower on another host before its first task may start. The design, and the argument why nothing
//! starts twice, are in `docs/design/submissions.md`.
//!
//! How a host uses it:
//!
//! 1. [`Records::open`] once when the process starts, with an incarnation higher than all earlier ones.
//! 2. [`Records::install_table`] with each newer [`Ownership`] table, [`Records::on_peers`] with each change of live hosts,
//!    [`Records::on_tick`] every few milliseconds.
//! 3. [`Records::submit`], [`Records::read`] and [`Records::cancel`] for callers; each tag gets exactly one
//!    [`Output::Reply`].
//! 4. For tasks of [`Output::Run`]: either dispatch on this host and call [`Records::try_start`] last, right before the
//!    start is sent, or call [`Records::assign`] for another host. For [`Output::Place`]: dispatch on this host after
//!    the same check. Where the check returns false, drop the task: it is output again if it may still run.
//! 5. [`Records::on_task_end`] with the end of each task that was started or abandoned.
//!
//! ```
//! use mangogw_cluster::ownership::{Ownership, Peer};
//! use mangogw_cluster::records::{Output, Records, Reply, Settings, Submission, Tag, Task, TaskEnd, SubmissionEnd, SubmissionSpec};
//! use mangogw_model::{HostId, Incarnation, TaskIndex, Time};
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! // A single host, and a control group that accepts every command.
//! let now = Time::from_millis(1);
//! let peers = [Peer::new(HostId(1), Incarnation(1), "regina-a".into())];
//! let mut table = Ownership::default();
//! let mut records = Records::open(Settings::new(HostId(1), Incarnation(1), "regina-a".into()), now);
//! records.on_peers(now, &peers);
//! for index in 1..4 {
//!     let mut commands = table.plan(&peers);
//!     commands.extend(records.drain().into_iter().filter_map(|output| match output {
//!         Output::Propose(command) => Some(command),
//!         _ => None,
//!     }));
//!     for command in commands {
//!         table.apply(index, &command);
//!     }
//!     records.install_table(now, &table);
//! }
//!
//! // A submission of one task.
//! let task = Task { body: "scan 17".into(), ..Task::default() };
//! let spec = Arc::new(SubmissionSpec { entry: "gate-scan".into(), tasks: vec![task], ..SubmissionSpec::default() });
//! let submission = Submission { key: "order-17".into(), spec, deadline: Time::from_millis(900) };
//! records.submit(now, Tag(5), submission, Duration::from_secs(1));
//! let run = records.drain();
//! assert!(matches!(&run[0], Output::Run { key, tasks, .. } if key.as_str() == "order-17" && *tasks == (0..1)));
//! assert!(records.try_start(now, &"order-17".into(), TaskIndex(0)));
//! assert!(!records.try_start(now, &"order-17".into(), TaskIndex(0)));
//!
//! // The target answers.
//! let end = TaskEnd::Answered { status: 200, body: "let in".into() };
//! records.on_task_end(now, &"order-17".into(), TaskIndex(0), end);
//! let result = Arc::new(SubmissionEnd::Complete(vec![(200, "let in".into())]));
//! assert!(records.drain().contains(&Output::Reply { tag: Tag(5), reply: Reply::Ended(result) }));
//! ```

mod follower;
mod message;
mod output;
mod owner;
mod pending;
mod range_replica;
mod record;
mod relay;
mod settings;
mod takeover;

pub use message::{
    AssignedTask, Body, BodyDigest, OwnerReply, Page, RecordMessage, RecordRequest, RecordSnapshot, ReplicatedStep,
    Step, SubmissionEnd, SubmissionSpec, Task, TaskEnd,
};
pub use output::{Output, Reply, Tag};
pub use settings::Settings;

use crate::ownership::{Holder, Ownership, Peer, RangeId};
use indexmap::IndexMap;
use mangogw_model::{HostId, Key, TaskIndex, Time};
use output::Outbox;
use owner::Session;
use pending::PendingRequests;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use range_replica::RangeReplica;
use record::SlotState;
use relay::Relay;
use std::sync::Arc;
use std::time::Duration;
use takeover::{IncomingCopy, Takeover};

/// Number of lease renewals within one lease duration.
const RENEWALS_PER_LEASE: u32 = 4;
/// Generated keys that are tried to find one that this host owns.
const MAX_KEY_TRIES: u32 = 256;

/// A submission from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// The caller's idempotency key.
    pub key: Key,
    /// Entry and tasks of the submission.
    pub spec: Arc<SubmissionSpec>,
    /// Time at which the submission expires.
    pub deadline: Time,
}

/// Records of submissions on one host.
#[derive(Debug)]
pub struct Records {
    settings: Settings,
    me: Holder,
    table: Ownership,
    peers: IndexMap<HostId, Holder>,
    replicas: IndexMap<RangeId, RangeReplica>,
    takeovers: IndexMap<RangeId, Takeover>,
    incoming: IndexMap<RangeId, IncomingCopy>,
    requests: PendingRequests,
    sessions: IndexMap<HostId, Session>,
    relay: Relay,
    outbox: Outbox,
    rng: Pcg32,
    renewal: Time,
    sweep_cursor: usize,
    generated_keys: u64,
}

impl Records {
    /// Creates the records of a process that just started, without any range.
    pub fn open(settings: Settings, now: Time) -> Self {
        let me = Holder::new(settings.host, settings.incarnation);
        Self {
            me,
            rng: Pcg32::seed_from_u64(settings.seed),
            settings,
            table: Ownership::default(),
            peers: IndexMap::new(),
            replicas: IndexMap::new(),
            takeovers: IndexMap::new(),
            incoming: IndexMap::new(),
            requests: PendingRequests::default(),
            sessions: IndexMap::new(),
            relay: Relay::default(),
            outbox: Outbox::new(me),
            renewal: now,
            sweep_cursor: 0,
            generated_keys: 0,
        }
    }

    /// Installs an ownership table of the control group. Tables that are not newer than the current one are ignored.
    pub fn install_table(&mut self, now: Time, table: &Ownership) {
        if table.applied_index() > self.table.applied_index() {
            self.apply_table(now, table);
            self.advance_takeovers(now);
            self.handle_local(now);
        }
    }

    /// Updates the live hosts from the membership. Tasks assigned to an earlier incarnation of a host end as unknown.
    pub fn on_peers(&mut self, now: Time, peers: &[Peer]) {
        for peer in peers {
            let alive = peer.holder;
            let known = self.peers.entry(alive.host).or_insert(alive);
            if alive.incarnation < known.incarnation {
                continue;
            }
            *known = alive;
            for takeover in self.takeovers.values_mut() {
                takeover.on_alive(alive);
            }
            for (key, task, serial) in self.relay.orphans(alive) {
                self.on_orphaned(now, &key, task, serial);
            }
        }
        self.advance_takeovers(now);
        self.handle_local(now);
    }

    /// Submits a submission. The reply follows when it has ended; after `wait` the reply says that it is running.
    pub fn submit(&mut self, now: Time, tag: Tag, submission: Submission, wait: Duration) {
        self.request_submit(now, tag, submission, wait, false);
    }

    /// Submits a submission without a key and returns the generated key. If possible this host owns the key, and the
    /// zone serves it while it is isolated.
    pub fn submit_unkeyed(
        &mut self,
        now: Time,
        tag: Tag,
        spec: Arc<SubmissionSpec>,
        deadline: Time,
        wait: Duration,
    ) -> Key {
        let key = self.generate_key();
        self.request_submit(now, tag, Submission { key: key.clone(), spec, deadline }, wait, true);
        key
    }

    /// Requests the state of a submission. The reply follows when it has ended, or after `wait`.
    pub fn read(&mut self, now: Time, tag: Tag, key: Key, wait: Duration) {
        self.request(now, tag, key, RecordRequest::Read { wait }, Time::MAX);
    }

    /// Requests that no further task of a submission is started. The reply says how the submission ended.
    pub fn cancel(&mut self, now: Time, tag: Tag, key: Key) {
        self.request(now, tag, key, RecordRequest::Cancel, Time::MAX);
    }

    /// Handles a message of another host.
    pub fn on_message(&mut self, now: Time, from: HostId, message: RecordMessage) {
        let from = Holder::new(from, message.from);
        if message.to == self.me.incarnation {
            self.handle(now, from, message.body);
        } else {
            self.on_stale_message(from, message.to, &message.body);
        }
        self.handle_local(now);
    }

    /// Returns true if the task may be started now: at most once for a task, and only while this host may act for its
    /// owner. Call it last before the start leaves this host. After false the task must not be started; it is output
    /// again by [`Output::Run`] if it may still run.
    pub fn try_start(&mut self, now: Time, key: &Key, task: TaskIndex) -> bool {
        if self.relay.is_active(key, task) {
            return self.relay.start(now, key, task);
        }
        self.claim_start(now, key, task, SlotState::Started)
    }

    /// Assigns a task of an [`Output::Run`] to another host instead of starting it on this one; the task counts as
    /// started. Returns false if the task may not start now or the host is unknown; the task is then output again, as
    /// with [`Records::try_start`].
    pub fn assign(&mut self, now: Time, key: &Key, task: TaskIndex, to: HostId) -> bool {
        let assigned = self.assign_task(now, key, task, to);
        self.handle_local(now);
        assigned
    }

    /// Handles the end of a task that this host started, or abandoned before its start.
    ///
    /// After [`TaskEnd::NotStarted`] a task of an [`Output::Run`] may be placed again after another
    /// [`Records::try_start`]; a task of an [`Output::Place`] returns to its owner.
    pub fn on_task_end(&mut self, now: Time, key: &Key, task: TaskIndex, end: TaskEnd) {
        match self.relay.is_active(key, task) {
            true => self.relay.on_task_end(now, key, task, end),
            false if self.on_local_end(now, key, task, end.clone()) => {}
            false => self.relay.queue_end(now, key, task, None, end),
        }
        self.flush_ends(now);
        self.handle_local(now);
    }

    /// Renews leases, resends messages and expires requests. Call it every few milliseconds.
    pub fn on_tick(&mut self, now: Time) {
        if now >= self.renewal {
            self.renewal =
                now + self.settings.lease_duration.mul_f64(self.rng.random_range(0.9..1.0)) / RENEWALS_PER_LEASE;
            self.renew(now, None);
        }
        self.sweep(now);
        for at in 0..self.replicas.len() {
            let Some((id, _)) = self.replicas.get_index(at) else {
                break;
            };
            let id = *id;
            self.resume_range(now, id);
            self.check_timeouts(now, id);
        }
        self.advance_takeovers(now);
        self.requests.expire(now, &mut self.outbox);
        let Self { relay, table, outbox, settings, .. } = self;
        relay.tick(now, settings.retention, |key| owner(table, key), outbox);
        self.send_due_requests(now);
        self.handle_local(now);
    }

    /// Returns what the host has to do, in order, and clears it.
    pub fn drain(&mut self) -> Vec<Output> {
        self.outbox.drain()
    }

    /// Returns the owner of a key by the ownership table, if the epoch of its range is ready.
    pub fn owner(&self, key: &Key) -> Option<Holder> {
        owner(&self.table, key)
    }

    /// Returns the approximate size of the records on this host, in bytes.
    pub fn record_bytes(&self) -> usize {
        self.replicas.values().map(|replica| replica.bytes).sum()
    }

    /// Returns the number of records on this host, as owner and follower.
    pub fn record_count(&self) -> usize {
        self.replicas.values().map(|replica| replica.records.len()).sum()
    }

    /// Returns the number of callers' requests without a reply.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns true if this host may shut down: it holds no range, and the owners have acknowledged every task end it
    /// reported.
    ///
    /// Its ranges move away once it is `leaving` in the live hosts that [`Ownership::plan`] gets.
    pub fn can_shut_down(&self) -> bool {
        let holds = self.table.ranges().any(|(_, range)| range.includes(self.me));
        !holds && self.relay.unacked_count() == 0
    }

    fn request_submit(&mut self, now: Time, tag: Tag, submission: Submission, wait: Duration, first_attempt: bool) {
        let Submission { key, spec, deadline } = submission;
        let request = RecordRequest::Submit { spec, time_left: deadline - now, wait, first_attempt };
        self.request(now, tag, key, request, deadline);
    }

    fn request(&mut self, now: Time, tag: Tag, key: Key, request: RecordRequest, deadline: Time) {
        let owner = self.owner(&key);
        let request_id = self.requests.insert(now, tag, key, request, deadline, &self.settings);
        if let Some(owner) = owner {
            self.requests.send(now, request_id, owner, &mut self.outbox);
        }
        self.handle_local(now);
    }

    /// Evicts records past their retention, from one range for each call. Sealed ranges are kept for their new owner.
    fn sweep(&mut self, now: Time) {
        self.sweep_cursor = (self.sweep_cursor + 1) % self.replicas.len().max(1);
        if let Some((_, replica)) = self.replicas.get_index_mut(self.sweep_cursor)
            && replica.ready
            && replica.sealed <= replica.epoch
        {
            replica.sweep(now, &self.settings);
        }
    }

    /// Sends the callers' requests that are due.
    fn send_due_requests(&mut self, now: Time) {
        for (request_id, key) in self.requests.due(now) {
            if let Some(owner) = self.owner(&key) {
                self.requests.send(now, request_id, owner, &mut self.outbox);
            }
        }
    }

    fn generate_key(&mut self) -> Key {
        for _ in 1..MAX_KEY_TRIES {
            let key = self.next_key();
            if self.owner(&key) == Some(self.me) {
                return key;
            }
        }
        self.next_key()
    }

    fn next_key(&mut self) -> Key {
        self.generated_keys += 1;
        let Holder { host, incarnation } = self.me;
        format!("{}:{:x}-{:x}-{:x}", self.settings.zone, host.0, incarnation.0, self.generated_keys).into()
    }

    /// Handles messages from this host to itself until none is left.
    fn handle_local(&mut self, now: Time) {
        while let Some(body) = self.outbox.next_local() {
            self.handle(now, self.me, body);
        }
    }

    fn handle(&mut self, now: Time, from: Holder, body: Body) {
        match body {
            Body::Request { request_id, floor, key, request } => {
                self.on_request(now, from, request_id, floor, &key, request);
            }
            Body::Reply { request_id, reply } => {
                self.requests.on_reply(self.me, from, request_id, reply, &self.settings, &mut self.outbox);
            }
            Body::Step(change) => self.on_step(now, from, change),
            Body::StepAck { range, epoch, key, serial } => self.on_step_ack(now, from, range, epoch, &key, serial),
            Body::Renew { sent, ranges } => self.on_renew(now, from, sent, ranges),
            Body::RenewAck { sent, ranges } => self.on_renewed(now, from, sent, ranges),
            Body::Seal { range, epoch, cursor } => self.on_seal(now, from, range, epoch, cursor),
            Body::Sync { range, epoch, holders, page } => self.on_sync(now, from, range, epoch, &holders, page),
            Body::SealReply { range, epoch, page } => self.with_takeover(now, range, epoch, |takeover, replica| {
                takeover.on_page(now, from, page, replica);
            }),
            Body::RecordsLost { range, epoch, incarnation } => self.with_takeover(now, range, epoch, |takeover, _| {
                takeover.on_records_lost(Holder::new(from.host, incarnation));
            }),
            Body::SyncAck { range, epoch, next } => self.with_takeover(now, range, epoch, |takeover, _| {
                takeover.on_sync_ack(from, next);
            }),
            Body::Assign { serial, floor, task: assigned } => {
                self.relay.on_assign(now, from, serial, floor, assigned, &mut self.outbox);
            }
            Body::AssignAck { serial } => self.relay.on_assign_ack(from, serial),
            Body::ReportEnd { key, task, assignment, end } => {
                self.on_reported_end(now, from, &key, task, assignment, end);
            }
            Body::ReportAck { key, task, assignment, floor } => {
                self.relay.on_report_ack(&key, task, assignment);
                self.relay.raise_floor(from, floor);
            }
        }
    }

    /// Applies `change` to the takeover of this epoch, then advances the takeover.
    fn with_takeover(
        &mut self,
        now: Time,
        id: RangeId,
        epoch: u64,
        change: impl FnOnce(&mut Takeover, &mut Option<RangeReplica>),
    ) {
        let mut replica = self.replicas.swap_remove(&id);
        if let Some(takeover) = self.takeovers.get_mut(&id).filter(|takeover| takeover.epoch == epoch) {
            change(takeover, &mut replica);
            takeover.tick(now, self.me, id, &mut replica, &self.settings, &mut self.outbox);
        }
        if let Some(replica) = replica {
            self.replicas.insert(id, replica);
        }
    }

    fn advance_takeovers(&mut self, now: Time) {
        let due: Vec<(RangeId, u64)> = self.takeovers.iter().map(|(id, takeover)| (*id, takeover.epoch)).collect();
        for (id, epoch) in due {
            self.with_takeover(now, id, epoch, |_, _| {});
        }
    }

    fn flush_ends(&mut self, now: Time) {
        let Self { relay, table, outbox, .. } = self;
        relay.flush(now, |key| owner(table, key), outbox);
    }

    /// Ends a task as unknown whose assigned host has restarted.
    fn on_orphaned(&mut self, now: Time, key: &Key, task: TaskIndex, serial: u64) {
        let end = TaskEnd::Unknown(mangogw_model::Code::PeerLost);
        self.on_reported_end(now, self.me, key, task, Some((self.me, serial)), end);
        self.relay.remove_sent(serial);
    }
}

/// Returns the owner of a key, if the epoch of its range is ready.
fn owner(table: &Ownership, key: &Key) -> Option<Holder> {
    let range = table.range(table.locate(key)?).filter(|range| range.ready)?;
    range.owner()
}
