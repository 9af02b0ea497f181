//! Guards against tables in `docs/CAPACITY.md` that do not follow from the measured slopes in `bench/data`.
//!
//! `MANGOGW_WRITE_CAPACITY=1` rewrites the tables.

use serde_json::Value;
use std::fmt::Write;
use std::path::{Path, PathBuf};

const BEGIN_MARKER: &str = "<!-- worked out by crates/mangogw/tests/capacity.rs -->\n";
const END_MARKER: &str = "<!-- end -->\n";

/// Planned size of the system, from the users' first letter.
const WORKER_COUNT: f64 = 22_000.0;
const ZONE_COUNT: f64 = 19.0;
const STARTS_PER_S: f64 = 1_200_000.0;
const TASKS_PER_JOB: f64 = 660.0;
const CHANGES_A_DAY: f64 = 40_000.0;
const CONTROL_HOST_COUNT: f64 = 36.0;
const TEAM_COUNT: f64 = 450.0;
/// Limits for one node.
const MAX_CORE_PERCENT: f64 = 1.1;
const MAX_BYTES_PER_S: f64 = 11_000.0;
const MAX_MEMORY_BYTES: f64 = 32e6;
/// Entry hosts of a zone; an assumption.
const HOSTS_A_ZONE: f64 = 11.0;
const SECONDS_A_DAY: f64 = 86_400.0;
/// Bytes and CPU time of one change on one host, from `docs/design/control.md`.
const CHANGE_BYTES: f64 = 206.0;
const CHANGE_MICROS: f64 = 1.5;
/// Bytes and CPU time of sending one change to one host outside of the group, from `docs/design/catalogue.md`.
const DELTA_BYTES: f64 = 110.0;
const DELTA_MICROS: f64 = 7.1;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn data(name: &str) -> Value {
    let text = std::fs::read_to_string(root().join("bench/data").join(name)).unwrap();
    serde_json::from_str(&text).unwrap()
}

fn points(rows: &Value, x: &str, y: &str) -> Vec<(f64, f64)> {
    rows.as_array().unwrap().iter().map(|row| (row[x].as_f64().unwrap(), row[y].as_f64().unwrap())).collect()
}

/// Returns offset and slope of the least-squares line, and the largest residual divided by the largest value.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let (sx, sy) = points.iter().fold((0.0, 0.0), |(sx, sy), (x, y)| (sx + x, sy + y));
    let (mx, my) = (sx / count, sy / count);
    let numerator: f64 = points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    let denominator: f64 = points.iter().map(|(x, _)| (x - mx).powi(2)).sum();
    let slope = numerator / denominator;
    let base = my - slope * mx;
    let largest = points.iter().map(|(_, y)| *y).fold(0.0, f64::max);
    let residual = points.iter().map(|(x, y)| (y - base - slope * x).abs()).fold(0.0, f64::max);
    (base, slope, residual / largest)
}

struct Row {
    role: &'static str,
    mechanism: &'static str,
    bytes: f64,
    core: f64,
    memory_bytes: f64,
}

