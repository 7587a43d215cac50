//! Prefill and decode roles of the engines of a pool.
//!
//! An engine prefills prompts in chunks between the decode steps of its whole batch. Where an event
//! holds several tokens, a few long prompts that arrive together stretch the pause before the next
//! event of every stream at that engine beyond what callers tolerate. Prefilling on some engines
//! and decoding on others separates the two: a stream starts where its prompt is prefilled, and
//! after its first event its KV cache moves to an engine with little prefill.
//! See docs/decisions/reading-apart.md.

use std::collections::HashMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;

/// Seed of the order in which engines become prefill engines. All nodes must use the same.
const ORDER_SEED: u64 = 0x7265_6164_6572;

/// Prompt tokens per token of the longest possible answer above which a request is prefill-heavy.
///
/// A decode step of a few milliseconds generates one token for each of some twenty requests. In the
/// same time an engine prefills 120 to 200 tokens, or about eight per generated token.
const PREFILL_HEAVY_RATIO: u32 = 8;

/// Whether a request takes more of its time for prefill or for decode.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// The prompt is long and the answer short: nothing is gained by moving the request.
    PrefillHeavy,
    /// The answer takes most of the time, or nothing is known.
    DecodeHeavy,
}

impl Workload {
    /// Classifies a request by the tokens of its prompt and the maximum tokens of its answer.
    ///
    /// A request without these numbers, or with no limit on its answer, counts as decode-heavy.
    #[must_use]
    pub fn of(tokens: Option<(u32, u32)>) -> Self {
        match tokens {
            Some((prompt, answer))
                if answer > 0 && prompt > answer.saturating_mul(PREFILL_HEAVY_RATIO) =>
            {
                Self::PrefillHeavy
            }
            _ => Self::DecodeHeavy,
        }
    }
}

/// Whether a run may move to another engine, given the versions of its adapter.
///
/// `sent` is the version that its engine was expected to hold, `held` the version that the other
/// engine is believed to hold, and `newest` the newest declared version. An adapter that was loaded
/// as the newest version, whichever that is, has the number 0. If no version was declared, there is
/// only one.
///
/// Continuing at another engine counts as starting there. A run that was started in time on an
/// older version would be started again on that version long after it was replaced: 9.5 s
/// after, where five are allowed. Such a run stays where it is, and no run moves to an engine that
/// may hold an older version.
#[must_use]
pub fn may_move(sent: Option<u64>, held: u64, newest: Option<u64>) -> bool {
    let Some(newest) = newest else {
        return true;
    };
    held >= newest && sent.is_some_and(|sent| sent >= newest)
}

/// The prefill engines of a pool.
///
/// All nodes derive them from the list of engines alone, so that they agree without communication.
/// While their lists or counts differ for a moment, an engine does both prefill and decode.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Roles {
    /// Sorted by address; empty if each engine does both.
    prefill_engines: Vec<SocketAddr>,
}

impl Roles {
    /// Assigns the prefill role to `prefill_count` of the engines, the first in an order that is
    /// the same at all nodes.
    #[must_use]
    pub fn split(engines: impl IntoIterator<Item = SocketAddr>, prefill_count: usize) -> Self {
        if prefill_count == 0 {
            return Self::default();
        }
        let mut ranked: Vec<(u64, SocketAddr)> = engines
            .into_iter()
            .map(|address| (rank(address), address))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(prefill_count);
        let mut prefill_engines: Vec<SocketAddr> =
            ranked.into_iter().map(|(_, address)| address).collect();
        prefill_engines.sort_unstable();
        Self { prefill_engines }
    }

    /// Assigns the prefill role to about `prefill_count` of the engines, the same fraction of each
    /// version of software and weights.
    ///
    /// A run moves only within a version, so each one needs engines that decode.
    #[must_use]
    pub fn split_by_version<V: Ord>(
        mut engines: Vec<(V, SocketAddr)>,
        prefill_count: usize,
    ) -> Self {
        engines.sort_unstable();
        let total = engines.len();
        let mut prefill_engines = Vec::new();
        for group in engines.chunk_by(|(one, _), (other, _)| one == other) {
            let share = (prefill_count * group.len() + total / 2) / total;
            let prefill = if group.len() == total {
                share
            } else {
                share.min(group.len() - 1)
            };
            let addresses = group.iter().map(|(_, address)| *address);
            prefill_engines.extend(Self::split(addresses, prefill).prefill_engines);
        }
        prefill_engines.sort_unstable();
        Self { prefill_engines }
    }

    /// Whether some engines only prefill.
    #[must_use]
    pub fn is_disaggregated(&self) -> bool {
        !self.prefill_engines.is_empty()
    }

    /// Whether an engine prefills for others.
    #[must_use]
    pub fn is_prefill(&self, engine: SocketAddr) -> bool {
        self.prefill_engines.binary_search(&engine).is_ok()
    }
}

/// Hashes the address, so that an engine keeps its rank over a restart.
fn rank(address: SocketAddr) -> u64 {
    xxh3_64_with_seed(address.to_string().as_bytes(), ORDER_SEED)
}

/// Number of recent streams that the fraction of streams with a long pause covers: about ten
/// seconds of a node's traffic.
const STREAM_WINDOW: f64 = 200.0;

/// Number of streams below which the fraction isn't significant.
///
/// A node that starts while the engines are busy sees this many within a second or two. Waiting for
/// thirty made streams late in the first seconds after all nodes had restarted at once.
const MIN_STREAMS: f64 = 8.0;

