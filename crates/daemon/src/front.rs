//! The callers' side: from a request to its final answer.

use crate::{
    admin,
    admission::{admit, deadline, identify, once_key},
    board::Board,
    hub::{Decision, Input},
    proxy::Attempt,
    refusal::Refusal,
    telemetry,
};
use serde_json::{Value, json};
use std::{
    sync::{
        Arc,
        atomic::Ordering,
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    time::{Duration, Instant},
};
use vanetally_claim::Id;
use vanetally_core::{Arrival, Event, service_entry};
use vanetally_link::{
    call::Client,
    http::{BodyError, Exchange, Reply},
};
use vanetally_route::{AttemptEnd, Request};
use vanetally_types::{Name, Tick, Verdict, hash64};

/// What an upstream is sent for a request.
pub(crate) struct Job {
    /// The request's number on this host.
    pub id: u64,
    /// The request's name at upstreams.
    pub request_id: String,
    pub method: String,
    /// Path and query at the upstream.
    pub path: String,
    pub headers: Vec<(String, String)>,
    body: Body,
    /// Whether the upstream is a plain service.
    pub service: bool,
    pub once: bool,
    /// Largest answer kept for repeats.
    pub kept: u64,
    pub fingerprint: u64,
    /// Headers that ask the caller to connect anew, while this host is stopping.
    pub closing: Vec<(String, String)>,
}

enum Body {
    /// Sent as it came.
    Plain(Vec<u8>),
    /// A JSON object in which the entry's name replaces the model's.
    Model(Value),
}

impl Job {
    /// The body for an upstream that holds `entry`.
    pub fn body_for(&self, entry: &Name) -> Vec<u8> {
        match &self.body {
            Body::Plain(bytes) => bytes.clone(),
            Body::Model(value) => {
                let mut value = value.clone();
                value["model"] = json!(&**entry);
                value.to_string().into_bytes()
            }
        }
    }
}

/// A request that passed all checks.
struct Admitted {
    job: Job,
    arrival: Arrival,
    class: Name,
}

/// Serves callers.
pub(crate) struct Front {
    pub board: Arc<Board>,
    pub hub: Sender<Input>,
    pub caller: Client,
}

/// The loop answers within this long after a deadline.
const SLACK: Duration = Duration::from_secs(5);
/// Prompt bytes that count for prefix affinity.
const PREFIX: usize = 256;

impl Front {
    /// Serves one exchange.
    pub fn serve(&self, mut exchange: Exchange) {
        let started = Instant::now();
        if let Some(reply) = admin::health(&self.board, exchange.path()) {
            return exchange.answer(reply);
        }
        if exchange.path() == "/v1/models" {
            let reply = self.models(&exchange).unwrap_or_else(|r| r.reply());
            return exchange.answer(reply);
        }
        match self.admit(&mut exchange) {
            Ok(admitted) => self.carry_out(admitted, exchange, started),
            Err(refusal) => {
                telemetry::ended(&self.board.settings.host, "", "", &refusal.code);
                exchange.answer(refusal.reply());
            }
        }
    }

    /// The models that the caller may reach.
    fn models(&self, exchange: &Exchange) -> Result<Reply, Refusal> {
        let revision = self.board.revision();
        let catalog = &revision.catalog;
        let caller = identify(catalog, exchange.header("Authorization"))?;
        let models = catalog.models.iter().map(|m| (&m.name, &m.labels));
        let adapters = catalog.adapters.iter().map(|a| (&a.name, &a.labels));
        let rows: Vec<Value> = models
            .chain(adapters)
            .filter(|(_, labels)| catalog.admits(&caller.labels, labels))
            .map(|(name, _)| json!({"id": name, "object": "model", "owned_by": "operators"}))
            .collect();
        Ok(Reply::json(200, &json!({"object": "list", "data": rows})))
    }

    fn admit(&self, exchange: &mut Exchange) -> Result<Admitted, Refusal> {
        let revision = self.board.revision();
        let catalog = &revision.catalog;
        if revision.number == 0 {
            let mut refusal =
                Refusal::new(503, "no_configuration", "no configuration is known yet");
            refusal.retry_after = Some(2_000);
            return Err(refusal);
        }
        let caller = identify(catalog, exchange.header("Authorization"))?;
        let method = exchange.method();
        let url = exchange.url().to_owned();
        let service = url.strip_prefix("/services/").map(|rest| rest.to_owned());
        let completion = matches!(exchange.path(), "/v1/chat/completions" | "/v1/completions");
        if service.is_none() && !completion {
            let text = format!("there is nothing at `{}`", exchange.path());
            return Err(Refusal::new(404, "unknown_path", &text));
        }
        if completion && method != "POST" {
            return Err(Refusal::new(405, "method_not_allowed", "use POST"));
        }
        let body = self.body(exchange)?;
        let fingerprint = hash64(&[method.as_bytes(), url.as_bytes(), &body].concat());
        let (target, path, body, prefix) = match &service {
            Some(rest) => {
                let end = rest.find(['/', '?']).unwrap_or(rest.len());
                let (name, path) = rest.split_at(end);
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
        let now = self.board.clock.now();
        let timing = &self.board.settings.timing;
        let deadline =
            deadline(exchange.header("X-Deadline"), now, timing.deadline.0, timing.horizon.0)?;
        let key = once_key(
            catalog.is_once(&target.labels),
            exchange.header("Idempotency-Key"),
            exchange.header("X-Once-Only"),
        )?;
        let (class, rank) = catalog.class_of(&caller.labels, &target.labels);
        let id = self.board.next_id();
        let request_id = format!("{}-{}-{id}", self.board.me.name, self.board.me.incarnation);
        let headers = match service {
            Some(_) => service_headers(exchange, &caller.name, &request_id, deadline),
            None => engine_headers(&request_id, rank, deadline, key),
        };
        let entries =
            if service.is_some() { vec![service_entry(&target.name)] } else { target.entries };
        let once = key.map(|key| Id::from_key(&caller.name, key));
        let request = Request {
            id,
            caller: caller.name.clone(),
            target: target.name,
            entries,
            rank,
            deadline,
            once_only: once.is_some(),
            prefix,
        };
        let job = Job {
            id,
            request_id,
            method,
            path,
            headers,
            body,
            service: service.is_some(),
            once: once.is_some(),
            kept: self.board.settings.limits.kept.0,
            fingerprint,
            closing: self.closing(),
        };
        Ok(Admitted { job, arrival: Arrival { request, claim_id: once }, class })
    }

    fn body(&self, exchange: &mut Exchange) -> Result<Vec<u8>, Refusal> {
        let most = self.board.settings.limits.body;
        exchange.body(most.0).map_err(|e| match e {
            BodyError::TooLarge => {
                Refusal::new(413, "body_too_large", &format!("the body is larger than {most}"))
            }
            BodyError::Broken => Refusal::new(400, "body_broken", "the body did not arrive"),
        })
    }

    fn closing(&self) -> Vec<(String, String)> {
        match self.board.stopping.load(Ordering::Relaxed) {
            true => vec![("Connection".into(), "close".into())],
            false => Vec::new(),
        }
    }

    fn carry_out(&self, admitted: Admitted, exchange: Exchange, started: Instant) {
        let Admitted { job, arrival, class } = admitted;
        let target = arrival.request.target.clone();
        let deadline = arrival.request.deadline;
        let (sender, inbox) = channel();
        let mut watch = Watch { hub: &self.hub, id: job.id, over: false };
        if self.hub.send(Input::Arrive(arrival, sender)).is_err() {
            watch.over = true;
            return exchange.answer(stopping().reply());
        }
        let code = self.follow(&job, &inbox, exchange, deadline, started, &mut watch);
        telemetry::ended(&self.board.settings.host, &target, &class, &code);
        log::info!(
            "event=request host={} request={} target={target} class={class} outcome={code} ms={}",
            self.board.settings.host,
            job.request_id,
            started.elapsed().as_millis()
        );
    }

    /// Follows decisions until the caller has a final answer; returns the outcome's code.
    fn follow(
        &self,
        job: &Job,
        inbox: &Receiver<Decision>,
        exchange: Exchange,
        deadline: Tick,
        started: Instant,
        watch: &mut Watch<'_>,
    ) -> String {
        let mut exchange = exchange;
        loop {
            let left = Duration::from_millis(deadline.since(self.board.clock.now()));
            match inbox.recv_timeout(left + SLACK) {
                Ok(Decision::Refuse(refused)) => {
                    watch.over = true;
                    return refuse(exchange, &refused.into());
                }
                Ok(Decision::Replay(answer)) => {
                    watch.over = true;
                    return replay(job, exchange, &answer);
                }
                Ok(Decision::Call { upstream, url, entry }) => {
                    let attempt = Attempt {
                        job,
                        caller: &self.caller,
                        host: &self.board.settings.host,
                        upstream,
                        url,
                        entry,
                        within: left.max(Duration::from_millis(1)),
                        started,
                    };
                    let outcome = attempt.run(exchange);
                    let sent = outcome.exchange.is_none();
                    let event = Event::Ended {
                        id: job.id,
                        end: outcome.end,
                        response_started: sent,
                        answer: outcome.answer,
                    };
                    watch.over = sent;
                    if self.hub.send(Input::Core(event)).is_err() {
                        log::warn!("event=end-unreported request={}", job.id);
                    }
                    match outcome.exchange {
                        Some(unanswered) => exchange = unanswered,
                        None => return end_code(outcome.end).into(),
                    }
                }
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    let mut refusal = stopping();
                    refusal.verdict = Verdict::MayHaveRun;
                    return refuse(exchange, &refusal);
                }
            }
        }
    }
}

/// Reports an exchange that ended without saying so.
struct Watch<'a> {
    hub: &'a Sender<Input>,
    id: u64,
    over: bool,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.over {
            let end = AttemptEnd::Failed(Verdict::MayHaveRun);
            let event = Event::Ended { id: self.id, end, response_started: true, answer: None };
            // The loop may have ended before.
            let _ = self.hub.send(Input::Core(event));
        }
    }
}

