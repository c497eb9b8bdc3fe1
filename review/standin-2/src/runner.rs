//! Instance of a plain service: answers each request after some work, and its health check.

use crate::record::Record;
use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A request that was run.
#[derive(Clone)]
pub struct Run {
    /// Its id.
    pub id: String,
    /// The organisation that the host stated.
    pub tenant: String,
    /// When it arrived.
    pub at: Instant,
}

/// Events of a stream.
const EVENTS: usize = 4;
/// The wrong length that a spoilt stream states.
const WRONG_LENGTH: usize = 40;
/// One of so many streams is spoilt.
const SPOILT_ONE_IN: usize = 50;

/// How an instance answers with streams in chunks.
#[derive(Clone, Default)]
pub struct Streams {
    /// Whether some of them also state a length.
    pub are_spoilt: Arc<AtomicBool>,
    count: Arc<AtomicUsize>,
    spoilt: Arc<AtomicUsize>,
}

impl Streams {
    /// Returns the number of streams that were spoilt.
    pub fn spoilt(&self) -> usize {
        self.spoilt.load(Ordering::Relaxed)
    }
}

/// Returns the whole body of the stream that answers a request.
pub fn stream_body(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

fn event(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {number} of {id}\n\n")
}

/// An instance on loopback.
#[derive(Clone)]
pub struct Runner {
    id: String,
    work: Duration,
    body: Arc<Vec<u8>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    streams: Option<Streams>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Runner {
    /// Starts an instance that works for `work` on a request and answers with `bytes` bytes.
    pub fn start(id: &str, work: Duration, bytes: usize, record: &Record) -> Self {
        Self::start_with(id, work, bytes, None, record)
    }

    /// Starts an instance that answers with streams.
    pub fn start_streams(id: &str, work: Duration, streams: &Streams, record: &Record) -> Self {
        Self::start_with(id, work, 0, Some(streams.clone()), record)
    }

    fn start_with(
        id: &str,
        work: Duration,
        bytes: usize,
        streams: Option<Streams>,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let runner = Self {
            id: id.to_owned(),
            work,
            body: Arc::new(vec![b'z'; bytes]),
            runs: Arc::default(),
            record: record.clone(),
            streams,
            address: listener.local_addr().expect("an address"),
        };
        let server = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        runner
    }

    /// Returns the requests that were run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("lock is not poisoned").clone()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first)? == 0 {
                return Ok(());
            }
            let mut headers = BTreeMap::new();
            loop {
                let mut line = String::new();
                reader.read_line(&mut line)?;
                let Some((name, value)) = line.trim_end().split_once(':') else { break };
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            let length = headers.get("content-length").and_then(|text| text.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            reader.read_exact(&mut body)?;
            let Some(id) = headers.get("x-attempt-id") else {
                write!(
                    writer,
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )?;
                continue;
            };
            let tenant = headers.get("x-tenant").cloned().unwrap_or_default();
            let run = Run { id: id.clone(), tenant, at: Instant::now() };
            self.record.line(&format!("run request={id} at={} tenant={}", self.id, run.tenant));
            self.runs.lock().expect("lock is not poisoned").push(run);
            thread::sleep(self.work);
            if let Some(streams) = &self.streams {
                self.write_stream(&mut writer, id, streams)?;
                continue;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-{id}\r\nContent-Length: {}\r\n\r\n",
                self.body.len()
            );
            writer.write_all(head.as_bytes())?;
            writer.write_all(&self.body)?;
        }
    }

    fn write_stream(&self, writer: &mut TcpStream, id: &str, streams: &Streams) -> io::Result<()> {
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-{id}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n"
        );
        let is_turn =
            streams.count.fetch_add(1, Ordering::Relaxed) % SPOILT_ONE_IN == SPOILT_ONE_IN / 2;
        if is_turn && streams.are_spoilt.load(Ordering::Relaxed) {
            streams.spoilt.fetch_add(1, Ordering::Relaxed);
            self.record
                .line(&format!("spoilt request={id} at={} states length {WRONG_LENGTH}", self.id));
            head.push_str(&format!("Content-Length: {WRONG_LENGTH}\r\n"));
        }
        writer.write_all(format!("{head}\r\n").as_bytes())?;
        for number in 1..=EVENTS {
            let event = event(id, number);
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
