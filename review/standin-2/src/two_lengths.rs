//! Streams in chunks of a runner that also states a length in some of them.

use crate::{
    Verdict, client,
    record::Record,
    runner::{Runner, Streams, stream_body},
    site::Site,
};
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// Work of a runner on one request.
const WORK: Duration = Duration::from_millis(5);
/// Disruptions, their length and the time between them.
const DISRUPTIONS: u32 = 3;
const LENGTH: Duration = Duration::from_secs(5);
const BETWEEN: Duration = Duration::from_secs(2);
/// Time that a client waits, as it states.
const WAIT_MS: u64 = 5_000;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut site = Site::start(record);
    site.configure_kind(1, "streaming", None);
    let (faulty, sound) = (Streams::default(), Streams::default());
    for (id, streams) in [("i-1", &faulty), ("i-2", &sound)] {
        site.announce(id, Runner::start_streams(id, WORK, streams, record).address);
    }
    let host = site.host();
    if !host.wait_ready() {
        return Verdict::NotRun;
    }
    let (started, period) = (Instant::now(), LENGTH + BETWEEN);
    let (mut sent, mut whole, mut cut, mut foreign) = (0, 0, 0, 0);
    let mut stream = None;
    while started.elapsed() < period * DISRUPTIONS {
        let is_garbling = started.elapsed().as_millis() % period.as_millis() < LENGTH.as_millis();
        faulty.are_spoilt.store(has_trouble && is_garbling, Ordering::Relaxed);
        let Some(mut open) = stream.take().or_else(|| client::connect(host.front).ok()) else {
            return Verdict::NotRun;
        };
        sent += 1;
        let id = format!("s-{sent}");
        if client::send(&mut open, "/book/a", &id, WAIT_MS, "").is_err() {
            continue;
        }
        let answer = client::receive(&mut open, Duration::from_millis(WAIT_MS));
        let is_signed_end = answer.status == 200 && answer.end == "whole";
        if is_signed_end && answer.body == stream_body(&id).as_bytes() {
            whole += 1;
            stream = Some(open);
        } else if is_signed_end {
            cut += 1;
            record.line(&format!(
                "MIXED request={id} status=200 looks complete with {} bytes of {}",
                answer.body.len(),
                stream_body(&id).len()
            ));
            stream = Some(open);
        } else if answer.end == "no head of an answer" {
            foreign += 1;
            record.line(&format!("MIXED request={id} no answer comes first on its connection"));
        } else {
            record.line(&format!("request={id} status={} end=\"{}\"", answer.status, answer.end));
        }
    }
    let spoilt = faulty.spoilt();
    record.line(&format!("sent={sent} whole={whole} spoilt={spoilt} cut={cut} foreign={foreign}"));
    match (whole, spoilt, cut + foreign) {
        (0, ..) => Verdict::NotRun,
        (_, 0, _) if has_trouble => Verdict::NotRun,
        (_, _, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
