//! A daemon as a whole: its threads from start to planned stop.

use crate::{
    admin,
    board::Board,
    engine::Lanes,
    front::Front,
    hub::{self, Hands, Input},
    store::{self, Store},
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
    board: Arc<Board>,
    hub: Sender<Input>,
    core: JoinHandle<()>,
    servers: Vec<Stopper>,
    addresses: (SocketAddr, SocketAddr),
}

/// Slots of once-only ids: each costs the platform at most ten writes a second.
const SLOTS: u16 = 16;
/// Groups of runners.
const GROUPS: u16 = 8;
/// Largest message on a link: a whole configuration with room to spare.
const MOST_MESSAGE: usize = 4_000_000;
/// Exchanges at once on the operators' port.
const MOST_ADMIN: usize = 16;

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// If one of its addresses can't be bound or a thread can't be made.
    pub fn try_start(settings: Settings) -> anyhow::Result<Self> {
        telemetry::handle();
        let listen = Server::try_bind(settings.listen).context("settings key `listen`")?;
        let admin = Server::try_bind(settings.admin).context("settings key `admin`")?;
        let peers = TcpListener::bind(settings.peer).context("settings key `peer`")?;
        let board = Arc::new(Board::new(settings));
        let (hub, inbox) = channel();
        let links = start_links(&board, peers, &hub)?;
        let platform = start_platform(&board, &hub);
        let caller = upstream_caller(&board);
        let hands = Hands {
            board: board.clone(),
            store: Store::start(&platform, &hub),
            lanes: Lanes::new(board.clone(), caller.clone(), hub.clone()),
            links,
        };
        let core = Core::new(board.clock.now(), core_options(&board));
        let run = move || hub::run(core, hands, &inbox);
        let core = thread::Builder::new().name("core".into()).spawn(run)?;
        let addresses = (listen.address(), admin.address());
        let servers =
            vec![serve_callers(&board, &hub, caller, listen), serve_operators(&board, &hub, admin)];
        log::info!(
            "event=started host={} domain={} listen={} admin={}",
            board.me,
            board.settings.domain,
            addresses.0,
            addresses.1
        );
        Ok(Self { board, hub, core, servers, addresses })
    }

    /// Where callers and operators connect.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        self.addresses
    }

    /// Begins a planned stop: no longer ready, duties handed over, requests in flight finished.
    pub fn stop(&self) {
        self.board.stopping.store(true, Ordering::Relaxed);
        if self.hub.send(Input::Core(Event::Stop)).is_err() {
            log::debug!("event=stop-after-end");
        }
    }

    /// Waits for the planned stop to complete, as long as the settings allow.
    /// Returns whether it completed.
    pub fn join(&self) -> bool {
        let most = self.board.settings.timing.stop.duration();
        let mut began: Option<Instant> = None;
        while !self.core.is_finished() {
            if self.board.stopping.load(Ordering::Relaxed) {
                let since = began.get_or_insert_with(Instant::now);
                if since.elapsed() > most {
                    log::error!("event=stop-incomplete host={}", self.board.me);
                    // The loop may have ended since.
                    let _ = self.hub.send(Input::Quit);
                    return false;
                }
            }
            thread::sleep(JOIN_POLL);
        }
        self.servers.iter().for_each(Stopper::stop);
        log::info!("event=stopped host={}", self.board.me);
        true
    }
}

const JOIN_POLL: Duration = Duration::from_millis(20);

fn start_links(
    board: &Arc<Board>,
    listener: TcpListener,
    hub: &Sender<Input>,
) -> anyhow::Result<Links> {
    let options = peer::Options {
        host_id: board.me.clone(),
        key: board.settings.link_key.clone(),
        max_message_bytes: MOST_MESSAGE,
    };
    let hub = hub.clone();
    Links::try_start(listener, options, move |event| {
        // The loop ends before the links do.
        let _ = hub.send(Input::Link(event));
    })
}

fn start_platform(board: &Arc<Board>, hub: &Sender<Input>) -> Arc<dyn Platform> {
    let settings = &board.settings;
    let within = settings.timing.platform.duration();
    let platform: Arc<dyn Platform> =
        Arc::new(HttpPlatform::new(&settings.platform, settings.credential.clone(), within));
    store::follow_hosts(board.clone(), platform.clone(), hub.clone());
    store::follow_config(board.clone(), platform.clone(), hub.clone());
    platform
}

fn upstream_caller(board: &Board) -> Client {
    let timing = &board.settings.timing;
    Client::new(call::Options {
        connect_timeout: timing.connect.duration(),
        idle_timeout: timing.silence.duration(),
    })
}

fn core_options(board: &Board) -> Options {
    let settings = &board.settings;
    let timing = &settings.timing;
    Options {
        me: board.me.clone(),
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
    board: &Arc<Board>,
    hub: &Sender<Input>,
    caller: Client,
    server: Server,
) -> Stopper {
    let front = Front { board: board.clone(), hub: hub.clone(), caller };
    let options =
        http::Options { max_exchanges: board.settings.limits.streams, ..Default::default() };
    server.serve("caller", options, move |exchange| front.serve(exchange))
}

fn serve_operators(board: &Arc<Board>, hub: &Sender<Input>, server: Server) -> Stopper {
    let (board, hub) = (board.clone(), hub.clone());
    let options = http::Options { max_exchanges: MOST_ADMIN, ..Default::default() };
    server.serve("admin", options, move |exchange| admin::answer(&board, &hub, exchange))
}
