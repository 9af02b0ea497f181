//! The control group on one of its members: the replicated log and the state that it makes.

mod view;

use crate::operate::{Call, Told, View, What};
use bytes::Bytes;
use indexmap::IndexMap;
use mangogw_catalogue::{Action, AuditLimiter, Caller as Principal, Command, Control};
use mangogw_cluster::ownership::{self, Ownership, Peer};
use mangogw_model::{Code, HostId, Incarnation, Time};
use mangogw_store::{
    AppliedEntry, DurableState, FolderId, MembershipChange, Output, Raft, Refusal, Role, Tag, Term, Write, WriteId,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use view::refusal;

/// The leader looks for changes of the ownership table and the members so often.
const PLAN_PERIOD: Duration = Duration::from_millis(250);
/// A host that wants to join asks so often.
pub(crate) const JOIN_PERIOD: Duration = Duration::from_secs(1);
/// Voters that the group grows to by itself.
const VOTERS: usize = 5;

/// A message between the control group and hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GroupMessage {
    /// A host with a new data folder wants to take part.
    Join {
        /// The birth of its folder.
        birth: FolderId,
    },
    /// A call of an operator, for the leader.
    Call {
        /// Names it between the two hosts.
        serial: u64,
        /// The call.
        call: Box<Call>,
    },
    /// A call that a member which does not lead passes to the leader.
    Relayed {
        /// The host that the operator asked.
        host: HostId,
        /// Names the call there.
        serial: u64,
        /// The call.
        call: Box<Call>,
    },
    /// The sender hands over what it owns.
    Leaving {
        /// Its life.
        life: Incarnation,
    },
    /// The answer to a call.
    Told {
        /// The call.
        serial: u64,
        /// The answer.
        told: Told,
    },
    /// A change of the ownership table, for the leader.
    Propose(ownership::Command),
}

/// One command of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum LogCommand {
    /// Of the control state.
    Control(Bytes),
    /// Of the ownership table.
    Ownership(ownership::Command),
}

/// What the log makes: equal logs make equal states.
#[derive(Debug, Clone, Default)]
pub(crate) struct State {
    pub control: Control,
    pub table: Ownership,
}

impl State {
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
                // Every replica passes over it alike; whoever waits for it must not hear that it was done.
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

/// Who waits for the answer to a call. The host picks the type.
#[derive(Debug)]
struct Waiting<T> {
    asker: T,
    view: Option<View>,
}

/// Something the host has to do.
#[derive(Debug)]
pub(crate) enum GroupOutput<T> {
    Send { to: HostId, message: mangogw_store::Message },
    Write(Write),
    Told { asker: T, told: Told },
    Forward { asker: T, call: Box<Call>, leader: HostId },
    Changed,
    Broken,
}

/// One member of the control group.
#[derive(Debug)]
pub(crate) struct Group<T> {
    raft: Raft,
    state: State,
    waiting: IndexMap<Tag, Waiting<T>>,
    serial: u64,
    plan: Time,
    leads: bool,
    /// The term this host leads in, until an entry of it was applied: the state may be older than what was
    /// acknowledged before.
    fresh: Option<Term>,
    joining: IndexMap<HostId, FolderId>,
    leaving: IndexMap<HostId, Incarnation>,
    out: Vec<GroupOutput<T>>,
    wall: u64,
    strangers: AuditLimiter,
}

impl<T: Clone> Group<T> {
    /// A member on its stored state. `wall` is the Unix time in milliseconds at [`Time::ZERO`].
    pub(crate) fn open(stored: DurableState, seed: u64, wall: u64, now: Time) -> Self {
        let settings = mangogw_store::Settings { seed, ..mangogw_store::Settings::default() };
        let mut group = Self {
            raft: Raft::open(settings, stored, now),
            state: State::default(),
            waiting: IndexMap::new(),
            serial: 0,
            plan: now,
            leads: false,
            fresh: None,
            joining: IndexMap::new(),
            leaving: IndexMap::new(),
            out: Vec::new(),
            wall,
            strangers: AuditLimiter::default(),
        };
        group.settle(now);
        group
    }

    pub(crate) const fn state(&self) -> &State {
        &self.state
    }

    pub(crate) fn status(&self) -> mangogw_store::Status {
        self.raft.status()
    }

    /// True if this host belongs to the group already.
    pub(crate) fn is_member(&self) -> bool {
        let status = self.raft.status();
        status.members.folder_id(status.host).is_some()
    }

    pub(crate) const fn leads(&self) -> bool {
        self.leads
    }

    pub(crate) fn on_message(&mut self, now: Time, from: HostId, message: mangogw_store::Message) {
        self.raft.on_message(now, from, message);
        self.settle(now);
    }

    pub(crate) fn on_synced(&mut self, now: Time, id: WriteId) {
        self.raft.on_synced(now, id);
        self.settle(now);
    }

    pub(crate) fn on_failed(&mut self, now: Time) {
        self.raft.on_failed(now);
        self.settle(now);
    }

