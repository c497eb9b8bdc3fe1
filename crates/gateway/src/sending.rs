//! Sends a request to an upstream once, up to the head of the response.

use crate::{
    connect::connect_upstream,
    headers::{end_to_end, keep_alive_timeout, may_answer, remove_listed},
    hub::Hub,
    pool::Connection,
};
use bytes::Bytes;
use http::{Request, Response, header::CONTENT_LENGTH, request::Parts as RequestParts};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::{rc::Rc, time::Duration};
use vanetally_callers::RequestBody;
use vanetally_dispatch::{Attempt, AttemptEnd, RequestId};
use vanetally_ports::{AnswerKind, AttemptHead, Built, RequestError};
use vanetally_reach::{AttemptId, Event};
use vanetally_types::{Name, Tick};

/// Maximum size of the body of a rejecting response that is read to reuse the connection.
const MAX_DRAINED_BYTES: usize = 256 << 10;
/// Maximum time to read such a body; a connection that needs longer is not worth keeping.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Outcome of sending an attempt.
pub(crate) enum SendOutcome {
    /// A response for the caller, up to its head.
    Response(Box<StartedResponse>),
    /// The attempt ended without a response for the caller.
    Ended(AttemptEnd),
    /// The request can't be built for the attempt, and was not sent.
    Unbuilt(RequestError),
}

impl From<AttemptEnd> for SendOutcome {
    fn from(end: AttemptEnd) -> Self {
        Self::Ended(end)
    }
}

/// A response whose head has been received.
pub(crate) struct StartedResponse {
    pub connection: Connection,
    pub response: Response<Incoming>,
    pub is_success: bool,
}

/// The request as sent upstream, kept for retries.
pub(crate) struct Outgoing {
    pub parts: RequestParts,
    pub body: RequestBody,
}

/// The request, its attempt and the context needed to send it.
#[derive(Clone, Copy)]
pub(crate) struct SendContext<'a> {
    pub hub: &'a Rc<Hub>,
    pub id: RequestId,
    pub name: &'a Name,
    pub outgoing: &'a Outgoing,
    pub attempt: &'a Attempt,
    /// Id of the last event received, if a stream is resumed.
    pub resume_after: Option<&'a Name>,
}

/// Sends the request at its assigned send time.
pub(crate) async fn send_scheduled(context: SendContext<'_>) -> SendOutcome {
    let started = context.hub.clock.now();
    let delay_ms = u64::from(context.attempt.delay_ms);
    let delay = Duration::from_millis(delay_ms);
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    send_and_classify(context, started + delay_ms).await
}

/// Sends the request and reads the head of the response. The attempt's deadline counts from
/// `scheduled`.
async fn send_and_classify(context: SendContext<'_>, scheduled: Tick) -> SendOutcome {
    let SendContext { hub, name, attempt, .. } = context;
    let sent = hub.clock.now();
    let (connection, response) = match send(context, scheduled).await {
        Ok(sent) => sent,
        Err(outcome) => return outcome,
    };
    let (mut head, body) = response.into_parts();
    remove_listed(&mut head.headers);
    // It may belong to any of the requests that the connection has carried.
    let is_unnamed = connection.is_used && !hub.ports.engine.names_request(&head);
    let is_unasked = !may_answer(head.status, &context.outgoing.parts.headers);
    let kind = match is_unnamed || is_unasked {
        true => AnswerKind::Foreign,
        false => hub.ports.engine.classify_answer(&head, name, &attempt.upstream),
    };
    hub.handle_response_head(&attempt.upstream, sent, kind, &head);
    let response = Response::from_parts(head, body);
    match kind {
        AnswerKind::Success | AnswerKind::Failure => {
            SendOutcome::Response(Box::new(StartedResponse {
                connection,
                response,
                is_success: kind == AnswerKind::Success,
            }))
        }
        AnswerKind::Full => {
            drain(hub, connection, response).await;
            SendOutcome::Ended(AttemptEnd::Full)
        }
        AnswerKind::Absent => {
            drain(hub, connection, response).await;
            SendOutcome::Ended(AttemptEnd::Absent)
        }
        AnswerKind::Replaced => {
            hub.pool.drop_idle(attempt.address);
            SendOutcome::Ended(AttemptEnd::Replaced)
        }
        AnswerKind::Foreign | AnswerKind::Unsigned | AnswerKind::Unproven => {
            if kind != AnswerKind::Unproven {
                hub.pool.drop_idle(attempt.address);
            }
            log::warn!(
                "event=answer_rejected request={name} upstream={} status={} kind={kind:?}",
                attempt.upstream,
                response.status().as_u16()
            );
            SendOutcome::Ended(AttemptEnd::Broken)
        }
    }
}

