//! A group of six control hosts, two in each of three zones, of which five vote, with its faults and checks.

use super::{CONTROL_HOSTS, Faults, GroupSize, PendingCall, Simulation, ip};
use mangogw_control::{Call, ControlHost, HostMetrics, Reply, host_at};
use mangogw_model::HostId;
use mangogw_store::{Members, Payload};
use std::fmt;
use std::time::Duration;

/// Number of control hosts in a large group: `CONTROL_HOSTS` found it, and the others join.
pub const LARGE_GROUP: usize = 2 * CONTROL_HOSTS;
pub const LARGE_VOTERS: usize = 5;
/// Time after which a call that was not served is sent again.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Members of the control group by the log of its leader, as control hosts. A member under an id that its host has no
/// more is in `replaced`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupMembers {
    pub voters: Vec<usize>,
    pub learners: Vec<usize>,
    pub replaced: Vec<usize>,
}

/// State of one control host, for the message of a failed test.
#[derive(Debug)]
struct HostState {
    host: usize,
    up: bool,
    metrics: HostMetrics,
    members: GroupMembers,
}

impl fmt::Display for HostState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { host, up, metrics, members } = self;
        let HostMetrics { ready, is_leader, isolated, term, voters, .. } = metrics;
        write!(f, "host {host}: up {up}, ready {ready}, leader {is_leader}, isolated {isolated}, term {term}, ")?;
        write!(f, "voters {voters}, by its log {:?} + {:?}", members.voters, members.learners)?;
        if members.replaced.is_empty() { Ok(()) } else { write!(f, ", lost disks {:?}", members.replaced) }
    }
}

/// Calls that each control host has to serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probe {
    Install,
    Fetch,
}

impl Simulation {
    /// Creates a simulation of a large group.
    pub fn new_large(seed: u64, faults: Faults, targets: usize, stored_share: f64) -> Self {
        let size = GroupSize { control_hosts: LARGE_GROUP, voters: LARGE_VOTERS };
        Self::with_size(size, seed, faults, targets, 100, stored_share)
    }

    /// Returns the members by the synced log of a control host.
    fn stored_members(&self, host: usize) -> Members {
        let Some(disk) = &self.nodes[host].disk else { return Members::default() };
        let change = disk.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        change.unwrap_or_else(|| disk.members())
    }

    fn members_at(&self, host: usize) -> GroupMembers {
        let stored = self.stored_members(host);
        let mut members = GroupMembers::default();
        let place = |id: &HostId| (0..self.size.control_hosts).find(|host| host_at(ip(*host), 0).0 >> 16 == id.0 >> 16);
        for (id, voter) in stored.voters.keys().map(|id| (id, true)).chain(stored.learners.keys().map(|id| (id, false)))
        {
            let Some(host) = place(id) else { continue };
            match voter {
                _ if self.nodes[host].id != *id => members.replaced.push(host),
                true => members.voters.push(host),
                false => members.learners.push(host),
            }
        }
        members.voters.sort_unstable();
        members.learners.sort_unstable();
        members
    }

    /// Returns true if a control host runs and is not frozen.
    pub fn is_up(&self, host: usize) -> bool {
        self.nodes[host].control_host.is_some() && self.nodes[host].frozen_until <= self.now
    }

    pub fn host_metrics(&self, host: usize) -> HostMetrics {
        let control_host = self.nodes[host].control_host.as_ref();
        control_host.map(|control_host| control_host.metrics(self.now)).unwrap_or_default()
    }

    /// Returns the control host that leads the group in the latest term, if one that is up does.
    pub fn group_leader(&self) -> Option<usize> {
        let leads = |host: &usize| {
            self.is_up(*host) && self.nodes[*host].control_host.as_ref().is_some_and(ControlHost::is_leader)
        };
        (0..self.size.control_hosts).filter(leads).max_by_key(|host| self.host_metrics(*host).term)
    }

    /// Returns the members by the log of the leader, if there is one.
    pub fn group_members(&self) -> Option<GroupMembers> {
        self.group_leader().map(|leader| self.members_at(leader))
    }

    /// Returns the number of voters by the log of the leader, those with lost disks included.
    pub fn voter_count(&self) -> Option<usize> {
        self.group_leader().map(|leader| self.stored_members(leader).voters.len())
    }

    /// Returns true if all control hosts are members under their current ids, and five of them vote.
    pub fn is_complete(&self) -> bool {
        self.group_members().is_some_and(|members| {
            members.voters.len() == self.size.voters
                && members.voters.len() + members.learners.len() == self.size.control_hosts
                && members.replaced.is_empty()
        })
    }

