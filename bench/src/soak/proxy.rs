//! A TCP proxy that harms what passes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What is done with the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// They pass.
    Open,
    /// They pass late, by so many milliseconds.
    Late(u64),
    /// Connections are reset, old and new ones.
    Reset,
    /// Nothing passes, and nothing says so.
    Silent,
    /// What callers send passes, and no answer does.
    NoAnswers,
    /// Answers end in order before their last bytes.
    Tail,
}

/// Bytes that pass a [`Way::Tail`] before the connection ends: a head and some of the body.
const TAIL_AFTER: usize = 300;
/// Bytes that are moved at a time.
const CHUNK: usize = 16 * 1024;

/// A proxy before one place.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    target: Arc<watch::Sender<Option<SocketAddr>>>,
    way: Arc<watch::Sender<Way>>,
}

impl Proxy {
    /// Starts one; nobody is behind it unless `target` says so.
    pub async fn start(target: Option<SocketAddr>) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            address: listener.local_addr()?,
            target: Arc::new(watch::Sender::new(target)),
            way: Arc::new(watch::Sender::new(Way::Open)),
        };
        let (target, way) = (Arc::clone(&proxy.target), Arc::clone(&proxy.way));
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let to = *target.borrow();
                tokio::spawn(pass(caller, to, way.subscribe()));
            }
        });
        Ok(proxy)
    }

    /// Says who is behind it from now on.
    pub fn lead(&self, target: Option<SocketAddr>) {
        self.target.send_replace(target);
    }

    /// Says what is done with the bytes from now on.
    pub fn set(&self, way: Way) {
        self.way.send_replace(way);
    }
}

async fn pass(caller: TcpStream, to: Option<SocketAddr>, mut way: watch::Receiver<Way>) {
    if *way.borrow() == Way::Silent {
        // It was silent when it was opened, so it stays so: nobody tells the caller.
        let _ = way.wait_for(|_| false).await;
    }
    let _ = caller.set_nodelay(true);
    let server = match to {
        Some(to) if *way.borrow() != Way::Reset => TcpStream::connect(to).await.ok(),
        _ => None,
    };
    let Some(server) = server else {
        let _ = caller.set_zero_linger();
        return;
    };
    let _ = server.set_nodelay(true);
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let mut other = way.clone();
    tokio::select! {
        _ = other.wait_for(|way| *way == Way::Reset) => {}
        _ = futures::future::join(
            carry(&mut from_caller, &mut to_server, way.clone(), false),
            carry(&mut from_server, &mut to_caller, way.clone(), true),
        ) => return,
    }
    let _ = from_caller.as_ref().set_zero_linger();
    let _ = from_server.as_ref().set_zero_linger();
}

/// Moves bytes one way until either side ends.
async fn carry(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    way: watch::Receiver<Way>,
    answers: bool,
) {
    let mut chunk = vec![0; CHUNK];
    let mut lost = false;
    let mut passed = 0;
    while let Ok(read) = from.read(&mut chunk).await {
        if read == 0 {
            break;
        }
        let now = *way.borrow();
        // Bytes that are gone leave a hole, so nothing behind them may pass any more.
        lost |= now == Way::Silent || (answers && now == Way::NoAnswers);
        if lost {
            continue;
        }
        let mut length = read;
        if let Way::Late(span) = now {
            tokio::time::sleep(Duration::from_millis(span)).await;
        }
        if now == Way::Tail && answers {
            length = length.min(TAIL_AFTER.saturating_sub(passed));
            passed += length;
        }
        if to.write_all(&chunk[..length]).await.is_err() || length < read {
            break;
        }
    }
    if lost {
        std::future::pending::<()>().await;
    }
    let _ = to.shutdown().await;
}
