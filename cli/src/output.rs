//! Answers on standard output, everything else on standard error.

use std::io::{self, Write as _};

use serde::Serialize;

use crate::args::Format;
use crate::failure::Failure;

/// Writes an answer for people or for scripts.
///
/// # Errors
///
/// When standard output can't be written; a closed pipe isn't an error, since
/// `chivevalve history | head` has what it wants.
pub fn answer<T: Serialize>(
    format: Format,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<(), Failure> {
    let shown = match format {
        Format::Text => text(value),
        Format::Json => {
            let mut json = serde_json::to_string_pretty(value)
                .map_err(|error| Failure::Other(format!("can't write JSON: {error}")))?;
            json.push('\n');
            json
        }
    };
    print(&shown)
}

/// Writes a text to standard output.
///
/// # Errors
///
/// When standard output can't be written.
pub fn print(text: &str) -> Result<(), Failure> {
    match io::stdout().write_all(text.as_bytes()) {
        Ok(()) => Ok(()),
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        Err(error) => Err(Failure::Other(format!("can't write the answer: {error}"))),
    }
}

/// Lays rows out in columns, the head first.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut page = Page::default();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        page.line(cells.join("  ").trim_end());
    }
    page.done()
}

/// A text under construction.
#[derive(Debug, Default)]
pub struct Page(String);

impl Page {
    /// Adds a line.
    pub fn line(&mut self, line: impl std::fmt::Display) {
        self.0.push_str(&line.to_string());
        self.0.push('\n');
    }

    /// Adds a text as it is.
    pub fn text(&mut self, text: &str) {
        self.0.push_str(text);
    }

    /// Returns the text.
    pub fn done(self) -> String {
        self.0
    }
}
