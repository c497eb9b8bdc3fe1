//! HTTP interface for callers: handles a request from its arrival to the final answer.

use crate::{
    admin,
    admission::{admit, authenticate, deadline, idempotency_key},
    answer_room::AnswerRoom,
    hub::{Decision, Input},
    proxy::Attempt,
    refusal::Refusal,
    shared::Shared,
    telemetry,
};
use bytes::Bytes;
use serde_json::{Value, json, value::RawValue};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::Ordering,
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    time::{Duration, Instant},
};
use vanetally_claim::Id;
use vanetally_config::{Revision, catalog::Caller};
use vanetally_core::{Arrival, Event, service_entry};
use vanetally_link::{
    call::Client,
    http::{BodyError, Exchange, Head, Reply},
};
use vanetally_route::{AttemptEnd, Request};
use vanetally_types::{Name, Tick, Verdict, hash64, hash64_of};

/// A caller's request as it is sent to upstreams.
pub(crate) struct UpstreamRequest {
    /// The request's number on this host.
    pub id: u64,
    /// The request's id at upstreams.
    pub request_id: String,
    pub method: String,
    /// Path and query.
    pub path: String,
    pub headers: Vec<(String, String)>,
    body: Body,
    /// Whether the target is a service and not a model.
    pub is_service: bool,
    pub once_only: bool,
    /// Maximum size of an answer that is stored for repeats.
    pub max_kept_bytes: u64,
    pub fingerprint: u64,
    /// Response headers that make the caller reconnect; set while this host is stopping.
    pub closing_headers: Vec<(String, String)>,
}

enum Body {
    /// Sent unchanged.
    Plain(Bytes),
    /// A JSON object in which the entry's id replaces the model's name.
    Model(Completion),
}

/// The fields of a completion, as their JSON text.
type Completion = BTreeMap<String, Box<RawValue>>;

impl UpstreamRequest {
    /// Returns the body for an upstream that holds `entry`.
    pub fn body_for(&self, entry: &Name) -> Vec<u8> {
        match &self.body {
            Body::Plain(bytes) => bytes.to_vec(),
            Body::Model(fields) => {
                let model = json!(&**entry).to_string();
                let values = fields.iter().map(|(name, value)| match name.as_str() {
                    MODEL_FIELD => (name, model.as_str()),
                    _ => (name, value.get()),
                });
                let fields: Vec<String> =
                    values.map(|(name, value)| format!("{}:{value}", json!(name))).collect();
                format!("{{{}}}", fields.join(",")).into_bytes()
            }
        }
    }
}

/// A request that passed all checks.
struct AdmittedRequest {
    upstream_request: UpstreamRequest,
    arrival: Arrival,
    class: Name,
}

/// Serves callers.
pub(crate) struct Frontend {
    pub shared: Arc<Shared>,
    pub hub: Sender<Input>,
    pub client: Client,
    /// Room for what upstreams answer.
    pub room: AnswerRoom,
}

/// Maximum time after a request's deadline until the event loop has decided.
const DECISION_SLACK: Duration = Duration::from_secs(5);
/// Path of the list of models.
const MODELS_PATH: &str = "/v1/models";
/// Time after which a request that found no room may come back.
const NO_ROOM_RETRY_MS: u64 = 1_000;
/// Number of prompt bytes that are hashed for prefix affinity.
const PREFIX_BYTES: usize = 256;
/// Field of a completion with the name of the model.
const MODEL_FIELD: &str = "model";

impl Frontend {
    /// Returns the answer to a request whose head shows that it can't be served.
    pub fn check(&self, head: &Head) -> Option<Reply> {
        if admin::health(&self.shared, head.path()).is_some() {
            return None;
        }
        let refusal = self.check_caller(&self.shared.revision(), head).err()?;
        telemetry::count_request(&self.shared.settings.host, "", "", &refusal.code);
        Some(refusal.reply())
    }

