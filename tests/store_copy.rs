//! Restores of the store from an older backup: the known state of hosts, and the entries they rewrite.

mod gateway;

use gateway::{
    Deployment, Host,
    restores::{
        ANSWERS_LATE, LEASES_KEPT, LEASES_LOST, MAX_HOLDER_GAP, OUTAGE, SETTLE_TIME,
        advance_revision, holders, name, restore_store,
    },
    wait_for, wait_for_holder,
};
use rstest::rstest;
use serde_json::json;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread::sleep,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, Restore, StoreMode};

/// Maximum time from the acknowledgement of a change until it is in force on all hosts.
const MAX_CHANGE_TIME: Duration = Duration::from_millis(2_000);
/// Maximum time from the acknowledgement that an upstream leaves until it receives no new requests.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Returns a number for a new request.
fn next_number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn get(host: &Host, path: &str) -> u16 {
    Client::new("GET", path, &format!("g{}", next_number())).deadline(400).send(host.front).status
}

/// Sends a request for an adapter of the model.
fn request_adapter(host: &Host, adapter: &str) -> u16 {
    Client::new("POST", "/offer/1", &format!("a{}", next_number()))
        .with("X-Model", &format!("m1/{adapter}"))
        .with("X-Token-Count", "10,5")
        .with("X-Prompt-Prefix", "a1:10")
        .deadline(4_000)
        .send(host.front)
        .status
}

/// Starts a deployment whose hosts know more than a backup, and restores the store from that backup.
fn start_restored(hosts: usize, options: Restore) -> (Deployment, Vec<Host>) {
    restore_deployment(Deployment::start(), hosts, options)
}

fn restore_deployment(
    deployment: Deployment,
    hosts: usize,
    options: Restore,
) -> (Deployment, Vec<Host>) {
    let hosts = deployment.hosts(hosts);
    wait_for("a host holds the order lease", || holders(&hosts) == 1);
    sleep(SETTLE_TIME);
    let backup = deployment.store.snapshot();
    advance_revision(&deployment);
    sleep(SETTLE_TIME);
    restore_store(&deployment, &backup, options);
    (deployment, hosts)
}

/// Writes `version` with an added route; returns the time until all hosts serve the route.
fn configure(deployment: &Deployment, hosts: &[Host], version: u64, route: &str) -> Duration {
    deployment.configure(version, &[route]);
    let written = Instant::now();
    let path = format!("/{route}/1");
    wait_for("the configuration is in force", || hosts.iter().all(|host| get(host, &path) == 200));
    written.elapsed()
}

/// After a restore the revisions of the store are below the known ones. Hosts have to apply changes
/// nevertheless.
#[rstest]
#[case::leases_kept(LEASES_KEPT)]
#[case::leases_lost(LEASES_LOST)]
#[case::answers_late(ANSWERS_LATE)]
fn change_after_restore(#[case] options: Restore, #[values(true, false)] has_era_before: bool) {
    let deployment = Deployment::start();
    if has_era_before {
        deployment.store.enable_era();
    }
    let (deployment, hosts) = restore_deployment(deployment, 4, options);
    sleep(SETTLE_TIME);
    let took = configure(&deployment, &hosts, 5, "added");
    assert!(took < MAX_CHANGE_TIME, "in force after {took:?}");
}

/// The same after a second restore, also in a fleet in which one host reads the store for all.
#[rstest]
#[case::few(4)]
#[case::fleet(14)]
fn change_after_second_restore(#[case] count: usize) {
    let (deployment, hosts) = start_restored(count, LEASES_LOST);
    sleep(SETTLE_TIME);
    let backup = deployment.store.snapshot();
    advance_revision(&deployment);
    sleep(SETTLE_TIME);
    restore_store(&deployment, &backup, LEASES_KEPT);
    sleep(SETTLE_TIME);
    let took = configure(&deployment, &hosts, 5, "added");
    assert!(took < MAX_CHANGE_TIME, "in force after {took:?}");
}

/// A runner that announces after a restore that it leaves receives no new requests.
#[test]
fn leaving_after_restore() {
    let (deployment, hosts) = start_restored(4, LEASES_KEPT);
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
    assert_eq!(late, 0, "requests later than {DRAIN:?} after the announcement");
}

/// A host holds the order lease after a restore, although the key of the previous holder seems to be there
/// still.
#[rstest]
#[case::leases_kept(LEASES_KEPT)]
#[case::leases_lost(LEASES_LOST)]
fn orders_after_restore(#[case] options: Restore) {
    let (deployment, hosts) = start_restored(4, options);
    let restored = Instant::now();
    wait_for("a host holds the order lease", || holders(&hosts) == 1);
    sleep(MAX_HOLDER_GAP.saturating_sub(restored.elapsed()));
    assert_eq!(holders(&hosts), 1);
    for (number, host) in hosts.iter().enumerate() {
        let adapter = format!("a{}", number + 1);
        assert_eq!(request_adapter(host, &adapter), 200, "{}", name(number));
    }
    assert_tokens_rise(&deployment);
}

