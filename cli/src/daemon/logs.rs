//! Where log lines go and how they look.

use std::io::Write as _;

use env_logger::{Builder, Env};

/// Level without `RUST_LOG`.
const LEVEL: &str = "info";

/// Starts logging to standard error.
///
/// Each message already begins with the fixed prefix of its part, so a line is
/// time, level, message; docs/operators/logs-and-metrics.md lists the prefixes.
pub fn start() {
    Builder::from_env(Env::default().default_filter_or(LEVEL))
        .format(|out, record| {
            writeln!(
                out,
                "{} {:5} {}",
                out.timestamp_millis(),
                record.level(),
                record.args()
            )
        })
        .init();
}
