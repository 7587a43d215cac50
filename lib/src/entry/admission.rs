//! Admission of callers' requests: a limit on requests in progress.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;

/// `Retry-After` of requests that a full node rejects.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Limits the requests in progress, per client account.
///
/// When the node is three quarters full, an account with an equal share or more of the limit gets
/// no more requests admitted, so that one account's burst leaves capacity for the others.
#[derive(Debug)]
pub struct InFlightLimiter {
    limit: usize,
    counts: Mutex<InFlightCounts>,
}

#[derive(Debug, Default)]
struct InFlightCounts {
    total: usize,
    accounts: HashMap<Name, usize>,
}

impl InFlightCounts {
    fn is_full_for(&self, limit: usize, account: &str) -> bool {
        if self.total >= limit {
            return true;
        }
        let own = self.accounts.get(account).copied().unwrap_or(0);
        let others = self.accounts.len() - usize::from(own > 0);
        let equal_share = limit / (others + 1);
        self.total >= limit / 4 * 3 && own >= equal_share
    }
}

impl InFlightLimiter {
    /// Creates a limiter for this many requests.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            counts: Mutex::default(),
        })
    }

    /// Admits a request of an account.
    ///
    /// # Errors
    ///
    /// [`Code::NodeFull`] if the node is full, or nearly full and the account has its share.
    pub fn admit(self: &Arc<Self>, account: &Name) -> Result<InFlightGuard, Failure> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if counts.is_full_for(self.limit, account) {
            return Err(node_full("the node holds all the requests that it can"));
        }
        counts.total += 1;
        *counts.accounts.entry(Arc::clone(account)).or_default() += 1;
        Ok(InFlightGuard {
            limiter: Arc::clone(self),
            account: Arc::clone(account),
        })
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    limiter: Arc<InFlightLimiter>,
    account: Name,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self
            .limiter
            .counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        counts.total -= 1;
        if let Some(count) = counts.accounts.get_mut(&self.account) {
            *count -= 1;
            if *count == 0 {
                counts.accounts.remove(&self.account);
            }
        }
    }
}

fn node_full(detail: &str) -> Failure {
    Failure::new(Code::NodeFull, detail).retry_after(RETRY_AFTER)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a burst of one account filling the node, which happened when requests were
    /// admitted by order of arrival alone: the node then rejected every other account.
    #[test]
    fn admit_burst_leaves_room() {
        let limiter = InFlightLimiter::new(100);
        let (burst, other) = (Name::from("greedy"), Name::from("modest"));
        let _held = limiter.admit(&other).unwrap();
        let admitted: Vec<_> = std::iter::from_fn(|| limiter.admit(&burst).ok()).collect();
        assert_eq!(admitted.len(), 74);
        assert!(limiter.admit(&other).is_ok());
    }

    #[test]
    fn admit_alone_takes_all() {
        let limiter = InFlightLimiter::new(8);
        let name = Name::from("a");
        let admitted: Vec<_> = std::iter::from_fn(|| limiter.admit(&name).ok()).collect();
        assert_eq!(admitted.len(), 8);
        drop(admitted);
        assert!(limiter.admit(&name).is_ok());
    }
}
