//! Client for the weight store, which serves each adapter version at one HTTP path.

use std::net::SocketAddr;

use async_trait::async_trait;
use http::uri::PathAndQuery;
use http::{Method, StatusCode};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::ports::http::Endpoint;
use crate::ports::{Error, Weights};

/// Prefix of the paths of adapter versions.
pub const ROOT: &str = "/v1/weights/";
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Millis = Millis::from_secs(30);

/// Returns the path of an adapter version relative to [`ROOT`], as also sent to engines.
#[must_use]
pub fn path(adapter: &Adapter) -> String {
    let encode = |text| utf8_percent_encode(text, NON_ALPHANUMERIC);
    format!(
        "{}/{}/{}",
        encode(&adapter.base_model),
        encode(&adapter.name),
        encode(&adapter.version)
    )
}

/// Client for a weight store at one address.
#[derive(Debug)]
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Creates a client with a timeout for each call.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Millis) -> Self {
        Self {
            endpoint: Endpoint::new(address, timeout, IDLE_TIMEOUT),
        }
    }

    async fn check(&self, adapter: &Adapter) -> Result<bool, Error> {
        let path = PathAndQuery::try_from(format!("{ROOT}{}", path(adapter)))
            .map_err(|error| Error::Malformed(error.to_string()))?;
        match self.endpoint.send(Method::HEAD, path).await?.status() {
            StatusCode::NOT_FOUND => Ok(false),
            status if status.is_success() => Ok(true),
            status => Err(Error::Refused(format!("status {status}"))),
        }
    }
}

#[async_trait]
impl Weights for Client {
    async fn has(&self, adapter: &Adapter) -> Result<bool, Error> {
        self.endpoint.with_timeout(self.check(adapter)).await
    }
}
