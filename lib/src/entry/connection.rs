//! One caller's connection: its HTTP version, its idleness, its stalled writes.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep};
use tokio_util::sync::CancellationToken;

use super::gateway::Gateway;
use super::limits::Limits;

/// Smallest head that the HTTP library can be limited to.
const MIN_HEAD: usize = 8_192;

/// Bytes that an HTTP/2 caller may send ahead of being read, for each request.
const STREAM_WINDOW: u32 = 64 << 10;

/// The same for a whole connection.
const CONNECTION_WINDOW: u32 = 1 << 20;

/// Bytes of answers that are held for a slow HTTP/2 caller, for each request.
const SEND_BUFFER: usize = 16 << 10;

/// Times in which a connection may rest.
#[derive(Debug, Clone, Copy)]
pub struct IdleTimeouts {
    /// Until the first request's head is whole.
    pub first: Duration,
    /// Between requests.
    pub idle: Duration,
}

impl IdleTimeouts {
    /// Returns the times of a connection that is being closed: its caller has as
    /// long to agree as for a head.
    fn closing(self) -> Self {
        Self {
            idle: self.first,
            ..self
        }
    }
}

/// Serves a connection until it ends, rests too long, or the node stops.
pub async fn serve(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    rest: IdleTimeouts,
    stop: CancellationToken,
) {
    let limits = &gateway.parts.limits;
    let stream = Guarded::new(stream, limits.write_timeout.duration());
    let busy = Arc::new(Busy::default());
    let service = service_fn(|request: http::Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        let in_use = Busy::enter(&busy);
        async move {
            let response = gateway.handle(request).await;
            // The guard goes with the body: a stream in progress is no rest.
            Ok::<_, std::convert::Infallible>(response.map(|body| InUse::new(body, in_use)))
        }
    });
    let builder = builder(limits);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stopped = tokio::select! {
        // An error here is the caller's cut connection or bad HTTP; what it
        // meant for a request is counted where the request is.
        _ = connection.as_mut() => return,
        () = stop.cancelled() => true,
        () = busy.rested(rest) => false,
    };
    connection.as_mut().graceful_shutdown();
    if stopped {
        let _ = connection.await;
        return;
    }
    // A request that was on its way when the connection had rested long enough is
    // still taken. A fixed time would cut its answer off in the middle though its
    // engine still writes, so the close waits until the connection rests again.
    tokio::select! {
        _ = connection => {}
        () = busy.rested(rest.closing()) => {}
    }
}

fn builder(limits: &Limits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout.duration())
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD));
    builder
        .http2()
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(limits.streams)
        // The library takes some tens of requests that are cancelled before it has
        // seen them for an attack, and ends the connection. On a proxy's connection
        // they are the callers that went away while this node paused for a moment,
        // and all its other callers would lose their answers. What one may have in
        // progress, one may cancel.
        .max_pending_accept_reset_streams(Some(limits.streams as usize))
        .max_send_buf_size(SEND_BUFFER)
        .max_header_list_size(u32::try_from(limits.head_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(limits.idle_timeout.duration())
        .keep_alive_timeout(limits.write_timeout.duration());
    builder
}

/// Requests in progress on one connection.
#[derive(Debug, Default)]
struct Busy {
    count: AtomicUsize,
    served: AtomicUsize,
    changed: Notify,
}

impl Busy {
    fn enter(busy: &Arc<Self>) -> Guard {
        busy.count.fetch_add(1, Ordering::AcqRel);
        busy.served.fetch_add(1, Ordering::AcqRel);
        busy.changed.notify_one();
        Guard(Arc::clone(busy))
    }

    /// Returns when the connection has had no request for too long.
    ///
    /// Bytes alone are no sign of life: a caller that sends a byte of a head now
    /// and then would hold the connection for ever.
    async fn rested(&self, rest: IdleTimeouts) {
        loop {
            let idle = self.count.load(Ordering::Acquire) == 0;
            let span = match self.served.load(Ordering::Acquire) {
                0 => rest.first,
                _ => rest.idle,
            };
            if !idle {
                self.changed.notified().await;
                continue;
            }
            if tokio::time::timeout(span, self.changed.notified())
                .await
                .is_err()
            {
                return;
            }
        }
    }
}

/// One request in progress.
#[derive(Debug)]
struct Guard(Arc<Busy>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::AcqRel);
        self.0.changed.notify_one();
    }
}

/// A body that keeps its connection in use.
#[derive(Debug)]
struct InUse<B> {
    body: B,
    _guard: Guard,
}

impl<B> InUse<B> {
    fn new(body: B, guard: Guard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B: http_body::Body + Unpin> http_body::Body for InUse<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// A stream whose writes fail when the other side takes nothing for too long.
///
/// A caller that stops reading would otherwise hold its connection, and what is
/// buffered for it, until the system's own timeout a quarter of an hour later.
#[derive(Debug)]
struct Guarded {
    stream: TcpStream,
    timeout: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Guarded {
    fn new(stream: TcpStream, timeout: Duration) -> Self {
        Self {
            stream,
            timeout,
            stalled: None,
        }
    }

    fn watch<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let deadline = Instant::now() + self.timeout;
        let sleep = self
            .stalled
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        ready!(sleep.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.watch(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