/// Maximum contribution of one engine, as a fraction of its even share of all streams.
///
/// An engine that has become slow delays all of its streams even without any prefill. With this
/// limit, a quarter of the engines can be slow before that is mistaken for the effect of prefill,
/// which delays streams at all engines.
const MAX_ENGINE_CONTRIBUTION: f64 = 0.2;

/// Fraction of streams with a long pause above which prefill is disaggregated.
///
/// Moving a stream costs a transfer, and its adapter needs a second slot. With fewer than one late
/// stream in twenty, callers gain less than those slots cost them.
const DISAGGREGATE_ABOVE: f64 = 0.05;

/// Fraction of streams with a long pause below which each engine does both again.
const AGGREGATE_BELOW: f64 = 0.005;

/// Weight of one request in the moving average of the wait at prefill engines.
const WAIT_WEIGHT: f64 = 0.05;

/// Mean wait at prefill engines, as a fraction of the objective, above which there are too few.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Mean wait at prefill engines, as a fraction of the objective, below which there are too many.
const MIN_WAIT_FRACTION: f64 = 0.12;

/// Fraction of the engines that prefill at first.
///
/// Where pauses are too long at all, long and short requests together make engines spend a quarter
/// to a third of their time on prefill, and prefill engines do nothing else.
const INITIAL_FRACTION: f64 = 1.0 / 3.0;

/// Smallest and largest fraction of the engines that prefill.
const FRACTION_RANGE: (f64, f64) = (1.0 / 6.0, 0.5);

/// Minimum interval between changes of the number of prefill engines, which adapters have to
/// follow.
const CHANGE_INTERVAL: Millis = Millis(2_000);

/// Divisor of the number of engines that gives by how many the prefill engines change at a time.
const STEP_DIVISOR: f64 = 12.0;

/// Decides how many engines of a pool prefill, from the streams that this node has observed.
#[derive(Debug)]
pub struct PrefillScaler {
    /// Streams observed, older ones decayed.
    streams: f64,
    /// Streams with a long pause by engine, older ones decayed.
    late: HashMap<SocketAddr, f64>,
    is_disaggregated: bool,
    /// Mean wait for the first event at prefill engines, as a fraction of the objective.
    mean_wait: f64,
    /// Fraction of the engines that prefill.
    fraction: f64,
    changed_at: Millis,
}

impl Default for PrefillScaler {
    fn default() -> Self {
        Self {
            streams: 0.0,
            late: HashMap::new(),
            is_disaggregated: false,
            mean_wait: f64::midpoint(MAX_WAIT_FRACTION, MIN_WAIT_FRACTION),
            fraction: INITIAL_FRACTION,
            changed_at: Millis::ZERO,
        }
    }
}

impl PrefillScaler {
    /// Records a stream that wasn't moved, and whether it was late by a long pause.
    ///
    /// Streams that stay at a prefill engine must not be recorded: prefill is expected there.
    pub fn record_stream(&mut self, engine: SocketAddr, late: bool) {
        let kept = 1.0 - 1.0 / STREAM_WINDOW;
        self.streams = self.streams * kept + 1.0;
        for sum in self.late.values_mut() {
            *sum *= kept;
        }
        if late {
            *self.late.entry(engine).or_default() += 1.0;
        }
        self.late.retain(|_, sum| *sum > 0.01);
    }

    /// Returns the fraction of streams with a long pause, with a limit on the contribution of each
    /// engine.
    #[allow(clippy::cast_precision_loss, reason = "some hundred engines")]
    fn late_fraction(&self, engines: usize) -> f64 {
        let most = MAX_ENGINE_CONTRIBUTION * self.streams / engines as f64;
        let late: f64 = self.late.values().map(|late| late.min(most)).sum();
        late / self.streams.max(1.0)
    }

    fn update_mode(&mut self, engines: usize) {
        if self.streams < MIN_STREAMS {
            return;
        }
        let late_fraction = self.late_fraction(engines);
        if late_fraction > DISAGGREGATE_ABOVE {
            self.is_disaggregated = true;
        } else if late_fraction < AGGREGATE_BELOW {
            self.is_disaggregated = false;
        }
    }

    /// Records a request's wait for its first event at a prefill engine, as a fraction of its
    /// objective.
    pub fn record_prefill_wait(&mut self, fraction: f64) {
        self.mean_wait += WAIT_WEIGHT * (fraction - self.mean_wait);
    }

    /// Returns how many of `engines` engines prefill for the others; 0 if each does both.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a fraction of some hundred engines"
    )]
    pub fn prefill_count(&mut self, engines: usize, now: Millis) -> usize {
        if engines < 2 {
            return 0;
        }
        self.update_mode(engines);
        if !self.is_disaggregated {
            return 0;
        }
        if now.since(self.changed_at) >= CHANGE_INTERVAL {
            self.adjust_fraction(now);
        }
        let prefill_count = (self.fraction * engines as f64).round() as usize;
        prefill_count.clamp(1, engines - 1)
    }

    fn adjust_fraction(&mut self, now: Millis) {
        let step = 1.0 / STEP_DIVISOR;
        if self.mean_wait > MAX_WAIT_FRACTION {
            self.fraction += step;
        } else if self.mean_wait < MIN_WAIT_FRACTION {
            self.fraction -= step;
        } else {
            return;
        }
        self.fraction = self.fraction.clamp(FRACTION_RANGE.0, FRACTION_RANGE.1);
        self.changed_at = now;
    }
}
