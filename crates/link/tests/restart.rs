//! Messages to a peer whose process has ended and started again at the same address.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};
use vanetally_link::peer::{Event, Links, Options, decode};
use vanetally_types::HostId;

/// Maximum time until a message arrives that is sent to a reachable peer.
const MAX_TRANSIT: Duration = Duration::from_secs(1);
/// Time within which a closed connection is noticed.
const NOTICE_TIME: Duration = Duration::from_millis(50);

fn options(name: &str) -> Options {
    Options { host_id: HostId::new(name, 1), key: "key".into(), max_message_bytes: 1 << 20 }
}

/// Listens at `address`; returns the sending end and the numbers received.
fn start(name: &str, address: SocketAddr) -> (Links, mpsc::Receiver<u32>, SocketAddr) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let address = listener.local_addr().expect("it is bound");
    let (sender, received) = mpsc::channel();
    let links = Links::try_start(listener, options(name), move |event| {
        if let Event::Message { bytes, .. } = event {
            // The receiving end is dropped when the test ends.
            let _ = sender.send(decode(&bytes).expect("a number"));
        }
    });
    (links.expect("the links start"), received, address)
}

/// The process of a peer: a proxy before its links, which can end and start again.
struct Process {
    address: SocketAddr,
    upstream: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    stopper: Option<Arc<TcpListener>>,
}

impl Process {
    fn new(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let mut process = Self { address, upstream, streams: Arc::default(), stopper: None };
        process.serve(listener);
        process
    }

    fn serve(&mut self, listener: TcpListener) {
        let listener = Arc::new(listener);
        self.stopper = Some(listener.clone());
        let (streams, upstream) = (self.streams.clone(), self.upstream);
        thread::spawn(move || {
            // The listener is non-blocking so that it is closed soon after its process has ended.
            listener.set_nonblocking(true).expect("an open listener");
            while Arc::strong_count(&listener) > 1 {
                match listener.accept() {
                    Ok((stream, _)) => forward(&streams, stream, upstream),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Closes all connections, as the end of a process does.
    fn end(&mut self) {
        self.stopper = None;
        thread::sleep(Duration::from_millis(20));
        for stream in self.streams.lock().expect("no panic").drain(..) {
            // It may have been closed from the other side.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn start_again(&mut self) {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.expect("a socket");
        socket.set_reuse_address(true).expect("an open socket");
        socket.bind(&self.address.into()).expect("the address is free");
        socket.listen(16).expect("it is bound");
        self.serve(socket.into());
    }
}

fn forward(streams: &Arc<Mutex<Vec<TcpStream>>>, near: TcpStream, upstream: SocketAddr) {
    near.set_nonblocking(false).expect("an open stream");
    let far = TcpStream::connect(upstream).expect("the links listen");
    let clone = |stream: &TcpStream| stream.try_clone().expect("an open stream");
    streams.lock().expect("no panic").extend([clone(&near), clone(&far)]);
    for (mut from, mut to) in [(clone(&near), clone(&far)), (far, near)] {
        thread::spawn(move || {
            // An error ends the connection, like the end of the stream.
            let _ = std::io::copy(&mut from, &mut to);
            let _ = to.flush();
            let _ = to.shutdown(Shutdown::Both);
        });
    }
}

#[test]
fn link_closed() {
    let (_peer, received, upstream) = start("peer", ([127, 0, 0, 1], 0).into());
    let mut process = Process::new(upstream);
    let (links, _, _) = start("me", ([127, 0, 0, 1], 0).into());
    links.send(&"peer".into(), process.address, &1);
    assert_eq!(received.recv_timeout(MAX_TRANSIT), Ok(1));
    process.end();
    process.start_again();
    thread::sleep(NOTICE_TIME);
    // The first message after the restart.
    links.send(&"peer".into(), process.address, &2);
    assert_eq!(received.recv_timeout(MAX_TRANSIT), Ok(2));
}

/// Messages are lost while the peer does not run; the one after its start is not.
#[test]
fn peer_away() {
    let (_peer, received, upstream) = start("peer", ([127, 0, 0, 1], 0).into());
    let mut process = Process::new(upstream);
    let (links, _, _) = start("me", ([127, 0, 0, 1], 0).into());
    links.send(&"peer".into(), process.address, &1);
    assert_eq!(received.recv_timeout(MAX_TRANSIT), Ok(1));
    process.end();
    thread::sleep(NOTICE_TIME);
    links.send(&"peer".into(), process.address, &2);
    thread::sleep(Duration::from_millis(20));
    process.start_again();
    links.send(&"peer".into(), process.address, &3);
    assert_eq!(received.recv_timeout(MAX_TRANSIT), Ok(3));
}
