//! Invariants checked against what callers and runners observed.

use crate::{
    callers::{Exchange, KEY, ORGANISATION, RequestKind, UNKNOWN_KEY},
    faults::EVENTS,
    gateway::Deployment,
    streams,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use vanetally_platform_standin::{ClientAnswer, Message, Runner};

/// A violated invariant.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Violation {
    /// A request that may run at most once ran more than once.
    #[error("ran_twice request={id} runs={runs}")]
    RanTwice { id: String, runs: u32 },
    /// A request ran although its answer says that it has not run.
    #[error("ran_after_refusal request={id} status={status}")]
    RanAfterRefusal { id: String, status: u16 },
    /// A successful answer belongs to another request or is unsigned.
    #[error("foreign_answer request={id}")]
    ForeignAnswer { id: String },
    /// Events of a complete stream are missing, repeated or out of order.
    #[error("bad_events request={id} events={events:?}")]
    BadEvents { id: String, events: Vec<String> },
    /// A stream holds events of several versions.
    #[error("versions_joined stream={id} versions={versions:?}")]
    VersionsJoined { id: String, versions: BTreeSet<String> },
    /// A host returned to an older configuration than one that it had applied.
    #[error("configuration_regressed request={id} host={host} version={version}")]
    ConfigurationRegressed { id: String, host: usize, version: u64 },
    /// An upstream received requests after all hosts should have known that it had left.
    #[error("gone_upstream_used requests={requests}")]
    GoneUpstreamUsed { requests: usize },
    /// A request with a key of no organisation ran.
    #[error("unknown_key_ran request={id}")]
    UnknownKeyRan { id: String },
    /// A runner received a key, or an organisation other than the key's.
    #[error("wrong_origin request={id} organisation={organisation:?} has_key={has_key}")]
    WrongOrigin { id: String, organisation: Option<String>, has_key: bool },
    /// A log contains a key.
    #[error("key_logged host={host}")]
    KeyLogged { host: String },
    /// A rate-limited runner received more than its stated limit from hosts that knew the limit.
    #[error("over_limit rate={rate} max={max} allowed={allowed}")]
    OverLimit { rate: f64, max: usize, allowed: f64 },
    /// A runner received no more requests after it had stopped stating a limit.
    #[error("still_limited rate={rate}")]
    StillLimited { rate: f64 },
    /// A runner received requests from a host more than two seconds after the host had relayed that
    /// it leaves.
    #[error("leaving_upstream_used requests={requests}")]
    LeavingUpstreamUsed { requests: usize },
    /// A host sent requests to a runner during the cooldown that the runner had requested.
    #[error("cooldown_ignored requests={requests}")]
    CooldownIgnored { requests: usize },
    /// Hosts sent a request body on after it had crashed three runners and should have been known.
    #[error("quarantine_ignored crashes={crashes} late={late}")]
    QuarantineIgnored { crashes: usize, late: usize },
    /// Two hosts sent orders with the same token.
    #[error("shared_token token={token}")]
    SharedToken { token: u64 },
    /// An order of a former holder arrived after one of its successor.
    #[error("overtaken_order holder={holder} token={token} after={after}")]
    OvertakenOrder { holder: String, token: u64, after: u64 },
    /// A runner held more adapters than its limit.
    #[error("too_many_adapters held={held}")]
    TooManyAdapters { held: usize },
    /// The site did not serve after all faults were healed.
    #[error("not_recovered reason=\"{0}\"")]
    NotRecovered(String),
    /// A graceful stop did not exit with code 0 in time.
    #[error("bad_stop host={host} code={code:?}")]
    BadStop { host: String, code: Option<i32> },
}

/// Statuses which guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Maximum number of adapters of each runner.
const MAX_ADAPTERS: usize = 4;

/// Returns all violated invariants.
pub fn check(deployment: &Deployment, exchanges: &[Exchange], has_keys: bool) -> Vec<Violation> {
    let runners: Vec<&Runner> = deployment.engines.iter().chain(&deployment.desks).collect();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for (id, count) in runners.iter().flat_map(|runner| runner.runs()) {
        *runs.entry(id).or_default() += count;
    }
    let ran = |exchange: &Exchange| runs.get(&exchange.id).copied().unwrap_or(0);
    let mut violations = Vec::new();
    violations
        .extend(exchanges.iter().filter_map(|exchange| check_run_once(exchange, ran(exchange))));
    violations
        .extend(exchanges.iter().filter_map(|exchange| check_refusal(exchange, ran(exchange))));
    violations.extend(exchanges.iter().filter_map(check_answer_origin));
    violations.extend(exchanges.iter().filter_map(check_events));
    violations
        .extend(exchanges.iter().filter_map(|exchange| check_known_key(exchange, ran(exchange))));
    if has_keys {
        violations.extend(
            runners.iter().flat_map(|runner| runner.requests()).filter_map(check_request_origin),
        );
    }
    violations.extend(check_logs(deployment));
    violations.extend(check_no_regression(exchanges));
    violations.extend(streams::check(exchanges));
    violations.extend(check_order_tokens(&runners));
    violations.extend(runners.iter().filter_map(|runner| {
        let held = runner.max_adapters();
        (held > MAX_ADAPTERS).then_some(Violation::TooManyAdapters { held })
    }));
    violations
}

