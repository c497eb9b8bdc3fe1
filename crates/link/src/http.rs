//! An HTTP server on `tiny_http` that streams.
//!
//! One thread accepts, each exchange runs on a thread of its own, and their number is bounded:
//! beyond it the answer is 503 at once.

use crate::{nudge::Nudge, workers::Workers};
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

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Most exchanges at once.
    pub max_exchanges: usize,
    /// Stack of an exchange's thread, in bytes.
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

/// Most bytes of all headers of a request together.
const MOST_HEADERS: usize = 32 * 1024;

/// Connections that may wait to be accepted.
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
        // Accepted connections inherit this: without it a token waits for an acknowledgement.
        socket.set_tcp_nodelay(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let listener: std::net::TcpListener = socket.into();
        let address = listener.local_addr()?;
        let inner = tiny_http::Server::from_listener(listener, None)
            .map_err(|e| anyhow::anyhow!("listen at {address}: {e}"))?;
        Ok(Self { inner: Arc::new(inner), address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to answer with `handler`, on threads named `name`.
    pub fn serve(
        self,
        name: &str,
        options: Options,
        handler: impl Fn(Exchange) + Send + Sync + 'static,
    ) -> Stopper {
        let server = self.inner.clone();
        let handler = Arc::new(handler);
        let busy = Arc::new(AtomicUsize::new(0));
        let mut workers = Workers::new(name, options.stack_bytes);
        let mut nudge = Nudge::start(name, self.address);
        let run = move || {
            for request in server.incoming_requests() {
                nudge.request_from(request.remote_addr());
                dispatch(&mut workers, options, &busy, &handler, Exchange { request });
            }
        };
        let spawned = thread::Builder::new().name(format!("{name}-accept")).spawn(run);
        if let Err(e) = spawned {
            log::error!("event=thread-failed name={name} error=\"{e}\"");
        }
        Stopper { inner: self.inner }
    }
}

/// Ends a server.
pub struct Stopper {
    inner: Arc<tiny_http::Server>,
}

impl Stopper {
    /// Takes no further requests.
    pub fn stop(&self) {
        self.inner.unblock();
    }
}

/// Counts an exchange as long as it lives.
struct Busy(Arc<AtomicUsize>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

fn dispatch(
    workers: &mut Workers,
    options: Options,
    busy: &Arc<AtomicUsize>,
    handler: &Arc<impl Fn(Exchange) + Send + Sync + 'static>,
    exchange: Exchange,
) {
    let count = busy.fetch_add(1, Ordering::AcqRel);
    let guard = Busy(busy.clone());
    if count >= options.max_exchanges {
        return exchange.answer(Reply::overload());
    }
    let headers: usize = exchange
        .request
        .headers()
        .iter()
        .map(|h| h.field.as_str().as_str().len() + h.value.as_str().len())
        .sum();
    if headers > MOST_HEADERS {
        return exchange.answer(Reply::new(431, "text/plain", "headers too large\n"));
    }
    let handler = handler.clone();
    workers.run(Box::new(move || {
        let _guard = guard;
        handler(exchange);
    }));
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers as name and value.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// An answer with a content type.
    pub fn new(status: u16, kind: &str, body: impl Into<Vec<u8>>) -> Self {
        let headers = vec![("Content-Type".to_owned(), kind.to_owned())];
        Self { status, headers, body: body.into() }
    }

    /// An answer in JSON.
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Self::new(status, "application/json", value.to_string())
    }

    /// The same answer with another header.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Too many exchanges at once: nothing ran.
    fn overload() -> Self {
        let body = serde_json::json!({"error": {
            "message": "too many requests at once", "type": "overloaded", "code": "overloaded",
            "verdict": "not-run"}});
        Self::json(503, &body).with("Retry-After", "1").with("X-Verdict", "not-run")
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// Larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The connection broke.
    #[error("the body did not arrive")]
    Broken,
}

/// A request and the way to answer it.
pub struct Exchange {
    request: Request,
}

impl Exchange {
    /// The method in upper case.
    pub fn method(&self) -> String {
        self.request.method().as_str().to_owned()
    }

    /// Path and query.
    pub fn url(&self) -> &str {
        self.request.url()
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.url().split('?').next().unwrap_or("/")
    }

    /// The value of `key` in the query, not decoded.
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.url().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(k, _)| *k == key).map(|(_, value)| value)
    }

    /// The first header called `name`, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = |h: &&Header| h.field.as_str().as_str().eq_ignore_ascii_case(name);
        self.request.headers().iter().find(named).map(|h| h.value.as_str())
    }

    /// All headers as name and value.
    pub fn headers(&self) -> Vec<(String, String)> {
        let pair = |h: &Header| (h.field.as_str().to_string(), h.value.to_string());
        self.request.headers().iter().map(pair).collect()
    }

    /// Reads the body, at most `most` bytes.
    ///
    /// # Errors
    /// If it is larger or breaks off.
    pub fn body(&mut self, most: u64) -> Result<Vec<u8>, BodyError> {
        if self.request.body_length().is_some_and(|len| len as u64 > most) {
            return Err(BodyError::TooLarge);
        }
        let mut body = Vec::new();
        let mut reader = self.request.as_reader().take(most + 1);
        reader.read_to_end(&mut body).map_err(|_| BodyError::Broken)?;
        if body.len() as u64 > most { Err(BodyError::TooLarge) } else { Ok(body) }
    }

    /// Answers as a whole.
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

    /// Starts an answer whose body is sent piece by piece.
    ///
    /// # Errors
    /// If the caller has gone.
    pub fn stream(self, status: u16, headers: &[(String, String)]) -> std::io::Result<Stream> {
        let chunked = *self.request.http_version() >= tiny_http::HTTPVersion(1, 1);
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let framing = if chunked { "Transfer-Encoding: chunked" } else { "Connection: close" };
        head.push_str(framing);
        head.push_str("\r\n\r\n");
        let mut stream = Stream { writer: self.request.into_writer(), chunked, frame: Vec::new() };
        stream.writer.write_all(head.as_bytes())?;
        stream.writer.flush()?;
        Ok(stream)
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400..500 => "Refused",
        500..600 => "Failed",
        _ => "Other",
    }
}

/// An answer under way.
pub struct Stream {
    writer: Box<dyn Write + Send>,
    chunked: bool,
    frame: Vec<u8>,
}

impl Stream {
    /// Sends a piece at once.
    ///
    /// # Errors
    /// If the caller has gone.
    pub fn send(&mut self, piece: &[u8]) -> std::io::Result<()> {
        if piece.is_empty() {
            return Ok(());
        }
        self.frame.clear();
        if self.chunked {
            write!(self.frame, "{:x}\r\n", piece.len())?;
        }
        self.frame.extend_from_slice(piece);
        if self.chunked {
            self.frame.extend_from_slice(b"\r\n");
        }
        self.writer.write_all(&self.frame)?;
        self.writer.flush()
    }

    /// Ends the answer as cut short: what follows is no chunk, which every client reports as an
    /// error. The server can't close the connection by itself.
    pub fn abort(mut self) {
        // The caller may have gone.
        let _ = self.writer.write_all(b"cut short\r\n");
        let _ = self.writer.flush();
    }

    /// Ends the answer as complete.
    ///
    /// # Errors
    /// If the caller has gone.
    pub fn finish(mut self) -> std::io::Result<()> {
        if self.chunked {
            self.writer.write_all(b"0\r\n\r\n")?;
        }
        self.writer.flush()
    }
}
