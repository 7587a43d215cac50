//! Direct serving: an entry node sends each request to an upstream itself, in one hop.
//!
//! This suits platforms whose engines protect adapters in use, so that any
//! number of nodes may send requests to them. Only one node per upstream gives
//! orders to load and unload adapters: the one that a claim in the key-value
//! service names. docs/design/0007-direct-serving.md compares this with
//! forwarding through an owner.
//!
//! [`dialect::Dialect`] translates the platform's names and formats.

pub mod admission;
pub mod admit;
pub mod ask;
pub mod attempt;
pub mod budget;
pub mod call;
pub mod choice;
pub mod claim;
pub mod config;
pub mod dialect;
pub mod entry;
pub mod fanout;
pub mod follow;
pub mod handover;
pub mod lift;
pub mod limits;
pub mod node;
pub mod orders;
pub mod outage;
pub mod outbox;
pub mod pick;
mod place;
pub mod presence;
pub mod quarantine;
pub mod question;
mod reachable;
pub mod record;
pub mod relay;
pub mod reload;
pub mod request;
mod resume;
pub mod right;
pub mod roles;
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
