//! Reading YAML so that every mistake is found in one go, each with its line.
//!
//! Deserializing straight into a type stops at the first mistake, and an
//! operator would have to start the check again for each. Here the text becomes
//! a tree of located values first; each leaf is then tried on its own against
//! the type, so that one bad field hides no other.

mod mistake;
mod tree;

use serde::de::DeserializeOwned;
use serde_json::Value;

pub use mistake::{Mistake, Mistakes};
pub use tree::Lines;

use tree::{Located, Node};

/// Most levels of nesting that are read; no schema of ours comes near it.
const MAX_DEPTH: u32 = 16;

/// Reads `text` as one value, and where each of its parts stands.
///
/// `file` is only named in mistakes.
///
/// # Errors
///
/// All mistakes of syntax, unknown fields and wrong types.
pub fn read<T: DeserializeOwned>(text: &str, file: &str) -> Result<(T, Lines), Mistakes> {
    let root = tree::parse(text).map_err(|error| {
        let line = error.location().map_or(1, |at| at.line());
        Mistakes::from(unreadable(file, line, &error))
    })?;
    let mut check = Check::<T>::new(file);
    check.node(&root, &mut Vec::new());
    check.mistakes.result()?;
    let lines = Lines::of(&root);
    serde_json::from_value(root.to_value())
        .map(|value| (value, lines))
        .map_err(|error| {
            Mistake::new(file, root.line, error.to_string(), "see the documentation").into()
        })
}

/// Says why a text is no YAML.
fn unreadable(file: &str, line: u64, error: &serde_saphyr::Error) -> Mistake {
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

/// One step from a value to a part of it.
#[derive(Debug, Clone)]
enum Step {
    Key(String),
    Item,
}

/// Tries every part of a tree on its own against the type.
struct Check<'a, T> {
    file: &'a str,
    mistakes: Mistakes,
    target: std::marker::PhantomData<T>,
}

impl<'a, T: DeserializeOwned> Check<'a, T> {
    fn new(file: &'a str) -> Self {
        Self {
            file,
            mistakes: Mistakes::default(),
            target: std::marker::PhantomData,
        }
    }

    fn node(&mut self, located: &Located, path: &mut Vec<Step>) {
        if path.len() > MAX_DEPTH as usize {
            self.add(
                located.line,
                path,
                "this is nested too deeply",
                "flatten it",
            );
            return;
        }
        let alone = match &located.node {
            Node::Scalar(value) => value.clone(),
            Node::List(_) => Value::Array(Vec::new()),
            Node::Map(_) => Value::Object(serde_json::Map::new()),
        };
        if let Err(error) = try_alone::<T>(path, alone) {
            let (what, right) = explain(&error);
            self.add(located.line, path, &what, &right);
            return;
        }
        match &located.node {
            Node::Scalar(_) => {}
            Node::List(items) => {
                path.push(Step::Item);
                for item in items {
                    self.node(item, path);
                }
                path.pop();
            }
            Node::Map(entries) => {
                for entry in entries {
                    path.push(Step::Key(entry.key.clone()));
                    self.entry(entry, path);
                    path.pop();
                }
            }
        }
    }

    fn entry(&mut self, entry: &tree::Entry, path: &mut Vec<Step>) {
        // Null fits or doesn't, but only an unknown key is refused by name.
        if let Err(error) = try_alone::<T>(path, Value::Null)
            && error.starts_with("unknown field")
        {
            let (what, right) = explain(&error);
            path.pop();
            self.add(entry.line, path, &what, &right);
            path.push(Step::Key(entry.key.clone()));
            return;
        }
        self.node(&entry.value, path);
    }

    fn add(&mut self, line: u64, path: &[Step], what: &str, right: &str) {
        let place = path_text(path);
        let what = if place.is_empty() {
            what.to_owned()
        } else {
            format!("{place}: {what}")
        };
        self.mistakes
            .push(Mistake::new(self.file, line, what, right));
    }
}

/// Tries a type on a value that holds nothing but one part at its place.
fn try_alone<T: DeserializeOwned>(path: &[Step], part: Value) -> Result<(), String> {
    let mut whole = part;
    for step in path.iter().rev() {
        whole = match step {
            Step::Key(key) => {
                let mut map = serde_json::Map::new();
                map.insert(key.clone(), whole);
                Value::Object(map)
            }
            Step::Item => Value::Array(vec![whole]),
        };
    }
    match serde_json::from_value::<T>(whole) {
        Ok(_) => Ok(()),
        Err(error) => Err(error.to_string()),
    }
}

/// Splits a type's complaint into what is wrong and what would be right.
///
/// A text is never repeated: it may be a key that was pasted into the wrong
/// field, and mistakes end in logs of pipelines.
fn explain(complaint: &str) -> (String, String) {
    let Some((found, expected)) = complaint.split_once(", expected ") else {
        return (complaint.to_owned(), "correct the value".to_owned());
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
    let right = match expected {
        "a string" => "write a text, in quotes if it looks like a number".to_owned(),
        "u32" | "u64" => "write a whole number, 0 or more".to_owned(),
        "a boolean" => "write true or false".to_owned(),
        "a sequence" => "write a list, each item after a dash".to_owned(),
        other if other.starts_with("struct ") => "write fields, each as name: value".to_owned(),
        other => format!("known are {}", other.trim_start_matches("one of ")),
    };
    (found.to_owned(), right)
}

fn path_text(path: &[Step]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            Step::Key(key) => {
                if !text.is_empty() {
                    text.push('.');
                }
                text.push_str(key);
            }
            Step::Item => text.push_str("[]"),
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
