//! Accepts callers' connections.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Dependencies;
use super::connection::{self, IdleTimeouts};
use super::gateway::Gateway;
use crate::overload::delays::Delays;
use crate::overload::{Intake, MAX_CONNECTIONS_IN_A_ROUND, Overload};

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
        let (mut intake, delays) = (Intake::default(), Delays::default());
        let clock = &*self.gateway.parts.clock;
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream, &mut intake),
                Err(error) => {
                    log::warn!("entry: can't accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
            // Those that came in the meantime have waited for the same tasks.
            for _ in 1..MAX_CONNECTIONS_IN_A_ROUND {
                let Some(Ok((stream, _))) = listener.accept().now_or_never() else {
                    break;
                };
                self.admit(stream, &mut intake);
            }
            intake.next_round(&delays, clock).await;
        }
    }

    /// Serves a connection, or closes it at once when the connection limit is reached or the node
    /// has too much to do.
    fn admit(&self, stream: TcpStream, intake: &mut Intake) {
        let max_open = self.gateway.parts.limits.connections;
        let open = max_open - self.connection_permits.available_permits();
        let now = self.gateway.parts.clock.now();
        let overload = intake.decide((open, max_open), now);
        let permit = Arc::clone(&self.connection_permits).try_acquire_owned();
        let (None, Ok(permit)) = (overload, permit) else {
            let reason = overload.unwrap_or(Overload::Connections).name();
            let closed = &self.gateway.parts.metrics.connections_closed_unread;
            closed.with_label_values(&[reason]).inc();
            log::debug!("entry: closed a new connection unread: too much of {reason}");
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
