//! A member of the control group: the replicated log, the ledger built from it and, on the leader, the board.

mod entries;
mod expiring;
mod isolated;
mod membership_log;

use crate::membership::Membership;
use crate::{Call, HostInfo, HostMetrics, Message, Reply, Settings};
use expiring::ExpiringRuns;
use indexmap::IndexMap;
use mangogw_jobs::Order;
use mangogw_jobs::{
    Board, Command, Counts, EndRecord, JobId, Ledger, Outcome, Phase, StoredJob, Submission, TargetKey, TargetState,
};
use mangogw_model::{HostId, Time, Zone};
use mangogw_store::{DurableState, Index, MembershipChange, Raft, Role, Status, Tag, Write, WriteId};
use membership_log::MembershipLog;
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval at which the leader removes stored jobs whose retention time is over.
const EXPIRE_PERIOD: Duration = Duration::from_secs(5);
/// Time after which a client refused by a busy or changing leader may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time that a read of a running job waits for the job's end. Clients read just after the last task has ended, but its
/// end is known only after a commit of 15 to 25 ms, and they read again only 250 ms later.
const READ_WAIT: Duration = Duration::from_millis(100);
/// Interval of a leader's heartbeats to learners. Learners name the leader to callers too, so they must miss it about
/// as soon as voters do.
const LEARNER_HEARTBEAT: Duration = Duration::from_millis(250);
/// Time after which an unfinished leadership transfer is started again.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(600);

/// Identifies a call: the host that sent it and that host's serial number for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct CallId {
    pub(crate) host: HostId,
    pub(crate) serial: u64,
}

/// What this member knows of a host that has asked for the leader.
#[derive(Debug)]
struct KnownHost {
    incarnation: u64,
    /// Time of its last query.
    heard: Time,
}

/// A call received by a new leader before its board was open.
#[derive(Debug)]
struct EarlyCall {
    call_id: CallId,
    call: Call,
    /// The call has not been sent before to any host that may have led.
    first_attempt: bool,
}

/// An operation that waits for the replicated log.
#[derive(Debug)]
enum PendingOp {
    /// A linearizable read.
    Read(CallId, Call),
    /// A command whose sender waits for the reply.
    Change(CallId, Command),
    /// A change of the members.
    Members(MembershipChange),
    /// Ended runs that a target has listed.
    Ends { target: TargetKey, numbers: Vec<u64>, records: Vec<EndRecord> },
    /// A command whose result nobody waits for.
    Nothing,
}

/// An action that a member asks its host to perform.
#[derive(Debug)]
pub(crate) enum MemberOutput {
    Send(HostId, Message),
    Write(Write),
    Order(Order),
    Answer(CallId, Reply),
    /// The stored state can't be decoded, so the process must end.
    CorruptState,
}

/// A member of the control group: its log, ledger and, while it leads, its board.
#[derive(Debug)]
pub(crate) struct Member {
    settings: Settings,
    pub(crate) raft: Raft,
    pub(crate) ledger: Ledger,
    pub(crate) board: Option<Board>,
    /// Sum of the counts of earlier boards.
    counts: Counts,
    /// True if the board is that of an isolated zone.
    isolated: bool,
    /// Tokens of the isolated leaders that this member has superseded, by zone. Hosts that have used different leaders of a
    /// zone name different ones.
    superseded: IndexMap<Zone, BTreeSet<u64>>,
    /// Index of the last applied log entry.
    applied: Index,
    pending: IndexMap<Tag, PendingOp>,
    serial: u64,
    /// Open calls by the number under which the board replies.
    by_reply_to: IndexMap<u64, CallId>,
    by_call_id: IndexMap<CallId, u64>,
    /// Hosts that have asked for the leader.
    hosts: IndexMap<HostId, KnownHost>,
    /// Runs of ended leaderships of this member, whose leases may not be over.
    expiring: ExpiringRuns,
    /// Calls received before the board was open.
    early_calls: Vec<EarlyCall>,
    /// Commands that the log refused for now; they are proposed again at the next tick.
    retries: Vec<PendingOp>,
    /// Reads that wait for the end of a job, each with its deadline.
    waiting_reads: Vec<(CallId, JobId, Time)>,
    membership: Membership,
    membership_log: MembershipLog,
    /// Number of changes of the members that were applied since the start.
    membership_changes: u64,
    /// Failed elections of the logs before the last reopening of the data folder.
    failed_elections: u64,
    last_expiry: Time,
    handover_started: Option<Time>,
    outputs: Vec<MemberOutput>,
}

