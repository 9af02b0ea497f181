//! The [`Host`]: its components, its inputs and the processing of their outputs.

use crate::control::PendingCall;
use crate::effect::{AttemptOutcome, Caller, Effect, Refused, Reply};
use crate::group::Group;
use crate::limits::Arrivals;
use crate::message::Message;
use crate::relay::{Relay, RelayMessage};
use crate::request::HostRequest;
use crate::settings::Settings;
use crate::spread::{CatalogueState, Spread, SpreadMessage};
use crate::tasks::{HostTask, HostTasks};
use indexmap::{IndexMap, IndexSet};
use mangogw_catalogue::{Action, Catalogue};
use mangogw_cluster::grants::{Grants, RequestId};
use mangogw_cluster::members::{self, Members};
use mangogw_cluster::ownership::Ownership;
use mangogw_cluster::records::{self, Records};
use mangogw_cluster::route::{self, Router};
use mangogw_cluster::shares::{self, Shares};
use mangogw_cluster::{MemberInfo, grants};
use mangogw_dispatch::{AttemptReport, Dispatch, EntryKey, TaskKey};
use mangogw_model::{AttemptId, Code, EntryName, HostId, Key, Time};
use mangogw_store::{DurableState, WriteId};
use std::collections::VecDeque;
use std::time::Duration;

/// Interval after which the view of other hosts is refreshed if no change has done so before.
const HOST_REFRESH_PERIOD: Duration = Duration::from_millis(50);
/// A host whose timers have not run for this long counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);
/// Time for which the dispatch core trusts an owned target after the last check of its grant.
const TARGET_LEASE: Duration = Duration::from_secs(1);

/// Share of a run time that a relay to a faster target must save.
const MIN_RELAY_GAIN: f64 = 1.0;

/// Receiver of a reply from the control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    /// A caller of this host.
    Caller(Caller),
    /// A host that forwarded a call.
    Peer { host: HostId, serial: u64 },
    /// A host, possibly this one, that needs a current catalogue.
    Refresh(HostId),
}

/// One host of the system.
#[derive(Debug)]
pub struct Host {
    pub(crate) settings: Settings,
    pub(crate) dispatch: Dispatch,
    pub(crate) members: Members,
    pub(crate) grants: Grants,
    pub(crate) route: Router,
    pub(crate) records: Records,
    pub(crate) group: Option<Group<ReplyTo>>,
    pub(crate) spread: Spread,
    pub(crate) shares: Shares,
    pub(crate) demand_sent: Option<Time>,
    pub(crate) arrivals: IndexMap<EntryName, Arrivals>,
    pub(crate) relay: Relay<HostTask>,
    pub(crate) catalogue: Catalogue,
    pub(crate) table: Ownership,
    pub(crate) member_slots: Vec<MemberInfo>,
    pub(crate) hosts_refreshed: Option<Time>,
    pub(crate) tasks: HostTasks,
    pub(crate) record_tasks: IndexMap<Key, IndexSet<TaskKey>>,
    pub(crate) pending_moves: IndexMap<TaskKey, HostId>,
    pub(crate) deferred: VecDeque<HostTask>,
    pub(crate) dirty: IndexSet<EntryKey>,
    pub(crate) mean_runtimes: IndexMap<EntryName, f64>,
    pub(crate) target_calls: IndexMap<RequestId, Caller>,
    pub(crate) job_keys: IndexMap<u64, Key>,
    pub(crate) pending_calls: IndexMap<u64, PendingCall>,
    /// Host of the control group that later calls are forwarded to; `None` for any.
    pub(crate) group_contact: Option<HostId>,
    pub(crate) bootstrap_actions: Vec<Action>,
    pub(crate) serial: u64,
    pub(crate) last_join: Option<Time>,
    pub(crate) effects: Vec<Effect>,
    pub(crate) draining: bool,
}

