//! HTTP endpoints for readiness, metrics and the state dump.

use crate::hub::Hub;
use http::{Method, Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use vanetally_admission::{Limits, Timeouts};
use vanetally_callers::{CallerStream, Callers, FullBody, ResetOnClose, ResponseBody, ServedBody};
use vanetally_link::socket;

/// Pause after a failed `accept`.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Limits on the connections to the endpoints; no request has a body.
pub(crate) const LIMITS: Limits =
    Limits { connections: 64, bytes: 0, large_bytes: 0, all_bytes: usize::MAX };
/// Maximum number of bytes of answers that are held at a time; requests beyond it are refused.
const MAX_HELD_BYTES: usize = 8 << 20;
/// Time limits on them. Metrics are read about every few seconds on the same connection.
pub(crate) const TIMEOUTS: Timeouts = Timeouts { head_ms: 3_000, idle_ms: 60_000 };

/// URL path of the state dump.
const STATE_PATH: &str = "/state";

/// State served by the endpoints.
pub(crate) struct Status {
    pub hub: Rc<Hub>,
    pub metrics: PrometheusHandle,
    /// What the callers of the endpoints hold.
    pub callers: Rc<Callers>,
}

/// Serves the endpoints until the process ends.
pub(crate) async fn serve(status: Rc<Status>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(status.clone(), stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(status: Rc<Status>, stream: TcpStream) {
    if socket::set_peer_options(&stream).is_err() {
        return;
    }
    let open = status.callers.open();
    let service = service_fn(|request| {
        let open_request = open.begin_request();
        let response = answer(&status, &request);
        async move { Ok::<_, Infallible>(response.map(|body| ServedBody::new(body, open_request))) }
    });
    let stream = CallerStream::new(stream, ResetOnClose::default(), open.clone());
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // A client that disconnected needs no response.
        _ = connection => {}
        () = open.closed() => {}
    }
}

fn answer(status: &Status, request: &Request<Incoming>) -> Response<ResponseBody> {
    let (hub, callers) = (&status.hub, &status.callers);
    let path = request.uri().path();
    let (code, body) = if callers.counts().bytes > MAX_HELD_BYTES {
        (StatusCode::SERVICE_UNAVAILABLE, String::new())
    } else if request.method() != Method::GET {
        (StatusCode::METHOD_NOT_ALLOWED, String::new())
    } else if path == hub.ports.caller.readiness_path() {
        let is_ready = hub.is_ready();
        let code = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (code, String::new())
    } else if path == hub.settings.metrics_path {
        (StatusCode::OK, status.metrics.render())
    } else if path == STATE_PATH {
        (StatusCode::OK, hub.dump())
    } else {
        (StatusCode::NOT_FOUND, String::new())
    };
    let held = callers.begin_answer();
    held.hold_answer(body.len());
    let mut response = Response::new(ResponseBody::Full(FullBody::held(body.into(), held)));
    *response.status_mut() = code;
    response
}