fn rows() -> (Vec<Row>, String) {
    let (cluster, records) = (data("cluster.json"), data("records.json"));
    let hosts = HOSTS_A_ZONE * ZONE_COUNT;
    let members = &cluster["members"];
    let member_bytes = fit(&points(members, "hosts", "bytes_per_s_mean"));
    let member_core = fit(&points(members, "hosts", "core_percent_mean"));
    let member_memory = points(members, "hosts", "resident_bytes_per_member").last().unwrap().1;
    let targets = WORKER_COUNT / hosts;
    let grants: Vec<Value> =
        cluster["grants"].as_array().unwrap().iter().filter(|row| row["hosts"] == 3).cloned().collect();
    let grant_bytes = fit(&points(&Value::from(grants.clone()), "targets", "bytes_per_s_mean"));
    let grant_core = fit(&points(&Value::from(grants), "targets", "core_percent_mean"));
    let shares = &cluster["shares"];
    let share_bytes = fit(&points(shares, "hosts", "bytes_per_s_mean"));
    let share_core = fit(&points(shares, "hosts", "core_percent_mean"));
    let submissions = &records["submissions"];
    let submission_bytes = fit(&points(submissions, "tasks", "bytes"));
    let submission_micros = fit(&points(submissions, "tasks", "cpu_us"));
    let jobs = STARTS_PER_S / TASKS_PER_JOB / hosts;
    let record_memory = points(&records["memory"], "records", "resident_bytes_per_record").last().unwrap().1;
    let changes = CHANGES_A_DAY / SECONDS_A_DAY;
    let route = cluster["route"].as_array().unwrap().iter().map(|row| row["bytes_per_s_mean"].as_f64().unwrap());
    let route = route.fold(0.0, f64::max);
    let mut rows = vec![
        Row {
            role: "every host: membership",
            mechanism: "probes inside the zone, two relays a zone, digests",
            bytes: member_bytes.0 + member_bytes.1 * hosts,
            core: member_core.0 + member_core.1 * hosts,
            memory_bytes: member_memory * hosts,
        },
        Row {
            role: "slot owner: heartbeats and grants",
            mechanism: "the target is its own register; only its zone hears of it",
            bytes: grant_bytes.0 + grant_bytes.1 * targets * 3.0,
            core: grant_core.0 + grant_core.1 * targets * 3.0,
            memory_bytes: 950.0 * targets,
        },
        Row {
            role: "entry host: loads for routing",
            mechanism: "a budget of bytes, other zones only when asked",
            bytes: route,
            core: 0.08,
            memory_bytes: 1e6,
        },
        Row {
            role: "entry host: shares of 450 teams",
            mechanism: "leased parts, a fixed floor, rarer reports while nothing changes",
            bytes: share_bytes.0 + share_bytes.1 * hosts,
            core: share_core.0 + share_core.1 * hosts,
            memory_bytes: 530.0 * TEAM_COUNT,
        },
        Row {
            role: "control voter: changes",
            mechanism: "replicated log, batched",
            bytes: changes * CHANGE_BYTES * CONTROL_HOST_COUNT,
            core: changes * CHANGE_MICROS * CONTROL_HOST_COUNT / 1e4,
            memory_bytes: 41.3e6,
        },
        Row {
            role: "zone relay: changes to the hosts of its zone",
            mechanism: "version-chained deltas, digests",
            bytes: changes * DELTA_BYTES * HOSTS_A_ZONE,
            core: changes * DELTA_MICROS * HOSTS_A_ZONE / 1e4,
            memory_bytes: 0.0,
        },
        Row {
            role: "submission owner: jobs of 660 at the peak",
            mechanism: "one record a submission at owner and follower, batched",
            bytes: jobs * (submission_bytes.0 + submission_bytes.1 * TASKS_PER_JOB),
            core: jobs * (submission_micros.0 + submission_micros.1 * TASKS_PER_JOB) / 1e4,
            memory_bytes: jobs * 120.0 * (record_memory + submission_bytes.1 * TASKS_PER_JOB),
        },
    ];
    let sum = |part: fn(&Row) -> f64| rows[..4].iter().map(part).sum();
    let (bytes, core, memory_bytes) = (sum(|row| row.bytes), sum(|row| row.core), sum(|row| row.memory_bytes));
    let mechanism = "the four rows above together";
    rows.insert(4, Row { role: "**every entry host, in all**", mechanism, bytes, core, memory_bytes });
    let mut fits = String::new();
    let named = [
        ("membership bytes/s by hosts", member_bytes),
        ("membership core % by hosts", member_core),
        ("grants bytes/s by targets of 3 hosts", grant_bytes),
        ("grants core % by targets of 3 hosts", grant_core),
        ("shares bytes/s by hosts, 450 teams", share_bytes),
        ("submission bytes by tasks", submission_bytes),
        ("submission µs by tasks", submission_micros),
    ];
    for (name, (base, slope, residual)) in named {
        writeln!(fits, "| {name} | {base:.3} | {slope:.4} | {:.0} % |", residual * 100.0).unwrap();
    }
    (rows, fits)
}

fn tables() -> String {
    let (rows, fits) = rows();
    let mut text = String::from(
        "\n| role | bytes/s | of 11 KB/s | core % | of 1.1 % | memory MB | of 32 MB | mechanism |\n|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let parts = (row.bytes / MAX_BYTES_PER_S, row.core / MAX_CORE_PERCENT, row.memory_bytes / MAX_MEMORY_BYTES);
        writeln!(
            text,
            "| {} | {:.0} | {:.0} % | {:.3} | {:.0} % | {:.1} | {:.0} % | {} |",
            row.role,
            row.bytes,
            parts.0 * 100.0,
            row.core,
            parts.1 * 100.0,
            row.memory_bytes / 1e6,
            parts.2 * 100.0,
            row.mechanism
        )
        .unwrap();
    }
    text.push_str("\n| fit | at 0 | slope | largest residual of the largest value |\n|---|---|---|---|\n");
    text.push_str(&fits);
    text.push('\n');
    text
}

#[test]
fn capacity_tables_match_measured_slopes() {
    let path = root().join("docs/CAPACITY.md");
    let page = std::fs::read_to_string(&path).unwrap();
    let (head, rest) = page.split_once(BEGIN_MARKER).expect("docs/CAPACITY.md contains the begin marker of the tables");
    let (found, tail) = rest.split_once(END_MARKER).expect("docs/CAPACITY.md contains the end marker of the tables");
    if std::env::var_os("MANGOGW_WRITE_CAPACITY").is_some() {
        std::fs::write(&path, format!("{head}{BEGIN_MARKER}{}{END_MARKER}{tail}", tables())).unwrap();
        return;
    }
    assert_eq!(found, tables(), "run with MANGOGW_WRITE_CAPACITY=1");
}