impl Host {
    /// Opens a host with an empty catalogue. With `stored`, the host takes part in the control group, joining it if it
    /// is not a member yet.
    pub fn open(settings: Settings, stored: Option<DurableState>, now: Time) -> Self {
        let Settings { host, incarnation, zone, seed, .. } = settings.clone();
        let voter = stored.is_some();
        let me = members::Host {
            id: host,
            incarnation,
            address: settings.address,
            http_address: settings.http,
            zone: zone.clone(),
            voter,
        };
        let dispatch_settings = mangogw_dispatch::Settings {
            host,
            incarnation,
            seed,
            lease: TARGET_LEASE,
            zone: zone.clone(),
            zone_rtt: settings.remote_delay * 2,
        };
        let member_settings = members::Settings { host: me, seeds: settings.seeds.clone(), seed };
        let (zone_delay, remote_delay) = (settings.zone_delay, settings.remote_delay);
        let route_settings = route::Settings {
            id: host,
            zone: zone.clone(),
            zone_delay,
            remote_delay,
            min_gain: MIN_RELAY_GAIN,
            seed: seed ^ 1,
        };
        let mut record_settings = records::Settings::new(host, incarnation, zone.clone());
        record_settings.seed = seed ^ 2;
        let mut value = Self {
            dispatch: Dispatch::open(dispatch_settings),
            members: Members::open(member_settings, now),
            grants: Grants::open(&grants::Settings { id: host, incarnation }, now),
            route: Router::open(route_settings, now),
            records: Records::open(record_settings, now),
            group: stored.map(|stored| Group::open(stored, seed ^ 3, settings.wall_offset, now)),
            spread: Spread::open(host, zone, now),
            shares: Shares::open(&shares::Settings { id: host, single_host: settings.single_host }, now),
            demand_sent: None,
            arrivals: IndexMap::new(),
            relay: Relay::open(incarnation),
            catalogue: Catalogue::default(),
            table: Ownership::default(),
            member_slots: Vec::new(),
            hosts_refreshed: None,
            tasks: HostTasks::new(),
            record_tasks: IndexMap::new(),
            pending_moves: IndexMap::new(),
            deferred: VecDeque::new(),
            dirty: IndexSet::new(),
            mean_runtimes: IndexMap::new(),
            target_calls: IndexMap::new(),
            job_keys: IndexMap::new(),
            pending_calls: IndexMap::new(),
            group_contact: None,
            bootstrap_actions: Vec::new(),
            serial: incarnation.0 << 20,
            last_join: None,
            effects: Vec::new(),
            draining: false,
            settings,
        };
        value.refresh_hosts(now);
        value.process_outputs(now);
        value
    }

    /// Sets the changes to propose once this host leads a control group that has no tokens yet.
    pub fn set_bootstrap_actions(&mut self, actions: Vec<Action>) {
        self.bootstrap_actions = actions;
    }

    /// Handles a request from a caller, a target or an operator.
    pub fn on_request(&mut self, now: Time, caller: Caller, request: HostRequest) {
        self.catch_up(now);
        match request {
            HostRequest::Run { entry, key, timeout, body } => self.run(now, caller, entry, key, timeout, body),
            HostRequest::Submit(job) => self.submit(now, caller, job),
            HostRequest::Read { key, wait } => self.read(now, caller, key, wait),
            HostRequest::Cancel { key } => self.cancel(now, caller, key),
            HostRequest::Announce { announcement, echo } => self.announce(now, caller, announcement, echo),
            HostRequest::Leave { target, incarnation } => self.leave(now, caller, target, incarnation),
            HostRequest::Usage { target, usage } => {
                self.grants.on_usage_report(now, target, usage);
                self.reply(caller, Reply::Done);
            }
            HostRequest::Operate(call) => self.operate(now, ReplyTo::Caller(caller), Box::new(call)),
        }
        self.process_outputs(now);
    }

    /// Drops the reply to a job request whose caller has disconnected; the job itself continues.
    pub fn on_disconnected(&mut self, caller: Caller) {
        self.job_keys.swap_remove(&caller.0);
    }

    /// Handles a message from another host.
    pub fn on_message(&mut self, now: Time, from: HostId, message: Message) {
        self.catch_up(now);
        match message {
            Message::Members(message) => self.members.on_message(now, from, message),
            Message::Grants(message) => self.grants.on_message(now, from, message),
            Message::Route(message) => self.route.on_message(now, from, message),
            Message::Records(message) => self.records.on_message(now, from, message),
            Message::Raft(message) => {
                if let Some(group) = &mut self.group {
                    group.on_message(now, from, message);
                }
            }
            Message::Group(message) => self.on_group_message(now, from, message),
            Message::Spread(SpreadMessage::Pull { versions, needs_current }) => {
                self.on_versions(now, from, versions, needs_current);
            }
            Message::Spread(SpreadMessage::Update(update)) => self.on_update(now, from, &update),
            Message::Shares(message) => self.shares.on_message(now, from, message),
            Message::Relay(message) => self.on_relay(now, from, message),
        }
        self.process_outputs(now);
    }

    /// Handles the outcome of an attempt, as observed by the shell.
    pub fn on_attempt_outcome(&mut self, now: Time, task: TaskKey, attempt: AttemptId, outcome: AttemptOutcome) {
        let report = match outcome {
            AttemptOutcome::Report(report) => report,
            AttemptOutcome::Answer(answer) if answer.status >= 500 => AttemptReport::Failed,
            AttemptOutcome::Answer(answer) => {
                self.keep_answer(now, task, answer);
                AttemptReport::Answered
            }
        };
        self.dispatch.report(now, attempt, report);
        self.process_outputs(now);
    }

    /// Handles the result of a stop, throttle, resume or checkpoint command that the shell sent to a target.
    pub fn on_command_result(&mut self, now: Time, attempt: AttemptId, report: AttemptReport) {
        self.dispatch.report(now, attempt, report);
        self.process_outputs(now);
    }

    /// Reports that a write has been synced to disk.
    pub fn on_synced(&mut self, now: Time, id: WriteId) {
        if let Some(group) = &mut self.group {
            group.on_synced(now, id);
        }
        self.process_outputs(now);
    }

