//! Byte streams to servers.
//!
//! Connection pools connect through a [`Network`], which is TCP in production. Tests replace it by
//! one that fails or hangs as a partition does.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;

use async_trait::async_trait;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use super::connection_pool::enable_dead_peer_detection;

/// A byte stream in both directions.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// Opens byte streams to servers.
#[async_trait]
pub trait Network: fmt::Debug + Send + Sync {
    /// Opens a byte stream to the server at an address.
    ///
    /// # Errors
    ///
    /// If no connection can be established; the server has received nothing then.
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn Stream>>;
}

/// The network of the operating system.
#[derive(Debug)]
pub struct Tcp;

#[async_trait]
impl Network for Tcp {
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn Stream>> {
        let stream = TcpStream::connect(address).await?;
        enable_dead_peer_detection(&stream)?;
        Ok(Box::new(stream))
    }
}

/// The network that a node's connection pools share; [`Tcp`] by default.
#[derive(Debug, Clone)]
pub struct Handle(Arc<dyn Network>);

impl Handle {
    /// Shares a network.
    #[must_use]
    pub fn new(network: Arc<dyn Network>) -> Self {
        Self(network)
    }
}

impl Default for Handle {
    fn default() -> Self {
        Self(Arc::new(Tcp))
    }
}

impl Deref for Handle {
    type Target = dyn Network;

    fn deref(&self) -> &Self::Target {
        &*self.0
    }
}
