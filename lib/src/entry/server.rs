//! The listener for callers.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Dependencies;
use super::connection::{self, IdleTimeouts};
use super::gateway::Gateway;

/// Pause after the system refused to accept, as it does without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until `stop` is cancelled and every request in progress has ended.
///
/// Whoever stops the node bounds how long it waits for this to return.
pub async fn serve(listener: TcpListener, parts: Arc<Dependencies>, stop: CancellationToken) {
    let server = Server {
        places: Arc::new(Semaphore::new(parts.limits.connections)),
        gateway: Gateway::new(parts),
        stop,
        tasks: TaskTracker::new(),
    };
    server.accept(listener).await;
    server.tasks.close();
    server.tasks.wait().await;
    log::info!("entry: all callers are served, the listener is closed");
}

struct Server {
    gateway: Arc<Gateway>,
    places: Arc<Semaphore>,
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
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves a connection, or closes it at once when there are too many.
    fn admit(&self, stream: TcpStream) {
        let Ok(place) = Arc::clone(&self.places).try_acquire_owned() else {
            log::debug!("entry: closed a connection, too many are open");
            return;
        };
        // Small pieces of answers must not wait for one another.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("entry: can't set a connection's option: {error}");
        }
        let rest = self.rest();
        self.tasks.spawn(Self::run(
            Arc::clone(&self.gateway),
            stream,
            rest,
            self.stop.clone(),
            place,
        ));
    }

    /// Returns how long a new connection may rest: less when most places are taken.
    fn rest(&self) -> IdleTimeouts {
        let limits = &self.gateway.parts.limits;
        let crowded = self.places.available_permits() < limits.connections / 4;
        let first = limits.head_timeout.duration();
        IdleTimeouts {
            first,
            idle: if crowded {
                first.min(limits.idle_timeout.duration())
            } else {
                limits.idle_timeout.duration()
            },
        }
    }

    async fn run(
        gateway: Arc<Gateway>,
        stream: TcpStream,
        rest: IdleTimeouts,
        stop: CancellationToken,
        place: OwnedSemaphorePermit,
    ) {
        let metrics = Arc::clone(&gateway.parts.metrics);
        metrics.connections.inc();
        connection::serve(gateway, stream, rest, stop).await;
        metrics.connections.dec();
        drop(place);
    }
}
