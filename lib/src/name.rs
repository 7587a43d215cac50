//! Shared immutable strings for names.
//!
//! Names of accounts, templates, upstreams and nodes are copied into every
//! request; sharing them costs a counter instead of an allocation.

use std::sync::Arc;

/// A name that many values share.
pub type Name = Arc<str>;
