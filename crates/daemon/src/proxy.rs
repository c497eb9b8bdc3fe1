//! One attempt to serve a request: calls an upstream and forwards its answer to the caller.

use crate::{
    answer_room::{AnswerRoom, HeldAnswer},
    frontend::UpstreamRequest,
    refusal::Refusal,
    sse::EngineEvents,
    telemetry,
};
use std::{
    io::{self, Read},
    sync::Arc,
    time::{Duration, Instant},
};
use vanetally_claim::Answer;
use vanetally_link::{
    call::{self, Call, Client},
    http::{Exchange, Reply, Stream},
};
use vanetally_route::AttemptEnd;
use vanetally_sse::Scanner;
use vanetally_types::{Name, Verdict};

/// The result of an attempt.
pub(crate) struct Outcome {
    pub end: AttemptEnd,
    /// The exchange if no response to the caller has been started.
    pub exchange: Option<Exchange>,
    /// The answer to store for repeats of a once-only request.
    pub answer: Option<Arc<Answer>>,
}

/// Maximum size of an engine's answer that is not an event stream.
const MAX_WHOLE_BYTES: usize = 32_000_000;
/// Size from which the body of a service's answer is streamed.
const SERVICE_STREAM_BYTES: usize = 64 * 1024;
/// Maximum size of an event of a stream.
const MAX_EVENT_BYTES: usize = 1_000_000;
/// Maximum number of times that a broken stream is resumed.
const MAX_RESUMES: u32 = 2;
const PIECE_BYTES: usize = 8 * 1024;

/// An attempt at one upstream.
pub(crate) struct Attempt<'a> {
    pub request: &'a UpstreamRequest,
    pub client: &'a Client,
    pub room: &'a AnswerRoom,
    pub host: &'a Name,
    pub upstream: Name,
    pub url: Name,
    pub entry: Name,
    pub timeout: Duration,
    pub started: Instant,
}

