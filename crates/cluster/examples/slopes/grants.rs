//! Measures the cost of grants: targets of one zone send heartbeats to random hosts.

use crate::meter::{Meter, resident, round};
use mangogw_cluster::grants::{Echo, Event, Grants, Message, RequestId, Settings};
use mangogw_cluster::{MemberInfo, Output};
use mangogw_model::{Announcement, Capacity, HostId, Incarnation, Kind, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
const SPAN: Duration = Duration::from_secs(10);
const SIZES: [(usize, usize); 4] = [(3, 17), (3, 300), (3, 1_200), (12, 1_200)];

struct TestCluster {
    now: Time,
    hosts: Vec<Grants>,
    in_flight: Vec<(usize, usize, Message)>,
    open_heartbeats: HashMap<(usize, RequestId), usize>,
    echoes: Vec<Option<(Echo, Time)>>,
    next: Vec<Time>,
    rng: Pcg64Mcg,
}

fn announcement(index: usize) -> Announcement {
    Announcement {
        name: format!("worker-{index:05}").as_str().into(),
        address: "10.1.2.3:9000".parse().unwrap_or_else(|_| unreachable!()),
        zone: "regina-a".into(),
        rack: "rack-17".into(),
        kind: Kind::Worker,
        entries: vec!["gate-scan".into(), "route".into(), "tally".into()],
        capacity: Capacity { slots: 8, cores: 16, memory_mb: 32_000, accelerators: 2 },
        incarnation: Incarnation(1_700_000_000_000),
        running: Vec::new(),
        connections: 60,
    }
}

fn open(hosts: usize, targets: usize) -> TestCluster {
    let now = Time::from_millis(1_000);
    let incarnation = Incarnation(1_700_000_000_000);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let member = |id: usize| MemberInfo { id: HostId(id as u64), incarnation, zone: "regina-a".into(), usable: true };
    let members: Vec<MemberInfo> = (0..hosts).map(member).collect();
    let host = |id: usize| {
        let mut grants = Grants::open(&Settings { id: HostId(id as u64), incarnation }, now);
        grants.set_hosts(now, members.clone());
        grants
    };
    TestCluster {
        now,
        hosts: (0..hosts).map(host).collect(),
        in_flight: Vec::new(),
        open_heartbeats: HashMap::new(),
        echoes: vec![None; targets],
        next: (0..targets).map(|_| now + Duration::from_millis(rng.random_range(0..800))).collect(),
        rng,
    }
}

impl TestCluster {
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
            for target in 0..self.next.len() {
                if self.next[target] <= self.now {
                    self.send_heartbeat(target, meter);
                }
            }
        }
    }

    fn send_heartbeat(&mut self, target: usize, meter: &mut Meter) {
        self.next[target] = Time::MAX;
        let entry = self.rng.random_range(0..self.hosts.len());
        let age = |at: Time| (self.now - at).as_millis() as u32;
        let echo = self.echoes[target].map(|(echo, at)| Echo { age_ms: Some(age(at)), ..echo });
        let announcement = announcement(target);
        let request_id = meter.time(|| self.hosts[entry].on_heartbeat(self.now, announcement, echo));
        self.open_heartbeats.insert((entry, request_id), target);
        self.collect(entry, meter);
    }

    fn collect(&mut self, from: usize, meter: &mut Meter) {
        for output in self.hosts[from].drain() {
            match output {
                Output::Send { to, message } => {
                    meter.sent(from, &message);
                    self.in_flight.push((from, to.0 as usize, message));
                }
                Output::Event(Event::Answered { request_id, answer }) => {
                    let Some(target) = self.open_heartbeats.remove(&(from, request_id)) else { continue };
                    self.next[target] = self.now + answer.interval;
                    let echo = answer.grant.map(|grant| (Echo { grant, age_ms: None }, self.now));
                    self.echoes[target] = echo.or(self.echoes[target]);
                }
                Output::Event(_) => {}
            }
        }
    }
}

pub fn measure() -> Vec<Value> {
    SIZES.iter().map(|&(hosts, targets)| measure_size(hosts, targets)).collect()
}

fn measure_size(hosts: usize, targets: usize) -> Value {
    let before = resident();
    let mut cluster = open(hosts, targets);
    cluster.run(Duration::from_secs(6), &mut Meter::open(hosts));
    let memory = resident().saturating_sub(before);
    let owned: usize = cluster.hosts.iter().map(|host| host.owned_targets(cluster.now).count()).sum();
    let mut meter = Meter::open(hosts);
    cluster.run(SPAN, &mut meter);
    let mut value = meter.report(SPAN);
    let heartbeats_per_s = targets as f64 / hosts as f64 * 1_000.0 / 800.0;
    value["hosts"] = json!(hosts);
    value["targets"] = json!(targets);
    value["owned"] = json!(owned);
    value["resident_bytes_per_target"] = json!(round(memory as f64 / targets as f64));
    value["micros_per_heartbeat"] =
        json!(round(value["core_percent_mean"].as_f64().unwrap_or_default() * 10_000.0 / heartbeats_per_s));
    value["bytes_per_s_per_target"] =
        json!(round(value["bytes_per_s_mean"].as_f64().unwrap_or_default() * hosts as f64 / targets as f64));
    // Stays allocated, so that the next run does not reuse its memory.
    std::mem::forget(cluster.hosts);
    value
}
