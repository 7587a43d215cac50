//! `history`: who changed what, when and why?

use chivevalve::operators::wire::{History, Operation};

use super::{Command, online};
use crate::args::Args;
use crate::failure::Failure;
use crate::output;

/// Changes that are shown unless told otherwise.
const LIMIT: u64 = 20;

/// The command.
pub const COMMAND: Command = Command {
    name: "history",
    about: "show who changed what, when and why",
    values: 0..=0,
    online: true,
    options: &["limit"],
    help: "\
Usage: chivevalve history [--limit N] [OPTIONS]

Shows the newest changes, the newest first, each with what became different.

  --limit N          most changes to show (default 20, at most 1000)
",
    run,
};

fn run(args: &Args) -> Result<(), Failure> {
    online(args, async |client| {
        let limit = args.limit.unwrap_or(LIMIT);
        let history: History = client.get(&format!("/v1/history?limit={limit}")).await?;
        output::answer(args.format, &history, text)
    })
}

fn text(history: &History) -> String {
    if history.operations.is_empty() {
        return "nothing was changed yet\n".to_owned();
    }
    let shown: Vec<String> = history.operations.iter().map(operation).collect();
    shown.join("\n")
}

fn operation(operation: &Operation) -> String {
    format!(
        "revision {} by {} at {}\n  {}\n{}",
        operation.revision,
        operation.author,
        time(operation.time_ms),
        operation.reason,
        operation.text
    )
}

/// Writes a time in UTC; the clock is the writing node's, so it is for people only.
fn time(ms: u64) -> String {
    i64::try_from(ms)
        .ok()
        .and_then(|ms| jiff::Timestamp::from_millisecond(ms).ok())
        .map_or_else(|| "an unknown time".to_owned(), |time| time.to_string())
}
