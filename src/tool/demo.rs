//! The command `vanetally demo`: entry hosts and stand-ins on loopback in one process.

use anyhow::Context;
use serde_json::{Value, json};
use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use vanetally_config::{Catalog, Revision, Settings, check};
use vanetally_daemon::{Daemon, token_hash};
use vanetally_link::{
    call::{Call, Client, Options},
    platform::{HttpPlatform, Platform as _, PutOutcome},
};
use vanetally_standin::{
    engine::{self, Engine},
    platform::Platform,
    service::Service,
    store::Store,
};

const CREDENTIAL: &str = "demo-credential";
const TOKEN: &str = "demo-token";
const GIB: u64 = 1 << 30;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const LISTEN_PORTS: [u16; 2] = [18_080, 18_090];
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the demonstration until the process is terminated.
pub fn run() -> anyhow::Result<()> {
    let any_port: SocketAddr = "127.0.0.1:0".parse()?;
    let (platform, _platform_stopper) = Platform::try_start(any_port, CREDENTIAL)?;
    let (store, _store_stopper) = Store::try_start(any_port, 50, 10)?;
    let mut engines = Vec::new();
    for index in 0..DOMAINS.len() {
        let options = engine::Options {
            capacity: 48 * GIB,
            fenced: index != 2,
            store_url: Some(format!("http://{store}")),
            ..engine::Options::default()
        };
        engines.push(Engine::try_start(any_port, options)?);
    }
    let (service, _service_stopper) = Service::try_start(any_port, Duration::from_millis(5))?;
    let addresses: Vec<SocketAddr> = engines.iter().map(|(address, _)| *address).collect();
    publish(&platform.to_string(), &catalog(&addresses, service)?)?;
    let daemons = start_daemons(&platform.to_string())?;
    wait_ready(&daemons)?;
    print_examples(&daemons);
    loop {
        thread::park();
    }
}

fn catalog(engines: &[SocketAddr], service: SocketAddr) -> anyhow::Result<Catalog> {
    let runner = |(index, address): (usize, &SocketAddr)| {
        json!({"name": format!("runner-{}", index + 1), "url": format!("http://{address}"),
            "domain": DOMAINS[index], "capacity": "48GiB", "slots": 16, "fenced": index != 2})
    };
    let model = |name: &str, size: &str, kind: &str| json!({"name": name, "versions": [{"name": "v1", "size": size}], "labels": {"kind": kind}});
    let runners: Vec<Value> = engines.iter().enumerate().map(runner).collect();
    let value = json!({
        "callers": [{"name": "demo", "token_sha256": token_hash(TOKEN),
            "labels": {"team": "demo"}}],
        "models": [
            model("ladder", "16GiB", "deadline"),
            model("summary", "20GiB", "deadline"),
            model("tagger", "12GiB", "archive"),
            model("offer", "24GiB", "deadline"),
        ],
        "adapters": [{"name": "ladder-hydro", "base": "ladder@v1", "size": "1GiB",
            "labels": {"kind": "deadline"}}],
        "runners": runners,
        "services": [{"name": "ledger", "labels": {"kind": "once"}, "instances": [
            {"name": "ledger-1", "url": format!("http://{service}"), "domain": "a", "slots": 32}]}],
        "admit": [{"callers": "team=demo", "targets": ""}],
        "classes": [{"name": "archive", "select": "kind=archive"},
            {"name": "deadline", "select": "kind=deadline"}],
        "yields": [{"low": "archive", "high": "deadline"}],
        "once": ["kind=once"],
        "store": {"loads_per_10s": 50, "slots": 10},
        "move_price": 5,
    });
    let catalog: Catalog = serde_json::from_value(value)?;
    let faults = check::check(&catalog);
    anyhow::ensure!(faults.is_empty(), "the demonstration's catalog: {}", faults.join("; "));
    Ok(catalog)
}

