//! Direct serving: an entry node sends each request to an upstream itself, in one hop.
//!
//! This suits platforms whose engines protect adapters in use, so that any
//! number of nodes may send requests to them. Only one node per upstream gives
//! orders to load and unload adapters: the one that a claim in the key-value
//! service names. docs/design/0007-direct-serving.md compares this with
//! forwarding through an owner.
//!
//! [`dialect::Dialect`] translates the platform's names and formats.

mod acquire;
pub mod admission_policy;
pub mod admit;
pub mod attempt;
pub mod budget;
pub mod claim;
pub mod config;
mod connection;
pub mod control_call;
pub mod controllers;
mod dial;
pub mod dialect;
pub mod drain;
pub mod entry;
pub mod event_sequence;
pub mod fanout;
pub mod follow;
pub mod former_pools;
pub mod handover;
mod hedging;
pub mod limits;
mod listener;
pub mod metadata;
mod moved_run;
pub mod node;
pub mod occupancy;
pub mod orders;
pub mod origin;
pub mod origin_store;
pub mod outage;
pub mod outbox;
pub mod ownership;
pub mod pace;
pub mod path;
pub mod peer_server;
pub mod presence;
pub mod quarantine;
pub mod quarantine_admin;
pub mod reachability;
pub mod registration;
pub mod rejections;
pub mod relay;
pub mod reload;
pub mod request;
pub mod request_log;
mod resume;
mod retry_permit;
pub mod roles;
pub mod selection;
pub mod sends;
pub mod software;
pub mod software_store;
pub mod sse;
pub mod target;
pub mod tunnel;
pub mod upstream;
pub mod used_connections;
pub mod validate;
pub mod versions;
pub mod view;
