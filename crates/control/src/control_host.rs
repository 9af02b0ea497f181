//! [`ControlHost`]: passes the inputs of one host to its calls, member and forwarders, and collects the effects.

use crate::calls::{Caller, Calls, LeaderUpdate};
use crate::forwarders::Forwarders;
use crate::identity::{address_of, hosts_at, ip_of};
use crate::isolated_zone::{IsolationMonitor, isolated_token_of};
use crate::member::{CallId, Member, MemberOutput};
use crate::{Call, HostInfo, HostMetrics, Message, Reply, Settings};
use indexmap::IndexMap;
use mangogw_jobs::{Order, Outcome};
use mangogw_model::{HostId, Time};
use mangogw_store::{DurableState, Role, Write, WriteId, host_list};
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a tick after which the host counts as paused; a tick then runs before any other input.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);
/// Interval at which a host that is no member, or has no leader, asks to join the control group.
const JOIN_PERIOD: Duration = Duration::from_millis(300);
/// Interval at which a host logs that it still asks to join.
const JOIN_LOG_PERIOD: Duration = Duration::from_secs(5);
/// Time without a leader after which a member asks to join again, since it may have been removed.
const REJOIN_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after a pause of this host during which it takes no orders of operators on evacuations: they may have waited for the
/// host while others were obeyed.
const STALE_ORDER_PERIOD: Duration = Duration::from_secs(1);
/// Time after a host's last leader query during which the host is notified of a new leader at once.
const LISTENER_TIMEOUT: Duration = Duration::from_secs(2);

/// An action that the shell has to perform.
#[derive(Debug)]
pub enum Effect {
    /// Answer an open request.
    Reply {
        /// Identifies the request to the shell.
        caller: Caller,
        /// Reply to the client.
        reply: Reply,
    },
    /// Send messages to another host in one frame, which may be lost.
    Send {
        /// Address of the host.
        to: SocketAddr,
        /// Messages in the order in which they were queued.
        messages: Vec<Message>,
    },
    /// Write to the data folder and sync, then call [`ControlHost::on_synced`] or [`ControlHost::on_failed`].
    Write(Write),
    /// Send an order to a target, then call [`ControlHost::on_outcome`] with the same id.
    Order {
        /// Id to pass with the outcome.
        id: OrderId,
        /// Order, with the id and address of its target.
        order: Order,
    },
    /// End the process.
    Halt {
        /// The reason, for the log.
        why: &'static str,
    },
}

/// Identifies an order by the host that issued it and that host's number for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OrderId {
    host: HostId,
    number: u64,
}

/// One host of the system, as a value without I/O.
#[derive(Debug)]
pub struct ControlHost {
    settings: Settings,
    calls: Calls,
    member: Option<Member>,
    isolation: IsolationMonitor,
    listeners: IndexMap<HostId, Time>,
    forwarders: Forwarders,
    /// Messages by receiver; each receiver's messages are sent in one frame.
    outbox: IndexMap<HostId, Vec<Message>>,
    last_tick: Time,
    /// Time of the last tick after a pause.
    resumed: Option<Time>,
    last_join: Time,
    /// Time of the last log line on asking to join; `None` while this host does not ask.
    join_logged: Option<Time>,
    /// Time at which a leader was last known.
    leader_seen: Time,
    /// Term, leader and revision of the evacuations in the last notification to the listeners; `None` if there was none.
    announced: Option<(u64, Option<HostId>, u64)>,
    leaving: bool,
    effects: Vec<Effect>,
}

impl ControlHost {
    /// Opens a host. With a data folder's state, `stored`, the host is or asks to become a member of the control group.
    pub fn open(settings: Settings, stored: Option<DurableState>, now: Time) -> Self {
        let mut host = Self {
            calls: Calls::new(&settings, hosts_at(&settings.seeds), stored.is_some(), now),
            member: stored.map(|stored| Member::open(settings.clone(), stored, now)),
            isolation: IsolationMonitor::new(&settings),
            listeners: IndexMap::new(),
            forwarders: Forwarders::new(settings.seed),
            outbox: IndexMap::new(),
            last_tick: now,
            resumed: None,
            last_join: now,
            join_logged: None,
            leader_seen: now,
            announced: None,
            leaving: false,
            effects: Vec::new(),
            settings,
        };
        host.process_outputs(now);
        host
    }

