//! Which engine takes a request, by what the engines' owners tell of them.
//!
//! The load: streams of one to two seconds, a few adapters that need dozens of engines each and
//! thousands that need a small part of one, sent by hundreds of nodes that see a few requests a
//! second each. docs/design/0008-admission-by-owners.md weighs the ways.

use super::occupancy::EngineLoad;
use crate::clock::Millis;

/// Engines that are asked for a place, before the least busy of them takes the request.
///
/// A question takes three to six milliseconds. The second choice avoids most queues; a third
/// one helps adapters with many replicas in a burst.
pub const MAX_ADMISSION_QUERIES: usize = 3;

/// Part of an engine's places up to which it takes a request without a look at others.
///
/// At half of its places an engine reads a prompt and writes at about its usual pace; above,
/// streams that arrive together begin to wait for one another.
const CALM: f64 = 0.5;

/// Part of the objective that the prompts before a request's own may take, up to which it is
/// sent to an engine without a look at others.
///
/// Its own prompt and the way there take as long again; beyond, a second engine is worth the
/// question.
const CALM_WAIT: u64 = 4;

/// Part of an engine's places that one adapter's requests may take, beyond which another engine
/// is asked to hold the adapter too.
///
/// A second replica costs a load from the weight store and a place; it pays only for adapters
/// that fill a good part of a batch by themselves.
const SPREAD_AT: f64 = 0.3;

/// The same at a prefill engine, where a request stays for a tenth of the time only.
const READER_SPREAD_AT: f64 = 0.05;

/// How long a load from the weight store takes with the questions around it.
///
/// A queue that is expected to last longer is worth a load elsewhere.
const LOAD: Millis = Millis(350);

/// Objectives after which callers no longer wait for a first event.
///
/// Client libraries give a stream up after about four times what was promised.
const ABANDONED: u64 = 4;

/// Returns the requests at an engine from which on others are asked before it.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of some dozens"
)]
pub fn calm_limit(slots: u32) -> u32 {
    ((CALM * f64::from(slots)).ceil() as u32).max(1)
}

/// Returns the wait at an engine from which on others are asked before it.
#[must_use]
pub fn calm_wait(objective: Millis) -> Millis {
    Millis(objective.0 / CALM_WAIT)
}

/// Whether another engine should hold the adapter too, seen from one that is no longer calm.
#[must_use]
pub fn is_crowded(load: EngineLoad, slots: u32, reads: bool) -> bool {
    let part = if reads { READER_SPREAD_AT } else { SPREAD_AT };
    f64::from(load.same_adapter) > part * f64::from(slots)
}

/// Whether the second engine in an adapter's order is to load it, by what runs at the first ones.
///
/// The first one stays the home as long as it would begin the request in time, so that an adapter
/// that comes back meets the replica that its engine kept: with homes that changed for less,
/// engines brought a quarter more adapters from the weight store.
#[must_use]
pub fn is_better_home(first: EngineLoad, second: EngineLoad, objective: Millis) -> bool {
    first.wait.0 > objective.0 / 2 && second.wait.0 < first.wait.0 / 2
}

/// Whether an engine would begin a request without much of a wait.
#[must_use]
pub fn is_calm(load: EngineLoad, slots: u32, objective: Millis) -> bool {
    load.running < calm_limit(slots) && load.wait <= calm_wait(objective)
}

/// Whether a load at another engine gets the request begun sooner than the queue here.
#[must_use]
pub fn is_worth_load(wait: Millis) -> bool {
    wait > LOAD
}

/// Returns when a caller should come back whose request would begin too late; none if it is
/// worth waiting for.
///
/// `passed` is the time since the request arrived, `left` until its deadline. A request in a
/// queue that outlasts its caller takes the place of one that could be answered.
#[must_use]
pub fn come_back(wait: Millis, objective: Millis, passed: Millis, left: Millis) -> Option<Millis> {
    let patience = Millis(objective.0 * ABANDONED).since(passed);
    let bound = patience.min(left);
    // The queue gets shorter by what is rejected; half of it is enough to come back in time.
    (wait > bound).then_some(Millis(wait.0 / 2))
}
