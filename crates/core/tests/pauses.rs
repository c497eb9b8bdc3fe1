//! A host that was paused does not take its own silence for that of others.

use vanetally_core::{Action, Core, Event, Frame, Key, Options};
use vanetally_member::ListedHost;
use vanetally_types::{HostId, Tick};

const START: Tick = Tick(1_000_000);
const SUSPECT: u64 = 3_000;

fn listed(name: &str) -> ListedHost {
    let peer = "10.0.0.1:1".into();
    ListedHost { name: name.into(), link_addr: peer, domain: "a".into(), leaving: false }
}

fn ping(core: &mut Core, now: Tick) {
    let frame = Frame::Ping { listed: listed("b"), config: 0, tables: 0 };
    core.handle(now, Event::Frame(HostId::new("b", 1), frame));
}

/// A core that knows host b, which holds all slots and has just spoken.
fn core() -> Core {
    let options = Options {
        me: HostId::new("a", 1),
        listed: listed("a"),
        slots: 4,
        groups: 1,
        poll_ms: 500,
        ping_ms: 500,
        suspect_ms: SUSPECT,
        horizon_ms: 600_000,
        max_queued: 10,
    };
    let mut core = Core::new(START, options);
    core.handle(START, Event::Hosts(vec![listed("a"), listed("b")]));
    ping(&mut core, START);
    let slots = (0..4).map(|n| (n, (1, HostId::new("b", 1)))).collect();
    let tables = Frame::Tables { slots, groups: Default::default() };
    core.handle(START, Event::Frame(HostId::new("b", 1), tables));
    core
}

/// Ticks every 50 ms for so long; how many slots the core wanted to look at.
fn run(core: &mut Core, from: Tick, millis: u64) -> usize {
    let mut reads = 0;
    for step in 0..=millis / 50 {
        let actions = core.handle(from + step * 50, Event::Tick);
        reads += actions.iter().filter(|a| matches!(a, Action::Get(Key::Slot(_)))).count();
    }
    reads
}

#[test]
fn paused_host() {
    let mut core = core();
    run(&mut core, START, 100);
    let woken = START + 60_000;
    assert_eq!(run(&mut core, woken, SUSPECT - 200), 0, "it listens first");
    ping(&mut core, woken + SUSPECT - 200);
    assert_eq!(run(&mut core, woken + SUSPECT - 200, SUSPECT - 200), 0, "host b still serves");
}

#[test]
fn silent_peer() {
    let mut core = core();
    assert!(run(&mut core, START, 3 * SUSPECT) > 0, "a silent holder is succeeded");
}
