//! `quarantine`: requests and prompt parts that are no longer sent, and how to have them sent again.

use std::net::SocketAddr;
use std::sync::Arc;

use chivevalve::direct::quarantine_admin;
use chivevalve::poison::fingerprint::Fingerprint;
use chivevalve::poison::ledger::SuspectStatus;
use chivevalve_platform::PlatformDialect;
use chivevalve_platform::store::Client;

use super::Command;
use crate::args::Args;
use crate::failure::Failure;
use crate::output;

/// The command.
pub const COMMAND: Command = Command {
    name: "quarantine",
    about: "list requests and prompt parts that upstreams ended under, or have one sent again",
    values: 1..=2,
    online: false,
    options: &[],
    help: "\
Usage: chivevalve quarantine STORE [REQUEST]

Reads the records of upstreams that ended from the key-value service at STORE
(IP number and port) of a deployment that serves directly, and lists the
requests that stood there: by fingerprint, as logs have it (`suspect`), with
the upstreams that ended. Those that are blamed are no longer sent. A prompt
part that different requests share has a fingerprint of the form part-ID.

With REQUEST, a fingerprint, the quarantine of that request or part is lifted:
what was reported so far counts no more, at any node. It is sent again within
seconds.
",
    run,
};

fn run(args: &Args) -> Result<(), Failure> {
    let address = args.values[0]
        .parse()
        .map_err(|error| Failure::Usage(format!("{} is no address: {error}", args.values[0])))?;
    let request = args.values.get(1).map(|text| {
        Fingerprint::read(text).ok_or_else(|| Failure::Usage(format!("{text} is no fingerprint")))
    });
    let request = request.transpose()?;
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::Other(format!("can't start: {error}")))?
        .block_on(ask(args, address, request))
}

async fn ask(
    args: &Args,
    address: SocketAddr,
    request: Option<Fingerprint>,
) -> Result<(), Failure> {
    let client = Arc::new(Client::new(address));
    if let Some(request) = request {
        quarantine_admin::lift(&*client, &*client, &PlatformDialect, &request)
            .await
            .map_err(|error| Failure::Other(format!("the quarantine stands: {error}")))?;
        return output::print(&format!("{request} is sent again\n"));
    }
    let standings = quarantine_admin::list(&*client, &PlatformDialect)
        .await
        .map_err(|error| Failure::Other(format!("the records can't be read: {error}")))?;
    output::answer(args.format, &standings, |standings| table(standings))
}

fn table(standings: &[SuspectStatus]) -> String {
    if standings.is_empty() {
        return "no upstream ended under a request lately\n".to_owned();
    }
    let rows: Vec<Vec<String>> = standings
        .iter()
        .map(|standing| {
            vec![
                standing.request.to_string(),
                if standing.blamed { "blamed" } else { "suspect" }.to_owned(),
                standing.upstreams.join(" "),
            ]
        })
        .collect();
    output::table(&rows)
}
