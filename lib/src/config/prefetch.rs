//! Fetches adapters ahead of the revision that needs them.
//!
//! A template that moves to another version would stall its first requests
//! while the version loads. A node that learns such a revision tells the owners
//! of upstreams at once and puts it in force a little later, when the loads of
//! an ordinary change are done. The wait is bounded, because a change must be
//! in force everywhere within 8 s whatever the weight store does.

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

/// How long a revision that moves templates to other adapters waits, in milliseconds.
///
/// Two loads one after the other at the weight store's rate of 3 a second, with
/// room; the spread takes under 2 s of the 8 s.
pub const PREFETCH_GRACE: Millis = Millis(3_000);

/// An adapter that requests will name soon.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpcomingAdapter {
    /// The pool whose engines will run it.
    pub pool: Name,
    /// Adapter and version.
    pub adapter: Adapter,
    /// The version that it takes the place of.
    pub replaces: Adapter,
}

/// Hears of adapters before requests name them.
pub trait Prefetch: fmt::Debug + Send + Sync {
    /// Starts to fetch what belongs on this node's upstreams, with what the weight store has to spare.
    fn prefetch(&self, adapters: &[UpcomingAdapter]);
}

/// Fetches nothing, for a node without owners.
#[derive(Debug)]
pub struct NoPrefetch;

impl Prefetch for NoPrefetch {
    fn prefetch(&self, _adapters: &[UpcomingAdapter]) {}
}

/// Finds the templates that move from one adapter to another.
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

/// Compares two whole views, for a revision that came as a snapshot.
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
