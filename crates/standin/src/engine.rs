//! The model engine: completions over HTTP with server-sent events, load and unload orders, and
//! its state.
//!
//! `POST /v1/completions`, `POST /v1/chat/completions`, `GET /v1/resume/ID?after=N`,
//! `GET /engine/state`, `POST /engine/fence`, `POST /engine/order`, `POST /restart`,
//! `POST /fault`, `GET /stats`.

use crate::{
    fault::{FaultInjector, Outcome, lost_answer},
    memory::Memory,
    model::{Batcher, Speed, token_text},
    server,
};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use vanetally_ledger::{Op, Order, Refusal, Report};
use vanetally_link::{
    call::{self, Call, Client},
    http::{Exchange, Reply, Server, Stopper},
};
use vanetally_types::Name;

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Memory for entries, in bytes.
    pub capacity: u64,
    /// Whether it rejects orders with a wrong epoch or an old sequence number.
    pub fenced: bool,
    /// Number of requests that run at full speed at once.
    pub slots: u32,
    /// Time between two tokens while no more requests run than there are slots.
    pub token_interval: Duration,
    /// Load time per gibibyte.
    pub load_per_gib: Duration,
    /// The weight store, `http://IP:PORT`; without one, loads just take `load_per_gib`.
    pub store_url: Option<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 80 << 30,
            fenced: true,
            slots: 16,
            token_interval: Duration::from_millis(20),
            load_per_gib: Duration::from_millis(20),
            store_url: None,
        }
    }
}

#[derive(Debug, Default)]
struct Counts {
    /// Number of runs by idempotency key.
    runs: BTreeMap<String, u64>,
    requests: u64,
    refused: u64,
    cancelled: u64,
    completed: u64,
    resumed: u64,
    /// Requests that arrived after the engine announced that it is leaving.
    after_leaving: u64,
    /// Arrival of the last such request, since the start of the engine.
    last_arrival_ms: u64,
}

/// A run whose stream can be resumed.
#[derive(Clone, Debug)]
struct ResumableRun {
    prompt: String,
    model: String,
    tokens: u64,
}

/// A running engine.
pub struct Engine {
    options: Options,
    memory: Mutex<Memory>,
    batcher: Batcher,
    faults: FaultInjector,
    counts: Mutex<Counts>,
    /// Resumable runs by request id.
    resumable: Mutex<BTreeMap<String, ResumableRun>>,
    /// The report returned while reports lag, with the time at which it was taken.
    cached_report: Mutex<(Instant, Report)>,
    client: Client,
    incarnation: AtomicU64,
    started: Instant,
}

