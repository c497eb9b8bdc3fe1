//! Mutated answers, read by the strict reader and by the HTTP library that reads them afterwards.
//!
//! Guards against an answer that both take for complete, but with other bodies.

use http_body_util::{BodyExt, Empty};
use hyper::{Request, body::Bytes, client::conn::http1};
use hyper_util::rt::TokioIo;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use vanetally_answer::{AnswerReader, MAX_HEAD_BYTES};

const BODY: &str = "whole";
/// What spoilt answers are made of.
const PARTS: [&str; 24] = [
    "\r\n",
    "\n",
    "\r",
    " ",
    "\t",
    ":",
    ",",
    ";",
    "0",
    "5",
    "F",
    "200",
    "100",
    "204",
    "a",
    "\x01",
    "\0",
    "chunked",
    "Content-Length: 5",
    "Content-Length: 3",
    "Transfer-Encoding: chunked",
    "Connection: close",
    "HTTP/1.1 200 OK\r\n",
    "é",
];

fn answer() -> impl Strategy<Value = Vec<u8>> {
    prop::sample::select(vec![
        format!("HTTP/1.1 200 OK\r\nX-Seal: 1\r\nContent-Length: 5\r\n\r\n{BODY}"),
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nwh\r\n3\r\nole\r\n0\r\nX-Sum: 1\r\n\r\n"
        ),
        format!("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.0 200 OK\r\n\r\n{BODY}"),
        "HTTP/1.1 204 No Content\r\nX-Seal: 1\r\n\r\n".to_owned(),
    ])
    .prop_map(String::into_bytes)
}

/// Replaces up to four bytes each in up to three places by a part, or by nothing.
fn spoilt() -> impl Strategy<Value = Vec<u8>> {
    let edit = (any::<prop::sample::Index>(), 0..4_usize, prop::option::of(0..PARTS.len()));
    (answer(), prop::collection::vec(edit, 0..3)).prop_map(|(mut bytes, edits)| {
        for (place, length, part) in edits {
            let start = place.index(bytes.len() + 1);
            let end = (start + length).min(bytes.len());
            let new = part.map_or("", |part| PARTS[part]);
            bytes.splice(start..end, new.bytes());
        }
        bytes
    })
}

/// Reads bytes that come in pieces of `size`; returns the number that belong to the answer, and the reader.
fn read_strictly(bytes: &[u8], size: usize) -> (usize, AnswerReader) {
    let mut reader = AnswerReader::default();
    reader.expect(false);
    let mut taken = 0;
    for piece in bytes.chunks(size) {
        let count = reader.read(piece);
        taken += count;
        if count < piece.len() {
            break;
        }
    }
    (taken, reader)
}

/// Has the library read `bytes` and the end of the connection; returns the complete body.
fn read_by_library(bytes: &[u8]) -> Option<Bytes> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let (near, mut far) = tokio::io::duplex(64 << 10);
        let (mut sender, connection) = http1::handshake(TokioIo::new(near)).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        let request = Request::get("/").body(Empty::<Bytes>::new()).ok()?;
        let answering = async {
            let mut request = [0; 256];
            let _ = far.read(&mut request).await;
            let _ = far.write_all(bytes).await;
            drop(far);
        };
        let (response, ()) = tokio::join!(sender.send_request(request), answering);
        Some(response.ok()?.into_body().collect().await.ok()?.to_bytes())
    })
}

/// Returns the body of an answer that the strict reader takes for complete.
fn body_of(answer: &[u8]) -> Vec<u8> {
    let mut rest = answer;
    loop {
        let end = rest.windows(4).position(|window| window == b"\r\n\r\n").expect("a head") + 4;
        let head = String::from_utf8_lossy(&rest[..end]).to_lowercase();
        rest = &rest[end..];
        if head.contains("\r\ntransfer-encoding:") {
            return body_of_chunks(rest);
        }
        if !head[9..].starts_with('1') {
            return rest.to_vec();
        }
    }
}

fn body_of_chunks(mut rest: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|window| window == b"\r\n").expect("a line");
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let digits = line.split([';', ' ', '\t']).next().expect("a size");
        let size = usize::from_str_radix(digits, 16).expect("a number");
        if size == 0 {
            return body;
        }
        body.extend_from_slice(&rest[end + 2..end + 2 + size]);
        rest = &rest[end + 2 + size + 2..];
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// The library reads a complete answer with the same body.
    #[test]
    fn same_body(bytes in spoilt()) {
        let (taken, reader) = read_strictly(&bytes, usize::MAX);
        if taken == bytes.len() && reader.is_idle() {
            let expected = Bytes::from(body_of(&bytes));
            prop_assert_eq!(read_by_library(&bytes), Some(expected), "{:?}", String::from_utf8_lossy(&bytes));
        }
    }

    /// Whether an answer is whole does not depend on how its bytes arrive.
    #[test]
    fn same_in_pieces(bytes in spoilt(), size in 1..40_usize) {
        let (_, whole) = read_strictly(&bytes, usize::MAX);
        let (_, pieces) = read_strictly(&bytes, size);
        prop_assert_eq!(whole.is_idle(), pieces.is_idle());
        prop_assert_eq!(whole.malformed().is_some(), pieces.malformed().is_some());
    }

    /// Arbitrary bytes are read without a panic, and little of them is held.
    #[test]
    fn arbitrary(bytes in prop::collection::vec(any::<u8>(), 0..400), size in 1..40_usize) {
        let (taken, reader) = read_strictly(&bytes, size);
        prop_assert!(taken <= bytes.len());
        prop_assert!(reader.held_bytes() <= MAX_HEAD_BYTES);
    }
}
