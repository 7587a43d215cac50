//! The connections on which a request has been sent.

use std::sync::{Mutex, MutexGuard, PoisonError};

use smallvec::SmallVec;

use crate::ports::connection_pool::{Connection, ConnectionId};

/// The connections on which one request has been sent.
///
/// An upstream that misbehaves sends a second copy of a response, which arrives where the next
/// response on that connection is expected. The request that it names tells it from the response
/// to another request, but not from the response to a further send of the same one. A request is
/// therefore sent at most once on each connection. See docs/design/0007-direct-serving.md.
#[derive(Debug, Default)]
pub struct UsedConnections(Mutex<SmallVec<[ConnectionId; 4]>>);

impl UsedConnections {
    /// Records that the request is sent on a connection.
    pub fn record(&self, connection: &Connection) {
        self.ids().push(connection.id());
    }

    /// Whether the request has been sent on a connection.
    #[must_use]
    pub fn contains(&self, connection: &Connection) -> bool {
        self.ids().contains(&connection.id())
    }

    fn ids(&self) -> MutexGuard<'_, SmallVec<[ConnectionId; 4]>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
