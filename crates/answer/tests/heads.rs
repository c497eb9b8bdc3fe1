//! Which heads are no answer.
//!
//! Guards against answers that one reader takes for complete and another for none, or for others.

use rstest::rstest;
use vanetally_answer::{AnswerReader, MAX_HEAD_BYTES, Malformed};

/// Reads bytes after one request; returns the number of those that belong to its answer, and the reader.
fn read(bytes: &[u8]) -> (usize, AnswerReader) {
    let mut reader = AnswerReader::default();
    reader.expect(false);
    (reader.read(bytes), reader)
}

/// Returns an answer with a body of five bytes, in which `line` stands after the status line.
fn with_line(line: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{line}\r\nContent-Length: 5\r\n\r\nwhole")
}

fn assert_refused(text: &str, cause: Malformed) {
    let (taken, reader) = read(text.as_bytes());
    assert_eq!((taken, reader.malformed()), (0, Some(cause)), "{text:?}");
    // The cause does not depend on how the bytes arrive, and no more than a part of the head is passed on.
    let mut reader = AnswerReader::default();
    reader.expect(false);
    let head = text.find("\r\n\r\n").map_or(text.len(), |end| end + 4);
    let mut passed = 0;
    for byte in text.as_bytes() {
        passed += reader.read(&[*byte]);
        if reader.malformed().is_some() {
            break;
        }
    }
    assert_eq!(reader.malformed(), Some(cause), "{text:?} in pieces");
    assert!(passed < head, "{text:?} in pieces");
}

#[rstest]
#[case::no_version("200 OK")]
#[case::other_protocol("ICY 200 OK")]
#[case::other_version("HTTP/2.0 200 OK")]
#[case::unknown_minor_version("HTTP/1.2 200 OK")]
#[case::lower_case("http/1.1 200 OK")]
#[case::empty_line_before("\r\nHTTP/1.1 200 OK")]
#[case::blank_before(" HTTP/1.1 200 OK")]
#[case::two_blanks("HTTP/1.1  200 OK")]
#[case::tab("HTTP/1.1\t200 OK")]
#[case::no_blank_after("HTTP/1.1 200")]
#[case::two_digits("HTTP/1.1 20 OK")]
#[case::four_digits("HTTP/1.1 2000 OK")]
#[case::letter("HTTP/1.1 2O0 OK")]
#[case::sign("HTTP/1.1 +20 OK")]
#[case::control_in_reason("HTTP/1.1 200 O\x01K")]
#[case::nothing("")]
fn status_line(#[case] line: &str) {
    let text = format!("{line}\r\nContent-Length: 5\r\n\r\nwhole");
    assert_refused(&text, Malformed::StatusLine);
}

#[rstest]
#[case("000")]
#[case("099")]
#[case("101")]
#[case("600")]
#[case("999")]
fn invalid_status(#[case] status: &str) {
    let text = format!("HTTP/1.1 {status} OK\r\nContent-Length: 5\r\n\r\nwhole");
    assert_refused(&text, Malformed::Status);
}

#[rstest]
#[case::no_colon("X-Server-Seal")]
#[case::no_name(": value")]
#[case::blank_in_name("X Server: value")]
#[case::blank_after_name("X-Server : value")]
#[case::tab_after_name("X-Server\t: value")]
#[case::blank_before_name(" X-Server: value")]
#[case::folded("X-Server: value\r\n more")]
#[case::folded_with_tab("X-Server: value\r\n\tmore")]
#[case::control_in_name("X-\x01Server: value")]
#[case::delete_in_name("X-Server\x7f: value")]
#[case::nul_in_name("X-Server\0: value")]
#[case::separator_in_name("X-Server(1): value")]
#[case::name_outside_ascii("X-Sérver: value")]
#[case::control_in_value("X-Server: va\x01lue")]
#[case::nul_in_value("X-Server: va\0lue")]
#[case::delete_in_value("X-Server: va\x7flue")]
#[case::return_in_value("X-Server: va\rlue")]
#[case::return_at_end("X-Server: value\r")]
fn no_field(#[case] line: &str) {
    assert_refused(&with_line(line), Malformed::Field);
}

