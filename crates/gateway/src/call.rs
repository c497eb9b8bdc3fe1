//! Short HTTP calls: store requests, report requests and orders.

use crate::{
    body_room::BodyRoom,
    pool::{self, Connection, Pool},
};
use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode, header::HOST, response::Parts};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;
use vanetally_ports::RequestError;

/// A complete response.
#[derive(Debug)]
pub(crate) struct Reply {
    pub head: Parts,
    pub body: Bytes,
}

impl Reply {
    pub(crate) fn status(&self) -> StatusCode {
        self.head.status
    }
}

/// Why a call returned no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The request was never sent.
    #[error("not sent: {0}")]
    NotSent(#[from] pool::Error),
    /// The request could not be built.
    #[error("not built: {0}")]
    NotBuilt(#[from] RequestError),
    /// The request was sent and may have been executed.
    #[error("no response: {0}")]
    Unanswered(String),
    /// The call was cancelled before its response began.
    #[error("cancelled before the response began")]
    Cancelled,
}

/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum number of open connections to one address.
const MAX_CONNECTIONS: usize = 64;

/// Maximum time to read a response body, sized for a large body on a slow link.
const BODY_TIMEOUT: Duration = Duration::from_secs(8);

/// Makes one call on a pooled or new connection.
///
/// The response must start within `wait_limit`, and each further frame must arrive within it.
pub(crate) async fn call(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Bytes>,
    wait_limit: Duration,
) -> Result<Reply, Error> {
    call_or_cancel(pool, address, request, wait_limit, std::future::pending()).await
}

/// Like [`call`], to an upstream: the bodies of all such answers share `room`, and the response must be complete within
/// `limit`.
pub(crate) async fn ask(
    pool: &Pool,
    room: &BodyRoom,
    address: SocketAddr,
    request: Request<Bytes>,
    limit: Duration,
) -> Result<Reply, Error> {
    let exchange = async {
        let (connection, response) = send(pool, address, addressed(request, address)).await?;
        let (head, body) = response.into_parts();
        let body = room.read(body).await.map_err(|e| Error::Unanswered(e.to_string()))?;
        pool.put(connection, None);
        Ok(Reply { head, body })
    };
    timeout(limit, exchange).await.map_err(|_| unanswered(limit))?
}

/// Like [`call`], but is cancelled if `cancelled` completes before the response begins.
pub(crate) async fn call_or_cancel(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Bytes>,
    wait_limit: Duration,
    cancelled: impl Future<Output = ()>,
) -> Result<Reply, Error> {
    let head = tokio::select! {
        biased;
        head = timeout(wait_limit, send(pool, address, addressed(request, address))) => head,
        () = cancelled => return Err(Error::Cancelled),
    };
    let (connection, response) = head.map_err(|_| unanswered(wait_limit))??;
    let body = timeout(BODY_TIMEOUT, read_body(pool, connection, response, wait_limit)).await;
    body.map_err(|_| Error::Unanswered("response body not read in time".into()))?
}

fn unanswered(limit: Duration) -> Error {
    Error::Unanswered(format!("no data for {} ms", limit.as_millis()))
}

/// Returns the request with the address as its host.
fn addressed(mut request: Request<Bytes>, address: SocketAddr) -> Request<Full<Bytes>> {
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    request.map(Full::new)
}

async fn send(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Connection, Response<Incoming>), Error> {
    let mut connection = pool.get(address, MAX_CONNECTIONS).await?;
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => match error.take_message() {
            // The pooled connection had just closed, so the request was never sent.
            Some(request) => {
                connection = pool.connect(address, MAX_CONNECTIONS).await?;
                let sent = connection.sender.send_request(request).await;
                sent.map_err(|e| Error::Unanswered(e.to_string()))?
            }
            None => return Err(Error::Unanswered(error.into_error().to_string())),
        },
    };
    Ok((connection, response))
}

async fn read_body(
    pool: &Pool,
    connection: Connection,
    response: Response<Incoming>,
    wait_limit: Duration,
) -> Result<Reply, Error> {
    let (head, body) = response.into_parts();
    let mut frames = Limited::new(body, MAX_BODY_BYTES);
    let mut body = BytesMut::new();
    loop {
        let frame = timeout(wait_limit, frames.frame()).await;
        match frame.map_err(|_| Error::Unanswered("response body stalled".into()))? {
            None => break,
            Some(Ok(frame)) => body.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(error)) => return Err(Error::Unanswered(error.to_string())),
        }
    }
    pool.put(connection, None);
    Ok(Reply { head, body: body.freeze() })
}
