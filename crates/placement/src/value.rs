//! What replicas of a model are worth to its callers.

/// Replicas of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Replicas {
    /// Runners that hold it and keep it.
    pub held: usize,
    /// Those, and runners that are getting it or make room for it.
    pub planned: usize,
}

/// A model not asked for within this time may leave its last runner, in milliseconds.
const LAST_REPLICA_IDLE_MS: u64 = 15_000;
/// A model that is nowhere is brought if it was asked for within this time, in milliseconds: its
/// callers ask again while they wait.
const RECENT_REQUEST_MS: u64 = 2_000;
/// Runner-seconds a second that a model's only replica may be asked for: other models of its runner
/// are served elsewhere.
const MAX_SINGLE_LOAD: f64 = 0.4;
/// Runner-seconds a second that one of several replicas is planned for.
const TARGET_REPLICA_LOAD: f64 = 0.2;
/// What the last replica of a model that nobody asks for is worth.
const IDLE_LOSS: f64 = 0.01;
/// How many times what is gained must be worth what is lost when a model makes way.
const SWAP_FACTOR: f64 = 2.5;
/// The gain of a first replica.
const FIRST_REPLICA_GAIN: f64 = 1.0;
/// The same for a model that nobody asks for now: it only fills free room, nothing makes way for it.
pub(crate) const FILL_GAIN: f64 = 0.02;
/// The gain of one more replica of a model whose holders have no place for an adapter that callers wait for: more
/// than a model that nobody asks for is worth, less than any that is asked for.
pub(crate) const ADAPTER_ROOM_GAIN: f64 = 0.05;
/// Runner-seconds a second that a replica serves in time; what is beyond waits or is lost.
const REPLICA_CAPACITY: f64 = 0.25;

/// What callers of a model bear: how busy each of its replicas is, and the load that all of them
/// together can't serve in time.
fn overload_cost(load: f64, replicas: f64) -> f64 {
    load / replicas + (load - REPLICA_CAPACITY * replicas).max(0.0)
}

/// How many replicas a model should have that is asked for `load` runner-seconds a second.
pub(crate) fn target_replicas(load: f64) -> usize {
    if load < MAX_SINGLE_LOAD { 1 } else { (load / TARGET_REPLICA_LOAD).ceil() as usize }
}

/// The same for a model for which callers wait though `replicas` hold it: they may be doubled while the next
/// ones come, whatever the demand was measured to be.
pub(crate) fn target_replicas_saturated(replicas: Replicas) -> usize {
    2 * replicas.held + 2
}

/// What one more replica takes off the others.
pub(crate) fn gain(load: f64, idle_ms: u64, replicas: Replicas) -> f64 {
    if replicas.planned == 0 {
        return if idle_ms < RECENT_REQUEST_MS { FIRST_REPLICA_GAIN } else { FILL_GAIN };
    }
    let planned = replicas.planned as f64;
    overload_cost(load, planned) - overload_cost(load, planned + 1.0)
}

/// What must be gained for one replica to go; none if the last one has to stay.
pub(crate) fn loss(load: f64, idle_ms: u64, replicas: Replicas) -> Option<f64> {
    // One that is on its way can't serve for seconds.
    let held = replicas.held as f64;
    if held <= 1.0 {
        return (idle_ms > LAST_REPLICA_IDLE_MS).then_some(SWAP_FACTOR * IDLE_LOSS);
    }
    Some(SWAP_FACTOR * (overload_cost(load, held - 1.0) - overload_cost(load, held)))
}
