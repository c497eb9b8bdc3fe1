//! An HTTP server with streaming answers, built on `tiny_http`.
//!
//! One thread accepts requests, and each exchange runs on its own thread. The number of parallel
//! exchanges is limited; further requests are answered with 503 at once.

use crate::{pool_waker::PoolWaker, workers::Workers};
use std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};
use tiny_http::{Header, Request, Response};

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of parallel exchanges.
    pub max_exchanges: usize,
    /// Stack size of the thread of an exchange.
    pub stack_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_exchanges: 1_000, stack_bytes: 256 * 1024 }
    }
}

/// A listening server.
pub struct Server {
    inner: Arc<tiny_http::Server>,
    address: SocketAddr,
}

/// Maximum total size of a request's headers.
const MAX_HEADER_BYTES: usize = 32 * 1024;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

impl Server {
    /// Listens at `address`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn try_bind(address: SocketAddr) -> anyhow::Result<Self> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        // Accepted connections inherit the option. Without it a piece of a stream is delayed until
        // the preceding one is acknowledged.
        socket.set_tcp_nodelay(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let listener: std::net::TcpListener = socket.into();
        let address = listener.local_addr()?;
        let inner = tiny_http::Server::from_listener(listener, None)
            .map_err(|e| anyhow::anyhow!("listen at {address}: {e}"))?;
        Ok(Self { inner: Arc::new(inner), address })
    }

    /// Returns the address that the server listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts serving: `handler` runs for each exchange, on threads named `name`.
    pub fn serve(
        self,
        name: &str,
        options: Options,
        handler: impl Fn(Exchange) + Send + Sync + 'static,
    ) -> Stopper {
        let server = self.inner.clone();
        let handler = Arc::new(handler);
        let active = Arc::new(AtomicUsize::new(0));
        let mut workers = Workers::new(name, options.stack_bytes);
        let mut pool_waker = PoolWaker::start(name, self.address);
        let run = move || {
            for request in server.incoming_requests() {
                pool_waker.request_from(request.remote_addr());
                dispatch(&mut workers, options, &active, &handler, Exchange { request });
            }
        };
        let spawned = thread::Builder::new().name(format!("{name}-accept")).spawn(run);
        if let Err(e) = spawned {
            log::error!("event=thread-failed name={name} error=\"{e}\"");
        }
        Stopper { inner: self.inner }
    }
}

/// Stops a server.
pub struct Stopper {
    inner: Arc<tiny_http::Server>,
}

impl Stopper {
    /// Stops accepting requests.
    pub fn stop(&self) {
        self.inner.unblock();
    }
}

