//! Short calls: to the store, for reports, with orders.

use crate::pool::{self, Connection, Pool};
use bytes::Bytes;
use http::{Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full, Limited};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// An answer, whole.
#[derive(Debug)]
pub(crate) struct Reply {
    pub status: StatusCode,
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The call was never sent.
    #[error("not sent: {0}")]
    NotSent(#[from] pool::Error),
    /// The call may have been carried out.
    #[error("no answer: {0}")]
    Unanswered(String),
}

/// Largest answer to a short call, in bytes.
const MOST_BYTES: usize = 8 << 20;
/// Connections for short calls to one address.
const CONNECTIONS: usize = 64;

/// Makes one call on a connection of its own or a kept one.
pub(crate) async fn call(
    pool: &Pool,
    address: SocketAddr,
    mut request: Request<Bytes>,
    within: Duration,
) -> Result<Reply, Error> {
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    let exchange = exchange(pool, address, request.map(Full::new));
    match timeout(within, exchange).await {
        Ok(reply) => reply,
        Err(_) => Err(Error::Unanswered(format!("silent for {} ms", within.as_millis()))),
    }
}

async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Reply, Error> {
    let mut connection = pool.get(address, CONNECTIONS).await?;
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => match error.take_message() {
            // It was never sent: the kept connection had just closed.
            Some(request) => {
                connection = pool.connect(address, CONNECTIONS).await?;
                let sent = connection.sender.send_request(request).await;
                sent.map_err(|e| Error::Unanswered(e.to_string()))?
            }
            None => return Err(Error::Unanswered(error.into_error().to_string())),
        },
    };
    read(pool, connection, response).await
}

async fn read(
    pool: &Pool,
    connection: Connection,
    response: http::Response<hyper::body::Incoming>,
) -> Result<Reply, Error> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MOST_BYTES).collect().await;
    let body = body.map_err(|e| Error::Unanswered(e.to_string()))?.to_bytes();
    pool.put(connection, None);
    Ok(Reply { status, body })
}
