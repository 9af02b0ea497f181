//! Runs that go on after the leadership of this member has ended.
//!
//! The load pattern is a stream of jobs that are not stored, at the moment in which the leader is cut off with a part of the
//! targets. The next leader can't reach these, and learns neither of their runs nor of the clients that are gone: a client
//! that lost its host shortly before sends its job again, and the next leader takes that for the first attempt. The earlier
//! leader owes such clients the stop of their runs in time, as long as a lease that it gave may last. A target that the next
//! leader has reached refuses the stop, which carries the earlier fencing token.

use super::{CallId, Member};
use indexmap::IndexMap;
use mangogw_jobs::{Board, Denial, JobId, LeasedRun, ORDER_TIMEOUT, Order, OrderKind, Outcome, RunNumber, TaskId};
use mangogw_model::{HostId, Time};
use std::time::Duration;

/// Pause before a stop that a target has not carried out is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A run under a lease of an ended leadership.
#[derive(Debug)]
struct ExpiringRun {
    stop: Order,
    /// Calls whose clients wait for the run; it is stopped once there are none.
    callers: Vec<CallId>,
    stop_at: Time,
    /// Time at which the lease is surely over.
    expires: Time,
}

/// The runs under leases of ended leaderships, whose clients only this member knows.
#[derive(Debug, Default)]
pub(super) struct ExpiringRuns(IndexMap<(TaskId, RunNumber), ExpiringRun>);

impl ExpiringRuns {
    /// Takes note that a client waits no longer.
    pub(super) fn on_disconnected(&mut self, now: Time, call_id: CallId) {
        self.release(now, |caller| *caller == call_id);
    }

    /// Takes note that all clients of a host are lost.
    pub(super) fn on_host_lost(&mut self, now: Time, host: HostId) {
        self.release(now, |caller| caller.host == host);
    }

    /// Removes callers. Runs that lose their last one are due to be stopped.
    fn release(&mut self, now: Time, is_gone: impl Fn(&CallId) -> bool) {
        let mut released: IndexMap<JobId, (u64, usize)> = IndexMap::new();
        for ((task, _), run) in self.0.iter_mut().filter(|(_, run)| run.callers.iter().any(&is_gone)) {
            run.callers.retain(|caller| !is_gone(caller));
            if run.callers.is_empty() {
                run.stop_at = now;
                released.entry(task.job).or_insert((run.stop.token, 0)).1 += 1;
            }
        }
        for (job, (token, runs)) in released {
            log::info!(job:%, token, runs; "expiring: the clients of a job are lost; stopping its runs");
        }
    }

    /// Handles the outcome of an order of an ended leadership.
    pub(super) fn on_outcome(&mut self, now: Time, order: &Order, outcome: &Outcome) {
        let OrderKind::Stop { task, run } = &order.kind else { return };
        let key = (*task, *run);
        match outcome {
            Outcome::Unsure
            | Outcome::Denied { why: Denial::Unreached | Denial::Unidentified | Denial::Unwell, .. } => {
                if let Some(run) = self.0.get_mut(&key) {
                    run.stop_at = now + STOP_RETRY_DELAY;
                }
            }
            // The run is stopped or over, or its target has a later leader.
            Outcome::Done { .. } | Outcome::Listed(_) | Outcome::Denied { .. } | Outcome::Replaced { .. } => {
                self.0.swap_remove(&key);
            }
        }
    }

    /// Forgets the runs whose leases are over, and returns the stops that are due.
    pub(super) fn due(&mut self, now: Time) -> Vec<Order> {
        self.0.retain(|_, run| now < run.expires);
        let due = self.0.values_mut().filter(|run| run.callers.is_empty() && now >= run.stop_at);
        due.map(|run| {
            run.stop_at = now + ORDER_TIMEOUT;
            run.stop.clone()
        })
        .collect()
    }
}

impl Member {
    /// Keeps the runs of a board that is closed, but for those whose clients send again only after their leases.
    pub(super) fn expire_runs(&mut self, now: Time, board: &Board) {
        let expires = now + self.settings.jobs.lease_expiry();
        let harmless = self.settings.harmless_silence();
        let own = self.status().host;
        let leased = board.leased_runs(now);
        let (runs, mut kept) = (leased.len(), 0);
        for LeasedRun { stop, recipients, stop_at } in leased {
            let callers: Vec<CallId> =
                recipients.iter().filter_map(|reply_to| self.by_reply_to.get(reply_to).copied()).collect();
            let is_heard = |caller: &CallId| match self.hosts.get(&caller.host) {
                Some(known) => now - known.heard <= harmless,
                None => caller.host == own,
            };
            let OrderKind::Stop { task, run } = stop.kind else { continue };
            if !callers.iter().any(is_heard) {
                kept += 1;
                self.expiring.0.insert((task, run), ExpiringRun { stop, callers, stop_at, expires });
            }
        }
        log::info!(
            token = board.token(), runs, kept;
            "expiring: leadership has ended; the runs of silent hosts are kept, to be stopped if these are lost"
        );
    }
}
