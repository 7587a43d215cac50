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
pub mod attempt;
pub mod budget;
pub mod claim;
pub mod config;
pub mod control_call;
pub mod controllers;
pub mod dialect;
pub mod drain;
pub mod entry;
pub mod event_sequence;
pub mod fanout;
pub mod follow;
pub mod handover;
mod hedging;
pub mod limits;
pub mod metadata;
pub mod node;
pub mod occupancy;
pub mod orders;
pub mod outage;
pub mod outbox;
pub mod ownership;
pub mod peer_server;
pub mod presence;
pub mod quarantine;
pub mod quarantine_admin;
pub mod relay;
pub mod reload;
pub mod request;
pub mod request_log;
mod resume;
pub mod roles;
pub mod selection;
pub mod sends;
pub mod sse;
pub mod target;

pub mod upstream;
pub mod validate;
pub mod versions;
pub mod view;
