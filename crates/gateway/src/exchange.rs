//! One request from a caller, from its head to its answer.

use crate::{
    answer::Answer,
    hub::{Command, Hub, Stage},
    pool::{self, Connection},
    relay, telemetry,
};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    request::Parts,
};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::mpsc;
use vanetally_dispatch::{Attempt, AttemptEnd, Event, RequestId};
use vanetally_ports::{AnswerKind, AttemptHead, Refusal, RefusalCause};
use vanetally_types::Name;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 10] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// Answers of up to this many bytes are read whole before they go on, where they are no stream.
const WHOLE_BYTES: usize = 256 << 10;
/// For the rest of an answer that turns a request away.
const TURNED_AWAY: Duration = Duration::from_millis(200);

/// A request that has no whole answer yet. Dropped before its end, it tells that its caller left.
pub(crate) struct Caller {
    pub hub: Rc<Hub>,
    pub id: RequestId,
    /// The caller's name for the request.
    pub name: Name,
    pub arrived: Instant,
    pub commands: mpsc::UnboundedReceiver<Command>,
    is_over: bool,
}

impl Caller {
    /// The request has its final answer.
    pub(crate) fn finish(&mut self) {
        self.is_over = true;
        self.hub.forget(self.id);
    }

    /// An attempt ended; the decisions answer with a command unless it was served.
    pub(crate) fn attempt_ended(&self, attempt: &Attempt, end: AttemptEnd, answered: bool) {
        telemetry::attempt_ended(end);
        if end != AttemptEnd::Served {
            log::info!(
                "event=attempt_ended request={} upstream={} number={} end={} answered={answered} \
                 after_ms={}",
                self.name,
                attempt.upstream,
                attempt.number,
                end.as_str(),
                self.arrived.elapsed().as_millis()
            );
        }
        self.hub.request_event(Event::AttemptEnded { id: self.id, end, answered });
    }

    /// The next command.
    pub(crate) async fn command(&mut self) -> Command {
        // The sender lives until the request is forgotten, which only its end does.
        let lost = Refusal::may_have_run(RefusalCause::UpstreamFailed);
        self.commands.recv().await.unwrap_or(Command::Refuse(lost))
    }

    /// Notes the final answer of the product's own.
    pub(crate) fn refused(&mut self, refusal: &Refusal) {
        telemetry::refused(refusal.cause);
        log::info!(
            "event=request_refused request={} cause={} verdict={} retry_after_ms={} after_ms={}",
            self.name,
            refusal.cause.as_str(),
            refusal.verdict,
            refusal.retry_after_ms.unwrap_or(0),
            self.arrived.elapsed().as_millis()
        );
        self.finish();
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        telemetry::caller_left();
        log::info!(
            "event=caller_left request={} after_ms={}",
            self.name,
            self.arrived.elapsed().as_millis()
        );
        self.hub.forget(self.id);
        self.hub.request_event(Event::CallerLeft { id: self.id });
    }
}

/// What an attempt brought.
pub(crate) enum Asked {
    /// The head of an answer that goes to the caller.
    Answer(Box<Started>),
    /// Nothing for the caller.
    Ended(AttemptEnd),
}

/// An answer that has begun.
pub(crate) struct Started {
    pub connection: Connection,
    pub response: Response<Incoming>,
    pub is_success: bool,
}

/// What is sent upstream, again and again if need be.
pub(crate) struct Outgoing {
    pub parts: Parts,
    pub body: Bytes,
}

/// Serves one request.
pub(crate) async fn serve(hub: Rc<Hub>, request: Request<Incoming>) -> Response<Answer> {
    let (parts, body) = request.into_parts();
    let head = match hub.ports.caller.read(&parts) {
        Ok(head) => head,
        Err(error) => {
            log::info!("event=request_malformed error=\"{error}\"");
            return refuse(&hub, None, &Refusal::not_run(RefusalCause::Malformed, None));
        }
    };
    let name = head.id.clone();
    let body = match read_body(&hub, body).await {
        Ok(body) => body,
        Err(cause) => {
            log::info!("event=request_refused request={name} cause={}", cause.as_str());
            return refuse(&hub, Some(&name), &Refusal::not_run(cause, None));
        }
    };
    let (id, commands) = hub.admit(head);
    let caller =
        Caller { hub: hub.clone(), id, name, arrived: Instant::now(), commands, is_over: false };
    let mut response = answer(caller, Outgoing { parts, body }).await;
    if *hub.stage.borrow() > Stage::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn read_body(hub: &Hub, body: Incoming) -> Result<Bytes, RefusalCause> {
    let limited = Limited::new(body, hub.limits().body_bytes);
    match limited.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(RefusalCause::TooLong),
        Err(_) => Err(RefusalCause::Malformed),
    }
}

