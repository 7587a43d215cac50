//! Names of the safety checks of ownership and membership.
//!
//! Each guard prevents one way to violate an invariant. The fuzz harness disables one at a time
//! and shows that its oracle detects the violation; docs/reliability.md lists them. A node always
//! runs with all of them: no setting disables one.

/// A safety check of ownership or membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// The local expiry of a lease counts from before the renewal was sent.
    BoundFromSend,
    /// A claim is written only if the claim that was read is still the current one.
    ClaimUnchanged,
    /// A claim is taken over only if its owner hasn't registered again in the meantime.
    OwnerUnregistered,
    /// A majority of the owner's witnesses must withdraw before a takeover.
    WithdrawMajority,
    /// Support requires a majority of the witnesses.
    SupportMajority,
    /// The term of support counts from before it was requested.
    SupportFromSend,
    /// A witness doesn't withdraw while an owner may still rely on its support.
    WitnessWaits,
    /// A witness that withdrew never supports that registration again.
    WitnessRemembers,
    /// A restarted witness doesn't vote for a while.
    WitnessQuiet,
    /// An owner whose lease expired locally stays without ownership until it has read its claims
    /// again.
    LapseFinal,
    /// If the response to a claim's write is lost, the outcome is determined by reading the claim.
    SettleClaim,
    /// An upstream is handed over only after its release.
    ReleaseFirst,
    /// A restarted node waits until the record of its previous incarnation is gone.
    PreviousStart,
    /// Witnesses change only while the node doesn't rely on support.
    WitnessesFixed,
    /// Data read at an older revision of the service is ignored.
    StaleRead,
    /// A list of VMs that suddenly lacks many is rejected.
    PanicThreshold,
    /// A leaving upstream gets no new work.
    LeavingStops,
    /// An upstream that fails repeatedly is suspended for increasing times.
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

/// The guards that are enabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Guards {
    disabled: Option<Guard>,
}

impl Guards {
    /// All guards; every node runs with these.
    #[must_use]
    pub const fn all() -> Self {
        Self { disabled: None }
    }

    /// All guards except one, for the fuzz harness.
    #[must_use]
    pub const fn without(guard: Guard) -> Self {
        Self {
            disabled: Some(guard),
        }
    }

    /// Whether a guard is enabled.
    #[must_use]
    pub fn is_enabled(self, guard: Guard) -> bool {
        self.disabled != Some(guard)
    }
}
