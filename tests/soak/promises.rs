//! What must hold, from what callers and runners saw.

use crate::{
    callers::{KEY, Kind, NO_KEY, ORGANISATION, Seen},
    faults::EVENTS,
    gateway::Deployment,
};
use std::collections::{BTreeMap, HashMap};
use vanetally_platform_standin::{ClientAnswer, Message, Runner};

/// A promise that was broken.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Broken {
    /// A request that may run once ran more often.
    #[error("ran_twice request={id} runs={runs}")]
    RanTwice { id: String, runs: u32 },
    /// A request ran although its answer says that it has not.
    #[error("ran_refused request={id} status={status}")]
    RanRefused { id: String, status: u16 },
    /// A success that is not the caller's own, or is not signed.
    #[error("foreign_answer request={id}")]
    Foreign { id: String },
    /// Events of a whole stream that are not all there, once and in order.
    #[error("bad_events request={id} events={events:?}")]
    BadEvents { id: String, events: Vec<String> },
    /// A host went back behind a configuration that it had followed.
    #[error("went_back request={id} host={host} version={version}")]
    WentBack { id: String, host: usize, version: u64 },
    /// An upstream that had left got requests when all hosts had to know it.
    #[error("still_used requests={requests}")]
    StillUsed { requests: usize },
    /// A request with a key that nobody holds ran.
    #[error("unknown_key_ran request={id}")]
    UnknownKeyRan { id: String },
    /// A runner saw a key, or another organisation than the one that holds it.
    #[error("wrong_origin request={id} organisation={organisation:?} key_shown={key_shown}")]
    WrongOrigin { id: String, organisation: Option<String>, key_shown: bool },
    /// A log shows a key.
    #[error("key_logged host={host}")]
    KeyLogged { host: String },
    /// A runner in need got more than it had named, from hosts that knew it.
    #[error("over_limit rate={rate} most={most} allowed={allowed}")]
    OverLimit { rate: f64, most: usize, allowed: f64 },
    /// A runner that was in need no more got no more than before.
    #[error("still_limited rate={rate}")]
    StillLimited { rate: f64 },
    /// A runner got requests from a host that had passed on, two seconds before, that it leaves.
    #[error("leaver_used requests={requests}")]
    LeaverUsed { requests: usize },
    /// A runner got requests from a host in a rest that it had asked that host for.
    #[error("rest_not_kept requests={requests}")]
    RestNotKept { requests: usize },
    /// A content under which three runners had ended was sent on by hosts that had to know it.
    #[error("deadly_sent ends={ends} late={late}")]
    DeadlySent { ends: usize, late: usize },
    /// Two hosts gave orders under one token.
    #[error("shared_token token={token}")]
    SharedToken { token: u64 },
    /// A runner held more adapters than it has places for.
    #[error("too_many_adapters held={held}")]
    TooManyAdapters { held: usize },
    /// A site that was whole again did not serve.
    #[error("not_recovered what=\"{0}\"")]
    NotRecovered(String),
    /// A planned stop did not end well.
    #[error("bad_stop host={host} code={code:?}")]
    BadStop { host: String, code: Option<i32> },
}

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Places for adapters at each runner.
const PLACES: usize = 4;

/// All promises that were broken.
pub fn check(deployment: &Deployment, seen: &[Seen], has_keys: bool) -> Vec<Broken> {
    let runners: Vec<&Runner> = deployment.engines.iter().chain(&deployment.desks).collect();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for (id, count) in runners.iter().flat_map(|runner| runner.runs()) {
        *runs.entry(id).or_default() += count;
    }
    let ran = |seen: &Seen| runs.get(&seen.id).copied().unwrap_or(0);
    let mut broken = Vec::new();
    broken.extend(seen.iter().filter_map(|seen| run_once(seen, ran(seen))));
    broken.extend(seen.iter().filter_map(|seen| refusal_kept(seen, ran(seen))));
    broken.extend(seen.iter().filter_map(own_answer));
    broken.extend(seen.iter().filter_map(events_whole));
    broken.extend(seen.iter().filter_map(|seen| known_key(seen, ran(seen))));
    if has_keys {
        broken.extend(runners.iter().flat_map(|runner| runner.requests()).filter_map(own_origin));
    }
    broken.extend(secret_keys(deployment));
    broken.extend(never_back(seen));
    broken.extend(one_holder(&runners));
    broken.extend(runners.iter().filter_map(|runner| {
        let held = runner.max_adapters();
        (held > PLACES).then_some(Broken::TooManyAdapters { held })
    }));
    broken
}

