//! Relays streamed responses, resuming a broken stream at another upstream where that is allowed.

use crate::{
    framing::{Framing, has_events},
    headers::{end_to_end, keep_alive_timeout},
    pending_request::{Interrupt, PendingRequest, next_interrupt},
    pool::Connection,
    sending::{Outgoing, SendContext, SendOutcome, StartedResponse, send_scheduled},
    telemetry,
};
use bytes::Bytes;
use http::{Response, header::CONTENT_LENGTH};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::sync::mpsc;
use vanetally_callers::{Piece, ResponseBody};
use vanetally_dispatch::{Attempt, AttemptEnd, Event};
use vanetally_sse::{EventSplitter, Scanner};
use vanetally_types::Tick;

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Maximum number of pieces queued for a slow caller.
const MAX_QUEUED_PIECES: usize = 2;
/// Bytes of an event that are held back until it is whole. A stream that breaks inside a longer event is not resumed.
const MAX_HELD_BYTES: usize = 64 << 10;

/// Starts relaying a stream.
pub(crate) fn stream(
    pending: PendingRequest,
    outgoing: Outgoing,
    attempt: Attempt,
    started: StartedResponse,
) -> Response<ResponseBody> {
    let StartedResponse { connection, response, is_success } = started;
    let framing = Framing::of(response.headers());
    let has_events = is_success && has_events(response.headers());
    let keep_alive = keep_alive_timeout(response.headers());
    let (mut head, body) = response.into_parts();
    head.headers = end_to_end(&head.headers);
    let events = match (has_events, attempt.may_repeat) {
        (false, _) => Events::None,
        (true, false) => Events::Watched(Scanner::default()),
        (true, true) => Events::Whole(EventSplitter::new(MAX_HELD_BYTES)),
    };
    if matches!(events, Events::Whole(_)) {
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
        is_kept: false,
        is_success,
        timing: FrameTiming::default(),
        survival: Survival::default(),
    };
    let source = UpstreamBody { connection, body, keep_alive, framing };
    tokio::task::spawn_local(relay.run(source));
    Response::from_parts(head, ResponseBody::relayed(pieces))
}

/// An upstream response that is being read.
struct UpstreamBody {
    connection: Connection,
    body: Incoming,
    keep_alive: Option<Duration>,
    framing: Framing,
}

/// The events of which a body consists.
enum Events {
    /// It does not consist of events.
    None,
    /// They are forwarded as they arrive.
    Watched(Scanner),
    /// Only whole events are forwarded, since the stream may be resumed elsewhere.
    Whole(EventSplitter),
}

impl Events {
    /// Takes received bytes and returns those to forward.
    fn push(&mut self, data: Bytes) -> Bytes {
        match self {
            Self::None => data,
            Self::Watched(scanner) => {
                scanner.scan(&data);
                data
            }
            Self::Whole(splitter) => splitter.push(&data),
        }
    }

    /// Whether a new answer can go on where what was forwarded stopped.
    fn may_resume(&self) -> bool {
        matches!(self, Self::Whole(splitter) if splitter.may_resume())
    }

    /// Whether the answer that is being read has brought a whole event, or consists of none.
    fn has_new_event(&self) -> bool {
        match self {
            Self::None => true,
            Self::Watched(scanner) => scanner.has_event(),
            Self::Whole(splitter) => splitter.has_new_event(),
        }
    }

    /// Whether an event, or a part of one, may be passed on, or was.
    fn has_event(&self) -> bool {
        match self {
            Self::None | Self::Watched(_) => true,
            Self::Whole(splitter) => splitter.has_event(),
        }
    }

    /// Whether an event has begun that has not ended.
    fn is_inside(&self) -> bool {
        match self {
            Self::None => false,
            Self::Watched(scanner) => scanner.is_inside_event(),
            Self::Whole(splitter) => splitter.is_inside_event(),
        }
    }
}

