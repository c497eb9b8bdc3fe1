//! Upstreams whose answers are none in the protocol.
//!
//! Guards against passing them on, and against acting on what they say. What is no answer is tabled in
//! `crates/answer/tests`; here each path is tried with some of it.

mod gateway;

use gateway::{Deployment, Host, fresh_ip, taps::TappedDeployment, wait_for};
use rstest::rstest;
use std::{thread, time::Duration};
use vanetally_platform_standin::{
    Behaviour, Client, ClientAnswer, Proxy, ProxyMode, Runner, TapMode,
};

/// Answers that would be complete but for the part in the middle.
macro_rules! spoilt {
    ($line:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n",
            $line,
            "Content-Length: 5\r\n\r\nspoil"
        )
    };
    (status $line:literal) => {
        concat!($line, "X-Attempt-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nspoil")
    };
    (end $line:literal) => {
        concat!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n", $line)
    };
}

const SPOILT: [&str; 31] = [
    spoilt!("no field\r\n"),
    spoilt!(": no name\r\n"),
    spoilt!("X Blank: 1\r\n"),
    spoilt!("X-Blank : 1\r\n"),
    spoilt!("X-Folded: 1\r\n 2\r\n"),
    spoilt!("X-\x01: 1\r\n"),
    spoilt!("X-Control: \x01\r\n"),
    spoilt!("X-Bare: 1\n"),
    spoilt!("Content-Length: 3\r\n"),
    spoilt!("Content-Length: 5\r\n"),
    spoilt!("Transfer-Encoding: chunked\r\n"),
    spoilt!("Content-Type: text/plain\r\nContent-Type: text/event-stream\r\n"),
    spoilt!("Content-Encoding: gzip\r\n"),
    spoilt!("X-Server-Seal: other\r\n"),
    spoilt!("X-Attempt-Id: of-another\r\n"),
    spoilt!("Connection: x-server-seal\r\n"),
    spoilt!(status "\r\nHTTP/1.1 200 OK\r\n"),
    spoilt!(status "HTTP/1.1 000 None\r\n"),
    spoilt!(status "HTTP/1.1 999 None\r\n"),
    spoilt!(status "HTTP/1.1 200\r\n"),
    spoilt!(status "HTTP/1.1 2O0 OK\r\n"),
    spoilt!(status "HTTP/1.1 101 Switching Protocols\r\n"),
    spoilt!(status "HTTP/1.1 206 Partial Content\r\n"),
    spoilt!(end "Content-Length: 4O\r\n\r\nspoil"),
    spoilt!(end "Content-Length: 5\r\n\r\nspoil and more"),
    spoilt!(end "Content-Length: 5, 5\r\n\r\nspoil"),
    spoilt!(end "Transfer-Encoding: chunke\r\n\r\n5\r\nspoil\r\n0\r\n\r\n"),
    spoilt!(end "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nspoil\r\n0\r\n\r\n"),
    spoilt!(end "Transfer-Encoding: chunked\r\nContent-Length: 7\r\n\r\n5\r\nspoil\r\n0\r\n\r\n"),
    spoilt!(end "Transfer-Encoding: chunked\r\n\r\n5 \r\nspoil\r\n0\r\n\r\n"),
    spoilt!(end "Transfer-Encoding: chunked\r\n\r\n5\r\nspoil\r\n0\r\nno field\r\n\r\n"),
];
/// Streams whose heads are answers, and whose bodies are not.
const SPOILT_STREAMS: [&str; 3] = [
    spoilt!(end "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n18\r\nid: 1\ndata: spoil\nid: 2\n\r\n0\r\n\r\n"),
    spoilt!(end "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: spoil\n\nx\r\n0\r\n\r\n"),
    spoilt!(end "Content-Type: text/event-stream\r\nTransfer-Encoding: chunke\r\n\r\n13\r\nid: 1\ndata: spoil\n\n\r\n0\r\n\r\n"),
];
const DEADLINE_MS: u64 = 1_500;
/// Maximum number of runs of a request that may be repeated.
const MAX_REPEATED_RUNS: u32 = 4;

/// A request whose body no other one has, so that it is not kept back for what became of others.
fn request(path: &str, number: usize) -> Client {
    let id = format!("{}{number}", path.replace('/', ""));
    let client = Client::new("POST", path, &id).deadline(DEADLINE_MS).body(id.as_bytes());
    let names_model = !path.starts_with("/check");
    if names_model { client.with("X-Model", "m1") } else { client }
}

