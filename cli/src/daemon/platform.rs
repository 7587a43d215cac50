//! Runs a node on the users' platform, which names its settings by itself.

use std::process::ExitCode;
use std::sync::Arc;

use chivevalve::direct::node::{Node, Reach, Settings};
use chivevalve_platform::settings::{self, Mistake};
use chivevalve_platform::{Speech, store};
use eyre::{Result, WrapErr};

use super::exit;
use super::signals::Signals;

/// Reads the settings that the platform left for this VM.
pub fn load() -> Result<Settings, Mistake> {
    settings::load(&settings::path()?)
}

/// Runs a node; returns when it has stopped.
///
/// One thread is enough: the VM has a part of one core, and each wake-up of
/// another thread would be paid for.
///
/// # Errors
///
/// When it can't start.
pub fn serve(settings: Settings) -> Result<ExitCode> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the runtime")?
        .block_on(run(settings))
}

async fn run(settings: Settings) -> Result<ExitCode> {
    let mut signals = Signals::new()?;
    let store = Arc::new(store::Client::new(settings.store));
    let reach = Reach {
        dialect: Arc::new(Speech),
        store: Arc::<store::Client>::clone(&store),
        lease: Arc::<store::Client>::clone(&store),
        poll: store,
    };
    log::info!(
        "node: {} serves callers at {}",
        settings.node,
        settings.callers
    );
    let node = Node::start(&settings, reach)?;
    let name = signals.stop(reload).await;
    log::info!("node: got {name}");
    tokio::select! {
        whole = node.drain() => Ok(if whole {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(exit::CUT_OFF)
        }),
        name = signals.stop(reload) => {
            log::warn!("node: got {name} again and stops at once");
            Ok(ExitCode::from(exit::CUT_OFF))
        }
    }
}

/// Reads the settings again and tells of mistakes; they take effect at the next start.
fn reload() {
    match load() {
        Ok(settings) => log::info!(
            "node: settings of {} are right and take effect at the next start",
            settings.node
        ),
        Err(mistake) => log::error!("node: settings stay as they were: {mistake}"),
    }
}
