//! Tunnels to upstreams: those that this host opens through exits, and those that other hosts open
//! through this one.

use crate::{hub::Hub, telemetry};
use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc};
use tokio::sync::watch;
use vanetally_link::tunnel::{
    ByteStream, Tunnel, TunnelDecision, TunnelError, TunnelRefusal, TunnelRequest, TunnelTarget,
};
use vanetally_reach::ExitFailure;
use vanetally_types::{Incarnation, Name};

/// Maximum number of hosts that are asked for one tunnel.
const MAX_EXITS: usize = 5;
/// Number of hosts whose failure to reach an upstream shows that it is at fault: a single one may have
/// lost its path to the same upstream.
const MIN_UNREACHED: usize = 2;
/// Share of the process's memory that the tunnels of other hosts may use, as a divisor, and the
/// memory of one tunnel.
const MEMORY_DIVISOR: u64 = 16;
const TUNNEL_BYTES: u64 = 48 << 10;
/// Maximum number of tunnels of other hosts if the memory is not stated.
const DEFAULT_MAX_TUNNELS: usize = 256;
/// Time since an upstream was heard within which this host is sure to reach upstreams.
const HEARD_MS: u64 = 300;

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
    /// Whether the exit has heard an upstream just before, so that it is not cut off itself.
    pub is_sure: bool,
}

/// Counts a tunnel through an exit as open until dropped.
pub(crate) struct OpenTunnel {
    hub: Rc<Hub>,
    pub exit: Name,
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.hub.reach.borrow_mut().exits.closed(&self.exit);
    }
}

/// The tunnels of other hosts through this one.
pub(crate) struct ServedTunnels {
    max: usize,
    /// Cloned for each open tunnel.
    counter: Arc<()>,
    /// Dropping a sender closes the tunnels to its upstream.
    upstreams: RefCell<HashMap<Incarnation, watch::Sender<()>>>,
}

impl ServedTunnels {
    /// Creates the state of a process that may use `memory_bytes`, if stated.
    pub(crate) fn new(memory_bytes: Option<u64>) -> Self {
        let by_memory = |bytes: u64| (bytes / MEMORY_DIVISOR / TUNNEL_BYTES) as usize;
        Self {
            max: memory_bytes.map_or(DEFAULT_MAX_TUNNELS, by_memory),
            counter: Arc::default(),
            upstreams: RefCell::default(),
        }
    }

    /// Returns the number of open tunnels.
    pub(crate) fn open(&self) -> usize {
        Arc::strong_count(&self.counter) - 1
    }

    /// Closes the tunnels to an upstream.
    pub(crate) fn close(&self, upstream: &Incarnation) {
        self.upstreams.borrow_mut().remove(upstream);
    }

    /// Forgets the upstreams without a tunnel.
    pub(crate) fn sweep(&self) {
        self.upstreams.borrow_mut().retain(|_, closer| closer.receiver_count() > 0);
    }

    fn watch(&self, upstream: &Incarnation) -> watch::Receiver<()> {
        let mut upstreams = self.upstreams.borrow_mut();
        let closer = upstreams.entry(upstream.clone()).or_insert_with(|| watch::Sender::new(()));
        closer.subscribe()
    }
}

impl Hub {
    /// Opens a tunnel to an upstream through the first exit that can, other than those in `tried`, to
    /// which the exits that were asked are added.
    pub(crate) async fn open_tunnel(
        self: &Rc<Self>,
        upstream: &Incarnation,
        tried: &mut Vec<Name>,
    ) -> Result<Opened, NoTunnel> {
        if self.reach.borrow().exits.is_empty() {
            return Err(NoTunnel::NoHosts);
        }
        let request = TunnelRequest { upstream: upstream.clone() };
        let mut unreached = 0;
        while tried.len() < MAX_EXITS && unreached < MIN_UNREACHED {
            let now = self.clock.now();
            let exit = self.reach.borrow_mut().exits.choose(now, tried);
            let Some(exit) = exit else {
                break;
            };
            tried.push(exit.clone());
            let link = self.peers.borrow().get(&exit).map(|entry| entry.link);
            let Some(link) = link else {
                continue;
            };
            let error = match self.links.open_tunnel(&exit, link, &request).await {
                Ok(Tunnel { stream, is_sure }) => {
                    self.reach.borrow_mut().exits.opened(self.clock.now(), &exit);
                    telemetry::tunnel_opened(true);
                    let tunnel = OpenTunnel { hub: self.clone(), exit };
                    return Ok(Opened { stream, tunnel, is_sure });
                }
                Err(error) => error,
            };
            log::debug!("event=tunnel_refused upstream={upstream} exit={exit} reason=\"{error}\"");
            match exit_failure(error) {
                Some(failure) => {
                    let now = self.clock.now();
                    self.reach.borrow_mut().exits.failed(now, &exit, failure);
                }
                None if error == TunnelError::Refused(TunnelRefusal::Unreachable) => unreached += 1,
                None => {}
            }
        }
        let reason = if unreached > 0 { NoTunnel::Unreachable } else { NoTunnel::Unknown };
        telemetry::tunnel_opened(false);
        let tried = tried.len();
        log::info!(
            "event=tunnel_failed upstream={upstream} tried={tried} reason={}",
            reason.as_str()
        );
        Err(reason)
    }

    /// Decides on a tunnel that another host wants to open through this one.
    pub(crate) fn decide_tunnel(
        &self,
        from: &Name,
        request: &TunnelRequest,
        decide: TunnelDecision,
    ) {
        let decision = self.tunnel_target(&request.upstream);
        let outcome = decision.as_ref().map_or_else(|refusal| refusal.to_string(), |_| "ok".into());
        telemetry::tunnel_served(decision.is_ok());
        log::debug!(
            "event=tunnel_asked upstream={} by={from} outcome=\"{outcome}\"",
            request.upstream
        );
        // The link may have broken meanwhile.
        let _ = decide.send(decision);
    }

    fn tunnel_target(&self, upstream: &Incarnation) -> Result<TunnelTarget, TunnelRefusal> {
        let now = self.clock.now();
        let served = &self.served_tunnels;
        let dispatch = self.dispatch.borrow();
        let state = dispatch.upstream_state(upstream).ok_or(TunnelRefusal::Unknown)?;
        let reach = self.reach.borrow();
        if self.is_leaving() {
            return Err(TunnelRefusal::Leaving);
        }
        if !reach.may_exit(now, upstream) {
            return Err(TunnelRefusal::CutOff);
        }
        if served.open() >= served.max {
            return Err(TunnelRefusal::Busy);
        }
        let is_sure = reach.unheard_ms(now).is_some_and(|ms| ms <= HEARD_MS);
        Ok(TunnelTarget {
            address: state.address,
            on_failure: if is_sure { TunnelRefusal::Unreachable } else { TunnelRefusal::CutOff },
            is_sure,
            closed: served.watch(upstream),
            guard: Box::new(served.counter.clone()),
        })
    }
}

/// Returns what an error says of the exit; `None` if it concerns one upstream only.
fn exit_failure(error: TunnelError) -> Option<ExitFailure> {
    match error {
        TunnelError::NoExit => Some(ExitFailure::Silent),
        TunnelError::Refused(TunnelRefusal::CutOff) => Some(ExitFailure::CutOff),
        TunnelError::Refused(TunnelRefusal::Busy) => Some(ExitFailure::Busy),
        TunnelError::Refused(TunnelRefusal::Leaving) => Some(ExitFailure::Leaving),
        TunnelError::Refused(TunnelRefusal::Unreachable | TunnelRefusal::Unknown) => None,
    }
}
