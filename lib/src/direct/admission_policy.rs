//! Thresholds for choosing an engine by the load that its owner reports.
//!
//! The expected traffic is streams of one to two seconds, for a few adapters that need dozens of
//! engines each and for thousands that need a small part of one engine. Hundreds of nodes send it,
//! each of which sees a few requests per second. docs/design/0008-admission-by-owners.md compares
//! the alternatives.

use super::occupancy::EngineLoad;
use crate::clock::Millis;

/// Maximum number of engines queried for admission before the least busy of them is chosen.
///
/// A query takes three to six milliseconds. The second engine avoids most queues; a third one
/// helps adapters with many replicas in a burst.
pub const MAX_ADMISSION_QUERIES: usize = 3;

/// Fraction of an engine's slots in use below which the engine counts as lightly loaded.
///
/// A request is sent to a lightly loaded engine without querying others. With half of its slots in
/// use, an engine prefills and decodes at about its usual speed; above that, streams that arrive
/// together start to wait for one another.
const LIGHT_LOAD_FRACTION: f64 = 0.5;

/// Divisor of the latency objective that gives the longest wait at a lightly loaded engine.
///
/// The wait is the prefill of the prompts before the request's own. Its own prefill and the
/// network take as long again; for a longer wait, a second engine is worth a query.
const LIGHT_WAIT_DIVISOR: u64 = 4;

/// Fraction of an engine's slots used by one adapter above which another engine should hold the
/// adapter too.
///
/// Another replica costs a load from the weight store and an adapter slot. It pays only for
/// adapters that fill a good part of a batch by themselves.
const REPLICA_THRESHOLD: f64 = 0.3;

/// The same at a prefill engine, where a request stays for only a tenth of the time.
const PREFILL_REPLICA_THRESHOLD: f64 = 0.05;

/// Time to load an adapter from the weight store, including the queries around it.
///
/// If a queue is expected to last longer, loading the adapter at another engine is faster.
const LOAD_TIME: Millis = Millis(350);

/// Multiple of the latency objective after which callers no longer wait for the first event.
///
/// Client libraries give up on a stream after about four times the promised time.
const ABANDON_FACTOR: u64 = 4;

/// Returns the number of running requests at which an engine is no longer lightly loaded.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a fraction of some dozens"
)]
pub fn light_load_limit(slots: u32) -> u32 {
    ((LIGHT_LOAD_FRACTION * f64::from(slots)).ceil() as u32).max(1)
}

/// Returns the longest expected wait at which an engine is still lightly loaded.
#[must_use]
pub fn light_load_wait(objective: Millis) -> Millis {
    Millis(objective.0 / LIGHT_WAIT_DIVISOR)
}

/// Whether another engine should hold the adapter too, given the load of one that holds it and is
/// no longer lightly loaded.
#[must_use]
pub fn needs_replica(load: EngineLoad, slots: u32, is_prefill: bool) -> bool {
    let threshold = if is_prefill {
        PREFILL_REPLICA_THRESHOLD
    } else {
        REPLICA_THRESHOLD
    };
    f64::from(load.same_adapter) > threshold * f64::from(slots)
}

/// Whether the second engine in an adapter's placement order should load it instead of the first.
///
/// The first one is preferred as long as it would start the request in time, so that an adapter
/// that is requested again finds the copy that its engine has kept. When placement changed more
/// readily, engines loaded a quarter more adapters from the weight store.
#[must_use]
pub fn prefers_second_engine(first: EngineLoad, second: EngineLoad, objective: Millis) -> bool {
    first.wait.0 > objective.0 / 2 && second.wait.0 < first.wait.0 / 2
}

/// Whether an engine would start a request almost without a wait.
#[must_use]
pub fn is_lightly_loaded(load: EngineLoad, slots: u32, objective: Millis) -> bool {
    load.running < light_load_limit(slots) && load.wait <= light_load_wait(objective)
}

/// Whether loading the adapter at another engine starts a request sooner than waiting in a queue.
#[must_use]
pub fn is_load_faster(wait: Millis) -> bool {
    wait > LOAD_TIME
}

/// Returns the time after which a caller should retry a request that would start too late, or
/// `None` if the request is worth queueing.
///
/// `passed` is the time since the request arrived, `left` the time until its deadline. A request
/// whose caller gives up while it is queued takes the slot of one that could be answered.
#[must_use]
pub fn retry_after(
    wait: Millis,
    objective: Millis,
    passed: Millis,
    left: Millis,
) -> Option<Millis> {
    let remaining = Millis(objective.0 * ABANDON_FACTOR).since(passed);
    let max_wait = remaining.min(left);
    // Rejected requests shorten the queue, so retrying after half of the wait is soon enough.
    (wait > max_wait).then_some(Millis(wait.0 / 2))
}
