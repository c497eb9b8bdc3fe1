//! A store that comes back from an older copy of itself: what hosts believe, and what they write again.

mod gateway;

use gateway::{
    Deployment, Host,
    restores::{
        ANSWERS_LATE, LEASES_KEPT, LEASES_LOST, MAX_HOLDER_GAP, OUTAGE, SETTLE_TIME,
        advance_revision, holders, name, restore_store,
    },
    wait_for,
};
use rstest::rstest;
use serde_json::json;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread::sleep,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, Restore, StoreMode};

/// A change that was acknowledged is in force on all hosts within this time.
const IN_FORCE: Duration = Duration::from_millis(2_000);
/// So long after its leaving was acknowledged an upstream gets nothing new.
const DRAIN: Duration = Duration::from_millis(2_000);
/// A number that no request had before.
fn fresh() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn get(host: &Host, path: &str) -> u16 {
    Client::new("GET", path, &format!("g{}", fresh())).deadline(400).send(host.front).status
}

/// Asks for an adapter of the model.
fn ask_adapter(host: &Host, adapter: &str) -> u16 {
    Client::new("POST", "/offer/1", &format!("a{}", fresh()))
        .with("X-Model", &format!("m1/{adapter}"))
        .with("X-Token-Count", "10,5")
        .with("X-Prompt-Prefix", "a1:10")
        .deadline(4_000)
        .send(host.front)
        .status
}

/// Hosts that have heard of more than the copy holds, and the store's return from it.
fn returned(hosts: usize, how: Restore) -> (Deployment, Vec<Host>) {
    returned_to(Deployment::start(), hosts, how)
}

fn returned_to(deployment: Deployment, hosts: usize, how: Restore) -> (Deployment, Vec<Host>) {
    let hosts = deployment.hosts(hosts);
    wait_for("one holds the orders", || holders(&hosts) == 1);
    sleep(SETTLE_TIME);
    let copy = deployment.store.snapshot();
    advance_revision(&deployment);
    sleep(SETTLE_TIME);
    restore_store(&deployment, &copy, how);
    (deployment, hosts)
}

/// How long it takes until all hosts serve the route that `version` adds.
fn configure(deployment: &Deployment, hosts: &[Host], version: u64, route: &str) -> Duration {
    deployment.configure(version, &[route]);
    let written = Instant::now();
    let path = format!("/{route}/1");
    wait_for("it is in force", || hosts.iter().all(|host| get(host, &path) == 200));
    written.elapsed()
}

/// Eight hosts took no change after the store's return, since its revisions lay below those that they knew.
#[rstest]
#[case::leases_kept(LEASES_KEPT)]
#[case::leases_lost(LEASES_LOST)]
#[case::answers_late(ANSWERS_LATE)]
fn change_after_return(#[case] how: Restore, #[values(true, false)] tells_before: bool) {
    let deployment = Deployment::start();
    if tells_before {
        deployment.store.enable_era();
    }
    let (deployment, hosts) = returned_to(deployment, 4, how);
    sleep(SETTLE_TIME);
    let took = configure(&deployment, &hosts, 5, "added");
    assert!(took < IN_FORCE, "in force after {took:?}");
}

/// The same, once more after another return, and in a fleet in which one host reads the store for all.
#[rstest]
#[case::few(4)]
#[case::fleet(14)]
fn change_after_second_return(#[case] count: usize) {
    let (deployment, hosts) = returned(count, LEASES_LOST);
    sleep(SETTLE_TIME);
    let copy = deployment.store.snapshot();
    advance_revision(&deployment);
    sleep(SETTLE_TIME);
    restore_store(&deployment, &copy, LEASES_KEPT);
    sleep(SETTLE_TIME);
    let took = configure(&deployment, &hosts, 5, "added");
    assert!(took < IN_FORCE, "in force after {took:?}");
}

/// A runner said after the store's return that it leaves, and got requests for as long as it lived.
#[test]
fn leaving_after_return() {
    let (deployment, hosts) = returned(4, LEASES_KEPT);
    sleep(SETTLE_TIME);
    let (key, mut value) = deployment.desks[0].entry();
    value["state"] = "draining".into();
    deployment.store.put(&key, &value);
    sleep(DRAIN);
    let before = deployment.desks[0].requests().len();
    for host in &hosts {
        get(host, "/check/1");
    }
    let late = deployment.desks[0].requests().len() - before;
    assert_eq!(late, 0, "requests later than {DRAIN:?} after it");
}