    /// Returns the caller who sends a request.
    fn check_caller<'a>(&self, revision: &'a Revision, head: &Head) -> Result<&'a Caller, Refusal> {
        if revision.number == 0 && head.path() != MODELS_PATH {
            let mut refusal =
                Refusal::new(503, "no_configuration", "no configuration is known yet");
            refusal.retry_after_ms = Some(2_000);
            return Err(refusal);
        }
        authenticate(&revision.catalog, head.header("Authorization"))
    }

    /// Serves one exchange.
    pub fn serve(&self, exchange: Exchange) {
        let started = Instant::now();
        if let Some(reply) = admin::health(&self.shared, exchange.head().path()) {
            return exchange.answer(reply);
        }
        if exchange.head().path() == MODELS_PATH {
            let reply = self.models(exchange.head()).unwrap_or_else(|r| r.reply());
            return exchange.answer(reply);
        }
        match self.admit(&exchange) {
            Ok(admitted) => self.execute(admitted, exchange, started),
            Err(refusal) => {
                telemetry::count_request(&self.shared.settings.host, "", "", &refusal.code);
                exchange.answer(refusal.reply());
            }
        }
    }

    /// Returns the models and adapters that the caller may reach.
    fn models(&self, head: &Head) -> Result<Reply, Refusal> {
        let revision = self.shared.revision();
        let catalog = &revision.catalog;
        let caller = self.check_caller(&revision, head)?;
        let models = catalog.models.iter().map(|m| (&m.name, &m.labels));
        let adapters = catalog.adapters.iter().map(|a| (&a.name, &a.labels));
        let rows: Vec<Value> = models
            .chain(adapters)
            .filter(|(_, labels)| catalog.admits(&caller.labels, labels))
            .map(|(name, _)| json!({"id": name, "object": "model", "owned_by": "operators"}))
            .collect();
        Ok(Reply::json(200, &json!({"object": "list", "data": rows})))
    }

    /// Reads and checks a request.
    fn admit(&self, exchange: &Exchange) -> Result<AdmittedRequest, Refusal> {
        let head = exchange.head();
        let revision = self.shared.revision();
        let catalog = &revision.catalog;
        let caller = self.check_caller(&revision, head)?;
        let method = head.method().to_owned();
        let url = head.url().to_owned();
        let service = url.strip_prefix("/services/").map(|path| path.to_owned());
        let completion = matches!(head.path(), "/v1/chat/completions" | "/v1/completions");
        if service.is_none() && !completion {
            let text = format!("there is nothing at `{}`", head.path());
            return Err(Refusal::new(404, "unknown_path", &text));
        }
        if completion && method != "POST" {
            return Err(Refusal::new(405, "method_not_allowed", "use POST"));
        }
        let body = self.read_body(exchange)?;
        let fingerprint = hash64_of(&[method.as_bytes(), url.as_bytes(), &body]);
        let (target, path, body, prefix) = match &service {
            Some(service_path) => {
                let end = service_path.find(['/', '?']).unwrap_or(service_path.len());
                let (name, path) = service_path.split_at(end);
                let target = catalog.service_target(name);
                let target = admit(catalog, caller, "service", name, target)?;
                let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
                (target, path, Body::Plain(body), 0)
            }
            None => {
                let (value, name, prefix) = parse_completion(&body)?;
                let target = admit(catalog, caller, "model", &name, catalog.model_target(&name))?;
                (target, url, Body::Model(value), prefix)
            }
        };
        let now = self.shared.clock.now();
        let timing = &self.shared.settings.timing;
        let deadline =
            deadline(head.header("X-Deadline"), now, timing.deadline.0, timing.horizon.0)?;
        let key = idempotency_key(
            catalog.is_once(&target.labels),
            head.header("Idempotency-Key"),
            head.header("X-Once-Only"),
        )?;
        let (class, rank) = catalog.class_of(&caller.labels, &target.labels);
        let id = self.shared.next_id();
        let request_id =
            format!("{}-{}-{id}", self.shared.host_id.name, self.shared.host_id.incarnation);
        let headers = match service {
            Some(_) => service_headers(head, &caller.name, &request_id, deadline),
            None => engine_headers(&request_id, rank, deadline, key),
        };
        let entries =
            if service.is_some() { vec![service_entry(&target.name)] } else { target.entries };
        let claim_id = key.map(|key| Id::from_key(&caller.name, key));
        let request = Request {
            id,
            caller: caller.name.clone(),
            target: target.name,
            entries,
            rank,
            deadline,
            once_only: claim_id.is_some(),
            prefix,
        };
        let upstream_request = UpstreamRequest {
            id,
            request_id,
            method,
            path,
            headers,
            body,
            is_service: service.is_some(),
            once_only: claim_id.is_some(),
            max_kept_bytes: self.shared.settings.limits.kept.0,
            fingerprint,
            closing_headers: self.closing_headers(),
        };
        Ok(AdmittedRequest { upstream_request, arrival: Arrival { request, claim_id }, class })
    }

    fn read_body(&self, exchange: &Exchange) -> Result<Bytes, Refusal> {
        let max = self.shared.settings.limits.body;
        exchange.body().map_err(|error| match error {
            BodyError::TooLong => {
                Refusal::new(413, "body_too_large", &format!("the body is larger than {max}"))
            }
            BodyError::Broken => Refusal::new(400, "body_broken", "the body did not arrive"),
            BodyError::Silent => Refusal::new(408, "body_stopped", "the body stopped arriving"),
            BodyError::NoRoom => {
                let mut refusal = Refusal::new(503, "overloaded", "too many requests at once");
                refusal.retry_after_ms = Some(NO_ROOM_RETRY_MS);
                refusal
            }
        })
    }

    fn closing_headers(&self) -> Vec<(String, String)> {
        match self.shared.stopping.load(Ordering::Relaxed) {
            true => vec![("Connection".into(), "close".into())],
            false => Vec::new(),
        }
    }

    fn execute(&self, admitted: AdmittedRequest, exchange: Exchange, started: Instant) {
        let AdmittedRequest { upstream_request, arrival, class } = admitted;
        let target = arrival.request.target.clone();
        let deadline = arrival.request.deadline;
        let (sender, inbox) = channel();
        let mut guard = EndGuard { hub: &self.hub, id: upstream_request.id, reported: false };
        if self.hub.send(Input::Arrive(arrival, sender)).is_err() {
            guard.reported = true;
            return exchange.answer(stopping_refusal().reply());
        }
        let code = self.follow_decisions(
            &upstream_request,
            &inbox,
            exchange,
            deadline,
            started,
            &mut guard,
        );
        telemetry::count_request(&self.shared.settings.host, &target, &class, &code);
        log::info!(
            "event=request host={} request={} target={target} class={class} outcome={code} ms={}",
            self.shared.settings.host,
            upstream_request.request_id,
            started.elapsed().as_millis()
        );
    }

    /// Executes decisions until the caller has a final answer; returns the outcome's code.
    fn follow_decisions(
        &self,
        request: &UpstreamRequest,
        inbox: &Receiver<Decision>,
        exchange: Exchange,
        deadline: Tick,
        started: Instant,
        guard: &mut EndGuard<'_>,
    ) -> String {
        let mut exchange = exchange;
        loop {
            let remaining = Duration::from_millis(deadline.since(self.shared.clock.now()));
            match inbox.recv_timeout(remaining + DECISION_SLACK) {
                Ok(Decision::Refuse(refused)) => {
                    guard.reported = true;
                    return refuse(exchange, &refused.into());
                }
                Ok(Decision::Replay(answer)) => {
                    guard.reported = true;
                    return replay(request, exchange, &answer);
                }
                Ok(Decision::Call { upstream, url, entry }) => {
                    let attempt = Attempt {
                        request,
                        client: &self.client,
                        room: &self.room,
                        host: &self.shared.settings.host,
                        upstream,
                        url,
                        entry,
                        timeout: remaining.max(Duration::from_millis(1)),
                        started,
                    };
                    let outcome = attempt.run(exchange);
                    let response_started = outcome.exchange.is_none();
                    let event = Event::Ended {
                        id: request.id,
                        end: outcome.end,
                        response_started,
                        answer: outcome.answer,
                    };
                    guard.reported = response_started;
                    if self.hub.send(Input::Core(event)).is_err() {
                        log::warn!("event=end-unreported request={}", request.id);
                    }
                    match outcome.exchange {
                        Some(unanswered) => exchange = unanswered,
                        None => return outcome_code(outcome.end).into(),
                    }
                }
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    let mut refusal = stopping_refusal();
                    refusal.verdict = Verdict::MayHaveRun;
                    return refuse(exchange, &refusal);
                }
            }
        }
    }
}

