//! Distributes the operators' configuration and activates it on each node.
//!
//! A change is written to the key-value service as an immutable operation with
//! the next revision number ([`layout`], [`writer`]). Nodes learn it from the
//! service or from one another (`follower`, `gossip_state`) and never return to
//! an older revision ([`state`]). Each request reads one immutable [`View`].
//! docs/design/0005-configuration.md compares the alternatives.

mod blocking;
pub mod config_store;
pub mod digest;
pub mod error;
mod follower;
pub mod garbage;
mod gossip_state;
pub mod history;
pub mod layout;
pub mod manager;
pub mod operator;
pub mod plan;
pub mod prefetch;
pub mod state;
pub mod view;
pub mod writer;

pub use error::Error;
pub use manager::{ConfigManager, Dependencies, Limits, Status};
pub use operator::{Accepted, ChangeRequest, new_id};
pub use plan::Plan;
pub use view::View;
