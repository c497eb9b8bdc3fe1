//! A test site on loopback: entry hosts, stand-ins and the command-line tool as processes.
//!
//! Each site has its own addresses in 127.0.0.0/8, so tests can run in parallel. Tests wait for
//! conditions and never sleep for a fixed time.

#![allow(dead_code, missing_docs)]

mod calls;

pub use calls::{Answer, call, try_call};

use serde_json::{Value, json};
use std::{
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use vanetally_link::call::Error;

pub const CREDENTIAL: &str = "test-credential";
pub const TOKEN: &str = "desk-token";
pub const GIB: u64 = 1 << 30;
/// Maximum wait for any condition, far above what a passing run needs.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A child process that is killed on drop.
pub struct Process(pub Child);

impl Process {
    /// Sends a signal, given as an option of `kill` such as `-STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status().expect("kill runs");
        assert!(sent.success(), "kill {name} {pid}");
    }

    pub fn kill(&mut self) {
        self.0.kill().expect("killed");
        self.0.wait().expect("reaped");
    }

    /// Waits until the process exits and returns its exit code.
    pub fn exit_code(&mut self) -> i32 {
        let mut code = None;
        wait_for("a process to exit", || {
            code = self.0.try_wait().expect("waited");
            code.is_some()
        });
        code.and_then(|c| c.code()).unwrap_or(-1)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < MAX_WAIT, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// A stand-in process: the platform, an engine or a service.
pub struct StandIn {
    pub name: String,
    pub url: String,
    pub process: Process,
}

impl StandIn {
    pub fn fault(&self, faults: Value) {
        let answer =
            call("POST", &format!("{}/fault", self.url), &[], faults.to_string().as_bytes());
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    pub fn stats(&self) -> Value {
        call("GET", &format!("{}/stats", self.url), &[], &[]).json()
    }

    /// Number of times the request with the idempotency key `key` ran here.
    pub fn runs(&self, key: &str) -> u64 {
        self.stats()["runs"][key].as_u64().unwrap_or(0)
    }
}

/// An entry host process.
pub struct Host {
    pub name: String,
    pub url: String,
    pub admin: String,
    settings: PathBuf,
    pub process: Process,
}

impl Host {
    pub fn state(&self) -> Value {
        call("GET", &format!("{}/state", self.admin), &[], &[]).json()
    }

    pub fn try_state(&self) -> Option<Value> {
        let answer = try_call("GET", &format!("{}/state", self.admin), &[], &[]).ok()?;
        serde_json::from_str(&answer.body).ok()
    }

    pub fn is_ready(&self) -> bool {
        let answer = try_call("GET", &format!("{}/readyz", self.admin), &[], &[]);
        answer.is_ok_and(|a| a.status == 200)
    }

    pub fn complete(&self, body: Value, headers: &[(&str, &str)]) -> Answer {
        let url = format!("{}/v1/completions", self.url);
        call("POST", &url, &with_token(headers), body.to_string().as_bytes())
    }

    pub fn service(&self, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
        let url = format!("{}/services/{path}", self.url);
        call("POST", &url, &with_token(headers), body.as_bytes())
    }

    pub fn try_service(&self, path: &str, key: &str) -> Result<Answer, Error> {
        let url = format!("{}/services/{path}", self.url);
        try_call("POST", &url, &with_token(&[("Idempotency-Key", key)]), b"book")
    }
}

pub fn with_token<'a>(headers: &[(&'a str, &'a str)]) -> Vec<(&'a str, &'a str)> {
    let mut all = vec![("Authorization", "Bearer desk-token")];
    all.extend_from_slice(headers);
    all
}

/// Options of a test site; the default is two hosts and two engines.
#[derive(Clone)]
pub struct SiteOptions {
    pub hosts: usize,
    pub engines: Vec<EngineOptions>,
    pub models: Vec<(&'static str, &'static str)>,
    pub service_time_ms: u64,
    /// Limits for callers in the settings of the hosts.
    pub limits: Value,
    /// Catalog sections that replace the default ones.
    pub extra: Value,
}

#[derive(Clone)]
pub struct EngineOptions {
    pub capacity_gib: u64,
    pub fenced: bool,
    pub token_ms: u64,
    pub load_ms_per_gib: u64,
    /// Requests that it runs at once, as the catalog states them.
    pub slots: u32,
    pub order_life: Option<&'static str>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            capacity_gib: 32,
            fenced: true,
            token_ms: 2,
            load_ms_per_gib: 5,
            slots: 8,
            order_life: None,
        }
    }
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            hosts: 2,
            engines: vec![EngineOptions::default(); 2],
            models: vec![("ladder", "12GiB"), ("summary", "12GiB"), ("tagger", "12GiB")],
            service_time_ms: 1,
            limits: json!({}),
            extra: json!({}),
        }
    }
}

/// All processes of a test site.
pub struct Site {
    pub dir: tempfile::TempDir,
    net: String,
    pub platform: StandIn,
    pub engines: Vec<StandIn>,
    pub service: StandIn,
    pub hosts: Vec<Host>,
    pub catalog: Value,
    limits: Value,
}