impl Attempt<'_> {
    /// Calls the upstream and forwards its answer.
    pub fn run(&self, exchange: Exchange) -> Outcome {
        telemetry::count_call(self.host, &self.upstream);
        let call = Call {
            method: self.request.method.clone(),
            url: format!("{}{}", self.url.trim_end_matches('/'), self.request.path),
            headers: self.request.headers.clone(),
            body: self.request.body_for(&self.entry),
            timeout: self.timeout,
        };
        let answer = match self.client.send(&call) {
            Ok(answer) => without_listed(answer),
            Err(e) => {
                log::info!(
                    "event=call-failed upstream={} request={} verdict={} error=\"{e}\"",
                    self.upstream,
                    self.request.id,
                    e.verdict
                );
                let end = if e.unreachable {
                    AttemptEnd::Unreachable
                } else {
                    AttemptEnd::Failed(e.verdict)
                };
                return Outcome { end, exchange: Some(exchange), answer: None };
            }
        };
        if !self.may_answer(answer.status) {
            log::warn!(
                "event=answer-unasked upstream={} request={} status={}",
                self.upstream,
                self.request.id,
                answer.status
            );
            let end = AttemptEnd::Failed(Verdict::MayHaveRun);
            return Outcome { end, exchange: Some(exchange), answer: None };
        }
        let is_not_run = |verdict: &str| verdict == Verdict::NotRun.as_str();
        let states_not_run = values(&answer, "x-verdict").any(is_not_run);
        let states_other = !values(&answer, "x-verdict").all(is_not_run);
        if states_not_run && (states_other || (200..300).contains(&answer.status)) {
            // The answer contradicts itself.
            log::warn!(
                "event=answer-contradictory upstream={} request={} status={}",
                self.upstream,
                self.request.id,
                answer.status
            );
            let end = AttemptEnd::Failed(Verdict::MayHaveRun);
            return Outcome { end, exchange: Some(exchange), answer: None };
        }
        if states_not_run || self.is_rejection(&answer) {
            return Outcome { end: AttemptEnd::Refused, exchange: Some(exchange), answer: None };
        }
        match (self.request.is_service, is_event_stream(&answer)) {
            (true, _) => self.forward_service(answer, exchange),
            (false, true) => self.forward_events(answer, exchange),
            (false, false) => self.forward_whole(answer, exchange),
        }
    }

    /// Whether the request may be answered with this status: some answer a range or a condition only.
    fn may_answer(&self, status: u16) -> bool {
        let asks = |names: &[&str]| {
            let mut stated = self.request.headers.iter();
            stated.any(|(name, _)| names.iter().any(|n| name.eq_ignore_ascii_case(n)))
        };
        match status {
            206 => asks(&["range"]),
            304 => asks(&["if-none-match", "if-modified-since"]),
            _ => true,
        }
    }

    /// Whether the status of the answer implies that the request was not run.
    fn is_rejection(&self, answer: &call::Answer) -> bool {
        !self.request.is_service && matches!(answer.status, 404 | 429 | 503)
    }

    /// Forwards an engine's answer that is not an event stream.
    fn forward_whole(&self, answer: call::Answer, exchange: Exchange) -> Outcome {
        let content_type = header(&answer, "content-type").unwrap_or("application/json").to_owned();
        let status = answer.status;
        let mut held = self.room.hold();
        let body = answer.read_whole(MAX_WHOLE_BYTES, |bytes| held.grow(bytes));
        let log_error = |error: &io::Error| {
            log::warn!(
                "event=answer-failed upstream={} request={} error=\"{error}\"",
                self.upstream,
                self.request.id
            );
        };
        let Some(body) = body.inspect_err(log_error).ok().filter(|_| status < 500) else {
            let end = AttemptEnd::Failed(Verdict::MayHaveRun);
            return Outcome { end, exchange: Some(exchange), answer: None };
        };
        self.send_whole(status, &content_type, Vec::new(), body, exchange)
    }

    fn send_whole(
        &self,
        status: u16,
        content_type: &str,
        headers: Vec<(String, String)>,
        body: Vec<u8>,
        exchange: Exchange,
    ) -> Outcome {
        telemetry::record_first_piece(self.host, self.started.elapsed().as_secs_f64());
        let answer = self.kept_answer(status, content_type, &body);
        let mut reply =
            Reply::new(status, content_type, body).with_header("X-Verdict", Verdict::Ran.as_str());
        reply.headers.extend(headers);
        reply.headers.extend(self.request.closing_headers.iter().cloned());
        exchange.answer(reply);
        Outcome { end: AttemptEnd::Completed, exchange: None, answer }
    }

    /// Returns the answer to store for repeats of a once-only request; `None` if it is too large.
    fn kept_answer(&self, status: u16, content_type: &str, body: &[u8]) -> Option<Arc<Answer>> {
        if !self.request.once_only || body.len() as u64 > self.request.max_kept_bytes {
            return None;
        }
        let fingerprint = self.request.fingerprint;
        let (content_type, body) = (content_type.to_owned(), body.to_vec());
        Some(Arc::new(Answer { status, content_type, fingerprint, body }))
    }

    /// Forwards a service's answer: as a whole if it is small, else streamed.
    fn forward_service(&self, mut answer: call::Answer, exchange: Exchange) -> Outcome {
        let content_type =
            header(&answer, "content-type").unwrap_or("application/octet-stream").to_owned();
        let status = answer.status;
        let headers = forwarded_headers(&answer.headers);
        let mut body = Vec::new();
        let read = answer.body.by_ref().take(SERVICE_STREAM_BYTES as u64).read_to_end(&mut body);
        let mut end = ServiceEnd::of(&answer);
        end.follow(&body);
        let is_short = body.len() < SERVICE_STREAM_BYTES;
        if read.is_err() || (is_short && !end.is_complete()) {
            let end = AttemptEnd::Failed(Verdict::MayHaveRun);
            return Outcome { end, exchange: Some(exchange), answer: None };
        }
        if is_short {
            return self.send_whole(status, &content_type, headers, body, exchange);
        }
        let mut head = vec![("Content-Type".to_owned(), content_type)];
        head.extend(headers);
        let Ok(mut stream) = exchange.stream(status, &head) else {
            return caller_gone();
        };
        telemetry::record_first_piece(self.host, self.started.elapsed().as_secs_f64());
        let end = copy_body(&mut answer.body, &mut stream, &body, end);
        if end != AttemptEnd::Completed {
            stream.abort();
        } else if stream.finish().is_err() {
            return caller_gone();
        }
        Outcome { end, exchange: None, answer: None }
    }

    /// Forwards an engine's event stream.
    fn forward_events(&self, answer: call::Answer, exchange: Exchange) -> Outcome {
        let mut relay = Relay {
            attempt: self,
            splitter: EngineEvents::default(),
            copy: Vec::new(),
            held: self.room.hold(),
        };
        relay.run(answer, exchange)
    }
}

/// Tells whether the body of a service's answer is complete where it stops.
struct ServiceEnd {
    /// Follows the events, if it consists of such.
    scanner: Option<Scanner>,
    /// Whether neither a length nor chunks tell its end.
    is_unframed: bool,
}