async fn answer(mut caller: Caller, outgoing: Outgoing) -> Response<Answer> {
    let mut failure = None;
    loop {
        let attempt = match caller.command().await {
            Command::Send(attempt) => attempt,
            Command::Refuse(refusal) => {
                let own = refused(&mut caller, &refusal);
                // What an upstream itself answered says more than that it failed.
                return failure.unwrap_or(own);
            }
        };
        let sending = Sending {
            hub: &caller.hub,
            id: caller.id,
            name: &caller.name,
            outgoing: &outgoing,
            attempt: &attempt,
            resume_after: None,
        };
        let asked = tokio::select! {
            biased;
            command = caller.commands.recv() => {
                let refusal = match command {
                    Some(Command::Refuse(refusal)) => refusal,
                    _ => Refusal::may_have_run(RefusalCause::UpstreamFailed),
                };
                return refused(&mut caller, &refusal);
            }
            asked = ask_in_time(sending) => asked,
        };
        match asked {
            Asked::Ended(end) => caller.attempt_ended(&attempt, end, false),
            Asked::Answer(started) if attempt.is_stream => {
                return relay::stream(caller, outgoing, attempt, *started);
            }
            Asked::Answer(started) => match whole(&mut caller, &attempt, *started).await {
                Whole::Final(response) => return response,
                Whole::Failure(response) => failure = Some(response),
                Whole::Broken => {}
            },
        }
    }
}

fn refused(caller: &mut Caller, refusal: &Refusal) -> Response<Answer> {
    caller.refused(refusal);
    refuse(&caller.hub, Some(&caller.name), refusal)
}

fn refuse(hub: &Hub, name: Option<&Name>, refusal: &Refusal) -> Response<Answer> {
    hub.ports.caller.refuse(name, refusal).map(|body| Answer::Whole(Some(body)))
}

/// Which request goes where: what one sending needs to know.
#[derive(Clone, Copy)]
pub(crate) struct Sending<'a> {
    pub hub: &'a Hub,
    pub id: RequestId,
    pub name: &'a Name,
    pub outgoing: &'a Outgoing,
    pub attempt: &'a Attempt,
    /// The last event of a stream that goes on, if it does.
    pub resume_after: Option<&'a Name>,
}

/// Sends the request at the moment that was found for it.
pub(crate) async fn ask_in_time(sending: Sending<'_>) -> Asked {
    let chosen = Instant::now();
    let delay = Duration::from_millis(sending.attempt.delay_ms.into());
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    ask(sending, chosen + delay).await
}

/// Sends the request once, and reads the head of the answer. The attempt's deadline counts from
/// `planned`.
async fn ask(sending: Sending<'_>, planned: Instant) -> Asked {
    let Sending { hub, name, attempt, .. } = sending;
    let (connection, response) = match send(sending, planned).await {
        Ok(sent) => sent,
        Err(end) => return Asked::Ended(end),
    };
    let (head, body) = response.into_parts();
    let kind = hub.ports.engine.judge(&head, name, &attempt.upstream);
    let response = Response::from_parts(head, body);
    match kind {
        AnswerKind::Success | AnswerKind::Failure => Asked::Answer(Box::new(Started {
            connection,
            response,
            is_success: kind == AnswerKind::Success,
        })),
        AnswerKind::Full => {
            drain(hub, connection, response).await;
            Asked::Ended(AttemptEnd::Full)
        }
        AnswerKind::Absent => {
            drain(hub, connection, response).await;
            Asked::Ended(AttemptEnd::Absent)
        }
        AnswerKind::Replaced => {
            hub.pool.distrust(attempt.address);
            Asked::Ended(AttemptEnd::Replaced)
        }
        AnswerKind::Foreign | AnswerKind::Unsigned => {
            hub.pool.distrust(attempt.address);
            log::warn!(
                "event=answer_rejected request={name} upstream={} status={} kind={kind:?}",
                attempt.upstream,
                response.status().as_u16()
            );
            Asked::Ended(AttemptEnd::Broken)
        }
    }
}

/// Reads the rest of a short answer, so that its connection can be kept.
async fn drain(hub: &Hub, connection: Connection, response: Response<Incoming>) {
    let rest = stated_rest(response.headers());
    let body = Limited::new(response.into_body(), WHOLE_BYTES).collect();
    if let Ok(Ok(_)) = tokio::time::timeout(TURNED_AWAY, body).await {
        hub.pool.put(connection, rest);
    }
}

