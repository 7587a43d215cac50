//! Chooses how a request's connection reaches its upstream: directly, or through another node.

use std::sync::Arc;

use async_trait::async_trait;
use futures::future::BoxFuture;

use super::controllers::Controllers;
use super::dial::{Dialed, dial};
use super::dialect::RejectionNotice;
use super::quarantine::{OtherNodes, Reach};
use super::reachability::Advice;
use super::tunnel::{self, OpenError};
use super::upstream::Upstream;
use super::used_connections::UsedConnections;
use crate::clock::Millis;
use crate::name::Name;
use crate::ports::connection_pool::{Connection, Route, TransportError};
use crate::ports::network::Stream;

/// Time for a direct connection before another node is asked as well.
const HEAD_START: Millis = Millis(40);

/// How long a request waits for a connection of this node if no other node may open one.
const OWN_CONNECTION_TIMEOUT: Millis = Millis(100);

/// Pause between two looks for it.
const OWN_CONNECTION_PAUSE: Millis = Millis(10);

type Opened = Result<(Box<dyn Stream>, Route), TransportError>;

/// Opens connections of requests.
#[derive(Debug)]
pub struct Paths {
    controllers: Arc<Controllers>,
    tunnels: tunnel::Client,
}

impl Paths {
    /// Creates the paths of a node.
    #[must_use]
    pub fn new(controllers: Arc<Controllers>) -> Self {
        Self {
            tunnels: tunnel::Client::new(Arc::clone(&controllers)),
            controllers,
        }
    }

    /// Returns an upstream as the list has it now.
    ///
    /// The entry of an upstream that was silent for a while expires and comes back, for the same
    /// start. Requests that have been bound to the upstream before need not be given up.
    #[must_use]
    pub fn listed(&self, upstream: &Arc<Upstream>) -> Arc<Upstream> {
        if upstream.is_ready() {
            return Arc::clone(upstream);
        }
        let state = self.controllers.view.state();
        let listed = state.upstreams.get(&upstream.incarnation);
        let is_same_start = |listed: &&Arc<Upstream>| {
            listed.started_at_ms == upstream.started_at_ms && listed.software == upstream.software
        };
        Arc::clone(listed.filter(is_same_start).unwrap_or(upstream))
    }

    /// Takes a connection that has been idle for at most `max_idle` and isn't among the used ones, or
    /// opens a new one.
    ///
    /// # Errors
    ///
    /// [`TransportError::AtLimit`] if neither this node nor another one that was asked may open a
    /// further connection, [`TransportError::Unsent`] if neither can connect.
    pub async fn acquire(
        &self,
        upstream: &Arc<Upstream>,
        max_idle: Millis,
        used: &UsedConnections,
    ) -> Result<Connection, TransportError> {
        let pool = &upstream.connection_pool;
        let reachability = &self.controllers.view.reachability;
        let now = self.now();
        let advice = reachability.advise(upstream, now);
        let distrusts = reachability.distrusts_open_connections(&upstream.pool, now);
        let fits_advice = |connection: &Connection| match advice {
            Advice::Direct => !connection.is_tunnel(),
            Advice::Both | Advice::Bypass => connection.is_tunnel() || !distrusts,
        };
        let fits = |connection: &Connection| fits_advice(connection) && !used.contains(connection);
        if let Some(connection) = pool.take_idle(max_idle, fits) {
            if advice == Advice::Both {
                // Requests that find open connections would never show that the path is back.
                tokio::spawn(self.start_dial(upstream));
            }
            return Ok(connection);
        }
        let permit = match pool.permit() {
            Ok(permit) => permit,
            Err(at_limit) => return self.borrow(upstream, max_idle, used, at_limit).await,
        };
        let (stream, route) = self.open(upstream, advice).await?;
        // The other node counts what it opened.
        let permit = matches!(route, Route::Direct).then_some(permit);
        pool.adopt(permit, stream, route).await
    }

    /// Uses a connection that another node may still open, as this node has all that it may open.
    ///
    /// If there is none either, waits a moment for one of its own.
    ///
    /// # Errors
    ///
    /// `at_limit` if there is none.
    async fn borrow(
        &self,
        upstream: &Arc<Upstream>,
        max_idle: Millis,
        used: &UsedConnections,
        at_limit: TransportError,
    ) -> Result<Connection, TransportError> {
        let pool = &upstream.connection_pool;
        let is_unused_tunnel = |one: &Connection| one.is_tunnel() && !used.contains(one);
        if let Some(connection) = pool.take_idle(max_idle, is_unused_tunnel) {
            return Ok(connection);
        }
        if let Ok((stream, route)) = self.open_tunnel(upstream).await {
            return pool.adopt(None, stream, route).await;
        }
        let until = self.now() + OWN_CONNECTION_TIMEOUT;
        while self.now() < until {
            tokio::time::sleep(OWN_CONNECTION_PAUSE.duration()).await;
            if let Some(connection) = pool.take_idle(max_idle, |one| !used.contains(one)) {
                return Ok(connection);
            }
        }
        Err(at_limit)
    }

