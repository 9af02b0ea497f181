//! What the log hands out: entries to apply, reads that may be answered, refusals, and changes of role.

use super::{Early, Member, MemberOutput, READ_WAIT, Waiting, refused};
use crate::grow::Growth;
use crate::island::token_of;
use crate::{Call, Message, Reply};
use mangogw_jobs::{Board, Command, Ledger, Output as Wish, Phase, Verdict};
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
            Wish::Answer { asker, end } => {
                if let Some(asker) = self.tickets.swap_remove(&asker) {
                    self.by_asker.swap_remove(&asker);
                    self.answer(asker, Reply::from(end));
                }
            }
            // The group is told by itself, once this zone is back.
            Wish::Propose(_) | Wish::Note { .. } if self.alone => {}
            Wish::Propose(command) => self.propose(now, &command, Waiting::Nothing),
            Wish::Note { target, numbers, notes } => {
                self.propose_waiting(now, Waiting::Ends { target, numbers, notes });
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
                if let Some(Waiting::Read(asker, call)) = self.waiting.swap_remove(&tag) {
                    let reply = self.read(&call);
                    match (&call, &reply) {
                        (Call::Read { id, .. }, Reply::State(Phase::Running)) => {
                            self.watching.push((asker, *id, now + READ_WAIT));
                        }
                        _ => self.answer(asker, reply),
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
            None if self.alone => return,
            Some(_) if self.alone => self.close_island(),
            _ => {}
        }
        if role != Role::Leader || token.is_some_and(|token| token != token_of(term)) {
            self.close_board();
            self.again.clear();
            for (asker, ..) in std::mem::take(&mut self.watching) {
                self.out.push(MemberOutput::Send(asker.host, Message::Astray { serial: asker.serial }));
            }
        }
        if role != Role::Leader {
            for Early { asker, .. } in std::mem::take(&mut self.early) {
                self.out.push(MemberOutput::Send(asker.host, Message::Astray { serial: asker.serial }));
            }
        }
    }

    /// Opens the board once this member leads and has applied all that came before.
    fn open_board(&mut self, now: Time) {
        if self.alone && self.raft.role() == Role::Leader {
            self.close_island();
        }
        if self.board.is_some() || self.raft.leader_applied_index().is_none_or(|index| index > self.applied) {
            return;
        }
        let token = token_of(self.raft.term().0);
        self.board = Some(Board::open(self.settings.jobs.clone(), token, &self.ledger, now));
        self.retake_all(now);
        self.growth = Growth::new(self.settings.voters, now);
        for Early { asker, call, fresh } in std::mem::take(&mut self.early) {
            self.lead_call(now, asker, call, fresh);
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
        if let Some(board) = self.board.as_mut().filter(|_| !self.alone) {
            match &command {
                Command::Install(set) if applied.verdict == Verdict::Changed => {
                    log::info!(version = set.version.0, queues = set.queues.len(); "member: queues in force");
                    board.install(set);
                }
                Command::Target(report) => board.on_report(now, report),
                Command::Forget { id, born } => board.on_left(now, id, *born),
                Command::Accept { id, .. } => {
                    if let Some(kept) = self.ledger.jobs.get(id).filter(|kept| kept.ended.is_none()) {
                        board.restore(now, *id, kept, applied.verdict == Verdict::Changed);
                    }
                }
                _ => {}
            }
            if let Some(Waiting::Ends { target, numbers, notes }) = &waiting {
                board.on_noted(now, *target, numbers, notes);
            }
            for (id, phase) in &applied.ended {
                log::info!(job:% = id, phase:?; "member: stored job ended");
                board.on_ended(now, *id);
            }
            if !applied.ended.is_empty() {
                self.answer_watching(|id, _| applied.ended.iter().any(|(ended, _)| *ended == id));
            }
        }
        if let Some(Waiting::Change(asker, command)) = waiting {
            let reply = match (command, applied.verdict) {
                (Command::Accept { .. }, _) => Reply::Accepted,
                (Command::Cancel { .. }, Verdict::Unknown) => Reply::NoJob,
                (Command::Cancel { .. }, _) => Reply::Canceled,
                _ => Reply::Done,
            };
            self.answer(asker, reply);
        }
    }

    fn refused(&mut self, tag: Tag, why: Refusal) {
        let Some(waiting) = self.waiting.swap_remove(&tag) else { return };
        match (waiting, why) {
            (Waiting::Read(asker, _), Refusal::NotLeader) => {
                self.out.push(MemberOutput::Send(asker.host, Message::Astray { serial: asker.serial }));
            }
            (Waiting::Change(asker, _), Refusal::Unsure | Refusal::Failed) => {
                // The next leader is asked the same by the host that has the client.
                log::info!(host = asker.host.0, serial = asker.serial; "member: a change is unsure");
            }
            (Waiting::Read(asker, _) | Waiting::Change(asker, Command::Accept { .. }), _) => {
                self.answer(asker, refused("the leader is busy"));
            }
            (waiting @ (Waiting::Change(..) | Waiting::Ends { .. }), Refusal::Busy | Refusal::Transferring) => {
                self.again.push(waiting);
            }
            (Waiting::Change(asker, _), _) => {
                self.out.push(MemberOutput::Send(asker.host, Message::Astray { serial: asker.serial }));
            }
            (Waiting::Ends { .. } | Waiting::Nothing, _) => {}
        }
    }
}
