//! Probes of upstreams at which attempts failed: whether an upstream is alive, and whether this host or
//! the upstream is at fault.
//!
//! A broken connection, a refusal and silence look the same whether the upstream has crashed or the
//! network path of this host is cut. So an upstream that does not answer this host is asked through
//! another host as well, and counts as failed only if that host, which reaches others, gets no answer
//! either.

use crate::{body_room, hub::Hub, pool, request_log::record_probe, tunnels::Opinion};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header::HOST};
use http_body_util::Full;
use hyper::body::Incoming;
use std::{collections::HashMap, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    sync::oneshot,
    time::{sleep, timeout},
};
use vanetally_dispatch::{self as dispatch, SuspectedContent};
use vanetally_link::socket;
use vanetally_ports::{Built, RequestError, UpstreamState};
use vanetally_quarantine::CrashSign;
use vanetally_reach::{Event, ProbeResult, ProbeScope};
use vanetally_types::{Incarnation, Name};

/// Timeout of a direct probe, and of one through an exit.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of the answer to a direct probe that only shows that the path works.
const LATE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an upstream that has not answered directly is asked through an exit as well.
const EXIT_DELAY: Duration = Duration::from_millis(60);
/// Time in which an upstream that answered through an exit may still answer directly: one that was
/// silent for a while answers both at about the same time.
const DIRECT_GRACE: Duration = Duration::from_millis(250);
/// Time within which a front proxy whose upstream is gone closes a connection.
const CLOSE_MS: u64 = 60;
/// Pause before an upstream is probed again of which nobody could tell.
const REPEAT_PAUSE: Duration = Duration::from_millis(150);
/// Time after a request was sent in which its upstream is probed again.
const MAX_UNKNOWN_MS: u64 = 4_000;

/// An upstream that is probed.
#[derive(Clone)]
pub(crate) struct Suspect {
    pub upstream: Incarnation,
    pub address: SocketAddr,
    /// Whether it answers report requests.
    pub is_engine: bool,
    /// Path of its health check, if it has one.
    pub health_path: Option<Name>,
}

/// Running probes: by upstream, the contents of the interrupted attempts. One probe serves all attempts
/// at an upstream.
pub(crate) type Probes = HashMap<Incarnation, Vec<SuspectedContent>>;

/// What a probe found.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Finding {
    /// The upstream answers this host.
    Answered,
    /// The upstream answers through this exit, but not this host.
    Blocked(Name),
    /// The upstream answers no host, with the crash sign that it shows, if any.
    Faulty(Option<CrashSign>),
    /// Nobody can tell.
    Unknown,
}

/// Result of asking an upstream on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Asked {
    /// It answered, and is alive.
    Answered,
    /// The answer shows that the incarnation has ended.
    Ended,
    /// It did not answer.
    Unanswered(Option<CrashSign>),
}

impl Hub {
    /// Probes the upstream of an interrupted attempt with these contents.
    pub(crate) fn probe_contents(
        self: &Rc<Self>,
        upstream: Incarnation,
        suspects: Vec<SuspectedContent>,
    ) {
        let is_running = {
            let mut probes = self.probes.borrow_mut();
            let is_running = probes.contains_key(&upstream);
            probes.entry(upstream.clone()).or_default().extend(suspects);
            is_running
        };
        if !is_running {
            self.start_probe(upstream, ProbeScope::Full);
        }
    }

    /// Probes the upstream again a little later for the suspected ones of these contents: nothing with them is sent until it
    /// is known what became of it.
    fn probe_again(self: &Rc<Self>, upstream: &Incarnation, suspects: Vec<SuspectedContent>) {
        let now = self.clock.now();
        let is_open = |suspect: &SuspectedContent| {
            let is_recent = now.since(suspect.sent_at) <= MAX_UNKNOWN_MS;
            is_recent && self.dispatch.borrow().quarantine().needs_try(now, suspect.content)
        };
        let open: Vec<SuspectedContent> = suspects.into_iter().filter(is_open).collect();
        if open.is_empty() || self.dispatch.borrow().upstream_state(upstream).is_none() {
            return;
        }
        let (hub, upstream) = (self.clone(), upstream.clone());
        tokio::task::spawn_local(async move {
            sleep(REPEAT_PAUSE).await;
            hub.probe_contents(upstream, open);
        });
    }

