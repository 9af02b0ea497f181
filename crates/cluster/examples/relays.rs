//! Compares strategies to choose the host of a request, in a deterministic simulation of hosts whose targets have slots
//! and whose links have a fixed delay.
//!
//! `cargo run --release -p mangogw-cluster --example relays` prints one table for each deployment and load.

use mangogw_cluster::route::{Event, Load, Message, Placement, Router, Settings};
use mangogw_cluster::{MemberInfo, Output};
use mangogw_model::{EntryName, HostId, Incarnation, Time, Zone};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

const HOSTS: usize = 7;
const ZONE_OF: [usize; HOSTS] = [0, 0, 0, 1, 1, 2, 2];
const EXECUTORS: usize = 50;
const SLOTS: usize = 8;
const ZONE_DELAY_US: u64 = 250;
const REQUESTS: usize = 40_000;
/// Interval at which [`Strategy::Stale`] refreshes what each host knows of all targets, in microseconds.
const STALE_INTERVAL_US: u64 = 100_000;

/// The strategies compared; the table shows their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// One queue for all targets, without delay: the lower bound.
    Ideal,
    /// The router of this crate: each host uses its own targets and relays requests by load.
    Route,
    /// Each host uses its own targets, without relays.
    Own,
    /// Each host uses its own targets, and each request is relayed to a random host.
    Random,
    /// Every host uses all targets by loads that are out of date; a full target refuses.
    Stale,
    /// One host, which knows every target, places all requests.
    One,
}

/// The patterns of arrival compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Arrival {
    Even,
    /// One host gets 70 % of the requests.
    Uneven,
    /// The rate is ten times as high for 200 ms of every 4 s.
    Bursts,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Arrive,
    /// The request reaches a host as a relayed task.
    Relayed(usize),
    /// A task ends on a target of a host; with [`Strategy::Ideal`], host 0 stands for all hosts.
    End(usize, usize),
    /// The request reaches a target that the sending host doesn't own.
    Reach(usize, usize),
    /// The refusal of a target reaches the host that sent the request.
    Refused(usize),
    Deliver(usize, usize),
    Tick,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    at: u64,
    run: u64,
    host: usize,
    extra: u64,
    end: u64,
}

/// The state of a simulation run.
#[derive(Debug)]
struct Driver {
    strategy: Strategy,
    remote_delay: u64,
    now: u64,
    rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<(u64, u64, EventKind, usize)>>,
    sequence: u64,
    requests: Vec<Request>,
    /// Owner, zone, free slots and speed (in percent) of each target.
    owner: Vec<usize>,
    zone: Vec<usize>,
    free: Vec<usize>,
    speed: Vec<u64>,
    queues: Vec<VecDeque<usize>>,
    routers: Vec<Router>,
    in_flight: Vec<Option<(usize, Message)>>,
    known_free: Vec<Vec<usize>>,
    refreshed_at: u64,
    messages: u64,
    gossip: u64,
    entry: EntryName,
}

impl Driver {
    fn open(strategy: Strategy, remote_delay: u64, min_gain: f64, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let entry = EntryName::from("gate-scan");
        let zone: Vec<usize> = (0..EXECUTORS).map(|target| target % 3).collect();
        let owner = zone.iter().map(|&zone| pick(&mut rng, &hosts_of(zone))).collect();
        let speeds = (0..EXECUTORS).map(|_| rng.random_range(60..=160)).collect();
        let zone_name = |host: usize| Zone::from(format!("z{}", ZONE_OF[host]));
        let members: Vec<MemberInfo> = (0..HOSTS)
            .map(|host| MemberInfo {
                id: HostId(host as u64),
                incarnation: Incarnation(1),
                zone: zone_name(host),
                usable: true,
            })
            .collect();
        let router = |host: usize| {
            let (zone_delay, remote_delay) =
                (Duration::from_micros(ZONE_DELAY_US), Duration::from_micros(remote_delay));
            let settings = Settings {
                id: HostId(host as u64),
                zone: zone_name(host),
                zone_delay,
                remote_delay,
                min_gain,
                seed: seed + host as u64,
            };
            let mut router = Router::open(settings, Time::ZERO);
            router.set_hosts(Time::ZERO, &members);
            router
        };
        Self {
            strategy,
            remote_delay,
            now: 0,
            rng,
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            owner,
            zone,
            free: vec![SLOTS; EXECUTORS],
            speed: speeds,
            queues: vec![VecDeque::new(); HOSTS],
            routers: (0..HOSTS).map(router).collect(),
            in_flight: Vec::new(),
            known_free: vec![vec![SLOTS; EXECUTORS]; HOSTS],
            refreshed_at: 0,
            messages: 0,
            gossip: 0,
            entry,
        }
    }