/// Reports the end of an exchange when dropped, unless it has been reported.
struct EndGuard<'a> {
    hub: &'a Sender<Input>,
    id: u64,
    reported: bool,
}

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        if !self.reported {
            let end = AttemptEnd::Failed(Verdict::MayHaveRun);
            let event = Event::Ended { id: self.id, end, response_started: true, answer: None };
            // Fails if the loop has ended.
            let _ = self.hub.send(Input::Core(event));
        }
    }
}

fn refuse(exchange: Exchange, refusal: &Refusal) -> String {
    exchange.answer(refusal.reply());
    refusal.code.clone()
}

fn replay(
    request: &UpstreamRequest,
    exchange: Exchange,
    answer: &vanetally_claim::Answer,
) -> String {
    if answer.fingerprint != request.fingerprint {
        let text = "this Idempotency-Key belongs to another request";
        return refuse(exchange, &Refusal::new(422, "idempotency_key_reused", text));
    }
    let reply = Reply::new(answer.status, &answer.content_type, answer.body.clone())
        .with_header("X-Verdict", Verdict::Ran.as_str())
        .with_header("X-Replayed", "true");
    exchange.answer(reply);
    "replayed".into()
}

fn outcome_code(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Completed => "ok",
        AttemptEnd::CallerGone => "caller_gone",
        AttemptEnd::Failed(_) => "stream_broken",
        AttemptEnd::Refused | AttemptEnd::Unreachable => "upstream_unavailable",
    }
}

