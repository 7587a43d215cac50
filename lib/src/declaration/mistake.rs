//! Mistakes in declarations, with their place and a hint.

use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use crate::name::Name;

/// A place in a file of declarations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Place {
    /// The file, relative to the directory of declarations.
    pub file: Name,
    /// Line, from 1; 0 for the whole file.
    pub line: u64,
    /// Column, from 1; 0 for the whole line.
    pub column: u64,
}

impl Place {
    /// Returns the place that stands for a whole file.
    #[must_use]
    pub fn file(file: &Name) -> Self {
        Self {
            file: Arc::clone(file),
            line: 0,
            column: 0,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return f.write_str(&self.file);
        }
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// A mistake in the declarations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Mistake {
    /// Where it is.
    #[serde(flatten)]
    pub place: Place,
    /// What is wrong.
    pub what: String,
    /// How to correct it.
    pub hint: String,
}

impl Mistake {
    /// Creates a mistake.
    #[must_use]
    pub fn new(place: &Place, what: impl Into<String>, hint: impl Into<String>) -> Self {
        Self {
            place: place.clone(),
            what: what.into(),
            hint: hint.into(),
        }
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.what, self.hint)
    }
}
