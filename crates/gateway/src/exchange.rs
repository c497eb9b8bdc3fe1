//! Handles one request from a caller, from its head to its response.

use crate::{
    charge::Charge,
    command::RequestRefusal,
    framing::is_cut_off,
    headers::{end_to_end, keep_alive_timeout},
    hub::{Hub, Stage},
    pending_request::{Interrupt, PendingRequest, next_interrupt},
    relay, request_body,
    sending::{Outgoing, SendContext, SendOutcome, StartedResponse, send_scheduled},
    telemetry,
};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header::CONNECTION, request::Parts};
use http_body::Body;
use hyper::body::Incoming;
use std::rc::Rc;
use vanetally_callers::{FullBody, OpenRequest, ResponseBody};
use vanetally_dispatch::{Attempt, AttemptEnd, Event};
use vanetally_ports::{CallerRequest, Refusal, RefusalCause};
use vanetally_quarantine::{ContentHash, contents_of};
use vanetally_types::Name;

/// Maximum size of a non-streamed response, which is read completely before it is sent on.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// `Retry-After` where the host has no room for a body: others end meanwhile.
const NO_ROOM_RETRY_MS: u64 = 500;

/// Serves one caller request.
pub(crate) async fn serve(
    hub: Rc<Hub>,
    request: Request<Incoming>,
    open: &OpenRequest,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let mut head = match hub.ports.caller.read(&parts) {
        Ok(head) => head,
        Err(error) => {
            log::info!("event=request_malformed error=\"{error}\"");
            let refusal = Refusal::not_run(RefusalCause::Malformed, None);
            return match body.is_end_stream() {
                true => refuse(&hub, None, &refusal),
                false => refuse_early(&hub, open, None, &refusal),
            };
        }
    };
    let name = head.id.clone();
    let has_body = !body.is_end_stream();
    let body = match request_body::read(&hub, open, body).await {
        Ok(body) => body,
        Err(cause) => {
            let refusal = body_refusal(&hub, cause);
            let cause = refusal.cause;
            log::info!("event=request_refused request={name} cause={}", cause.as_str());
            telemetry::request_arrived();
            telemetry::request_refused(cause, "-");
            return match has_body {
                true => refuse_early(&hub, open, Some(&name), &refusal),
                false => refuse(&hub, Some(&name), &refusal),
            };
        }
    };
    hub.await_configuration(&mut head, body.bytes.len()).await;
    let arrived = hub.clock.now();
    let contents = contents(&parts, &head, &body.bytes);
    let charge = match admit(&hub, &mut head, &contents).await {
        Ok(charge) => charge,
        Err(refusal) => {
            telemetry::request_arrived();
            telemetry::request_refused(refusal.cause, "-");
            log::info!(
                "event=request_refused request={name} cause={} verdict={} version={} retry_after_ms={}",
                refusal.cause.as_str(),
                refusal.verdict,
                hub.version(),
                refusal.retry_after_ms.unwrap_or(0)
            );
            return refuse(&hub, Some(&name), &refusal);
        }
    };
    let (id, commands) = hub.admit(arrived, head, contents);
    let pending = PendingRequest::new(hub.clone(), arrived, id, name, commands, charge);
    let mut response = respond(pending, Outgoing { parts, body }).await;
    if *hub.stage.borrow() > Stage::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the refusal of a request whose body was not read completely.
fn body_refusal(hub: &Hub, cause: RefusalCause) -> Refusal {
    match cause {
        RefusalCause::TooLong => hub.dispatch.borrow().too_long_refusal(hub.clock.now()),
        RefusalCause::NoRoom => Refusal::not_run(cause, Some(NO_ROOM_RETRY_MS)),
        cause => Refusal::not_run(cause, None),
    }
}

/// Authenticates the request, finds the stream that it takes up, and charges its cost to its organisation's quota. A
/// request with a quarantined content waits for nothing and costs nothing.
async fn admit(
    hub: &Rc<Hub>,
    head: &mut CallerRequest,
    contents: &[ContentHash],
) -> Result<Option<Charge>, Refusal> {
    let now = hub.clock.now();
    let identity = hub.dispatch.borrow().identify(now, head)?;
    if let Some(refusal) = hub.dispatch.borrow().quarantine_refusal(now, contents) {
        return Err(refusal);
    }
    hub.find_stream(head).await?;
    match identity {
        Some(organisation) => hub.charge(organisation, head).await,
        None => Ok(None),
    }
}

/// Returns what a request consists of: its body, or method and path without one, and the shared parts of its prompt.
fn contents(parts: &Parts, head: &CallerRequest, body: &Bytes) -> Rc<[ContentHash]> {
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let target = [parts.method.as_str(), path].concat();
    let shared = head.shared_parts().iter().map(|part| part.id);
    contents_of(body, target.as_bytes(), shared).into()
}

async fn respond(mut pending: PendingRequest, outgoing: Outgoing) -> Response<ResponseBody> {
    let mut failure = None;
    loop {
        let attempt = match pending.next_attempt().await {
            Ok(attempt) => attempt,
            Err(refused) => {
                let own_response = refuse_pending(&mut pending, &refused);
                // An error response from an upstream is more specific than the local refusal.
                return failure.unwrap_or(own_response);
            }
        };
        let context = SendContext {
            hub: &pending.hub,
            id: pending.id,
            name: &pending.name,
            outgoing: &outgoing,
            attempt: &attempt,
            resume_after: None,
        };
        let outcome = tokio::select! {
            biased;
            interrupt = next_interrupt(&mut pending.commands, &attempt) => match interrupt {
                Interrupt::Ended(end) => SendOutcome::Ended(end),
                Interrupt::Refused(refused) => return refuse_pending(&mut pending, &refused),
            },
            outcome = send_scheduled(context) => outcome,
        };
        match outcome {
            SendOutcome::Ended(end) => pending.attempt_ended(&attempt, end, false),
            SendOutcome::Unbuilt(error) => {
                let refused = pending.give_up_unbuilt(&error);
                return refuse(&pending.hub, Some(&pending.name), &refused.refusal);
            }
            SendOutcome::Response(started) if attempt.is_stream => {
                return relay::stream(pending, outgoing, attempt, *started);
            }
            SendOutcome::Response(started) => {
                match buffer(&mut pending, &attempt, *started).await {
                    Buffered::Final(response) => return response,
                    Buffered::Failure(response) => failure = Some(response),
                    Buffered::Broken => {}
                }
            }
        }
    }
}

fn refuse_pending(
    pending: &mut PendingRequest,
    refused: &RequestRefusal,
) -> Response<ResponseBody> {
    pending.record_refusal(refused);
    refuse(&pending.hub, Some(&pending.name), &refused.refusal)
}

fn refuse(hub: &Hub, name: Option<&Name>, refusal: &Refusal) -> Response<ResponseBody> {
    hub.ports.caller.refuse(name, refusal).map(|body| ResponseBody::Full(body.into()))
}

/// Refuses a request whose body was not read completely. Its connection carries no other one.
fn refuse_early(
    hub: &Hub,
    open: &OpenRequest,
    name: Option<&Name>,
    refusal: &Refusal,
) -> Response<ResponseBody> {
    open.refused_early();
    let mut response = refuse(hub, name, refusal);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Result of reading a non-streamed response completely.
enum Buffered {
    /// The final response for the caller.
    Final(Response<ResponseBody>),
    /// An upstream error response, sent to the caller unless another attempt succeeds.
    Failure(Response<ResponseBody>),
    /// The response was truncated.
    Broken,
}

/// Reads a response completely before any of it is sent to the caller.
async fn buffer(
    pending: &mut PendingRequest,
    attempt: &Attempt,
    started: StartedResponse,
) -> Buffered {
    let StartedResponse { connection, response, is_success } = started;
    let keep_alive = keep_alive_timeout(response.headers());
    let (mut head, body) = response.into_parts();
    pending.hub.request_event(Event::FirstPiece { id: pending.id });
    let body = tokio::select! {
        biased;
        interrupt = next_interrupt(&mut pending.commands, attempt) => match interrupt {
            Interrupt::Ended(end) => Err(end),
            Interrupt::Refused(refused) => {
                return Buffered::Final(refuse_pending(pending, &refused));
            }
        },
        body = FullBody::read(&pending.hub.callers, body, MAX_BUFFERED_BYTES) => {
            body.map_err(|_| pending.hub.broken_end(attempt, &connection))
        }
    };
    let body = match body {
        Ok(body) if is_success && is_cut_off(&head.headers, body.bytes()) => {
            pending.attempt_ended(attempt, AttemptEnd::Broken, false);
            return Buffered::Broken;
        }
        Ok(body) => body,
        Err(end) => {
            pending.attempt_ended(attempt, end, false);
            return Buffered::Broken;
        }
    };
    pending.hub.pool.put(connection, keep_alive);
    head.headers = end_to_end(&head.headers);
    let response = Response::from_parts(head, ResponseBody::Full(body));
    if !is_success && attempt.may_repeat {
        pending.attempt_ended(attempt, AttemptEnd::Failed, false);
        return Buffered::Failure(response);
    }
    let end = if is_success { AttemptEnd::Served } else { AttemptEnd::Failed };
    pending.attempt_ended(attempt, end, true);
    telemetry::request_answered(pending.age_seconds());
    pending.finish();
    Buffered::Final(response)
}