    /// Does what is due. `peers` are used by the leader only, and only if it led before this tick.
    pub(crate) fn on_tick(&mut self, now: Time, peers: &[Peer]) {
        self.raft.on_tick(now);
        if self.leads && now >= self.plan {
            self.plan = now + PLAN_PERIOD;
            for command in self.state.table.plan(peers) {
                self.propose_table(now, command);
            }
            self.grow(now);
        }
        self.settle(now);
    }

    /// Proposes a change of the ownership table, if this host leads.
    pub(crate) fn propose_table(&mut self, now: Time, command: ownership::Command) {
        if self.leads {
            let tag = self.tag();
            self.propose(now, &LogCommand::Ownership(command), tag);
        }
    }

    /// Hears that a host with a new folder wants to take part.
    pub(crate) fn on_join(&mut self, host: HostId, birth: FolderId) {
        if self.leads {
            self.joining.insert(host, birth);
        }
    }

    /// Hears that a life of a host hands over what it owns.
    pub(crate) fn on_leaving(&mut self, host: HostId, life: Incarnation) {
        self.leaving.insert(host, life);
    }

    /// True if this life of a host hands over what it owns.
    pub(crate) fn is_leaving(&self, host: HostId, life: Incarnation) -> bool {
        self.leaving.get(&host) == Some(&life)
    }

    /// True if this host leads and has applied everything that was there before.
    pub(crate) fn is_settled(&self) -> bool {
        let status = self.raft.status();
        self.leads && status.applied == status.last
    }

    /// Proposes a change that the host itself wants.
    pub(crate) fn wish(&mut self, now: Time, caller: Principal, action: Action) {
        let at_ms = self.wall + now.as_micros() / 1000;
        let base = Some(self.state.control.catalogue().version());
        let command = Command { base, ..Command::new(at_ms, caller, action) };
        let tag = self.tag();
        self.propose(now, &LogCommand::Control(command.encode().into()), tag);
        self.settle(now);
    }

    /// Answers a call that another member passed on; it is not passed on again.
    pub(crate) fn lead_call(&mut self, now: Time, asker: T, call: Call) {
        if self.leads {
            self.lead(now, asker, call);
        } else {
            self.tell(asker, Told::refused(Code::NoLeader, "the lead has just moved"));
        }
        self.settle(now);
    }

    /// Answers a call, or says which host leads.
    pub(crate) fn call(&mut self, now: Time, asker: T, call: Box<Call>) {
        let status = self.raft.status();
        match status.leader {
            Some(leader) if leader == status.host => self.lead(now, asker, *call),
            Some(leader) => self.out.push(GroupOutput::Forward { asker, call, leader }),
            None => self.tell(asker, Told::refused(Code::NoLeader, "an election is under way, or no majority answers")),
        }
        self.settle(now);
    }

    pub(crate) fn drain(&mut self) -> Vec<GroupOutput<T>> {
        std::mem::take(&mut self.out)
    }

    fn lead(&mut self, now: Time, asker: T, call: Call) {
        if self.fresh.is_some() {
            let detail = "the leader has just been elected and reads its log";
            return self.tell(asker, Told::refused(Code::NoLeader, detail));
        }
        let at_ms = self.wall + now.as_micros() / 1000;
        let session = self.state.control.authenticate(&call.token, at_ms);
        let tag = self.tag();
        match (call.what, session) {
            (What::Change { action, .. }, Err(code)) => {
                self.note_stranger(now, at_ms, call.from, &action, code);
                self.tell(asker, Told::refused(code, code.title()));
            }
            (What::Change { key, base, action }, Ok(session)) => {
                let caller = Principal::Token(session.token);
                let command = Command { at_ms, caller, from: call.from, key, base, action: *action };
                self.waiting.insert(tag, Waiting { asker, view: None });
                self.propose(now, &LogCommand::Control(command.encode().into()), tag);
            }
            (_, Err(code)) => self.tell(asker, Told::refused(code, code.title())),
            (What::Read(view), Ok(session)) => match refusal(&view, &session) {
                Some(told) => self.tell(asker, told),
                None => {
                    self.waiting.insert(tag, Waiting { asker, view: Some(view) });
                    self.raft.read(now, tag);
                }
            },
            (_, Ok(session)) if session.principal.role != mangogw_catalogue::Role::Administrator => {
                self.tell(asker, Told::refused(Code::Forbidden, "only an administrator changes the control group"));
            }
            (What::Remove(host), Ok(_)) => {
                self.waiting.insert(tag, Waiting { asker, view: None });
                self.raft.change_membership(now, MembershipChange::Remove(host), tag);
            }
            (What::Transfer(host), Ok(_)) => {
                self.waiting.insert(tag, Waiting { asker, view: None });
                self.raft.transfer(now, host, tag);
            }
        }
    }

