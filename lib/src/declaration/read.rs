//! From a file's tree to messages, with every mistake of form.

use std::borrow::Cow;

use super::mistake::{Mistake, Place};
use super::nearest::nearest;
use super::tree::{Content, Node};
use crate::schema::declaration::{Account, Pool, Template};

/// A message with the places of its fields.
#[derive(Debug)]
pub(super) struct Placed<T> {
    pub(super) place: Place,
    pub(super) value: T,
    fields: Vec<(&'static str, Place)>,
}

impl<T> Placed<T> {
    /// Returns the place of a field, or of the whole message when the field is absent.
    pub(super) fn field(&self, name: &str) -> &Place {
        self.fields
            .iter()
            .find(|(field, _)| *field == name)
            .map_or(&self.place, |(_, place)| place)
    }

    /// Whether the field stands in the file.
    pub(super) fn has(&self, name: &str) -> bool {
        self.fields.iter().any(|(field, _)| *field == name)
    }
}

/// What the files of one directory declare.
#[derive(Debug, Default)]
pub(super) struct Raw {
    pub(super) accounts: Vec<Placed<Account>>,
    pub(super) pools: Vec<Placed<Pool>>,
    pub(super) templates: Vec<Placed<Template>>,
}

/// A field of a message and where its value goes.
struct Field<T> {
    name: &'static str,
    slot: Slot<T>,
}

enum Slot<T> {
    Text(fn(&mut T) -> &mut String),
    Texts(fn(&mut T) -> &mut Vec<String>),
    Small(fn(&mut T) -> &mut u32),
    Large(fn(&mut T) -> &mut u64),
    Flag(fn(&mut T) -> &mut bool),
}

/// A message that can be read from a mapping.
trait Form: Default + 'static {
    /// The word for it in messages.
    const WORD: &'static str;
    const FIELDS: &'static [Field<Self>];
}

macro_rules! form {
    ($message:ident, $word:literal, $($slot:ident $field:ident),+ $(,)?) => {
        impl Form for $message {
            const WORD: &'static str = $word;
            const FIELDS: &'static [Field<Self>] = &[
                $(Field { name: stringify!($field), slot: Slot::$slot(|message| &mut message.$field) },)+
            ];
        }
    };
}

form!(Account, "an account",
    Text name, Texts key_digests, Small weight, Small max_in_flight, Small max_queued);
form!(Pool, "a pool",
    Text name, Text kind, Text base_model, Small slots, Small batch, Flag checks_fencing);
form!(Template, "a template",
    Text account, Text name, Text pool, Text adapter, Text version, Text class, Small weight,
    Flag idempotent, Large deadline_ms, Small max_output_tokens, Large max_body_bytes);

/// The lists of a file.
const LISTS: [&str; 3] = ["accounts", "pools", "templates"];

/// Reads a file's tree into `raw`.
pub(super) fn read(root: Node, raw: &mut Raw, mistakes: &mut Vec<Mistake>) {
    let entries = match root.content {
        Content::Empty => return,
        Content::Map(entries) => entries,
        other => {
            mistakes.push(Mistake::new(
                &root.place,
                format!("a file of declarations holds {}", other.kind()),
                "begin with one of accounts:, pools: or templates:",
            ));
            return;
        }
    };
    let mut seen = Vec::new();
    for (key, value) in entries {
        let Some(name) = key_of(&key, mistakes) else {
            continue;
        };
        if already(&mut seen, name, &key.place, mistakes) {
            continue;
        }
        match name {
            "accounts" => list(value, &mut raw.accounts, mistakes),
            "pools" => list(value, &mut raw.pools, mistakes),
            "templates" => list(value, &mut raw.templates, mistakes),
            _ => mistakes.push(unknown(&key.place, name, "a file", &LISTS)),
        }
    }
}

fn key_of<'a>(key: &'a Node, mistakes: &mut Vec<Mistake>) -> Option<&'a str> {
    if let Content::Text(name) = &key.content {
        return Some(name);
    }
    mistakes.push(Mistake::new(
        &key.place,
        format!("{} stands where a field's name is due", key.content.kind()),
        "write field: value",
    ));
    None
}

/// Notes a key; says whether it stood in this mapping before.
fn already(
    seen: &mut Vec<(String, u64)>,
    name: &str,
    place: &Place,
    mistakes: &mut Vec<Mistake>,
) -> bool {
    if let Some((_, line)) = seen.iter().find(|(known, _)| known == name) {
        mistakes.push(Mistake::new(
            place,
            format!("{name} stands twice, first in line {line}"),
            "keep one of them",
        ));
        return true;
    }
    seen.push((name.to_owned(), place.line));
    false
}

