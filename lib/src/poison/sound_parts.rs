//! Prompt parts that engines have just run without crashing.
//!
//! Parts that everybody uses are in the batch of every engine that crashes. A run of such a part
//! refutes the crashes before it, and one burst of crashes after it: engines that lose power
//! together crash at once. Crashes that go on while no further run began count, because a part can
//! begin to crash engines that ran it a moment ago.

use std::collections::HashMap;

use super::fingerprint::Fingerprint;
use crate::clock::Millis;

/// Maximum time from the beginning of a run to the burst of crashes that it refutes.
const REFUTES_WITHIN: Millis = Millis(2_000);

/// Maximum length of a burst of crashes as the node sees it whose requests were there.
const OWN_BURST: Millis = Millis(300);

/// Maximum length of a burst of crashes as other nodes learn of it.
const REPORTED_BURST: Millis = Millis(1_000);

/// Number of parts that are remembered: several hundred new ones a second at one node.
const MAX_PARTS: usize = 4_096;

/// Who saw a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observer {
    /// This node, whose requests were there.
    Own,
    /// Another node, which reported it.
    Other,
}

impl Observer {
    const fn burst(self) -> Millis {
        match self {
            Self::Own => OWN_BURST,
            Self::Other => REPORTED_BURST,
        }
    }
}

/// The last sound run of a part.
#[derive(Debug)]
struct SoundRun {
    began_at: Millis,
    /// When the first crash after it became known.
    burst_at: Option<Millis>,
}

/// The last sound run of each part.
#[derive(Debug, Default)]
pub struct SoundParts {
    runs: HashMap<Fingerprint, SoundRun>,
    pruned_at: Millis,
}

impl SoundParts {
    /// Records that an engine ran a part, from `began_at` on, without crashing.
    pub fn insert(&mut self, part: &Fingerprint, began_at: Millis, now: Millis) {
        self.prune(now);
        if let Some(run) = self.runs.get_mut(part) {
            run.began_at = began_at.max(run.began_at);
            run.burst_at = run.burst_at.filter(|burst_at| run.began_at <= *burst_at);
        } else if self.runs.len() < MAX_PARTS {
            let run = SoundRun {
                began_at,
                burst_at: None,
            };
            self.runs.insert(part.clone(), run);
        }
    }

    /// Whether a sound run refutes that the part caused a crash that became known at `crashed_at`.
    ///
    /// Crashes have to be asked for in the order in which they became known.
    pub fn refutes(&mut self, part: &Fingerprint, crashed_at: Millis, observer: Observer) -> bool {
        let Some(run) = self.runs.get_mut(part) else {
            return false;
        };
        if crashed_at < run.began_at {
            return true;
        }
        if crashed_at.since(run.began_at) >= REFUTES_WITHIN {
            return false;
        }
        let burst_at = *run.burst_at.get_or_insert(crashed_at);
        crashed_at.since(burst_at) < observer.burst()
    }

    /// Drops what refutes nothing any more, at most once in [`REFUTES_WITHIN`].
    fn prune(&mut self, now: Millis) {
        if now.since(self.pruned_at) >= REFUTES_WITHIN {
            self.runs
                .retain(|_, run| now.since(run.began_at) < REFUTES_WITHIN);
            self.pruned_at = now;
        }
    }
}
