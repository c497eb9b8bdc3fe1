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

/// Starts a service that answers each request with these bytes and closes the connection; returns its URL.
fn start_service(bytes: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    thread::spawn(move || listener.incoming().flatten().for_each(|stream| answer(stream, &bytes)));
    url
}

fn answer(mut stream: TcpStream, bytes: &str) {
    let mut request = Vec::new();
    let mut piece = [0; 1_024];
    while !request.ends_with(REQUEST_BODY) {
        match stream.read(&mut piece) {
            Ok(length) if length > 0 => request.extend_from_slice(&piece[..length]),
            _ => return,
        }
    }
    // The caller may have left.
    let _ = stream.write_all(bytes.as_bytes());
}

fn events(length: usize, end: &str, is_broken: bool) -> String {
    let whole = format!("data: {}{end}{end}", "x".repeat(length));
    if is_broken { format!("{whole}data: y{end}") } else { whole }
}

/// Starts a host with the services `whole` and `broken`, which answer with these bodies.
fn start_site(whole: &str, broken: &str) -> Site {
    start_raw_site(format!("{HEAD}{whole}"), format!("{HEAD}{broken}"))
}

/// Starts a host with the services `whole` and `broken`, which answer with these bytes.
fn start_raw_site(whole: String, broken: String) -> Site {
    let service = |name: &str, bytes: String| {
        let url = start_service(bytes);
        let instance = json!({"name": format!("{name}-1"), "url": url, "domain": "a", "slots": 64});
        json!({"name": name, "labels": {"kind": "plain"}, "instances": [instance]})
    };
    let extra = json!({ "services": [service("whole", whole), service("broken", broken)] });
    Site::start(SiteOptions { hosts: 1, extra, ..SiteOptions::default() })
}

/// Calls a service with HTTP/1.0; returns the body of an answer that is complete as far as the caller can tell.
fn call_old(site: &Site, service: &str) -> Option<String> {
    let address = site.hosts[0].url.trim_start_matches("http://").to_owned();
    let mut stream = TcpStream::connect(address).expect("the host accepts connections");
    let head = format!(
        "POST /services/{service}/x HTTP/1.0\r\nAuthorization: Bearer {}\r\n",
        support::TOKEN
    );
    let request = format!("{head}Content-Length: 4\r\n\r\nbook");
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let stated = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
    let is_complete = stated.is_none_or(|length: usize| length == body.len());
    (is_complete && head.contains(" 200 ")).then(|| body.to_owned())
}

/// A caller of HTTP/1.0 can tell a broken answer from a whole one.
#[rstest]
fn old_caller(#[values(SHORT, LONG)] length: usize) {
    let (whole, broken) = (events(length, "\n", false), events(length, "\n", true));
    let site = start_site(&whole, &broken);
    assert_eq!(call_old(&site, "whole"), Some(whole));
    assert_eq!(call_old(&site, "broken"), None);
}

/// A service that closes before its first event has not answered, also if it has shown that it is there.
#[test]
fn service_without_event() {
    let site = start_site("", ": here\n\n");
    for service in ["whole", "broken"] {
        let answer = site.hosts[0].try_service(&format!("{service}/x"), service);
        let status = answer.map_or(0, |answer| answer.status);
        assert_eq!(status, 502, "{service}");
    }
}

#[rstest]
fn service_closes(#[values(SHORT, LONG)] length: usize, #[values("\n", "\r\n", "\r")] end: &str) {
    let (whole, broken) = (events(length, end, false), events(length, end, true));
    let site = start_site(&whole, &broken);
    let call = |service: &str| site.hosts[0].try_service(&format!("{service}/x"), service);
    let answer = call("whole").expect("it is whole");
    assert_eq!((answer.status, answer.body == whole), (200, true));
    // A short answer is replaced by an error, and a long one cut off.
    let broken = call("broken").map(|answer| answer.status);
    assert!(broken.is_err() || broken.is_ok_and(|status| status == 502));
}

/// A success that says that the request has not run proves neither; callers are not told that they may send it again.
#[test]
fn contradicted_verdict() {
    let answer = |verdict: &str| {
        format!("HTTP/1.1 200 OK\r\n{verdict}Connection: close\r\nContent-Length: 4\r\n\r\ndone")
    };
    let site = start_raw_site(answer(""), answer("X-Verdict: not-run\r\n"));
    let call = |service: &str| site.hosts[0].try_service(&format!("{service}/x"), service);
    assert_eq!(call("whole").expect("an answer").status, 200);
    let broken = call("broken").expect("an answer");
    assert_eq!((broken.status, broken.verdict()), (502, Some("may-have-run")));
}

/// A status that answers a range or a condition only is no answer to a request without one.
#[rstest]
#[case("206 Partial Content", "Content-Length: 4\r\n\r\npart", "Range", 206)]
#[case("304 Not Modified", "\r\n", "If-None-Match", 304)]
fn unasked_status(
    #[case] status: &str,
    #[case] rest: &str,
    #[case] field: &str,
    #[case] expected: u16,
) {
    let answer = format!("HTTP/1.1 {status}\r\nConnection: close\r\n{rest}");
    let site = start_raw_site(answer.clone(), answer);
    let asked = site.hosts[0].service("whole/x", &[(field, "x")], "book");
    assert_eq!(asked.status, expected);
    let unasked = site.hosts[0].service("whole/x", &[], "book");
    assert_eq!((unasked.status, unasked.verdict()), (502, Some("may-have-run")));
}

/// What an answer lists as meant for its connection only is neither passed on nor acted on.
#[test]
fn listed_fields() {
    let answer = |listed: &str| {
        format!(
            "HTTP/1.1 503 Full\r\nX-Verdict: not-run\r\nX-Detail: 1\r\nConnection: close{listed}\r\nContent-Length: 4\r\n\r\nfull"
        )
    };
    let site = start_raw_site(answer(""), answer(", X-Detail, x-verdict"));
    let call = |service: &str| site.hosts[0].service(&format!("{service}/x"), &[], "book");
    assert_eq!(call("whole").verdict(), Some("not-run"));
    let broken = call("broken");
    assert_eq!((broken.verdict(), broken.header("x-detail")), (Some("ran"), None));
}
