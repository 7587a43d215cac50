//! A client of a model engine: the completions API, its dynamic-adapter
//! endpoints and a status document.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::{self, HeaderName, HeaderValue};
use http::uri::PathAndQuery;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::ports::http::{Client as Http, uri, whole};
use crate::ports::upstream::answer;
use crate::ports::weights;
use crate::ports::{CompletionCall, Engine, EngineStatus, Fence, UpstreamResponse};

/// Header that names the request, in both directions.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header that carries the owner's fencing token with every order.
pub const FENCING_TOKEN: HeaderName = HeaderName::from_static("x-fencing-token");

const LOAD_PATH: &str = "/v1/load_lora_adapter";
const UNLOAD_PATH: &str = "/v1/unload_lora_adapter";
const STATUS_PATH: &str = "/v1/status";
/// Longest error text or status document that is read.
const DOCUMENT_BYTES: usize = 4 << 20;
/// Most characters of an engine's error text that are passed on.
const DETAIL_CHARS: usize = 200;

/// An order to load or unload.
#[derive(Debug, Serialize)]
struct Order {
    lora_name: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lora_path: Option<String>,
}

/// The status document.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the engine process.
    pub boot: Name,
    /// Names of the adapters in its slots.
    pub resident: Vec<Name>,
    /// Requests running.
    pub running: Vec<StatusRun>,
    /// Requests waiting inside the engine.
    pub waiting: u32,
}

/// A running request in the status document.
#[derive(Debug, Serialize, Deserialize)]
pub struct StatusRun {
    /// The request's identity.
    pub id: Name,
    /// The adapter's name.
    pub adapter: Name,
}

impl From<Status> for EngineStatus {
    fn from(status: Status) -> Self {
        Self {
            boot: status.boot,
            resident: status.resident,
            running: status
                .running
                .into_iter()
                .map(|run| (run.id, run.adapter))
                .collect(),
            waiting: status.waiting,
        }
    }
}

/// A client of one engine.
#[derive(Debug)]
pub(super) struct Client {
    http: Http,
    address: SocketAddr,
    report: Millis,
}

impl Client {
    pub(super) fn new(http: Http, address: SocketAddr, report: Millis) -> Self {
        Self {
            http,
            address,
            report,
        }
    }

    async fn post(
        &self,
        path: PathAndQuery,
        fence: Fence,
        id: Option<HeaderValue>,
        body: Bytes,
    ) -> Result<Response<Incoming>, Failure> {
        let mut request = Request::post(uri(self.address, path))
            .header(header::CONTENT_TYPE, "application/json")
            .header(FENCING_TOKEN, fence.token)
            .body(Full::new(body))
            .map_err(|error| Failure::new(Code::BadRequest, error.to_string()))?;
        if let Some(id) = id {
            request.headers_mut().insert(REQUEST_ID, id);
        }
        Ok(self.http.send(request).await?)
    }

    async fn order(
        &self,
        path: &'static str,
        order: &Order,
        fence: Fence,
    ) -> Result<(StatusCode, String), Failure> {
        let body = serde_json::to_vec(order)
            .map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
        let path = PathAndQuery::from_static(path);
        let response = self.post(path, fence, None, body.into()).await?;
        let status = response.status();
        let text = detail(response).await;
        if status == StatusCode::PRECONDITION_FAILED {
            return Err(Failure::new(Code::NotOwner, text));
        }
        Ok((status, text))
    }
}

#[async_trait]
impl Engine for Client {
    async fn run(&self, call: CompletionCall, fence: Fence) -> Result<UpstreamResponse, Failure> {
        let path = PathAndQuery::try_from(&*call.path)
            .map_err(|error| Failure::new(Code::UnknownPath, error.to_string()))?;
        let id = HeaderValue::from_str(&call.id.0)
            .map_err(|error| Failure::new(Code::BadRequest, error.to_string()))?;
        let body = with_priority(&call.body, call.priority)?;
        let response = self.post(path, fence, Some(id.clone()), body).await?;
        if let Some(code) = refusal(response.status()) {
            return Err(Failure::new(code, detail(response).await));
        }
        // An answer to another request would hand one caller another's text.
        if let Some(named) = response.headers().get(REQUEST_ID)
            && *named != id
        {
            return Err(Failure::new(
                Code::WrongAnswer,
                "the engine answered another request",
            ));
        }
        Ok(answer(response))
    }