static SITES: AtomicU8 = AtomicU8::new(0);

impl Site {
    pub fn start(options: SiteOptions) -> Self {
        let pid = std::process::id();
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let net = format!("127.{}.{}", 1 + (pid >> 8) % 250, pid % 256);
        let ip = |index: usize| format!("{net}.{}", 1 + usize::from(number) * 16 + index);
        let dir = tempfile::tempdir().expect("a directory");
        let platform = stand_in(
            "platform",
            &["platform", "--credential", CREDENTIAL, "--listen", &format!("{}:7000", ip(0))],
        );
        let takes_ms = options.service_time_ms.to_string();
        let listen = format!("{}:7100", ip(0));
        let service =
            stand_in("service", &["service", "--takes-ms", &takes_ms, "--listen", &listen]);
        let mut engines = Vec::new();
        for (index, engine) in options.engines.iter().enumerate() {
            let listen = format!("{}:{}", ip(0), 7200 + index);
            engines.push(start_engine(&format!("runner-{}", index + 1), engine, &listen));
        }
        let mut site = Self {
            dir,
            net: ip(1),
            platform,
            engines,
            service,
            hosts: Vec::new(),
            catalog: json!({}),
            limits: options.limits.clone(),
        };
        site.catalog = catalog(&site, &options);
        let applied = site.apply(&site.catalog, &[]);
        assert!(applied.status.success(), "{}", output_text(&applied));
        site.put_host_list(&(0..options.hosts).collect::<Vec<_>>(), &[]);
        for index in 0..options.hosts {
            let host = site.start_host(index);
            site.hosts.push(host);
        }
        site.wait_ready();
        site
    }

    /// Address of the entry host `index`. Each host has its own IP and the same ports.
    fn host_ip(&self, index: usize) -> String {
        let (head, last) = self.net.rsplit_once('.').expect("an address");
        let last: usize = last.parse().expect("a number");
        format!("{head}.{}", last + index)
    }

    pub fn put_host_list(&self, present: &[usize], leaving: &[usize]) {
        let row = |index: &usize| {
            json!({"name": format!("entry-{}", index + 1), "peer": format!("{}:8002", self.host_ip(*index)),
                "domain": domain(*index), "leaving": leaving.contains(index)})
        };
        let list: Vec<Value> = present.iter().map(row).collect();
        let body = json!(list).to_string();
        let answer = call("PUT", &format!("{}/hosts", self.platform.url), &[], body.as_bytes());
        assert_eq!(answer.status, 200);
    }

    pub fn start_host(&self, index: usize) -> Host {
        let ip = self.host_ip(index);
        let name = format!("entry-{}", index + 1);
        let settings = json!({
            "host": name, "domain": domain(index), "listen": format!("{ip}:8000"),
            "admin": format!("{ip}:8001"), "peer": format!("{ip}:8002"),
            "platform": self.platform.url, "credential": CREDENTIAL,
            "link_key": "test-link-key-0123456789", "limits": self.limits,
            "timing": {"poll": "100ms", "ping": "100ms", "suspect": "1s", "platform": "500ms",
                "connect": "500ms"},
        });
        let path = self.dir.path().join(format!("{name}.json"));
        std::fs::write(&path, format!("// {name}\n{settings:#}")).expect("written");
        let process = spawn_daemon(&path, &self.dir.path().join(format!("{name}.log")));
        Host {
            name,
            url: format!("http://{ip}:8000"),
            admin: format!("http://{ip}:8001"),
            settings: path,
            process,
        }
    }

    /// Replaces the process of a host by a new one at the same address.
    pub fn restart_host(&mut self, index: usize) {
        let log = self.dir.path().join(format!("entry-{}-again.log", index + 1));
        let process = spawn_daemon(&self.hosts[index].settings.clone(), &log);
        self.hosts[index].process = process;
        let host = &self.hosts[index];
        wait_for("the restarted host", || host.is_ready());
    }

    pub fn model_names(&self) -> Vec<String> {
        let names = self.catalog["models"].as_array().into_iter().flatten();
        names.map(|m| m["name"].as_str().unwrap_or("").to_owned()).collect()
    }

    /// Waits until every host serves every model and every slot has a holder.
    pub fn wait_ready(&self) {
        for host in &self.hosts {
            wait_for("a ready host", || host.is_ready());
            for model in self.model_names() {
                wait_for(&format!("{model} at {}", host.name), || {
                    host.complete(json!({"model": model, "prompt": "x", "max_tokens": 1}), &[])
                        .status
                        == 200
                });
            }
            wait_for("each slot to have a holder and a backup", || self.slots_settled(host));
        }
    }

    /// Whether every slot has a holder, and a backup where there is a second host.
    fn slots_settled(&self, host: &Host) -> bool {
        let state = host.state();
        let has_peers = self.hosts.len() > 1;
        let slots = state["slots"].as_array().cloned().unwrap_or_default();
        let is_settled = |slot: &Value| {
            let is_holder = slot["role"] == "holder";
            !slot["holder"].is_null() && (!is_holder || !has_peers || !slot["deputy"].is_null())
        };
        slots.len() == 16 && slots.iter().all(is_settled)
    }

