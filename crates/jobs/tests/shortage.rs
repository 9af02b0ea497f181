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

/// Guards against answers that are late because each job used up its spare time behind others: without the decision
/// nearly a tenth was late in these bursts. The project's aim is a twentieth.
#[test]
fn bursts_leave_few_answers_late() {
    let late = mean(&bursts(), &[0, 1, 2], |share| share.late);
    assert!(late <= 0.05, "{late:.3}");
}

/// Guards against priorities that are not read, and against one that is given nothing.
#[test]
fn bursts_cost_callers_by_priority() {
    let bursts = bursts();
    let [first, last, second] = [0, 1, 2].map(|kind| mean(&bursts, &[kind], |share| 1.0 - share.refused));
    assert!(first > second && second > last && last >= 0.5 * first, "{first:.3} {second:.3} {last:.3}");
}

/// Guards against large jobs that are turned away because they need much: each size is served half as often as its kind.
#[test]
fn bursts_starve_no_size() {
    for share in bursts().iter().flatten() {
        assert!(share.large >= 0.5 && share.next >= 0.5, "{share:?}");
    }
}

/// Guards against refusals while there is room for all.
#[test]
fn the_usual_load_of_a_large_site_is_not_refused() {
    let kinds = kinds(&burst(350, 0.8, [1.0; 3], 1..2), SECONDS);
    assert!(kinds.iter().all(|share| share.refused == 0.0), "{kinds:?}");
}