impl Member {
    pub(crate) fn open(settings: Settings, stored: DurableState, now: Time) -> Self {
        // The default minimum election timeout of 400 ms stays: with 300 ms, busy leaders of 350 targets lost their
        // leadership twice in 10 s.
        let raft_settings = mangogw_store::Settings {
            seed: settings.seed,
            learner_heartbeat: LEARNER_HEARTBEAT,
            ..mangogw_store::Settings::default()
        };
        let mut member = Self {
            raft: Raft::open(raft_settings, stored, now),
            ledger: Ledger::default(),
            board: None,
            counts: Counts::default(),
            isolated: false,
            superseded: IndexMap::new(),
            applied: Index(0),
            pending: IndexMap::new(),
            serial: settings.seed << 24,
            by_reply_to: IndexMap::new(),
            by_call_id: IndexMap::new(),
            hosts: IndexMap::new(),
            expiring: ExpiringRuns::default(),
            early_calls: Vec::new(),
            retries: Vec::new(),
            waiting_reads: Vec::new(),
            membership: Membership::new(settings.voters, now),
            membership_log: MembershipLog::default(),
            membership_changes: 0,
            failed_elections: 0,
            last_expiry: now,
            handover_started: None,
            outputs: Vec::new(),
            settings,
        };
        member.process_outputs(now);
        // The entries that the disk held are no changes of this run.
        member.membership_changes = 0;
        member
    }

    pub(crate) fn status(&self) -> Status {
        self.raft.status()
    }

    /// Returns true if this member leads the whole group.
    pub(crate) const fn is_leader(&self) -> bool {
        self.board.is_some() && !self.isolated
    }

    /// Fills the fields of `metrics` that describe the member and its board.
    pub(crate) fn fill_metrics(&self, metrics: &mut HostMetrics) {
        let (jobs, waiting) = self.board.as_ref().map_or((0, 0), Board::job_counts);
        let status = self.raft.status();
        *metrics = HostMetrics {
            is_leader: self.is_leader(),
            isolated: self.isolated,
            term: self.raft.term().0,
            version: self.ledger.queue_version().0,
            voters: status.members.voters.len(),
            max_voters: self.settings.voters,
            learners: status.members.learners.len(),
            is_voter: status.members.voters.get(&status.host) == Some(&status.folder_id),
            leader_known: status.leader.is_some(),
            membership_changes: self.membership_changes,
            failed_elections: self.failed_elections + self.raft.failed_elections(),
            stored: self.ledger.jobs.len(),
            evacuations: self.ledger.evacuations.clone(),
            targets: self.target_count(),
            confirmed: self.board.as_ref().map_or(0, Board::confirmed),
            jobs,
            waiting,
            counts: self.board.as_ref().map_or(self.counts, |board| self.counts + board.counts()),
            ready: metrics.ready,
            calls: metrics.calls,
            held: metrics.held,
            calls_refused: metrics.calls_refused,
            calls_unclear: metrics.calls_unclear,
            seen_evacuations: metrics.seen_evacuations,
        };
    }

    /// Closes the board of the group or of an isolated zone and forgets its open calls. The runs for their clients go on
    /// until their leases end, unless their hosts are lost before.
    fn close_board(&mut self, now: Time) {
        if let Some(board) = self.board.take() {
            self.counts = self.counts + board.counts();
            self.expire_runs(now, &board);
        }
        self.isolated = false;
        self.by_reply_to.clear();
        self.by_call_id.clear();
    }

    /// Returns the number of targets on the board, 0 without a board.
    fn target_count(&self) -> usize {
        self.board.as_ref().map_or(0, Board::target_count)
    }

