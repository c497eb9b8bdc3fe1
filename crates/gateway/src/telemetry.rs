//! Metrics: counters, gauges and histograms.

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use std::sync::atomic::{AtomicU64, Ordering};
use vanetally_answer::Malformed;
use vanetally_dispatch::{AttemptEnd, Counts, EjectionReason, PrefixPlace};
use vanetally_limit::{LimitChange, PermitAnswer};
use vanetally_link::peer::Traffic;
use vanetally_ports::{AnnouncementError, Era, OrderOutcome, RefusalCause};
use vanetally_slots::SlotAnswer;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Bucket bounds of the ratio histograms.
const RATIO_BUCKETS: [f64; 10] = [0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0, 8.0];

/// Installs the metrics recorder.
///
/// # Errors
/// If a recorder is already installed.
pub(crate) fn try_install() -> anyhow::Result<PrometheusHandle> {
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), &LATENCY_BUCKETS)?
        .set_buckets_for_metric(Matcher::Suffix("_ratio".into()), &RATIO_BUCKETS)?;
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)?;
    Ok(handle)
}

/// Records the running build.
pub(crate) fn build_info(build: &'static str) {
    gauge!("vanetally_build_info", "build" => build).set(1.0);
}

/// Counts an arrived request.
pub(crate) fn request_arrived() {
    counter!("vanetally_requests_total").increment(1);
}

/// Counts a request refused by this host.
pub(crate) fn request_refused(cause: RefusalCause, shortage: &'static str) {
    counter!("vanetally_refusals_total", "cause" => cause.as_str(), "lack" => shortage)
        .increment(1);
}

/// Sets the gauges of what callers hold.
pub(crate) fn set_caller_gauges(counts: vanetally_admission::Counts) {
    gauge!("vanetally_caller_connections").set(counts.connections as f64);
    gauge!("vanetally_caller_bodies").set(counts.bodies as f64);
    gauge!("vanetally_caller_bytes").set(counts.bytes as f64);
    gauge!("vanetally_caller_all_bytes").set(counts.all_bytes as f64);
}

/// Counts a request refused because its forecast exceeded the time that it may wait.
pub(crate) fn refused_by_forecast() {
    counter!("vanetally_forecast_refusals_total").increment(1);
}

/// Counts a request that waited for the configuration of a starting host, or found no place to.
pub(crate) fn configuration_waited(outcome: &'static str) {
    counter!("vanetally_configuration_waits_total", "outcome" => outcome).increment(1);
}

/// Counts an upstream that announced that it is leaving, in a response to this host or relayed by
/// another one.
pub(crate) fn upstream_leaving(is_relayed: bool) {
    let by = if is_relayed { "host" } else { "answer" };
    counter!("vanetally_upstreams_leaving_total", "by" => by).increment(1);
}

/// Records the number of evacuated failure domains.
pub(crate) fn evacuated_domains(count: usize) {
    gauge!("vanetally_evacuated_domains").set(count as f64);
}

/// Counts a cooldown requested by an upstream.
pub(crate) fn cooldown_requested() {
    counter!("vanetally_rests_asked_total").increment(1);
}

/// Counts an unreadable statement of an upstream.
pub(crate) fn statement_unreadable() {
    counter!("vanetally_statements_unreadable_total").increment(1);
}

/// Counts bytes that were no answer.
pub(crate) fn answer_malformed(malformed: Malformed) {
    counter!("vanetally_malformed_answers_total", "cause" => malformed.as_str()).increment(1);
}

/// Counts a probe of an upstream at which attempts were interrupted.
pub(crate) fn upstream_probed(sign: &'static str) {
    counter!("vanetally_upstream_looks_total", "sign" => sign).increment(1);
}

/// Counts an ejection of an upstream.
pub(crate) fn upstream_ejected(reason: EjectionReason) {
    counter!("vanetally_upstreams_ejected_total", "by" => reason.as_str()).increment(1);
}

/// Counts an upstream that this host no longer reaches directly, or reaches again.
pub(crate) fn upstream_blocked(is_blocked: bool) {
    let change = if is_blocked { "blocked" } else { "reached" };
    counter!("vanetally_upstream_paths_total", "change" => change).increment(1);
}

/// Counts a statement about a brittle service that differs from what was known.
pub(crate) fn brittleness_stated() {
    counter!("vanetally_brittleness_stated_total").increment(1);
}

/// Counts a tunnel that this host opened through an exit, or failed to open.
pub(crate) fn tunnel_opened(is_open: bool) {
    let outcome = if is_open { "opened" } else { "failed" };
    counter!("vanetally_tunnels_total", "outcome" => outcome).increment(1);
}

/// Counts a tunnel that another host opened through this one, or was refused.
pub(crate) fn tunnel_served(is_open: bool) {
    let outcome = if is_open { "opened" } else { "refused" };
    counter!("vanetally_tunnels_served_total", "outcome" => outcome).increment(1);
}

