//! One member of the control group: the replicated log, the state built from it, and calls of operators.

mod query;

use crate::operate::{Call, CallKind, ControlQuery, OperatorReply};
use bytes::Bytes;
use indexmap::IndexMap;
use mangogw_catalogue::{Action, AuditLimiter, Caller as Principal, Command, Control};
use mangogw_cluster::ownership::{self, Ownership, Peer};
use mangogw_model::{Code, HostId, Incarnation, Time};
use mangogw_store::{
    AppliedEntry, DurableState, FolderId, MembershipChange, Output, Raft, Refusal, Role, Tag, Term, Write, WriteId,
};
use query::access_error;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Interval at which the leader checks for due changes of the ownership table and of the group's members.
const PLAN_PERIOD: Duration = Duration::from_millis(250);
/// Interval at which a host repeats its request to join.
pub(crate) const JOIN_PERIOD: Duration = Duration::from_secs(1);
/// Time after which a request to join counts no more: its host repeats it, while it is no member, every [`JOIN_PERIOD`].
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of voters up to which learners are promoted automatically.
const MAX_VOTERS: usize = 5;

/// A message between the control group and hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GroupMessage {
    /// A host with a new data folder asks to join the group.
    Join {
        /// The id of the host's data folder.
        folder_id: FolderId,
    },
    /// A call of an operator, for the leader.
    Call {
        /// Identifies the call between the two hosts.
        serial: u64,
        /// Operator's call.
        call: Box<Call>,
    },
    /// A call that a follower forwards to the leader.
    ForwardedCall {
        /// The host that received the call from the operator.
        host: HostId,
        /// Identifies the call on that host.
        serial: u64,
        /// Operator's call.
        call: Box<Call>,
    },
    /// The sender is leaving and hands over its targets and records.
    Leaving {
        /// The incarnation of the sender.
        incarnation: Incarnation,
    },
    /// The reply to a call.
    Reply {
        /// The serial of the call.
        serial: u64,
        /// Leader's reply to the operator.
        reply: OperatorReply,
    },
    /// A change of the ownership table, for the leader.
    Propose(ownership::Command),
}

/// One command in the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum LogCommand {
    /// Encoded command for the control state.
    Control(Bytes),
    /// Command for the ownership table.
    Ownership(ownership::Command),
}

/// The replicated state: replicas with equal logs have equal states.
#[derive(Debug, Clone, Default)]
pub(crate) struct GroupState {
    pub control: Control,
    pub table: Ownership,
}

impl GroupState {
    fn encode(&self) -> Bytes {
        let parts = (self.control.encode(), self.table.snapshot());
        postcard::to_stdvec(&parts).unwrap_or_default().into()
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let (control, table): (Vec<u8>, Vec<u8>) = postcard::from_bytes(bytes).ok()?;
        Some(Self { control: Control::decode(&control).ok()?, table: Ownership::restore(&table).ok()? })
    }

    fn apply(&mut self, entry: &AppliedEntry) -> Option<mangogw_catalogue::Reply> {
        let index = entry.id.index.0;
        match postcard::from_bytes(entry.command()?).ok()? {
            LogCommand::Control(bytes) => match Command::decode(&bytes) {
                Ok(command) => Some(self.control.apply(index, &command)),
                // Every replica skips an unreadable command; its caller must not be told that it was carried out.
                Err(error) => Some(mangogw_catalogue::Reply {
                    code: Code::Internal,
                    version: self.control.catalogue().version(),
                    detail: error.to_string(),
                }),
            },
            LogCommand::Ownership(command) => {
                self.table.apply(index, &command);
                None
            }
        }
    }
}

/// A call that awaits its reply. `T` identifies the receiver and is chosen by the host.
#[derive(Debug)]
struct PendingCall<T> {
    reply_to: T,
    query: Option<ControlQuery>,
}

/// An action for the host to carry out.
#[derive(Debug)]
pub(crate) enum GroupOutput<T> {
    Send { to: HostId, message: mangogw_store::Message },
    Write(Write),
    Reply { reply_to: T, reply: OperatorReply },
    Forward { reply_to: T, call: Box<Call>, leader: HostId },
    Changed,
    SnapshotUnreadable,
}

/// One member of the control group.
#[derive(Debug)]
pub(crate) struct Group<T> {
    seed: u64,
    raft: Raft,
    state: GroupState,
    pending_calls: IndexMap<Tag, PendingCall<T>>,
    serial: u64,
    next_plan: Time,
    is_leader: bool,
    /// The term in which this host leads, until an entry of that term is applied: before that, the state may lack
    /// changes that earlier leaders acknowledged.
    unapplied_term: Option<Term>,
    /// Hosts that ask to join, each with the time of its last request.
    joining: IndexMap<HostId, (FolderId, Time)>,
    leaving: IndexMap<HostId, Incarnation>,
    outputs: Vec<GroupOutput<T>>,
    wall_offset: u64,
    refusal_gate: AuditLimiter,
}

