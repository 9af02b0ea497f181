//! Targets: what they say of themselves, what they are told, and what came of it.

use crate::clock::RemoteClock;
use crate::health::Health;
use crate::{Resources, RunNumber, TaskId};
use indexmap::IndexMap;
use mangogw_model::{Time, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

slotmap::new_key_type! {
    /// A life of a target on the board.
    pub struct TargetKey;
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The id it announces itself under.
    pub id: String,
    /// When its life began, in Unix milliseconds; a later life holds nothing of an earlier one.
    pub incarnation: u64,
    /// Rises with each report of a life.
    pub sequence: u64,
    /// The pool it belongs to.
    pub pool: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Kind, rack and whatever else tasks may ask for.
    pub labels: Vec<String>,
    /// What it has for tasks.
    pub resources: Resources,
    /// Whether it takes tasks.
    pub state: TargetState,
}

/// Whether a target takes tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It does.
    Ready,
    /// It leaves soon.
    Draining,
}

impl TargetReport {
    /// True if the two differ in more than their sequence.
    pub fn differs_beyond_sequence(&self, other: &Self) -> bool {
        Self { sequence: other.sequence, ..self.clone() } != *other
    }
}

/// Something to tell a target. It is answered by [`crate::Board::on_outcome`] with the same key and kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The target, handed back with the outcome; it means something to the board only.
    #[serde(skip)]
    pub target: TargetKey,
    /// Its id.
    pub id: String,
    /// The life that is meant.
    pub incarnation: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The fencing token.
    pub token: u64,
    /// What it is told.
    pub kind: OrderKind,
}

/// What a target is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Start a run.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// The payload of the job.
        payload: Arc<str>,
        /// The end of the lease, on the clock of the target in milliseconds.
        until: u64,
        /// The checkpoint to go on from; empty for none.
        checkpoint: String,
    },
    /// Stop a run.
    Stop {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
    },
    /// Extend the lease, forget ends up to one, and list what runs and what has ended.
    Renew {
        /// The end of the lease, on the clock of the target in milliseconds; none to leave it.
        until: Option<u64>,
        /// Ends up to this number are noted.
        seen: u64,
        /// The answer may wait so long for an end.
        wait: Duration,
    },
}

/// What came of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target has done what it was told.
    Done {
        /// Its clock, in milliseconds.
        clock: u64,
    },
    /// The target listed its runs.
    Listed(Listing),
    /// The target refused, and has done nothing.
    Denied {
        /// Why.
        why: Denial,
        /// Its clock, where it told.
        clock: Option<u64>,
    },
    /// Nothing is known: the order may have been carried out, or may still be.
    Unsure,
    /// Another life listens at the address.
    Replaced,
}

/// Why a target refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// It has seen a higher fencing token.
    Fenced,
    /// It knows a run of the task that is as high or higher.
    Old,
    /// The end of the lease had passed.
    Late,
    /// It has no room.
    Room,
    /// It is not well, and has done nothing.
    Unwell,
    /// It can't read the order.
    Unreadable,
    /// No byte reached it.
    Unreached,
}

/// What a target lists.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The life that lists, where it says so.
    pub incarnation: Option<u64>,
    /// Its clock, in milliseconds.
    pub clock: u64,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// What has ended and was not noted.
    pub ended: Vec<EndedRun>,
}

/// A run that goes on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
    /// How much of it is done, from 0 to 100.
    pub percent: u32,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Counts the ends of a life, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub run_end: RunEnd,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// It did its work.
    Done,
    /// It failed by its own fault or the target's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

/// A run as the board knows it.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) number: RunNumber,
    pub(crate) need: Resources,
    pub(crate) state: RunState,
    pub(crate) sent: Time,
    /// When the target answered the start.
    pub(crate) started_at: Option<Time>,
    /// The end of the lease that the start carried, on the clock of the target.
    pub(crate) lease_end: u64,
    pub(crate) percent: u32,
    /// When the percentage last rose.
    pub(crate) last_progress: Time,
    /// What the run should take there, in milliseconds.
    pub(crate) expected: f64,
    /// It stands still if its percentage has not risen for so long.
    pub(crate) stall_timeout: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The start is on its way.
    Starting,
    /// No answer came to the start.
    Unsure,
    /// The target said that it runs.
    Running,
    /// It was told to stop.
    Stopping,
}

