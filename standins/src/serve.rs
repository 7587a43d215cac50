//! A listener that can be stopped and started again at the same address.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};

/// A body of an answer; an error breaks the connection off.
pub type Body = UnsyncBoxBody<Bytes, Reset>;

/// The connection is to be broken off without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reset;

impl fmt::Display for Reset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in breaks the connection off")
    }
}

impl std::error::Error for Reset {}

/// Answers requests.
#[async_trait]
pub trait Handler: fmt::Debug + Send + Sync + 'static {
    /// Answers one request; dropped when the client goes away.
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Reset>;
}

/// A listener with its connections.
///
/// Dropping it ends both, as a process that is killed would.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    task: Mutex<Option<Running>>,
}

/// The accepting task, and what tells it to end.
#[derive(Debug)]
struct Running {
    task: JoinHandle<()>,
    stop: oneshot::Sender<()>,
}

impl Server {
    /// Listens on a free loopback port.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub async fn start(handler: Arc<dyn Handler>) -> io::Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), handler).await
    }

    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// When the address can't be had.
    pub async fn start_at(address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let server = Self {
            address: listener.local_addr()?,
            handler,
            task: Mutex::new(None),
        };
        server.run(listener);
        Ok(server)
    }

    /// Returns where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and breaks all connections off; connecting is then refused.
    pub async fn stop(&self) {
        let running = self.slot().take();
        let Some(Running { task, stop }) = running else {
            return;
        };
        // A task that has ended already needs no telling.
        let _ = stop.send(());
        let _ = task.await;
    }

    /// Listens again after [`Server::stop`].
    ///
    /// # Errors
    ///
    /// When somebody else took the address.
    pub async fn resume(&self) -> io::Result<()> {
        if self.slot().is_none() {
            let listener = TcpListener::bind(self.address).await?;
            self.run(listener);
        }
        Ok(())
    }

    fn run(&self, listener: TcpListener) {
        let handler = Arc::clone(&self.handler);
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(accept(listener, handler, stopped));
        *self.slot() = Some(Running { task, stop });
    }

    fn slot(&self) -> MutexGuard<'_, Option<Running>> {
        self.task.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(running) = self.slot().take() {
            running.task.abort();
        }
    }
}

async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    mut stopped: oneshot::Receiver<()>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut stopped => break,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(connection(stream, Arc::clone(&handler)));
                }
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
    drop(listener);
    connections.shutdown().await;
}

async fn connection(stream: TcpStream, handler: Arc<dyn Handler>) {
    // Small frames have to leave at once; the call fails only on a dead socket.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("standins: connection ended: {error}");
    }
}

/// Makes a body of whole bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Makes an answer of JSON.
pub fn json<T: Serialize>(value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(text));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Makes an answer of a status and a short text.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(full(text.into()));
    *response.status_mut() = status;
    response
}

/// Reads a request's body whole.
///
/// # Errors
///
/// When the client breaks off.
pub async fn read(body: Incoming) -> Result<Bytes, Reset> {
    body.collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|_| Reset)
}

/// Reads a request's body as JSON, or makes the answer that refuses it.
///
/// # Errors
///
/// When the client breaks off; the inner error is the refusal.
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
) -> Result<Result<T, Response<Body>>, Reset> {
    let bytes = read(body).await?;
    Ok(serde_json::from_slice(&bytes)
        .map_err(|error| text(StatusCode::BAD_REQUEST, error.to_string())))
}
