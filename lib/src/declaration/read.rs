//! Decodes a file's tree into messages and collects all structural mistakes.

use std::borrow::Cow;

use super::mistake::{Mistake, Place};
use super::nearest::nearest;
use super::tree::{Content, Node};
use crate::schema::declaration::{Account, Pool, Template};

/// A message with its place and those of its fields.
#[derive(Debug)]
pub(super) struct Located<T> {
    pub(super) place: Place,
    pub(super) value: T,
    fields: Vec<(&'static str, Place)>,
}

impl<T> Located<T> {
    /// Returns the place of a field, or of the whole message if the field is absent.
    pub(super) fn field(&self, name: &str) -> &Place {
        self.fields
            .iter()
            .find(|(field, _)| *field == name)
            .map_or(&self.place, |(_, place)| place)
    }

    /// Whether the file has the field.
    pub(super) fn has(&self, name: &str) -> bool {
        self.fields.iter().any(|(field, _)| *field == name)
    }
}

/// Declarations of a directory's files, before they are checked against one another.
#[derive(Debug, Default)]
pub(super) struct RawDeclarations {
    pub(super) accounts: Vec<Located<Account>>,
    pub(super) pools: Vec<Located<Pool>>,
    pub(super) templates: Vec<Located<Template>>,
}

/// A field of a message and how to set it.
struct Field<T> {
    name: &'static str,
    access: FieldAccess<T>,
}

enum FieldAccess<T> {
    Text(fn(&mut T) -> &mut String),
    Texts(fn(&mut T) -> &mut Vec<String>),
    U32(fn(&mut T) -> &mut u32),
    U64(fn(&mut T) -> &mut u64),
    Bool(fn(&mut T) -> &mut bool),
}

/// A message that can be decoded from a mapping.
trait MessageFields: Default + 'static {
    /// The message's kind with its article, for mistakes.
    const DESCRIPTION: &'static str;
    const FIELDS: &'static [Field<Self>];
}

macro_rules! message_fields {
    ($message:ident, $word:literal, $($access:ident $field:ident),+ $(,)?) => {
        impl MessageFields for $message {
            const DESCRIPTION: &'static str = $word;
            const FIELDS: &'static [Field<Self>] = &[
                $(Field { name: stringify!($field), access: FieldAccess::$access(|message| &mut message.$field) },)+
            ];
        }
    };
}

message_fields!(Account, "an account",
    Text name, Texts key_digests, U32 weight, U32 max_in_flight, U32 max_queued);
message_fields!(Pool, "a pool",
    Text name, Text kind, Text base_model, U32 slots, U32 batch, Bool checks_fencing);
message_fields!(Template, "a template",
    Text account, Text name, Text pool, Text adapter, Text version, Text class, U32 weight,
    Bool idempotent, U64 deadline_ms, U32 max_output_tokens, U64 max_body_bytes);

/// Top-level fields of a file.
const FILE_FIELDS: [&str; 3] = ["accounts", "pools", "templates"];

/// Adds a file's declarations to `raw`.
pub(super) fn read(root: Node, raw: &mut RawDeclarations, mistakes: &mut Vec<Mistake>) {
    let entries = match root.content {
        Content::Empty => return,
        Content::Map(entries) => entries,
        other => {
            mistakes.push(Mistake::new(
                &root.place,
                format!("a file of declarations holds {}", other.describe()),
                "begin with one of accounts:, pools: or templates:",
            ));
            return;
        }
    };
    let mut seen = Vec::new();
    for (key, value) in entries {
        let Some(name) = field_name(&key, mistakes) else {
            continue;
        };
        if is_duplicate(&mut seen, name, &key.place, mistakes) {
            continue;
        }
        match name {
            "accounts" => read_list(value, &mut raw.accounts, mistakes),
            "pools" => read_list(value, &mut raw.pools, mistakes),
            "templates" => read_list(value, &mut raw.templates, mistakes),
            _ => mistakes.push(unknown_field(&key.place, name, "a file", &FILE_FIELDS)),
        }
    }
}

fn field_name<'a>(key: &'a Node, mistakes: &mut Vec<Mistake>) -> Option<&'a str> {
    if let Content::Text(name) = &key.content {
        return Some(name);
    }
    mistakes.push(Mistake::new(
        &key.place,
        format!(
            "{} stands where a field's name is due",
            key.content.describe()
        ),
        "write field: value",
    ));
    None
}