    /// Adds addresses at which the control group may be found.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.calls.add_hosts(hosts_at(seeds));
    }

    /// Handles a call of a client, a target or an operator. The reply comes as [`Effect::Reply`].
    pub fn on_call(&mut self, now: Time, caller: Caller, call: Call) {
        self.catch_up(now);
        if let (Call::Report(report), Some(member)) = (&call, &mut self.member) {
            member.on_isolated_report(now, report);
        }
        let reply_timeout = self.settings.reply_timeout;
        let call = match call {
            Call::Evacuate { .. } if self.resumed.is_some_and(|at| now - at < STALE_ORDER_PERIOD) => {
                let why = "this host was paused, and the order may be late".to_owned();
                return self.calls.replies.push((caller, Reply::Refused { why, wait: STALE_ORDER_PERIOD }));
            }
            Call::Evacuate { zone, active, .. } => Call::Evacuate { zone, active, seen: self.calls.seen_evacuations() },
            other => other,
        };
        self.calls.call(now, caller, call, reply_timeout);
    }

    /// Drops a call whose client has disconnected.
    pub fn on_disconnected(&mut self, caller: Caller) {
        self.calls.on_disconnected(caller);
    }

    /// Handles a message of another host.
    pub fn on_message(&mut self, now: Time, from: HostId, message: Message) {
        self.catch_up(now);
        self.calls.on_heard(now, from);
        self.forwarders.touch(now, from);
        self.receive(now, from, message);
    }

    /// Handles the outcome of an order, and returns it to the host that issued the order if that is another one.
    pub fn on_outcome(&mut self, now: Time, id: OrderId, outcome: Outcome) {
        self.catch_up(now);
        match id.host == self.settings.host {
            true => self.complete_order(now, id.number, outcome),
            false => match self.outbox.entry(id.host).or_default().last_mut() {
                Some(Message::Outcomes(outcomes)) => outcomes.push((id.number, outcome)),
                _ => self.send(id.host, Message::Outcomes(vec![(id.number, outcome)])),
            },
        }
    }

    /// Handles a completed write, whose data are synced.
    pub fn on_synced(&mut self, now: Time, id: WriteId) {
        if let Some(member) = &mut self.member {
            member.on_synced(now, id);
        }
    }

    /// Handles a failed write. This host takes no part in the control group until [`ControlHost::on_reopened`].
    pub fn on_failed(&mut self, now: Time) {
        if let Some(member) = &mut self.member {
            member.on_failed(now);
        }
    }

    /// Handles the data folder that was opened again after a failed write: the host takes part in the control group
    /// again, from what its disk holds. Writes that were requested before must not reach the folder any more.
    pub fn on_reopened(&mut self, now: Time, stored: DurableState) {
        if let Some(member) = &mut self.member {
            member.on_reopened(now, stored);
            self.effects.retain(|effect| !matches!(effect, Effect::Write(_)));
        }
    }

    /// Runs the timers. The shell calls it every 10 ms.
    pub fn on_tick(&mut self, now: Time) {
        if now - self.last_tick >= PAUSE_THRESHOLD {
            self.forwarders.reset_timeouts(now);
            self.resumed = Some(now);
        }
        self.last_tick = now;
        if let Some(member) = &mut self.member {
            member.on_tick(now);
            if self.leaving {
                member.step_down(now);
            }
        }
        self.tick_isolated(now);
        self.calls.on_tick(now, self.member.is_some());
        self.tick_join(now);
        for number in self.forwarders.on_tick(now) {
            self.complete_order(now, number, Outcome::Unsure);
        }
        for host in self.forwarders.remove_lost(now, self.settings.host_timeout()) {
            if let Some(member) = &mut self.member {
                member.on_host_lost(now, host);
            }
        }
    }

    /// Hands over leadership before the process stops; all other work goes on.
    pub fn on_leaving(&mut self, now: Time) {
        self.leaving = true;
        if let Some(member) = &mut self.member {
            member.step_down(now);
        }
    }

    /// Ends the calls of this host by `deadline`, before the process ends: jobs that can't be done by then are refused as
    /// soon as that is known; calls whose outcome is not known by then end as unclear.
    pub fn on_stopping(&mut self, now: Time, deadline: Time) {
        self.calls.end_by(now, deadline);
    }

    /// Returns true if this host leads the control group or has a leader to send calls to.
    pub fn is_ready(&self, now: Time) -> bool {
        match &self.member {
            Some(member) => member.is_leader() || self.calls.leader().is_some(),
            None => self.calls.has_leader(now),
        }
    }

    /// Returns true if this host leads the control group.
    pub fn is_leader(&self) -> bool {
        self.member.as_ref().is_some_and(Member::is_leader)
    }

    /// Returns this host's metrics.
    pub fn metrics(&self, now: Time) -> HostMetrics {
        let mut metrics = HostMetrics {
            ready: self.is_ready(now),
            leader_known: self.calls.has_leader(now),
            calls: self.calls.len(),
            seen_evacuations: self.calls.seen_evacuations(),
            held: self.calls.held(),
            calls_refused: self.calls.counts().refused,
            calls_unclear: self.calls.counts().unclear,
            ..HostMetrics::default()
        };
        if let Some(member) = &self.member {
            member.fill_metrics(&mut metrics);
        }
        metrics
    }

    /// Processes the inputs since the last call and returns the resulting effects. Inputs between two calls are
    /// batched: their messages to a host share one frame, and their log entries one sync.
    pub fn drain(&mut self, now: Time) -> Vec<Effect> {
        self.process_outputs(now);
        let port = self.settings.port;
        let frames = self.outbox.drain(..);
        let sends = frames.map(|(to, messages)| Effect::Send { to: address_of(to, port), messages });
        self.effects.extend(sends);
        std::mem::take(&mut self.effects)
    }

    /// Passes the outcome of an order of this host to its board.
    fn complete_order(&mut self, now: Time, number: u64, outcome: Outcome) {
        if let (Some((order, sent)), Some(member)) = (self.forwarders.complete(number), &mut self.member) {
            member.on_outcome(now, &order, sent, outcome);
        }
    }

    /// Runs the timers first if this host was paused, so that no input meets state that has timed out.
    fn catch_up(&mut self, now: Time) {
        if now - self.last_tick >= PAUSE_THRESHOLD {
            self.on_tick(now);
        }
    }

    fn receive(&mut self, now: Time, from: HostId, message: Message) {
        match (message, &mut self.member) {
            (Message::Raft(message), Some(member)) => member.on_raft(now, from, message),
            (Message::Join { folder_id }, Some(member)) => member.on_join(now, from, folder_id),
            (Message::Call { serial, first_attempt, call }, Some(member)) => {
                if !member.on_call(now, CallId { host: from, serial }, call, first_attempt) {
                    self.send(from, Message::NotLeader { serial });
                    self.send_leader(from);
                }
            }
            (Message::OpenCalls(serials), Some(member)) if member.is_leader() => {
                let unknown = member.unknown_calls(from, &serials);
                if !unknown.is_empty() {
                    self.send(from, Message::UnknownCalls(unknown));
                }
            }
            (Message::Disconnected(serial), Some(member)) => member.on_disconnected(now, CallId { host: from, serial }),
            (Message::Deadlines(calls), Some(member)) => {
                for (serial, left) in calls {
                    member.on_deadline(now, CallId { host: from, serial }, left);
                }
            }
            (Message::FindLeader(info), Some(_)) => self.on_find_leader(now, from, &info),
            (Message::Orders(orders), _) => {
                let order = |(number, order)| Effect::Order { id: OrderId { host: from, number }, order };
                self.effects.extend(orders.into_iter().map(order));
            }
            (Message::Outcomes(outcomes), _) => {
                for (number, outcome) in outcomes {
                    self.complete_order(now, number, outcome);
                }
            }
            (Message::Answer { serial, reply }, _) => self.calls.on_answer(serial, reply),
            (Message::NotLeader { serial }, _) => self.calls.on_not_leader(now, from, serial),
            (Message::UnknownCalls(serials), _) => self.calls.on_unknown_calls(now, from, &serials),
            (Message::LeaderInfo { term, leader, hosts, version, isolated_token }, None) => {
                let update = LeaderUpdate { term, leader, version, isolated_token, heard: now };
                self.calls.on_leader_update(now, Some(from), update);
                self.calls.on_hosts(from, hosts);
            }
            (Message::LeaderInfo { hosts, .. }, Some(_)) => {
                // A member learns the leader from its own log, but may learn the group's hosts from others.
                self.calls.on_hosts(from, hosts);
            }
            (Message::SeenEvacuations(revision), _) => self.calls.on_evacuations(revision),
            (message, None) => {
                log::debug!(from = from.0, message:?; "control_host: not a member, ignoring a message for members");
            }
            (Message::OpenCalls(_), Some(_)) => {}
        }
    }

    fn send(&mut self, to: HostId, message: Message) {
        self.outbox.entry(to).or_default().push(message);
    }

    /// Answers the leader query of another host and records what the host says of itself.
    fn on_find_leader(&mut self, now: Time, from: HostId, info: &HostInfo) {
        let Some(member) = &mut self.member else { return };
        self.forwarders.on_host_info(now, from, info);
        self.listeners.insert(from, now);
        member.on_host_info(now, from, info);
        if member.raft.leader().is_none() {
            let is_member = member.status().members.folder_id(from).is_some();
            self.isolation.on_host_info(now, from, info, is_member);
        }
        if info.leaderless_for >= self.settings.host_timeout() && member.isolated_token().is_none() {
            member.on_host_lost(now, from);
        }
        if member.supersede_isolated(now, &info.zone, info.isolated_token) {
            self.send_leader(from);
        }
    }

    /// Starts to lead this zone as an isolated zone, or stops, when either is due.
    fn tick_isolated(&mut self, now: Time) {
        let Some(member) = &mut self.member else { return };
        match member.isolated_token() {
            None if member.raft.leader().is_some() => self.isolation.on_leader(now),
            None if member.ledger.evacuations.revision() < self.calls.seen_evacuations() => {}
            None if !self.leaving && self.isolation.may_open(now, member.ledger.queue_version()) => {
                let token = isolated_token_of(member.raft.term().0, ip_of(self.settings.host));
                member.open_isolated(now, token);
                self.calls.isolated_token = self.calls.isolated_token.max(token);
            }
            Some(_)
                if member.raft.leader().is_some()
                    || member.is_fenced()
                    || member.ledger.evacuations.revision() < self.calls.seen_evacuations() =>
            {
                member.close_isolated(now);
                self.isolation.on_closed(now);
            }
            None | Some(_) => {}
        }
    }

    /// Sends a host the leader, as far as this host knows it.
    fn send_leader(&mut self, to: HostId) {
        let Some(member) = &self.member else { return };
        let status = member.status();
        let lost = self.calls.is_lost(status.term, member.raft.leader_heard());
        let isolated_token =
            member.isolated_token().filter(|_| self.isolation.may_serve(self.last_tick, to)).unwrap_or_default();
        let leader = match isolated_token {
            0 if lost => None,
            0 => status.leader.filter(|leader| *leader != status.host || status.role == Role::Leader),
            _ => Some(status.host),
        };
        let version = member.ledger.queue_version();
        let members = &status.members;
        let hosts: Vec<HostId> = members.voters.keys().chain(members.learners.keys()).copied().collect();
        self.send(to, Message::LeaderInfo { term: status.term, leader, hosts, version, isolated_token });
        if let Some(notice) = self.calls.evacuation_notice() {
            self.send(to, notice);
        }
    }

    /// Asks the known hosts to add this host to the control group, while it is no member or has no leader.
    fn tick_join(&mut self, now: Time) {
        let Some(member) = &self.member else { return };
        if member.raft.leader().is_some() {
            self.leader_seen = now;
        }
        if now - self.last_join < JOIN_PERIOD {
            return;
        }
        let status = member.status();
        let not_member = status.members.folder_id(status.host) != Some(status.folder_id);
        let due = not_member || now - self.leader_seen >= REJOIN_TIMEOUT;
        if !due || status.leader.is_some() && !not_member {
            self.join_logged = None;
            return;
        }
        self.last_join = now;
        let folder_id = status.folder_id;
        let known = status.members.peers(status.host).chain(self.calls.hosts().iter().copied());
        let mut hosts: Vec<HostId> = known.filter(|host| *host != status.host).collect();
        hosts.sort_unstable();
        hosts.dedup();
        if self.join_logged.is_none_or(|at| now - at >= JOIN_LOG_PERIOD) {
            self.join_logged = Some(now);
            log::info!(
                reason = if not_member { "not a member by its own log" } else { "no leader" },
                leaderless = (now - self.leader_seen).as_millis() as u64, term = status.term.0, last = status.last.0,
                hosts = host_list(&hosts);
                "control_host: asking to join the control group"
            );
        }
        for host in hosts {
            self.send(host, Message::Join { folder_id });
            self.send(host, self.calls.leader_query(now));
        }
    }

    /// Turns the outputs of the parts into effects, or into inputs of other parts, until there are none left.
    fn process_outputs(&mut self, now: Time) {
        loop {
            let outputs = self.member.as_mut().map(|member| member.drain(now)).unwrap_or_default();
            self.announce_leader(now);
            let sends = std::mem::take(&mut self.calls.sends);
            let replies = std::mem::take(&mut self.calls.replies);
            if outputs.is_empty() && sends.is_empty() && replies.is_empty() {
                return;
            }
            for output in outputs {
                self.on_member_output(now, output);
            }
            for (to, message) in sends {
                match to == self.settings.host {
                    true => self.receive(now, to, message),
                    false => self.send(to, message),
                }
            }
            self.effects.extend(replies.into_iter().map(|(caller, reply)| Effect::Reply { caller, reply }));
        }
    }

    /// Passes the leader in this member's log to its calls, and tells recent listeners when the leader changes.
    fn announce_leader(&mut self, now: Time) {
        let Some(member) = &self.member else { return };
        let (term, leader) = (member.raft.term(), member.raft.leader());
        let (version, heard) = (member.ledger.queue_version(), member.raft.leader_heard());
        self.calls.on_leader_update(now, None, LeaderUpdate { term, leader, version, isolated_token: 0, heard });
        let revision = member.ledger.evacuations.revision();
        self.calls.on_evacuations(revision);
        let current = (term.0, leader, revision);
        if self.announced == Some(current) || leader.is_none() {
            return;
        }
        self.announced = Some(current);
        self.listeners.retain(|_, at| now - *at < LISTENER_TIMEOUT);
        let listeners: Vec<HostId> = self.listeners.keys().copied().collect();
        for host in listeners {
            self.send_leader(host);
        }
    }

    fn on_member_output(&mut self, now: Time, output: MemberOutput) {
        match output {
            MemberOutput::Send(to, message) if to == self.settings.host => self.receive_own(now, message),
            MemberOutput::Answer(call_id, reply) if call_id.host == self.settings.host => {
                self.calls.on_answer(call_id.serial, reply);
            }
            MemberOutput::Send(to, message) => self.send(to, message),
            MemberOutput::Answer(call_id, reply) => {
                self.send(call_id.host, Message::Answer { serial: call_id.serial, reply });
            }
            MemberOutput::Write(write) => self.effects.push(Effect::Write(write)),
            MemberOutput::Order(order) => self.dispatch(now, order),
            MemberOutput::CorruptState => self.effects.push(Effect::Halt { why: "can't decode the replicated state" }),
        }
    }

    /// Issues an order: to the shell of this host, or to a forwarder if there are many targets.
    fn dispatch(&mut self, now: Time, order: Order) {
        let forward =
            self.member.as_ref().is_some_and(|member| member.ordered_targets() > self.settings.direct_targets);
        let (number, forwarder) = self.forwarders.assign(now, &order, forward);
        match forwarder {
            None => {
                let id = OrderId { host: self.settings.host, number };
                self.effects.push(Effect::Order { id, order });
            }
            Some(forwarder) => match self.outbox.entry(forwarder).or_default().last_mut() {
                Some(Message::Orders(orders)) => orders.push((number, order)),
                _ => self.send(forwarder, Message::Orders(vec![(number, order)])),
            },
        }
    }

    /// Handles a message that this host's member sent to this host.
    fn receive_own(&mut self, now: Time, message: Message) {
        match message {
            Message::NotLeader { serial } => self.calls.on_not_leader(now, self.settings.host, serial),
            other => log::debug!(message:? = other; "control_host: ignored a message of this host to itself"),
        }
    }
}