fn check_known_key(exchange: &Exchange, runs: u32) -> Option<Violation> {
    (exchange.has_unknown_key && runs > 0)
        .then(|| Violation::UnknownKeyRan { id: exchange.id.clone() })
}

/// A runner receives the organisation of the key, whatever the caller claims, and never the key.
fn check_request_origin(request: Message) -> Option<Violation> {
    let id = request.header("x-attempt-id")?.to_owned();
    let organisation = request.header("x-tenant").map(str::to_owned);
    let has_key = request.header("authorization").is_some();
    let is_own = organisation.as_deref() == Some(ORGANISATION) && !has_key;
    (!is_own).then_some(Violation::WrongOrigin { id, organisation, has_key })
}

fn check_logs(deployment: &Deployment) -> Vec<Violation> {
    let logs = deployment.logs().into_iter();
    let leaking = logs.filter(|(_, log)| log.contains(KEY) || log.contains(UNKNOWN_KEY));
    leaking.map(|(host, _)| Violation::KeyLogged { host }).collect()
}

fn check_run_once(exchange: &Exchange, runs: u32) -> Option<Violation> {
    let is_violated = exchange.kind == RequestKind::Offer && runs > 1;
    is_violated.then(|| Violation::RanTwice { id: exchange.id.clone(), runs })
}

fn check_refusal(exchange: &Exchange, runs: u32) -> Option<Violation> {
    let status = exchange.answer.as_ref()?.status;
    let must_not_run = exchange.kind == RequestKind::Offer || exchange.taken_up.is_some();
    let is_violated = must_not_run && NOT_RUN_STATUSES.contains(&status) && runs > 0;
    is_violated.then(|| Violation::RanAfterRefusal { id: exchange.id.clone(), status })
}

fn check_answer_origin(exchange: &Exchange) -> Option<Violation> {
    let answer = exchange.answer.as_ref().filter(|answer| answer.status == 200)?;
    let is_own = answer.header("x-attempt-id") == Some(&exchange.id);
    let is_signed = answer.header("x-server-seal").is_some();
    (!is_own || !is_signed).then(|| Violation::ForeignAnswer { id: exchange.id.clone() })
}

fn check_events(exchange: &Exchange) -> Option<Violation> {
    let is_stream = matches!(exchange.kind, RequestKind::Offer | RequestKind::Draft);
    let is_whole = |answer: &&ClientAnswer| answer.status == 200 && answer.is_complete;
    let answer = exchange.answer.as_ref().filter(is_whole).filter(|_| is_stream)?;
    let ids = answer.body.split(['\r', '\n']).filter_map(|line| line.strip_prefix("id: "));
    let events: Vec<String> = ids.map(str::to_owned).collect();
    let after = exchange.taken_up.as_ref().map_or(0, |taken_up| taken_up.after);
    let expected: Vec<String> = (after + 1..=EVENTS).map(|number| number.to_string()).collect();
    (events != expected).then(|| Violation::BadEvents { id: exchange.id.clone(), events })
}

/// A host incarnation that has applied a version knows its route from then on.
fn check_no_regression(exchanges: &[Exchange]) -> Vec<Violation> {
    let added = |exchange: &Exchange| match exchange.kind {
        RequestKind::Added(version) => Some(version),
        _ => None,
    };
    let status = |exchange: &Exchange| exchange.answer.as_ref().map_or(0, |answer| answer.status);
    let applied: Vec<(&Exchange, u64)> = exchanges
        .iter()
        .filter(|exchange| status(exchange) == 200)
        .filter_map(|exchange| Some((exchange, added(exchange)?)))
        .collect();
    let unknown = exchanges.iter().filter(|exchange| status(exchange) == 404);
    let is_regression = |late: &&Exchange| {
        applied.iter().any(|(early, version)| {
            (early.host, early.incarnation) == (late.host, late.incarnation)
                && early.ended < late.began
                && added(late).is_some_and(|other| other <= *version)
        })
    };
    let regressions = unknown.filter(is_regression);
    regressions
        .map(|exchange| Violation::ConfigurationRegressed {
            id: exchange.id.clone(),
            host: exchange.host,
            version: added(exchange).unwrap_or(0),
        })
        .collect()
}

fn check_order_tokens(runners: &[&Runner]) -> Vec<Violation> {
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    let mut violations = Vec::new();
    for order in runners.iter().flat_map(|runner| runner.orders()) {
        let holder = holders.entry(order.token).or_insert_with(|| order.holder.clone());
        if *holder != order.holder {
            violations.push(Violation::SharedToken { token: order.token });
        }
    }
    violations
}
