//! Tests of the shares of limits over a fake network: they never add up to more than the limit, follow the demand, and
//! exceed the limit only by a bounded amount in a cut.

use arbitrary::Unstructured;
use mangogw_cluster::shares::{
    LEASE_DURATION, Limit, Message, REPORT_INTERVAL, Resource, Scope, Settings, Shares, split, split_units,
};
use mangogw_cluster::{MemberInfo, Output};
use mangogw_model::{HostId, Incarnation, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);
/// Longest time until a host notices a cut, in milliseconds.
const NOTICE_MS: u64 = 3_000;
const TOTAL: u64 = 700;
const SEEDS: u64 = 60;

struct Node {
    shares: Shares,
    up: bool,
    origin: u64,
    rate: u64,
    /// Time at which the host notices the last change of members or links.
    notice: Time,
    view: Vec<(u64, bool)>,
}

struct Net {
    now: Time,
    nodes: Vec<Node>,
    side: Vec<bool>,
    in_flight: Vec<(Time, usize, usize, Message)>,
    rng: Pcg64Mcg,
    chaos: bool,
    limit: Limit,
}

impl Net {
    fn open(hosts: usize, resource: Resource, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let now = Time::from_millis(1_000);
        let limit = Limit { scope: Scope::Owner("tally".into()), resource };
        let nodes = (0..hosts).map(|index| node(index, &limit, &mut rng, now)).collect();
        let mut net = Self { now, nodes, side: vec![false; hosts], in_flight: Vec::new(), rng, chaos: false, limit };
        net.delay_notice(0);
        net
    }

    /// Lets each host notice the last change within `notice` milliseconds, at a random time.
    fn delay_notice(&mut self, notice: u64) {
        for node in &mut self.nodes {
            node.notice = self.now + Duration::from_millis(self.rng.random_range(0..=notice));
        }
    }

    fn set_demands(&mut self, demands: &[f64]) {
        for (node, &demand) in self.nodes.iter_mut().zip(demands) {
            node.shares.set_demand(&self.limit, demand);
        }
    }

    fn run(&mut self, time: Duration, max_sum: u64) {
        let end = self.now + time;
        while self.now < end {
            self.step();
            let sum = self.sum();
            assert!(sum <= max_sum as f64 + 0.001, "shares add up to {sum}, more than {max_sum}, at {:?}", self.now);
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        while let Some(at) = self.in_flight.iter().position(|item| item.0 <= self.now) {
            let (_, from, to, message) = self.in_flight.swap_remove(at);
            if self.nodes[to].up {
                let now = self.nodes[to].clock(self.now);
                self.nodes[to].shares.on_message(now, HostId(from as u64), message);
                self.collect(to);
            }
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].up {
                self.update_members(index);
                let now = self.nodes[index].clock(self.now);
                self.nodes[index].shares.on_tick(now);
                self.collect(index);
            }
        }
    }

    fn update_members(&mut self, index: usize) {
        if self.now >= self.nodes[index].notice {
            let reachable = |other: usize| (other as u64, self.side[other] == self.side[index]);
            self.nodes[index].view =
                (0..self.nodes.len()).filter(|&other| self.nodes[other].up).map(reachable).collect();
        }
        let member = |&(id, usable): &(u64, bool)| MemberInfo {
            id: HostId(id),
            incarnation: Incarnation(1),
            zone: "a".into(),
            usable,
        };
        let members: Vec<MemberInfo> = self.nodes[index].view.iter().map(member).collect();
        let now = self.nodes[index].clock(self.now);
        if !members.is_empty() {
            self.nodes[index].shares.set_hosts(now, &members);
        }
    }

    fn collect(&mut self, index: usize) {
        for output in self.nodes[index].shares.drain() {
            let Output::Send { to, message } = output;
            let to = to.0 as usize;
            let copies = if self.chaos { [0, 1, 1, 2][self.rng.random_range(0..4)] } else { 1 };
            for _ in 0..copies {
                let delay = if self.chaos { self.rng.random_range(1..2_000) } else { 1 };
                if self.side[to] == self.side[index] {
                    self.in_flight.push((self.now + Duration::from_millis(delay), index, to, message.clone()));
                }
            }
        }
    }

    fn share(&self, index: usize) -> f64 {
        let node = &self.nodes[index];
        node.shares.share(node.clock(self.now), &self.limit).unwrap_or_default()
    }

    fn sum(&self) -> f64 {
        (0..self.nodes.len()).filter(|&index| self.nodes[index].up).map(|index| self.share(index)).sum()
    }
}

impl Node {
    fn clock(&self, now: Time) -> Time {
        Time::from_micros(self.origin + now.as_micros() / 1_000 * self.rate / 1_000)
    }
}

