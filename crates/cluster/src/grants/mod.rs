//! Grants decide which host may use a target: at most one at a time.
//!
//! The target itself stores who owns it: each answer to a heartbeat carries a [`Grant`], which the target sends back
//! with the next heartbeat. A host acts as owner only for [`LEASE_DURATION`] after it issued a grant that the target
//! has sent back. A host that takes over first issues a grant of a higher epoch, and acts after the target has sent
//! that back and the former owner's lease has expired. No agreement between hosts is needed, so network partitions
//! between hosts can't lead to two owners. `docs/design/grants.md` has the argument and the alternatives considered.
//!
//! A target must have at most one heartbeat in flight, send back the last grant with its age, and ignore an answer that
//! arrives after it has abandoned the heartbeat.

mod grant;
mod heartbeat;
mod message;
mod owner;

pub use grant::{BadGrant, Echo, Grant};
pub use message::{HeartbeatReply, Message, Target};

use crate::{MemberInfo, Output, hash};
use heartbeat::{PendingHeartbeat, PendingLeave};
use indexmap::IndexMap;
use mangogw_model::{Announcement, HostId, Incarnation, Time, Usage};
use owner::GrantState;
use std::time::Duration;

/// Interval of a target's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);
/// Time after which a target whose grant could not be renewed sends its next heartbeat.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a target that should confirm a new grant sends its next heartbeat.
pub const IMMEDIATE_INTERVAL: Duration = Duration::from_millis(1);
/// Time for which an owner may act after it issued the grant that the target sent back.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_400);
/// Time that a new owner waits beyond the former owner's lease, because clock rates may differ by 1 in 1000.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(10);
/// Time without renewal after which another host may take a grant over.
pub const PREEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a host that did not answer a forwarded heartbeat is skipped.
pub const FORWARD_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a host that did not answer is avoided.
pub const AVOID_DURATION: Duration = Duration::from_secs(1);
/// Time after which targets of other hosts are handed over to a new member.
pub const JOIN_DELAY: Duration = Duration::from_secs(1);
/// Minimum time for which a target that was taken over or handed over stays with its owner, unless the owner leaves.
pub const MIN_TENURE: Duration = Duration::from_secs(30);
/// Time after which the state of a target without heartbeats is dropped.
pub const TARGET_RETENTION: Duration = Duration::from_secs(30);
/// Number of heartbeats without a grant after which a target counts as one that never sends grants back.
pub const MAX_PLAIN_HEARTBEATS: u32 = 4;
/// Interval at which a leave is resent to hosts that have not acknowledged it, until [`LEAVE_TIMEOUT`].
pub const LEAVE_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a leave is no longer resent; by then every lease has expired.
pub const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Identity of this host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of this host.
    pub id: HostId,
    /// Incarnation of this host.
    pub incarnation: Incarnation,
}

/// Identifies a heartbeat or leave that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Answer to a target's heartbeat or leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Grant to send back from now on; `None` if the target keeps the one it holds.
    pub grant: Option<Grant>,
    /// Time until the next heartbeat is expected.
    pub interval: Duration,
    /// False if a later incarnation of the target has announced itself.
    pub valid: bool,
}

/// Why a host no longer owns a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The lease expired without a heartbeat.
    Expired,
    /// This host handed the target over to the given host.
    HandedOver(HostId),
    /// The given host took the target over.
    TakenOver(HostId),
    /// The target restarted and has a new incarnation.
    Restarted,
}

/// Events for the shell and the dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The answer to a target's heartbeat or leave.
    Answered {
        /// Id returned when the heartbeat or leave was received.
        request_id: RequestId,
        /// Answer to send to the target.
        answer: Answer,
    },
    /// This host owns the target from now on.
    Granted {
        /// The target's announcement.
        announcement: Box<Announcement>,
        /// True if the target takes no new work.
        leaving: bool,
    },
    /// A target that this host owns, and that is not leaving, changed its announcement. A change of its running
    /// attempts alone is not reported.
    Changed(Box<Announcement>),
    /// A target that this host owns takes no new work.
    Leaving(Target),
    /// This host no longer owns the target and must start no further task on it.
    Ended {
        /// Target that this host owned.
        target: Target,
        /// Reason of the end.
        reason: EndReason,
    },
    /// A usage report of a target that this host owns.
    Usage {
        /// Target that sent the report.
        target: Target,
        /// Resource usage, as the target reported it.
        usage: Usage,
    },
    /// Tasks of a former owner are still running on a target that this host owns or will own.
    RunningTasks {
        /// Target on which the tasks run.
        target: Target,
        /// Former owner, which started the tasks.
        from: HostId,
        /// Number of the former owner's tasks that are still running.
        tasks: u32,
    },
}

