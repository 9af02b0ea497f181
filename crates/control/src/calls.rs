//! Forwards the calls of this host's clients to the leader, tracks their replies and finds the leader.

use crate::hold::{self, Contact, HeldJob};
use crate::identity::ip_of;
use crate::isolated_zone::term_of;
use crate::{Call, HostInfo, Message, Reply};
use indexmap::IndexMap;
use mangogw_model::{HostId, Time, Version, Zone};
use mangogw_store::Term;
use std::time::Duration;

/// Handle by which the shell identifies an open request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// Time without a leader after which calls that no leader can have executed are refused. An election takes 0.3 to
/// 0.6 s.
const UNSENT_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a leader after which all other calls end as unclear. By then their runs are stopped or taken over, and
/// clients send them again.
const SENT_CALL_TIMEOUT: Duration = Duration::from_millis(1100);
/// Interval at which the leader is asked whether it still knows the open calls.
const CALL_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Interval of the leader queries of a host.
const LEADER_POLL_PERIOD: Duration = Duration::from_millis(150);
/// Reason of refusals during a shutdown.
const SHUTTING_DOWN: &str = "not run: this host is shutting down";
/// Time that the answers of the leader have to arrive before a host that is shutting down ends its calls.
const LEADER_ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Time without an answer of the leader after which it counts as lost.
const LEADER_TIMEOUT: Duration = Duration::from_millis(500);

/// A call that has no reply yet.
#[derive(Debug)]
struct OpenCall {
    caller: Caller,
    call: Call,
    received: Time,
    /// Time at which the caller stops waiting.
    deadline: Time,
    /// The leader that the call was last sent to, and when.
    sent: Option<(HostId, Time)>,
    /// Number of sends that may have been executed by their receiver.
    uncertain_sends: u32,
}

impl OpenCall {
    /// Returns true if nothing can have executed the call.
    const fn is_clean(&self) -> bool {
        self.uncertain_sends == 0 || self.call.is_read()
    }

    /// Returns true if the call is a held job that can't be in time any more.
    fn is_late(&self, now: Time) -> bool {
        self.latest_start().is_some_and(|latest| now >= latest)
    }

    /// Returns the last instant at which a job that is not stored, and that nothing can have executed, can go to a leader
    /// and be in time; `None` for all other calls, which are sent as soon as a leader is named.
    fn latest_start(&self) -> Option<Time> {
        match &self.call {
            Call::Submit { spec, .. } if spec.transient && self.is_clean() => {
                Some(self.received + hold::useful_wait(spec))
            }
            _ => None,
        }
    }
}

/// Counts of the calls of a host that ended without a reply of a leader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct CallCounts {
    /// Calls refused at this host, which no leader can have executed.
    pub(crate) refused: u64,
    /// Calls that a leader may have executed.
    pub(crate) unclear: u64,
}

/// The leader, as reported by another host or by this host's own log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaderUpdate {
    pub(crate) term: Term,
    pub(crate) leader: Option<HostId>,
    /// Version of the sender's queue set.
    pub(crate) version: Version,
    /// Fencing token of the leader of an isolated zone; 0 for a leader of the whole group.
    pub(crate) isolated_token: u64,
    /// Time of the leader's last message to this host, if the update is from the own log or from the leader itself.
    pub(crate) heard: Time,
}

/// A leader of the whole group that was silent, or has said that it doesn't lead.
#[derive(Debug, Clone, Copy)]
struct LostLeader {
    host: HostId,
    term: Term,
    at: Time,
}

