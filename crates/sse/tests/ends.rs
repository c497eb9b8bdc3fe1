//! Ends of events, by all line ends that the format allows.

use rstest::rstest;
use vanetally_sse::Scanner;

/// Returns whether a stream that arrives in pieces of `size` bytes ends inside an event.
fn ends_inside(stream: &str, size: usize) -> bool {
    let mut scanner = Scanner::default();
    stream.as_bytes().chunks(size).for_each(|piece| _ = scanner.scan(piece));
    scanner.is_inside_event()
}

#[rstest]
fn whole_event(#[values("\n", "\r\n", "\r")] end: &str, #[values(1, 2, 3, 64)] size: usize) {
    let stream = format!("id: 1{end}data: one{end}{end}id: 2{end}data: two{end}{end}");
    assert!(!ends_inside(&stream, size));
}

#[rstest]
fn mixed_ends(#[values("\n\r\n", "\r\n\n", "\r\r\n", "\r\n\r", "\n\r", "\r\r")] ends: &str) {
    assert!(!ends_inside(&format!("data: one{ends}"), 1));
}

#[rstest]
fn broken_event(
    #[values("\n", "\r\n", "\r")] end: &str,
    #[values("i", "id: 2", "id: 2{}", "id: 2{}da", "id: 2{}data: two{}")] rest: &str,
    #[values(1, 3, 64)] size: usize,
) {
    let rest = rest.replace("{}", end);
    assert!(ends_inside(&format!("data: one{end}{end}{rest}"), size), "{rest:?}");
}

#[test]
fn one_line_end() {
    // CRLF is one end of a line, not two.
    assert!(ends_inside("data: one\r\n", 1));
}

#[test]
fn comment_between() {
    assert!(!ends_inside("data: one\n\n: still there\n", 1));
    assert!(ends_inside("data: one\n\n: still", 1));
    assert!(ends_inside("data: one\n: still there\n", 1));
}

#[test]
fn last_place() {
    let mut scanner = Scanner::default();
    assert_eq!(scanner.scan(b"data: 1\n\ndata: 2\n\ndata"), Some(18));
    assert_eq!(scanner.scan(b": 3\n"), None);
    assert_eq!(scanner.scan(b"\ndata"), Some(1));
}
