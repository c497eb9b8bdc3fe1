//! A test deployment on loopback: platform stand-ins in the test process, hosts as processes of the
//! real program.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

#[path = "../support/crowd.rs"]
pub mod crowd;
pub mod crowd_site;
pub mod load;
pub mod restores;
pub mod taps;
#[path = "../support/usage.rs"]
pub mod usage;

use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    path::Path,
    process::{self, Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use vanetally_platform_standin::{Client, Runner, RunnerOptions, Store};

/// Maximum wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `condition` holds.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < MAX_WAIT, "timed out waiting until {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Time in which the hosts learn which of them holds the order lease.
const HOLDER_KNOWN: Duration = Duration::from_secs(1);

/// Waits until one of `hosts` holds the order lease and the others know it.
pub fn wait_for_holder(hosts: &[Host]) {
    wait_for("a host holds the order lease", || restores::holders(hosts) == 1);
    thread::sleep(HOLDER_KNOWN);
}

/// Store, runners and settings of one test.
pub struct Deployment {
    pub store: Store,
    /// Runners of the service `llm`, which serves models.
    pub engines: Vec<Runner>,
    /// Runners of the plain service `desk`.
    pub desks: Vec<Runner>,
    directory: TempDir,
}

impl Drop for Deployment {
    /// Keeps the logs of a failed test in the build's directory for temporary files.
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        let test = thread::current().name().unwrap_or("unnamed").replace("::", "-");
        let kept = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{}", process::id()));
        if let Err(error) = self.copy_logs(&kept) {
            println!("the logs are not kept: {error}");
        }
    }
}

/// Number of addresses of one test process.
const ADDRESS_COUNT: u32 = 254;

/// Returns a loopback address that no other test process uses.
pub fn fresh_ip() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = process::id();
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    // An address is reused only after all others, when its former listener has gone.
    format!("127.{}.{}.{}", 1 + process / 250 % 250, 1 + process % 250, 1 + next % ADDRESS_COUNT)
}

impl Deployment {
    /// Adds an engine that holds `m1`.
    pub fn add_engine(&mut self) {
        let id = format!("i-engine-{}", self.engines.len());
        let options = RunnerOptions { id, service: "llm".into(), models: vec!["m1".into()] };
        let engine = Runner::start(&fresh_ip(), options);
        let (key, value) = engine.entry();
        self.store.put(&key, &value);
        self.engines.push(engine);
    }

    /// Starts another plain upstream, which the caller announces.
    pub fn add_desk(&mut self) -> Runner {
        let id = format!("i-desk-{}", self.desks.len());
        let options = RunnerOptions { id, service: "desk".into(), models: Vec::new() };
        self.desks.push(Runner::start(&fresh_ip(), options));
        self.desks[self.desks.len() - 1].clone()
    }

    /// Starts a store with a configuration, an engine that holds `m1` and a plain service.
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

    /// Returns the logs of all hosts as pairs of file name and text.
    pub fn logs(&self) -> Vec<(String, String)> {
        let files = std::fs::read_dir(self.directory.path()).into_iter().flatten().flatten();
        let logs = files.filter(|file| file.path().extension().is_some_and(|kind| kind == "log"));
        let text = |path| std::fs::read_to_string(path).unwrap_or_default();
        let entry = |file: std::fs::DirEntry| {
            (file.file_name().to_string_lossy().into_owned(), text(file.path()))
        };
        logs.map(entry).collect()
    }

    fn copy_logs(&self, to: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(to)?;
        self.logs().into_iter().try_for_each(|(file, text)| std::fs::write(to.join(file), text))?;
        println!("logs of the hosts: {}", to.display());
        Ok(())
    }

    /// Returns the log of a host.
    pub fn log(&self, host: &str) -> String {
        let name = format!("{host}.log");
        self.logs().into_iter().find(|(file, _)| *file == name).map_or(String::new(), |log| log.1)
    }

    /// Writes a configuration with the additional routes `more` to the plain service.
    pub fn configure(&self, version: u64, more: &[&str]) {
        self.store.put("op/config", &configuration(version, more));
    }

    /// Writes a configuration with organisations and a route `open` that needs no key.
    pub fn configure_organisations(&self, version: u64, organisations: &[Value]) {
        self.configure_keyed(version, &["open"], organisations);
    }

