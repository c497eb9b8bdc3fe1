//! Case: a surplus copy of a rejection arrives in the place of the answer to the same request, sent again.

use crate::{
    http::{self, Message},
    runner::{self, Connection},
    site::{self, Directory, Gateway, Record, has_trouble, wait_for},
};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::Store;

/// Requests of each client. There is one client at each of two gateways, and it sends one request at a time.
const REQUESTS: u32 = 160;
/// Time from one request of a client to its next one.
const PERIOD: Duration = Duration::from_millis(250);
/// By how much the second client comes after the first one: mostly when the runner is free again, but each third time
/// while it works on the first client's request, which the second gateway does not know yet.
const LATER: Duration = Duration::from_millis(125);
const AT_ONCE: Duration = Duration::from_millis(15);
const AT_ONCE_EVERY: u32 = 3;
/// Slots of a runner; it queues nothing.
const SLOTS: u32 = 1;
/// The routes, which a client takes in turn for some requests each: the runners that a request may be sent to are one, as for all requests of the
/// sheets that can't be repeated, or two.
const ROUTES: [(&str, u32); 2] = [("offer", 1), ("revise", 2)];
const REQUESTS_IN_TURN: u32 = 40;
/// Events of an answer, and the time before each.
const EVENTS: u32 = 5;
const EVENT_PAUSE: Duration = Duration::from_millis(12);
/// At most one answer of the faulty runner in so many, and one in each disruption, is sent twice: 2 in 100.
const ANSWERS_PER_SURPLUS: u64 = 50;

#[derive(Default)]
struct Seen {
    /// How often each request was started.
    runs: BTreeMap<String, u32>,
    /// Requests that the faulty runner works on.
    running: u32,
    /// Requests that were rejected.
    rejected: u64,
    answers: u64,
    surplus: u64,
    /// The disruption in which an answer was last sent twice.
    last: Option<u64>,
}

/// Runs the case; returns whether the rules held.
pub fn run(record: &Record) -> Result<bool, String> {
    let directory = Directory::new();
    let store = Store::start("127.0.0.1");
    let seen = Arc::new(Mutex::new(Seen::default()));
    for (id, model, is_faulty) in [("i-a", "m1", true), ("i-b", "m2", false)] {
        let models = json!([{ "name": model, "version": 1, "adapters": [] }]);
        let runner = Engine {
            id,
            models: models.clone(),
            is_faulty,
            seen: seen.clone(),
            record: record.clone(),
        };
        let serve = move |connection: &mut Connection, request| runner.serve(connection, &request);
        let address = runner::listen("127.0.0.1", Arc::new(serve));
        store.put(&format!("servers/{id}"), &runner::entry("llm", address, SLOTS, &models, 0));
    }
    store.put("op/config", &configuration());
    let gateways =
        ["front-0", "front-1"].map(|name| directory.start(name, store.address(), &json!({})));
    if !wait_for(Duration::from_secs(15), || gateways.iter().all(Gateway::is_ready)) {
        return Err("the gateways are not ready".into());
    }
    thread::sleep(Duration::from_secs(2));
    let answers = Mutex::new(BTreeMap::new());
    let start = Instant::now();
    thread::scope(|scope| {
        for (client, gateway) in gateways.iter().enumerate() {
            let answers = &answers;
            scope.spawn(move || run_client(client as u32, gateway, start, answers, record));
        }
    });
    let (seen, answers) = (seen.lock().expect("no panic"), answers.into_inner().expect("no panic"));
    let mut holds = true;
    for (id, runs) in seen.runs.iter().filter(|(_, runs)| **runs > 1) {
        holds = false;
        record.add(&format!("TWICE broken: {id} ran {runs} times"));
    }
    for (id, status) in answers.iter().filter(|(_, status)| matches!(status, 408 | 421 | 429 | 503))
    {
        if seen.runs.contains_key(id) {
            holds = false;
            record.add(&format!("REFUSED broken: {id} got {status}, and it ran"));
        }
    }
    let served = answers.values().filter(|status| **status == 200).count();
    record.add(&format!(
        "{served} of {} served; {} answers of runners, {} of them rejections, and {} surplus ones",
        answers.len(),
        seen.answers,
        seen.rejected,
        seen.surplus
    ));
    if served < answers.len() / 2 {
        return Err("too few requests were served".into());
    }
    if has_trouble() && seen.surplus == 0 {
        return Err("no surplus answer was sent".into());
    }
    Ok(holds)
}

