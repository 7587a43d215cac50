//! Support of owners by their peers while the key-value service can't be reached.
//!
//! An owner whose lease can't be renewed would have to stop, although nobody
//! may take its upstreams over while the service is down. Each node therefore
//! names a few peers as its witnesses, in its record at the service. While a
//! majority of them supports it, it goes on; a successor must have a majority
//! of the same witnesses withdraw first. A witness that has supported an owner
//! within the support span refuses to withdraw, and one that has withdrawn never
//! supports that registration again, so the two majorities can't both exist.
//! Witnesses agree on nothing and keep nothing: the claim itself is made only at
//! the service. See docs/design/0004-ownership.md.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::membership::guard::{Guard, Guards};
use crate::membership::limits::{SUPPORT_TTL, drift_margin};
use crate::name::Name;
use crate::ports::LeaseId;

/// What is asked of a witness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteRequest {
    /// The node whose ownership is asked about.
    pub node: Name,
    /// Which start of it.
    pub incarnation: u64,
    /// Its lease at the service, which the witness renews if it can.
    pub lease: LeaseId,
    /// The service's revision of its record's write.
    pub registration: u64,
    /// None when the node asks for support. Else a successor read, at this
    /// revision of the service, that the record is gone, and asks to withdraw.
    pub withdraw_before: Option<u64>,
}

/// How a witness votes: on a longer lease for an owner, or on its end.
///
/// A vote counts for one registration and one span only. Nothing is agreed on among the
/// witnesses, so this is no consensus.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Vote {
    /// It reached the service and renewed the lease.
    pub renewed: bool,
    /// It supports the node for one support span from when it was asked.
    pub supported: bool,
    /// It supports no such registration now and never will again.
    pub withdrawn: bool,
}

/// How many other nodes a witness keeps in mind; the quietest are forgotten first.
const REMEMBERED: usize = 4096;

/// What a witness remembers of one start of a node.
#[derive(Debug, Clone, Copy, Default)]
struct Memory {
    supported_at: Option<Millis>,
    withdrawn_before: u64,
    touched: Millis,
}

/// The memory of one node as a witness of others.
#[derive(Debug)]
pub struct Witness {
    speaks_from: Millis,
    quiet: Millis,
    /// Revision of the service after which nothing can have been promised and forgotten.
    forgot_nothing_after: Option<u64>,
    overflowed: bool,
    memories: HashMap<(Name, u64), Memory>,
    guards: Guards,
}

impl Witness {
    /// Makes a witness that just started.
    ///
    /// A restart forgets what was promised, so a fresh witness says nothing for
    /// `quiet`, longer than any round of asking plus a support span. Without it
    /// a witness could withdraw, restart, and support the same owner again.
    #[must_use]
    pub fn new(now: Millis, quiet: Millis) -> Self {
        Self::with_guards(now, quiet, Guards::all())
    }

    /// Makes a witness that may lack a guard, for the fuzz harness.
    #[must_use]
    pub fn with_guards(now: Millis, quiet: Millis, guards: Guards) -> Self {
        let quiet = if guards.is_enabled(Guard::WitnessQuiet) {
            quiet
        } else {
            Millis::ZERO
        };
        Self {
            speaks_from: now + quiet,
            quiet,
            forgot_nothing_after: None,
            overflowed: false,
            memories: HashMap::new(),
            guards,
        }
    }

    /// Notes the revision of this node's own registration, which is a write of this start.
    ///
    /// A registration with a higher revision is younger than this witness, so no previous
    /// start of it can have withdrawn it. Without this, nodes that started together would
    /// vote for nobody in an outage that begins within [`Limits::witness_silence`] of the start: their
    /// leases would lapse before the first vote, and callers be refused at every upstream.
    ///
    /// [`Limits::witness_silence`]: crate::membership::limits::Limits::witness_silence
    pub fn record_own_registration(&mut self, revision: u64) {
        if !self.overflowed {
            self.forgot_nothing_after.get_or_insert(revision);
        }
    }

    /// Votes on an owner that asks for support, or on a successor that asks to withdraw it.
    pub fn vote(&mut self, now: Millis, ask: &VoteRequest) -> Vote {
        if now < self.speaks_from && !self.surely_new(ask) {
            return Vote::default();
        }
        self.forget(now);
        let memory = self
            .memories
            .entry((ask.node.clone(), ask.incarnation))
            .or_default();
        memory.touched = now;
        let guards = self.guards;
        match ask.withdraw_before {
            None => memory.support(now, ask.registration, guards),
            Some(revision) => memory.withdraw(now, revision, guards),
        }
    }

    // To withdraw, the witness must also know that no older registration of the node was
    // supported, which only time tells.
    fn surely_new(&self, ask: &VoteRequest) -> bool {
        let younger = self
            .forgot_nothing_after
            .is_some_and(|revision| ask.registration > revision);
        ask.withdraw_before.is_none() && younger
    }

    // Bounded, so that names made up by a broken peer can't fill the memory.
    // Forgetting a promise is like a restart, and is followed by the same silence.
    fn forget(&mut self, now: Millis) {
        if self.memories.len() < REMEMBERED {
            return;
        }
        let mut touched: Vec<Millis> = self.memories.values().map(|m| m.touched).collect();
        touched.sort_unstable();
        let oldest = touched[touched.len() / 4];
        self.memories.retain(|_, memory| memory.touched > oldest);
        self.speaks_from = now + self.quiet;
        // What was forgotten may be younger than this node's registration.
        self.forgot_nothing_after = None;
        self.overflowed = true;
    }
}

impl Memory {
    fn support(&mut self, now: Millis, registration: u64, guards: Guards) -> Vote {
        // A withdrawn registration may have a successor already.
        let withdrawn = registration < self.withdrawn_before;
        let supported = !withdrawn || !guards.is_enabled(Guard::WitnessRemembers);
        if supported {
            self.supported_at = Some(now);
        }
        Vote {
            supported,
            ..Vote::default()
        }
    }

    fn withdraw(&mut self, now: Millis, revision: u64, guards: Guards) -> Vote {
        // The owner counts on support for a span from when it asked, which was before
        // this witness heard it. The drift allows for clocks of different rates.
        let counted_on = self
            .supported_at
            .is_some_and(|at| now <= at + SUPPORT_TTL + drift_margin(SUPPORT_TTL));
        let withdrawn = !counted_on || !guards.is_enabled(Guard::WitnessWaits);
        if withdrawn {
            self.withdrawn_before = self.withdrawn_before.max(revision);
        }
        Vote {
            withdrawn,
            ..Vote::default()
        }
    }
}
