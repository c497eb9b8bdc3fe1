//! Upstreams that say that they leave, ask for rest, or end under a content, while faults strike the hosts.

use crate::{
    callers::{KEY, Seen, Shared},
    faults,
    promises::Broken,
    site::Site,
};
use rand::{RngExt, rngs::StdRng};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, Downtime, DowntimeMode, Runner};

/// A host sends nothing to a runner later than this after it has passed on that it leaves, and what is on its way then.
const DRAIN: Duration = Duration::from_millis(2_000 + 200);
/// So long after it was turned away a host may still send.
const GRACE: Duration = Duration::from_millis(500);
/// Requests of a host in one rest after that.
const MOST_IN_REST: usize = 2;
/// Rests that runners ask for, in seconds, and what is none.
const RESTS: [&str; 4] = ["1.2", "2.5", "nan", "-4"];
/// What runners say of their leaving; only the first says that they do.
const LEAVINGS: [&str; 3] = ["1", "0", "soon"];
/// How long a runner leaves or rests.
const SAID: Duration = Duration::from_secs(4);
/// How long deadly requests come.
const DEADLY: Duration = Duration::from_secs(6);
/// A host counts if it has run for so long without a fault.
const CONTACT: Duration = Duration::from_secs(3);
/// Sendings of a deadly content by such hosts, later than that after the third end under it.
const MOST_LATE: usize = 3;
const DEADLY_BODY: &[u8] = b"deadly draft";
const DEADLY_PAUSE: Duration = Duration::from_millis(150);

/// A host, and which of its lives.
type Life = (usize, u64);

/// What runners said, and when hosts were struck meanwhile.
pub struct Words {
    rest: Option<(Runner, f64)>,
    /// Hosts that were struck, and when they were or went on.
    struck: Vec<(usize, Instant)>,
    deadly: Vec<(String, Life, Instant)>,
    runners: Vec<Runner>,
}

impl Words {
    /// Runners leave, rest and end under a content, one after the other.
    pub fn play(rng: &mut StdRng, site: &mut Site) -> Self {
        let engines = site.deployment.engines.clone();
        let leaver = engines[rng.random_range(0..engines.len())].clone();
        leaver.set_leaving(Some(LEAVINGS[rng.random_range(0..LEAVINGS.len())]));
        let mut struck = strike(rng, site, SAID);
        leaver.set_leaving(None);
        // What it said holds for this life.
        leaver.restart();
        leaver.load_initial_models();
        faults::heal(site);
        let desk = site.deployment.desks[0].clone();
        let rest = RESTS[rng.random_range(0..RESTS.len())];
        desk.set_cooldown(Some(rest));
        struck.extend(strike(rng, site, SAID));
        desk.set_cooldown(None);
        faults::heal(site);
        let deadly = Deadly::start(rng, site);
        struck.extend(strike(rng, site, DEADLY));
        let deadly = deadly.stop();
        faults::heal(site);
        let rest = rest.parse::<f64>().ok().filter(|rest| *rest > 0.0).map(|rest| (desk, rest));
        Self { rest, struck, deadly, runners: engines }
    }

    /// Runners that ended under the deadly content.
    pub fn ends(&self) -> usize {
        self.runners.iter().map(|runner| runner.crashes().len()).sum()
    }

    /// The promises that were broken.
    pub fn check(&self, seen: &[Seen]) -> Vec<Broken> {
        let senders: HashMap<&str, Life> =
            seen.iter().map(|one| (one.id.as_str(), (one.host, one.life))).collect();
        let mut broken = Vec::new();
        broken.extend(self.left(seen, &senders));
        broken.extend(self.rested(&senders));
        broken.extend(self.ended());
        broken
    }

    /// Whether a host was struck between two moments.
    fn was_struck(&self, host: usize, from: Instant, to: Instant) -> bool {
        self.struck.iter().any(|(struck, at)| *struck == host && *at >= from && *at <= to)
    }

    fn left(&self, seen: &[Seen], senders: &HashMap<&str, Life>) -> Option<Broken> {
        let is_said = |one: &&Seen| {
            let answer = one.answer.as_ref();
            answer.is_some_and(|answer| answer.header("server-leaving") == Some("1"))
        };
        let mut told: HashMap<Life, Instant> = HashMap::new();
        for one in seen.iter().filter(is_said) {
            let first = told.entry((one.host, one.life)).or_insert(one.ended);
            *first = one.ended.min(*first);
        }
        let said: Vec<&str> = seen.iter().filter(is_said).map(|one| one.id.as_str()).collect();
        let is_leaver =
            |runner: &&Runner| runner.runs().keys().any(|id| said.contains(&id.as_str()));
        let leaver = self.runners.iter().find(is_leaver)?;
        let starts = leaver.restarts();
        let is_late = |(request, at): &(vanetally_platform_standin::Message, Instant)| {
            let sender = request.header("x-attempt-id").and_then(|id| senders.get(id));
            let told = sender.and_then(|sender| Some((sender.0, *told.get(sender)?)));
            told.is_some_and(|(host, told)| {
                let is_same = !starts.iter().any(|start| *start >= told && *start <= *at);
                is_same && *at > told + DRAIN && !self.was_struck(host, told, *at)
            })
        };
        let requests = leaver.requests().into_iter().zip(leaver.arrivals());
        let late = requests.filter(is_late).count();
        (late > 0).then_some(Broken::LeaverUsed { requests: late })
    }

