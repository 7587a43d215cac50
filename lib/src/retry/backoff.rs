//! Pauses between the tries of one request.

use crate::clock::Millis;

/// Exponential backoff with full jitter.
///
/// Requests that failed together would otherwise come back together; drawing
/// each pause from the whole range spreads them.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Longest pause after the first try.
    pub base: Millis,
    /// Longest pause of all.
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
    /// Returns the pause after this many tries, drawn with a random number.
    #[must_use]
    pub fn pause(&self, tries: u32, random: u64) -> Millis {
        let doublings = tries.saturating_sub(1).min(16);
        let longest = self.base.0.saturating_mul(1 << doublings).min(self.cap.0);
        // At least half, so that a pause is one.
        let half = longest / 2;
        Millis(half + random % (longest - half + 1))
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
