//! A deployment of stand-ins on loopback, and the real program as separate processes.

// Not every test uses all of it.
#![allow(dead_code)]

pub mod load;
pub mod returns;

use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use vanetally_platform_standin::{Client, Runner, RunnerOptions, Store};

/// The longest that a test waits for a condition.
const PATIENCE: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(10);

/// Waits until `condition` holds.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < PATIENCE, "waited in vain: {what}");
        thread::sleep(LOOK);
    }
}

/// Store, runners and settings of one test.
pub struct Deployment {
    pub store: Store,
    pub engines: Vec<Runner>,
    pub desks: Vec<Runner>,
    directory: TempDir,
}

/// Addresses of one test process.
const ADDRESSES: u32 = 254;

/// An address of the loopback range that no other process of the tests uses.
pub fn fresh_ip() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    // One is used again after so many others that nobody listens there any more.
    format!("127.{}.{}.{}", 1 + process / 250 % 250, 1 + process % 250, 1 + next % ADDRESSES)
}

impl Deployment {
    /// One more engine that holds `m1`.
    pub fn add_engine(&mut self) {
        let id = format!("i-engine-{}", self.engines.len());
        let options = RunnerOptions { id, service: "llm".into(), models: vec!["m1".into()] };
        let engine = Runner::start(&fresh_ip(), options);
        let (key, value) = engine.entry();
        self.store.put(&key, &value);
        self.engines.push(engine);
    }

    /// A store with a configuration, one engine that holds `m1`, one plain service.
    pub fn start() -> Self {
        let ip = fresh_ip();
        let runner = |id: &str, service: &str, models: &[&str]| {
            let models = models.iter().map(|model| (*model).to_owned()).collect();
            Runner::start(&ip, RunnerOptions { id: id.into(), service: service.into(), models })
        };
        let deployment = Self {
            store: Store::start(&ip),
            engines: vec![runner("i-engine-0", "llm", &["m1"])],
            desks: vec![runner("i-desk-0", "desk", &[])],
            directory: tempfile::tempdir().expect("a directory"),
        };
        deployment.configure(1, &[]);
        for runner in deployment.engines.iter().chain(&deployment.desks) {
            let (key, value) = runner.entry();
            deployment.store.put(&key, &value);
        }
        deployment
    }

    /// The logs of all hosts, by name.
    pub fn logs(&self) -> Vec<(String, String)> {
        let files = std::fs::read_dir(self.directory.path()).into_iter().flatten().flatten();
        let logs = files.filter(|file| file.path().extension().is_some_and(|kind| kind == "log"));
        let text = |path| std::fs::read_to_string(path).unwrap_or_default();
        let named = |file: std::fs::DirEntry| {
            (file.file_name().to_string_lossy().into_owned(), text(file.path()))
        };
        logs.map(named).collect()
    }

    /// The log of one host.
    pub fn log(&self, host: &str) -> String {
        let name = format!("{host}.log");
        self.logs().into_iter().find(|(file, _)| *file == name).map_or(String::new(), |log| log.1)
    }

    /// The operator writes a configuration with `more` routes to the plain service.
    pub fn configure(&self, version: u64, more: &[&str]) {
        self.store.put("op/config", &configuration(version, more));
    }

    /// The operator writes a configuration with organisations, and a route `open` that needs no key.
    pub fn configure_organisations(&self, version: u64, organisations: &[Value]) {
        self.configure_keyed(version, &["open"], organisations);
    }

    /// The operator writes a configuration with organisations and `more` routes, of which `open` needs no key.
    pub fn configure_keyed(&self, version: u64, more: &[&str], organisations: &[Value]) {
        let mut configuration = configuration(version, more);
        for route in configuration["routes"].as_array_mut().into_iter().flatten() {
            route["auth_exempt"] = (route["name"] == "open").into();
        }
        configuration["tenants"] = organisations.into();
        self.store.put("op/config", &configuration);
    }

