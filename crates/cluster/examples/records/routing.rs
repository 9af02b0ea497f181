//! Compares ways to prevent a submission from starting twice, on seven hosts in three zones with fixed delays.

use crate::net::{Net, REMOTE_DELAY_US, ZONE_DELAY_US, micros, zone};
use crate::spec;
use mangogw_cluster::records::{Reply, Submission, Tag};
use mangogw_model::Key;
use serde_json::{Value, json};

/// Zone of each host.
const ZONES: [usize; 7] = [0, 0, 0, 1, 1, 2, 2];
/// Time of a synced write, in microseconds.
const SYNC_US: u64 = 4_000;
/// Keys submitted at every host for one figure.
const KEYS: usize = 40;

/// Returns the added latency and the messages before the first start, on average over all entry hosts.
pub fn report() -> Value {
    let hosts = 0..ZONES.len();
    let mean = |cost: &dyn Fn(usize) -> u64| hosts.clone().map(cost).sum::<u64>() as f64 / ZONES.len() as f64;
    let owners = |cost: &dyn Fn(usize, usize) -> u64| {
        mean(&|at| (0..ZONES.len()).map(|owner| cost(at, owner)).sum::<u64>() / ZONES.len() as u64)
    };
    // Voters on hosts 0, 3 and 5, one in each zone; host 0 leads.
    let quorum = 2 * link(0, 3).min(link(0, 5));
    json!([
        { "way": "receiving host only", "added_us": 0.0, "messages": 0.0 },
        { "way": "synced write at the owner", "added_us": owners(&|at, owner| link(at, owner) + SYNC_US),
          "messages": owners(&|at, owner| u64::from(at != owner) * 100) / 100.0 },
        { "way": "one leader for all keys, in memory", "added_us": mean(&|at| link(at, 0) + quorum),
          "messages": mean(&|at| 4 + u64::from(at != 0)) },
        { "way": "one leader for all keys, synced log", "added_us": mean(&|at| link(at, 0) + quorum + SYNC_US),
          "messages": mean(&|at| 4 + u64::from(at != 0)) },
        { "way": "broadcast to all hosts", "added_us": mean(&|at| hosts.clone().map(|to| 2 * link(at, to)).max().unwrap_or(0)),
          "messages": 2 * (ZONES.len() - 1) },
        measured("owner and follower, hashed key", |_, number| format!("order-{number}").into()),
        measured("owner and follower, key pinned to the caller's zone", |at, number| {
            format!("{}:order-{at}-{number}", zone(ZONES[at])).into()
        }),
        minted(),
        cut_off(),
    ])
}

/// Returns the one-way delay between two hosts, in microseconds.
const fn link(from: usize, to: usize) -> u64 {
    match (from == to, ZONES[from] == ZONES[to]) {
        (true, _) => 0,
        (false, true) => ZONE_DELAY_US,
        (false, false) => REMOTE_DELAY_US,
    }
}

fn submit(net: &mut Net, at: usize, key: &Key, tag: Tag) {
    let key = key.clone();
    net.with_records(at, |records, now| {
        let submission = Submission { key, spec: spec(1), deadline: now + micros(1_000_000) };
        records.submit(now, tag, submission, micros(1_000_000));
    });
}

/// Measures, with real records, the time and messages from a submission until its first task is handed out.
fn measured(way: &str, key: impl Fn(usize, usize) -> Key) -> Value {
    let mut net = Net::open(&ZONES, |settings| settings);
    let (mut spent_us, mut count) = (0, 0);
    let mut messages = 0;
    for number in 0..KEYS {
        for at in 0..ZONES.len() {
            let key = key(at, number * ZONES.len() + at);
            let (start, before) = (net.now, net.traffic.messages);
            submit(&mut net, at, &key, Tag(count));
            while !net.traffic.runs.contains_key(&key) {
                net.run(net.now + 1);
            }
            spent_us += net.now - start;
            messages += net.traffic.messages - before;
            count += 1;
        }
    }
    figure(way, spent_us, messages, count)
}

/// Measures the same for keys that the entry host generates.
fn minted() -> Value {
    let mut net = Net::open(&ZONES, |settings| settings);
    let (mut spent_us, mut messages, mut count) = (0, 0, 0);
    for _ in 0..KEYS {
        for at in 0..ZONES.len() {
            let (start, before) = (net.now, net.traffic.messages);
            let mut key = Key::default();
            net.with_records(at, |records, now| {
                key = records.submit_unkeyed(now, Tag(count), spec(1), now + micros(1_000_000), micros(1_000_000));
            });
            while !net.traffic.runs.contains_key(&key) {
                net.run(net.now + 1);
            }
            spent_us += net.now - start;
            messages += net.traffic.messages - before;
            count += 1;
        }
    }
    figure("owner and follower, minted key", spent_us, messages, count)
}

fn figure(way: &str, spent_us: u64, messages: u64, count: u64) -> Value {
    json!({
        "way": way,
        "added_us": (spent_us as f64 / count as f64).round(),
        "messages": (messages as f64 / count as f64 * 100.0).round() / 100.0,
    })
}

/// Counts the submissions that a cut-off zone of two hosts serves.
fn cut_off() -> Value {
    let mut net = Net::open(&ZONES, |settings| settings);
    net.answer = Some(10);
    net.cut = Some(2);
    net.run(net.now + 5_000_000);
    let mut tags: Vec<(&str, Tag)> = Vec::new();
    for number in 0..KEYS {
        for at in [5, 6] {
            let keys = [("pinned", format!("swift-cur:a-{at}-{number}")), ("hashed", format!("b-{at}-{number}"))];
            for (key_kind, key) in keys {
                let tag = Tag(tags.len() as u64);
                submit(&mut net, at, &key.into(), tag);
                tags.push((key_kind, tag));
            }
            let tag = Tag(tags.len() as u64);
            net.with_records(at, |records, now| {
                records.submit_unkeyed(now, tag, spec(1), now + micros(1_000_000), micros(1_000_000));
            });
            tags.push(("minted", tag));
        }
    }
    net.run(net.now + 10_000_000);
    let served = |key_kind: &str| {
        let matching = tags.iter().filter(|(kind, _)| *kind == key_kind);
        let ended = |tag: &Tag| matches!(net.traffic.replies.get(tag), Some((_, Reply::Ended(_))));
        let (all, done) = matching.fold((0, 0), |(all, done), (_, tag)| (all + 1, done + u64::from(ended(tag))));
        format!("{done} of {all}")
    };
    json!({ "way": "served in a cut-off zone", "pinned": served("pinned"), "minted": served("minted"), "hashed": served("hashed") })
}
