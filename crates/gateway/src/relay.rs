//! Relays streamed responses, resuming a broken stream at another upstream where that is allowed.

use crate::{
    framing::{Framing, has_events},
    headers::{end_to_end, keep_alive_timeout},
    pending_request::{Interrupt, PendingRequest, next_interrupt},
    pool::Connection,
    response_body::{Piece, ResponseBody},
    sending::{Outgoing, SendContext, SendOutcome, StartedResponse, send_scheduled},
    telemetry,
};
use bytes::{Bytes, BytesMut};
use http::{Response, header::CONTENT_LENGTH};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::sync::mpsc;
use vanetally_dispatch::{Attempt, AttemptEnd, Event};
use vanetally_sse::Scanner;
use vanetally_types::{Name, Tick};

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Maximum number of pieces queued for a slow caller.
const MAX_QUEUED_PIECES: usize = 4;

/// Starts relaying a stream.
pub(crate) fn stream(
    pending: PendingRequest,
    outgoing: Outgoing,
    attempt: Attempt,
    started: StartedResponse,
) -> Response<ResponseBody> {
    let StartedResponse { connection, response, is_success } = started;
    let body_info = BodyInfo::of(&response, is_success);
    let keep_alive = keep_alive_timeout(response.headers());
    let (mut head, body) = response.into_parts();
    head.headers = end_to_end(&head.headers);
    let events = (attempt.may_repeat && is_success).then(EventSplitter::default);
    if events.is_some() {
        // A stream resumed elsewhere need not have the length that the first upstream stated.
        head.headers.remove(CONTENT_LENGTH);
    }
    let (sender, pieces) = mpsc::channel(MAX_QUEUED_PIECES);
    let relay = Relay {
        pending,
        outgoing,
        attempt,
        sender,
        events,
        is_success,
        timing: FrameTiming::default(),
    };
    tokio::task::spawn_local(relay.run(UpstreamBody {
        connection,
        body,
        keep_alive,
        info: body_info,
    }));
    Response::from_parts(head, ResponseBody::Stream(pieces))
}

/// An upstream response that is being read.
struct UpstreamBody {
    connection: Connection,
    body: Incoming,
    keep_alive: Option<Duration>,
    info: BodyInfo,
}

/// What tells where the body of an upstream response ends.
struct BodyInfo {
    framing: Framing,
    /// Follows the events, if it consists of such.
    scanner: Option<Scanner>,
}

impl BodyInfo {
    fn of(response: &Response<Incoming>, is_success: bool) -> Self {
        let headers = response.headers();
        let scanner = (is_success && has_events(headers)).then(Scanner::default);
        Self { framing: Framing::of(headers), scanner }
    }

    /// Whether the body has begun an event that has not ended.
    fn is_inside_event(&self) -> bool {
        self.scanner.as_ref().is_some_and(Scanner::is_inside_event)
    }
}

struct Relay {
    pending: PendingRequest,
    outgoing: Outgoing,
    attempt: Attempt,
    sender: mpsc::Sender<Piece>,
    /// Present if the stream may be resumed elsewhere, in which case only complete events are
    /// forwarded.
    events: Option<EventSplitter>,
    is_success: bool,
    timing: FrameTiming,
}

/// How reading an upstream response ended.
enum ReadEnd {
    /// The response is complete.
    Complete,
    /// The response was truncated.
    Broken(AttemptEnd),
    /// The caller has disconnected, or the request was refused.
    Cancelled,
}

impl ReadEnd {
    /// Returns the name used in logs and metrics.
    fn as_str(&self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Broken(_) => "broken",
            Self::Cancelled => "cancelled",
        }
    }
}

impl Relay {
    async fn run(mut self, first: UpstreamBody) {
        let mut source = first;
        loop {
            let end = self.read(&mut source).await;
            self.record_end(&source, &end);
            match end {
                ReadEnd::Complete => {
                    let end = if self.is_success { AttemptEnd::Served } else { AttemptEnd::Failed };
                    self.pending.attempt_ended(&self.attempt, end, true);
                    self.record_pauses();
                    self.pending.hub.pool.put(source.connection, source.keep_alive);
                    telemetry::request_answered(self.pending.age_seconds());
                    self.pending.finish();
                    // A caller that has disconnected needs no end.
                    let _ = self.sender.send(Piece::End).await;
                    return;
                }
                ReadEnd::Cancelled => return,
                ReadEnd::Broken(end) => {
                    self.pending.attempt_ended(&self.attempt, end, true);
                    drop(source);
                    match self.resume().await {
                        Some(next) => source = next,
                        None => return,
                    }
                }
            }
        }
    }

