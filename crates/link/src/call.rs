//! HTTP calls to upstreams.
//!
//! Every phase has a timeout, and every failure states whether the request may have run. A call
//! is sent once and never retried.

use crate::checked::CheckedConnector;
use std::{
    io::{self, ErrorKind, Read},
    time::Duration,
};
use ureq::{
    Agent, Body, Timeout,
    http::{Request, Response},
    unversioned::{
        resolver::DefaultResolver,
        transport::{Connector, TcpConnector},
    },
};
use vanetally_types::Verdict;

/// Timeouts of all calls of a client.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Timeout for connecting.
    pub connect_timeout: Duration,
    /// Maximum time that a single read or write may take.
    pub idle_timeout: Duration,
}

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Full URL.
    pub url: String,
    /// Headers as pairs of name and value.
    pub headers: Vec<(String, String)>,
    /// Body; empty for none.
    pub body: Vec<u8>,
    /// Timeout until the answer is complete.
    pub timeout: Duration,
}

/// An answer whose body has not been read yet.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers as pairs of name and value.
    pub headers: Vec<(String, String)>,
    /// The body as it arrives; dropping it before its end cancels the call.
    pub body: Box<dyn Read + Send>,
}

impl Answer {
    /// Reads the whole body, of at most `max_bytes`. `has_room` tells whether this number of bytes may be held.
    ///
    /// # Errors
    /// If it breaks off, is longer, or finds no room.
    pub fn read_whole(
        mut self,
        max_bytes: usize,
        mut has_room: impl FnMut(usize) -> bool,
    ) -> io::Result<Vec<u8>> {
        let mut whole = Vec::new();
        let mut piece = [0; PIECE_BYTES];
        loop {
            let length = match self.body.read(&mut piece) {
                Ok(0) => return Ok(whole),
                Ok(length) => length,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            let needed = whole.len() + length;
            if needed > max_bytes {
                return Err(io::Error::new(ErrorKind::InvalidData, "the body is too long"));
            }
            if needed > whole.capacity() {
                let capacity = (2 * whole.capacity()).min(max_bytes).max(needed);
                if !has_room(capacity) {
                    return Err(io::Error::new(ErrorKind::OutOfMemory, "no room for the body"));
                }
                whole.reserve_exact(capacity - whole.len());
            }
            whole.extend_from_slice(&piece[..length]);
        }
    }
}

/// The error of a call without an answer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{message}")]
pub struct Error {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Whether no connection could be made.
    pub unreachable: bool,
    /// Description of the error.
    pub message: String,
}

/// An HTTP client.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
}

/// Bytes of a body that are read at a time.
const PIECE_BYTES: usize = 8 * 1024;
/// Maximum number of idle connections: in total, and to one upstream.
const MAX_IDLE: (usize, usize) = (512, 64);
/// Maximum time that an idle connection is kept; servers keep theirs longer.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

impl Client {
    /// Creates a client that keeps connections open for later calls.
    pub fn new(options: Options) -> Self {
        Self::with_idle(options, MAX_IDLE)
    }

    /// Creates a client that opens a connection for each call, so that the first answer on it belongs to the call.
    pub fn without_reuse(options: Options) -> Self {
        Self::with_idle(options, (0, 0))
    }

    fn with_idle(options: Options, max_idle: (usize, usize)) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .allow_non_standard_methods(true)
            .timeout_connect(Some(options.connect_timeout))
            .timeout_per_read(Some(options.idle_timeout))
            .timeout_per_write(Some(options.idle_timeout))
            .max_idle_connections(max_idle.0)
            .max_idle_connections_per_host(max_idle.1)
            .max_idle_age(MAX_IDLE_AGE)
            .input_buffer_size(16 * 1024)
            .output_buffer_size(16 * 1024)
            .build();
        let connector = ().chain(TcpConnector::default()).chain(CheckedConnector);
        Self { agent: Agent::with_parts(config, connector, DefaultResolver::default()) }
    }

    /// Sends `call` once and returns when the answer's head has arrived.
    ///
    /// # Errors
    /// If there is no answer. The verdict is `NotRun` if no connection was made, else
    /// `MayHaveRun`.
    pub fn send(&self, call: &Call) -> Result<Answer, Error> {
        #[expect(clippy::disallowed_methods, reason = "whoever makes the call has encoded it")]
        let mut builder = Request::builder().method(call.method.as_str()).uri(&call.url);
        for (name, value) in &call.headers {
            builder = builder.header(name, value);
        }
        let answer = match call.body.is_empty() {
            true => builder.body(()).map(|r| self.run(r, call.timeout)),
            false => builder.body(call.body.as_slice()).map(|r| self.run(r, call.timeout)),
        };
        answer.map_err(|e| not_run(&e.to_string()))?.map(from_response).map_err(|e| classify(&e))
    }

    fn run<B: ureq::AsSendBody>(
        &self,
        request: Request<B>,
        timeout: Duration,
    ) -> Result<Response<Body>, ureq::Error> {
        let request = self.agent.configure_request(request).timeout_global(Some(timeout)).build();
        self.agent.run(request)
    }
}

fn from_response(response: Response<Body>) -> Answer {
    let (parts, body) = response.into_parts();
    // A value that is no text can't be passed on as it is, and an empty one would be another value.
    let headers = parts.headers.iter().filter_map(|(name, value)| {
        let value = std::str::from_utf8(value.as_bytes()).ok()?;
        Some((name.to_string(), value.to_owned()))
    });
    let headers = headers.collect();
    Answer { status: parts.status.as_u16(), headers, body: Box::new(body.into_reader()) }
}

fn not_run(message: &str) -> Error {
    Error { verdict: Verdict::NotRun, unreachable: false, message: message.to_owned() }
}

/// Returns the error with its verdict for a call that failed with `e`.
fn classify(e: &ureq::Error) -> Error {
    let refused = |e: &std::io::Error| e.kind() == std::io::ErrorKind::ConnectionRefused;
    let unreachable = match e {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        ureq::Error::Io(e) => refused(e),
        _ => false,
    };
    let unsent = matches!(e, ureq::Error::BadUri(_) | ureq::Error::Http(_));
    let verdict = if unreachable || unsent { Verdict::NotRun } else { Verdict::MayHaveRun };
    Error { verdict, unreachable, message: e.to_string() }
}
