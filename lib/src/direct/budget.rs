//! This node's share of the budget for sending requests again.
//!
//! The bound holds over all nodes in any window. The part that grows with
//! requests adds up by itself; the fixed part is divided by the nodes.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::limits::{RetryLimits, SharedLimits};
use crate::clock::Millis;
use crate::name::Name;

/// Part of the bound that is used.
///
/// What a server sees of a window and what this node counts differ by requests
/// on their way, and by those of nodes that ended within the window.
const USED: f64 = 0.7;

/// Length of a window's step.
const STEP: Millis = Millis(500);

#[derive(Debug, Clone, Copy, Default)]
struct Step {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Counts requests and repeats for each pool.
#[derive(Debug)]
pub struct RetryBudget {
    limits: Arc<SharedLimits>,
    steps: HashMap<Name, VecDeque<Step>>,
}

impl RetryBudget {
    /// Makes a budget with nothing counted.
    #[must_use]
    pub fn new(limits: Arc<SharedLimits>) -> Self {
        Self {
            limits,
            steps: HashMap::new(),
        }
    }

    /// Counts a request for a pool.
    pub fn record_request(&mut self, pool: &Name, now: Millis) {
        self.step(pool, now).requests += 1;
    }

    /// Counts a further send that no leave was taken for.
    pub fn record_retry(&mut self, pool: &Name, now: Millis) {
        self.step(pool, now).repeats += 1;
    }

    /// Whether the bound allows a further send.
    pub fn has_room(&mut self, pool: &Name, now: Millis, nodes: usize) -> bool {
        self.allowed(pool, now, nodes)
    }

    /// Counts a further send of a request, if the bound allows it.
    pub fn try_retry(&mut self, pool: &Name, now: Millis, nodes: usize) -> bool {
        let allowed = self.allowed(pool, now, nodes);
        let step = self.step(pool, now);
        if allowed {
            step.repeats += 1;
        }
        allowed
    }

    fn allowed(&mut self, pool: &Name, now: Millis, nodes: usize) -> bool {
        let RetryLimits { ratio, extra, .. } = self.limits.get().retries;
        self.step(pool, now);
        let steps = &self.steps[pool];
        let requests: u32 = steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = steps.iter().map(|step| step.repeats).sum();
        #[allow(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let share = f64::from(extra) / nodes.max(1) as f64;
        let bound = USED * (ratio * f64::from(requests) + share);
        f64::from(repeats) + 1.0 <= bound.max(1.0)
    }

    fn step(&mut self, pool: &Name, now: Millis) -> &mut Step {
        let number = now.0 / STEP.0;
        let kept = self.limits.get().retries.window.0 / STEP.0;
        let steps = self.steps.entry(Name::clone(pool)).or_default();
        while steps
            .front()
            .is_some_and(|step| step.number + kept < number)
        {
            steps.pop_front();
        }
        if steps.back().is_none_or(|step| step.number < number) {
            steps.push_back(Step {
                number,
                ..Step::default()
            });
        }
        steps.back_mut().expect("a step was pushed before")
    }
}
