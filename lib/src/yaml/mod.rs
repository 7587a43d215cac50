//! Deserializes YAML and reports every mistake at once, each with its line.
//!
//! Deserializing directly into a type stops at the first mistake, and an operator
//! would have to repeat the check for each. Here the text is first parsed into a
//! tree of values with lines. Each part is then deserialized on its own, so that
//! one invalid field doesn't hide another.

mod mistake;
mod tree;

use serde::de::DeserializeOwned;
use serde_json::Value;

pub use mistake::{Mistake, Mistakes};
pub use tree::Lines;

use tree::{Located, Node};

/// Maximum nesting depth; the schemas of this project are far below it.
const MAX_DEPTH: u32 = 16;

/// Deserializes `text`, and returns the line of each part with the value.
///
/// `file` is used only in mistakes.
///
/// # Errors
///
/// All syntax errors, unknown fields and wrong types.
pub fn read<T: DeserializeOwned>(text: &str, file: &str) -> Result<(T, Lines), Mistakes> {
    let root = tree::parse(text).map_err(|error| {
        let line = error.location().map_or(1, |at| at.line());
        Mistakes::from(syntax_mistake(file, line, &error))
    })?;
    let mut checker = Checker::<T>::new(file);
    checker.check_node(&root, &mut Vec::new());
    checker.mistakes.result()?;
    let lines = Lines::of(&root);
    serde_json::from_value(root.to_value())
        .map(|value| (value, lines))
        .map_err(|error| {
            Mistake::new(file, root.line, error.to_string(), "see the documentation").into()
        })
}

/// Converts a parser error into a mistake.
fn syntax_mistake(file: &str, line: u64, error: &serde_saphyr::Error) -> Mistake {
    if let serde_saphyr::Error::DuplicateMappingKey { key, .. } = error.without_snippet() {
        let name = key.as_deref().unwrap_or("a field");
        return Mistake::new(
            file,
            line,
            format!("{name} stands twice"),
            "keep one of them",
        );
    }
    let shown = error.without_snippet().to_string();
    let what = shown
        .rsplit_once(" at line ")
        .map_or(shown.as_str(), |(what, _)| what);
    Mistake::new(
        file,
        line,
        format!("this is no YAML: {what}"),
        "correct the syntax",
    )
}

/// A step of the path from the root to a part.
#[derive(Debug, Clone)]
enum PathStep {
    Key(String),
    Item,
}

/// Checks each part of a tree on its own against the target type.
struct Checker<'a, T> {
    file: &'a str,
    mistakes: Mistakes,
    target: std::marker::PhantomData<T>,
}

impl<'a, T: DeserializeOwned> Checker<'a, T> {
    fn new(file: &'a str) -> Self {
        Self {
            file,
            mistakes: Mistakes::default(),
            target: std::marker::PhantomData,
        }
    }

    fn check_node(&mut self, located: &Located, path: &mut Vec<PathStep>) {
        if path.len() > MAX_DEPTH as usize {
            self.report(
                located.line,
                path,
                "this is nested too deeply",
                "flatten it",
            );
            return;
        }
        let part = match &located.node {
            Node::Scalar(value) => value.clone(),
            Node::List(_) => Value::Array(Vec::new()),
            Node::Map(_) => Value::Object(serde_json::Map::new()),
        };
        if let Err(error) = deserialize_part::<T>(path, part) {
            let (what, hint) = explain(&error);
            self.report(located.line, path, &what, &hint);
            return;
        }
        match &located.node {
            Node::Scalar(_) => {}
            Node::List(items) => {
                path.push(PathStep::Item);
                for item in items {
                    self.check_node(item, path);
                }
                path.pop();
            }
            Node::Map(entries) => {
                for entry in entries {
                    path.push(PathStep::Key(entry.key.clone()));
                    self.check_entry(entry, path);
                    path.pop();
                }
            }
        }
    }

    fn check_entry(&mut self, entry: &tree::Entry, path: &mut Vec<PathStep>) {
        // Null may or may not match the field's type, but only an unknown key gives this error.
        if let Err(error) = deserialize_part::<T>(path, Value::Null)
            && error.starts_with("unknown field")
        {
            let (what, hint) = explain(&error);
            path.pop();
            self.report(entry.line, path, &what, &hint);
            path.push(PathStep::Key(entry.key.clone()));
            return;
        }
        self.check_node(&entry.value, path);
    }