/// A life of a target on the board.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) report: TargetReport,
    pub(crate) clock: Option<RemoteClock>,
    /// Its lists were read under the token of this leadership, and nothing has cast doubt on them.
    pub(crate) confirmed: bool,
    /// Everything that runs on it is surely dead from then on.
    pub(crate) expires: Time,
    /// The end of the lease on its clock.
    pub(crate) lease_end: u64,
    /// Looks that failed one after the other.
    pub(crate) missed_renewals: u32,
    /// When it last reported.
    pub(crate) last_report: Time,
    /// Since when it is silent, and known to run nothing of this group.
    pub(crate) absent_since: Option<Time>,
    /// When it last answered.
    pub(crate) last_answer: Option<Time>,
    /// The time before the last listing in which no look was open: ends in it were listed late by as much.
    pub(crate) listing_gap: Duration,
    /// When the last look was sent, while it is open.
    pub(crate) renewal_sent: Option<Time>,
    /// When the next look goes out, unless something asks for one sooner.
    pub(crate) next_renewal: Time,
    /// The highest end that was taken in.
    pub(crate) last_listed: u64,
    /// The highest end that the open look notes, and the highest that an answered one has noted.
    pub(crate) pending_ack: u64,
    pub(crate) acked: u64,
    /// Ends that wait to be noted.
    pub(crate) unrecorded: BTreeSet<u64>,
    /// Ends from this number on are not noted here at all.
    pub(crate) withheld_from: u64,
    pub(crate) runs: IndexMap<TaskId, Run>,
    /// Runs that nobody knows: their size is unknown, so nothing is started beside them.
    pub(crate) orphans: IndexMap<TaskId, OrphanRun>,
    pub(crate) used: Resources,
    pub(crate) health: Health,
}

/// A run that the board did not start.
#[derive(Debug, Clone)]
pub(crate) struct OrphanRun {
    pub(crate) run: RunNumber,
    pub(crate) found: Time,
    pub(crate) stop_sent: Option<Time>,
}

impl Target {
    pub(crate) fn new(report: TargetReport, now: Time, expires: Time) -> Self {
        Self {
            report,
            clock: None,
            confirmed: false,
            expires,
            lease_end: 0,
            missed_renewals: 0,
            last_report: now,
            absent_since: None,
            last_answer: None,
            listing_gap: Duration::MAX,
            renewal_sent: None,
            next_renewal: now,
            last_listed: 0,
            pending_ack: 0,
            acked: 0,
            unrecorded: BTreeSet::new(),
            withheld_from: u64::MAX,
            runs: IndexMap::new(),
            orphans: IndexMap::new(),
            used: Resources::default(),
            health: Health::default(),
        }
    }

    /// The room that is surely free.
    pub(crate) fn free(&self) -> Resources {
        self.report.resources.saturating_sub(&self.used)
    }

    /// Ends up to this number may be forgotten by the target.
    pub(crate) fn ack_number(&self) -> u64 {
        self.unrecorded.first().map_or(self.last_listed, |first| first - 1).min(self.withheld_from - 1)
    }

    pub(crate) fn update_clock(&mut self, clock: u64, asked: Time, now: Time) {
        let heard = RemoteClock::new(clock, asked, now);
        self.clock = Some(self.clock.map_or(heard, |known| known.newer(heard)));
        self.last_answer = Some(now);
    }

    /// Notes that a lease up to `until` on the clock of the target was asked for.
    pub(crate) fn extend_lease(&mut self, until: u64) {
        self.lease_end = self.lease_end.max(until);
        if let Some(clock) = &self.clock {
            self.expires = self.expires.max(clock.surely_past(self.lease_end));
        }
    }

    pub(crate) fn remove_run(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.runs.swap_remove(task)?;
        self.used -= run.need;
        Some(run)
    }

    pub(crate) fn insert_run(&mut self, task: TaskId, run: Run) {
        self.used += run.need;
        self.runs.insert(task, run);
    }

    /// True if nothing is known or believed to run.
    pub(crate) fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.orphans.is_empty() && self.unrecorded.is_empty()
    }
}
