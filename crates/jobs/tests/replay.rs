//! Simulations of loads below and above the capacity of the targets.

mod driver;

use driver::{Replay, Scenario, Tally};

/// Returns a scenario in which a load of 1 just fills the targets.
fn scenario() -> Scenario {
    Scenario {
        targets: 12,
        target_kinds: vec![(16_000, 1.0)],
        job_kinds: vec![(8, 60, 8.6), (4, 900, 1.56), (2, 200, 25.0)],
        cpu: (7000, 7000),
        varied: false,
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
