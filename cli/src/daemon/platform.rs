//! Runs a node on the users' platform, which names its settings by itself.

use std::process::ExitCode;
use std::sync::Arc;

use chivevalve::clock::Millis;
use chivevalve::direct::node::{Node, PlatformClients, Settings};
use chivevalve::direct::reload::Reload;
use chivevalve::ports::network;
use chivevalve_platform::settings::{self, Mistake};
use chivevalve_platform::{PlatformDialect, store};
use eyre::{Result, WrapErr};

use super::exit;
use super::signals::Signals;

/// Pause between looks at the settings; the file is a page long and read in microseconds.
const LOOK: Millis = Millis::from_secs(2);

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
    let reach = PlatformClients {
        dialect: Arc::new(PlatformDialect),
        store: Arc::<store::Client>::clone(&store),
        lease: Arc::<store::Client>::clone(&store),
        poll: store,
        network: network::Handle::default(),
    };
    log::info!(
        "node: {} serves callers at {}",
        settings.node,
        settings.callers
    );
    let node = Node::start(&settings, reach)?;
    let reload = Reload::new(settings, node.limits());
    let name = tokio::select! {
        name = signals.stop(|| look(&reload)) => name,
        () = look_again(&reload) => unreachable!("looking never ends"),
    };
    log::info!("node: got {name}");
    tokio::select! {
        whole = node.drain() => Ok(if whole {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(exit::CUT_OFF)
        }),
        name = signals.stop(|| look(&reload)) => {
            log::warn!("node: got {name} again and stops at once");
            Ok(ExitCode::from(exit::CUT_OFF))
        }
    }
}

/// Reads the settings and puts in force what can be.
fn look(reload: &Reload) {
    reload.apply(load().map_err(|mistake| mistake.to_string()));
}

/// Looks from time to time: the file may change without a signal.
async fn look_again(reload: &Reload) {
    loop {
        tokio::time::sleep(LOOK.duration()).await;
        look(reload);
    }
}
