//! What a host process holds: memory, descriptors, and bytes that have arrived and are not read.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

use std::net::SocketAddr;

/// Returns a value of `/proc/PID/status`, in bytes.
fn status_bytes(process: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field)).unwrap_or_default();
    let kib = line.split_whitespace().nth(1).and_then(|kib| kib.parse::<u64>().ok());
    kib.expect("a number") << 10
}

/// Address as `/proc/net/tcp` writes it.
fn written(address: SocketAddr) -> String {
    let std::net::IpAddr::V4(ip) = address.ip() else { panic!("an IPv4 address") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port())
}

/// A host process and its address for callers.
#[derive(Clone, Copy)]
pub struct Usage {
    pub process: u32,
    pub front: SocketAddr,
}

impl Usage {
    /// Memory in use now, in bytes.
    pub fn memory(&self) -> u64 {
        status_bytes(self.process, "VmRSS:")
    }

    /// Largest memory in use since the start, in bytes.
    pub fn peak_memory(&self) -> u64 {
        status_bytes(self.process, "VmHWM:")
    }

    /// Processor time used since the start, in ticks of the system.
    pub fn processor_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process));
        let stat = stat.expect("the process runs");
        let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
        fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum()
    }

    /// Number of open descriptors.
    pub fn descriptors(&self) -> usize {
        let folder = std::fs::read_dir(format!("/proc/{}/fd", self.process));
        folder.expect("the process runs").count()
    }

    /// Bytes that callers have sent and the host has not read.
    pub fn unread(&self) -> u64 {
        self.queued(|(_, received)| received)
    }

    /// Bytes that the host has sent and callers have not taken.
    pub fn unsent(&self) -> u64 {
        self.queued(|(sent, _)| sent)
    }

    /// Bytes that have arrived from `peers` and are not read, at any process that is connected to them.
    pub fn unread_from(peers: &[SocketAddr]) -> u64 {
        let peers: Vec<String> = peers.iter().map(|peer| written(*peer)).collect();
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the list of sockets");
        let queues = sockets.lines().filter_map(|line| {
            let mut fields = line.split_whitespace().skip(2);
            let is_of_peer = peers.iter().any(|peer| Some(peer.as_str()) == fields.clone().next());
            let received = fields.nth(2)?.split_once(':')?.1;
            is_of_peer.then(|| u64::from_str_radix(received, 16).ok()).flatten()
        });
        queues.sum()
    }

    /// Sum over the sockets of callers of a part of what the system has queued, sent and received bytes.
    fn queued(&self, part: impl Fn((u64, u64)) -> u64) -> u64 {
        let front = written(self.front);
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the list of sockets");
        let queues = sockets.lines().filter_map(|line| {
            let mut fields = line.split_whitespace().skip(1);
            let is_front = fields.next()? == front;
            let (sent, received) = fields.nth(2)?.split_once(':')?;
            let bytes = |text| u64::from_str_radix(text, 16).ok();
            is_front.then_some((bytes(sent)?, bytes(received)?))
        });
        queues.map(part).sum()
    }
}
