//! Accepts connections from callers.

use crate::{
    exchange,
    hub::{Hub, Stage},
};
use http::{Request, Version, header::CONTENT_LENGTH};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{convert::Infallible, pin::pin, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use vanetally_callers::{CallerStream, ResetOnClose, ServedBody};
use vanetally_link::socket;

/// Pause after a failed `accept`.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Minimum size of the buffer of a connection, which has to hold the longest head.
const MIN_BUFFER_BYTES: usize = 24 << 10;
/// Bytes of that buffer beyond the longest head.
const SPARE_BUFFER_BYTES: usize = 8 << 10;

/// Accepts connections until the process ends.
pub(crate) async fn accept(hub: Rc<Hub>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(hub.clone(), stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve(hub: Rc<Hub>, stream: TcpStream) {
    if socket::set_peer_options(&stream).is_err() {
        return;
    }
    let mut stage = hub.stage.subscribe();
    let open = hub.callers.open();
    let buffer = (hub.caller_limits().header_bytes + SPARE_BUFFER_BYTES).max(MIN_BUFFER_BYTES);
    let reset = ResetOnClose::default();
    let service = service_fn(|request: Request<Incoming>| {
        let (hub, reset) = (hub.clone(), reset.clone());
        let open_request = open.begin_request();
        async move {
            let knows_chunks = request.version() >= Version::HTTP_11;
            let response = exchange::serve(hub, request, &open_request).await;
            let response = match knows_chunks || response.headers().contains_key(CONTENT_LENGTH) {
                true => response,
                false => response.map(|body| body.reset_if_truncated(&reset)),
            };
            Ok::<_, Infallible>(response.map(|body| ServedBody::new(body, open_request)))
        }
    });
    let connection = http1::Builder::new().max_buf_size(buffer).serve_connection(
        TokioIo::new(CallerStream::new(stream, reset.clone(), open.clone())),
        service,
    );
    let mut connection = pin!(connection);
    tokio::select! {
        // A caller that disconnects ends the connection with an error, which nobody is left to
        // receive.
        _ = connection.as_mut() => return,
        () = open.closed() => return,
        _ = stage.wait_for(|stage| *stage == Stage::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = open.closed() => {}
    }
}
