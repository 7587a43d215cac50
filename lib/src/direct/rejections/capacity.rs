//! How many requests an upstream holds, as the node that counts for it learns.
//!
//! Up to a proven number of requests, each is admitted. One more is a probe: few probes are on
//! their way at a time, and none once the upstream has rejected as many requests as it may within a
//! second. A rejection lowers the ceiling, which rises again step by step. A count that begins anew,
//! while requests run that it doesn't know of, has nothing proven yet.

use smallvec::SmallVec;

use crate::clock::Millis;

/// Time without a rejection after which a request counts as accepted.
///
/// A rejection takes a few milliseconds, but longer to reach the node that counts if the rejected
/// node is slow. Most requests are known to be accepted sooner, by their first event or end.
const SETTLE_TIME: Millis = Millis(250);

/// The window in which upstreams count rejections.
const WINDOW: Millis = Millis::from_secs(1);

/// Additional time for which a rejection counts here, as its report was on the way.
const WINDOW_MARGIN: Millis = Millis(100);

/// Time from one rise of the ceiling to the next.
const RISE_INTERVAL: Millis = Millis(200);

/// Longest time from a rejection to the first rise of the ceiling.
///
/// It doubles with each rejection above a ceiling that is still right. Below the slots it doesn't, as
/// the requests that fill the others end soon.
const MAX_RISE_DELAY: Millis = Millis::from_secs(8);

/// Limit from which on requests may be queued at the upstream.
const MIN_LIMIT_TO_QUEUE: u32 = 2;

/// A request beyond what is proven that may still be rejected.
#[derive(Debug, Clone, Copy)]
struct Probe {
    level: u32,
    admitted_at: Millis,
}

/// The lowest number of requests at which a request was rejected.
#[derive(Debug, Clone, Copy)]
struct Ceiling {
    level: u32,
    rejected_at: Millis,
    rise_delay: Millis,
}

/// What is known about how many requests one upstream holds.
#[derive(Debug, Default)]
pub struct Capacity {
    slots: u32,
    proven: u32,
    probes: SmallVec<[Probe; 4]>,
    ceiling: Option<Ceiling>,
    rejections: SmallVec<[Millis; 4]>,
}

impl Capacity {
    /// Creates the capacity of an upstream at which `running` counted requests run.
    #[must_use]
    pub fn new(running: u32, slots: u32) -> Self {
        Self {
            slots,
            proven: running.min(slots),
            ..Self::default()
        }
    }

    /// Whether an upstream that runs `running` requests may get one more.
    ///
    /// `limit` is the number of rejections in a second that the upstream bears.
    pub fn admits(&mut self, running: u32, limit: u32, now: Millis) -> bool {
        self.settle(now);
        let spent = u32::try_from(self.rejections.len()).unwrap_or(u32::MAX);
        let budget = rejection_budget(limit);
        let highest = self.highest(limit, now);
        if spent >= budget {
            // An upstream that has just rejected requests goes on with as many as it certainly
            // holds, unless it bears no rejection more should even these be too many.
            return spent < limit && running < self.proven.min(highest);
        }
        let on_their_way = u32::try_from(self.probes.len()).unwrap_or(u32::MAX);
        running < highest && (running < self.proven || on_their_way + spent < budget)
    }

    /// Records that a request is admitted as the `level`th.
    pub fn record_admission(&mut self, level: u32, now: Millis) {
        if level > self.proven {
            self.probes.push(Probe {
                level,
                admitted_at: now,
            });
        }
    }

    /// Records that the upstream accepted the request admitted as the `level`th.
    pub fn record_accepted(&mut self, level: u32) {
        if let Some(index) = self.probes.iter().position(|probe| probe.level == level) {
            self.probes.remove(index);
            self.prove(level);
        }
    }

    /// Records that the upstream rejected the request admitted as the `level`th, when `running`
    /// requests were counted with it.
    ///
    /// Requests that were admitted later may have arrived before it.
    pub fn record_rejection(&mut self, level: u32, running: u32, now: Millis) {
        self.probes.retain(|probe| probe.level != level);
        let held = level.max(running).saturating_sub(1);
        self.proven = self.proven.min(held);
        self.rejections.push(now);
        self.ceiling = Some(match self.ceiling {
            Some(ceiling) if held >= ceiling.level && ceiling.level >= self.slots => Ceiling {
                rejected_at: now,
                rise_delay: Millis(ceiling.rise_delay.0 * 2).min(MAX_RISE_DELAY),
                ..ceiling
            },
            _ => Ceiling {
                level: held,
                rejected_at: now,
                rise_delay: WINDOW,
            },
        });
    }

    fn settle(&mut self, now: Millis) {
        self.rejections
            .retain(|at| now.since(*at) < WINDOW + WINDOW_MARGIN);
        let settled = |probe: &Probe| now.since(probe.admitted_at) >= SETTLE_TIME;
        let proven = self.probes.iter().filter(|probe| settled(probe));
        if let Some(level) = proven.map(|probe| probe.level).max() {
            self.prove(level);
        }
        self.probes.retain(|probe| !settled(probe));
    }

    /// Records that the upstream holds this many requests.
    ///
    /// Beyond its slots nothing is proven: a slot may have become free before the request arrived.
    fn prove(&mut self, level: u32) {
        self.proven = self.proven.max(level.min(self.slots));
    }

    /// Returns the number of requests beyond which none is admitted.
    fn highest(&self, limit: u32, now: Millis) -> u32 {
        let most = if limit < MIN_LIMIT_TO_QUEUE {
            self.slots
        } else {
            self.slots + self.slots / 2
        };
        let Some(ceiling) = self.ceiling else {
            return most;
        };
        let delay = if limit < MIN_LIMIT_TO_QUEUE {
            MAX_RISE_DELAY
        } else {
            ceiling.rise_delay
        };
        let rises_from = ceiling.rejected_at + delay;
        if now < rises_from {
            return ceiling.level.min(most);
        }
        let steps = now.since(rises_from).0 / RISE_INTERVAL.0;
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        // Below its slots, an upstream rejects because of requests that aren't counted here and
        // soon end. Probes find out.
        let level = ceiling.level.max(self.slots);
        level.saturating_add(steps).min(most)
    }
}

/// Returns the rejections in a second that one counting node may cause.
///
/// The other half is left for a node that counts at the same time, because the owner changes or
/// nodes know of different nodes. At least one request has to be sent to learn anything.
fn rejection_budget(limit: u32) -> u32 {
    (limit / 2).max(1)
}