fn assert_not_passed_on(answer: &ClientAnswer, text: &str) {
    let is_whole = (200..300).contains(&answer.status) && answer.is_complete;
    assert!(!is_whole, "{answer:?} from {text:?}");
}

/// What was said not to have run has not run.
fn assert_true(answer: &ClientAnswer, runner: &Runner, id: &str, text: &str) {
    let runs = runner.runs().get(id).copied().unwrap_or(0);
    if [408, 421, 429, 503].contains(&answer.status) {
        assert_eq!(runs, 0, "{answer:?} from {text:?}");
    }
    let max_runs = if id.starts_with("check") { MAX_REPEATED_RUNS } else { 1 };
    assert!(runs <= max_runs, "{runs} runs from {text:?}");
}

/// Sends a request for each text to the upstream that answers with it.
fn try_all(host: &Host, runner: &Runner, path: &str, texts: &[&'static str]) {
    for (number, text) in texts.iter().enumerate() {
        runner.set_behaviour(Behaviour::Text(text));
        let client = request(path, number);
        let answer = client.send(host.front);
        assert_not_passed_on(&answer, text);
        assert_true(&answer, runner, client.id(), text);
    }
    assert_eq!(runner.after_text(), 0, "a connection was used again");
    assert_eq!(runner.runs().len(), texts.len(), "each was tried");
}

/// An answer that is read whole before it is passed on.
#[test]
fn buffered() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    try_all(&host, &deployment.desks[0], "/check/1", &SPOILT);
}

/// An answer that is passed on as it arrives, to a request that may run once.
#[test]
fn streamed() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    try_all(
        &host,
        &deployment.engines[0],
        "/offer/1",
        &[SPOILT.as_slice(), &SPOILT_STREAMS].concat(),
    );
}

/// A request that may be repeated is tried at another upstream.
#[test]
fn tried_elsewhere() {
    let mut deployment = Deployment::start();
    deployment.add_engine();
    let (spoilt, sound) = (&deployment.engines[0], &deployment.engines[1]);
    sound.set_behaviour(Behaviour::Stream { events: 3, pause_ms: 1 });
    let host = deployment.host("front-1");
    wait_for("both are known", || host.metric("vanetally_upstreams") != Some(1.0));
    for (number, text) in SPOILT.iter().chain(&SPOILT_STREAMS).enumerate() {
        spoilt.set_behaviour(Behaviour::Text(text));
        let answer = request("/draft/1", number).send(host.front);
        assert_eq!((answer.status, answer.is_complete), (200, true), "{answer:?} from {text:?}");
        assert!(!answer.body.contains("spoil"), "{answer:?} from {text:?}");
    }
    assert!(!spoilt.requests().is_empty(), "nothing was tried");
}

/// A stream that broke off is not resumed with bytes that are no answer.
#[test]
fn resumed() {
    let mut deployment = Deployment::start();
    deployment.add_engine();
    let host = deployment.host("front-1");
    for (number, text) in SPOILT.iter().chain(&SPOILT_STREAMS).enumerate() {
        for (broken, spoilt) in [(0, 1), (1, 0)] {
            deployment.engines[broken].set_behaviour(Behaviour::BreakAfter(2));
            deployment.engines[spoilt].set_behaviour(Behaviour::Text(text));
            let answer = request("/draft/1", 2 * number + broken).send(host.front);
            assert_not_passed_on(&answer, text);
            assert!(!answer.body.contains("spoil"), "{answer:?} from {text:?}");
        }
    }
}

/// A host that reaches an upstream through another one judges its answers itself.
#[test]
fn through_exit() {
    let site = TappedDeployment::start(3, 1, 1);
    site.set_mode(0..1, TapMode::Reset);
    let engine = &site.deployment.engines[0];
    engine.set_behaviour(Behaviour::Stream { events: 2, pause_ms: 1 });
    let is_served = || request("/draft/0", 0).send(site.hosts[0].front).status == 200;
    wait_for("a request passes through an exit", is_served);
    let mut tried = 0;
    for (number, text) in SPOILT.iter().enumerate().step_by(3) {
        engine.set_behaviour(Behaviour::Text(text));
        let client = request("/offer/1", number);
        let answer = client.send(site.hosts[0].front);
        assert_not_passed_on(&answer, text);
        assert_true(&answer, engine, client.id(), text);
        tried += engine.runs().get(client.id()).copied().unwrap_or(0);
    }
    assert!(tried >= 5, "{tried} were tried");
    assert_eq!(engine.after_text(), 0, "a connection was used again");
}

