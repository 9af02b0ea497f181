//! The control group on one of its members: the log, the state that it makes, and the board of the leader.

mod alone;
mod entries;

use crate::grow::Growth;
use crate::{Call, Message, Reply, Settings, View};
use indexmap::IndexMap;
use mangogw_jobs::Order;
use mangogw_jobs::{Board, Command, Counts, JobId, Kept, Ledger, Note, Outcome, Phase, Submission, TargetKey};
use mangogw_model::{HostId, Time, Zone};
use mangogw_store::{DurableState, Index, Raft, Role, Status, Tag, Write, WriteId};
use std::time::Duration;

/// Ended jobs are dropped from the log this often.
const EXPIRE_PERIOD: Duration = Duration::from_secs(5);
/// What a client is told to wait while the leader is busy or changing.
const COME_BACK: Duration = Duration::from_secs(1);
/// A read of a job that is at work waits so long for its end. Clients ask just after the last task has ended, a commit
/// of 15 to 25 ms before the end is known, and again only a quarter of a second later.
const READ_WAIT: Duration = Duration::from_millis(100);
/// A leader that hands over has so long before it tries another way.
const HANDOVER: Duration = Duration::from_millis(600);

/// Where a call came from: the host and its number for the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Asker {
    pub(crate) host: HostId,
    pub(crate) serial: u64,
}

/// A call that came before the board was open.
#[derive(Debug)]
struct Early {
    asker: Asker,
    call: Call,
    /// No host that may have led had it before.
    fresh: bool,
}

/// What waits for the log.
#[derive(Debug)]
enum Waiting {
    /// A read that must be current.
    Read(Asker, Call),
    /// A change whose sender wants to know.
    Change(Asker, Command),
    /// Ends that a target listed.
    Ends { target: TargetKey, numbers: Vec<u64>, notes: Vec<Note> },
    /// Nobody waits.
    Nothing,
}

/// What a member wants done.
#[derive(Debug)]
pub(crate) enum MemberOutput {
    Send(HostId, Message),
    Write(Write),
    Order(Order),
    Answer(Asker, Reply),
    /// The state can't be read: this process must end.
    Broken,
}

/// One member of the control group.
#[derive(Debug)]
pub(crate) struct Member {
    settings: Settings,
    pub(crate) raft: Raft,
    pub(crate) ledger: Ledger,
    pub(crate) board: Option<Board>,
    /// What earlier boards have done.
    counts: Counts,
    /// The board is that of an island.
    alone: bool,
    /// The last islands that this member has overruled, by zone.
    overruled: IndexMap<Zone, u64>,
    /// The last entry that was applied.
    applied: Index,
    waiting: IndexMap<Tag, Waiting>,
    serial: u64,
    /// Open calls by their number on the board.
    tickets: IndexMap<u64, Asker>,
    by_asker: IndexMap<Asker, u64>,
    /// Calls that came before the board was open.
    early: Vec<Early>,
    /// Changes that the log would not take yet.
    again: Vec<Waiting>,
    /// Reads that wait for the end of a job, and until when.
    watching: Vec<(Asker, JobId, Time)>,
    growth: Growth,
    expired: Time,
    stepping: Option<Time>,
    out: Vec<MemberOutput>,
}

impl Member {
    pub(crate) fn open(settings: Settings, stored: DurableState, now: Time) -> Self {
        // Elections from 300 ms in place of 400 deposed busy leaders of 350 targets twice in ten seconds.
        let raft_settings = mangogw_store::Settings { seed: settings.seed, ..mangogw_store::Settings::default() };
        let mut member = Self {
            raft: Raft::open(raft_settings, stored, now),
            ledger: Ledger::default(),
            board: None,
            counts: Counts::default(),
            alone: false,
            overruled: IndexMap::new(),
            applied: Index(0),
            waiting: IndexMap::new(),
            serial: settings.seed << 24,
            tickets: IndexMap::new(),
            by_asker: IndexMap::new(),
            early: Vec::new(),
            again: Vec::new(),
            watching: Vec::new(),
            growth: Growth::new(settings.voters, now),
            expired: now,
            stepping: None,
            out: Vec::new(),
            settings,
        };
        member.settle(now);
        member
    }

