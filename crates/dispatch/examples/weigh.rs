//! Compares the dispatch core and the baseline policies with an omniscient central queue on simulated traces.
//!
//! `cargo run --release -p mangogw-dispatch --example weigh -- [SEED] [SECONDS] [BASELINES]`; BASELINES 0 leaves the
//! baseline policies out.

#[expect(dead_code, reason = "the driver is shared with tests")]
#[path = "../tests/driver/mod.rs"]
mod driver;

use driver::baselines::{Baseline, BaselinePolicy};
use driver::core::DispatchPolicy;
use driver::trace::{CANDLE_DESK, FOLDPLAN, PLAIN_STREAM, Stream, Trace, quantile};
use driver::{Fault, Outcome, run};
use mangogw_model::Time;

/// Seconds before the measured part of each trace.
const WARMUP_SECONDS: u64 = 20;

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|text| text.parse::<u64>().ok());
    let (seed, seconds) = (args.next().unwrap_or(1), args.next().unwrap_or(60));
    for deployment in [CANDLE_DESK, FOLDPLAN] {
        for load in [0.7, 0.9] {
            let trace = Trace::open(seed, deployment, &[Stream { load, ..PLAIN_STREAM }], WARMUP_SECONDS, seconds);
            compare(&trace, &format!("{} at {load}", deployment.name), 0.003);
        }
        let trace = Trace::open(seed, deployment, &[PLAIN_STREAM], WARMUP_SECONDS, seconds);
        let at = Time::from_millis(WARMUP_SECONDS * 1_000);
        let faults = [
            (3, Fault::Fails),
            (20, Fault::Fails),
            (41, Fault::Fails),
            (11, Fault::Slow(10.0)),
            (30, Fault::Slow(10.0)),
            (45, Fault::Silent),
        ];
        compare(&trace.with_faults(at, &faults), &format!("{} at 0.7 with faults", deployment.name), 0.003);
    }
}

/// Prints one row for each policy on a trace, then the counters and refusals of the dispatch core.
fn compare(trace: &Trace, title: &str, hedge: f64) {
    println!("\n{title}: seed {}, {} tasks", trace.seed, trace.measured().count());
    println!(
        "{:34} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8} {:>9}",
        "way", "p50", "p99", "p99.9", "p50/o", "p99/o", "lost", "wasted"
    );
    let ideal = trace.slowdowns(&trace.omniscient());
    print_row(trace, "omniscient central queue", &trace.omniscient(), &ideal);
    let baselines = std::env::args().nth(3).is_none_or(|text| text != "0");
    for baseline in Baseline::ALL.into_iter().filter(|_| baselines) {
        let out = run(trace, &mut BaselinePolicy::open(baseline, trace));
        print_row(trace, baseline.name(), &out, &ideal);
    }
    let mut policy = DispatchPolicy::open(trace, hedge);
    let out = run(trace, &mut policy);
    print_row(trace, "granted slots, late binding", &out, &ideal);
    println!("{:?}", policy.core.waste());
    let mut codes = std::collections::BTreeMap::new();
    for (_, refusal) in &policy.refused {
        *codes.entry(refusal.code).or_insert(0) += 1;
    }
    println!("without an answer: {codes:?}");
}

fn print_row(trace: &Trace, name: &str, out: &Outcome, ideal: &[f64]) {
    let list = trace.slowdowns(out);
    let at = |q| quantile(&list, q);
    let ratio = |q| quantile(&list, q) / quantile(ideal, q);
    let missing = trace.measured().count() - list.len();
    let waste = out.wasted_messages as f64 / list.len().max(1) as f64;
    println!(
        "{name:34} {:8.2} {:8.2} {:8.2} {:7.3} {:7.3} {missing:8} {waste:9.4}",
        at(0.5),
        at(0.99),
        at(0.999),
        ratio(0.5),
        ratio(0.99)
    );
}
