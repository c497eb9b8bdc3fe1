//! Cost of keeping and finding where streams began, by the number of hosts.

use criterion::{Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use vanetally_ports::Software;
use vanetally_streams::{Beginnings, StreamKey, keepers};
use vanetally_types::{Name, Tick};

/// Hosts of the present, a middle and the largest deployment.
const HOST_COUNTS: [usize; 3] = [70, 370, 985];
/// Hosts that are chosen for a stream.
const CHOSEN: usize = 6;
/// Streams that a host keeps at most.
const STREAMS: u64 = 32_768;
const NOW: Tick = Tick(1_000_000);
const KEPT_MS: u64 = 60_000;

fn key(number: u64) -> StreamKey {
    StreamKey::of(&format!("{number:016x}"))
}

fn benches(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose keepers");
    for count in HOST_COUNTS {
        let host = |number| (format!("front-{number}").into(), format!("z{}", number % 5).into());
        let hosts: Vec<(Name, Name)> = (0..count).map(host).collect();
        group.bench_function(count.to_string(), |bencher| {
            let known = || hosts.iter().map(|(host, domain)| (host, domain));
            bencher.iter(|| black_box(keepers(key(7), known(), CHOSEN).len()));
        });
    }
    group.finish();
    let software = Software { service: "llm".into(), version: "v1".into() };
    let mut beginnings = Beginnings::default();
    let mut number = 0;
    let mut record = |beginnings: &mut Beginnings| {
        number += 1;
        beginnings.record(NOW, key(number), &software, KEPT_MS);
    };
    (0..STREAMS).for_each(|_| record(&mut beginnings));
    let mut group = criterion.benchmark_group("full");
    group.bench_function("record", |bencher| bencher.iter(|| record(&mut beginnings)));
    group.bench_function("get", |bencher| {
        bencher.iter(|| black_box(beginnings.get(NOW, key(STREAMS)).is_some()));
    });
}

criterion_group!(streams, benches);
criterion_main!(streams);
