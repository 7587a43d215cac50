//! Runs a node until it is asked to stop.

use std::process::ExitCode;

use chivevalve::node::{Listeners, Node};
use chivevalve::settings::Settings;
use eyre::{Result, WrapErr};

use super::exit;
use super::signals::Signals;

/// Runs a node; returns when it has stopped.
///
/// # Errors
///
/// When it can't start.
pub fn serve(settings: Settings) -> Result<ExitCode> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("can't start threads")?
        .block_on(run(settings))
}

async fn run(settings: Settings) -> Result<ExitCode> {
    let mut signals = Signals::new()?;
    let listeners = Listeners::bind(&settings).await?;
    let node = Node::start(settings, listeners)?;
    log::info!(
        "node: serves callers at {} and operators at {}",
        node.callers(),
        node.operators()
    );
    tokio::select! {
        () = node.asked_to_stop() => log::info!("node: an operator asks for the stop"),
        name = signals.stop(no_reload) => log::info!("node: got {name}"),
    }
    tokio::select! {
        whole = node.drain() => Ok(if whole {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(exit::CUT_OFF)
        }),
        name = signals.stop(no_reload) => {
            log::warn!("node: got {name} again and stops at once");
            Ok(ExitCode::from(exit::CUT_OFF))
        }
    }
}

/// Settings of this way to run are read once; a hangup must not end the process.
fn no_reload() {
    log::warn!("node: got SIGHUP; settings are read again only at the next start");
}
