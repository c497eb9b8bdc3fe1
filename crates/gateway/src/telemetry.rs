//! Counters, gauges and latency histograms.

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use std::sync::atomic::{AtomicU64, Ordering};
use vanetally_dispatch::{AttemptEnd, Counts};
use vanetally_limit::{LimitChange, PermitAnswer};
use vanetally_link::peer::Traffic;
use vanetally_ports::{AnnouncementError, Era, OrderOutcome, RefusalCause};
use vanetally_quarantine::CrashSign;

/// Bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Bounds of the histograms of ratios.
const RATIO_BUCKETS: [f64; 10] = [0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0, 8.0];

/// Installs the recorder of this process.
///
/// # Errors
/// If another one is installed already.
pub(crate) fn try_install() -> anyhow::Result<PrometheusHandle> {
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), &LATENCY_BUCKETS)?
        .set_buckets_for_metric(Matcher::Suffix("_ratio".into()), &RATIO_BUCKETS)?;
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)?;
    Ok(handle)
}

/// The build that runs.
pub(crate) fn built(build: &'static str) {
    gauge!("vanetally_build_info", "build" => build).set(1.0);
}

/// A request arrived.
pub(crate) fn arrived() {
    counter!("vanetally_requests_total").increment(1);
}

/// The product itself ended a request.
pub(crate) fn refused(cause: RefusalCause, lack: &'static str) {
    counter!("vanetally_refusals_total", "cause" => cause.as_str(), "lack" => lack).increment(1);
}

/// An upstream said that it leaves, in an answer to this host or by the word of another one.
pub(crate) fn upstream_leaving(is_hearsay: bool) {
    let by = if is_hearsay { "host" } else { "answer" };
    counter!("vanetally_upstreams_leaving_total", "by" => by).increment(1);
}

/// An upstream turned a request away and asked for rest.
pub(crate) fn rest_asked() {
    counter!("vanetally_rests_asked_total").increment(1);
}

/// What an upstream says of itself can't be read.
pub(crate) fn statement_unreadable() {
    counter!("vanetally_statements_unreadable_total").increment(1);
}

/// It was looked whether an upstream lives at which attempts had broken off.
pub(crate) fn looked(sign: Option<CrashSign>) {
    let sign = sign.map_or("none", CrashSign::as_str);
    counter!("vanetally_upstream_looks_total", "sign" => sign).increment(1);
}

/// A content was found to end upstreams.
pub(crate) fn quarantined() {
    counter!("vanetally_contents_quarantined_total").increment(1);
}

/// An upstream named another limit, or none any more.
pub(crate) fn limit_stated(limit_change: LimitChange) {
    let change = match limit_change {
        LimitChange::Stated(_) => "named",
        LimitChange::Ended => "ended",
    };
    counter!("vanetally_limits_total", "change" => change).increment(1);
}

/// A request to an upstream in need got its moment, or did not.
pub(crate) fn permitted(answer: PermitAnswer) {
    counter!("vanetally_permits_total", "answer" => answer.as_str()).increment(1);
}

/// What an upstream announces can't be read.
pub(crate) fn announcement_unreadable(error: &AnnouncementError) {
    counter!("vanetally_announcements_unreadable_total", "reason" => error.as_str()).increment(1);
}

/// Another life of an upstream was announced under its id.
pub(crate) fn upstream_reborn() {
    counter!("vanetally_upstreams_reborn_total").increment(1);
}

/// A caller left before its answer was whole.
pub(crate) fn caller_left() {
    counter!("vanetally_callers_left_total").increment(1);
}

/// An attempt ended.
pub(crate) fn attempt_ended(end: AttemptEnd) {
    counter!("vanetally_attempts_total", "end" => end.as_str()).increment(1);
}

/// The first piece of an answer came after `seconds` since the request arrived.
pub(crate) fn first_piece(seconds: f64) {
    histogram!("vanetally_first_piece_seconds").record(seconds);
}

/// A first piece took `ratio` times as long as it was expected to.
pub(crate) fn predicted(ratio: f64) {
    histogram!("vanetally_first_piece_prediction_ratio").record(ratio);
}

/// The longest pause between two pieces of a whole stream lasted `seconds`.
pub(crate) fn longest_pause(seconds: f64) {
    histogram!("vanetally_longest_pause_seconds").record(seconds);
}

/// A whole answer went out after `seconds` since the request arrived.
pub(crate) fn answered(seconds: f64) {
    histogram!("vanetally_answer_seconds").record(seconds);
}

/// A runner answered an order.
pub(crate) fn ordered(outcome: OrderOutcome) {
    counter!("vanetally_orders_total", "outcome" => outcome.as_str()).increment(1);
}

/// A call to the store ended.
pub(crate) fn store_call(call: &'static str, is_answered: bool) {
    let outcome = if is_answered { "answered" } else { "failed" };
    counter!("vanetally_store_calls_total", "call" => call, "outcome" => outcome).increment(1);
}

/// The store answered in another era than before.
pub(crate) fn store_era(era: Era) {
    gauge!("vanetally_store_era").set(era.0 as f64);
}

/// News of the store were passed over: they are older than what is known here.
pub(crate) fn passed_over(what: &'static str) {
    counter!("vanetally_store_news_passed_over_total", "what" => what).increment(1);
}

/// Figures that are read off now and then.
pub(crate) fn gauges(counts: Counts, version: Option<u64>, is_ready: bool, is_holder: bool) {
    gauge!("vanetally_requests_waiting").set(counts.waiting as f64);
    gauge!("vanetally_requests_open").set(counts.open as f64);
    gauge!("vanetally_upstreams").set(counts.upstreams as f64);
    gauge!("vanetally_upstreams_suspect").set(counts.suspects as f64);
    gauge!("vanetally_upstreams_limited").set(counts.limited as f64);
    gauge!("vanetally_configuration_version").set(version.unwrap_or(0) as f64);
    gauge!("vanetally_ready").set(f64::from(u8::from(is_ready)));
    gauge!("vanetally_order_holder").set(f64::from(u8::from(is_holder)));
    gauge!("vanetally_log_lines_dropped").set(crate::logging::dropped() as f64);
}

/// What went over the links to other hosts so far.
pub(crate) fn links(traffic: &Traffic) {
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    counter!("vanetally_link_sent_messages_total").absolute(read(&traffic.sent));
    counter!("vanetally_link_sent_bytes_total").absolute(read(&traffic.sent_bytes));
    counter!("vanetally_link_received_bytes_total").absolute(read(&traffic.received_bytes));
    counter!("vanetally_link_dropped_messages_total").absolute(read(&traffic.dropped));
}
