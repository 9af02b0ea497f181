//! Orders of operators on the evacuation of zones, and what targets and members show of them.

use super::{CONTROL_HOSTS, Event, PendingCall, Simulation, ZONES};
use mangogw_control::{Call, Reply};
use mangogw_jobs::{Evacuations, QueueSet};
use mangogw_model::{Time, Zone};
use std::time::Duration;

/// Time after which an operator without an answer gives up an attempt, and sends the order to another host.
const ATTEMPT: Duration = Duration::from_secs(1);

impl Simulation {
    /// Sends an order on the evacuation of a zone to a host. Returns the number of its reply.
    pub fn send_order(&mut self, host: usize, zone: usize, active: bool) -> u64 {
        self.send_order_for(host, ["a", "b", "c"][zone], active)
    }

    /// The same for a zone by its name.
    pub fn send_order_for(&mut self, host: usize, zone: &str, active: bool) -> u64 {
        self.send(host, Call::Evacuate { zone: Zone::from(zone), active, seen: 0 })
    }

    fn send(&mut self, host: usize, call: Call) -> u64 {
        // A call takes the serial after this one.
        let (id, sent) = (self.serial, self.now);
        self.call(host, call, PendingCall::Probe { id, sent, version: None });
        id
    }

    /// Returns the reply to a call of an operator, if it has come.
    pub fn reply_to(&self, id: u64) -> Option<&Reply> {
        self.probe_replies.get(&id)
    }

    /// Sends an order until it is acknowledged, each attempt to the next of the control hosts from `first`, and returns the
    /// time of the acknowledgement.
    pub fn order_until_acked(&mut self, first: usize, zone: usize, active: bool) -> Option<Time> {
        for attempt in 0..8 {
            let host = (first + attempt) % self.size.control_hosts;
            let (sent, id) = (self.now, self.send_order(host, zone, active));
            while self.now - sent < ATTEMPT {
                self.run_for(Duration::from_millis(1));
                match self.reply_to(id) {
                    Some(Reply::Done) => return Some(self.now),
                    Some(_) => break,
                    None => {}
                }
            }
        }
        None
    }

    /// Returns the evacuations as a host answers a read of them.
    pub fn read_evacuations(&mut self, host: usize) -> Option<Evacuations> {
        let id = self.send(host, Call::ListEvacuations);
        self.run_for(ATTEMPT);
        match self.reply_to(id) {
            Some(Reply::Evacuations(evacuations)) => Some(evacuations.clone()),
            _ => None,
        }
    }

    /// Returns the evacuations in the ledger of a control host.
    pub fn ledger_evacuations(&self, host: usize) -> Evacuations {
        self.host_metrics(host).evacuations
    }

    /// Returns the times of the starts on targets of a zone in a span of time.
    pub fn starts_in(&self, zone: usize, from: Time, to: Time) -> Vec<Time> {
        let within = |(at, target): &&(Time, usize)| *target % ZONES == zone && *at >= from && *at < to;
        self.oracle.start_times.iter().filter(within).map(|(at, _)| *at).collect()
    }

    /// Cuts the links between two hosts, in both directions.
    pub fn cut_hosts(&mut self, one: usize, other: usize) {
        self.cut_links.extend([(one, other), (other, one)]);
    }

    /// Makes a frozen host read an order some time after it wakes up, as from the buffer of a socket.
    pub fn order_after_wake(&mut self, host: usize, millis: u64, zone: usize, active: bool) {
        let wake = self.nodes[host].frozen_until + Duration::from_millis(millis);
        self.at(wake, Event::Order { host, zone, active });
    }

    /// Returns the last log index of a snapshot on the disk of a control host; 0 without one.
    pub fn snapshot_index(&self, host: usize) -> u64 {
        let disk = self.nodes[host].disk.as_ref();
        disk.and_then(|disk| disk.snapshot.as_ref()).map_or(0, |snapshot| snapshot.meta.id.index.0)
    }

    /// Installs queue sets that are large enough to make the log ask for snapshots.
    pub fn grow_log(&mut self, host: usize) {
        for _ in 0..6 {
            let (version, set) = self.next_queue_set();
            let set = QueueSet { document: "x".repeat(1 << 20).into(), ..(*set).clone() };
            let probe = PendingCall::Probe { id: self.serial, sent: self.now, version: Some(version) };
            self.call(host, Call::Install(set.into()), probe);
            self.run_for(ATTEMPT);
        }
    }

    /// Cuts the power of all control hosts, which come back one after the other.
    pub fn cut_all_power(&mut self) {
        (0..CONTROL_HOSTS).for_each(|host| self.kill(host, true, 1000 + host as u64 * 100));
    }

    /// Joins all hosts again.
    pub fn heal_links(&mut self) {
        self.cut_links.clear();
    }
}
