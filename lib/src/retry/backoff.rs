//! Backoff between the tries of one request.

use crate::clock::Millis;

/// Exponential backoff with jitter.
///
/// Requests that failed together would otherwise be retried together. Drawing
/// each pause at random from the upper half of its range spreads them.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Maximum pause after the first try; it doubles with each further one.
    pub base: Millis,
    /// Maximum pause after any try.
    pub cap: Millis,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Millis(50),
            cap: Millis(1_000),
        }
    }
}

impl Backoff {
    /// Returns the pause after `tries` tries, drawn by the number `random`.
    #[must_use]
    pub fn pause(&self, tries: u32, random: u64) -> Millis {
        let doublings = tries.saturating_sub(1).min(16);
        let max = self.base.0.saturating_mul(1 << doublings).min(self.cap.0);
        // At least half of the maximum, so that no pause is close to zero.
        let min = max / 2;
        Millis(min + random % (max - min + 1))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pause_grows_to_cap() {
        let backoff = Backoff::default();
        assert_eq!(backoff.pause(1, 0), Millis(25));
        assert_eq!(backoff.pause(1, 25), Millis(50));
        assert_eq!(backoff.pause(40, 0), Millis(500));
    }
}
