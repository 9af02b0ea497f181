//! The hosts for whose clients jobs that are not stored may run, and whether one of them may be lost.
//!
//! A client whose host is lost sends its job again through another host, which says in good faith that this is a first
//! attempt. So a new leader believes that only while all hosts are present that an earlier leader may have run jobs
//! for. The ledger holds these hosts: a leader runs nothing for a host before the group knows its incarnation.

use super::{Member, PendingOp, ReceivedCall, is_transient};
use crate::HostInfo;
use indexmap::{IndexMap, IndexSet};
use mangogw_jobs::{Board, Command};
use mangogw_model::{HostId, Time};
use mangogw_store::{Role, Term};
use std::time::Duration;

/// Time for which a new leader waits for word from all hosts before it doubts first attempts. Hosts ask for the leader
/// as soon as they learn of it, and every 150 ms.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which a change of the ledger's hosts is proposed again if it has not been applied.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// What the leader of a term has heard from the hosts that follow it.
#[derive(Debug)]
pub(super) struct Presence {
    term: Term,
    /// Time at which the board was opened.
    opened: Time,
    /// Time since which this host has run without a pause.
    resumed: Time,
    /// Time of the last leader query of each incarnation of a host.
    heard: IndexMap<(HostId, u64), Time>,
    /// Last incarnation of each host.
    current: IndexMap<HostId, u64>,
    /// Time of the last proposal to add or remove a host that has not been applied.
    proposed: IndexMap<(HostId, u64), Time>,
}

/// What a leader does with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    /// Execute it.
    Execute {
        /// True if no earlier leader can have received its job.
        first_attempt: bool,
    },
    /// Propose to add the sender to the ledger, and hold the call until then.
    Join,
    /// Hold it until the hosts of the ledger are present, or for [`PRESENCE_TIMEOUT`].
    Hold,
    /// Ignore it: its sender has started again, and its client is gone.
    Ignore,
}

impl Presence {
    pub(super) fn new(now: Time) -> Self {
        Self {
            term: Term(0),
            opened: now,
            resumed: now,
            heard: IndexMap::new(),
            current: IndexMap::new(),
            proposed: IndexMap::new(),
        }
    }

    /// Records a leader query. Returns true if the host has started again since its last one.
    fn on_host_info(&mut self, now: Time, term: Term, host: HostId, info: &HostInfo) -> bool {
        if self.term != term {
            *self = Self { term, ..Self::new(now) };
        }
        let key = (host, info.incarnation);
        // A query of an earlier incarnation may arrive late.
        if info.term != term || self.is_replaced(key) {
            return false;
        }
        self.heard.insert(key, now);
        self.current.insert(host, info.incarnation).is_some_and(|known| known != info.incarnation)
    }

    /// Returns true if a later incarnation of the host is known.
    fn is_replaced(&self, key: (HostId, u64)) -> bool {
        self.heard.contains_key(&key) && self.current.get(&key.0) != Some(&key.1)
    }

    /// Returns true if all of these hosts have been heard within `timeout`.
    fn is_complete(&self, now: Time, hosts: &IndexSet<(HostId, u64)>, timeout: Duration) -> bool {
        hosts
            .iter()
            .all(|key| self.heard.get(key).is_some_and(|heard| now - *heard < timeout) && !self.is_replaced(*key))
    }

    /// Returns the time for which this host would have heard an incarnation of a host, but has not.
    fn silence(&self, now: Time, key: (HostId, u64)) -> Duration {
        let heard = self.heard.get(&key).copied().unwrap_or(self.opened);
        now - heard.max(self.opened).max(self.resumed)
    }
}

impl Member {
    /// Records the leader query of a host, and drops the calls of its earlier incarnation.
    pub(crate) fn on_host_info(&mut self, now: Time, host: HostId, info: &HostInfo) {
        if self.raft.role() != Role::Leader && !self.isolated {
            return;
        }
        if self.presence.on_host_info(now, self.raft.term(), host, info) {
            log::info!(host = host.0; "member: host has started again");
            self.on_host_lost(now, host);
        }
        self.take_early_calls(now);
    }

    /// Restarts the timeouts of all hosts, since this one was paused and received nothing.
    pub(crate) const fn on_resumed(&mut self, now: Time) {
        self.presence.resumed = now;
    }

