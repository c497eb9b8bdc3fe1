//! Clients on slow lines read their answers slowly, and take some of them all the time.

use crate::kit::{
    BROKEN, Folder, HELD, Host, NOT_RUN, Record, SITE, Server, connect_small, fresh_ip, read_head,
    settings, signal, signed,
};
use serde_json::json;
use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::Store;

/// How a client reads.
#[derive(Clone, Copy)]
struct Line {
    /// Size of the system's receive buffer of its connection.
    receive_bytes: usize,
    bytes_per_s: usize,
    /// Bytes that are read at a time.
    piece: usize,
}

/// Time that a request may take, by its client and by its route.
const DEADLINE_MS: usize = 15_000;
/// The answers: a page of an article, and a short one.
const PAGE_BYTES: usize = 60_000;
const SHORT_BYTES: usize = 800;

const DESK: &str = "serwis-www";

/// A request that was cut is counted if it was sent within this time of the SIGHUP (`config_apply_ms`).
const CONFIG_APPLY: Duration = Duration::from_secs(2);
const ZONES: [&str; 3] = ["hala-bemowo", "hala-zeran", "hala-okecie"];

/// Store, server and three hosts.
struct Site {
    hosts: Vec<Host>,
    /// Ids of the requests that ran, in order.
    runs: Arc<Mutex<Vec<String>>>,
    _folder: Folder,
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 1,
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "services": [{ "name": DESK, "health_path": "/health", "max_connections": 110 }],
        "routes": [{
            "name": "book", "host": SITE, "path_prefix": "/book/", "type": "non_idempotent",
            "timeout_ms": DEADLINE_MS, "target_latency_ms": 1000, "priority": 1, "service": DESK,
            "max_attempts": 1, "resumable": false,
        }],
    })
}

fn start(record: &Record) -> io::Result<Option<Site>> {
    let folder = Folder::create()?;
    let store = Store::start(&fresh_ip());
    store.put("op/config", &configuration());
    let runs = Arc::new(Mutex::new(Vec::<String>::new()));
    let (seen, log) = (runs.clone(), record.clone());
    let server = Server::start("i-desk-0", move |request, stream| {
        if request.path() == "/health" {
            return answer(stream, "X-Instance-Id: i-desk-0\r\n", "");
        }
        let id = request.header("x-attempt-id").unwrap_or("-").to_owned();
        log.line(format!("server i-desk-0 runs {id}: {}", request.start));
        seen.lock().expect("lock").push(id.clone());
        let bytes = if request.path() == "/book/page" { PAGE_BYTES } else { SHORT_BYTES };
        answer(stream, &signed(request), &"x".repeat(bytes))?;
        log.line(format!("server i-desk-0 has written its whole answer to {id}: {bytes} bytes"));
        Ok(())
    })?;
    server.announce(&store, DESK, ZONES[0], &[]);
    let mut hosts = Vec::new();
    for (number, zone) in ZONES.into_iter().enumerate() {
        let (name, ip) = (format!("front-{number}"), fresh_ip());
        let settings = settings(&name, zone, &ip, store.address());
        hosts.push(Host::start(&folder.0, &name, &ip, &settings)?);
    }
    if !hosts.iter().all(|host| host.await_ready(Duration::from_secs(15))) {
        record.line("a host is not ready");
        return Ok(None);
    }
    // In touch: nothing was done to the host or the store for contact_ms.
    thread::sleep(Duration::from_millis(3_500));
    Ok(Some(Site { hosts, runs, _folder: folder }))
}

fn answer(stream: &mut TcpStream, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Sends a request on a connection and reads the head of its answer; returns what came with it of the body.
fn send(record: &Record, stream: &mut TcpStream, id: &str, path: &str) -> io::Result<Vec<u8>> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {SITE}\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nbook"
    );
    stream.write_all(request.as_bytes())?;
    record.line(format!("client sends {id}: POST {path}, deadline {DEADLINE_MS} ms"));
    let head = read_head(stream)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    record.line(format!("client gets the head of {id}: {}", head.start));
    if head.status() != 200 {
        return Err(io::Error::other(format!("status {}", head.status())));
    }
    Ok(head.body)
}

