//! Which engines of a pool read prompts, and which write answers.
//!
//! An engine reads prompts in pieces between the steps that write tokens for all of its
//! batch. Where an event holds several tokens, a few long prompts that arrive together
//! stretch the pause before the next event of every stream there beyond what callers bear.
//! Reading on some engines and writing on others keeps the two apart: a stream begins
//! where its prompt is read and its memory moves, behind the first event, to an engine
//! that reads little. See docs/decisions/reading-apart.md.

use std::collections::HashMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;

/// Seed of the order in which engines become readers. All nodes must have the same.
const ORDER_SEED: u64 = 0x7265_6164_6572;

/// Prompt tokens for each token of the longest answer from which on a request mostly reads.
///
/// A step of a few milliseconds writes one token for each of some twenty requests, and in the
/// same time an engine reads 120 to 200 tokens: about eight for each token written.
const MOSTLY_READS: u32 = 8;

/// How a request divides its work between reading its prompt and writing its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// It reads much and writes little: nothing is gained by moving it.
    PrefillHeavy,
    /// Its answer is what takes time, or nothing is known.
    DecodeHeavy,
}

impl Workload {
    /// Judges a request by its tokens: those of the prompt, and the most of its answer.
    ///
    /// A request that tells no tokens, or none of an answer, counts as one that writes.
    #[must_use]
    pub fn of(tokens: Option<(u32, u32)>) -> Self {
        match tokens {
            Some((prompt, answer))
                if answer > 0 && prompt > answer.saturating_mul(MOSTLY_READS) =>
            {
                Self::PrefillHeavy
            }
            _ => Self::DecodeHeavy,
        }
    }
}

/// Whether a run may go on at another engine, by the versions of its adapter.
///
/// `sent` is the version that its engine was expected to have, `held` what the other engine is
/// believed to hold, `newest` the newest that was named. An adapter that was loaded as whatever
/// is the newest has the number 0; where none was named there is one version only.
///
/// Going on elsewhere counts as beginning there. A run on an older version that was begun in
/// time would be begun again on it long after, 9.5 s late where five are allowed. Such a
/// run stays where it is, and no run moves to an engine that may hold an older version.
#[must_use]
pub fn may_move(sent: Option<u64>, held: u64, newest: Option<u64>) -> bool {
    let Some(newest) = newest else {
        return true;
    };
    held >= newest && sent.is_some_and(|sent| sent >= newest)
}

/// The engines of a pool that read prompts for the others.
///
/// All nodes derive them from the list of engines alone, so that they agree without a word;
/// where their lists or counts differ for a moment, an engine does both.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Roles {
    /// In order of address; empty where each engine does both.
    readers: Vec<SocketAddr>,
}

impl Roles {
    /// Makes the first `readers` of some engines readers, in an order that all nodes share.
    #[must_use]
    pub fn split(engines: impl IntoIterator<Item = SocketAddr>, readers: usize) -> Self {
        if readers == 0 {
            return Self::default();
        }
        let mut ranked: Vec<(u64, SocketAddr)> = engines
            .into_iter()
            .map(|address| (rank(address), address))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(readers);
        let mut readers: Vec<SocketAddr> = ranked.into_iter().map(|(_, address)| address).collect();
        readers.sort_unstable();
        Self { readers }
    }

    /// Whether some engines only read.
    #[must_use]
    pub fn is_disaggregated(&self) -> bool {
        !self.readers.is_empty()
    }

    /// Whether an engine reads for others.
    #[must_use]
    pub fn is_prefill(&self, engine: SocketAddr) -> bool {
        self.readers.binary_search(&engine).is_ok()
    }
}

/// The hash is of the address: a restart of the engine keeps its place.
fn rank(address: SocketAddr) -> u64 {
    xxh3_64_with_seed(address.to_string().as_bytes(), ORDER_SEED)
}

/// Streams that count in the share of those late by a pause: some ten seconds of a node's.
const STREAMS: f64 = 200.0;

/// Streams before which the share says nothing.
///
/// A node that starts beside engines that are busy sees as many within a second or two; waiting
/// for thirty made streams late in the seconds after all nodes had ended at once.
const FEWEST: f64 = 8.0;