/// The open calls of this host's clients, and the leader that they are sent to.
#[derive(Debug)]
pub(crate) struct Calls {
    zone: Zone,
    cpu_millicores: u32,
    incarnation: u64,
    serial: u64,
    open: IndexMap<u64, OpenCall>,
    by_caller: IndexMap<Caller, u64>,
    leader: Option<HostId>,
    term: Term,
    /// Time of the last message of `leader`; `None` if it was only named by another host.
    leader_seen: Option<Time>,
    /// Time at which `leader` was named.
    leader_named: Time,
    lost: Option<LostLeader>,
    /// Time of the last message of a leader of the whole group; the start of this process if there was none.
    group_seen: Time,
    /// Highest version of the queue set in any leader update.
    version: Version,
    /// Latest revision of the evacuations that this host has seen.
    evacuations: u64,
    /// Highest token of an isolated zone that this host has used or led.
    pub(crate) isolated_token: u64,
    /// Time without a leader of the group after which a leader of the isolated zone is used.
    isolation_timeout: Duration,
    /// True if the leader is that of an isolated zone.
    isolated: bool,
    /// A leader whose term does not exceed that of the isolated zone this host has used. It gets no calls, but leader
    /// queries that tell it of the zone's token.
    fenced_leader: Option<HostId>,
    last_poll: Option<Time>,
    /// True if this host is a member of the control group, which learns from its own log that a leader is silent.
    member: bool,
    /// Whether `leader` still answers.
    contact: Contact,
    /// True if the last jobs were held since the leader was quiet.
    holding: bool,
    counts: CallCounts,
    /// Time since which no leader is known.
    leaderless_since: Option<Time>,
    last_check: Time,
    /// Time by which all calls end; `None` unless this host is shutting down.
    end_by: Option<Time>,
    /// Hosts that may be members of the control group.
    hosts: Vec<HostId>,
    pub(crate) sends: Vec<(HostId, Message)>,
    pub(crate) replies: Vec<(Caller, Reply)>,
}

impl Calls {
    pub(crate) fn new(settings: &crate::Settings, hosts: Vec<HostId>, member: bool, now: Time) -> Self {
        Self {
            zone: settings.zone.clone(),
            cpu_millicores: settings.cpu_millicores,
            incarnation: settings.seed,
            serial: settings.seed << 24,
            open: IndexMap::new(),
            by_caller: IndexMap::new(),
            leader: None,
            term: Term(0),
            leader_seen: None,
            leader_named: now,
            lost: None,
            group_seen: now,
            version: Version(0),
            evacuations: 0,
            isolated_token: 0,
            isolation_timeout: settings.isolation_timeout(),
            isolated: false,
            fenced_leader: None,
            last_poll: None,
            member,
            contact: Contact::new(now),
            holding: false,
            counts: CallCounts::default(),
            leaderless_since: Some(now),
            last_check: now,
            end_by: None,
            hosts,
            sends: Vec::new(),
            replies: Vec::new(),
        }
    }

    pub(crate) const fn leader(&self) -> Option<HostId> {
        self.leader
    }

    /// Returns the hosts that may be members of the control group.
    pub(crate) fn hosts(&self) -> &[HostId] {
        &self.hosts
    }

    /// Returns the message that asks who leads and describes this host.
    pub(crate) fn leader_query(&self, now: Time) -> Message {
        Message::FindLeader(HostInfo {
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            cpu_millicores: self.cpu_millicores,
            leaderless_for: now - self.group_seen,
            version: self.version,
            isolated_token: self.isolated_token,
        })
    }

    /// Returns the latest revision of the evacuations that this host has seen.
    pub(crate) const fn seen_evacuations(&self) -> u64 {
        self.evacuations
    }

    /// Returns the message that tells what this host has seen of the evacuations; `None` before the first one.
    pub(crate) fn evacuation_notice(&self) -> Option<Message> {
        (self.evacuations > 0).then_some(Message::SeenEvacuations(self.evacuations))
    }

    /// Takes note of the latest revision of the evacuations that another host, or the own log, has seen.
    pub(crate) fn on_evacuations(&mut self, revision: u64) {
        if revision > self.evacuations {
            log::info!(revision, known = self.evacuations; "calls: evacuations have changed");
            self.evacuations = revision;
        }
    }

    /// Returns the number of calls that have no reply yet.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of jobs that wait at this host for a leader that answers.
    pub(crate) fn held(&self) -> usize {
        self.open.values().filter(|open| open.sent.is_none() && open.latest_start().is_some()).count()
    }

    pub(crate) const fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Returns true if what is sent to the leader now may never arrive, so that jobs are better held.
    fn is_quiet(&self, now: Time) -> bool {
        !self.member && (self.leader_seen.is_none() || self.contact.is_quiet(now))
    }

    /// Takes note of a message of another host, which may be the leader.
    pub(crate) fn on_heard(&mut self, now: Time, from: HostId) {
        if self.leader == Some(from) {
            self.contact = Contact::new(now);
        }
    }

    /// Returns true if the leader has confirmed its role, or was named, within twice the leader timeout.
    pub(crate) fn has_leader(&self, now: Time) -> bool {
        self.leader.is_some() && now - self.leader_seen.unwrap_or(self.leader_named) < 2 * LEADER_TIMEOUT
    }

