//! Prints what callers get in bursts beyond the room of the targets, by kind, against a scheduler that knows the future.
//!
//! `cargo run --release -p mangogw-jobs --example shortage -- 12` plays twelve seeds of each burst.

#[path = "../tests/driver/mod.rs"]
#[allow(dead_code, reason = "the driver is shared with the tests")]
mod driver;
#[path = "../tests/driver/shares.rs"]
mod shares;

use shares::{BURSTS, CORES_PER_TARGET, SECONDS, Share, burst, kinds, upper_bound};

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(12);
    println!(
        "targets burst      worth bound | worth timely late refused largest next at-once of the wide, long, short kind"
    );
    for (targets, per) in [(35, 0.12), (48, 0.17), (350, 1.2)] {
        for (name, factors) in BURSTS {
            let result = burst(targets, per, factors, 1..1 + seeds * 35 / targets as u64 + 1);
            let one = burst(targets, per, factors, 1..2);
            let bound = upper_bound(&one.records, targets as f64 * CORES_PER_TARGET, SECONDS);
            let kinds = kinds(&result, SECONDS);
            let mean = kinds.iter().map(|kind| kind.worth).sum::<f64>() / 3.0;
            print!("{targets:7} {name:10} {mean:.3} {bound:.3}");
            for Share { worth, timely, late, refused, large, next, at_once } in kinds {
                print!(" | {worth:.3} {timely:.2} {late:.2} {refused:.2} {large:.2} {next:.2} {at_once:.2}");
            }
            println!();
        }
    }
}
