//! One request's story, from the log files of several nodes.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use serde_json::{Map, Value};

use crate::failure::Failure;
use crate::output::Page;

/// Fields that open each printed line and aren't repeated behind it.
const HEAD: [&str; 5] = ["time", "level", "part", "says", "request"];

/// What the files say of a request.
#[derive(Debug, Default)]
pub struct Story {
    lines: Vec<Line>,
    read: usize,
    bad: Vec<String>,
    left_out: u64,
}

#[derive(Debug)]
struct Line {
    time: String,
    source: String,
    fields: Map<String, Value>,
}

impl Story {
    /// Reads all lines of a request from log files, in any order.
    ///
    /// # Errors
    ///
    /// When a file can't be read.
    pub fn read(request: &str, files: &[String]) -> Result<Self, Failure> {
        let mut story = Self::default();
        for file in files {
            let bytes = fs::read(Path::new(file))
                .map_err(|error| Failure::Other(format!("{file}: {error}")))?;
            let text = String::from_utf8_lossy(&bytes);
            for (number, line) in text.lines().enumerate() {
                story.take(request, file, number + 1, line);
            }
        }
        story.lines.sort_by(|one, other| one.time.cmp(&other.time));
        Ok(story)
    }

    fn take(&mut self, request: &str, file: &str, number: usize, line: &str) {
        if line.trim().is_empty() {
            return;
        }
        self.read += 1;
        // A collector may put the node's name before the object.
        let (source, object) = match line.find('{') {
            Some(at) => (line[..at].split_whitespace().last(), &line[at..]),
            None => (None, line),
        };
        let Ok(Value::Object(fields)) = serde_json::from_str(object) else {
            self.bad.push(format!("{file}:{number}"));
            return;
        };
        if text(&fields, "part") == "logs" {
            self.left_out += fields.get("count").and_then(Value::as_u64).unwrap_or(0);
        }
        if text(&fields, "request") == request {
            self.lines.push(Line {
                time: text(&fields, "time").to_owned(),
                source: source.unwrap_or(file).to_owned(),
                fields,
            });
        }
    }

    /// Whether there is any line of the request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Writes the story for people.
    #[must_use]
    pub fn page(&self, request: &str) -> String {
        let mut page = Page::default();
        page.line(format_args!(
            "request {request}: {} of {} lines",
            self.lines.len(),
            self.read
        ));
        for line in &self.lines {
            page.line(format_args!("{}", line.shown()));
        }
        for gap in self.gaps() {
            page.line(format_args!("{gap}"));
        }
        page.done()
    }

    /// Says where lines are missing.
    fn gaps(&self) -> Vec<String> {
        let mut gaps = Vec::new();
        let says = |what: &str| {
            self.lines
                .iter()
                .any(|line| text(&line.fields, "says") == what)
        };
        if self.is_empty() {
            gaps.push("missing: no node has a line of it in these files".to_owned());
        } else if !says("ended") && !says("turned away") {
            gaps.push(
                "missing: no line says how it ended; its node may have died, look for its start"
                    .to_owned(),
            );
        }
        if self.left_out > 0 {
            gaps.push(format!(
                "missing: {} lines were left out or lost by the nodes",
                self.left_out
            ));
        }
        if let Some(first) = self.bad.first() {
            gaps.push(format!(
                "unread: {} lines are no JSON objects, the first at {first}",
                self.bad.len()
            ));
        }
        gaps
    }
}

impl Line {
    fn shown(&self) -> String {
        let mut shown = format!(
            "{} {} {}: {}",
            self.time,
            self.source,
            text(&self.fields, "part"),
            text(&self.fields, "says")
        );
        for (name, value) in &self.fields {
            if HEAD.contains(&name.as_str()) || value == "" {
                continue;
            }
            let value = match value {
                Value::String(text) if text.contains(' ') => format!("\"{text}\""),
                Value::String(text) => text.clone(),
                other => other.to_string(),
            };
            // Writing into a string can't fail.
            let _ = write!(shown, " {name}={value}");
        }
        shown
    }
}

fn text<'a>(fields: &'a Map<String, Value>, name: &str) -> &'a str {
    fields.get(name).and_then(Value::as_str).unwrap_or_default()
}