    /// Returns true if the leader of `term`, last heard directly at `heard`, has been lost since. A term has one leader, so
    /// only a message of that leader ends this.
    pub(crate) fn is_lost(&self, term: Term, heard: Time) -> bool {
        self.lost.is_some_and(|lost| term <= lost.term && heard <= lost.at)
    }

    /// Gives up the leader, which is silent or has said that it doesn't lead.
    fn lose_leader(&mut self, now: Time) {
        if let Some(host) = self.leader.filter(|_| !self.isolated) {
            self.lost = Some(LostLeader { host, term: self.term, at: now });
        }
        (self.leader, self.isolated) = (None, false);
        self.contact = Contact::new(now);
    }

    /// Takes note of hosts that `from` names as members of the control group. Only the leader's list is known to be
    /// current; lists of other hosts add to it.
    pub(crate) fn on_hosts(&mut self, from: HostId, hosts: Vec<HostId>) {
        match hosts.is_empty() {
            true => {}
            false if self.leader == Some(from) && !self.isolated => self.hosts = hosts,
            false => self.add_hosts(hosts),
        }
    }

    /// Adds hosts at addresses that are not known yet.
    pub(crate) fn add_hosts(&mut self, hosts: Vec<HostId>) {
        self.hosts.extend(hosts);
        self.hosts.sort_unstable();
        self.hosts.dedup_by_key(|host| ip_of(*host));
    }

    /// Sends a call to the leader, now or once there is one. The call ends after its own timeout or `reply_timeout`.
    pub(crate) fn call(&mut self, now: Time, caller: Caller, call: Call, reply_timeout: Duration) {
        if self.end_by.is_some_and(|end_by| now + LEADER_ANSWER_MARGIN >= end_by) {
            self.counts.refused += 1;
            return self
                .replies
                .push((caller, Reply::Refused { why: SHUTTING_DOWN.to_owned(), wait: hold::MIN_RETRY_DELAY }));
        }
        let timeout = match &call {
            Call::Submit { timeout: Some(timeout), .. } => *timeout,
            _ => reply_timeout,
        };
        self.serial += 1;
        let serial = self.serial;
        self.by_caller.insert(caller, serial);
        let deadline = (now + timeout).min(self.end_by.unwrap_or(Time::MAX));
        self.open.insert(serial, OpenCall { caller, call, received: now, deadline, sent: None, uncertain_sends: 0 });
        self.send_or_hold(now, serial);
    }

    /// Ends all calls, also those still to come, by `deadline`, and asks the leader to do so.
    pub(crate) fn end_by(&mut self, now: Time, deadline: Time) {
        log::info!(open = self.open.len(), left = (deadline - now).as_millis() as u64; "calls: shutting down; the open calls end in time");
        self.end_by = Some(deadline);
        for open in self.open.values_mut() {
            open.deadline = open.deadline.min(deadline);
        }
        self.send_deadlines(now);
    }

    /// Tells the leader the deadlines of the jobs that are not stored, if this host is shutting down.
    fn send_deadlines(&mut self, now: Time) {
        let (Some(leader), Some(_)) = (self.leader, self.end_by) else { return };
        let is_transient = |call: &Call| matches!(call, Call::Submit { spec, .. } if spec.transient);
        let sent = |open: &OpenCall| open.sent.is_some_and(|(to, _)| to == leader) && is_transient(&open.call);
        let left = |open: &OpenCall| (open.deadline - now).saturating_sub(LEADER_ANSWER_MARGIN);
        let calls: Vec<(u64, Duration)> =
            self.open.iter().filter(|(_, open)| sent(open)).map(|(serial, open)| (*serial, left(open))).collect();
        if !calls.is_empty() {
            self.sends.push((leader, Message::Deadlines(calls)));
        }
    }

    /// Sends a call to the leader, unless it is a job and the leader is quiet.
    fn send_or_hold(&mut self, now: Time, serial: u64) {
        let is_job = self.open.get(&serial).is_some_and(|open| open.latest_start().is_some());
        let Some(leader) = self.leader.filter(|_| !(is_job && self.is_quiet(now))) else {
            return self.note_holding(now, is_job);
        };
        if is_job && !self.member && self.contact.is_probe_due(now) {
            self.contact.on_asked(now);
            self.sends.push((leader, self.leader_query(now)));
        }
        self.send(now, serial);
    }