    pub(crate) fn status(&self) -> Status {
        self.raft.status()
    }

    /// True if this member leads the whole group.
    pub(crate) const fn leads(&self) -> bool {
        self.board.is_some() && !self.alone
    }

    /// What this member shows of itself, beside `calls`.
    pub(crate) fn view(&self, calls: View) -> View {
        let (jobs, waiting) = self.board.as_ref().map_or((0, 0), Board::jobs);
        View {
            leads: self.leads(),
            alone: self.alone,
            term: self.raft.term().0,
            version: self.ledger.version().0,
            voters: self.raft.status().members.voters.len(),
            stored: self.ledger.jobs.len(),
            targets: self.targets(),
            heard: self.board.as_ref().map_or(0, Board::heard),
            jobs,
            waiting,
            counts: self.board.as_ref().map_or(self.counts, |board| self.counts + board.counts()),
            ..calls
        }
    }

    /// Ends what this member leads, a group or an island.
    fn close_board(&mut self) {
        if let Some(board) = self.board.take() {
            self.counts = self.counts + board.counts();
        }
        self.alone = false;
        self.tickets.clear();
        self.by_asker.clear();
    }

    /// How many targets the leader knows.
    pub(crate) fn targets(&self) -> usize {
        self.board.as_ref().map_or(0, Board::targets)
    }

    pub(crate) fn drain(&mut self, now: Time) -> Vec<MemberOutput> {
        self.settle(now);
        std::mem::take(&mut self.out)
    }

    pub(crate) fn on_raft(&mut self, now: Time, from: HostId, message: mangogw_store::Message) {
        self.raft.on_message(now, from, message);
    }

    pub(crate) fn on_join(&mut self, now: Time, host: HostId, birth: mangogw_store::FolderId) {
        if self.leads() {
            self.growth.on_join(now, host, birth);
        }
    }

    pub(crate) fn on_synced(&mut self, now: Time, id: WriteId) {
        self.raft.on_synced(now, id);
    }

    pub(crate) fn on_failed(&mut self, now: Time) {
        self.raft.on_failed(now);
    }

    pub(crate) fn on_outcome(&mut self, now: Time, order: &Order, asked: Time, outcome: Outcome) {
        if let Some(board) = self.board.as_mut().filter(|board| board.token() == order.token) {
            board.on_outcome(now, order, asked, outcome);
        }
    }

    pub(crate) fn on_tick(&mut self, now: Time) {
        self.raft.on_tick(now);
        self.settle(now);
        let Some(board) = &mut self.board else { return };
        board.on_tick(now);
        if self.alone {
            return self.settle(now);
        }
        if board.is_fenced() {
            log::warn!("member: fenced by a later leader; giving up the lead");
            self.step_down(now);
        }
        if let Some(change) = self.growth.change(now, &self.raft) {
            let tag = self.tag();
            self.raft.change_membership(now, change, tag);
        }
        if now - self.expired >= EXPIRE_PERIOD {
            self.expired = now;
            self.expire(now);
        }
        self.answer_watching(|_, until| now >= until);
        for waiting in std::mem::take(&mut self.again) {
            self.propose_waiting(now, waiting);
        }
        self.settle(now);
    }

