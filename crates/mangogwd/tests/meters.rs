//! Guards against a metric of a control host that is not rendered, or that the documentation does not explain.

use mangogw_control::HostMetrics;
use mangogw_jobs::{Counts, Evacuations};
use mangogw_model::Zone;
use mangogwd::meters;

#[test]
fn each_metric_of_a_control_host_is_rendered_and_documented() {
    let counts = Counts { starts: 41, refused: 3, ..Counts::default() };
    let mut evacuations = Evacuations::default();
    for (zone, active, seen) in [("a", true, 0), ("b", true, 0), ("b", false, 2)] {
        evacuations.order(&Zone::from(zone), active, seen);
    }
    let view = HostMetrics {
        evacuations,
        seen_evacuations: 3,
        isolated: true,
        targets: 16,
        confirmed: 15,
        counts,
        voters: 4,
        max_voters: 5,
        learners: 2,
        is_voter: true,
        leader_known: true,
        membership_changes: 9,
        failed_elections: 6,
        ..HostMetrics::default()
    };
    let text = meters::render_control_host(&view, &mangogwd::links::Counts::default());
    for line in [
        "mangogw_island 1",
        "mangogw_targets_heard 15",
        "mangogw_starts_total 41",
        "mangogw_jobs_refused_total 3",
        "mangogw_voters 4",
        "mangogw_voters_wanted 5",
        "mangogw_learners 2",
        "mangogw_voter 1",
        "mangogw_leader_known 1",
        "mangogw_membership_changes_total 9",
        "mangogw_elections_failed_total 6",
        "mangogw_evacuations_seen 3",
        "mangogw_zone_evacuated{zone=\"a\"} 1",
        "mangogw_zone_evacuated{zone=\"b\"} 0",
    ] {
        assert!(text.lines().any(|shown| shown == line), "{line} in {text}");
    }
    let page = include_str!("../../../docs/operate/metrics.md");
    for line in text.lines().filter(|line| line.starts_with("mangogw_")) {
        let name = line.split([' ', '{']).next().unwrap_or_default();
        assert!(page.contains(name), "{name} is not in docs/operate/metrics.md");
    }
}
