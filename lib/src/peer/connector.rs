//! Opens and accepts the TCP or TLS streams that carry the connections between nodes.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::future::BoxFuture;
use http::Uri;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tonic::codegen::Service;
use tonic::transport::server::Connected;

use super::tls::{self, Security};
use crate::clock::Millis;

/// Number of accepted connections that may wait to be served.
const ACCEPTED_CAPACITY: usize = 64;
/// Pause after a failed accept, so that running out of file descriptors doesn't cause a busy loop.
const ACCEPT_RETRY_PAUSE: Millis = Millis(50);

/// A TCP stream to or from a peer, with or without TLS.
#[derive(Debug)]
pub(super) enum PeerStream {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

impl PeerStream {
    fn project(self: Pin<&mut Self>) -> PinnedPeerStream<'_> {
        match self.get_mut() {
            Self::Plain(stream) => PinnedPeerStream::Plain(Pin::new(stream)),
            Self::Tls(stream) => PinnedPeerStream::Tls(Pin::new(stream)),
        }
    }
}

enum PinnedPeerStream<'a> {
    Plain(Pin<&'a mut TcpStream>),
    Tls(Pin<&'a mut TlsStream<TcpStream>>),
}

impl AsyncRead for PeerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.project() {
            PinnedPeerStream::Plain(stream) => stream.poll_read(cx, buf),
            PinnedPeerStream::Tls(stream) => stream.poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.project() {
            PinnedPeerStream::Plain(stream) => stream.poll_write(cx, buf),
            PinnedPeerStream::Tls(stream) => stream.poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.project() {
            PinnedPeerStream::Plain(stream) => stream.poll_write_vectored(cx, bufs),
            PinnedPeerStream::Tls(stream) => stream.poll_write_vectored(cx, bufs),
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.project() {
            PinnedPeerStream::Plain(stream) => stream.poll_flush(cx),
            PinnedPeerStream::Tls(stream) => stream.poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.project() {
            PinnedPeerStream::Plain(stream) => stream.poll_shutdown(cx),
            PinnedPeerStream::Tls(stream) => stream.poll_shutdown(cx),
        }
    }
}

/// Opens connections to one peer.
#[derive(Debug, Clone)]
pub(super) struct Connector {
    pub(super) address: SocketAddr,
    pub(super) security: Security,
    pub(super) timeout: Millis,
}

impl Connector {
    /// Opens a connection within the connect timeout.
    async fn open(self) -> io::Result<TokioIo<PeerStream>> {
        let result = tokio::time::timeout(self.timeout.duration(), self.connect()).await;
        result
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map(TokioIo::new)
    }

    async fn connect(&self) -> io::Result<PeerStream> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        match &self.security {
            Security::Plaintext => Ok(PeerStream::Plain(stream)),
            Security::Mutual(credentials) => {
                let connector = TlsConnector::from(credentials.client_config());
                let stream = connector.connect(tls::node_server_name(), stream).await?;
                Ok(PeerStream::Tls(Box::new(stream.into())))
            }
        }
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<PeerStream>;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<TokioIo<PeerStream>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        Box::pin(self.clone().open())
    }
}

/// A connection that a peer has opened; dropping it releases its connection permit.
#[derive(Debug)]
pub(super) struct Accepted {
    io: PeerStream,
    _permit: OwnedSemaphorePermit,
}

impl Connected for Accepted {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

impl AsyncRead for Accepted {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_read(cx, buf)
    }
}

impl AsyncWrite for Accepted {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_shutdown(cx)
    }
}

/// Accepts connections from peers, up to a maximum number of open ones.
#[derive(Debug)]
pub(super) struct Acceptor {
    pub(super) listener: TcpListener,
    pub(super) security: Security,
    pub(super) timeout: Millis,
    pub(super) max_connections: usize,
}

impl Acceptor {
    /// Accepts connections until `stop` is cancelled; TLS handshakes run concurrently.
    pub(super) fn start(self, stop: CancellationToken) -> ReceiverStream<io::Result<Accepted>> {
        let (accepted, incoming) = mpsc::channel(ACCEPTED_CAPACITY);
        tokio::spawn(async move { stop.run_until_cancelled(self.accept(accepted)).await });
        ReceiverStream::new(incoming)
    }

    async fn accept(self, accepted: mpsc::Sender<io::Result<Accepted>>) {
        let permits = Arc::new(Semaphore::new(self.max_connections));
        // The semaphore is never closed, so this loop ends only by cancellation.
        while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("peer: failed to accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE.duration()).await;
                    continue;
                }
            };
            let security = self.security.clone();
            let timeout = self.timeout.duration();
            let accepted = accepted.clone();
            tokio::spawn(async move {
                let handshake = tokio::time::timeout(timeout, handshake(stream, &security));
                match handshake.await.unwrap_or_else(|error| Err(error.into())) {
                    Ok(io) => {
                        let connection = Accepted {
                            io,
                            _permit: permit,
                        };
                        let _ = accepted.send(Ok(connection)).await;
                    }
                    Err(error) => log::warn!("peer: a connection wasn't accepted: {error}"),
                }
            });
        }
    }
}

/// Runs the TLS handshake of an accepted connection, if TLS is on, and checks the client certificate.
async fn handshake(stream: TcpStream, security: &Security) -> io::Result<PeerStream> {
    stream.set_nodelay(true)?;
    match security {
        Security::Plaintext => Ok(PeerStream::Plain(stream)),
        Security::Mutual(credentials) => {
            let acceptor = TlsAcceptor::from(credentials.server_config());
            let stream = acceptor.accept(stream).await?;
            tls::check_node_certificate(stream.get_ref().1.peer_certificates())
                .map_err(io::Error::other)?;
            Ok(PeerStream::Tls(Box::new(stream.into())))
        }
    }
}
