//! Why a command wasn't done, and the exit code that scripts see.

use std::fmt;

use chivevalve::operators::{Cause, Refusal};

/// How a command ended without being done; docs/operators/cli.md lists the codes.
#[derive(Debug)]
pub enum Failure {
    /// The declarations have mistakes, one a line.
    Mistakes(Vec<String>),
    /// There are differences, and the caller asked to hear of it by exit code.
    Differences,
    /// The command line is wrong.
    Usage(String),
    /// No node answered; nothing was sent that could have changed anything.
    Unreachable(Vec<String>),
    /// A node refused.
    Refused(Refusal),
    /// A change was sent and no node could say what became of it.
    Unknown {
        /// Options with which the same command settles it.
        settle: Option<String>,
        /// What went wrong at each node.
        reasons: Vec<String>,
    },
    /// Something else, such as a file that can't be read.
    Other(String),
}

impl Failure {
    /// Returns the exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Mistakes(_) | Self::Differences => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(_) => 3,
            Self::Refused(refusal) => match refusal.cause {
                Cause::LostRace => 5,
                Cause::Invalid if !refusal.mistakes.is_empty() => 1,
                _ => 4,
            },
            Self::Unknown { .. } => 6,
            Self::Other(_) => 7,
        }
    }
}

impl From<lexopt::Error> for Failure {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Mistakes(mistakes) => lines(f, mistakes),
            Self::Differences => Ok(()),
            Self::Usage(what) => writeln!(f, "chivevalve: {what}; see chivevalve --help"),
            Self::Unreachable(reasons) => {
                writeln!(f, "chivevalve: no node answered; nothing was changed")?;
                lines(f, reasons)
            }
            Self::Refused(refusal) => refused(f, refusal),
            Self::Unknown { settle, reasons } => {
                writeln!(f, "chivevalve: it isn't known whether the change was made")?;
                lines(f, reasons)?;
                match settle {
                    Some(options) => writeln!(
                        f,
                        "give the same command again with {options}; the change is never made twice"
                    ),
                    None => writeln!(f, "look at chivevalve status, then give the command again"),
                }
            }
            Self::Other(what) => writeln!(f, "chivevalve: {what}"),
        }
    }
}

fn refused(f: &mut fmt::Formatter<'_>, refusal: &Refusal) -> fmt::Result {
    writeln!(f, "chivevalve: {}; {}", refusal.message, refusal.hint)?;
    lines(f, &refusal.mistakes)?;
    for winner in &refusal.winners {
        writeln!(
            f,
            "revision {} by {}: {}",
            winner.revision, winner.author, winner.reason
        )?;
        write!(f, "{}", winner.text)?;
    }
    Ok(())
}

fn lines(f: &mut fmt::Formatter<'_>, lines: &[String]) -> fmt::Result {
    lines.iter().try_for_each(|line| writeln!(f, "{line}"))
}
