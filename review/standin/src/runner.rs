//! What the runners of the cases have in common: connections, announcements and reports.

use crate::http::{self, Message, Reader};
use serde_json::{Value, json};
use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// Answers the requests on one connection, one after the other; returns whether the connection stays open.
pub type Serve = Arc<dyn Fn(&mut Connection, Message) -> bool + Send + Sync>;

/// An accepted connection.
pub struct Connection {
    /// Where answers are written.
    pub stream: TcpStream,
    /// Bytes that go out before the next answer on this connection.
    pub surplus: Option<Vec<u8>>,
    /// Number of the connection.
    pub number: u64,
}

/// Accepts connections at a free port of `ip`; returns the address.
pub fn listen(ip: &str, serve: Serve) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else {
                    return;
                };
                let mut reader = Reader::new(reading);
                let mut connection = Connection { stream, surplus: None, number: number as u64 };
                while let Ok(Some(request)) = reader.request() {
                    if !serve(&mut connection, request) {
                        return;
                    }
                }
            });
        }
    });
    address
}

impl Connection {
    /// Writes bytes; returns whether that worked.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Writes a JSON answer.
    pub fn json(&mut self, value: &Value) -> bool {
        let headers = [("content-type", "application/json")];
        self.write(&http::answer(200, &headers, value.to_string().as_bytes()))
    }
}

/// Returns the entry of a runner in the platform's store.
pub fn entry(
    service: &str,
    address: SocketAddr,
    slots: u32,
    models: &Value,
    call_seq: u64,
) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": "z1", "version": "v1", "slots": slots,
        "state": "ready", "cold_left_ms": 0, "stage": "both", "models": models, "call_seq": call_seq,
    })
}

/// Returns a report of a runner.
pub fn report(models: &Value, call_seq: u64) -> Value {
    json!({
        "stage": "both", "models": models, "busy": false, "call_seq": call_seq, "waiting": 0, "running": 0,
        "kv_used": 0, "kv_total": 100_000, "handles": 0,
    })
}
