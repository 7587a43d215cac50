//! Prefetches adapters before the revision that needs them is activated.
//!
//! Without it, the first requests of a template that changes its adapter version
//! would stall while the version loads. A node that learns such a revision
//! notifies the owners of upstreams at once and activates the revision after a
//! delay in which the loads of an ordinary change complete. The delay is
//! bounded, because a change must be active on all nodes within 8 s whatever the
//! weight store does.

use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;

use super::view::View;
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::declaration::Template;
use crate::name::Name;
use crate::schema::declaration::Difference;
use crate::schema::declaration::difference::{After, Before};

/// Delay before a revision that changes templates' adapters is activated, in milliseconds.
///
/// Covers two consecutive loads at the weight store's rate of 3 per second, with
/// a margin; spreading the revision takes less than 2 s of the 8 s.
pub const PREFETCH_GRACE: Millis = Millis(3_000);

/// An adapter that requests will use once a revision is activated.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpcomingAdapter {
    /// The pool whose engines will serve it.
    pub pool: Name,
    /// The adapter and its version.
    pub adapter: Adapter,
    /// The adapter version that it replaces.
    pub replaces: Adapter,
}

/// Loads adapters before requests use them.
pub trait Prefetch: fmt::Debug + Send + Sync {
    /// Starts to load the adapters that belong on this node's upstreams, with spare weight store capacity.
    fn prefetch(&self, adapters: &[UpcomingAdapter]);
}

/// Prefetches nothing, for a node that owns no upstreams.
#[derive(Debug)]
pub struct NoPrefetch;

impl Prefetch for NoPrefetch {
    fn prefetch(&self, _adapters: &[UpcomingAdapter]) {}
}

/// Returns the adapters to which templates change, each once per pool and replaced adapter.
#[must_use]
pub fn changed_adapters(
    old: &View,
    new: &View,
    differences: &[Difference],
) -> Vec<UpcomingAdapter> {
    if differences.is_empty() {
        return compare_views(old, new);
    }
    let keys =
        differences
            .iter()
            .filter_map(|difference| match (&difference.before, &difference.after) {
                (Some(Before::TemplateBefore(_)), Some(After::TemplateAfter(after))) => Some(after),
                _ => None,
            });
    collect_upcoming(keys.filter_map(|key| {
        let before = old.template(&key.account, &key.name)?;
        Some((before, new.template(&key.account, &key.name)?))
    }))
}

/// Compares all templates of two views, for a revision that was learned as a snapshot.
fn compare_views(old: &View, new: &View) -> Vec<UpcomingAdapter> {
    collect_upcoming(new.templates().filter_map(|after| {
        let before = old.template(&after.account, &after.name)?;
        Some((before, after))
    }))
}

fn collect_upcoming<'a>(
    pairs: impl Iterator<Item = (&'a Arc<Template>, &'a Arc<Template>)>,
) -> Vec<UpcomingAdapter> {
    let mut seen = HashSet::new();
    pairs
        .filter_map(|(before, after)| {
            let replaces = before.adapter.clone()?;
            let adapter = after.adapter.clone()?;
            (adapter != replaces).then(|| UpcomingAdapter {
                pool: Arc::clone(&after.pool),
                adapter,
                replaces,
            })
        })
        .filter(|upcoming| seen.insert(upcoming.clone()))
        .collect()
}
