//! Connections to upstreams for the requests of callers: direct ones, or tunnels through other hosts.

use crate::{
    hub::Hub,
    pool::{self, Connection},
    probing::Asked,
    telemetry,
    tunnels::{NoTunnel, Opened},
};
use std::{cell::Cell, rc::Rc, time::Duration};
use vanetally_dispatch::{Attempt, AttemptEnd};
use vanetally_reach::{Event, Path};
use vanetally_types::Name;

/// Timeout of a direct connection where an exit can be used instead.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns a connection for an attempt at the request `name`, a pooled one if `may_reuse`.
///
/// A connection that has carried the request before is not used for it again: its answer could not be told from a copy of
/// the earlier one.
///
/// Nothing was sent to the upstream if there is none; the error says what that means for the upstream.
pub(crate) async fn connect_upstream(
    hub: &Rc<Hub>,
    attempt: &Attempt,
    name: &Name,
    may_reuse: bool,
) -> Result<Connection, AttemptEnd> {
    let path = hub.reach.borrow().path(hub.clock.now(), &attempt.upstream);
    if may_reuse && let Some(idle) = take_idle(hub, attempt, name, path) {
        return Ok(idle);
    }
    hub.reach_event(Event::Connecting(attempt.upstream.clone()));
    let path = hub.reach.borrow().new_path(hub.clock.now(), &attempt.upstream);
    match path {
        Path::Direct => match connect_directly(hub, attempt).await {
            Err(end) if end != AttemptEnd::NoPath && !has_failed(hub, attempt) => {
                connect_through_exit(hub, attempt).await.map_err(|failure| end_of(failure, end))
            }
            connected => connected,
        },
        Path::Exit => match connect_through_exit(hub, attempt).await {
            Ok(connection) => Ok(connection),
            // The cut may be over, or no host may be free to help.
            Err(failure) if may_send_directly(hub, attempt).await => {
                let connected = connect_directly(hub, attempt).await;
                connected.map_err(|end| end_of(failure, end))
            }
            Err(failure) => Err(end_of(failure, no_path(hub))),
        },
    }
}

/// Returns a pooled connection by `path` that has not carried the request `name`.
fn take_idle(hub: &Hub, attempt: &Attempt, name: &Name, path: Path) -> Option<Connection> {
    let passed_over = Cell::new(0);
    let idle = hub.pool.take_idle(attempt.address, attempt.may_repeat, |connection| {
        let is_by_path = connection.path() == path;
        let has_carried = is_by_path && connection.carried.contains(name);
        passed_over.set(passed_over.get() + u32::from(has_carried));
        is_by_path && !has_carried
    });
    if passed_over.get() > 0 {
        telemetry::connections_passed_over(idle.is_some());
    }
    idle
}

/// Returns the end of an attempt for which there is no path.
fn no_path(hub: &Hub) -> AttemptEnd {
    match hub.reach.borrow().is_cut_off(hub.clock.now()) {
        true => AttemptEnd::CutOff,
        false => AttemptEnd::NoPath,
    }
}

/// Whether a request may be sent directly to an upstream whose path is in doubt. One that is lost could not
/// be said not to have run.
async fn may_send_directly(hub: &Rc<Hub>, attempt: &Attempt) -> bool {
    {
        let (now, reach) = (hub.clock.now(), hub.reach.borrow());
        // These paths are probed anyway.
        if reach.is_blocked(&attempt.upstream) || reach.is_widely_doubtful(now) {
            return false;
        }
        // A single upstream may just be busy, and take no question before its answer.
        if reach.is_doubtful(now) {
            return true;
        }
    }
    let is_answered = hub.ask_directly(&attempt.upstream).await == Asked::Answered;
    if is_answered {
        hub.reach_event(Event::Proven(attempt.upstream.clone()));
    }
    is_answered
}

fn has_failed(hub: &Hub, attempt: &Attempt) -> bool {
    hub.reach.borrow().has_failed(hub.clock.now(), &attempt.upstream)
}

/// Returns what it means for the upstream if a direct connection failed with `end` and no tunnel could
/// be opened.
fn end_of(failure: NoTunnel, end: AttemptEnd) -> AttemptEnd {
    match failure {
        // Only this host can judge.
        NoTunnel::NoHosts => end,
        NoTunnel::Unreachable => AttemptEnd::Unreachable,
        NoTunnel::Unknown if end == AttemptEnd::CutOff => end,
        NoTunnel::Unknown => AttemptEnd::NoPath,
    }
}

async fn connect_directly(hub: &Rc<Hub>, attempt: &Attempt) -> Result<Connection, AttemptEnd> {
    let (address, max_open) = (attempt.address, attempt.connections);
    let has_exits = !hub.reach.borrow().exits.is_empty();
    let limit = if has_exits { DIRECT_TIMEOUT } else { vanetally_link::socket::CONNECT_TIMEOUT };
    match hub.pool.connect_within(address, max_open, limit).await {
        Ok(connection) => Ok(connection),
        Err(error) => {
            log::info!("event=connect_failed upstream={} error=\"{error}\"", attempt.upstream);
            // The bound on this host's own connections says nothing of the upstream.
            if matches!(error, pool::Error::Exhausted) {
                return Err(AttemptEnd::NoPath);
            }
            hub.reach_event(Event::ConnectFailed(attempt.upstream.clone()));
            Err(AttemptEnd::Unreachable)
        }
    }
}

async fn connect_through_exit(hub: &Rc<Hub>, attempt: &Attempt) -> Result<Connection, NoTunnel> {
    let open = hub.pool.open(attempt.address, attempt.connections);
    let open = open.map_err(|_| NoTunnel::Unknown)?;
    let Opened { stream, tunnel } = hub.open_tunnel(&attempt.upstream).await?;
    let connected = hub.pool.connect_through(open, stream, tunnel).await;
    connected.map_err(|error| {
        log::info!("event=connect_failed upstream={} error=\"{error}\"", attempt.upstream);
        NoTunnel::Unknown
    })
}
