//! From the command line to a running node and its exit code.

mod args;
mod exit;
mod logs;
mod platform;
mod serve;
mod signals;

use std::ffi::OsString;
use std::path::Path;
use std::process::ExitCode;

use chivevalve::peer::tls::{Paths, TlsCredentials};
use chivevalve::settings::{self, Settings, Tls};

use args::Action;

/// Runs the program and returns its exit code; docs/operators/cli.md lists them.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let action = match args::parse(arguments) {
        Ok(action) => action,
        Err(error) => {
            eprintln!("chivevalved: {error}; see chivevalved --help");
            return ExitCode::from(exit::USAGE);
        }
    };
    match action {
        Action::Help => print!("{}", args::HELP),
        Action::Version => println!("chivevalved {}", env!("CARGO_PKG_VERSION")),
        Action::PrintSettings => print!("{}", settings::print()),
        Action::Check(file) => return check(&file),
        Action::Serve(file) => return serve(&file),
        Action::ServePlatform => return serve_platform(),
    }
    ExitCode::SUCCESS
}

/// Reads settings, showing every mistake on standard error.
fn load(file: &Path) -> Option<Settings> {
    settings::load(file)
        .map_err(|mistakes| eprintln!("{mistakes}"))
        .ok()
}

fn check(file: &Path) -> ExitCode {
    let Some(settings) = load(file) else {
        return ExitCode::from(exit::BAD_SETTINGS);
    };
    if let Tls::Mutual {
        certificate,
        key,
        authority,
    } = settings.tls
        && let Err(error) = TlsCredentials::load(Paths {
            certificate,
            key,
            authority,
        })
    {
        eprintln!("{}: tls: {error}", file.display());
        return ExitCode::from(exit::BAD_SETTINGS);
    }
    println!("{}: no mistakes", file.display());
    ExitCode::SUCCESS
}

fn serve(file: &Path) -> ExitCode {
    let Some(settings) = load(file) else {
        return ExitCode::from(exit::BAD_SETTINGS);
    };
    logs::start();
    let code = serve::serve(settings).unwrap_or_else(|error| {
        log::error!("node: {error:#}");
        ExitCode::from(exit::FAILED)
    });
    logs::finish();
    code
}

fn serve_platform() -> ExitCode {
    let settings = match platform::load() {
        Ok(settings) => settings,
        Err(mistake) => {
            eprintln!("chivevalved: {mistake}");
            return ExitCode::from(exit::BAD_SETTINGS);
        }
    };
    logs::start();
    let code = platform::serve(settings).unwrap_or_else(|error| {
        log::error!("node: {error:#}");
        ExitCode::from(exit::FAILED)
    });
    logs::finish();
    code
}
