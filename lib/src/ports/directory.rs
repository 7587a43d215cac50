//! A client of the platform's list of VMs: a JSON document over HTTP.

use std::net::SocketAddr;

use async_trait::async_trait;
use http::Method;
use http::uri::PathAndQuery;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name::Name;
use crate::ports::http::{Endpoint, whole};
use crate::ports::{Directory, Error, Vm};

/// Path of the list.
pub const PATH: &str = "/v1/vms";
/// Longest list that is read; 600 VMs take about 100 KB.
const LIST_BYTES: usize = 16 << 20;
/// How long the connection is kept between polls.
const IDLE: Millis = Millis::from_secs(60);

/// The document.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct VmList {
    /// In any order.
    pub vms: Vec<VmEntry>,
}

/// A VM in the document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmEntry {
    /// Unique in the deployment.
    pub name: Name,
    /// IP number and port.
    pub address: SocketAddr,
    /// The declared pool.
    pub pool: Name,
    /// Region.
    #[serde(default)]
    pub region: Name,
    /// Failure domain.
    #[serde(default)]
    pub failure_domain: Name,
    /// Whether it is about to go.
    #[serde(default)]
    pub leaving: bool,
}

impl From<VmEntry> for Vm {
    fn from(item: VmEntry) -> Self {
        Self {
            name: item.name,
            address: item.address,
            pool: item.pool,
            region: item.region,
            failure_domain: item.failure_domain,
            leaving: item.leaving,
        }
    }
}

impl From<&Vm> for VmEntry {
    fn from(vm: &Vm) -> Self {
        Self {
            name: Name::clone(&vm.name),
            address: vm.address,
            pool: Name::clone(&vm.pool),
            region: Name::clone(&vm.region),
            failure_domain: Name::clone(&vm.failure_domain),
            leaving: vm.leaving,
        }
    }
}

/// A client of one address.
#[derive(Debug)]
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Makes a client; `timeout` bounds each read.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Millis) -> Self {
        Self {
            endpoint: Endpoint::new(address, timeout, IDLE),
        }
    }

    async fn read(&self) -> Result<Vec<Vm>, Error> {
        let path = PathAndQuery::from_static(PATH);
        let response = self.endpoint.send(Method::GET, path).await?;
        if !response.status().is_success() {
            return Err(Error::Refused(format!("status {}", response.status())));
        }
        let body = whole(response.into_body(), LIST_BYTES)
            .await
            .map_err(Error::NoAnswer)?;
        let list: VmList =
            serde_json::from_slice(&body).map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(list.vms.into_iter().map(Vm::from).collect())
    }
}

#[async_trait]
impl Directory for Client {
    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        self.endpoint.within(self.read()).await
    }
}