    fn note_holding(&mut self, now: Time, is_job: bool) {
        if is_job && !self.holding {
            self.holding = true;
            let silence = self.contact.silence(now).as_millis() as u64;
            log::info!(leader = self.leader.map(|host| host.0), silence; "calls: no leader answers; jobs are held");
        }
    }

    /// Drops the call of a disconnected client and tells the leader if the call submits a job.
    pub(crate) fn on_disconnected(&mut self, caller: Caller) {
        let Some(serial) = self.by_caller.swap_remove(&caller) else { return };
        if let Some(OpenCall { sent: Some((leader, _)), call: Call::Submit { .. }, .. }) =
            self.open.swap_remove(&serial)
        {
            self.sends.push((leader, Message::Disconnected(serial)));
        }
    }

    pub(crate) fn on_answer(&mut self, serial: u64, reply: Reply) {
        if let Some(open) = self.open.swap_remove(&serial) {
            self.by_caller.swap_remove(&open.caller);
            // An earlier receiver may have executed the call that this one refuses.
            let reply = match reply {
                Reply::Refused { .. } if open.uncertain_sends > 1 && !open.call.is_read() => {
                    self.counts.unclear += 1;
                    log::info!(serial, sends = open.uncertain_sends; "calls: an earlier leader may have executed a refused call");
                    Reply::Unclear
                }
                reply => reply,
            };
            self.replies.push((open.caller, reply));
        }
    }

    /// Handles the answer of a host that does not lead and has not executed the call.
    pub(crate) fn on_not_leader(&mut self, now: Time, from: HostId, serial: u64) {
        if let Some(open) = self.open.get_mut(&serial).filter(|open| open.sent.is_some_and(|(to, _)| to == from)) {
            open.sent = None;
            open.uncertain_sends -= 1;
        }
        if self.leader == Some(from) {
            self.lose_leader(now);
            self.last_poll = None;
        }
    }

    /// Sends calls again that the leader does not know.
    pub(crate) fn on_unknown_calls(&mut self, now: Time, from: HostId, serials: &[u64]) {
        for serial in serials {
            match self.open.get_mut(serial) {
                Some(open) if open.sent.is_some_and(|(to, _)| to == from) => open.sent = None,
                _ => continue,
            }
            self.send(now, *serial);
        }
    }

    /// Handles a leader update. `from` is the sender, or `None` for the own log of a member.
    pub(crate) fn on_leader_update(&mut self, now: Time, from: Option<HostId>, update: LeaderUpdate) {
        self.version = self.version.max(update.version);
        let direct = from.is_none() || update.leader.is_some() && from == update.leader;
        match from == self.leader && from.is_some() {
            true if self.isolated && update.isolated_token == 0 => {
                log::info!("calls: the isolated zone is no longer served");
                self.lose_leader(now);
            }
            true if !self.isolated && update.leader != from && update.term >= self.term => {
                log::info!(leader = from.map(|host| host.0), term = self.term.0; "calls: the leader has stepped down");
                self.lose_leader(now);
            }
            _ => {}
        }
        match update {
            LeaderUpdate { term, .. } if term < self.term => {}
            LeaderUpdate { isolated_token: 1.., .. } if direct => self.follow_isolated(now, update),
            LeaderUpdate { isolated_token: 1.., .. } => {}
            // Runs of the isolated zone are fenced off only by a token of a later term.
            LeaderUpdate { term, leader: Some(leader), .. }
                if self.isolated_token > 0 && term.0 <= term_of(self.isolated_token) =>
            {
                self.fenced_leader = Some(leader);
            }
            _ => self.follow(now, from, direct, update),
        }
    }

    /// Follows a leader of the whole group.
    fn follow(&mut self, now: Time, from: Option<HostId>, direct: bool, update: LeaderUpdate) {
        let LeaderUpdate { term, heard, .. } = update;
        let heard = if direct { heard } else { Time::ZERO };
        let leader = update.leader.filter(|_| !self.is_lost(term, heard));
        if leader.is_none() && from.is_some() {
            return;
        }
        if direct && leader.is_some() {
            self.group_seen = now;
        }
        if self.isolated && leader.is_some() {
            (self.leader, self.isolated) = (None, false);
        }
        let same = term == self.term && self.leader.is_some() && self.leader == leader;
        if !same {
            self.contact = Contact::new(now);
        }
        self.term = term;
        if direct {
            self.leader_seen = leader.map(|_| now);
        }
        if same {
            return;
        }
        if self.leader != leader {
            log::info!(
                leader = leader.map(|host| host.0), term = term.0, from = from.map(|host| host.0);
                "calls: leader changed"
            );
        }
        self.leader = leader;
        self.leader_named = now;
        self.fenced_leader = None;
        if !direct {
            self.leader_seen = None;
        }
        // A leader must confirm its role, and learn the token of the isolated zone before it gets calls.
        if from.is_some() && (!direct || self.isolated_token > 0) {
            self.sends.extend(leader.map(|leader| (leader, self.leader_query(now))));
        }
        self.resend(now);
    }

