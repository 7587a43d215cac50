//! The operators' page on logs and metrics lists what the code has.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use chivevalve::metrics::Metrics;

const PAGE: &str = include_str!("../../docs/operators/logs-and-metrics.md");

/// Reads all of the library's sources.
fn sources() -> Vec<String> {
    fn visit(dir: &Path, texts: &mut Vec<String>) {
        for entry in fs::read_dir(dir).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                visit(&path, texts);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                texts.push(fs::read_to_string(path).unwrap());
            }
        }
    }
    let mut texts = Vec::new();
    visit(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut texts,
    );
    texts
}

/// Finds names of metrics: those made by `Metrics`, and those that parts add.
fn metrics() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for source in sources() {
        for made in source.split("maker.").skip(1) {
            let kinds = ["counter", "gauge", "histogram"];
            if kinds.iter().any(|kind| made.starts_with(kind))
                && let Some(name) = made.split('"').nth(1)
            {
                names.insert(format!("chivevalve_{name}"));
            }
        }
        for added in source.split("\"chivevalve_").skip(1) {
            let name = added.split('"').next().unwrap();
            if name.chars().all(|c| c.is_ascii_lowercase() || c == '_') {
                names.insert(format!("chivevalve_{name}"));
            }
        }
    }
    names
}

/// Finds the names in the first column of the page's tables, of those that begin with `start`.
fn listed(start: &str) -> BTreeSet<String> {
    PAGE.lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split('`').next())
        .filter(|name| name.starts_with(start) && !name.contains('{'))
        .map(str::to_owned)
        .collect()
}

#[test]
fn metrics_page_equals_registry() {
    assert_eq!(listed("chivevalve_"), metrics());
    // Those that have no label are in the registry from the start.
    for family in Metrics::new().registry().gather() {
        assert!(
            listed("chivevalve_").contains(family.name()),
            "{}",
            family.name()
        );
    }
}

#[test]
fn logs_page_lists_each_prefix() {
    let mut prefixes = BTreeSet::new();
    for source in sources() {
        for level in ["error!(", "warn!(", "info!(", "debug!(", "trace!("] {
            for call in source.split(level).skip(1) {
                let text = call.trim_start().strip_prefix('"').unwrap_or_default();
                let prefix = text.split(' ').next().unwrap();
                assert!(
                    text.is_empty() || prefix.ends_with(':'),
                    "no part's prefix: {level}\"{text:.60}"
                );
                prefixes.insert(prefix.to_owned());
            }
        }
    }
    prefixes.remove("");
    for prefix in prefixes {
        assert!(PAGE.contains(&format!("| `{prefix}` |")), "{prefix}");
    }
}