    pub fn tool(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_vanetally"))
            .args(args)
            .args(["--platform", &self.platform.url, "--credential", CREDENTIAL])
            .output()
            .expect("the tool runs")
    }

    /// Applies a catalog with the command-line tool.
    pub fn apply(&self, catalog: &Value, args: &[&str]) -> Output {
        static FILES: AtomicU8 = AtomicU8::new(0);
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let path = self.dir.path().join(format!("catalog-{number}.json"));
        std::fs::write(&path, format!("// a catalog\n{catalog:#}")).expect("written");
        let mut all = vec!["apply", path.to_str().expect("text")];
        all.extend_from_slice(args);
        self.tool(&all)
    }

    /// Number of loads that took an engine beyond its memory, over all engines.
    pub fn overcommits(&self) -> u64 {
        self.engines.iter().map(|e| e.stats()["overcommits"].as_u64().unwrap_or(0)).sum()
    }

    pub fn log_of(&self, index: usize) -> String {
        let path = self.dir.path().join(format!("entry-{}.log", index + 1));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

pub fn output_text(output: &Output) -> String {
    let (out, err) = (&output.stdout, &output.stderr);
    format!("{}{}", String::from_utf8_lossy(out), String::from_utf8_lossy(err))
}

fn domain(index: usize) -> &'static str {
    ["a", "b", "c"][index % 3]
}

fn spawn_daemon(settings: &std::path::Path, log: &std::path::Path) -> Process {
    let log = std::fs::File::create(log).expect("a log file");
    let child = Command::new(env!("CARGO_BIN_EXE_vanetallyd"))
        .arg("--settings")
        .arg(settings)
        .env("RUST_LOG", "info")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .expect("the daemon starts");
    Process(child)
}

pub fn start_engine(name: &str, options: &EngineOptions, listen: &str) -> StandIn {
    let values =
        [options.capacity_gib, options.token_ms, options.load_ms_per_gib].map(|n| n.to_string());
    let mut args = vec![
        "engine",
        "--capacity-gib",
        &values[0],
        "--token-ms",
        &values[1],
        "--load-ms-per-gib",
        &values[2],
        "--listen",
        listen,
    ];
    if !options.fenced {
        args.push("--unfenced");
    }
    stand_in(name, &args)
}

fn stand_in(name: &str, args: &[&str]) -> StandIn {
    let mut child = Command::new(env!("CARGO_BIN_EXE_vanetally-standin"))
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the stand-in starts");
    let mut line = String::new();
    let out = child.stdout.take().expect("its output");
    BufReader::new(out).read_line(&mut line).expect("its first line");
    let address =
        line.trim().strip_prefix("listening ").unwrap_or_else(|| panic!("{name}: {line}"));
    StandIn { name: name.into(), url: format!("http://{address}"), process: Process(child) }
}

fn catalog(site: &Site, options: &SiteOptions) -> Value {
    let runner = |(index, (engine, options)): (usize, (&StandIn, &EngineOptions))| {
        json!({"name": engine.name, "url": engine.url, "domain": domain(index),
            "capacity": format!("{}GiB", options.capacity_gib), "slots": options.slots, "fenced": options.fenced,
            "order_life": options.order_life})
    };
    let runners: Vec<Value> =
        site.engines.iter().zip(&options.engines).enumerate().map(runner).collect();
    let model = |(name, size): &(&str, &str)| {
        let kind = if *name == "tagger" { "archive" } else { "deadline" };
        json!({"name": name, "versions": [{"name": "v1", "size": size}], "labels": {"kind": kind}})
    };
    let models: Vec<Value> = options.models.iter().map(model).collect();
    let mut catalog = json!({
        "callers": [
            {"name": "desk", "token_sha256": vanetally_daemon::token_hash(TOKEN), "labels": {"team": "desk"}},
            {"name": "guest", "token_sha256": vanetally_daemon::token_hash("guest-token"), "labels": {"team": "guest"}},
        ],
        "models": models,
        "runners": runners,
        "services": [
            {"name": "book", "labels": {"kind": "once"}, "instances": [
                {"name": "book-1", "url": site.service.url, "domain": "a", "slots": 64}]},
            {"name": "read", "labels": {"kind": "plain"}, "instances": [
                {"name": "read-1", "url": site.service.url, "domain": "a", "slots": 64}]},
        ],
        "admit": [{"callers": "team=desk", "targets": ""}, {"callers": "team=guest", "targets": "kind=plain"}],
        "classes": [{"name": "archive", "select": "kind=archive"}, {"name": "deadline", "select": "kind=deadline"}],
        "yields": [{"low": "archive", "high": "deadline"}],
        "once": ["kind=once"],
        "store": {"loads_per_10s": 100, "slots": 10},
        "move_price": 1,
    });
    for (key, value) in options.extra.as_object().into_iter().flatten() {
        catalog[key] = value.clone();
    }
    catalog
}
