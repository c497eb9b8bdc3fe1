//! A model engine: completions over HTTP with server-sent events, orders, and state.
//!
//! `POST /v1/completions`, `POST /v1/chat/completions`, `GET /v1/resume/ID?after=N`,
//! `GET /engine/state`, `POST /engine/fence`, `POST /engine/order`, `POST /restart`,
//! `POST /fault`, `GET /stats`.

use crate::{
    fault::{Fate, Switch, lost},
    memory::Memory,
    model::{Batcher, Speed, token},
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
    http::{self, Exchange, Reply, Server, Stopper},
};
use vanetally_types::Name;

/// What an engine is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// Memory for entries, in bytes.
    pub capacity: u64,
    /// Whether it checks epoch and sequence of orders.
    pub fenced: bool,
    /// How fast it is.
    pub slots: u32,
    /// Between two tokens of a request that runs alone.
    pub token_interval: Duration,
    /// Between a load's start and its end, for each gibibyte.
    pub load_per_gib: Duration,
    /// The weight store, `http://IP:PORT`; none for loads that wait for nobody.
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
    /// Runs by the id of once-only requests.
    runs: BTreeMap<String, u64>,
    requests: u64,
    refused: u64,
    cancelled: u64,
    completed: u64,
    resumed: u64,
    /// Requests that arrived after it said that it is leaving.
    after_leaving: u64,
    last_arrival_ms: u64,
}

/// A run that can be resumed.
#[derive(Clone, Debug)]
struct Kept {
    prompt: String,
    model: String,
    tokens: u64,
}

/// An engine that listens.
pub struct Engine {
    options: Options,
    memory: Mutex<Memory>,
    batcher: Batcher,
    faults: Switch,
    counts: Mutex<Counts>,
    kept: Mutex<BTreeMap<String, Kept>>,
    lagging: Mutex<(Instant, Report)>,
    caller: Client,
    incarnation: AtomicU64,
    started: Instant,
}

