//! How many requests and buffered bytes a node holds at a time.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;

/// Bytes that one permit of the buffer stands for.
const BLOCK: usize = 4 << 10;

/// When a full node may have room again.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Requests in progress, by client account.
///
/// When the node is nearly full, an account that holds more than its even part
/// gets no more, so that one account's burst leaves room for the others.
#[derive(Debug)]
pub struct InFlightLimiter {
    limit: usize,
    held: Mutex<Held>,
}

#[derive(Debug, Default)]
struct Held {
    all: usize,
    accounts: HashMap<Name, usize>,
}

impl Held {
    fn refuses(&self, limit: usize, account: &str) -> bool {
        if self.all >= limit {
            return true;
        }
        let own = self.accounts.get(account).copied().unwrap_or(0);
        let others = self.accounts.len() - usize::from(own > 0);
        let even = limit / (others + 1);
        self.all >= limit / 4 * 3 && own >= even
    }
}

impl InFlightLimiter {
    /// Makes a gate for this many requests.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            held: Mutex::default(),
        })
    }

    /// Lets a request of an account in.
    ///
    /// # Errors
    ///
    /// [`Code::NodeFull`] when the node or the account's part of it is full.
    pub fn admit(self: &Arc<Self>, account: &Name) -> Result<InFlightGuard, Failure> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if held.refuses(self.limit, account) {
            return Err(full("the node holds all the requests that it can"));
        }
        held.all += 1;
        *held.accounts.entry(Arc::clone(account)).or_default() += 1;
        Ok(InFlightGuard {
            gate: Arc::clone(self),
            account: Arc::clone(account),
        })
    }
}

/// A request's place at the node; dropping it makes room.
#[derive(Debug)]
pub struct InFlightGuard {
    gate: Arc<InFlightLimiter>,
    account: Name,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut held = self
            .gate
            .held
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        held.all -= 1;
        if let Some(count) = held.accounts.get_mut(&self.account) {
            *count -= 1;
            if *count == 0 {
                held.accounts.remove(&self.account);
            }
        }
    }
}

/// Bytes that bodies and held-back answers may take up together.
#[derive(Debug, Clone)]
pub struct BufferLimiter {
    blocks: Arc<Semaphore>,
}

impl BufferLimiter {
    /// Makes a buffer of this many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            blocks: Arc::new(Semaphore::new(bytes / BLOCK)),
        }
    }

    /// Starts with nothing reserved.
    #[must_use]
    pub fn reserve(&self) -> BufferReservation {
        BufferReservation {
            buffer: self.clone(),
            permit: None,
        }
    }
}

/// Bytes reserved for one request; dropping it gives them back.
#[derive(Debug)]
pub struct BufferReservation {
    buffer: BufferLimiter,
    permit: Option<OwnedSemaphorePermit>,
}

impl BufferReservation {
    /// Returns the bytes that are covered.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.permit
            .as_ref()
            .map_or(0, |permit| permit.num_permits() * BLOCK)
    }

    /// Makes the reserve cover this many bytes in all.
    ///
    /// # Errors
    ///
    /// [`Code::NodeFull`] when other requests hold too much.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Failure> {
        let missing = bytes.saturating_sub(self.bytes()).div_ceil(BLOCK);
        if missing == 0 {
            return Ok(());
        }
        let count = u32::try_from(missing).unwrap_or(u32::MAX);
        let more = Arc::clone(&self.buffer.blocks)
            .try_acquire_many_owned(count)
            .map_err(|_| full("the node buffers all the bytes that it can"))?;
        match &mut self.permit {
            Some(permit) => permit.merge(more),
            None => self.permit = Some(more),
        }
        Ok(())
    }
}

fn full(detail: &str) -> Failure {
    Failure::new(Code::NodeFull, detail).retry_after(RETRY_AFTER)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Symptom: one account's burst makes the node refuse every other account.
    /// Sequence: an account sends more requests than the node holds.
    /// Cause: places were given out in order of arrival alone.
    #[test]
    fn admit_burst_leaves_room() {
        let gate = InFlightLimiter::new(100);
        let (greedy, modest) = (Name::from("greedy"), Name::from("modest"));
        let _one = gate.admit(&modest).unwrap();
        let held: Vec<_> = std::iter::from_fn(|| gate.admit(&greedy).ok()).collect();
        assert_eq!(held.len(), 74);
        assert!(gate.admit(&modest).is_ok());
    }

    #[test]
    fn admit_alone_takes_all() {
        let gate = InFlightLimiter::new(8);
        let name = Name::from("a");
        let held: Vec<_> = std::iter::from_fn(|| gate.admit(&name).ok()).collect();
        assert_eq!(held.len(), 8);
        drop(held);
        assert!(gate.admit(&name).is_ok());
    }

    #[test]
    fn grow_to_gives_back() {
        let buffer = BufferLimiter::new(4 * BLOCK);
        let mut first = buffer.reserve();
        first.grow_to(1).unwrap();
        first.grow_to(3 * BLOCK).unwrap();
        let mut second = buffer.reserve();
        assert_eq!(second.grow_to(2 * BLOCK).unwrap_err().code, Code::NodeFull);
        drop(first);
        assert!(second.grow_to(4 * BLOCK).is_ok());
    }
}
