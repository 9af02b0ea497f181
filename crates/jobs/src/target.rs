//! Targets: their reports, the orders to them, the outcomes of orders, and their state on the board.

use crate::clock::RemoteClock;
use crate::health::Health;
use crate::{Resources, RunNumber, TaskId};
use indexmap::IndexMap;
use mangogw_model::{Time, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Shortest time limit of a call: a round trip takes under 10 ms, and a host whose CPU quota is used up is throttled for
/// up to 100 ms.
pub(crate) const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time limit of a call, by which a target that is slow to answer is told from a silent one: a lease has room
/// for two such calls and the wait of a renewal.
pub(crate) const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for which an order without an outcome may be on its way to a target: it is written within the time limit
/// of a call, on a host that the order has to reach first.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

slotmap::new_key_type! {
    /// Key of one incarnation of a target on the board.
    pub struct TargetKey;
}

/// Report of a target about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Id that the target announces.
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds; a later incarnation holds nothing of an earlier one.
    pub incarnation: u64,
    /// Sequence number, which rises with each report of an incarnation.
    pub sequence: u64,
    /// Name of the pool that the target belongs to.
    pub pool: String,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: Zone,
    /// Kind, rack and other labels that tasks may require.
    pub labels: Vec<String>,
    /// Total resources for tasks.
    pub resources: Resources,
    /// Whether the target accepts tasks.
    pub state: TargetState,
}

/// Whether a target accepts tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// The target accepts tasks.
    Ready,
    /// The target leaves soon and accepts no new tasks.
    Draining,
    /// The target has deregistered. Its runs go on until it ends, which it may do some seconds later.
    Left,
}

impl TargetReport {
    /// Returns true if this report is newer than `known`: of a later incarnation, or later of the same one. A target that
    /// has left and reports that it is draining has nothing new to say.
    ///
    /// ```
    /// use mangogw_jobs::{TargetReport, TargetState};
    /// use mangogw_model::Zone;
    /// let known = TargetReport {
    ///     id: "w1".to_owned(),
    ///     incarnation: 7,
    ///     sequence: 3,
    ///     pool: "p".to_owned(),
    ///     address: "10.0.0.1:80".parse().unwrap(),
    ///     zone: Zone::from("a"),
    ///     labels: Vec::new(),
    ///     resources: Default::default(),
    ///     state: TargetState::Left,
    /// };
    /// let draining = TargetReport { sequence: 4, state: TargetState::Draining, ..known.clone() };
    /// assert!(!draining.supersedes(&known));
    /// assert!(TargetReport { incarnation: 8, sequence: 1, ..draining }.supersedes(&known));
    /// ```
    pub fn supersedes(&self, known: &Self) -> bool {
        let repeats = self.incarnation == known.incarnation
            && (known.state, self.state) == (TargetState::Left, TargetState::Draining);
        !repeats && (self.incarnation, self.sequence) > (known.incarnation, known.sequence)
    }

    /// Returns what is known of a later incarnation from its answers alone. It may be of another kind, so it is draining
    /// until its first report.
    pub(crate) fn unreported(&self, incarnation: u64) -> Self {
        Self { incarnation, sequence: 0, state: TargetState::Draining, ..self.clone() }
    }

    /// Returns what is known of a later incarnation that has left and has not reported before; reports that arrive after
    /// that are late.
    pub(crate) fn left_unreported(&self, incarnation: u64) -> Self {
        Self { incarnation, sequence: u64::MAX, state: TargetState::Left, ..self.clone() }
    }

    /// Returns true if the two reports differ in more than their sequence numbers.
    pub fn differs_beyond_sequence(&self, other: &Self) -> bool {
        Self { sequence: other.sequence, ..self.clone() } != *other
    }
}

/// Order to a target, to be answered by [`crate::Board::on_outcome`] with the same key and kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Key of the target on the board, handed back with the outcome; it has no meaning elsewhere.
    #[serde(skip)]
    pub target: TargetKey,
    /// Id of the target.
    pub id: String,
    /// Incarnation of the target that the order is for.
    pub incarnation: u64,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: Zone,
    /// Fencing token of the leader.
    pub token: u64,
    /// Time within which the order is written, and again that within which it is answered, in milliseconds; beside the
    /// wait that it allows.
    pub time_limit: u64,
    /// Action that is ordered.
    pub kind: OrderKind,
}

/// Action that an order asks of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Start a run.
    Start {
        /// Task to start.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Payload of the job.
        payload: Arc<str>,
        /// End of the lease on the clock of the target, in milliseconds.
        until: u64,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
    },
    /// Stop a run.
    Stop {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
    },
    /// Extend the lease, forget acknowledged ends, and list the active and the ended runs.
    Renew {
        /// End of the lease on the clock of the target, in milliseconds; `None` leaves the lease as it is.
        until: Option<u64>,
        /// Highest end that is acknowledged: the target may forget the ends up to this number.
        seen: u64,
        /// Longest time for which the target may delay its answer until a run ends.
        wait: Duration,
    },
}