/// Records the number of upstreams that this host does not reach directly, and of the open tunnels
/// of this host and of others.
pub(crate) fn set_reach_gauges(blocked: usize, tunnels: usize, served: usize) {
    gauge!("vanetally_upstreams_blocked").set(blocked as f64);
    gauge!("vanetally_tunnels_open").set(tunnels as f64);
    gauge!("vanetally_tunnels_served_open").set(served as f64);
}

/// Counts contents that became suspected.
pub(crate) fn contents_suspected(count: usize) {
    counter!("vanetally_contents_suspected_total").increment(count as u64);
}

/// Counts an answer to a request for a try of a suspected content.
pub(crate) fn try_answered(is_granted: bool) {
    let outcome = if is_granted { "granted" } else { "refused" };
    counter!("vanetally_content_tries_total", "outcome" => outcome).increment(1);
}

/// Records the numbers of contents that are quarantined, that are suspected, and on which this host keeps evidence.
pub(crate) fn set_content_gauges(held: usize, suspected: usize, evidence: usize) {
    gauge!("vanetally_contents_quarantined").set(held as f64);
    gauge!("vanetally_contents_suspected").set(suspected as f64);
    gauge!("vanetally_contents_evidence").set(evidence as f64);
}

/// Counts a new quarantine.
pub(crate) fn content_quarantined() {
    counter!("vanetally_contents_quarantined_total").increment(1);
}

/// Counts a rate limit that an upstream stated or ended.
pub(crate) fn limit_changed(change: LimitChange) {
    let change = match change {
        LimitChange::Stated(_) => "named",
        LimitChange::Ended => "ended",
    };
    counter!("vanetally_limits_total", "change" => change).increment(1);
}

/// Counts a prompt by the place of its replica among those for its prefix.
pub(crate) fn prefix_placed(place: PrefixPlace) {
    counter!("vanetally_prefix_placed_total", "place" => place.as_str()).increment(1);
}

/// Counts an answer to a permit request.
pub(crate) fn permit_answered(answer: PermitAnswer) {
    counter!("vanetally_permits_total", "answer" => answer.as_str()).increment(1);
}

/// Counts a request that waited for quota, by how the wait ended, and records its seconds.
pub(crate) fn quota_waited(end: &'static str, seconds: f64) {
    counter!("vanetally_quota_waits_total", "end" => end).increment(1);
    histogram!("vanetally_quota_wait_seconds").record(seconds);
}

/// Counts a grant that was returned because nothing waited for it any more.
pub(crate) fn quota_grant_returned() {
    counter!("vanetally_quota_grants_returned_total").increment(1);
}

/// Records the number of requests that wait for quota at this host as the grantor.
pub(crate) fn quota_waiting(count: usize) {
    gauge!("vanetally_quota_waiting").set(count as f64);
}

/// Counts an answer of this host as the owner of an upstream's slots.
pub(crate) fn slot_answered(answer: SlotAnswer) {
    counter!("vanetally_slot_answers_total", "answer" => answer.as_str()).increment(1);
}

/// Counts a request for a slot that its owner did not answer.
pub(crate) fn slot_owner_silent() {
    counter!("vanetally_slot_requests_unanswered_total").increment(1);
}

/// Sets the open grants and the waiting requests of the upstreams of which this host is the owner.
pub(crate) fn set_slot_gauges(granted: usize, waiting: usize) {
    gauge!("vanetally_slots_granted").set(granted as f64);
    gauge!("vanetally_slots_waiting").set(waiting as f64);
}

/// Counts an unreadable announcement.
pub(crate) fn announcement_unreadable(error: &AnnouncementError) {
    counter!("vanetally_announcements_unreadable_total", "reason" => error.as_str()).increment(1);
}

/// Counts an entry of the store that can't be read.
pub(crate) fn entry_unreadable(prefix: &'static str, reason: &'static str) {
    counter!("vanetally_entries_unreadable_total", "prefix" => prefix, "reason" => reason)
        .increment(1);
}

/// Counts a new incarnation announced under an upstream's id.
pub(crate) fn upstream_restarted() {
    counter!("vanetally_upstreams_reborn_total").increment(1);
}

/// Counts a caller that disconnected before its response was complete.
pub(crate) fn caller_left() {
    counter!("vanetally_callers_left_total").increment(1);
}

/// Counts an ended attempt.
pub(crate) fn attempt_ended(end: AttemptEnd) {
    counter!("vanetally_attempts_total", "end" => end.as_str()).increment(1);
}

/// Counts a beginning of a stream that was sent to other hosts, and the bytes sent.
pub(crate) fn stream_begun(bytes: usize) {
    counter!("vanetally_streams_begun_total").increment(1);
    counter!("vanetally_stream_beginning_bytes_total").increment(bytes as u64);
}

