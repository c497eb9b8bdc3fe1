//! Connections of callers: reads their requests, has them handled by worker threads, and sends the answers.

use super::{
    Options,
    exchange::{Answer, Exchange, Head, Reply, response_head},
};
use crate::{socket, workers::Workers};
use bytes::Bytes;
use http::{
    HeaderValue, Request, Response, Version,
    header::{CONNECTION, CONTENT_LENGTH},
};
use http_body::Body;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{
    cell::RefCell,
    convert::Infallible,
    io,
    net::TcpListener,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::TcpStream,
    runtime,
    sync::{Notify, oneshot},
    task::{LocalSet, spawn_local},
    time::{interval, sleep},
};
use vanetally_callers::{
    CallerStream, Callers, FullBody, Held, OpenRequest, RequestBody, ResetOnClose, ResponseBody,
    ServedBody,
};
use vanetally_clock::Clock;
use vanetally_types::Tick;

/// Maximum total size of a request's headers.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// Bytes of the buffer of a connection beyond them.
const SPARE_BUFFER_BYTES: usize = 8 << 10;
/// Pause after a failed `accept`.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which the time limits on callers are applied.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a server that stops looks whether answers are still to be written.
const STOP_INTERVAL: Duration = Duration::from_millis(20);
/// Ticks start above zero, so that tick 0 is earlier than any event.
const ORIGIN: Tick = Tick(1_000_000);
/// Copies of a body that an exchange makes: one to read it, one to send it.
const BODY_COPIES: usize = 2;
/// Size up to which a body's copies and an answer are covered by what a request may take.
const SMALL_BYTES: usize = 16 << 10;

/// Returns the answer to requests that are refused at their head.
type Check = Box<dyn Fn(&Head) -> Option<Reply>>;
type Handler = Arc<dyn Fn(Exchange) + Send + Sync>;

/// What the connections of a server share.
pub(super) struct Service {
    options: Options,
    callers: Rc<Callers>,
    workers: RefCell<Workers>,
    active: Arc<AtomicUsize>,
    check: Check,
    handler: Handler,
}

impl Service {
    /// Creates the state of a server whose threads are named `name`.
    pub(super) fn new(name: &str, options: Options, check: Check, handler: Handler) -> Rc<Self> {
        Rc::new(Self {
            options,
            callers: Callers::new(Clock::starting_at(ORIGIN), options.limits),
            workers: RefCell::new(Workers::new(name, options.stack_bytes)),
            active: Arc::default(),
            check,
            handler,
        })
    }
}

/// Serves connections until the server is stopped and all answers are written.
///
/// # Errors
/// If the runtime can't be created.
pub(super) fn run(listener: TcpListener, service: Rc<Service>, stop: &Notify) -> io::Result<()> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, accept(listener, service, stop))
}

async fn accept(listener: TcpListener, service: Rc<Service>, stop: &Notify) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    spawn_local(apply_timeouts(service.clone()));
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.notified() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                spawn_local(serve(service.clone(), stream));
            }
            Err(error) => {
                log::warn!("event=accept-failed error=\"{error}\"");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
    drop(listener);
    while service.callers.counts().answering > 0 {
        sleep(STOP_INTERVAL).await;
    }
    Ok(())
}

async fn apply_timeouts(service: Rc<Service>) {
    let mut ticks = interval(CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        service.callers.tick(service.options.timeouts);
    }
}

async fn serve(service: Rc<Service>, stream: TcpStream) {
    if socket::set_peer_options(&stream).is_err() {
        return;
    }
    let open = service.callers.open();
    let reset = ResetOnClose::default();
    let respond = service_fn(|request: Request<Incoming>| {
        let (service, reset) = (service.clone(), reset.clone());
        let open_request = open.begin_request();
        async move {
            let knows_chunks = request.version() >= Version::HTTP_11;
            let response = service.respond(request, &open_request).await;
            let response = match knows_chunks || response.headers().contains_key(CONTENT_LENGTH) {
                true => response,
                false => response.map(|body| body.reset_if_truncated(&reset)),
            };
            Ok::<_, Infallible>(response.map(|body| ServedBody::new(body, open_request)))
        }
    });
    let connection =
        http1::Builder::new().max_buf_size(MAX_HEADER_BYTES + SPARE_BUFFER_BYTES).serve_connection(
            TokioIo::new(CallerStream::new(stream, reset.clone(), open.clone())),
            respond,
        );
    tokio::select! {
        // A caller that disconnects ends the connection with an error, which nobody is left to receive.
        _ = connection => {}
        () = open.closed() => {}
    }
}

