//! A node's account of itself.

use super::Parts;
use super::explain::state_name;
use super::wire;

/// Says why the node isn't ready; empty when it is.
///
/// Ready means that a request could be answered: a configuration is in force,
/// upstreams are known, and the node isn't about to stop.
pub(super) fn not_ready(parts: &Parts) -> Vec<String> {
    let mut reasons = Vec::new();
    if parts.membership.draining() {
        reasons.push("the node drains".to_owned());
    }
    if parts.view.borrow().revision() == 0 {
        reasons.push("no configuration is in force".to_owned());
    }
    if parts.fleet.borrow().upstreams().next().is_none() {
        reasons.push("no upstream is known".to_owned());
    }
    reasons
}

/// Says what the node is, has and sees.
pub(super) fn status(parts: &Parts) -> wire::Status {
    wire::Status {
        node: parts.node.name.to_string(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        region: parts.node.region.to_string(),
        failure_domain: parts.node.failure_domain.to_string(),
        not_ready: not_ready(parts),
        configuration: parts.configuration.rollout(),
        nodes: parts.membership.nodes(),
        upstreams: upstreams(parts),
        owned: parts.ownership.owned(),
    }
}

fn upstreams(parts: &Parts) -> Vec<wire::Upstream> {
    let fleet = parts.fleet.borrow();
    let mut upstreams: Vec<wire::Upstream> = fleet
        .upstreams()
        .map(|upstream| {
            let owner = fleet.owner(&upstream.vm.name);
            wire::Upstream {
                name: upstream.vm.name.to_string(),
                pool: upstream.vm.pool.to_string(),
                address: upstream.vm.address.to_string(),
                failure_domain: upstream.vm.failure_domain.to_string(),
                state: state_name(upstream.state).to_owned(),
                owner: owner.map(|owner| owner.node.to_string()),
                token: owner.map(|owner| owner.token),
            }
        })
        .collect();
    upstreams.sort_by(|a, b| (&a.pool, &a.name).cmp(&(&b.pool, &b.name)));
    upstreams
}
