//! Stateful fuzzing of several nodes' real state machines in virtual time.
//!
//! A story is a sequence of faults and requests. The world plays it on real
//! machines that are wired by fakes which delay, drop, reorder, pause and
//! restart; the oracle holds the promises. The same files are built into the
//! bench and into the library's tests.

pub mod campaign;
pub mod oracle;
pub mod service;
pub mod story;
pub mod traffic;
pub mod world;
