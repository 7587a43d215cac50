//! `drain`: give a node or an upstream no new work.

use chivevalve::operators::wire::{Drain, DrainKind, Draining};

use super::{Command, online};
use crate::args::Args;
use crate::client::Effect;
use crate::failure::Failure;
use crate::output;

/// The command.
pub const COMMAND: Command = Command {
    name: "drain",
    about: "give a node or an upstream no new work",
    values: 2..=2,
    online: true,
    options: &[],
    help: "\
Usage: chivevalve drain node NAME [OPTIONS]
       chivevalve drain upstream NAME [OPTIONS]

A drained node stops as at SIGTERM: it isn't ready at once, its requests finish,
its upstreams are handed over, and its process ends. A drained upstream gets no
new work; its requests finish. The node that must do it is found by itself.
",
    run,
};

fn run(args: &Args) -> Result<(), Failure> {
    let kind = match args.values[0].as_str() {
        "node" => DrainKind::Node,
        "upstream" => DrainKind::Upstream,
        other => {
            return Err(Failure::Usage(format!(
                "a node or an upstream can be drained, no {other}"
            )));
        }
    };
    let asked = Drain {
        kind,
        name: args.values[1].clone(),
    };
    online(args, async |client| {
        let draining: Draining = client
            .post("/v1/drain", &asked, Effect::Change(None))
            .await?;
        output::answer(args.format, &draining, |draining| match kind {
            DrainKind::Node => format!("node {} drains\n", draining.node),
            DrainKind::Upstream => {
                format!(
                    "upstream {} drains, by node {}\n",
                    asked.name, draining.node
                )
            }
        })
    })
}
