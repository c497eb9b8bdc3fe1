//! Streams at upstreams of several software versions.
//!
//! Guards against streams that hold events of two versions, within one answer or over a caller's requests.

mod gateway;

use gateway::{Deployment, Host, fresh_ip, wait_for};
use rstest::rstest;
use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{
    Behaviour, Client, ClientAnswer, Proxy, ProxyMode, Restore, Runner, StoreMode, StreamFault,
    StreamFraming, StreamShape,
};

const VERSIONS: [&str; 2] = ["v1", "v1.2"];
const EVENTS: u32 = 6;
/// Events before a break.
const FIRST_EVENTS: u32 = 3;
const STREAMS: usize = 24;
/// Streams that a single host may resume with its share of the retry budget.
const RETRIES: usize = 12;
const WHOLE: StreamShape = StreamShape {
    framing: StreamFraming::Chunks,
    line_end: "\n",
    opening: "",
    events: EVENTS,
    padding: 0,
    fault: None,
};
/// It breaks at the same place however often it is resumed.
const STUCK: StreamShape = StreamShape {
    fault: Some(StreamFault { after: FIRST_EVENTS, is_reset: false, is_lasting: true }),
    ..WHOLE
};
/// Time within which a request that can't be served is refused.
const AT_ONCE: Duration = Duration::from_millis(700);

struct Site {
    deployment: Deployment,
    hosts: Vec<Host>,
}

impl Site {
    /// Starts `count` hosts with two engines of each of `versions`.
    fn start(count: usize, versions: &[&str], shape: StreamShape) -> Self {
        let mut deployment = Deployment::start();
        (1..2 * versions.len()).for_each(|_| deployment.add_engine());
        for (engine, version) in deployment.engines.iter().zip(versions.iter().cycle()) {
            engine.set_version(version);
            let (key, value) = engine.entry();
            deployment.store.put(&key, &value);
        }
        let hosts = deployment.hosts(count);
        let site = Self { deployment, hosts };
        site.set_shape(shape);
        // The hosts know each other and have read all announcements.
        thread::sleep(Duration::from_millis(1_500));
        site
    }

    fn set_shape(&self, shape: StreamShape) {
        let engines = &self.deployment.engines;
        engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Shaped(shape)));
    }

    fn engines_of(&self, version: &str) -> impl Iterator<Item = &Runner> {
        self.deployment.engines.iter().filter(move |engine| engine.version() == version)
    }

    fn remove(&self, version: &str) {
        for engine in self.engines_of(version) {
            self.deployment.store.remove(&engine.entry().0);
        }
        thread::sleep(Duration::from_millis(500));
    }

    /// Begins streams at the first host that break off.
    fn begin(&self) -> Vec<Broken> {
        self.set_shape(STUCK);
        let begin = |number| {
            let id = format!("begun-{number}");
            let answer = draft(&id).send(self.hosts[0].front);
            assert_eq!((answer.status, answer.is_complete), (200, false), "{answer:?}");
            let versions = versions(&answer);
            assert_eq!(versions.len(), 1, "{answer:?}");
            Broken { id, version: versions.into_iter().next().expect("it has events") }
        };
        let broken = (0..STREAMS).map(begin).collect();
        self.set_shape(WHOLE);
        broken
    }

    /// Takes the streams up at `host`; returns how many went on. Each did at its own version or was refused as not run.
    fn take_up(&self, host: usize, broken: &[Broken]) -> usize {
        let runs_before = self.runs();
        let went_on = broken.iter().filter(|one| {
            let began = Instant::now();
            let answer = one.take_up().send(self.hosts[host].front);
            if answer.status == 503 {
                assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
                return false;
            }
            assert_eq!((answer.status, answer.is_complete), (200, true), "{answer:?}");
            assert_eq!(versions(&answer), BTreeSet::from([one.version.clone()]));
            true
        });
        let went_on = went_on.count();
        assert_eq!(self.runs() - runs_before, went_on, "what was refused has not run");
        went_on
    }

    /// Adds an engine of the second version and waits until `host` begins streams there.
    fn add_version(&mut self, host: usize) {
        self.deployment.add_engine();
        let engine = self.deployment.engines.last().expect("one was added");
        engine.set_version(VERSIONS[1]);
        engine.set_behaviour(Behaviour::Shaped(WHOLE));
        let (key, value) = engine.entry();
        self.deployment.store.put(&key, &value);
        wait_for("streams begin at the new version", || {
            let answer = draft(&format!("e{}", self.runs())).send(self.hosts[host].front);
            versions(&answer).contains(VERSIONS[1])
        });
    }

    fn runs(&self) -> usize {
        self.deployment.engines.iter().map(|engine| engine.requests().len()).sum()
    }
}

