//! Calls to one engine: orders and status requests.

use std::sync::{Arc, MutexGuard, PoisonError};

use crate::buffer;
use crate::clock::{Clock, Millis};
use crate::direct::config::Engine;
use crate::direct::control_call;
use crate::direct::dialect::{Action, Dialect, EngineStatus, Order, OrderOutcome};
use crate::direct::occupancy::OccupancyTable;
use crate::direct::orders::unanswered::{SharedLoads, UnansweredLoads};
use crate::direct::ownership::Ownership;
use crate::direct::upstream::Upstream;
use crate::direct::view::View;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::connection_pool::TransportError;

/// Timeout of an order or a status request.
///
/// Engines respond within milliseconds; while a controller waits, all other loads of its engine
/// wait too.
const RESPONSE_TIMEOUT: Millis = Millis(100);

/// How long a pooled connection may have been unused to carry an order.
const MAX_CONNECTION_IDLE: Millis = Millis(1_000);

/// Longest response body to an order that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Sends orders and status requests to one engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// The engine's capacity and models, from the configuration.
    pub engine: Engine,
    /// The engines that this node may send orders to.
    pub ownership: Arc<Ownership>,
    /// The platform's wire formats.
    pub dialect: Arc<dyn Dialect>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// This node's name, sent with each order.
    pub holder: Name,
    /// This node's view of the deployment.
    pub view: Arc<View>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Requests of all nodes at the engines that this node owns.
    pub table: Arc<OccupancyTable>,
    /// The loads that the engine, or a further start of it, may still execute.
    pub unanswered_loads: SharedLoads,
}

impl EngineClient {
    /// Sends an order if this node may do so at this moment.
    ///
    /// A load is recorded as unanswered before it is sent, as its controller may be stopped before
    /// the engine answers.
    pub(super) async fn send_order(&self, order: Order) -> Result<OrderOutcome, TransportError> {
        if order.action != Action::Load {
            return self.exchange_order(order).await;
        }
        let (sequence, adapter) = (order.sequence, Name::clone(&order.model));
        let now = self.clock.now();
        self.unanswered_loads()
            .record(sequence, Name::clone(&adapter), now);
        let result = self.exchange_order(order).await;
        if !matches!(result, Err(TransportError::Sent(_))) {
            self.unanswered_loads().forget(sequence, &adapter);
        }
        result
    }

    /// Returns the loads that the engine may still execute.
    pub(super) fn unanswered_loads(&self) -> MutexGuard<'_, UnansweredLoads> {
        self.unanswered_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn exchange_order(&self, mut order: Order) -> Result<OrderOutcome, TransportError> {
        let upstream = &self.upstream;
        let mut connection = upstream
            .connection_pool
            .acquire(MAX_CONNECTION_IDLE)
            .await?;
        // A VM can be suspended at any point, so ownership is checked last, by a clock that
        // includes the time of the suspension.
        let Some(token) = self.ownership.fencing_token(upstream.address) else {
            upstream.connection_pool.release(connection, None);
            return Err(TransportError::Unsent(
                "this node may send no orders".to_owned(),
            ));
        };
        order.fencing_token = token;
        let request = self.dialect.order_request(&upstream.incarnation, &order);
        self.ownership.record_order(upstream.address);
        let sent =
            tokio::time::timeout(RESPONSE_TIMEOUT.duration(), connection.send(request)).await;
        let (head, body) = sent
            .map_err(|_| TransportError::Sent(format!("no response within {RESPONSE_TIMEOUT}")))??
            .into_parts();
        let reply = self.dialect.response_metadata(&head);
        control_call::check_response(&reply)?;
        let rest = buffer::discard(body, MAX_RESPONSE_BYTES);
        if tokio::time::timeout(RESPONSE_TIMEOUT.duration(), rest).await == Ok(true) {
            if head.status.is_success() {
                upstream.record_notice(reply.rejections, self.clock.now());
            }
            if !reply.closes {
                upstream.connection_pool.release(connection, reply.keep);
            }
        }
        Ok(self.dialect.order_outcome(&head))
    }

    /// Requests the engine's status; the error is a text for logs.
    pub(super) async fn status(&self) -> Result<EngineStatus, String> {
        tokio::time::timeout(RESPONSE_TIMEOUT.duration(), self.request_status())
            .await
            .unwrap_or_else(|_| Err(format!("no response within {RESPONSE_TIMEOUT}")))
    }

    async fn request_status(&self) -> Result<EngineStatus, String> {
        let request = self.dialect.status_request(&self.upstream.incarnation);
        let sending = control_call::send(&*self.dialect, &*self.clock, &self.upstream, request);
        let (head, body) = sending.await.map_err(|lost| format!("{lost:?}"))?;
        if !head.status.is_success() {
            return Err(format!("status {}", head.status));
        }
        self.dialect
            .decode_status(&body)
            .map_err(|error| error.to_string())
    }
}
