//! What the case uses: addresses, the program as a process, servers, clients and the record.

use serde_json::{Value, json};
use socket2::{Domain, Protocol, Socket, Type};
use std::{
    fs::{self, File},
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::Store;

/// Exit codes of the case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

const FRONT_PORT: u16 = 8_149;
const READY_PORT: u16 = 8_141;
/// The host name of all routes.
pub const SITE: &str = "site.example";

/// Returns a loopback address of this process's own.
pub fn fresh_ip() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (process, next) = (process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    format!("127.{}.{}.{}", 1 + process / 250 % 250, 1 + process % 250, 1 + next % 250)
}

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} s  {}\n", text.as_ref());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-3-{}", process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A host: the project's program as a process.
pub struct Host {
    child: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
}

/// The settings of a host, as the platform's template lays them out, with the bounds of the sheets.
pub fn settings(name: &str, zone: &str, ip: &str, store: SocketAddr) -> Value {
    let machine = json!({
        "node_name": name, "role": "gateway", "machine_class": "front", "serves": ["front"],
        "ip": ip, "zone": zone, "region": "pnw",
        "internal_port_range": [7380, 7395], "seed_nodes": [], "initial_start": false,
        "fault_counted": false, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
        "zones": { zone: "pnw" },
        "listen_addrs": {
            "front": format!("{ip}:{FRONT_PORT}"), "ready": format!("{ip}:{READY_PORT}"),
        },
        "limits": {
            "cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100,
            "link_mbps": 1000.0, "disk_mb": 0,
        },
        "bounds": {
            "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000,
            "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
            "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000,
            "budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 58, "recovery_s": 12,
            "pass_ms": 120, "retry_after_s": 0, "fencing_enforced": true, "lease_ms": 3000,
            "thaw_ms": 300, "ceiling_window_s": 5, "ceiling_excess": 1.1,
        },
        "platform": {
            "address": store.to_string(), "form": "kv", "writes_per_s": 400,
            "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
        },
    });
    json!({
        "scheduling": {
            "prefix_affinity": true, "shared_queue": true, "quota_wait": true, "slot_grants": true,
        },
        "machine": machine,
    })
}

impl Host {
    /// Starts a host with the command of the deploy file.
    pub fn start(folder: &Path, name: &str, ip: &str, settings: &Value) -> io::Result<Self> {
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&path, &log)?;
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Ok(Self { child, front: address(FRONT_PORT), ready: address(READY_PORT) })
    }

    pub fn is_ready(&self) -> bool {
        let asked = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream
                .write_all(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut head = [0; 12];
            stream.read_exact(&mut head)?;
            Ok(&head[9..] == b"200")
        };
        asked().unwrap_or(false)
    }

    /// Waits until the host is ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        await_until(limit, || self.is_ready())
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new("target/release/vanetallyd")
        .arg("gateway")
        .env_clear()
        .env("VANETALLY_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.try_clone()?))
        .stderr(Stdio::from(log))
        .spawn()
}

/// Sends a signal, named without `SIG`, to a process.
pub fn signal(process: u32, name: &str) -> bool {
    let sent = Command::new("kill").args(["-s", name, &process.to_string()]).status();
    sent.is_ok_and(|status| status.success())
}

/// Waits until `condition` holds.
pub fn await_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while !condition() {
        if began.elapsed() > limit {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; what was read beyond it is returned as the body.
pub fn read_head(stream: &mut impl Read) -> io::Result<Option<Message>> {
    let (mut bytes, mut piece) = (Vec::new(), [0; 4096]);
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut piece)? {
            0 if bytes.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&piece[..count]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Ok(Some(Message { start, headers: headers.collect(), body: bytes[end + 4..].to_vec() }))
}

/// Reads a request with a stated length.
pub fn read_request(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let Some(mut request) = read_head(stream)? else {
        return Ok(None);
    };
    let length: usize =
        request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let had = request.body.len().min(length);
    request.body.resize(length, 0);
    stream.read_exact(&mut request.body[had..])?;
    Ok(Some(request))
}

/// A server of the platform: answers each request by `serve` on a thread for each connection.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
}

type Serve = dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

impl Server {
    pub fn start(
        id: &str,
        serve: impl Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((fresh_ip(), 0))?;
        let address = listener.local_addr()?;
        let serve: Arc<Serve> = Arc::new(serve);
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let serve = serve.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    while let Ok(Some(request)) = read_request(&mut stream) {
                        if serve(&request, &mut stream).is_err() {
                            break;
                        }
                    }
                });
            }
        });
        Ok(Self { id: id.into(), address })
    }

    /// Writes the server's entry to the store.
    pub fn announce(&self, store: &Store, service: &str, zone: &str, models: &[&str]) {
        let models: Vec<Value> = models
            .iter()
            .map(|name| json!({ "name": name, "version": 1, "adapters": [] }))
            .collect();
        store.put(
            &format!("servers/{}", self.id),
            &json!({
                "service": service, "address": self.address.to_string(), "zone": zone,
                "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "stage": "both", "models": models, "call_seq": 0,
            }),
        );
    }
}

/// Returns the headers that a server's answer to `request` carries.
pub fn signed(request: &Message) -> String {
    let id = request.header("x-attempt-id").unwrap_or_default();
    format!("X-Attempt-Id: {id}\r\nX-Server-Seal: seal-of-{id}\r\n")
}

/// Connects with a receive buffer of this size.
pub fn connect_small(address: SocketAddr, receive_bytes: usize) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_recv_buffer_size(receive_bytes)?;
    socket.connect(&address.into())?;
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true)?;
    Ok(stream)
}
