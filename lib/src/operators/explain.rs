//! What would happen to a request of a template now, and why.
//!
//! The order comes from the very code that entry nodes route by, without the
//! short memory of what owners answered of late.

use std::collections::HashMap;
use std::sync::Arc;

use super::refusal::{Cause, Refusal};
use super::wire::{Candidate, Explanation, Owned, Peer};
use crate::clock::Millis;
use crate::config::View;
use crate::declaration::Template;
use crate::membership::Fleet;
use crate::membership::fleet::{State, Upstream};
use crate::policy::placement::{self, Pool, Router};

/// What an explanation is made from.
pub(super) struct Facts<'a> {
    pub(super) node: &'a str,
    pub(super) view: &'a View,
    pub(super) fleet: &'a Fleet,
    pub(super) nodes: &'a [Peer],
    pub(super) owned: &'a [Owned],
    pub(super) placement: placement::Limits,
}

/// Explains a template to the operators.
///
/// # Errors
///
/// [`Cause::NotFound`] when the account has no such template in force.
pub(super) fn explain(
    facts: &Facts<'_>,
    account: &str,
    name: &str,
) -> Result<Explanation, Refusal> {
    let template = facts.view.template(account, name).ok_or_else(|| {
        Refusal::new(
            Cause::NotFound,
            format!(
                "account {account} has no template {name} in revision {}",
                facts.view.revision()
            ),
            "list what is in force with chivevalve get",
        )
    })?;
    let upstreams = facts.fleet.pool(&template.pool);
    let order = order(facts, upstreams, template);
    let candidates: Vec<Candidate> = order
        .iter()
        .map(|index| candidate(facts, &upstreams[*index], template))
        .collect();
    let passed_over = upstreams
        .iter()
        .enumerate()
        .filter(|(index, upstream)| !order.contains(index) && upstream.state != State::Usable)
        .map(|(_, upstream)| candidate(facts, upstream, template))
        .collect();
    Ok(Explanation {
        node: facts.node.to_owned(),
        revision: facts.view.revision(),
        account: account.to_owned(),
        template: name.to_owned(),
        pool: template.pool.to_string(),
        adapter: template.adapter.as_ref().map(ToString::to_string),
        class: template.class.name().to_owned(),
        weight: template.weight,
        idempotent: template.idempotent,
        verdict: verdict(&candidates, upstreams.len(), template),
        candidates,
        passed_over,
    })
}

fn order(
    facts: &Facts<'_>,
    upstreams: &[Arc<Upstream>],
    template: &Template,
) -> placement::CandidateOrder {
    let pool = Pool::new(upstreams.iter().map(AsRef::as_ref));
    let mut router = Router::new(facts.placement.clone(), 0);
    router.candidates(&pool, template.adapter.as_ref(), Millis::ZERO)
}

fn candidate(facts: &Facts<'_>, upstream: &Upstream, template: &Template) -> Candidate {
    let owner = facts.fleet.owner(&upstream.vm.name);
    let addresses: HashMap<&str, _> = facts
        .nodes
        .iter()
        .map(|node| (node.name.as_str(), node.operators))
        .collect();
    let detail = facts
        .owned
        .iter()
        .find(|owned| *owned.upstream == *upstream.vm.name);
    let adapter = template.adapter.as_ref().map(ToString::to_string);
    Candidate {
        upstream: upstream.vm.name.to_string(),
        failure_domain: upstream.vm.failure_domain.to_string(),
        state: state_name(upstream.state).to_owned(),
        owner: owner.map(|owner| owner.node.to_string()),
        owner_operators: owner
            .and_then(|owner| addresses.get(owner.node.as_ref()).copied())
            .flatten(),
        resident: detail
            .zip(adapter)
            .map(|(detail, adapter)| detail.holds(&adapter)),
        running: detail.map(|detail| detail.running),
        ahead: detail.map(|detail| detail.ahead(template.class)),
    }
}

fn verdict(candidates: &[Candidate], in_pool: usize, template: &Template) -> String {
    let Some(first) = candidates.first() else {
        return if in_pool == 0 {
            format!("refused as not run: pool {} has no upstream", template.pool)
        } else {
            format!(
                "refused as not run: none of pool {}'s {in_pool} upstreams is usable",
                template.pool
            )
        };
    };
    match &first.owner {
        None => format!(
            "refused as not run by {}, which nobody owns now",
            first.upstream
        ),
        Some(owner) => format!("tried first at {}, through {owner}", first.upstream),
    }
}

/// Returns the name of an upstream's state.
pub(super) const fn state_name(state: State) -> &'static str {
    match state {
        State::Usable => "usable",
        State::Suspended => "held",
        State::Leaving => "leaving",
    }
}

impl Owned {
    /// Whether the adapter is in a slot.
    #[must_use]
    pub fn holds(&self, adapter: &str) -> bool {
        self.resident.iter().any(|slot| slot.adapter == adapter)
    }

    /// Counts the requests that wait in a class or in a more urgent one.
    #[must_use]
    pub fn ahead(&self, class: crate::request::Class) -> u32 {
        self.waiting.iter().take(class as usize + 1).sum()
    }
}