/// Sets the number of streams whose beginning this host keeps.
pub(crate) fn set_streams(count: usize) {
    gauge!("vanetally_stream_beginnings").set(count as f64);
}

/// Counts a stream that a caller takes up, by where its beginning was found.
pub(crate) fn stream_taken_up(found: &'static str) {
    counter!("vanetally_streams_taken_up_total", "found" => found).increment(1);
}

/// Counts the end of the body of an upstream's response to a stream.
pub(crate) fn body_ended(framing: &'static str, end: &'static str, is_inside_event: bool) {
    let inside = if is_inside_event { "true" } else { "false" };
    counter!("vanetally_bodies_total", "framing" => framing, "end" => end, "inside_event" => inside)
        .increment(1);
}

/// Records the seconds from the arrival of a request to the first piece of its response.
pub(crate) fn first_piece(seconds: f64) {
    histogram!("vanetally_first_piece_seconds").record(seconds);
}

/// Records the ratio of the actual to the predicted time to the first piece.
pub(crate) fn prediction_ratio(ratio: f64) {
    histogram!("vanetally_first_piece_prediction_ratio").record(ratio);
}

/// Records the longest pause between two frames of a complete stream.
pub(crate) fn longest_pause(seconds: f64) {
    histogram!("vanetally_longest_pause_seconds").record(seconds);
}

/// Records how long a message of another host waited to be handled.
pub(crate) fn message_waited(waited_ms: u64) {
    histogram!("vanetally_message_wait_seconds").record(waited_ms as f64 / MILLIS_PER_SECOND);
}

/// Records the seconds from the arrival of a request to the end of its response.
pub(crate) fn request_answered(seconds: f64) {
    histogram!("vanetally_answer_seconds").record(seconds);
}

/// Counts an order by its outcome.
pub(crate) fn order_finished(outcome: OrderOutcome) {
    counter!("vanetally_orders_total", "outcome" => outcome.as_str()).increment(1);
}

/// Counts a request for which connections were passed over that have carried it before. `has_other` tells whether there was
/// another idle one.
pub(crate) fn connections_passed_over(has_other: bool) {
    let instead = if has_other { "idle" } else { "new" };
    counter!("vanetally_connections_passed_over_total", "instead" => instead).increment(1);
}

/// Counts an announcement of a former holder of the order lease that was dropped.
pub(crate) fn announcement_outdated() {
    counter!("vanetally_announcements_outdated_total").increment(1);
}

/// Counts an order without an answer whose connection was reset.
pub(crate) fn order_reset(reason: &'static str) {
    counter!("vanetally_orders_reset_total", "reason" => reason).increment(1);
}

/// Counts a store call.
pub(crate) fn store_call(call: &'static str, is_answered: bool) {
    let outcome = if is_answered { "answered" } else { "failed" };
    counter!("vanetally_store_calls_total", "call" => call, "outcome" => outcome).increment(1);
}

/// Records a new era of the store.
pub(crate) fn store_era(era: Era) {
    gauge!("vanetally_store_era").set(era.0 as f64);
}

/// Counts a store update that was ignored because it was older than the local copy.
pub(crate) fn stale_update(what: &'static str) {
    counter!("vanetally_store_news_passed_over_total", "what" => what).increment(1);
}

/// Sets the gauges that are sampled periodically.
pub(crate) fn set_gauges(counts: Counts, version: Option<u64>, is_ready: bool) {
    gauge!("vanetally_requests_waiting").set(counts.waiting as f64);
    gauge!("vanetally_requests_waiting_elsewhere").set(f64::from(counts.waiting_elsewhere));
    counter!("vanetally_requests_held_total").absolute(counts.held);
    gauge!("vanetally_requests_open").set(counts.open as f64);
    gauge!("vanetally_upstreams").set(counts.upstreams as f64);
    gauge!("vanetally_upstreams_suspect").set(counts.suspects as f64);
    gauge!("vanetally_upstreams_limited").set(counts.limited as f64);
    gauge!("vanetally_configuration_version").set(version.unwrap_or(0) as f64);
    gauge!("vanetally_ready").set(f64::from(u8::from(is_ready)));
    gauge!("vanetally_log_lines_dropped").set(crate::logging::dropped() as f64);
}

/// Sets whether this host holds the order lease: when that changes, and periodically, since a lease also expires.
pub(crate) fn order_holder(is_holder: bool) {
    gauge!("vanetally_order_holder").set(f64::from(u8::from(is_holder)));
}

/// Records the total traffic of the links to other hosts.
pub(crate) fn link_traffic(traffic: &Traffic) {
    let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
    counter!("vanetally_link_sent_messages_total").absolute(load(&traffic.sent));
    counter!("vanetally_link_sent_bytes_total").absolute(load(&traffic.sent_bytes));
    counter!("vanetally_link_received_bytes_total").absolute(load(&traffic.received_bytes));
    counter!("vanetally_link_dropped_messages_total").absolute(load(&traffic.dropped));
}
