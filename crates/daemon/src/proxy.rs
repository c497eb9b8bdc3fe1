//! One attempt at an upstream: the answer goes straight from its call to the caller.

use crate::{front::Job, refusal::Refusal, stream::Events, telemetry};
use std::{
    io::Read,
    sync::Arc,
    time::{Duration, Instant},
};
use vanetally_claim::Answer;
use vanetally_link::{
    call::{self, Call, Client},
    http::{Exchange, Reply, Stream},
};
use vanetally_route::AttemptEnd;
use vanetally_types::{Name, Verdict};

/// How an attempt ended, and the exchange if the caller has no bytes yet.
pub(crate) struct Outcome {
    pub end: AttemptEnd,
    pub exchange: Option<Exchange>,
    pub answer: Option<Arc<Answer>>,
}

/// Largest answer that is passed on as a whole.
const MOST_WHOLE: u64 = 32_000_000;
/// Larger bodies of services are passed on piece by piece.
const SERVICE_WHOLE: usize = 64 * 1024;
/// Largest single event of a stream.
const MOST_EVENT: usize = 1_000_000;
/// How often a broken stream is resumed.
const MOST_RESUMES: u32 = 2;
const PIECE: usize = 8 * 1024;

/// An attempt with what it needs.
pub(crate) struct Attempt<'a> {
    pub job: &'a Job,
    pub caller: &'a Client,
    pub host: &'a Name,
    pub upstream: Name,
    pub url: Name,
    pub entry: Name,
    pub within: Duration,
    pub started: Instant,
}

