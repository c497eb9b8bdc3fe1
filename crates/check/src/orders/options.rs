//! Bounds and switches of the model.

/// Bounds and switches of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Whether a holder stops when its lease, counted from the last renewal, has expired.
    pub stops_at_expiry: bool,
    /// Whether a host waits longer after it may have been the holder.
    pub resettles: bool,
    /// Whether tokens contain the era, so that they increase across eras.
    pub era_in_token: bool,
    /// Whether hosts know the era of the store.
    pub tracks_eras: bool,
    /// Whether the renewal of a lease counts only in the era of the lease.
    pub checks_lease_era: bool,
    /// Whether a new holder waits until what left its predecessor has left the network.
    pub settles: bool,
    /// Whether a holder that leaves the lease first revokes its orders.
    pub revokes_orders: bool,
    /// Whether an order is given up at the end of the lease, as known when it was sent.
    pub ends_with_lease: bool,
    /// Whether the system gives up an order of a process that is paused or gone.
    pub ends_in_system: bool,
    /// Whether the system drops the orders of a process that ends at once.
    pub resets_at_exit: bool,
    /// Maximum number of orders that arrive late, or never.
    pub late_orders: u8,
    /// Maximum number of times that a holder is asked to leave the lease.
    pub resignations: u8,
    /// Maximum number of times that the store is restored from a backup.
    pub restores: u8,
    /// Maximum number of calls that their sender gives up on; they are still processed later.
    pub lost_answers: u8,
    /// Maximum number of pauses of a host.
    pub pauses: u8,
    /// Maximum number of restarts of a host.
    pub restarts: u8,
    /// Whether calls are processed before time passes.
    pub is_prompt: bool,
    /// Maximum number of steps of time.
    pub time_steps: u64,
}
