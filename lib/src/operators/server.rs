//! Connections of operators: few, bounded, and cut when they stall.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio_util::sync::CancellationToken;

use super::Parts;
use super::refusal::{Cause, Refusal};
use super::route::{self, Answer};
use crate::clock::Millis;

/// Longest time that calls in progress get when the node stops.
const STOP_LIMIT: Millis = Millis(5_000);
/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Millis = Millis(100);

/// The interface with its bounds.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) parts: Parts,
    drafts: Semaphore,
}

impl Server {
    /// Takes a place for a call that carries declarations.
    pub(super) fn draft(&self) -> Result<SemaphorePermit<'_>, Refusal> {
        self.drafts.try_acquire().map_err(|_| {
            Refusal::new(
                Cause::Busy,
                "other plans or applies are under way",
                "try again in a moment",
            )
        })
    }
}

/// Serves operators until `stop`; calls in progress then get a few seconds to end.
pub async fn serve(listener: TcpListener, parts: Parts, stop: CancellationToken) {
    let connections = Arc::new(Semaphore::new(parts.limits.connections));
    let drafts = Semaphore::new(parts.limits.drafts);
    let server = Arc::new(Server { parts, drafts });
    let graceful = GracefulShutdown::new();
    loop {
        let Ok(place) = Arc::clone(&connections).acquire_owned().await else {
            break;
        };
        let stream = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Some(stream) = accepted(stream).await else {
            continue;
        };
        let connection = connection(&server, stream);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _place = place;
            // A broken or stalled connection concerns its operator only.
            if let Err(error) = watched.await {
                log::debug!("operators: a connection ended: {error}");
            }
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(STOP_LIMIT.duration(), graceful.shutdown()).await;
}

async fn accepted(stream: io::Result<(TcpStream, std::net::SocketAddr)>) -> Option<TcpStream> {
    match stream {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            log::warn!("operators: can't accept a connection: {error}");
            tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
            None
        }
    }
}

fn connection(
    server: &Arc<Server>,
    stream: TcpStream,
) -> http1::Connection<
    TokioIo<TcpStream>,
    impl hyper::service::HttpService<
        Incoming,
        ResBody = http_body_util::Full<bytes::Bytes>,
        Future: Send,
        Error = Infallible,
    > + use<>,
> {
    let limits = server.parts.limits;
    let server = Arc::clone(server);
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout.duration())
        .serve_connection(
            TokioIo::new(stream),
            service_fn(move |request| call(Arc::clone(&server), request)),
        )
}

async fn call(server: Arc<Server>, request: Request<Incoming>) -> Result<Answer, Infallible> {
    let limit = server.parts.limits.call_timeout.duration();
    let answered = tokio::time::timeout(limit, route::answer(&server, request)).await;
    Ok(answered.unwrap_or_else(|_| {
        // The write may have left before the time was up.
        route::refused(&Refusal::new(
            Cause::Unknown,
            "the call took too long; a change may have been made",
            "ask again with the same change id",
        ))
    }))
}