    fn report(&mut self, line: u64, path: &[PathStep], what: &str, hint: &str) {
        let place = format_path(path);
        let what = if place.is_empty() {
            what.to_owned()
        } else {
            format!("{place}: {what}")
        };
        self.mistakes
            .push(Mistake::new(self.file, line, what, hint));
    }
}

/// Deserializes a value that contains nothing but `part` at `path`.
fn deserialize_part<T: DeserializeOwned>(path: &[PathStep], part: Value) -> Result<(), String> {
    let mut whole = part;
    for step in path.iter().rev() {
        whole = match step {
            PathStep::Key(key) => {
                let mut map = serde_json::Map::new();
                map.insert(key.clone(), whole);
                Value::Object(map)
            }
            PathStep::Item => Value::Array(vec![whole]),
        };
    }
    match serde_json::from_value::<T>(whole) {
        Ok(_) => Ok(()),
        Err(error) => Err(error.to_string()),
    }
}

/// Converts a deserialization error into what is wrong and a hint.
///
/// A string's value is never repeated: it may be a key that was pasted into the
/// wrong field, and mistakes end up in the logs of pipelines.
fn explain(error: &str) -> (String, String) {
    let Some((found, expected)) = error.split_once(", expected ") else {
        return (error.to_owned(), "correct the value".to_owned());
    };
    let found = match found.strip_prefix("invalid type: ") {
        Some(shape) if shape.starts_with("string") => "a text stands here",
        Some(shape) if shape.starts_with("integer") => "a number stands here",
        Some(shape) if shape.starts_with("floating") => "a fraction stands here",
        Some(shape) if shape.starts_with("boolean") => "true or false stands here",
        Some(shape) if shape.starts_with("null") => "nothing stands here",
        Some(shape) if shape.starts_with("map") => "fields stand here",
        Some(shape) if shape.starts_with("sequence") => "a list stands here",
        _ => found,
    };
    let hint = match expected {
        "a string" => "write a text, in quotes if it looks like a number".to_owned(),
        "u32" | "u64" => "write a whole number, 0 or more".to_owned(),
        "a boolean" => "write true or false".to_owned(),
        "a sequence" => "write a list, each item after a dash".to_owned(),
        other if other.starts_with("struct ") => "write fields, each as name: value".to_owned(),
        other => format!("known are {}", other.trim_start_matches("one of ")),
    };
    (found.to_owned(), hint)
}

fn format_path(path: &[PathStep]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            PathStep::Key(key) => {
                if !text.is_empty() {
                    text.push('.');
                }
                text.push_str(key);
            }
            PathStep::Item => text.push_str("[]"),
        }
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::schema::settings::Settings;

    #[test]
    fn read_every_mistake() {
        let text = "node:\n  name: 7\n  regoin: here\nlimits:\n  queue: many\n  attempts: -1\nacces: {}\naccess:\n  tokens:\n  - name: ci\n  - nam: x\n";
        let mistakes = read::<Settings>(text, "s.yaml").unwrap_err();
        insta::assert_snapshot!(mistakes, @r"
        s.yaml:2: node.name: a number stands here; write a text, in quotes if it looks like a number
        s.yaml:3: node: unknown field `regoin`; known are `name`, `region`, `failure_domain`
        s.yaml:5: limits.queue: a text stands here; write a whole number, 0 or more
        s.yaml:6: limits.attempts: invalid value: integer `-1`; write a whole number, 0 or more
        s.yaml:7: unknown field `acces`; known are `node`, `listen`, `platform`, `limits`, `policy`, `access`, `tls`
        s.yaml:11: access.tokens[]: unknown field `nam`; known are `name`, `digest`, `role`
        ");
    }

    #[test]
    fn read_syntax() {
        let mistakes = read::<Settings>("node:\n  name: [a\n", "s.yaml").unwrap_err();
        insta::assert_snapshot!(mistakes, @r"s.yaml:2: this is no YAML: unclosed bracket '['; correct the syntax");
    }

    #[test]
    fn read_duplicate_field() {
        let mistakes = read::<Settings>("node: {}\nnode: {}\n", "s.yaml").unwrap_err();
        insta::assert_snapshot!(mistakes, @r"s.yaml:2: node stands twice; keep one of them");
    }

    #[test]
    fn read_lines() {
        let text = "access:\n  tokens:\n  - name: a\n  - name: b\n    role: read\n";
        let (settings, lines) = read::<Settings>(text, "s.yaml").unwrap();
        assert_eq!(settings.access.unwrap().tokens.len(), 2);
        assert_eq!(lines.of_path("access.tokens[1].role"), 5);
        assert_eq!(lines.of_path("access.tokens[1].digest"), 4);
    }
}
