//! Client of the platform on a connection that it keeps.

use socket2::{Domain, Protocol, Socket, Type};
use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// An answer, as far as it was received.
pub struct Answer {
    /// Status code; 0 if there was no answer.
    pub status: u16,
    /// Stated length of the body.
    pub stated: usize,
    /// Bytes of the body that were received.
    pub received: usize,
    /// How reading ended.
    pub end: String,
    /// The body, as far as it was received.
    pub body: Vec<u8>,
}

impl Answer {
    /// Whether the whole body arrived.
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.received == self.stated
    }
}

/// Size of the system's receive buffer of a client: windows are small.
const RECEIVE_BYTES: usize = 32 << 10;

/// Connects to a host.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.connect_timeout(&address.into(), Duration::from_secs(1))?;
    socket.set_tcp_nodelay(true)?;
    Ok(socket.into())
}

/// Sends a request.
pub fn send(
    stream: &mut TcpStream,
    path: &str,
    id: &str,
    wait_ms: u64,
    headers: &str,
) -> io::Result<()> {
    let body = "x";
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {wait_ms}\r\n\
         {headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes())
}

/// Reads an answer whose length is stated.
pub fn receive(stream: &mut TcpStream, limit: Duration) -> Answer {
    let mut answer =
        Answer { status: 0, stated: 0, received: 0, end: "whole".into(), body: Vec::new() };
    if let Err(error) = try_receive(stream, limit, &mut answer) {
        answer.end = error.to_string();
    }
    answer
}

fn try_receive(stream: &mut TcpStream, limit: Duration, answer: &mut Answer) -> io::Result<()> {
    stream.set_read_timeout(Some(limit))?;
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    if !head.starts_with("http/1.1 ") {
        return Err(io::Error::other("no head of an answer"));
    }
    answer.status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    if head.lines().any(|line| line.starts_with("transfer-encoding:")) {
        return receive_chunks(stream, answer);
    }
    let stated = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    answer.stated = stated.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    let mut buffer = vec![0; 16 << 10];
    while answer.received < answer.stated {
        let left = (answer.stated - answer.received).min(buffer.len());
        let length = stream.read(&mut buffer[..left])?;
        if length == 0 {
            return Err(io::Error::other("the connection ended"));
        }
        answer.received += length;
        answer.body.extend_from_slice(&buffer[..length]);
    }
    Ok(())
}

fn receive_chunks(stream: &mut TcpStream, answer: &mut Answer) -> io::Result<()> {
    loop {
        let mut line = Vec::new();
        let mut byte = [0];
        while !line.ends_with(b"\r\n") {
            stream.read_exact(&mut byte)?;
            line.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&line);
        let length = usize::from_str_radix(text.trim_end(), 16);
        let length = length.map_err(|_| io::Error::other("no length of a chunk"))?;
        let mut chunk = vec![0; length + 2];
        stream.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(());
        }
        answer.body.extend_from_slice(&chunk[..length]);
        answer.received = answer.body.len();
        answer.stated = answer.received;
    }
}
