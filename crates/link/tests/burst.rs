//! Connections that come together are all served while all of them stay open.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Barrier},
    thread,
    time::Duration,
};
use vanetally_link::http::{Options, Reply, Server};

/// Connections of one burst: more than threads wait for.
const BURST: usize = 12;
const BURSTS: usize = 40;
/// An answer takes a millisecond.
const PATIENCE: Duration = Duration::from_secs(3);

/// Whether a request on a new connection is answered; the connection stays open.
fn ask(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
    let mut byte = [0; 1];
    stream.read_exact(&mut byte).ok()?;
    Some(stream)
}

#[test]
fn all_answered() {
    for burst in 0..BURSTS {
        let server = Server::try_bind(([127, 0, 0, 1], 0).into()).unwrap();
        let address = server.address();
        let stopper = server.serve("burst", Options::default(), |exchange| {
            exchange.answer(Reply::new(200, "text/plain", "here\n"));
        });
        let start = Arc::new(Barrier::new(BURST));
        let callers: Vec<_> = (0..BURST)
            .map(|_| {
                let start = start.clone();
                thread::spawn(move || {
                    start.wait();
                    ask(address)
                })
            })
            .collect();
        let answers: Vec<_> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
        let unanswered = answers.iter().filter(|answer| answer.is_none()).count();
        assert_eq!(unanswered, 0, "of {BURST} in burst {burst}");
        stopper.stop();
    }
}
