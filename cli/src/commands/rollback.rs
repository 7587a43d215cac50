//! `rollback`: put an earlier revision's declarations in force again.

use chivevalve::operators::wire::{Accepted, History, Rollback};

use super::{Command, apply, online};
use crate::args::Args;
use crate::failure::Failure;
use crate::output;

/// The command.
pub const COMMAND: Command = Command {
    name: "rollback",
    about: "put an earlier revision in force again, as a new one",
    values: 1..=1,
    online: true,
    options: &["reason", "expect", "change-id"],
    help: "\
Usage: chivevalve rollback REVISION --reason TEXT [OPTIONS]

Makes a new revision with the declarations of REVISION; the history stays whole.
Afterwards bring the same declarations into version control, or the next apply
takes the rollback back.

  --reason TEXT      why; it is recorded with the token's name
  --expect REVISION  refuse unless this revision is in force
  --change-id ID     settle a rollback whose outcome was unknown (exit code 6)
",
    run,
};

fn run(args: &Args) -> Result<(), Failure> {
    let reason = apply::reason(args)?;
    let to_revision = args.values[0]
        .parse()
        .map_err(|_| Failure::Usage("the revision is no number".to_owned()))?;
    online(args, async |client| {
        let expected_revision = if let Some(expected) = args.expect {
            expected
        } else {
            let history: History = client.get("/v1/history?limit=1").await?;
            let newest = history.operations.first();
            newest.map_or(0, |operation| operation.revision)
        };
        let change = Rollback {
            change_id: apply::change_id(args),
            reason,
            expected_revision,
            to_revision,
        };
        let effect = apply::effect(&change.change_id, expected_revision);
        let accepted: Accepted = client.post("/v1/rollback", &change, effect).await?;
        output::answer(args.format, &accepted, apply::text)
    })
}