/// A stream that broke off.
struct Broken {
    id: String,
    version: String,
}

impl Broken {
    fn take_up(&self) -> Client {
        let client = draft(&format!("{}-next", self.id)).with("Resumes", &self.id);
        client.with("Last-Event-Id", &FIRST_EVENTS.to_string())
    }
}

/// A stream that may be resumed.
fn draft(id: &str) -> Client {
    Client::new("POST", "/draft/1", id).with("X-Model", "m1").deadline(5_000)
}

/// The versions whose events an answer holds.
fn versions(answer: &ClientAnswer) -> BTreeSet<String> {
    let lines = answer.body.lines().filter(|line| line.starts_with("data: "));
    lines.filter_map(|line| Some(line.split(" of ").nth(1)?.to_owned())).collect()
}

/// A stream that breaks inside an answer goes on at its own version.
#[test]
fn within_one_answer() {
    let site = Site::start(1, &VERSIONS, WHOLE.broken_after(FIRST_EVENTS));
    for number in 0..RETRIES {
        let answer = draft(&format!("a{number}")).send(site.hosts[0].front);
        assert_eq!((answer.status, answer.is_complete), (200, true), "{answer:?}");
        assert_eq!(versions(&answer).len(), 1, "{answer:?}");
    }
}

/// Before its first event, a stream may change the version. A comment is no event.
#[rstest]
fn before_first_event(#[values("", ": here\n\n")] opening: &'static str) {
    let shape = StreamShape { opening, ..WHOLE };
    let site = Site::start(1, &VERSIONS, shape);
    let engine = site.engines_of(VERSIONS[0]).next().expect("there are two");
    engine.set_behaviour(Behaviour::Shaped(shape.broken_after(0)));
    for number in 0..STREAMS {
        let answer = draft(&format!("b{number}")).send(site.hosts[0].front);
        assert_eq!((answer.status, answer.is_complete), (200, true), "{answer:?}");
    }
}

/// A stream that its caller takes up at the same host, or at another one, goes on at its version.
#[rstest]
fn taken_up(#[values(0, 1)] host: usize) {
    let site = Site::start(3, &VERSIONS, WHOLE);
    let broken = site.begin();
    assert_eq!(site.take_up(host, &broken), STREAMS);
}

/// Among more hosts than keep a stream, those that do are asked, also if one of them is paused.
#[rstest]
fn asked(#[values(false, true)] is_paused: bool) {
    let site = Site::start(8, &VERSIONS, WHOLE);
    let broken = site.begin();
    if is_paused {
        site.hosts[3].signal("STOP");
    }
    assert_eq!(site.take_up(7, &broken), STREAMS);
    let found = site.hosts[7].metric("vanetally_streams_taken_up_total{found=\"host\"}");
    assert!(found.is_some_and(|count| count > 0.0), "{found:?}");
}

/// A stream that breaks again is found by the request that began it, and by the one that took it up.
#[test]
fn taken_up_twice() {
    let site = Site::start(8, &VERSIONS, WHOLE);
    let broken = site.begin();
    site.set_shape(StreamShape {
        fault: Some(StreamFault { after: FIRST_EVENTS + 1, is_reset: false, is_lasting: true }),
        ..WHOLE
    });
    for one in &broken {
        let answer = one.take_up().send(site.hosts[3].front);
        assert_eq!((answer.status, answer.is_complete), (200, false), "{answer:?}");
        assert_eq!(versions(&answer), BTreeSet::from([one.version.clone()]));
    }
    site.set_shape(WHOLE);
    let by_second = broken
        .iter()
        .map(|one| Broken { id: format!("{}-next", one.id), version: one.version.clone() });
    assert_eq!(site.take_up(6, &by_second.collect::<Vec<_>>()), STREAMS);
    assert_eq!(site.take_up(7, &broken), STREAMS);
}

