//! Parses a JSON body into the kinds and sizes of its values, without storing the values.
//!
//! The body is forwarded to the engine unchanged; the layer needs only a few fields and the amount
//! of text. Parsing it into a tree would take several times the body's memory for each request.

use std::borrow::Cow;
use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, Error, MapAccess, SeqAccess, Visitor};

/// Bytes of text that a number counts as: in a prompt a number is a token.
const NUMBER_BYTES: usize = 4;

/// Length, in bytes, up to which a string's value is stored.
const MAX_STORED_BYTES: usize = 256;

/// The kind of a JSON value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// `null`, which the interface treats as an absent field.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A non-negative integer.
    Unsigned(u64),
    /// Any other number.
    Number,
    /// A string; its value is stored only if it is short.
    Text(Option<Box<str>>),
    /// An array.
    Array,
    /// An object.
    Object,
}

/// A value's kind and the amount of text in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shape {
    /// The value's kind.
    pub kind: Kind,
    /// Bytes of text in the value, including nested values.
    pub bytes: usize,
}

impl<'de> Deserialize<'de> for Shape {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // `serde_json` limits the nesting depth of values parsed in this way, so deep nesting is an
        // error and doesn't overflow the stack.
        deserializer.deserialize_any(ShapeVisitor)
    }
}

#[derive(Debug)]
struct ShapeVisitor;

impl<'de> Visitor<'de> for ShapeVisitor {
    type Value = Shape;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Shape, E> {
        Ok(shape(Kind::Null, 0))
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Shape, E> {
        Ok(shape(Kind::Bool(value), 0))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Shape, E> {
        Ok(shape(Kind::Unsigned(value), NUMBER_BYTES))
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<Shape, E> {
        Ok(shape(Kind::Number, NUMBER_BYTES))
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<Shape, E> {
        Ok(shape(Kind::Number, NUMBER_BYTES))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Shape, E> {
        let stored = (value.len() <= MAX_STORED_BYTES).then(|| value.into());
        Ok(shape(Kind::Text(stored), value.len()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Shape, A::Error> {
        let mut bytes = 0;
        while let Some(element) = seq.next_element::<Shape>()? {
            bytes += element.bytes;
        }
        Ok(shape(Kind::Array, bytes))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Shape, A::Error> {
        let mut bytes = 0;
        while let Some((_, value)) = map.next_entry::<Cow<'de, str>, Shape>()? {
            bytes += value.bytes;
        }
        Ok(shape(Kind::Object, bytes))
    }
}

fn shape(kind: Kind, bytes: usize) -> Shape {
    Shape { kind, bytes }
}

/// The fields of a body's top-level object.
#[derive(Debug)]
pub struct Fields {
    fields: Vec<(String, Shape)>,
}

impl Fields {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Line and column of the first error. The parser's message is left out because it may
    /// quote the prompt.
    pub fn parse(body: &[u8]) -> Result<Self, (usize, usize)> {
        serde_json::from_slice(body).map_err(|error| (error.line(), error.column()))
    }

    /// Finds a field; `Err` when it occurs more than once.
    pub fn get(&self, name: &str) -> Result<Option<&Shape>, ()> {
        let mut found = self.fields.iter().filter(|(field, _)| field == name);
        let first = found.next();
        if found.next().is_some() {
            return Err(());
        }
        Ok(first.map(|(_, shape)| shape))
    }

    /// Returns the bytes of text in all fields.
    #[must_use]
    pub fn text_bytes(&self) -> usize {
        self.fields.iter().map(|(_, shape)| shape.bytes).sum()
    }
}

impl<'de> Deserialize<'de> for Fields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

/// Largest number of fields in the top-level object; the interface has some thirty.
const MAX_FIELDS: usize = 256;

#[derive(Debug)]
struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields, A::Error> {
        let mut fields = Vec::new();
        while let Some(entry) = map.next_entry()? {
            if fields.len() == MAX_FIELDS {
                return Err(A::Error::custom("too many fields"));
            }
            fields.push(entry);
        }
        Ok(Fields { fields })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_counts_text_bytes() {
        let fields = Fields::parse(br#"{"a":"xyz","b":[1,2,{"c":"uv"}],"d":null}"#).unwrap();
        assert_eq!(fields.text_bytes(), 3 + 8 + 2);
        assert_eq!(
            fields.get("a").unwrap().unwrap().kind,
            Kind::Text(Some("xyz".into()))
        );
        assert!(fields.get("e").unwrap().is_none());
    }

    #[test]
    fn get_duplicate_field() {
        let fields = Fields::parse(br#"{"a":1,"a":2}"#).unwrap();
        assert!(fields.get("a").is_err());
    }

    #[test]
    fn parse_reports_line_and_column() {
        assert_eq!(Fields::parse(b"{\n\"a\":}").unwrap_err(), (2, 5));
        assert!(Fields::parse(b"[]").is_err());
        assert!(Fields::parse(b"{} {}").is_err());
        assert!(Fields::parse(b"{\"a\":\"\xff\"}").is_err());
    }

    /// Guards against a stack overflow that crashes the node: the parser recurses once for each
    /// opening bracket, and a caller may send a million of them.
    #[test]
    fn parse_deep_nesting() {
        let body = format!("{{\"a\":{}", "[".repeat(1_000_000));
        assert!(Fields::parse(body.as_bytes()).is_err());
    }
}