/// Checks that fencing tokens of orders increase. Tokens that are plain revisions would go back with the
/// store.
fn assert_tokens_rise(deployment: &Deployment) {
    let orders = deployment.engines[0].orders();
    let refused = orders.iter().filter(|order| order.status == 412).count();
    let tokens: Vec<u64> = orders.iter().map(|order| order.token).collect();
    assert!(tokens.is_sorted() && refused == 0, "{tokens:?}, {refused} refused");
}

/// An order before a restore and one after it, each with the token of its holder.
#[rstest]
#[case::leases_kept(LEASES_KEPT)]
#[case::leases_lost(LEASES_LOST)]
fn tokens_after_restore(#[case] options: Restore) {
    let deployment = Deployment::start();
    deployment.store.enable_era();
    let backup = deployment.store.snapshot();
    advance_revision(&deployment);
    let hosts = deployment.hosts(4);
    wait_for_holder(&hosts);
    assert_eq!(request_adapter(&hosts[0], "a1"), 200);
    sleep(SETTLE_TIME);
    restore_store(&deployment, &backup, options);
    sleep(MAX_HOLDER_GAP);
    assert_eq!(request_adapter(&hosts[1], "a2"), 200);
    assert_tokens_rise(&deployment);
}

/// Changes newer than the backup are not reverted: a configuration version, and the leaving of a runner.
#[test]
fn restore_reverts_nothing() {
    let deployment = Deployment::start();
    let hosts = deployment.hosts(4);
    let backup = deployment.store.snapshot();
    configure(&deployment, &hosts, 5, "added");
    let (key, mut value) = deployment.desks[0].entry();
    value["state"] = "draining".into();
    deployment.store.put(&key, &value);
    sleep(SETTLE_TIME);
    // Lost entries are rewritten only much later.
    restore_store(
        &deployment,
        &backup,
        Restore { rewrite_delay: Duration::from_secs(5), ..LEASES_KEPT },
    );
    sleep(SETTLE_TIME);
    let before = deployment.desks[0].requests().len();
    for host in &hosts {
        assert_eq!(get(host, "/added/1"), 503, "the route is known, and its upstream is leaving");
    }
    assert_eq!(deployment.desks[0].requests().len(), before);
}

/// A runner that had left without an announcement is still in the backup, and is not used again.
#[test]
fn gone_runner_not_restored() {
    let deployment = Deployment::start();
    let hosts = deployment.hosts(4);
    sleep(SETTLE_TIME);
    let backup = deployment.store.snapshot();
    deployment.store.remove("servers/i-desk-0");
    sleep(SETTLE_TIME);
    restore_store(
        &deployment,
        &backup,
        Restore { rewrite_delay: Duration::from_secs(5), ..LEASES_KEPT },
    );
    sleep(SETTLE_TIME);
    let before = deployment.desks[0].requests().len();
    for host in &hosts {
        get(host, "/check/1");
    }
    assert_eq!(deployment.desks[0].requests().len(), before);
}

/// A live runner whose key is not in the backup is used until it has had the time to rewrite the key.
#[test]
fn new_runner_kept() {
    let deployment = Deployment::start();
    let (key, value) = deployment.desks[0].entry();
    deployment.store.remove(&key);
    let hosts = deployment.hosts(4);
    sleep(SETTLE_TIME);
    let backup = deployment.store.snapshot();
    deployment.store.put(&key, &value);
    wait_for("the runner is used", || hosts.iter().all(|host| get(host, "/check/1") == 200));
    restore_store(
        &deployment,
        &backup,
        Restore { rewrite_delay: Duration::from_millis(1_200), ..LEASES_KEPT },
    );
    let restored = Instant::now();
    while restored.elapsed() < MAX_CHANGE_TIME {
        for (number, host) in hosts.iter().enumerate() {
            assert_eq!(
                get(host, "/check/1"),
                200,
                "{} after {:?}",
                name(number),
                restored.elapsed()
            );
        }
        sleep(Duration::from_millis(50));
    }
}

