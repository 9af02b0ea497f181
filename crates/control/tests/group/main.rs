//! Whole control groups with entry hosts, workers and clients, against an oracle that sits in workers and clients.

mod fake_target;
mod oracle;
mod simulation;

use simulation::{CONTROL_HOSTS, Faults, Simulation};
use std::time::Duration;

/// Every kind of fault at once, one of each at a time.
const ALL_FAULTS: Faults = Faults {
    loss: 0.01,
    late: 0.03,
    fail: 0.01,
    hang: 0.005,
    kills: true,
    power_loss: true,
    wipes: true,
    freezes: true,
    cuts: true,
    crashes: true,
    drains: false,
    zones: false,
};

/// `FUZZ_TRACE=TEXT` prints every log line that holds the text.
struct Trace(String);

impl log::Log for Trace {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        struct Pairs(String);
        impl<'kvs> log::kv::VisitSource<'kvs> for Pairs {
            fn visit_pair(
                &mut self,
                key: log::kv::Key<'kvs>,
                value: log::kv::Value<'kvs>,
            ) -> Result<(), log::kv::Error> {
                use std::fmt::Write as _;
                write!(self.0, " {key}={value}").map_err(log::kv::Error::boxed)
            }
        }
        let mut pairs = Pairs(record.args().to_string());
        record.key_values().visit(&mut pairs).expect("pairs are text");
        if pairs.0.contains(&self.0) || pairs.0.contains("leading") {
            println!("  {}", pairs.0);
        }
    }

    fn flush(&self) {}
}

fn trace() {
    if let Ok(text) = std::env::var("FUZZ_TRACE") {
        log::set_max_level(log::LevelFilter::Trace);
        // The second test of a process finds the logger set.
        drop(log::set_boxed_logger(Box::new(Trace(text))));
    }
}

fn simulate(seed: u64, faults: Faults, direct: usize, stored: f64) -> Simulation {
    trace();
    let mut sim = Simulation::new(seed, faults, 8, direct, stored);
    sim.run(Duration::from_secs(20));
    sim
}

fn check(seed: u64, faults: Faults, direct: usize, stored: f64) {
    let sim = simulate(seed, faults, direct, stored);
    assert!(sim.oracle.violations.is_empty(), "seed {seed}: {:#?}", sim.oracle.violations);
    assert!(sim.oracle.starts > 100, "seed {seed}: only {} starts; {:?}", sim.oracle.starts, sim.ended);
}

/// `FUZZ_SEEDS=1000..1200` widens the seeds by hand.
fn seeds(first: u64, count: u64) -> std::ops::Range<u64> {
    let given = std::env::var("FUZZ_SEEDS").ok();
    let range = given.as_deref().and_then(|text| text.split_once(".."));
    match range.map(|(from, to)| (from.parse(), to.parse())) {
        Some((Ok(from), Ok(to))) => from..to,
        _ => first..first + count,
    }
}

#[test]
fn a_calm_group_serves_every_job() {
    trace();
    let mut sim = Simulation::new(1, Faults::default(), 8, 100, 0.5);
    sim.job_timeout = Duration::from_secs(8);
    sim.run(Duration::from_secs(20));
    assert!(sim.oracle.violations.is_empty(), "{:#?}", sim.oracle.violations);
    assert_eq!(sim.ended.get("unclear"), None);
    assert!(sim.ended["ended"] > 40 && sim.ended["accepted"] > 40, "{:?}", sim.ended);
}

#[test]
fn no_rule_is_broken_by_jobs_that_are_not_stored() {
    seeds(10, 6).for_each(|seed| check(seed, ALL_FAULTS, 100, 0.0));
}

#[test]
fn no_rule_is_broken_by_stored_jobs() {
    seeds(30, 6).for_each(|seed| check(seed, ALL_FAULTS, 100, 1.0));
}

#[test]
fn no_rule_is_broken_where_other_hosts_carry_the_orders() {
    seeds(50, 6).for_each(|seed| check(seed, ALL_FAULTS, 0, 0.5));
}

#[test]
fn no_rule_is_broken_while_workers_drain_and_fail() {
    let faults = Faults { fail: 0.2, drains: true, kills: true, ..Faults::default() };
    seeds(70, 4).for_each(|seed| check(seed, faults, 100, 0.5));
}

#[test]
fn a_zone_that_is_cut_off_serves_on_its_own() {
    trace();
    let mut sim = Simulation::new(7, Faults::default(), 36, 100, 0.0);
    sim.entry = Some(CONTROL_HOSTS + 1);
    sim.run_for(Duration::from_secs(6));
    sim.set_isolated(Some(1));
    // Two seconds of silence, and the rest of an election timeout.
    sim.run_for(Duration::from_secs(3));
    let (ended, sent) = served(&mut sim, 4);
    assert!(ended * 10 >= sent * 9, "cut off: {ended} of {sent}");
    sim.set_isolated(None);
    sim.run_for(Duration::from_secs(1));
    let (ended, sent) = served(&mut sim, 4);
    assert!(ended * 10 >= sent * 9, "joined again: {ended} of {sent}");
    sim.run(Duration::from_secs(1));
    assert!(sim.oracle.violations.is_empty(), "{:#?}", sim.oracle.violations);
}

/// Clients send again after 1.3 s, and may meet a leader that does not know of the first run.
#[test]
fn what_runs_for_a_host_that_died_is_over_within_a_second() {
    trace();
    let mut sim = Simulation::new(3, Faults::default(), 36, 100, 0.0);
    sim.entry = Some(CONTROL_HOSTS);
    sim.run_for(Duration::from_secs(6));
    while sim.oracle.running() < 4 {
        sim.run_for(Duration::from_millis(10));
    }
    sim.kill(CONTROL_HOSTS, true, 5000);
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.oracle.running(), 0);
}

/// Jobs that end, and jobs that are sent, within some seconds.
fn served(sim: &mut Simulation, seconds: u64) -> (u64, u64) {
    let before = (sim.ended["ended"], sim.jobs.len() as u64);
    sim.run_for(Duration::from_secs(seconds));
    (sim.ended["ended"] - before.0, sim.jobs.len() as u64 - before.1)
}

#[test]
fn no_rule_is_broken_while_zones_are_cut_off() {
    let calm = Faults { zones: true, ..Faults::default() };
    seeds(110, 4).for_each(|seed| check(seed, calm, 100, 0.0));
    seeds(120, 6).for_each(|seed| check(seed, Faults { zones: true, ..ALL_FAULTS }, 100, 0.3));
    seeds(130, 4).for_each(|seed| check(seed, Faults { zones: true, ..ALL_FAULTS }, 0, 0.5));
}

/// The fault soak: two minutes of every fault, cut zones among them, with stored jobs and others, and couriers. `SOAK_S=1800` makes it longer.
#[test]
fn a_long_soak_of_all_faults_breaks_no_rule() {
    trace();
    let seconds = std::env::var("SOAK_S").ok().and_then(|text| text.parse().ok()).unwrap_or(120);
    let mut sim = Simulation::new(90, Faults { zones: true, ..ALL_FAULTS }, 8, 4, 0.5);
    sim.run(Duration::from_secs(seconds));
    assert!(sim.oracle.violations.is_empty(), "{:#?}", sim.oracle.violations);
    assert!(sim.oracle.starts > seconds * 5, "{} starts; {:?}", sim.oracle.starts, sim.ended);
    println!("soak of {seconds} s: {} starts, {:?}", sim.oracle.starts, sim.ended);
}
