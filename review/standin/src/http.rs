//! Reading and writing of HTTP/1.1 messages on plain sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request, or the head of an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
    /// The body, without its framing.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the path of a request without its query.
    pub fn path(&self) -> &str {
        let target = self.first.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads from a connection, and keeps what lies beyond a message.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16_384];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads the head of a message; `None` if the peer closed the connection before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Some(parse(&head)));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body of `message` by its framing. `is_answer`: without framing the body ends with the connection.
    pub fn body(&mut self, message: &mut Message, is_answer: bool) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                let chunk = self.exactly(size)?;
                self.line()?;
                if size == 0 {
                    return Ok(());
                }
                message.body.extend(chunk);
            }
        }
        if let Some(length) = message.header("content-length") {
            let length = length.trim().parse().unwrap_or(0);
            message.body = self.exactly(length)?;
        } else if is_answer {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(())
    }

    /// Reads a whole request.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut message, false)?;
        Ok(Some(message))
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

fn parse(head: &[u8]) -> Message {
    let text = String::from_utf8_lossy(head).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    });
    Message { first, headers: headers.collect(), body: Vec::new() }
}

/// Returns an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = head(status, headers);
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the head of an answer without the empty line that ends it.
pub fn head(status: u16, headers: &[(&str, &str)]) -> String {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text
}

/// Returns one chunk of a body.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status, or 0 if no head arrived.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the answer arrived whole.
    pub is_whole: bool,
    /// Whether it bears the signature of a runner.
    pub is_sealed: bool,
}

/// Sends a request on a new connection and reads the answer.
pub fn exchange(to: SocketAddr, head: &str, body: &[u8], wait: Duration) -> Answer {
    let mut got = Answer::default();
    let mut run = || -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(wait))?;
        stream.set_nodelay(true)?;
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)?;
        let mut reader = Reader::new(stream);
        let mut message = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        got.status = message.status();
        got.is_sealed = message.header("x-server-seal").is_some();
        let read = reader.body(&mut message, true);
        got.is_whole = read.is_ok();
        got.body = message.body;
        Ok(())
    };
    let _ = run();
    got
}
