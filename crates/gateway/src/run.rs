//! Process lifecycle: start, reload, planned stop.

use crate::{
    evacuations::EvacuationFeedHandler,
    exit::{TunnelCall, TunnelEvent},
    feed::Feed,
    hub::{Hub, HubParts, Stage},
    inbox::{self, InboxSender},
    listener,
    peers::{self, PeerFeedHandler},
    reader, registration,
    settings::Settings,
    status::{self, Status},
    store::Snapshot,
    telemetry,
    upstreams::UpstreamFeedHandler,
    watch::FeedHandler,
};
use anyhow::Context;
use socket2::{Domain, Protocol, Socket, Type};
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    task::{LocalSet, spawn_local},
    time::{interval, sleep},
};
use vanetally_callers::Callers;
use vanetally_link::{
    peer::{self, Links},
    socket,
};
use vanetally_placement::OrderLeaseEvent;
use vanetally_ports::{Change, Ports};
use vanetally_types::{HostId, Name};

/// Interval of the periodic checks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const _: () = assert!(
    TICK_INTERVAL.as_millis() <= vanetally_quota::SERVE_INTERVAL_MS as u128,
    "the grantor serves its queues with each tick"
);
/// Interval at which the time limits on callers are applied.
const CALLER_CHECK_INTERVAL_MS: u64 = 200;
/// Interval of the housekeeping.
const UPKEEP_INTERVAL_MS: u64 = 1_000;
/// Interval of the log line that counts store calls.
const CALL_LOG_INTERVAL_MS: u64 = 5_000;
/// Maximum size of a message between hosts.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Size of the system's receive buffer of a caller's connection. The system takes up to twice as much.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1_024;
/// Fraction of the grace period after which idle connections are closed.
const CLOSE_FRACTION: f64 = 0.55;
/// Fraction of the grace period after which the process exits, even if requests are still open.
const EXIT_FRACTION: f64 = 0.95;

/// Runs until a planned stop. `build` identifies the program's build, `reload` reads the settings
/// again.
///
/// # Errors
/// If a socket can't be opened or the runtime can't be created.
pub fn run(
    build: &'static str,
    settings: Settings,
    reload: impl Fn() -> anyhow::Result<Settings> + 'static,
    ports: Ports,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(build, settings, reload, ports))
}

async fn serve(
    build: &'static str,
    settings: Settings,
    reload: impl Fn() -> anyhow::Result<Settings> + 'static,
    ports: Ports,
) -> anyhow::Result<()> {
    let metrics = telemetry::try_install()?;
    let (sender, messages) = inbox::create();
    let (broken_sender, broken) = mpsc::unbounded_channel();
    let (tunnel_sender, tunnels) = mpsc::unbounded_channel();
    let links = start_links(&settings, sender, broken_sender, tunnel_sender.clone())?;
    let callers = listen(settings.listen).context("callers")?;
    let status_addresses = [settings.ready, settings.metrics];
    log::info!(
        "event=start host={} domain={} listen={} build={build}",
        settings.host,
        settings.domain,
        settings.listen
    );
    telemetry::build_info(build);
    let hub =
        Hub::new(HubParts { settings: settings.clone(), ports, links, tunnels: tunnel_sender });
    let status_callers = Callers::new(hub.clock, status::LIMITS);
    let status = Rc::new(Status { hub: hub.clone(), metrics, callers: status_callers });
    for address in status_addresses.into_iter().flatten() {
        let listener = listen(address).context("readiness and metrics")?;
        spawn_local(status::serve(status.clone(), listener));
    }
    start_feeds(&hub);
    spawn_local(registration::register(hub.clone()));
    spawn_local(messages.run(hub.clone()));
    spawn_local(links_broken(hub.clone(), broken));
    spawn_local(serve_tunnels(hub.clone(), tunnels));
    spawn_local(listener::accept(hub.clone(), callers));
    spawn_local(run_timers(hub.clone(), status.clone()));
    spawn_local(reload_on_hangup(settings, reload));
    planned_stop(&hub).await
}

fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    // Accepted connections inherit it.
    socket::bound_buffers(&socket, RECEIVE_BUFFER_BYTES);
    socket.bind(&address.into()).with_context(|| format!("bind {address}"))?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into())?)
}

fn start_links(
    settings: &Settings,
    messages: InboxSender,
    broken: mpsc::UnboundedSender<Name>,
    tunnels: mpsc::UnboundedSender<TunnelEvent>,
) -> anyhow::Result<Links> {
    let address = SocketAddr::new(settings.ip, settings.link_port);
    let listener =
        std::net::TcpListener::bind(address).with_context(|| format!("bind {address}"))?;
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let me = HostId::new(settings.host.clone(), incarnation.as_millis() as u64);
    let options = peer::Options {
        host_id: me,
        key: settings.link_key.clone(),
        max_message_bytes: MAX_MESSAGE_BYTES,
    };
    Links::try_start(listener, options, move |event| match event {
        peer::Event::Message { from, bytes } => {
            let Some(message) = peer::decode(&bytes) else {
                // Expected during an upgrade between versions with different messages.
                return log::warn!(
                    "event=message_unreadable from={} bytes={}",
                    from.name,
                    bytes.len()
                );
            };
            messages.put(from.name, message);
        }
        peer::Event::Broken { to } => {
            log::info!("event=link_broken to={to}");
            let _ = broken.send(to);
        }
        peer::Event::Tunnel { from, request, decide } => {
            let call = TunnelCall { from: from.name, request, decide };
            let _ = tunnels.send(TunnelEvent::Requested(call));
        }
    })
}

