//! What callers may hold, from the settings of the host.

/// Share of the memory that bodies and answers of callers may use, as a divisor.
const BODY_DIVISOR: u64 = 4;
/// Share of the memory that connections of callers may use, as a divisor.
const CONNECTION_DIVISOR: u64 = 4;
/// Share of the memory that callers may use in all, as a divisor.
const ALL_DIVISOR: u64 = 2;
/// Share of the memory for bodies that only small ones may use, as a divisor.
const SMALL_DIVISOR: u64 = 4;
/// Descriptors that files may use; sockets share the rest.
const FILE_DESCRIPTORS: u64 = 200;
/// Share of the sockets that callers may use, as a divisor: the store, other hosts and upstreams use the others.
const SOCKET_DIVISOR: u64 = 2;

/// Limits on what all callers of a host may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum number of bytes of bodies and answers.
    pub bytes: usize,
    /// Maximum number of bytes while a body that is not small grows.
    pub large_bytes: usize,
    /// Maximum number of bytes of connections, requests, bodies and answers.
    pub all_bytes: usize,
}

impl Limits {
    /// Size in bytes up to which a body is small.
    pub const SMALL_BODY_BYTES: usize = 64 << 10;
    /// Memory of a connection that rests, in bytes: its task and its buffers.
    pub const CONNECTION_BYTES: usize = 32 << 10;
    /// Memory of one of the system's buffers of a connection, in bytes: of the receive buffer while a body is read, or of the
    /// send buffer until an answer is taken.
    pub const BUFFER_BYTES: usize = 64 << 10;
    /// Size in bytes of what is left of an answer from which it counts.
    pub(crate) const SMALL_REST_BYTES: usize = 8 << 10;
    /// Memory that a request may take besides its body from when that is read, in bytes: the system's buffers of its connection (128 KiB) and of
    /// that to its upstream (32 KiB while it is answered), and what is on the way between the two.
    pub const REQUEST_BYTES: usize = 232 << 10;

    /// Returns the limits of a host that may use `memory_bytes` of memory and `descriptors` descriptors.
    pub fn of(memory_bytes: u64, descriptors: u64) -> Self {
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS) / SOCKET_DIVISOR;
        let in_memory = memory_bytes / CONNECTION_DIVISOR / Self::CONNECTION_BYTES as u64;
        let bytes = memory_bytes / BODY_DIVISOR;
        Self {
            connections: sockets.min(in_memory).max(1) as usize,
            bytes: bytes as usize,
            large_bytes: (bytes - bytes / SMALL_DIVISOR) as usize,
            all_bytes: (memory_bytes / ALL_DIVISOR) as usize,
        }
    }

    /// Number of bytes that only small bodies may use.
    pub(crate) fn small_bytes(&self) -> usize {
        self.bytes - self.large_bytes
    }
}