/// The mark that a request has not run proves nothing in bytes that are no answer, and neither does a rest that they ask.
#[test]
fn says_not_run() {
    const TEXTS: [&str; 4] = [
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nRetry-After: 60\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nRetry-After: 60\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Other\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: i-other\r\nServer-Leaving: 1\r\nTransfer-Encoding: gzip\r\n\r\n",
    ];
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    let engine = &deployment.engines[0];
    for (number, text) in TEXTS.iter().enumerate() {
        engine.set_behaviour(Behaviour::Text(text));
        let client = request("/offer/1", number);
        let answer = client.send(host.front);
        assert_eq!(answer.status, 502, "it may have run: {answer:?} from {text:?}");
        assert_eq!(engine.runs().get(client.id()), Some(&1), "{text:?}");
    }
    engine.set_behaviour(Behaviour::Complete);
    let answer = request("/offer/2", 0).send(host.front);
    assert_eq!(answer.status, 200, "the upstream neither rests nor leaves: {answer:?}");
}

/// A status that answers a condition or a range is no answer to a request without one, and is one to a request with one.
#[test]
fn conditional_statuses() {
    const PARTIAL: &str = "HTTP/1.1 206 Partial Content\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\nContent-Range: bytes 0-4/9\r\nContent-Length: 5\r\n\r\nwhole";
    const UNCHANGED: &str =
        "HTTP/1.1 304 Not Modified\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\r\n";
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    let desk = &deployment.desks[0];
    for (text, field, status) in
        [(PARTIAL, ("Range", "bytes=0-4"), 206), (UNCHANGED, ("If-None-Match", "\"a\""), 304)]
    {
        desk.set_behaviour(Behaviour::Text(text));
        let asked =
            request("/check/1", usize::from(status)).with(field.0, field.1).send(host.front);
        assert_eq!((asked.status, asked.is_complete), (status, true), "{asked:?}");
        let unasked = request("/check/2", usize::from(status)).send(host.front);
        assert_eq!(unasked.status, 502, "{unasked:?}");
    }
}

/// A report that is no answer says nothing of its upstream.
#[test]
fn report() {
    let deployment = Deployment::start();
    let engine = &deployment.engines[0];
    engine.set_own_text(Some(
        "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    ));
    let host = deployment.host("front-1");
    thread::sleep(Duration::from_secs(2));
    let answer = request("/offer/1", 0).send(host.front);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(!deployment.log("front-1").contains("event=upstream_leaving"));
    assert_eq!(engine.after_text(), 0, "a connection was used again");
}

/// Nothing is taken from answers of the store that are none: it counts as away until it answers again.
#[rstest]
#[case::status("HTTP/1.1 200 ", "HTTP/1.1 000 ")]
#[case::letter("HTTP/1.1 200 ", "HTTP/1.1 2O0 ")]
#[case::control("\r\n\r\n", "\r\nX-\x01: 1\r\n\r\n")]
#[case::blank("\r\n\r\n", "\r\nX Blank: 1\r\n\r\n")]
#[case::no_field("\r\n\r\n", "\r\nno field\r\n\r\n")]
#[case::lengths("\r\n\r\n", "\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n")]
#[case::length_and_chunks(
    "\r\n\r\n",
    "\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
)]
#[case::coding("\r\n\r\n", "\r\nTransfer-Encoding: gzip\r\n\r\n")]
fn store(#[case] old: &'static str, #[case] new: &'static str) {
    let deployment = Deployment::start();
    let ip = fresh_ip();
    let link = Proxy::start(&ip, deployment.store.address());
    let mut host = deployment.spawn_at("front-1", &ip, link.address());
    let version = || host.metric("vanetally_configuration_version");
    wait_for("the first version is in force", || version() == Some(1.0));
    link.set_mode(ProxyMode::Reset);
    thread::sleep(Duration::from_millis(100));
    link.set_mode(ProxyMode::Replace(old, new));
    deployment.configure(2, &["added"]);
    deployment.store.remove("servers/i-desk-0");
    thread::sleep(Duration::from_secs(3));
    assert_eq!(version(), Some(1.0), "nothing was taken from spoilt answers");
    let answer = request("/check/1", 0).send(host.front);
    assert_eq!(answer.status, 200, "requests are served with what is known: {answer:?}");
    let log = deployment.log("front-1");
    assert!(log.contains("event=store_lost"), "{log}");
    link.set_mode(ProxyMode::Pass);
    wait_for("the next version is in force", || version() == Some(2.0));
    assert!(host.try_wait().is_none(), "the process lives");
}