/// Streams go on although the host that began them is killed, paused or replaced.
#[rstest]
fn first_host_gone(#[values("KILL", "STOP", "TERM")] signal: &str) {
    let mut site = Site::start(4, &VERSIONS, WHOLE);
    let broken = site.begin();
    site.hosts[0].signal(signal);
    if signal == "TERM" {
        site.hosts[0].wait();
        site.hosts.push(site.deployment.host("front-9"));
        thread::sleep(Duration::from_millis(1_000));
    }
    let last = site.hosts.len() - 1;
    assert_eq!(site.take_up(last, &broken), STREAMS);
}

/// A stream whose version has no upstream left is refused at once, and did not run.
#[test]
fn version_gone() {
    let site = Site::start(2, &VERSIONS, WHOLE);
    let broken = site.begin();
    site.remove(VERSIONS[0]);
    let (gone, left): (Vec<Broken>, Vec<Broken>) =
        broken.into_iter().partition(|one| one.version == VERSIONS[0]);
    assert!(!gone.is_empty() && !left.is_empty());
    for host in [0, 1] {
        assert_eq!(site.take_up(host, &gone), 0);
    }
    assert_eq!(site.take_up(1, &left), left.len());
}

/// A stream whose beginning is unknown is refused at once, since its version would be guessed.
#[test]
fn unknown_beginning() {
    let site = Site::start(2, &VERSIONS, WHOLE);
    let long = "x".repeat(2_000);
    for name in ["unknown", "", " ", "\u{e9}", &long] {
        let taken_up = draft("c0").with("Resumes", name).with("Last-Event-Id", "3");
        let began = Instant::now();
        let answer = taken_up.send(site.hosts[0].front);
        assert_eq!(answer.status, 503, "{name:?}: {answer:?}");
        assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
    }
    let unnamed = draft("c1").with("Last-Event-Id", "3").send(site.hosts[0].front);
    assert_eq!(unnamed.status, 503, "{unnamed:?}");
    assert_eq!(site.runs(), 0);
}

/// New streams and other routes are served whatever their headers name.
#[rstest]
fn new_streams(#[values("unknown", "", "\u{e9}")] named: &str) {
    let site = Site::start(1, &VERSIONS, WHOLE);
    let front = site.hosts[0].front;
    let begun = draft("d1").with("Resumes", named).send(front);
    assert_eq!((begun.status, begun.is_complete), (200, true), "{begun:?}");
    let check = Client::new("GET", "/check/1", "d2").with("Resumes", named);
    let check = check.with("Last-Event-Id", "3").send(front);
    assert_eq!((check.status, check.is_complete), (200, true), "{check:?}");
}

/// With a single version, streams whose beginning is unknown go on, also after the loss of all hosts.
#[test]
fn single_version() {
    let mut site = Site::start(2, &VERSIONS[..1], WHOLE);
    let broken = site.begin();
    site.hosts.iter_mut().for_each(Host::kill);
    site.hosts = site.deployment.hosts(2);
    thread::sleep(Duration::from_millis(1_000));
    assert_eq!(site.take_up(1, &broken), STREAMS);
}

/// A version that was there before the loss of all hosts is not forgotten.
#[test]
fn earlier_version() {
    let mut site = Site::start(2, &VERSIONS, WHOLE);
    let broken = site.begin();
    site.remove(VERSIONS[1]);
    site.hosts.iter_mut().for_each(Host::kill);
    site.hosts = site.deployment.hosts(2);
    thread::sleep(Duration::from_millis(1_000));
    let other: Vec<Broken> = broken.into_iter().filter(|one| one.version == VERSIONS[1]).collect();
    assert!(!other.is_empty());
    assert_eq!(site.take_up(1, &other), 0);
}

