//! The service's JSON interface, etcd v3's.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use chivevalve::clock::Millis;
use chivevalve::ports::etcd::message::{
    Blob, Compare, Event as WireEvent, Header, KeyValue, Kind as WireKind, LeaseMessage, Number,
    RangeRequest, RangeResponse, RequestOp, Streamed, Target, TxnRequest, TxnResponse,
    WatchRequest, WatchResponse,
};
use chivevalve::ports::{
    Condition, Entry, Error, Event, Lease, LeaseId, Store as Border, Transaction, Watch, Write,
};
use futures::StreamExt;
use futures::stream;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;

use super::Store;
use crate::serve::{Body, Handler, Reset, json, read_json, text};

const SECOND: u64 = 1000;
/// How long a call that the stand-in doesn't answer is left open before it breaks off.
const SILENCE: Duration = Duration::from_millis(1);

/// How a call goes wrong: refused in words, or broken off.
enum Fault {
    Answer(Response<Body>),
    Reset,
}

impl From<Error> for Fault {
    fn from(error: Error) -> Self {
        match error {
            Error::Refused(told) | Error::Malformed(told) => {
                Self::Answer(text(StatusCode::TOO_MANY_REQUESTS, told))
            }
            Error::Unreachable(_) | Error::NoAnswer(_) => Self::Reset,
        }
    }
}

#[async_trait]
impl Handler for Store {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Reset> {
        let path = request.uri().path().to_owned();
        let body = request.into_body();
        macro_rules! call {
            ($method:ident) => {
                match read_json(body).await? {
                    Ok(question) => self.$method(question).await,
                    Err(refusal) => Ok(refusal),
                }
            };
        }
        let answered = match path.as_str() {
            "/v3/kv/range" => call!(range),
            "/v3/kv/txn" => call!(txn),
            "/v3/lease/grant" => call!(lease_grant),
            "/v3/lease/keepalive" => call!(lease_keepalive),
            "/v3/lease/revoke" => call!(lease_revoke),
            "/v3/watch" => call!(watch_stream),
            _ => Ok(text(StatusCode::NOT_FOUND, "no such call")),
        };
        match answered {
            Ok(response) | Err(Fault::Answer(response)) => Ok(response),
            Err(Fault::Reset) => {
                tokio::time::sleep(SILENCE).await;
                Err(Reset)
            }
        }
    }
}

impl Store {
    fn header(&self) -> Header {
        Header {
            revision: Number::revision(self.lock().state.revision()),
        }
    }

    async fn range(&self, question: RangeRequest) -> Result<Response<Body>, Fault> {
        let key = question.key.text().unwrap_or_default();
        let one = question.range_end.0.is_empty();
        let mut listing = if one {
            chivevalve::ports::Listing {
                entries: self.get(&key).await?.into_iter().collect(),
                revision: 0,
            }
        } else {
            self.list(key.trim_start_matches('\0')).await?
        };
        if one {
            listing.revision = self.lock().state.revision();
        }
        Ok(json(&RangeResponse {
            header: Header {
                revision: Number::revision(listing.revision),
            },
            kvs: listing.entries.into_iter().map(key_value).collect(),
            more: false,
        }))
    }

    async fn txn(&self, question: TxnRequest) -> Result<Response<Body>, Fault> {
        let transaction = Transaction {
            conditions: question.compare.iter().map(condition).collect(),
            writes: question.success.into_iter().filter_map(write).collect(),
        };
        let commit = self.commit(transaction).await?;
        Ok(json(&TxnResponse {
            header: Header {
                revision: Number::revision(commit.revision),
            },
            succeeded: commit.done,
        }))
    }

    async fn lease_grant(&self, question: LeaseMessage) -> Result<Response<Body>, Fault> {
        let span = Millis(question.ttl.unsigned().saturating_mul(SECOND));
        let lease = self.grant(span).await?;
        Ok(json(&LeaseMessage {
            id: Number(lease.0),
            ttl: question.ttl,
        }))
    }

    async fn lease_keepalive(&self, question: LeaseMessage) -> Result<Response<Body>, Fault> {
        let span = self.renew(LeaseId(question.id.0)).await?;
        Ok(json(&Streamed {
            result: Some(LeaseMessage {
                id: question.id,
                ttl: Number::revision(span.0 / SECOND),
            }),
        }))
    }

    async fn lease_revoke(&self, question: LeaseMessage) -> Result<Response<Body>, Fault> {
        self.revoke(LeaseId(question.id.0)).await?;
        Ok(json(&serde_json::json!({})))
    }

    async fn watch_stream(&self, question: WatchRequest) -> Result<Response<Body>, Fault> {
        let create = question.create_request;
        let key = create.key.text().unwrap_or_default();
        let after = create.start_revision.unsigned().saturating_sub(1);
        let created = WatchResponse {
            header: self.header(),
            created: true,
            ..WatchResponse::default()
        };
        let first = stream::once(async move { Ok(frame(created)) });
        let watched = self.watch(key.trim_start_matches('\0'), after).await;
        let body = match watched {
            Ok(events) => first.chain(events.map(changed)).boxed(),
            Err(Error::Refused(_)) => {
                let canceled = WatchResponse {
                    header: self.header(),
                    canceled: true,
                    compact_revision: self.header().revision,
                    ..WatchResponse::default()
                };
                first
                    .chain(stream::once(async move { Ok(frame(canceled)) }))
                    .boxed()
            }
            Err(error) => return Err(error.into()),
        };
        Ok(Response::new(StreamBody::new(body).boxed_unsync()))
    }
}

fn changed(event: Result<Event, Error>) -> Result<Frame<Bytes>, Reset> {
    let event = event.map_err(|_| Reset)?;
    let revision = event.revision;
    let wire = match event.entry {
        Some(entry) => WireEvent {
            kind: WireKind::Put,
            kv: key_value(entry),
        },
        None => WireEvent {
            kind: WireKind::Delete,
            kv: KeyValue {
                key: Blob::key(&event.key),
                mod_revision: Number::revision(revision),
                ..KeyValue::default()
            },
        },
    };
    Ok(frame(WatchResponse {
        header: Header {
            revision: Number::revision(revision),
        },
        events: vec![wire],
        ..WatchResponse::default()
    }))
}

fn frame<T: Serialize>(message: T) -> Frame<Bytes> {
    let mut line = serde_json::to_vec(&Streamed {
        result: Some(message),
    })
    .unwrap_or_default();
    line.push(b'\n');
    Frame::data(line.into())
}

fn key_value(entry: Entry) -> KeyValue {
    KeyValue {
        key: Blob::key(&entry.key),
        value: Blob(entry.value),
        create_revision: Number::default(),
        mod_revision: Number::revision(entry.revision),
        lease: Number(entry.lease.map_or(0, |lease| lease.0)),
    }
}

fn condition(compare: &Compare) -> Condition {
    let key = compare.key.text().unwrap_or_default();
    match compare.target {
        Target::Create => Condition::Absent(key),
        Target::Mod => {
            let revision = compare.mod_revision.unwrap_or_default().unsigned();
            Condition::Unchanged(key, revision)
        }
    }
}

fn write(operation: RequestOp) -> Option<Write> {
    if let Some(put) = operation.request_put {
        let lease = (put.lease.0 != 0).then_some(LeaseId(put.lease.0));
        return Some(Write::Put(put.key.text()?, put.value.0, lease));
    }
    operation
        .request_delete_range
        .and_then(|delete| delete.key.text())
        .map(Write::Delete)
}
