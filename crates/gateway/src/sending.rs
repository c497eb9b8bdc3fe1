//! One sending of a request to an upstream, up to the head of its answer.

use crate::{
    headers::{end_to_end, stated_rest},
    hub::Hub,
    pool::{self, Connection},
};
use bytes::Bytes;
use http::{Request, Response, header::CONTENT_LENGTH, request::Parts as RequestParts};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::{rc::Rc, time::Duration};
use vanetally_dispatch::{Attempt, AttemptEnd, RequestId};
use vanetally_ports::{AnswerKind, AttemptHead};
use vanetally_types::{Name, Tick};

/// The rest of an answer that turns a request away is read up to this many bytes.
const TURNED_AWAY_BYTES: usize = 256 << 10;
/// The same, for so long: a connection that needs longer is not worth keeping.
const TURNED_AWAY: Duration = Duration::from_millis(200);

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
    pub parts: RequestParts,
    pub body: Bytes,
}

/// Which request goes where: what one sending needs to know.
#[derive(Clone, Copy)]
pub(crate) struct Sending<'a> {
    pub hub: &'a Rc<Hub>,
    pub id: RequestId,
    pub name: &'a Name,
    pub outgoing: &'a Outgoing,
    pub attempt: &'a Attempt,
    /// The last event of a stream that goes on, if it does.
    pub resume_after: Option<&'a Name>,
}

/// Sends the request at the moment that was found for it.
pub(crate) async fn ask_in_time(sending: Sending<'_>) -> Asked {
    let chosen = sending.hub.clock.now();
    let delay_ms = u64::from(sending.attempt.delay_ms);
    let delay = Duration::from_millis(delay_ms);
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    ask(sending, chosen + delay_ms).await
}

/// Sends the request once, and reads the head of the answer. The attempt's deadline counts from
/// `planned`.
async fn ask(sending: Sending<'_>, planned: Tick) -> Asked {
    let Sending { hub, name, attempt, .. } = sending;
    let sent = hub.clock.now();
    let (connection, response) = match send(sending, planned).await {
        Ok(sent) => sent,
        Err(end) => return Asked::Ended(end),
    };
    let (head, body) = response.into_parts();
    let kind = hub.ports.engine.classify_answer(&head, name, &attempt.upstream);
    hub.note_answer(&attempt.upstream, sent, kind, &head);
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
    let body = Limited::new(response.into_body(), TURNED_AWAY_BYTES).collect();
    if let Ok(Ok(_)) = tokio::time::timeout(TURNED_AWAY, body).await {
        hub.pool.put(connection, rest);
    }
}

async fn send(
    sending: Sending<'_>,
    planned: Tick,
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

fn upstream_request(sending: Sending<'_>, planned: Tick) -> Request<Full<Bytes>> {
    let Sending { hub, outgoing, attempt, .. } = sending;
    // Making a connection took some of the time.
    let spent_ms = hub.clock.now().since(planned);
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.parts.method.clone();
    if let Some(path) = outgoing.parts.uri.path_and_query() {
        *request.uri_mut() = path.clone().into();
    }
    *request.headers_mut() = end_to_end(&outgoing.parts.headers);
    request.headers_mut().remove(CONTENT_LENGTH);
    for name in hub.ports.engine.reserved_headers() {
        request.headers_mut().remove(name);
    }
    let head = AttemptHead {
        instance: attempt.upstream.clone(),
        deadline_ms: attempt.deadline_ms.saturating_sub(spent_ms),
        resume_after: sending.resume_after.cloned(),
        origin: attempt.origin.clone(),
    };
    hub.ports.engine.prepare(request.headers_mut(), &head);
    request
}
