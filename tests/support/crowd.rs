//! Callers that do not behave: many connections at once, most of which stop before their end and stay open.

#![allow(dead_code)]

use socket2::SockRef;
use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time without any progress after which a crowd has sent what is taken from it.
const SETTLED: Duration = Duration::from_millis(500);
/// Maximum time in which a crowd sends.
const MAX_TIME: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(2);
/// Bytes of an answer that a caller reads at a time.
const READ_BYTES: usize = 4_096;

/// What each caller of a crowd sends.
#[derive(Clone)]
pub struct Script {
    /// Method of the requests.
    pub method: &'static str,
    /// Path of the requests.
    pub path: &'static str,
    /// Header lines of the requests, besides those that all requests have.
    pub headers: String,
    /// What follows the head, as far as it is sent.
    pub body: Arc<[u8]>,
    /// Bytes that are sent at a time.
    pub piece: usize,
    /// Whether answers are read.
    pub reads: bool,
    /// Maximum number of bytes of an answer that are kept.
    pub kept: usize,
}

impl Script {
    /// A body that states `length` bytes, of which `sent` are sent.
    pub fn with_length(length: usize, sent: usize) -> Self {
        let headers = format!("Content-Length: {length}\r\n");
        Self {
            method: "POST",
            path: "/check/1",
            headers,
            body: vec![b'x'; sent].into(),
            piece: usize::MAX,
            reads: true,
            kept: usize::MAX,
        }
    }

    /// A body in chunks; `body` is what is sent of them.
    pub fn in_chunks(body: Vec<u8>) -> Self {
        let headers = "Transfer-Encoding: chunked\r\n".to_owned();
        Self { body: body.into(), headers, ..Self::with_length(0, 0) }
    }

    fn bytes(&self, id: &str) -> Vec<u8> {
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 20000\r\n{}\r\n",
            self.method, self.path, self.headers
        );
        head.into_bytes()
    }
}

/// Returns the chunks of a body of `total` bytes, each of `size` bytes, without the last chunk.
pub fn chunks(total: usize, size: usize) -> Vec<u8> {
    let chunk = [format!("{size:x}\r\n").as_bytes(), &vec![b'x'; size], b"\r\n"].concat();
    chunk.repeat(total / size)
}

/// A connection of a crowd.
pub struct Member {
    stream: TcpStream,
    head: Vec<u8>,
    body: Arc<[u8]>,
    piece: usize,
    reads: bool,
    kept: usize,
    sent: usize,
    answer: Vec<u8>,
    is_closed: bool,
    is_cut: bool,
}

impl Member {
    fn connect(address: SocketAddr, number: usize, script: &Script) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(5)).ok()?;
        stream.set_nonblocking(true).ok()?;
        // What the crowd has sent must not be kept on this side of the connection.
        SockRef::from(&stream).set_send_buffer_size(16_384).ok()?;
        Some(Self {
            stream,
            head: script.bytes(&format!("crowd-{number}")),
            body: script.body.clone(),
            piece: script.piece,
            reads: script.reads,
            kept: script.kept,
            sent: 0,
            answer: Vec::new(),
            is_closed: false,
            is_cut: false,
        })
    }

    /// Status of the answer, once its head has begun.
    pub fn status(&self) -> Option<u16> {
        let text = std::str::from_utf8(self.answer.get(9..12)?).ok()?;
        text.parse().ok()
    }

    /// Whether the connection broke while the caller was still sending.
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Whether the host has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// The answer as far as it was read.
    pub fn answer(&self) -> String {
        String::from_utf8_lossy(&self.answer).into_owned()
    }

    /// Sends nothing more.
    pub fn stop(&mut self) {
        self.piece = 0;
    }

    /// Reads the answer from now on.
    pub fn start_reading(&mut self) {
        self.reads = true;
    }

    /// Sends the head and a byte of the body, and pauses.
    pub fn pause_in_body(&mut self, pause: Duration) {
        let piece = std::mem::replace(&mut self.piece, 1);
        while self.sent <= self.head.len() {
            self.step();
        }
        thread::sleep(pause);
        self.piece = piece;
    }

    /// Sends and reads what the connection takes and has; returns whether there was any.
    fn step(&mut self) -> bool {
        !self.is_closed && (self.send() | (self.reads && self.read()))
    }

    fn send(&mut self) -> bool {
        let head = self.head.len();
        let rest = match self.sent.checked_sub(head) {
            None => &self.head[self.sent..],
            Some(offset) => &self.body[offset..],
        };
        let piece = &rest[..rest.len().min(self.piece)];
        if piece.is_empty() {
            return false;
        }
        match self.stream.write(piece) {
            Ok(count) => {
                self.sent += count;
                count > 0
            }
            // A refused caller still reads its answer.
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Err(_) => {
                self.is_cut = true;
                self.sent = head + self.body.len();
                false
            }
        }
    }

    fn read(&mut self) -> bool {
        let mut buffer = [0; READ_BYTES];
        match self.stream.read(&mut buffer) {
            Ok(0) => self.is_closed = true,
            Ok(count) => {
                let room = self.kept.saturating_sub(self.answer.len());
                self.answer.extend_from_slice(&buffer[..count.min(room)]);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
            Err(_) => self.is_closed = true,
        }
        true
    }
}

/// Connections to one host; they stay open until the crowd is dropped.
pub struct Crowd {
    pub members: Vec<Member>,
}

impl Crowd {
    /// Connects `count` callers that each send `script`.
    pub fn connect(address: SocketAddr, count: usize, script: &Script) -> Self {
        let member = |number| Member::connect(address, number, script);
        Self { members: (0..count).filter_map(member).collect() }
    }

    /// Lets all callers send, in turns, until nothing more is taken from them.
    pub fn settle(&mut self) {
        let began = Instant::now();
        let mut progressed = began;
        while progressed.elapsed() < SETTLED && began.elapsed() < MAX_TIME {
            if self.step() {
                progressed = Instant::now();
            } else {
                thread::sleep(PAUSE);
            }
        }
    }

    /// Lets all callers send and read once; returns whether any of them did.
    pub fn step(&mut self) -> bool {
        self.members.iter_mut().fold(false, |any, member| member.step() | any)
    }

    /// Number of connections that the host has closed.
    pub fn closed(&self) -> usize {
        self.members.iter().filter(|member| member.is_closed()).count()
    }
}
