//! Short calls: to the store, for reports, with orders.

use crate::pool::{self, Connection, Pool};
use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode, header::HOST, response::Parts};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// An answer, whole.
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

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The call was never sent.
    #[error("not sent: {0}")]
    NotSent(#[from] pool::Error),
    /// The call may have been carried out.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// It was begun when nothing was answered, and others are answered now.
    #[error("it hung while the way was closed")]
    Hung,
}

/// Largest answer to a short call, in bytes.
const MOST_BYTES: usize = 8 << 20;
/// Connections for short calls to one address.
const CONNECTIONS: usize = 64;

/// The rest of a large answer on a slow link takes this long at most.
const WHOLE: Duration = Duration::from_secs(8);

/// Makes one call on a connection of its own or a kept one.
///
/// The answer has to begin `within` that time, and each further piece of it to come within it.
pub(crate) async fn call(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Bytes>,
    within: Duration,
) -> Result<Reply, Error> {
    call_unless(pool, address, request, within, std::future::pending()).await
}

/// The same, but it is given up if `hopeless` comes before the answer begins.
pub(crate) async fn call_unless(
    pool: &Pool,
    address: SocketAddr,
    mut request: Request<Bytes>,
    within: Duration,
    hopeless: impl Future<Output = ()>,
) -> Result<Reply, Error> {
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    let silent = || Error::Unanswered(format!("silent for {} ms", within.as_millis()));
    let head = tokio::select! {
        biased;
        head = timeout(within, ask(pool, address, request.map(Full::new))) => head,
        () = hopeless => return Err(Error::Hung),
    };
    let (connection, response) = head.map_err(|_| silent())??;
    let body = timeout(WHOLE, read(pool, connection, response, within)).await;
    body.map_err(|_| Error::Unanswered("too slow".into()))?
}

async fn ask(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Connection, Response<Incoming>), Error> {
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
    Ok((connection, response))
}

async fn read(
    pool: &Pool,
    connection: Connection,
    response: Response<Incoming>,
    within: Duration,
) -> Result<Reply, Error> {
    let (head, body) = response.into_parts();
    let mut pieces = Limited::new(body, MOST_BYTES);
    let mut body = BytesMut::new();
    loop {
        let piece = timeout(within, pieces.frame()).await;
        match piece.map_err(|_| Error::Unanswered("it stopped in the middle".into()))? {
            None => break,
            Some(Ok(frame)) => body.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(error)) => return Err(Error::Unanswered(error.to_string())),
        }
    }
    pool.put(connection, None);
    Ok(Reply { head, body: body.freeze() })
}
