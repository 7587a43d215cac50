//! Gauges computed from the node's current view when metrics are rendered.

use std::sync::Arc;

use super::Frontend;
use crate::direct::upstream::Upstream;
use crate::poison::verdict::Blame;

/// Converts a count to a gauge's type.
fn gauge_value<T: TryInto<i64>>(number: T) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}

impl Frontend {
    /// Updates the gauges and renders all metrics of the node.
    #[must_use]
    pub fn render_metrics(&self) -> String {
        let metrics = &self.metrics;
        let age = self
            .service
            .changes_age()
            .map_or(-1, |age| gauge_value(age.0));
        metrics.revision_age_ms.set(age);
        let view_age = self.clock.now().since(self.view.as_of());
        metrics.view_age_ms.set(gauge_value(view_age.0));
        metrics.in_flight.set(gauge_value(self.active_requests()));
        metrics
            .owned
            .set(gauge_value(self.controllers.ownership.owned_count()));
        let mut state = self.view.state();
        let version = state.config.as_ref().map_or(0, |config| config.version);
        metrics.revision.set(gauge_value(version));
        let blames = state.ledger.blames(self.clock.now()).iter();
        let (parts, requests): (Vec<&Blame>, Vec<&Blame>) =
            blames.partition(|blame| blame.is_of_parts());
        metrics.quarantined.set(gauge_value(requests.len()));
        metrics.quarantined_parts.set(gauge_value(parts.len()));
        let (now, delays) = (self.clock.now(), &self.view.delays);
        for (name, delay) in [
            ("tasks", delays.scheduling(now)),
            ("round_trips", delays.link(now)),
        ] {
            let gauge = metrics.delay_ms.with_label_values(&[name]);
            gauge.set(gauge_value(delay.0));
        }
        let cut_off = self.view.reachability.cut_off_pools(self.clock.now());
        metrics.pools_cut_off.set(gauge_value(cut_off));
        metrics.nodes.set(gauge_value(state.nodes.len()));
        let ready = state.upstreams.values().filter(|one| one.is_ready());
        let ready = ready.count();
        let unconfirmed = state.upstreams.values().filter(|one| one.is_missing());
        let unconfirmed = unconfirmed.count();
        let leaving = state.upstreams.len() - ready;
        let now = self.clock.now();
        let is_limited = |one: &&Arc<Upstream>| one.notice().limit(now).is_some();
        let limited = state.upstreams.values().filter(is_limited).count();
        let pools = state.pool_names().into_iter();
        let mixed = pools.filter(|pool| state.listed_software(pool).len() > 1);
        metrics.mixed_pools.set(gauge_value(mixed.count()));
        let upstreams: Vec<Arc<Upstream>> = state.upstreams.values().cloned().collect();
        // `roles` locks the view too; calling it with the lock held would deadlock.
        drop(state);
        let is_prefill = |one: &&Arc<Upstream>| self.roles(&one.pool).is_prefill(one.address);
        let prefill = upstreams.iter().filter(is_prefill).count();
        let counts = [
            ("usable", ready),
            ("leaving", leaving),
            ("doubted", unconfirmed),
            ("reading", prefill),
            ("limited", limited),
        ];
        for (name, number) in counts {
            metrics
                .upstreams
                .with_label_values(&[name])
                .set(gauge_value(number));
        }
        metrics.render()
    }
}