impl<T: Clone> Group<T> {
    /// Opens a member from its stored state. `wall_offset` is the Unix time in milliseconds at [`Time::ZERO`].
    pub(crate) fn open(stored: DurableState, seed: u64, wall_offset: u64, now: Time) -> Self {
        let settings = mangogw_store::Settings { seed, ..mangogw_store::Settings::default() };
        let mut group = Self {
            seed,
            raft: Raft::open(settings, stored, now),
            state: GroupState::default(),
            pending_calls: IndexMap::new(),
            serial: 0,
            next_plan: now,
            is_leader: false,
            unapplied_term: None,
            joining: IndexMap::new(),
            leaving: IndexMap::new(),
            outputs: Vec::new(),
            wall_offset,
            refusal_gate: AuditLimiter::default(),
        };
        group.process_outputs(now);
        group
    }

    pub(crate) const fn state(&self) -> &GroupState {
        &self.state
    }

    pub(crate) fn status(&self) -> mangogw_store::Status {
        self.raft.status()
    }

    /// Returns true if this host is a voter or learner of the group.
    pub(crate) fn is_member(&self) -> bool {
        let status = self.raft.status();
        status.members.folder_id(status.host).is_some()
    }

    /// Returns true if this host leads or is a voter with a leader. Voters give up a silent leader sooner than learners do.
    pub(crate) fn follows_leader(&self) -> bool {
        let status = self.raft.status();
        status.leader.is_some() && status.members.voters.get(&status.host) == Some(&status.folder_id)
    }

    pub(crate) const fn is_leader(&self) -> bool {
        self.is_leader
    }

    pub(crate) fn on_message(&mut self, now: Time, from: HostId, message: mangogw_store::Message) {
        self.raft.on_message(now, from, message);
        self.process_outputs(now);
    }

    pub(crate) fn on_synced(&mut self, now: Time, id: WriteId) {
        self.raft.on_synced(now, id);
        self.process_outputs(now);
    }

    pub(crate) fn on_write_failed(&mut self, now: Time) {
        self.raft.on_failed(now);
        self.process_outputs(now);
    }

    /// Replaces the log and the replicated state by those that the disk holds, after a failed write has ended the old
    /// ones.
    pub(crate) fn on_reopened(&mut self, now: Time, stored: DurableState) {
        let status = self.raft.status();
        if (stored.host, stored.folder_id) != (status.host, status.folder_id) {
            log::error!(
                host = status.host.0, found = stored.host.0;
                "group: the data folder belongs to another host; this host stays out of the control group"
            );
            return;
        }
        // Refuses the calls that wait for the log.
        self.process_outputs(now);
        let Self { raft, state, outputs, .. } = Self::open(stored, self.seed, self.wall_offset, now);
        (self.raft, self.state, self.next_plan) = (raft, state, now);
        (self.is_leader, self.unapplied_term) = (false, None);
        self.outputs.extend(outputs);
    }

    /// Runs due timers. `peers` are used only if this host leads and already led before this tick.
    pub(crate) fn on_tick(&mut self, now: Time, peers: &[Peer]) {
        self.raft.on_tick(now);
        if self.is_leader && now >= self.next_plan {
            self.next_plan = now + PLAN_PERIOD;
            for command in self.state.table.plan(peers) {
                self.propose_table(now, command);
            }
            self.update_members(now);
        }
        self.process_outputs(now);
    }

    /// Proposes a change of the ownership table if this host leads.
    pub(crate) fn propose_table(&mut self, now: Time, command: ownership::Command) {
        if self.is_leader {
            let tag = self.tag();
            self.propose(now, &LogCommand::Ownership(command), tag);
        }
    }

    /// Records, if this host leads, that a host with a new data folder asks to join the group.
    pub(crate) fn on_join(&mut self, now: Time, host: HostId, folder_id: FolderId) {
        if self.is_leader {
            self.joining.insert(host, (folder_id, now));
        }
    }

    /// Records that an incarnation of a host is leaving and hands over its targets and records.
    pub(crate) fn on_leaving(&mut self, host: HostId, incarnation: Incarnation) {
        self.leaving.insert(host, incarnation);
    }

    /// Returns true if this incarnation of a host is leaving.
    pub(crate) fn is_leaving(&self, host: HostId, incarnation: Incarnation) -> bool {
        self.leaving.get(&host) == Some(&incarnation)
    }

    /// Returns true if this host leads and has applied its whole log.
    pub(crate) fn is_caught_up(&self) -> bool {
        let status = self.raft.status();
        self.is_leader && status.applied == status.last
    }

