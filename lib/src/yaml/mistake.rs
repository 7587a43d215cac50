//! Mistakes in a YAML file that people write.

use std::fmt;

/// A mistake, its line, and how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mistake {
    /// The file, as the operator named it.
    pub file: String,
    /// Line in the file, from 1.
    pub line: u64,
    /// What is wrong.
    pub what: String,
    /// How to correct it.
    pub hint: String,
}

impl Mistake {
    /// Creates a mistake.
    #[must_use]
    pub fn new(
        file: impl Into<String>,
        line: u64,
        what: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        Self {
            file: file.into(),
            line,
            what: what.into(),
            hint: hint.into(),
        }
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: {}; {}",
            self.file, self.line, self.what, self.hint
        )
    }
}

/// All mistakes of a file; displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Mistakes(Vec<Mistake>);

impl Mistakes {
    /// Adds a mistake.
    pub fn push(&mut self, mistake: Mistake) {
        self.0.push(mistake);
    }

    /// Returns the mistakes in the order in which they were found.
    #[must_use]
    pub fn list(&self) -> &[Mistake] {
        &self.0
    }

    /// Returns the mistakes as an error, sorted by file and line, if there are any.
    ///
    /// # Errors
    ///
    /// All mistakes found so far; they are removed from `self`.
    pub fn result(&mut self) -> Result<(), Self> {
        if self.0.is_empty() {
            return Ok(());
        }
        self.0
            .sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
        Err(std::mem::take(self))
    }
}

impl From<Mistake> for Mistakes {
    fn from(mistake: Mistake) -> Self {
        Self(vec![mistake])
    }
}

impl fmt::Display for Mistakes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, mistake) in self.0.iter().enumerate() {
            if number > 0 {
                writeln!(f)?;
            }
            write!(f, "{mistake}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Mistakes {}
