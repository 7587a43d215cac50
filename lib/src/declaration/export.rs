//! Exports a set of declarations as files that can be applied elsewhere.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;
use serde_json::{Map, Value};

use super::diff::is_default;
use super::load::SourceFile;
use super::set::DeclarationSet;

/// Renders a set as YAML files: accounts, pools, and one file for each account's templates.
#[must_use]
pub fn export(set: &DeclarationSet) -> Vec<SourceFile> {
    let mut files = Vec::new();
    if !set.accounts.is_empty() {
        files.push(render_file(
            "accounts.yaml".into(),
            "accounts",
            set.accounts.values(),
        ));
    }
    if !set.pools.is_empty() {
        files.push(render_file(
            "pools.yaml".into(),
            "pools",
            set.pools.values(),
        ));
    }
    let mut by_account: BTreeMap<&str, Vec<_>> = BTreeMap::new();
    for template in set.templates.values() {
        by_account
            .entry(template.account.as_str())
            .or_default()
            .push(template);
    }
    for (account, templates) in by_account {
        let name = format!("templates/{account}.yaml");
        files.push(render_file(name, "templates", templates));
    }
    files
}

fn render_file<T: Serialize>(
    name: String,
    list: &str,
    items: impl IntoIterator<Item = T>,
) -> SourceFile {
    let items: Vec<Value> = items
        .into_iter()
        .map(|item| without_defaults(&item))
        .collect();
    let mut root = Map::new();
    root.insert(list.to_owned(), Value::Array(items));
    let text = serde_saphyr::to_string(&root)
        .expect("a tree of texts, numbers and truth values can be written");
    SourceFile {
        name: Arc::from(name),
        text,
    }
}

/// Serializes an item without the fields that have their default value.
fn without_defaults(item: &impl Serialize) -> Value {
    let Ok(Value::Object(fields)) = serde_json::to_value(item) else {
        return Value::Null;
    };
    let kept = fields
        .into_iter()
        .filter(|(_, value)| !is_default(value))
        .collect();
    Value::Object(kept)
}
