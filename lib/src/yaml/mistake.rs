//! What is wrong in a file that people write.

use std::fmt;

/// One mistake: where, what is wrong, and what would be right.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mistake {
    /// The file, as the operator named it.
    pub file: String,
    /// Line in the file, from 1.
    pub line: u64,
    /// What is wrong.
    pub what: String,
    /// What would be right.
    pub right: String,
}

impl Mistake {
    /// Makes a mistake.
    #[must_use]
    pub fn new(
        file: impl Into<String>,
        line: u64,
        what: impl Into<String>,
        right: impl Into<String>,
    ) -> Self {
        Self {
            file: file.into(),
            line,
            what: what.into(),
            right: right.into(),
        }
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: {}; {}",
            self.file, self.line, self.what, self.right
        )
    }
}

/// All mistakes of one reading, one a line when shown.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Mistakes(Vec<Mistake>);

impl Mistakes {
    /// Adds a mistake.
    pub fn push(&mut self, mistake: Mistake) {
        self.0.push(mistake);
    }

    /// Lists the mistakes in the order in which they were found.
    #[must_use]
    pub fn list(&self) -> &[Mistake] {
        &self.0
    }

    /// Turns having found any into an error, ordered by file and line.
    ///
    /// # Errors
    ///
    /// Itself, when there is any mistake.
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
