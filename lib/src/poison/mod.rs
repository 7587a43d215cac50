//! Detection of requests that crash every upstream that starts to run them.
//!
//! Each attempt of such a request ("poison request", "query of death") crashes an engine together
//! with all its other streams and loaded adapters. Its caller repeats it as a new attempt, at any
//! node, so without shared memory of it a single caller crashes a whole fleet. This module does no
//! I/O: [`ledger`] attributes reported crashes to requests, [`unconfirmed`] holds crashes that are
//! suspected but not confirmed, [`harmless`] remembers requests that recently ran without a crash,
//! and [`fingerprint`] identifies a request across its attempts.
//! See docs/design/0011-poison-requests.md.

pub mod fingerprint;
pub mod harmless;
pub mod ledger;
pub mod sound_parts;
pub mod subjects;
pub mod trial;
pub mod unconfirmed;
pub mod verdict;
