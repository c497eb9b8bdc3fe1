//! The life of the process: start, reload, planned stop.

use crate::{
    feed::Feed,
    front,
    hub::{Hub, Parts, Stage},
    peers::{self, PeerFollower, PeerMessage},
    reader, registration,
    settings::Settings,
    status::{self, Status},
    store::Snapshot,
    telemetry,
    upstreams::UpstreamFollower,
    watch::Follower,
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
use vanetally_link::peer::{self, Links};
use vanetally_placement::OrderLeaseEvent;
use vanetally_ports::{Change, Ports};
use vanetally_types::{HostId, Name};

/// Time passes for the decisions this often.
const TICK: Duration = Duration::from_millis(20);
/// Housekeeping, in milliseconds.
const UPKEEP_MS: u64 = 1_000;
/// Between two log lines on the calls to the store, in milliseconds.
const LOG_CALLS_MS: u64 = 5_000;
/// Largest message between hosts, in bytes.
const MOST_MESSAGE: usize = 4 << 20;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Share of a planned stop after which connections at rest are closed.
const CLOSE_SHARE: f64 = 0.55;
/// Share of a planned stop after which the process ends, whatever still runs.
const END_SHARE: f64 = 0.95;

/// Runs until a planned stop. `build` tells this program from others, `reload` reads the settings anew.
///
/// # Errors
/// If a socket can't be opened or the runtime can't be made.
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
    let (messages, inbox) = mpsc::unbounded_channel();
    let links = links(&settings, messages)?;
    let front = listen(settings.listen).context("callers")?;
    let status_addresses = [settings.ready, settings.metrics];
    log::info!(
        "event=start host={} domain={} listen={} build={build}",
        settings.host,
        settings.domain,
        settings.listen
    );
    telemetry::built(build);
    let hub = Hub::new(Parts { settings: settings.clone(), ports, links });
    let status = Rc::new(Status { hub: hub.clone(), metrics });
    for address in status_addresses.into_iter().flatten() {
        let listener = listen(address).context("readiness and metrics")?;
        spawn_local(status::serve(status.clone(), listener));
    }
    follow_store(&hub);
    spawn_local(registration::register(hub.clone()));
    spawn_local(hear(hub.clone(), inbox));
    spawn_local(front::accept(hub.clone(), front));
    spawn_local(keep_time(hub.clone(), status.clone()));
    spawn_local(hang_ups(settings, reload));
    planned_stop(&hub).await
}

fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into()).with_context(|| format!("bind {address}"))?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into())?)
}

fn links(
    settings: &Settings,
    messages: mpsc::UnboundedSender<(Name, PeerMessage)>,
) -> anyhow::Result<Links> {
    let address = SocketAddr::new(settings.ip, settings.link_port);
    let listener =
        std::net::TcpListener::bind(address).with_context(|| format!("bind {address}"))?;
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let me = HostId::new(settings.host.clone(), incarnation.as_millis() as u64);
    let options = peer::Options { me, key: settings.link_key.clone(), most: MOST_MESSAGE };
    Links::try_start(listener, options, move |event| match event {
        peer::Event::Message { from, bytes } => {
            let Some(message) = peer::decode(&bytes) else {
                // As during a change to a version that speaks otherwise.
                return log::warn!(
                    "event=message_unreadable from={} bytes={}",
                    from.name,
                    bytes.len()
                );
            };
            // The loop that reads ends with the process.
            let _ = messages.send((from.name, message));
        }
        peer::Event::Broken { to } => log::info!("event=link_broken to={to}"),
    })
}

fn follow_store(hub: &Rc<Hub>) {
    let upstreams = Rc::new(UpstreamFollower::new(hub.clone()));
    let peers = Rc::new(PeerFollower { hub: hub.clone() });
    let configuration = Rc::new(ConfigurationFollower { hub: hub.clone() });
    // The configuration may be large: it is read last.
    let feeds = [
        Feed::shared(hub.ports.upstreams.prefix().into(), upstreams),
        Feed::shared(peers::PREFIX.into(), peers),
        Feed::own(hub.ports.configuration.key().into(), configuration),
    ];
    hub.feeds.borrow_mut().extend(feeds.map(Rc::new));
    spawn_local(reader::run(hub.clone()));
}

/// Follows the one key of the configuration.
struct ConfigurationFollower {
    hub: Rc<Hub>,
}

impl Follower for ConfigurationFollower {
    fn replaced(&self, snapshot: Snapshot) {
        let key = self.hub.ports.configuration.key();
        if let Some(item) = snapshot.items.iter().find(|item| &*item.key == key) {
            self.hub.configuration_seen(&item.value, "store");
        }
    }

    fn changed(&self, change: Change) {
        match change {
            Change::Put(item) if &*item.key == self.hub.ports.configuration.key() => {
                self.hub.configuration_seen(&item.value, "store");
            }
            // A configuration that is gone is no newer one.
            Change::Put(_) | Change::Deleted { .. } => {}
        }
    }

    fn lost(&self) {}
}

/// Takes in what other hosts tell.
async fn hear(hub: Rc<Hub>, mut inbox: mpsc::UnboundedReceiver<(Name, PeerMessage)>) {
    while let Some((from, message)) = inbox.recv().await {
        hub.peer_message(&from, message);
    }
}

/// Lets time pass for the decisions.
async fn keep_time(hub: Rc<Hub>, status: Rc<Status>) {
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let started = hub.clock.now();
    let (mut digest_at, mut upkeep_at) = (started, started);
    let mut calls_at = started + LOG_CALLS_MS;
    loop {
        tick.tick().await;
        hub.tick();
        let now = hub.clock.now();
        if now >= digest_at {
            digest_at = now + hub.digest_ms();
            hub.tell_load();
        }
        if now >= upkeep_at {
            upkeep_at = now + UPKEEP_MS;
            hub.upkeep();
            status.metrics.run_upkeep();
        }
        if now >= calls_at {
            calls_at = now + LOG_CALLS_MS;
            hub.store.log_calls();
        }
    }
}

/// Reads the settings anew on a hang-up signal. What needs new sockets waits for a restart.
async fn hang_ups(settings: Settings, reload: impl Fn() -> anyhow::Result<Settings>) {
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

/// Takes this host's key out of the store.
async fn end_host_lease(hub: Rc<Hub>) {
    if let Some(lease) = hub.host_lease.get() {
        // If it can't be ended it runs out.
        let _ = hub.store.end(lease).await;
    }
}

/// Waits for a termination signal, then stops as planned.
async fn planned_stop(hub: &Rc<Hub>) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let begun = hub.clock.now();
    let after = |share: f64| begun + (hub.settings.bounds.grace_ms as f64 * share) as u64;
    log::info!("event=stop_begun open_requests={}", hub.open_requests());
    hub.stage.send_replace(Stage::Leaving);
    hub.request_event(vanetally_dispatch::Event::Stopping);
    hub.tenure_event(OrderLeaseEvent::Stop);
    while hub.clock.now() < after(CLOSE_SHARE) {
        sleep(TICK).await;
    }
    hub.stage.send_replace(Stage::Closing);
    spawn_local(end_host_lease(hub.clone()));
    while hub.open_requests() > 0 && hub.clock.now() < after(END_SHARE) {
        sleep(TICK).await;
    }
    log::info!("event=stop_ended open_requests={}", hub.open_requests());
    // Answers that were just finished leave their sockets, and lines the log.
    sleep(TICK * 2).await;
    Ok(())
}