#[rstest]
#[case::status_line("HTTP/1.1 200 OK\nContent-Length: 5\r\n\r\nwhole")]
#[case::field("HTTP/1.1 200 OK\r\nContent-Length: 5\n\r\nwhole")]
#[case::end("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\nwhole")]
#[case::everywhere("HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole")]
fn line_end(#[case] text: &str) {
    assert_refused(text, Malformed::LineEnd);
}

#[rstest]
#[case::letter("4O")]
#[case::hexadecimal("0x5")]
#[case::sign("+5")]
#[case::negative("-5")]
#[case::empty("")]
#[case::fraction("5.0")]
#[case::exponent("5e0")]
#[case::blank("5 5")]
#[case::list("5, 5")]
#[case::other_list("5, 6")]
#[case::too_large("18446744073709551616")]
#[case::outside_ascii("５")]
#[case::unit("5 bytes")]
fn invalid_length(#[case] length: &str) {
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\nwhole");
    assert_refused(&text, Malformed::Length);
}

#[rstest]
#[case::same("Content-Length: 5")]
#[case::other("Content-Length: 3")]
#[case::other_case("content-LENGTH: 9")]
#[case::none("Content-Length:")]
fn repeated_length(#[case] line: &str) {
    assert_refused(&with_line(line), Malformed::Length);
}

#[rstest]
#[case::chunked("Transfer-Encoding: chunked")]
#[case::spoilt("Transfer-Encoding: chunke")]
#[case::empty("Transfer-Encoding:")]
fn two_lengths(#[case] line: &str) {
    assert_refused(&with_line(line), Malformed::TwoLengths);
}

#[rstest]
#[case::other("gzip")]
#[case::spoilt("chunke")]
#[case::several("gzip, chunked")]
#[case::not_last("chunked, gzip")]
#[case::twice("chunked, chunked")]
#[case::two_lines("chunked\r\nTransfer-Encoding: chunked")]
#[case::identity("identity")]
#[case::parameter("chunked;q=1")]
#[case::quoted("\"chunked\"")]
#[case::empty("")]
fn unknown_coding(#[case] coding: &str) {
    let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: {coding}\r\n\r\n0\r\n\r\n");
    assert_refused(&text, Malformed::Coding);
}

/// A version that knows no chunks can't have them.
#[test]
fn coding_of_old_version() {
    let text = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_refused(text, Malformed::Coding);
}

#[rstest]
#[case::no_content("204", "Content-Length: 5")]
#[case::no_content_chunked("204", "Transfer-Encoding: chunked")]
#[case::reset_content("205", "Content-Length: 5")]
#[case::informational("103", "Content-Length: 5")]
#[case::informational_chunked("103", "Transfer-Encoding: chunked")]
fn forbidden_body(#[case] status: &str, #[case] line: &str) {
    let text = format!("HTTP/1.1 {status} Status\r\n{line}\r\n\r\nwhole");
    assert_refused(&text, Malformed::BodyForbidden);
}

#[rstest]
#[case("Content-Type: text/event-stream\r\nContent-Type: text/plain")]
#[case("Retry-After: 1\r\nX-Other: 1\r\nretry-after: 2")]
#[case("Location: /a\r\nLocation: /b")]
fn two_values(#[case] lines: &str) {
    assert_refused(&with_line(lines), Malformed::TwoValues);
}

#[rstest]
#[case::field("X-Long: ", "0123456789abcdef")]
#[case::fields("", "x-more: again\r\n")]
#[case::informational("\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n")]
fn without_end(#[case] first: &str, #[case] repeated: &str) {
    let text = format!("HTTP/1.1 100 Go\r\n{first}{}", repeated.repeat(MAX_HEAD_BYTES / 8));
    let (_, reader) = read(text.as_bytes());
    assert_eq!(reader.malformed(), Some(Malformed::HeadTooLong));
    assert!(reader.held_bytes() <= MAX_HEAD_BYTES);
}

