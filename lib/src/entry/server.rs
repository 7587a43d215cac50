//! Accepts callers' connections.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Dependencies;
use super::connection::{self, IdleTimeouts};
use super::gateway::Gateway;

/// Pause after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until `stop` is cancelled and every request in progress has ended.
///
/// This sets no bound on the time that takes; the code that stops the node does.
pub async fn serve(listener: TcpListener, parts: Arc<Dependencies>, stop: CancellationToken) {
    let server = Server {
        connection_permits: Arc::new(Semaphore::new(parts.limits.connections)),
        gateway: Gateway::new(parts),
        stop,
        tasks: TaskTracker::new(),
    };
    server.accept(listener).await;
    server.tasks.close();
    server.tasks.wait().await;
    log::info!("entry: listener closed, all requests in progress have ended");
}

struct Server {
    gateway: Arc<Gateway>,
    connection_permits: Arc<Semaphore>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Server {
    async fn accept(&self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream),
                Err(error) => {
                    log::warn!("entry: can't accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Serves a connection, or closes it at once when the connection limit is reached.
    fn admit(&self, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.connection_permits).try_acquire_owned() else {
            log::debug!("entry: closed a new connection: the connection limit is reached");
            return;
        };
        // Nagle's algorithm would delay the small frames of streamed responses.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("entry: failed to set TCP_NODELAY: {error}");
        }
        let timeouts = self.idle_timeouts();
        self.tasks.spawn(Self::run(
            Arc::clone(&self.gateway),
            stream,
            timeouts,
            self.stop.clone(),
            permit,
        ));
    }

    /// Returns a new connection's idle timeouts: shorter ones when more than three quarters of the
    /// connection limit are in use.
    fn idle_timeouts(&self) -> IdleTimeouts {
        let limits = &self.gateway.parts.limits;
        let is_crowded = self.connection_permits.available_permits() < limits.connections / 4;
        let first = limits.head_timeout.duration();
        IdleTimeouts {
            first,
            idle: if is_crowded {
                first.min(limits.idle_timeout.duration())
            } else {
                limits.idle_timeout.duration()
            },
        }
    }

    async fn run(
        gateway: Arc<Gateway>,
        stream: TcpStream,
        timeouts: IdleTimeouts,
        stop: CancellationToken,
        permit: OwnedSemaphorePermit,
    ) {
        let metrics = Arc::clone(&gateway.parts.metrics);
        metrics.connections.inc();
        connection::serve(gateway, stream, timeouts, stop).await;
        metrics.connections.dec();
        drop(permit);
    }
}
