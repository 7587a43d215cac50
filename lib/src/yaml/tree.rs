//! YAML values with their line numbers.

use std::collections::HashMap;
use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use serde_saphyr::Spanned;

/// A value and its line.
#[derive(Debug)]
pub(super) struct Located {
    pub(super) line: u64,
    pub(super) node: Node,
}

/// A value of any shape.
#[derive(Debug)]
pub(super) enum Node {
    Scalar(Value),
    List(Vec<Located>),
    Map(Vec<Entry>),
}

/// A field: its name, the name's line, and the value.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) key: String,
    pub(super) line: u64,
    pub(super) value: Located,
}

/// Parses a text into a tree.
pub(super) fn parse(text: &str) -> Result<Located, serde_saphyr::Error> {
    let spanned: Option<Spanned<Node>> = serde_saphyr::from_str(text)?;
    // An empty file has no fields; missing ones are reported when the settings are resolved.
    Ok(spanned.map_or_else(
        || Located {
            line: 1,
            node: Node::Map(Vec::new()),
        },
        Located::from,
    ))
}

impl From<Spanned<Node>> for Located {
    fn from(spanned: Spanned<Node>) -> Self {
        Self {
            line: spanned.referenced.line(),
            node: spanned.value,
        }
    }
}

impl Located {
    /// Returns the value without line numbers.
    pub(super) fn to_value(&self) -> Value {
        match &self.node {
            Node::Scalar(value) => value.clone(),
            Node::List(items) => Value::Array(items.iter().map(Self::to_value).collect()),
            Node::Map(entries) => Value::Object(
                entries
                    .iter()
                    .map(|entry| (entry.key.clone(), entry.value.to_value()))
                    .collect(),
            ),
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Scalar(Value::from(value)))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Scalar(Value::from(value)))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Scalar(Value::from(value)))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Scalar(Value::from(value)))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Scalar(Value::from(value)))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Scalar(Value::Null))
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Scalar(Value::Null))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element::<Spanned<Node>>()? {
            items.push(Located::from(item));
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = access.next_key::<Spanned<String>>()? {
            let value = access.next_value::<Spanned<Node>>()?;
            entries.push(Entry {
                key: key.value,
                line: key.referenced.line(),
                value: Located::from(value),
            });
        }
        Ok(Node::Map(entries))
    }
}

/// Line numbers of all parts of a file by path, such as `access.tokens[0].role`.
#[derive(Debug, Default)]
pub struct Lines(HashMap<String, u64>);

impl Lines {
    pub(super) fn of(root: &Located) -> Self {
        let mut lines = Self::default();
        lines.add(root, "");
        lines
    }

    fn add(&mut self, located: &Located, path: &str) {
        match &located.node {
            Node::Scalar(_) => {}
            Node::List(items) => {
                for (number, item) in items.iter().enumerate() {
                    let path = format!("{path}[{number}]");
                    self.add(item, &path);
                    self.0.insert(path, item.line);
                }
            }
            Node::Map(entries) => {
                for entry in entries {
                    let path = match path {
                        "" => entry.key.clone(),
                        parent => format!("{parent}.{}", entry.key),
                    };
                    self.add(&entry.value, &path);
                    self.0.insert(path, entry.line);
                }
            }
        }
    }

    /// Returns the line of a part, or of its nearest ancestor in the file.
    #[must_use]
    pub fn of_path(&self, path: &str) -> u64 {
        let mut rest = path;
        loop {
            if let Some(line) = self.0.get(rest) {
                return *line;
            }
            match rest.rfind(['.', '[']) {
                Some(end) => rest = &rest[..end],
                None => return 1,
            }
        }
    }
}
