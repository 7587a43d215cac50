//! `check`: are the declarations right, without asking anyone?

use std::path::Path;

use chivevalve::declaration::{self, DeclarationSet, Mistake, SourceFile};
use chivevalve::operators::wire::File;

use super::Command;
use crate::args::{Args, Format};
use crate::failure::Failure;
use crate::output;

/// The command.
pub const COMMAND: Command = Command {
    name: "check",
    about: "find every mistake in a directory of declarations",
    values: 1..=1,
    online: false,
    options: &[],
    help: "\
Usage: chivevalve check DIR [--format text|json]

Reads all .yaml and .yml files below DIR as one change and shows every mistake
with its file, line, what is wrong and what would be right. Asks no node.
Exits with 1 when there is any mistake.
",
    run,
};

fn run(args: &Args) -> Result<(), Failure> {
    let dir = Path::new(&args.values[0]);
    let found = declaration::check(dir);
    if args.format == Format::Json {
        let mistakes: &[Mistake] = found.as_ref().err().map_or(&[], Vec::as_slice);
        output::answer(args.format, &mistakes, |_| String::new())?;
    }
    match found {
        Ok(set) if args.format == Format::Text => output::print(&format!(
            "no mistakes: {} accounts, {} pools, {} templates\n",
            set.accounts.len(),
            set.pools.len(),
            set.templates.len()
        )),
        Ok(_) => Ok(()),
        // Scripts have read them from standard output.
        Err(_) if args.format == Format::Json => Err(Failure::Mistakes(Vec::new())),
        Err(mistakes) => Err(listed(&mistakes)),
    }
}

/// Reads a directory that has no mistakes.
///
/// # Errors
///
/// All its mistakes.
pub(super) fn files(args: &Args) -> Result<(Vec<File>, DeclarationSet), Failure> {
    let sources = declaration::load_dir(Path::new(&args.values[0])).map_err(|all| listed(&all))?;
    let set = declaration::check_sources(&sources).map_err(|all| listed(&all))?;
    Ok((sources.iter().map(file).collect(), set))
}

fn file(source: &SourceFile) -> File {
    File {
        name: source.name.to_string(),
        text: source.text.clone(),
    }
}

fn listed(mistakes: &[Mistake]) -> Failure {
    Failure::Mistakes(mistakes.iter().map(ToString::to_string).collect())
}