    /// Reports that a write has failed; the host takes no part in the control group until [`Host::on_reopened`].
    pub fn on_write_failed(&mut self, now: Time) {
        if let Some(group) = &mut self.group {
            group.on_write_failed(now);
        }
        self.process_outputs(now);
    }

    /// Handles the data folder that was opened again after a failed write: the host takes part in the control group
    /// again, from what its disk holds. Writes that were requested before must not reach the folder any more.
    pub fn on_reopened(&mut self, now: Time, stored: DurableState) {
        if let Some(group) = &mut self.group {
            group.on_reopened(now, stored);
            self.effects.retain(|effect| !matches!(effect, Effect::Write(_)));
        }
        self.process_outputs(now);
    }

    /// Runs all timers.
    pub fn on_tick(&mut self, now: Time) {
        self.members.on_tick(now);
        self.process_members_outputs(now);
        if self.hosts_refreshed.is_none_or(|at| now - at >= HOST_REFRESH_PERIOD) {
            self.refresh_hosts(now);
        }
        self.grants.on_tick(now);
        self.route.on_tick(now);
        self.records.on_tick(now);
        self.tick_control(now);
        self.tick_limits(now);
        self.dispatch.tick(now);
        self.tick_relay(now);
        self.process_outputs(now);
    }

    /// Runs the timers first if the process was paused, so that inputs after a pause are not checked against views and
    /// leases from before it.
    fn catch_up(&mut self, now: Time) {
        if self.hosts_refreshed.is_some_and(|at| now - at >= PAUSE_THRESHOLD) {
            self.on_tick(now);
        }
    }

    /// Starts draining: new work is refused, accepted work continues, and owned targets and records are handed over.
    pub fn on_drain(&mut self, now: Time) {
        self.draining = true;
        self.grants.leave_cluster();
        self.announce_leaving(now);
        self.move_waiting(now);
        self.process_outputs(now);
    }

    /// Announces to the other hosts that this host leaves the cluster. Must be the last call.
    pub fn on_exit(&mut self, now: Time) {
        self.members.leave(now);
        self.process_outputs(now);
    }

    /// Returns true if no caller's work is waiting or running here and nothing is left to hand over.
    pub fn is_idle(&self, now: Time) -> bool {
        let only_host = self.member_slots.len() < 2;
        let no_work = self.tasks.is_empty() && self.relay.len() == 0 && self.records.pending_requests() == 0;
        let handed_over = only_host || (self.records.can_shut_down() && self.grants.owns_none(now));
        no_work && self.deferred.is_empty() && handed_over
    }

    /// Returns true if the host accepts work: it has a usable catalogue, is not draining and has no pending bootstrap.
    pub fn is_ready(&self) -> bool {
        !self.draining && self.bootstrap_actions.is_empty() && self.spread.state() != CatalogueState::Blank
    }

    /// Returns the effects produced since the last call.
    pub fn drain(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn reply(&mut self, caller: Caller, reply: Reply) {
        self.effects.push(Effect::Reply { caller, reply });
    }

    pub(crate) fn refuse(&mut self, caller: Caller, refused: Refused) {
        self.reply(caller, Reply::Refused(refused));
    }

    /// Sends a message to a host, or drops it if the host is not a known member.
    pub(crate) fn send(&mut self, to: HostId, message: Message) {
        if let Some(host) = self.members.host(to) {
            self.effects.push(Effect::Send { to: host.address, message });
        }
    }

    pub(crate) fn send_relay(&mut self, to: HostId, message: RelayMessage) {
        self.send(to, Message::Relay(message));
    }

    /// Returns the key of an entry. Refuses if the host is draining or has no catalogue, if the entry is unknown, or if
    /// the body of `bytes` bytes is larger than the limit of the entry.
    pub(crate) fn check_entry(&self, name: &EntryName, bytes: usize) -> Result<EntryKey, Refused> {
        if self.draining {
            return Err(Refused::new(Code::Draining, "send it to another host"));
        }
        if self.spread.state() == CatalogueState::Blank {
            return Err(Refused::new(Code::NotReady, "no catalogue has been read yet"));
        }
        let key = self.dispatch.entry_key(name);
        let key = key.ok_or_else(|| Refused::new(Code::UnknownEntry, format!("no entry {name} in the catalogue")))?;
        let limit = self.dispatch.entry_config(key).1.limits.body_bytes;
        if bytes as u64 > limit {
            return Err(Refused::new(Code::BodyTooLarge, format!("{bytes} bytes, the limit of {name} is {limit}")));
        }
        Ok(key)
    }

    /// Turns the outputs of the components into effects and inputs of other components, until no output is left.
    pub(crate) fn process_outputs(&mut self, now: Time) {
        loop {
            let mut quiet = self.process_members_outputs(now);
            quiet &= self.process_grants_outputs(now);
            quiet &= self.process_group_outputs(now);
            quiet &= self.process_records_outputs(now);
            quiet &= self.process_dispatch_outputs(now);
            quiet &= self.process_route_outputs(now);
            quiet &= self.process_shares_outputs();
            if quiet {
                return;
            }
        }
    }
}
