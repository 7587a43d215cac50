//! Client for the platform's VM directory, a JSON document served over HTTP.

use std::net::SocketAddr;

use async_trait::async_trait;
use http::Method;
use http::uri::PathAndQuery;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name::Name;
use crate::ports::http::{Endpoint, read_body};
use crate::ports::{Directory, Error, Vm};

/// Path of the directory document.
pub const PATH: &str = "/v1/vms";
/// Maximum size of the document in bytes; 600 VMs take about 100 KB.
const MAX_LIST_BYTES: usize = 16 << 20;
/// How long an idle connection is kept between polls.
const IDLE_TIMEOUT: Millis = Millis::from_secs(60);

/// The directory document.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct VmList {
    /// VMs in no particular order.
    pub vms: Vec<VmEntry>,
}

/// A VM in the directory document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name, unique in the deployment.
    pub name: Name,
    /// IP address and port.
    pub address: SocketAddr,
    /// Declared pool that it belongs to.
    pub pool: Name,
    /// Region.
    #[serde(default)]
    pub region: Name,
    /// Failure domain.
    #[serde(default)]
    pub failure_domain: Name,
    /// Whether it is about to be removed.
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

/// Client for a directory at one address.
#[derive(Debug)]
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Creates a client with a timeout for each read.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Millis) -> Self {
        Self {
            endpoint: Endpoint::new(address, timeout, IDLE_TIMEOUT),
        }
    }

    async fn read(&self) -> Result<Vec<Vm>, Error> {
        let path = PathAndQuery::from_static(PATH);
        let response = self.endpoint.send(Method::GET, path).await?;
        if !response.status().is_success() {
            return Err(Error::Refused(format!("status {}", response.status())));
        }
        let body = read_body(response.into_body(), MAX_LIST_BYTES)
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
        self.endpoint.with_timeout(self.read()).await
    }
}