/// The keys of hosts and of the order lease are rewritten.
#[test]
fn keys_rewritten() {
    let deployment = Deployment::start();
    let backup = deployment.store.snapshot();
    let hosts = deployment.hosts(4);
    wait_for("a host holds the order lease", || holders(&hosts) == 1);
    sleep(SETTLE_TIME);
    restore_store(&deployment, &backup, LEASES_LOST);
    let restored = Instant::now();
    let keys: Vec<String> =
        (0..4).map(|number| format!("vanetally/hosts/{}", name(number))).collect();
    wait_for("the host keys are rewritten", || {
        keys.iter().all(|key| deployment.store.get(key).is_some())
    });
    wait_for("the order lease is rewritten", || deployment.store.get("vanetally/orders").is_some());
    // The holder learns of it with the store's answer.
    wait_for("a host holds the order lease", || holders(&hosts) > 0);
    assert!(restored.elapsed() < MAX_HOLDER_GAP, "rewritten after {:?}", restored.elapsed());
    assert_eq!(holders(&hosts), 1);
}

/// A revoked key is still valid in the backup, and is not accepted again.
#[test]
fn revoked_key_not_restored() {
    let deployment = Deployment::start();
    let organisation = |keys: &[&str]| json!({ "name": "acme", "api_keys": keys });
    deployment.configure_organisations(2, &[organisation(&["first", "second"])]);
    let hosts = deployment.hosts(4);
    let status = |host: &Host, key: &str| {
        let client = Client::new("GET", "/check/1", &format!("k{}", next_number())).deadline(400);
        client.with("Authorization", &format!("Bearer {key}")).send(host.front).status
    };
    let all = |key: &str, expected: u16| hosts.iter().all(|host| status(host, key) == expected);
    wait_for("both keys are accepted", || all("first", 200) && all("second", 200));
    let backup = deployment.store.snapshot();
    deployment.configure_organisations(3, &[organisation(&["second"])]);
    wait_for("the revoked key is refused", || all("first", 401));
    restore_store(
        &deployment,
        &backup,
        Restore { rewrite_delay: Duration::from_secs(5), ..LEASES_KEPT },
    );
    let restored = Instant::now();
    while restored.elapsed() < SETTLE_TIME {
        assert!(all("first", 401) && all("second", 200), "after {:?}", restored.elapsed());
    }
}

/// Changes are applied after a restore also for a large configuration, which is read and watched apart from
/// the other keys.
#[test]
fn large_configuration_after_restore() {
    const ROUTES: usize = 600;
    let deployment = Deployment::start();
    deployment.configure_large(2, ROUTES);
    let hosts = deployment.hosts(4);
    wait_for("the configuration is in force", || {
        hosts.iter().all(|host| get(host, "/more599/1") == 200)
    });
    let backup = deployment.store.snapshot();
    advance_revision(&deployment);
    sleep(SETTLE_TIME);
    restore_store(&deployment, &backup, LEASES_LOST);
    sleep(SETTLE_TIME);
    deployment.configure_large(5, ROUTES + 1);
    let written = Instant::now();
    wait_for("the configuration is in force", || {
        hosts.iter().all(|host| get(host, "/more600/1") == 200)
    });
    assert!(written.elapsed() < MAX_CHANGE_TIME, "in force after {:?}", written.elapsed());
}

/// All hosts are killed before the restore, and new ones know only the restored data.
#[test]
fn all_replaced_at_restore() {
    let deployment = Deployment::start();
    let backup = deployment.store.snapshot();
    let mut hosts = deployment.hosts(4);
    wait_for_holder(&hosts);
    assert_eq!(request_adapter(&hosts[0], "a1"), 200);
    sleep(SETTLE_TIME);
    hosts.iter_mut().for_each(Host::kill);
    restore_store(&deployment, &backup, LEASES_KEPT);
    let hosts = deployment.hosts(4);
    wait_for("a host holds the order lease", || holders(&hosts) == 1);
    wait_for("an adapter is served", || request_adapter(&hosts[1], "a2") == 200);
    assert_tokens_rise(&deployment);
    let took = configure(&deployment, &hosts, 5, "added");
    assert!(took < MAX_CHANGE_TIME, "in force after {took:?}");
}

/// Watches pending at the outage are never answered, so the restore is detected by other calls only.
#[rstest]
#[case::short(Duration::from_millis(50))]
#[case::usual(OUTAGE)]
#[case::long(Duration::from_millis(2_300))]
fn silent_restore(#[case] outage: Duration) {
    let deployment = Deployment::start();
    let hosts = deployment.hosts(4);
    sleep(SETTLE_TIME);
    let backup = deployment.store.snapshot();
    advance_revision(&deployment);
    sleep(SETTLE_TIME);
    deployment.store.set_mode(StoreMode::Silent);
    sleep(outage);
    deployment.store.restore(&backup, LEASES_KEPT);
    deployment.store.set_mode(StoreMode::Serving);
    let took = configure(&deployment, &hosts, 5, "added");
    assert!(took < MAX_CHANGE_TIME, "in force after {took:?}");
    println!("away={outage:?} in_force={took:?}");
}