    /// The operator writes a configuration with `count` routes more.
    pub fn configure_large(&self, version: u64, count: usize) {
        let names: Vec<String> = (0..count).map(|number| format!("more{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        self.configure(version, &names);
    }

    /// Starts a host.
    pub fn spawn(&self, name: &str) -> Host {
        self.spawn_at(name, &fresh_ip(), self.store.address())
    }

    /// Starts a host at `ip` that finds the store at `store`.
    pub fn spawn_at(&self, name: &str, ip: &str, store: SocketAddr) -> Host {
        self.spawn_with(name, ip, &settings(name, ip, store))
    }

    /// The same, of another build of the program.
    pub fn spawn_build(&self, program: &Path, name: &str, ip: &str, store: SocketAddr) -> Host {
        self.spawn_program(program, name, ip, &settings(name, ip, store), &[])
    }

    /// Starts a host that may not use a key five seconds after it was taken away, and waits until it is ready.
    pub fn strict_host(&self, name: &str) -> Host {
        self.strict_host_in(name, &[])
    }

    /// The same, with variables in its environment.
    pub fn strict_host_in(&self, name: &str, variables: &[(&str, &Path)]) -> Host {
        let ip = fresh_ip();
        let mut settings = settings(name, &ip, self.store.address());
        settings["bounds"]["strict_revocation"] = true.into();
        settings["bounds"]["revoke_ms"] = 5_000.into();
        let program = Path::new(env!("CARGO_BIN_EXE_vanetallyd"));
        let host = self.spawn_program(program, name, &ip, &settings, variables);
        wait_for("the host is ready", || host.readiness() == 200);
        host
    }

    fn spawn_with(&self, name: &str, ip: &str, settings: &Value) -> Host {
        self.spawn_program(Path::new(env!("CARGO_BIN_EXE_vanetallyd")), name, ip, settings, &[])
    }

    fn spawn_program(
        &self,
        program: &Path,
        name: &str,
        ip: &str,
        settings: &Value,
        variables: &[(&str, &Path)],
    ) -> Host {
        let path = self.directory.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        let child = Command::new(program)
            .arg("gateway")
            .env("VANETALLY_CONFIG", &path)
            .envs(variables.iter().copied())
            .stdout(log_file(&self.directory, name))
            .spawn()
            .expect("the program starts");
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Host { child, front: address(FRONT), ready: address(READY), metrics: address(METRICS) }
    }

    /// Starts so many hosts and waits until they are ready.
    pub fn hosts(&self, count: usize) -> Vec<Host> {
        let hosts = (0..count).map(|number| self.spawn(&format!("front-{number}")));
        let hosts: Vec<Host> = hosts.collect();
        hosts.iter().for_each(|host| wait_for("the host is ready", || host.is_ready()));
        hosts
    }

    /// Starts a host and waits until it is ready.
    pub fn host(&self, name: &str) -> Host {
        let host = self.spawn(name);
        wait_for("the host is ready", || host.readiness() == 200);
        host
    }
}

/// A configuration with `more` routes to the plain service.
fn configuration(version: u64, more: &[&str]) -> Value {
    let route = |name: &str, kind: &str, service: &str, resumable: bool| {
        json!({
            "name": name, "host": "site.example", "path_prefix": format!("/{name}/"),
            "type": kind, "timeout_ms": 10000, "target_latency_ms": 1000, "priority": 1,
            "service": service, "max_attempts": if resumable { 2 } else { 1 },
            "resumable": resumable,
        })
    };
    let mut routes = vec![
        route("offer", "streaming", "llm", false),
        route("draft", "streaming", "llm", true),
        route("check", "idempotent", "desk", false),
    ];
    routes.extend(more.iter().map(|name| route(name, "idempotent", "desk", false)));
    let model = json!({
        "name": "m1", "weights_mb": 60000.0, "load_time_s": 1.0, "adapters": 4,
        "adapter_mb": 10.0,
    });
    let engine = json!({
        "slots": 8, "kv_capacity_tokens": 100000, "weights_mb": 200000.0, "max_adapters": 4,
        "loads_per_s": 1.0, "models": [model],
    });
    let services = json!([
        { "name": "llm", "max_connections": 100, "engine": engine },
        { "name": "desk", "max_connections": 100 },
    ]);
    json!({ "version": version, "routes": routes, "services": services, "limits": {} })
}

const FRONT: u16 = 8_149;
const READY: u16 = 8_141;
const METRICS: u16 = 9_464;

fn settings(name: &str, ip: &str, store: SocketAddr) -> Value {
    json!({
        "node_name": name, "zone": "z1", "region": "r1", "ip": ip,
        "internal_port_range": [7380, 7395], "a_new_field": { "of": ["any", "shape"] },
        "listen_addrs": {
            "front": format!("{ip}:{FRONT}"), "ready": format!("{ip}:{READY}"), "control": null,
        },
        "bounds": { "grace_s": 8, "retry_slack": 50, "lease_ms": 500 },
        "platform": { "address": store.to_string(), "ttl_min_ms": 500 },
    })
}

fn log_file(directory: &TempDir, name: &str) -> Stdio {
    let path = directory.path().join(format!("{name}.log"));
    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
    file.map_or_else(|_| Stdio::null(), Stdio::from)
}

/// Runs the program on settings that are no good; its exit code and what it says.
pub fn check_settings(text: &str) -> (Option<i32>, String) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("settings.json");
    std::fs::write(&path, text).expect("the settings can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_vanetallyd"))
        .args(["gateway", "--check", "--settings"])
        .arg(&path)
        .output()
        .expect("the program starts");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// Where callers reach `hosts`.
pub fn fronts(hosts: &[Host]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| host.front).collect()
}

/// A running host.
pub struct Host {
    child: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
}

impl Host {
    /// The status of the balancer's question; 0 if nobody answers.
    pub fn readiness(&self) -> u16 {
        Client::new("GET", "/-/readiness", "").send(self.ready).status
    }

    /// Whether the balancer may send callers to it.
    pub fn is_ready(&self) -> bool {
        self.readiness() == 200
    }

    /// Whether it gives the orders.
    pub fn is_order_holder(&self) -> bool {
        self.metric("vanetally_order_holder") == Some(1.0)
    }

    /// The value of a metric.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let text = Client::new("GET", "/metrics", "").send(self.metrics).body;
        let line = text.lines().find(|line| line.split(' ').next() == Some(name))?.to_owned();
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("it runs");
        self.child.wait().expect("it has ended");
    }

    /// Its exit code, if it has ended.
    pub fn try_wait(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    /// Waits for its end; its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("it ends").code()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // One that has ended needs no end.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
