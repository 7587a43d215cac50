//! Client for an HTTP service that isn't a model engine.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http::header;
use http::uri::PathAndQuery;
use http::{Request, request};
use http_body_util::Full;

use crate::error::Failure;
use crate::ports::http::{Client as Http, remove_hop_by_hop, uri};
use crate::ports::upstream::to_upstream_response;
use crate::ports::{Service, UpstreamResponse};

/// Client for one service.
#[derive(Debug)]
pub(super) struct Client {
    http: Http,
    address: SocketAddr,
}

impl Client {
    pub(super) fn new(http: Http, address: SocketAddr) -> Self {
        Self { http, address }
    }
}

#[async_trait]
impl Service for Client {
    async fn call(
        &self,
        mut head: request::Parts,
        body: Bytes,
    ) -> Result<UpstreamResponse, Failure> {
        let path = head
            .uri
            .path_and_query()
            .cloned()
            .unwrap_or_else(|| PathAndQuery::from_static("/"));
        head.uri = uri(self.address, path);
        head.version = http::Version::HTTP_11;
        remove_hop_by_hop(&mut head.headers);
        // The body is already buffered, so hyper sets its length. The caller may
        // have sent it with chunked encoding or with `Expect: 100-continue`.
        head.headers.remove(header::CONTENT_LENGTH);
        head.headers.remove(header::EXPECT);
        let request = Request::from_parts(head, Full::new(body));
        let response = self.http.send(request).await?;
        Ok(to_upstream_response(response))
    }
}
