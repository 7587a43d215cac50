//! Serving with one hop: an entry node sends each request to its upstream itself.
//!
//! It fits platforms whose engines protect an adapter in use by themselves, so
//! that any number of nodes may send. What stays with one node for each
//! upstream are the orders that load and unload adapters; a claim in the
//! key-value service names that node. docs/design/0007-direct-serving.md weighs
//! this against forwarding through an owner.
//!
//! The platform's names and formats stand behind [`dialect::Dialect`].

mod acquire;
pub mod admission_policy;
pub mod admit;
pub mod ask;
pub mod attempt;
pub mod budget;
pub mod call;
pub mod claim;
pub mod config;
pub mod dialect;
pub mod entry;
pub mod fanout;
pub mod follow;
pub mod handover;
mod hedging;
pub mod lift;
pub mod limits;
pub mod node;
pub mod occupancy;
pub mod orders;
pub mod outage;
pub mod outbox;
pub mod presence;
pub mod quarantine;
pub mod question;
pub mod record;
pub mod relay;
pub mod reload;
pub mod request;
mod resume;
pub mod right;
pub mod roles;
pub mod selection;
pub mod sends;
pub mod sequence;
pub mod serve;
pub mod sse;
pub mod stop;
pub mod target;

pub mod upstream;
pub mod versions;
pub mod vet;
pub mod view;
