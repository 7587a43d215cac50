//! Parses a YAML file into a tree of nodes with their places.
//!
//! Deserializing directly into messages would stop at the first mistake and lose
//! the line numbers, while operators need all mistakes of a change at once. The
//! tree keeps the text of plain scalars, so that a version `1.10` isn't read as
//! the number 1.1.

use std::fmt;

use serde::de::{self, Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, Location, NonFiniteFloatPolicy, Spanned};

use super::mistake::{Mistake, Place};
use crate::name::Name;

/// Maximum number of nodes of a file: about 100,000 templates with every field set.
const MAX_NODES: usize = 3_000_000;

/// A node and its place in the file.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) place: Place,
    pub(super) content: Content,
}

/// Content of a node.
#[derive(Debug)]
pub(super) enum Content {
    Empty,
    Text(String),
    List(Vec<Node>),
    Map(Vec<(Node, Node)>),
}

impl Content {
    /// Describes the content, for mistakes.
    pub(super) fn describe(&self) -> &'static str {
        match self {
            Self::Empty => "nothing",
            Self::Text(_) => "a single value",
            Self::List(_) => "a list",
            Self::Map(_) => "a mapping",
        }
    }
}

/// Parses a file.
pub(super) fn parse(file: &Name, source: &str) -> Result<Node, Mistake> {
    let options = serde_saphyr::options! {
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        non_finite_float_policy: NonFiniteFloatPolicy::AsString,
        budget: serde_saphyr::budget! {
            max_events: 2 * MAX_NODES,
            max_nodes: MAX_NODES,
        },
    };
    let raw: Spanned<RawValue> = serde_saphyr::from_str_with_options(source, options)
        .map_err(|error| syntax_mistake(file, &error))?;
    Ok(Builder { file, source }.node(raw))
}

fn syntax_mistake(file: &Name, error: &serde_saphyr::Error) -> Mistake {
    let mut place = Place::file(file);
    if let Some(location) = error.location() {
        place.line = location.line();
        place.column = location.column();
    }
    let text = error.without_snippet().to_string();
    let first = text.lines().next().unwrap_or_default().to_owned();
    Mistake::new(
        &place,
        format!("this isn't YAML that can be read: {first}"),
        "correct the syntax; the rest of this file wasn't checked",
    )
}

/// A value as the parser returns it, with the parser's locations.
#[derive(Debug)]
enum RawValue {
    Empty,
    /// A plain scalar that looks like a number or a boolean; its original text is in the source.
    Plain(String),
    Text(String),
    List(Vec<Spanned<RawValue>>),
    Map(Vec<(Spanned<RawValue>, Spanned<RawValue>)>),
}

impl<'de> Deserialize<'de> for RawValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawValueVisitor)
    }
}

struct RawValueVisitor;

impl<'de> Visitor<'de> for RawValueVisitor {
    type Value = RawValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("declarations")
    }

    fn visit_unit<E: de::Error>(self) -> Result<RawValue, E> {
        Ok(RawValue::Empty)
    }

    fn visit_bool<E: de::Error>(self, value: bool) -> Result<RawValue, E> {
        Ok(RawValue::Plain(value.to_string()))
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<RawValue, E> {
        Ok(RawValue::Plain(value.to_string()))
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<RawValue, E> {
        Ok(RawValue::Plain(value.to_string()))
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<RawValue, E> {
        Ok(RawValue::Plain(value.to_string()))
    }

    fn visit_str<E: de::Error>(self, value: &str) -> Result<RawValue, E> {
        Ok(RawValue::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<RawValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(RawValue::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<RawValue, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_entry()? {
            entries.push(entry);
        }
        Ok(RawValue::Map(entries))
    }
}

/// Converts the parser's values into nodes.
struct Builder<'a> {
    file: &'a Name,
    source: &'a str,
}

impl Builder<'_> {
    fn node(&self, raw: Spanned<RawValue>) -> Node {
        let place = Place {
            file: self.file.clone(),
            line: raw.referenced.line(),
            column: raw.referenced.column(),
        };
        let content = match raw.value {
            RawValue::Empty => Content::Empty,
            RawValue::Plain(value) => Content::Text(self.source_text(raw.defined).unwrap_or(value)),
            RawValue::Text(value) if is_non_finite(&value) => {
                Content::Text(self.source_text(raw.defined).unwrap_or(value))
            }
            RawValue::Text(value) => Content::Text(value),
            RawValue::List(items) => {
                Content::List(items.into_iter().map(|item| self.node(item)).collect())
            }
            RawValue::Map(entries) => Content::Map(
                entries
                    .into_iter()
                    .map(|(key, value)| (self.node(key), self.node(value)))
                    .collect(),
            ),
        };
        Node { place, content }
    }

    /// Returns the text of a plain scalar as it is written in the file.
    fn source_text(&self, location: Location) -> Option<String> {
        let span = location.span();
        let start = usize::try_from(span.byte_offset()?).ok()?;
        let end = start.checked_add(usize::try_from(span.byte_len()?).ok()?)?;
        self.source
            .get(start..end)
            .map(|text| text.trim().to_owned())
    }
}

/// Whether the parser may have substituted this text for a number such as `1e999`.
fn is_non_finite(text: &str) -> bool {
    matches!(text, ".inf" | "-.inf" | ".nan")
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use super::*;

    fn text_of(source: &str) -> String {
        let node = parse(&Arc::from("a.yaml"), source).unwrap();
        let Content::Map(mut entries) = node.content else {
            panic!("{node:?}");
        };
        match entries.remove(0).1.content {
            Content::Text(text) => text,
            other => panic!("{other:?}"),
        }
    }

    /// Guards against reading a plain scalar such as `version: 1.10` as a number:
    /// requests ran on version 1.1 of an adapter whose template named 1.10.
    #[test]
    fn tree_plain_scalar_keeps_its_text() {
        assert_eq!(text_of("version: 1.10\n"), "1.10");
        assert_eq!(text_of("version: 007 # comment\n"), "007");
        assert_eq!(text_of("version: 1e999\n"), "1e999");
        assert_eq!(text_of("version: 0x10\n"), "0x10");
        assert_eq!(text_of("version: yes\n"), "yes");
        assert_eq!(text_of("version: '1.10'\n"), "1.10");
        assert_eq!(text_of("a: é\nversion: 1.10\n"), "é");
        assert_eq!(text_of("{version: 1.10}\n"), "1.10");
    }
}
