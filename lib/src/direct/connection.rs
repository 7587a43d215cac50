//! Serves one caller's connection, and closes it once it has been idle for too long.
//!
//! A request that crosses the close gets no answer. So each response announces how long the caller
//! may leave the connection idle and still reuse it, and the close comes later than that by a margin for
//! what is on its way. A connection isn't idle while its caller still takes a response, or while the
//! head of a request arrives.

use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use http::Request;
use http::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::config::RequestLimits;
use super::entry::Frontend;
use crate::clock::{Clock, Millis};
use crate::unread;

/// Smallest buffer size, in bytes, that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Bytes of the shortest header field with its line end. What callers may send is limited in bytes, not
/// in fields.
const MIN_FIELD_BYTES: usize = "a:\r\n".len();

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Fraction of the idle limit that is announced to callers; the rest is the margin of the close.
const ANNOUNCED_FRACTION: (u64, u64) = (4, 5);

/// Rest of a refused request that is read before the connection is closed, in largest legal bodies.
const UNREAD_BODIES: usize = 2;

/// Serves a connection until it ends, has been idle for too long, or the node stops.
pub(super) async fn serve(
    frontend: Arc<Frontend>,
    stream: TcpStream,
    closing: CancellationToken,
) -> Result<(), hyper::Error> {
    let activity = Arc::new(Activity::new(Arc::clone(&frontend.clock)));
    let unread = unread::Mark::default();
    let service = service_fn(|request: Request<Incoming>| {
        let request = request.map(|body| unread.watch(body));
        let guard = RequestGuard::begin(&activity);
        let frontend = Arc::clone(&frontend);
        async move {
            let mut response = Arc::clone(&frontend).handle(request).await?;
            guard.announce(response.headers_mut(), limits(&frontend));
            // The guard lives in the body, so the request counts until the body is sent or dropped.
            Ok::<_, super::relay::ResponseAborted>(response.map(|body| {
                body.map_frame(move |frame| {
                    let _ = &guard;
                    frame
                })
                .boxed_unsync()
            }))
        }
    });
    let stream = ObservedStream {
        stream,
        activity: Arc::clone(&activity),
        close: unread::Close::new(unread.clone(), limits(&frontend).body_bytes * UNREAD_BODIES),
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits(&frontend).head_bytes.max(MIN_HEAD_BYTES))
        .max_headers(limits(&frontend).head_bytes / MIN_FIELD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut expired = pin!(activity.expired(|| limits(&frontend)));
    let may_close = async {
        closing.cancelled().await;
        // What has arrived by now is read first.
        tokio::task::yield_now().await;
        activity.head_complete().await;
    };
    tokio::select! {
        biased;
        ended = connection.as_mut() => return ended,
        () = may_close => {}
        () = expired.as_mut() => return Ok(()),
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        ended = connection => ended,
        () = expired => Ok(()),
    }
}

/// Returns the limits in force.
fn limits(frontend: &Frontend) -> RequestLimits {
    let config = frontend.view.config();
    config.map(|config| config.limits).unwrap_or_default()
}

/// What happens on a connection.
#[derive(Debug)]
struct Activity {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    /// Notified when a request or its head begins, when it ends, and when its response has been sent.
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    is_in_progress: bool,
    /// Whether a part of a response waits until the caller takes more.
    has_unsent: bool,
    /// When the last response was sent.
    idle_since: Millis,
    /// When the head of the next request began to arrive.
    head_since: Option<Millis>,
    /// The idle limit by which the last response said how long the caller may rest.
    announced: Millis,
}

impl Activity {
    fn new(clock: Arc<dyn Clock>) -> Self {
        let state = State {
            idle_since: clock.now(),
            ..State::default()
        };
        Self {
            clock,
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until no request has been in progress for as long as the limits allow.
    ///
    /// While a head arrives, its own limit applies, whose time runs from its first byte: callers that
    /// never finish one would hold the node's connections for as long as idle ones may stay open.
    async fn expired(&self, limits: impl Fn() -> RequestLimits) {
        loop {
            let mut longest = self.state().announced;
            while let Some((idle_since, head_since)) = self.idle() {
                let limits = limits();
                longest = longest.max(limits.idle_timeout);
                let until = head_since.map_or(idle_since + longest, |at| at + limits.head_timeout);
                let left = until.since(self.clock.now());
                if left == Millis::ZERO {
                    return;
                }
                let changed = self.changed.notified();
                if tokio::time::timeout(left.duration(), changed).await.is_ok() {
                    break;
                }
            }
            if self.idle().is_none() {
                self.changed.notified().await;
            }
        }
    }

    /// Returns since when no request has been in progress, and since when the head of the next one
    /// has been arriving; `None` while one is in progress or its response is being sent.
    fn idle(&self) -> Option<(Millis, Option<Millis>)> {
        let state = self.state();
        let is_idle = !state.is_in_progress && !state.has_unsent;
        is_idle.then_some((state.idle_since, state.head_since))
    }

    /// Waits until no head is arriving.
    async fn head_complete(&self) {
        while self.state().head_since.is_some() {
            self.changed.notified().await;
        }
    }

    fn record_read(&self) {
        let mut state = self.state();
        if !state.is_in_progress && state.head_since.is_none() {
            state.head_since = Some(self.clock.now());
            drop(state);
            // The head's own limit ends sooner than that of an idle connection.
            self.changed.notify_waiters();
        }
    }

    fn record_write(&self) {
        self.state().has_unsent = true;
    }

    fn record_sent(&self) {
        let mut state = self.state();
        if std::mem::take(&mut state.has_unsent) {
            state.idle_since = self.clock.now();
            drop(state);
            self.changed.notify_waiters();
        }
    }
}

/// Marks a request as in progress until dropped.
#[derive(Debug)]
struct RequestGuard(Arc<Activity>);

impl RequestGuard {
    fn begin(activity: &Arc<Activity>) -> Self {
        let mut state = activity.state();
        state.is_in_progress = true;
        state.head_since = None;
        drop(state);
        activity.changed.notify_waiters();
        Self(Arc::clone(activity))
    }

    /// Tells the caller for how long it may leave the connection idle, in whole seconds.
    ///
    /// The limit is kept, as another one may be in force once the response has been sent.
    fn announce(&self, headers: &mut HeaderMap, limits: RequestLimits) {
        self.0.state().announced = limits.idle_timeout;
        let (part, of) = ANNOUNCED_FRACTION;
        let seconds = limits.idle_timeout.0 * part / of / 1_000;
        if seconds > 0
            && !headers.contains_key(CONNECTION)
            && let Ok(value) = HeaderValue::from_str(&format!("timeout={seconds}"))
        {
            headers.insert(KEEP_ALIVE, value);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.is_in_progress = false;
        state.idle_since = self.0.clock.now();
        drop(state);
        self.0.changed.notify_waiters();
    }
}

/// A caller's stream that records when bytes arrive and whether all have been sent.
#[derive(Debug)]
struct ObservedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
    close: unread::Close,
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.activity.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.activity.record_write();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.activity.record_write();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes once it has written all that it holds.
        self.activity.record_sent();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { stream, close, .. } = &mut *self;
        close.poll(stream, cx)
    }
}