fn publish(platform: &str, catalog: &Catalog) -> anyhow::Result<()> {
    let revision = Revision {
        number: 1,
        change: "demo".into(),
        earlier: Vec::new(),
        catalog: catalog.clone(),
    };
    let client =
        HttpPlatform::new(&format!("http://{platform}"), CREDENTIAL.into(), Duration::from_secs(5));
    let outcome = client.put("config/head", 0, &serde_json::to_vec(&revision)?)?;
    anyhow::ensure!(matches!(outcome, PutOutcome::Written(_)), "the configuration was not taken");
    Ok(())
}

fn free_address() -> anyhow::Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

fn start_daemons(platform: &str) -> anyhow::Result<Vec<Arc<Daemon>>> {
    let mut settings = Vec::new();
    for (index, port) in LISTEN_PORTS.iter().enumerate() {
        let value = json!({
            "host": format!("entry-{}", index + 1), "domain": DOMAINS[index],
            "listen": format!("127.0.0.1:{port}"), "admin": format!("127.0.0.1:{}", port + 1),
            "peer": free_address()?.to_string(), "platform": format!("http://{platform}"),
            "credential": CREDENTIAL, "link_key": "demo-link-key-0123456789",
        });
        settings.push(serde_json::from_value::<Settings>(value)?);
    }
    let hosts: Vec<Value> = settings
        .iter()
        .map(|s| json!({"name": s.host, "peer": s.peer.to_string(), "domain": s.domain}))
        .collect();
    let client = http_client();
    let call = Call {
        method: "PUT".into(),
        url: format!("http://{platform}/hosts"),
        headers: Vec::new(),
        body: serde_json::to_vec(&hosts)?,
        timeout: READY_TIMEOUT,
    };
    client.send(&call).context("list the hosts")?;
    let start_daemon = |settings: Settings| Ok(Arc::new(Daemon::try_start(settings)?));
    settings.into_iter().map(start_daemon).collect()
}

fn http_client() -> Client {
    Client::new(Options { connect_timeout: READY_TIMEOUT, idle_timeout: READY_TIMEOUT })
}

/// Waits until the first entry host serves every model and adapter.
fn wait_ready(daemons: &[Arc<Daemon>]) -> anyhow::Result<()> {
    let started = Instant::now();
    let client = http_client();
    for model in ["ladder", "summary", "tagger", "offer", "ladder-hydro"] {
        loop {
            let body = json!({"model": model, "prompt": "ready?", "max_tokens": 1});
            let call = Call {
                method: "POST".into(),
                url: format!("http://{}/v1/completions", daemons[0].addresses().0),
                headers: vec![("Authorization".into(), format!("Bearer {TOKEN}"))],
                body: body.to_string().into_bytes(),
                timeout: READY_TIMEOUT,
            };
            if client.send(&call).is_ok_and(|answer| answer.status == 200) {
                break;
            }
            anyhow::ensure!(started.elapsed() < READY_TIMEOUT, "`{model}` is not served");
            thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(())
}

fn print_examples(daemons: &[Arc<Daemon>]) {
    let (first, admin) = daemons[0].addresses();
    let (second, _) = daemons[1].addresses();
    println!(
        "\
Two entry hosts, three engines, a service and a platform run on loopback. Try:

curl -s http://{first}/v1/models -H 'Authorization: Bearer {TOKEN}'

curl -s http://{first}/v1/chat/completions -H 'Authorization: Bearer {TOKEN}' \\
  -d '{{\"model\":\"ladder\",\"messages\":[{{\"role\":\"user\",\"content\":\"price it\"}}]}}'

curl -sN http://{second}/v1/completions -H 'Authorization: Bearer {TOKEN}' \\
  -d '{{\"model\":\"ladder-hydro\",\"prompt\":\"price it\",\"stream\":true,\"max_tokens\":4}}'

curl -s http://{first}/services/ledger/book -H 'Authorization: Bearer {TOKEN}' \\
  -H 'Idempotency-Key: offer-17' -d 'one megawatt'

curl -s http://{second}/services/ledger/book -H 'Authorization: Bearer {TOKEN}' \\
  -H 'Idempotency-Key: offer-17' -d 'one megawatt'

curl -s http://{admin}/readyz

The fourth and the fifth carry the same id through two hosts: it runs once.
Ctrl-C ends the demonstration."
    );
}
