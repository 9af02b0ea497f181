//! What the log hands out: entries to apply, reads that may be answered, refusals, and changes of role.

use super::{Early, Member, MemberOutput, READ_WAIT, Waiting, refused};
use crate::isolated_zone::token_of;
use crate::membership::Growth;
use crate::{Call, Message, Reply};
use mangogw_jobs::{ApplyStatus, Board, Command, Ledger, Output as Wish, Phase};
use mangogw_model::{HostId, Time};
use mangogw_store::{AppliedEntry, Output, Refusal, Role, Tag};

impl Member {
    pub(super) fn settle(&mut self, now: Time) {
        loop {
            let outputs = self.raft.drain();
            let wishes = self.board.as_mut().map(|board| board.drain(now)).unwrap_or_default();
            if outputs.is_empty() && wishes.is_empty() {
                return;
            }
            for output in outputs {
                self.take(now, output);
            }
            for wish in wishes {
                self.grant(now, wish);
            }
        }
    }

    /// Carries out what the board wants.
    fn grant(&mut self, now: Time, wish: Wish) {
        match wish {
            Wish::Order(order) => self.out.push(MemberOutput::Order(order)),
            Wish::Answer { reply_to, end } => {
                if let Some(call_id) = self.by_reply_to.swap_remove(&reply_to) {
                    self.by_call_id.swap_remove(&call_id);
                    self.answer(call_id, Reply::from(end));
                }
            }
            // The group is told by itself, once this zone is back.
            Wish::Propose(_) | Wish::RecordEnds { .. } if self.isolated => {}
            Wish::Propose(command) => self.propose(now, &command, Waiting::Nothing),
            Wish::RecordEnds { target, numbers, records } => {
                self.propose_waiting(now, Waiting::Ends { target, numbers, records });
            }
        }
    }

    fn take(&mut self, now: Time, output: Output) {
        match output {
            Output::Send { to, message } => self.out.push(MemberOutput::Send(to, Message::Raft(message))),
            Output::Write(write) => self.out.push(MemberOutput::Write(write)),
            Output::Restore(snapshot) => match Ledger::decode(&snapshot.data) {
                Ok(ledger) => {
                    self.ledger = ledger;
                    self.applied = snapshot.meta.id.index;
                }
                Err(error) => {
                    log::error!(error:%; "member: the state can't be read");
                    self.raft.on_failed(now);
                    self.out.push(MemberOutput::Broken);
                }
            },
            Output::Apply { entries } => entries.iter().for_each(|entry| self.apply(now, entry)),
            Output::ReadReady { tag, .. } => {
                if let Some(Waiting::Read(call_id, call)) = self.waiting.swap_remove(&tag) {
                    let reply = self.read(&call);
                    match (&call, &reply) {
                        (Call::Read { id, .. }, Reply::State(Phase::Running)) => {
                            self.watching.push((call_id, *id, now + READ_WAIT));
                        }
                        _ => self.answer(call_id, reply),
                    }
                }
            }
            Output::Refused { tag, why, .. } => self.refused(tag, why),
            Output::Transferred { .. } => {}
            Output::Role { role, term, leader } => self.on_role(role, term.0, leader),
            Output::Compact { index } => match self.ledger.encode() {
                Ok(state) => self.raft.compact(now, index, state.into()),
                Err(error) => log::error!(error:%; "member: the state can't be written"),
            },
        }
        self.open_board(now);
    }

    fn on_role(&mut self, role: Role, term: u64, leader: Option<HostId>) {
        log::info!(role:?, term, leader = leader.map(|host| host.0); "member: role");
        let token = self.board.as_ref().map(Board::token);
        // An island goes on as long as no leader is known.
        match leader {
            None if self.isolated => return,
            Some(_) if self.isolated => self.close_isolated(),
            _ => {}
        }
        if role != Role::Leader || token.is_some_and(|token| token != token_of(term)) {
            self.close_board();
            self.again.clear();
            for (call_id, ..) in std::mem::take(&mut self.watching) {
                self.out.push(MemberOutput::Send(call_id.host, Message::NotLeader { serial: call_id.serial }));
            }
        }
        if role != Role::Leader {
            for Early { call_id, .. } in std::mem::take(&mut self.early) {
                self.out.push(MemberOutput::Send(call_id.host, Message::NotLeader { serial: call_id.serial }));
            }
        }
    }

