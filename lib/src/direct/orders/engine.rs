//! Calls to one engine: orders, and asking what it holds.

use std::sync::Arc;

use http_body_util::{BodyExt, Limited};

use crate::clock::{Clock, Millis};
use crate::direct::config::Engine;
use crate::direct::control_call;
use crate::direct::dialect::{Dialect, EngineStatus, Order, OrderOutcome};
use crate::direct::occupancy::OccupancyTable;
use crate::direct::ownership::Ownership;
use crate::direct::upstream::Upstream;
use crate::direct::view::View;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::link::Lost;

/// The longest that an order or report may take to answer.
///
/// Engines answer within milliseconds; a controller that waits keeps all other loads
/// of its engine waiting.
const ANSWER: Millis = Millis(100);

/// How fresh a kept connection has to be for an order.
const FRESH: Millis = Millis(1_000);

/// Longest answer to an order that is read, in bytes.
const ORDER_BYTES: usize = 16 * 1024;

/// What a controller is made of.
#[derive(Debug, Clone)]
pub struct EngineClient {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// What it can hold.
    pub engine: Engine,
    /// This node's right to give orders.
    pub ownership: Arc<Ownership>,
    /// Formats.
    pub dialect: Arc<dyn Dialect>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// This node's name.
    pub holder: Name,
    /// What this node believes.
    pub view: Arc<View>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Requests of all nodes at this node's engines.
    pub table: Arc<OccupancyTable>,
}

impl EngineClient {
    /// Sends an order if this node may give it at this moment.
    pub(super) async fn give(&self, mut order: Order) -> Result<OrderOutcome, Lost> {
        let upstream = &self.upstream;
        let mut connection = upstream.link.take(FRESH).await?;
        // A VM can be suspended between any two lines; the right is looked at
        // last, on a clock that ran meanwhile.
        let Some(token) = self.ownership.fencing_token(upstream.address) else {
            upstream.link.keep(connection, None);
            return Err(Lost::Unsent("no right to give orders".to_owned()));
        };
        order.fencing_token = token;
        let request = self.dialect.order_request(&upstream.incarnation, &order);
        self.ownership.record_order(upstream.address);
        let sent = tokio::time::timeout(ANSWER.duration(), connection.send(request)).await;
        let (head, body) = sent
            .map_err(|_| Lost::Sent(format!("nothing within {ANSWER}")))??
            .into_parts();
        let rest = Limited::new(body, ORDER_BYTES).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(ANSWER.duration(), rest).await {
            let reply = self.dialect.response_metadata(&head);
            if !reply.closes {
                upstream.link.keep(connection, reply.keep);
            }
        }
        Ok(self.dialect.order_outcome(&head))
    }

    /// Asks the engine what it holds; the error is for people.
    pub(super) async fn report(&self) -> Result<EngineStatus, String> {
        tokio::time::timeout(ANSWER.duration(), self.ask_report())
            .await
            .unwrap_or_else(|_| Err(format!("nothing within {ANSWER}")))
    }

    async fn ask_report(&self) -> Result<EngineStatus, String> {
        let request = self.dialect.status_request(&self.upstream.incarnation);
        let (head, body) = control_call::send(&*self.dialect, &self.upstream, request).await?;
        if !head.status.is_success() {
            return Err(format!("status {}", head.status));
        }
        self.dialect
            .decode_status(&body)
            .map_err(|error| error.to_string())
    }
}