fn known_key(seen: &Seen, runs: u32) -> Option<Broken> {
    (seen.is_unknown && runs > 0).then(|| Broken::UnknownKeyRan { id: seen.id.clone() })
}

/// The organisation is told once, whatever the caller says of itself, and the key is not.
fn own_origin(request: Message) -> Option<Broken> {
    let id = request.header("x-attempt-id")?.to_owned();
    let organisation = request.header("x-tenant").map(str::to_owned);
    let key_shown = request.header("authorization").is_some();
    let is_own = organisation.as_deref() == Some(ORGANISATION) && !key_shown;
    (!is_own).then_some(Broken::WrongOrigin { id, organisation, key_shown })
}

fn secret_keys(deployment: &Deployment) -> Vec<Broken> {
    let logs = deployment.logs().into_iter();
    let shown = logs.filter(|(_, log)| log.contains(KEY) || log.contains(NO_KEY));
    shown.map(|(host, _)| Broken::KeyLogged { host }).collect()
}

fn run_once(seen: &Seen, runs: u32) -> Option<Broken> {
    let is_broken = seen.kind == Kind::Offer && runs > 1;
    is_broken.then(|| Broken::RanTwice { id: seen.id.clone(), runs })
}

fn refusal_kept(seen: &Seen, runs: u32) -> Option<Broken> {
    let status = seen.answer.as_ref()?.status;
    let is_broken = seen.kind == Kind::Offer && PROMISES.contains(&status) && runs > 0;
    is_broken.then(|| Broken::RanRefused { id: seen.id.clone(), status })
}

fn own_answer(seen: &Seen) -> Option<Broken> {
    let answer = seen.answer.as_ref().filter(|answer| answer.status == 200)?;
    let is_own = answer.header("x-attempt-id") == Some(&seen.id);
    let is_signed = answer.header("x-server-seal").is_some();
    (!is_own || !is_signed).then(|| Broken::Foreign { id: seen.id.clone() })
}

fn events_whole(seen: &Seen) -> Option<Broken> {
    let is_stream = matches!(seen.kind, Kind::Offer | Kind::Draft);
    let is_whole = |answer: &&ClientAnswer| answer.status == 200 && answer.is_complete;
    let answer = seen.answer.as_ref().filter(is_whole).filter(|_| is_stream)?;
    let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
    let events: Vec<String> = ids.map(str::to_owned).collect();
    let expected: Vec<String> = (1..=EVENTS).map(|number| number.to_string()).collect();
    (events != expected).then(|| Broken::BadEvents { id: seen.id.clone(), events })
}

/// Within one life, a host that followed a version knows its route from then on.
fn never_back(seen: &[Seen]) -> Vec<Broken> {
    let added = |seen: &Seen| match seen.kind {
        Kind::Added(version) => Some(version),
        _ => None,
    };
    let status = |seen: &Seen| seen.answer.as_ref().map_or(0, |answer| answer.status);
    let followed: Vec<(&Seen, u64)> = seen
        .iter()
        .filter(|seen| status(seen) == 200)
        .filter_map(|seen| Some((seen, added(seen)?)))
        .collect();
    let unknown = seen.iter().filter(|seen| status(seen) == 404);
    let is_back = |late: &&Seen| {
        followed.iter().any(|(early, version)| {
            (early.host, early.life) == (late.host, late.life)
                && early.ended < late.began
                && added(late).is_some_and(|other| other <= *version)
        })
    };
    let back = unknown.filter(is_back);
    back.map(|seen| Broken::WentBack {
        id: seen.id.clone(),
        host: seen.host,
        version: added(seen).unwrap_or(0),
    })
    .collect()
}

fn one_holder(runners: &[&Runner]) -> Vec<Broken> {
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    let mut broken = Vec::new();
    for order in runners.iter().flat_map(|runner| runner.orders()) {
        let holder = holders.entry(order.token).or_insert_with(|| order.holder.clone());
        if *holder != order.holder {
            broken.push(Broken::SharedToken { token: order.token });
        }
    }
    broken
}