impl Attempt<'_> {
    /// Makes the attempt.
    pub fn run(&self, exchange: Exchange) -> Outcome {
        telemetry::called(self.host, &self.upstream);
        let call = Call {
            method: self.job.method.clone(),
            url: format!("{}{}", self.url.trim_end_matches('/'), self.job.path),
            headers: self.job.headers.clone(),
            body: self.job.body_for(&self.entry),
            timeout: self.within,
        };
        let answer = match self.caller.send(&call) {
            Ok(answer) => answer,
            Err(e) => {
                log::info!(
                    "event=call-failed upstream={} request={} verdict={} error=\"{e}\"",
                    self.upstream,
                    self.job.id,
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
        if self.is_refusal(&answer) {
            return Outcome { end: AttemptEnd::Refused, exchange: Some(exchange), answer: None };
        }
        let events = header(&answer, "content-type").is_some_and(|k| k.contains("event-stream"));
        match (self.job.service, events) {
            (true, _) => self.pass_service(answer, exchange),
            (false, true) => self.pass_events(answer, exchange),
            (false, false) => self.pass_whole(answer, exchange),
        }
    }

    /// Whether the upstream says that it did not run the request.
    fn is_refusal(&self, answer: &call::Answer) -> bool {
        let said = header(answer, "x-verdict") == Some("not-run");
        said || (!self.job.service && matches!(answer.status, 404 | 429 | 503))
    }

    /// An engine's answer in one piece.
    fn pass_whole(&self, answer: call::Answer, exchange: Exchange) -> Outcome {
        let kind = header(&answer, "content-type").unwrap_or("application/json").to_owned();
        let status = answer.status;
        let mut body = Vec::new();
        let read = answer.body.take(MOST_WHOLE).read_to_end(&mut body);
        if read.is_err() || status >= 500 {
            let end = AttemptEnd::Failed(Verdict::MayHaveRun);
            return Outcome { end, exchange: Some(exchange), answer: None };
        }
        self.finish_whole(status, &kind, Vec::new(), body, exchange)
    }

    fn finish_whole(
        &self,
        status: u16,
        kind: &str,
        headers: Vec<(String, String)>,
        body: Vec<u8>,
        exchange: Exchange,
    ) -> Outcome {
        telemetry::first_piece(self.host, self.started.elapsed().as_secs_f64());
        let answer = self.keep(status, kind, &body);
        let mut reply =
            Reply::new(status, kind, body).with_header("X-Verdict", Verdict::Ran.as_str());
        reply.headers.extend(headers);
        reply.headers.extend(self.job.closing.iter().cloned());
        exchange.answer(reply);
        Outcome { end: AttemptEnd::Completed, exchange: None, answer }
    }

    /// The answer as kept for repeats of a once-only request, unless it is too large.
    fn keep(&self, status: u16, kind: &str, body: &[u8]) -> Option<Arc<Answer>> {
        if !self.job.once || body.len() as u64 > self.job.kept {
            return None;
        }
        let fingerprint = self.job.fingerprint;
        let (kind, body) = (kind.to_owned(), body.to_vec());
        Some(Arc::new(Answer { status, content_type: kind, fingerprint, body }))
    }

    /// A service's answer: as a whole if it is small, else piece by piece.
    fn pass_service(&self, mut answer: call::Answer, exchange: Exchange) -> Outcome {
        let kind = header(&answer, "content-type").unwrap_or("application/octet-stream").to_owned();
        let status = answer.status;
        let headers = passed_headers(&answer.headers);
        let mut body = Vec::new();
        let read = answer.body.by_ref().take(SERVICE_WHOLE as u64).read_to_end(&mut body);
        if read.is_err() {
            let end = AttemptEnd::Failed(Verdict::MayHaveRun);
            return Outcome { end, exchange: Some(exchange), answer: None };
        }
        if body.len() < SERVICE_WHOLE {
            return self.finish_whole(status, &kind, headers, body, exchange);
        }
        let mut head = vec![("Content-Type".to_owned(), kind)];
        head.extend(headers);
        let Ok(mut stream) = exchange.stream(status, &head) else {
            return gone();
        };
        telemetry::first_piece(self.host, self.started.elapsed().as_secs_f64());
        let end = pump(&mut answer.body, &mut stream, &body);
        if end != AttemptEnd::Completed {
            stream.abort();
        } else if stream.finish().is_err() {
            return gone();
        }
        Outcome { end, exchange: None, answer: None }
    }

    /// An engine's stream of events.
    fn pass_events(&self, answer: call::Answer, exchange: Exchange) -> Outcome {
        let mut relay = Relay { attempt: self, events: Events::default(), copy: Vec::new() };
        relay.run(answer, exchange)
    }
}

/// Passes `first` and the rest of a body on.
fn pump(body: &mut dyn Read, stream: &mut Stream, first: &[u8]) -> AttemptEnd {
    let mut piece = [0; PIECE];
    if stream.send(first).is_err() {
        return AttemptEnd::CallerGone;
    }
    loop {
        match body.read(&mut piece) {
            Ok(0) => return AttemptEnd::Completed,
            Ok(len) if stream.send(&piece[..len]).is_err() => return AttemptEnd::CallerGone,
            Ok(_) => {}
            Err(_) => return AttemptEnd::Failed(Verdict::MayHaveRun),
        }
    }
}

fn gone() -> Outcome {
    Outcome { end: AttemptEnd::CallerGone, exchange: None, answer: None }
}

fn header<'a>(answer: &'a call::Answer, name: &str) -> Option<&'a str> {
    answer.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// Headers of a service's answer that the caller gets.
fn passed_headers(headers: &[(String, String)]) -> Vec<(String, String)> {
    const HELD: [&str; 8] = [
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
        .filter(|(name, _)| !HELD.contains(&name.to_ascii_lowercase().as_str()))
        .cloned()
        .collect()
}

/// A stream of events under way.
struct Relay<'a> {
    attempt: &'a Attempt<'a>,
    events: Events,
    /// What the caller got, kept for repeats.
    copy: Vec<u8>,
}

/// Why reading a stream stopped.
enum Stop {
    /// The end mark came.
    Done,
    /// The upstream broke off.
    Broken,
}

impl Relay<'_> {
    fn run(&mut self, mut answer: call::Answer, exchange: Exchange) -> Outcome {
        // Nothing is promised to the caller before the first whole event: until then a failure
        // can still be retried elsewhere.
        let mut first = Vec::new();
        let mut piece = [0; PIECE];
        while first.is_empty() {
            match answer.body.read(&mut piece) {
                Ok(len) if len > 0 && self.events.pending() < MOST_EVENT => {
                    first = self.events.push(&piece[..len]);
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
        head.extend(self.attempt.job.closing.iter().cloned());
        let mut stream = exchange.stream(200, &head).ok();
        telemetry::first_piece(self.attempt.host, self.attempt.started.elapsed().as_secs_f64());
        self.pass(&mut stream, &first);
        let end = self.pass_rest(answer, &mut stream);
        let done = end == AttemptEnd::Completed;
        let kept = done.then(|| self.attempt.keep(200, "text/event-stream", &self.copy)).flatten();
        if let Some(stream) = stream {
            // The last event tells whether the answer is whole; the caller may have gone since.
            let _ = stream.finish();
        }
        Outcome { end, exchange: None, answer: kept }
    }

    /// Hands events to the caller, if it is still there, and to the copy.
    fn pass(&mut self, stream: &mut Option<Stream>, events: &[u8]) {
        let job = self.attempt.job;
        if job.once && self.copy.len() as u64 <= job.kept {
            self.copy.extend_from_slice(events);
        }
        if stream.as_mut().is_some_and(|s| s.send(events).is_err()) {
            *stream = None;
        }
    }

    fn pass_rest(&mut self, answer: call::Answer, stream: &mut Option<Stream>) -> AttemptEnd {
        let mut body = answer.body;
        let mut resumes = 0;
        loop {
            match self.pass_until(&mut *body, stream) {
                Some(Stop::Done) => return AttemptEnd::Completed,
                None => return AttemptEnd::CallerGone,
                Some(Stop::Broken) => {}
            }
            self.events.discard();
            resumes += 1;
            let resumed = (resumes <= MOST_RESUMES).then(|| self.resume()).flatten();
            match resumed {
                Some(next) => body = next,
                None => return self.break_off(stream),
            }
        }
    }

    /// Passes events on until the stream stops; `None` when the caller has gone and the request
    /// may be cancelled.
    fn pass_until(&mut self, body: &mut dyn Read, stream: &mut Option<Stream>) -> Option<Stop> {
        let mut piece = [0; PIECE];
        while !self.events.done {
            let len = match body.read(&mut piece) {
                Ok(len) if len > 0 && self.events.pending() < MOST_EVENT => len,
                _ => return Some(Stop::Broken),
            };
            let events = self.events.push(&piece[..len]);
            if !events.is_empty() {
                self.pass(stream, &events);
            }
            // A once-only request runs to its end, so that a repeat gets the whole answer.
            if stream.is_none() && !self.attempt.job.once {
                return None;
            }
        }
        Some(Stop::Done)
    }

    /// Asks the same engine for the rest of the same run.
    fn resume(&self) -> Option<Box<dyn Read + Send>> {
        let attempt = self.attempt;
        let base = attempt.url.trim_end_matches('/');
        let call = Call {
            method: "GET".into(),
            url: format!("{base}/v1/resume/{}?after={}", attempt.job.request_id, self.events.count),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: attempt.within,
        };
        let answer = attempt.caller.send(&call).ok()?;
        log::info!(
            "event=stream-resumed upstream={} request={} after={} status={}",
            attempt.upstream,
            attempt.job.id,
            self.events.count,
            answer.status
        );
        (answer.status == 200).then_some(answer.body)
    }

    /// Tells the caller that the stream is cut short.
    fn break_off(&self, stream: &mut Option<Stream>) -> AttemptEnd {
        let mut refusal =
            Refusal::new(502, "stream_broken", "the upstream broke off; the answer is cut short");
        refusal.verdict = Verdict::MayHaveRun;
        let event = format!("data: {}\n\n", refusal.object());
        if let Some(stream) = stream {
            // The caller may have gone.
            let _ = stream.send(event.as_bytes());
        }
        AttemptEnd::Failed(Verdict::MayHaveRun)
    }
}