    /// Returns the number of targets that the orders of this member may be for: without a board, those of the ended one.
    pub(crate) fn ordered_targets(&self) -> usize {
        self.board.as_ref().map_or(self.ledger.targets.len(), Board::target_count)
    }

    pub(crate) fn drain(&mut self, now: Time) -> Vec<MemberOutput> {
        self.process_outputs(now);
        std::mem::take(&mut self.outputs)
    }

    pub(crate) fn on_raft(&mut self, now: Time, from: HostId, message: mangogw_store::Message) {
        self.raft.on_message(now, from, message);
    }

    pub(crate) fn on_join(&mut self, now: Time, host: HostId, folder_id: mangogw_store::FolderId) {
        if self.is_leader() {
            self.membership_log.log_join(now, host, folder_id, self.raft.members());
            self.membership.on_join(now, host, folder_id);
        }
    }

    pub(crate) fn on_synced(&mut self, now: Time, id: WriteId) {
        self.raft.on_synced(now, id);
    }

    pub(crate) fn on_failed(&mut self, now: Time) {
        self.raft.on_failed(now);
    }

    /// Replaces the log and the ledger by those that the disk holds, after a failed write has ended the old ones.
    pub(crate) fn on_reopened(&mut self, now: Time, stored: DurableState) {
        let status = self.raft.status();
        if (stored.host, stored.folder_id) != (status.host, status.folder_id) {
            log::error!(
                host = status.host.0, found = stored.host.0;
                "member: the data folder belongs to another host; this host stays out of the control group"
            );
            return;
        }
        // Closes the board of the group and refuses the calls that wait for the log.
        self.process_outputs(now);
        self.failed_elections += self.raft.failed_elections();
        let Self { raft, ledger, applied, membership, membership_log, outputs, .. } =
            Self::open(self.settings.clone(), stored, now);
        (self.raft, self.ledger, self.applied, self.membership) = (raft, ledger, applied, membership);
        self.membership_log = membership_log;
        (self.last_expiry, self.handover_started) = (now, None);
        self.outputs.extend(outputs);
    }

    pub(crate) fn on_outcome(&mut self, now: Time, order: &Order, sent: Time, outcome: Outcome) {
        match self.board.as_mut().filter(|board| board.token() == order.token) {
            Some(board) => board.on_outcome(now, order, sent, outcome),
            None => self.expiring.on_outcome(now, order, &outcome),
        }
    }

    pub(crate) fn on_tick(&mut self, now: Time) {
        self.raft.on_tick(now);
        self.process_outputs(now);
        self.outputs.extend(self.expiring.due(now).into_iter().map(MemberOutput::Order));
        let Some(board) = &mut self.board else { return };
        board.on_tick(now);
        if self.isolated {
            return self.process_outputs(now);
        }
        if board.is_fenced() {
            log::warn!("member: a target has accepted a later leader; handing over leadership");
            self.end_term(now);
        }
        if let Some(change) = self.membership.due_change(now, &self.raft) {
            let tag = self.tag();
            self.membership_log.log_change(now, change, self.raft.members());
            self.pending.insert(tag, PendingOp::Members(change));
            self.raft.change_membership(now, change, tag);
        }
        if now - self.last_expiry >= EXPIRE_PERIOD {
            self.last_expiry = now;
            self.expire(now);
        }
        self.answer_reads(|_, until| now >= until);
        for pending in std::mem::take(&mut self.retries) {
            self.propose_pending(now, pending);
        }
        self.process_outputs(now);
    }