    pub(super) fn on_board_opened(&mut self, now: Time) {
        if self.presence.term != self.raft.term() {
            self.presence = Presence { term: self.raft.term(), ..Presence::new(now) };
        }
        self.presence.opened = now;
        self.take_early_calls(now);
    }

    /// Admits the calls that have waited and need not wait any more.
    pub(super) fn take_early_calls(&mut self, now: Time) {
        if self.board.is_some() {
            for received in std::mem::take(&mut self.early_calls) {
                self.admit_call(now, received);
            }
        }
    }

    /// Executes a call, or holds it until it may be executed.
    pub(super) fn admit_call(&mut self, now: Time, received: ReceivedCall) {
        let key = (received.call_id.host, received.incarnation);
        match self.admission(now, &received) {
            Admission::Execute { first_attempt } => {
                if first_attempt != received.first_attempt {
                    log::info!(
                        host = key.0.0, serial = received.call_id.serial;
                        "member: a host is lost, so an earlier leader may have received this job"
                    );
                }
                self.handle_call(now, received.call_id, received.call, first_attempt);
            }
            Admission::Join => {
                let (host, incarnation) = key;
                self.propose_host(now, key, &Command::HostJoined { host, incarnation });
                self.early_calls.push(received);
            }
            Admission::Hold => self.early_calls.push(received),
            Admission::Ignore => {
                log::info!(host = key.0.0, serial = received.call_id.serial; "member: late call of an earlier incarnation");
            }
        }
    }

    fn admission(&self, now: Time, received: &ReceivedCall) -> Admission {
        let ReceivedCall { call_id, incarnation, ref call, first_attempt } = *received;
        let key = (call_id.host, incarnation);
        let (hosts, timeout) = (&self.ledger.hosts, self.settings.host_timeout());
        match self.board.as_ref().is_some_and(Board::is_taking_over) {
            _ if self.isolated || !is_transient(call) => Admission::Execute { first_attempt },
            _ if self.presence.is_replaced(key) => Admission::Ignore,
            _ if !hosts.contains(&key) || self.presence.proposed.contains_key(&key) => Admission::Join,
            true if !first_attempt || self.presence.is_complete(now, hosts, timeout) => {
                Admission::Execute { first_attempt }
            }
            true if now - self.presence.opened < PRESENCE_TIMEOUT => Admission::Hold,
            taking_over => Admission::Execute { first_attempt: first_attempt && !taking_over },
        }
    }

    /// Removes hosts from the ledger that have been lost for so long that nothing runs for their clients any more.
    pub(super) fn forget_lost_hosts(&mut self, now: Time) {
        if self.board.as_ref().is_none_or(Board::is_taking_over) {
            return;
        }
        let timeout = self.settings.isolation_timeout();
        let over = |key: &(HostId, u64)| {
            let current = self.presence.current.get(&key.0) == Some(&key.1);
            let has_calls = || self.by_call_id.keys().any(|call_id| call_id.host == key.0);
            self.presence.silence(now, *key) >= timeout && !(current && has_calls())
        };
        let lost: Vec<(HostId, u64)> = self.ledger.hosts.iter().copied().filter(over).collect();
        for key @ (host, incarnation) in lost {
            self.propose_host(now, key, &Command::HostLost { host, incarnation });
        }
    }

    /// Handles an applied change of the ledger's hosts.
    pub(super) fn on_host_changed(&mut self, now: Time, host: HostId, incarnation: u64) {
        let key = (host, incarnation);
        self.presence.proposed.swap_remove(&key);
        if !self.ledger.hosts.contains(&key) && self.presence.is_replaced(key) {
            self.presence.heard.swap_remove(&key);
        }
        self.take_early_calls(now);
    }

    fn propose_host(&mut self, now: Time, key: (HostId, u64), command: &Command) {
        let proposed = &mut self.presence.proposed;
        if proposed.get(&key).is_none_or(|at| now - *at >= PROPOSAL_RETRY_INTERVAL) {
            proposed.insert(key, now);
            log::info!(host = key.0.0, command:?; "member: hosts in the ledger change");
            self.propose(now, command, PendingOp::Nothing);
        }
    }
}
