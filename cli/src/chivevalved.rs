//! The daemon that every entry VM runs. Thin: it reads settings and runs a node.

mod daemon;

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::run(std::env::args_os())
}
