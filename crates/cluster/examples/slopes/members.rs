//! Measures the cost of membership: hosts in several zones, without changes.

use crate::meter::{Meter, resident, round};
use mangogw_cluster::members::{Host, Members, Message, Output, Settings};
use mangogw_model::{HostId, Incarnation, Time, Zone};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
const SPAN: Duration = Duration::from_secs(8);
/// Numbers of hosts and zones; the last size exceeds the required ones.
const SIZES: [(usize, usize); 5] = [(3, 3), (7, 3), (21, 3), (63, 9), (209, 19)];

struct Net {
    now: Time,
    hosts: Vec<Members>,
    in_flight: Vec<(usize, usize, Message)>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7_000))
}

fn open(hosts: usize, zones: usize) -> Net {
    let now = Time::from_millis(1_000);
    let member = |index: usize| {
        let (address, zone) = (address(index), Zone::from(format!("zone-{:02}", index % zones)));
        let id = HostId(index as u64);
        let host = Host {
            id,
            incarnation: Incarnation(1_700_000_000_000),
            address,
            http_address: address,
            zone,
            voter: index < 5,
        };
        Members::open(Settings { host, seeds: vec![self::address(0), self::address(1)], seed: index as u64 }, now)
    };
    Net { now, hosts: (0..hosts).map(member).collect(), in_flight: Vec::new() }
}

impl Net {
    fn run(&mut self, span: Duration, meter: &mut Meter) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                meter.time(|| self.hosts[to].on_message(self.now, HostId(from as u64), message));
                self.collect(to, meter);
            }
            for index in 0..self.hosts.len() {
                meter.time(|| self.hosts[index].on_tick(self.now));
                self.collect(index, meter);
            }
        }
    }

    fn collect(&mut self, from: usize, meter: &mut Meter) {
        for output in self.hosts[from].drain() {
            let (to, message) = match output {
                Output::Send { to, message } => (to.0 as usize, message),
                Output::Dial { address, message } => {
                    match (0..self.hosts.len()).find(|&to| self::address(to) == address) {
                        Some(to) => (to, message),
                        None => continue,
                    }
                }
                _ => continue,
            };
            meter.sent(from, &message);
            self.in_flight.push((from, to, message));
        }
    }
}

pub fn measure() -> Vec<Value> {
    SIZES.iter().map(|&(hosts, zones)| measure_size(hosts, zones)).collect()
}

fn measure_size(hosts: usize, zones: usize) -> Value {
    let before = resident();
    let mut net = open(hosts, zones);
    net.run(Duration::from_secs(10), &mut Meter::open(hosts));
    let agreed = net.hosts.iter().all(|host| host.alive().count() == hosts);
    let memory = resident().saturating_sub(before);
    let mut meter = Meter::open(hosts);
    net.run(SPAN, &mut meter);
    let mut value = meter.report(SPAN);
    value["hosts"] = json!(hosts);
    value["zones"] = json!(zones);
    value["agreed"] = json!(agreed);
    value["resident_bytes_per_member"] = json!(round(memory as f64 / (hosts * hosts) as f64));
    // Stays allocated, so that the next run does not reuse its memory.
    std::mem::forget(net.hosts);
    value
}
