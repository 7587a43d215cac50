//! A client of etcd v3's JSON interface.
//!
//! Each failure says truly whether a write may have taken effect; see
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
use crate::ports::http::{Bounds, Client as Http, uri, whole};
use crate::ports::{
    Commit, Condition, Entry, Error, Event, Lease, LeaseId, Listing, Store, Transaction, Watch,
    Write,
};
use message::{
    Blob, Compare, KeyValue, LeaseMessage, Number, PutRequest, RangeRequest, RangeResponse,
    RequestOp, Streamed, Target, TxnRequest, TxnResponse, WatchCreateRequest, WatchRequest,
};

/// Longest answer that is read: a whole configuration, base64 included, is far shorter.
const ANSWER_BYTES: usize = 256 << 20;
/// How long an unused connection to the service is kept.
const IDLE: Millis = Millis::from_secs(60);
/// Milliseconds in the service's unit of lease spans.
const SECOND: u64 = 1000;

/// A call of the interface: the name in metrics, and the path.
#[derive(Debug, Clone, Copy)]
struct Route {
    name: &'static str,
    path: &'static str,
    /// Whether making it twice does no harm, so that another address may be tried after no answer.
    repeatable: bool,
}

const RANGE: Route = Route {
    name: "range",
    path: "/v3/kv/range",
    repeatable: true,
};
const TXN: Route = Route {
    name: "txn",
    path: "/v3/kv/txn",
    repeatable: false,
};
const GRANT: Route = Route {
    name: "lease_grant",
    path: "/v3/lease/grant",
    repeatable: false,
};
const KEEPALIVE: Route = Route {
    name: "lease_keepalive",
    path: "/v3/lease/keepalive",
    repeatable: true,
};
const REVOKE: Route = Route {
    name: "lease_revoke",
    path: "/v3/lease/revoke",
    repeatable: true,
};
const WATCH: Route = Route {
    name: "watch",
    path: "/v3/watch",
    repeatable: true,
};

/// A client that knows several addresses of one service.
#[derive(Debug)]
pub struct Client {
    http: Http,
    addresses: Vec<SocketAddr>,
    /// Index of the address that is tried first; moves on after a failure.
    preferred: AtomicUsize,
    timeout: Millis,
    metrics: Arc<Metrics>,
}

impl Client {
    /// Makes a client; no connection is made before the first call.
    ///
    /// `timeout` bounds each call, all addresses that it tries together.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, timeout: Millis, metrics: Arc<Metrics>) -> Self {
        // Half the time is left for another address when one swallows packets.
        let connect = Millis((timeout.0 / 2).max(1));
        Self {
            http: Http::new(Bounds {
                connect,
                idle: IDLE,
            }),
            addresses,
            preferred: AtomicUsize::new(0),
            timeout,
            metrics,
        }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Route,
        question: &Q,
    ) -> Result<A, Error> {
        let call = async {
            let response = self.send(method, question).await?;
            let body = whole(response.into_body(), ANSWER_BYTES)
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
        self.count(method, result.as_ref().err());
        result
    }

    /// Sends a call to the addresses in turn and returns the head of a good answer.
    async fn send<Q: Serialize>(
        &self,
        method: Route,
        question: &Q,
    ) -> Result<Response<Incoming>, Error> {
        let body =
            serde_json::to_vec(question).map_err(|error| Error::Malformed(error.to_string()))?;
        let body = Bytes::from(body);
        let mut last = Error::Unreachable("no address is set".to_owned());
        // One try more than addresses: a kept connection that has ended is told
        // from a service that is gone only by a second try.
        for _ in 0..=self.addresses.len() {
            let Some(address) = self.address() else { break };
            let error = match self.send_to(address, method, body.clone()).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let settled = matches!(error, Error::Refused(_) | Error::Malformed(_));
            if settled || (!method.repeatable && !matches!(error, Error::Unreachable(_))) {
                return Err(error);
            }
            last = error;
            self.prefer_next();
        }
        Err(last)
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
        // The service says "timed out" or "unavailable" for a write that it has
        // already begun to replicate, so a 5xx answer settles nothing.
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

    fn count(&self, method: Route, error: Option<&Error>) {
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
        let question = RangeRequest {
            key: Blob::key(key),
            range_end: Blob::default(),
        };
        let answer: RangeResponse = self.call(RANGE, &question).await?;
        answer.kvs.into_iter().next().map(entry).transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let question = RangeRequest {
            key: first_key(prefix),
            range_end: range_end(prefix),
        };
        let answer: RangeResponse = self.call(RANGE, &question).await?;
        if answer.more {
            return Err(Error::Malformed("the listing isn't whole".to_owned()));
        }
        let entries: Result<_, _> = answer.kvs.into_iter().map(entry).collect();
        Ok(Listing {
            entries: entries?,
            revision: answer.header.revision.unsigned(),
        })
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        let question = TxnRequest {
            compare: transaction.conditions.into_iter().map(compare).collect(),
            success: transaction.writes.into_iter().map(operation).collect(),
        };
        let answer: TxnResponse = self.call(TXN, &question).await?;
        Ok(Commit {
            done: answer.succeeded,
            revision: answer.header.revision.unsigned(),
            found: Vec::new(),
        })
    }
}

#[async_trait]
impl Lease for Client {
    async fn grant(&self, span: Millis) -> Result<LeaseId, Error> {
        let question = LeaseMessage {
            id: Number::default(),
            ttl: Number::revision(span.0.div_ceil(SECOND).max(1)),
        };
        let answer: LeaseMessage = self.call(GRANT, &question).await?;
        if answer.id == Number::default() {
            return Err(Error::Malformed("the lease has no number".to_owned()));
        }
        Ok(LeaseId(answer.id.0))
    }

    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error> {
        let answer: Streamed<LeaseMessage> = self.call(KEEPALIVE, &lease_message(lease)).await?;
        let renewed = answer
            .result
            .ok_or_else(|| Error::Refused("the lease isn't renewed".to_owned()))?;
        Ok(Millis(renewed.ttl.unsigned().saturating_mul(SECOND)))
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
        let question = WatchRequest {
            create_request: WatchCreateRequest {
                key: first_key(prefix),
                range_end: range_end(prefix),
                start_revision: Number::revision(revision.saturating_add(1)),
            },
        };
        let head = tokio::time::timeout(self.timeout.duration(), self.send(WATCH, &question));
        let result = head
            .await
            .unwrap_or_else(|_| Err(Error::NoAnswer(format!("none within {}", self.timeout))));
        self.count(WATCH, result.as_ref().err());
        Ok(watch::events(result?.into_body(), revision))
    }
}

fn lease_message(lease: LeaseId) -> LeaseMessage {
    LeaseMessage {
        id: Number(lease.0),
        ttl: Number::default(),
    }
}

/// The first key of a prefix; the interface takes no empty key.
fn first_key(prefix: &str) -> Blob {
    if prefix.is_empty() {
        return Blob(Bytes::from_static(&[0]));
    }
    Blob::key(prefix)
}

/// The key just after all keys with the prefix.
fn range_end(prefix: &str) -> Blob {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Blob(end.into());
        }
    }
    // By the interface's convention a zero byte means "to the last key".
    Blob(Bytes::from_static(&[0]))
}

fn entry(kv: KeyValue) -> Result<Entry, Error> {
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

fn compare(condition: Condition) -> Compare {
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

fn operation(write: Write) -> RequestOp {
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
