//! Runs a node until it is asked to stop.

use std::process::ExitCode;

use chivevalve::node::{Listeners, Node};
use chivevalve::settings::Settings;
use eyre::{Result, WrapErr};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::exit;

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
        name = signals.next() => log::info!("node: got {name}"),
    }
    tokio::select! {
        whole = node.drain() => Ok(if whole {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(exit::CUT_OFF)
        }),
        name = signals.next() => {
            log::warn!("node: got {name} again and stops at once");
            Ok(ExitCode::from(exit::CUT_OFF))
        }
    }
}

/// Signals that ask for a stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).wrap_err("can't listen for SIGTERM")?,
            interrupt: signal(SignalKind::interrupt()).wrap_err("can't listen for SIGINT")?,
        })
    }

    async fn next(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}
