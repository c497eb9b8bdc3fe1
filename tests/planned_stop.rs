//! A planned stop of one host, whose callers go on sending to it.
//!
//! Guards against requests that are taken although they can't end before their host does.

mod gateway;

use gateway::{Deployment, Host, wait_for};
use rstest::rstest;
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Behaviour, Client, ClientAnswer, Runner, Session};

const CALLERS: u64 = 40;
/// Time between the requests of two callers.
const SPACING: Duration = Duration::from_millis(200);
/// Share of the requests after the signal that short answers still get.
const ACCEPTED: usize = 8;

/// A request and what became of it.
struct Exchange {
    id: String,
    answer: ClientAnswer,
    /// Time from the signal to the request.
    after_signal: Duration,
}

fn offer(id: &str) -> Client {
    Client::new("POST", "/offer/1", id).with("X-Model", "m1").body(id.as_bytes())
}

/// Has each caller open a connection by one request, and send another one on it after the signal, one caller after the
/// other until the host is gone. `change` happens with the signal.
fn send_late(host: &mut Host, change: impl FnOnce()) -> Vec<Exchange> {
    let front = host.front;
    let mut sessions: Vec<Session> = (0..CALLERS).map(|_| Session::new()).collect();
    thread::scope(|scope| {
        for (number, session) in sessions.iter_mut().enumerate() {
            scope.spawn(move || {
                let answer = offer(&format!("early{number}")).send_on(session, front);
                assert_eq!(answer.status, 200, "{answer:?}");
            });
        }
    });
    let send = |number: usize, mut session: Session| {
        let (after_signal, id) = (SPACING * number as u32, format!("late{number}"));
        thread::sleep(after_signal);
        let answer = offer(&id).send_on(&mut session, front);
        Exchange { id, answer, after_signal }
    };
    change();
    host.signal("TERM");
    thread::scope(|scope| {
        let send = &send;
        let sessions = sessions.into_iter().enumerate();
        let callers = sessions.map(|(number, session)| scope.spawn(move || send(number, session)));
        let callers: Vec<_> = callers.collect();
        assert_eq!(host.wait(), Some(0));
        callers.into_iter().map(|caller| caller.join().expect("it ends")).collect()
    })
}

/// Checks that each request that an upstream ran has a complete answer, and that none runs that was said not to.
fn check(exchanges: &[Exchange], runner: &Runner) {
    let runs = runner.runs();
    for Exchange { id, answer, after_signal } in exchanges {
        let ran = runs.get(id).copied().unwrap_or(0);
        println!("{id} after {after_signal:?}: {} ran {ran}", answer.status);
        assert!(ran <= 1, "{id} ran {ran} times");
        if [429, 503].contains(&answer.status) {
            assert_eq!(ran, 0, "{id} was refused as not run: {answer:?}");
        }
        if ran > 0 {
            let is_whole = answer.status != 0 && answer.is_complete;
            assert!(is_whole, "{id} was cut, sent {after_signal:?} after the signal: {answer:?}");
        }
    }
}

fn start() -> (Deployment, Host) {
    let deployment = Deployment::start();
    deployment.configure_limits(2, &serde_json::json!({}), 64);
    let engine = &deployment.engines[0];
    engine.set_slots(64);
    let (key, value) = engine.entry();
    deployment.store.put(&key, &value);
    let host = deployment.host("front-1");
    (deployment, host)
}

/// Answers that take so long that those to late requests do not end before their host, known before or not.
#[rstest]
#[case::known(600, 6_000)]
#[case::unknown(10, 6_000)]
#[case::never(10, 60_000)]
fn late_requests(#[case] before_ms: u64, #[case] work_ms: u64) {
    let (deployment, mut host) = start();
    let engine = &deployment.engines[0];
    engine.set_behaviour(Behaviour::Slots { work_ms: before_ms, queue: 0 });
    let exchanges =
        send_late(&mut host, || engine.set_behaviour(Behaviour::Slots { work_ms, queue: 0 }));
    check(&exchanges, engine);
}

/// Requests with short answers are served as long as callers may not know of the stop.
#[test]
fn short_requests() {
    let (deployment, mut host) = start();
    let engine = &deployment.engines[0];
    engine.set_behaviour(Behaviour::Slots { work_ms: 50, queue: 0 });
    let exchanges = send_late(&mut host, || {});
    check(&exchanges, engine);
    let served = exchanges.iter().filter(|one| one.answer.status == 200).count();
    assert!(served >= ACCEPTED, "{served} served");
}

/// A caller that takes its answer slowly still gets all of it.
#[test]
fn unread_answer() {
    const LENGTH: usize = 200_000;
    let deployment = Deployment::start();
    let mut host = deployment.host("front-1");
    let text: String = "x".repeat(LENGTH);
    let whole = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {{id}}\r\nX-Server-Seal: s\r\nContent-Length: {LENGTH}\r\n\r\n{text}"
    );
    let desk = &deployment.desks[0];
    desk.set_behaviour(Behaviour::Text(whole.leak()));
    host.signal("TERM");
    let callers: Vec<_> = (0..4)
        .map(|number| {
            let front = host.front;
            thread::spawn(move || read_slowly(front, number))
        })
        .collect();
    wait_for("all are answered", || desk.requests().len() == callers.len());
    for caller in callers {
        let length = caller.join().expect("it ends");
        assert!(length > LENGTH, "{length} bytes of an answer of {LENGTH} and its head");
    }
    let ended = Instant::now();
    assert_eq!(host.wait(), Some(0));
    assert!(ended.elapsed() < Duration::from_secs(1), "the host waits for nothing");
}

/// Reads an answer after a pause; returns the number of bytes up to its end.
fn read_slowly(front: SocketAddr, number: usize) -> usize {
    use std::io::{Read, Write};
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    socket.set_recv_buffer_size(8_192).expect("a small buffer");
    socket.connect(&front.into()).expect("a connection");
    let mut stream = std::net::TcpStream::from(socket);
    let head = format!(
        "GET /check/1 HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: s{number}\r\nX-Deadline-Ms: 20000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the request is sent");
    thread::sleep(Duration::from_millis(3_300));
    let (mut buffer, mut total) = ([0; 4_096], 0);
    while total <= 200_000 {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => total += length,
            _ => break,
        }
        thread::sleep(Duration::from_millis(50));
    }
    total
}
