//! Client for the JSON API of etcd v3.
//!
//! Each error tells reliably whether a write may have taken effect; see
//! docs/design/0006-platform.md.

pub mod message;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_trait::async_trait;
use bytes::Bytes;
use futures::stream::BoxStream;
use http::uri::PathAndQuery;
use http::{Method, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::clock::Millis;
use crate::metrics::Metrics;
use crate::ports::http::{Client as HttpClient, ConnectionTimeouts, read_body, uri};
use crate::ports::{
    Commit, Condition, Entry, Error, Event, Lease, LeaseId, Listing, Store, Transaction, Watch,
    Write,
};
use message::{
    Blob, Compare, KeyValue, LeaseMessage, Number, PutRequest, RangeRequest, RangeResponse,
    RequestOp, Streamed, Target, TxnRequest, TxnResponse, WatchCreateRequest, WatchRequest,
};

/// Maximum size of a response in bytes; a whole configuration in base64 is far smaller.
const MAX_RESPONSE_BYTES: usize = 256 << 20;
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Millis = Millis::from_secs(60);
/// etcd gives the time to live of a lease in seconds.
const MILLIS_PER_SECOND: u64 = 1000;

/// A method of the API: its name in metrics and its path.
#[derive(Debug, Clone, Copy)]
struct Route {
    name: &'static str,
    path: &'static str,
    /// Whether the call may be retried on another address if no response arrived.
    idempotent: bool,
}

const RANGE: Route = Route {
    name: "range",
    path: "/v3/kv/range",
    idempotent: true,
};
const TXN: Route = Route {
    name: "txn",
    path: "/v3/kv/txn",
    idempotent: false,
};
const GRANT: Route = Route {
    name: "lease_grant",
    path: "/v3/lease/grant",
    idempotent: false,
};
const KEEPALIVE: Route = Route {
    name: "lease_keepalive",
    path: "/v3/lease/keepalive",
    idempotent: true,
};
const REVOKE: Route = Route {
    name: "lease_revoke",
    path: "/v3/lease/revoke",
    idempotent: true,
};
const WATCH: Route = Route {
    name: "watch",
    path: "/v3/watch",
    idempotent: true,
};

/// Client for one service with several addresses.
#[derive(Debug)]
pub struct Client {
    http: HttpClient,
    addresses: Vec<SocketAddr>,
    /// Index of the address to try first, modulo their number; incremented after a failure.
    preferred: AtomicUsize,
    timeout: Millis,
    metrics: Arc<Metrics>,
}

impl Client {
    /// Creates a client; connections are opened on demand.
    ///
    /// `timeout` limits each call, including its attempts on other addresses.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, timeout: Millis, metrics: Arc<Metrics>) -> Self {
        // If one address drops packets, half of the timeout is left to try another.
        let connect = Millis((timeout.0 / 2).max(1));
        Self {
            http: HttpClient::new(ConnectionTimeouts {
                connect,
                idle: IDLE_TIMEOUT,
            }),
            addresses,
            preferred: AtomicUsize::new(0),
            timeout,
            metrics,
        }
    }

    async fn call<Req: Serialize, Res: DeserializeOwned>(
        &self,
        method: Route,
        request: &Req,
    ) -> Result<Res, Error> {
        let call = async {
            let response = self.send(method, request).await?;
            let body = read_body(response.into_body(), MAX_RESPONSE_BYTES)
                .await
                .map_err(Error::NoAnswer)?;
            serde_json::from_slice(&body).map_err(|error| Error::Malformed(error.to_string()))
        };
        let result = tokio::time::timeout(self.timeout.duration(), call)
            .await
            .unwrap_or_else(|_| {
                self.prefer_next();
                Err(Error::NoAnswer(format!("none within {}", self.timeout)))
            });
        self.record_call(method, result.as_ref().err());
        result
    }

    /// Sends a request to the addresses in turn until one responds with success.
    async fn send<Req: Serialize>(
        &self,
        method: Route,
        request: &Req,
    ) -> Result<Response<Incoming>, Error> {
        let body =
            serde_json::to_vec(request).map_err(|error| Error::Malformed(error.to_string()))?;
        let body = Bytes::from(body);
        let mut last_error = Error::Unreachable("no address is set".to_owned());
        // One attempt more than there are addresses: only a second attempt tells a pooled
        // connection that was closed from a service that is down.
        for _ in 0..=self.addresses.len() {
            let Some(address) = self.address() else { break };
            let error = match self.send_to(address, method, body.clone()).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let is_final = matches!(error, Error::Refused(_) | Error::Malformed(_));
            if is_final || (!method.idempotent && !matches!(error, Error::Unreachable(_))) {
                return Err(error);
            }
            last_error = error;
            self.prefer_next();
        }
        Err(last_error)
    }

    async fn send_to(
        &self,
        address: SocketAddr,
        method: Route,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri(address, PathAndQuery::from_static(method.path)))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::Malformed(error.to_string()))?;
        let response = self.http.send(request).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        // etcd reports "timed out" or "unavailable" even for a write that it has begun to
        // replicate, so after a 5xx status the write may have taken effect.
        if status.is_server_error() {
            return Err(Error::NoAnswer(format!("status {status}")));
        }
        Err(Error::Refused(format!("status {status}")))
    }

    fn address(&self) -> Option<SocketAddr> {
        let index = self.preferred.load(Ordering::Relaxed);
        self.addresses
            .get(index % self.addresses.len().max(1))
            .copied()
    }

    fn prefer_next(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }

    fn record_call(&self, method: Route, error: Option<&Error>) {
        let outcome = error.map_or("answered", Error::name);
        self.metrics
            .store_calls
            .with_label_values(&[method.name, outcome])
            .inc();
    }
}

