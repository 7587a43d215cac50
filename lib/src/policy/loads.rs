//! Orders adapter loads from the weight store for the whole deployment.
//!
//! The weight store serves a few loads per second, and concurrent loads slow each other
//! down, so loads run one at a time. See docs/design/0002-decisions.md.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::loads::PermitRequest;
use crate::policy::demand::{class_weight, to_f64, to_millis};
use crate::policy::service_time::MovingAverage;
use crate::request::Class;

/// Identifies a request; chosen by the caller, for example from a connection number and a
/// load number.
pub type RequestKey = (u64, u64);

/// Limits of the load queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// A load whose end isn't reported within this time counts as lost, and the next one is
    /// granted.
    pub timeout: Millis,
    /// At every n-th grant, the class that was served least recently goes first, which
    /// prevents starvation by a steady stream from the other classes. 0 turns this off.
    pub fair_turn_interval: u32,
    /// The store is congested while the estimated time to serve all waiting requests is
    /// longer than this. Some loads then come too late, and the queue orders by the stall
    /// time saved.
    pub congestion_threshold: Millis,
    /// Maximum number of waiting requests.
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
    /// When the request first arrived; kept when the request is replaced.
    first_requested_at: Millis,
    /// When the request was last replaced.
    updated_at: Millis,
}

impl QueuedLoad {
    /// Returns the stall time that the load saves if it starts now.
    ///
    /// The time left to the waiters' deadlines shrinks while the request waits, so of two
    /// equal requests the one updated later saves more.
    fn remaining_savings(&self, now: Millis) -> u64 {
        let class_weight = self.request.class.map_or(0, class_weight);
        let elapsed = now.since(self.updated_at).0;
        let lost = elapsed
            .saturating_mul(u64::from(self.request.waiters))
            .saturating_mul(u64::from(class_weight));
        self.request.stall_savings.0.saturating_sub(lost)
    }

    /// Returns the sort key of the request; the smallest goes next.
    ///
    /// Urgent requests go first and prefetches last. While the store isn't congested, the
    /// load with the most waiters, weighted by class, goes next, then the oldest. Under
    /// congestion, the load that still saves the most stall time goes next: in order of
    /// arrival, each load would complete shortly before its waiters' deadlines, and all of
    /// them would have waited in vain.
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
        let weighted_waiters = u64::from(self.request.waiters) * u64::from(class_weight(class));
        (rank, Reverse(weighted_waiters), self.first_requested_at)
    }
}

/// Queue of load requests that grants one load at a time.
#[derive(Debug)]
pub struct LoadQueue {
    limits: Limits,
    waiting: BTreeMap<RequestKey, QueuedLoad>,
    granted_load: Option<(RequestKey, Millis)>,
    grants: u32,
    /// Grant number at which each class was last served.
    last_served: [u32; 3],
    /// Time of the last grant, if other requests were waiting then.
    last_grant_at: Option<Millis>,
    grant_interval: MovingAverage,
    lost_count: u64,
}

impl LoadQueue {
    /// Creates an empty queue.
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

    /// Adds a request, or replaces the one with the same key, which keeps its age.
    ///
    /// Returns false if the queue is full.
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

    /// Removes a request, whether waiting or granted.
    pub fn withdraw(&mut self, key: RequestKey) {
        self.waiting.remove(&key);
        if self.granted_load.is_some_and(|(granted, _)| granted == key) {
            self.granted_load = None;
        }
    }

    /// Grants the next load unless one is in progress.
    pub fn next(&mut self, now: Millis) -> Option<(RequestKey, PermitRequest)> {
        if let Some((_, until)) = self.granted_load {
            if now < until {
                return None;
            }
            // The node that holds the permit has crashed or hangs. Without this timeout, no
            // adapter could be loaded anywhere in the deployment.
            self.lost_count += 1;
            self.granted_load = None;
        }
        let key = self.select(now)?;
        let granted = self.waiting.remove(&key)?;
        self.record_grant(&granted.request, now);
        self.granted_load = Some((key, now + self.limits.timeout));
        Some((key, granted.request))
    }

    /// Records that a granted load has ended or that its permit was returned unused.
    pub fn done(&mut self, key: RequestKey) {
        self.withdraw(key);
    }

    /// Returns when [`LoadQueue::next`] should be called again if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Millis> {
        if self.waiting.is_empty() {
            return None;
        }
        self.granted_load.map(|(_, until)| until)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many granted loads timed out.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lost_count
    }

    /// Records a grant and updates the average time between grants while requests wait.
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

    /// Returns whether the estimated time to serve all waiting requests exceeds the
    /// threshold.
    fn is_congested(&self) -> bool {
        let grant_interval = to_millis(self.grant_interval.or(0.0)).0;
        grant_interval.saturating_mul(self.waiting.len() as u64)
            > self.limits.congestion_threshold.0
    }

    /// Returns the class that is due for a fair turn, which overrides the priorities.
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

    /// Selects the request to grant next.
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
