//! A serving layer for very many LoRA adapters.
//!
//! Every entry VM runs one node. A request enters at any node, is decided on
//! one revision of the configuration, and runs at an upstream through the one
//! node that owns that upstream, so that slots, pins and eviction rest on exact
//! knowledge. `docs/architecture.md` draws the way of a request.
//!
//! The library prints nothing; the programs in `cli/` are thin over it.

pub mod adapter;
pub mod buffer;
pub mod claim;
pub mod clock;
pub mod config;
pub mod declaration;
pub mod direct;
pub mod entry;
pub mod error;
pub mod gossip;
pub mod loads;
pub mod membership;
pub mod metrics;
pub mod name;
pub mod node;
pub mod operators;
pub mod overload;
pub mod owner;
pub mod peer;
pub mod poison;
pub mod policy;
pub mod ports;
pub mod request;
pub mod retry;
pub mod runner;
pub mod schema;
pub mod secret;
pub mod settings;
pub mod unread;
pub mod yaml;
