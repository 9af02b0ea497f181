//! Replays of loads beyond the room of the targets, with queues of three priorities.

#[allow(dead_code, reason = "the driver is shared with the other replays")]
mod driver;
#[path = "driver/shares.rs"]
#[allow(dead_code, reason = "the shares are shared with an example")]
mod shares;

use shares::{BURSTS, SECONDS, Share, burst, kinds};

/// Returns the shares of the kinds in the bursts beyond the room, on 48 targets.
fn bursts() -> Vec<Vec<Share>> {
    BURSTS[1..].iter().map(|(_, factors)| kinds(&burst(48, 0.17, *factors, 1..7), SECONDS)).collect()
}

/// Returns the mean of a share over the bursts and the given kinds.
fn mean(bursts: &[Vec<Share>], kinds: &[usize], part: fn(&Share) -> f64) -> f64 {
    let parts: Vec<f64> = bursts.iter().flat_map(|burst| kinds.iter().map(|kind| part(&burst[*kind]))).collect();
    parts.iter().sum::<f64>() / parts.len() as f64
}

#[test]
fn print() {
    let bursts = bursts();
    for burst in &bursts {
        println!("{burst:?}");
    }
    println!(
        "late {:.3} urgent {:.3} worth {:.3} at once {:.3}",
        mean(&bursts, &[0, 1, 2], |share| share.late),
        mean(&bursts, &[0], |share| share.worth),
        mean(&bursts, &[0, 1, 2], |share| share.worth),
        mean(&bursts, &[0, 1, 2], |share| share.at_once)
    );
}
