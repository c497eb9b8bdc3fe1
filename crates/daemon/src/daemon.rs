//! Start and planned stop of a daemon and its threads.

use crate::{
    admin,
    answer_room::AnswerRoom,
    frontend::Frontend,
    hub::{self, Executors, Input},
    platform::{self, PlatformThreads},
    runner::{RunnerClients, RunnerThreads},
    shared::Shared,
    telemetry,
};
use anyhow::Context;
use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::Ordering,
        mpsc::{Sender, channel},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use vanetally_config::Settings;
use vanetally_core::{Core, Event, Options};
use vanetally_link::{
    call::{self, Client},
    http::{self, Server, Stopper},
    peer::{self, Links},
    platform::{HttpPlatform, Platform},
};
use vanetally_member::ListedHost;

/// A running daemon.
pub struct Daemon {
    shared: Arc<Shared>,
    hub: Sender<Input>,
    core_thread: JoinHandle<()>,
    servers: Vec<Stopper>,
    addresses: (SocketAddr, SocketAddr),
}

/// Number of slots of once-only ids; each causes at most ten platform writes a second.
const SLOTS: u16 = 16;
/// Number of groups of runners.
const GROUPS: u16 = 8;
/// Maximum size of a link message; a complete configuration is well below it.
const MAX_MESSAGE_BYTES: usize = 4_000_000;
/// Maximum number of parallel exchanges on the operators' port.
const MAX_ADMIN_EXCHANGES: usize = 16;
/// Memory and descriptors of which the callers of the operators' port may use a share.
const ADMIN_MEMORY_BYTES: u64 = 32_000_000;
const ADMIN_DESCRIPTORS: u64 = 400;

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// If an address can't be bound or a thread can't be created.
    pub fn try_start(settings: Settings) -> anyhow::Result<Self> {
        // What engines answer is held in blocks that grow; freed ones would stay with each thread.
        vanetally_heap::return_large_blocks();
        telemetry::handle();
        let listen = Server::try_bind(settings.listen).context("settings key `listen`")?;
        let admin = Server::try_bind(settings.admin).context("settings key `admin`")?;
        let peers = TcpListener::bind(settings.peer).context("settings key `peer`")?;
        let shared = Arc::new(Shared::new(settings));
        let (hub, inbox) = channel();
        let links = start_links(&shared, peers, &hub)?;
        let platform = start_platform(&shared, &hub);
        let client = Client::new(call_options(&shared));
        let room = AnswerRoom::new(shared.settings.limits.memory.0);
        let executors = Executors {
            shared: shared.clone(),
            platform: PlatformThreads::start(&platform, &hub),
            runners: RunnerThreads::new(
                shared.clone(),
                runner_clients(&shared, &client, &room),
                hub.clone(),
            ),
            links,
        };
        let core = Core::new(shared.clock.now(), core_options(&shared));
        let run = move || hub::run(core, executors, &inbox);
        let core_thread = thread::Builder::new().name("core".into()).spawn(run)?;
        let addresses = (listen.address(), admin.address());
        let servers = vec![
            serve_callers(&shared, &hub, (client, room), listen),
            serve_operators(&shared, &hub, admin),
        ];
        log::info!(
            "event=started host={} domain={} listen={} admin={}",
            shared.host_id,
            shared.settings.domain,
            addresses.0,
            addresses.1
        );
        Ok(Self { shared, hub, core_thread, servers, addresses })
    }

    /// Returns the listen addresses for callers and for operators.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        self.addresses
    }

    /// Begins a planned stop: the daemon reports that it is not ready, hands its slots and
    /// groups over and completes the requests in flight.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        if self.hub.send(Input::Core(Event::Stop)).is_err() {
            log::debug!("event=stop-after-end");
        }
    }

    /// Waits for a planned stop and returns whether it completed within the time in the settings.
    pub fn join(&self) -> bool {
        let timeout = self.shared.settings.timing.stop.duration();
        let mut stop_started: Option<Instant> = None;
        let mut has_stopped_servers = false;
        loop {
            if self.core_thread.is_finished() {
                if !std::mem::replace(&mut has_stopped_servers, true) {
                    self.servers.iter().for_each(Stopper::stop);
                }
                if self.servers.iter().all(Stopper::is_done) {
                    log::info!("event=stopped host={}", self.shared.host_id);
                    return true;
                }
            }
            if self.shared.stopping.load(Ordering::Relaxed) {
                let started = stop_started.get_or_insert_with(Instant::now);
                if started.elapsed() > timeout {
                    log::error!("event=stop-incomplete host={}", self.shared.host_id);
                    // Fails if the loop has ended meanwhile.
                    let _ = self.hub.send(Input::Quit);
                    return false;
                }
            }
            thread::sleep(JOIN_POLL_INTERVAL);
        }
    }
}

