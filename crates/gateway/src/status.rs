//! HTTP endpoints for readiness, metrics and the state dump.

use crate::{
    caller_stream::{CallerStream, ResetOnClose},
    callers::Callers,
    hub::Hub,
};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use vanetally_admission::{Limits, Timeouts};

/// Pause after a failed `accept`.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Limits on the connections to the endpoints; no request has a body.
pub(crate) const LIMITS: Limits =
    Limits { connections: 64, bytes: 0, large_bytes: 0, all_bytes: usize::MAX };
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
    let open = status.callers.open();
    let service = service_fn(|request| {
        let open_request = open.begin_request();
        let response = answer(&status, &request);
        drop(open_request);
        async move { Ok::<_, Infallible>(response) }
    });
    let stream = CallerStream::new(stream, ResetOnClose::default(), open.clone());
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // A client that disconnected needs no response.
        _ = connection => {}
        () = open.closed() => {}
    }
}

fn answer(status: &Status, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let hub = &status.hub;
    let path = request.uri().path();
    let (code, body) = if request.method() != Method::GET {
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
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = code;
    response
}
