//! An upstream that dies under load is left by all hosts within a second.

mod support;

use support::{Host, request, route, sent_to, upstream};
use vanetally_dispatch::{AttemptEnd, Digest, Event, LoadRow};
use vanetally_ports::RequestKind;
use vanetally_types::Incarnation;

const SERVICES: u16 = 3;
const HOSTS: usize = 12;
/// Between two requests of one host, in milliseconds.
const EVERY_MS: u64 = 50;
/// Between two reports of a host, in milliseconds.
const REPORT_MS: u64 = 100;

struct Fleet {
    hosts: Vec<Host>,
    sent: usize,
    /// The upstream that breaks every request off.
    dead: Option<Incarnation>,
}

impl Fleet {
    fn new() -> Self {
        let host = |_| {
            let mut host = Host::new(vec![route("quote", RequestKind::Once, "desk")]);
            for port in 0..SERVICES {
                host.see(&format!("d-{port}"), upstream("desk", port, &[]));
            }
            host
        };
        Self { hosts: (0..HOSTS).map(host).collect(), sent: 0, dead: None }
    }

    /// Plays so long; gives back how many requests were broken off.
    fn play(&mut self, millis: u64) -> usize {
        let mut broken = 0;
        for at in (0..millis).step_by(EVERY_MS as usize) {
            for number in 0..self.hosts.len() {
                broken += usize::from(self.request(number));
            }
            if at.is_multiple_of(REPORT_MS) {
                self.share();
            }
        }
        broken
    }

    /// One request at one host; tells whether it was broken off.
    fn request(&mut self, number: usize) -> bool {
        self.sent += 1;
        let host = &mut self.hosts[number];
        host.pass(EVERY_MS);
        let (id, actions) = host.arrive(request(&format!("r{}", self.sent), "quote", None));
        let upstream = sent_to(&actions, id);
        let is_broken = self.dead.as_ref() == Some(&upstream);
        host.end(id, if is_broken { AttemptEnd::Broken } else { AttemptEnd::Served });
        is_broken
    }

    /// Each host hears the sum of all others, as an aggregator tells it.
    fn share(&mut self) {
        let now = self.hosts[0].now;
        let own: Vec<Digest> =
            self.hosts.iter_mut().map(|host| host.dispatch.digest(now)).collect();
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let others = own.iter().enumerate().filter(|(other, _)| *other != number);
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
            let digest = Digest { loads, demand: Vec::new() };
            host.tell(Event::PeerDigest { host: "aggregator".into(), digest });
        }
    }
}

/// Twelve hosts with 240 requests a second had 400 good ends of the last five seconds with each of three
/// upstreams: a hundred requests that may not be repeated had to be lost before one of them counted as dead.
#[test]
fn dead_under_load() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.play(6_000), 0);
    fleet.dead = Some("d-0".into());
    let broken = fleet.play(1_000);
    assert!(broken <= 40, "{broken} were lost");
}

/// One that answers again is found again.
#[test]
fn back_again() {
    let mut fleet = Fleet::new();
    fleet.play(2_000);
    fleet.dead = Some("d-0".into());
    fleet.play(1_000);
    fleet.dead = None;
    fleet.play(4_000);
    let host = &mut fleet.hosts[0];
    let to: Vec<Incarnation> = (0..30)
        .map(|number| {
            let (id, actions) = host.arrive(request(&format!("late{number}"), "quote", None));
            let to = sent_to(&actions, id);
            host.end(id, AttemptEnd::Served);
            to
        })
        .collect();
    assert!(to.contains(&"d-0".into()), "{to:?}");
}