impl OrderKind {
    /// Returns true if the target may delay its answer.
    pub(crate) const fn may_wait(&self) -> bool {
        matches!(self, Self::Renew { wait, .. } if !wait.is_zero())
    }
}

impl fmt::Display for OrderKind {
    /// Writes the action and its run, without the payload.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start { task, run, .. } => write!(f, "start {task} run {}", run.0),
            Self::Stop { task, run } => write!(f, "stop {task} run {}", run.0),
            Self::Renew { .. } => write!(f, "renew"),
        }
    }
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target has carried out the order.
    Done {
        /// Clock of the target, in milliseconds.
        clock: u64,
    },
    /// The target has listed its runs.
    Listed(Listing),
    /// The target has refused the order and done nothing.
    Denied {
        /// Reason of the refusal.
        why: Denial,
        /// Clock of the target, in milliseconds; `None` if the target did not report it.
        clock: Option<u64>,
    },
    /// No answer: the order may have been carried out already, or may be later.
    Unsure,
    /// Another incarnation listens at the address.
    Replaced {
        /// The other incarnation, if it is of the same target; `None` for another target.
        incarnation: Option<u64>,
        /// False if the order has surely not been sent to the other incarnation.
        received: bool,
    },
}

/// Reason for which a target refuses an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// The target has seen a higher fencing token.
    Fenced,
    /// The target knows a run of the task with the same or a higher number.
    Old,
    /// The end of the lease had passed.
    Late,
    /// The target lacks free resources.
    Room,
    /// The target is unhealthy and has done nothing.
    Unwell,
    /// The target can't decode the order.
    Unreadable,
    /// No byte of the order reached the target.
    Unreached,
    /// The target did not identify itself in time, so no byte of the order was sent.
    Unidentified,
}

/// List of the runs of a target.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Incarnation of the target; `None` if the target did not report it.
    pub incarnation: Option<u64>,
    /// Clock of the target, in milliseconds.
    pub clock: u64,
    /// Runs that are active on the target.
    pub running: Vec<ActiveRun>,
    /// Ended runs whose ends have not been acknowledged, the oldest first.
    pub ended: Vec<EndedRun>,
    /// True if the target may hold further ends, which it lists once these are acknowledged.
    pub truncated: bool,
}

/// Active run on a target.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent, from 0 to 100.
    pub percent: u32,
}

/// Ended run on a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Number of the end, counted from 1 in each incarnation.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Result of the run.
    pub run_end: RunEnd,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
}

/// Result of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The run has completed its task.
    Done,
    /// The run has failed, through a fault of the task or of the target.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the run has expired.
    Lapsed,
    /// Another member of the gang has ended.
    Broken,
    /// The run has waited too long for the other members of its gang.
    Alone,
}

/// Run on a target, as the board knows it.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) number: RunNumber,
    pub(crate) need: Resources,
    pub(crate) state: RunState,
    /// Time at which the run was ordered to start, or adopted.
    pub(crate) begun: Time,
    /// Time at which the last order for the run was sent.
    pub(crate) sent: Time,
    /// True if this incarnation of the target has confirmed the run.
    pub(crate) confirmed: bool,
    /// Time at which the run was first moved to a later incarnation, on which it may be active.
    pub(crate) moved_at: Option<Time>,
    /// Time at which the target answered the last order for the run.
    pub(crate) started_at: Option<Time>,
    /// End of the lease that the start carried, on the clock of the target in milliseconds.
    pub(crate) lease_end: u64,
    pub(crate) percent: u32,
    /// Time at which the percentage last rose.
    pub(crate) last_progress: Time,
    /// Expected run time on the target, in milliseconds.
    pub(crate) expected: f64,
    /// Time without a rise of the percentage after which the run is stalled.
    pub(crate) stall_timeout: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The order to start has been sent and not answered yet.
    Starting,
    /// No answer came to the last order, so the run may be active or not.
    Unsure,
    /// The target has confirmed that the run is active.
    Running,
    /// The order to stop has been sent.
    Stopping,
}

