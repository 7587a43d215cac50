//! Opens and accepts the byte streams under connections between nodes.

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

/// Accepted connections that wait to be served.
const BACKLOG: usize = 64;
/// Pause after the listener failed, so that a lack of file handles doesn't spin.
const ACCEPT_PAUSE: Millis = Millis(50);

/// A byte stream to or from a peer.
#[derive(Debug)]
pub(super) enum Io {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

impl Io {
    fn pinned(self: Pin<&mut Self>) -> Either<'_> {
        match self.get_mut() {
            Self::Plain(stream) => Either::Plain(Pin::new(stream)),
            Self::Tls(stream) => Either::Tls(Pin::new(stream)),
        }
    }
}

enum Either<'a> {
    Plain(Pin<&'a mut TcpStream>),
    Tls(Pin<&'a mut TlsStream<TcpStream>>),
}

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.pinned() {
            Either::Plain(stream) => stream.poll_read(cx, buf),
            Either::Tls(stream) => stream.poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.pinned() {
            Either::Plain(stream) => stream.poll_write(cx, buf),
            Either::Tls(stream) => stream.poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.pinned() {
            Either::Plain(stream) => stream.poll_write_vectored(cx, bufs),
            Either::Tls(stream) => stream.poll_write_vectored(cx, bufs),
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.pinned() {
            Either::Plain(stream) => stream.poll_flush(cx),
            Either::Tls(stream) => stream.poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.pinned() {
            Either::Plain(stream) => stream.poll_shutdown(cx),
            Either::Tls(stream) => stream.poll_shutdown(cx),
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
    async fn open(self) -> io::Result<TokioIo<Io>> {
        let opened = tokio::time::timeout(self.timeout.duration(), self.handshaken()).await;
        opened
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map(TokioIo::new)
    }

    async fn handshaken(&self) -> io::Result<Io> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        match &self.security {
            Security::Plaintext => Ok(Io::Plain(stream)),
            Security::Mutual(keys) => {
                let connector = TlsConnector::from(keys.client());
                let stream = connector.connect(tls::node_name(), stream).await?;
                Ok(Io::Tls(Box::new(stream.into())))
            }
        }
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<Io>;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<TokioIo<Io>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        Box::pin(self.clone().open())
    }
}

/// A connection that a peer has opened; its place is free again when it is dropped.
#[derive(Debug)]
pub(super) struct Accepted {
    io: Io,
    _place: OwnedSemaphorePermit,
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

/// Accepts peers' connections.
#[derive(Debug)]
pub(super) struct Acceptor {
    pub(super) listener: TcpListener,
    pub(super) security: Security,
    pub(super) timeout: Millis,
    pub(super) connections: usize,
}

impl Acceptor {
    /// Accepts until `stop`; a handshake holds up nobody else's.
    pub(super) fn start(self, stop: CancellationToken) -> ReceiverStream<io::Result<Accepted>> {
        let (accepted, incoming) = mpsc::channel(BACKLOG);
        tokio::spawn(async move { stop.run_until_cancelled(self.accept(accepted)).await });
        ReceiverStream::new(incoming)
    }

    async fn accept(self, accepted: mpsc::Sender<io::Result<Accepted>>) {
        let places = Arc::new(Semaphore::new(self.connections));
        // The semaphore is never closed, so that there is always a next place.
        while let Ok(place) = Arc::clone(&places).acquire_owned().await {
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("peer: can't accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
                    continue;
                }
            };
            let security = self.security.clone();
            let timeout = self.timeout.duration();
            let accepted = accepted.clone();
            tokio::spawn(async move {
                let handshake = tokio::time::timeout(timeout, handshaken(stream, &security));
                match handshake.await.unwrap_or_else(|error| Err(error.into())) {
                    Ok(io) => {
                        let connection = Accepted { io, _place: place };
                        let _ = accepted.send(Ok(connection)).await;
                    }
                    Err(error) => log::warn!("peer: a connection wasn't accepted: {error}"),
                }
            });
        }
    }
}

async fn handshaken(stream: TcpStream, security: &Security) -> io::Result<Io> {
    stream.set_nodelay(true)?;
    match security {
        Security::Plaintext => Ok(Io::Plain(stream)),
        Security::Mutual(keys) => {
            let acceptor = TlsAcceptor::from(keys.server());
            let stream = acceptor.accept(stream).await?;
            tls::check_node(stream.get_ref().1.peer_certificates()).map_err(io::Error::other)?;
            Ok(Io::Tls(Box::new(stream.into())))
        }
    }
}