/// The most that one engine counts for, in parts of an even share of all streams.
///
/// An engine that has turned slow makes all its streams late, also where nothing is read. A
/// quarter of the engines can be slow before they look like reading, which delays everywhere.
const ONE_ENGINE: f64 = 0.2;

/// Share of streams late by a pause from which on reading is kept apart.
///
/// A moved stream costs a transfer and its adapter a second place; below one late stream in
/// twenty this gains callers less than the places cost them.
const SPLIT_AT: f64 = 0.05;

/// Share below which each engine does both again.
const WHOLE_AT: f64 = 0.005;

/// Weight of one reading in the wait at readers.
const WAIT_WEIGHT: f64 = 0.05;

/// Part of the objective that reading takes at readers, from which on there are too few of them.
const WAIT_LONG: f64 = 0.5;

/// Part of the objective below which there are too many.
const WAIT_SHORT: f64 = 0.12;

/// Part of the engines that read at first.
///
/// Long and short requests together keep a quarter to a third of an engine's time busy with
/// reading where pauses are too long at all; readers do nothing else.
const FIRST_SHARE: f64 = 1.0 / 3.0;

/// The least and the largest part of the engines that read.
const SHARES: (f64, f64) = (1.0 / 6.0, 0.5);

/// Pause between changes of the number of readers: adapters have to follow them.
const PACE: Millis = Millis(2_000);

/// Engines of a pool by which one change moves the number of readers, as a divisor.
const STEP: f64 = 12.0;

/// What this node has seen of streams in one pool, and how many engines it has read apart.
#[derive(Debug)]
pub struct PrefillScaler {
    seen: f64,
    late: HashMap<SocketAddr, f64>,
    split: bool,
    wait: f64,
    share: f64,
    changed: Millis,
}

impl Default for PrefillScaler {
    fn default() -> Self {
        Self {
            seen: 0.0,
            late: HashMap::new(),
            split: false,
            wait: f64::midpoint(WAIT_LONG, WAIT_SHORT),
            share: FIRST_SHARE,
            changed: Millis::ZERO,
        }
    }
}

impl PrefillScaler {
    /// Takes in whether a stream that stayed where it was read had a pause that was too long.
    ///
    /// Streams that stayed at a reader say nothing: what is read there is meant to be read there.
    pub fn record_stream(&mut self, engine: SocketAddr, late: bool) {
        let kept = 1.0 - 1.0 / STREAMS;
        self.seen = self.seen * kept + 1.0;
        for sum in self.late.values_mut() {
            *sum *= kept;
        }
        if late {
            *self.late.entry(engine).or_default() += 1.0;
        }
        self.late.retain(|_, sum| *sum > 0.01);
    }

    /// Returns the share of streams that were late by a pause, with slow engines bounded.
    #[allow(clippy::cast_precision_loss, reason = "some hundred engines")]
    fn late_share(&self, engines: usize) -> f64 {
        let most = ONE_ENGINE * self.seen / engines as f64;
        let late: f64 = self.late.values().map(|late| late.min(most)).sum();
        late / self.seen.max(1.0)
    }

    fn judge(&mut self, engines: usize) {
        if self.seen < FEWEST {
            return;
        }
        let late = self.late_share(engines);
        if late > SPLIT_AT {
            self.split = true;
        } else if late < WHOLE_AT {
            self.split = false;
        }
    }

    /// Takes in what part of its objective a request waited at a reader for its first event.
    pub fn record_prefill_wait(&mut self, part: f64) {
        self.wait += WAIT_WEIGHT * (part - self.wait);
    }

    /// Returns how many of some engines read for the others; none if each does both.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a part of some hundred engines"
    )]
    pub fn prefill_count(&mut self, engines: usize, now: Millis) -> usize {
        if engines < 2 {
            return 0;
        }
        self.judge(engines);
        if !self.split {
            return 0;
        }
        if now.since(self.changed) >= PACE {
            self.adjust(now);
        }
        let readers = (self.share * engines as f64).round() as usize;
        readers.clamp(1, engines - 1)
    }

    fn adjust(&mut self, now: Millis) {
        let step = 1.0 / STEP;
        if self.wait > WAIT_LONG {
            self.share += step;
        } else if self.wait < WAIT_SHORT {
            self.share -= step;
        } else {
            return;
        }
        self.share = self.share.clamp(SHARES.0, SHARES.1);
        self.changed = now;
    }
}