    /// Writes a configuration with organisations and the additional routes `more`; a route `open`
    /// needs no key.
    pub fn configure_keyed(&self, version: u64, more: &[&str], organisations: &[Value]) {
        let mut configuration = configuration(version, more);
        for route in configuration["routes"].as_array_mut().into_iter().flatten() {
            route["auth_exempt"] = (route["name"] == "open").into();
        }
        configuration["tenants"] = organisations.into();
        self.store.put("op/config", &configuration);
    }

    /// Writes a configuration in which `m1` has `count` adapters, `at_once` of which an engine holds at a time.
    pub fn configure_adapters(&self, version: u64, count: usize, at_once: usize) {
        let mut configuration = configuration(version, &[]);
        let engine = &mut configuration["services"][0]["engine"];
        engine["max_adapters"] = at_once.into();
        engine["models"][0]["adapters"] = count.into();
        self.store.put("op/config", &configuration);
    }

    /// Writes a configuration with these limits on callers, and engines of `slots` slots.
    pub fn configure_limits(&self, version: u64, limits: &Value, slots: usize) {
        let mut configuration = configuration(version, &[]);
        configuration["limits"] = limits.clone();
        let services = configuration["services"].as_array_mut().expect("services");
        services.iter_mut().for_each(|service| service["max_connections"] = (2 * slots).into());
        services[0]["engine"]["slots"] = slots.into();
        self.store.put("op/config", &configuration);
    }

    /// Starts a host on a machine with these limits, and waits until it is ready.
    pub fn limited_host(&self, name: &str, limits: &Value) -> Host {
        let host = self.spawn_limited(name, limits);
        wait_for("the host is ready", || host.readiness() == 200);
        host
    }

    /// Starts a host on a machine with these limits.
    pub fn spawn_limited(&self, name: &str, limits: &Value) -> Host {
        let ip = fresh_ip();
        let mut settings = settings(name, &ip, self.store.address());
        settings["limits"] = limits.clone();
        self.spawn_with(name, &ip, &settings)
    }

