//! Detection of requests that crash every upstream that starts to run them.
//!
//! Each attempt of such a request ("poison request", "query of death") crashes an engine together
//! with all its other streams and loaded adapters. Its caller repeats it as a new attempt, at any
//! node, so without shared memory of it a single caller crashes a whole fleet. The same holds for a
//! prompt part that different requests have.
//!
//! This module does no I/O. [`subjects`] tells what a request can be blamed by, and [`fingerprint`]
//! identifies it. A [`report`] names the requests at a crashed upstream, [`ledger`] keeps the reports
//! of all nodes, and [`verdict`] finds what explains them. [`harmless`] and [`sound_parts`] remember
//! what ran without a crash, [`trial`] tries what nobody can run any more, and [`unconfirmed`] holds
//! crashes that are suspected but not confirmed. See docs/design/0011-poison-requests.md and
//! docs/design/0018-subjects-of-suspicion.md.

pub mod fingerprint;
pub mod harmless;
pub mod ledger;
pub mod report;
pub mod sound_parts;
pub mod subjects;
pub mod trial;
pub mod unconfirmed;
pub mod verdict;