/// Reads the rest of a short response, so that its connection can be reused.
async fn drain(hub: &Hub, connection: Connection, response: Response<Incoming>) {
    let keep_alive = keep_alive_timeout(response.headers());
    let mut body = Limited::new(response.into_body(), MAX_DRAINED_BYTES);
    let is_whole = async {
        loop {
            match body.frame().await {
                None => break true,
                Some(Ok(_)) => {}
                Some(Err(_)) => break false,
            }
        }
    };
    if tokio::time::timeout(DRAIN_TIMEOUT, is_whole).await == Ok(true) {
        hub.pool.put(connection, keep_alive);
    }
}

async fn send(
    context: SendContext<'_>,
    scheduled: Tick,
) -> Result<(Connection, Response<Incoming>), SendOutcome> {
    let SendContext { hub, attempt, .. } = context;
    let mut connection = connect_upstream(hub, attempt, context.name, true).await?;
    loop {
        if !hub.dispatch.borrow().may_send(hub.clock.now(), context.id) {
            return Err(AttemptEnd::Withdrawn.into());
        }
        let request = upstream_request(context, scheduled).map_err(SendOutcome::Unbuilt)?;
        connection.carried.record(context.name);
        let (upstream, exit) = (attempt.upstream.clone(), connection.exit().cloned());
        hub.reach_event(Event::Sent { attempt: AttemptId::Own(context.id.0), upstream, exit });
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                hub.upstream_heard(&attempt.upstream, &connection, !connection.is_used);
                return Ok((connection, response));
            }
            Err(mut error) => match error.take_message() {
                // The pooled connection had just closed, so the request was never sent.
                Some(_) if connection.is_used => {
                    connection = connect_upstream(hub, attempt, context.name, false).await?;
                }
                Some(_) => {
                    hub.reach_event(Event::ConnectFailed(attempt.upstream.clone()));
                    return Err(hub.unsent_end().into());
                }
                None => {
                    log::info!(
                        "event=answer_missing upstream={} kept={} error=\"{}\"",
                        attempt.upstream,
                        connection.is_used,
                        error.into_error()
                    );
                    return Err(hub.broken_end(attempt, &connection).into());
                }
            },
        }
    }
}

#[expect(clippy::disallowed_methods, reason = "the caller's path goes on unchanged")]
fn upstream_request(context: SendContext<'_>, scheduled: Tick) -> Built<Request<Full<Bytes>>> {
    let SendContext { hub, outgoing, attempt, .. } = context;
    // Connecting has used part of the deadline.
    let spent_ms = hub.clock.now().since(scheduled);
    let mut request = Request::new(Full::new(outgoing.body.bytes.clone()));
    *request.method_mut() = outgoing.parts.method.clone();
    let path = outgoing.parts.uri.path_and_query().cloned();
    let path = path.ok_or_else(|| RequestError::new("target", "no path"))?;
    *request.uri_mut() = path.into();
    *request.headers_mut() = end_to_end(&outgoing.parts.headers);
    request.headers_mut().remove(CONTENT_LENGTH);
    for name in hub.ports.engine.reserved_headers() {
        request.headers_mut().remove(name);
    }
    let head = AttemptHead {
        instance: attempt.upstream.clone(),
        deadline_ms: attempt.deadline_ms.saturating_sub(spent_ms),
        resume_after: context.resume_after.cloned(),
        origin: attempt.origin.clone(),
    };
    hub.ports.engine.prepare(request.headers_mut(), &head)?;
    Ok(request)
}