/// Nobody gave orders after the store's return: the holder's key seemed to lie there still.
#[rstest]
#[case::leases_kept(LEASES_KEPT)]
#[case::leases_lost(LEASES_LOST)]
fn orders_after_return(#[case] how: Restore) {
    let (deployment, hosts) = returned(4, how);
    let back = Instant::now();
    wait_for("one holds the orders", || holders(&hosts) == 1);
    sleep(MAX_HOLDER_GAP.saturating_sub(back.elapsed()));
    assert_eq!(holders(&hosts), 1);
    for (number, host) in hosts.iter().enumerate() {
        let adapter = format!("a{}", number + 1);
        assert_eq!(ask_adapter(host, &adapter), 200, "{}", name(number));
    }
    assert_tokens_rise(&deployment);
}

/// The token of orders was a revision, and went back with the store.
fn assert_tokens_rise(deployment: &Deployment) {
    let orders = deployment.engines[0].orders();
    let refused = orders.iter().filter(|order| order.status == 412).count();
    let tokens: Vec<u64> = orders.iter().map(|order| order.token).collect();
    assert!(tokens.is_sorted() && refused == 0, "{tokens:?}, {refused} refused");
}

/// An order before the return, one after it, each with the token of its holder.
#[rstest]
#[case::leases_kept(LEASES_KEPT)]
#[case::leases_lost(LEASES_LOST)]
fn token_lower_after_return(#[case] how: Restore) {
    let deployment = Deployment::start();
    deployment.store.enable_era();
    let copy = deployment.store.snapshot();
    advance_revision(&deployment);
    let hosts = deployment.hosts(4);
    wait_for("one holds the orders", || holders(&hosts) == 1);
    assert_eq!(ask_adapter(&hosts[0], "a1"), 200);
    sleep(SETTLE_TIME);
    restore_store(&deployment, &copy, how);
    sleep(MAX_HOLDER_GAP);
    assert_eq!(ask_adapter(&hosts[1], "a2"), 200);
    assert_tokens_rise(&deployment);
}

/// What the copy does not hold yet is not taken back: a version, and the leaving of a runner.
#[test]
fn copy_takes_nothing_back() {
    let deployment = Deployment::start();
    let hosts = deployment.hosts(4);
    let copy = deployment.store.snapshot();
    configure(&deployment, &hosts, 5, "added");
    let (key, mut value) = deployment.desks[0].entry();
    value["state"] = "draining".into();
    deployment.store.put(&key, &value);
    sleep(SETTLE_TIME);
    // What was lost is written again only much later.
    restore_store(
        &deployment,
        &copy,
        Restore { rewrite_delay: Duration::from_secs(5), ..LEASES_KEPT },
    );
    sleep(SETTLE_TIME);
    let before = deployment.desks[0].requests().len();
    for host in &hosts {
        assert_eq!(get(host, "/added/1"), 503, "the route is known, its upstream leaves");
    }
    assert_eq!(deployment.desks[0].requests().len(), before);
}

/// A runner that had left without a word is in the copy still.
#[test]
fn copy_brings_back_nobody() {
    let deployment = Deployment::start();
    let hosts = deployment.hosts(4);
    sleep(SETTLE_TIME);
    let copy = deployment.store.snapshot();
    deployment.store.remove("servers/i-desk-0");
    sleep(SETTLE_TIME);
    restore_store(
        &deployment,
        &copy,
        Restore { rewrite_delay: Duration::from_secs(5), ..LEASES_KEPT },
    );
    sleep(SETTLE_TIME);
    let before = deployment.desks[0].requests().len();
    for host in &hosts {
        get(host, "/check/1");
    }
    assert_eq!(deployment.desks[0].requests().len(), before);
}

/// A runner whose key the copy does not hold yet lives: it is used until it has had the time to write it again.
#[test]
fn copy_forgets_nobody() {
    let deployment = Deployment::start();
    let (key, value) = deployment.desks[0].entry();
    deployment.store.remove(&key);
    let hosts = deployment.hosts(4);
    sleep(SETTLE_TIME);
    let copy = deployment.store.snapshot();
    deployment.store.put(&key, &value);
    wait_for("it is used", || hosts.iter().all(|host| get(host, "/check/1") == 200));
    restore_store(
        &deployment,
        &copy,
        Restore { rewrite_delay: Duration::from_millis(1_200), ..LEASES_KEPT },
    );
    let back = Instant::now();
    while back.elapsed() < IN_FORCE {
        for (number, host) in hosts.iter().enumerate() {
            assert_eq!(get(host, "/check/1"), 200, "{} after {:?}", name(number), back.elapsed());
        }
        sleep(Duration::from_millis(50));
    }
}