fn stopping_refusal() -> Refusal {
    let mut refusal = Refusal::new(503, "stopping", "this host is stopping");
    refusal.retry_after_ms = Some(1_000);
    refusal
}

/// Parses the body of a completion; returns it with the model's name and the hash of the prompt's
/// prefix, which is 0 for a shorter prompt.
fn parse_completion(body: &[u8]) -> Result<(Completion, String, u64), Refusal> {
    let bad_request = |code: &str, text: &str| Refusal::new(400, code, text);
    let fields: Completion = serde_json::from_slice(body).map_err(|e| match e.is_data() {
        true => bad_request("bad_json", "the body must be a JSON object"),
        false => bad_request("bad_json", &format!("the body is no JSON: {e}")),
    })?;
    let model = fields.get(MODEL_FIELD).and_then(|model| serde_json::from_str(model.get()).ok());
    let Some(model) = model else {
        return Err(bad_request("missing_model", "the body must name a `model`"));
    };
    let Some(prompt) = fields.get("messages").or_else(|| fields.get("prompt")) else {
        return Err(bad_request("missing_prompt", "the body must have `messages` or a `prompt`"));
    };
    let text = prompt.get().as_bytes();
    let start = &text[..text.len().min(PREFIX_BYTES)];
    let prefix = if text.len() < PREFIX_BYTES { 0 } else { hash64(start).max(1) };
    Ok((fields, model, prefix))
}

fn engine_headers(
    request_id: &str,
    rank: u8,
    deadline: Tick,
    key: Option<&str>,
) -> Vec<(String, String)> {
    let mut headers = vec![
        ("Content-Type".into(), "application/json".into()),
        ("X-Request-Id".into(), request_id.to_owned()),
        ("X-Priority".into(), rank.to_string()),
        ("X-Deadline".into(), deadline.0.to_string()),
    ];
    headers.extend(key.map(|key| ("Idempotency-Key".to_owned(), key.to_owned())));
    headers
}

/// Returns the headers for a service: the caller's headers without credentials and hop-by-hop
/// headers, and those that the host sets.
fn service_headers(
    head: &Head,
    caller: &Name,
    request_id: &str,
    deadline: Tick,
) -> Vec<(String, String)> {
    const DROPPED: [&str; 13] = [
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-caller",
        "x-deadline",
        "x-request-id",
    ];
    let mut headers: Vec<(String, String)> = head
        .headers()
        .into_iter()
        .filter(|(name, _)| !DROPPED.contains(&name.to_ascii_lowercase().as_str()))
        .collect();
    headers.push(("X-Caller".into(), caller.to_string()));
    headers.push(("X-Request-Id".into(), request_id.to_owned()));
    headers.push(("X-Deadline".into(), deadline.0.to_string()));
    headers
}
