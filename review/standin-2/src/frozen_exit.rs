//! A key is revoked while a host stands still that has accepted requests of another host for an instance.

use crate::{
    Verdict, client,
    record::Record,
    runner::{Run, Runner},
    site::{Host, Site},
    tap::Tap,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Hosts; the path of one to one instance is cut.
const HOSTS: usize = 4;
/// Instances of the service.
const INSTANCES: usize = 5;
/// Clients of the host whose path is cut.
const CLIENTS: usize = 30;
/// Work of an instance on one request.
const WORK: Duration = Duration::from_millis(40);
/// All clients send at the same time, once in this period.
const PERIOD: Duration = Duration::from_millis(250);
/// Time that a client waits, as it states.
const WAIT_MS: u64 = 3_000;
/// Time from the start to the cut, and its duration.
const CUT_AFTER: Duration = Duration::from_secs(1);
const CUT: Duration = Duration::from_secs(5);
/// Periods from the start to the freeze.
const CUT_PERIODS: u32 = 20;
/// Time from the freeze to the revocation.
const REVOKED_AFTER: Duration = Duration::from_millis(400);
/// Time before the freeze in which the exit that is frozen was used most.
const RECENT: Duration = Duration::from_millis(600);
/// Duration of the freeze.
const FROZEN: Duration = Duration::from_millis(6_400);
/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_secs(5);

/// `TROUBLE=cut` and `TROUBLE=freeze` leave one of both disruptions.
pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let only = std::env::var("TROUBLE").unwrap_or_default();
    let (has_cut, has_freeze) = (has_trouble && only != "freeze", has_trouble && only != "cut");
    let mut site = Site::start(record);
    site.configure(1, Some(&["key-1", "key-2"]));
    let owners = crate::tap::Owners::default();
    let ids: Vec<String> = (1..=INSTANCES).map(|number| format!("i-{number}")).collect();
    let runners: Vec<Runner> = ids.iter().map(|id| Runner::start(id, WORK, 800, record)).collect();
    let taps: Vec<Tap> =
        runners.iter().map(|runner| Tap::start(runner.address, owners.clone())).collect();
    for (id, tap) in ids.iter().zip(&taps) {
        site.announce(id, tap.address);
    }
    let hosts: Vec<Host> = (0..HOSTS).map(|_| site.host()).collect();
    let named = hosts.iter().map(|host| (host.name.clone(), host.process()));
    owners.lock().expect("lock is not poisoned").extend(named);
    if !hosts.iter().all(Host::wait_ready) {
        return Verdict::NotRun;
    }
    let started = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (front, is_over, record) = (hosts[0].front, is_over.clone(), record.clone());
            thread::spawn(move || ask(front, number, started, &is_over, &record))
        })
        .collect();
    let wait_until = |at: Instant| thread::sleep(at.saturating_duration_since(Instant::now()));
    wait_until(started + CUT_AFTER);
    if has_cut {
        taps[0].set_cut(Some(&hosts[0].name));
        record.line(&format!("cut from={} to={}", hosts[0].name, ids[0]));
    }
    // Between two sendings, when the answers have come.
    let frozen_at = started + PERIOD * CUT_PERIODS + PERIOD * 3 / 5;
    wait_until(frozen_at);
    let frozen = Instant::now();
    // The host through which most of the requests of the first one go to the instance.
    let used = taps[0].used(frozen - RECENT);
    record.line(&format!("sent lately to {}: {used:?}", ids[0]));
    let exit = hosts[1..].iter().max_by_key(|host| used.get(&host.name));
    let exit = exit.expect("there are several hosts");
    if has_freeze {
        record.line(&format!("SIGSTOP to {}", exit.name));
        exit.signal("STOP");
    }
    thread::sleep(REVOKED_AFTER);
    site.configure(2, Some(&["key-2"]));
    let revoked = Instant::now();
    record.line("the store has acknowledged the configuration without key-1");
    wait_until(started + CUT_AFTER + CUT);
    if has_cut {
        taps[0].set_cut(None);
        record.line("the path is whole again");
    }
    wait_until(frozen + FROZEN);
    is_over.store(true, Ordering::Relaxed);
    if has_freeze {
        record.line(&format!("SIGCONT to {}", exit.name));
        exit.signal("CONT");
    }
    thread::sleep(Duration::from_secs(2));
    for client in clients {
        let _ = client.join();
    }
    let runs: Vec<Run> = runners.iter().flat_map(Runner::runs).collect();
    let late: Vec<&Run> =
        runs.iter().filter(|run| run.at.saturating_duration_since(revoked) > REVOKE).collect();
    for run in &late {
        let after = run.at.duration_since(revoked).as_millis();
        record.line(&format!(
            "request={} of a revoked key ran {after} ms after the acknowledgement",
            run.id
        ));
    }
    let before = runs.iter().filter(|run| run.at < revoked).count();
    record.line(&format!("run before the revocation={before} run too late={}", late.len()));
    match (before, late.len()) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends requests with the key that will be revoked until told to stop, each on a new connection.
fn ask(front: SocketAddr, number: usize, started: Instant, is_over: &AtomicBool, record: &Record) {
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        count += 1;
        thread::sleep((started + PERIOD * count).saturating_duration_since(Instant::now()));
        let id = format!("q-{number}-{count}");
        let headers = "Authorization: Bearer key-1\r\nConnection: close\r\n";
        let sent = Instant::now();
        let exchange = client::connect(front).and_then(|mut stream| {
            client::send(&mut stream, "/book/a", &id, WAIT_MS, headers)?;
            Ok(client::receive(&mut stream, Duration::from_millis(WAIT_MS + 700)))
        });
        let status = exchange.map_or(0, |answer| answer.status);
        record.line(&format!(
            "answer request={id} status={status} after_ms={}",
            sent.elapsed().as_millis()
        ));
    }
}