const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

fn start_links(
    shared: &Arc<Shared>,
    listener: TcpListener,
    hub: &Sender<Input>,
) -> anyhow::Result<Links> {
    let options = peer::Options {
        host_id: shared.host_id.clone(),
        key: shared.settings.link_key.clone(),
        max_message_bytes: MAX_MESSAGE_BYTES,
    };
    let hub = hub.clone();
    Links::try_start(listener, options, move |event| {
        // Fails if the loop has ended; the links end later.
        let _ = hub.send(Input::Link(event));
    })
}

fn start_platform(shared: &Arc<Shared>, hub: &Sender<Input>) -> Arc<dyn Platform> {
    let settings = &shared.settings;
    let timeout = settings.timing.platform.duration();
    let platform: Arc<dyn Platform> =
        Arc::new(HttpPlatform::new(&settings.platform, settings.credential.clone(), timeout));
    platform::follow_hosts(shared.clone(), platform.clone(), hub.clone());
    platform::follow_config(shared.clone(), platform.clone(), hub.clone());
    platform
}

fn call_options(shared: &Shared) -> call::Options {
    let timing = &shared.settings.timing;
    call::Options {
        connect_timeout: timing.connect.duration(),
        idle_timeout: timing.silence.duration(),
    }
}

fn runner_clients(shared: &Shared, polls: &Client, room: &AnswerRoom) -> RunnerClients {
    let orders = Client::without_reuse(call_options(shared));
    RunnerClients { polls: polls.clone(), orders, room: room.clone() }
}

fn core_options(shared: &Shared) -> Options {
    let settings = &shared.settings;
    let timing = &settings.timing;
    Options {
        host_id: shared.host_id.clone(),
        listed: ListedHost {
            name: settings.host.clone(),
            link_addr: settings.peer.to_string().into(),
            domain: settings.domain.clone(),
            leaving: false,
        },
        slots: SLOTS,
        groups: GROUPS,
        poll_ms: timing.poll.0,
        ping_ms: timing.ping.0,
        suspect_ms: timing.suspect.0,
        horizon_ms: timing.horizon.0,
        max_queued: settings.limits.queue,
    }
}

fn serve_callers(
    shared: &Arc<Shared>,
    hub: &Sender<Input>,
    (client, room): (Client, AnswerRoom),
    server: Server,
) -> Stopper {
    let frontend = Arc::new(Frontend { shared: shared.clone(), hub: hub.clone(), client, room });
    let (limits, timing) = (&shared.settings.limits, &shared.settings.timing);
    let options = http::Options {
        max_exchanges: limits.streams,
        max_body_bytes: usize::try_from(limits.body.0).unwrap_or(usize::MAX),
        limits: http::Limits::of(limits.memory.0, limits.descriptors),
        timeouts: http::Timeouts { head_ms: timing.head.0, idle_ms: timing.idle.0 },
        ..Default::default()
    };
    let checker = frontend.clone();
    let check = move |head: &http::Head| checker.check(head);
    server.serve_checked("caller", options, check, move |exchange| frontend.serve(exchange))
}

fn serve_operators(shared: &Arc<Shared>, hub: &Sender<Input>, server: Server) -> Stopper {
    let (shared, hub) = (shared.clone(), hub.clone());
    let options = http::Options {
        max_exchanges: MAX_ADMIN_EXCHANGES,
        max_body_bytes: 0,
        limits: http::Limits::of(ADMIN_MEMORY_BYTES, ADMIN_DESCRIPTORS),
        ..Default::default()
    };
    server.serve("admin", options, move |exchange| admin::serve(&shared, &hub, exchange))
}