fn node(index: usize, limit: &Limit, rng: &mut Pcg64Mcg, now: Time) -> Node {
    let (origin, rate) = (rng.random_range(10_000_000..900_000_000), rng.random_range(999_000..=1_001_000));
    let mut node = Node {
        shares: Shares::open(&Settings { id: HostId(index as u64), single_host: false }, Time::ZERO),
        up: true,
        origin,
        rate,
        notice: Time::ZERO,
        view: Vec::new(),
    };
    let now = node.clock(now);
    node.shares = Shares::open(&Settings { id: HostId(index as u64), single_host: false }, now);
    node.shares.set_limits([(limit.clone(), TOTAL)]);
    node
}

#[test]
fn busy_host_gets_the_share_that_idle_hosts_leave() {
    let mut net = Net::open(7, Resource::Rate, 1);
    net.set_demands(&[600.0, 10.0, 10.0, 0.0, 0.0, 0.0, 0.0]);
    net.run(SECOND * 8, TOTAL);
    assert!(net.share(0) >= 500.0, "{}", net.share(0));
    net.set_demands(&[10.0, 600.0, 10.0, 0.0, 0.0, 0.0, 0.0]);
    net.run(SECOND, TOTAL);
    assert!(net.share(1) >= 450.0, "{}", net.share(1));
}

#[test]
fn hosts_that_demand_too_much_get_equal_parts() {
    let mut net = Net::open(7, Resource::Rate, 2);
    net.set_demands(&[1_000.0; 7]);
    net.run(SECOND * 12, TOTAL);
    assert!((0..7).all(|host| (net.share(host) - 100.0).abs() < 2.0));
}

#[test]
fn whole_units_are_not_split() {
    let mut net = Net::open(7, Resource::Accelerators, 3);
    net.set_demands(&[3.0, 2.0, 0.0, 0.0, 0.0, 0.0, 1.0]);
    net.run(SECOND * 12, TOTAL);
    let shares: Vec<f64> = (0..7).map(|host| net.share(host)).collect();
    assert!(shares.iter().all(|share| share.fract() == 0.0), "{shares:?}");
    assert!(shares[0] >= 3.0 && shares[1] >= 2.0 && shares[6] >= 1.0, "{shares:?}");
}

#[test]
fn cut_off_host_keeps_its_share_until_its_lease_ends_and_then_has_the_fixed_part() {
    let mut net = Net::open(7, Resource::Rate, 4);
    net.set_demands(&[600.0, 10.0, 10.0, 0.0, 0.0, 0.0, 0.0]);
    net.run(SECOND * 8, TOTAL);
    let last = net.share(0);
    net.side[0] = true;
    net.nodes[0].notice = Time::MAX;
    net.run(LEASE_DURATION.saturating_sub(REPORT_INTERVAL), TOTAL);
    net.run(REPORT_INTERVAL + SECOND / 10, TOTAL * 2);
    assert!(net.share(0) <= last);
    assert!(net.share(0) <= 26.0, "fixed part: {}", net.share(0));
}

#[test]
fn each_side_of_a_cut_gets_its_part() {
    let mut net = Net::open(7, Resource::Rate, 5);
    net.set_demands(&[200.0; 7]);
    net.run(SECOND * 12, TOTAL);
    net.side[5] = true;
    net.side[6] = true;
    net.delay_notice(NOTICE_MS);
    net.run(SECOND * 12, TOTAL + TOTAL * 2 / 7);
    net.run(SECOND * 20, TOTAL);
    let small: f64 = (5..7).map(|host| net.share(host)).sum();
    assert!(small >= 190.0, "two of seven hosts have shares of {small} of {TOTAL}");
    net.side = vec![false; 7];
    net.delay_notice(NOTICE_MS);
    net.run(SECOND * 20, TOTAL);
    assert!(net.sum() >= 690.0);
}

/// Guards against shares that add up to more than the limit after crashes, restarts, loss, delay and duplicates without
/// a cut.
#[test]
fn shares_never_exceed_the_limit_without_a_cut() {
    let property = |u: &mut Unstructured<'_>| {
        let mut net = Net::open(u.int_in_range(2..=5)?, Resource::Rate, u.arbitrary()?);
        net.chaos = u.arbitrary()?;
        for _ in 0..u.int_in_range(1..=12)? {
            let host = u.choose_index(net.nodes.len())?;
            let demands: Vec<f64> = (0..net.nodes.len()).map(|_| f64::from(net.rng.random_range(0..900_u32))).collect();
            net.set_demands(&demands);
            let up = net.nodes.iter().filter(|node| node.up).count();
            match u.int_in_range(0..=3)? {
                0 if net.nodes[host].up && up > 1 => net.nodes[host].up = false,
                1 if !net.nodes[host].up => net.nodes[host] = node(host, &net.limit, &mut net.rng, net.now),
                _ => {}
            }
            net.delay_notice(0);
            net.run(Duration::from_millis(u.int_in_range(10..=9_000)?), TOTAL);
        }
        Ok(())
    };
    for seed in (1..=SEEDS).map(|seed| seed.wrapping_mul(0x9e37_79b9) << 32 | 128) {
        arbtest::arbtest(property).seed(seed).run();
    }
}

