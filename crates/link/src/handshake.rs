//! Opening of authenticated connections between daemons.

use crate::{
    peer::{Options, Traffic, decode},
    proof::{Hello, Side, prove, verify},
    socket::{
        CONNECT_TIMEOUT, bound_buffers, connect_bounded, set_accepted_link_options,
        set_link_options, set_peer_options,
    },
};
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use std::{io, net::SocketAddr, sync::atomic::Ordering};
use tokio::net::TcpStream;
use tokio_tungstenite::{
    WebSocketStream, accept_hdr_async_with_config, client_async_with_config,
    tungstenite::{
        Message,
        handshake::server::{ErrorResponse, Request, Response},
        protocol::WebSocketConfig,
    },
};
use vanetally_types::{HostId, Name};

/// A connection between two daemons.
pub(crate) type Socket = WebSocketStream<TcpStream>;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Messages from the daemon that dialed.
    Link,
    /// The bytes of one connection to an upstream.
    Tunnel,
}

const LINK_PATH: &str = "/link";
const TUNNEL_PATH: &str = "/tunnel";
/// Read buffer of each connection; small, because a host has links to all others and messages are
/// short.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Size of the system's receive buffer of an accepted tunnel.
const ACCEPTED_RECEIVE_BYTES: usize = 32 << 10;
/// Bytes of a request that wait until they are sent through a tunnel.
const WRITE_BUFFER_BYTES: usize = 8 << 10;

impl Purpose {
    fn path(self) -> &'static str {
        match self {
            Self::Link => LINK_PATH,
            Self::Tunnel => TUNNEL_PATH,
        }
    }

    fn of_path(path: &str) -> Self {
        if path == TUNNEL_PATH { Self::Tunnel } else { Self::Link }
    }

    async fn connect(self, address: SocketAddr) -> io::Result<TcpStream> {
        match self {
            Self::Link => {
                let stream = TcpStream::connect(address).await?;
                set_link_options(&stream)?;
                Ok(stream)
            }
            Self::Tunnel => connect_bounded(address, CONNECT_TIMEOUT).await,
        }
    }

    fn dialer_config(self, options: &Options) -> WebSocketConfig {
        match self {
            Self::Link => config(options),
            Self::Tunnel => config(options).write_buffer_size(WRITE_BUFFER_BYTES),
        }
    }

    fn set_acceptor_options(self, stream: &TcpStream) -> io::Result<()> {
        match self {
            Self::Link => set_accepted_link_options(stream),
            Self::Tunnel => {
                bound_buffers(stream, ACCEPTED_RECEIVE_BYTES);
                set_peer_options(stream)
            }
        }
    }
}

fn config(options: &Options) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(options.max_message_bytes))
        .max_frame_size(Some(options.max_message_bytes))
}

/// Connects to the daemon `to` and authenticates both ends; `None` if either fails.
pub(crate) async fn dial(
    to: &Name,
    address: SocketAddr,
    purpose: Purpose,
    (options, traffic): (&Options, &Traffic),
) -> Option<Socket> {
    let stream = purpose.connect(address).await.ok()?;
    let url = format!("ws://{address}{}", purpose.path());
    let connected =
        client_async_with_config(url, stream, Some(purpose.dialer_config(options))).await;
    let (mut socket, _) = connected.ok()?;
    let remote: Hello = read(&mut socket).await?;
    let local = Hello::new(options.host_id.clone());
    let proof = prove(&options.key, Side::Dialer, &local, &remote);
    write(&mut socket, &(&local, proof)).await?;
    let answer: Vec<u8> = read(&mut socket).await?;
    let verified = verify(&options.key, Side::Acceptor, &local, &remote, &answer);
    if !verified || remote.from.name != *to {
        traffic.refused.fetch_add(1, Ordering::Relaxed);
        log::warn!("event=link-refused side=dialer to={to} claimed={}", remote.from);
        return None;
    }
    Some(socket)
}

/// Authenticates both ends of an accepted connection; `None` if it fails.
pub(crate) async fn accept(
    stream: TcpStream,
    (options, traffic): (&Options, &Traffic),
) -> Option<(Socket, HostId, Purpose)> {
    let mut purpose = Purpose::Link;
    // The type of the result is set by the library.
    #[allow(clippy::result_large_err)]
    let read_path = |request: &Request, response: Response| -> Result<Response, ErrorResponse> {
        purpose = Purpose::of_path(request.uri().path());
        Ok(response)
    };
    let accepted = accept_hdr_async_with_config(stream, read_path, Some(config(options))).await;
    let mut socket = accepted.ok()?;
    purpose.set_acceptor_options(socket.get_ref()).ok()?;
    let local = Hello::new(options.host_id.clone());
    write(&mut socket, &local).await?;
    let (remote, proof): (Hello, Vec<u8>) = read(&mut socket).await?;
    if !verify(&options.key, Side::Dialer, &remote, &local, &proof) {
        traffic.refused.fetch_add(1, Ordering::Relaxed);
        log::warn!("event=link-refused side=acceptor claimed={}", remote.from);
        return None;
    }
    let answer = prove(&options.key, Side::Acceptor, &remote, &local);
    write(&mut socket, &answer).await?;
    Some((socket, remote.from, purpose))
}

/// Receives one message; `None` if the connection breaks or the message is not the expected one.
pub(crate) async fn read<T: DeserializeOwned>(socket: &mut Socket) -> Option<T> {
    match socket.next().await? {
        Ok(Message::Binary(bytes)) => decode(&bytes),
        _ => None,
    }
}

/// Sends one message; `None` if the connection breaks.
pub(crate) async fn write(socket: &mut Socket, value: &impl Serialize) -> Option<()> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).ok()?;
    socket.send(Message::Binary(bytes.into())).await.ok()
}
