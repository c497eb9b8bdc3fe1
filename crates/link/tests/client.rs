//! Connections of the HTTP client.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};
use vanetally_link::call::{Call, Client, Options};

const OPTIONS: Options =
    Options { connect_timeout: Duration::from_secs(2), idle_timeout: Duration::from_secs(2) };
const ANSWER: &[u8] = b"HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";
const CALLS: usize = 4;

/// Answers all calls, each on its connection, and sends a copy of the answer when the next call arrives there.
fn answer_twice(mut stream: TcpStream) {
    let mut buffer = [0; 4_096];
    let mut answers = 1;
    while stream.read(&mut buffer).is_ok_and(|length| length > 0) {
        if stream.write_all(&ANSWER.repeat(answers)).is_err() {
            return;
        }
        answers = 2;
    }
}

/// Starts a server; returns its address and the number of its connections.
fn start() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            count.fetch_add(1, Ordering::Relaxed);
            thread::spawn(move || answer_twice(stream));
        }
    });
    (address, connections)
}

/// Whoever can't tell an answer from a copy of an earlier one uses each connection once.
#[test]
fn no_connection_used_twice() {
    let (address, connections) = start();
    let client = Client::without_reuse(OPTIONS);
    let call = Call {
        method: "POST".into(),
        url: format!("http://{address}/order"),
        headers: Vec::new(),
        body: b"an order".to_vec(),
        timeout: OPTIONS.connect_timeout,
    };
    for _ in 0..CALLS {
        let mut answer = client.send(&call).expect("an answer");
        assert_eq!(answer.status, 202);
        answer.body.read_to_end(&mut Vec::new()).expect("no body");
    }
    assert_eq!(connections.load(Ordering::Relaxed), CALLS);
}
