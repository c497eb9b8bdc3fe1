//! Whole events, their ids and the bound on what is held back.

use rstest::rstest;
use vanetally_sse::EventSplitter;

const MAX: usize = 32;

fn splitter() -> EventSplitter {
    EventSplitter::new(MAX)
}

#[rstest]
fn whole_events(#[values("\n", "\r\n", "\r")] end: &str, #[values(1, 2, 3, 64)] size: usize) {
    let stream = format!("id: 1{end}data: one{end}{end}id: 2{end}data: two{end}{end}");
    let mut splitter = splitter();
    let mut released = Vec::new();
    for piece in stream.as_bytes().chunks(size) {
        released.extend_from_slice(&splitter.push(piece));
        assert!(splitter.may_resume());
    }
    assert_eq!(released, stream.as_bytes());
    assert_eq!(splitter.last_id().map(|id| &**id), Some("2"));
}

#[test]
fn broken_event() {
    let mut splitter = splitter();
    assert_eq!(&splitter.push(b"id: 1\ndata: one\n\nid: 2\nda")[..], b"id: 1\ndata: one\n\n");
    assert!(splitter.is_inside_event());
    splitter.restart();
    assert!(!splitter.is_inside_event());
    assert_eq!(&splitter.push(b"id: 2\n\n")[..], b"id: 2\n\n");
}

/// An event that is longer than the bound is not held back, and a stream that breaks inside it can't
/// be resumed.
#[test]
fn long_event() {
    let mut splitter = splitter();
    splitter.push(b"id: 1\n\n");
    let long = [b"id: 2\ndata: ".as_slice(), &[b'x'; MAX]].concat();
    assert_eq!(splitter.push(&long), long);
    assert!(!splitter.may_resume());
    assert_eq!(&splitter.push(b"y")[..], b"y");
    assert_eq!(&splitter.push(b"\n\n")[..], b"\n\n");
    assert!(!splitter.may_resume(), "its id may have been in the part that is gone");
    splitter.push(b"id: 3\n\n");
    assert!(splitter.may_resume());
    assert_eq!(splitter.last_id().map(|id| &**id), Some("3"));
}

/// A stream that has brought a comment only may begin anew.
#[test]
fn comment_only() {
    let mut splitter = splitter();
    assert_eq!(&splitter.push(b": here\n\n")[..], b": here\n\n");
    assert!(splitter.may_resume() && !splitter.has_event());
    splitter.push(b"id: 1\n\n");
    assert!(splitter.may_resume() && splitter.has_event() && splitter.has_new_event());
    splitter.restart();
    assert!(splitter.has_event() && !splitter.has_new_event());
}

/// An id that no header can carry is no place to go on from.
#[test]
fn long_id() {
    let mut splitter = EventSplitter::new(4_096);
    splitter.push(format!("id: {}\n\n", "x".repeat(1_025)).as_bytes());
    assert!(!splitter.may_resume());
}

/// A stream without ids would begin anew.
#[test]
fn without_id() {
    let mut splitter = splitter();
    assert!(splitter.may_resume());
    splitter.push(b"data: one\n\n");
    assert!(!splitter.may_resume());
}

#[rstest]
#[case("id:7\n\n", Some("7"))]
#[case("\u{feff}id: 7\n\n", Some("7"))]
#[case("id: 7 \n\n", Some("7 "))]
#[case("id: 7\nid\n\n", None)]
#[case("identity: 7\n\n", None)]
#[case("id: sieben \u{2192} 7\n\n", Some("sieben \u{2192} 7"))]
#[case("id: 7\u{1}\n\n", None)]
#[case("id: 7\nid: 8\0\n\n", Some("7"))]
fn ids(#[case] stream: &str, #[case] id: Option<&str>) {
    let mut splitter = splitter();
    splitter.push(stream.as_bytes());
    assert_eq!(splitter.last_id().map(|id| &**id), id);
}
