//! Plans: what a change would do and what it would break.

use std::collections::BTreeSet;
use std::sync::Arc;

use futures::{StreamExt, stream};

use super::blocking;
use super::view::View;
use crate::adapter::Adapter;
use crate::declaration::{DeclarationSet, Pool, PoolKind, convert, diff};
use crate::ports::Weights;
use crate::schema::declaration::Difference;
use crate::schema::declaration::difference::{After, Before};

/// Concurrent lookups of adapter versions in the weight store.
const MAX_CONCURRENT_LOOKUPS: usize = 8;
/// Maximum adapter versions looked up for one plan.
const MAX_LOOKUPS: usize = 2_000;

/// The effects of a change that isn't applied yet.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The revision that the change is based on; apply takes it as the expected revision.
    pub revision: u64,
    /// The declarations that would change.
    pub differences: Vec<Difference>,
    /// What would break, one sentence each.
    pub warnings: Vec<String>,
}

impl Plan {
    /// Formats the differences for people.
    #[must_use]
    pub fn render(&self) -> String {
        diff::render(&self.differences)
    }
}

/// Compares a set of declarations with a view and collects warnings.
pub async fn plan(view: &View, set: &DeclarationSet, weights: &dyn Weights) -> Plan {
    let differences = blocking::run(|| diff::diff(&view.to_set(), set));
    let mut warnings = missing_adapters(set, &differences, weights).await;
    warnings.extend(removal_warnings(&differences));
    warnings.extend(limit_warnings(set));
    Plan {
        revision: view.revision(),
        differences,
        warnings,
    }
}

/// Warns of adapter versions that aren't in the weight store.
async fn missing_adapters(
    set: &DeclarationSet,
    differences: &[Difference],
    weights: &dyn Weights,
) -> Vec<String> {
    let wanted: BTreeSet<Adapter> = differences
        .iter()
        .filter_map(|difference| match &difference.after {
            Some(After::TemplateAfter(template)) => {
                let pool: Arc<Pool> = convert::pool(set.pools.get(&template.pool)?).ok()?.into();
                convert::template(template, Some(&pool)).ok()?.adapter
            }
            _ => None,
        })
        .collect();
    let skipped = wanted.len().saturating_sub(MAX_LOOKUPS);
    let mut warnings: Vec<String> = stream::iter(wanted.into_iter().take(MAX_LOOKUPS))
        .map(|adapter| async move {
            match weights.has(&adapter).await {
                Ok(true) => None,
                Ok(false) => Some(format!(
                    "adapter {adapter} for {} isn't in the weight store; its requests would be \
                     refused with 2016",
                    adapter.base_model
                )),
                Err(error) => Some(format!("adapter {adapter} can't be looked up: {error}")),
            }
        })
        .buffered(MAX_CONCURRENT_LOOKUPS)
        .filter_map(|warning| async { warning })
        .collect()
        .await;
    if skipped > 0 {
        warnings.push(format!(
            "{skipped} adapter versions weren't looked up; a plan looks up {MAX_LOOKUPS}"
        ));
    }
    warnings
}

/// Warns of removed templates, accounts and pools, whose requests would be refused.
fn removal_warnings(differences: &[Difference]) -> Vec<String> {
    differences
        .iter()
        .filter(|difference| difference.after.is_none())
        .filter_map(|difference| match difference.before.as_ref()? {
            Before::TemplateBefore(template) => Some(format!(
                "template {}/{} goes: running requests end as usual, new ones are refused with 1003",
                template.account, template.name
            )),
            Before::AccountBefore(account) => Some(format!(
                "account {} goes: its callers are refused with 1002",
                account.name
            )),
            Before::PoolBefore(pool) => Some(format!(
                "pool {} goes: its upstreams get no new work",
                pool.name
            )),
        })
        .collect()
}

/// Warns of limits that can never apply and of slots that can't be used.
fn limit_warnings(set: &DeclarationSet) -> Vec<String> {
    let pools: Vec<Pool> = set
        .pools
        .values()
        .filter_map(|pool| convert::pool(pool).ok())
        .collect();
    let unusable_slots = pools.iter().filter_map(|pool| match pool.kind {
        PoolKind::Engine { slots, .. } if slots > pool.batch => Some(format!(
            "pool {}: {slots} slots exceed the batch of {}; at most {} adapters can run at a time",
            pool.name, pool.batch, pool.batch
        )),
        _ => None,
    });
    let largest = pools.iter().map(|pool| pool.batch).max().unwrap_or(0);
    let ineffective_limits = set
        .accounts
        .values()
        .filter(|account| largest > 0 && account.max_in_flight > largest)
        .map(|account| {
            format!(
                "account {}: max_in_flight {} exceeds every pool's batch (at most {largest}), so \
                 it limits nothing",
                account.name, account.max_in_flight
            )
        });
    unusable_slots.chain(ineffective_limits).collect()
}
