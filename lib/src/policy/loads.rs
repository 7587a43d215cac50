//! The order of loads from the weight store, for the whole deployment.
//!
//! The store gives few loads a second, and two at once slow each other down,
//! so loads run one at a time. See docs/design/0002-decisions.md.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::loads::PermitRequest;
use crate::policy::demand::{class_weight, to_f64, to_millis};
use crate::policy::service_time::MovingAverage;
use crate::request::Class;

/// Names an ask; the driver chooses it, such as a connection's number and the load's.
pub type RequestKey = (u64, u64);

/// How the queue behaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// After this span a load that hasn't told its end is taken for lost, and the queue goes on.
    pub timeout: Millis,
    /// Every so many grants the class that was served longest ago goes first, so
    /// that none waits for as long as others ask.
    pub fair_turn_interval: u32,
    /// Above this time to clear all asks the store is congested: some can't be
    /// served in time, and the order changes to what saves most.
    pub congestion_threshold: Millis,
    /// Most asks that wait.
    pub max_waiting: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            timeout: Millis::from_secs(10),
            fair_turn_interval: 16,
            congestion_threshold: Millis(2_500),
            max_waiting: 16_384,
        }
    }
}

#[derive(Debug)]
struct Waiting {
    ask: PermitRequest,
    /// When it first came; a replaced ask keeps its age.
    first: Millis,
    /// When the demand was last told.
    told: Millis,
}

impl Waiting {
    /// Returns the stall that the load still saves if it begins now.
    ///
    /// Each waiter's time runs out while it waits, so of two asks that are alike
    /// the later one saves more.
    fn stall_savings(&self, now: Millis) -> u64 {
        let class_weight = self.ask.class.map_or(0, class_weight);
        let spent = now.since(self.told).0;
        let lost = spent
            .saturating_mul(u64::from(self.ask.waiters))
            .saturating_mul(u64::from(class_weight));
        self.ask.stall_savings.0.saturating_sub(lost)
    }

    /// Returns the place in the order; the smallest goes next.
    ///
    /// Urgent asks go first and prefetches last. While all can be served in
    /// time, the load that ends most waiting goes next, weighed by class, then
    /// the oldest. When they can't, the one that still saves most goes next:
    /// first come, first served would then serve each just before its deadline,
    /// and all would have waited in vain.
    fn place(&self, congested: bool, now: Millis) -> (u8, Reverse<u64>, Millis) {
        let Some(class) = self.ask.class else {
            return (2, Reverse(self.ask.stall_savings.0), self.first);
        };
        let rank = u8::from(class != Class::Urgent);
        if congested {
            return (rank, Reverse(self.stall_savings(now)), self.first);
        }
        let ended = u64::from(self.ask.waiters) * u64::from(class_weight(class));
        (rank, Reverse(ended), self.first)
    }
}

/// Asks for loads, one granted at a time.
#[derive(Debug)]
pub struct LoadQueue {
    limits: Limits,
    waiting: BTreeMap<RequestKey, Waiting>,
    current: Option<(RequestKey, Millis)>,
    grants: u32,
    /// Number of the grant that last served each class.
    served: [u32; 3],
    /// When the last load was granted, if others waited then.
    granted: Option<Millis>,
    interval: MovingAverage,
    lost: u64,
}

impl LoadQueue {
    /// Starts empty.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            waiting: BTreeMap::new(),
            current: None,
            grants: 0,
            served: [0; 3],
            granted: None,
            interval: MovingAverage::default(),
            lost: 0,
        }
    }

    /// Puts an ask in, or replaces an earlier one of the same key without losing its age.
    ///
    /// Returns whether there was room.
    pub fn enqueue(&mut self, key: RequestKey, ask: PermitRequest, now: Millis) -> bool {
        let earlier = self.waiting.get(&key).map(|waiting| waiting.first);
        if earlier.is_none() && self.waiting.len() >= self.limits.max_waiting {
            return false;
        }
        let waiting = Waiting {
            ask,
            first: earlier.unwrap_or(now),
            told: now,
        };
        self.waiting.insert(key, waiting);
        true
    }

    /// Takes an ask back, granted or not.
    pub fn withdraw(&mut self, key: RequestKey) {
        self.waiting.remove(&key);
        if self.current.is_some_and(|(current, _)| current == key) {
            self.current = None;
        }
    }

    /// Grants the next load, if none is under way.
    pub fn next(&mut self, now: Millis) -> Option<(RequestKey, PermitRequest)> {
        if let Some((_, until)) = self.current {
            if now < until {
                return None;
            }
            // The node that was granted this load has ended or hangs. Without
            // this bound no adapter would be loaded anywhere any more.
            self.lost += 1;
            self.current = None;
        }
        let key = self.pick(now)?;
        let granted = self.waiting.remove(&key)?;
        self.count(&granted.ask, now);
        self.current = Some((key, now + self.limits.timeout));
        Some((key, granted.ask))
    }

    /// Tells that a granted load has ended, or that its permit came back unused.
    pub fn done(&mut self, key: RequestKey) {
        self.withdraw(key);
    }

    /// Returns when [`LoadQueue::next`] should be tried again if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Millis> {
        if self.waiting.is_empty() {
            return None;
        }
        self.current.map(|(_, until)| until)
    }

    /// Returns how many asks wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no ask waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many granted loads never told their end.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Counts a grant, and learns how long a load takes while others wait.
    fn count(&mut self, ask: &PermitRequest, now: Millis) {
        self.grants = self.grants.wrapping_add(1);
        if let Some(class) = ask.class {
            self.served[class as usize] = self.grants;
        }
        if let Some(before) = self.granted {
            self.interval.add(to_f64(now.since(before)));
        }
        self.granted = (!self.waiting.is_empty()).then_some(now);
    }

    /// Returns whether the asks that wait take longer than is good to get through.
    fn is_congested(&self) -> bool {
        let interval = to_millis(self.interval.or(0.0)).0;
        interval.saturating_mul(self.waiting.len() as u64) > self.limits.congestion_threshold.0
    }

    /// Returns the class whose turn it is, whatever the order says.
    fn turn(&self) -> Option<Class> {
        let due = self.limits.fair_turn_interval > 0
            && self.grants.is_multiple_of(self.limits.fair_turn_interval);
        if !due {
            return None;
        }
        self.waiting
            .values()
            .filter_map(|waiting| waiting.ask.class)
            .min_by_key(|class| (self.served[*class as usize], *class))
    }

    /// Picks the load that goes next.
    fn pick(&self, now: Millis) -> Option<RequestKey> {
        let congested = self.is_congested();
        let turn = self.turn();
        self.waiting
            .iter()
            .filter(|(_, waiting)| turn.is_none() || waiting.ask.class == turn)
            .min_by_key(|(key, waiting)| (waiting.place(congested, now), **key))
            .map(|(key, _)| *key)
    }
}
