//! Handles the outputs of the replicated log (entries, confirmed reads, refusals, role changes) and of the board.

use super::{EarlyCall, Member, MemberOutput, PendingOp, READ_WAIT, refusal};
use crate::isolated_zone::token_of;
use crate::membership::Membership;
use crate::{Call, Message, Reply};
use mangogw_jobs::{ApplyStatus, Board, Command, Evacuation, Ledger, Output as BoardOutput, Phase};
use mangogw_model::{HostId, Time};
use mangogw_store::{AppliedEntry, Output, Payload, Refusal, Role, Tag};

impl Member {
    pub(super) fn process_outputs(&mut self, now: Time) {
        loop {
            let outputs = self.raft.drain();
            let board_outputs = self.board.as_mut().map(|board| board.drain(now)).unwrap_or_default();
            if outputs.is_empty() && board_outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.on_raft_output(now, output);
            }
            self.membership_log.log_members(&self.raft, self.applied);
            for output in board_outputs {
                self.on_board_output(now, output);
            }
        }
    }

    /// Performs an action that the board asks for.
    fn on_board_output(&mut self, now: Time, output: BoardOutput) {
        match output {
            BoardOutput::Order(order) => self.outputs.push(MemberOutput::Order(order)),
            BoardOutput::Answer { reply_to, end } => {
                if let Some(call_id) = self.by_reply_to.swap_remove(&reply_to) {
                    self.by_call_id.swap_remove(&call_id);
                    self.answer(call_id, Reply::from(end));
                }
            }
            // The log can't be written here; the group learns of these changes once the zone is reachable again.
            BoardOutput::Propose(_) | BoardOutput::RecordEnds { .. } if self.isolated => {}
            BoardOutput::Propose(command) => self.propose(now, &command, PendingOp::Nothing),
            BoardOutput::RecordEnds { target, numbers, records } => {
                self.propose_pending(now, PendingOp::Ends { target, numbers, records });
            }
        }
    }

    fn on_raft_output(&mut self, now: Time, output: Output) {
        match output {
            Output::Send { to, message } => self.outputs.push(MemberOutput::Send(to, Message::Raft(message))),
            Output::Write(write) => self.outputs.push(MemberOutput::Write(write)),
            Output::Restore(snapshot) => match Ledger::decode(&snapshot.data) {
                Ok(ledger) => {
                    self.ledger = ledger;
                    self.applied = snapshot.meta.id.index;
                    for (zone, Evacuation { active, revision }) in self.ledger.evacuations.iter() {
                        let (entry, term) = (snapshot.meta.id.index.0, snapshot.meta.id.term.0);
                        log::info!(zone:%, active, revision, entry, term; "member: evacuation in a snapshot");
                    }
                }
                Err(error) => {
                    log::error!(error:%; "member: can't decode the snapshot of the replicated state");
                    self.raft.on_failed(now);
                    self.outputs.push(MemberOutput::CorruptState);
                }
            },
            Output::Apply { entries } => entries.iter().for_each(|entry| self.apply(now, entry)),
            Output::ReadReady { tag, .. } => {
                if let Some(PendingOp::Read(call_id, call)) = self.pending.swap_remove(&tag) {
                    let reply = self.read(&call);
                    match (&call, &reply) {
                        (Call::Read { id, .. }, Reply::State(Phase::Running)) => {
                            self.waiting_reads.push((call_id, *id, now + READ_WAIT));
                        }
                        _ => self.answer(call_id, reply),
                    }
                }
            }
            Output::Refused { tag, why, .. } => self.on_refused(now, tag, why),
            Output::Transferred { .. } => {}
            Output::Role { role, term, leader } => self.on_role(now, role, term.0, leader),
            Output::Compact { index } => match self.ledger.encode() {
                Ok(state) => self.raft.compact(now, index, state.into()),
                Err(error) => log::error!(error:%; "member: can't encode the replicated state for a snapshot"),
            },
        }
        self.open_board(now);
    }

    fn on_role(&mut self, now: Time, role: Role, term: u64, leader: Option<HostId>) {
        log::info!(role:?, term, leader = leader.map(|host| host.0); "member: role in the control group");
        let token = self.board.as_ref().map(Board::token);
        // An isolated zone keeps its leader until a leader of the group is known.
        match leader {
            None if self.isolated => return,
            Some(_) if self.isolated => self.close_isolated(now),
            _ => {}
        }
        if role != Role::Leader || token.is_some_and(|token| token != token_of(term)) {
            self.close_board(now);
            self.retries.clear();
            for (call_id, ..) in std::mem::take(&mut self.waiting_reads) {
                self.outputs.push(MemberOutput::Send(call_id.host, Message::NotLeader { serial: call_id.serial }));
            }
        }
        if role != Role::Leader {
            for EarlyCall { call_id, .. } in std::mem::take(&mut self.early_calls) {
                self.outputs.push(MemberOutput::Send(call_id.host, Message::NotLeader { serial: call_id.serial }));
            }
        }
    }

    /// Opens the board once this member leads and has applied all entries of earlier terms.
    fn open_board(&mut self, now: Time) {
        if self.isolated && self.raft.role() == Role::Leader {
            self.close_isolated(now);
        }
        if self.board.is_some() || self.raft.leader_applied_index().is_none_or(|index| index > self.applied) {
            return;
        }
        let token = token_of(self.raft.term().0);
        self.board = Some(Board::open(self.settings.jobs.clone(), token, &self.ledger, now));
        self.reclaim_zones(now);
        self.membership = Membership::new(self.settings.voters, now);
        self.membership_log.on_leading();
        for EarlyCall { call_id, call, first_attempt } in std::mem::take(&mut self.early_calls) {
            self.handle_call(now, call_id, call, first_attempt);
        }
    }

    fn apply(&mut self, now: Time, entry: &AppliedEntry) {
        self.applied = entry.id.index;
        let Some(bytes) = entry.command() else {
            self.membership_changes += u64::from(matches!(entry.payload, Payload::Members(_)));
            if let Some(tag) = entry.tag {
                self.pending.swap_remove(&tag);
            }
            return;
        };
        let command: Command = match postcard::from_bytes(bytes) {
            Ok(command) => command,
            Err(error) => {
                log::error!(index = entry.id.index.0, error:%; "member: can't decode a log entry");
                self.raft.on_failed(now);
                return self.outputs.push(MemberOutput::CorruptState);
            }
        };
        let applied = self.ledger.apply(&command);
        let pending = entry.tag.and_then(|tag| self.pending.swap_remove(&tag));
        if let Command::Evacuate { zone, active, seen } = &command {
            let (index, term, status) = (entry.id.index.0, entry.id.term.0, applied.status);
            log::info!(zone:%, active, seen, entry = index, term, status:?; "member: evacuation ordered");
        }
        if let Some(board) = self.board.as_mut().filter(|_| !self.isolated) {
            match &command {
                Command::Install(set) if applied.status == ApplyStatus::Changed => {
                    log::info!(version = set.version.0, queues = set.queues.len(); "member: queues in force");
                    board.install(set);
                }
                Command::Evacuate { .. } if applied.status == ApplyStatus::Changed => {
                    board.evacuate(&self.ledger.evacuations);
                }
                Command::ReportTarget(report) => board.on_report(now, report),
                Command::TargetLeft { id, incarnation } => board.on_target_left(now, id, *incarnation),
                Command::RemoveTarget { id, incarnation } => board.on_target_removed(now, id, *incarnation),
                Command::StoreJob { id, .. } => {
                    if let Some(stored_job) = self.ledger.jobs.get(id).filter(|stored_job| stored_job.ended.is_none()) {
                        board.restore(now, *id, stored_job, applied.status == ApplyStatus::Changed);
                    }
                }
                _ => {}
            }
            if let Some(PendingOp::Ends { target, numbers, records }) = &pending {
                board.on_ends_recorded(now, *target, numbers, records);
            }
            for (id, phase) in &applied.ended_jobs {
                log::info!(job:% = id, phase:?; "member: stored job ended");
                board.on_job_ended(now, *id);
            }
            if !applied.ended_jobs.is_empty() {
                self.answer_reads(|id, _| applied.ended_jobs.iter().any(|(ended, _)| *ended == id));
            }
        }
        if let Some(PendingOp::Change(call_id, command)) = pending {
            let reply = match (command, applied.status) {
                (Command::StoreJob { .. }, _) => Reply::Accepted,
                (Command::Cancel { .. }, ApplyStatus::Unknown) => Reply::NoJob,
                (Command::Cancel { .. }, _) => Reply::Canceled,
                (_, ApplyStatus::Outdated) => refusal("the zone has got another order meanwhile"),
                _ => Reply::Done,
            };
            self.answer(call_id, reply);
        }
    }

    fn on_refused(&mut self, now: Time, tag: Tag, why: Refusal) {
        let Some(pending) = self.pending.swap_remove(&tag) else { return };
        match (pending, why) {
            (PendingOp::Read(call_id, _), Refusal::NotLeader) => {
                self.outputs.push(MemberOutput::Send(call_id.host, Message::NotLeader { serial: call_id.serial }));
            }
            (PendingOp::Change(call_id, _), Refusal::Unsure | Refusal::Failed) => {
                // The host of the client sends the call again, to the next leader.
                log::info!(
                    host = call_id.host.0, serial = call_id.serial;
                    "member: unknown whether a command was committed"
                );
            }
            (PendingOp::Read(call_id, _) | PendingOp::Change(call_id, Command::StoreJob { .. }), _) => {
                self.answer(call_id, refusal("the leader is busy"));
            }
            (pending @ (PendingOp::Change(..) | PendingOp::Ends { .. }), Refusal::Busy | Refusal::Transferring) => {
                self.retries.push(pending);
            }
            (PendingOp::Change(call_id, _), _) => {
                self.outputs.push(MemberOutput::Send(call_id.host, Message::NotLeader { serial: call_id.serial }));
            }
            (PendingOp::Members(change), _) => self.membership_log.log_refused(now, change, why),
            (PendingOp::Ends { .. } | PendingOp::Nothing, _) => {}
        }
    }
}
