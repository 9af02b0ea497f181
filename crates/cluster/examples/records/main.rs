//! Measures the cost of submission records: latency and messages of the alternatives, bytes and CPU of a submission, and
//! memory of a record.
//!
//! Prints JSON: `cargo run --release -p mangogw-cluster --example records`.

mod net;
mod routing;

use mangogw_cluster::records::{BodyDigest, Submission, SubmissionSpec, Tag, Task};
use mangogw_model::Key;
use net::{Net, micros};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Instant;

/// Bytes of the body, and of the answer, of a task.
const BODY_BYTES: usize = 100;
/// Numbers of tasks in a submission.
const TASK_COUNTS: [usize; 4] = [1, 10, 100, 1_000];
/// Tasks that run for one figure.
const RUNS: usize = 20_000;
/// Numbers of retained records.
const RECORD_COUNTS: [usize; 3] = [1_000, 10_000, 100_000];
/// Time for which idle hosts are measured, in seconds.
const IDLE_SECONDS: u64 = 60;

fn main() {
    // The hosts of each size stay allocated, so that the next size does not reuse their memory.
    let (memory, nets): (Vec<Value>, Vec<Net>) = RECORD_COUNTS.into_iter().map(memory).unzip();
    drop(nets);
    let report = json!({
        "ways": routing::report(),
        "submissions": TASK_COUNTS.map(submissions),
        "memory": memory,
        "idle": [idle(&[0, 1, 2]), idle(&[0, 0, 0, 1, 1, 2, 2])],
    });
    println!("{report:#}");
}

/// Returns a submission of `tasks` tasks.
pub fn spec(tasks: usize) -> Arc<SubmissionSpec> {
    let task = Task { body: vec![5; BODY_BYTES].into(), ..Task::default() };
    Arc::new(SubmissionSpec { entry: "gate-scan".into(), digest: BodyDigest([3; 32]), tasks: vec![task; tasks] })
}

/// Submits a key at the host that owns its range.
fn submit(net: &mut Net, number: usize, spec: &Arc<SubmissionSpec>) -> Tag {
    let key: Key = format!("order-{number:08}").into();
    let owner = net.hosts[0].owner(&key).expect("all ranges are ready").host.0 as usize;
    let tag = Tag(number as u64);
    let spec = Arc::clone(spec);
    net.with_records(owner, |records, now| {
        let submission = Submission { key, spec, deadline: now + micros(60_000_000) };
        records.submit(now, tag, submission, micros(60_000_000));
    });
    tag
}

/// Measures messages, bytes and CPU of submissions on two hosts, including encoding.
fn submissions(tasks: usize) -> Value {
    let mut net = Net::open(&[0, 1], |settings| settings);
    net.answer = Some(BODY_BYTES);
    let count = RUNS / tasks;
    let spec = spec(tasks);
    let start = Instant::now();
    for number in 0..count {
        let tag = submit(&mut net, number, &spec);
        while !net.traffic.replies.contains_key(&tag) {
            net.run(net.now + net::REMOTE_DELAY_US);
        }
    }
    let spent_us = start.elapsed().as_secs_f64() * 1e6;
    assert_eq!(net.traffic.replies.len(), count, "every submission was answered");
    let each = |total: f64| (total / count as f64 * 100.0).round() / 100.0;
    json!({
        "tasks": tasks,
        "messages": each(net.traffic.messages as f64),
        "bytes": each(net.traffic.bytes as f64),
        "bytes_per_task": each(net.traffic.bytes as f64 / tasks as f64),
        "cpu_us": each(spent_us),
        "cpu_us_per_task": each(spent_us / tasks as f64),
    })
}

/// Measures the resident memory of retained records, with the owner and the follower in one process.
fn memory(count: usize) -> (Value, Net) {
    let mut net = Net::open(&[0, 1], |settings| settings);
    net.answer = Some(BODY_BYTES);
    let spec = spec(1);
    let before = resident();
    for number in 0..count {
        submit(&mut net, number, &spec);
        net.traffic.runs.clear();
        net.traffic.replies.clear();
        if number % 64 == 0 {
            net.run(net.now + 100);
        }
    }
    net.run(net.now + 10 * net::REMOTE_DELAY_US);
    net.traffic = net::Traffic::default();
    let held: usize = net.hosts.iter().map(mangogw_cluster::records::Records::record_count).sum();
    let counted: usize = net.hosts.iter().map(mangogw_cluster::records::Records::record_bytes).sum();
    assert_eq!(held, 2 * count, "both hosts hold every record");
    let figures = json!({
        "records": count,
        "resident_bytes_per_record": resident().saturating_sub(before) / held,
        "counted_bytes_per_record": counted / held,
    });
    (figures, net)
}

/// Measures the periodic traffic of hosts without submissions.
fn idle(zones: &[usize]) -> Value {
    let mut net = Net::open(zones, |settings| settings);
    let start = Instant::now();
    net.run(net.now + IDLE_SECONDS * 1_000_000);
    let each = |total: u64| total as f64 / zones.len() as f64 / IDLE_SECONDS as f64;
    json!({
        "hosts": zones.len(),
        "ranges": net.table.ranges().count(),
        "messages_per_host_s": each(net.traffic.messages),
        "bytes_per_host_s": each(net.traffic.bytes),
        "cpu_share_of_a_core": start.elapsed().as_secs_f64() / IDLE_SECONDS as f64 / zones.len() as f64,
        "table_bytes": net.table.snapshot().len(),
    })
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = statm.split_whitespace().nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4096
}
