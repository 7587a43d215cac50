//! Serves one caller's connection over HTTP/1 or HTTP/2, with timeouts for idle connections and
//! stalled writes.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use http::Version;
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
use crate::unread;

/// Smallest buffer size, in bytes, that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8_192;

/// HTTP/2 flow control: unread bytes that a caller may send on one stream.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;

/// HTTP/2 flow control: unread bytes that a caller may send on all streams of a connection.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 20;

/// Response bytes buffered for a slow HTTP/2 caller on one stream.
const SEND_BUFFER_BYTES: usize = 16 << 10;

/// How long a connection may have no request in progress before it is closed.
#[derive(Debug, Clone, Copy)]
pub struct IdleTimeouts {
    /// Until the head of its first request is complete.
    pub first: Duration,
    /// Between requests.
    pub idle: Duration,
}

impl IdleTimeouts {
    /// Returns the timeouts of a connection that is being closed gracefully: its caller has as
    /// long to finish the close as to send a head.
    fn closing(self) -> Self {
        Self {
            idle: self.first,
            ..self
        }
    }
}

/// Serves a connection until it ends, has been idle for too long, or the node stops.
pub async fn serve(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    timeouts: IdleTimeouts,
    stop: CancellationToken,
) {
    let limits = &gateway.parts.limits;
    let unread = unread::Mark::default();
    let close = unread::Close::new(unread.clone(), limits.max_body_bytes);
    let stream = WriteTimeoutStream::new(stream, limits.write_timeout.duration(), close);
    let active = Arc::new(ActiveRequests::default());
    let service = service_fn(|request: http::Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        let guard = ActiveRequests::begin(&active);
        // Over HTTP/2 a stream is refused by itself, whatever of it is unread.
        let is_http1 = request.version() <= Version::HTTP_11;
        let mark = if is_http1 {
            unread.clone()
        } else {
            unread::Mark::default()
        };
        let request = request.map(|body| mark.watch(body));
        async move {
            let response = gateway.handle(request).await;
            // The guard is dropped with the body, so the connection counts as active while a
            // response is streamed.
            Ok::<_, std::convert::Infallible>(response.map(|body| ActiveBody::new(body, guard)))
        }
    });
    let builder = builder(limits);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stopped = tokio::select! {
        // An error here means that the caller broke the connection or sent malformed HTTP. Its
        // effect on a request is counted by that request's session.
        _ = connection.as_mut() => return,
        () = stop.cancelled() => true,
        () = active.wait_until_idle(timeouts) => false,
    };
    connection.as_mut().graceful_shutdown();
    if stopped {
        let _ = connection.await;
        return;
    }
    // A request that the caller sent before it learned of the close is still accepted. A fixed
    // timeout would truncate its response while the engine still generates, so the connection is
    // dropped only once it is idle again.
    tokio::select! {
        _ = connection => {}
        () = active.wait_until_idle(timeouts.closing()) => {}
    }
}

fn builder(limits: &Limits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout.duration())
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(limits.streams)
        // By default the library takes some tens of streams that are reset before it has accepted
        // them for an attack and closes the connection. On a proxy's connection they come from
        // callers that disconnected while this node paused for a moment, and all other callers
        // behind the proxy would lose their responses. A caller may therefore reset as many
        // streams as it may have open.
        .max_pending_accept_reset_streams(Some(limits.streams as usize))
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .max_header_list_size(u32::try_from(limits.head_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(limits.idle_timeout.duration())
        .keep_alive_timeout(limits.write_timeout.duration());
    builder
}

/// Counts the requests in progress on one connection.
#[derive(Debug, Default)]
struct ActiveRequests {
    /// Requests in progress.
    count: AtomicUsize,
    /// Requests since the connection was opened.
    started: AtomicUsize,
    changed: Notify,
}

impl ActiveRequests {
    /// Counts a request until the returned guard is dropped.
    fn begin(active: &Arc<Self>) -> ActiveRequestGuard {
        active.count.fetch_add(1, Ordering::AcqRel);
        active.started.fetch_add(1, Ordering::AcqRel);
        active.changed.notify_one();
        ActiveRequestGuard(Arc::clone(active))
    }

    /// Waits until the connection has had no request in progress for the idle timeout.
    ///
    /// Received bytes don't reset the timeout: a caller that sends a byte of a head now and then
    /// would otherwise keep the connection open forever.
    async fn wait_until_idle(&self, timeouts: IdleTimeouts) {
        loop {
            let idle = self.count.load(Ordering::Acquire) == 0;
            let timeout = match self.started.load(Ordering::Acquire) {
                0 => timeouts.first,
                _ => timeouts.idle,
            };
            if !idle {
                self.changed.notified().await;
                continue;
            }
            if tokio::time::timeout(timeout, self.changed.notified())
                .await
                .is_err()
            {
                return;
            }
        }
    }
}

/// Marks one request as in progress until it is dropped.
#[derive(Debug)]
struct ActiveRequestGuard(Arc<ActiveRequests>);

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::AcqRel);
        self.0.changed.notify_one();
    }
}

/// A response body that counts its request as in progress until it is dropped.
#[derive(Debug)]
struct ActiveBody<B> {
    body: B,
    _guard: ActiveRequestGuard,
}

impl<B> ActiveBody<B> {
    fn new(body: B, guard: ActiveRequestGuard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B: http_body::Body + Unpin> http_body::Body for ActiveBody<B> {
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

/// A stream whose writes fail once the peer has accepted no data for the write timeout.
///
/// A caller that stops reading would otherwise hold its connection and the data buffered for it
/// until the operating system's own timeout, a quarter of an hour later.
#[derive(Debug)]
struct WriteTimeoutStream {
    stream: TcpStream,
    timeout: Duration,
    close: unread::Close,
    /// Runs while a write is pending.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeoutStream {
    fn new(stream: TcpStream, timeout: Duration, close: unread::Close) -> Self {
        Self {
            stream,
            timeout,
            close,
            stall_timer: None,
        }
    }

    /// Turns a write that stays pending for the timeout into an error.
    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stall_timer = None;
            return result;
        }
        let deadline = Instant::now() + self.timeout;
        let sleep = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        ready!(sleep.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_stall(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_stall(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { stream, close, .. } = &mut *self;
        close.poll(stream, cx)
    }
}