/// Grants on one host: of the targets that it owns, and of the heartbeats that it received.
///
/// ```
/// use mangogw_cluster::grants::{Event, Grants, Settings};
/// use mangogw_cluster::{Output, MemberInfo};
/// use mangogw_model::{Announcement, Capacity, HostId, Incarnation, Kind, Time};
///
/// let (id, incarnation) = (HostId(1), Incarnation(1));
/// let mut grants = Grants::open(&Settings { id, incarnation }, Time::ZERO);
/// grants.set_hosts(Time::ZERO, vec![MemberInfo { id, incarnation, zone: "a".into(), usable: true }]);
/// let announcement = Announcement {
///     name: "t1".into(),
///     address: "127.0.0.1:9000".parse().unwrap(),
///     zone: "a".into(),
///     rack: "".into(),
///     kind: Kind::Executor,
///     entries: vec!["gate-scan".into()],
///     capacity: Capacity { slots: 8, ..Capacity::default() },
///     incarnation: Incarnation(1),
///     running: vec![],
///     connections: 0,
/// };
/// let request_id = grants.on_heartbeat(Time::ZERO, announcement, None);
/// let Some(Output::Event(Event::Answered { request_id: answered, answer })) = grants.drain().pop() else { panic!() };
/// assert_eq!(request_id, answered);
/// assert!(answer.grant.is_some());
/// ```
#[derive(Debug)]
pub struct Grants {
    id: HostId,
    incarnation: Incarnation,
    hosts: IndexMap<HostId, MemberEntry>,
    avoided: IndexMap<HostId, Time>,
    targets: IndexMap<Target, GrantState>,
    leaves_seen: IndexMap<Target, LeaveRecord>,
    pending_heartbeats: IndexMap<u64, PendingHeartbeat>,
    pending_leaves: IndexMap<u64, PendingLeave>,
    owners: IndexMap<Target, OwnerEntry>,
    serial: u64,
    leaving: bool,
    out: Vec<Output<Message, Event>>,
}

/// A member, and the time at which it joined.
#[derive(Debug, Clone)]
struct MemberEntry {
    member: MemberInfo,
    since: Time,
}

/// Leave of a target.
#[derive(Debug, Clone, Copy)]
struct LeaveRecord {
    incarnation: Option<Incarnation>,
    at: Time,
}

/// Host that last granted a target.
#[derive(Debug, Clone, Copy)]
struct OwnerEntry {
    host: HostId,
    incarnation: Incarnation,
    at: Time,
}

impl Grants {
    /// Creates the state of a host that owns no target.
    pub fn open(settings: &Settings, _now: Time) -> Self {
        Self {
            id: settings.id,
            incarnation: settings.incarnation,
            hosts: IndexMap::new(),
            avoided: IndexMap::new(),
            targets: IndexMap::new(),
            leaves_seen: IndexMap::new(),
            pending_heartbeats: IndexMap::new(),
            pending_leaves: IndexMap::new(),
            owners: IndexMap::new(),
            serial: hash::mix(settings.incarnation.0 ^ hash::mix(settings.id.0)) >> 16,
            leaving: false,
            out: Vec::new(),
        }
    }

    /// Updates the members; call it whenever they may have changed. This host must be among them.
    pub fn set_hosts(&mut self, now: Time, members: Vec<MemberInfo>) {
        let old = std::mem::take(&mut self.hosts);
        let known = |member: MemberInfo| {
            let same = old.get(&member.id).filter(|known| known.member.incarnation == member.incarnation);
            (member.id, MemberEntry { since: same.map_or(now, |known| known.since), member })
        };
        self.hosts = members.into_iter().map(known).collect();
    }

    /// Starts to hand all targets over, each at its next heartbeat. The hand-over is complete when
    /// [`Grants::owns_none`] returns true.
    pub const fn leave_cluster(&mut self) {
        self.leaving = true;
    }

    /// Returns true if this host owns no target.
    pub fn owns_none(&self, now: Time) -> bool {
        !self.targets.values().any(|state| state.is_active(now))
    }

    /// Returns true while this host may start work on the target.
    pub fn owns(&self, now: Time, target: &Target) -> bool {
        self.targets.get(target).is_some_and(|state| state.is_active(now))
    }

