//! Upstreams that bear only a limited number of rejections.
//!
//! Such an upstream says in its responses how many requests it can reject in a second; beyond that,
//! it ends. All nodes together have to stay within that number, so each request to such an upstream
//! is counted by one node before it is sent: the upstream's owner, or else the node that ranks
//! first for it. That node learns from rejections how many requests the upstream holds.
//! See docs/design/0019-rejections.md.

pub mod capacity;
pub mod counting;
pub mod notice;