fn unknown(place: &Place, name: &str, of: &str, known: &[&str]) -> Mistake {
    let hint: Cow<'_, str> = match nearest(name, known.iter().copied()) {
        Some(near) => format!("did you mean {near}?").into(),
        None => format!("known are {}", known.join(", ")).into(),
    };
    Mistake::new(place, format!("{of} has no field {name}"), hint)
}

fn list<T: Form>(node: Node, into: &mut Vec<Placed<T>>, mistakes: &mut Vec<Mistake>) {
    match node.content {
        Content::Empty => {}
        Content::List(items) => {
            into.extend(items.into_iter().filter_map(|item| one(item, mistakes)));
        }
        other => mistakes.push(Mistake::new(
            &node.place,
            format!("here stands {}", other.kind()),
            "write a list, each item behind a dash",
        )),
    }
}

fn one<T: Form>(node: Node, mistakes: &mut Vec<Mistake>) -> Option<Placed<T>> {
    let Content::Map(entries) = node.content else {
        mistakes.push(Mistake::new(
            &node.place,
            format!("{} stands where {} is due", node.content.kind(), T::WORD),
            "write its fields as field: value",
        ));
        return None;
    };
    let mut placed = Placed {
        place: node.place,
        value: T::default(),
        fields: Vec::with_capacity(entries.len()),
    };
    let mut seen = Vec::with_capacity(entries.len());
    for (key, value) in entries {
        let Some(name) = key_of(&key, mistakes) else {
            continue;
        };
        if already(&mut seen, name, &key.place, mistakes) {
            continue;
        }
        let Some(field) = T::FIELDS.iter().find(|field| field.name == name) else {
            let known: Vec<&str> = T::FIELDS.iter().map(|field| field.name).collect();
            mistakes.push(unknown(&key.place, name, T::WORD, &known));
            continue;
        };
        placed.fields.push((field.name, value.place.clone()));
        if let Err(mistake) = fill(&mut placed.value, field, value) {
            mistakes.push(mistake);
        }
    }
    Some(placed)
}

fn fill<T>(message: &mut T, field: &Field<T>, node: Node) -> Result<(), Mistake> {
    match field.slot {
        Slot::Text(slot) => *slot(message) = text(field.name, node)?,
        Slot::Texts(slot) => *slot(message) = texts(field.name, node)?,
        Slot::Small(slot) => *slot(message) = number(field.name, node, u32::MAX.into())?,
        Slot::Large(slot) => *slot(message) = number(field.name, node, u64::MAX)?,
        Slot::Flag(slot) => *slot(message) = flag(field.name, node)?,
    }
    Ok(())
}

fn text(name: &str, node: Node) -> Result<String, Mistake> {
    match node.content {
        Content::Text(text) => Ok(text),
        Content::Empty => Err(Mistake::new(
            &node.place,
            format!("{name} has no value"),
            "give one, or leave the field out",
        )),
        other => Err(Mistake::new(
            &node.place,
            format!("{name} is {}", other.kind()),
            "give a single value",
        )),
    }
}

fn texts(name: &str, node: Node) -> Result<Vec<String>, Mistake> {
    match node.content {
        Content::Empty => Ok(Vec::new()),
        Content::List(items) => items.into_iter().map(|item| text(name, item)).collect(),
        other => Err(Mistake::new(
            &node.place,
            format!("{name} is {}", other.kind()),
            "write a list, each item behind a dash",
        )),
    }
}

fn number<N: TryFrom<u64>>(name: &str, node: Node, most: u64) -> Result<N, Mistake> {
    let place = node.place.clone();
    let text = text(name, node)?;
    text.parse::<u64>()
        .ok()
        .and_then(|number| N::try_from(number).ok())
        .ok_or_else(|| {
            Mistake::new(
                &place,
                format!("{name} is {text}"),
                format!("give a whole number from 0 to {most}"),
            )
        })
}

fn flag(name: &str, node: Node) -> Result<bool, Mistake> {
    let place = node.place.clone();
    let text = text(name, node)?;
    match text.as_str() {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(Mistake::new(
            &place,
            format!("{name} is {text}"),
            "write true or false",
        )),
    }
}
