//! Connections to upstreams that lead through another node.
//!
//! A node without a path to an upstream asks another node to open a TCP connection there, and sends
//! its requests over it as over one of its own. The other node copies bytes and knows nothing of
//! requests, so whether one has run, its cancellation, its deadline and the flow control between
//! caller and upstream are what they are on a direct connection. Tunnels don't lead through a second
//! node: the other node only connects directly. Orders to engines never use them, as engines take
//! orders from one VM only. See docs/design/0016-nodes-without-a-path.md.

mod client;
mod server;

pub use client::{Client, OpenError};
pub use server::Server;

use tonic::Code;

/// Returns the label of an attempt's outcome in metrics.
const fn outcome_name(code: Code) -> &'static str {
    match code {
        Code::Ok => "opened",
        Code::FailedPrecondition => "no_path",
        Code::Aborted => "unreachable",
        Code::ResourceExhausted => "full",
        Code::NotFound => "unknown",
        // Also the code of the client itself for a node that can't be reached.
        Code::Unavailable => "unavailable",
        _ => "no_answer",
    }
}
