//! A fleet after the store came back from a copy: who reads it, who calls it, how soon all know.

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

/// All hosts of a fleet took themselves to be alone when a copy lacked their keys, and each one read the store.
#[test]
fn fleet_keeps_its_reader() {
    const HOSTS: usize = 14;
    let deployment = Deployment::start();
    let copy = deployment.store.snapshot();
    let hosts = deployment.hosts(HOSTS);
    let readers = || {
        let last = |(_, log): (String, String)| {
            let mut changes = log.lines().filter(|line| line.contains("event=source_changed"));
            changes.next_back().is_some_and(|line| line.contains("source=store "))
        };
        deployment.logs().into_iter().filter(|log| last(log.clone())).count()
    };
    let turned = || {
        let logs = deployment.logs().into_iter().map(|(_, log)| log);
        logs.map(|log| log.matches("event=source_changed source=store ").count()).sum::<usize>()
    };
    wait_for("one reads for all", || readers() == 1);
    sleep(SETTLE_TIME);
    let before = turned();
    restore_store(&deployment, &copy, LEASES_LOST);
    sleep(MAX_HOLDER_GAP);
    assert!(turned() - before <= 1, "{} turned to the store", turned() - before);
    assert_eq!(readers(), 1);
    let keys = (0..HOSTS).map(|number| format!("vanetally/hosts/{}", name(number)));
    let missing: Vec<String> = keys.filter(|key| deployment.store.get(key).is_none()).collect();
    assert_eq!(missing, [] as [String; 0], "keys that were not written again");
    drop(hosts);
}

/// Hosts of the fleet whose return is timed; by hand `RETURN_HOSTS=300` starts more.
const SIZE: usize = 30;
/// A change is in force on the last host of a fleet within this time after its acknowledgement.
const IN_FORCE_ON_ALL: Duration = Duration::from_millis(1_200);
/// The same beside hosts that do not follow, within the time that deployments allow.
const IN_FORCE_BESIDE: Duration = Duration::from_millis(2_000);
/// Writing calls a second that the store takes, as it states none.
const WRITES_PER_S: usize = 400;

/// When the host's log first has a line with `words`, in milliseconds of the Unix time.
fn logged_ms(log: &str, words: &str) -> Option<i64> {
    let line = log.lines().find(|line| line.contains(words))?;
    let time = line.split_whitespace().find_map(|word| word.strip_prefix("time="))?;
    let clock = time.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = clock.split(':');
    let (hours, minutes): (i64, i64) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64)
}

/// Milliseconds of the day.
fn now_ms() -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (now.as_millis() % 86_400_000) as i64
}

/// A whole fleet after a return without leases: calls of the first second, the change, the keys, the holder.
#[test]
fn fleet_after_return() {
    let size = std::env::var("RETURN_HOSTS").ok().and_then(|size| size.parse().ok());
    let size: usize = size.unwrap_or(SIZE);
    let deployment = Deployment::start();
    let copy = deployment.store.snapshot();
    let hosts = deployment.hosts(size);
    let store = &deployment.store;
    let missing = || {
        let mut keys = (0..size).map(|number| format!("vanetally/hosts/{}", name(number)));
        keys.any(|key| store.get(&key).is_none())
    };
    wait_for("all hosts are there", || !missing());
    wait_for("one holds the orders", || store.get("vanetally/orders").is_some());
    sleep(SETTLE_TIME);
    restore_store(&deployment, &copy, LEASES_LOST);
    let (back, calls, writes) = (Instant::now(), store.calls(), store.write_calls());
    deployment.configure(5, &["added"]);
    let changed_ms = now_ms();
    sleep(Duration::from_secs(1).saturating_sub(back.elapsed()));
    let (calls, writes) = (store.calls() - calls, store.write_calls() - writes);
    wait_for("all keys are there", || !missing());
    let keys = back.elapsed();
    wait_for("one holds the orders", || store.get("vanetally/orders").is_some());
    sleep(MAX_HOLDER_GAP.saturating_sub(back.elapsed()));
    let in_force = |(_, log): (String, String)| {
        logged_ms(&log, "event=configuration_in_force version=5 ").map(|at| at - changed_ms)
    };
    let took: Option<Vec<i64>> = deployment.logs().into_iter().map(in_force).collect();
    let took = took.expect("it is in force on all hosts").into_iter().max();
    println!(
        "hosts={size} calls_in_first_s={calls} writing={writes} in_force_on_last_ms={took:?} \
         keys_written_again_ms={}",
        keys.as_millis()
    );
    assert!(took < Some(IN_FORCE_ON_ALL.as_millis() as i64), "{took:?}");
    assert!(writes <= WRITES_PER_S, "{writes} writing calls");
    assert_eq!(holders(&hosts), 1);
}

/// Beside hosts of another build, which `SOAK_OTHER` names and which may know of no era, this build's follow the return.
#[rstest]
#[case::few(4)]
#[case::fleet(14)]
fn beside_other_build(#[case] size: usize) {
    let Some(program) = std::env::var_os("SOAK_OTHER").map(PathBuf::from) else {
        return;
    };
    let deployment = Deployment::start();
    deployment.store.enable_era();
    let copy = deployment.store.snapshot();
    let store = deployment.store.address();
    let spawn = |number: usize| match number % 2 {
        0 => deployment.spawn_build(&program, &name(number), &fresh_ip(), store),
        _ => deployment.spawn(&name(number)),
    };
    let hosts: Vec<Host> = (0..size).map(spawn).collect();
    wait_for("all are ready", || hosts.iter().all(Host::is_ready));
    sleep(SETTLE_TIME);
    let in_force = |version: u64| {
        let words = format!("event=configuration_in_force version={version} ");
        let own = (0..size).filter(|number| number % 2 == 1);
        own.map(|number| deployment.log(&name(number))).all(|log| log.contains(&words))
    };
    for (version, how) in [(5, LEASES_LOST), (6, LEASES_KEPT)] {
        advance_revision(&deployment);
        sleep(SETTLE_TIME);
        restore_store(&deployment, &copy, how);
        sleep(SETTLE_TIME);
        deployment.configure(version, &["added"]);
        let written = Instant::now();
        wait_for("it is in force", || in_force(version));
        assert!(written.elapsed() < IN_FORCE_BESIDE, "after {:?}", written.elapsed());
        println!("hosts={size} version={version} in_force={:?}", written.elapsed());
    }
}
