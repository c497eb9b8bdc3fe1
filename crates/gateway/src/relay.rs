//! Streams: pieces go on as they come; a broken one goes on elsewhere where that is allowed.

use crate::{
    answer::{Answer, Cut, Piece},
    caller::{Caller, Interrupt, interrupted},
    headers::{end_to_end, stated_rest},
    pool::Connection,
    sending::{Asked, Outgoing, Sending, Started, ask_in_time},
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
use vanetally_types::{Name, Tick};

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Pieces that may wait for a slow caller.
const WAITING_PIECES: usize = 4;

/// Begins to pass a stream on.
pub(crate) fn stream(
    caller: Caller,
    outgoing: Outgoing,
    attempt: Attempt,
    started: Started,
) -> Response<Answer> {
    let Started { connection, response, is_success } = started;
    let rest = stated_rest(response.headers());
    let (mut head, body) = response.into_parts();
    head.headers = end_to_end(&head.headers);
    let events = (attempt.may_repeat && is_success).then(Events::default);
    if events.is_some() {
        // What goes on elsewhere need not be as long as the first upstream said.
        head.headers.remove(CONTENT_LENGTH);
    }
    let (sender, pieces) = mpsc::channel(WAITING_PIECES);
    let relay =
        Relay { caller, outgoing, attempt, sender, events, is_success, pauses: Pauses::default() };
    tokio::task::spawn_local(relay.run(Source { connection, body, rest }));
    Response::from_parts(head, Answer::Relayed(pieces))
}

/// An upstream's answer that is being read.
struct Source {
    connection: Connection,
    body: Incoming,
    rest: Option<Duration>,
}

struct Relay {
    caller: Caller,
    outgoing: Outgoing,
    attempt: Attempt,
    sender: mpsc::Sender<Piece>,
    /// Whole events only go on where the stream may be taken up elsewhere.
    events: Option<Events>,
    is_success: bool,
    pauses: Pauses,
}

/// How the reading of one upstream's answer ended.
enum Read {
    /// It is whole.
    Whole,
    /// It broke off.
    Broken,
    /// Nobody is left to read it, or its time is over.
    Over,
}

impl Relay {
    async fn run(mut self, first: Source) {
        let mut source = first;
        loop {
            match self.read(&mut source.body).await {
                Read::Whole => {
                    let end = if self.is_success { AttemptEnd::Served } else { AttemptEnd::Failed };
                    self.caller.attempt_ended(&self.attempt, end, true);
                    self.note_pauses();
                    self.caller.hub.pool.put(source.connection, source.rest);
                    telemetry::answered(self.caller.age_seconds());
                    self.caller.finish();
                    return;
                }
                Read::Over => return,
                Read::Broken => {
                    self.caller.attempt_ended(&self.attempt, AttemptEnd::Broken, true);
                    drop(source);
                    match self.resume().await {
                        Some(next) => source = next,
                        None => return self.cut().await,
                    }
                }
            }
        }
    }

    /// Passes pieces on until the answer ends one way or another.
    async fn read(&mut self, body: &mut Incoming) -> Read {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return Read::Over,
                interrupt = interrupted(&mut self.caller.commands, &self.attempt) => match interrupt {
                    Interrupt::Abandoned => return Read::Broken,
                    Interrupt::Refused(refused) => {
                        self.caller.refused(&refused);
                        self.cut().await;
                        return Read::Over;
                    }
                },
                frame = body.frame() => frame,
            };
            match frame {
                None => return if self.is_at_boundary() { Read::Whole } else { Read::Broken },
                Some(Err(_)) => return Read::Broken,
                Some(Ok(frame)) => {
                    if !self.pass(frame).await {
                        return Read::Over;
                    }
                }
            }
        }
    }

    fn is_at_boundary(&self) -> bool {
        self.events.as_ref().is_none_or(|events| events.partial.is_empty())
    }

    /// Passes one piece on; tells whether the caller is still there.
    async fn pass(&mut self, frame: Frame<Bytes>) -> bool {
        if self.pauses.note_piece(self.caller.hub.clock.now()) {
            self.caller.hub.request_event(Event::FirstPiece { id: self.caller.id });
            telemetry::first_piece(self.caller.age_seconds());
        }
        let frame = match (&mut self.events, frame.into_data()) {
            (Some(events), Ok(data)) => {
                let whole = events.take_whole(&data);
                if whole.is_empty() {
                    return true;
                }
                Frame::data(whole)
            }
            (_, Ok(data)) => Frame::data(data),
            (_, Err(other)) => other,
        };
        self.sender.send(Ok(frame)).await.is_ok()
    }

    /// Takes the stream up elsewhere, if the decisions say so.
    async fn resume(&mut self) -> Option<Source> {
        loop {
            let attempt = match self.caller.command().await {
                Ok(attempt) => attempt,
                Err(refused) => {
                    self.caller.refused(&refused);
                    return None;
                }
            };
            let events = self.events.as_mut()?;
            events.partial.clear();
            let after = events.last_id.clone();
            log::info!(
                "event=stream_resumed request={} upstream={} after_event={}",
                self.caller.name,
                attempt.upstream,
                after.as_deref().unwrap_or("-")
            );
            let sending = Sending {
                hub: &self.caller.hub,
                id: self.caller.id,
                name: &self.caller.name,
                outgoing: &self.outgoing,
                attempt: &attempt,
                resume_after: after.as_ref(),
            };
            let asked = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                interrupt = interrupted(&mut self.caller.commands, &attempt) => match interrupt {
                    Interrupt::Abandoned => Asked::Ended(AttemptEnd::Broken),
                    Interrupt::Refused(refused) => {
                        self.caller.refused(&refused);
                        return None;
                    }
                },
                asked = ask_in_time(sending) => asked,
            };
            self.attempt = attempt;
            match asked {
                Asked::Answer(started) if started.is_success => {
                    let Started { connection, response, .. } = *started;
                    let rest = stated_rest(response.headers());
                    return Some(Source { connection, body: response.into_body(), rest });
                }
                Asked::Answer(_) => {
                    self.caller.attempt_ended(&self.attempt, AttemptEnd::Broken, true);
                }
                Asked::Ended(end) => self.caller.attempt_ended(&self.attempt, end, true),
            }
        }
    }

    /// Tells how evenly the stream came: one with too long a pause is late, whole as it is.
    fn note_pauses(&self) {
        let longest_ms = self.pauses.longest_ms;
        telemetry::longest_pause(longest_ms as f64 / MILLIS_PER_SECOND);
        let is_late = longest_ms > self.attempt.gap_ms;
        let level = if is_late { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            "event=stream_ended request={} upstream={} number={} pieces={} longest_pause_ms={} allowed_ms={}",
            self.caller.name,
            self.attempt.upstream,
            self.attempt.number,
            self.pauses.pieces,
            longest_ms,
            self.attempt.gap_ms
        );
    }

    /// Ends the answer so that it can't be taken for whole.
    async fn cut(&mut self) {
        // A caller that has left needs no end.
        let _ = self.sender.send(Err(Cut)).await;
    }
}

/// The pieces of a stream and the pauses between them.
#[derive(Default)]
struct Pauses {
    pieces: u32,
    last: Option<Tick>,
    longest_ms: u64,
}

impl Pauses {
    /// A piece came; tells whether it is the first one.
    fn note_piece(&mut self, now: Tick) -> bool {
        let last = self.last.replace(now);
        self.pieces += 1;
        if let Some(last) = last {
            self.longest_ms = self.longest_ms.max(now.since(last));
        }
        last.is_none()
    }
}

/// Splits a stream into events, and knows the last one that went on.
#[derive(Default)]
struct Events {
    partial: BytesMut,
    last_id: Option<Name>,
}

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &str = "id:";

impl Events {
    /// Adds bytes; gives back all events that are whole.
    fn take_whole(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let end = self.partial.windows(EVENT_END.len()).rposition(|window| window == EVENT_END);
        let Some(end) = end else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(end + EVENT_END.len()).freeze();
        let text = String::from_utf8_lossy(&whole);
        let mut ids = text.lines().rev().filter_map(|line| line.strip_prefix(ID_FIELD));
        if let Some(id) = ids.next() {
            self.last_id = Some(id.trim().into());
        }
        whole
    }
}
