//! Accepts connections, and serves those of callers.

use std::sync::Arc;

use futures::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::entry::Frontend;
use crate::clock::Millis;
use crate::ports::connection_pool::enable_dead_peer_detection;

/// Pause after a failed accept, so that the loop doesn't spin while file descriptors are exhausted.
const ACCEPT_RETRY_PAUSE: Millis = Millis(20);

/// Serves callers until the node stops, and then until their connections are closed.
pub(super) async fn serve_callers(
    listener: TcpListener,
    frontend: Arc<Frontend>,
    closing: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = closing.cancelled() => break,
        };
        let Some(stream) = stream else {
            continue;
        };
        serve_caller(stream, &frontend, &graceful);
        measure_scheduling(&frontend).await;
    }
    // Connections in the listen queue are still served. The port must then be closed: if it were
    // open without anything accepting, a new caller would wait for as long as responses in
    // progress keep the process alive, instead of connecting to another node.
    while let Some(Some(stream)) = accept(&listener).now_or_never() {
        serve_caller(stream, &frontend, &graceful);
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_caller(stream: TcpStream, frontend: &Arc<Frontend>, graceful: &GracefulShutdown) {
    let limits = frontend
        .view
        .config()
        .map(|config| config.limits)
        .unwrap_or_default();
    let frontend = Arc::clone(frontend);
    let service = service_fn(move |request| Arc::clone(&frontend).handle(request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.duration())
        .max_buf_size(limits.head_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("node: a caller's connection failed: {error}");
        }
    });
}

/// Accepts a connection; `None` if that failed.
pub(super) async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    let accepted = listener.accept().await;
    let error = match accepted {
        Ok((stream, _)) => match enable_dead_peer_detection(&stream) {
            Ok(()) => return Some(stream),
            Err(error) => error,
        },
        Err(error) => error,
    };
    log::warn!("node: cannot accept a connection: {error}");
    tokio::time::sleep(ACCEPT_RETRY_PAUSE.duration()).await;
    None
}

/// Measures how long a task that is ready now waits until it runs.
async fn measure_scheduling(frontend: &Frontend) {
    let clock = &frontend.clock;
    let ready_at = clock.now();
    // It can't fail: the task has nothing to panic in, and nobody aborts it.
    let _ = tokio::spawn(async {}).await;
    let now = clock.now();
    let delays = &frontend.view.delays;
    delays.record_scheduling(now.since(ready_at), now);
}
