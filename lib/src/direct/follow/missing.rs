//! Upstreams that are missing from the list, and the grace period before they count as gone.

use std::collections::HashSet;
use std::sync::Arc;

use super::Follower;
use crate::clock::Millis;
use crate::direct::outage::GracePeriod;
use crate::direct::upstream::Upstream;
use crate::direct::view::State;
use crate::name::Name;

impl Follower {
    /// Records an answer of the service, and starts a grace period after an outage.
    pub(super) fn record_answer(&mut self) {
        self.view.record_store_call(true);
        let now = self.clock.now();
        let Some(recovery) = self.outage.record_answer(now, self.grace.is_some()) else {
            return;
        };
        let silent_ms = recovery.silence.0;
        let grace = recovery.grace_period(self.known_revision, &self.limits.get());
        let doubt_ms = grace.until.since(now).0;
        log::info!(silent_ms, doubt_ms; "follow: the key-value service is back");
        self.grace = Some(grace);
    }

    /// Handles the removal of an upstream's entry.
    ///
    /// In a grace period the upstream is only marked as missing: entries also expire while the
    /// service is unavailable. Otherwise the upstream is gone.
    pub(super) fn handle_removal(&self, state: &mut State, incarnation: &str) {
        if self.grace.is_some()
            && let Some(upstream) = state.upstreams.get(incarnation)
        {
            upstream.mark_missing();
            return;
        }
        log::info!("follow: upstream {incarnation} is gone");
        state.remove_upstream(incarnation);
    }

    /// Removes missing upstreams if the view as of a time shows that they have left.
    ///
    /// It does if the grace period has ended by then, or if the service kept entries of other
    /// upstreams. These have to be of the same pool, so that no pool loses all of its upstreams
    /// because of another pool's entries.
    pub(super) fn resolve_missing(&mut self, state: &mut State, as_of: Millis) {
        let Some(grace) = &self.grace else {
            return;
        };
        let is_expired = as_of >= grace.until;
        let kept = self.pools_with_kept_entries(state, grace, as_of);
        if is_expired {
            self.grace = None;
        }
        for upstream in missing_upstreams(state) {
            if is_expired || kept.contains(&upstream.pool) {
                let why = if is_expired {
                    "did not come back"
                } else {
                    "has left meanwhile"
                };
                log::info!("follow: upstream {} {why}", upstream.incarnation);
                state.remove_upstream(&upstream.incarnation);
            }
        }
    }

    /// Returns the pools with entries that outlived the outage.
    fn pools_with_kept_entries(
        &self,
        state: &State,
        grace: &GracePeriod,
        as_of: Millis,
    ) -> HashSet<Name> {
        let limits = self.limits.get();
        let upstreams = state.upstreams.values();
        upstreams
            .filter(|upstream| !upstream.is_missing())
            .filter(|upstream| {
                grace.shows_entries_kept(upstream.entry_revision().created, as_of, &limits)
            })
            .map(|upstream| Name::clone(&upstream.pool))
            .collect()
    }

    /// Returns the rest of the grace period, if there is one.
    pub(super) fn grace_left(&self) -> Option<Millis> {
        let grace = self.grace.as_ref()?;
        Some(grace.until.since(self.clock.now()))
    }

    /// Returns a span, shortened so that it doesn't outlast the grace period.
    ///
    /// The grace period is resolved by what is known when it ends.
    pub(super) fn cap_to_grace(&self, span: Millis) -> Millis {
        self.grace_left().map_or(span, |left| span.min(left))
    }
}

/// Returns the upstreams that are missing from the list.
fn missing_upstreams(state: &State) -> Vec<Arc<Upstream>> {
    let upstreams = state.upstreams.values();
    upstreams
        .filter(|upstream| upstream.is_missing())
        .cloned()
        .collect()
}