    /// Follows the leader of the isolated zone if no leader of the group was heard for the isolation timeout.
    fn follow_isolated(&mut self, now: Time, update: LeaderUpdate) {
        match self.leader {
            None if now - self.group_seen >= self.isolation_timeout => {
                log::info!(
                    leader = update.leader.map(|host| host.0), token = update.isolated_token;
                    "calls: using the leader of the isolated zone"
                );
                (self.leader, self.isolated, self.leader_seen) = (update.leader, true, Some(now));
                self.contact = Contact::new(now);
                self.isolated_token = self.isolated_token.max(update.isolated_token);
                self.term = update.term;
                self.resend(now);
            }
            Some(_) if self.isolated && self.leader == update.leader => self.leader_seen = Some(now),
            _ => {}
        }
    }

    /// Sends the current leader every open call that it has not been sent: first those that an earlier leader may have
    /// started, whose runs are stopped unless their jobs are known in time. Jobs that nothing can have executed follow as
    /// [`Calls::release`] allows.
    fn resend(&mut self, now: Time) {
        let elsewhere =
            |open: &OpenCall| open.latest_start().is_none() && open.sent.is_none_or(|(to, _)| Some(to) != self.leader);
        let serials: Vec<u64> =
            self.open.iter().filter(|(_, open)| elsewhere(open)).map(|(serial, _)| *serial).collect();
        for serial in serials {
            self.send(now, serial);
        }
        self.release(now);
    }

    /// Sends some of the held jobs to a leader that answers.
    fn release(&mut self, now: Time) {
        if self.leader.is_none() || self.is_quiet(now) {
            return;
        }
        let waiting = self.open.iter().filter(|(_, open)| open.sent.is_none());
        let held: Vec<HeldJob> = waiting
            .filter_map(|(serial, open)| Some(HeldJob { latest_start: open.latest_start()?, serial: *serial }))
            .collect();
        let (count, jobs) = (held.len(), hold::released(now, held));
        if !jobs.is_empty() {
            log::info!(
                leader = self.leader.map(|host| host.0), held = count, sent = jobs.len();
                "calls: held jobs go to the leader"
            );
        }
        self.holding = false;
        for job in jobs {
            self.send_or_hold(now, job.serial);
        }
    }

    fn send(&mut self, now: Time, serial: u64) {
        let (Some(leader), Some(open)) = (self.leader, self.open.get_mut(&serial)) else { return };
        let margin = self.end_by.map_or(Duration::ZERO, |_| LEADER_ANSWER_MARGIN);
        let remaining = (open.deadline - now).saturating_sub(margin);
        let call = match &open.call {
            Call::Submit { host, path, id, spec, timeout } if timeout.is_some() || self.end_by.is_some() => {
                let (host, path, spec) = (host.clone(), path.clone(), std::sync::Arc::clone(spec));
                Call::Submit { host, path, id: *id, spec, timeout: Some(remaining) }
            }
            call => call.clone(),
        };
        let first_attempt = open.uncertain_sends == 0;
        open.sent = Some((leader, now));
        open.uncertain_sends += 1;
        self.sends.push((leader, Message::Call { serial, first_attempt, call }));
    }

    pub(crate) fn on_tick(&mut self, now: Time, member: bool) {
        match member {
            true => self.announce(now),
            false => self.find_leader(now),
        }
        self.expire(now);
        self.release(now);
        if now - self.last_check >= CALL_CHECK_PERIOD {
            self.last_check = now;
            self.check_open(now);
        }
    }

    /// Tells the leader that this host, a member, can forward orders.
    fn announce(&mut self, now: Time) {
        if self.last_poll.is_none_or(|at| now - at >= LEADER_POLL_PERIOD) {
            self.last_poll = Some(now);
            let receiver = self.leader.or(self.fenced_leader);
            self.sends.extend(receiver.map(|leader| (leader, self.leader_query(now))));
            self.sends.extend(receiver.zip(self.evacuation_notice()));
        }
    }

