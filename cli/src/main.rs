//! The operators' command line. Thin: a file for each command, all over the
//! nodes' operators' interface.

mod args;
mod client;
mod commands;
mod failure;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    match commands::run(std::env::args_os()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprint!("{failure}");
            ExitCode::from(failure.code())
        }
    }
}
