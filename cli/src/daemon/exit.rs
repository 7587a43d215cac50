//! Exit codes of the daemon; docs/operators/cli.md lists them.

/// The node couldn't start or broke down.
pub const FAILED: u8 = 1;
/// The command line is wrong.
pub const USAGE: u8 = 2;
/// The settings are wrong.
pub const BAD_SETTINGS: u8 = 2;
/// The node stopped before every request was answered.
pub const CUT_OFF: u8 = 3;