fn refuse(exchange: Exchange, refusal: &Refusal) -> String {
    exchange.answer(refusal.reply());
    refusal.code.clone()
}

fn replay(job: &Job, exchange: Exchange, answer: &vanetally_claim::Answer) -> String {
    if answer.fingerprint != job.fingerprint {
        let text = "this Idempotency-Key belongs to another request";
        return refuse(exchange, &Refusal::new(422, "idempotency_key_reused", text));
    }
    let reply = Reply::new(answer.status, &answer.content_type, answer.body.clone())
        .with_header("X-Verdict", Verdict::Ran.as_str())
        .with_header("X-Replayed", "true");
    exchange.answer(reply);
    "replayed".into()
}

fn end_code(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Completed => "ok",
        AttemptEnd::CallerGone => "caller_gone",
        AttemptEnd::Failed(_) => "stream_broken",
        AttemptEnd::Refused | AttemptEnd::Unreachable => "upstream_unavailable",
    }
}

fn stopping() -> Refusal {
    let mut refusal = Refusal::new(503, "stopping", "this host is stopping");
    refusal.retry_after = Some(1_000);
    refusal
}

/// The body of a completion, the model that it names, and the hash of its prompt's beginning.
fn parse_completion(body: &[u8]) -> Result<(Value, String, u64), Refusal> {
    let bad = |code: &str, text: &str| Refusal::new(400, code, text);
    let value: Value = serde_json::from_slice(body)
        .map_err(|e| bad("bad_json", &format!("the body is no JSON: {e}")))?;
    if !value.is_object() {
        return Err(bad("bad_json", "the body must be a JSON object"));
    }
    let Some(model) = value.get("model").and_then(Value::as_str) else {
        return Err(bad("missing_model", "the body must name a `model`"));
    };
    let prompt = value.get("messages").or_else(|| value.get("prompt"));
    let Some(prompt) = prompt else {
        return Err(bad("missing_prompt", "the body must have `messages` or a `prompt`"));
    };
    let text = prompt.to_string();
    let start = &text.as_bytes()[..text.len().min(PREFIX)];
    let prefix = if text.len() < PREFIX { 0 } else { hash64(start).max(1) };
    let model = model.to_owned();
    Ok((value, model, prefix))
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

/// Headers that a service gets: the caller's own without credentials and what concerns only the
/// connection.
fn service_headers(
    exchange: &Exchange,
    caller: &Name,
    request_id: &str,
    deadline: Tick,
) -> Vec<(String, String)> {
    const HELD: [&str; 13] = [
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
    let mut headers: Vec<(String, String)> = exchange
        .headers()
        .into_iter()
        .filter(|(name, _)| !HELD.contains(&name.to_ascii_lowercase().as_str()))
        .collect();
    headers.push(("X-Caller".into(), caller.to_string()));
    headers.push(("X-Request-Id".into(), request_id.to_owned()));
    headers.push(("X-Deadline".into(), deadline.0.to_string()));
    headers
}
