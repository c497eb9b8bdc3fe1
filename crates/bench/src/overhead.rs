//! Measures what a daemon adds, by streams through it and directly to the same engine in turns.
//!
//! The daemon runs in a separate process, so that its memory and processor time can be read.

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

/// Number of streams that are open while memory is measured.
const MEMORY_STREAMS: usize = 300;
/// Number of tokens of a stream.
const STREAM_TOKENS: u64 = 50;
/// Time between two tokens of a stream.
const TOKEN_MS: u64 = 20;
/// Time within which all streams of a burst begin.
const BURST_SPREAD: Duration = Duration::from_millis(20);
/// Number of concurrent clients when throughput is measured.
const CLIENTS: usize = 32;
/// Duration of the throughput measurement.
const THROUGHPUT_SECS: u64 = 5;
/// Time without load before and during the measurement of the idle daemon.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Timeout of calls, and of waiting until the daemon serves the models.
const TIMEOUT: Duration = Duration::from_secs(30);
const CREDENTIAL: &str = "bench-credential";
const TOKEN: &str = "bench-token";
/// Clock ticks per second in `/proc/PID/stat`.
const CLOCK_TICKS_PER_SEC: f64 = 100.0;

/// Runs a daemon with the settings at `path` until it stops.
///
/// # Errors
/// If the daemon can't start.
pub fn run_daemon(path: &Path) -> anyhow::Result<()> {
    let daemon = Daemon::try_start(Settings::from_path(path)?)?;
    daemon.join();
    Ok(())
}

/// Latencies in microseconds: time to the first token, and time between tokens.
struct Latencies {
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
}

impl Latencies {
    fn new() -> anyhow::Result<Self> {
        Ok(Self { first_token: Histogram::new(3)?, token_gap: Histogram::new(3)? })
    }
}

/// Process of the daemon; killed when dropped.
struct DaemonProcess(Child);

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl DaemonProcess {
    /// Returns a value of `/proc/PID/status` in KiB.
    fn memory_kib(&self, key: &str) -> anyhow::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()))?;
        let line = text.lines().find(|line| line.starts_with(key)).context("no such line")?;
        let number = line.split_whitespace().nth(1).context("no number")?;
        Ok(number.parse()?)
    }

    /// Returns the processor time used so far, in seconds.
    fn cpu_seconds(&self) -> anyhow::Result<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        let after_name = text.rsplit_once(')').context("no name")?.1;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        Ok(ticks / CLOCK_TICKS_PER_SEC)
    }
}

/// Measures the overhead of a daemon and prints the results.
///
/// # Errors
/// If a process or server can't be started, or a call fails.
pub fn run(rounds: u32, stream_count: usize, is_burst: bool) -> anyhow::Result<()> {
    let spread =
        if is_burst { BURST_SPREAD } else { Duration::from_millis(STREAM_TOKENS * TOKEN_MS) };
    let any_port: SocketAddr = "127.0.0.1:0".parse()?;
    let (platform, _platform) = Platform::try_start(any_port, CREDENTIAL)?;
    let slow_options = engine::Options {
        slots: 2 * MEMORY_STREAMS as u32,
        token_interval: Duration::from_millis(TOKEN_MS),
        ..engine::Options::default()
    };
    let fast_options = engine::Options { token_interval: Duration::ZERO, ..slow_options.clone() };
    let (slow, _slow) = Engine::try_start(any_port, slow_options)?;
    let (fast, _fast) = Engine::try_start(any_port, fast_options)?;
    publish(platform, slow, fast)?;
    let settings_dir = std::env::temp_dir().join(format!("vanetally-bench-{}", std::process::id()));
    std::fs::create_dir_all(&settings_dir)?;
    let (daemon, listen) = start_daemon(&settings_dir, platform)?;
    wait_until_ready(listen)?;
    let (idle_kib, idle_cores) = measure_idle(&daemon)?;
    let (via_daemon, direct) = (Latencies::new()?, Latencies::new()?);
    let (via_daemon, direct) = (Mutex::new(via_daemon), Mutex::new(direct));
    // The first round starts the threads of all connections, so it is reported separately.
    let cold = Mutex::new(Latencies::new()?);
    open_streams(listen, "slow", spread, stream_count, &cold)?;
    open_streams(slow, "slow@v1", spread, stream_count, &Mutex::new(Latencies::new()?))?;
    for _ in 0..rounds {
        open_streams(listen, "slow", spread, stream_count, &via_daemon)?;
        open_streams(slow, "slow@v1", spread, stream_count, &direct)?;
    }
    let (loaded_kib, peak_kib) = measure_memory(&daemon, listen)?;
    let (requests_per_sec, cores) = measure_throughput(&daemon, listen)?;
    std::fs::remove_dir_all(&settings_dir)?;
    let added_ms =
        |histogram_of: fn(&Latencies) -> &Histogram<u64>, quantile: f64| -> anyhow::Result<f64> {
            let value_ms = |latencies: &Mutex<Latencies>| -> anyhow::Result<f64> {
                let latencies = latencies.lock().map_err(|_| anyhow::anyhow!("poisoned"))?;
                Ok(histogram_of(&latencies).value_at_quantile(quantile) as f64 / 1_000.0)
            };
            Ok(value_ms(&via_daemon)? - value_ms(&direct)?)
        };
    let first_token: fn(&Latencies) -> &Histogram<u64> = |latencies| &latencies.first_token;
    let token_gap: fn(&Latencies) -> &Histogram<u64> = |latencies| &latencies.token_gap;
    for (name, latencies) in [("cold", &cold), ("through", &via_daemon), ("straight", &direct)] {
        let latencies = latencies.lock().map_err(|_| anyhow::anyhow!("poisoned"))?;
        let quantile_ms = |q: f64| latencies.first_token.value_at_quantile(q) as f64 / 1_000.0;
        println!(
            "first path={name} p50_ms={:.3} p90_ms={:.3} p95_ms={:.3} p99_ms={:.3} max_ms={:.3}",
            quantile_ms(0.5),
            quantile_ms(0.9),
            quantile_ms(0.95),
            quantile_ms(0.99),
            quantile_ms(1.0)
        );
    }
    print!("overhead streams={stream_count} rounds={rounds} burst={is_burst}");
    for (name, histogram_of) in [("first", first_token), ("gap", token_gap)] {
        for (label, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            print!(" added_{name}_{label}_ms={:.3}", added_ms(histogram_of, quantile)?);
        }
    }
    let kib_per_stream = (loaded_kib.saturating_sub(idle_kib)) as f64 / MEMORY_STREAMS as f64;
    println!(
        " rate={requests_per_sec:.0} rate_per_core={:.0} idle_mb={:.1} \
         idle_core_percent={:.2} streams_{MEMORY_STREAMS}_mb={:.1} kib_per_stream={kib_per_stream:.1} peak_mb={:.1}",
        requests_per_sec / cores.max(0.001),
        idle_kib as f64 / 1024.0,
        idle_cores * 100.0,
        loaded_kib as f64 / 1024.0,
        peak_kib as f64 / 1024.0
    );
    Ok(())
}

