//! Differences between two sets of declarations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write as _};

use serde::Serialize;
use serde_json::Value;

use super::set::DeclarationSet;
use crate::schema::declaration::difference::{After, Before};
use crate::schema::declaration::{Account, Difference, Pool, Template};

/// Returns the declarations that differ: accounts, then pools, then templates, each sorted by name.
#[must_use]
pub fn diff(before: &DeclarationSet, after: &DeclarationSet) -> Vec<Difference> {
    let accounts = changed_pairs(&before.accounts, &after.accounts).map(|(old, new)| Difference {
        before: old.cloned().map(Before::AccountBefore),
        after: new.cloned().map(After::AccountAfter),
    });
    let pools = changed_pairs(&before.pools, &after.pools).map(|(old, new)| Difference {
        before: old.cloned().map(Before::PoolBefore),
        after: new.cloned().map(After::PoolAfter),
    });
    let templates =
        changed_pairs(&before.templates, &after.templates).map(|(old, new)| Difference {
            before: old.cloned().map(Before::TemplateBefore),
            after: new.cloned().map(After::TemplateAfter),
        });
    accounts.chain(pools).chain(templates).collect()
}

/// Returns the inverse of differences: before and after are swapped.
#[must_use]
pub fn reverse(differences: &[Difference]) -> Vec<Difference> {
    differences.iter().map(reverse_one).collect()
}

/// Applies differences to a set.
pub fn patch(set: &mut DeclarationSet, differences: &[Difference]) {
    for difference in differences {
        if let Some(before) = &difference.before {
            match before {
                Before::AccountBefore(old) => drop(set.accounts.remove(&old.name)),
                Before::PoolBefore(old) => drop(set.pools.remove(&old.name)),
                Before::TemplateBefore(old) => drop(set.templates.remove(&template_key(old))),
            }
        }
        if let Some(after) = &difference.after {
            match after.clone() {
                After::AccountAfter(new) => drop(set.accounts.insert(new.name.clone(), new)),
                After::PoolAfter(new) => drop(set.pools.insert(new.name.clone(), new)),
                After::TemplateAfter(new) => drop(set.templates.insert(template_key(&new), new)),
            }
        }
    }
}

/// Formats differences for people: a line for each declaration and each changed field.
#[must_use]
pub fn render(differences: &[Difference]) -> String {
    let mut text = String::new();
    for difference in differences {
        // Writing to a string can't fail.
        let _ = write!(text, "{}", DifferenceDisplay(difference));
    }
    text
}

fn template_key(template: &Template) -> (String, String) {
    (template.account.clone(), template.name.clone())
}

fn changed_pairs<'a, K: Ord, T: PartialEq>(
    before: &'a BTreeMap<K, T>,
    after: &'a BTreeMap<K, T>,
) -> impl Iterator<Item = (Option<&'a T>, Option<&'a T>)> {
    let keys: BTreeSet<&K> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .map(|key| (before.get(key), after.get(key)))
        .filter(|(old, new)| old != new)
}

fn reverse_one(difference: &Difference) -> Difference {
    let before = difference.after.clone().map(|after| match after {
        After::AccountAfter(account) => Before::AccountBefore(account),
        After::PoolAfter(pool) => Before::PoolBefore(pool),
        After::TemplateAfter(template) => Before::TemplateBefore(template),
    });
    let after = difference.before.clone().map(|before| match before {
        Before::AccountBefore(account) => After::AccountAfter(account),
        Before::PoolBefore(pool) => After::PoolAfter(pool),
        Before::TemplateBefore(template) => After::TemplateAfter(template),
    });
    Difference { before, after }
}

/// Displays a difference.
struct DifferenceDisplay<'a>(&'a Difference);

impl fmt::Display for DifferenceDisplay<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let old = self.0.before.as_ref().map(DeclarationFields::before);
        let new = self.0.after.as_ref().map(DeclarationFields::after);
        match (old, new) {
            (None, Some(new)) => {
                writeln!(f, "+ {}", new.title)?;
                new.write_fields(f, '+')
            }
            (Some(old), None) => writeln!(f, "- {}", old.title),
            (Some(old), Some(new)) => {
                writeln!(f, "~ {}", new.title)?;
                old.write_changes(&new, f)
            }
            (None, None) => Ok(()),
        }
    }
}

/// A declaration's title and its fields as JSON values.
struct DeclarationFields {
    title: String,
    fields: serde_json::Map<String, Value>,
}

impl DeclarationFields {
    fn before(before: &Before) -> Self {
        match before {
            Before::AccountBefore(account) => Self::account(account),
            Before::PoolBefore(pool) => Self::pool(pool),
            Before::TemplateBefore(template) => Self::template(template),
        }
    }

    fn after(after: &After) -> Self {
        match after {
            After::AccountAfter(account) => Self::account(account),
            After::PoolAfter(pool) => Self::pool(pool),
            After::TemplateAfter(template) => Self::template(template),
        }
    }

    fn account(account: &Account) -> Self {
        Self::new(format!("account {}", account.name), account)
    }

    fn pool(pool: &Pool) -> Self {
        Self::new(format!("pool {}", pool.name), pool)
    }

    fn template(template: &Template) -> Self {
        let title = format!("template {}/{}", template.account, template.name);
        Self::new(title, template)
    }

    fn new(title: String, message: &impl Serialize) -> Self {
        let fields = match serde_json::to_value(message) {
            Ok(Value::Object(fields)) => fields,
            _ => serde_json::Map::new(),
        };
        Self { title, fields }
    }

    /// Writes the fields that have a non-default value and aren't part of the title.
    fn write_fields(&self, f: &mut fmt::Formatter<'_>, sign: char) -> fmt::Result {
        for (name, value) in &self.fields {
            if name != "name" && name != "account" && !is_default(value) {
                writeln!(f, "  {sign} {name}: {}", format_value(value))?;
            }
        }
        Ok(())
    }

    fn write_changes(&self, new: &Self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, value) in &new.fields {
            let old = self.fields.get(name).unwrap_or(&Value::Null);
            if old != value {
                writeln!(
                    f,
                    "    {name}: {} -> {}",
                    format_value(old),
                    format_value(value)
                )?;
            }
        }
        Ok(())
    }
}

/// Whether omitting the field has the same meaning.
pub(super) fn is_default(value: &Value) -> bool {
    match value {
        Value::Null | Value::Bool(false) => true,
        Value::Number(number) => number.as_u64() == Some(0),
        Value::String(text) => text.is_empty(),
        Value::Array(items) => items.is_empty(),
        _ => false,
    }
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) if text.is_empty() => "(none)".to_owned(),
        Value::String(text) => text.clone(),
        // Arrays hold digests; their first 12 digits are enough to tell them apart.
        Value::Array(items) => {
            let short: Vec<&str> = items
                .iter()
                .filter_map(Value::as_str)
                .map(|text| text.get(..12).unwrap_or(text))
                .collect();
            format!("[{}]", short.join(", "))
        }
        other => other.to_string(),
    }
}