/// Decrements the number of active exchanges when dropped.
struct ActiveGuard(Arc<AtomicUsize>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

fn dispatch(
    workers: &mut Workers,
    options: Options,
    active: &Arc<AtomicUsize>,
    handler: &Arc<impl Fn(Exchange) + Send + Sync + 'static>,
    exchange: Exchange,
) {
    let count = active.fetch_add(1, Ordering::AcqRel);
    let guard = ActiveGuard(active.clone());
    if count >= options.max_exchanges {
        return exchange.answer(Reply::overloaded());
    }
    let header_bytes: usize = exchange
        .request
        .headers()
        .iter()
        .map(|h| h.field.as_str().as_str().len() + h.value.as_str().len())
        .sum();
    if header_bytes > MAX_HEADER_BYTES {
        return exchange.answer(Reply::new(431, "text/plain", "headers too large\n"));
    }
    let handler = handler.clone();
    workers.run(Box::new(move || {
        let _guard = guard;
        handler(exchange);
    }));
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers as pairs of name and value.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Creates an answer with the content type `content_type`.
    pub fn new(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Self {
        let headers = vec![("Content-Type".to_owned(), content_type.to_owned())];
        Self { status, headers, body: body.into() }
    }

    /// Creates an answer with a JSON body.
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Self::new(status, "application/json", value.to_string())
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Creates the answer to a request beyond the maximum number of exchanges; it did not run.
    fn overloaded() -> Self {
        let body = serde_json::json!({"error": {
            "message": "too many requests at once", "type": "overloaded", "code": "overloaded",
            "verdict": "not-run"}});
        Self::json(503, &body).with_header("Retry-After", "1").with_header("X-Verdict", "not-run")
    }
}

/// An error from reading a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body exceeds the limit.
    #[error("the body is too large")]
    TooLarge,
    /// The connection broke before the end of the body.
    #[error("the body did not arrive")]
    Broken,
}

/// A request that has not been answered yet.
pub struct Exchange {
    request: Request,
}

impl Exchange {
    /// Returns the method in upper case.
    pub fn method(&self) -> String {
        self.request.method().as_str().to_owned()
    }

    /// Returns path and query.
    pub fn url(&self) -> &str {
        self.request.url()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.url().split('?').next().unwrap_or("/")
    }

    /// Returns the value of `key` in the query, without decoding it.
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.url().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(k, _)| *k == key).map(|(_, value)| value)
    }

    /// Returns the first header called `name`; the case is ignored.
    pub fn header(&self, name: &str) -> Option<&str> {
        let matches = |h: &&Header| h.field.as_str().as_str().eq_ignore_ascii_case(name);
        self.request.headers().iter().find(matches).map(|h| h.value.as_str())
    }

    /// Returns all headers as pairs of name and value.
    pub fn headers(&self) -> Vec<(String, String)> {
        let pair = |h: &Header| (h.field.as_str().to_string(), h.value.to_string());
        self.request.headers().iter().map(pair).collect()
    }

    /// Reads the body, up to `max_bytes`.
    ///
    /// # Errors
    /// If the body is larger or incomplete.
    pub fn body(&mut self, max_bytes: u64) -> Result<Vec<u8>, BodyError> {
        if self.request.body_length().is_some_and(|len| len as u64 > max_bytes) {
            return Err(BodyError::TooLarge);
        }
        let mut body = Vec::new();
        let mut reader = self.request.as_reader().take(max_bytes + 1);
        reader.read_to_end(&mut body).map_err(|_| BodyError::Broken)?;
        if body.len() as u64 > max_bytes { Err(BodyError::TooLarge) } else { Ok(body) }
    }

    /// Sends a complete answer.
    pub fn answer(self, reply: Reply) {
        let mut response = Response::from_data(reply.body).with_status_code(reply.status);
        for (name, value) in &reply.headers {
            if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
                response.add_header(header);
            }
        }
        if let Err(e) = self.request.respond(response) {
            log::debug!("event=answer-unsent error=\"{e}\"");
        }
    }

    /// Starts an answer whose body is sent in pieces.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub fn stream(self, status: u16, headers: &[(String, String)]) -> std::io::Result<Stream> {
        let knows_chunks = *self.request.http_version() >= tiny_http::HTTPVersion(1, 1);
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let mut writer = self.request.into_writer();
        if !knows_chunks {
            return Ok(Stream { writer, held_head: Some(head), buffer: Vec::new() });
        }
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Stream { writer, held_head: None, buffer: Vec::new() })
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400..500 => "Refused",
        500..600 => "Failed",
        _ => "Other",
    }
}

/// An answer that is being streamed.
///
/// A caller of HTTP/1.0 knows no chunks, and takes the end of the connection for that of the answer. It gets the answer
/// whole, with its length.
pub struct Stream {
    writer: Box<dyn Write + Send>,
    /// The head of an answer that is held back until it is whole.
    held_head: Option<String>,
    /// The chunk being sent, or the body that is held back.
    buffer: Vec<u8>,
}

/// Maximum size of an answer that is held back.
const MAX_HELD_BYTES: usize = 32_000_000;
/// The answer in place of one that is held back and broke off.
const BROKEN_ANSWER: &[u8] =
    b"HTTP/1.1 502 Failed\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

impl Stream {
    /// Sends a piece and flushes it.
    ///
    /// # Errors
    /// If the caller has disconnected, or the answer is too long to be held back.
    pub fn send(&mut self, piece: &[u8]) -> std::io::Result<()> {
        if piece.is_empty() {
            return Ok(());
        }
        if self.held_head.is_some() {
            if self.buffer.len() + piece.len() > MAX_HELD_BYTES {
                return Err(std::io::ErrorKind::FileTooLarge.into());
            }
            self.buffer.extend_from_slice(piece);
            return Ok(());
        }
        self.buffer.clear();
        write!(self.buffer, "{:x}\r\n", piece.len())?;
        self.buffer.extend_from_slice(piece);
        self.buffer.extend_from_slice(b"\r\n");
        self.writer.write_all(&self.buffer)?;
        self.writer.flush()
    }

    /// Ends the answer as incomplete.
    ///
    /// It writes bytes that are not a valid chunk, which every client reports as an error, because
    /// `tiny_http` gives no means to close the connection. In place of an answer that was held back the caller gets an
    /// error.
    pub fn abort(mut self) {
        let bytes = if self.held_head.is_some() { BROKEN_ANSWER } else { b"cut short\r\n" };
        // Fails if the caller has disconnected.
        let _ = self.writer.write_all(bytes);
        let _ = self.writer.flush();
    }

    /// Ends the answer as complete.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub fn finish(mut self) -> std::io::Result<()> {
        match &self.held_head {
            None => self.writer.write_all(b"0\r\n\r\n")?,
            Some(head) => {
                let length = self.buffer.len();
                let head = format!("{head}Content-Length: {length}\r\nConnection: close\r\n\r\n");
                self.writer.write_all(head.as_bytes())?;
                self.writer.write_all(&self.buffer)?;
            }
        }
        self.writer.flush()
    }
}
