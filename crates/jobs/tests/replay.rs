//! Simulations of loads below and above the capacity of the targets.

mod driver;

use driver::{Replay, ReplayResult, Scenario, Tally, Trouble, TroubleKind};

/// Returns a scenario in which a load of 1 just fills the targets.
fn scenario() -> Scenario {
    Scenario {
        targets: 12,
        target_kinds: vec![(16_000, 1.0)],
        job_kinds: vec![(8, 60, 8.6), (4, 900, 1.56), (2, 200, 25.0)],
        cpu: (7000, 7000),
        varied: false,
        troubles: Vec::new(),
    }
}

#[test]
fn all_are_in_time_below_capacity() {
    let share = Replay::new(1, scenario()).run(&[0.6; 20]).total().share();
    assert!(share.timely >= 970, "{share:?}");
}

/// Returns the mean result over six seeds of five seconds at `load` times the capacity.
fn burst(load: f64) -> Tally {
    let shares: Vec<Tally> = (2..8).map(|seed| Replay::new(seed, scenario()).run(&[load; 5]).total().share()).collect();
    let mean = |part: fn(&Tally) -> usize| shares.iter().map(part).sum::<usize>() / shares.len();
    Tally {
        timely: mean(|share| share.timely),
        late: mean(|share| share.late),
        refused: mean(|share| share.refused),
        dropped: mean(|share| share.dropped),
        failed: mean(|share| share.failed),
        held: mean(|share| share.held),
    }
}

/// Guards against jobs that waste capacity by being late: at 1.5 times the capacity two thirds fit, but without early
/// refusals and the estimate margin 636 of 1000 were in time and 318 late.
#[test]
fn a_burst_is_turned_away_early_and_the_rest_is_in_time() {
    let share = burst(1.5);
    assert!(share.timely >= 667 && share.score() >= 745, "{share:?}");
}

/// Guards against the same at twice the capacity: half fits, but without these rules 392 of 1000 were in time and 446
/// late.
#[test]
fn at_twice_the_capacity_half_is_in_time() {
    let share = burst(2.0);
    assert!(share.timely >= 500 && share.score() >= 560, "{share:?}");
}

/// Returns the scenario of a site with targets of three speeds. Long jobs are late on the slowest of them.
fn site(troubles: Vec<Trouble>) -> Scenario {
    Scenario {
        targets: 48,
        target_kinds: vec![(16_000, 1.0 / 0.6), (16_000, 1.0), (24_000, 1.0 / 1.6)],
        job_kinds: vec![(8, 60, 37.8), (4, 900, 6.9), (2, 200, 110.0)],
        cpu: (4800, 8800),
        varied: true,
        troubles,
    }
}

/// Returns the result of two seconds of the usual load, four of 1.3 times as much, and four of the usual load again.
fn burst_at_site(seed: u64, troubles: Vec<Trouble>) -> ReplayResult {
    Replay::new(seed, site(troubles)).run(&[1.0, 1.0, 1.3, 1.3, 1.3, 1.3, 1.0, 1.0, 1.0, 1.0])
}

/// Guards against runs on targets on which their job is late, while faster ones are about to have room: a burst then
/// cost the long jobs a fifth of their worth.
#[test]
fn a_burst_leaves_long_jobs_in_time_on_targets_of_three_speeds() {
    let worths: Vec<(usize, usize)> = (1..4).map(|seed| burst_at_site(seed, Vec::new()).worth()).collect();
    let least = worths.iter().map(|(_, least)| least).sum::<usize>() / worths.len();
    assert!(least >= 900, "{worths:?}");
}

/// Guards against the same for targets that turn slow for some seconds.
#[test]
fn slow_targets_get_no_jobs_that_would_be_late_there() {
    let slow = Trouble { seconds: (2.0, 8.0), targets: (0.3, 0.46), kind: TroubleKind::Slow(6.5) };
    let worths: Vec<(usize, usize)> = (1..4).map(|seed| burst_at_site(seed, vec![slow]).worth()).collect();
    let mean = worths.iter().map(|(mean, _)| mean).sum::<usize>() / worths.len();
    assert!(mean >= 900, "{worths:?}");
}

/// Guards against targets that fail all that they start, and look fast meanwhile.
#[test]
fn failing_targets_cost_a_burst_little() {
    let fail = Trouble { seconds: (2.0, 8.0), targets: (0.3, 0.4), kind: TroubleKind::Fail };
    let worths: Vec<(usize, usize)> = (1..4).map(|seed| burst_at_site(seed, vec![fail]).worth()).collect();
    let mean = worths.iter().map(|(mean, _)| mean).sum::<usize>() / worths.len();
    assert!(mean >= 900, "{worths:?}");
}

/// Guards against jobs that are held and then refused: with a burst of 1.6 times the usual load 137 of 5753 jobs were
/// refused, 131 of them after a quarter of the time that they had.
#[test]
fn a_burst_is_refused_early() {
    let loads = [1.0, 1.0, 1.6, 1.6, 1.6, 1.6, 1.0, 1.0, 1.0, 1.0];
    let totals = (1..4).map(|seed| Replay::new(seed, site(Vec::new())).run(&loads).total());
    let total = totals.fold(Tally::default(), Tally::plus);
    assert!(total.held * 2 <= total.refused, "{total:?}");
}
