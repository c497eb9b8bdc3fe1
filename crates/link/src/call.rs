//! Calls to upstreams.
//!
//! Every phase has a time-out, and every failure says whether the request may have run. A call
//! is sent once: nothing here retries.

use std::{io::Read, time::Duration};
use ureq::{
    Agent, Body, Timeout,
    http::{Request, Response},
};
use vanetally_types::Verdict;

/// Time-outs and bounds of calls.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// To connect.
    pub connect_timeout: Duration,
    /// Longest silence within an answer.
    pub idle_timeout: Duration,
}

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Full address.
    pub url: String,
    /// Headers as name and value.
    pub headers: Vec<(String, String)>,
    /// Body; empty for none.
    pub body: Vec<u8>,
    /// Until the whole answer must have come.
    pub timeout: Duration,
}

/// An answer whose body is still to be read.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers as name and value.
    pub headers: Vec<(String, String)>,
    /// The body, as it arrives; dropping it early cancels the call.
    pub body: Box<dyn Read + Send>,
}

/// A call that brought no answer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{message}")]
pub struct Error {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Whether nobody accepts connections at the address.
    pub unreachable: bool,
    /// What went wrong.
    pub message: String,
}

/// Makes calls over kept connections.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
}

/// Idle connections kept in all and to one upstream.
const IDLE: (usize, usize) = (512, 64);
/// How long an idle connection is kept; servers keep theirs longer.
const IDLE_AGE: Duration = Duration::from_secs(5);

impl Client {
    /// A caller with no connections yet.
    pub fn new(options: Options) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .allow_non_standard_methods(true)
            .timeout_connect(Some(options.connect_timeout))
            .timeout_per_read(Some(options.idle_timeout))
            .timeout_per_write(Some(options.idle_timeout))
            .max_idle_connections(IDLE.0)
            .max_idle_connections_per_host(IDLE.1)
            .max_idle_age(IDLE_AGE)
            .input_buffer_size(16 * 1024)
            .output_buffer_size(16 * 1024)
            .build()
            .new_agent();
        Self { agent }
    }

    /// Sends `call` once and returns as soon as the answer's head has come.
    ///
    /// # Errors
    /// With a verdict: not run if no connection came about, else may have run.
    pub fn send(&self, call: &Call) -> Result<Answer, Error> {
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
        within: Duration,
    ) -> Result<Response<Body>, ureq::Error> {
        let request = self.agent.configure_request(request).timeout_global(Some(within)).build();
        self.agent.run(request)
    }
}

fn from_response(response: Response<Body>) -> Answer {
    let (parts, body) = response.into_parts();
    let text = |value: &ureq::http::HeaderValue| value.to_str().unwrap_or("").to_owned();
    let headers = parts.headers.iter().map(|(n, v)| (n.to_string(), text(v))).collect();
    Answer { status: parts.status.as_u16(), headers, body: Box::new(body.into_reader()) }
}

fn not_run(message: &str) -> Error {
    Error { verdict: Verdict::NotRun, unreachable: false, message: message.to_owned() }
}

/// What is known of a request whose call failed with `e`.
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