impl Service {
    async fn respond(
        &self,
        request: Request<Incoming>,
        open: &OpenRequest,
    ) -> Response<ResponseBody> {
        let (parts, body) = request.into_parts();
        let has_body = !body.is_end_stream();
        let head = Head(parts);
        let mut is_cut = has_body;
        let response = match self.refusal(&head, open) {
            Some(reply) => self.whole(reply),
            None => {
                let body = RequestBody::read(open, body, self.options.max_body_bytes).await;
                is_cut = has_body && body.is_err();
                self.exchange(head, body).await
            }
        };
        if !is_cut {
            return response;
        }
        open.refused_early();
        let mut response = response;
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }

    /// Returns the answer to a request that is refused at its head.
    fn refusal(&self, head: &Head, open: &OpenRequest) -> Option<Reply> {
        if head.header_bytes() > MAX_HEADER_BYTES {
            return Some(Reply::new(431, "text/plain", "headers too large\n"));
        }
        if open.is_refused() || self.active.load(Ordering::Acquire) >= self.options.max_exchanges {
            return Some(Reply::overloaded());
        }
        (self.check)(head)
    }

    /// Has a request handled on a thread of its own.
    async fn exchange(
        &self,
        head: Head,
        body: Result<RequestBody, vanetally_callers::BodyError>,
    ) -> Response<ResponseBody> {
        let (body, held) = match body {
            Ok(RequestBody { bytes, held }) => (Ok(bytes), Some(held)),
            Err(error) => (Err(error), None),
        };
        let guard = self.hold_until_ended(body.as_ref().map_or(0, Bytes::len), held);
        let (sender, answer) = oneshot::channel();
        let exchange = Exchange { head, body, answer: sender };
        let handler = self.handler.clone();
        self.workers.borrow_mut().run(Box::new(move || {
            let _guard = guard;
            handler(exchange);
        }));
        match answer.await {
            Ok(Answer::Whole(reply)) => self.whole(reply),
            Ok(Answer::Streamed { head, pieces }) => head.map(|()| ResponseBody::relayed(pieces)),
            // The handler ended without an answer.
            Err(_) => self.whole(Reply::new(500, "text/plain", "no answer\n")),
        }
    }

    /// Counts an exchange as active, and its body of `bytes` as held, until the guard is dropped. The caller may have left
    /// before.
    fn hold_until_ended(&self, bytes: usize, held: Option<Held>) -> ActiveGuard {
        self.active.fetch_add(1, Ordering::AcqRel);
        let (ended_sender, ended) = oneshot::channel();
        if bytes > SMALL_BYTES {
            let copies = self.callers.begin_answer();
            copies.hold_answer(BODY_COPIES * bytes);
            spawn_local(async move {
                // The sender is dropped when the exchange has ended.
                let _: Result<(), _> = ended.await;
                drop((held, copies));
            });
        }
        ActiveGuard { active: self.active.clone(), _ended: ended_sender }
    }

    fn whole(&self, reply: Reply) -> Response<ResponseBody> {
        let Reply { status, headers, body } = reply;
        let body = match body.len() > SMALL_BYTES {
            true => {
                let held = self.callers.begin_answer();
                held.hold_answer(body.len());
                FullBody::held(body.into(), held)
            }
            false => Bytes::from(body).into(),
        };
        response_head(status, &headers).map(|()| ResponseBody::Full(body))
    }
}

/// Counts an exchange as active until it is dropped.
struct ActiveGuard {
    active: Arc<AtomicUsize>,
    _ended: oneshot::Sender<()>,
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.active.fetch_sub(1, Ordering::AcqRel);
    }
}
