//! One request from a caller, from its head to its answer.

use crate::{
    answer::Answer,
    caller::{Caller, Interrupt, interrupted},
    headers::{end_to_end, stated_rest},
    hub::{Hub, Refused, Stage},
    quotas::Charge,
    relay,
    sending::{Asked, Outgoing, Sending, Started, ask_in_time},
    telemetry,
};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header::CONNECTION, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::rc::Rc;
use vanetally_dispatch::{Attempt, AttemptEnd, Event};
use vanetally_ports::{CallerRequest, Refusal, RefusalCause};
use vanetally_quarantine::ContentHash;
use vanetally_types::{Name, hash64};

/// Answers of up to this many bytes are read whole before they go on, where they are no stream.
const WHOLE_BYTES: usize = 256 << 10;

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
    let charge = match admission(&hub, &head).await {
        Ok(charge) => charge,
        Err(refusal) => {
            telemetry::arrived();
            telemetry::refused(refusal.cause, "-");
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
    let (id, commands) = hub.admit(head, content(&parts, &body));
    let caller = Caller::new(hub.clone(), id, name, commands, charge);
    let mut response = answer(caller, Outgoing { parts, body }).await;
    if *hub.stage.borrow() > Stage::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Whether the caller may send the request at all; what it takes of its organisation's quota.
async fn admission(hub: &Rc<Hub>, head: &CallerRequest) -> Result<Option<Charge>, Refusal> {
    let identity = hub.dispatch.borrow().identify(hub.clock.now(), head)?;
    match identity {
        Some(organisation) => hub.charge(organisation, head).await,
        None => Ok(None),
    }
}

/// What is common to requests that say the same.
fn content(parts: &Parts, body: &Bytes) -> ContentHash {
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let mut bytes = Vec::with_capacity(path.len() + body.len() + 8);
    bytes.extend_from_slice(parts.method.as_str().as_bytes());
    bytes.extend_from_slice(path.as_bytes());
    bytes.extend_from_slice(body);
    hash64(&bytes)
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
            Ok(attempt) => attempt,
            Err(refused) => {
                let own = refuse_caller(&mut caller, &refused);
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
            interrupt = interrupted(&mut caller.commands, &attempt) => match interrupt {
                Interrupt::Abandoned => Asked::Ended(AttemptEnd::Broken),
                Interrupt::Refused(refused) => return refuse_caller(&mut caller, &refused),
            },
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

fn refuse_caller(caller: &mut Caller, refused: &Refused) -> Response<Answer> {
    caller.refused(refused);
    refuse(&caller.hub, Some(&caller.name), &refused.refusal)
}

fn refuse(hub: &Hub, name: Option<&Name>, refusal: &Refusal) -> Response<Answer> {
    hub.ports.caller.refuse(name, refusal).map(|body| Answer::Whole(Some(body)))
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
        interrupt = interrupted(&mut caller.commands, attempt) => match interrupt {
            Interrupt::Abandoned => None,
            Interrupt::Refused(refused) => {
                return Whole::Final(refuse_caller(caller, &refused));
            }
        },
        body = Limited::new(body, WHOLE_BYTES).collect() => body.ok(),
    };
    let Some(body) = body else {
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
    telemetry::answered(caller.age_seconds());
    caller.finish();
    Whole::Final(response)
}
