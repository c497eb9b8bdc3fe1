//! What a daemon adds: streams through it and straight to the same engine, in turns.
//!
//! The daemon runs as a process of its own, so that its memory and processor time can be read.

use anyhow::{Context, ensure};
use hdrhistogram::Histogram;
use serde_json::json;
use std::{
    io::{Read, Write},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};
use vanetally_config::{Catalog, Revision, Settings};
use vanetally_daemon::{Daemon, token_hash};
use vanetally_link::{
    call::{Call, Client, Options},
    platform::{HttpPlatform, Platform as _},
};
use vanetally_standin::{
    engine::{self, Engine},
    platform::Platform,
};

/// Streams open at once when memory is read.
const MANY: usize = 300;
/// Tokens of a stream, and milliseconds between them.
const TOKENS: u64 = 50;
const TOKEN_MILLIS: u64 = 20;
/// All streams of a burst begin within this time.
const BURST: Duration = Duration::from_millis(20);
/// Clients and seconds of the throughput run.
const CLIENTS: usize = 32;
const SECONDS: u64 = 5;
const IDLE: Duration = Duration::from_secs(5);
const PATIENCE: Duration = Duration::from_secs(30);
const CREDENTIAL: &str = "bench-credential";
const TOKEN: &str = "bench-token";
/// Clock ticks a second in `/proc/PID/stat`.
const TICKS: f64 = 100.0;

/// Runs a daemon with the settings at `path` until the process is ended.
///
/// # Errors
/// If it can't start.
pub fn child(path: &Path) -> anyhow::Result<()> {
    let daemon = Daemon::try_start(Settings::from_path(path)?)?;
    daemon.join();
    Ok(())
}

/// Times in microseconds.
struct Times {
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

impl Times {
    fn new() -> anyhow::Result<Self> {
        Ok(Self { first: Histogram::new(3)?, gap: Histogram::new(3)? })
    }
}

/// The daemon's process.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// A value of `/proc/PID/status` in kibibytes.
    fn kib(&self, key: &str) -> anyhow::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()))?;
        let line = text.lines().find(|l| l.starts_with(key)).context("no such line")?;
        let number = line.split_whitespace().nth(1).context("no number")?;
        Ok(number.parse()?)
    }

    /// Processor time used so far, in seconds.
    fn seconds(&self) -> anyhow::Result<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        let rest = text.rsplit_once(')').context("no name")?.1;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        Ok(ticks / TICKS)
    }
}

