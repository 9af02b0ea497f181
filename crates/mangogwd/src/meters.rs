//! Metrics in Prometheus' text format; `docs/operate/metrics.md` explains each of them.

use crate::budget::{Callers, View};
use crate::links::Counts;
use crate::node::Node;
use mangogw_control::HostMetrics;
use metrics::{counter, gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;
use std::sync::atomic::Ordering;

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Returns the recorder of this process, which the first call installs; `None` if the program has set another one.
fn handle() -> Option<&'static PrometheusHandle> {
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // A recorder set by a program that embeds the daemon stays.
        metrics::set_global_recorder(recorder).ok().map(|()| handle)
    };
    HANDLE.get_or_init(install).as_ref()
}

/// Counts a response under its result code.
pub fn count_response(code: u16) {
    if handle().is_some() {
        counter!("mangogw_responses_total", "code" => code.to_string()).increment(1);
    }
}

/// Returns all metrics of this process after updating those of `node`; empty if the program has set another recorder.
pub fn render(node: &Node) -> String {
    let Some(handle) = handle() else { return String::new() };
    update(node);
    handle.render()
}

/// Returns all metrics of this process after updating those of a control host; empty if the program has set another
/// recorder.
pub fn render_control_host(view: &HostMetrics, links: &Counts) -> String {
    let Some(handle) = handle() else { return String::new() };
    let gauges = [
        ("mangogw_ready", u64::from(view.ready)),
        ("mangogw_leader", u64::from(view.is_leader)),
        ("mangogw_island", u64::from(view.isolated)),
        ("mangogw_term", view.term),
        ("mangogw_queues_version", view.version),
        ("mangogw_voters", view.voters as u64),
        ("mangogw_voters_wanted", view.max_voters as u64),
        ("mangogw_learners", view.learners as u64),
        ("mangogw_voter", u64::from(view.is_voter)),
        ("mangogw_leader_known", u64::from(view.leader_known)),
        ("mangogw_evacuations_seen", view.seen_evacuations),
        ("mangogw_stored_jobs", view.stored as u64),
        ("mangogw_open_calls", view.calls as u64),
        ("mangogw_calls_held", view.held as u64),
        ("mangogw_targets", view.targets as u64),
        ("mangogw_targets_heard", view.confirmed as u64),
        ("mangogw_jobs", view.jobs as u64),
        ("mangogw_jobs_waiting", view.waiting as u64),
    ];
    for (name, value) in gauges {
        gauge!(name).set(value as f64);
    }
    for (zone, evacuation) in view.evacuations.iter() {
        gauge!("mangogw_zone_evacuated", "zone" => zone.to_string()).set(f64::from(u8::from(evacuation.active)));
    }
    let totals = [
        ("mangogw_starts_total", view.counts.starts),
        ("mangogw_starts_unsure_total", view.counts.unsure),
        ("mangogw_starts_denied_total", view.counts.denied),
        ("mangogw_orders_replaced_total", view.counts.replaced),
        ("mangogw_looks_total", view.counts.renewals),
        ("mangogw_looks_missed_total", view.counts.missed_renewals),
        ("mangogw_jobs_completed_total", view.counts.completed),
        ("mangogw_jobs_failed_total", view.counts.failed),
        ("mangogw_jobs_refused_total", view.counts.refused),
        ("mangogw_jobs_dropped_total", view.counts.dropped),
        ("mangogw_calls_refused_total", view.calls_refused),
        ("mangogw_calls_unclear_total", view.calls_unclear),
        ("mangogw_membership_changes_total", view.membership_changes),
        ("mangogw_elections_failed_total", view.failed_elections),
    ];
    for (name, value) in totals {
        counter!(name).absolute(value);
    }
    count_links(links, &[]);
    handle.render()
}

/// Updates the metrics of what callers hold of this process.
pub fn update_gate(view: &View) {
    if handle().is_none() {
        return;
    }
    for callers in Callers::ALL {
        let (open, most) = (view.connections[callers as usize], view.most[callers as usize]);
        gauge!("mangogw_connections", "callers" => callers.name()).set(open as f64);
        gauge!("mangogw_connections_most", "callers" => callers.name()).set(most as f64);
    }
    gauge!("mangogw_held_bytes").set(view.bytes as f64);
    let counts = &view.counts;
    counter!("mangogw_connections_refused_total").absolute(counts.refused);
    counter!("mangogw_connections_displaced_total").absolute(counts.displaced);
    counter!("mangogw_connections_stalled_total").absolute(counts.stalled);
    counter!("mangogw_bodies_refused_total").absolute(counts.unread);
}

fn count_links(counts: &Counts, labels: &[(&'static str, String)]) {
    let total = |name: &'static str, value: u64| counter!(name, labels).absolute(value);
    total("mangogw_link_frames_total", counts.sent.load(Ordering::Relaxed));
    total("mangogw_link_bytes_total", counts.bytes.load(Ordering::Relaxed));
    total("mangogw_link_frames_dropped_total", counts.dropped.load(Ordering::Relaxed));
    total("mangogw_link_frames_refused_total", counts.refused.load(Ordering::Relaxed));
}

fn update(node: &Node) {
    let status = node.with_host(mangogw_host::Host::status_view);
    let host = status.host.to_string();
    let set = |name: &'static str, value: f64| gauge!(name, "host" => host.clone()).set(value);
    set("mangogw_ready", f64::from(u8::from(status.ready)));
    set("mangogw_catalogue_version", status.catalogue.0 as f64);
    set("mangogw_hosts", status.hosts as f64);
    set("mangogw_hosts_reachable", status.reachable as f64);
    set("mangogw_targets_owned", status.targets as f64);
    set("mangogw_tasks", status.tasks as f64);
    set("mangogw_relayed_requests", status.relayed as f64);
    set("mangogw_records", status.records as f64);
    set("mangogw_records_bytes", status.record_bytes as f64);
    set("mangogw_leader", f64::from(u8::from(status.role.as_deref() == Some("leader"))));
    let total = |name: &'static str, value: u64| counter!(name, "host" => host.clone()).absolute(value);
    total("mangogw_wasted_messages_total", status.wasted);
    count_links(node.links().counts(), &[("host", host.clone())]);
    for view in node.with_host(mangogw_host::Host::target_views) {
        let labels = [("target", view.name.to_string()), ("state", view.state.to_owned())];
        gauge!("mangogw_target_running", &labels).set(f64::from(view.running));
    }
}
