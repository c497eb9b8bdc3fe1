//! Connections that end with their term: nothing that was written to them is sent any more.

use socket2::SockRef;
use std::{cell::Cell, io, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use vanetally_link::{revocable::Revocable, socket::bound_life};

const LIFE: Duration = Duration::from_millis(700);
/// Much more than both ends buffer.
const MANY_BYTES: usize = 32 << 20;

async fn pair() -> io::Result<(TcpStream, TcpStream)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let near = TcpStream::connect(listener.local_addr()?).await?;
    Ok((near, listener.accept().await?.0))
}

/// Reads to the end; returns the number of bytes, and whether the connection was reset.
async fn read_all(mut stream: TcpStream) -> (usize, bool) {
    let (mut count, mut buffer) = (0, vec![0; 64 << 10]);
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) => return (count, false),
            Ok(length) => count += length,
            Err(_) => return (count, true),
        }
    }
}

/// Writes until nothing more is taken; returns the number of bytes taken.
async fn fill(connection: &mut Revocable) -> io::Result<usize> {
    let (bytes, mut count) = (vec![1; 64 << 10], 0);
    while let Ok(written) = timeout(Duration::from_millis(50), connection.write(&bytes)).await {
        count += written?;
        assert!(count < MANY_BYTES, "the peer does not read");
    }
    Ok(count)
}

/// What the system has not sent when a connection is revoked or dropped does not arrive.
#[tokio::test]
async fn unsent_bytes_are_lost() -> io::Result<()> {
    for is_revoked in [true, false] {
        let (near, far) = pair().await?;
        let mut connection = Revocable::new(near, LIFE, || true)?;
        let written = fill(&mut connection).await?;
        match is_revoked {
            true => assert!(connection.revoker().revoke()),
            false => drop(connection),
        }
        let (arrived, is_reset) = read_all(far).await;
        assert!(is_reset, "revoked: {is_revoked}");
        assert!(arrived < written, "{arrived} of {written} bytes arrived");
    }
    Ok(())
}

/// A process that stands still writes nothing when it goes on after its term.
#[tokio::test]
async fn no_write_after_term() -> io::Result<()> {
    let (near, far) = pair().await?;
    let is_in_term = Rc::new(Cell::new(true));
    let term = is_in_term.clone();
    let mut connection = Revocable::new(near, LIFE, move || term.get())?;
    connection.write_all(b"first").await?;
    is_in_term.set(false);
    let error = connection.write_all(b"second").await.expect_err("the term is over");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionAborted);
    let (arrived, is_reset) = read_all(far).await;
    assert!(is_reset && arrived <= b"first".len(), "{arrived} bytes arrived");
    Ok(())
}

/// A connection that was revoked neither reads nor writes.
#[tokio::test]
async fn revoked_once() -> io::Result<()> {
    let (near, _far) = pair().await?;
    let mut connection = Revocable::new(near, LIFE, || true)?;
    let revoker = connection.revoker();
    assert!(!revoker.is_revoked() && revoker.revoke());
    assert!(revoker.is_revoked() && !revoker.revoke());
    assert!(connection.read(&mut [0]).await.is_err() && connection.write(b"x").await.is_err());
    Ok(())
}

/// Whoever waits for an answer learns at once that there will be none.
#[tokio::test]
async fn revoked_while_reading() -> io::Result<()> {
    let (near, _far) = pair().await?;
    let mut connection = Revocable::new(near, LIFE, || true)?;
    let revoker = connection.revoker();
    let (mut byte, revoke) = ([0], async {
        tokio::task::yield_now().await;
        assert!(revoker.revoke());
    });
    let (read, ()) =
        timeout(LIFE, async { tokio::join!(connection.read(&mut byte), revoke) }).await?;
    assert_eq!(read.expect_err("it was revoked").kind(), io::ErrorKind::ConnectionAborted);
    Ok(())
}

/// The system itself gives up what a process that stands still has left to it: loopback acknowledges all bytes, so the
/// options are read back.
#[tokio::test]
async fn system_bounds_life() -> io::Result<()> {
    let (near, _far) = pair().await?;
    bound_life(&near, LIFE)?;
    let socket = SockRef::from(&near);
    assert_eq!(socket.linger()?, Some(Duration::ZERO));
    assert_eq!(socket.tcp_user_timeout()?, Some(LIFE));
    Ok(())
}

/// What a peer that does not read keeps from being sent is given up by the system after the term, although nobody closes
/// the connection.
#[tokio::test]
async fn system_gives_up_held_bytes() -> io::Result<()> {
    let (near, far) = pair().await?;
    let mut connection = Revocable::new(near, LIFE, || true)?;
    let written = fill(&mut connection).await?;
    tokio::time::sleep(LIFE * 4).await;
    let (arrived, _) = timeout(LIFE * 4, read_all(far)).await.unwrap_or((written, false));
    assert!(arrived < written, "{arrived} of {written} bytes arrived");
    drop(connection);
    Ok(())
}