    /// Proposes a change of the control state on behalf of this host.
    pub(crate) fn propose_action(&mut self, now: Time, caller: Principal, action: Action) {
        let at_ms = self.wall_offset + now.as_micros() / 1000;
        let base = Some(self.state.control.catalogue().version());
        let command = Command { base, ..Command::new(at_ms, caller, action) };
        let tag = self.tag();
        self.propose(now, &LogCommand::Control(command.encode().into()), tag);
        self.process_outputs(now);
    }

    /// Answers a call that another member forwarded, or refuses it if this host does not lead; it is forwarded only
    /// once.
    pub(crate) fn on_forwarded_call(&mut self, now: Time, reply_to: T, call: Call) {
        if self.is_leader {
            self.answer_call(now, reply_to, call);
        } else {
            self.reply(reply_to, OperatorReply::refused(Code::NoLeader, "the lead has just moved"));
        }
        self.process_outputs(now);
    }

    /// Answers a call if this host leads, has it forwarded to the leader otherwise, and refuses it if none is known.
    pub(crate) fn call(&mut self, now: Time, reply_to: T, call: Box<Call>) {
        let status = self.raft.status();
        match status.leader {
            Some(leader) if leader == status.host => self.answer_call(now, reply_to, *call),
            Some(leader) => self.outputs.push(GroupOutput::Forward { reply_to, call, leader }),
            None => self.reply(
                reply_to,
                OperatorReply::refused(Code::NoLeader, "an election is under way, or no majority answers"),
            ),
        }
        self.process_outputs(now);
    }

    pub(crate) fn drain(&mut self) -> Vec<GroupOutput<T>> {
        std::mem::take(&mut self.outputs)
    }

    fn answer_call(&mut self, now: Time, reply_to: T, call: Call) {
        if self.unapplied_term.is_some() {
            let detail = "the leader has just been elected and reads its log";
            return self.reply(reply_to, OperatorReply::refused(Code::NoLeader, detail));
        }
        let at_ms = self.wall_offset + now.as_micros() / 1000;
        let session = self.state.control.authenticate(&call.token, at_ms);
        let tag = self.tag();
        match (call.kind, session) {
            (CallKind::Change { action, .. }, Err(code)) => {
                self.record_refusal(now, at_ms, call.client_address, &action, code);
                self.reply(reply_to, OperatorReply::refused(code, code.title()));
            }
            (CallKind::Change { key, base, action }, Ok(session)) => {
                let caller = Principal::Token(session.token);
                let command = Command { at_ms, caller, from: call.client_address, key, base, action: *action };
                self.pending_calls.insert(tag, PendingCall { reply_to, query: None });
                self.propose(now, &LogCommand::Control(command.encode().into()), tag);
            }
            (_, Err(code)) => self.reply(reply_to, OperatorReply::refused(code, code.title())),
            (CallKind::Read(query), Ok(session)) => match access_error(&query, &session) {
                Some(reply) => self.reply(reply_to, reply),
                None => {
                    self.pending_calls.insert(tag, PendingCall { reply_to, query: Some(query) });
                    self.raft.read(now, tag);
                }
            },
            (_, Ok(session)) if session.principal.role != mangogw_catalogue::Role::Administrator => {
                self.reply(
                    reply_to,
                    OperatorReply::refused(Code::Forbidden, "only an administrator changes the control group"),
                );
            }
            (CallKind::Remove(host), Ok(_)) => {
                self.pending_calls.insert(tag, PendingCall { reply_to, query: None });
                self.raft.change_membership(now, MembershipChange::Remove(host), tag);
            }
            (CallKind::Transfer(host), Ok(_)) => {
                self.pending_calls.insert(tag, PendingCall { reply_to, query: None });
                self.raft.transfer(now, host, tag);
            }
        }
    }

    /// Records a change without a valid token in the audit trail, at most one short command per second in a flood.
    fn record_refusal(&mut self, now: Time, at_ms: u64, from: String, action: &Action, code: Code) {
        if !self.refusal_gate.admit(at_ms) {
            return;
        }
        let description = format!("{} {}", action.verb(), action.target());
        let skipped = self.refusal_gate.take_skipped();
        let action = Action::Refused { code, description, skipped };
        let command = Command { from, ..Command::new(at_ms, Principal::Anonymous, action) };
        let tag = self.tag();
        self.propose(now, &LogCommand::Control(command.encode().into()), tag);
    }

    /// Starts a linearizable read for a host that needs a current catalogue.
    pub(crate) fn confirm(&mut self, now: Time, reply_to: T) {
        let tag = self.tag();
        self.pending_calls.insert(tag, PendingCall { reply_to, query: None });
        self.raft.read(now, tag);
        self.process_outputs(now);
    }