const MOST_BODY: u64 = 8_000_000;
const DEFAULT_TOKENS: u64 = 16;
const MOST_TOKENS: u64 = 100_000;
const PREFILL: Duration = Duration::from_millis(10);
const LONGEST_LOAD: Duration = Duration::from_secs(600);
/// Runs kept for resuming.
const MOST_KEPT: usize = 1_000;

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
            prefill: PREFILL,
        };
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
        let incarnation = unix.as_millis() as u64;
        let caller = Client::new(call::Options {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: LONGEST_LOAD,
        });
        let memory = Memory::new(options.capacity, options.fenced, incarnation);
        let engine = Arc::new(Self {
            lagging: Mutex::new((Instant::now(), memory.report().clone())),
            memory: Mutex::new(memory),
            batcher: Batcher::new(speed),
            faults: Switch::default(),
            counts: Mutex::default(),
            kept: Mutex::default(),
            caller,
            incarnation: AtomicU64::new(incarnation),
            started: Instant::now(),
            options,
        });
        let server = Server::try_bind(address)?;
        let address = server.address();
        let bounds = http::Options { max_exchanges: 4_000, ..http::Options::default() };
        let stopper = server.serve("engine", bounds, move |e| Self::serve(&engine, e));
        Ok((address, stopper))
    }

    fn serve(engine: &Arc<Self>, mut exchange: Exchange) {
        let path = exchange.path().to_owned();
        let reply = match path.as_str() {
            "/fault" => engine.faults.set(&mut exchange),
            "/stats" => engine.stats(),
            "/restart" => engine.restart(),
            _ if !engine.faults.pass() => lost(),
            "/engine/state" => engine.state(200, None),
            "/engine/fence" => engine.fence(&mut exchange),
            "/engine/order" => Self::order(engine, &mut exchange),
            "/v1/completions" | "/v1/chat/completions" => return engine.complete(exchange),
            _ => match path.strip_prefix("/v1/resume/") {
                Some(id) => return engine.resume(id, exchange),
                None => Reply::new(404, "text/plain", "nothing here\n"),
            },
        };
        exchange.answer(reply);
    }

    // Orders.

    fn state(&self, status: u16, refusal: Option<Refusal>) -> Reply {
        let (running, queued) = self.batcher.counts();
        let faults = self.faults.now();
        let report = self.report(faults.report_lag_ms);
        let mut value = serde_json::to_value(report).unwrap_or_default();
        value["running"] = json!(running);
        value["queued"] = json!(queued);
        value["leaving"] = json!(faults.leaving);
        value["refusal"] = json!(refusal);
        Reply::json(status, &value)
    }

    /// The state, or an older one while reports lag.
    fn report(&self, lag: u64) -> Report {
        let report = lock(&self.memory).report().clone();
        if lag == 0 {
            return report;
        }
        let mut lagging = lock(&self.lagging);
        if lagging.0.elapsed() >= Duration::from_millis(lag) {
            *lagging = (Instant::now(), report);
        }
        lagging.1.clone()
    }

    fn fence(&self, exchange: &mut Exchange) -> Reply {
        let body = exchange.body(MOST_BODY).unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let Some(epoch) = body["epoch"].as_u64() else {
            return Reply::new(400, "text/plain", "epoch missing\n");
        };
        let accepted = lock(&self.memory).fence(epoch);
        self.state(if accepted { 200 } else { 409 }, None)
    }

    fn order(engine: &Arc<Self>, exchange: &mut Exchange) -> Reply {
        let body = exchange.body(MOST_BODY).unwrap_or_default();
        let Ok(order) = serde_json::from_slice::<Order>(&body) else {
            return Reply::new(400, "text/plain", "no order\n");
        };
        match engine.faults.fate() {
            Fate::Lost => return lost(),
            Fate::Late(millis) => {
                let engine = engine.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(millis));
                    // Nobody waits for what becomes of it.
                    let _ = Self::carry_out(&engine, &order);
                });
                return lost();
            }
            Fate::AnswerLost => {
                let _ = Self::carry_out(engine, &order);
                return lost();
            }
            Fate::Normal => {}
        }
        match Self::carry_out(engine, &order) {
            Ok(()) => engine.state(202, None),
            Err(refusal) => engine.state(409, Some(refusal)),
        }
    }

    fn carry_out(engine: &Arc<Self>, order: &Order) -> Result<(), Refusal> {
        lock(&engine.memory).order(order.epoch.0, order.seq, &order.op)?;
        if let Op::Load { entry, bytes, .. } = &order.op {
            let (engine, entry, bytes) = (engine.clone(), entry.clone(), *bytes);
            thread::spawn(move || engine.fetch(&entry, bytes));
        }
        Ok(())
    }

    /// Brings an entry's weights from the weight store.
    fn fetch(&self, entry: &Name, bytes: u64) {
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        let gib = bytes as f64 / f64::from(1 << 30);
        let span = self.options.load_per_gib.mul_f64(gib);
        match &self.options.store_url {
            None => thread::sleep(span),
            Some(url) => {
                let call = Call {
                    method: "POST".into(),
                    url: format!("{url}/load?ms={}", span.as_millis()),
                    headers: Vec::new(),
                    body: Vec::new(),
                    timeout: LONGEST_LOAD,
                };
                if let Err(e) = self.caller.send(&call) {
                    log::warn!("event=load-unaided entry={entry} error=\"{e}\"");
                }
            }
        }
        lock(&self.memory).loaded(entry, incarnation);
    }

    fn restart(&self) -> Reply {
        let next = self.incarnation.fetch_add(1, Ordering::Relaxed) + 1;
        lock(&self.memory).restart(next);
        Reply::new(200, "text/plain", "restarted\n")
    }

    fn stats(&self) -> Reply {
        let memory = lock(&self.memory).clone();
        let counts = lock(&self.counts);
        let resident: Vec<&Name> = memory.report().entries.keys().collect();
        Reply::json(
            200,
            &json!({
                "peak_bytes": memory.peak, "overcommits": memory.overcommits,
                "capacity": self.options.capacity, "loads": memory.moves.0, "unloads": memory.moves.1,
                "epoch": memory.report().epoch, "resident": resident, "requests": counts.requests,
                "refused": counts.refused, "completed": counts.completed,
                "cancelled": counts.cancelled, "resumed": counts.resumed, "runs": counts.runs,
                "after_leaving": counts.after_leaving, "last_arrival_ms": counts.last_arrival_ms,
                "now_ms": self.started.elapsed().as_millis() as u64,
            }),
        )
    }

    // Completions.

    fn complete(&self, mut exchange: Exchange) {
        let body = exchange.body(MOST_BODY).unwrap_or_default();
        let Ok(body) = serde_json::from_slice::<Value>(&body) else {
            return exchange.answer(refusal(400, "bad_json"));
        };
        let model = body["model"].as_str().unwrap_or("").to_owned();
        let id = exchange.header("X-Request-Id").unwrap_or("").to_owned();
        let key = exchange.header("Idempotency-Key").map(str::to_owned);
        let priority = exchange.header("X-Priority").and_then(|p| p.parse().ok()).unwrap_or(0);
        if let Err(reply) = self.accept(&model, key) {
            return exchange.answer(reply);
        }
        let prompt = match body.get("messages") {
            Some(messages) => messages.to_string(),
            None => body["prompt"].as_str().unwrap_or("").to_owned(),
        };
        let asked = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
        let run = Kept { prompt, model, tokens: asked.clamp(1, MOST_TOKENS) };
        self.keep(&id, &run);
        let prefill = self.batcher.enter(priority, &run.prompt);
        thread::sleep(prefill);
        let chat = exchange.path().starts_with("/v1/chat");
        let whole = match body["stream"].as_bool() {
            Some(true) => self.stream(&run, 0, exchange),
            _ => self.whole(&run, chat, exchange),
        };
        self.batcher.leave();
        lock(&self.memory).leave(&run.model);
        let mut counts = lock(&self.counts);
        match whole {
            true => counts.completed += 1,
            false => counts.cancelled += 1,
        }
    }

    /// Counts a request in, or says why it does not run.
    fn accept(&self, model: &str, key: Option<String>) -> Result<(), Reply> {
        let leaving = self.faults.now().leaving;
        let mut counts = lock(&self.counts);
        counts.requests += 1;
        if leaving {
            counts.after_leaving += 1;
            counts.last_arrival_ms = self.started.elapsed().as_millis() as u64;
            counts.refused += 1;
            return Err(refusal(503, "leaving"));
        }
        if !lock(&self.memory).enter(model) {
            counts.refused += 1;
            return Err(refusal(404, "model_not_found"));
        }
        if let Some(key) = key {
            *counts.runs.entry(key).or_insert(0) += 1;
        }
        Ok(())
    }

    fn keep(&self, id: &str, run: &Kept) {
        let mut kept = lock(&self.kept);
        if kept.len() >= MOST_KEPT {
            kept.pop_first();
        }
        kept.insert(id.to_owned(), run.clone());
    }

    fn whole(&self, run: &Kept, chat: bool, exchange: Exchange) -> bool {
        let mut text = String::new();
        for n in 0..run.tokens {
            thread::sleep(self.batcher.token());
            text.push_str(&token(&run.prompt, n));
        }
        if self.faults.fate() == Fate::AnswerLost {
            exchange.answer(lost());
            return true;
        }
        let choice = match chat {
            true => json!({"index": 0, "finish_reason": "length",
                "message": {"role": "assistant", "content": text}}),
            false => json!({"index": 0, "finish_reason": "length", "text": text}),
        };
        exchange.answer(Reply::json(
            200,
            &json!({
                "object": if chat { "chat.completion" } else { "text_completion" },
                "model": run.model, "choices": [choice],
                "usage": {"completion_tokens": run.tokens},
            }),
        ));
        true
    }

    /// Sends tokens from the `after`th on as events; false if the caller went or the stream broke.
    fn stream(&self, run: &Kept, after: u64, exchange: Exchange) -> bool {
        let head = [("Content-Type".to_owned(), "text/event-stream".to_owned())];
        let Ok(mut stream) = exchange.stream(200, &head) else {
            return false;
        };
        let break_after = self.faults.now().break_after;
        for n in after..run.tokens {
            if break_after > 0 && n == break_after && after == 0 {
                stream.abort();
                return false;
            }
            thread::sleep(self.batcher.token());
            let piece = token(&run.prompt, n);
            let event = json!({"object": "chat.completion.chunk", "model": run.model, "choices": [
                {"index": 0, "delta": {"content": piece}, "text": piece}]});
            if stream.send(format!("data: {event}\n\n").as_bytes()).is_err() {
                return false;
            }
        }
        stream.send(b"data: [DONE]\n\n").is_ok() && stream.finish().is_ok()
    }

    fn resume(&self, id: &str, exchange: Exchange) {
        let after = exchange.query("after").and_then(|v| v.parse().ok()).unwrap_or(0);
        let run = lock(&self.kept).get(id).cloned();
        let allowed = !self.faults.now().no_resume;
        match run.filter(|_| allowed) {
            None => exchange.answer(refusal(404, "unknown_request")),
            Some(run) => {
                lock(&self.counts).resumed += 1;
                let after = std::cmp::max(after, 1);
                self.stream(&run, after, exchange);
            }
        }
    }
}

fn refusal(status: u16, code: &str) -> Reply {
    Reply::json(status, &json!({"error": {"message": code, "type": "engine", "code": code}}))
        .with_header("X-Verdict", "not-run")
}
