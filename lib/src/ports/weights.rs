//! A client of the weight store's listing: one HTTP path a version.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{Request, StatusCode};
use http_body_util::Full;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::ports::http::{Bounds, Client as Http, uri};
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
    http: Http,
    address: SocketAddr,
    timeout: Millis,
}

impl Client {
    /// Makes a client; `timeout` bounds each call.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Millis) -> Self {
        let bounds = Bounds {
            connect: timeout,
            idle: IDLE,
        };
        Self {
            http: Http::new(bounds),
            address,
            timeout,
        }
    }

    async fn ask(&self, adapter: &Adapter) -> Result<bool, Error> {
        let path = PathAndQuery::try_from(format!("{ROOT}{}", path(adapter)))
            .map_err(|error| Error::Malformed(error.to_string()))?;
        let request = Request::head(uri(self.address, path))
            .body(Full::<Bytes>::default())
            .map_err(|error| Error::Malformed(error.to_string()))?;
        match self.http.send(request).await?.status() {
            StatusCode::NOT_FOUND => Ok(false),
            status if status.is_success() => Ok(true),
            status => Err(Error::Refused(format!("status {status}"))),
        }
    }
}

#[async_trait]
impl Weights for Client {
    async fn has(&self, adapter: &Adapter) -> Result<bool, Error> {
        tokio::time::timeout(self.timeout.duration(), self.ask(adapter))
            .await
            .unwrap_or_else(|_| Err(Error::NoAnswer(format!("none within {}", self.timeout))))
    }
}