/// Records a key and returns whether the mapping already had it.
fn is_duplicate(
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

fn unknown_field(place: &Place, name: &str, of: &str, known: &[&str]) -> Mistake {
    let hint: Cow<'_, str> = match nearest(name, known.iter().copied()) {
        Some(near) => format!("did you mean {near}?").into(),
        None => format!("known are {}", known.join(", ")).into(),
    };
    Mistake::new(place, format!("{of} has no field {name}"), hint)
}

fn read_list<T: MessageFields>(
    node: Node,
    into: &mut Vec<Located<T>>,
    mistakes: &mut Vec<Mistake>,
) {
    match node.content {
        Content::Empty => {}
        Content::List(items) => {
            into.extend(
                items
                    .into_iter()
                    .filter_map(|item| read_message(item, mistakes)),
            );
        }
        other => mistakes.push(Mistake::new(
            &node.place,
            format!("here stands {}", other.describe()),
            "write a list, each item behind a dash",
        )),
    }
}

fn read_message<T: MessageFields>(node: Node, mistakes: &mut Vec<Mistake>) -> Option<Located<T>> {
    let Content::Map(entries) = node.content else {
        mistakes.push(Mistake::new(
            &node.place,
            format!(
                "{} stands where {} is due",
                node.content.describe(),
                T::DESCRIPTION
            ),
            "write its fields as field: value",
        ));
        return None;
    };
    let mut located = Located {
        place: node.place,
        value: T::default(),
        fields: Vec::with_capacity(entries.len()),
    };
    let mut seen = Vec::with_capacity(entries.len());
    for (key, value) in entries {
        let Some(name) = field_name(&key, mistakes) else {
            continue;
        };
        if is_duplicate(&mut seen, name, &key.place, mistakes) {
            continue;
        }
        let Some(field) = T::FIELDS.iter().find(|field| field.name == name) else {
            let known: Vec<&str> = T::FIELDS.iter().map(|field| field.name).collect();
            mistakes.push(unknown_field(&key.place, name, T::DESCRIPTION, &known));
            continue;
        };
        located.fields.push((field.name, value.place.clone()));
        if let Err(mistake) = set_field(&mut located.value, field, value) {
            mistakes.push(mistake);
        }
    }
    Some(located)
}

fn set_field<T>(message: &mut T, field: &Field<T>, node: Node) -> Result<(), Mistake> {
    match field.access {
        FieldAccess::Text(access) => *access(message) = parse_text(field.name, node)?,
        FieldAccess::Texts(access) => *access(message) = parse_texts(field.name, node)?,
        FieldAccess::U32(access) => {
            *access(message) = parse_number(field.name, node, u32::MAX.into())?;
        }
        FieldAccess::U64(access) => *access(message) = parse_number(field.name, node, u64::MAX)?,
        FieldAccess::Bool(access) => *access(message) = parse_flag(field.name, node)?,
    }
    Ok(())
}

fn parse_text(name: &str, node: Node) -> Result<String, Mistake> {
    match node.content {
        Content::Text(text) => Ok(text),
        Content::Empty => Err(Mistake::new(
            &node.place,
            format!("{name} has no value"),
            "give one, or leave the field out",
        )),
        other => Err(Mistake::new(
            &node.place,
            format!("{name} is {}", other.describe()),
            "give a single value",
        )),
    }
}

fn parse_texts(name: &str, node: Node) -> Result<Vec<String>, Mistake> {
    match node.content {
        Content::Empty => Ok(Vec::new()),
        Content::List(items) => items
            .into_iter()
            .map(|item| parse_text(name, item))
            .collect(),
        other => Err(Mistake::new(
            &node.place,
            format!("{name} is {}", other.describe()),
            "write a list, each item behind a dash",
        )),
    }
}

fn parse_number<N: TryFrom<u64>>(name: &str, node: Node, max: u64) -> Result<N, Mistake> {
    let place = node.place.clone();
    let text = parse_text(name, node)?;
    text.parse::<u64>()
        .ok()
        .and_then(|number| N::try_from(number).ok())
        .ok_or_else(|| {
            Mistake::new(
                &place,
                format!("{name} is {text}"),
                format!("give a whole number from 0 to {max}"),
            )
        })
}

fn parse_flag(name: &str, node: Node) -> Result<bool, Mistake> {
    let place = node.place.clone();
    let text = parse_text(name, node)?;
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
