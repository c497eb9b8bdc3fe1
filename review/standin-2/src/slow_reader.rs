//! A host is stopped while clients have yet to take answers that their runner has completed.

use crate::{
    Verdict,
    client::{self, Answer},
    record::Record,
    runner::Runner,
    site::{Host, Site},
};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Hosts; one of them is stopped.
const HOSTS: usize = 3;
/// Time without any disruption before the SIGTERM: `contact_ms` of the settings, and more.
const CALM: Duration = Duration::from_millis(4_500);
/// Clients, each on a connection of its own that it keeps.
const CLIENTS: usize = 6;
/// Length of an answer.
const ANSWER_BYTES: usize = 160_000;
/// Work of the runner on one request.
const WORK: Duration = Duration::from_millis(30);
/// Time from SIGTERM to the request.
const SENT_AFTER: Duration = Duration::from_millis(1_500);
/// Time for which a client takes nothing of its answer.
const PAUSE: Duration = Duration::from_millis(3_300);
/// Time that a client waits, as it states.
const WAIT_MS: u64 = 10_000;
/// `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(8);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut site = Site::start(record);
    site.configure(1, None);
    let runners = ["i-1", "i-2", "i-3"].map(|id| Runner::start(id, WORK, ANSWER_BYTES, record));
    for (runner, id) in runners.iter().zip(["i-1", "i-2", "i-3"]) {
        site.announce(id, runner.address);
    }
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| site.host()).collect();
    if !hosts.iter().all(Host::wait_ready) {
        return Verdict::NotRun;
    }
    let host = &mut hosts[0];
    let front = host.front;
    let stopped = Instant::now() + CALM;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || ask_twice(front, number, stopped, &record))
        })
        .collect();
    thread::sleep(stopped.saturating_duration_since(Instant::now()));
    if has_trouble {
        record.line(&format!("SIGTERM to {}", host.name));
        host.signal("TERM");
    }
    while has_trouble && !host.has_ended() && stopped.elapsed() < GRACE {
        thread::sleep(Duration::from_millis(10));
    }
    if has_trouble {
        record.line(&format!(
            "{} has ended {} ms after SIGTERM",
            host.name,
            stopped.elapsed().as_millis()
        ));
    }
    let answers: Vec<Option<Answer>> =
        clients.into_iter().map(|client| client.join().ok().flatten()).collect();
    let ran =
        runners.iter().flat_map(Runner::runs).filter(|run| run.id.starts_with("late-")).count();
    let whole = answers.iter().flatten().filter(|answer| answer.is_whole()).count();
    let cut = answers
        .iter()
        .flatten()
        .filter(|answer| answer.status == 200 && !answer.is_whole())
        .count();
    record.line(&format!("clients={CLIENTS} run={ran} whole={whole} cut={cut}"));
    match (ran, whole, cut) {
        (CLIENTS, CLIENTS, 0) => Verdict::Held,
        (_, _, 1..) => Verdict::Broken,
        _ => Verdict::NotRun,
    }
}

/// Sends a request, and another one on the same connection once the host is being stopped, whose answer is read late.
fn ask_twice(
    front: SocketAddr,
    number: usize,
    stopped: Instant,
    record: &Record,
) -> Option<Answer> {
    let mut stream = client::connect(front).ok()?;
    client::send(&mut stream, "/book/a", &format!("first-{number}"), WAIT_MS, "").ok()?;
    let first = client::receive(&mut stream, Duration::from_secs(5));
    record.line(&format!("client={number} request=first-{number} status={}", first.status));
    if !first.is_whole() {
        return None;
    }
    thread::sleep((stopped + SENT_AFTER).saturating_duration_since(Instant::now()));
    let id = format!("late-{number}");
    record.line(&format!("client={number} sends request={id}"));
    client::send(&mut stream, "/book/a", &id, WAIT_MS, "").ok()?;
    thread::sleep(PAUSE);
    record.line(&format!("client={number} begins to read"));
    let answer = client::receive(&mut stream, Duration::from_secs(5));
    let Answer { status, stated, received, end, .. } = &answer;
    record.line(&format!(
        "client={number} request={id} status={status} length={stated} received={received} end=\"{end}\""
    ));
    Some(answer)
}