fn publish(platform: SocketAddr, slow: SocketAddr, fast: SocketAddr) -> anyhow::Result<()> {
    let runner = |name: &str, address: SocketAddr| {
        json!({"name": name, "url": format!("http://{address}"), "domain": "a",
            "capacity": "80GiB", "slots": 2 * MEMORY_STREAMS, "fenced": true,
            "labels": {"runner": name}})
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
    let client = HttpPlatform::new(&format!("http://{platform}"), CREDENTIAL.into(), TIMEOUT);
    client.put("config/head", 0, &serde_json::to_vec(&revision)?)?;
    Ok(())
}

fn start_daemon(
    settings_dir: &Path,
    platform: SocketAddr,
) -> anyhow::Result<(DaemonProcess, SocketAddr)> {
    let free_address = || -> anyhow::Result<SocketAddr> {
        Ok(std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?)
    };
    let (listen, admin, peer) = (free_address()?, free_address()?, free_address()?);
    let settings = json!({
        "host": "entry-1", "domain": "a", "listen": listen.to_string(),
        "admin": admin.to_string(), "peer": peer.to_string(),
        "platform": format!("http://{platform}"), "credential": CREDENTIAL,
        "link_key": "bench-link-key-0123456789",
    });
    let path = settings_dir.join("settings.json");
    std::fs::write(&path, settings.to_string())?;
    let hosts = json!([{"name": "entry-1", "peer": peer.to_string(), "domain": "a"}]);
    let call = Call {
        method: "PUT".into(),
        url: format!("http://{platform}/hosts"),
        headers: Vec::new(),
        body: hosts.to_string().into_bytes(),
        timeout: TIMEOUT,
    };
    client().send(&call)?;
    let child = Command::new(std::env::current_exe()?)
        .arg("child")
        .arg(&path)
        .stdin(Stdio::null())
        .spawn()
        .context("start the daemon")?;
    Ok((DaemonProcess(child), listen))
}

fn client() -> Client {
    Client::new(Options { connect_timeout: TIMEOUT, idle_timeout: TIMEOUT })
}

fn completion_call(address: SocketAddr, model: &str, tokens: u64, stream: bool) -> Call {
    // The engine is called with the name of an entry (`model@version`), the daemon with that of a
    // model.
    let body = json!({"model": model, "prompt": "x", "max_tokens": tokens, "stream": stream});
    Call {
        method: "POST".into(),
        url: format!("http://{address}/v1/completions"),
        headers: vec![("Authorization".into(), format!("Bearer {TOKEN}"))],
        body: body.to_string().into_bytes(),
        timeout: TIMEOUT,
    }
}

fn wait_until_ready(listen: SocketAddr) -> anyhow::Result<()> {
    let started = Instant::now();
    let client = client();
    for model in ["slow", "fast"] {
        while !client
            .send(&completion_call(listen, model, 1, false))
            .is_ok_and(|response| response.status == 200)
        {
            ensure!(started.elapsed() < TIMEOUT, "`{model}` is not served");
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(())
}

/// Returns the memory in KiB and the processor cores used without load.
fn measure_idle(daemon: &DaemonProcess) -> anyhow::Result<(u64, f64)> {
    thread::sleep(IDLE_TIME);
    let cpu_before = daemon.cpu_seconds()?;
    thread::sleep(IDLE_TIME);
    let cores = (daemon.cpu_seconds()? - cpu_before) / IDLE_TIME.as_secs_f64();
    Ok((daemon.memory_kib("VmRSS")?, cores))
}

/// Opens `stream_count` streams, which start over the time `spread`, and records their latencies.
fn open_streams(
    address: SocketAddr,
    model: &str,
    spread: Duration,
    stream_count: usize,
    latencies: &Mutex<Latencies>,
) -> anyhow::Result<()> {
    let client = client();
    let results: Vec<anyhow::Result<()>> = thread::scope(|scope| {
        let open_stream = || measure_stream(&client, address, model, latencies);
        let threads: Vec<_> = (0..stream_count)
            .map(|_| {
                // Callers are independent, so their streams don't start at the same time.
                thread::sleep(spread / stream_count as u32);
                scope.spawn(open_stream)
            })
            .collect();
        let join = |worker: thread::ScopedJoinHandle<'_, anyhow::Result<()>>| {
            worker.join().unwrap_or_else(|_| Err(anyhow::anyhow!("a client failed")))
        };
        threads.into_iter().map(join).collect()
    });
    results.into_iter().collect()
}

fn measure_stream(
    client: &Client,
    address: SocketAddr,
    model: &str,
    latencies: &Mutex<Latencies>,
) -> anyhow::Result<()> {
    let started = Instant::now();
    let mut response = client.send(&completion_call(address, model, STREAM_TOKENS, true))?;
    ensure!(response.status == 200, "status {}", response.status);
    let mut buffer = [0; 4096];
    let mut arrivals = Vec::with_capacity(STREAM_TOKENS as usize + 1);
    let mut body = Vec::new();
    loop {
        match response.body.read(&mut buffer)? {
            0 => break,
            len => {
                arrivals.push(started.elapsed());
                body.write_all(&buffer[..len])?;
            }
        }
    }
    ensure!(body.ends_with(b"data: [DONE]\n\n"), "a stream was cut");
    let mut latencies = latencies.lock().map_err(|_| anyhow::anyhow!("poisoned"))?;
    if let Some(first) = arrivals.first() {
        latencies.first_token.record(first.as_micros() as u64)?;
    }
    for pair in arrivals.windows(2) {
        latencies.token_gap.record((pair[1] - pair[0]).as_micros() as u64)?;
    }
    Ok(())
}

/// Returns the peak memory in KiB while [`MEMORY_STREAMS`] streams are open, and the peak since the
/// daemon started.
fn measure_memory(daemon: &DaemonProcess, listen: SocketAddr) -> anyhow::Result<(u64, u64)> {
    let latencies = Mutex::new(Latencies::new()?);
    let peak_kib = thread::scope(|scope| -> anyhow::Result<u64> {
        let streams =
            scope.spawn(|| open_streams(listen, "slow", BURST_SPREAD, MEMORY_STREAMS, &latencies));
        let mut peak_kib = 0;
        while !streams.is_finished() {
            peak_kib = peak_kib.max(daemon.memory_kib("VmRSS")?);
            thread::sleep(Duration::from_millis(20));
        }
        streams.join().unwrap_or_else(|_| Err(anyhow::anyhow!("the streams failed")))?;
        Ok(peak_kib)
    })?;
    Ok((peak_kib, daemon.memory_kib("VmHWM")?))
}

/// Returns the requests per second, and the processor cores that the daemon used for them.
fn measure_throughput(daemon: &DaemonProcess, listen: SocketAddr) -> anyhow::Result<(f64, f64)> {
    let client = client();
    let (started, cpu_before) = (Instant::now(), daemon.cpu_seconds()?);
    let requests: u64 = thread::scope(|scope| {
        let send_requests = || {
            let mut count = 0;
            while started.elapsed() < Duration::from_secs(THROUGHPUT_SECS) {
                let Ok(mut response) = client.send(&completion_call(listen, "fast", 1, false))
                else {
                    break;
                };
                let mut body = Vec::new();
                if response.status != 200 || response.body.read_to_end(&mut body).is_err() {
                    break;
                }
                count += 1;
            }
            count
        };
        let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(send_requests)).collect();
        clients.into_iter().map(|client| client.join().unwrap_or(0)).sum()
    });
    let elapsed_secs = started.elapsed().as_secs_f64();
    Ok((requests as f64 / elapsed_secs, (daemon.cpu_seconds()? - cpu_before) / elapsed_secs))
}