    fn push(&mut self, at: u64, kind: EventKind, request: usize) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, kind, request)));
    }

    fn between(&self, a: usize, b: usize) -> u64 {
        if ZONE_OF[a] == ZONE_OF[b] { ZONE_DELAY_US } else { self.remote_delay }
    }

    fn arrive(&mut self, load: f64, arrival: Arrival) {
        let mut at = 0.0;
        let mean = self.speed.iter().map(|&speed| 100.0 / speed as f64).sum::<f64>() / EXECUTORS as f64;
        let rate = load * (EXECUTORS * SLOTS) as f64 / (250_000.0 * mean)
            * if arrival == Arrival::Bursts { 0.69 } else { 1.0 };
        for index in 0..REQUESTS {
            let burst = arrival == Arrival::Bursts && (at as u64) % 4_000_000 < 200_000;
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            at += if burst { gap / 10.0 } else { gap };
            // Run times start at 50 ms, a few take several seconds, and the mean is 250 ms.
            let draw = self.rng.random::<f64>();
            let run = 50_000.0 + 150_000.0 * -(1.0 - draw).ln();
            let run = if self.rng.random_range(0..100) == 0 { run + 5_000_000.0 } else { run };
            let skewed = arrival == Arrival::Uneven && self.rng.random_range(0..10) < 7;
            let host = if skewed { 0 } else { self.rng.random_range(0..HOSTS) };
            self.requests.push(Request { at: at as u64, run: run as u64, host, extra: 0, end: 0 });
            self.push(at as u64, EventKind::Arrive, index);
        }
    }

    fn run(&mut self) {
        let mut left = REQUESTS;
        self.push(0, EventKind::Tick, 0);
        while left > 0 {
            let Some(Reverse((at, _, kind, request))) = self.events.pop() else { return };
            self.now = at;
            match kind {
                EventKind::Arrive => self.on_arrive(request),
                EventKind::Relayed(host) => self.accept(host, request),
                EventKind::End(host, target) => {
                    left -= 1;
                    self.on_end(host, target, request);
                }
                EventKind::Reach(host, target) => self.on_reach(host, target, request),
                EventKind::Refused(host) => self.choose_stale(host, request),
                EventKind::Deliver(to, index) => self.on_message(to, index),
                EventKind::Tick => self.on_tick(),
            }
        }
    }

    fn on_arrive(&mut self, request: usize) {
        let host = self.requests[request].host;
        match self.strategy {
            Strategy::Ideal => self.accept(0, request),
            Strategy::Own => self.accept(host, request),
            Strategy::One => self.relay(host, 0, request),
            Strategy::Random => {
                let to = self.rng.random_range(0..HOSTS);
                self.relay(host, to, request);
            }
            Strategy::Stale => self.choose_stale(host, request),
            Strategy::Route => self.place(host, request),
        }
    }

    fn place(&mut self, host: usize, request: usize) {
        let now = Time::from_micros(self.now);
        match self.routers[host].place(now, &self.entry) {
            Placement::Relay(to) => self.relay(host, to.0 as usize, request),
            Placement::Local | Placement::Wait | Placement::NoHost => self.accept(host, request),
        }
        self.send_outputs(host);
    }

    fn relay(&mut self, from: usize, to: usize, request: usize) {
        if from == to {
            self.accept(to, request);
            return;
        }
        self.messages += 2;
        let delay = self.between(from, to);
        self.requests[request].extra += delay;
        self.push(self.now + delay, EventKind::Relayed(to), request);
    }

    /// Returns whether `host` starts tasks on `target`.
    fn usable(&self, host: usize, target: usize) -> bool {
        matches!(self.strategy, Strategy::Ideal | Strategy::One) || self.owner[target] == host
    }

    fn accept(&mut self, host: usize, request: usize) {
        self.queues[host].push_back(request);
        self.start(host);
    }

    fn start(&mut self, host: usize) {
        while !self.queues[host].is_empty() {
            let free = (0..EXECUTORS).filter(|&target| self.usable(host, target) && self.free[target] > 0);
            let Some(target) = free.max_by_key(|&target| (self.speed[target], self.free[target])) else { break };
            let Some(request) = self.queues[host].pop_front() else { break };
            self.begin(host, target, request);
        }
        self.report(host);
    }

    fn begin(&mut self, host: usize, target: usize, request: usize) {
        self.free[target] -= 1;
        let run = self.requests[request].run * 100 / self.speed[target];
        self.push(self.now + run, EventKind::End(host, target), request);
    }

    fn on_end(&mut self, host: usize, target: usize, request: usize) {
        self.free[target] += 1;
        let return_delay = self.requests[request].extra;
        self.requests[request].end = self.now + return_delay;
        if self.strategy == Strategy::Route && return_delay > 0 {
            let origin = self.requests[request].host;
            if let Some(message) = self.routers[host].piggyback(&self.entry) {
                self.post(host, origin, message);
            }
        }
        if self.strategy != Strategy::Stale {
            self.start(host);
        }
    }

    fn report(&mut self, host: usize) {
        if self.strategy != Strategy::Route {
            return;
        }
        let own_targets = (0..EXECUTORS).filter(|&target| self.owner[target] == host);
        let (mut slots, mut free, mut speed) = (0, 0, 0);
        for target in own_targets {
            slots += SLOTS as u32;
            free += self.free[target] as u32;
            speed += self.speed[target];
        }
        let run_us = 250_000 * 100 * (slots / SLOTS as u32) / (speed as u32).max(1);
        let fast = (0..EXECUTORS).filter(|&target| self.owner[target] == host && self.free[target] > 0);
        let next_us = fast.map(|target| self.speed[target]).max().map_or(run_us, |speed| 25_000_000 / speed as u32);
        let load = Load { slots, free, queued: self.queues[host].len() as u32, run_us, next_us };
        self.routers[host].set_load(Time::from_micros(self.now), &self.entry, load);
        self.send_outputs(host);
    }

    fn send_outputs(&mut self, host: usize) {
        for output in self.routers[host].drain() {
            match output {
                Output::Send { to, message } => {
                    self.gossip += 1;
                    self.post(host, to.0 as usize, message);
                }
                Output::Event(Event::RoomFound(_)) => self.move_queued(host),
            }
        }
    }

    /// Places the queued tasks again that arrived at this host itself.
    fn move_queued(&mut self, host: usize) {
        for _ in 0..self.queues[host].len() {
            let Some(request) = self.queues[host].pop_front() else { return };
            if self.requests[request].extra > 0 {
                self.queues[host].push_back(request);
                continue;
            }
            let place = self.routers[host].place(Time::from_micros(self.now), &self.entry);
            match place {
                Placement::Relay(to) => self.relay(host, to.0 as usize, request),
                _ => {
                    self.queues[host].push_front(request);
                    break;
                }
            }
        }
        self.report(host);
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        self.in_flight.push(Some((from, message)));
        let delay = self.between(from, to);
        self.push(self.now + delay, EventKind::Deliver(to, self.in_flight.len() - 1), 0);
    }

    fn on_message(&mut self, to: usize, index: usize) {
        let Some((from, message)) = self.in_flight[index].take() else { return };
        self.routers[to].on_message(Time::from_micros(self.now), HostId(from as u64), message);
        self.send_outputs(to);
    }

    fn on_tick(&mut self) {
        let now = Time::from_micros(self.now);
        if self.strategy == Strategy::Route {
            for host in 0..HOSTS {
                self.routers[host].on_tick(now);
                self.send_outputs(host);
            }
        }
        if self.strategy == Strategy::Stale && self.now >= self.refreshed_at + STALE_INTERVAL_US {
            self.refreshed_at = self.now;
            for host in 0..HOSTS {
                self.known_free[host] = self.free.clone();
            }
        }
        self.push(self.now + 10_000, EventKind::Tick, 0);
    }

    /// Sends the request to the target that looks best by the loads that `host` knows.
    fn choose_stale(&mut self, host: usize, request: usize) {
        let start = self.rng.random_range(0..EXECUTORS);
        let all = (0..EXECUTORS).map(|step| (start + step) % EXECUTORS);
        let best = all.max_by_key(|&target| self.known_free[host][target] as u64 * self.speed[target]);
        let Some(target) = best else { return };
        self.known_free[host][target] = self.known_free[host][target].saturating_sub(1);
        self.messages += 1;
        let delay = self.to_target(host, target);
        self.push(self.now + delay, EventKind::Reach(host, target), request);
    }

    /// Returns the one-way delay from a host to a target in excess of that inside a zone, in microseconds.
    fn to_target(&self, host: usize, target: usize) -> u64 {
        if self.zone[target] == ZONE_OF[host] { 0 } else { self.remote_delay }
    }

    fn on_reach(&mut self, host: usize, target: usize, request: usize) {
        let delay = self.to_target(host, target);
        if self.free[target] > 0 {
            self.requests[request].extra = delay;
            self.begin(host, target, request);
            return;
        }
        self.messages += 1;
        self.known_free[host][target] = 0;
        let wait = delay + self.rng.random_range(1_000..20_000);
        self.push(self.now + wait, EventKind::Refused(host), request);
    }
}