#[async_trait]
impl Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let request = RangeRequest {
            key: Blob::key(key),
            range_end: Blob::default(),
        };
        let response: RangeResponse = self.call(RANGE, &request).await?;
        response
            .kvs
            .into_iter()
            .next()
            .map(decode_entry)
            .transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let request = RangeRequest {
            key: first_key(prefix),
            range_end: range_end(prefix),
        };
        let response: RangeResponse = self.call(RANGE, &request).await?;
        if response.more {
            return Err(Error::Malformed("the listing isn't whole".to_owned()));
        }
        let entries: Result<_, _> = response.kvs.into_iter().map(decode_entry).collect();
        Ok(Listing {
            entries: entries?,
            revision: response.header.revision.unsigned(),
        })
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        let request = TxnRequest {
            compare: transaction
                .conditions
                .into_iter()
                .map(encode_condition)
                .collect(),
            success: transaction.writes.into_iter().map(encode_write).collect(),
        };
        let response: TxnResponse = self.call(TXN, &request).await?;
        Ok(Commit {
            done: response.succeeded,
            revision: response.header.revision.unsigned(),
            found: Vec::new(),
        })
    }
}

#[async_trait]
impl Lease for Client {
    async fn grant(&self, ttl: Millis) -> Result<LeaseId, Error> {
        let request = LeaseMessage {
            id: Number::default(),
            ttl: Number::revision(ttl.0.div_ceil(MILLIS_PER_SECOND).max(1)),
        };
        let response: LeaseMessage = self.call(GRANT, &request).await?;
        if response.id == Number::default() {
            return Err(Error::Malformed("the lease has no number".to_owned()));
        }
        Ok(LeaseId(response.id.0))
    }

    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error> {
        let response: Streamed<LeaseMessage> = self.call(KEEPALIVE, &lease_message(lease)).await?;
        let renewed = response
            .result
            .ok_or_else(|| Error::Refused("the lease isn't renewed".to_owned()))?;
        Ok(Millis(
            renewed.ttl.unsigned().saturating_mul(MILLIS_PER_SECOND),
        ))
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let _: serde_json::Value = self.call(REVOKE, &lease_message(lease)).await?;
        Ok(())
    }
}

#[async_trait]
impl Watch for Client {
    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
    ) -> Result<BoxStream<'static, Result<Event, Error>>, Error> {
        let request = WatchRequest {
            create_request: WatchCreateRequest {
                key: first_key(prefix),
                range_end: range_end(prefix),
                start_revision: Number::revision(revision.saturating_add(1)),
            },
        };
        let sending = tokio::time::timeout(self.timeout.duration(), self.send(WATCH, &request));
        let result = sending
            .await
            .unwrap_or_else(|_| Err(Error::NoAnswer(format!("none within {}", self.timeout))));
        self.record_call(WATCH, result.as_ref().err());
        Ok(watch::events(result?.into_body(), revision))
    }
}

fn lease_message(lease: LeaseId) -> LeaseMessage {
    LeaseMessage {
        id: Number(lease.0),
        ttl: Number::default(),
    }
}

/// Returns the start of the range of keys with the prefix; etcd rejects an empty key.
fn first_key(prefix: &str) -> Blob {
    if prefix.is_empty() {
        return Blob(Bytes::from_static(&[0]));
    }
    Blob::key(prefix)
}

/// Returns the exclusive end of the range of keys with the prefix.
fn range_end(prefix: &str) -> Blob {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Blob(end.into());
        }
    }
    // etcd takes a single zero byte as the end of the key space.
    Blob(Bytes::from_static(&[0]))
}

fn decode_entry(kv: KeyValue) -> Result<Entry, Error> {
    let key = kv
        .key
        .text()
        .ok_or_else(|| Error::Malformed("a key isn't text".to_owned()))?;
    Ok(Entry {
        key,
        value: kv.value.0,
        revision: kv.mod_revision.unsigned(),
        created: kv.create_revision.unsigned(),
        lease: (kv.lease != Number::default()).then_some(LeaseId(kv.lease.0)),
    })
}

fn encode_condition(condition: Condition) -> Compare {
    match condition {
        Condition::Absent(key) => Compare {
            target: Target::Create,
            key: Blob::key(&key),
            create_revision: Some(Number::default()),
            ..Compare::default()
        },
        Condition::Unchanged(key, revision) => Compare {
            target: Target::Mod,
            key: Blob::key(&key),
            mod_revision: Some(Number::revision(revision)),
            ..Compare::default()
        },
    }
}

fn encode_write(write: Write) -> RequestOp {
    match write {
        Write::Put(key, value, lease) => RequestOp {
            request_put: Some(PutRequest {
                key: Blob::key(&key),
                value: Blob(value),
                lease: Number(lease.map_or(0, |lease| lease.0)),
            }),
            ..RequestOp::default()
        },
        Write::Delete(key) => RequestOp {
            request_delete_range: Some(RangeRequest {
                key: Blob::key(&key),
                range_end: Blob::default(),
            }),
            ..RequestOp::default()
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn range_end_of_prefixes() {
        assert_eq!(range_end("a/").0, Bytes::from_static(b"a0"));
        assert_eq!(range_end("").0, Bytes::from_static(&[0]));
    }
}