    fn rested(&self, senders: &HashMap<&str, Life>) -> Option<Broken> {
        let (runner, rest) = self.rest.as_ref()?;
        let requests: Vec<(Life, Instant)> = runner
            .requests()
            .iter()
            .zip(runner.arrivals())
            .filter_map(|(request, at)| Some((*senders.get(request.header("x-attempt-id")?)?, at)))
            .collect();
        let in_rest = |(id, asked): &(String, Instant)| {
            let sender = senders.get(id.as_str())?;
            let end = *asked + Duration::from_secs_f64(*rest);
            let own = requests
                .iter()
                .filter(|(life, at)| life == sender && *at > *asked + GRACE && *at < end);
            let count = own.count();
            (!self.was_struck(sender.0, *asked, end)).then_some(count)
        };
        let most = runner.rejected().iter().filter_map(in_rest).max()?;
        (most > MOST_IN_REST).then_some(Broken::RestNotKept { requests: most })
    }

    fn ended(&self) -> Option<Broken> {
        let mut ends: Vec<Instant> = self.runners.iter().flat_map(Runner::crashes).collect();
        ends.sort();
        let known = *ends.get(2)? + CONTACT;
        let arrived = |id: &str| {
            let of = |runner: &Runner| {
                let requests = runner.requests().into_iter().zip(runner.arrivals());
                let own = requests.filter(|(one, _)| one.header("x-attempt-id") == Some(id));
                own.map(|(_, at)| at).collect::<Vec<_>>()
            };
            self.runners.iter().flat_map(of).collect::<Vec<_>>()
        };
        let late = self
            .deadly
            .iter()
            .filter(|(_, _, began)| *began > known)
            .flat_map(|(id, life, _)| arrived(id).into_iter().map(move |at| (life.0, at)));
        let late = late.filter(|(host, at)| !self.was_struck(*host, *at - CONTACT, *at)).count();
        (late > MOST_LATE).then_some(Broken::DeadlySent { ends: ends.len(), late })
    }
}

/// Strikes hosts for a while; tells which of them were struck, and when.
fn strike(rng: &mut StdRng, site: &mut Site, length: Duration) -> Vec<(usize, Instant)> {
    let began = Instant::now();
    let mut struck = Vec::new();
    while began.elapsed() < length {
        let before = site.running();
        faults::strike_hosts(rng, site);
        let now = Instant::now();
        let after = site.running();
        let changed =
            (0..after.len()).filter(|host| before[*host] != after[*host] || !after[*host].1);
        struck.extend(changed.map(|host| (host, now)));
    }
    struck
}

/// Callers of a content that ends its runners.
struct Deadly {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Vec<(String, Life, Instant)>>,
}

impl Deadly {
    fn start(rng: &mut StdRng, site: &Site) -> Self {
        let modes = [DowntimeMode::Refused, DowntimeMode::Closed, DowntimeMode::Unresponsive];
        let mode = modes[rng.random_range(0..modes.len())];
        let downtime = Downtime { length: Duration::from_millis(700), mode };
        for (number, engine) in site.deployment.engines.iter().enumerate() {
            let address = site.runner_links[number].address();
            engine.set_crash_body_at(DEADLY_BODY, downtime, &site.deployment.store, address);
        }
        let (shared, is_over) = (site.shared.clone(), Arc::new(AtomicBool::new(false)));
        let own = is_over.clone();
        let thread = thread::spawn(move || call(&shared, &own));
        Self { is_over, thread }
    }

    fn stop(self) -> Vec<(String, Life, Instant)> {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().expect("callers don't panic")
    }
}

fn call(shared: &Shared, is_over: &AtomicBool) -> Vec<(String, Life, Instant)> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut sent = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let host = number as usize % shared.fronts.len();
        let id = format!("deadly-{number}");
        sent.push((id.clone(), (host, shared.lives[host].load(Ordering::Relaxed)), Instant::now()));
        send(&id, shared.fronts[host]);
        thread::sleep(DEADLY_PAUSE);
    }
    sent
}

fn send(id: &str, front: SocketAddr) {
    let client = Client::new("POST", "/offer/1", id).with("X-Model", "m1").body(DEADLY_BODY);
    // How it ends is not what is checked.
    client.with("Authorization", &format!("Bearer {KEY}")).deadline(1_000).send(front);
}
