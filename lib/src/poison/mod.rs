//! Requests that end every upstream that begins to run them.
//!
//! Such a request ("poison request", "query of death") takes an engine with all its other
//! streams and adapters each time that it is sent. Its caller sends it again, at any node, as a
//! new attempt; so without a memory of it, one caller ends a whole fleet. What is kept here is
//! pure: [`ledger`] weighs what nodes reported of upstreams that ended, [`harmless`] remembers
//! what has run without harm, [`fingerprint`] tells two attempts of one request from two requests.
//! See docs/design/0011-poison-requests.md.

pub mod fingerprint;
pub mod harmless;
pub mod ledger;
pub mod unconfirmed;