    /// Records that a request is sent through another node.
    pub fn record_send(&self, request: &str, upstream: &Upstream, node: &Name) {
        self.controllers.metrics.tunneled_sends.inc();
        log::info!(
            request = request,
            upstream = &*upstream.incarnation,
            through = &**node;
            "request: sent through another node"
        );
    }

    /// Records what an upstream's own response says about rejections.
    pub fn record_notice(&self, upstream: &Upstream, notice: RejectionNotice) {
        upstream.record_notice(notice, self.now());
    }

    /// Records a response on a connection.
    pub fn record_response(&self, upstream: &Upstream, connection: &Connection) {
        if !connection.is_tunnel() {
            let reachability = &self.controllers.view.reachability;
            reachability.record_success(upstream, self.now());
        }
    }

    async fn open(&self, upstream: &Arc<Upstream>, advice: Advice) -> Opened {
        match advice {
            Advice::Direct => self.open_directly(upstream).await,
            Advice::Both => self.race(upstream, self.start_dial(upstream)).await,
            Advice::Bypass => match self.open_tunnel(upstream).await {
                Err(OpenError::NoNodes) => Ok((self.dial(upstream).await?, Route::Direct)),
                opened => opened.map_err(|error| unsent(&error)),
            },
        }
    }

    /// Connects directly, and through another node if that fails or takes long.
    async fn open_directly(&self, upstream: &Arc<Upstream>) -> Opened {
        let mut dialing = self.start_dial(upstream);
        match tokio::time::timeout(HEAD_START.duration(), &mut dialing).await {
            Ok(Ok(stream)) => Ok((stream, Route::Direct)),
            Ok(Err(error)) => match self.open_tunnel(upstream).await {
                Err(OpenError::NoNodes) => Err(error.into()),
                opened => opened.map_err(|error| unsent(&error)),
            },
            Err(_) => self.race(upstream, dialing).await,
        }
    }

    /// Connects through another node while a direct attempt goes on; the first success counts.
    ///
    /// The direct attempt runs to its end in any case: its outcome tells of this node's paths.
    async fn race(&self, upstream: &Arc<Upstream>, dialing: BoxFuture<'static, Dialed>) -> Opened {
        let mut dialing = tokio::spawn(dialing);
        let mut opening = std::pin::pin!(self.open_tunnel(upstream));
        tokio::select! {
            dialed = &mut dialing => match dialed {
                Ok(Ok(stream)) => Ok((stream, Route::Direct)),
                _ => opening.await.map_err(|error| unsent(&error)),
            },
            opened = &mut opening => match opened {
                Ok(opened) => Ok(opened),
                Err(error) => match dialing.await {
                    Ok(Ok(stream)) => Ok((stream, Route::Direct)),
                    Ok(Err(error)) => Err(error.into()),
                    Err(_) => Err(unsent(&error)),
                },
            },
        }
    }

    async fn open_tunnel(
        &self,
        upstream: &Upstream,
    ) -> Result<(Box<dyn Stream>, Route), OpenError> {
        let (stream, tunnel) = self.tunnels.open(upstream).await?;
        let reachability = &self.controllers.view.reachability;
        reachability.record_bypass(upstream, self.now());
        Ok((stream, Route::Tunnel(tunnel)))
    }

    /// Returns a direct attempt that can go on without this request.
    fn start_dial(&self, upstream: &Arc<Upstream>) -> BoxFuture<'static, Dialed> {
        let controllers = Arc::clone(&self.controllers);
        let upstream = Arc::clone(upstream);
        Box::pin(async move { dial(&controllers.view, &*controllers.clock, &upstream).await })
    }

    async fn dial(&self, upstream: &Upstream) -> Result<Box<dyn Stream>, TransportError> {
        let dialed = dial(&self.controllers.view, &*self.controllers.clock, upstream);
        Ok(dialed.await?)
    }

    fn now(&self) -> Millis {
        self.controllers.clock.now()
    }
}

#[async_trait]
impl OtherNodes for Paths {
    async fn reach(&self, upstream: &Upstream) -> Reach {
        match self.tunnels.open(upstream).await {
            Ok(_) => Reach::Reached,
            Err(OpenError::Unreachable(_)) => Reach::Unreached,
            Err(OpenError::NoNodes) if self.controllers.view.state().max_nodes_seen <= 1 => {
                Reach::Unreached
            }
            Err(OpenError::NoNodes | OpenError::NoAnswer(_)) => Reach::Unknown,
        }
    }
}

fn unsent(error: &OpenError) -> TransportError {
    TransportError::Unsent(error.to_string())
}