/// A version that appears while a stream runs does not change it.
#[test]
fn version_appears() {
    let mut site = Site::start(3, &VERSIONS[..1], WHOLE);
    let broken = site.begin();
    site.add_version(2);
    assert_eq!(site.take_up(2, &broken), STREAMS);
}

/// A host that has not heard of the second version does not take the first for the only one, also if the caller names
/// no stream.
#[rstest]
fn version_unheard(#[values(true, false)] is_named: bool) {
    let mut site = Site::start(2, &VERSIONS[..1], WHOLE);
    let link = Proxy::start(&fresh_ip(), site.deployment.store.address());
    let late = site.deployment.spawn_at("front-late", &fresh_ip(), link.address());
    wait_for("the host is ready", || late.is_ready());
    thread::sleep(Duration::from_millis(2_000));
    link.set_mode(ProxyMode::Silent);
    site.add_version(1);
    let client = draft("f1").with("Last-Event-Id", "3");
    let client = if is_named { client.with("Resumes", "unknown") } else { client };
    let answer = client.send(late.front);
    assert_eq!(answer.status, 503, "{answer:?}");
}

/// Time in which streams begin at a version that has just appeared.
const APPEARS: Duration = Duration::from_millis(700);
/// Time in which a version that has appeared is in use, with a margin for a busy machine.
const IN_USE: Duration = Duration::from_millis(4_000);

impl Site {
    /// Begins streams that break off for a while; returns those that began.
    fn begin_for(&self, length: Duration) -> Vec<Broken> {
        let (began, mut broken) = (Instant::now(), Vec::new());
        while began.elapsed() < length {
            let id = format!("early-{}", self.runs());
            let answer = draft(&id).deadline(300).send(self.hosts[0].front);
            let version = versions(&answer).into_iter().next();
            broken.extend(version.map(|version| Broken { id, version }));
        }
        broken
    }

    /// Announces two engines of the second version.
    fn announce_second(&mut self) {
        for _ in 0..2 {
            self.deployment.add_engine();
            let engine = self.deployment.engines.last().expect("one was added");
            engine.set_version(VERSIONS[1]);
            engine.set_behaviour(Behaviour::Shaped(STUCK));
            let (key, value) = engine.entry();
            self.deployment.store.put(&key, &value);
        }
    }

    /// Kills all hosts and starts as many, which have time to agree on the versions.
    fn lose_hosts(&mut self) {
        let count = self.hosts.len();
        self.hosts.iter_mut().for_each(Host::kill);
        self.deployment.store.set_mode(StoreMode::Serving);
        self.set_shape(WHOLE);
        self.hosts = self.deployment.hosts(count);
        thread::sleep(Duration::from_millis(3_000));
    }
}

/// A stream at a version that the store does not keep when all hosts are lost does not go on at another one.
#[rstest]
fn lost_before_kept(
    #[values(StoreMode::Serving, StoreMode::RefusedWrites, StoreMode::DroppedAnswers)]
    mode: StoreMode,
) {
    let mut site = Site::start(3, &VERSIONS[..1], WHOLE);
    thread::sleep(Duration::from_millis(1_500));
    site.set_shape(STUCK);
    site.deployment.store.set_mode(mode);
    site.announce_second();
    let broken = site.begin_for(APPEARS);
    assert!(!broken.is_empty(), "the first version still serves");
    site.hosts.iter_mut().for_each(Host::kill);
    site.remove(VERSIONS[1]);
    site.lose_hosts();
    site.take_up(1, &broken);
}

/// The same where the store takes no writes since the hosts have started, and then has another version.
#[test]
fn lost_before_first_kept() {
    let mut site = Site::start(1, &VERSIONS[..1], WHOLE);
    site.hosts.iter_mut().for_each(Host::kill);
    let key = site.deployment.store.keys("vanetally/versions/");
    key.iter().for_each(|key| site.deployment.store.remove(key));
    site.deployment.store.set_mode(StoreMode::RefusedWrites);
    site.hosts = site.deployment.hosts(1);
    site.set_shape(STUCK);
    let broken = site.begin_for(APPEARS);
    site.hosts.iter_mut().for_each(Host::kill);
    site.announce_second();
    site.remove(VERSIONS[0]);
    site.lose_hosts();
    site.take_up(0, &broken);
}