    /// Forwards frames until the response ends.
    async fn read(&mut self, source: &mut UpstreamBody) -> ReadEnd {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return ReadEnd::Cancelled,
                interrupt = next_interrupt(&mut self.pending.commands, &self.attempt) => match interrupt {
                    Interrupt::Ended(end) => return ReadEnd::Broken(end),
                    Interrupt::Refused(refused) => {
                        self.pending.record_refusal(&refused);
                        return ReadEnd::Cancelled;
                    }
                },
                frame = source.body.frame() => frame,
            };
            match frame {
                None if self.is_complete(&source.info) => return ReadEnd::Complete,
                None => return ReadEnd::Broken(AttemptEnd::Broken),
                Some(Err(_)) => return ReadEnd::Broken(self.pending.hub.broken_end()),
                Some(Ok(frame)) => {
                    if let (Some(scanner), Some(data)) =
                        (&mut source.info.scanner, frame.data_ref())
                    {
                        scanner.scan(data);
                    }
                    let (hub, upstream) = (&self.pending.hub, &self.attempt.upstream);
                    hub.upstream_heard(upstream, &source.connection, false);
                    if !self.forward(frame).await {
                        return ReadEnd::Cancelled;
                    }
                }
            }
        }
    }

    /// Whether a body that stopped here is complete. The close of a connection ends a stream only between two events.
    fn is_complete(&self, info: &BodyInfo) -> bool {
        let has_begun = self.timing.frames > 0 || info.framing != Framing::Close;
        let is_held_back = self.events.as_ref().is_some_and(|events| !events.partial.is_empty());
        !info.is_inside_event() && !is_held_back && (has_begun || info.scanner.is_none())
    }

    /// Forwards one frame; returns whether the caller is still connected.
    async fn forward(&mut self, frame: Frame<Bytes>) -> bool {
        if self.timing.record_frame(self.pending.hub.clock.now()) {
            self.pending.hub.request_event(Event::FirstPiece { id: self.pending.id });
            telemetry::first_piece(self.pending.age_seconds());
        }
        let frame = match (&mut self.events, frame.into_data()) {
            (Some(events), Ok(data)) => {
                let complete = events.take_complete(&data);
                if complete.is_empty() {
                    return true;
                }
                Frame::data(complete)
            }
            (_, Ok(data)) => Frame::data(data),
            (_, Err(other)) => other,
        };
        self.sender.send(Piece::Frame(frame)).await.is_ok()
    }

    /// Resumes the stream at another upstream, if the dispatcher provides an attempt.
    async fn resume(&mut self) -> Option<UpstreamBody> {
        loop {
            let attempt = match self.pending.next_attempt().await {
                Ok(attempt) => attempt,
                Err(refused) => {
                    self.pending.record_refusal(&refused);
                    return None;
                }
            };
            let events = self.events.as_mut()?;
            events.partial.clear();
            let after = events.last_id.clone();
            log::info!(
                "event=stream_resumed request={} upstream={} after_event={}",
                self.pending.name,
                attempt.upstream,
                after.as_deref().unwrap_or("-")
            );
            let context = SendContext {
                hub: &self.pending.hub,
                id: self.pending.id,
                name: &self.pending.name,
                outgoing: &self.outgoing,
                attempt: &attempt,
                resume_after: after.as_ref(),
            };
            let outcome = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                interrupt = next_interrupt(&mut self.pending.commands, &attempt) => match interrupt {
                    Interrupt::Ended(end) => SendOutcome::Ended(end),
                    Interrupt::Refused(refused) => {
                        self.pending.record_refusal(&refused);
                        return None;
                    }
                },
                outcome = send_scheduled(context) => outcome,
            };
            self.attempt = attempt;
            match outcome {
                SendOutcome::Response(started) if started.is_success => {
                    let StartedResponse { connection, response, is_success } = *started;
                    let info = BodyInfo::of(&response, is_success);
                    let keep_alive = keep_alive_timeout(response.headers());
                    return Some(UpstreamBody {
                        connection,
                        body: response.into_body(),
                        keep_alive,
                        info,
                    });
                }
                SendOutcome::Response(_) => {
                    self.pending.attempt_ended(&self.attempt, AttemptEnd::Broken, true);
                }
                SendOutcome::Ended(end) => self.pending.attempt_ended(&self.attempt, end, true),
            }
        }
    }

    /// Logs and counts how the body of an upstream response ended, at info level if that was inside an event.
    fn record_end(&self, source: &UpstreamBody, end: &ReadEnd) {
        let framing = source.info.framing.as_str();
        let is_inside = source.info.is_inside_event();
        telemetry::body_ended(framing, end.as_str(), is_inside);
        let level = if is_inside { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            "event=body_ended request={} upstream={} number={} end={} framing={framing} inside_event={is_inside} exit={}",
            self.pending.name,
            self.attempt.upstream,
            self.attempt.number,
            end.as_str(),
            source.connection.exit().map_or("-", |exit| exit)
        );
    }

    /// Logs and counts the pauses of a complete stream, at info level if one exceeded the allowed
    /// gap.
    fn record_pauses(&self) {
        let longest_ms = self.timing.longest_ms;
        telemetry::longest_pause(longest_ms as f64 / MILLIS_PER_SECOND);
        let is_late = longest_ms > self.attempt.gap_ms;
        let level = if is_late { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            "event=stream_ended request={} upstream={} number={} pieces={} longest_pause_ms={} allowed_ms={}",
            self.pending.name,
            self.attempt.upstream,
            self.attempt.number,
            self.timing.frames,
            longest_ms,
            self.attempt.gap_ms
        );
    }
}

/// Frame count of a stream and the pauses between frames.
#[derive(Default)]
struct FrameTiming {
    frames: u32,
    last: Option<Tick>,
    longest_ms: u64,
}

impl FrameTiming {
    /// Records a frame; returns whether it is the first.
    fn record_frame(&mut self, now: Tick) -> bool {
        let last = self.last.replace(now);
        self.frames += 1;
        if let Some(last) = last {
            self.longest_ms = self.longest_ms.max(now.since(last));
        }
        last.is_none()
    }
}

/// Splits a stream into events and tracks the id of the last one forwarded.
#[derive(Default)]
struct EventSplitter {
    partial: BytesMut,
    last_id: Option<Name>,
}

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &str = "id:";

impl EventSplitter {
    /// Appends bytes and returns all events that are complete.
    fn take_complete(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let end = self.partial.windows(EVENT_END.len()).rposition(|window| window == EVENT_END);
        let Some(end) = end else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end + EVENT_END.len()).freeze();
        let text = String::from_utf8_lossy(&complete);
        let mut ids = text.lines().rev().filter_map(|line| line.strip_prefix(ID_FIELD));
        if let Some(id) = ids.next() {
            self.last_id = Some(id.trim().into());
        }
        complete
    }
}