/// One incarnation of a target on the board.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) report: TargetReport,
    pub(crate) clock: Option<RemoteClock>,
    /// True if the target has listed its runs under the fencing token of this leadership and is not suspected since.
    pub(crate) confirmed: bool,
    /// Time from which on everything that ran on the target is surely over.
    pub(crate) expires: Time,
    /// End of the lease on the clock of the target, in milliseconds.
    pub(crate) lease_end: u64,
    /// Time of the last lease that was given to the target while it was not suspected.
    pub(crate) lease_begun: Time,
    /// Time at which the last silence of the target was recorded as a failure.
    pub(crate) silence_recorded: Option<Time>,
    /// Consecutive renewals without a listing.
    pub(crate) missed_renewals: u32,
    /// Time limit of the next call.
    pub(crate) call_timeout: Duration,
    /// True if the last listing was truncated, so that the end of a run may be listed late or, in an isolated zone, never.
    pub(crate) truncated: bool,
    /// Time of the last report.
    pub(crate) last_report: Time,
    /// Time since which the target is absent: silent, and known to run nothing of this group.
    pub(crate) absent_since: Option<Time>,
    /// Time of the last answer.
    pub(crate) last_answer: Option<Time>,
    /// Time before the last listing without an open renewal; ends in that time were listed late by up to as much.
    pub(crate) listing_gap: Duration,
    /// Time at which the open renewal was sent; `None` if no renewal is open.
    pub(crate) renewal_sent: Option<Time>,
    /// Time of the next renewal, unless something requires one sooner.
    pub(crate) next_renewal: Time,
    /// Number of the highest end that was processed.
    pub(crate) last_listed: u64,
    /// Number of the highest end that the open renewal acknowledges.
    pub(crate) pending_ack: u64,
    /// Number of the highest end that an answered renewal has acknowledged.
    pub(crate) acked: u64,
    /// Numbers of the ends that are not recorded in the log yet.
    pub(crate) unrecorded: BTreeSet<u64>,
    /// Number from which on ends are not acknowledged by this board.
    pub(crate) withheld_from: u64,
    pub(crate) runs: IndexMap<TaskId, Run>,
    /// Runs whose jobs are unknown. Their needs are unknown too, so nothing is started beside them.
    pub(crate) orphans: IndexMap<TaskId, OrphanRun>,
    pub(crate) used: Resources,
    pub(crate) health: Health,
    /// True while the zone of the target is evacuated: it gets no new runs.
    pub(crate) evacuated: bool,
}

/// Run that a target lists and the board does not know.
#[derive(Debug, Clone)]
pub(crate) struct OrphanRun {
    pub(crate) run: RunNumber,
    pub(crate) found: Time,
    /// Time at which the target last listed it.
    pub(crate) listed: Time,
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
            lease_begun: now,
            silence_recorded: None,
            missed_renewals: 0,
            call_timeout: MIN_CALL_TIMEOUT,
            truncated: false,
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
            evacuated: false,
        }
    }

    /// Returns the resources that are surely free.
    pub(crate) fn free(&self) -> Resources {
        self.report.resources.saturating_sub(&self.used)
    }

    /// Returns the number up to which the target may forget its ends.
    pub(crate) fn ack_number(&self) -> u64 {
        self.unrecorded.first().map_or(self.last_listed, |first| first - 1).min(self.withheld_from - 1)
    }

    pub(crate) fn update_clock(&mut self, clock: u64, sent_at: Time, now: Time) {
        let clock = RemoteClock::new(clock, sent_at, now);
        self.clock = Some(self.clock.map_or(clock, |known| known.newer(clock)));
        self.last_answer = Some(now);
    }

    /// Extends the lease to `until`, in milliseconds on the clock of the target; to be called when it is requested.
    pub(crate) fn extend_lease(&mut self, until: u64) {
        self.lease_end = self.lease_end.max(until);
        if let Some(clock) = &self.clock {
            self.expires = self.expires.max(clock.surely_past(self.lease_end));
        }
    }

    /// Grants a lease until `until`, in milliseconds on the clock of the target.
    pub(crate) fn grant_lease(&mut self, now: Time, until: u64) {
        // A suspected target may still be silent.
        if self.confirmed {
            self.lease_begun = now;
        }
        self.extend_lease(until);
    }

    /// Records a silence, in which an order or a lease of the time `since` was lost, as one failure. Returns false if it was
    /// sent before the last recorded silence, to which it belongs.
    pub(crate) fn record_silence(&mut self, now: Time, since: Time) -> bool {
        let is_new = self.silence_recorded.is_none_or(|at| since > at);
        if is_new {
            self.silence_recorded = Some(now);
            self.health.record_failure(now);
        }
        is_new
    }

    pub(crate) fn remove_run(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.runs.swap_remove(task)?;
        self.used -= run.need;
        Some(run)
    }

    /// Removes a run if it has this number, and returns its task.
    pub(crate) fn take_run(&mut self, task: &TaskId, number: RunNumber) -> Option<TaskId> {
        self.runs.get(task).filter(|run| run.number == number)?;
        self.remove_run(task).map(|_| *task)
    }

    pub(crate) fn insert_run(&mut self, task: TaskId, run: Run) {
        self.used += run.need;
        self.runs.insert(task, run);
    }

    /// Returns true if nothing of this group can run on the target any more: it is silent for `timeout`, or it has left
    /// and holds nothing.
    pub(crate) fn is_gone(&self, now: Time, timeout: Duration) -> bool {
        let last_contact = self.last_answer.map_or(self.last_report, |at| at.max(self.last_report));
        match self.report.state {
            TargetState::Left if self.confirmed => self.is_idle() && self.acked >= self.ack_number(),
            TargetState::Left => self.is_idle() && now >= self.expires,
            TargetState::Ready | TargetState::Draining => {
                !self.confirmed && self.runs.is_empty() && now >= self.expires && now - last_contact >= timeout
            }
        }
    }

    /// Returns true if nothing runs or may run on the target, and no end waits to be recorded.
    pub(crate) fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.orphans.is_empty() && self.unrecorded.is_empty()
    }
}