    /// Writes a configuration with `count` additional routes.
    pub fn configure_large(&self, version: u64, count: usize) {
        let names: Vec<String> = (0..count).map(|number| format!("more{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        self.configure(version, &names);
    }

    /// Starts a host at a new address.
    pub fn spawn(&self, name: &str) -> Host {
        self.spawn_at(name, &fresh_ip(), self.store.address())
    }

    /// Starts a host at `ip` that reaches the store at `store`.
    pub fn spawn_at(&self, name: &str, ip: &str, store: SocketAddr) -> Host {
        self.spawn_with(name, ip, &settings(name, ip, store))
    }

    /// Starts `count` hosts with these scheduling settings and waits until they are ready.
    pub fn scheduled_hosts(&self, count: usize, scheduling: &Value) -> Vec<Host> {
        let hosts = (0..count).map(|number| {
            let (name, ip) = (format!("front-{number}"), fresh_ip());
            let machine = settings(&name, &ip, self.store.address());
            self.spawn_with(&name, &ip, &json!({ "scheduling": scheduling, "machine": machine }))
        });
        let hosts: Vec<Host> = hosts.collect();
        hosts.iter().for_each(|host| wait_for("the host is ready", || host.is_ready()));
        hosts
    }

    /// Starts a host of the failure domain `domain` at `ip`.
    pub fn spawn_in(&self, name: &str, ip: &str, domain: &str, is_first_start: bool) -> Host {
        let mut settings = settings(name, ip, self.store.address());
        settings["zone"] = domain.into();
        settings["initial_start"] = is_first_start.into();
        self.spawn_with(name, ip, &settings)
    }

    /// Starts a host at `ip` of another build of the program.
    pub fn spawn_build(&self, program: &Path, name: &str, ip: &str, store: SocketAddr) -> Host {
        self.spawn_program(program, name, ip, &settings(name, ip, store), &[])
    }

    /// Starts a host of another build in the failure domain `domain`, with these scheduling settings.
    pub fn spawn_build_in(
        &self,
        program: &Path,
        name: &str,
        domain: &str,
        scheduling: &Value,
    ) -> Host {
        let ip = fresh_ip();
        let mut machine = settings(name, &ip, self.store.address());
        machine["zone"] = domain.into();
        let settings = json!({ "scheduling": scheduling, "machine": machine });
        self.spawn_program(program, name, &ip, &settings, &[])
    }

    /// Starts a host with strict revocation, which accepts a revoked key for at most five seconds, and
    /// waits until it is ready.
    pub fn strict_host(&self, name: &str) -> Host {
        self.strict_host_with_env(name, &[])
    }

    /// Starts a host with strict revocation and the given environment variables.
    pub fn strict_host_with_env(&self, name: &str, environment: &[(&str, &Path)]) -> Host {
        let ip = fresh_ip();
        let mut settings = settings(name, &ip, self.store.address());
        settings["bounds"]["strict_revocation"] = true.into();
        settings["bounds"]["revoke_ms"] = 5_000.into();
        let program = Path::new(env!("CARGO_BIN_EXE_vanetallyd"));
        let host = self.spawn_program(program, name, &ip, &settings, environment);
        wait_for("the host is ready", || host.readiness() == 200);
        host
    }

    /// Starts a host whose settings turn on the scheduling `features`, and waits until it is ready.
    pub fn scheduling_host(&self, name: &str, features: &[&str]) -> Host {
        let ip = fresh_ip();
        let scheduling: serde_json::Map<String, Value> =
            features.iter().map(|feature| ((*feature).to_owned(), true.into())).collect();
        let machine = settings(name, &ip, self.store.address());
        let settings = json!({ "scheduling": scheduling, "machine": machine });
        let host = self.spawn_with(name, &ip, &settings);
        wait_for("the host is ready", || host.readiness() == 200);
        host
    }

    /// Starts a host of `program` at `ip` in the failure domain `domain`, with these scheduling settings and limits.
    pub fn spawn_machine(
        &self,
        program: &Path,
        (name, ip, domain): (&str, &str, &str),
        (scheduling, limits): (&Value, &Value),
        is_first_start: bool,
    ) -> Host {
        let mut machine = settings(name, ip, self.store.address());
        machine["zone"] = domain.into();
        machine["limits"] = limits.clone();
        machine["initial_start"] = is_first_start.into();
        let settings = json!({ "scheduling": scheduling, "machine": machine });
        self.spawn_program(program, name, ip, &settings, &[])
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
        environment: &[(&str, &Path)],
    ) -> Host {
        let path = self.directory.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        let child = Command::new(program)
            .arg("gateway")
            .env("VANETALLY_CONFIG", &path)
            .envs(environment.iter().copied())
            .stdout(log_file(&self.directory, name))
            .spawn()
            .expect("the program starts");
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Host {
            child,
            front: address(FRONT_PORT),
            ready: address(READY_PORT),
            metrics: address(METRICS_PORT),
        }
    }

    /// Starts `count` hosts and waits until they are ready.
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

/// Returns a configuration with the additional routes `more` to the plain service.
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

const FRONT_PORT: u16 = 8_149;
const READY_PORT: u16 = 8_141;
const METRICS_PORT: u16 = 9_464;

fn settings(name: &str, ip: &str, store: SocketAddr) -> Value {
    json!({
        "node_name": name, "zone": "z1", "region": "r1", "ip": ip,
        "internal_port_range": [7380, 7395], "a_new_field": { "of": ["any", "shape"] },
        "listen_addrs": {
            "front": format!("{ip}:{FRONT_PORT}"), "ready": format!("{ip}:{READY_PORT}"), "control": null,
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

/// Runs the settings check of the program; returns its exit code and its error output.
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

/// Returns the addresses at which callers reach `hosts`.
pub fn fronts(hosts: &[Host]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| host.front).collect()
}

/// A host process.
pub struct Host {
    child: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
    pub metrics: SocketAddr,
}

impl Host {
    /// Returns the id of the process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process uses.
    pub fn usage(&self) -> usage::Usage {
        usage::Usage { process: self.process(), front: self.front }
    }

    /// Returns the status of the readiness check, or 0 without an answer.
    pub fn readiness(&self) -> u16 {
        Client::new("GET", "/-/readiness", "").send(self.ready).status
    }

    /// Whether the load balancer may send callers to the host.
    pub fn is_ready(&self) -> bool {
        self.readiness() == 200
    }

    /// Whether the host holds the order lease.
    pub fn is_order_holder(&self) -> bool {
        self.metric("vanetally_order_holder") == Some(1.0)
    }

    /// Returns the value of a metric.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let text = Client::new("GET", "/metrics", "").send(self.metrics).body;
        let line = text.lines().find(|line| line.split(' ').next() == Some(name))?.to_owned();
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().expect("it runs");
        self.child.wait().expect("it exits");
    }

    /// Returns the exit code if the process has exited.
    pub fn try_wait(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    /// Waits until the process exits and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("it exits").code()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // Fails for a process that has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
