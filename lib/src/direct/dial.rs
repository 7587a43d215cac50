//! Direct connections to upstreams, whose outcomes tell what this node reaches.

use super::reachability::Loss;
use super::upstream::Upstream;
use super::view::View;
use crate::clock::Clock;
use crate::ports::connection_pool::DialError;
use crate::ports::network::Stream;

/// A byte stream, or why there is none.
pub(super) type Dialed = Result<Box<dyn Stream>, DialError>;

/// Opens a direct byte stream to an upstream, and records what that tells of this node's paths.
///
/// # Errors
///
/// If none can be established; the upstream has received nothing.
pub(super) async fn dial(view: &View, clock: &dyn Clock, upstream: &Upstream) -> Dialed {
    let started_at = clock.now();
    let dialed = upstream.connection_pool.dial().await;
    let (reachability, now) = (&view.reachability, clock.now());
    match &dialed {
        Ok(_) => {
            reachability.record_success(upstream, now);
            view.delays.record_round_trip(now.since(started_at), now);
        }
        Err(DialError::TimedOut(_)) => reachability.record_failure(upstream, Loss::Silent, now),
        Err(DialError::Failed(_)) => reachability.record_failure(upstream, Loss::Refused, now),
    }
    dialed
}
