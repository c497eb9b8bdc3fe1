//! Guards against connections that arrive together and get no answer until another one closes.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Barrier},
    thread,
    time::Duration,
};
use vanetally_link::http::{Options, Reply, Server};

/// Number of connections in one burst; more than the library has idle threads.
const BURST_SIZE: usize = 12;
const BURSTS: usize = 40;
/// Timeout of an answer, which normally takes a millisecond.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a request on a new connection and returns the open connection if there is an answer.
fn request(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
    let mut byte = [0; 1];
    stream.read_exact(&mut byte).ok()?;
    Some(stream)
}

#[test]
fn all_connections_are_answered() {
    for burst in 0..BURSTS {
        let server = Server::try_bind(([127, 0, 0, 1], 0).into()).unwrap();
        let address = server.address();
        let stopper = server.serve("burst", Options::default(), |exchange| {
            exchange.answer(Reply::new(200, "text/plain", "here\n"));
        });
        let start = Arc::new(Barrier::new(BURST_SIZE));
        let callers: Vec<_> = (0..BURST_SIZE)
            .map(|_| {
                let start = start.clone();
                thread::spawn(move || {
                    start.wait();
                    request(address)
                })
            })
            .collect();
        let answers: Vec<_> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
        let unanswered = answers.iter().filter(|answer| answer.is_none()).count();
        assert_eq!(unanswered, 0, "of {BURST_SIZE} in burst {burst}");
        stopper.stop();
    }
}
