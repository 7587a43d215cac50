//! `get`: what is in force?

use chivevalve::declaration::{DeclarationSet, SourceFile, check_sources};
use chivevalve::operators::wire::Export;
use serde::Serialize;
use serde_json::Value;

use super::{Command, online};
use crate::args::Args;
use crate::failure::Failure;
use crate::output::{self, Page};

/// The command.
pub const COMMAND: Command = Command {
    name: "get",
    about: "list what is in force, or show one declaration",
    values: 0..=2,
    online: true,
    options: &[],
    help: "\
Usage: chivevalve get [accounts|pools|templates [NAME]] [OPTIONS]

Lists the names of what is in force, or shows declarations whole: all of one
kind, or the one called NAME (a template's name is ACCOUNT/TEMPLATE).
",
    run,
};

/// A declaration with its kind and name.
#[derive(Serialize)]
struct Entry {
    kind: &'static str,
    name: String,
    fields: Value,
}

fn run(args: &Args) -> Result<(), Failure> {
    let kind = args.values.first().map(String::as_str);
    if let Some(kind) = kind
        && !["accounts", "pools", "templates"].contains(&kind)
    {
        return Err(Failure::Usage(format!(
            "there are accounts, pools and templates, no {kind}"
        )));
    }
    online(args, async |client| {
        let export: Export = client.get("/v1/config").await?;
        let revision = export.revision;
        let mut entries = entries(&read(export)?);
        entries.retain(|entry| kind.is_none_or(|kind| kind == entry.kind));
        if let Some(name) = args.values.get(1) {
            entries.retain(|entry| entry.name == *name);
            if entries.is_empty() {
                return Err(Failure::Other(format!(
                    "revision {revision} has no {name} among its {}",
                    kind.unwrap_or_default()
                )));
            }
        }
        output::answer(args.format, &entries, |entries| {
            text(revision, entries, args.values.len())
        })
    })
}

fn read(export: Export) -> Result<DeclarationSet, Failure> {
    let sources: Vec<SourceFile> = export
        .files
        .into_iter()
        .map(|file| SourceFile {
            name: file.name.into(),
            text: file.text,
        })
        .collect();
    if sources.is_empty() {
        return Ok(DeclarationSet::default());
    }
    check_sources(&sources).map_err(|_| {
        Failure::Other("the node's declarations can't be read; use its version".to_owned())
    })
}

fn entries(set: &DeclarationSet) -> Vec<Entry> {
    let accounts = set
        .accounts
        .iter()
        .map(|(name, account)| entry("accounts", name.clone(), account));
    let pools = set
        .pools
        .iter()
        .map(|(name, pool)| entry("pools", name.clone(), pool));
    let templates = set.templates.iter().map(|((account, name), template)| {
        entry("templates", format!("{account}/{name}"), template)
    });
    accounts.chain(pools).chain(templates).collect()
}

fn entry(kind: &'static str, name: String, declaration: &impl Serialize) -> Entry {
    Entry {
        kind,
        name,
        // The schema's messages hold nothing that JSON can't.
        fields: serde_json::to_value(declaration).unwrap_or_default(),
    }
}

/// Lists names when nothing is named, and shows fields when a kind is.
fn text(revision: u64, entries: &[Entry], named: usize) -> String {
    let mut page = Page::default();
    page.line(format_args!("# revision {revision}"));
    for entry in entries {
        page.line(format_args!("{}/{}", entry.kind, entry.name));
        let Some(fields) = entry.fields.as_object().filter(|_| named > 0) else {
            continue;
        };
        for (name, value) in fields {
            page.line(format_args!("  {name}: {}", shown(value)));
        }
    }
    page.done()
}

fn shown(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
