//! HTTP endpoints for readiness, metrics and the state dump.

use crate::hub::Hub;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use std::{convert::Infallible, rc::Rc};
use tokio::net::TcpListener;

/// URL path of the state dump.
const STATE_PATH: &str = "/state";

/// State served by the endpoints.
pub(crate) struct Status {
    pub hub: Rc<Hub>,
    pub metrics: PrometheusHandle,
}

/// Serves the endpoints until the process ends.
pub(crate) async fn serve(status: Rc<Status>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let status = status.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = answer(&status, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            // A client that disconnected needs no response.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
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
