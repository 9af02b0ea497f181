//! Which host may use a target, at most one at a time.
//!
//! A target is its own register: each answer to a heartbeat carries a [`Grant`], which the target sends back with the
//! next heartbeat. A host acts as owner only for [`LEASE_DURATION`] after it issued a grant that the target has sent back. A
//! host that takes over first issues a grant of a higher epoch, and acts after the target has sent that back and the
//! former owner's lease has run out. No agreement between hosts is needed, so cuts between hosts can't make two
//! owners. `docs/design/grants.md` has the argument and the ways weighed.
//!
//! What a target must do: one heartbeat at a time, and send back the last grant with its age. An answer that comes
//! after the target gave its heartbeat up does not count.

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

/// Targets send a heartbeat so often.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);
/// A target whose grant could not be renewed tries again after this time.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// A target asked to come back at once comes back after this time.
pub const IMMEDIATE_INTERVAL: Duration = Duration::from_millis(1);
/// An owner may act for so long after it issued the grant that the target sent back.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_400);
/// A new owner waits so much longer than the former owner's lease: clocks may differ by 1 in 1000 in rate.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(10);
/// A grant that was not renewed for so long may be taken over.
pub const PREEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A host that does not answer a heartbeat passed to it within this time is passed over.
pub const FORWARD_TIMEOUT: Duration = Duration::from_millis(250);
/// A host that did not answer is avoided for so long.
pub const AVOID_DURATION: Duration = Duration::from_secs(1);
/// A new member is granted targets of others after this time.
pub const JOIN_DELAY: Duration = Duration::from_secs(1);
/// A target that was taken over or handed over stays for so long, unless its owner leaves.
pub const MIN_TENURE: Duration = Duration::from_secs(30);
/// What is known of a target that is not held is forgotten after this time.
pub const TARGET_RETENTION: Duration = Duration::from_secs(30);
/// Heartbeats without a grant after which a target counts as one that never sends it back.
pub const MAX_PLAIN_HEARTBEATS: u32 = 4;
/// A leave is repeated so often to hosts that have not answered, until [`LEAVE_TIMEOUT`].
pub const LEAVE_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// A leave is given up after this time; by then every lease has run out.
pub const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Which host this is.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host.
    pub id: HostId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A heartbeat or leave that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// What a target is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The grant to send back from now on; `None`: the one it holds stays.
    pub grant: Option<Grant>,
    /// When the next heartbeat is expected.
    pub interval: Duration,
    /// False if a later life of the target has announced itself.
    pub valid: bool,
}

/// Why a host no longer owns a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// No heartbeat came in time.
    Expired,
    /// It was handed to this host.
    HandedOver(HostId),
    /// Another host took it over.
    TakenOver(HostId),
    /// The target restarted.
    Restarted,
}

/// What the shell and the dispatcher need to know.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The answer to a target's heartbeat or leave.
    Answered {
        /// The heartbeat or leave.
        request_id: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// This host owns the target from now on.
    Granted {
        /// The target's announcement.
        announcement: Box<Announcement>,
        /// True if it takes no new work.
        leaving: bool,
    },
    /// A target that this host owns, and that is not leaving, announced itself differently. The attempts it lists don't
    /// count.
    Changed(Box<Announcement>),
    /// A target that this host owns takes no new work.
    Leaving(Target),
    /// This host no longer owns the target: it must start nothing more there.
    Ended {
        /// The target.
        target: Target,
        /// Why.
        reason: EndReason,
    },
    /// A usage report of a target that this host owns.
    Usage {
        /// The target.
        target: Target,
        /// The report.
        usage: Usage,
    },
    /// Tasks that a former owner started and that still run on a target that this host owns or will own.
    RunningTasks {
        /// The target.
        target: Target,
        /// The former owner.
        from: HostId,
        /// The tasks.
        tasks: u32,
    },
}

/// The grants as one host sees them: of targets it owns, and of heartbeats that came in here.
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

/// A member and since when it is one.
#[derive(Debug, Clone)]
struct MemberEntry {
    member: MemberInfo,
    since: Time,
}

