//! All hosts stop sending to an upstream within a second after it dies under load.

mod support;

use support::{Host, request, route, sent_to, upstream};
use vanetally_dispatch::{AttemptEnd, Digest, Event, LoadRow};
use vanetally_ports::RequestKind;
use vanetally_types::Incarnation;

const SERVICES: u16 = 3;
const HOSTS: usize = 12;
const REQUEST_INTERVAL_MS: u64 = 50;
const REPORT_INTERVAL_MS: u64 = 100;

struct Fleet {
    hosts: Vec<Host>,
    sent: usize,
    /// The upstream at which every request breaks off.
    dead: Option<Incarnation>,
}

impl Fleet {
    fn new() -> Self {
        let host = |_| {
            let mut host = Host::new(vec![route("quote", RequestKind::Once, "desk")]);
            for port in 0..SERVICES {
                host.announce(&format!("d-{port}"), upstream("desk", port, &[]));
            }
            host
        };
        Self { hosts: (0..HOSTS).map(host).collect(), sent: 0, dead: None }
    }

    /// Runs for `millis`, and returns how many requests broke off.
    fn run(&mut self, millis: u64) -> usize {
        let mut broken = 0;
        for at in (0..millis).step_by(REQUEST_INTERVAL_MS as usize) {
            for number in 0..self.hosts.len() {
                broken += usize::from(self.request(number));
            }
            if at.is_multiple_of(REPORT_INTERVAL_MS) {
                self.exchange_digests();
            }
        }
        broken
    }

    /// Sends one request through one host, and returns whether it broke off.
    fn request(&mut self, number: usize) -> bool {
        self.sent += 1;
        let host = &mut self.hosts[number];
        host.advance(REQUEST_INTERVAL_MS);
        let (id, actions) = host.arrive(request(&format!("r{}", self.sent), "quote", None));
        let upstream = sent_to(&actions, id);
        let is_broken = self.dead.as_ref() == Some(&upstream);
        host.end_attempt(id, if is_broken { AttemptEnd::Broken } else { AttemptEnd::Served });
        is_broken
    }

    /// Passes the sum of the digests of all other hosts to each host, as an aggregator does.
    fn exchange_digests(&mut self) {
        let now = self.hosts[0].now;
        let digests: Vec<Digest> =
            self.hosts.iter_mut().map(|host| host.dispatch.digest(now)).collect();
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let others = digests.iter().enumerate().filter(|(other, _)| *other != number);
            let mut loads: Vec<LoadRow> = Vec::new();
            for row in others.flat_map(|(_, digest)| &digest.loads) {
                match loads.iter_mut().find(|sum| sum.upstream == row.upstream) {
                    Some(sum) => {
                        sum.good += row.good;
                        sum.bad += row.bad;
                    }
                    None => loads.push(row.clone()),
                }
            }
            let digest = Digest { loads, demand: Vec::new(), waiting: Vec::new() };
            host.handle(Event::PeerDigest { host: "aggregator".into(), digest });
        }
    }
}

/// Twelve hosts send 240 requests per second, so each of three upstreams has 400 successes in five
/// seconds. Guards against such a history hiding the failures: a hundred requests that must not be
/// retried would be lost before the upstream is ejected.
#[test]
fn dead_upstream_under_load() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.run(6_000), 0);
    fleet.dead = Some("d-0".into());
    let broken = fleet.run(1_000);
    assert!(broken <= 40, "{broken} requests broke off");
}

/// An upstream that recovered gets requests again.
#[test]
fn recovered_upstream_is_used() {
    let mut fleet = Fleet::new();
    fleet.run(2_000);
    fleet.dead = Some("d-0".into());
    fleet.run(1_000);
    fleet.dead = None;
    fleet.run(4_000);
    let host = &mut fleet.hosts[0];
    let upstreams: Vec<Incarnation> = (0..30)
        .map(|number| {
            let (id, actions) = host.arrive(request(&format!("late{number}"), "quote", None));
            let upstream = sent_to(&actions, id);
            host.end_attempt(id, AttemptEnd::Served);
            upstream
        })
        .collect();
    assert!(upstreams.contains(&"d-0".into()), "{upstreams:?}");
}