struct Relay {
    pending: PendingRequest,
    outgoing: Outgoing,
    attempt: Attempt,
    sender: mpsc::Sender<Piece>,
    events: Events,
    /// Whether the hosts that keep it were told where the stream began.
    is_kept: bool,
    is_success: bool,
    timing: FrameTiming,
    survival: Survival,
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
                    if self.attempt.may_repeat && !self.events.may_resume() {
                        return self.pending.give_up();
                    }
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
                None if self.is_complete(source.framing) => return ReadEnd::Complete,
                None => return ReadEnd::Broken(AttemptEnd::Broken),
                Some(Err(_)) => {
                    let (hub, attempt) = (&self.pending.hub, &self.attempt);
                    return ReadEnd::Broken(hub.broken_end(attempt, &source.connection));
                }
                Some(Ok(frame)) => {
                    let (hub, upstream) = (&self.pending.hub, &self.attempt.upstream);
                    hub.upstream_heard(upstream, &source.connection, false);
                    if !self.forward(frame).await {
                        return ReadEnd::Cancelled;
                    }
                }
            }
        }
    }

    /// Whether a body that stopped here is complete. The close of a connection ends a stream only after an event.
    fn is_complete(&self, framing: Framing) -> bool {
        let is_told = framing != Framing::Close || self.events.has_new_event();
        is_told && !self.events.is_inside()
    }

    /// Forwards what may be passed on of one frame; returns whether the caller is still connected.
    async fn forward(&mut self, frame: Frame<Bytes>) -> bool {
        let (hub, id) = (&self.pending.hub, self.pending.id);
        let now = hub.clock.now();
        if self.timing.record_frame(now) {
            hub.request_event(Event::FirstPiece { id });
            telemetry::first_piece(self.pending.age_seconds());
        }
        if self.survival.record_frame(now) {
            hub.request_event(Event::AnswerContinues { id });
        }
        let frame = match frame.into_data() {
            Ok(data) => {
                let data = self.events.push(data);
                if data.is_empty() {
                    return true;
                }
                self.keep_beginning();
                Frame::data(data)
            }
            Err(other) => other,
        };
        self.sender.send(Piece::Frame(frame)).await.is_ok()
    }

    /// Has the beginning of the stream kept before its first event is passed on.
    fn keep_beginning(&mut self) {
        let has_begun = self.attempt.may_repeat && self.events.has_event();
        if has_begun && !std::mem::replace(&mut self.is_kept, true) {
            self.pending.hub.stream_begun(self.pending.id);
        }
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
            let Events::Whole(events) = &mut self.events else {
                return None;
            };
            events.restart();
            let after = events.last_id().cloned();
            log::info!(
                "event=stream_resumed request={} upstream={} software={} after_event={:.64}",
                self.pending.name,
                attempt.upstream,
                attempt.software_version,
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
            self.survival = Survival::default();
            match outcome {
                SendOutcome::Response(started) if started.is_success => {
                    let StartedResponse { connection, response, .. } = *started;
                    let framing = Framing::of(response.headers());
                    let keep_alive = keep_alive_timeout(response.headers());
                    return Some(UpstreamBody {
                        connection,
                        body: response.into_body(),
                        keep_alive,
                        framing,
                    });
                }
                SendOutcome::Response(_) => {
                    self.pending.attempt_ended(&self.attempt, AttemptEnd::Broken, true);
                }
                SendOutcome::Ended(end) => self.pending.attempt_ended(&self.attempt, end, true),
                SendOutcome::Unbuilt(error) => {
                    self.pending.give_up_unbuilt(&error);
                    return None;
                }
            }
        }
    }

    /// Logs and counts how the body of an upstream response ended, at info level if that was inside an event.
    fn record_end(&self, source: &UpstreamBody, end: &ReadEnd) {
        let framing = source.framing.as_str();
        let is_inside = self.events.is_inside();
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

/// Time after its first frame at which an answer shows that its upstream does not crash under it. One that does, does so
/// when it begins to write.
const SURVIVAL_MS: u64 = 500;

/// Whether an answer shows that its upstream does not crash under it.
#[derive(Default)]
struct Survival {
    first: Option<Tick>,
    is_told: bool,
}

impl Survival {
    /// Records a frame; returns whether it is the first that shows this.
    fn record_frame(&mut self, now: Tick) -> bool {
        let first = *self.first.get_or_insert(now);
        let is_shown = now.since(first) >= SURVIVAL_MS;
        is_shown && !std::mem::replace(&mut self.is_told, true)
    }
}
