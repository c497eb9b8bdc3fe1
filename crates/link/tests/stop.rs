//! Guards against answers that a server cuts when it stops.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::mpsc::channel,
    thread,
    time::{Duration, Instant},
};
use vanetally_link::http::{Options, Reply, Server};

/// Size of the answer: more than the buffers between the server and its caller hold.
const ANSWER_BYTES: usize = 4 << 20;
/// Time for which the caller takes nothing.
const PAUSE: Duration = Duration::from_millis(500);
const MAX_STOP: Duration = Duration::from_secs(5);

#[test]
fn answers_are_written_before_a_stop_ends() {
    let server = Server::try_bind(([127, 0, 0, 1], 0).into()).unwrap();
    let mut caller = TcpStream::connect(server.address()).unwrap();
    let (answered, is_answered) = channel();
    let stopper = server.serve("stop", Options::default(), move |exchange| {
        exchange.answer(Reply::new(200, "text/plain", vec![b'x'; ANSWER_BYTES]));
        answered.send(()).unwrap();
    });
    caller.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    is_answered.recv().unwrap();
    stopper.stop();
    thread::sleep(PAUSE);
    assert!(!stopper.is_done(), "the answer is still to be written");
    let mut bytes = Vec::new();
    caller.read_to_end(&mut bytes).unwrap();
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n").expect("a head") + 4;
    assert_eq!(bytes.len() - end, ANSWER_BYTES);
    let stopped = Instant::now();
    while !stopper.is_done() {
        assert!(stopped.elapsed() < MAX_STOP, "the server does not stop");
        thread::sleep(Duration::from_millis(10));
    }
}
