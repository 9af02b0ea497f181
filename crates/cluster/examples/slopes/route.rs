//! Measures the cost of relays: peers of one zone whose loads change all the time.

use crate::meter::{Meter, resident, round};
use mangogw_cluster::route::{Load, Message, Router, Settings};
use mangogw_cluster::{MemberInfo, Output};
use mangogw_model::{EntryName, HostId, Incarnation, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(10);
const SPAN: Duration = Duration::from_secs(8);
const SIZES: [(usize, usize); 4] = [(3, 5), (3, 32), (12, 32), (12, 450)];
const PLACEMENTS: u32 = 50_000;

pub fn measure() -> Vec<Value> {
    SIZES.iter().map(|&(hosts, entries)| measure_size(hosts, entries)).collect()
}

fn measure_size(hosts: usize, entries: usize) -> Value {
    let before = resident();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut now = Time::from_millis(1_000);
    let names: Vec<EntryName> = (0..entries).map(|index| EntryName::from(format!("entry-{index:04}"))).collect();
    let member = |id: usize| MemberInfo {
        id: HostId(id as u64),
        incarnation: Incarnation(1),
        zone: "regina-a".into(),
        usable: true,
    };
    let members: Vec<MemberInfo> = (0..hosts).map(member).collect();
    let (zone_delay, remote_delay) = (Duration::from_micros(250), Duration::from_millis(1));
    let open = |id: usize| {
        let settings = Settings {
            id: HostId(id as u64),
            zone: "regina-a".into(),
            zone_delay,
            remote_delay,
            min_gain: 0.5,
            seed: id as u64,
        };
        let mut router = Router::open(settings, now);
        router.set_hosts(now, &members);
        router
    };
    let mut routers: Vec<Router> = (0..hosts).map(open).collect();
    let mut meter = Meter::open(hosts);
    let mut in_flight: Vec<(usize, usize, Message)> = Vec::new();
    let end = now + SPAN;
    while now < end {
        now += TICK;
        for (from, to, message) in std::mem::take(&mut in_flight) {
            meter.time(|| routers[to].on_message(now, HostId(from as u64), message));
        }
        for (index, router) in routers.iter_mut().enumerate() {
            // The load of each entry changes a hundred times a second, and now and then no slot is free.
            for name in &names {
                let free = rng.random_range(0..40_u32).saturating_sub(1);
                let load = Load { slots: 56, free, queued: 0, run_us: 250_000, next_us: 180_000 };
                meter.time(|| router.set_load(now, name, load));
            }
            meter.time(|| router.on_tick(now));
            for output in router.drain() {
                if let Output::Send { to, message } = output {
                    meter.sent(index, &message);
                    in_flight.push((index, to.0 as usize, message));
                }
            }
        }
    }
    let memory = resident().saturating_sub(before);
    let full = Load { slots: 56, free: 0, queued: 3, run_us: 250_000, next_us: 180_000 };
    routers[0].set_load(now, &names[0], full);
    let start = Instant::now();
    let relays = (0..PLACEMENTS)
        .filter(|_| routers[0].place(now, &names[0]) != mangogw_cluster::route::Placement::Local)
        .count();
    let nanos = start.elapsed().as_nanos() as f64 / f64::from(PLACEMENTS);
    let mut value = meter.report(SPAN);
    value["hosts_in_zone"] = json!(hosts);
    value["entries"] = json!(entries);
    value["resident_bytes_per_entry_and_peer"] = json!(round(memory as f64 / (entries * hosts * hosts) as f64));
    value["nanos_per_place"] = json!(round(nanos));
    value["relayed_of_places"] = json!(relays);
    // Stays allocated, so that the next run does not reuse its memory.
    std::mem::forget(routers);
    value
}
