//! A paused host does not mistake its own pause for silence of its peers.

use vanetally_core::{Action, Core, Event, Frame, Key, Options};
use vanetally_member::ListedHost;
use vanetally_types::{HostId, Tick};

const START: Tick = Tick(1_000_000);
const SUSPECT_MS: u64 = 3_000;

fn listed(name: &str) -> ListedHost {
    let link_addr = "10.0.0.1:1".into();
    ListedHost { name: name.into(), link_addr, domain: "a".into(), leaving: false }
}

fn ping(core: &mut Core, now: Tick) {
    let frame = Frame::Ping { listed: listed("b"), config: 0, tables: 0 };
    core.handle(now, Event::Frame(HostId::new("b", 1), frame));
}

/// A core that knows host b, which holds all slots and has just sent a ping.
fn core() -> Core {
    let options = Options {
        host_id: HostId::new("a", 1),
        listed: listed("a"),
        slots: 4,
        groups: 1,
        poll_ms: 500,
        ping_ms: 500,
        suspect_ms: SUSPECT_MS,
        horizon_ms: 600_000,
        max_queued: 10,
    };
    let mut core = Core::new(START, options);
    core.handle(START, Event::Hosts(vec![listed("a"), listed("b")]));
    ping(&mut core, START);
    let slots = (0..4).map(|slot| (slot, (1, HostId::new("b", 1)))).collect();
    let tables = Frame::Tables { slots, groups: Default::default() };
    core.handle(START, Event::Frame(HostId::new("b", 1), tables));
    core
}

/// Ticks every 50 ms for `duration_ms`; returns how many slot records the core read.
fn run(core: &mut Core, from: Tick, duration_ms: u64) -> usize {
    let mut reads = 0;
    for step in 0..=duration_ms / 50 {
        let actions = core.handle(from + step * 50, Event::Tick);
        reads += actions.iter().filter(|a| matches!(a, Action::Get(Key::Slot(_)))).count();
    }
    reads
}

#[test]
fn paused_host() {
    let mut core = core();
    run(&mut core, START, 100);
    let resumed = START + 60_000;
    assert_eq!(
        run(&mut core, resumed, SUSPECT_MS - 200),
        0,
        "no reads before peers could ping again"
    );
    ping(&mut core, resumed + SUSPECT_MS - 200);
    assert_eq!(
        run(&mut core, resumed + SUSPECT_MS - 200, SUSPECT_MS - 200),
        0,
        "host b is reachable"
    );
}

#[test]
fn silent_peer() {
    let mut core = core();
    assert!(run(&mut core, START, 3 * SUSPECT_MS) > 0, "the slots of a silent holder are read");
}
