//! What is known of the node that owned an engine before, and how long its orders may go on.

use crate::clock::Millis;
use crate::direct::limits::RIGHT;

/// What became of the node that gave an engine its orders before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Previous {
    /// There was none.
    Nobody,
    /// It is this node, or an earlier start of it.
    Itself,
    /// It gave the claim up, this long after its last order.
    Left { at: Millis, idle: Millis },
    /// Its claim vanished with its lease.
    Vanished { at: Millis },
    /// Whoever it was before this node began to look may believe in its claim still.
    Unknown,
}

impl Previous {
    /// Returns the name used in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Nobody => "nobody",
            Self::Itself => "itself",
            Self::Left { .. } => "left",
            Self::Vanished { .. } => "vanished",
            Self::Unknown => "unknown",
        }
    }

    /// Returns when its right has surely ended and a turn has passed.
    pub(super) fn waited_out(self, turn: Millis, began: Millis) -> Millis {
        match self {
            Self::Nobody | Self::Itself => Millis::ZERO,
            Self::Left { at, idle } => at + (turn - idle.min(turn)),
            Self::Vanished { at } => at + RIGHT + turn,
            Self::Unknown => began + RIGHT + turn,
        }
    }
}
