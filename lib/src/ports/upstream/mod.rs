//! Clients for upstreams: model engines and other HTTP services.

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
use crate::ports::http::{
    Client as HttpClient, ConnectionTimeouts, TransportError, error_chain, remove_hop_by_hop,
};
use crate::ports::{Connector as ConnectorTrait, Engine, Service, UpstreamResponse, Vm};

/// Timeouts of calls to upstreams.
///
/// Responses have no timeout here: the caller drops them at the request's deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum time to establish a connection; 1,000 ms by default.
    pub connect: Millis,
    /// How long an idle connection is kept; 4,000 ms by default.
    ///
    /// Common servers close idle connections after five seconds. The shorter
    /// timeout makes it rare that a request is sent while the server closes the
    /// connection, which is reported as "unknown" for a call that never ran.
    pub idle: Millis,
    /// Maximum time to read an engine's status; 2,000 ms by default.
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

/// Creates clients for upstreams that share one connection pool.
#[derive(Debug)]
pub struct Connector {
    http: HttpClient,
    limits: Limits,
}

impl Connector {
    /// Creates a connector; connections are opened on demand.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let timeouts = ConnectionTimeouts {
            connect: limits.connect,
            idle: limits.idle,
        };
        Self {
            http: HttpClient::new(timeouts),
            limits,
        }
    }
}

impl ConnectorTrait for Connector {
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
    fn from(error: TransportError) -> Self {
        match error {
            TransportError::Unsent(cause) => Self::new(Code::ConnectFailed, cause),
            TransportError::Sent(cause) => Self::new(Code::UpstreamLost, cause),
        }
    }
}

/// Converts an HTTP response, without its hop-by-hop headers.
fn to_upstream_response(response: http::Response<Incoming>) -> UpstreamResponse {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    UpstreamResponse {
        head,
        body: stream_body(body),
    }
}

/// Streams a body's chunks. A truncated body ends with an error, so that it is
/// never taken for a complete one.
fn stream_body(body: Incoming) -> BoxStream<'static, Result<bytes::Bytes, Failure>> {
    body.into_data_stream()
        .map(|chunk| chunk.map_err(|error| Failure::new(Code::AnswerCut, error_chain(&error))))
        .boxed()
}
