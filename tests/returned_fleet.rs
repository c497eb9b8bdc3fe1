//! A fleet after a restore of the store: its reader, the calls to the store and the time until all hosts
//! follow.

mod gateway;

use gateway::{
    Deployment, Host, fresh_ip,
    restores::{
        LEASES_KEPT, LEASES_LOST, MAX_HOLDER_GAP, SETTLE_TIME, advance_revision, holders, name,
        restore_store,
    },
    wait_for,
};
use rstest::rstest;
use std::{
    path::PathBuf,
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A restore removes the keys of all hosts. No host may conclude that it is alone and read the store itself.
#[test]
fn fleet_keeps_reader() {
    const HOSTS: usize = 14;
    let deployment = Deployment::start();
    let backup = deployment.store.snapshot();
    let hosts = deployment.hosts(HOSTS);
    let readers = || {
        let reads_store = |(_, log): (String, String)| {
            let mut changes = log.lines().filter(|line| line.contains("event=source_changed"));
            changes.next_back().is_some_and(|line| line.contains("source=store "))
        };
        deployment.logs().into_iter().filter(|log| reads_store(log.clone())).count()
    };
    let switches = || {
        let logs = deployment.logs().into_iter().map(|(_, log)| log);
        logs.map(|log| log.matches("event=source_changed source=store ").count()).sum::<usize>()
    };
    wait_for("a single host reads the store", || readers() == 1);
    sleep(SETTLE_TIME);
    let before = switches();
    restore_store(&deployment, &backup, LEASES_LOST);
    sleep(MAX_HOLDER_GAP);
    assert!(switches() - before <= 1, "{} switches to the store", switches() - before);
    assert_eq!(readers(), 1);
    let keys = (0..HOSTS).map(|number| format!("vanetally/hosts/{}", name(number)));
    let missing: Vec<String> = keys.filter(|key| deployment.store.get(key).is_none()).collect();
    assert_eq!(missing, [] as [String; 0], "keys that were not rewritten");
    drop(hosts);
}

/// Default number of hosts of `fleet_after_restore`; `RETURN_HOSTS=300` starts 300 hosts.
const FLEET_SIZE: usize = 30;
/// Maximum time from the acknowledgement of a change until it is in force on all hosts.
const MAX_CHANGE_TIME: Duration = Duration::from_millis(1_200);
/// The same beside hosts that do not follow a restore, as deployments allow.
const MAX_CHANGE_TIME_MIXED: Duration = Duration::from_millis(2_000);
/// Maximum number of writing calls per second; the store states no limit of its own.
const MAX_WRITES_PER_S: usize = 400;

/// Returns the time of the first log line that contains `text`, in milliseconds of the day.
fn logged_ms(log: &str, text: &str) -> Option<i64> {
    let line = log.lines().find(|line| line.contains(text))?;
    let time = line.split_whitespace().find_map(|word| word.strip_prefix("time="))?;
    let clock = time.split('T').nth(1)?.trim_end_matches('Z');
    let mut fields = clock.split(':');
    let (hours, minutes): (i64, i64) = (fields.next()?.parse().ok()?, fields.next()?.parse().ok()?);
    let seconds: f64 = fields.next()?.parse().ok()?;
    Some((hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64)
}

/// Returns the current time in milliseconds of the day.
fn now_ms() -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (now.as_millis() % 86_400_000) as i64
}

/// After a restore without leases, the calls of the first second stay within the limit, a change is in
/// force in time, all keys are rewritten and one host holds the order lease.
#[test]
fn fleet_after_restore() {
    let size = std::env::var("RETURN_HOSTS").ok().and_then(|size| size.parse().ok());
    let size: usize = size.unwrap_or(FLEET_SIZE);
    let deployment = Deployment::start();
    let backup = deployment.store.snapshot();
    let hosts = deployment.hosts(size);
    let store = &deployment.store;
    let missing = || {
        let mut keys = (0..size).map(|number| format!("vanetally/hosts/{}", name(number)));
        keys.any(|key| store.get(&key).is_none())
    };
    wait_for("all host keys are written", || !missing());
    wait_for("a host holds the order lease", || store.get("vanetally/orders").is_some());
    sleep(SETTLE_TIME);
    restore_store(&deployment, &backup, LEASES_LOST);
    let (restored, calls, writes) = (Instant::now(), store.calls(), store.write_calls());
    deployment.configure(5, &["added"]);
    let changed_ms = now_ms();
    sleep(Duration::from_secs(1).saturating_sub(restored.elapsed()));
    let (calls, writes) = (store.calls() - calls, store.write_calls() - writes);
    wait_for("all host keys are rewritten", || !missing());
    let keys = restored.elapsed();
    wait_for("a host holds the order lease", || store.get("vanetally/orders").is_some());
    sleep(MAX_HOLDER_GAP.saturating_sub(restored.elapsed()));
    let in_force = |(_, log): (String, String)| {
        logged_ms(&log, "event=configuration_in_force version=5 ").map(|at| at - changed_ms)
    };
    let took: Option<Vec<i64>> = deployment.logs().into_iter().map(in_force).collect();
    let took = took.expect("the change is in force on all hosts").into_iter().max();
    println!(
        "hosts={size} calls_in_first_s={calls} writing={writes} in_force_on_last_ms={took:?} \
         keys_written_again_ms={}",
        keys.as_millis()
    );
    assert!(took < Some(MAX_CHANGE_TIME.as_millis() as i64), "{took:?}");
    assert!(writes <= MAX_WRITES_PER_S, "{writes} writing calls");
    assert_eq!(holders(&hosts), 1);
}

/// Hosts of this build follow a restore also beside hosts of another build, which `SOAK_OTHER` names and
/// which may not support eras.
#[rstest]
#[case::few(4)]
#[case::fleet(14)]
fn beside_other_build(#[case] size: usize) {
    let Some(program) = std::env::var_os("SOAK_OTHER").map(PathBuf::from) else {
        return;
    };
    let deployment = Deployment::start();
    deployment.store.enable_era();
    let backup = deployment.store.snapshot();
    let store = deployment.store.address();
    let spawn = |number: usize| match number % 2 {
        0 => deployment.spawn_build(&program, &name(number), &fresh_ip(), store),
        _ => deployment.spawn(&name(number)),
    };
    let hosts: Vec<Host> = (0..size).map(spawn).collect();
    wait_for("all hosts are ready", || hosts.iter().all(Host::is_ready));
    sleep(SETTLE_TIME);
    let in_force = |version: u64| {
        let text = format!("event=configuration_in_force version={version} ");
        let own = (0..size).filter(|number| number % 2 == 1);
        own.map(|number| deployment.log(&name(number))).all(|log| log.contains(&text))
    };
    for (version, restore) in [(5, LEASES_LOST), (6, LEASES_KEPT)] {
        advance_revision(&deployment);
        sleep(SETTLE_TIME);
        restore_store(&deployment, &backup, restore);
        sleep(SETTLE_TIME);
        deployment.configure(version, &["added"]);
        let written = Instant::now();
        wait_for("the change is in force", || in_force(version));
        assert!(written.elapsed() < MAX_CHANGE_TIME_MIXED, "after {:?}", written.elapsed());
        println!("hosts={size} version={version} in_force={:?}", written.elapsed());
    }
}