    /// Probes an upstream to which the path of this host is in question.
    pub(crate) fn probe_path(self: &Rc<Self>, upstream: Incarnation, scope: ProbeScope) {
        // One that is running may have begun before the failure, but its result says as much.
        if !self.probes.borrow().contains_key(&upstream) {
            self.probes.borrow_mut().insert(upstream.clone(), Vec::new());
            self.start_probe(upstream, scope);
        }
    }

    fn start_probe(self: &Rc<Self>, upstream: Incarnation, scope: ProbeScope) {
        let hub = self.clone();
        tokio::task::spawn_local(async move {
            let finding = match hub.suspect(&upstream) {
                Some(suspect) => find(&hub, &suspect, scope).await,
                None => Finding::Unknown,
            };
            hub.probe_finished(upstream, finding);
        });
    }

    /// Asks an upstream on a new connection, with the bounds of a probe.
    pub(crate) async fn ask_directly(self: &Rc<Self>, upstream: &Incarnation) -> Asked {
        match self.suspect(upstream) {
            Some(suspect) => ask_directly(self, &suspect).await,
            None => Asked::Unanswered(None),
        }
    }

    fn suspect(&self, upstream: &Incarnation) -> Option<Suspect> {
        let dispatch = self.dispatch.borrow();
        let UpstreamState { service, address, .. } = dispatch.upstream_state(upstream)?;
        let configuration = dispatch.configuration();
        let service = configuration.and_then(|known| known.services.get(service));
        Some(Suspect {
            upstream: upstream.clone(),
            address: *address,
            is_engine: service.is_some_and(|service| service.engine.is_some()),
            health_path: service.and_then(|service| service.health_path.clone()),
        })
    }

    fn probe_finished(self: &Rc<Self>, upstream: Incarnation, finding: Finding) {
        let suspects = self.probes.borrow_mut().remove(&upstream).unwrap_or_default();
        record_probe(&upstream, finding.as_str(), suspects.len());
        let result = match &finding {
            Finding::Answered => ProbeResult::Answered,
            Finding::Blocked(exit) => ProbeResult::Blocked(exit.clone()),
            Finding::Faulty(_) => ProbeResult::Failed,
            Finding::Unknown => ProbeResult::Unanswered,
        };
        let contents = suspects.iter().map(|suspect| suspect.content).collect();
        match finding {
            Finding::Faulty(Some(sign)) => self.report_crash(&upstream, sign, suspects),
            Finding::Unknown => self.probe_again(&upstream, suspects),
            _ => {}
        }
        self.reach_event(Event::Probed { upstream: upstream.clone(), result });
        self.request_event(match finding {
            Finding::Answered => dispatch::Event::Probed { upstream, contents, sign: None },
            Finding::Faulty(sign) => dispatch::Event::Probed { upstream, contents, sign },
            Finding::Blocked(_) | Finding::Unknown => {
                dispatch::Event::Unjudged { upstream, contents }
            }
        });
    }
}

impl Finding {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Answered | Self::Faulty(None) => "none",
            Self::Blocked(_) => "blocked",
            Self::Faulty(Some(sign)) => sign.as_str(),
            Self::Unknown => "unknown",
        }
    }
}

