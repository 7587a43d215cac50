//! Clients of upstreams: model engines and plain services.

mod engine;
mod service;

pub use engine::{FENCING_TOKEN, REQUEST_ID, Status, StatusRun};

use std::sync::Arc;

use futures::StreamExt;
use futures::stream::BoxStream;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::ports::http::{Bounds, Client as Http, TransportError, describe, remove_hop_by_hop};
use crate::ports::{Connector as Border, Engine, Service, UpstreamResponse, Vm};

/// Bounds of calls to upstreams.
///
/// Answers have no bound here: the request's deadline ends them from outside,
/// by dropping them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest time to connect; 1,000 ms by default.
    pub connect: Millis,
    /// How long an unused connection is kept; 4,000 ms by default.
    ///
    /// It is shorter than the five seconds that common servers keep theirs, so
    /// that a request seldom meets a connection which the other side closes at
    /// the same moment: that reads as "unknown" for a call that never ran.
    pub idle: Millis,
    /// Longest time for a status report; 2,000 ms by default.
    pub report: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Millis(1_000),
            idle: Millis(4_000),
            report: Millis(2_000),
        }
    }
}

/// Makes clients of upstreams that share one pool of connections.
#[derive(Debug)]
pub struct Connector {
    http: Http,
    limits: Limits,
}

impl Connector {
    /// Makes a connector; no connection is made before the first call.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let bounds = Bounds {
            connect: limits.connect,
            idle: limits.idle,
        };
        Self {
            http: Http::new(bounds),
            limits,
        }
    }
}

impl Border for Connector {
    fn engine(&self, vm: &Vm) -> Arc<dyn Engine> {
        Arc::new(engine::Client::new(
            self.http.clone(),
            vm.address,
            self.limits.report,
        ))
    }

    fn service(&self, vm: &Vm) -> Arc<dyn Service> {
        Arc::new(service::Client::new(self.http.clone(), vm.address))
    }
}

impl From<TransportError> for Failure {
    fn from(lost: TransportError) -> Self {
        match lost {
            TransportError::Unsent(told) => Self::new(Code::ConnectFailed, told),
            TransportError::Sent(told) => Self::new(Code::UpstreamLost, told),
        }
    }
}

/// Makes an answer of a response.
fn answer(response: http::Response<Incoming>) -> UpstreamResponse {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    UpstreamResponse {
        head,
        body: pieces(body),
    }
}

/// The body's pieces. A body that breaks off ends in a failure, so that a cut
/// answer never looks whole.
fn pieces(body: Incoming) -> BoxStream<'static, Result<bytes::Bytes, Failure>> {
    body.into_data_stream()
        .map(|piece| piece.map_err(|error| Failure::new(Code::AnswerCut, describe(&error))))
        .boxed()
}
