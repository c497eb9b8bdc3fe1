//! Log lines and metrics of what the dispatcher reports.

use crate::telemetry;
use vanetally_dispatch::{Attempt, Prediction, PrefixPlace, ShortageKind, SuspectedContent};
use vanetally_limit::LimitChange;
use vanetally_types::{Incarnation, Name};

/// Logs and counts a change of an upstream's stated rate limit; `by` is the host that reported it, `None` if an answer
/// to this host did.
pub(crate) fn record_limit(upstream: &Incarnation, change: LimitChange, by: Option<&Name>) {
    telemetry::limit_changed(change);
    let by = by.map_or("answer", |host| host);
    match change {
        LimitChange::Stated(rate) => {
            log::info!("event=limit_named upstream={upstream} per_s={rate} by={by}");
        }
        LimitChange::Ended => log::info!("event=limit_ended upstream={upstream} by={by}"),
    }
}

/// Logs and counts a probe of an upstream; `sign` is what it found, `contents` the number of contents whose attempts
/// had failed there.
pub(crate) fn record_probe(upstream: &Incarnation, sign: &'static str, contents: usize) {
    telemetry::upstream_probed(sign);
    log::info!("event=upstream_looked_at upstream={upstream} sign={sign} contents={contents}");
}

/// Logs what a request consists of whose attempt broke off, and which of that is answered otherwise.
pub(crate) fn record_broken(request: &Name, upstream: &Incarnation, suspects: &[SuspectedContent]) {
    let list = |is_common: bool| -> String {
        let wanted = suspects.iter().filter(|suspect| suspect.is_common == is_common);
        let hex: Vec<String> = wanted.map(|one| format!("{:016x}", one.content)).collect();
        if hex.is_empty() { "-".into() } else { hex.join(",") }
    };
    log::info!(
        "event=broken_under request={request} upstream={upstream} contents={} answered={}",
        list(false),
        list(true)
    );
}

/// Logs and records how well the time of a first piece was predicted.
pub(crate) fn record_prediction(prediction: &Prediction) {
    telemetry::prediction_ratio(prediction.took_ms / prediction.expected_ms);
    log::debug!(
        "event=first_piece request={} upstream={} took_ms={} expected_ms={:.0} unread_tokens={} ahead_ms={} per_token_us={:.0}",
        prediction.request,
        prediction.upstream,
        prediction.took_ms,
        prediction.expected_ms,
        prediction.unread_tokens,
        prediction.ahead_ms,
        prediction.per_token_us
    );
}

/// Logs an attempt with the inputs of its choice.
pub(crate) fn log_attempt(attempt: &Attempt) {
    if let Some(place) = attempt.place {
        telemetry::prefix_placed(place);
    }
    let subject = attempt.subject.as_ref().map_or_else(|| "-".into(), ToString::to_string);
    log::info!(
        "event=request_sent request={} route={} subject={subject} upstream={} number={} waited_ms={} lacked={} held_ms={} deadline_ms={} \
         own_load={} peer_load={} unread_tokens={} ahead_ms={} place={} delay_ms={} limit={} version={} software={}",
        attempt.request,
        attempt.route,
        attempt.upstream,
        attempt.number,
        attempt.waited_ms,
        attempt.shortage.map_or("-", ShortageKind::as_str),
        attempt.held_ms,
        attempt.deadline_ms,
        attempt.own_load,
        attempt.peer_load,
        attempt.unread_tokens,
        attempt.ahead_ms,
        attempt.place.map_or("-", PrefixPlace::as_str),
        attempt.delay_ms,
        attempt.limit.map_or_else(|| "-".to_owned(), |rate| rate.to_string()),
        attempt.version,
        attempt.software_version
    );
}