    /// Sends a leader query to the leader, or to all known hosts if it has timed out or was only named by another host.
    fn find_leader(&mut self, now: Time) {
        if self.last_poll.is_some_and(|at| now - at < LEADER_POLL_PERIOD) {
            return;
        }
        self.last_poll = Some(now);
        let confirmed = self.leader_seen.is_some_and(|seen| now - seen < LEADER_TIMEOUT);
        match self.leader {
            Some(leader) if confirmed => {
                self.contact.on_asked(now);
                self.sends.push((leader, self.leader_query(now)));
                self.sends.extend(self.evacuation_notice().map(|notice| (leader, notice)));
            }
            _ => {
                let query = self.leader_query(now);
                let lost = self.lost.map(|lost| lost.host).filter(|host| !self.hosts.contains(host));
                let receivers: Vec<HostId> = self.hosts.iter().copied().chain(lost).collect();
                for message in std::iter::once(query).chain(self.evacuation_notice()) {
                    self.sends.extend(receivers.iter().map(|host| (*host, message.clone())));
                }
            }
        }
        let expected = confirmed || self.leader_seen.is_none() && now - self.leader_named < LEADER_TIMEOUT;
        if let Some(leader) = self.leader.filter(|_| !expected) {
            log::info!(leader = leader.0, term = self.term.0; "calls: the leader is silent");
            self.lose_leader(now);
        }
    }

    /// Ends calls past their deadline and calls that have been without a leader for too long.
    fn expire(&mut self, now: Time) {
        self.leaderless_since = if self.leader.is_some() { None } else { self.leaderless_since.or(Some(now)) };
        let leaderless = self.leaderless_since.map_or(Duration::ZERO, |since| now - since);
        let is_over = |open: &OpenCall| {
            let timeout = if open.is_clean() { UNSENT_CALL_TIMEOUT } else { SENT_CALL_TIMEOUT };
            now >= open.deadline || leaderless >= timeout || open.sent.is_none() && open.is_late(now)
        };
        let ended: Vec<u64> = self.open.iter().filter(|(_, open)| is_over(open)).map(|(serial, _)| *serial).collect();
        for serial in ended {
            let Some(open) = self.open.swap_remove(&serial) else { continue };
            self.by_caller.swap_remove(&open.caller);
            let clean = open.is_clean();
            let reply = match clean {
                true => {
                    self.counts.refused += 1;
                    let wait = match &open.call {
                        Call::Submit { spec, .. } if spec.transient => hold::retry_delay(leaderless, serial),
                        // Operators and targets are few, and move on to another host.
                        _ => hold::MIN_RETRY_DELAY,
                    };
                    let why = match self.end_by {
                        Some(end_by) if now >= end_by => SHUTTING_DOWN,
                        _ => "not run: no leader can be reached",
                    };
                    Reply::Refused { why: why.to_owned(), wait }
                }
                false => {
                    self.counts.unclear += 1;
                    Reply::Unclear
                }
            };
            let reason = match () {
                () if self.end_by == Some(open.deadline) && now >= open.deadline => "shutdown",
                () if now >= open.deadline => "deadline",
                () if open.sent.is_none() && open.is_late(now) => "late",
                () => "leaderless",
            };
            let job = match &open.call {
                Call::Submit { id, .. } => Some(id.to_string()),
                _ => None,
            };
            log::info!(
                serial, job, waited = (now - open.received).as_millis() as u64, clean, reason,
                leaderless = leaderless.as_millis() as u64, sends = open.uncertain_sends;
                "calls: given up without a reply"
            );
            if let (Some((leader, _)), Call::Submit { .. }) = (open.sent, &open.call) {
                self.sends.push((leader, Message::Disconnected(serial)));
            }
            self.replies.push((open.caller, reply));
        }
    }

    /// Asks the leader whether it still knows the calls that it was sent at least one check period ago.
    fn check_open(&mut self, now: Time) {
        self.send_deadlines(now);
        let Some(leader) = self.leader else { return };
        let old = |open: &OpenCall| open.sent.is_some_and(|(to, at)| to == leader && now - at >= CALL_CHECK_PERIOD);
        let serials: Vec<u64> = self.open.iter().filter(|(_, open)| old(open)).map(|(serial, _)| *serial).collect();
        if !serials.is_empty() {
            self.sends.push((leader, Message::OpenCalls(serials)));
        }
    }
}
