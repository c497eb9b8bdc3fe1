//! Case: an answer of a runner states a length and is chunked as well.

use crate::{
    http::{self, Message, Reader},
    runner::{self, Connection},
    site::{self, Directory, Gateway, Record, has_trouble, wait_for},
};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};
use vanetally_platform_standin::Store;

/// Requests of the run, of both kinds in turn.
const REQUESTS: u64 = 1_000;
const PAUSE: Duration = Duration::from_millis(20);
/// At most one answer of the faulty runner in so many, and one in each disruption, is spoilt: 2 in 100.
const ANSWERS_PER_FAULT: u64 = 50;
/// The wrong length that such an answer states.
const WRONG_LENGTH: usize = 40;

#[derive(Default)]
struct Seen {
    /// The whole body that a runner sent to each request.
    bodies: BTreeMap<String, Vec<u8>>,
    answers: u64,
    /// Answers of the faulty runner.
    of_faulty: u64,
    spoilt: u64,
    /// The disruption in which an answer was last spoilt.
    last: Option<u64>,
}

/// Runs the case; returns whether the rules held.
pub fn run(record: &Record) -> Result<bool, String> {
    let directory = Directory::new();
    let store = Store::start("127.0.0.1");
    let seen = Arc::new(Mutex::new(Seen::default()));
    for (id, is_faulty) in [("i-a", true), ("i-b", false)] {
        let (seen, record) = (seen.clone(), record.clone());
        let serve = move |connection: &mut Connection, request| {
            serve(connection, &request, id, is_faulty, &seen, &record)
        };
        let address = runner::listen("127.0.0.1", Arc::new(serve));
        store.put(&format!("servers/{id}"), &runner::entry("desk", address, 6, &json!([]), 0));
    }
    store.put("op/config", &configuration());
    let gateways =
        ["front-0", "front-1"].map(|name| directory.start(name, store.address(), &json!({})));
    if !wait_for(Duration::from_secs(15), || gateways.iter().all(Gateway::is_ready)) {
        return Err("the gateways are not ready".into());
    }
    thread::sleep(Duration::from_secs(2));
    let mut holds = true;
    let mut served = 0;
    let mut client = None;
    for number in 0..REQUESTS {
        let id = format!("{:016x}", 0x7200_0000_0000 + number);
        let path = if number % 2 == 0 { "/quote/1" } else { "/check/1" };
        record.add(&format!("client sends {id} to {path}"));
        let answer = match exchange(&mut client, &gateways[0], path, &id) {
            Ok(answer) => answer,
            Err(error) => {
                record.add(&format!("client gets no whole answer for {id}: {error}"));
                client = None;
                continue;
            }
        };
        record.add(&format!(
            "client gets {} for {id}, {} bytes",
            answer.status(),
            answer.body.len()
        ));
        let whole = seen.lock().expect("no panic").bodies.get(&id).cloned().unwrap_or_default();
        if (200..300).contains(&answer.status()) {
            served += 1;
            if answer.body != whole {
                holds = false;
                record.add(&format!(
                    "MIXED broken: {id} got a success with {} bytes, but the runner's body has {}",
                    answer.body.len(),
                    whole.len()
                ));
            }
        }
        let id_of_answer = answer.header("x-attempt-id").unwrap_or_default();
        if !answer.first.starts_with("HTTP/1.1 ") || id_of_answer != id {
            holds = false;
            record.add(&format!(
                "MIXED broken: what came for {id} is no answer to it: {:?}",
                answer.first
            ));
            client = None;
        }
        thread::sleep(PAUSE);
    }
    let seen = seen.lock().expect("no panic");
    record.add(&format!(
        "{served} of {REQUESTS} served; {} answers of runners, {} of them of the faulty one, and {} spoilt",
        seen.answers, seen.of_faulty, seen.spoilt
    ));
    if served < REQUESTS / 2 || has_trouble() && seen.spoilt == 0 {
        return Err("too few requests were served, or no answer was spoilt".into());
    }
    Ok(holds)
}

/// Sends a request on the client's connection, and reads the answer.
fn exchange(
    client: &mut Option<(TcpStream, Reader)>,
    gateway: &Gateway,
    path: &str,
    id: &str,
) -> std::io::Result<Message> {
    if client.is_none() {
        let stream = TcpStream::connect(gateway.front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(4)))?;
        *client = Some((stream.try_clone()?, Reader::new(stream)));
    }
    let Some((stream, reader)) = client.as_mut() else {
        return Err(std::io::ErrorKind::NotConnected.into());
    };
    let text = format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 1500\r\n\
         content-length: 5\r\n\r\nprice"
    );
    stream.write_all(text.as_bytes())?;
    let mut answer = reader.head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    reader.body(&mut answer, true)?;
    if answer.header("connection") == Some("close") {
        *client = None;
    }
    Ok(answer)
}

fn serve(
    connection: &mut Connection,
    request: &Message,
    own_id: &str,
    is_faulty: bool,
    seen: &Mutex<Seen>,
    record: &Record,
) -> bool {
    let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
    if id.is_empty() {
        return connection.write(&http::answer(200, &[("x-instance-id", own_id)], b""));
    }
    if request.header("x-expect-instance").is_some_and(|expected| expected != own_id) {
        return connection.write(&http::answer(421, &[("x-instance-id", own_id)], b""));
    }
    thread::sleep(Duration::from_millis(5));
    let body = format!("the price for {id} is {:0>60}", id).into_bytes();
    let is_spoilt = {
        let mut seen = seen.lock().expect("no panic");
        seen.answers += 1;
        seen.bodies.insert(id.clone(), body.clone());
        seen.of_faulty += u64::from(is_faulty);
        let disruption = site::disruption(record);
        let is_within_dose = (seen.spoilt + 1) * ANSWERS_PER_FAULT <= seen.of_faulty;
        let is_due = disruption.is_some() && disruption != seen.last;
        let is_spoilt = is_faulty && is_within_dose && is_due;
        if is_spoilt {
            seen.last = disruption;
        }
        seen.spoilt += u64::from(is_spoilt);
        is_spoilt
    };
    let length = WRONG_LENGTH.to_string();
    let mut headers = vec![
        ("x-attempt-id", id.as_str()),
        ("x-server-seal", "3e1b.07"),
        ("transfer-encoding", "chunked"),
    ];
    if is_spoilt {
        record.add(&format!(
            "runner {own_id} states a length of {length} for the chunked answer to {id}"
        ));
        headers.push(("content-length", &length));
    }
    let mut bytes = (http::head(200, &headers) + "\r\n").into_bytes();
    bytes.extend(http::chunk(&body));
    bytes.extend(b"0\r\n\r\n");
    connection.write(&bytes)
}

fn configuration() -> Value {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": "site.example", "path_prefix": format!("/{name}/"), "type": kind,
            "timeout_ms": 800, "target_latency_ms": 150, "priority": 2, "service": "desk", "max_attempts": 1,
            "resumable": false,
        })
    };
    json!({
        "version": 1,
        "routes": [route("quote", "non_idempotent"), route("check", "idempotent")],
        "services": [{ "name": "desk", "max_connections": 110, "health_path": "/health" }],
        "limits": {},
    })
}