/// The keys of hosts and of the holder of orders are written again.
#[test]
fn keys_written_again() {
    let deployment = Deployment::start();
    let copy = deployment.store.snapshot();
    let hosts = deployment.hosts(4);
    wait_for("one holds the orders", || holders(&hosts) == 1);
    sleep(SETTLE_TIME);
    restore_store(&deployment, &copy, LEASES_LOST);
    let back = Instant::now();
    let keys: Vec<String> =
        (0..4).map(|number| format!("vanetally/hosts/{}", name(number))).collect();
    wait_for("hosts are there", || keys.iter().all(|key| deployment.store.get(key).is_some()));
    wait_for("the holder is there", || deployment.store.get("vanetally/orders").is_some());
    assert!(back.elapsed() < MAX_HOLDER_GAP, "written again after {:?}", back.elapsed());
    assert_eq!(holders(&hosts), 1);
}

/// A key that was taken away is good in the copy still.
#[test]
fn copy_brings_back_no_key() {
    let deployment = Deployment::start();
    let organisation = |keys: &[&str]| json!({ "name": "acme", "api_keys": keys });
    deployment.configure_organisations(2, &[organisation(&["first", "second"])]);
    let hosts = deployment.hosts(4);
    let status = |host: &Host, key: &str| {
        let client = Client::new("GET", "/check/1", &format!("k{}", fresh())).deadline(400);
        client.with("Authorization", &format!("Bearer {key}")).send(host.front).status
    };
    let all = |key: &str, expected: u16| hosts.iter().all(|host| status(host, key) == expected);
    wait_for("both are good", || all("first", 200) && all("second", 200));
    let copy = deployment.store.snapshot();
    deployment.configure_organisations(3, &[organisation(&["second"])]);
    wait_for("one is taken away", || all("first", 401));
    restore_store(
        &deployment,
        &copy,
        Restore { rewrite_delay: Duration::from_secs(5), ..LEASES_KEPT },
    );
    let back = Instant::now();
    while back.elapsed() < SETTLE_TIME {
        assert!(all("first", 401) && all("second", 200), "after {:?}", back.elapsed());
    }
}

/// A large configuration is read and watched apart from the other keys.
#[test]
fn large_configuration_after_return() {
    const ROUTES: usize = 600;
    let deployment = Deployment::start();
    deployment.configure_large(2, ROUTES);
    let hosts = deployment.hosts(4);
    wait_for("it is in force", || hosts.iter().all(|host| get(host, "/more599/1") == 200));
    let copy = deployment.store.snapshot();
    advance_revision(&deployment);
    sleep(SETTLE_TIME);
    restore_store(&deployment, &copy, LEASES_LOST);
    sleep(SETTLE_TIME);
    deployment.configure_large(5, ROUTES + 1);
    let written = Instant::now();
    wait_for("it is in force", || hosts.iter().all(|host| get(host, "/more600/1") == 200));
    assert!(written.elapsed() < IN_FORCE, "in force after {:?}", written.elapsed());
}

/// All hosts are lost as the store comes back, and the next ones know only what it has.
#[test]
fn all_replaced_at_return() {
    let deployment = Deployment::start();
    let copy = deployment.store.snapshot();
    let mut hosts = deployment.hosts(4);
    wait_for("one holds the orders", || holders(&hosts) == 1);
    assert_eq!(ask_adapter(&hosts[0], "a1"), 200);
    sleep(SETTLE_TIME);
    hosts.iter_mut().for_each(Host::kill);
    restore_store(&deployment, &copy, LEASES_KEPT);
    let hosts = deployment.hosts(4);
    wait_for("one holds the orders", || holders(&hosts) == 1);
    wait_for("an adapter is served", || ask_adapter(&hosts[1], "a2") == 200);
    assert_tokens_rise(&deployment);
    let took = configure(&deployment, &hosts, 5, "added");
    assert!(took < IN_FORCE, "in force after {took:?}");
}

/// Watches that hung as the store went away are never answered: the return shows by other calls only.
#[rstest]
#[case::short(Duration::from_millis(50))]
#[case::usual(OUTAGE)]
#[case::long(Duration::from_millis(2_300))]
fn silent_return(#[case] away: Duration) {
    let deployment = Deployment::start();
    let hosts = deployment.hosts(4);
    sleep(SETTLE_TIME);
    let copy = deployment.store.snapshot();
    advance_revision(&deployment);
    sleep(SETTLE_TIME);
    deployment.store.set_mode(StoreMode::Silent);
    sleep(away);
    deployment.store.restore(&copy, LEASES_KEPT);
    deployment.store.set_mode(StoreMode::Serving);
    let took = configure(&deployment, &hosts, 5, "added");
    assert!(took < IN_FORCE, "in force after {took:?}");
    println!("away={away:?} in_force={took:?}");
}