    /// Has a change without a valid token recorded. A flood of them costs the log one short command a second.
    fn note_stranger(&mut self, now: Time, at_ms: u64, from: String, action: &Action, code: Code) {
        if !self.strangers.admit(at_ms) {
            return;
        }
        let what = format!("{} {}", action.verb(), action.target());
        let skipped = self.strangers.take_skipped();
        let action = Action::Refused { code, description: what, skipped };
        let command = Command { from, ..Command::new(at_ms, Principal::Anonymous, action) };
        let tag = self.tag();
        self.propose(now, &LogCommand::Control(command.encode().into()), tag);
    }

    /// Asks for a read that is current, for a host that needs a fresh catalogue.
    pub(crate) fn confirm(&mut self, now: Time, asker: T) {
        let tag = self.tag();
        self.waiting.insert(tag, Waiting { asker, view: None });
        self.raft.read(now, tag);
        self.settle(now);
    }

    fn tag(&mut self) -> Tag {
        self.serial += 1;
        Tag(self.serial)
    }

    fn propose(&mut self, now: Time, command: &LogCommand, tag: Tag) {
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        self.raft.propose(now, bytes.into(), tag);
    }

    fn tell(&mut self, asker: T, told: Told) {
        self.out.push(GroupOutput::Told { asker, told });
    }

    /// Takes hosts that wait into the group, and makes learners that have caught up voters.
    fn grow(&mut self, now: Time) {
        let status = self.raft.status();
        self.joining.retain(|&host, _| status.members.folder_id(host).is_none());
        let ready = status.peers.iter().find(|peer| peer.caught_up && status.members.learners.contains_key(&peer.host));
        let tag = self.tag();
        match (ready, self.joining.first()) {
            (Some(peer), _) if status.members.voters.len() < VOTERS => {
                self.raft.change_membership(now, MembershipChange::Promote(peer.host), tag);
            }
            (_, Some((&host, &birth))) => {
                self.raft.change_membership(now, MembershipChange::AddLearner(host, birth), tag);
            }
            _ => {}
        }
    }

    fn settle(&mut self, now: Time) {
        loop {
            let outputs = self.raft.drain();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.take(now, output);
            }
        }
    }

    fn take(&mut self, now: Time, output: Output) {
        match output {
            Output::Send { to, message } => self.out.push(GroupOutput::Send { to, message }),
            Output::Write(write) => self.out.push(GroupOutput::Write(write)),
            Output::Restore(snapshot) => {
                self.restore(now, &snapshot.data);
            }
            Output::Apply { entries } => {
                for entry in entries {
                    self.apply(&entry);
                }
                self.out.push(GroupOutput::Changed);
            }
            Output::ReadReady { tag, .. } => self.read_ready(tag),
            Output::Refused { tag, why, leader } => self.refused(tag, why, leader),
            Output::Transferred { tag } => self.done(tag),
            Output::Role { role, term, .. } => {
                let begins = role == Role::Leader && !self.leads;
                self.leads = role == Role::Leader;
                self.fresh = if begins { Some(term) } else { self.fresh.filter(|_| self.leads) };
            }
            Output::Compact { index } => {
                let state = self.state.encode();
                self.raft.compact(now, index, state);
            }
        }
    }

    /// Takes a state over. One that can't be read ends this member: going on without it would turn versions back.
    fn restore(&mut self, now: Time, bytes: &[u8]) {
        let state = if bytes.is_empty() { Some(State::default()) } else { State::decode(bytes) };
        match state {
            Some(state) => {
                self.state = state;
                self.out.push(GroupOutput::Changed);
            }
            None => {
                self.raft.on_failed(now);
                self.out.push(GroupOutput::Broken);
            }
        }
    }

    fn apply(&mut self, entry: &AppliedEntry) {
        let reply = self.state.apply(entry);
        if self.fresh == Some(entry.id.term) {
            self.fresh = None;
        }
        match (entry.tag, reply) {
            (Some(tag), Some(reply)) => {
                if let Some(waiting) = self.waiting.swap_remove(&tag) {
                    self.tell(waiting.asker, Told::Changed(reply));
                }
            }
            (Some(tag), None) => self.done(tag),
            (None, _) => {}
        }
    }

    fn done(&mut self, tag: Tag) {
        if let Some(waiting) = self.waiting.swap_remove(&tag) {
            self.tell(waiting.asker, Told::Done);
        }
    }

    fn read_ready(&mut self, tag: Tag) {
        let Some(waiting) = self.waiting.swap_remove(&tag) else { return };
        let told = waiting.view.map_or(Told::Done, |view| self.view(&view));
        self.tell(waiting.asker, told);
    }

    fn refused(&mut self, tag: Tag, why: Refusal, leader: Option<HostId>) {
        let Some(waiting) = self.waiting.swap_remove(&tag) else { return };
        let detail = match leader {
            Some(leader) => format!("{why:?}; host {leader} may lead"),
            None => format!("{why:?}; no leader is known"),
        };
        let code = match why {
            Refusal::Failed => Code::StoreFailed,
            Refusal::BadChange | Refusal::Leading | Refusal::NoQuorum | Refusal::NotCaughtUp => Code::BadRequest,
            _ => Code::NoLeader,
        };
        self.tell(waiting.asker, Told::refused(code, detail));
    }
}
