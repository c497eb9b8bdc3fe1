//! Cost of the strict reading of answers: a short answer, and an event of a stream in a chunk.

use criterion::{Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use vanetally_answer::AnswerReader;

const FIELDS: &str = "X-Request-Id: 9c41d07be2a35f68\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
    Content-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\n";
const EVENT: &str =
    "id: 41\ndata: {\"text\":\" some words of an answer that is being written\"}\n\n";
/// Length of the body of a short answer.
const BODY_BYTES: usize = 800;

fn short_answer(criterion: &mut Criterion) {
    let body = "x".repeat(BODY_BYTES);
    let answer = format!("HTTP/1.1 200 OK\r\n{FIELDS}Content-Length: {BODY_BYTES}\r\n\r\n{body}");
    let mut reader = AnswerReader::default();
    criterion.bench_function("answer of 800 bytes", |bencher| {
        bencher.iter(|| {
            reader.expect(false);
            assert_eq!(reader.read(black_box(answer.as_bytes())), answer.len());
        });
    });
}

fn event(criterion: &mut Criterion) {
    let chunk = format!("{:x}\r\n{EVENT}\r\n", EVENT.len());
    let mut reader = AnswerReader::default();
    reader.expect(false);
    let head = format!("HTTP/1.1 200 OK\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n");
    reader.read(head.as_bytes());
    criterion.bench_function("event in a chunk", |bencher| {
        bencher.iter(|| assert_eq!(reader.read(black_box(chunk.as_bytes())), chunk.len()));
    });
}

criterion_group!(benches, short_answer, event);
criterion_main!(benches);