/// Finds out whether an upstream is alive, and who is at fault if it does not answer.
async fn find(hub: &Rc<Hub>, suspect: &Suspect, scope: ProbeScope) -> Finding {
    let now = hub.clock.now();
    if hub.dispatch.borrow().cooldown_left_ms(now, &suspect.upstream).is_some() {
        // It has just answered.
        return Finding::Answered;
    }
    let mut direct = Box::pin(ask_patiently(hub, suspect));
    let has_exits = !hub.reach.borrow().exits.is_empty();
    if scope == ProbeScope::Direct || !has_exits {
        let asked = direct.await;
        return match asked {
            Asked::Answered => Finding::Answered,
            Asked::Ended => replaced(hub, &suspect.upstream),
            Asked::Unanswered(_) if has_exits => Finding::Unknown,
            // There is no other host.
            Asked::Unanswered(sign) => Finding::Faulty(sign),
        };
    }
    let mut asked = timeout(EXIT_DELAY, &mut direct).await.ok();
    match asked {
        Some(Asked::Answered) => return Finding::Answered,
        Some(Asked::Ended) => return replaced(hub, &suspect.upstream),
        Some(Asked::Unanswered(_)) | None => {}
    }
    let mut through = Box::pin(finding_of_exits(hub, suspect));
    let found = loop {
        tokio::select! {
            biased;
            finished = &mut direct, if asked.is_none() => match finished {
                Asked::Answered => return Finding::Answered,
                finished => asked = Some(finished),
            },
            found = &mut through => break found,
        }
    };
    asked = match found {
        // The first question may have been lost while the upstream was silent for all.
        Finding::Blocked(_) => timeout(DIRECT_GRACE, ask_directly(hub, suspect)).await.ok(),
        _ if asked.is_none() => timeout(PROBE_TIMEOUT, &mut direct).await.ok(),
        _ => asked,
    };
    match (asked, found) {
        (Some(Asked::Answered), _) => Finding::Answered,
        (Some(Asked::Ended), _) => replaced(hub, &suspect.upstream),
        (Some(Asked::Unanswered(sign)), Finding::Faulty(Some(_))) => Finding::Faulty(sign),
        (_, found) => found,
    }
}

/// Returns what other hosts find.
async fn finding_of_exits(hub: &Rc<Hub>, suspect: &Suspect) -> Finding {
    match hub.opinion_of_exits(&suspect.upstream).await {
        Opinion::Answers(exit) => Finding::Blocked(exit),
        Opinion::Ended => replaced(hub, &suspect.upstream),
        Opinion::Silent => Finding::Faulty(Some(CrashSign::Silent)),
        Opinion::Unknown => Finding::Unknown,
    }
}

/// Returns the finding where another incarnation answers: an upstream that may have ended before this host knew it has shown no
/// crash, and what broke the attempts off lives.
fn replaced(hub: &Hub, upstream: &Incarnation) -> Finding {
    let is_unidentified = hub.dispatch.borrow().is_unidentified(hub.clock.now(), upstream);
    Finding::Faulty((!is_unidentified).then_some(CrashSign::Ended))
}

/// Asks an upstream on a new connection. An answer that comes too late for the probe still shows that
/// the path works: a slow upstream is not one that is cut off.
async fn ask_patiently(hub: &Rc<Hub>, suspect: &Suspect) -> Asked {
    let (sender, asked) = oneshot::channel();
    let (asking, suspected) = (hub.clone(), suspect.clone());
    tokio::task::spawn_local(async move {
        let asked = ask_within(&asking, &suspected, LATE_TIMEOUT).await;
        // The probe may be over.
        if sender.send(asked).is_err() && asked == Asked::Answered {
            asking.reach_event(Event::Proven(suspected.upstream));
        }
    });
    let sign = suspect.is_engine.then_some(CrashSign::Silent);
    timeout(PROBE_TIMEOUT, asked).await.ok().and_then(Result::ok).unwrap_or(Asked::Unanswered(sign))
}

/// Asks an upstream on a new connection.
async fn ask_directly(hub: &Rc<Hub>, suspect: &Suspect) -> Asked {
    ask_within(hub, suspect, PROBE_TIMEOUT).await
}

/// Asks an upstream on a new connection, with `limit` as timeout of each step.
async fn ask_within(hub: &Rc<Hub>, suspect: &Suspect, limit: Duration) -> Asked {
    match socket::connect_bounded(suspect.address, limit).await {
        Ok(stream) => ask(hub, suspect, stream, limit).await,
        Err(error) => Asked::Unanswered(Some(connect_error_sign(&error))),
    }
}

