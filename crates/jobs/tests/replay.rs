//! Replays of load at its worst.

mod driver;

use driver::{Replay, Scene, Tally};

/// Tasks, milliseconds of work, and jobs a second where the targets are just full, by kind.
fn scene() -> Scene {
    Scene {
        targets: 12,
        makes: vec![(16_000, 1.0)],
        kinds: vec![(8, 60, 8.6), (4, 900, 1.56), (2, 200, 25.0)],
        cpu: (7000, 7000),
        varied: false,
    }
}

#[test]
fn all_are_in_time_while_there_is_room() {
    let share = Replay::new(1, scene()).play(&[0.6; 20]).all().share();
    assert!(share.timely >= 970, "{share:?}");
}

/// The mean over six seeds of five seconds at `load` times as much as there is room for.
fn burst(load: f64) -> Tally {
    let shares: Vec<Tally> = (2..8).map(|seed| Replay::new(seed, scene()).play(&[load; 5]).all().share()).collect();
    let mean = |part: fn(&Tally) -> usize| shares.iter().map(part).sum::<usize>() / shares.len();
    Tally {
        timely: mean(|share| share.timely),
        late: mean(|share| share.late),
        refused: mean(|share| share.refused),
        lost: mean(|share| share.lost),
    }
}

/// What fits at half as much again is two thirds; without early refusals and margin it was 636 in time and 318 late.
#[test]
fn a_burst_is_turned_away_early_and_the_rest_is_in_time() {
    let share = burst(1.5);
    assert!(share.timely >= 667 && share.worth() >= 745, "{share:?}");
}

/// What fits at twice as much is half; it was 392 in time and 446 late.
#[test]
fn at_twice_the_room_half_is_in_time() {
    let share = burst(2.0);
    assert!(share.timely >= 500 && share.worth() >= 560, "{share:?}");
}
