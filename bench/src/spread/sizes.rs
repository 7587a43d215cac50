//! What the layout in the key-value service costs as templates grow.

use std::sync::Arc;
use std::time::{Duration, Instant};

use chivevalve::config::View;
use chivevalve::config::layout;
use chivevalve::declaration::{self, DeclarationSet, diff, export};
use chivevalve::schema::declaration::{Operation, Template};
use eyre::{Result, eyre};
use prost::Message;
use serde::Serialize;

use super::run::base;
use super::site::{Ground, Site};
use super::ways::Kind;
use crate::report::Table;

/// Sizes of today, of the target, and three times that.
pub const SIZES: [usize; 3] = [3_000, 19_000, 57_000];

/// Tries of which the shortest counts, since other processes only make one longer.
const CHANGES: usize = 20;

/// What was measured at one size.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    pub templates: usize,
    pub check_ms: f64,
    pub diff_ms: f64,
    /// Making the next view from a change of one template.
    pub change_us: f64,
    /// Making a view from a snapshot.
    pub view_ms: f64,
    pub snapshot_bytes: usize,
    pub largest_bucket: usize,
    pub operation_bytes: usize,
    /// Calls of the first change, which writes everything.
    pub first_calls: u64,
    /// Calls of a change of one template, and of a fresh node.
    pub change_calls: u64,
    pub fresh_calls: u64,
}

/// Measures one size.
///
/// # Errors
///
/// When the declarations that were just made aren't accepted.
pub fn measure(templates: usize, seed: u64) -> Result<Row> {
    let set = declarations(templates);
    let files = export::export(&set);
    let (check_ms, checked) = timed(|| declaration::check_sources(&files));
    let checked = checked.map_err(|mistakes| eyre!("{} mistakes", mistakes.len()))?;
    let (view_ms, view) = timed(|| View::from_set(1, &checked));
    let view = view?;
    let next = changed(&checked);
    let (diff_ms, differences) = timed(|| diff::diff(&view.to_set(), &next));
    let change_ms = (0..CHANGES)
        .map(|_| timed(|| view.apply_differences(2, &differences)).0)
        .fold(f64::MAX, f64::min);
    let buckets = layout::encode_buckets(&checked);
    let operation = Operation {
        differences,
        ..Operation::default()
    };
    let calls = calls(&checked, &next, seed)?;
    Ok(Row {
        templates,
        check_ms,
        diff_ms,
        change_us: change_ms * 1_000.0,
        view_ms,
        snapshot_bytes: buckets.iter().map(|bucket| bucket.value.len()).sum(),
        largest_bucket: buckets
            .iter()
            .map(|bucket| bucket.value.len())
            .max()
            .unwrap_or(0),
        operation_bytes: operation.encoded_len(),
        first_calls: calls[0],
        change_calls: calls[1],
        fresh_calls: calls[2],
    })
}

/// Counts the calls of a first change, a small change and a fresh node.
fn calls(first: &DeclarationSet, next: &DeclarationSet, seed: u64) -> Result<[u64; 3]> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    runtime.block_on(async {
        let ground = Ground::new(seed);
        let way = Kind::Watch.way();
        let made = || {
            let counts = ground.store.counts();
            counts.reads + counts.writes
        };
        let site = Site::start(&ground, &way, 0, 1);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = made();
        site.apply("a", 0, first).await?;
        let after_first = made();
        site.apply("b", 1, next).await?;
        let after_change = made();
        let fresh = Arc::new(Site::start(&ground, &way, 1, 1));
        fresh.in_force(2).await;
        let after_fresh = made();
        Ok([
            after_first - before,
            after_change - after_first,
            after_fresh - after_change,
        ])
    })
}

fn timed<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let start = Instant::now();
    let done = work();
    (start.elapsed().as_secs_f64() * 1_000.0, done)
}

fn changed(set: &DeclarationSet) -> DeclarationSet {
    let mut next = set.clone();
    if let Some(template) = next.templates.values_mut().next() {
        template.weight = 7;
    }
    next
}

/// Makes declarations with so many templates of 200 accounts.
fn declarations(templates: usize) -> DeclarationSet {
    let mut set = base();
    set.templates.clear();
    for number in 0..templates {
        let account = format!("account-{}", number % 200);
        let mut declared = set.accounts["shop"].clone();
        declared.name.clone_from(&account);
        set.accounts.entry(account.clone()).or_insert(declared);
        let name = format!("template-{number}");
        let template = Template {
            account: account.clone(),
            name: name.clone(),
            pool: "llama".to_owned(),
            adapter: format!("adapter-{number}"),
            version: "2026-01-01".to_owned(),
            class: "normal".to_owned(),
            weight: 1,
            idempotent: true,
            deadline_ms: 30_000,
            max_output_tokens: 800,
            ..Template::default()
        };
        set.templates.insert((account, name), template);
    }
    set
}

/// Writes the rows for people.
pub fn table(rows: &[Row]) -> String {
    let mut table = Table::new(&[
        "templates",
        "check ms",
        "diff ms",
        "change us",
        "view ms",
        "snapshot B",
        "largest bucket B",
        "operation B",
        "first calls",
        "change calls",
        "fresh calls",
    ]);
    for row in rows {
        table.row(vec![
            row.templates.to_string(),
            format!("{:.0}", row.check_ms),
            format!("{:.1}", row.diff_ms),
            format!("{:.0}", row.change_us),
            format!("{:.1}", row.view_ms),
            row.snapshot_bytes.to_string(),
            row.largest_bucket.to_string(),
            row.operation_bytes.to_string(),
            row.first_calls.to_string(),
            row.change_calls.to_string(),
            row.fresh_calls.to_string(),
        ]);
    }
    table.render()
}
