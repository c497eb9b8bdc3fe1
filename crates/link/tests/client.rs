//! Connections of the HTTP client.

use rstest::rstest;
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
use vanetally_link::{
    call::{Call, Client, Options},
    platform::{HttpPlatform, Platform},
};
use vanetally_types::Verdict;

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

/// Answers all calls on a connection with `text`.
fn answer_with(mut stream: TcpStream, text: &str) {
    let mut buffer = [0; 4_096];
    while stream.read(&mut buffer).is_ok_and(|length| length > 0) {
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Starts a server; returns its address and the number of its connections.
fn start(serve: impl Fn(TcpStream) + Copy + Send + 'static) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            count.fetch_add(1, Ordering::Relaxed);
            thread::spawn(move || serve(stream));
        }
    });
    (address, connections)
}

fn call_to(address: SocketAddr) -> Call {
    Call {
        method: "POST".into(),
        url: format!("http://{address}/order"),
        headers: Vec::new(),
        body: b"an order".to_vec(),
        timeout: OPTIONS.connect_timeout,
    }
}

/// Whoever can't tell an answer from a copy of an earlier one uses each connection once.
#[test]
fn no_connection_used_twice() {
    let (address, connections) = start(answer_twice);
    let client = Client::without_reuse(OPTIONS);
    let call = call_to(address);
    for _ in 0..CALLS {
        let mut answer = client.send(&call).expect("an answer");
        assert_eq!(answer.status, 202);
        answer.body.read_to_end(&mut Vec::new()).expect("no body");
    }
    assert_eq!(connections.load(Ordering::Relaxed), CALLS);
}

/// Bytes that are no answer are an error after which the request may have run, and their connection is not used again.
#[rstest]
#[case::no_field("HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::blank_in_name("HTTP/1.1 200 OK\r\nX Seal: 1\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::blank_after_name("HTTP/1.1 200 OK\r\nX-Seal : 1\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::folded("HTTP/1.1 200 OK\r\nX-Seal: 1\r\n 2\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::no_status("HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::status_out_of_range("HTTP/1.1 999 None\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::bare_line_ends("HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole")]
#[case::two_lengths(
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
)]
#[case::repeated_length("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::spoilt_length("HTTP/1.1 200 OK\r\nContent-Length: 4O\r\n\r\nwhole")]
#[case::spoilt_coding(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
)]
#[case::spoilt_chunk(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwhole\r\n0\r\n\r\n"
)]
#[case::spoilt_trailer(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nno field\r\n\r\n"
)]
#[case::beyond_length("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole and more")]
#[case::two_types(
    "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Type: a/c\r\nContent-Length: 5\r\n\r\nwhole"
)]
fn no_answer(#[case] text: &'static str) {
    let (address, connections) = start(move |stream| answer_with(stream, text));
    let client = Client::new(OPTIONS);
    for number in 1..=2 {
        let verdict = match client.send(&call_to(address)) {
            Err(error) => error.verdict,
            Ok(mut answer) => {
                let read = answer.body.read_to_end(&mut Vec::new());
                assert!(read.is_err(), "{} {read:?}", answer.status);
                Verdict::MayHaveRun
            }
        };
        assert_eq!(verdict, Verdict::MayHaveRun);
        assert_eq!(connections.load(Ordering::Relaxed), number, "a connection was used again");
    }
}

/// A value of the platform that is longer than what is read of it is no value.
#[test]
fn longer_value() {
    let answer = |length: usize| {
        move |mut stream: TcpStream| {
            let head =
                format!("HTTP/1.1 200 OK\r\nX-Version: 3\r\nContent-Length: {length}\r\n\r\n");
            let _ = stream.read(&mut [0; 4_096]);
            // The client may leave before the end.
            let _ = stream.write_all(&[head.as_bytes(), &vec![b'x'; length]].concat());
        }
    };
    for (length, is_value) in [(2_000_000, true), (2_000_001, false)] {
        let (address, _) = start(answer(length));
        let url = format!("http://{address}");
        let platform = HttpPlatform::new(&url, "credential".into(), OPTIONS.idle_timeout);
        let read = platform.get("config").map(|value| value.map(|value| value.bytes.len()));
        assert_eq!(read.is_ok(), is_value, "{length} bytes: {read:?}");
    }
}

/// A body for which there is no room is not read.
#[test]
fn body_without_room() {
    const TEXT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    let (address, _) = start(|stream| answer_with(stream, TEXT));
    let answer = Client::new(OPTIONS).send(&call_to(address)).expect("an answer");
    assert!(answer.read_whole(5, |_| false).is_err());
}

/// A body that is longer than what is read of it is no whole one.
#[test]
fn longer_body() {
    const TEXT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    let (address, _) = start(|stream| answer_with(stream, TEXT));
    let client = Client::new(OPTIONS);
    let read = |max| client.send(&call_to(address)).expect("an answer").read_whole(max, |_| true);
    assert_eq!(read(5).expect("all of it"), b"whole");
    assert!(read(4).is_err(), "a part looks whole");
}
