//! The bounds on response time, waste, goodput and fairness, on fixed seeds.
//!
//! `MANGOGW_SECONDS` makes the measured part of each trace longer.

#[expect(dead_code, reason = "the driver is shared with the example")]
mod driver;

use driver::core::DispatchPolicy;
use driver::trace::{CANDLE_DESK, Deployment, FOLDPLAN, PLAIN_STREAM, Stream, Trace, quantile};
use driver::{Fault, Outcome, run};
use mangogw_model::{Class, Code, Time};
use std::time::Duration;

/// Seconds before anything is measured: speeds and sizes are learned meanwhile.
const WARMUP_SECONDS: u64 = 20;
/// The hedge budget of every entry.
const HEDGE: f64 = 0.003;

fn seconds() -> u64 {
    std::env::var("MANGOGW_SECONDS").ok().and_then(|text| text.parse().ok()).unwrap_or(15)
}

fn wasted(trace: &Trace, out: &Outcome) -> f64 {
    let done = trace.arrivals.len() - out.ends.iter().filter(|end| !matches!(end, Some((_, true)))).count();
    out.wasted as f64 / done as f64
}

/// Slowdown over that of a central queue that knows all, at p50 and p99, and wasted messages for each answer.
fn near_ideal(deployment: Deployment, load: f64, seed: u64, seconds: u64) -> (f64, f64, f64) {
    let trace = Trace::open(seed, deployment, &[Stream { load, ..PLAIN_STREAM }], WARMUP_SECONDS, seconds);
    let out = run(&trace, &mut DispatchPolicy::open(&trace, HEDGE));
    let (ours, ideal) = (trace.slowdowns(&out), trace.slowdowns(&trace.omniscient()));
    assert_eq!(ours.len(), trace.measured().count(), "each task is answered");
    assert!(out.most.iter().all(|&most| most <= deployment.slots), "slots are over-committed");
    let over = |q| quantile(&ours, q) / quantile(&ideal, q);
    (over(0.5), over(0.99), wasted(&trace, &out))
}

#[test]
fn at_70_percent_it_is_near_the_ideal() {
    for (deployment, seed) in [(CANDLE_DESK, 1), (FOLDPLAN, 2), (CANDLE_DESK, 3)] {
        let (p50, p99, waste) = near_ideal(deployment, 0.7, seed, seconds());
        println!("{} seed {seed}: p50 {p50:.3} p99 {p99:.3} waste {waste:.4}", deployment.name);
        assert!(p50 <= 1.02, "{} seed {seed}: p50 {p50}", deployment.name);
        assert!(p99 <= 1.15, "{} seed {seed}: p99 {p99}", deployment.name);
        assert!(waste <= 0.01, "{} seed {seed}: {waste} messages wasted", deployment.name);
    }
}

/// A trace on which a slow target takes part too soon.
#[test]
fn at_70_percent_it_is_near_the_ideal_on_seed_11() {
    let (p50, p99, waste) = near_ideal(FOLDPLAN, 0.7, 11, 60);
    println!("foldplan seed 11: p50 {p50:.3} p99 {p99:.3} waste {waste:.4}");
    assert!(p50 <= 1.02 && waste <= 0.01, "p50 {p50}, {waste} messages wasted");
    assert!(p99 <= 1.15, "p99 {p99}");
}

#[test]
fn at_90_percent_it_is_not_far_from_the_ideal() {
    for (deployment, seed) in [(CANDLE_DESK, 4), (FOLDPLAN, 5)] {
        let (_, p99, waste) = near_ideal(deployment, 0.9, seed, seconds());
        println!("{} seed {seed}: p99 {p99:.3} waste {waste:.4}", deployment.name);
        assert!(p99 <= 1.5, "{} seed {seed}: p99 {p99}", deployment.name);
        assert!(waste <= 0.01, "{} seed {seed}: {waste} messages wasted", deployment.name);
    }
}

