//! Measures control traffic and processor time of idle hosts, by number of hosts and targets, and prints them as JSON.
//!
//! `cargo run --release -p mangogw-host --example traffic > bench/data/hosts.json`

#[path = "../tests/hosts/world/mod.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod world;

use std::time::{Duration, Instant};
use world::{Faults, World};

const NO_FAULTS: Faults =
    Faults { loss: 0.0, duplicates: 0.0, partitions: false, crashes: false, freezes: false, targets: false };
/// Numbers of hosts and targets of each run.
const SIZES: [(usize, usize); 6] = [(3, 50), (7, 50), (7, 100), (21, 100), (21, 300), (63, 300)];
/// Time in which the hosts find each other and the targets are assigned, before counting starts.
const WARM_UP: Duration = Duration::from_secs(15);
/// Span over which traffic and processor time are counted.
const MEASURE_TIME: Duration = Duration::from_secs(20);

fn main() {
    let rows: Vec<String> = SIZES.iter().map(|&(hosts, targets)| measure(hosts, targets)).collect();
    println!("[\n{}\n]", rows.join(",\n"));
}

fn measure(hosts: usize, targets: usize) -> String {
    let mut world = World::open(1, hosts, targets, NO_FAULTS);
    world.run(world.now + WARM_UP);
    let (bytes, messages) = (world.bytes, world.messages);
    let started = Instant::now();
    world.run(world.now + MEASURE_TIME);
    let seconds = MEASURE_TIME.as_secs_f64() * hosts as f64;
    let (bytes, messages) = ((world.bytes - bytes) as f64 / seconds, (world.messages - messages) as f64 / seconds);
    let core = started.elapsed().as_secs_f64() / seconds * 100.0;
    let owned = world.owned();
    format!(
        r#"{{"hosts":{hosts},"targets":{targets},"owned":{owned},"bytes_per_s":{bytes:.1},"messages_per_s":{messages:.1},"core_percent":{core:.4}}}"#
    )
}