fn hosts_of(zone: usize) -> Vec<usize> {
    (0..HOSTS).filter(|&host| ZONE_OF[host] == zone).collect()
}

fn pick(rng: &mut Pcg64Mcg, from: &[usize]) -> usize {
    from[rng.random_range(0..from.len())]
}

fn main() {
    for (name, remote_delay) in [("Events Office", 1_000), ("Hanjiri", 500)] {
        for arrival in [Arrival::Even, Arrival::Uneven, Arrival::Bursts] {
            for load in [0.6, 0.85] {
                println!("{name}, {arrival:?}, load {load}");
                for strategy in [Strategy::Ideal, Strategy::Own, Strategy::Random, Strategy::Stale, Strategy::One] {
                    print_row(strategy, remote_delay, 1.0, load, arrival);
                }
                for gain in [1.0, 0.5, 0.25, 0.1] {
                    print_row(Strategy::Route, remote_delay, gain, load, arrival);
                }
            }
        }
    }
}

fn print_row(strategy: Strategy, remote_delay: u64, gain: f64, load: f64, arrival: Arrival) {
    let mut driver = Driver::open(strategy, remote_delay, gain, 42);
    driver.arrive(load, arrival);
    driver.run();
    // Time from arrival to answer over the run time on a target with a speed of 100 %.
    let mut slowdowns: Vec<f64> =
        driver.requests.iter().map(|one| (one.end - one.at) as f64 / one.run as f64).collect();
    slowdowns.sort_by(f64::total_cmp);
    let mean: f64 =
        driver.requests.iter().map(|one| (one.end - one.at) as f64 / 1_000.0).sum::<f64>() / REQUESTS as f64;
    let percentile = |part: f64| slowdowns[((REQUESTS - 1) as f64 * part) as usize];
    let per_request = |count: u64| count as f64 / REQUESTS as f64;
    println!(
        "  {:10} mean {mean:7.1} ms  slowdown p50 {:5.2} p99 {:6.2} p99.9 {:7.2}  messages/request {:5.2} + gossip {:5.2}",
        if strategy == Strategy::Route { format!("Route {gain}") } else { format!("{strategy:?}") },
        percentile(0.5),
        percentile(0.99),
        percentile(0.999),
        per_request(driver.messages),
        per_request(driver.gossip),
    );
}