fn start_feeds(hub: &Rc<Hub>) {
    let upstreams = Rc::new(UpstreamFeedHandler::new(hub.clone()));
    let peers = Rc::new(PeerFeedHandler { hub: hub.clone() });
    let evacuations = Rc::new(EvacuationFeedHandler::new(hub.clone()));
    let configuration = Rc::new(ConfigurationFeedHandler { hub: hub.clone() });
    // The configuration may be large, so it is read last.
    let feeds = [
        Feed::shared(hub.ports.upstreams.prefix().into(), upstreams),
        Feed::shared(peers::PRODUCT_PREFIX.into(), peers),
        Feed::optional(hub.ports.evacuations.prefix().into(), evacuations),
        Feed::store_only(hub.ports.configuration.key().into(), configuration),
    ];
    hub.feeds.borrow_mut().extend(feeds.map(Rc::new));
    spawn_local(reader::run(hub.clone()));
}

/// Handles changes of the configuration key.
struct ConfigurationFeedHandler {
    hub: Rc<Hub>,
}

impl FeedHandler for ConfigurationFeedHandler {
    fn replaced(&self, snapshot: Snapshot) {
        let key = self.hub.ports.configuration.key();
        if let Some(item) = snapshot.items.iter().find(|item| &*item.key == key) {
            self.hub.apply_configuration(&item.value, "store");
        }
    }

    fn changed(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Put(item) if &*item.key == self.hub.ports.configuration.key() => {
                    self.hub.apply_configuration(&item.value, "store");
                }
                // The removal of the configuration does not replace the one in force.
                Change::Put(_) | Change::Deleted { .. } => {}
            }
        }
    }

    fn lost(&self) {}
}

/// Informs the source selection of hosts that can't be reached, once their links have dropped what was queued.
async fn links_broken(hub: Rc<Hub>, mut broken: mpsc::UnboundedReceiver<Name>) {
    while let Some(host) = broken.recv().await {
        let hub = hub.clone();
        spawn_local(async move {
            sleep(TICK_INTERVAL).await;
            hub.source_event(vanetally_fanout::Event::Unreachable(host));
        });
    }
}

/// Handles what concerns the tunnels of other hosts.
async fn serve_tunnels(hub: Rc<Hub>, mut events: mpsc::UnboundedReceiver<TunnelEvent>) {
    while let Some(event) = events.recv().await {
        hub.tunnel_event(event);
    }
}

/// Runs the periodic tasks.
async fn run_timers(hub: Rc<Hub>, status: Rc<Status>) {
    let mut tick = interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let started = hub.clock.now();
    let (mut upkeep_at, mut callers_at) = (started, started);
    let mut calls_at = started + CALL_LOG_INTERVAL_MS;
    loop {
        tick.tick().await;
        hub.tick();
        let now = hub.clock.now();
        if now >= callers_at {
            callers_at = now + CALLER_CHECK_INTERVAL_MS;
            hub.callers.tick(hub.caller_timeouts());
            status.callers.tick(status::TIMEOUTS);
        }
        if now >= hub.next_load.get() {
            hub.send_load();
        }
        if now >= upkeep_at {
            upkeep_at = now + UPKEEP_INTERVAL_MS;
            hub.upkeep();
            status.metrics.run_upkeep();
        }
        if now >= calls_at {
            calls_at = now + CALL_LOG_INTERVAL_MS;
            hub.store.log_calls();
        }
    }
}

/// Reads the settings again on SIGHUP. Changes take effect after a restart.
async fn reload_on_hangup(settings: Settings, reload: impl Fn() -> anyhow::Result<Settings>) {
    let Ok(mut signals) = signal(SignalKind::hangup()) else {
        return log::error!("event=signal_unavailable signal=hangup");
    };
    while signals.recv().await.is_some() {
        match reload() {
            Ok(new) if new == settings => log::info!("event=settings_reloaded changed=false"),
            Ok(_) => log::warn!("event=settings_reloaded changed=true in_force=after_restart"),
            Err(error) => log::error!("event=settings_unreadable error=\"{error:#}\""),
        }
    }
}

/// Ends the lease of this host's key, which removes the key from the store.
async fn end_host_lease(hub: Rc<Hub>) {
    let lease = *hub.host_lease.borrow();
    if let Some(lease) = lease {
        // If the call fails, the lease expires by itself.
        let _ = hub.store.end(lease).await;
    }
}

/// Waits for a termination signal, then performs the planned stop.
async fn planned_stop(hub: &Rc<Hub>) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let started = hub.clock.now();
    let after = |fraction: f64| started + (hub.settings.bounds.grace_ms as f64 * fraction) as u64;
    log::info!("event=stop_begun open_requests={}", hub.open_requests());
    hub.stage.send_replace(Stage::Leaving);
    hub.served_tunnels.stop();
    hub.request_event(vanetally_dispatch::Event::Stopping);
    hub.order_lease_event(OrderLeaseEvent::Stop);
    while hub.clock.now() < after(CLOSE_FRACTION) {
        sleep(TICK_INTERVAL).await;
    }
    hub.stage.send_replace(Stage::Closing);
    spawn_local(end_host_lease(hub.clone()));
    let is_in_use = || {
        let is_asked = hub.open_requests() > 0 || hub.served_tunnels.open() > 0;
        // Callers still take answers that are complete here.
        is_asked || hub.callers.counts().answering > 0
    };
    while is_in_use() && hub.clock.now() < after(EXIT_FRACTION) {
        sleep(TICK_INTERVAL).await;
    }
    let (open_requests, tunnels) = (hub.open_requests(), hub.served_tunnels.open());
    let unread = hub.callers.counts().answering;
    log::info!("event=stop_ended open_requests={open_requests} tunnels={tunnels} unread={unread}");
    // Let responses that were just finished reach their sockets, and queued lines the log.
    sleep(TICK_INTERVAL * 2).await;
    Ok(())
}