/// Asks an upstream on a connection that was just opened.
async fn ask(
    hub: &Rc<Hub>,
    suspect: &Suspect,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    limit: Duration,
) -> Asked {
    let request = match suspect.is_engine {
        true => hub.ports.engine.report_request(&suspect.upstream),
        false => health_request(suspect),
    };
    let request = match request {
        Ok(request) => request,
        Err(error) => {
            log::error!(
                "event=request_not_built call=probe upstream={} error=\"{error}\"",
                suspect.upstream
            );
            return Asked::Unanswered(None);
        }
    };
    let asked_at = hub.clock.now();
    let exchange = exchange(stream, request, suspect.address);
    match timeout(limit, exchange).await {
        Ok(Reply::Response(response)) if suspect.is_engine => {
            judge_report(hub, suspect, response).await
        }
        Ok(Reply::Response(_)) => Asked::Answered,
        // It has not crashed, and has not answered.
        Ok(Reply::Malformed) => Asked::Unanswered(None),
        Ok(Reply::Missing) | Err(_) if suspect.is_engine => {
            Asked::Unanswered(Some(CrashSign::Silent))
        }
        // A service that is busy may need longer, or close the connection.
        Ok(Reply::Missing) | Err(_) => {
            let is_closed = hub.clock.now().since(asked_at) <= CLOSE_MS;
            Asked::Unanswered(is_closed.then_some(CrashSign::Silent))
        }
    }
}

/// Returns a request that any service answers without running anything.
fn health_request(suspect: &Suspect) -> Built {
    let (method, path) = match &suspect.health_path {
        Some(path) => (Method::GET, &**path),
        None => (Method::OPTIONS, "*"),
    };
    #[expect(clippy::disallowed_methods, reason = "the path stands in the configuration")]
    let request = Request::builder().method(method).uri(path).body(Bytes::new());
    request.map_err(|error| RequestError::new("target", error))
}

/// What came in reply to a request.
enum Reply {
    Response(Response<Incoming>),
    /// Bytes that are no answer.
    Malformed,
    /// The connection ended before an answer.
    Missing,
}

async fn exchange(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    mut request: Request<Bytes>,
    address: SocketAddr,
) -> Reply {
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    let Ok(mut sender) = pool::start(stream).await else {
        return Reply::Missing;
    };
    match sender.send_request(request.map(Full::new)).await {
        Ok(response) => Reply::Response(response),
        Err(_) if sender.malformed().is_some() => Reply::Malformed,
        Err(_) => Reply::Missing,
    }
}

/// Judges the answer to a report request.
async fn judge_report(hub: &Rc<Hub>, suspect: &Suspect, response: Response<Incoming>) -> Asked {
    match response.status() {
        StatusCode::MISDIRECTED_REQUEST => return Asked::Ended,
        // A front proxy may answer like this in place of an upstream that is gone.
        status if status.is_server_error() => return Asked::Unanswered(Some(CrashSign::Silent)),
        _ => {}
    }
    let body = match timeout(PROBE_TIMEOUT, hub.body_room.read(response.into_body())).await {
        Ok(Ok(body)) => body,
        Ok(Err(body_room::Error::Broken(_))) | Err(_) => {
            return Asked::Unanswered(Some(CrashSign::Silent));
        }
        Ok(Err(body_room::Error::TooLong | body_room::Error::NoRoom)) => {
            return Asked::Unanswered(None);
        }
    };
    let Ok(report) = hub.ports.engine.read_report(&body) else {
        return Asked::Unanswered(None);
    };
    match (report.born, suspect.upstream.born) {
        (Some(born), Some(known)) if born != known => Asked::Ended,
        (Some(_), Some(_)) => {
            hub.upstream_identified(suspect.upstream.clone());
            Asked::Answered
        }
        _ => Asked::Answered,
    }
}

fn connect_error_sign(error: &std::io::Error) -> CrashSign {
    if error.kind() == ErrorKind::ConnectionRefused { CrashSign::Ended } else { CrashSign::Silent }
}
