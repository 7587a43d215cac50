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
struct QueuedLoad {
    request: PermitRequest,
    /// When it first came; a replaced ask keeps its age.
    first_requested_at: Millis,
    /// When the demand was last told.
    updated_at: Millis,
}

impl QueuedLoad {
    /// Returns the stall that the load still saves if it begins now.
    ///
    /// Each waiter's time runs out while it waits, so of two asks that are alike
    /// the later one saves more.
    fn remaining_savings(&self, now: Millis) -> u64 {
        let class_weight = self.request.class.map_or(0, class_weight);
        let spent = now.since(self.updated_at).0;
        let lost = spent
            .saturating_mul(u64::from(self.request.waiters))
            .saturating_mul(u64::from(class_weight));
        self.request.stall_savings.0.saturating_sub(lost)
    }

    /// Returns the place in the order; the smallest goes next.
    ///
    /// Urgent asks go first and prefetches last. While all can be served in
    /// time, the load that ends most waiting goes next, weighed by class, then
    /// the oldest. When they can't, the one that still saves most goes next:
    /// first come, first served would then serve each just before its deadline,
    /// and all would have waited in vain.
    fn priority(&self, congested: bool, now: Millis) -> (u8, Reverse<u64>, Millis) {
        let Some(class) = self.request.class else {
            return (
                2,
                Reverse(self.request.stall_savings.0),
                self.first_requested_at,
            );
        };
        let rank = u8::from(class != Class::Urgent);
        if congested {
            return (
                rank,
                Reverse(self.remaining_savings(now)),
                self.first_requested_at,
            );
        }
        let ended = u64::from(self.request.waiters) * u64::from(class_weight(class));
        (rank, Reverse(ended), self.first_requested_at)
    }
}

/// Asks for loads, one granted at a time.
#[derive(Debug)]
pub struct LoadQueue {
    limits: Limits,
    waiting: BTreeMap<RequestKey, QueuedLoad>,
    granted_load: Option<(RequestKey, Millis)>,
    grants: u32,
    /// Number of the grant that last served each class.
    last_served: [u32; 3],
    /// When the last load was granted, if others waited then.
    last_grant_at: Option<Millis>,
    grant_interval: MovingAverage,
    lost_count: u64,
}

impl LoadQueue {
    /// Starts empty.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            waiting: BTreeMap::new(),
            granted_load: None,
            grants: 0,
            last_served: [0; 3],
            last_grant_at: None,
            grant_interval: MovingAverage::default(),
            lost_count: 0,
        }
    }

    /// Puts an ask in, or replaces an earlier one of the same key without losing its age.
    ///
    /// Returns whether there was room.
    pub fn enqueue(&mut self, key: RequestKey, request: PermitRequest, now: Millis) -> bool {
        let earlier = self
            .waiting
            .get(&key)
            .map(|waiting| waiting.first_requested_at);
        if earlier.is_none() && self.waiting.len() >= self.limits.max_waiting {
            return false;
        }
        let waiting = QueuedLoad {
            request,
            first_requested_at: earlier.unwrap_or(now),
            updated_at: now,
        };
        self.waiting.insert(key, waiting);
        true
    }

    /// Takes an ask back, granted or not.
    pub fn withdraw(&mut self, key: RequestKey) {
        self.waiting.remove(&key);
        if self.granted_load.is_some_and(|(granted, _)| granted == key) {
            self.granted_load = None;
        }
    }

    /// Grants the next load, if none is under way.
    pub fn next(&mut self, now: Millis) -> Option<(RequestKey, PermitRequest)> {
        if let Some((_, until)) = self.granted_load {
            if now < until {
                return None;
            }
            // The node that was granted this load has ended or hangs. Without
            // this bound no adapter would be loaded anywhere any more.
            self.lost_count += 1;
            self.granted_load = None;
        }
        let key = self.select(now)?;
        let granted = self.waiting.remove(&key)?;
        self.record_grant(&granted.request, now);
        self.granted_load = Some((key, now + self.limits.timeout));
        Some((key, granted.request))
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
        self.granted_load.map(|(_, until)| until)
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
        self.lost_count
    }

    /// Counts a grant, and learns how long a load takes while others wait.
    fn record_grant(&mut self, request: &PermitRequest, now: Millis) {
        self.grants = self.grants.wrapping_add(1);
        if let Some(class) = request.class {
            self.last_served[class as usize] = self.grants;
        }
        if let Some(before) = self.last_grant_at {
            self.grant_interval.add(to_f64(now.since(before)));
        }
        self.last_grant_at = (!self.waiting.is_empty()).then_some(now);
    }

    /// Returns whether the asks that wait take longer than is good to get through.
    fn is_congested(&self) -> bool {
        let grant_interval = to_millis(self.grant_interval.or(0.0)).0;
        grant_interval.saturating_mul(self.waiting.len() as u64)
            > self.limits.congestion_threshold.0
    }

    /// Returns the class whose turn it is, whatever the order says.
    fn due_class(&self) -> Option<Class> {
        let due = self.limits.fair_turn_interval > 0
            && self.grants.is_multiple_of(self.limits.fair_turn_interval);
        if !due {
            return None;
        }
        self.waiting
            .values()
            .filter_map(|waiting| waiting.request.class)
            .min_by_key(|class| (self.last_served[*class as usize], *class))
    }

    /// Picks the load that goes next.
    fn select(&self, now: Millis) -> Option<RequestKey> {
        let congested = self.is_congested();
        let due_class = self.due_class();
        self.waiting
            .iter()
            .filter(|(_, waiting)| due_class.is_none() || waiting.request.class == due_class)
            .min_by_key(|(key, waiting)| (waiting.priority(congested, now), **key))
            .map(|(key, _)| *key)
    }
}