impl ServiceEnd {
    fn of(answer: &call::Answer) -> Self {
        let is_framed = |name: &str| header(answer, name).is_some();
        Self {
            scanner: is_event_stream(answer).then(Scanner::default),
            is_unframed: !is_framed("content-length") && !is_framed("transfer-encoding"),
        }
    }

    /// Follows the next bytes of the body.
    fn follow(&mut self, bytes: &[u8]) {
        if let Some(scanner) = &mut self.scanner {
            scanner.scan(bytes);
        }
    }

    fn is_complete(&self) -> bool {
        let is_told = |scanner: &Scanner| {
            !scanner.is_inside_event() && (scanner.has_event() || !self.is_unframed)
        };
        self.scanner.as_ref().is_none_or(is_told)
    }
}

/// Sends `first` and the remaining body to the caller; `end` has followed `first`.
fn copy_body(
    body: &mut dyn Read,
    stream: &mut Stream,
    first: &[u8],
    mut end: ServiceEnd,
) -> AttemptEnd {
    let mut piece = [0; PIECE_BYTES];
    if stream.send(first).is_err() {
        return AttemptEnd::CallerGone;
    }
    loop {
        match body.read(&mut piece) {
            Ok(0) if end.is_complete() => return AttemptEnd::Completed,
            Ok(0) => return AttemptEnd::Failed(Verdict::MayHaveRun),
            Ok(len) if stream.send(&piece[..len]).is_err() => return AttemptEnd::CallerGone,
            Ok(len) => end.follow(&piece[..len]),
            Err(_) => return AttemptEnd::Failed(Verdict::MayHaveRun),
        }
    }
}

fn caller_gone() -> Outcome {
    Outcome { end: AttemptEnd::CallerGone, exchange: None, answer: None }
}

fn is_event_stream(answer: &call::Answer) -> bool {
    header(answer, "content-type").is_some_and(|content_type| content_type.contains("event-stream"))
}

fn header<'a>(answer: &'a call::Answer, name: &'a str) -> Option<&'a str> {
    values(answer, name).next()
}

/// Returns the values of a header, of which there may be several.
fn values<'a>(answer: &'a call::Answer, name: &'a str) -> impl Iterator<Item = &'a str> {
    let named = answer.headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name));
    named.map(|(_, value)| value.as_str())
}

/// Removes the headers that `Connection` lists, since they are meant for the connection only and so must not be acted on;
/// those that frame the body stay.
fn without_listed(mut answer: call::Answer) -> call::Answer {
    const KEPT: [&str; 3] = ["connection", "content-length", "transfer-encoding"];
    let listed: Vec<String> = values(&answer, "connection")
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !KEPT.contains(&name.as_str()))
        .collect();
    answer.headers.retain(|(name, _)| !listed.contains(&name.to_ascii_lowercase()));
    answer
}

/// Returns the headers of a service's answer that are forwarded to the caller.
fn forwarded_headers(headers: &[(String, String)]) -> Vec<(String, String)> {
    const DROPPED: [&str; 8] = [
        "connection",
        "content-length",
        "content-type",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
        "trailer",
        "x-verdict",
    ];
    headers
        .iter()
        .filter(|(name, _)| !DROPPED.contains(&name.to_ascii_lowercase().as_str()))
        .cloned()
        .collect()
}

/// An event stream that is being forwarded.
struct Relay<'a> {
    attempt: &'a Attempt<'a>,
    splitter: EngineEvents,
    /// The forwarded events, stored for repeats of a once-only request.
    copy: Vec<u8>,
    held: HeldAnswer,
}

/// Why reading from the upstream stopped.
enum ReadEnd {
    /// The end mark arrived.
    Done,
    /// The connection broke, an event is too large, or there is no room for it.
    Broken,
}