    /// Answers waiting reads for whose job and deadline `due` returns true.
    fn answer_reads(&mut self, due: impl Fn(JobId, Time) -> bool) {
        let pending = std::mem::take(&mut self.waiting_reads);
        let (ready, rest): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(_, id, until)| due(*id, *until));
        self.waiting_reads = rest;
        for (call_id, id, _) in ready {
            let reply = self.phase(id).map_or(Reply::NoJob, Reply::State);
            self.answer(call_id, reply);
        }
    }

    /// Proposes to remove stored jobs that ended before the retention time.
    fn expire(&mut self, now: Time) {
        let retention = self.settings.jobs.job_retention.as_millis() as u64;
        let before = self.unix_millis(now).saturating_sub(retention);
        let old = |stored_job: &StoredJob| stored_job.ended.is_some_and(|(_, at)| at < before);
        if self.ledger.jobs.values().any(old) {
            self.propose(now, &Command::Expire(before), PendingOp::Nothing);
        }
    }

    /// Ends the term of this leader, whose token others have passed: leadership goes to another voter, or to this host in the
    /// next term if it is the only one.
    pub(crate) fn end_term(&mut self, now: Time) {
        match self.raft.members().voters.len() {
            1 => self.raft.resign(now),
            _ => self.step_down(now),
        }
    }

    /// Transfers leadership to the live voter with the most replicated log, if there is one.
    pub(crate) fn step_down(&mut self, now: Time) {
        if self.handover_started.is_some_and(|at| now - at < HANDOVER_TIMEOUT) {
            return;
        }
        let status = self.raft.status();
        let best = status
            .peers
            .iter()
            .filter(|peer| peer.alive && status.members.is_voter(peer.host))
            .max_by_key(|peer| peer.matched);
        if let Some(best) = best.filter(|_| status.role == Role::Leader) {
            self.handover_started = Some(now);
            let tag = self.tag();
            self.raft.transfer(now, best.host, tag);
        }
    }

    /// Handles a call, or holds it until the board is open. Returns false if this member does not lead.
    pub(crate) fn on_call(&mut self, now: Time, call_id: CallId, call: Call, first_attempt: bool) -> bool {
        match (&self.board, self.raft.role()) {
            (Some(_), _) => self.handle_call(now, call_id, call, first_attempt),
            (None, Role::Leader) => self.early_calls.push(EarlyCall { call_id, call, first_attempt }),
            _ => return false,
        }
        self.process_outputs(now);
        true
    }

    /// Drops a call whose client has disconnected.
    pub(crate) fn on_disconnected(&mut self, now: Time, call_id: CallId) {
        self.early_calls.retain(|early| early.call_id != call_id);
        self.expiring.on_disconnected(now, call_id);
        if let (Some(reply_to), Some(board)) = (self.by_call_id.swap_remove(&call_id), &mut self.board) {
            self.by_reply_to.swap_remove(&reply_to);
            board.on_disconnected(now, reply_to);
        }
        self.process_outputs(now);
    }

    /// Ends a call earlier than its client asked for.
    pub(crate) fn on_deadline(&mut self, now: Time, call_id: CallId, left: Duration) {
        for early in self.early_calls.iter_mut().filter(|early| early.call_id == call_id) {
            if let Call::Submit { timeout, .. } = &mut early.call {
                *timeout = Some(timeout.map_or(left, |timeout| timeout.min(left)));
            }
        }
        if let (Some(reply_to), Some(board)) = (self.by_call_id.get(&call_id), &mut self.board) {
            board.shorten(*reply_to, now + left);
        }
    }

    /// Records the leader query of a host, and drops the calls of its earlier incarnation.
    pub(crate) fn on_host_info(&mut self, now: Time, host: HostId, info: &HostInfo) {
        if self.hosts.get(&host).is_some_and(|known| known.incarnation != info.incarnation) {
            log::info!(host = host.0; "member: host has started again");
            self.on_host_lost(now, host);
        }
        self.hosts.insert(host, KnownHost { incarnation: info.incarnation, heard: now });
    }

    /// Forgets a lost host and drops all its calls.
    pub(crate) fn on_host_lost(&mut self, now: Time, host: HostId) {
        self.hosts.swap_remove(&host);
        self.expiring.on_host_lost(now, host);
        let call_ids: Vec<CallId> = self.by_call_id.keys().copied().filter(|call_id| call_id.host == host).collect();
        if !call_ids.is_empty() {
            log::info!(host = host.0, calls = call_ids.len(); "member: host lost, its calls are dropped");
        }
        self.early_calls.retain(|early| early.call_id.host != host);
        self.waiting_reads.retain(|(call_id, ..)| call_id.host != host);
        for call_id in call_ids {
            self.on_disconnected(now, call_id);
        }
    }

    /// Returns the serials of a host's calls that are not open on this member.
    pub(crate) fn unknown_calls(&self, host: HostId, serials: &[u64]) -> Vec<u64> {
        // If the call were sent again before its queued answer arrives, a refusal would end as unclear.
        let answers = |output: &MemberOutput, call_id| matches!(output, MemberOutput::Answer(to, _) if *to == call_id);
        let is_open = |call_id: CallId| {
            self.by_call_id.contains_key(&call_id)
                || self.early_calls.iter().any(|early| early.call_id == call_id)
                || self.outputs.iter().any(|output| answers(output, call_id))
                || self.waiting_reads.iter().any(|(other, ..)| *other == call_id)
                || self.pending.values().chain(&self.retries).any(|pending| pending.call_id() == Some(call_id))
        };
        serials.iter().copied().filter(|serial| !is_open(CallId { host, serial: *serial })).collect()
    }

    fn handle_call(&mut self, now: Time, call_id: CallId, call: Call, first_attempt: bool) {
        let now_ms = self.unix_millis(now);
        let Some(board) = &mut self.board else { return };
        match call {
            call if self.isolated && !is_transient(&call) => self.answer(call_id, refusal("this zone is cut off")),
            Call::Submit { host, path, id, spec, timeout } => match board.find_queue(&host, &path).cloned() {
                None if !board.has_queues() => self.answer(call_id, no_queues()),
                None => self.answer(call_id, Reply::NoQueue),
                Some(queue) if spec.transient => {
                    let reply_to = self.register_call(call_id);
                    let deadline = timeout.map(|timeout| now + timeout);
                    let submission = Submission { id, spec, deadline, reply_to, first_attempt };
                    if let Some(board) = &mut self.board {
                        board.admit(now, submission, &queue);
                    }
                }
                Some(queue) => {
                    let (queue, attempts) = (queue.name, queue.attempts);
                    let command = Command::StoreJob { id, spec, queue, attempts, accepted_ms: now_ms };
                    self.propose(now, &command, PendingOp::Change(call_id, command.clone()));
                }
            },
            Call::Read { host, path, .. } | Call::Cancel { host, path, .. } | Call::Count { host, path }
                if board.has_queues() && board.find_queue(&host, &path).is_none() =>
            {
                self.answer(call_id, Reply::NoQueue);
            }
            Call::Cancel { id, .. } => {
                let command = Command::Cancel { id, canceled_ms: now_ms };
                self.propose(now, &command, PendingOp::Change(call_id, command.clone()));
            }
            Call::Install(set) => {
                let command = Command::Install(set);
                self.propose(now, &command, PendingOp::Change(call_id, command.clone()));
            }
            Call::Report(report) => match self.ledger.targets.get(&report.id) {
                Some(known)
                    if known.incarnation == report.incarnation
                        && !known.differs_beyond_sequence(&report)
                        && !self.ledger.absent_targets.contains(&report.id) =>
                {
                    board.on_report(now, &report);
                    self.answer(call_id, Reply::Done);
                }
                Some(known) if known.incarnation > report.incarnation => self.answer(call_id, Reply::Done),
                Some(known) if known.state == TargetState::Left && !report.supersedes(known) => {
                    self.answer(call_id, Reply::Done);
                }
                _ => {
                    let command = Command::ReportTarget(report);
                    self.propose(now, &command, PendingOp::Change(call_id, command.clone()));
                }
            },
            Call::Leave { id, incarnation } => match self.ledger.targets.get(&id).map(|known| known.incarnation) {
                // A deregistration that arrives late concerns an incarnation that is gone.
                Some(known) if incarnation.is_none_or(|left| left >= known) => {
                    let command = Command::TargetLeft { id, incarnation: incarnation.unwrap_or(known) };
                    self.propose(now, &command, PendingOp::Change(call_id, command.clone()));
                }
                known => {
                    log::info!(target = id, left = incarnation, known; "member: late deregistration ignored");
                    self.answer(call_id, Reply::Done);
                }
            },
            Call::Evacuate { zone, active, seen } => match self.is_known_zone(&zone) {
                true => {
                    let command = Command::Evacuate { zone, active, seen };
                    self.propose(now, &command, PendingOp::Change(call_id, command.clone()));
                }
                false => self.answer(call_id, Reply::NoZone),
            },
            Call::Read { .. } | Call::Count { .. } | Call::Fetch | Call::ListEvacuations => {
                let tag = self.tag();
                self.pending.insert(tag, PendingOp::Read(call_id, call));
                self.raft.read(now, tag);
            }
        }
    }

    /// Returns true for a zone of the deployment, and for one that was evacuated before and is in the settings no more.
    fn is_known_zone(&self, zone: &Zone) -> bool {
        let evacuated = self.ledger.evacuations.iter().any(|(known, _)| known == zone);
        let is_known = match self.settings.zones.as_slice() {
            [] => self.ledger.targets.values().any(|report| report.zone == *zone),
            zones => zones.contains(zone),
        };
        evacuated || is_known
    }

    /// Returns the reply to a read from the applied state.
    fn read(&self, call: &Call) -> Reply {
        match call {
            Call::Fetch => Reply::Set(self.ledger.queue_set.clone()),
            Call::ListEvacuations => Reply::Evacuations(self.ledger.evacuations.clone()),
            Call::Count { host, path } => {
                match self.board.as_ref().map(|board| (board, board.find_queue(host, path))) {
                    Some((board, Some(queue))) => Reply::Waiting(board.pending_jobs(&queue.name) as u64),
                    Some((board, None)) if board.has_queues() => Reply::NoQueue,
                    _ => no_queues(),
                }
            }
            Call::Read { id, .. } => self.phase(*id).map_or(Reply::NoJob, Reply::State),
            _ => Reply::Unclear,
        }
    }

    fn phase(&self, id: JobId) -> Option<Phase> {
        let stored_job = self.ledger.jobs.get(&id)?;
        match stored_job.ended {
            Some((phase, _)) => Some(phase),
            None => Some(self.board.as_ref().and_then(|board| board.phase(id)).unwrap_or(Phase::Pending)),
        }
    }

    fn unix_millis(&self, now: Time) -> u64 {
        self.settings.jobs.wall_offset + now.as_micros() / 1000
    }

    fn register_call(&mut self, call_id: CallId) -> u64 {
        self.serial += 1;
        self.by_reply_to.insert(self.serial, call_id);
        self.by_call_id.insert(call_id, self.serial);
        self.serial
    }

    fn tag(&mut self) -> Tag {
        self.serial += 1;
        Tag(self.serial)
    }

    fn answer(&mut self, call_id: CallId, reply: Reply) {
        self.outputs.push(MemberOutput::Answer(call_id, reply));
    }

    fn propose(&mut self, now: Time, command: &Command, pending: PendingOp) {
        let tag = self.tag();
        // Encoding plain data into memory can't fail.
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        self.pending.insert(tag, pending);
        self.raft.propose(now, bytes.into(), tag);
    }

    fn propose_pending(&mut self, now: Time, pending: PendingOp) {
        match pending {
            PendingOp::Ends { target, numbers, records } => {
                let command = Command::RecordEnds(records.clone());
                self.propose(now, &command, PendingOp::Ends { target, numbers, records });
            }
            PendingOp::Change(call_id, command) => {
                self.propose(now, &command, PendingOp::Change(call_id, command.clone()));
            }
            PendingOp::Read(..) | PendingOp::Members(_) | PendingOp::Nothing => {}
        }
    }
}

impl PendingOp {
    const fn call_id(&self) -> Option<CallId> {
        match self {
            Self::Read(call_id, _) | Self::Change(call_id, _) => Some(*call_id),
            Self::Members(_) | Self::Ends { .. } | Self::Nothing => None,
        }
    }
}

fn is_transient(call: &Call) -> bool {
    matches!(call, Call::Submit { spec, .. } if spec.transient)
}

fn refusal(why: &str) -> Reply {
    Reply::Refused { why: why.to_owned(), wait: RETRY_AFTER }
}

fn no_queues() -> Reply {
    refusal("no queues are known yet")
}
