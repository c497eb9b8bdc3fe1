//! Bodies in chunks.
//!
//! Guards against bodies that end where their chunks do not.

use rstest::rstest;
use vanetally_answer::{AnswerReader, Malformed};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Reads a body in pieces of `size` bytes.
fn read(body: &str, size: usize) -> AnswerReader {
    let mut reader = AnswerReader::default();
    reader.expect(false);
    reader.read(HEAD.as_bytes());
    for piece in body.as_bytes().chunks(size) {
        if reader.read(piece) < piece.len() {
            break;
        }
    }
    reader
}

#[rstest]
#[case::one("5\r\nwhole\r\n0\r\n\r\n")]
#[case::several("1\r\na\r\n00a\r\n0123456789\r\nA\r\n0123456789\r\n000\r\n\r\n")]
#[case::line_ends_inside("4\r\n\r\n\r\n\r\n0\r\n\r\n")]
#[case::extensions("5;a;b=c;d=\"e \\\" f\"\r\nwhole\r\n0;last\r\n\r\n")]
#[case::blanks_of_extensions("5 ; a = b\r\nwhole\r\n0\r\n\r\n")]
#[case::trailer("5\r\nwhole\r\n0\r\nX-Sum: 1\r\nX-More:\r\n\r\n")]
#[case::empty("0\r\n\r\n")]
fn whole(#[case] body: &str, #[values(1, 2, 3, 1_000)] size: usize) {
    let reader = read(body, size);
    assert_eq!((reader.malformed(), reader.is_idle()), (None, true), "{body:?}");
}

#[rstest]
#[case::no_size("\r\nwhole\r\n0\r\n\r\n")]
#[case::no_digit("g\r\nwhole\r\n0\r\n\r\n")]
#[case::prefix("0x5\r\nwhole\r\n0\r\n\r\n")]
#[case::sign("+5\r\nwhole\r\n0\r\n\r\n")]
#[case::blank_before(" 5\r\nwhole\r\n0\r\n\r\n")]
#[case::blank_after("5 \r\nwhole\r\n0\r\n\r\n")]
#[case::two_sizes("5 5\r\nwhole\r\n0\r\n\r\n")]
#[case::too_large("10000000000000000\r\nwhole\r\n0\r\n\r\n")]
#[case::nameless_extension("5;\r\nwhole\r\n0\r\n\r\n")]
#[case::control_in_extension("5;a\x01\r\nwhole\r\n0\r\n\r\n")]
#[case::return_in_extension("5;a\rb\r\nwhole\r\n0\r\n\r\n")]
#[case::open_quote("5;a=\"b\r\nwhole\r\n0\r\n\r\n")]
#[case::too_short("4\r\nwhole\r\n0\r\n\r\n")]
#[case::too_long("6\r\nwhole\r\n0\r\n\r\n")]
#[case::bare_end("5\r\nwhole\n0\r\n\r\n")]
fn no_chunk(#[case] body: &str, #[values(1, 1_000)] size: usize) {
    assert_eq!(read(body, size).malformed(), Some(Malformed::Chunk), "{body:?}");
}

#[test]
fn bare_line_end() {
    assert_eq!(read("5\nwhole\r\n0\r\n\r\n", 1_000).malformed(), Some(Malformed::LineEnd));
}

#[rstest]
#[case::no_field("0\r\nno field\r\n\r\n")]
#[case::control("0\r\nX-Sum: \x01\r\n\r\n")]
#[case::length("0\r\nContent-Length: 5\r\n\r\n")]
#[case::coding("0\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case::folded("0\r\nX-Sum: 1\r\n 2\r\n\r\n")]
#[case::bare_line_end("0\r\nX-Sum: 1\nX-More: 2\r\n\r\n")]
fn no_trailer(#[case] body: &str, #[values(1, 1_000)] size: usize) {
    assert_eq!(read(body, size).malformed(), Some(Malformed::Trailer), "{body:?}");
}

#[rstest]
#[case::size("0", Malformed::Chunk)]
#[case::extension("5;a", Malformed::Chunk)]
#[case::trailer("0\r\nX-Sum: 1\r\nX-More: ", Malformed::Trailer)]
fn without_end(#[case] first: &str, #[case] cause: Malformed) {
    let reader = read(&format!("{first}{}", "0".repeat(100_000)), 1_000);
    assert_eq!(reader.malformed(), Some(cause));
    assert!(reader.held_bytes() <= 100_000);
}
