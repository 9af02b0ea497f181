//! Measures the cost of shares: every team uses its rate on every host.

use crate::meter::{Meter, resident, round};
use mangogw_cluster::shares::{Limit, Message, Resource, Scope, Settings, Shares};
use mangogw_cluster::{MemberInfo, Output};
use mangogw_model::{HostId, Incarnation, Owner, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
const SPAN: Duration = Duration::from_secs(8);
const SIZES: [(usize, usize); 7] = [(7, 45), (7, 150), (7, 450), (21, 450), (63, 45), (63, 150), (63, 450)];

pub fn measure() -> Vec<Value> {
    SIZES.iter().map(|&(hosts, teams)| measure_size(hosts, teams)).collect()
}

fn measure_size(hosts: usize, teams: usize) -> Value {
    let before = resident();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut now = Time::from_millis(1_000);
    let limits: Vec<Limit> = (0..teams)
        .map(|team| Limit { scope: Scope::Owner(Owner::from(format!("team-{team:03}"))), resource: Resource::Rate })
        .collect();
    let member =
        |id: usize| MemberInfo { id: HostId(id as u64), incarnation: Incarnation(1), zone: "z".into(), usable: true };
    let members: Vec<MemberInfo> = (0..hosts).map(member).collect();
    let open = |id: usize| {
        let mut shares = Shares::open(&Settings { id: HostId(id as u64), single_host: false }, now);
        shares.set_hosts(now, &members);
        shares.set_limits(limits.iter().map(|limit| (limit.clone(), 3_000)));
        shares
    };
    let mut all: Vec<Shares> = (0..hosts).map(open).collect();
    let mut meter = Meter::open(hosts);
    let mut in_flight: Vec<(usize, usize, Message)> = Vec::new();
    let warm_up_end = now + Duration::from_secs(12);
    let end = warm_up_end + SPAN;
    let mut step = 0;
    while now < end {
        now += TICK;
        step += 1;
        if now == warm_up_end {
            meter = Meter::open(hosts);
        }
        for (from, to, message) in std::mem::take(&mut in_flight) {
            meter.time(|| all[to].on_message(now, HostId(from as u64), message));
            collect(&mut all, to, &mut in_flight, &mut meter);
        }
        for index in 0..hosts {
            // The demand of each team on each host changes about once in 10 s.
            if step % 100 == 1 {
                for limit in &limits {
                    let demand = f64::from(rng.random_range(1..2 * 3_000 / hosts as u32));
                    if step == 1 || rng.random_range(0..10) == 0 {
                        all[index].set_demand(limit, demand);
                    }
                }
            }
            meter.time(|| all[index].on_tick(now));
            collect(&mut all, index, &mut in_flight, &mut meter);
        }
    }
    let memory = resident().saturating_sub(before);
    let used: f64 = all.iter().map(|shares| shares.share(now, &limits[0]).unwrap_or_default()).sum();
    let mut value = meter.report(SPAN);
    value["hosts"] = json!(hosts);
    value["teams"] = json!(teams);
    value["sum_of_shares_of_3000"] = json!(round(used));
    value["resident_bytes_per_team_and_host"] = json!(round(memory as f64 / (teams * hosts) as f64));
    // Stays allocated, so that the next run does not reuse its memory.
    std::mem::forget(all);
    value
}

fn collect(all: &mut [Shares], from: usize, in_flight: &mut Vec<(usize, usize, Message)>, meter: &mut Meter) {
    for output in all[from].drain() {
        let Output::Send { to, message } = output;
        meter.sent(from, &message);
        in_flight.push((from, to.0 as usize, message));
    }
}