    /// Opens the board once this member leads and has applied all that came before.
    fn open_board(&mut self, now: Time) {
        if self.isolated && self.raft.role() == Role::Leader {
            self.close_isolated();
        }
        if self.board.is_some() || self.raft.leader_applied_index().is_none_or(|index| index > self.applied) {
            return;
        }
        let token = token_of(self.raft.term().0);
        self.board = Some(Board::open(self.settings.jobs.clone(), token, &self.ledger, now));
        self.reclaim_zones(now);
        self.growth = Growth::new(self.settings.voters, now);
        for Early { call_id, call, first_attempt } in std::mem::take(&mut self.early) {
            self.lead_call(now, call_id, call, first_attempt);
        }
    }

    fn apply(&mut self, now: Time, entry: &AppliedEntry) {
        self.applied = entry.id.index;
        let Some(bytes) = entry.command() else {
            if let Some(tag) = entry.tag {
                self.waiting.swap_remove(&tag);
            }
            return;
        };
        let command: Command = match postcard::from_bytes(bytes) {
            Ok(command) => command,
            Err(error) => {
                log::error!(index = entry.id.index.0, error:%; "member: an entry of the log can't be read");
                self.raft.on_failed(now);
                return self.out.push(MemberOutput::Broken);
            }
        };
        let applied = self.ledger.apply(&command);
        let waiting = entry.tag.and_then(|tag| self.waiting.swap_remove(&tag));
        if let Some(board) = self.board.as_mut().filter(|_| !self.isolated) {
            match &command {
                Command::Install(set) if applied.status == ApplyStatus::Changed => {
                    log::info!(version = set.version.0, queues = set.queues.len(); "member: queues in force");
                    board.install(set);
                }
                Command::ReportTarget(report) => board.on_report(now, report),
                Command::RemoveTarget { id, incarnation } => board.on_target_left(now, id, *incarnation),
                Command::StoreJob { id, .. } => {
                    if let Some(stored_job) = self.ledger.jobs.get(id).filter(|stored_job| stored_job.ended.is_none()) {
                        board.restore(now, *id, stored_job, applied.status == ApplyStatus::Changed);
                    }
                }
                _ => {}
            }
            if let Some(Waiting::Ends { target, numbers, records }) = &waiting {
                board.on_ends_recorded(now, *target, numbers, records);
            }
            for (id, phase) in &applied.ended_jobs {
                log::info!(job:% = id, phase:?; "member: stored job ended");
                board.on_job_ended(now, *id);
            }
            if !applied.ended_jobs.is_empty() {
                self.answer_watching(|id, _| applied.ended_jobs.iter().any(|(ended, _)| *ended == id));
            }
        }
        if let Some(Waiting::Change(call_id, command)) = waiting {
            let reply = match (command, applied.status) {
                (Command::StoreJob { .. }, _) => Reply::Accepted,
                (Command::Cancel { .. }, ApplyStatus::Unknown) => Reply::NoJob,
                (Command::Cancel { .. }, _) => Reply::Canceled,
                _ => Reply::Done,
            };
            self.answer(call_id, reply);
        }
    }

    fn refused(&mut self, tag: Tag, why: Refusal) {
        let Some(waiting) = self.waiting.swap_remove(&tag) else { return };
        match (waiting, why) {
            (Waiting::Read(call_id, _), Refusal::NotLeader) => {
                self.out.push(MemberOutput::Send(call_id.host, Message::NotLeader { serial: call_id.serial }));
            }
            (Waiting::Change(call_id, _), Refusal::Unsure | Refusal::Failed) => {
                // The next leader is asked the same by the host that has the client.
                log::info!(host = call_id.host.0, serial = call_id.serial; "member: a change is unsure");
            }
            (Waiting::Read(call_id, _) | Waiting::Change(call_id, Command::StoreJob { .. }), _) => {
                self.answer(call_id, refused("the leader is busy"));
            }
            (waiting @ (Waiting::Change(..) | Waiting::Ends { .. }), Refusal::Busy | Refusal::Transferring) => {
                self.again.push(waiting);
            }
            (Waiting::Change(call_id, _), _) => {
                self.out.push(MemberOutput::Send(call_id.host, Message::NotLeader { serial: call_id.serial }));
            }
            (Waiting::Ends { .. } | Waiting::Nothing, _) => {}
        }
    }
}
