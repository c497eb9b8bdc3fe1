//! A small deployment on loopback: the project's store stand-in, runners of the cases, and gateways started with the
//! command of the deploy file.

use crate::http;
use serde_json::{Value, json};
use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const FRONT_PORT: u16 = 8_149;
const READY_PORT: u16 = 8_141;
const CONTROL_PORT: u16 = 8_144;
const METRICS_PORT: u16 = 9_464;
const LINK_PORTS: (u16, u16) = (7_380, 7_395);

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let line = format!("{:8.3} s  {line}", self.start.elapsed().as_secs_f64());
        self.lines.lock().expect("no panic").push(line);
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &Path) {
        let text = self.lines.lock().expect("no panic").join("\n") + "\n";
        if let Err(error) = fs::write(path, text) {
            eprintln!("{}: {error}", path.display());
        }
    }
}

impl Default for Record {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns a loopback address on which the ports of a machine are free.
pub fn fresh_ip() -> String {
    let mut seed =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_nanos() as u64)
            ^ u64::from(std::process::id()) << 20;
    loop {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let ip = format!(
            "127.{}.{}.{}",
            10 + (seed >> 33) % 200,
            (seed >> 43) % 250,
            1 + (seed >> 53) % 250
        );
        let ports = [FRONT_PORT, READY_PORT, METRICS_PORT, LINK_PORTS.0];
        let listeners: Vec<_> =
            ports.iter().map(|port| TcpListener::bind((ip.as_str(), *port))).collect();
        if listeners.iter().all(Result::is_ok) {
            return ip;
        }
    }
}

/// Returns where the gateway at `ip` is reached by the others.
pub fn link(ip: &str) -> SocketAddr {
    format!("{ip}:{}", LINK_PORTS.0).parse().expect("an address")
}

/// A gateway process, ended when dropped.
pub struct Gateway {
    child: Child,
    /// Name of its machine.
    pub name: String,
    /// Where clients reach it.
    pub front: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
}

impl Gateway {
    fn get(to: SocketAddr, path: &str) -> http::Answer {
        let head = format!("GET {path} HTTP/1.1\r\nhost: probe\r\nconnection: close\r\n");
        http::exchange(to, &head, b"", Duration::from_secs(1))
    }

    /// Whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        Self::get(self.ready, "/-/readiness").status == 200
    }

    /// Whether the process says that it holds the lease under which orders are given.
    pub fn is_holder(&self) -> bool {
        let body = Self::get(self.metrics, "/metrics").body;
        let text = String::from_utf8_lossy(&body).into_owned();
        text.lines().any(|line| line == "vanetally_order_holder 1")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the settings of a machine, as the platform makes them of the template of the deploy file.
pub fn settings(root: &Path, name: &str, ip: &str, store: SocketAddr, bounds: &Value) -> String {
    let mut all_bounds = json!({
        "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
        "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
        "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10,
        "retry_slack": 58, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "fencing_enforced": true,
        "lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5, "ceiling_excess": 1.1,
    });
    for (key, value) in bounds.as_object().into_iter().flatten() {
        all_bounds[key] = value.clone();
    }
    let fields = json!({
        "node_name": name, "role": "gateway", "machine_class": "front", "serves": ["front"], "ip": ip,
        "zone": "z1", "region": "r1", "internal_port_range": [LINK_PORTS.0, LINK_PORTS.1],
        "seed_nodes": [], "initial_start": false, "fault_counted": false, "discovery": "platform",
        "entry": "vip", "heartbeat_ms": 1200,
        "active_contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"],
        "zones": { "z1": "r1" },
        "listen_addrs": {
            "front": format!("{ip}:{FRONT_PORT}"), "ready": format!("{ip}:{READY_PORT}"),
            "control": format!("{ip}:{CONTROL_PORT}"),
        },
        "limits": {
            "cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0,
        },
        "fault_tolerance": { "machines": 1, "zones": 0, "regions": 0 },
        "bounds": all_bounds,
        "platform": {
            "address": store.to_string(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
            "history_s": 20, "value_bytes": 1_048_576, "ttl_min_ms": 1000,
        },
    });
    let template =
        fs::read_to_string(root.join("deploy/settings.json.tmpl")).expect("the template");
    template.replace("{{.|json}}", &fields.to_string())
}

/// The directory of a run: settings and logs of the gateways.
pub struct Directory {
    /// The repository.
    pub root: PathBuf,
    path: PathBuf,
}

impl Directory {
    /// Creates a temporary directory. The current directory has to be the repository.
    pub fn new() -> Self {
        let root = std::env::current_dir().expect("a current directory");
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
        let path = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary directory");
        Self { root, path }
    }

    /// Starts a gateway on a machine of its own.
    pub fn start(&self, name: &str, store: SocketAddr, bounds: &Value) -> Gateway {
        self.start_at(name, &fresh_ip(), store, bounds)
    }

    /// Starts a gateway at `ip`.
    pub fn start_at(&self, name: &str, ip: &str, store: SocketAddr, bounds: &Value) -> Gateway {
        let file = self.path.join(format!("{name}.json"));
        fs::write(&file, settings(&self.root, name, ip, store, bounds)).expect("settings");
        let log = fs::File::create(self.path.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new(self.root.join("target/release/vanetallyd"))
            .arg("gateway")
            .current_dir(&self.root)
            .env("VANETALLY_CONFIG", &file)
            .stdout(Stdio::from(log.try_clone().expect("a log file")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the gateway starts");
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Gateway {
            child,
            name: name.to_owned(),
            front: address(FRONT_PORT),
            ready: address(READY_PORT),
            metrics: address(METRICS_PORT),
        }
    }
}

impl Default for Directory {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

/// Waits until `condition` holds; returns whether it did within `limit`.
pub fn wait_for(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Length of one disruption, and time from one to the next.
const DISRUPTION_MS: u64 = 5_000;
const PERIOD_MS: u64 = 6_000;

/// Returns the number of the present disruption, if runners hand out wrong bytes now: for five seconds, again and again.
pub fn disruption(record: &Record) -> Option<u64> {
    let now_ms = record.now_ms();
    (has_trouble() && now_ms % PERIOD_MS < DISRUPTION_MS).then_some(now_ms / PERIOD_MS)
}

/// Whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