/// A target that said it leaves.
#[derive(Debug, Clone, Copy)]
struct LeaveRecord {
    incarnation: Option<Incarnation>,
    at: Time,
}

/// The host that last answered for a target.
#[derive(Debug, Clone, Copy)]
struct OwnerEntry {
    host: HostId,
    incarnation: Incarnation,
    at: Time,
}

impl Grants {
    /// A host that owns nothing.
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

    /// Takes the members in; call it whenever they may have changed. This host must be among them.
    pub fn set_hosts(&mut self, now: Time, members: Vec<MemberInfo>) {
        let old = std::mem::take(&mut self.hosts);
        let known = |member: MemberInfo| {
            let same = old.get(&member.id).filter(|known| known.member.incarnation == member.incarnation);
            (member.id, MemberEntry { since: same.map_or(now, |known| known.since), member })
        };
        self.hosts = members.into_iter().map(known).collect();
    }

    /// Starts to hand all targets over; done when [`Grants::owns_none`]. Needs a heartbeat of each target.
    pub const fn leave_cluster(&mut self) {
        self.leaving = true;
    }

    /// True if this host owns no target.
    pub fn owns_none(&self, now: Time) -> bool {
        !self.targets.values().any(|state| state.is_active(now))
    }

    /// True while this host may start work on the target.
    pub fn owns(&self, now: Time, target: &Target) -> bool {
        self.targets.get(target).is_some_and(|state| state.is_active(now))
    }

    /// The end of this host's lease on the target, if it owns it.
    pub fn lease_end(&self, now: Time, target: &Target) -> Option<Time> {
        self.targets.get(target).filter(|state| state.is_active(now)).map(GrantState::lease_end)
    }

    /// True if this host has heard that the target leaves: it takes no new work.
    pub fn is_leaving(&self, target: &Target, incarnation: Incarnation) -> bool {
        self.has_left(target, incarnation)
    }

    /// The targets that this host owns.
    pub fn owned_targets(&self, now: Time) -> impl Iterator<Item = &Announcement> {
        self.targets.values().filter(move |state| state.is_active(now)).map(GrantState::announcement)
    }

    /// The host that last answered for a target whose heartbeats come in here.
    pub fn owner(&self, target: &Target) -> Option<HostId> {
        self.owners.get(target).map(|entry| entry.host)
    }

    /// Tells the new owner how many tasks of this host still run on a target that was handed over.
    pub fn report_running(&mut self, to: HostId, target: Target, incarnation: Incarnation, tasks: u32) {
        let leaving = self.has_left(&target, incarnation);
        self.send(to, Message::RunningTasks { target, incarnation, tasks, leaving });
    }

    /// Takes the outputs since the last call.
    pub fn drain(&mut self) -> Vec<Output<Message, Event>> {
        std::mem::take(&mut self.out)
    }

    /// Does what is due.
    pub fn on_tick(&mut self, now: Time) {
        self.retry_heartbeats(now);
        self.retry_leaves(now);
        self.check_leases(now);
        self.avoided.retain(|_, until| *until > now);
        self.leaves_seen.retain(|_, gone| now - gone.at < TARGET_RETENTION);
        self.owners.retain(|_, entry| now - entry.at < TARGET_RETENTION);
    }

    /// Takes a message in.
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

    /// True if this life of the target said that it leaves.
    fn has_left(&self, target: &Target, incarnation: Incarnation) -> bool {
        self.leaves_seen.get(target).is_some_and(|gone| gone.incarnation.is_none_or(|left| left >= incarnation))
    }

    /// True if a leave that named this life, or a later one, was heard of.
    fn confirmed_leave(&self, target: &Target, incarnation: Incarnation) -> bool {
        self.leaves_seen.get(target).is_some_and(|gone| gone.incarnation.is_some_and(|left| left >= incarnation))
    }

    fn send(&mut self, to: HostId, message: Message) {
        self.out.push(Output::Send { to, message });
    }

    fn event(&mut self, event: Event) {
        self.out.push(Output::Event(event));
    }
}