/// A second version is soon in use, also if the host that ranks first to write it is paused.
#[rstest]
fn second_version_is_used(#[values(false, true)] is_paused: bool) {
    let mut site = Site::start(4, &VERSIONS[..1], WHOLE);
    let mut paused = Vec::new();
    if is_paused {
        let has_written = |at: &usize| {
            site.deployment.log(&format!("front-{at}")).contains("event=versions_kept")
        };
        let writer = (0..site.hosts.len()).find(has_written).expect("one has written");
        let writer = site.hosts.remove(writer);
        writer.signal("STOP");
        paused.push(writer);
    }
    site.announce_second();
    site.set_shape(WHOLE);
    let began = Instant::now();
    let mut used = BTreeSet::new();
    while !used.contains(VERSIONS[1]) {
        assert!(began.elapsed() < IN_USE, "only {used:?}");
        for (at, host) in site.hosts.iter().enumerate() {
            let answer = draft(&format!("g{at}-{}", site.runs())).deadline(300).send(host.front);
            used.extend(versions(&answer));
        }
    }
}

/// A copy of the store that has forgotten a version, or that the service had any, is not believed.
#[rstest]
fn lost_with_copy(#[values(true, false)] has_record: bool) {
    let deployment = Deployment::start();
    let before = deployment.store.snapshot();
    let hosts = deployment.hosts(2);
    let mut site = Site { deployment, hosts };
    thread::sleep(Duration::from_millis(2_500));
    let copy = if has_record { site.deployment.store.snapshot() } else { before };
    site.set_shape(STUCK);
    site.announce_second();
    let broken = site.begin_for(IN_USE / 2);
    let second: Vec<Broken> = broken.into_iter().filter(|one| one.version == VERSIONS[1]).collect();
    assert!(!second.is_empty(), "the second version is in use");
    site.hosts.iter_mut().for_each(Host::kill);
    let options =
        Restore { keeps_leases: false, rewrite_delay: Duration::ZERO, delays_watches: false };
    site.deployment.store.restore(&copy, options);
    site.remove(VERSIONS[1]);
    site.lose_hosts();
    site.take_up(0, &second);
}

/// Hosts that were cut off from the others, or stood still, while upstreams of a second version joined don't take the first
/// for the only one, although they confirm each other.
#[rstest]
fn out_of_step(#[values(true, false)] stood_still: bool) {
    const IN_STEP: usize = 7;
    let mut site = Site::start(IN_STEP, &VERSIONS[..1], WHOLE);
    let links: Vec<Proxy> =
        (0..2).map(|_| Proxy::start(&fresh_ip(), site.deployment.store.address())).collect();
    let late = |(number, link): (usize, &Proxy)| {
        site.deployment.spawn_at(&format!("front-late-{number}"), &fresh_ip(), link.address())
    };
    let late: Vec<Host> = links.iter().enumerate().map(late).collect();
    late.iter().for_each(|host| wait_for("the host is ready", || host.is_ready()));
    thread::sleep(Duration::from_millis(2_000));
    links.iter().for_each(|link| link.set_mode(ProxyMode::Silent));
    late.iter().for_each(|host| host.signal("STOP"));
    site.add_version(0);
    let broken = site.begin();
    let second: Vec<Broken> = broken.into_iter().filter(|one| one.version == VERSIONS[1]).collect();
    assert!(!second.is_empty(), "the second version is in use");
    // From here on the two are alone.
    site.hosts.iter().for_each(|host| host.signal("STOP"));
    if stood_still {
        links.iter().for_each(|link| link.set_mode(ProxyMode::Pass));
    }
    late.iter().for_each(|host| host.signal("CONT"));
    site.hosts.extend(late);
    site.take_up(IN_STEP, &second);
    if stood_still {
        // Once they have read what they missed, they know the version, or that there were two.
        thread::sleep(Duration::from_millis(3_000));
        site.take_up(IN_STEP + 1, &second);
    }
}
