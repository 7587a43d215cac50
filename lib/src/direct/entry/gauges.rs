//! What a node believes at this moment, as gauges beside its counters.

use std::sync::Arc;

use super::Frontend;
use crate::direct::upstream::Upstream;

/// A number as gauges take it.
fn count<T: TryInto<i64>>(number: T) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}

impl Frontend {
    /// Writes the node's metrics, with what it believes at this moment.
    #[must_use]
    pub fn render_metrics(&self) -> String {
        let metrics = &self.metrics;
        let age = self.service.age().map_or(-1, |age| count(age.0));
        metrics.revision_age_ms.set(age);
        metrics.in_flight.set(count(self.active_requests()));
        metrics
            .owned
            .set(count(self.controllers.ownership.owned_count()));
        let mut state = self.view.state();
        let version = state.config.as_ref().map_or(0, |config| config.version);
        metrics.revision.set(count(version));
        metrics
            .quarantined
            .set(count(state.ledger.blamed_count(self.clock.now())));
        let ready = state.upstreams.values().filter(|one| one.is_ready());
        let ready = ready.count();
        let doubted = state.upstreams.values().filter(|one| one.is_missing());
        let doubted = doubted.count();
        let leaving = state.upstreams.len() - ready;
        let upstreams: Vec<Arc<Upstream>> = state.upstreams.values().cloned().collect();
        // Roles are made from the view: with its lock held here the node would stand still.
        drop(state);
        let is_reader = |one: &&Arc<Upstream>| self.roles(&one.pool).is_prefill(one.address);
        let reading = upstreams.iter().filter(is_reader).count();
        let counts = [
            ("usable", ready),
            ("leaving", leaving),
            ("doubted", doubted),
            ("reading", reading),
        ];
        for (name, number) in counts {
            metrics
                .upstreams
                .with_label_values(&[name])
                .set(count(number));
        }
        metrics.render()
    }
}
