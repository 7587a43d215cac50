//! The shape of a JSON body, read without keeping it.
//!
//! The body goes on to the engine as it came; the layer needs a few of its
//! fields and its size. Reading it into a tree would cost several times the
//! body's memory for each request.

use std::borrow::Cow;
use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, Error, MapAccess, SeqAccess, Visitor};

/// Bytes of text that a number stands for; in prompts a number is a token.
const NUMBER: usize = 4;

/// Longest text that is kept.
const KEPT: usize = 256;

/// What kind of value it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Nothing, which the interface takes as left out.
    Null,
    /// Yes or no.
    Bool(bool),
    /// A number that isn't negative and has no fraction.
    Count(u64),
    /// Any other number.
    Number,
    /// Text, kept only if it is short.
    Text(Option<Box<str>>),
    /// An array.
    Array,
    /// An object.
    Object,
}

/// A value's kind and how much text is in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shape {
    /// What kind of value it is.
    pub kind: Kind,
    /// Bytes of all text in it, nested values included.
    pub bytes: usize,
}

impl<'de> Deserialize<'de> for Shape {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // The library bounds the depth of values read in this way, so that deep
        // nesting ends in an error and not in an overflow of the stack.
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
        Ok(shape(Kind::Count(value), NUMBER))
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<Shape, E> {
        Ok(shape(Kind::Number, NUMBER))
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<Shape, E> {
        Ok(shape(Kind::Number, NUMBER))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Shape, E> {
        let kept = (value.len() <= KEPT).then(|| value.into());
        Ok(shape(Kind::Text(kept), value.len()))
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

/// The fields of a body's outermost object.
#[derive(Debug)]
pub struct Fields {
    fields: Vec<(String, Shape)>,
}

impl Fields {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// Line and column of the first mistake; the text of the mistake may hold
    /// parts of a prompt and stays out of it.
    pub fn read(body: &[u8]) -> Result<Self, (usize, usize)> {
        serde_json::from_slice(body).map_err(|error| (error.line(), error.column()))
    }

    /// Finds a field; `Err` when it is there more than once.
    pub fn get(&self, name: &str) -> Result<Option<&Shape>, ()> {
        let mut found = self.fields.iter().filter(|(field, _)| field == name);
        let first = found.next();
        if found.next().is_some() {
            return Err(());
        }
        Ok(first.map(|(_, shape)| shape))
    }

    /// Returns the bytes of all text.
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

/// Most fields of the outermost object; the interface has some thirty.
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
    fn read_measures_text() {
        let fields = Fields::read(br#"{"a":"xyz","b":[1,2,{"c":"uv"}],"d":null}"#).unwrap();
        assert_eq!(fields.text_bytes(), 3 + 8 + 2);
        assert_eq!(
            fields.get("a").unwrap().unwrap().kind,
            Kind::Text(Some("xyz".into()))
        );
        assert!(fields.get("e").unwrap().is_none());
    }

    #[test]
    fn get_twice() {
        let fields = Fields::read(br#"{"a":1,"a":2}"#).unwrap();
        assert!(fields.get("a").is_err());
    }

    #[test]
    fn read_mistakes() {
        assert_eq!(Fields::read(b"{\n\"a\":}").unwrap_err(), (2, 5));
        assert!(Fields::read(b"[]").is_err());
        assert!(Fields::read(b"{} {}").is_err());
        assert!(Fields::read(b"{\"a\":\"\xff\"}").is_err());
    }

    /// Symptom: the node's process ends with an overflow of its stack.
    /// Sequence: a caller sends a body of a million opening brackets.
    /// Cause: the reader descends once for each bracket.
    #[test]
    fn read_deep_nesting() {
        let body = format!("{{\"a\":{}", "[".repeat(1_000_000));
        assert!(Fields::read(body.as_bytes()).is_err());
    }
}