    /// Runs until `condition` holds, for at most `limit`. Returns false if it never did.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end && !condition(self) {
            self.run_for(Duration::from_millis(10));
        }
        condition(self)
    }

    /// Kills a control host at once with all it has not synced. It comes back with its disk.
    pub fn cut_power(&mut self, host: usize, down: u64) {
        self.kill(host, true, down);
    }

    /// Kills a control host, which comes back with a new, empty disk.
    pub fn lose_disk(&mut self, host: usize, down: u64) {
        self.wipe(host, down);
    }

    /// Pauses a control host.
    pub fn freeze(&mut self, host: usize, millis: u64) {
        self.nodes[host].frozen_until = self.now + Duration::from_millis(millis);
    }

    /// Makes a leader hand over its leadership, as before a planned stop. The host goes on.
    pub fn hand_over(&mut self, host: usize) {
        let now = self.now;
        if let Some(control_host) = &mut self.nodes[host].control_host {
            control_host.on_leaving(now);
        }
        self.process_effects(host);
    }

    /// Begins the stop of a host, which has to end its calls within `left`.
    pub fn begin_stop(&mut self, host: usize, left: Duration) {
        let now = self.now;
        if let Some(control_host) = &mut self.nodes[host].control_host {
            control_host.on_leaving(now);
            control_host.on_stopping(now, now + left);
        }
        self.process_effects(host);
    }

    /// Describes the control hosts, one a line.
    pub fn describe_group(&self) -> String {
        let state = |host| {
            let (up, metrics, members) = (self.is_up(host), self.host_metrics(host), self.members_at(host));
            HostState { host, up, metrics, members }.to_string()
        };
        let states: Vec<String> = (0..self.size.control_hosts).map(state).collect();
        format!("at {} ms\n{}", self.now.as_micros() / 1000, states.join("\n"))
    }

    fn send_probe(&mut self, host: usize, probe: Probe) -> u64 {
        let (call, version) = match probe {
            Probe::Fetch => (Call::Fetch, None),
            Probe::Install => {
                let (version, set) = self.next_queue_set();
                (Call::Install(set), Some(version))
            }
        };
        let (id, sent) = (self.serial, self.now);
        self.call(host, call, PendingCall::Probe { id, sent, version });
        id
    }

    /// Sends calls of one kind to control hosts, again each second until they are served. Returns the hosts that have not
    /// served theirs within `limit`.
    fn probe(&mut self, hosts: &[usize], probe: Probe, limit: Duration) -> Vec<usize> {
        let (start, end) = (self.now, self.now + limit);
        let mut open: Vec<(usize, Vec<u64>)> = hosts.iter().map(|host| (*host, Vec::new())).collect();
        let mut next = start;
        while self.now < end && !open.is_empty() {
            if self.now >= next {
                next = self.now + PROBE_PERIOD;
                for (host, ids) in &mut open {
                    ids.push(self.send_probe(*host, probe));
                }
            }
            self.run_for(Duration::from_millis(10));
            let served =
                |id: &u64| self.probe_replies.get(id).is_some_and(|reply| matches!(reply, Reply::Done | Reply::Set(_)));
            open.retain(|(_, ids)| !ids.iter().any(served));
        }
        open.into_iter().map(|(host, _)| host).collect()
    }

    /// Returns the control hosts that do not answer a read of the queue set within `limit`.
    pub fn unread_hosts(&mut self, limit: Duration) -> Vec<usize> {
        let hosts: Vec<usize> = (0..self.size.control_hosts).collect();
        self.probe(&hosts, Probe::Fetch, limit)
    }

    /// Returns the control hosts that do not acknowledge a queue set within `limit`.
    pub fn unchanged_hosts(&mut self, limit: Duration) -> Vec<usize> {
        let hosts: Vec<usize> = (0..self.size.control_hosts).collect();
        self.probe(&hosts, Probe::Install, limit)
    }

    /// Returns true if any control host acknowledges a queue set within `limit`.
    pub fn serves_a_change(&mut self, limit: Duration) -> bool {
        let hosts: Vec<usize> = (0..self.size.control_hosts).collect();
        let end = self.now + limit;
        while self.now < end {
            let up: Vec<usize> = hosts.iter().copied().filter(|host| self.is_up(*host)).collect();
            let failed = self.probe(&up, Probe::Install, PROBE_PERIOD.min(end - self.now));
            if failed.len() < up.len() {
                return true;
            }
            self.run_for(Duration::from_millis(10));
        }
        false
    }
}
