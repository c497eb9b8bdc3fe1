//! Reads arbitrary bytes as the answers of a connection.
//!
//! The first byte tells the method and where the rest is split. Run with `cargo fuzz run answers`.
#![no_main]

use libfuzzer_sys::fuzz_target;
use vanetally_answer::{AnswerReader, MAX_HEAD_BYTES};

fuzz_target!(|input: &[u8]| {
    let Some((first, bytes)) = input.split_first() else {
        return;
    };
    let (is_bodiless, at) = (first & 1 == 1, usize::from(first >> 1).min(bytes.len()));
    let mut whole = AnswerReader::default();
    whole.expect(is_bodiless);
    let taken = whole.read(bytes);
    assert!(taken <= bytes.len());
    assert_eq!(taken < bytes.len(), whole.malformed().is_some());
    assert!(whole.held_bytes() <= MAX_HEAD_BYTES);
    let mut split = AnswerReader::default();
    split.expect(is_bodiless);
    let (start, rest) = bytes.split_at(at);
    if split.read(start) == start.len() {
        split.read(rest);
    }
    // Where an answer is complete does not depend on how it arrives.
    if whole.malformed().is_none() {
        assert_eq!((split.malformed(), split.is_idle()), (None, whole.is_idle()));
    } else {
        assert!(split.malformed().is_some());
    }
});
