//! The decisions: where a request runs, what is loaded and evicted, who waits.
//!
//! Pure functions and small state machines on [`crate::clock::Millis`], with no
//! I/O, so that a node, the tests and the bench run the same code. See
//! docs/design/0002-decisions.md.
