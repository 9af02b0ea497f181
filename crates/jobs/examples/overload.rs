//! What a burst costs the board of 350 targets, and what becomes of the jobs.
//!
//! `cargo run --release -p mangogw-jobs --example overload -- 1.3` plays eight seconds of the usual load, four at so many
//! times as much, and twelve of the usual one again; a line for each second.

#[path = "../tests/driver/mod.rs"]
#[allow(dead_code, reason = "the driver is shared with the tests")]
mod driver;

use driver::{Replay, Scene};

fn main() {
    let times = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1.3);
    let usual = std::env::args().nth(2).and_then(|text| text.parse().ok()).unwrap_or(1.0);
    let scene = Scene {
        targets: 350,
        makes: vec![(32_000, 0.7), (32_000, 0.7), (48_000, 1.7)],
        kinds: vec![(8, 60, 226.0), (4, 900, 41.0), (2, 200, 660.0)],
        cpu: (11_000, 21_000),
        varied: true,
    };
    let mut loads = vec![usual; 8];
    loads.extend([usual * times; 4]);
    loads.extend([usual; 12]);
    let played = Replay::new(1, scene).play(&loads);
    println!("second    jobs  timely    late refused  board ms");
    for (second, tally) in played.seconds.iter().enumerate() {
        let share = tally.share();
        let spent = played.spent[second].as_secs_f64() * 1000.0;
        let (timely, late, refused) = (share.timely, share.late, share.refused);
        println!("{second:6} {:7} {timely:7} {late:7} {refused:7} {spent:9.1}", tally.count());
    }
    let all = played.all().share();
    let spent: f64 = played.spent.iter().map(std::time::Duration::as_secs_f64).sum();
    let each = spent * 1e6 / played.starts as f64;
    println!("all: timely {} late {} refused {}; {each:.1} us a start", all.timely, all.late, all.refused);
}
