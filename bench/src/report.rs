//! Output that all campaigns share: a table for people, JSON for scripts.

use std::fmt::Write;
use std::path::Path;
use std::str::FromStr;

use eyre::{Result, WrapErr, eyre};
use serde::Serialize;

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Format {
    /// Aligned columns.
    #[default]
    Table,
    /// One JSON document.
    Json,
}

impl FromStr for Format {
    type Err = eyre::Report;

    fn from_str(name: &str) -> Result<Self> {
        match name {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(eyre!("unknown format {name:?}; it is table or json")),
        }
    }
}

/// Prints what a campaign found as a table of its own or as JSON.
pub fn print<T: Serialize>(
    format: Format,
    found: &T,
    table: impl FnOnce(&T) -> String,
) -> Result<()> {
    match format {
        Format::Json => print!("{}", json(found)?),
        Format::Table => print!("{}", table(found)),
    }
    Ok(())
}

/// Rows of text under a heading.
#[derive(Debug, Default)]
pub struct Table {
    heading: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts a table with these column names.
    pub fn new(heading: &[&'static str]) -> Self {
        Self {
            heading: heading.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row; it has a cell for each column.
    pub fn row(&mut self, cells: Vec<String>) {
        debug_assert_eq!(cells.len(), self.heading.len(), "a cell for each column");
        self.rows.push(cells);
    }

    /// Writes the table as Markdown, so that a page can take it as it is.
    pub fn render(&self) -> String {
        let mut widths: Vec<usize> = self.heading.iter().map(|name| name.len()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let mut text = line(self.heading.iter().copied(), &widths);
        let rules: Vec<String> = widths.iter().map(|width| "-".repeat(*width)).collect();
        text += &line(rules.iter().map(String::as_str), &widths);
        for row in &self.rows {
            text += &line(row.iter().map(String::as_str), &widths);
        }
        text
    }
}

fn line<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) -> String {
    let mut text = String::from("|");
    for (cell, width) in cells.zip(widths) {
        // Writing to a string can't fail.
        let _ = write!(text, " {cell:<width$} |");
    }
    text.push('\n');
    text
}

/// Returns a value as indented JSON.
///
/// # Errors
///
/// When the value can't be written as JSON.
pub fn json<T: Serialize>(value: &T) -> Result<String> {
    Ok(serde_json::to_string_pretty(value)? + "\n")
}

/// Writes a file into the output directory, which is made when it is missing.
///
/// # Errors
///
/// When the directory or the file can't be written.
pub fn write(directory: &Path, name: &str, text: &str) -> Result<()> {
    std::fs::create_dir_all(directory)
        .wrap_err_with(|| format!("can't make {}", directory.display()))?;
    let path = directory.join(name);
    std::fs::write(&path, text).wrap_err_with(|| format!("can't write {}", path.display()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn table_render_aligned() {
        let mut table = Table::new(&["name", "n"]);
        table.row(vec!["a".to_owned(), "1000".to_owned()]);
        let lines = ["| name | n    |", "| ---- | ---- |", "| a    | 1000 |", ""];
        assert_eq!(table.render(), lines.join("\n"));
    }
}
