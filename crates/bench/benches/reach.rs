//! Cost of following the paths to upstreams, by the number of upstreams that a host uses.

use criterion::{Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use vanetally_reach::{AttemptId, Event, Reach};
use vanetally_types::{Incarnation, Name, Tick};

/// Upstreams that a host of the present, a middle and the largest deployment may use.
const UPSTREAM_COUNTS: [usize; 3] = [94, 960, 4_800];
/// Hosts of the same deployments.
const HOST_COUNTS: [usize; 3] = [70, 370, 985];
const NOW: Tick = Tick(1_000_000);

fn upstream(number: usize) -> Incarnation {
    Incarnation::new(format!("i-{number:08x}"), Some(1))
}

fn host(hosts: usize, upstreams: usize) -> Reach {
    let mut reach = Reach::new("front-0".into());
    reach.exits.set_hosts((0..hosts).map(|number| format!("front-{number}").into()).collect());
    for number in 0..upstreams {
        let attempt = AttemptId::Own(number as u64);
        let event = Event::Sent { attempt, upstream: upstream(number), exit: None };
        reach.handle(NOW, event);
        reach.handle(NOW, Event::Heard(upstream(number)));
        reach.handle(NOW, Event::Ended { attempt, is_broken: false });
    }
    reach
}

fn benches(criterion: &mut Criterion) {
    for (hosts, upstreams) in HOST_COUNTS.into_iter().zip(UPSTREAM_COUNTS) {
        let mut reach = host(hosts, upstreams);
        let name = format!("{hosts}-hosts-{upstreams}-upstreams");
        let mut group = criterion.benchmark_group(name);
        group.bench_function("request", |bencher| {
            bencher.iter(|| {
                let (attempt, to) = (AttemptId::Own(1), upstream(7));
                black_box(reach.path(NOW, &to));
                reach.handle(NOW, Event::Sent { attempt, upstream: to.clone(), exit: None });
                reach.handle(NOW, Event::Heard(to));
                reach.handle(NOW, Event::Ended { attempt, is_broken: false })
            });
        });
        group.bench_function("tick", |bencher| {
            bencher.iter(|| reach.handle(NOW, Event::Tick));
        });
        let names: Vec<Name> = (0..hosts).map(|number| format!("front-{number}").into()).collect();
        group.bench_function("hosts_change", |bencher| {
            bencher.iter(|| {
                reach.exits.set_hosts(names.clone());
                reach.exits.choose(NOW, &[])
            });
        });
    }
}

criterion_group!(reach, benches);
criterion_main!(reach);