const MAX_BODY_BYTES: usize = 8_000_000;
const DEFAULT_TOKENS: u64 = 16;
const MAX_TOKENS: u64 = 100_000;
const PREFILL_PER_KB: Duration = Duration::from_millis(10);
const MAX_LOAD_TIME: Duration = Duration::from_secs(600);
const MAX_RESUMABLE_RUNS: usize = 1_000;
const ENDLESS_PIECE_BYTES: usize = 8 << 10;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Engine {
    /// Starts an engine at `address`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn try_start(
        address: SocketAddr,
        options: Options,
    ) -> anyhow::Result<(SocketAddr, Stopper)> {
        let speed = Speed {
            slots: options.slots,
            token_interval: options.token_interval,
            prefill_per_kb: PREFILL_PER_KB,
        };
        let since_unix_epoch =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
        let incarnation = since_unix_epoch.as_millis() as u64;
        let client = Client::new(call::Options {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: MAX_LOAD_TIME,
        });
        let memory = Memory::new(options.capacity, options.fenced, incarnation);
        let engine = Arc::new(Self {
            cached_report: Mutex::new((Instant::now(), memory.report().clone())),
            memory: Mutex::new(memory),
            batcher: Batcher::new(speed),
            faults: FaultInjector::default(),
            counts: Mutex::default(),
            resumable: Mutex::default(),
            client,
            incarnation: AtomicU64::new(incarnation),
            started: Instant::now(),
            options,
        });
        let server = Server::try_bind(address)?;
        let address = server.address();
        let limits = server::options(MAX_BODY_BYTES);
        let stopper = server.serve("engine", limits, move |e| Self::serve(&engine, e));
        Ok((address, stopper))
    }

    fn serve(engine: &Arc<Self>, exchange: Exchange) {
        let path = exchange.head().path().to_owned();
        let reply = match path.as_str() {
            "/fault" => engine.faults.update(&exchange),
            "/stats" => engine.stats_reply(),
            "/restart" => engine.restart(),
            _ if !engine.faults.is_up_after_delay() => lost_answer(),
            "/engine/state" => engine.state_reply(200, None),
            "/engine/fence" => engine.handle_fence(&exchange),
            "/engine/order" => Self::handle_order(engine, &exchange),
            "/v1/completions" | "/v1/chat/completions" => {
                return engine.handle_completion(exchange);
            }
            _ => match path.strip_prefix("/v1/resume/") {
                Some(id) => return engine.handle_resume(id, exchange),
                None => Reply::new(404, "text/plain", "nothing here\n"),
            },
        };
        exchange.answer(reply);
    }

    fn state_reply(&self, status: u16, refusal: Option<Refusal>) -> Reply {
        let (running, queued) = self.batcher.counts();
        let faults = self.faults.current();
        let report = self.report(faults.report_lag_ms);
        let mut value = serde_json::to_value(report).unwrap_or_default();
        value["running"] = json!(running);
        value["queued"] = json!(queued);
        value["leaving"] = json!(faults.leaving);
        value["refusal"] = json!(refusal);
        Reply::json(status, &value)
    }

    /// Returns the current report, or one up to `lag_ms` old while reports lag.
    fn report(&self, lag_ms: u64) -> Report {
        let report = lock(&self.memory).report().clone();
        if lag_ms == 0 {
            return report;
        }
        let mut cached = lock(&self.cached_report);
        if cached.0.elapsed() >= Duration::from_millis(lag_ms) {
            *cached = (Instant::now(), report);
        }
        cached.1.clone()
    }

    fn handle_fence(&self, exchange: &Exchange) -> Reply {
        let body = exchange.body().unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let Some(epoch) = body["epoch"].as_u64() else {
            return Reply::new(400, "text/plain", "epoch missing\n");
        };
        let accepted = lock(&self.memory).fence(epoch);
        self.state_reply(if accepted { 200 } else { 409 }, None)
    }

    fn handle_order(engine: &Arc<Self>, exchange: &Exchange) -> Reply {
        let body = exchange.body().unwrap_or_default();
        let Ok(order) = serde_json::from_slice::<Order>(&body) else {
            return Reply::new(400, "text/plain", "no order\n");
        };
        match engine.faults.next_outcome() {
            Outcome::RequestLost => return lost_answer(),
            Outcome::Delayed(delay_ms) => {
                let engine = engine.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(delay_ms));
                    // The caller already received a reply, so the result is dropped.
                    let _ = Self::apply_order(&engine, &order);
                });
                return lost_answer();
            }
            Outcome::AnswerLost => {
                let _ = Self::apply_order(engine, &order);
                return lost_answer();
            }
            Outcome::Normal => {}
        }
        match Self::apply_order(engine, &order) {
            Ok(()) => engine.state_reply(202, None),
            Err(refusal) => engine.state_reply(409, Some(refusal)),
        }
    }

    fn apply_order(engine: &Arc<Self>, order: &Order) -> Result<(), Refusal> {
        lock(&engine.memory).apply_order(order.epoch.0, order.seq, &order.op)?;
        if let Op::Load { entry, bytes, .. } = &order.op {
            let (engine, entry, bytes) = (engine.clone(), entry.clone(), *bytes);
            thread::spawn(move || engine.load_weights(&entry, bytes));
        }
        Ok(())
    }

    /// Loads the weights of an entry, through the weight store if there is one.
    fn load_weights(&self, entry: &Name, bytes: u64) {
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        let gib = bytes as f64 / f64::from(1 << 30);
        let load_time = self.options.load_per_gib.mul_f64(gib);
        match &self.options.store_url {
            None => thread::sleep(load_time),
            Some(url) => {
                let call = Call {
                    method: "POST".into(),
                    url: format!("{url}/load?ms={}", load_time.as_millis()),
                    headers: Vec::new(),
                    body: Vec::new(),
                    timeout: MAX_LOAD_TIME,
                };
                if let Err(e) = self.client.send(&call) {
                    log::warn!("event=load-unaided entry={entry} error=\"{e}\"");
                }
            }
        }
        lock(&self.memory).finish_load(entry, incarnation);
    }

    fn restart(&self) -> Reply {
        let incarnation = self.incarnation.fetch_add(1, Ordering::Relaxed) + 1;
        lock(&self.memory).restart(incarnation);
        Reply::new(200, "text/plain", "restarted\n")
    }

    fn stats_reply(&self) -> Reply {
        let memory = lock(&self.memory).clone();
        let counts = lock(&self.counts);
        let resident: Vec<&Name> = memory.report().entries.keys().collect();
        Reply::json(
            200,
            &json!({
                "peak_bytes": memory.peak_bytes, "overcommits": memory.overcommits,
                "capacity": self.options.capacity,
                "loads": memory.move_counts.0, "unloads": memory.move_counts.1,
                "epoch": memory.report().epoch, "resident": resident, "requests": counts.requests,
                "refused": counts.refused, "completed": counts.completed,
                "cancelled": counts.cancelled, "resumed": counts.resumed, "runs": counts.runs,
                "after_leaving": counts.after_leaving, "last_arrival_ms": counts.last_arrival_ms,
                "now_ms": self.started.elapsed().as_millis() as u64,
            }),
        )
    }

    fn handle_completion(&self, exchange: Exchange) {
        let body = exchange.body().unwrap_or_default();
        let Ok(body) = serde_json::from_slice::<Value>(&body) else {
            return exchange.answer(refusal_reply(400, "bad_json"));
        };
        let model = body["model"].as_str().unwrap_or("").to_owned();
        let id = exchange.head().header("X-Request-Id").unwrap_or("").to_owned();
        let key = exchange.head().header("Idempotency-Key").map(str::to_owned);
        let priority =
            exchange.head().header("X-Priority").and_then(|p| p.parse().ok()).unwrap_or(0);
        if let Err(reply) = self.admit(&model, key) {
            return exchange.answer(reply);
        }
        let prompt = match body.get("messages") {
            Some(messages) => messages.to_string(),
            None => body["prompt"].as_str().unwrap_or("").to_owned(),
        };
        let max_tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
        let run = ResumableRun { prompt, model, tokens: max_tokens.clamp(1, MAX_TOKENS) };
        self.remember(&id, &run);
        let prefill = self.batcher.join(priority, &run.prompt);
        thread::sleep(prefill);
        let is_chat = exchange.head().path().starts_with("/v1/chat");
        let is_stream = body["stream"].as_bool().unwrap_or_default();
        let is_complete = match self.faults.current().endless_bytes {
            0 if is_stream => self.send_stream(&run, 0, exchange),
            0 => self.send_whole(&run, is_chat, exchange),
            bytes => self.send_endless(bytes, is_stream, exchange),
        };
        self.batcher.leave();
        lock(&self.memory).end_request(&run.model);
        let mut counts = lock(&self.counts);
        match is_complete {
            true => counts.completed += 1,
            false => counts.cancelled += 1,
        }
    }

    /// Admits a request, or returns the reply that refuses it.
    fn admit(&self, model: &str, key: Option<String>) -> Result<(), Reply> {
        let leaving = self.faults.current().leaving;
        let mut counts = lock(&self.counts);
        counts.requests += 1;
        if leaving {
            counts.after_leaving += 1;
            counts.last_arrival_ms = self.started.elapsed().as_millis() as u64;
            counts.refused += 1;
            return Err(refusal_reply(503, "leaving"));
        }
        if !lock(&self.memory).begin_request(model) {
            counts.refused += 1;
            return Err(refusal_reply(404, "model_not_found"));
        }
        if let Some(key) = key {
            *counts.runs.entry(key).or_insert(0) += 1;
        }
        Ok(())
    }

    /// Stores a run for resuming; at the limit it replaces the one with the lowest id.
    fn remember(&self, id: &str, run: &ResumableRun) {
        let mut resumable = lock(&self.resumable);
        if resumable.len() >= MAX_RESUMABLE_RUNS {
            resumable.pop_first();
        }
        resumable.insert(id.to_owned(), run.clone());
    }

    /// Generates the tokens and answers with all of them at once; always returns true.
    fn send_whole(&self, run: &ResumableRun, is_chat: bool, exchange: Exchange) -> bool {
        let mut text = String::new();
        for n in 0..run.tokens {
            thread::sleep(self.batcher.token_delay());
            text.push_str(&token_text(&run.prompt, n));
        }
        if self.faults.next_outcome() == Outcome::AnswerLost {
            exchange.answer(lost_answer());
            return true;
        }
        let choice = match is_chat {
            true => json!({"index": 0, "finish_reason": "length",
                "message": {"role": "assistant", "content": text}}),
            false => json!({"index": 0, "finish_reason": "length", "text": text}),
        };
        exchange.answer(Reply::json(
            200,
            &json!({
                "object": if is_chat { "chat.completion" } else { "text_completion" },
                "model": run.model, "choices": [choice],
                "usage": {"completion_tokens": run.tokens},
            }),
        ));
        true
    }

    /// Streams the tokens from the `after`th on as events; returns false if the caller disconnected
    /// or the stream broke.
    fn send_stream(&self, run: &ResumableRun, after: u64, exchange: Exchange) -> bool {
        let headers = [("Content-Type".to_owned(), "text/event-stream".to_owned())];
        let Ok(mut stream) = exchange.stream(200, &headers) else {
            return false;
        };
        let break_after = self.faults.current().break_after;
        for n in after..run.tokens {
            if break_after > 0 && n == break_after && after == 0 {
                stream.abort();
                return false;
            }
            thread::sleep(self.batcher.token_delay());
            let piece = token_text(&run.prompt, n);
            let event = json!({"object": "chat.completion.chunk", "model": run.model, "choices": [
                {"index": 0, "delta": {"content": piece}, "text": piece}]});
            if stream.send(format!("data: {event}\n\n").as_bytes()).is_err() {
                return false;
            }
        }
        stream.send(b"data: [DONE]\n\n").is_ok() && stream.finish().is_ok()
    }

    /// Sends an event or a whole answer of which the end never comes; always returns false.
    fn send_endless(&self, bytes: usize, is_stream: bool, exchange: Exchange) -> bool {
        let content_type = if is_stream { "text/event-stream" } else { "application/json" };
        let headers = [("Content-Type".to_owned(), content_type.to_owned())];
        let Ok(mut stream) = exchange.stream(200, &headers) else {
            return false;
        };
        let begins = stream.send(b"data: ");
        let piece = [b'x'; ENDLESS_PIECE_BYTES];
        let goes_on = (0..bytes / piece.len()).all(|_| stream.send(&piece).is_ok());
        if begins.is_ok() && goes_on {
            self.faults.wait_for_ends();
        }
        stream.abort();
        false
    }

    fn handle_resume(&self, id: &str, exchange: Exchange) {
        let after = exchange.head().query("after").and_then(|v| v.parse().ok()).unwrap_or(0);
        let run = lock(&self.resumable).get(id).cloned();
        let can_resume = !self.faults.current().no_resume;
        match run.filter(|_| can_resume) {
            None => exchange.answer(refusal_reply(404, "unknown_request")),
            Some(run) => {
                lock(&self.counts).resumed += 1;
                let after = std::cmp::max(after, 1);
                self.send_stream(&run, after, exchange);
            }
        }
    }
}

fn refusal_reply(status: u16, code: &str) -> Reply {
    Reply::json(status, &json!({"error": {"message": code, "type": "engine", "code": code}}))
        .with_header("X-Verdict", "not-run")
}
