//! Orders that are still on their way when their sender leaves the order lease.
//!
//! Guards against orders of a former holder that reach a runner after those of its successor, where runners check no
//! fencing tokens.

mod gateway;

use gateway::{Host, taps::TappedDeployment, wait_for};
use rstest::rstest;
use std::{
    collections::BTreeSet,
    thread::sleep,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, ProxyMode, ReceivedOrder, TapMode};

const HOSTS: usize = 3;
const ENGINES: usize = 2;
/// Adapters that are requested in turn, many more than the engines hold at once, so that orders go out all the time.
const ADAPTERS: usize = 48;
const ADAPTERS_AT_ONCE: usize = 4;
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(40);
const DEADLINE_MS: u64 = 1_500;
const CALM: Duration = Duration::from_secs(3);
/// Longer than the lease, and shorter than the last retransmission of what was sent in it.
const CUT: Duration = Duration::from_millis(2_600);
/// Time after a cut in which everything that is still under way arrives.
const AFTER: Duration = Duration::from_secs(4);

/// How the holder leaves the order lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leave {
    /// It is cut off from the runners and from the store.
    CutOff,
    /// It is cut off from the runners alone, and leaves the lease to a host that reaches them.
    Resigned,
    /// It is told to stop while its orders do not arrive.
    Stopped,
    /// It is killed while its orders do not arrive.
    Killed,
    /// It stands still for longer than its lease lasts.
    Frozen,
}

fn offer(number: u64) -> Client {
    let adapter = format!("m1/a{}", number as usize * 7 % ADAPTERS);
    let client = Client::new("POST", "/offer/1", &format!("r{number}"));
    client.with("X-Model", &adapter).deadline(DEADLINE_MS)
}

fn holder_of(hosts: &[Host]) -> usize {
    wait_for("a host holds the order lease", || hosts.iter().any(Host::is_order_holder));
    hosts.iter().position(Host::is_order_holder).expect("a holder")
}

impl TappedDeployment {
    fn orders(&self) -> impl Iterator<Item = Vec<ReceivedOrder>> + '_ {
        self.deployment.engines.iter().map(|engine| engine.orders())
    }

    /// Tokens of the orders that arrived at any engine.
    fn tokens(&self) -> BTreeSet<u64> {
        self.orders().flatten().map(|order| order.token).collect()
    }

    fn sent_by(&self, host: usize) -> usize {
        self.deployment.log(&format!("front-{host}")).matches("event=order_sent").count()
    }

    /// Cuts the holder off from the runners, and waits until it has sent an order that does not arrive.
    fn hold_up_order(&self, holder: usize) {
        self.set_mode(holder..holder + 1, TapMode::Cut);
        let (before, sent_before) = (self.orders().flatten().count(), self.sent_by(holder));
        wait_for("an order is under way", || self.sent_by(holder) > sent_before);
        println!("{} orders arrived since the cut", self.orders().flatten().count() - before);
    }

    /// Makes the holder leave the lease, until a successor has given orders and all is over.
    fn play(&self, leave: Leave, holder: usize) {
        let before = self.tokens();
        if leave != Leave::Frozen {
            self.hold_up_order(holder);
        }
        let left_at = Instant::now();
        match leave {
            Leave::CutOff => self.stores[holder].set_mode(ProxyMode::Silent),
            Leave::Resigned => {}
            Leave::Stopped => self.hosts[holder].signal("TERM"),
            Leave::Killed => self.hosts[holder].signal("KILL"),
            Leave::Frozen => self.hosts[holder].signal("STOP"),
        }
        if leave == Leave::CutOff {
            sleep(CUT);
        } else {
            wait_for("a successor gives orders", || self.tokens().len() > before.len());
            println!("{leave:?}: a successor's orders arrive after {:?}", left_at.elapsed());
        }
        self.stores[holder].set_mode(ProxyMode::Pass);
        self.set_mode(holder..holder + 1, TapMode::Pass);
        if leave == Leave::Frozen {
            self.hosts[holder].signal("CONT");
        }
        sleep(AFTER);
    }
}

/// No order of a former holder arrives after one of its successor, however it left the lease.
#[rstest]
#[case::cut_off(Leave::CutOff)]
#[case::resigned(Leave::Resigned)]
#[case::stopped(Leave::Stopped)]
#[case::killed(Leave::Killed)]
#[case::frozen(Leave::Frozen)]
fn overtaken_order(#[case] leave: Leave) {
    let site = TappedDeployment::start_partitioned(HOSTS, ENGINES);
    site.deployment.engines.iter().for_each(|engine| engine.ignore_fences());
    site.deployment.configure_adapters(2, ADAPTERS, ADAPTERS_AT_ONCE);
    let holder = holder_of(&site.hosts);
    site.under_load(offer, CALLERS, PAUSE, || {
        sleep(CALM);
        site.play(leave, holder);
    });
    let tokens = site.tokens();
    println!("{leave:?}: tokens {tokens:?}");
    assert!(tokens.len() > 1, "no successor gave orders: {tokens:?}");
    for orders in site.orders() {
        let overtaken = orders.windows(2).find(|pair| pair[1].token < pair[0].token);
        assert!(overtaken.is_none(), "{overtaken:?}");
    }
}

/// A scenario that fails ends its test: its callers stop.
#[test]
#[should_panic(expected = "the scenario failed")]
fn failed_scenario_ends() {
    let site = TappedDeployment::start_partitioned(1, 1);
    site.under_load(offer, CALLERS, PAUSE, || panic!("the scenario failed"));
}