    fn tag(&mut self) -> Tag {
        self.serial += 1;
        Tag(self.serial)
    }

    fn propose(&mut self, now: Time, command: &LogCommand, tag: Tag) {
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        self.raft.propose(now, bytes.into(), tag);
    }

    fn reply(&mut self, reply_to: T, reply: OperatorReply) {
        self.outputs.push(GroupOutput::Reply { reply_to, reply });
    }

    /// Promotes a learner that has caught up, or adds a host that asks to join as a learner.
    fn update_members(&mut self, now: Time) {
        let status = self.raft.status();
        self.joining
            .retain(|&host, (_, asked)| status.members.folder_id(host).is_none() && now - *asked < JOIN_TIMEOUT);
        let promotable =
            status.peers.iter().find(|peer| peer.caught_up && status.members.learners.contains_key(&peer.host));
        let tag = self.tag();
        match (promotable, self.joining.first()) {
            (Some(peer), _) if status.members.voters.len() < MAX_VOTERS => {
                self.raft.change_membership(now, MembershipChange::Promote(peer.host), tag);
            }
            (_, Some((&host, &(folder_id, _)))) => {
                self.raft.change_membership(now, MembershipChange::AddLearner(host, folder_id), tag);
            }
            _ => {}
        }
    }

    fn process_outputs(&mut self, now: Time) {
        loop {
            let outputs = self.raft.drain();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.process_output(now, output);
            }
        }
    }

    fn process_output(&mut self, now: Time, output: Output) {
        match output {
            Output::Send { to, message } => self.outputs.push(GroupOutput::Send { to, message }),
            Output::Write(write) => self.outputs.push(GroupOutput::Write(write)),
            Output::Restore(snapshot) => {
                self.restore(now, &snapshot.data);
            }
            Output::Apply { entries } => {
                for entry in entries {
                    self.apply(&entry);
                }
                self.outputs.push(GroupOutput::Changed);
            }
            Output::ReadReady { tag, .. } => self.read_ready(tag),
            Output::Refused { tag, why, leader } => self.on_refused(tag, why, leader),
            Output::Transferred { tag } => self.done(tag),
            Output::Role { role, term, .. } => {
                let newly_elected = role == Role::Leader && !self.is_leader;
                self.is_leader = role == Role::Leader;
                self.unapplied_term =
                    if newly_elected { Some(term) } else { self.unapplied_term.filter(|_| self.is_leader) };
            }
            Output::Compact { index } => {
                let state = self.state.encode();
                self.raft.compact(now, index, state);
            }
        }
    }

    /// Installs a snapshot. An unreadable one ends this member, since continuing without it would turn versions back.
    fn restore(&mut self, now: Time, bytes: &[u8]) {
        let state = if bytes.is_empty() { Some(GroupState::default()) } else { GroupState::decode(bytes) };
        match state {
            Some(state) => {
                self.state = state;
                self.outputs.push(GroupOutput::Changed);
            }
            None => {
                self.raft.on_failed(now);
                self.outputs.push(GroupOutput::SnapshotUnreadable);
            }
        }
    }

    fn apply(&mut self, entry: &AppliedEntry) {
        let reply = self.state.apply(entry);
        if self.unapplied_term == Some(entry.id.term) {
            self.unapplied_term = None;
        }
        match (entry.tag, reply) {
            (Some(tag), Some(reply)) => {
                if let Some(pending) = self.pending_calls.swap_remove(&tag) {
                    self.reply(pending.reply_to, OperatorReply::Changed(reply));
                }
            }
            (Some(tag), None) => self.done(tag),
            (None, _) => {}
        }
    }

    fn done(&mut self, tag: Tag) {
        if let Some(pending) = self.pending_calls.swap_remove(&tag) {
            self.reply(pending.reply_to, OperatorReply::Done);
        }
    }

    fn read_ready(&mut self, tag: Tag) {
        let Some(pending) = self.pending_calls.swap_remove(&tag) else { return };
        let reply = pending.query.map_or(OperatorReply::Done, |query| self.run_query(&query));
        self.reply(pending.reply_to, reply);
    }

    fn on_refused(&mut self, tag: Tag, why: Refusal, leader: Option<HostId>) {
        let Some(pending) = self.pending_calls.swap_remove(&tag) else { return };
        let detail = match leader {
            Some(leader) => format!("{why:?}; host {leader} may lead"),
            None => format!("{why:?}; no leader is known"),
        };
        let code = match why {
            Refusal::Failed => Code::StoreFailed,
            Refusal::BadChange | Refusal::Leading | Refusal::NoQuorum | Refusal::NotCaughtUp => Code::BadRequest,
            _ => Code::NoLeader,
        };
        self.reply(pending.reply_to, OperatorReply::refused(code, detail));
    }
}