const URGENT: Stream =
    Stream { owner: "gate", class: Class::Urgent, weight: 1, load: 0.25, long: 0, deadline: Duration::from_secs(4) };

const FAILING: [usize; 3] = [3, 20, 41];

#[test]
fn faults_cost_little() {
    for (deployment, seed) in [(CANDLE_DESK, 6), (FOLDPLAN, 7)] {
        let streams =
            [URGENT, Stream { load: 0.3, ..PLAIN_STREAM }, Stream { class: Class::Batch, load: 0.15, ..PLAIN_STREAM }];
        let at = Time::from_millis(WARMUP_SECONDS * 1_000);
        let mut faults: Vec<_> = FAILING.iter().map(|&target| (target, Fault::Fails)).collect();
        faults.extend([(11, Fault::Slow(10.0)), (30, Fault::Slow(10.0)), (45, Fault::Silent)]);
        let trace = Trace::open(seed, deployment, &streams, WARMUP_SECONDS, seconds()).with_faults(at, &faults);
        let mut ours = DispatchPolicy::open(&trace, HEDGE);
        let out = run(&trace, &mut ours);
        let waste = wasted(&trace, &out);
        assert!(waste <= 0.05, "{} seed {seed}: {waste} messages wasted", deployment.name);
        let urgent: Vec<_> = trace.measured().filter(|&task| trace.arrivals[task as usize].stream == 0).collect();
        let late = urgent.iter().filter(|&&task| !matches!(out.ends[task as usize], Some((_, true)))).count();
        println!("{} seed {seed}: waste {waste:.4}, urgent late {late} of {}", deployment.name, urgent.len());
        assert!(late * 1000 <= urgent.len(), "{late} of {} urgent requests not answered in time", urgent.len());
        for target in FAILING {
            let times = &out.bad_times[target];
            assert!(times.len() >= 5, "the fault was not met: {times:?}");
            // From the fifth on, each is a probe, and waits for the one before and the pause after it.
            let apart = times[4..].windows(2).all(|pair| pair[1] - pair[0] >= Duration::from_secs(1));
            assert!(apart, "more than 5 tasks before the ejection of target {target}, or probes overlap: {times:?}");
        }
    }
}

#[test]
fn overload_costs_no_goodput_and_no_urgent_request() {
    let streams = [
        URGENT,
        Stream { owner: "red", load: 0.6, weight: 1, deadline: Duration::from_secs(10), ..PLAIN_STREAM },
        Stream { owner: "blue", load: 0.65, weight: 2, deadline: Duration::from_secs(10), ..PLAIN_STREAM },
    ];
    let trace = Trace::open(8, CANDLE_DESK, &streams, WARMUP_SECONDS, seconds());
    let mut ours = DispatchPolicy::open(&trace, HEDGE);
    let out = run(&trace, &mut ours);
    let mut done = [0.0; 3];
    for (task, end) in out.ends.iter().enumerate() {
        let arrival = &trace.arrivals[task];
        match end {
            Some((at, true)) if *at > trace.warm && *at <= trace.last => done[arrival.stream] += arrival.size,
            _ => {}
        }
    }
    let whole = (trace.last - trace.warm).as_micros() as f64 * trace.capacity();
    let goodput = done.iter().sum::<f64>() / whole;
    let share = done[2] / (done[1] + done[2]);
    let late = ours
        .refused
        .iter()
        .filter(|(task, refusal)| trace.arrivals[*task as usize].stream == 0 && refusal.code == Code::DeadlinePassed);
    let late = late.count();
    println!("goodput {goodput:.3}, share of blue {share:.3}, urgent late {late}, waste {:.4}", wasted(&trace, &out));
    assert!(goodput >= 0.97, "goodput {goodput}");
    assert!((share - 2.0 / 3.0).abs() <= 0.03 * 2.0 / 3.0, "blue got {share} of what red and blue got");
    assert_eq!(late, 0, "urgent requests were accepted and late");
}