/// Reads the rest of an answer of `all` bytes at the speed of the line; returns whether it came.
fn read_slowly(
    record: &Record,
    stream: &mut TcpStream,
    id: &str,
    (mut body, all): (Vec<u8>, usize),
    line: Line,
) -> bool {
    let (began, first) = (Instant::now(), body.len());
    let (mut last, mut longest_ms) = (began, 0);
    let mut piece = vec![0; line.piece];
    while body.len() < all {
        let read_bytes = (body.len() - first) as f64;
        let due = began + Duration::from_secs_f64(read_bytes / line.bytes_per_s as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let read = stream.read(&mut piece);
        longest_ms = longest_ms.max(last.elapsed().as_millis());
        last = Instant::now();
        let error = match read {
            Ok(0) => "the connection was closed".to_owned(),
            Ok(count) => {
                body.extend_from_slice(&piece[..count]);
                continue;
            }
            Err(error) => error.to_string(),
        };
        record.line(format!(
            "client has {} of {all} bytes of {id}, read over {:.3} s with no pause over {longest_ms} ms; then: {error}",
            body.len(),
            began.elapsed().as_secs_f64()
        ));
        return false;
    }
    record.line(format!(
        "client has the whole answer to {id}, read over {:.3} s with no pause over {longest_ms} ms",
        began.elapsed().as_secs_f64()
    ));
    true
}

/// Clients read slowly; the settings file of the host is announced as changed before their requests.
pub fn run(record: &Record, has_trouble: bool) -> io::Result<i32> {
    const CLIENTS: usize = 6;
    let bytes_per_s = if has_trouble { 8_000 } else { 3_000_000 };
    let line = Line { receive_bytes: 16_384, bytes_per_s, piece: 1_000 };
    let Some(site) = start(record)? else { return Ok(NOT_RUN) };
    let front = site.hosts[0].front;
    let told_at = Instant::now();
    if has_trouble {
        let is_told = signal(site.hosts[0].id(), "HUP");
        record.line(format!("SIGHUP to one host of three: {is_told}"));
    }
    let clients = (0..CLIENTS).map(|number| {
        let record = record.clone();
        thread::spawn(move || client(&record, front, number, line, told_at))
    });
    let clients: Vec<_> = clients.collect();
    let mut cut = Vec::new();
    for client in clients {
        match client.join() {
            Ok(Ok(request)) => cut.extend(request),
            Ok(Err(error)) => {
                record.line(format!("a client could not run: {error}"));
                return Ok(NOT_RUN);
            }
            Err(_) => return Ok(NOT_RUN),
        }
    }
    let runs = site.runs.lock().expect("lock").clone();
    record.line(format!("runs: {runs:?}"));
    // Only what was passed on to the server.
    cut.retain(|request| runs.contains(request));
    Ok(verdict(record, cut.len()))
}

/// One client: a short answer, then a page on the same connection. Returns the request if it was cut as the rule says:
/// sent within `config_apply_ms` of the SIGHUP and ended before its deadline and the route's timeout.
fn client(
    record: &Record,
    front: SocketAddr,
    number: usize,
    line: Line,
    told_at: Instant,
) -> io::Result<Option<String>> {
    let mut stream = connect_small(front, line.receive_bytes)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let (short, page) = (format!("short-{number}"), format!("page-{number}"));
    let body = send(record, &mut stream, &short, "/book/short")?;
    let fast = Line { bytes_per_s: 3_000_000, ..line };
    if !read_slowly(record, &mut stream, &short, (body, SHORT_BYTES), fast) {
        return Err(io::Error::other("the short answer is not whole"));
    }
    let sent_at = Instant::now();
    let body = send(record, &mut stream, &page, "/book/page")?;
    let is_whole = read_slowly(record, &mut stream, &page, (body, PAGE_BYTES), line);
    let is_in_time = sent_at.duration_since(told_at) <= CONFIG_APPLY;
    let is_before_deadline = sent_at.elapsed() < Duration::from_millis(DEADLINE_MS as u64);
    Ok((!is_whole && is_in_time && is_before_deadline).then_some(page))
}

/// The rule around planned work states no number.
fn verdict(record: &Record, lost: usize) -> i32 {
    let is_broken = lost > 0;
    let word = if is_broken { "LOST is broken" } else { "LOST held" };
    record.line(format!(
        "{word}: {lost} requests ran, and their connections ended without a complete answer"
    ));
    if is_broken { BROKEN } else { HELD }
}
