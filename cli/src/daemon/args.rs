//! The daemon's command line.

use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::prelude::*;

/// What `--help` prints.
pub const HELP: &str = "\
chivevalved: one node of chivevalve, a serving layer for very many LoRA adapters

Usage: chivevalved --settings FILE [--check]
       chivevalved --platform
       chivevalved --print-settings | --help | --version

  --settings FILE    read the settings from FILE
  --check            say what is wrong in the settings and stop
  --platform         run on the platform, with the settings that it left here
  --print-settings   print a settings file with every default
  --help             print this
  --version          print the version

Logs go to standard output, a JSON object a line; RUST_LOG sets their level (default: info).
SIGTERM or SIGINT stops the node once its requests are answered; a second one
stops it at once. Exit codes: 0 stopped as asked, 1 failed, 2 wrong command
line or settings, 3 stopped before its requests were answered.
See docs/operators/ for the rest.
";

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Print a settings file with every default.
    PrintSettings,
    /// Check a settings file.
    Check(PathBuf),
    /// Run a node.
    Serve(PathBuf),
    /// Run a node with the platform's settings.
    ServePlatform,
}

/// Reads the command line, program name first.
///
/// # Errors
///
/// When an argument is unknown, or the settings aren't named.
pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Action, lexopt::Error> {
    let mut parser = lexopt::Parser::from_iter(arguments);
    let mut file = None;
    let mut check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Action::Help),
            Short('V') | Long("version") => return Ok(Action::Version),
            Long("print-settings") => return Ok(Action::PrintSettings),
            Long("platform") => return Ok(Action::ServePlatform),
            Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            Long("check") => check = true,
            _ => return Err(argument.unexpected()),
        }
    }
    let file = file.ok_or("--settings FILE is missing")?;
    Ok(if check {
        Action::Check(file)
    } else {
        Action::Serve(file)
    })
}
