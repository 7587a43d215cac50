//! From the schema's records to what operators read.

use serde::Serialize;
use serde_json::Value;

use super::wire;
use crate::declaration::diff;
use crate::schema::declaration as schema;
use crate::schema::declaration::difference::{After, Before};

impl From<schema::Operation> for wire::Operation {
    fn from(operation: schema::Operation) -> Self {
        Self {
            revision: operation.revision,
            change_id: operation.change_id,
            author: operation.author,
            reason: operation.reason,
            time_ms: operation.time_ms,
            text: diff::render(&operation.differences),
            differences: operation.differences.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<schema::Difference> for wire::Difference {
    fn from(difference: schema::Difference) -> Self {
        let before = difference.before.map(|before| match before {
            Before::AccountBefore(account) => account_entry(&account),
            Before::PoolBefore(pool) => pool_entry(&pool),
            Before::TemplateBefore(template) => template_entry(&template),
        });
        let after = difference.after.map(|after| match after {
            After::AccountAfter(account) => account_entry(&account),
            After::PoolAfter(pool) => pool_entry(&pool),
            After::TemplateAfter(template) => template_entry(&template),
        });
        let (kind, name) = match (&before, &after) {
            (Some(entry), _) | (None, Some(entry)) => (entry.kind, entry.name.clone()),
            (None, None) => ("nothing", String::new()),
        };
        Self {
            kind: kind.to_owned(),
            name,
            before: before.map(|entry| entry.fields),
            after: after.map(|entry| entry.fields),
        }
    }
}

/// A declaration of any kind.
struct Entry {
    kind: &'static str,
    name: String,
    fields: Value,
}

fn fields(declaration: &impl Serialize) -> Value {
    // Messages of the schema hold text, numbers and flags only.
    serde_json::to_value(declaration).unwrap_or_default()
}

fn account_entry(account: &schema::Account) -> Entry {
    Entry {
        kind: "account",
        name: account.name.clone(),
        fields: fields(account),
    }
}

fn pool_entry(pool: &schema::Pool) -> Entry {
    Entry {
        kind: "pool",
        name: pool.name.clone(),
        fields: fields(pool),
    }
}

fn template_entry(template: &schema::Template) -> Entry {
    Entry {
        kind: "template",
        name: format!("{}/{}", template.account, template.name),
        fields: fields(template),
    }
}
