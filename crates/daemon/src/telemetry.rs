//! Metrics in the text format of Prometheus.

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::{OnceLock, atomic::Ordering};
use vanetally_core::Core;
use vanetally_link::peer::Links;
use vanetally_types::Name;

/// Returns the process-wide metrics recorder; it is installed on the first call.
pub(crate) fn handle() -> &'static PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("event=metrics-elsewhere");
        }
        handle
    })
}

/// Counts a request; `outcome` is `ok` or the code of its refusal.
pub(crate) fn count_request(host: &Name, target: &str, class: &str, outcome: &str) {
    let labels = [
        ("host", host.to_string()),
        ("target", target.to_owned()),
        ("class", class.to_owned()),
        ("outcome", outcome.to_owned()),
    ];
    counter!("vanetally_requests_total", &labels).increment(1);
}

/// Counts a call to an upstream.
pub(crate) fn count_call(host: &Name, upstream: &Name) {
    let labels = [("host", host.to_string()), ("upstream", upstream.to_string())];
    counter!("vanetally_upstream_calls_total", &labels).increment(1);
}

/// Records the time until the first piece of an answer was available for the caller.
pub(crate) fn record_first_piece(host: &Name, seconds: f64) {
    histogram!("vanetally_first_piece_seconds", "host" => host.to_string()).record(seconds);
}

/// Drains the recorder's histograms, which would otherwise grow without limit.
pub(crate) fn upkeep() {
    handle().run_upkeep();
}

/// Updates gauges, and the counters that are copied from elsewhere.
pub(crate) fn update(host: &Name, core: &Core, links: &Links) {
    let (waiting, running) = core.requests();
    let set_gauge =
        |name: &'static str, value: f64| gauge!(name, "host" => host.to_string()).set(value);
    set_gauge("vanetally_requests_waiting", waiting as f64);
    set_gauge("vanetally_requests_running", running as f64);
    set_gauge("vanetally_config_revision", core.revision().number as f64);
    set_gauge("vanetally_ready", if core.is_ready() { 1.0 } else { 0.0 });
    let traffic = links.traffic();
    let set_counter = |name: &'static str, value: u64| {
        counter!(name, "host" => host.to_string()).absolute(value);
    };
    set_counter("vanetally_link_sent_bytes_total", traffic.sent_bytes.load(Ordering::Relaxed));
    set_counter(
        "vanetally_link_received_bytes_total",
        traffic.received_bytes.load(Ordering::Relaxed),
    );
    set_counter("vanetally_link_dropped_total", traffic.dropped.load(Ordering::Relaxed));
    set_counter("vanetally_link_refused_total", traffic.refused.load(Ordering::Relaxed));
}