    /// Answers reads that wait, as far as `due` says by job and time.
    fn answer_watching(&mut self, due: impl Fn(JobId, Time) -> bool) {
        let waiting = std::mem::take(&mut self.watching);
        let (ready, rest): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(_, id, until)| due(*id, *until));
        self.watching = rest;
        for (asker, id, _) in ready {
            let reply = self.phase(id).map_or(Reply::NoJob, Reply::State);
            self.answer(asker, reply);
        }
    }

    /// Forgets stored jobs that ended long ago.
    fn expire(&mut self, now: Time) {
        let keep = self.settings.jobs.keep.as_millis() as u64;
        let before = self.wall(now).saturating_sub(keep);
        let old = |kept: &Kept| kept.ended.is_some_and(|(_, at)| at < before);
        if self.ledger.jobs.values().any(old) {
            self.propose(now, &Command::Expire(before), Waiting::Nothing);
        }
    }

    /// Hands the lead to the voter that is furthest, if there is one.
    pub(crate) fn step_down(&mut self, now: Time) {
        if self.stepping.is_some_and(|at| now - at < HANDOVER) {
            return;
        }
        let status = self.raft.status();
        let best = status
            .peers
            .iter()
            .filter(|peer| peer.alive && status.members.is_voter(peer.host))
            .max_by_key(|peer| peer.matched);
        if let Some(best) = best.filter(|_| status.role == Role::Leader) {
            self.stepping = Some(now);
            let tag = self.tag();
            self.raft.transfer(now, best.host, tag);
        }
    }

    /// Takes a call, if this member leads or is about to. False if it does not.
    pub(crate) fn on_call(&mut self, now: Time, asker: Asker, call: Call, fresh: bool) -> bool {
        match (&self.board, self.raft.role()) {
            (Some(_), _) => self.lead_call(now, asker, call, fresh),
            (None, Role::Leader) => self.early.push(Early { asker, call, fresh }),
            _ => return false,
        }
        self.settle(now);
        true
    }

    /// The client of a call has left.
    pub(crate) fn on_gone(&mut self, now: Time, asker: Asker) {
        self.early.retain(|early| early.asker != asker);
        if let (Some(ticket), Some(board)) = (self.by_asker.swap_remove(&asker), &mut self.board) {
            self.tickets.swap_remove(&ticket);
            board.on_gone(now, ticket);
        }
        self.settle(now);
    }

    /// A host is lost: nobody waits for what it asked.
    pub(crate) fn on_host_lost(&mut self, now: Time, host: HostId) {
        let askers: Vec<Asker> = self.by_asker.keys().copied().filter(|asker| asker.host == host).collect();
        if !askers.is_empty() {
            log::info!(host = host.0, calls = askers.len(); "member: host lost, its calls are dropped");
        }
        self.early.retain(|early| early.asker.host != host);
        self.watching.retain(|(asker, ..)| asker.host != host);
        for asker in askers {
            self.on_gone(now, asker);
        }
    }

    /// Which of these calls are not at work here.
    pub(crate) fn unknown(&self, host: HostId, serials: &[u64]) -> Vec<u64> {
        let waits = |asker: Asker| {
            self.by_asker.contains_key(&asker)
                || self.early.iter().any(|early| early.asker == asker)
                || self.watching.iter().any(|(other, ..)| *other == asker)
                || self.waiting.values().chain(&self.again).any(|waiting| waiting.asker() == Some(asker))
        };
        serials.iter().copied().filter(|serial| !waits(Asker { host, serial: *serial })).collect()
    }

    fn lead_call(&mut self, now: Time, asker: Asker, call: Call, fresh: bool) {
        let at = self.wall(now);
        let Some(board) = &mut self.board else { return };
        match call {
            call if self.alone && !is_transient(&call) => self.answer(asker, refused("this zone is cut off")),
            Call::Submit { host, path, id, spec, within } => match board.find(&host, &path).cloned() {
                None if !board.is_furnished() => self.answer(asker, unfurnished()),
                None => self.answer(asker, Reply::NoQueue),
                Some(queue) if spec.transient => {
                    let ticket = self.ticket(asker);
                    let patience = within.map(|within| now + within);
                    let submission = Submission { id, spec, patience, asker: ticket, fresh };
                    if let Some(board) = &mut self.board {
                        board.admit(now, submission, &queue);
                    }
                }
                Some(queue) => {
                    let (queue, attempts) = (queue.name, queue.attempts);
                    let command = Command::Accept { id, spec, queue, attempts, at };
                    self.propose(now, &command, Waiting::Change(asker, command.clone()));
                }
            },
            Call::Read { host, path, .. } | Call::Cancel { host, path, .. } | Call::Count { host, path }
                if board.is_furnished() && board.find(&host, &path).is_none() =>
            {
                self.answer(asker, Reply::NoQueue);
            }
            Call::Cancel { id, .. } => {
                let command = Command::Cancel { id, at };
                self.propose(now, &command, Waiting::Change(asker, command.clone()));
            }
            Call::Install(set) => {
                let command = Command::Install(set);
                self.propose(now, &command, Waiting::Change(asker, command.clone()));
            }
            Call::Report(report) => match self.ledger.targets.get(&report.id) {
                Some(known)
                    if known.born == report.born
                        && !known.differs(&report)
                        && !self.ledger.absent.contains(&report.id) =>
                {
                    board.on_report(now, &report);
                    self.answer(asker, Reply::Done);
                }
                Some(known) if known.born > report.born => self.answer(asker, Reply::Done),
                _ => {
                    let command = Command::Target(report);
                    self.propose(now, &command, Waiting::Change(asker, command.clone()));
                }
            },
            Call::Leave { id } => match self.ledger.targets.get(&id).map(|known| known.born) {
                Some(born) => {
                    let command = Command::Forget { id, born };
                    self.propose(now, &command, Waiting::Change(asker, command.clone()));
                }
                None => self.answer(asker, Reply::Done),
            },
            Call::Read { .. } | Call::Count { .. } | Call::Fetch => {
                let tag = self.tag();
                self.waiting.insert(tag, Waiting::Read(asker, call));
                self.raft.read(now, tag);
            }
        }
    }

    /// Answers a read from the state applied so far.
    fn read(&self, call: &Call) -> Reply {
        match call {
            Call::Fetch => Reply::Set(self.ledger.set.clone()),
            Call::Count { host, path } => match self.board.as_ref().map(|board| (board, board.find(host, path))) {
                Some((board, Some(queue))) => Reply::Waiting(board.waiting(&queue.name) as u64),
                Some((board, None)) if board.is_furnished() => Reply::NoQueue,
                _ => unfurnished(),
            },
            Call::Read { id, .. } => self.phase(*id).map_or(Reply::NoJob, Reply::State),
            _ => Reply::Unclear,
        }
    }

    fn phase(&self, id: JobId) -> Option<Phase> {
        let kept = self.ledger.jobs.get(&id)?;
        match kept.ended {
            Some((phase, _)) => Some(phase),
            None => Some(self.board.as_ref().and_then(|board| board.phase(id)).unwrap_or(Phase::Pending)),
        }
    }

    fn wall(&self, now: Time) -> u64 {
        self.settings.jobs.wall + now.as_micros() / 1000
    }

    fn ticket(&mut self, asker: Asker) -> u64 {
        self.serial += 1;
        self.tickets.insert(self.serial, asker);
        self.by_asker.insert(asker, self.serial);
        self.serial
    }

    fn tag(&mut self) -> Tag {
        self.serial += 1;
        Tag(self.serial)
    }

    fn answer(&mut self, asker: Asker, reply: Reply) {
        self.out.push(MemberOutput::Answer(asker, reply));
    }

    fn propose(&mut self, now: Time, command: &Command, waiting: Waiting) {
        let tag = self.tag();
        // Plain data always encodes.
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        self.waiting.insert(tag, waiting);
        self.raft.propose(now, bytes.into(), tag);
    }

    fn propose_waiting(&mut self, now: Time, waiting: Waiting) {
        match waiting {
            Waiting::Ends { target, numbers, notes } => {
                let command = Command::Ends(notes.clone());
                self.propose(now, &command, Waiting::Ends { target, numbers, notes });
            }
            Waiting::Change(asker, command) => {
                self.propose(now, &command, Waiting::Change(asker, command.clone()));
            }
            Waiting::Read(..) | Waiting::Nothing => {}
        }
    }
}

impl Waiting {
    const fn asker(&self) -> Option<Asker> {
        match self {
            Self::Read(asker, _) | Self::Change(asker, _) => Some(*asker),
            Self::Ends { .. } | Self::Nothing => None,
        }
    }
}

fn is_transient(call: &Call) -> bool {
    matches!(call, Call::Submit { spec, .. } if spec.transient)
}

fn refused(why: &str) -> Reply {
    Reply::Refused { why: why.to_owned(), wait: COME_BACK }
}

fn unfurnished() -> Reply {
    refused("no queues are known yet")
}
