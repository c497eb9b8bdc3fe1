//! A request that was read, and its answer.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header::HeaderName, request::Parts};
use http_body::Frame;
use std::io::{self, ErrorKind};
use tokio::sync::{mpsc, oneshot};
use vanetally_callers::{BodyError, Piece};

/// Maximum number of pieces of an answer that wait for a slow caller.
const MAX_QUEUED_PIECES: usize = 2;
/// Maximum size of a piece.
const PIECE_BYTES: usize = 8 << 10;

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

    /// Creates the answer to a request beyond what the host may hold; it did not run.
    pub fn overloaded() -> Self {
        let body = serde_json::json!({"error": {
            "message": "too many requests at once", "type": "overloaded", "code": "overloaded",
            "verdict": "not-run"}});
        Self::json(503, &body).with_header("Retry-After", "1").with_header("X-Verdict", "not-run")
    }
}

/// The head of a request.
pub struct Head(pub(super) Parts);

impl Head {
    /// Returns the method in upper case.
    pub fn method(&self) -> &str {
        self.0.method.as_str()
    }

    /// Returns path and query.
    pub fn url(&self) -> &str {
        self.0.uri.path_and_query().map_or("/", |target| target.as_str())
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
        self.0.headers.get(name)?.to_str().ok()
    }

    /// Returns all headers as pairs of name and value.
    pub fn headers(&self) -> Vec<(String, String)> {
        let pair = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
        };
        self.0.headers.iter().map(pair).collect()
    }

    /// Returns the total size of the headers in bytes.
    pub(super) fn header_bytes(&self) -> usize {
        self.0.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
    }
}

/// What is passed to the caller's connection.
pub(super) enum Answer {
    Whole(Reply),
    Streamed { head: Response<()>, pieces: mpsc::Receiver<Piece> },
}

/// A request that has not been answered yet.
pub struct Exchange {
    pub(super) head: Head,
    pub(super) body: Result<Bytes, BodyError>,
    pub(super) answer: oneshot::Sender<Answer>,
}

impl Exchange {
    /// Returns the head of the request.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the body of the request.
    ///
    /// # Errors
    /// If it was not read completely.
    pub fn body(&self) -> Result<Bytes, BodyError> {
        self.body.clone()
    }

    /// Sends a complete answer.
    pub fn answer(self, reply: Reply) {
        if self.answer.send(Answer::Whole(reply)).is_err() {
            log::debug!("event=answer-unsent error=\"the caller has disconnected\"");
        }
    }

    /// Starts an answer whose body is sent in pieces.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub fn stream(self, status: u16, headers: &[(String, String)]) -> io::Result<Stream> {
        let (sender, pieces) = mpsc::channel(MAX_QUEUED_PIECES);
        let answer = Answer::Streamed { head: response_head(status, headers), pieces };
        self.answer.send(answer).map_err(|_| io::Error::from(ErrorKind::BrokenPipe))?;
        Ok(Stream { sender })
    }
}

/// Returns the head of an answer; headers that HTTP does not allow are left out.
pub(super) fn response_head(status: u16, headers: &[(String, String)]) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// An answer that is being streamed. Unless it is finished, its connection breaks, so that the caller doesn't take it for
/// complete.
pub struct Stream {
    sender: mpsc::Sender<Piece>,
}

impl Stream {
    /// Sends a piece. It waits while the caller takes nothing.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub fn send(&mut self, piece: &[u8]) -> io::Result<()> {
        for part in piece.chunks(PIECE_BYTES) {
            self.pass(Piece::Frame(Frame::data(Bytes::copy_from_slice(part))))?;
        }
        Ok(())
    }

    /// Ends the answer as incomplete.
    pub fn abort(self) {}

    /// Ends the answer as complete.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub fn finish(self) -> io::Result<()> {
        self.pass(Piece::End)
    }

    fn pass(&self, piece: Piece) -> io::Result<()> {
        self.sender.blocking_send(piece).map_err(|_| ErrorKind::BrokenPipe.into())
    }
}