/// Measures and prints.
///
/// # Errors
/// If anything can't be started or called.
pub fn run(rounds: u32, count: usize, burst: bool) -> anyhow::Result<()> {
    let spread = if burst { BURST } else { Duration::from_millis(TOKENS * TOKEN_MILLIS) };
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    let (platform, _platform) = Platform::try_start(any, CREDENTIAL)?;
    let slow = engine::Options {
        slots: 2 * MANY as u32,
        token_interval: Duration::from_millis(TOKEN_MILLIS),
        ..engine::Options::default()
    };
    let fast = engine::Options { token_interval: Duration::ZERO, ..slow.clone() };
    let (slow, _slow) = Engine::try_start(any, slow)?;
    let (fast, _fast) = Engine::try_start(any, fast)?;
    publish(platform, slow, fast)?;
    let directory = std::env::temp_dir().join(format!("vanetally-bench-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let (daemon, listen) = start(&directory, platform)?;
    wait_ready(listen)?;
    let (idle_kib, idle_core) = idle(&daemon)?;
    let (through, straight) = (Times::new()?, Times::new()?);
    let (through, straight) = (Mutex::new(through), Mutex::new(straight));
    // The first round makes the threads of all connections; it is reported by itself.
    let cold = Mutex::new(Times::new()?);
    streams(listen, "slow", spread, count, &cold)?;
    streams(slow, "slow@v1", spread, count, &Mutex::new(Times::new()?))?;
    for _ in 0..rounds {
        streams(listen, "slow", spread, count, &through)?;
        streams(slow, "slow@v1", spread, count, &straight)?;
    }
    let (many_kib, peak_kib) = memory(&daemon, listen)?;
    let (rate, core) = throughput(&daemon, listen)?;
    std::fs::remove_dir_all(&directory)?;
    let added = |of: fn(&Times) -> &Histogram<u64>, quantile: f64| -> anyhow::Result<f64> {
        let value = |times: &Mutex<Times>| -> anyhow::Result<f64> {
            let times = times.lock().map_err(|_| anyhow::anyhow!("poisoned"))?;
            Ok(of(&times).value_at_quantile(quantile) as f64 / 1_000.0)
        };
        Ok(value(&through)? - value(&straight)?)
    };
    let first: fn(&Times) -> &Histogram<u64> = |t| &t.first;
    let gap: fn(&Times) -> &Histogram<u64> = |t| &t.gap;
    for (name, t) in [("cold", &cold), ("through", &through), ("straight", &straight)] {
        let t = t.lock().map_err(|_| anyhow::anyhow!("poisoned"))?;
        let at = |q: f64| t.first.value_at_quantile(q) as f64 / 1_000.0;
        println!(
            "first path={name} p50_ms={:.3} p90_ms={:.3} p95_ms={:.3} p99_ms={:.3} max_ms={:.3}",
            at(0.5),
            at(0.9),
            at(0.95),
            at(0.99),
            at(1.0)
        );
    }
    print!("overhead streams={count} rounds={rounds} burst={burst}");
    for (name, of) in [("first", first), ("gap", gap)] {
        for (label, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            print!(" added_{name}_{label}_ms={:.3}", added(of, quantile)?);
        }
    }
    let per_stream = (many_kib.saturating_sub(idle_kib)) as f64 / MANY as f64;
    println!(
        " rate={rate:.0} rate_per_core={:.0} idle_mb={:.1} idle_core_percent={:.2} \
         streams_{MANY}_mb={:.1} kib_per_stream={per_stream:.1} peak_mb={:.1}",
        rate / core.max(0.001),
        idle_kib as f64 / 1024.0,
        idle_core * 100.0,
        many_kib as f64 / 1024.0,
        peak_kib as f64 / 1024.0
    );
    Ok(())
}

fn publish(platform: SocketAddr, slow: SocketAddr, fast: SocketAddr) -> anyhow::Result<()> {
    let runner = |name: &str, address: SocketAddr| {
        json!({"name": name, "url": format!("http://{address}"), "domain": "a",
            "capacity": "80GiB", "slots": 2 * MANY, "fenced": true, "labels": {"runner": name}})
    };
    let model = |name: &str| {
        json!({"name": name, "versions": [{"name": "v1", "size": "1GiB"}],
            "labels": {"model": name}})
    };
    let place = |name: &str| json!({"models": format!("model={name}"), "runners": format!("runner={name}")});
    let catalog: Catalog = serde_json::from_value(json!({
        "callers": [{"name": "bench", "token_sha256": token_hash(TOKEN)}],
        "models": [model("slow"), model("fast")],
        "runners": [runner("slow", slow), runner("fast", fast)],
        "place": [place("slow"), place("fast")],
        "admit": [{"callers": "", "targets": ""}],
    }))?;
    let revision = Revision { number: 1, change: "bench".into(), catalog, ..Revision::default() };
    let client = HttpPlatform::new(&format!("http://{platform}"), CREDENTIAL.into(), PATIENCE);
    client.put("config/head", 0, &serde_json::to_vec(&revision)?)?;
    Ok(())
}

fn start(directory: &Path, platform: SocketAddr) -> anyhow::Result<(Process, SocketAddr)> {
    let port = || -> anyhow::Result<SocketAddr> {
        Ok(std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?)
    };
    let (listen, admin, peer) = (port()?, port()?, port()?);
    let settings = json!({
        "host": "entry-1", "domain": "a", "listen": listen.to_string(),
        "admin": admin.to_string(), "peer": peer.to_string(),
        "platform": format!("http://{platform}"), "credential": CREDENTIAL,
        "link_key": "bench-link-key-0123456789",
    });
    let path = directory.join("settings.json");
    std::fs::write(&path, settings.to_string())?;
    let hosts = json!([{"name": "entry-1", "peer": peer.to_string(), "domain": "a"}]);
    let call = Call {
        method: "PUT".into(),
        url: format!("http://{platform}/hosts"),
        headers: Vec::new(),
        body: hosts.to_string().into_bytes(),
        timeout: PATIENCE,
    };
    caller().send(&call)?;
    let child = Command::new(std::env::current_exe()?)
        .arg("child")
        .arg(&path)
        .stdin(Stdio::null())
        .spawn()
        .context("start the daemon")?;
    Ok((Process(child), listen))
}

fn caller() -> Client {
    Client::new(Options { connect_timeout: PATIENCE, idle_timeout: PATIENCE })
}

fn call(address: SocketAddr, model: &str, tokens: u64, stream: bool) -> Call {
    // The engine knows the entry, the daemon the model.
    let body = json!({"model": model, "prompt": "x", "max_tokens": tokens, "stream": stream});
    Call {
        method: "POST".into(),
        url: format!("http://{address}/v1/completions"),
        headers: vec![("Authorization".into(), format!("Bearer {TOKEN}"))],
        body: body.to_string().into_bytes(),
        timeout: PATIENCE,
    }
}

fn wait_ready(listen: SocketAddr) -> anyhow::Result<()> {
    let began = Instant::now();
    let caller = caller();
    for model in ["slow", "fast"] {
        while !caller.send(&call(listen, model, 1, false)).is_ok_and(|a| a.status == 200) {
            ensure!(began.elapsed() < PATIENCE, "`{model}` is not served");
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(())
}

/// Memory in kibibytes and share of a core without load.
fn idle(daemon: &Process) -> anyhow::Result<(u64, f64)> {
    thread::sleep(IDLE);
    let before = daemon.seconds()?;
    thread::sleep(IDLE);
    let core = (daemon.seconds()? - before) / IDLE.as_secs_f64();
    Ok((daemon.kib("VmRSS")?, core))
}

/// Opens `count` streams at once and notes their times.
fn streams(
    address: SocketAddr,
    model: &str,
    spread: Duration,
    count: usize,
    times: &Mutex<Times>,
) -> anyhow::Result<()> {
    let caller = caller();
    let results: Vec<anyhow::Result<()>> = thread::scope(|scope| {
        let one = || stream(&caller, address, model, times);
        let threads: Vec<_> = (0..count)
            .map(|_| {
                // Callers know nothing of each other: they come all over a stream's time.
                thread::sleep(spread / count as u32);
                scope.spawn(one)
            })
            .collect();
        let join = |t: thread::ScopedJoinHandle<'_, anyhow::Result<()>>| {
            t.join().unwrap_or_else(|_| Err(anyhow::anyhow!("a client failed")))
        };
        threads.into_iter().map(join).collect()
    });
    results.into_iter().collect()
}

fn stream(
    caller: &Client,
    address: SocketAddr,
    model: &str,
    times: &Mutex<Times>,
) -> anyhow::Result<()> {
    let began = Instant::now();
    let mut answer = caller.send(&call(address, model, TOKENS, true))?;
    ensure!(answer.status == 200, "status {}", answer.status);
    let mut piece = [0; 4096];
    let mut seen = Vec::with_capacity(TOKENS as usize + 1);
    let mut body = Vec::new();
    loop {
        match answer.body.read(&mut piece)? {
            0 => break,
            len => {
                seen.push(began.elapsed());
                body.write_all(&piece[..len])?;
            }
        }
    }
    ensure!(body.ends_with(b"data: [DONE]\n\n"), "a stream was cut");
    let mut times = times.lock().map_err(|_| anyhow::anyhow!("poisoned"))?;
    if let Some(first) = seen.first() {
        times.first.record(first.as_micros() as u64)?;
    }
    for pair in seen.windows(2) {
        times.gap.record((pair[1] - pair[0]).as_micros() as u64)?;
    }
    Ok(())
}

/// Memory in kibibytes while many streams are open, and the most there ever was.
fn memory(daemon: &Process, listen: SocketAddr) -> anyhow::Result<(u64, u64)> {
    let times = Mutex::new(Times::new()?);
    let most = thread::scope(|scope| -> anyhow::Result<u64> {
        let running = scope.spawn(|| streams(listen, "slow", BURST, MANY, &times));
        let mut most = 0;
        while !running.is_finished() {
            most = most.max(daemon.kib("VmRSS")?);
            thread::sleep(Duration::from_millis(20));
        }
        running.join().unwrap_or_else(|_| Err(anyhow::anyhow!("the streams failed")))?;
        Ok(most)
    })?;
    Ok((most, daemon.kib("VmHWM")?))
}

/// Requests a second, and the cores that the daemon used for them.
fn throughput(daemon: &Process, listen: SocketAddr) -> anyhow::Result<(f64, f64)> {
    let caller = caller();
    let (began, before) = (Instant::now(), daemon.seconds()?);
    let total: u64 = thread::scope(|scope| {
        let client = || {
            let mut count = 0;
            while began.elapsed() < Duration::from_secs(SECONDS) {
                let Ok(mut answer) = caller.send(&call(listen, "fast", 1, false)) else { break };
                let mut body = Vec::new();
                if answer.status != 200 || answer.body.read_to_end(&mut body).is_err() {
                    break;
                }
                count += 1;
            }
            count
        };
        let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(client)).collect();
        clients.into_iter().map(|c| c.join().unwrap_or(0)).sum()
    });
    let elapsed = began.elapsed().as_secs_f64();
    Ok((total as f64 / elapsed, (daemon.seconds()? - before) / elapsed))
}