    async fn load(&self, adapter: &Adapter, fence: Fence) -> Result<(), Failure> {
        let order = Order {
            lora_name: adapter.engine_name(),
            lora_path: Some(weights::path(adapter)),
        };
        let (status, text) = self.order(LOAD_PATH, &order, fence).await?;
        match status {
            status if status.is_success() => Ok(()),
            // Engines of this interface call a second load of the same name an error.
            StatusCode::BAD_REQUEST if text.contains("already been loaded") => Ok(()),
            StatusCode::NOT_FOUND => Err(Failure::new(Code::UnknownAdapter, text)),
            status => Err(Failure::new(
                Code::LoadFailed,
                format!("status {status}: {text}"),
            )),
        }
    }

    async fn unload(&self, adapter: &Adapter, fence: Fence) -> Result<(), Failure> {
        let order = Order {
            lora_name: adapter.engine_name(),
            lora_path: None,
        };
        let (status, text) = self.order(UNLOAD_PATH, &order, fence).await?;
        if status.is_success() || status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        Err(Failure::new(
            Code::UpstreamRefused,
            format!("status {status}: {text}"),
        ))
    }

    async fn report(&self) -> Result<EngineStatus, Failure> {
        let read = async {
            let path = PathAndQuery::from_static(STATUS_PATH);
            let request = Request::get(uri(self.address, path))
                .body(Full::default())
                .map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
            let response = self.http.send(request).await?;
            if !response.status().is_success() {
                return Err(Failure::new(
                    Code::UpstreamRefused,
                    format!("status {}", response.status()),
                ));
            }
            let body = whole(response.into_body(), DOCUMENT_BYTES)
                .await
                .map_err(|told| Failure::new(Code::UpstreamLost, told))?;
            serde_json::from_slice::<Status>(&body)
                .map(EngineStatus::from)
                .map_err(|error| Failure::new(Code::UpstreamError, error.to_string()))
        };
        tokio::time::timeout(self.report.duration(), read)
            .await
            .unwrap_or_else(|_| {
                let told = format!("no status within {}", self.report);
                Err(Failure::new(Code::UpstreamLost, told))
            })
    }
}

/// Which answers mean that the engine did not run the request.
///
/// Only answers that an engine can give before it runs anything are here: the
/// adapter isn't resident, the token is old, the engine's own queue is full. A
/// 5xx answer may come in the middle of a run, so it is passed on as an answer.
fn refusal(status: StatusCode) -> Option<Code> {
    match status {
        StatusCode::PRECONDITION_FAILED => Some(Code::NotOwner),
        StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS => Some(Code::UpstreamRefused),
        _ => None,
    }
}

/// Adds the `priority` field to a JSON object without reading the whole of it.
///
/// It goes last: of a field given twice readers take the last, so a caller
/// can't raise its own priority.
fn with_priority(body: &Bytes, priority: u32) -> Result<Bytes, Failure> {
    let object = body.trim_ascii();
    let Some(fields) = object
        .strip_prefix(b"{")
        .and_then(|rest| rest.strip_suffix(b"}"))
    else {
        return Err(Failure::new(Code::BadRequest, "the body isn't an object"));
    };
    let separator = if fields.trim_ascii().is_empty() {
        ""
    } else {
        ","
    };
    let field = format!("{separator}\"priority\":{priority}}}");
    let mut joined = Vec::with_capacity(object.len() + field.len());
    joined.extend_from_slice(&object[..object.len() - 1]);
    joined.extend_from_slice(field.as_bytes());
    Ok(joined.into())
}

/// Reads the beginning of an error text.
async fn detail(response: Response<Incoming>) -> String {
    let body = whole(response.into_body(), DOCUMENT_BYTES)
        .await
        .unwrap_or_default();
    String::from_utf8_lossy(&body)
        .chars()
        .filter(|char| !char.is_control())
        .take(DETAIL_CHARS)
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn with_priority_of_objects() {
        let added = |body: &'static str| with_priority(&Bytes::from_static(body.as_bytes()), 2);
        assert_eq!(added("{}").unwrap(), "{\"priority\":2}");
        assert_eq!(
            added("{\"model\":\"a\"}").unwrap(),
            "{\"model\":\"a\",\"priority\":2}"
        );
        assert_eq!(added("[]").unwrap_err().code, Code::BadRequest);
    }
}
