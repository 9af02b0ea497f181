//! Guards against a metric of a control host that is not rendered, or that the documentation does not explain.

use mangogw_control::HostMetrics;
use mangogw_jobs::Counts;
use mangogwd::meters;

#[test]
fn each_metric_of_a_control_host_is_rendered_and_documented() {
    let counts = Counts { starts: 41, refused: 3, ..Counts::default() };
    let view = HostMetrics { isolated: true, targets: 16, confirmed: 15, counts, ..HostMetrics::default() };
    let text = meters::render_control_host(&view, &mangogwd::links::Counts::default());
    for line in
        ["mangogw_island 1", "mangogw_targets_heard 15", "mangogw_starts_total 41", "mangogw_jobs_refused_total 3"]
    {
        assert!(text.lines().any(|shown| shown == line), "{line} in {text}");
    }
    let page = include_str!("../../../docs/operate/metrics.md");
    for line in text.lines().filter(|line| line.starts_with("mangogw_")) {
        let name = line.split([' ', '{']).next().unwrap_or_default();
        assert!(page.contains(name), "{name} is not in docs/operate/metrics.md");
    }
}
