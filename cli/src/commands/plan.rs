//! `plan`: what would an apply change?

use chivevalve::operators::wire::{Draft, Plan};

use super::{Command, check, online};
use crate::args::Args;
use crate::client::{Client, Effect};
use crate::failure::Failure;
use crate::output;

/// The command.
pub const COMMAND: Command = Command {
    name: "plan",
    about: "show what applying a directory would change",
    values: 1..=1,
    online: true,
    options: &["exit-code"],
    help: "\
Usage: chivevalve plan DIR [--exit-code] [OPTIONS]

Checks DIR, then compares it with what is in force: + is new, - is removed,
~ is changed. Warnings say what would break. Changes nothing.

  --exit-code        exit with 1 when there are differences
",
    run,
};

fn run(args: &Args) -> Result<(), Failure> {
    let (files, _) = check::files(args)?;
    online(args, async |client| {
        let plan = plan(&client, Draft { files }).await?;
        output::answer(args.format, &plan, text)?;
        if args.has("exit-code") && !plan.differences.is_empty() {
            return Err(Failure::Differences);
        }
        Ok(())
    })
}

/// Asks a node for a plan.
///
/// # Errors
///
/// When no node plans it.
pub(super) async fn plan(client: &Client, draft: Draft) -> Result<Plan, Failure> {
    client.post("/v1/plan", &draft, Effect::None).await
}

/// Writes a plan for people.
pub(super) fn text(plan: &Plan) -> String {
    let mut text = format!("against revision {}:\n", plan.revision);
    if plan.differences.is_empty() {
        text.push_str("nothing would change\n");
    }
    text.push_str(&plan.text);
    for warning in &plan.warnings {
        text.push_str("warning: ");
        text.push_str(warning);
        text.push('\n');
    }
    text
}