    /// Returns the end of this host's lease on the target; `None` if it does not own the target.
    pub fn lease_end(&self, now: Time, target: &Target) -> Option<Time> {
        self.targets.get(target).filter(|state| state.is_active(now)).map(GrantState::lease_end)
    }

    /// Returns true if this host knows that the target is leaving and takes no new work.
    pub fn is_leaving(&self, target: &Target, incarnation: Incarnation) -> bool {
        self.has_left(target, incarnation)
    }

    /// Returns the announcements of the targets that this host owns.
    pub fn owned_targets(&self, now: Time) -> impl Iterator<Item = &Announcement> {
        self.targets.values().filter(move |state| state.is_active(now)).map(GrantState::announcement)
    }

    /// Returns the host that last granted a target whose heartbeats this host receives.
    pub fn owner(&self, target: &Target) -> Option<HostId> {
        self.owners.get(target).map(|entry| entry.host)
    }

    /// Reports to the new owner how many tasks of this host still run on a target that was handed over.
    pub fn report_running(&mut self, to: HostId, target: Target, incarnation: Incarnation, tasks: u32) {
        let leaving = self.has_left(&target, incarnation);
        self.send(to, Message::RunningTasks { target, incarnation, tasks, leaving });
    }

    /// Returns the outputs since the last call.
    pub fn drain(&mut self) -> Vec<Output<Message, Event>> {
        std::mem::take(&mut self.out)
    }

    /// Retries heartbeats and leaves, and checks leases. Call it periodically.
    pub fn on_tick(&mut self, now: Time) {
        self.retry_heartbeats(now);
        self.retry_leaves(now);
        self.check_leases(now);
        self.avoided.retain(|_, until| *until > now);
        self.leaves_seen.retain(|_, leave| now - leave.at < TARGET_RETENTION);
        self.owners.retain(|_, entry| now - entry.at < TARGET_RETENTION);
    }

    /// Handles a message of another host.
    pub fn on_message(&mut self, now: Time, from: HostId, message: Message) {
        match message {
            Message::Heartbeat { request_id, target, digest, echo, leaving } => {
                let known = self.targets.get(&target).filter(|state| state.matches_digest(digest));
                let incarnation = known.map(|state| state.announcement().incarnation);
                if leaving && incarnation.is_some() {
                    _ = self.record_leave(now, target.clone(), incarnation);
                }
                let reply = self.handle_heartbeat(now, &target, digest, echo);
                self.send(from, Message::Answer { request_id, reply });
            }
            Message::Announce { request_id, announcement, echo, leaving } => {
                if leaving {
                    _ = self.record_leave(
                        now,
                        Target::from_announcement(&announcement),
                        Some(announcement.incarnation),
                    );
                }
                let reply = self.handle_announcement(now, *announcement, echo);
                self.send(from, Message::Answer { request_id, reply });
            }
            Message::Answer { request_id, reply } => self.on_answer(now, from, request_id, reply),
            Message::Leave { request_id, target, incarnation } => {
                let owner = self.record_leave(now, target, incarnation);
                self.send(from, Message::LeaveAck { request_id, was_owner: owner });
            }
            Message::LeaveAck { request_id, was_owner: owner } => self.on_leave_ack(from, request_id, owner),
            Message::Usage { target, usage } => self.emit_usage(now, target, usage),
            Message::RunningTasks { target, incarnation, tasks, leaving } => {
                if leaving {
                    _ = self.record_leave(now, target.clone(), Some(incarnation));
                }
                self.event(Event::RunningTasks { target, from, tasks });
            }
        }
    }

    /// Returns true if this incarnation of the target has left.
    fn has_left(&self, target: &Target, incarnation: Incarnation) -> bool {
        self.leaves_seen.get(target).is_some_and(|leave| leave.incarnation.is_none_or(|left| left >= incarnation))
    }

    /// Returns true if a leave that named this incarnation, or a later one, is known.
    fn confirmed_leave(&self, target: &Target, incarnation: Incarnation) -> bool {
        self.leaves_seen.get(target).is_some_and(|leave| leave.incarnation.is_some_and(|left| left >= incarnation))
    }

    fn send(&mut self, to: HostId, message: Message) {
        self.out.push(Output::Send { to, message });
    }

    fn event(&mut self, event: Event) {
        self.out.push(Output::Event(event));
    }
}
