//! A retry that is taken from the budget before it is known whether the send will be one.
//!
//! A moved run that continues is still the same run. If the engine rejects it, or it is lost, it
//! was a further send of its request. As many runs can be on their way when engines start to fail,
//! each takes its retry before it is stopped at its source.

use std::sync::Arc;

use smallvec::SmallVec;

use super::entry::Frontend;
use crate::clock::Millis;
use crate::name::Name;

/// Retries that pay for the sends of a moved run, one for each engine that can resume it.
pub type RetryPermits = SmallVec<[RetryPermit; 2]>;

/// A retry taken from a pool's budget, returned on drop unless it was made.
#[derive(Debug)]
pub struct RetryPermit {
    frontend: Arc<Frontend>,
    pool: Name,
    taken_at: Millis,
    is_made: bool,
}

impl RetryPermit {
    /// Takes a retry from a pool's budget; `None` if the budget is used up.
    #[must_use]
    pub fn take(frontend: &Arc<Frontend>, pool: &Name) -> Option<Self> {
        let taken_at = frontend.take_retry(pool)?;
        Some(Self {
            frontend: Arc::clone(frontend),
            pool: Name::clone(pool),
            taken_at,
            is_made: false,
        })
    }

    /// Records that the send may arrive; the retry stays taken if this is dropped from now on.
    pub fn mark_made(&mut self) {
        self.is_made = true;
    }

    /// Returns the retry to the budget, as the send didn't arrive or continued the same run.
    pub fn give_back(mut self) {
        self.is_made = false;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_made {
            self.frontend.return_retry(&self.pool, self.taken_at);
        }
    }
}