/// Sends requests at their times; a refusal is not followed by another try.
fn run_client(
    client: u32,
    gateway: &Gateway,
    start: Instant,
    answers: &Mutex<BTreeMap<String, u16>>,
    record: &Record,
) {
    for number in 0..REQUESTS {
        let offset = match client {
            0 => Duration::ZERO,
            _ if number % AT_ONCE_EVERY == 0 => AT_ONCE,
            _ => LATER,
        };
        let at = start + PERIOD * number + offset;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let id = format!("{:016x}", 0x5100_0000_0000_u64 + u64::from(client << 16 | number));
        let route = ROUTES[(number / REQUESTS_IN_TURN) as usize % ROUTES.len()].0;
        let head = format!(
            "POST /{route}/1 HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 10000\r\n\
             x-model: m1\r\nx-token-count: 200,20\r\nx-prompt-prefix: aa01:100,{client:x}{number:04x}:100\r\n"
        );
        record.add(&format!("client sends {id} to {}", gateway.name));
        let answer = http::exchange(gateway.front, &head, b"a bid", Duration::from_secs(12));
        record.add(&format!("client gets {} for {id}, whole {}", answer.status, answer.is_whole));
        answers.lock().expect("no panic").insert(id, answer.status);
    }
}

/// A model runner.
struct Engine {
    id: &'static str,
    models: Value,
    /// Whether it sends surplus answers.
    is_faulty: bool,
    seen: Arc<Mutex<Seen>>,
    record: Record,
}

impl Engine {
    fn serve(&self, connection: &mut Connection, request: &Message) -> bool {
        match request.path() {
            "/-/report" => return connection.json(&runner::report(&self.models, 0)),
            "/-/order" => return connection.write(&http::answer(409, &[], b"")),
            _ => {}
        }
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        if id.is_empty() {
            return connection.write(&http::answer(200, &[("x-instance-id", self.id)], b""));
        }
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return connection.write(&http::answer(421, &[("x-instance-id", self.id)], b""));
        }
        if let Some(surplus) = connection.surplus.take() {
            self.record.add(&format!(
                "runner {} sends a surplus answer on connection {}",
                self.id, connection.number
            ));
            if !connection.write(&surplus) {
                return false;
            }
        }
        if !self.take_slot(&id) {
            return self.reject(connection, &id);
        }
        self.record
            .add(&format!("runner {} runs {id} on connection {}", self.id, connection.number));
        let is_sent = send_stream(connection, &id);
        self.lock().running -= 1;
        is_sent && connection.write(b"0\r\n\r\n")
    }

    /// Takes a slot for a request, which begins to run with it.
    fn take_slot(&self, id: &str) -> bool {
        let mut seen = self.lock();
        seen.answers += 1;
        if seen.running >= SLOTS {
            return false;
        }
        seen.running += 1;
        *seen.runs.entry(id.to_owned()).or_default() += 1;
        true
    }

    /// Says that the request was not run. A copy of that answer may come late, before the next answer on the connection.
    fn reject(&self, connection: &mut Connection, id: &str) -> bool {
        self.record.add(&format!(
            "runner {} is full for {id} on connection {}",
            self.id, connection.number
        ));
        let rejection = http::answer(503, &[("x-attempt-id", id), ("x-not-executed", "1")], b"");
        let disruption = site::disruption(&self.record);
        let mut seen = self.lock();
        seen.rejected += 1;
        let is_within_dose = (seen.surplus + 1) * ANSWERS_PER_SURPLUS <= seen.answers;
        if self.is_faulty && is_within_dose && disruption.is_some() && disruption != seen.last {
            seen.surplus += 1;
            seen.last = disruption;
            connection.surplus = Some(rejection.clone());
        }
        drop(seen);
        connection.write(&rejection)
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().expect("no panic")
    }
}

/// Sends the events of an answer, without its end.
fn send_stream(connection: &mut Connection, id: &str) -> bool {
    let headers = [
        ("x-attempt-id", id),
        ("x-server-seal", "3e1b.07"),
        ("content-type", "text/event-stream"),
        ("transfer-encoding", "chunked"),
    ];
    let head = http::head(200, &headers) + "\r\n";
    let mut is_sent = connection.write(head.as_bytes());
    for event in 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        is_sent = is_sent && connection.write(&http::chunk(text.as_bytes()));
    }
    is_sent
}

fn route((name, max_attempts): (&str, u32)) -> Value {
    json!({
        "name": name, "host": "site.example", "path_prefix": format!("/{name}/"), "type": "streaming",
        "timeout_ms": 10_000, "target_latency_ms": 1_000, "gap_target_ms": 300, "priority": 1,
        "service": "llm", "max_attempts": max_attempts, "resumable": false,
    })
}

fn configuration() -> Value {
    let model = |name: &str| {
        json!({
            "name": name, "weights_mb": 60_000.0, "load_time_s": 5.0, "adapters": 0, "adapter_mb": 10.0,
        })
    };
    json!({
        "version": 1,
        "routes": ROUTES.map(route),
        "services": [{
            "name": "llm", "max_connections": 300, "health_path": "/health",
            "engine": {
                "slots": SLOTS, "kv_capacity_tokens": 100_000, "weights_mb": 100_000.0, "max_adapters": 4,
                "loads_per_s": 1.0, "models": [model("m1"), model("m2")],
            },
        }],
        "limits": {},
    })
}
