//! Small stand-ins of the platform, for tests, the demo and the bench.
//!
//! Each is an object in this process that serves on a loopback listener, and
//! most implement the library's traits directly too, so that a test can run on
//! virtual time without a socket. Knobs make them fail; oracles record what
//! truly happened. See docs/standins.md.

pub mod caller;
pub mod control;
pub mod directory;
pub mod engine;
pub mod fleet;
pub mod judge;
pub mod mix;
pub mod platform;
pub mod process;
pub mod serve;
pub mod service;
pub mod store;
pub mod traffic;
pub mod weights;
