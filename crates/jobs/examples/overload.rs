//! Simulates a burst on a board with 350 targets, and prints the results of the jobs and the time spent in the board.
//!
//! `cargo run --release -p mangogw-jobs --example overload -- 1.3` simulates eight seconds of the usual load, four
//! seconds of 1.3 times as much, and twelve seconds of the usual load again, and prints a line for each second.

#[path = "../tests/driver/mod.rs"]
#[allow(dead_code, reason = "the driver is shared with the tests")]
mod driver;

use driver::{Replay, Scenario};

fn main() {
    let times = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1.3);
    let usual = std::env::args().nth(2).and_then(|text| text.parse().ok()).unwrap_or(1.0);
    let scenario = Scenario {
        targets: 350,
        target_kinds: vec![(32_000, 0.7), (32_000, 0.7), (48_000, 1.7)],
        job_kinds: vec![(8, 60, 226.0), (4, 900, 41.0), (2, 200, 660.0)],
        cpu: (11_000, 21_000),
        varied: true,
        troubles: Vec::new(),
    };
    let mut loads = vec![usual; 8];
    loads.extend([usual * times; 4]);
    loads.extend([usual; 12]);
    let result = Replay::new(1, scenario).run(&loads);
    println!("second    jobs  timely    late refused  board ms");
    for (second, tally) in result.seconds.iter().enumerate() {
        let share = tally.share();
        let board_time = result.board_time[second].as_secs_f64() * 1000.0;
        let (timely, late, refused) = (share.timely, share.late, share.refused);
        println!("{second:6} {:7} {timely:7} {late:7} {refused:7} {board_time:9.1}", tally.count());
    }
    let all = result.total().share();
    let board_time: f64 = result.board_time.iter().map(std::time::Duration::as_secs_f64).sum();
    let each = board_time * 1e6 / result.starts as f64;
    println!("all: timely {} late {} refused {}; {each:.1} us a start", all.timely, all.late, all.refused);
}