impl Relay<'_> {
    fn run(&mut self, mut answer: call::Answer, exchange: Exchange) -> Outcome {
        // The response starts with the first complete event. Until then a failed attempt can be
        // retried at another upstream.
        let mut first = Vec::new();
        let mut piece = [0; PIECE_BYTES];
        while first.is_empty() {
            match answer.body.read(&mut piece) {
                Ok(len) if len > 0 && self.may_go_on() => {
                    first = self.splitter.push(&piece[..len]);
                }
                _ => {
                    let end = AttemptEnd::Failed(Verdict::MayHaveRun);
                    return Outcome { end, exchange: Some(exchange), answer: None };
                }
            }
        }
        let mut head = vec![
            ("Content-Type".to_owned(), "text/event-stream".to_owned()),
            ("Cache-Control".to_owned(), "no-cache".to_owned()),
        ];
        head.extend(self.attempt.request.closing_headers.iter().cloned());
        let mut stream = exchange.stream(200, &head).ok();
        telemetry::record_first_piece(
            self.attempt.host,
            self.attempt.started.elapsed().as_secs_f64(),
        );
        self.forward(&mut stream, &first);
        let end = self.forward_rest(answer, &mut stream);
        let completed = end == AttemptEnd::Completed;
        let kept = completed
            .then(|| self.attempt.kept_answer(200, "text/event-stream", &self.copy))
            .flatten();
        if let Some(stream) = stream {
            // Fails if the caller has disconnected. The last event states whether the answer is
            // complete.
            let _ = stream.finish();
        }
        Outcome { end, exchange: None, answer: kept }
    }

    /// Whether more of an event may be read.
    fn may_go_on(&mut self) -> bool {
        self.splitter.pending_bytes() < MAX_EVENT_BYTES
            && self.held.grow(self.splitter.held_bytes() + self.copy.capacity())
    }

    /// Sends events to the caller, unless it has disconnected, and adds them to the copy.
    fn forward(&mut self, stream: &mut Option<Stream>, events: &[u8]) {
        let request = self.attempt.request;
        if request.once_only && self.copy.len() as u64 <= request.max_kept_bytes {
            self.copy.extend_from_slice(events);
        }
        if stream.as_mut().is_some_and(|s| s.send(events).is_err()) {
            *stream = None;
        }
    }

    /// Forwards events until the stream ends, and resumes it if it breaks.
    fn forward_rest(&mut self, answer: call::Answer, stream: &mut Option<Stream>) -> AttemptEnd {
        let mut body = answer.body;
        let mut resumes = 0;
        loop {
            match self.forward_until(&mut *body, stream) {
                Some(ReadEnd::Done) => return AttemptEnd::Completed,
                None => return AttemptEnd::CallerGone,
                Some(ReadEnd::Broken) => {}
            }
            self.splitter.discard();
            resumes += 1;
            let resumed = (resumes <= MAX_RESUMES).then(|| self.resume()).flatten();
            match resumed {
                Some(next) => body = next,
                None => return self.send_broken(stream),
            }
        }
    }

    /// Forwards events until reading stops; `None` if the caller has disconnected and the request
    /// may be cancelled.
    fn forward_until(
        &mut self,
        body: &mut dyn Read,
        stream: &mut Option<Stream>,
    ) -> Option<ReadEnd> {
        let mut piece = [0; PIECE_BYTES];
        while !self.splitter.done {
            let len = match body.read(&mut piece) {
                Ok(len) if len > 0 && self.may_go_on() => len,
                _ => return Some(ReadEnd::Broken),
            };
            let events = self.splitter.push(&piece[..len]);
            if !events.is_empty() {
                self.forward(stream, &events);
            }
            // A once-only request runs to its end, so that a repeat gets the complete answer.
            if stream.is_none() && !self.attempt.request.once_only {
                return None;
            }
        }
        Some(ReadEnd::Done)
    }

    /// Requests the rest of the same run from the same engine.
    fn resume(&self) -> Option<Box<dyn Read + Send>> {
        let attempt = self.attempt;
        let base = attempt.url.trim_end_matches('/');
        let call = Call {
            method: "GET".into(),
            url: format!(
                "{base}/v1/resume/{}?after={}",
                attempt.request.request_id, self.splitter.count
            ),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: attempt.timeout,
        };
        let answer = attempt.client.send(&call).ok()?;
        log::info!(
            "event=stream-resumed upstream={} request={} after={} status={}",
            attempt.upstream,
            attempt.request.id,
            self.splitter.count,
            answer.status
        );
        (answer.status == 200).then_some(answer.body)
    }

    /// Sends the caller an error event, because the answer is incomplete.
    fn send_broken(&self, stream: &mut Option<Stream>) -> AttemptEnd {
        let mut refusal =
            Refusal::new(502, "stream_broken", "the upstream broke off; the answer is cut short");
        refusal.verdict = Verdict::MayHaveRun;
        let event = format!("data: {}\n\n", refusal.object());
        if let Some(stream) = stream {
            // Fails if the caller has disconnected.
            let _ = stream.send(event.as_bytes());
        }
        AttemptEnd::Failed(Verdict::MayHaveRun)
    }
}
