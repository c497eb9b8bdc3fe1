//! Services of the daemon whose answers consist of events and end with their connection.
//!
//! Guards against answers that reach their callers as complete although they stop inside an event.

mod support;

use rstest::rstest;
use serde_json::json;
use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
};
use support::{Site, SiteOptions};

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
/// Body of the requests. A service that closes before it has read it resets the connection.
const REQUEST_BODY: &[u8] = b"book";
/// Length of an event, in bytes: of a short answer, and of one that is passed on as it arrives.
const SHORT: usize = 10;
const LONG: usize = 200_000;

/// Starts a service that answers each request with `body` and closes the connection; returns its URL.
fn start_service(body: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    thread::spawn(move || listener.incoming().flatten().for_each(|stream| answer(stream, &body)));
    url
}

fn answer(mut stream: TcpStream, body: &str) {
    let mut request = Vec::new();
    let mut piece = [0; 1_024];
    while !request.ends_with(REQUEST_BODY) {
        match stream.read(&mut piece) {
            Ok(length) if length > 0 => request.extend_from_slice(&piece[..length]),
            _ => return,
        }
    }
    // The caller may have left.
    let _ = stream.write_all(format!("{HEAD}{body}").as_bytes());
}

fn events(length: usize, end: &str, is_broken: bool) -> String {
    let whole = format!("data: {}{end}{end}", "x".repeat(length));
    if is_broken { format!("{whole}data: y{end}") } else { whole }
}

/// Starts a host with a service that answers with `body`.
fn start_site(body: &str) -> Site {
    let url = start_service(body.to_owned());
    let instance = json!({"name": "read-1", "url": url, "domain": "a", "slots": 64});
    let service = json!({"name": "read", "labels": {"kind": "plain"}, "instances": [instance]});
    let extra = json!({ "services": [service] });
    Site::start(SiteOptions { hosts: 1, extra, ..SiteOptions::default() })
}

/// A caller of HTTP/1.0 can tell a broken answer from a whole one.
#[rstest]
fn old_caller(#[values(SHORT, LONG)] length: usize, #[values(true, false)] is_broken: bool) {
    let body = events(length, "\n", is_broken);
    let site = start_site(&body);
    let address = site.hosts[0].url.trim_start_matches("http://").to_owned();
    let mut stream = TcpStream::connect(address).expect("the host accepts connections");
    let head = format!(
        "POST /services/read/articles HTTP/1.0\r\nAuthorization: Bearer {}\r\n",
        support::TOKEN
    );
    let request = format!("{head}Content-Length: 4\r\n\r\nbook");
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    let (head, received) = answer.split_once("\r\n\r\n").expect("an answer");
    let stated = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
    let is_complete = read.is_ok() && stated.is_none_or(|length: usize| length == received.len());
    let is_success = is_complete && head.contains(" 200 ");
    assert_eq!(is_success, !is_broken, "{head}");
    assert!(is_broken || received == body);
}

#[rstest]
fn service_closes(
    #[values(SHORT, LONG)] length: usize,
    #[values("\n", "\r\n", "\r")] end: &str,
    #[values(true, false)] is_broken: bool,
) {
    let body = events(length, end, is_broken);
    let site = start_site(&body);
    let answer = site.hosts[0].try_service("read/articles", support::TOKEN);
    let is_whole = answer.is_ok_and(|answer| answer.status == 200 && answer.body == body);
    assert_eq!(is_whole, !is_broken);
}
