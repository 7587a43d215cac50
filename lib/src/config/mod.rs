//! The configuration in force: read by every request, replaced as a whole.
//!
//! Operators' changes go through the key-value service as immutable operations
//! under a rising revision ([`layout`], [`writer`]); nodes learn them from the
//! service or from one another (`follower`, `share`) and never go back
//! ([`state`]). docs/design/0005-configuration.md has the ways weighed.

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
