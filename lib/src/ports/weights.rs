//! A client of the weight store's listing: one HTTP path a version.

use std::net::SocketAddr;

use async_trait::async_trait;
use http::uri::PathAndQuery;
use http::{Method, StatusCode};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::ports::http::Endpoint;
use crate::ports::{Error, Weights};

/// What the paths of versions begin with.
pub const ROOT: &str = "/v1/weights/";
/// How long an unused connection is kept.
const IDLE: Millis = Millis::from_secs(30);

/// Returns the path of a version below [`ROOT`], as engines are given it too.
#[must_use]
pub fn path(adapter: &Adapter) -> String {
    let part = |text| utf8_percent_encode(text, NON_ALPHANUMERIC);
    format!(
        "{}/{}/{}",
        part(&adapter.base_model),
        part(&adapter.name),
        part(&adapter.version)
    )
}

/// A client of one address.
#[derive(Debug)]
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Makes a client; `timeout` bounds each call.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Millis) -> Self {
        Self {
            endpoint: Endpoint::new(address, timeout, IDLE),
        }
    }

    async fn ask(&self, adapter: &Adapter) -> Result<bool, Error> {
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
        self.endpoint.within(self.ask(adapter)).await
    }
}
