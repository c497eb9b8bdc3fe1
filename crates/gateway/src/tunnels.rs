//! Tunnels to upstreams that this host opens through exits.

use crate::{hub::Hub, telemetry};
use futures_util::{StreamExt, stream::FuturesUnordered};
use std::rc::Rc;
use vanetally_link::tunnel::{
    ByteStream, StopNotice, Tunnel, TunnelError, TunnelRefusal, TunnelRequest,
};
use vanetally_reach::{Event, ExitFailure};
use vanetally_types::{Incarnation, Name};

/// Maximum number of hosts that are asked for one tunnel.
const MAX_EXITS: usize = 5;
/// Number of hosts whose failure to reach an upstream shows that it is at fault: a single one may have
/// lost its path to the same upstream.
const MIN_UNREACHED: usize = 2;
/// Why no tunnel could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoTunnel {
    /// There is no other host.
    NoHosts,
    /// A host that reaches other upstreams does not reach this one.
    Unreachable,
    /// No host could tell.
    Unknown,
}

impl NoTunnel {
    fn as_str(self) -> &'static str {
        match self {
            Self::NoHosts => "no_hosts",
            Self::Unreachable => "unreachable",
            Self::Unknown => "unknown",
        }
    }
}

/// A tunnel that was opened.
pub(crate) struct Opened {
    pub stream: Box<dyn ByteStream>,
    pub tunnel: OpenTunnel,
}

/// Counts a tunnel through an exit as open until dropped.
pub(crate) struct OpenTunnel {
    hub: Rc<Hub>,
    pub exit: Name,
    notice: StopNotice,
}

impl OpenTunnel {
    /// Whether the tunnel may carry another request. An exit that stops waits until
    /// its tunnels are closed.
    pub(crate) fn may_reuse(&self) -> bool {
        !self.notice.is_given() && self.hub.peers.borrow().contains_key(&self.exit)
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.hub.reach.borrow_mut().exits.closed(&self.exit);
    }
}

/// What other hosts say of an upstream that does not answer this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Opinion {
    /// It answers this host.
    Answers(Name),
    /// Its incarnation has ended.
    Ended,
    /// It does not answer hosts that reach others.
    Silent,
    /// No host could tell.
    Unknown,
}

/// The hosts that reach others, but not an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Unreached {
    count: usize,
    /// Whether one of them belongs to another failure domain.
    is_elsewhere: bool,
}

impl Unreached {
    fn suffices(self) -> bool {
        self.count >= MIN_UNREACHED
    }

    /// Whether the upstream is at fault. The hosts of one failure domain may all have lost their path to
    /// it, so one of another domain must confirm it if there is any.
    fn is_conclusive(self, has_elsewhere: bool) -> bool {
        self.count > 0 && (self.is_elsewhere || !has_elsewhere)
    }
}

impl Hub {
    /// Opens a tunnel to an upstream through the first exit that can.
    pub(crate) async fn open_tunnel(
        self: &Rc<Self>,
        upstream: &Incarnation,
    ) -> Result<Opened, NoTunnel> {
        if self.reach.borrow().exits.is_empty() {
            return Err(NoTunnel::NoHosts);
        }
        let request = TunnelRequest { upstream: upstream.clone(), must_probe: false };
        let mut tried = Vec::new();
        let mut unreached = Unreached::default();
        while !unreached.suffices()
            && let Some(exit) = self.next_exit(&mut tried, unreached.count > 0)
        {
            match self.ask_exit(&exit, &request).await {
                Ok(Tunnel { stream, notice }) => {
                    telemetry::tunnel_opened(true);
                    let tunnel = OpenTunnel { hub: self.clone(), exit, notice };
                    return Ok(Opened { stream, tunnel });
                }
                Err(TunnelError::Refused(TunnelRefusal::Unreachable | TunnelRefusal::Ended)) => {
                    self.record_unreached(&mut unreached, &exit);
                }
                Err(_) => {}
            }
        }
        let is_judged = unreached.is_conclusive(self.reach.borrow().exits.has_elsewhere());
        let reason = if is_judged { NoTunnel::Unreachable } else { NoTunnel::Unknown };
        telemetry::tunnel_opened(false);
        let tried = tried.len();
        log::info!(
            "event=tunnel_failed upstream={upstream} tried={tried} reason={}",
            reason.as_str()
        );
        Err(reason)
    }

