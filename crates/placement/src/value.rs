//! Values the replicas of a model by the load of its callers.

/// Replica counts of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Replicas {
    /// Runners that hold the model and are not unloading it.
    pub held: usize,
    /// `held` plus the runners that load the model or free memory for it.
    pub planned: usize,
}

/// How long a model must be idle before its last replica may be unloaded.
const LAST_REPLICA_IDLE_MS: u64 = 15_000;
/// A model without replicas counts as requested if a request arrived within this time. Callers
/// repeat their requests while they wait.
const RECENT_REQUEST_MS: u64 = 2_000;
/// Maximum load of a model's only replica, in runner-seconds per second. It may be higher than that
/// of one replica among several, since other models of its runner are served elsewhere.
const MAX_SINGLE_LOAD: f64 = 0.4;
/// Planned load of each of several replicas, in runner-seconds per second.
const TARGET_REPLICA_LOAD: f64 = 0.2;
/// Loss of unloading the last replica of an idle model.
const IDLE_LOSS: f64 = 0.01;
/// A replica is evicted only if the gain exceeds its loss by this factor.
const SWAP_FACTOR: f64 = 2.5;
/// Gain of the first replica of a requested model.
const FIRST_REPLICA_GAIN: f64 = 1.0;
/// Gain of the first replica of an idle model: it only fills free memory and evicts nothing.
pub(crate) const FILL_GAIN: f64 = 0.02;
/// Gain of another replica of a model whose holders have no room for a requested adapter. It
/// exceeds the value of an idle model and is below that of any requested one.
pub(crate) const ADAPTER_ROOM_GAIN: f64 = 0.05;
/// Load that a replica serves in time, in runner-seconds per second; any excess waits or is lost.
const REPLICA_CAPACITY: f64 = 0.25;

/// Returns the load per replica plus the load that all replicas together can't serve in time.
fn overload_cost(load: f64, replicas: f64) -> f64 {
    load / replicas + (load - REPLICA_CAPACITY * replicas).max(0.0)
}

/// Returns how many replicas a model with `load` runner-seconds per second should have.
pub(crate) fn target_replicas(load: f64) -> usize {
    if load < MAX_SINGLE_LOAD { 1 } else { (load / TARGET_REPLICA_LOAD).ceil() as usize }
}

/// Returns how many replicas a saturated model should have, whatever its measured demand: they may
/// double while the next ones are loading.
pub(crate) fn target_replicas_saturated(replicas: Replicas) -> usize {
    2 * replicas.held + 2
}

/// Returns how much one more replica relieves the others.
pub(crate) fn gain(load: f64, idle_ms: u64, replicas: Replicas) -> f64 {
    if replicas.planned == 0 {
        return if idle_ms < RECENT_REQUEST_MS { FIRST_REPLICA_GAIN } else { FILL_GAIN };
    }
    let planned = replicas.planned as f64;
    overload_cost(load, planned) - overload_cost(load, planned + 1.0)
}

/// Returns the gain that justifies evicting one replica, or `None` if the last one must stay.
pub(crate) fn loss(load: f64, idle_ms: u64, replicas: Replicas) -> Option<f64> {
    // Planned replicas don't count: they can't serve for seconds.
    let held = replicas.held as f64;
    if held <= 1.0 {
        return (idle_ms > LAST_REPLICA_IDLE_MS).then_some(SWAP_FACTOR * IDLE_LOSS);
    }
    Some(SWAP_FACTOR * (overload_cost(load, held - 1.0) - overload_cost(load, held)))
}
