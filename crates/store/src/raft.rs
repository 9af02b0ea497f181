//! [`Raft`], one member of the group as a state machine: its state, its inputs and the queue of its outputs.
//!
//! Each submodule holds the methods of [`Raft`] for one part of the protocol.

mod commit;
mod election;
mod membership;
mod read;
mod replicate;
mod snapshot;
mod status;
mod sync_queue;
mod transfer;

pub use status::{PeerStatus, Status};

use crate::log::Log;
use crate::progress::Progress;
use crate::{
    Body, DurableState, FolderId, GroupId, HardState, Index, LogEntry, LogId, Members, Message, Op, Output, Payload,
    Refusal, Role, Settings, Snapshot, Tag, Term, Write, WriteId,
};
use bytes::Bytes;
use election::IN_LEASE;
use mangogw_model::{HostId, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use read::ReadQueue;
use snapshot::IncomingSnapshot;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use sync_queue::SyncQueue;

/// One member of the group, without I/O.
///
/// The methods that take `now` are the inputs. After one or several of them, call [`Raft::drain`] and carry out the
/// outputs in order; the crate root shows a complete loop.
#[derive(Debug)]
pub struct Raft {
    settings: Settings,
    rng: Pcg64Mcg,
    host: HostId,
    folder_id: FolderId,
    now: Time,

    group: GroupId,
    term: Term,
    vote: Option<HostId>,
    log: Log,
    snapshot: Option<Snapshot>,
    /// Members as of each log entry that changed them; the last element is the membership in force.
    membership_history: Vec<(Index, Members)>,
    commit: Index,
    applied: Index,

    role: Role,
    leader: Option<HostId>,
    /// Time of the last message from the leader.
    leader_contact: Time,
    /// Time at which a follower or candidate starts its next campaign.
    election_deadline: Time,
    /// Voters that granted the current vote or pre-vote.
    granted: BTreeSet<HostId>,
    /// Voters that refused it.
    refused: BTreeSet<HostId>,
    failed_elections: election::FailedElections,

    progress: BTreeMap<HostId, Progress>,
    /// Time of a leader's next heartbeats to voters.
    heartbeat_due: Time,
    /// Time of a leader's next heartbeats to learners.
    learner_due: Time,
    /// Index of the first entry that this leader appended in its term.
    term_start: Index,
    /// Index of the last entry that is synced in this host's own log.
    synced_index: Index,
    /// Tags of proposals and changes that are not committed yet, by entry.
    tags: VecDeque<(Index, Tag)>,
    /// Size in bytes of each entry that is proposed but not committed yet.
    pending: VecDeque<(Index, usize)>,
    pending_bytes: usize,
    pending_transfer: Option<transfer::Transfer>,
    reads: ReadQueue,
    incoming_snapshot: Option<IncomingSnapshot>,
    compacting: bool,
    /// Bytes of entries applied since the last snapshot.
    applied_bytes: usize,

    sync_queue: SyncQueue,
    ops: Vec<Op>,
    state_dirty: bool,
    saved_commit: Index,
    outputs: Vec<Output>,
    /// Role, term and leader in the last [`Output::Role`].
    reported_role: Option<(Role, Term, Option<HostId>)>,
    foreign_messages: u64,
    /// Ids of hosts with a replaced data folder that have been logged; each is logged once.
    warned_hosts: BTreeSet<HostId>,
}

impl Raft {
    /// Opens a member from its durable state. The first drain restores the applied state.
    ///
    /// ```
    /// use mangogw_model::{HostId, Time};
    /// use mangogw_store::{DurableState, FolderId, Output, Raft, Settings};
    ///
    /// let mut raft = Raft::open(Settings::default(), DurableState::joining(HostId(4), FolderId(1)), Time::ZERO);
    /// assert!(raft.drain().iter().all(|output| matches!(output, Output::Role { .. })));
    /// ```
    pub fn open(settings: Settings, stored: DurableState, now: Time) -> Self {
        let base = stored.base();
        let mut membership_history = vec![(base.index, stored.members())];
        membership_history.extend(stored.entries.iter().filter_map(members_of));
        let log = Log::new(base, stored.entries);
        let commit = stored.hard_state.commit.clamp(base.index, log.last().index);
        let mut raft = Self {
            rng: Pcg64Mcg::seed_from_u64(settings.seed ^ stored.folder_id.0),
            settings,
            host: stored.host,
            folder_id: stored.folder_id,
            now,
            group: stored.hard_state.group,
            term: stored.hard_state.term,
            vote: stored.hard_state.vote,
            synced_index: log.last().index,
            log,
            membership_history,
            commit,
            applied: base.index,
            role: Role::Follower,
            leader: None,
            leader_contact: now,
            election_deadline: now,
            granted: BTreeSet::new(),
            refused: BTreeSet::new(),
            failed_elections: election::FailedElections::default(),
            progress: BTreeMap::new(),
            heartbeat_due: now,
            learner_due: now,
            term_start: Index(0),
            tags: VecDeque::new(),
            pending: VecDeque::new(),
            pending_bytes: 0,
            pending_transfer: None,
            reads: ReadQueue::default(),
            incoming_snapshot: None,
            compacting: false,
            applied_bytes: 0,
            sync_queue: SyncQueue::default(),
            ops: Vec::new(),
            state_dirty: false,
            saved_commit: commit,
            outputs: Vec::new(),
            reported_role: None,
            foreign_messages: 0,
            warned_hosts: BTreeSet::new(),
            snapshot: stored.snapshot,
        };
        raft.outputs.extend(raft.snapshot.clone().map(Output::Restore));
        raft.apply();
        raft.report_role();
        raft.reset_election_deadline();
        if raft.members().voters.len() == 1 {
            raft.election_deadline = now;
        }
        raft
    }

    /// Handles a message from another host.
    pub fn on_message(&mut self, now: Time, from: HostId, message: Message) {
        self.advance(now);
        if !self.admit_message(from, &message) {
            if matches!(message.body, Body::PreVote { .. } | Body::Vote { .. }) {
                let failed = self.role == Role::Failed;
                let reason = if failed { "this host has failed" } else { "the sender is not admitted" };
                self.log_refusal(from, message.term, reason);
            }
            return;
        }
        let Message { term, body, group, .. } = message;
        // Before the check of the term, since a refusal may come from another term.
        self.count_refusal(from, &body);
        match body {
            Body::PreVote { last } => return self.on_pre_vote(from, term, last),
            Body::PreVoteAnswer { granted: true } => return self.on_pre_vote_granted(from, term),
            Body::Vote { transfer: false, .. } if self.in_lease() => return self.log_refusal(from, term, IN_LEASE),
            _ => {}
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        if term < self.term {
            return self.on_stale_message(from, &body);
        }
        match body {
            Body::Vote { last, .. } => self.on_vote(from, last),
            Body::VoteAnswer { granted } => self.on_vote_answer(from, granted),
            Body::Append { prev, commit, entries } => {
                self.follow(from, group);
                self.on_append(from, prev, commit, entries);
            }
            Body::Heartbeat { commit, round } => {
                self.follow(from, group);
                self.on_heartbeat(from, commit, round);
            }
            Body::Commit { commit } => {
                self.follow(from, group);
                self.commit_to(commit);
            }
            Body::Chunk { meta, offset, data } => {
                self.follow(from, group);
                self.on_chunk(from, meta, offset, &data);
            }
            Body::TimeoutNow => self.on_timeout_now(from),
            Body::Matched { index } => self.on_matched(from, index),
            Body::Rejected { prev, hint } => self.on_rejected(from, prev, hint),
            Body::HeartbeatAnswer { round } => self.on_heartbeat_answer(from, round),
            Body::ChunkAnswer { id, offset } => self.on_chunk_answer(from, id, offset),
            Body::PreVote { .. } | Body::PreVoteAnswer { .. } => {}
        }
    }

    /// Advances the clock and runs what is due. Call it every 10 to 20 ms.
    pub fn on_tick(&mut self, now: Time) {
        self.advance(now);
        match self.role {
            Role::Failed => {}
            Role::Leader => self.tick_leader(),
            _ if self.may_vote() && self.now >= self.election_deadline => self.start_pre_vote(),
            _ if !self.may_vote() && self.misses_leader() => self.forget_leader(),
            _ => {}
        }
    }

    /// Reports that the write `id` and all writes before it are synced.
    pub fn on_synced(&mut self, now: Time, id: WriteId) {
        self.advance(now);
        if self.role == Role::Failed {
            return;
        }
        for action in self.sync_queue.release(id) {
            self.run_deferred(action);
        }
    }

    /// Reports that a write failed and that no later write will succeed: this host steps down and takes no part. Nothing
    /// that waited for the write is ever acknowledged. To take part again, replace this value by one that is opened from
    /// the state that [`Folder::reopen`](crate::Folder::reopen) returns.
    pub fn on_failed(&mut self, now: Time) {
        self.advance(now);
        self.fail("writing to the data folder failed");
    }

    /// Proposes a command. The answer is an [`Output::Apply`] with `tag`, or an [`Output::Refused`].
    pub fn propose(&mut self, now: Time, command: Bytes, tag: Tag) {
        self.advance(now);
        match self.role {
            Role::Leader if self.pending_transfer.is_some() => self.refuse(tag, Refusal::Transferring),
            Role::Leader if self.pending_bytes >= self.settings.pending_bytes => self.refuse(tag, Refusal::Busy),
            Role::Leader if self.disk_is_behind() => self.refuse(tag, Refusal::Busy),
            Role::Leader => self.append_as_leader(Payload::Command(command), Some(tag)),
            _ => self.refuse_role(tag),
        }
    }

    /// Returns the outputs since the last drain. All proposals between two drains are sent and synced together.
    pub fn drain(&mut self) -> Vec<Output> {
        if self.role == Role::Leader {
            self.flush_reads();
            self.flush();
        }
        self.flush_write();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the members as of the last entry of the log, committed or not.
    pub fn members(&self) -> &Members {
        &self.membership_history.last().expect("the membership history always holds the members as of the log's base").1
    }

    /// Returns true if the unsynced bytes have reached `pending_bytes`.
    fn disk_is_behind(&self) -> bool {
        self.sync_queue.unsynced_bytes() >= self.settings.pending_bytes
    }

    fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// Returns true if the message is for this host, from this group and, if it is an answer, from the data folder that the group
    /// knows. Messages of a leader or candidate are checked by term only: this host's own members may be out of date.
    fn admit_message(&mut self, from: HostId, message: &Message) -> bool {
        let foreign = self.group != GroupId(0) && message.group != GroupId(0) && self.group != message.group;
        let ungrouped = self.group == GroupId(0) && message.group == GroupId(0);
        let known = self.members().folder_id(from);
        let replaced = message.body.is_answer() && known.is_some_and(|folder_id| folder_id != message.folder_id);
        let meant = message.to == self.host;
        if !meant && self.warned_hosts.insert(message.to) {
            log::info!(
                from = from.0, meant = message.to.0, host = self.host.0;
                "store: dropped a message for another id at this address, whose data folder was replaced"
            );
        }
        let admitted = self.role != Role::Failed && meant && !foreign && !ungrouped && !replaced;
        if replaced && self.warned_hosts.insert(from) {
            log::warn!(
                from = from.0;
                "store: dropped a message from a host whose data folder was replaced; add the host under a new id"
            );
        }
        if !admitted {
            self.foreign_messages += 1;
        }
        admitted
    }

    fn send(&mut self, to: HostId, body: Body) {
        self.send_as(to, self.term, body);
    }

    fn send_as(&mut self, to: HostId, term: Term, body: Body) {
        let message = Message { group: self.group, folder_id: self.folder_id, to, term, body };
        self.outputs.push(Output::Send { to, message });
    }

    fn flush_write(&mut self) {
        if self.ops.is_empty() && !self.state_dirty {
            return;
        }
        let mut ops = std::mem::take(&mut self.ops);
        if self.state_dirty || self.commit > self.saved_commit {
            let state = HardState { group: self.group, term: self.term, vote: self.vote, commit: self.commit };
            // Written last, so that the stored commit index never exceeds the stored log.
            ops.push(Op::State(state));
            self.saved_commit = self.commit;
            self.state_dirty = false;
        }
        // Snapshots don't count: their size is bounded by the applied state, and each covers a long range of entries.
        let bytes = ops.iter().filter(|op| matches!(op, Op::Append(_))).map(Op::size).sum();
        self.outputs.push(Output::Write(Write { id: self.sync_queue.issue(bytes), ops }));
    }

    /// Logs `reason` as an error and enters [`Role::Failed`], in which this host takes no part in the group.
    fn fail(&mut self, reason: &str) {
        log::error!(
            host = self.host.0, term = self.term.0;
            "store: {reason}; this host takes no part in the group until its data folder is opened again"
        );
        self.role = Role::Failed;
        self.leader = None;
        self.refuse_all(Refusal::Failed);
        self.sync_queue = SyncQueue::default();
        self.ops.clear();
        self.state_dirty = false;
        self.progress.clear();
        self.incoming_snapshot = None;
        self.report_role();
    }

    fn report_role(&mut self) {
        let state = (self.role, self.term, self.leader);
        if self.reported_role.replace(state) != Some(state) {
            self.outputs.push(Output::Role { role: self.role, term: self.term, leader: self.leader });
        }
    }

    fn refuse(&mut self, tag: Tag, why: Refusal) {
        self.outputs.push(Output::Refused { tag, why, leader: self.leader });
    }

    fn refuse_role(&mut self, tag: Tag) {
        let why = if self.role == Role::Failed { Refusal::Failed } else { Refusal::NotLeader };
        self.refuse(tag, why);
    }

    /// Refuses all waiting proposals, changes and reads, because this host no longer leads.
    fn refuse_all(&mut self, why: Refusal) {
        let tags: Vec<_> = self.tags.drain(..).map(|(_, tag)| tag).collect();
        for tag in tags {
            self.refuse(tag, why);
        }
        for tag in self.reads.clear() {
            self.refuse(tag, Refusal::NotLeader);
        }
        self.pending.clear();
        self.pending_bytes = 0;
        self.pending_transfer = None;
    }
}

/// Returns the index and the members if `entry` changes the membership.
fn members_of(entry: &LogEntry) -> Option<(Index, Members)> {
    match &entry.payload {
        Payload::Members(members) => Some((entry.id.index, members.clone())),
        _ => None,
    }
}

/// Returns the highest value that a quorum of voters has reached; `values` holds one value for each voter.
fn quorum_value<T: Ord + Copy>(mut values: Vec<T>, quorum: usize) -> Option<T> {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(quorum - 1).copied()
}

impl Raft {
    fn random_timeout(&mut self) -> std::time::Duration {
        let shortest = self.settings.election.as_micros() as u64;
        std::time::Duration::from_micros(self.rng.random_range(shortest..2 * shortest))
    }

    fn last_id(&self) -> LogId {
        self.log.last()
    }
}