async fn send(
    sending: Sending<'_>,
    planned: Instant,
) -> Result<(Connection, Response<Incoming>), AttemptEnd> {
    let Sending { hub, attempt, .. } = sending;
    let (address, most) = (attempt.address, attempt.connections);
    let mut connection = match hub.pool.get(address, most).await {
        Ok(connection) => connection,
        Err(error) => return Err(unreachable_end(attempt, &error)),
    };
    loop {
        if !hub.dispatch.borrow().may_send(hub.clock.now(), sending.id) {
            return Err(AttemptEnd::Withdrawn);
        }
        let request = upstream_request(sending, planned);
        match connection.sender.try_send_request(request).await {
            Ok(response) => return Ok((connection, response)),
            Err(mut error) => match error.take_message() {
                // A kept connection had just closed: the request was never sent.
                Some(_) if connection.is_used => {
                    connection = match hub.pool.connect(address, most).await {
                        Ok(connection) => connection,
                        Err(error) => return Err(unreachable_end(attempt, &error)),
                    };
                }
                Some(_) => return Err(AttemptEnd::Unreachable),
                None => {
                    log::info!(
                        "event=answer_missing upstream={} kept={} error=\"{}\"",
                        attempt.upstream,
                        connection.is_used,
                        error.into_error()
                    );
                    return Err(AttemptEnd::Broken);
                }
            },
        }
    }
}

fn unreachable_end(attempt: &Attempt, error: &pool::Error) -> AttemptEnd {
    log::info!("event=connect_failed upstream={} error=\"{error}\"", attempt.upstream);
    AttemptEnd::Unreachable
}

fn upstream_request(sending: Sending<'_>, planned: Instant) -> Request<Full<Bytes>> {
    let Sending { hub, outgoing, attempt, .. } = sending;
    // Making a connection took some of the time.
    let spent_ms = planned.elapsed().as_millis() as u64;
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.parts.method.clone();
    if let Some(path) = outgoing.parts.uri.path_and_query() {
        *request.uri_mut() = path.clone().into();
    }
    *request.headers_mut() = end_to_end(&outgoing.parts.headers);
    request.headers_mut().remove(CONTENT_LENGTH);
    let head = AttemptHead {
        instance: attempt.upstream.clone(),
        deadline_ms: attempt.deadline_ms.saturating_sub(spent_ms),
        priority: attempt.priority,
        resume_after: sending.resume_after.cloned(),
    };
    hub.ports.engine.prepare(request.headers_mut(), &head);
    request
}

/// The headers that do not concern one connection only.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        kept.remove(name);
    }
    kept
}

/// How long the upstream says that it keeps the connection.
pub(crate) fn stated_rest(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// An answer that was read whole, or not.
enum Whole {
    /// It goes to the caller.
    Final(Response<Answer>),
    /// The upstream failed: it goes to the caller if nobody does better.
    Failure(Response<Answer>),
    /// It broke off.
    Broken,
}

/// Reads an answer whole before any of it goes to the caller.
async fn whole(caller: &mut Caller, attempt: &Attempt, started: Started) -> Whole {
    let Started { connection, response, is_success } = started;
    let rest = stated_rest(response.headers());
    let (mut head, body) = response.into_parts();
    caller.hub.request_event(Event::FirstPiece { id: caller.id });
    let body = tokio::select! {
        biased;
        command = caller.commands.recv() => {
            let refusal = match command {
                Some(Command::Refuse(refusal)) => refusal,
                _ => Refusal::may_have_run(RefusalCause::UpstreamFailed),
            };
            return Whole::Final(refused(caller, &refusal));
        }
        body = Limited::new(body, WHOLE_BYTES).collect() => body,
    };
    let Ok(body) = body else {
        caller.attempt_ended(attempt, AttemptEnd::Broken, false);
        return Whole::Broken;
    };
    caller.hub.pool.put(connection, rest);
    head.headers = end_to_end(&head.headers);
    let response = Response::from_parts(head, Answer::Whole(Some(body.to_bytes())));
    if !is_success && attempt.may_repeat {
        caller.attempt_ended(attempt, AttemptEnd::Failed, false);
        return Whole::Failure(response);
    }
    let end = if is_success { AttemptEnd::Served } else { AttemptEnd::Failed };
    caller.attempt_ended(attempt, end, true);
    telemetry::answered(caller.arrived.elapsed().as_secs_f64());
    caller.finish();
    Whole::Final(response)
}
