//! The guards of ownership and membership, by name.
//!
//! Each guard prevents one way to break a promise. The fuzz harness leaves one
//! out at a time and shows that its oracle notices; docs/reliability.md lists
//! them. A node always runs with all of them: no setting reaches this.

/// One guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// The bound of a lease counts from before the renewal was sent.
    BoundFromSend,
    /// A claim is written only over the claim that was read.
    ClaimUnchanged,
    /// A claim is taken over only if the owner hasn't registered again meanwhile.
    OwnerUnregistered,
    /// A majority of the owner's witnesses must withdraw before a takeover.
    WithdrawMajority,
    /// Support counts only from a majority of the witnesses.
    SupportMajority,
    /// Support counts from before it was asked for.
    SupportFromSend,
    /// A witness doesn't withdraw while its support may be counted on.
    WitnessWaits,
    /// A witness that withdrew never supports that registration again.
    WitnessRemembers,
    /// A restarted witness is silent for a while.
    WitnessQuiet,
    /// An owner whose bound has passed is no owner until it has read its claims again.
    LapseFinal,
    /// A lost answer to a claim is settled by reading the claim back.
    SettleClaim,
    /// An upstream is handed over only after it was released.
    ReleaseFirst,
    /// A restarted node waits until its previous start's record is gone.
    PreviousStart,
    /// Witnesses change only while no support is counted on.
    WitnessesFixed,
    /// What was read at an older revision of the service changes nothing.
    StaleRead,
    /// A list of VMs that lacks many at once is rejected.
    PanicThreshold,
    /// A leaving upstream gets no new work.
    LeavingStops,
    /// An upstream that failed again and again is held out.
    FlapBackoff,
}

impl Guard {
    /// All guards.
    pub const ALL: [Self; 18] = [
        Self::BoundFromSend,
        Self::ClaimUnchanged,
        Self::OwnerUnregistered,
        Self::WithdrawMajority,
        Self::SupportMajority,
        Self::SupportFromSend,
        Self::WitnessWaits,
        Self::WitnessRemembers,
        Self::WitnessQuiet,
        Self::LapseFinal,
        Self::SettleClaim,
        Self::ReleaseFirst,
        Self::PreviousStart,
        Self::WitnessesFixed,
        Self::StaleRead,
        Self::PanicThreshold,
        Self::LeavingStops,
        Self::FlapBackoff,
    ];
}

/// The guards that are on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Guards {
    without: Option<Guard>,
}

impl Guards {
    /// All guards, as every node runs.
    #[must_use]
    pub const fn all() -> Self {
        Self { without: None }
    }

    /// All guards but one, for the fuzz harness.
    #[must_use]
    pub const fn without(guard: Guard) -> Self {
        Self {
            without: Some(guard),
        }
    }

    /// Whether a guard is on.
    #[must_use]
    pub fn is_enabled(self, guard: Guard) -> bool {
        self.without != Some(guard)
    }
}