#[test]
fn too_many_fields() {
    assert_refused(
        &with_line(&"X-More: again\r\n".repeat(200)).replace("\r\n\r\nC", "\r\nC"),
        Malformed::HeadTooLong,
    );
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::no_reason("HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole")]
#[case::reason_outside_ascii("HTTP/1.1 200 Größe\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::old_version("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::blanks("HTTP/1.1 200 OK\r\nContent-Length: \t 5 \t\r\nX-Empty:\r\n\r\nwhole")]
#[case::no_blanks("HTTP/1.1 200 OK\r\ncontent-length:5\r\n\r\nwhole")]
#[case::leading_zero("HTTP/1.1 200 OK\r\nContent-Length: 05\r\n\r\nwhole")]
#[case::value_outside_ascii("HTTP/1.1 200 OK\r\nX-Name: Zoë\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::same_type_twice(
    "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Type: a/b\r\nContent-Length: 5\r\n\r\nwhole"
)]
#[case::list_in_two_lines("HTTP/1.1 200 OK\r\nVia: a\r\nVia: b\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")]
#[case::no_body("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")]
#[case::no_content("HTTP/1.1 204 No Content\r\n\r\n")]
#[case::no_content_with_length("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")]
#[case::reset_content("HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n")]
#[case::reset_content_in_chunks(
    "HTTP/1.1 205 Reset Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::not_modified("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n")]
#[case::informational("HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 204 None\r\n\r\n")]
#[case::failure("HTTP/1.1 599 Own\r\nContent-Length: 5\r\n\r\nwhole")]
fn whole(#[case] text: &str) {
    let (taken, reader) = read(text.as_bytes());
    assert_eq!(reader.malformed(), None, "{text:?}");
    assert_eq!((taken, reader.is_idle()), (text.len(), true), "{text:?}");
}

/// The answer to a `HEAD` has no body, whatever length it states.
#[test]
fn head_request() {
    let mut reader = AnswerReader::default();
    reader.expect(true);
    reader.read(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    assert!(reader.is_idle());
}

/// A body without a length ends with its connection, so that nothing is surplus and no other answer is due.
#[test]
fn ends_with_connection() {
    let (taken, mut reader) = read(b"HTTP/1.1 200 OK\r\n\r\nwhole");
    assert_eq!((taken, reader.is_idle()), (24, false));
    assert_eq!(reader.read(b"HTTP/1.1 200 OK\r\n\r\n"), 19);
    assert_eq!(reader.malformed(), None);
}

/// What comes after a whole answer belongs to no request, and the answer before it is whole.
#[rstest]
#[case::answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain")]
#[case::beginning("HTT")]
#[case::line_end("\r\n")]
fn surplus(#[case] more: &str) {
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    let (taken, reader) = read(format!("{whole}{more}").as_bytes());
    assert_eq!((taken, reader.malformed()), (whole.len(), Some(Malformed::Surplus)));
    let (_, mut reader) = read(whole.as_bytes());
    assert_eq!((reader.read(more.as_bytes()), reader.malformed()), (0, Some(Malformed::Surplus)));
}

/// A body that goes on after its stated length was not whole there.
#[test]
fn beyond_length() {
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole body";
    let (taken, reader) = read(text);
    assert_eq!((taken, reader.malformed()), (0, Some(Malformed::BeyondLength)));
    let mut reader = AnswerReader::default();
    reader.expect(false);
    assert_eq!(reader.read(&text[..40]), 40);
    assert_eq!(reader.read(&text[40..]), 2, "the last byte is not passed on");
    assert_eq!(reader.malformed(), Some(Malformed::BeyondLength));
}

/// Bytes without a request are no answer.
#[test]
fn without_request() {
    let mut reader = AnswerReader::default();
    assert_eq!(reader.read(b"HTTP/1.1 200 OK\r\n\r\n"), 0);
    assert_eq!(reader.malformed(), Some(Malformed::Surplus));
}
