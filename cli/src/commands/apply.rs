//! `apply`: put a directory of declarations in force.

use chivevalve::config;
use chivevalve::operators::wire::{Accepted, Apply, Draft, File, Plan};

use super::{Command, check, online, plan};
use crate::args::Args;
use crate::client::{Client, Effect};
use crate::failure::Failure;
use crate::output;

/// The command.
pub const COMMAND: Command = Command {
    name: "apply",
    about: "put a directory of declarations in force",
    values: 1..=1,
    online: true,
    options: &["reason", "expect", "change-id", "allow-removals"],
    help: "\
Usage: chivevalve apply DIR --reason TEXT [--expect REVISION] [OPTIONS]

Checks DIR, shows the plan on standard error, and applies it whole: what is in
force and not in DIR is removed. Accepted means that the change is durable. A
change that others made meanwhile is shown and never overwritten (exit code 5).

  --reason TEXT      why; it is recorded with the token's name
  --expect REVISION  refuse unless this revision is in force, as a reviewed
                     plan had it (default: the revision that is planned on)
  --change-id ID     settle a change whose outcome was unknown (exit code 6);
                     a change with one id is never made twice
  --allow-removals   also apply when more declarations would be removed than
                     DIR has, which is refused as a likely wrong directory
",
    run,
};

fn run(args: &Args) -> Result<(), Failure> {
    let reason = reason(args)?;
    let (files, set) = check::files(args)?;
    online(args, async |client| {
        let settles = args.expect.filter(|_| args.change_id.is_some());
        let expected = if let Some(expected) = settles {
            // What is settled was planned before.
            expected
        } else {
            let planned = planned(&client, files.clone()).await?;
            if !args.has("allow-removals") {
                guard(&planned, set.len())?;
            }
            args.expect.unwrap_or(planned.revision)
        };
        let change = Apply {
            change_id: change_id(args),
            reason,
            expected_revision: expected,
            files,
        };
        let effect = effect(&change.change_id, change.expected_revision);
        let accepted: Accepted = client.post("/v1/apply", &change, effect).await?;
        output::answer(args.format, &accepted, text)
    })
}

/// Shows what is about to change.
async fn planned(client: &Client, files: Vec<File>) -> Result<Plan, Failure> {
    let planned = plan::plan(client, Draft { files }).await?;
    eprint!("{}", plan::text(&planned));
    Ok(planned)
}

// A pipeline that names a wrong or half-written directory would remove most
// templates at night, and every caller of theirs would be refused. The sign is
// a plan that removes more than the directory has; people then look first.
fn guard(plan: &Plan, declared: usize) -> Result<(), Failure> {
    let removed = plan.differences.iter().filter(|one| one.after.is_none());
    let removed = removed.count();
    if removed <= declared {
        return Ok(());
    }
    Err(Failure::Other(format!(
        "{removed} declarations would be removed and {declared} kept; \
         if that is meant, add --allow-removals"
    )))
}

/// Returns why a change is made.
///
/// # Errors
///
/// When the command line doesn't say.
pub(super) fn reason(args: &Args) -> Result<String, Failure> {
    match &args.reason {
        Some(reason) if !reason.trim().is_empty() => Ok(reason.clone()),
        _ => Err(Failure::Usage("--reason TEXT is missing".to_owned())),
    }
}

/// Returns the id of a change, a new one unless an earlier change is to be settled.
pub(super) fn change_id(args: &Args) -> String {
    args.change_id
        .clone()
        .unwrap_or_else(|| config::new_id().to_string())
}

/// Returns the effect of a change, with the options that settle it.
///
/// Without the revision, the command would plan anew and overwrite what others
/// changed since.
pub(super) fn effect(change_id: &str, expected: u64) -> Effect {
    Effect::Change(Some(format!("--change-id {change_id} --expect {expected}")))
}

/// Says what was accepted.
pub(super) fn text(accepted: &Accepted) -> String {
    let revision = accepted.revision;
    if accepted.already {
        return format!("accepted earlier as revision {revision}\n");
    }
    match accepted.differences {
        0 => format!("nothing differs from revision {revision}\n"),
        1 => format!("accepted as revision {revision}: 1 declaration differs\n"),
        many => format!("accepted as revision {revision}: {many} declarations differ\n"),
    }
}