    /// Asks other hosts whether an upstream answers them, two at the same time: a single one may have
    /// lost its path to the same upstream.
    pub(crate) async fn opinion_of_exits(self: &Rc<Self>, upstream: &Incarnation) -> Opinion {
        let request = TunnelRequest { upstream: upstream.clone(), must_probe: true };
        let mut tried = Vec::new();
        let mut unreached = Unreached::default();
        let mut asked = FuturesUnordered::new();
        loop {
            while asked.len() + unreached.count < MIN_UNREACHED
                && let Some(exit) = self.next_exit(&mut tried, asked.len() + unreached.count > 0)
            {
                let (hub, request) = (self.clone(), request.clone());
                asked.push(async move {
                    let answer = hub.ask_exit(&exit, &request).await;
                    // What was opened is not needed.
                    (answer.map(|opened| hub.close_tunnel(&exit, opened)), exit)
                });
            }
            let Some((answer, exit)) = asked.next().await else {
                let has_elsewhere = self.reach.borrow().exits.has_elsewhere();
                let is_judged = unreached.is_conclusive(has_elsewhere);
                return if is_judged { Opinion::Silent } else { Opinion::Unknown };
            };
            match answer {
                Ok(()) => return Opinion::Answers(exit),
                Err(TunnelError::Refused(TunnelRefusal::Ended)) => return Opinion::Ended,
                Err(TunnelError::Refused(TunnelRefusal::Unreachable)) => {
                    self.record_unreached(&mut unreached, &exit);
                }
                Err(_) => {}
            }
        }
    }

    /// Closes a tunnel that was only opened to see whether it can be.
    fn close_tunnel(&self, exit: &Name, opened: Tunnel) {
        drop(opened);
        self.reach.borrow_mut().exits.closed(exit);
    }

    fn record_unreached(&self, unreached: &mut Unreached, exit: &Name) {
        unreached.count += 1;
        unreached.is_elsewhere |= self.reach.borrow().exits.is_elsewhere(exit);
    }

    /// Asks an exit through which nothing comes whether it still reaches an upstream.
    pub(crate) fn check_exit(self: &Rc<Self>, exit: Name, upstream: Incarnation) {
        let hub = self.clone();
        tokio::task::spawn_local(async move {
            let request = TunnelRequest { upstream, must_probe: true };
            let works = match hub.ask_exit(&exit, &request).await {
                Ok(opened) => {
                    hub.close_tunnel(&exit, opened);
                    true
                }
                Err(error) => exit_failure(error).is_none_or(|failure| !failure.is_silent()),
            };
            if !works {
                log::info!("event=exit_silent exit={exit}");
                hub.pool.drop_tunnels(&exit);
            }
            hub.reach_event(Event::ExitChecked { exit, works });
        });
    }

    /// Returns the exit to ask next, and adds it to those that were `tried`; if `is_second`, one of
    /// another failure domain if there is any.
    fn next_exit(&self, tried: &mut Vec<Name>, is_second: bool) -> Option<Name> {
        if tried.len() >= MAX_EXITS {
            return None;
        }
        let (now, exits) = (self.clock.now(), &mut self.reach.borrow_mut().exits);
        let exit = match is_second {
            true => exits.choose_elsewhere(now, tried)?,
            false => exits.choose(now, tried)?,
        };
        tried.push(exit.clone());
        Some(exit)
    }

    /// Asks one exit for a tunnel, and records what its answer says of it. An open tunnel counts until
    /// its [`OpenTunnel`] is dropped.
    async fn ask_exit(&self, exit: &Name, request: &TunnelRequest) -> Result<Tunnel, TunnelError> {
        let link = self.peers.borrow().get(exit).map(|entry| entry.link);
        let link = link.ok_or(TunnelError::NoExit)?;
        let answer = self.links.open_tunnel(exit, link, request).await;
        let now = self.clock.now();
        match &answer {
            Ok(_) => self.reach.borrow_mut().exits.opened(now, exit),
            Err(error) => {
                let upstream = &request.upstream;
                log::debug!(
                    "event=tunnel_refused upstream={upstream} exit={exit} reason=\"{error}\""
                );
                if let Some(failure) = exit_failure(*error) {
                    self.reach.borrow_mut().exits.failed(now, exit, failure);
                }
            }
        }
        answer
    }
}

/// Returns what an error says of the exit; `None` if it concerns one upstream only.
fn exit_failure(error: TunnelError) -> Option<ExitFailure> {
    match error {
        TunnelError::NoExit => Some(ExitFailure::Silent),
        TunnelError::Refused(TunnelRefusal::CutOff) => Some(ExitFailure::CutOff),
        TunnelError::Refused(TunnelRefusal::Busy) => Some(ExitFailure::Busy),
        TunnelError::Refused(TunnelRefusal::Leaving) => Some(ExitFailure::Leaving),
        TunnelError::Refused(
            TunnelRefusal::Unreachable
            | TunnelRefusal::Ended
            | TunnelRefusal::NotConnected
            | TunnelRefusal::Unknown,
        ) => None,
    }
}
