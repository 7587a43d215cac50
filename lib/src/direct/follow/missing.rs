//! Upstreams that vanish from the list, and how long that is doubted.

use std::collections::HashSet;
use std::sync::Arc;

use super::Follower;
use crate::clock::Millis;
use crate::direct::outage::Doubt;
use crate::direct::upstream::Upstream;
use crate::direct::view::State;
use crate::name::Name;

impl Follower {
    /// Notes that the service answers, and whether it was away.
    pub(super) fn alive(&mut self) {
        self.view.record_store_call(true);
        let now = self.clock.now();
        let Some(back) = self.outage.answered(now, self.doubt.is_some()) else {
            return;
        };
        let silent_ms = back.silent.0;
        let doubt = back.doubt(self.known, &self.limits.get());
        let doubt_ms = doubt.until.since(now).0;
        log::info!(silent_ms, doubt_ms; "follow: the key-value service is back");
        self.doubt = Some(doubt);
    }

    /// Takes in that an upstream isn't listed any more.
    ///
    /// An entry that vanished while the service was away isn't proof that its
    /// upstream is gone; one that vanished while the service answered is.
    pub(super) fn vanish(&self, state: &mut State, incarnation: &str) {
        if self.doubt.is_some()
            && let Some(upstream) = state.upstreams.get(incarnation)
        {
            upstream.mark_missing();
            return;
        }
        log::info!("follow: upstream {incarnation} is gone");
        state.remove_upstream(incarnation);
    }

    /// Removes what is missing, if what is known as of a time shows that it has left.
    ///
    /// Either the doubt is over by then, or the service kept the entries of others. These have to
    /// be of the same pool, so that no pool loses all of its upstreams to evidence from elsewhere.
    pub(super) fn judge(&mut self, state: &mut State, as_of: Millis) {
        let Some(doubt) = &self.doubt else {
            return;
        };
        let is_over = as_of >= doubt.until;
        let kept = self.kept_pools(state, doubt, as_of);
        if is_over {
            self.doubt = None;
        }
        for upstream in missing(state) {
            if is_over || kept.contains(&upstream.pool) {
                let why = if is_over {
                    "did not come back"
                } else {
                    "has left meanwhile"
                };
                log::info!("follow: upstream {} {why}", upstream.incarnation);
                state.remove_upstream(&upstream.incarnation);
            }
        }
    }

    /// Returns the pools of upstreams whose entries stood all the time.
    fn kept_pools(&self, state: &State, doubt: &Doubt, as_of: Millis) -> HashSet<Name> {
        let limits = self.limits.get();
        let upstreams = state.upstreams.values();
        upstreams
            .filter(|upstream| !upstream.is_missing())
            .filter(|upstream| {
                doubt.is_disproved_by(upstream.entry_revision().created, as_of, &limits)
            })
            .map(|upstream| Name::clone(&upstream.pool))
            .collect()
    }

    /// Returns for how long what is missing is still doubted.
    pub(super) fn doubt_left(&self) -> Option<Millis> {
        let doubt = self.doubt.as_ref()?;
        Some(doubt.until.since(self.clock.now()))
    }

    /// Returns a span, shortened so that it doesn't outlast a doubt: what is known by then ends it.
    pub(super) fn within_doubt(&self, span: Millis) -> Millis {
        self.doubt_left().map_or(span, |left| span.min(left))
    }
}

/// Returns the upstreams that are missing from the list.
fn missing(state: &State) -> Vec<Arc<Upstream>> {
    let upstreams = state.upstreams.values();
    upstreams
        .filter(|upstream| upstream.is_missing())
        .cloned()
        .collect()
}
