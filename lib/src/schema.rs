//! Messages and settings, generated from `lib/protos`.
//!
//! `cargo run -p chivevalve-gen-protos` writes them anew; a test compares.

#![allow(clippy::all, clippy::pedantic, missing_docs, reason = "generated code")]

/// What operators declare; see docs/operators/declarations.md.
#[rustfmt::skip]
#[path = "protos/chivevalve.declaration.rs"]
pub mod declaration;

/// What nodes say to one another; see docs/architecture.md.
#[rustfmt::skip]
#[path = "protos/chivevalve.peer.rs"]
pub mod peer;

/// The daemon's settings; see docs/operators/settings.md.
#[rustfmt::skip]
#[path = "protos/chivevalve.settings.rs"]
pub mod settings;

/// What nodes ask of the one that gives an engine its orders; see
/// docs/design/0007-direct-serving.md.
#[rustfmt::skip]
#[path = "protos/chivevalve.direct.rs"]
pub mod direct;
