//! Whether nodes are ready, as the platform's balancer finds out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use http_body_util::Empty;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::site::Site;

/// Pause between two questions whether a node is ready, and the longest wait for an answer.
const CHECK: Duration = Duration::from_secs(1);
/// Questions without a good answer until a node is left out.
const MISSES: u32 = 2;

/// Asks a node whether it is ready, as the platform's balancer does.
pub async fn check(site: Arc<Site>, number: usize) {
    let node = &site.nodes[number];
    let address = SocketAddr::new(node.place.ip, node.place.readiness);
    let mut misses = 0;
    loop {
        let ready = timeout(CHECK, ready(address)).await;
        if matches!(ready, Ok(Ok(true))) {
            misses = 0;
            node.ready.store(true, Ordering::SeqCst);
        } else {
            misses += 1;
        }
        if misses >= MISSES {
            node.ready.store(false, Ordering::SeqCst);
        }
        sleep(CHECK).await;
    }
}

async fn ready(address: SocketAddr) -> Result<bool> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let request = http::Request::get("/v1/ready")
        .header("host", "node")
        .body(Empty::<Bytes>::new())?;
    tokio::select! {
        _ = connection => Ok(false),
        answer = sender.send_request(request) => Ok(answer?.status().is_success()),
    }
}
