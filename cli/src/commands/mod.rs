//! The commands, a file for each.

mod apply;
mod check;
mod digest;
mod drain;
mod explain;
mod export;
mod get;
mod history;
mod plan;
mod quarantine;
mod rollback;
mod status;
mod story;

use std::ffi::OsString;
use std::future::Future;
use std::ops::RangeInclusive;

use crate::args::Args;
use crate::client::Client;
use crate::failure::Failure;
use crate::output;

/// What a command takes and does.
pub struct Command {
    /// Its name.
    pub name: &'static str,
    /// One line for the list of commands.
    pub about: &'static str,
    /// How many values it takes.
    pub values: RangeInclusive<usize>,
    /// Whether it speaks with nodes.
    pub online: bool,
    /// Options that it takes besides those of all commands.
    pub options: &'static [&'static str],
    /// What `--help` prints.
    pub help: &'static str,
    /// Does it.
    pub run: fn(&Args) -> Result<(), Failure>,
}

/// All commands, in the order of the help.
const COMMANDS: [Command; 12] = [
    check::COMMAND,
    plan::COMMAND,
    apply::COMMAND,
    get::COMMAND,
    history::COMMAND,
    rollback::COMMAND,
    export::COMMAND,
    status::COMMAND,
    explain::COMMAND,
    drain::COMMAND,
    quarantine::COMMAND,
    digest::COMMAND,
];

/// Options of the commands that speak with nodes, for the help pages.
const NODES: &str = "
  --node ADDRESS     operators' address of a node, by IP number and port; may be
                     repeated, the next is asked when one can't answer
                     (CHIVEVALVE_NODE, separated by commas)
  --token-file FILE  file with the operator's token (or CHIVEVALVE_TOKEN)
";

/// Options of all commands, for the help pages.
const SHARED: &str = "  --format FORMAT    text (default) or json
  --help             print this
  --version          print the version
";

/// Exit codes, for the help page.
const EXIT_CODES: &str = "
Exit codes: 0 done, 1 mistakes or differences, 2 wrong command line, 3 no node
answered and nothing was changed, 4 refused, 5 lost a race against another
change, 6 unknown whether the change was made, 7 anything else.
";

/// Runs the program.
///
/// # Errors
///
/// When the command line is wrong or the command isn't done.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> Result<(), Failure> {
    let args = Args::parse(arguments)?;
    if args.version {
        return output::print(&format!("chivevalve {}\n", env!("CARGO_PKG_VERSION")));
    }
    let Some(name) = &args.command else {
        if args.help {
            return output::print(&help());
        }
        return Err(Failure::Usage("a command is missing".to_owned()));
    };
    let command = COMMANDS
        .iter()
        .find(|command| command.name == *name)
        .ok_or_else(|| Failure::Usage(format!("there is no command {name}")))?;
    if args.help {
        let nodes = if command.online { NODES } else { "\n" };
        return output::print(&format!("{}{nodes}{SHARED}", command.help));
    }
    fits(command, &args)?;
    (command.run)(&args)
}

fn fits(command: &Command, args: &Args) -> Result<(), Failure> {
    let name = command.name;
    if let Some(option) = args
        .given
        .iter()
        .find(|option| !command.options.contains(option))
    {
        return Err(Failure::Usage(format!("{name} takes no --{option}")));
    }
    if !command.values.contains(&args.values.len()) {
        return Err(Failure::Usage(format!(
            "{name} takes {}, not {}",
            count(&command.values),
            args.values.len()
        )));
    }
    Ok(())
}

fn count(range: &RangeInclusive<usize>) -> String {
    match (range.start(), range.end()) {
        (0, 0) => "no value".to_owned(),
        (1, 1) => "1 value".to_owned(),
        (least, most) if least == most => format!("{most} values"),
        (least, most) => format!("{least} to {most} values"),
    }
}

fn help() -> String {
    let rows: Vec<Vec<String>> = COMMANDS
        .iter()
        .map(|command| vec![format!("  {}", command.name), command.about.to_owned()])
        .collect();
    format!(
        "chivevalve: operates chivevalve by declarations kept in version control\n\n\
         Usage: chivevalve COMMAND [VALUES] [OPTIONS]\n\n{}{NODES}{SHARED}{EXIT_CODES}",
        output::table(&rows)
    )
}

/// Runs a command that speaks with nodes.
///
/// # Errors
///
/// What the command ends with.
fn online<F: Future<Output = Result<(), Failure>>>(
    args: &Args,
    command: impl FnOnce(Client) -> F,
) -> Result<(), Failure> {
    let client = Client::new(args)?;
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::Other(format!("can't start: {error}")))?
        .block_on(command(client))
}