/// Guards against a larger or longer overshoot in a cut that each host notices within [`NOTICE_MS`]: the shares exceed
/// the limit by at most the part of the smaller side, and no longer than 13 s.
#[test]
fn overshoot_in_a_cut_is_bounded() {
    let property = |u: &mut Unstructured<'_>| {
        let hosts = u.int_in_range(2..=7)?;
        let mut net = Net::open(hosts, Resource::Rate, u.arbitrary()?);
        net.set_demands(&vec![900.0; hosts]);
        net.run(SECOND * 12, TOTAL);
        for host in 0..hosts {
            net.side[host] = u.arbitrary()?;
        }
        let small = net.side.iter().filter(|&&side| side).count().min(net.side.iter().filter(|&&side| !side).count());
        net.delay_notice(NOTICE_MS);
        net.run(SECOND * 13, TOTAL + (TOTAL * small as u64).div_ceil(hosts as u64));
        net.run(SECOND * 10, TOTAL);
        Ok(())
    };
    for seed in (1..=SEEDS).map(|seed| seed.wrapping_mul(0x9e37_79b9) << 32 | 64) {
        arbtest::arbtest(property).seed(seed).run();
    }
}

/// Compares the split with a naive one that hands out one unit at a time to the host that has least and demands more.
#[test]
fn split_is_max_min_fair() {
    let property = |u: &mut Unstructured<'_>| {
        let demands: Vec<u64> =
            (0..u.int_in_range(1..=8)?).map(|_| u.int_in_range(0..=40)).collect::<Result<_, _>>()?;
        let total = u.int_in_range(0..=200)?;
        let mut naive = vec![0; demands.len()];
        for _ in 0..total {
            let next =
                (0..demands.len()).filter(|&index| naive[index] < demands[index]).min_by_key(|&index| naive[index]);
            if let Some(index) = next {
                naive[index] += 1;
            }
        }
        let parts = split(total, &demands, 0);
        assert!(parts.iter().sum::<u64>() <= total);
        assert!(parts.iter().zip(&naive).all(|(&part, &fair)| part + 1 >= fair), "{parts:?} {naive:?}");
        let whole = split_units(total * 10, &demands.iter().map(|demand| demand * 10).collect::<Vec<_>>(), 0, 10);
        assert!(whole.iter().sum::<u64>() <= total * 10 && whole.iter().all(|part| part % 10 == 0));
        Ok(())
    };
    let seeds: BTreeSet<u64> = (1..=SEEDS * 4).map(|seed| seed.wrapping_mul(0x9e37_79b9) << 32 | 64).collect();
    for seed in seeds {
        arbtest::arbtest(property).seed(seed).run();
    }
}

/// Guards against an old lease that arrives after a newer one: it would restore a larger share that the home no longer
/// counts.
#[test]
fn overtaken_lease_is_ignored() {
    let (now, limit) =
        (Time::from_millis(1_000), Limit { scope: Scope::Owner("tally".into()), resource: Resource::Rate });
    let mut shares = Shares::open(&Settings { id: HostId(0), single_host: false }, now);
    shares.set_limits([(limit.clone(), TOTAL)]);
    // The home is the usable host that ranks first; with only host 1 usable, it is host 1.
    let member = |id, usable| MemberInfo { id: HostId(id), incarnation: Incarnation(1), zone: "a".into(), usable };
    shares.set_hosts(now, &[member(0, false), member(1, true)]);
    shares.set_demand(&limit, 500.0);
    let mut reports = Vec::new();
    for tick in 1..=300 {
        shares.on_tick(now + TICK * tick);
        reports.extend(shares.drain().into_iter().filter_map(|output| match output {
            Output::Send { message: Message::Report { sent_ms, .. }, .. } => Some(sent_ms),
            _ => None,
        }));
    }
    assert!(reports.len() >= 2);
    let at = now + TICK * 300;
    shares.on_message(at, HostId(1), Message::Lease { sent_ms: reports[1], amounts: vec![Some(10_000)] });
    let small = shares.share(at, &limit);
    shares.on_message(at, HostId(1), Message::Lease { sent_ms: reports[0], amounts: vec![Some(400_000)] });
    assert_eq!(shares.share(at, &limit), small);
}
